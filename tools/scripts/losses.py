#!/usr/bin/env python3
"""Tells from the log of a fleet why requests were not answered in time.

    tools/scripts/losses.py [--first-ms N] [--pause-ms N] LOG...

Reads log lines of gateways, which may begin with a time and the host's name, as
the bench prints them with --log all. Each request that reached a host and was
not answered with success in time is counted under one cause. Streams that have
no last line because their host went down are found by their first one; plain
calls write only a last line, so those cut off with a host are not seen.
"""
import argparse
import collections
import re
import sys

FIELD = re.compile(r'(\w+)=("[^"]*"|\S+)')
PREFIX = re.compile(r'\s*(-?[\d.]+) (\S+) ')

# Share of the hosts that start within START_WINDOW_S of each other if all hosts
# went down together.
ALL_HOSTS_SHARE = 0.8
START_WINDOW_S = 3.0

SENT = {"request sent", "request retried", "stream resumed"}

# Causes that a host cannot prevent: what the target answered itself, what the
# caller did, and streams on a host that went down.
OUTSIDE = {"target failed it", "caller left", "all hosts went down",
           "its host went down"}


class Request:
    """What the log has of one request on one host."""

    def __init__(self, at):
        self.first_at = at
        self.last = None
        self.read_again = False


def parse(line):
    """Returns time, host and fields of a line, or None for other lines."""
    prefix = PREFIX.match(line)
    fields = {key: value.strip('"') for key, value in FIELD.findall(line)}
    if prefix is None or "component" not in fields:
        return None
    return float(prefix.group(1)), prefix.group(2), fields


def read(lines):
    """Returns the requests by host and ID, and the starts of each host."""
    requests = {}
    starts = collections.defaultdict(list)
    for line in lines:
        parsed = parse(line)
        if parsed is None:
            continue
        at, host, fields = parsed
        message = fields.get("message", "")
        if fields["component"] == "gateway" and message == "started":
            starts[host].append(at)
        if fields["component"] != "request" or "request" not in fields:
            continue
        if message not in SENT and "kind" not in fields:
            continue
        request = requests.setdefault((host, fields["request"]), Request(at))
        if message in SENT:
            request.read_again |= (message == "stream resumed" and
                                   fields.get("from_copy") == "false")
        elif "kind" in fields:
            request.last = fields
    return requests, starts


def number(text):
    """Returns a number of a log line, 0 where it is empty."""
    try:
        return float(text)
    except ValueError:
        return 0.0


def cause_of_end(fields):
    """Returns the cause of a request that was not answered with success."""
    message = fields["message"]
    note = fields.get("note", "")
    reason = fields.get("reason", "")
    if message == "caller_gone":
        return "caller left"
    if message == "answered" and fields.get("target"):
        return "target failed it"
    if "retry budget" in reason:
        return "refused: retries exhausted"
    if "at capacity" in reason:
        return "refused: targets full"
    if note.startswith("needs_ms"):
        return "refused: too little time left"
    if message == "deadline_exceeded":
        return "waited at a target until its deadline"
    if message == "broken_off":
        return "broken off: " + (note or "unknown")
    if message in ("generation_lost", "outcome_unknown"):
        return "not resumed after " + (note or "unknown")
    return "refused: " + (reason or message)


def cause_of_delay(fields, read_again, limits):
    """Returns why an answered stream is late, or None if it is not."""
    if number(fields.get("pause_ms", "")) > limits.pause_ms:
        return ("late: prompt read again after a loss" if read_again else
                "late: paused at " + (fields.get("note") or "its target"))
    if number(fields.get("first_ms", "")) > limits.first_ms:
        return ("late: first piece after " + fields["note"]
                if fields.get("note") else "late: waited for its first piece")
    return None


def cause_of_silence(host, at, starts):
    """Returns the cause of a stream without a last line, or None if it was
    still under way when the log ended."""
    after = [it for it in starts[host] if it > at]
    if not after:
        return None
    others = sum(any(it > at and abs(it - after[0]) <= START_WINDOW_S
                     for it in times) for times in starts.values())
    return ("all hosts went down" if others >= ALL_HOSTS_SHARE * len(starts)
            else "its host went down")


def count_causes(lines, limits):
    """Returns the number of requests, and of those not in time by cause."""
    requests, starts = read(lines)
    causes = collections.Counter()
    for (host, _), it in requests.items():
        if it.last is None:
            cause = cause_of_silence(host, it.first_at, starts)
        elif it.last["message"] == "answered" and it.last["status"] == "200":
            cause = cause_of_delay(it.last, it.read_again, limits)
        else:
            cause = cause_of_end(it.last)
        if cause is not None:
            causes[(it.last or {}).get("kind", "stream"), cause] += 1
    return len(requests), causes


def main():
    """Prints the table."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--first-ms", type=float, default=4500,
                        help="objective for the first piece of a stream")
    parser.add_argument("--pause-ms", type=float, default=700,
                        help="longest pause of a stream that is in time")
    parser.add_argument("logs", nargs="+", metavar="LOG")
    limits = parser.parse_args()
    lines = []
    for name in limits.logs:
        with open(name, encoding="utf-8", errors="replace") as file:
            lines.extend(file)
    total, causes = count_causes(lines, limits)
    print(f"{total} requests, {sum(causes.values())} not in time")
    for (kind, cause), n in causes.most_common():
        print(f"{n:7} {kind:15} {cause}"
              f"{' (outside)' if cause in OUTSIDE else ''}")


if __name__ == "__main__":
    sys.exit(main())
