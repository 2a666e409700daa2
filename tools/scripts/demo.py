#!/usr/bin/env python3
"""Streams long generations through the demo deployment and injects faults.

Prints for each scenario whether the response is complete, the longest pause
between tokens, and how many extra tokens the recovery took. Exits with 1 if a
response is incomplete.
"""

import http.client
import json
import os
import pathlib
import signal
import subprocess
import sys
import time
import urllib.request

ROOT = pathlib.Path(__file__).resolve().parents[2]
TOKENS = 300
CONTROL_PORT = 9100


class Caller:
    """Streams a response; a later call of stream() resumes it by event id."""

    def __init__(self, routers):
        self.routers = routers
        self.texts = []
        self.times = []
        self.event_id = ""
        self.request_id = ""
        self.done = False

    def stream(self, router, on_token):
        address, port = self.routers[router]
        connection = http.client.HTTPConnection(address, port, timeout=20)
        headers = {"Authorization": "Bearer demo-key"}
        if self.event_id:
            headers["Last-Event-ID"] = self.event_id
        body = {"model": "story", "prompt": "tell of the long race " * 20,
                "max_tokens": TOKENS, "stream": True}
        try:
            connection.request("POST", "/v1/completions", json.dumps(body),
                               headers)
            self.read(connection.getresponse(), on_token)
        except (OSError, http.client.HTTPException):
            pass
        connection.close()

    def read(self, response, on_token):
        event_id = ""
        for raw in response:
            line = raw.decode().rstrip("\n")
            if line.startswith("id: "):
                event_id = line[4:]
            elif line == "data: [DONE]":
                self.done = True
            elif line.startswith("data: "):
                message = json.loads(line[6:])
                if "choices" not in message:
                    print("   ", message)
                    continue
                self.event_id = event_id or self.event_id
                self.request_id = message["id"]
                text = message["choices"][0].get("text", "")
                if text:
                    self.texts.append(text.strip())
                    self.times.append(time.time())
                    on_token(len(self.texts))

    def generation(self):
        return self.texts[0].rsplit(":", 1)[0]

    def is_complete(self):
        expected = [f"{self.generation()}:{n}" for n in range(TOKENS)]
        return self.done and self.texts == expected


def read_records(name, declared):
    target = next(t for t in declared["targets"] if t["name"] == name)
    url = f"http://{target['address']}:{CONTROL_PORT}/records"
    try:
        return json.load(urllib.request.urlopen(url, timeout=2)).get(
            "records", [])
    except OSError:
        return []


def attempts_of(request, declared):
    found = []
    for target in declared["targets"]:
        found += [r for r in read_records(target["name"], declared)
                  if r.get("request_id") == request]
    return found


def recovery_cost_of(request, declared):
    extra_decode = extra_prefill = 0
    for start in attempts_of(request, declared):
        resumed = start.get("resumed_at", 0)
        if resumed:
            extra_prefill += start.get("computed_prefill", 0)
            extra_decode += start["computed_decode"] - (TOKENS - resumed)
    return extra_decode, extra_prefill


def explain(caller, routers):
    for address, port in routers:
        result = subprocess.run(
            [str(ROOT / "build/quetzalctl"), "--router", f"{address}:{port}",
             "explain", caller.request_id], capture_output=True, text=True)
        if result.returncode == 0:
            print("    " + result.stdout.replace("\n", "\n    ").rstrip())


def run_scenario(title, folder, run, inject_fault, router_killed=False):
    declared = json.loads((folder / "configuration.json").read_text())
    routers = []
    for path in sorted(folder.glob("router-*.json")):
        listen = json.loads(path.read_text())["listen"]
        routers.append((listen["address"], listen["port"]))
    caller = Caller(routers)
    fault_times = []

    def on_token(count):
        if count == 100:
            fault_times.append(time.time())
            inject_fault(caller.generation().rsplit("-", 1)[0])

    caller.stream(0, on_token)
    if router_killed and not caller.done:
        caller.stream(1, on_token)
    after = [t for t in caller.times if t > fault_times[0] + 0.005]
    gaps = [b - a for a, b in zip(caller.times, caller.times[1:])]
    decode, prefill = recovery_cost_of(caller.request_id, declared)
    print(f"{title}: {'complete' if caller.is_complete() else 'INCOMPLETE'}, "
          f"{len(caller.texts)} tokens, longest pause "
          f"{max(gaps) * 1000:.0f} ms, extra tokens: {decode} decoded, "
          f"{prefill} prefilled"
          + ("" if after else " (no text after the fault)"))
    explain(caller, routers)
    return caller.is_complete()


def main():
    folder = pathlib.Path(sys.argv[1]).resolve()
    run = pathlib.Path(sys.argv[2]).resolve()

    def send(name, signal_number):
        os.kill(int((run / f"{name}.pid").read_text()), signal_number)

    def restart(name):
        tool = ROOT / "tools/scripts/deployment.py"
        subprocess.run([sys.executable, str(tool), "one", str(folder),
                        str(run), name], check=True)
        time.sleep(1)

    failed_engines = []

    def kill_engine(name):
        failed_engines.append(name)
        send(name, signal.SIGKILL)

    def pause_engine(name):
        failed_engines.append(name)
        send(name, signal.SIGSTOP)

    all_complete = run_scenario("engine killed", folder, run, kill_engine)
    restart(failed_engines[-1])
    all_complete &= run_scenario("engine paused", folder, run, pause_engine)
    send(failed_engines[-1], signal.SIGCONT)
    time.sleep(1)
    all_complete &= run_scenario("router killed", folder, run,
                                 lambda _: send("router-1", signal.SIGKILL),
                                 True)
    restart("router-1")

    def kill_both(name):
        kill_engine(name)
        send("router-1", signal.SIGKILL)

    all_complete &= run_scenario("router and engine killed", folder, run,
                                 kill_both, True)
    restart(failed_engines[-1])
    restart("router-1")
    sys.exit(0 if all_complete else 1)


if __name__ == "__main__":
    main()
