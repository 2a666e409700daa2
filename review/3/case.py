"""Answers of a runner do not end. See claim.txt."""

import asyncio
import os
import random
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "standins"))

from standins import (  # noqa: E402
    BOUNDS, HOST, KEY, Deployment, Record, Runner, desired_state,
    engine_service, now, plain_route, plain_service, read_head,
    read_message, run_case, stream_route)

TROUBLE = os.environ.get("TROUBLE", "1") != "0"

MODELS = 3
MEMORY = 88000
TOKENS = (2000, 720)
# At the two hosts; the share of channels per node is uneven.
STREAMS_PER_S = (9, 2)

# The runner spoils this share of its answers at most, for a while: they do not
# end. They come no faster than over the host's link.
WRONG_SHARE = 0.05
IN_A_ROW = 3
LINK_BYTES_PER_S = 1000e6 / 8
BLOCK = b"." * 250000

# The platform kills a process that takes more memory.
MEMORY_MB = 110

WARM_S = 3.0
WRONG_AT_S = 6.0
WRONG_S = 5.0
END_S = 24.0
RESTART_S = 1.0


class WrongRunner(Runner):
    """A runner that has no room for copies of other runs, and spoils a few of
    its answers for a while."""

    wrong = False
    answers = 0
    spoiled = 0
    sending = 0

    async def handle(self, message, reader, writer):
        if message.start.startswith("POST /kv-move "):
            allowed = int(WRONG_SHARE * self.answers) // IN_A_ROW * IN_A_ROW
            if self.wrong and self.spoiled < allowed:
                self.spoiled += 1
                await self.send_without_end(writer)
            writer.write(b"HTTP/1.1 503 x\r\nContent-Length: 0\r\n\r\n")
        else:
            await super().handle(message, reader, writer)
        self.answers += 1 if self.wrong else 0

    async def send_without_end(self, writer):
        self.record.line("runner %s sends an answer without end, %d of %d "
                         "answers" % (self.name, self.spoiled, self.answers))
        writer.write(b"HTTP/1.1 200 OK\r\n\r\n")
        self.sending += 1
        sent = 0
        try:
            while True:
                began = now()
                writer.write(BLOCK)
                await writer.drain()
                sent += len(BLOCK)
                share = self.sending * len(BLOCK) / LINK_BYTES_PER_S
                await asyncio.sleep(max(0, share - (now() - began)))
        finally:
            self.sending -= 1
            self.record.line("the host has closed the channel after %d bytes"
                             % sent)


def peak_mb(process):
    """The largest memory that a process has had, in MB."""
    try:
        with open("/proc/%d/status" % process.pid, encoding="ascii") as file:
            for line in file:
                if line.startswith("VmHWM"):
                    return int(line.split()[1]) / 1024
    except (OSError, ValueError):
        pass
    return 0


def text_of(method, path, request_id, time_ms, more):
    return ("%s %s%s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\n"
            "X-Deadline-Ms: %d\r\nAuthorization: Bearer %s\r\n%s\r\n"
            % (method, path, request_id, HOST, request_id, time_ms, KEY,
               more)).encode()


async def main():
    record = Record(os.path.join(HERE, "record.txt"))
    deployment = Deployment(record)
    try:
        store = deployment.store
        await store.start()
        models = []
        for n in range(MODELS):
            model = WrongRunner(store, record, "model", "z%d" % (n % 2), 64,
                                192, deployment.runs, events=120, first_s=2.0,
                                gap_s=0.03, memory=MEMORY)
            await model.start()
            models.append(model)
            await Runner(store, record, "desk", "z%d" % (n % 2), 6, 24,
                         deployment.runs).start()
        store.put("op", "config", desired_state(
            7, [stream_route("digest", "/digest/", "model"),
                plain_route("ticket", "/ticket/", "desk", "safe", 2)],
            [engine_service("model", MEMORY, moves=True),
             plain_service("desk")]))
        await deployment.start_gateways(["z0", "z1"])
        hosts = deployment.gateways
        await asyncio.sleep(WARM_S)
        start = now()
        end = start + END_S
        results = []
        ends = {it.name: [] for it in hosts}
        peaks = {it.name: 0 for it in hosts}
        seeds = [it.control for it in hosts]

        async def watch(host):
            """Starts a process again after it has ended, as the platform
            does."""
            while now() < end:
                peaks[host.name] = max(peaks[host.name], peak_mb(host.process))
                if peak_mb(host.process) > MEMORY_MB:
                    record.line("the platform kills the process of %s, which "
                                "takes %d MB" % (host.name,
                                                 peak_mb(host.process)))
                    host.kill()
                    host.process.wait()
                code = host.process.poll()
                if code is not None:
                    ends[host.name].append(code)
                    record.line("the process of %s has ended with %d"
                                % (host.name, code))
                    await asyncio.sleep(RESTART_S)
                    host.start(seeds, BOUNDS)
                await asyncio.sleep(0.005)

        async def client(host):
            """Sends a plain request and, on the same channel, a stream."""
            request_id = "%012x" % random.getrandbits(48)
            answer = "no channel"
            writer = None
            try:
                address, port = host.front.split(":")
                reader, writer = await asyncio.open_connection(
                    address, int(port))
                writer.write(text_of("GET", "/ticket/", "t" + request_id, 1500,
                                     ""))
                first = await asyncio.wait_for(read_message(reader), 2)
                if " 200 " not in first.start + " ":
                    return
                writer.write(text_of(
                    "POST", "/digest/", request_id, 25000,
                    "X-Model: m\r\nX-Token-Counts: %d,%d\r\n"
                    "X-Prompt-Prefix: %s:%d\r\nContent-Length: 0\r\n"
                    % (TOKENS[0], TOKENS[1], request_id, TOKENS[0])))
                answer = "closed without an answer"
                await asyncio.wait_for(read_head(reader), 25)
                answer = "broken off"
                while await reader.readline() != b"0\r\n":
                    if reader.at_eof():
                        break
                else:
                    answer = "answered"
            except (OSError, asyncio.IncompleteReadError):
                pass
            except asyncio.TimeoutError:
                answer = "gave up"
            finally:
                if writer is not None:
                    writer.close()
            record.line("client sends /digest/%s to %s on a kept channel: %s"
                        % (request_id, host.front, answer))
            results.append((request_id, host.name, answer))

        tasks = set()

        async def load(host, rate):
            at = now()
            while at < end - 7:
                await asyncio.sleep(max(0, at - now()))
                task = asyncio.ensure_future(client(host))
                tasks.add(task)
                task.add_done_callback(tasks.discard)
                at += 1 / rate

        async def trouble():
            await asyncio.sleep(WRONG_AT_S)
            if TROUBLE:
                models[0].wrong = True
                record.line("runner %s spoils a few answers from now on"
                            % models[0].name)
            await asyncio.sleep(WRONG_S)
            models[0].wrong = False

        await asyncio.gather(trouble(), *[load(*it)
                                         for it in zip(hosts, STREAMS_PER_S)],
                             *[watch(it) for it in hosts])
        while tasks:
            await asyncio.sleep(0.1)

        sound = {}
        for _, request_id, name in deployment.runs:
            if name != models[0].name:
                sound[request_id] = name
        lost = [it for it in results
                if it[2] == "closed without an answer" and it[0] in sound]
        for name, codes in ends.items():
            record.line("%s: %d ends, peak %d MB"
                        % (name, len(codes), peaks[name]))
        record.line("streams on kept channels: %d; passed on to a sound runner "
                    "and closed without an answer: %d"
                    % (len(results), len(lost)))
        if not results or not sound:
            record.line("the case could not run")
            return 2
        by_host = max(sum(1 for it in lost if it[1] == host.name)
                      for host in hosts)
        broken = by_host > 3
        record.line("rule LOST " + ("broken" if broken else "held"))
        return 1 if broken else 0
    finally:
        deployment.end()


if __name__ == "__main__":
    run_case(main)
