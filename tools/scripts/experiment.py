#!/usr/bin/env python3
"""Runs load experiments on an example deployment and prints their results.

experiment.py resume DEPLOYMENT   engine losses under each recovery preset
experiment.py overload            0.7, 1.5 and 3 times the capacity, and the
                                  loss of one of three engines
experiment.py seeds DEPLOYMENT N  all faults, including routers, with N seeds

Results are also written as JSON below run/results/. Everything runs on
loopback addresses and is bounded in time.
"""

import json
import pathlib
import subprocess
import sys
import tempfile
import threading
import time
import random
import os
import signal

ROOT = pathlib.Path(__file__).resolve().parents[2]
BUILD = ROOT / "build"
DEPLOYMENT_TOOL = ROOT / "tools/scripts/deployment.py"
RESULTS = ROOT / "run/results"
PRESETS = ["LOW_LATENCY", "LOW_COST", "TIMEOUT_ONLY", "RANDOM_TARGET",
           "RESTART_IN_FULL"]


def deploy(folder, run):
    subprocess.run([sys.executable, str(DEPLOYMENT_TOOL), "start", str(folder),
                    str(run)], check=True)


def stop(run):
    subprocess.run([sys.executable, str(DEPLOYMENT_TOOL), "stop", str(run)],
                   check=True)


def run_quetzalctl(folder, *words):
    listen = json.loads((folder / "api-1.json").read_text())["listen"]
    return subprocess.run(
        [str(BUILD / "quetzalctl"), "--api",
         f"{listen['address']}:{listen['port']}", "--key", "operator-key",
         *words], capture_output=True, text=True, check=True).stdout


def set_preset(folder, preset):
    declared = json.loads((folder / "configuration.json").read_text())
    service = next(s for s in declared["services"]
                   if s.get("kind") == "MODEL_POOL")
    service["recovery"] = preset
    with tempfile.NamedTemporaryFile("w", suffix=".json") as file:
        json.dump(service, file)
        file.flush()
        run_quetzalctl(folder, "put", "services", service["name"], file.name)
    run_quetzalctl(folder, "status", "--wait", "9000")


def run_load(settings, name):
    RESULTS.mkdir(parents=True, exist_ok=True)
    settings["name"] = name
    settings["result_file"] = str(RESULTS / f"{name}.json")
    settings["history_file"] = str(RESULTS / f"{name}.history.json")
    path = RESULTS / f"{name}.settings.json"
    path.write_text(json.dumps(settings))
    done = subprocess.run([str(BUILD / "quetzal-load"), "--settings",
                           str(path)], capture_output=True, text=True)
    result = json.loads((RESULTS / f"{name}.json").read_text())
    result["exit"] = done.returncode
    result["output"] = done.stdout
    return result


def print_row(name, result):
    first, gap, resume = (result["first_token_ms"], result["gap_ms"],
                          result["resume_ms"])
    print(f"{name:22} ok {result['complete']:5}/{result['requests']:5} "
          f"first p95 {first['p95']:7.0f} gap p95 {gap['p95']:6.1f} "
          f"resume n {resume['samples']:4} p50 {resume['p50']:6.0f} "
          f"p95 {resume['p95']:6.0f} p99 {resume['p99']:6.0f} "
          f"max {resume['max']:6.0f} "
          f"extra decode {result['extra_decode_ratio']:7.4f} "
          f"prefill {result['extra_prefill_ratio']:7.4f} "
          f"findings {len(result['findings'])}", flush=True)
    for entry in result["errors"] + result["findings"]:
        print(f"    {entry['name']} {entry['count']}")


def engine_loss_faults():
    """Returns a death and a pause of random targets, each every 8 seconds."""
    return [
        {"kind": "DIE", "at_ms": 3000, "for_ms": 2000, "every_ms": 8000,
         "random_target": True},
        {"kind": "PAUSE", "at_ms": 7000, "for_ms": 6000, "every_ms": 8000,
         "random_target": True},
    ]


def resume(deployment):
    folder = ROOT / "examples" / deployment
    run = ROOT / "run" / f"resume-{deployment}"
    settings = json.loads((folder / "load-calm.json").read_text())
    pool = [k for k in settings["mix"]
            if k.get("model") and k.get("stream") and
            not k.get("non_idempotent")]
    settings.update(mix=pool, requests=450, arrivals_per_second=30,
                    concurrency=300)
    engines = len([t for t in json.loads(
        (folder / "configuration.json").read_text())["targets"]
        if t["service"] != "suro-desk" and t["service"] != "timing-app"])
    settings["targets"] = settings["targets"][:engines]
    deploy(folder, run)
    try:
        print_row("no faults", run_load(dict(settings), f"{deployment}-none"))
        settings["faults"] = engine_loss_faults()
        for preset in PRESETS:
            set_preset(folder, preset)
            print_row(preset, run_load(dict(settings), f"{deployment}-{preset}"))
    finally:
        stop(run)


def overload():
    """Loads the demo pool: three engines with 30 streams each."""
    folder = ROOT / "examples/demo"
    run = ROOT / "run/overload"
    settings = json.loads((folder / "load-calm.json").read_text())
    base = next(k for k in settings["mix"] if k["name"] == "story")
    lookup = dict(base, name="lookup", max_tokens=20, deadline_ms=5000,
                  share=1)
    long = dict(base, name="summary", max_tokens=150, deadline_ms=20000,
                share=1)
    # In requests per second: 3 engines with 30 streams each, about 27 ms per
    # token, and 150 or 20 tokens per request in equal shares.
    capacity = 3 * 30 / ((150 + 20) / 2 * 0.027)
    deploy(folder, run)
    try:
        for factor in (0.7, 1.5, 3.0):
            settings.update(mix=[lookup, long], concurrency=900,
                            arrivals_per_second=capacity * factor,
                            requests=int(capacity * factor * 15))
            result = run_load(dict(settings), f"overload-{factor}")
            print_row(f"{factor} x capacity", result)
            print_per_kind(f"overload-{factor}")
            time.sleep(3)
        settings.update(faults=[{"kind": "DIE", "at_ms": 4000, "for_ms": 9000,
                                 "target": 0}],
                        arrivals_per_second=capacity * 0.9,
                        requests=int(capacity * 0.9 * 15))
        print_row("one of 3 engines lost",
                  run_load(dict(settings), "overload-third"))
        print_per_kind("overload-third")
    finally:
        stop(run)


def print_per_kind(name):
    history = json.loads((RESULTS / f"{name}.history.json").read_text())
    kinds = {}
    for caller in history["callers"]:
        kinds.setdefault(caller["kind"], []).append(caller)
    for kind, callers in sorted(kinds.items()):
        complete = [c for c in callers if c.get("complete")]
        firsts = sorted(c.get("first_token_ms", 0) for c in complete) or [0]
        refusals = sorted(c["ended_at"] - c["started_at"] for c in callers
                          if not c.get("complete")) or [0]
        print(f"    {kind:10} {len(complete)}/{len(callers)} complete, first token "
              f"p50 {firsts[len(firsts) // 2]:.0f} "
              f"p95 {firsts[int(len(firsts) * .95) - 1]:.0f} ms, "
              f"refused after p50 {refusals[len(refusals) // 2]:.0f} ms")


def inject_router_faults(folder, run, seed, finished):
    """Repeatedly kills or pauses a random router, then restores it."""
    generator = random.Random(seed)
    names = [p.stem for p in sorted(folder.glob("router-*.json"))]
    while not finished.wait(4):
        name = generator.choice(names)
        pid = int((run / f"{name}.pid").read_text())
        if generator.random() < 0.5:
            os.kill(pid, signal.SIGKILL)
            time.sleep(1)
            subprocess.run([sys.executable, str(DEPLOYMENT_TOOL), "one",
                            str(folder), str(run), name], check=True)
        else:
            os.kill(pid, signal.SIGSTOP)
            time.sleep(2.5)
            os.kill(pid, signal.SIGCONT)


def seeds(deployment, count):
    folder = ROOT / "examples" / deployment
    settings = json.loads((folder / "load-faults.json").read_text())
    settings.update(requests=900)
    code = 0
    for seed in range(1, count + 1):
        run = ROOT / "run" / f"seeds-{deployment}"
        deploy(folder, run)
        finished = threading.Event()
        fault_thread = threading.Thread(target=inject_router_faults,
                                        args=(folder, run, seed, finished))
        fault_thread.start()
        try:
            settings["seed"] = seed
            result = run_load(dict(settings), f"{deployment}-seed-{seed}")
            print_row(f"{deployment} seed {seed}", result)
            if result["exit"]:
                code = 1
                print(result["output"])
        finally:
            finished.set()
            fault_thread.join()
            stop(run)
    return code


def main():
    words = sys.argv[1:]
    if words[:1] == ["resume"] and len(words) == 2:
        resume(words[1])
    elif words == ["overload"]:
        overload()
    elif words[:1] == ["seeds"] and len(words) == 3:
        sys.exit(seeds(words[1], int(words[2])))
    else:
        sys.exit(__doc__)


if __name__ == "__main__":
    main()
