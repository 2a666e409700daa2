#!/usr/bin/env python3
"""Starts and stops an example deployment on this machine's loopback addresses.

deployment.py start FOLDER RUN_DIR      starts all processes
deployment.py stop RUN_DIR              stops the started processes by their ids
deployment.py one FOLDER RUN_DIR NAME   starts a single process
"""

import json
import os
import pathlib
import signal
import subprocess
import sys
import time
import urllib.request

ROOT = pathlib.Path(__file__).resolve().parents[2]
BUILD = pathlib.Path(os.environ.get("QUETZAL_BUILD", ROOT / "build"))
CONTROL_PORT = 9100


def write_standin_settings(folder, run):
    """Writes the settings of all stand-ins that the configuration needs.

    Returns the program and the settings file of each stand-in by its name.
    """
    declared = json.loads((folder / "configuration.json").read_text())
    services = {s["name"]: s for s in declared["services"]}
    router = json.loads((folder / "router-1.json").read_text())
    platform = router["platform"]
    standins = {"platform": ("quetzal-standin-platform", {
        "name": "platform", "listen": platform,
        "control": {"address": platform["address"], "port": CONTROL_PORT},
        "weights_per_second": 5, "seed": 7})}
    for n, target in enumerate(declared["targets"]):
        service = services[target["service"]]
        control = {"address": target["address"], "port": CONTROL_PORT}
        listen = {"address": target["address"], "port": target["port"]}
        base = {"name": target["name"], "listen": listen, "control": control}
        if service["kind"] == "PLAIN":
            standins[target["name"]] = ("quetzal-standin-service",
                                        {**base, "delay_ms": 20})
            continue
        model = service["model"]
        standins[target["name"]] = ("quetzal-standin-engine", {
            **base, "model": model,
            "versions": [v["name"] for v in declared["versions"]
                         if v["model"] == model],
            "adapters": declared.get("adapters", []),
            "max_batch": 30, "max_waiting": 30, "step_base_us": 18000,
            "step_per_stream_us": 300, "prefill_us_per_token": 20,
            "cache_blocks": 16, "load_lag_ms": 300, "event_lag_ms": 400,
            "checks_fence": target.get("checks_fence", False),
            "load_version_ms": 500, "seed": n})
    for name, (_, settings) in standins.items():
        (run / f"{name}.json").write_text(json.dumps(settings, indent=2))
    return {name: (program, run / f"{name}.json")
            for name, (program, _) in standins.items()}


def all_processes(folder, run):
    processes = write_standin_settings(folder, run)
    for kind in ("api", "controller", "router"):
        for path in sorted(folder.glob(f"{kind}-*.json")):
            processes[path.stem] = (f"quetzal-{kind}", path)
    return processes


def spawn(name, program, settings, run):
    log = open(run / f"{name}.log", "ab")
    child = subprocess.Popen(
        [str(BUILD / program), "--settings", str(settings)],
        stdout=log, stderr=log, cwd=run, start_new_session=True)
    (run / f"{name}.pid").write_text(str(child.pid))


def wait_ready(folder):
    for path in sorted(folder.glob("router-*.json")):
        listen = json.loads(path.read_text())["listen"]
        url = f"http://{listen['address']}:{listen['port']}/health/ready"
        for _ in range(100):
            try:
                urllib.request.urlopen(url, timeout=1).read()
                break
            except OSError:
                time.sleep(0.05)
        else:
            sys.exit(f"{path.name} did not become ready")


def import_configuration(folder):
    listen = json.loads((folder / "api-1.json").read_text())["listen"]
    command = [str(BUILD / "quetzalctl"), "--api",
               f"{listen['address']}:{listen['port']}",
               "--key", "operator-key", "--operation", "first-import",
               "import", str(folder / "configuration.json")]
    for _ in range(100):
        done = subprocess.run(command, capture_output=True, text=True)
        if done.returncode == 0:
            return
        time.sleep(0.05)
    sys.exit(f"cannot import the configuration: {done.stderr}")


def start(folder, run):
    run.mkdir(parents=True, exist_ok=True)
    processes = all_processes(folder, run)
    for name, (program, settings) in processes.items():
        if program != "quetzal-router":
            spawn(name, program, settings, run)
    import_configuration(folder)
    for name, (program, settings) in processes.items():
        if program == "quetzal-router":
            spawn(name, program, settings, run)
    wait_ready(folder)
    time.sleep(0.7)  # Lets the routers receive one round of load reports.


def stop(run):
    pids = [int(p.read_text()) for p in run.glob("*.pid")]
    for pid in pids:
        for signal_number in (signal.SIGCONT, signal.SIGTERM):
            try:
                os.kill(pid, signal_number)
            except ProcessLookupError:
                pass
    deadline = time.time() + 15
    while pids and time.time() < deadline:
        pids = [p for p in pids if os.path.exists(f"/proc/{p}")]
        time.sleep(0.05)
    for pid in pids:
        os.kill(pid, signal.SIGKILL)
    for path in run.glob("*.pid"):
        path.unlink()


def main():
    command = sys.argv[1] if len(sys.argv) > 1 else ""
    if command == "start" and len(sys.argv) == 4:
        start(pathlib.Path(sys.argv[2]).resolve(), pathlib.Path(sys.argv[3]).resolve())
    elif command == "stop" and len(sys.argv) == 3:
        stop(pathlib.Path(sys.argv[2]).resolve())
    elif command == "one" and len(sys.argv) == 5:
        folder, run = pathlib.Path(sys.argv[2]).resolve(), pathlib.Path(sys.argv[3]).resolve()
        program, settings = all_processes(folder, run)[sys.argv[4]]
        spawn(sys.argv[4], program, settings, run)
    else:
        sys.exit(__doc__)


if __name__ == "__main__":
    main()
