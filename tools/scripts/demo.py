#!/usr/bin/env python3
"""Streams long generations through the demo deployment and breaks things.

Prints for each scene whether the answer is whole, how long the text paused,
and what the loss cost in tokens. Exits with 1 when an answer is not whole.
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
    """A caller that keeps its place and comes back after a lost connection."""

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

    def is_whole(self):
        expected = [f"{self.generation()}:{n}" for n in range(TOKENS)]
        return self.done and self.texts == expected


def records(name, declared):
    target = next(t for t in declared["targets"] if t["name"] == name)
    url = f"http://{target['address']}:{CONTROL_PORT}/records"
    try:
        return json.load(urllib.request.urlopen(url, timeout=2)).get(
            "records", [])
    except OSError:
        return []


def starts_of(request, declared):
    found = []
    for target in declared["targets"]:
        found += [r for r in records(target["name"], declared)
                  if r.get("request_id") == request]
    return found


def cost_of(request, declared):
    extra_decode = extra_prefill = 0
    for start in starts_of(request, declared):
        resumed = start.get("resumed_at", 0)
        if resumed:
            extra_prefill += start.get("computed_prefill", 0)
            extra_decode += start["computed_decode"] - (TOKENS - resumed)
    return extra_decode, extra_prefill


def explain(caller, routers):
    for address, port in routers:
        shown = subprocess.run(
            [str(ROOT / "build/quetzalctl"), "--router", f"{address}:{port}",
             "explain", caller.request_id], capture_output=True, text=True)
        if shown.returncode == 0:
            print("    " + shown.stdout.replace("\n", "\n    ").rstrip())


def scene(title, folder, run, harm, router_dies=False):
    declared = json.loads((folder / "configuration.json").read_text())
    routers = []
    for path in sorted(folder.glob("router-*.json")):
        listen = json.loads(path.read_text())["listen"]
        routers.append((listen["address"], listen["port"]))
    caller = Caller(routers)
    harmed = []

    def on_token(count):
        if count == 100:
            harmed.append(time.time())
            harm(caller.generation().rsplit("-", 1)[0])

    caller.stream(0, on_token)
    if router_dies and not caller.done:
        caller.stream(1, on_token)
    after = [t for t in caller.times if t > harmed[0] + 0.005]
    gaps = [b - a for a, b in zip(caller.times, caller.times[1:])]
    decode, prefill = cost_of(caller.request_id, declared)
    print(f"{title}: {'whole' if caller.is_whole() else 'NOT WHOLE'}, "
          f"{len(caller.texts)} tokens, longest pause "
          f"{max(gaps) * 1000:.0f} ms, extra tokens: {decode} decoded, "
          f"{prefill} read again" + ("" if after else " (no text after)"))
    explain(caller, routers)
    return caller.is_whole()


def main():
    folder = pathlib.Path(sys.argv[1]).resolve()
    run = pathlib.Path(sys.argv[2]).resolve()

    def send(name, sign):
        os.kill(int((run / f"{name}.pid").read_text()), sign)

    def revive(name):
        tool = ROOT / "tools/scripts/deployment.py"
        subprocess.run([sys.executable, str(tool), "one", str(folder),
                        str(run), name], check=True)
        time.sleep(1)

    lost = []

    def kill_engine(name):
        lost.append(name)
        send(name, signal.SIGKILL)

    def pause_engine(name):
        lost.append(name)
        send(name, signal.SIGSTOP)

    good = scene("engine killed", folder, run, kill_engine)
    revive(lost[-1])
    good &= scene("engine paused", folder, run, pause_engine)
    send(lost[-1], signal.SIGCONT)
    time.sleep(1)
    good &= scene("router killed", folder, run,
                  lambda _: send("router-1", signal.SIGKILL), True)
    revive("router-1")

    def kill_both(name):
        kill_engine(name)
        send("router-1", signal.SIGKILL)

    good &= scene("router and engine killed", folder, run, kill_both, True)
    revive(lost[-1])
    revive("router-1")
    sys.exit(0 if good else 1)


if __name__ == "__main__":
    main()
