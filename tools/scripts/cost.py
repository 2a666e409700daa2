#!/usr/bin/env python3
"""Measures the resource cost of one router on this machine.

cost.py tokens    CPU time per token and per request, memory by stream count
cost.py control   CPU time, traffic and memory of an idle router, by the number
                  of targets and peers
cost.py full      the same with the target and workspace counts of a full-size
                  deployment
cost.py journal   bytes and objects of the journal, store writes of claims

Uses stand-ins on loopback addresses. Every run is bounded in time.
"""

import json
import os
import pathlib
import subprocess
import sys
import time
import urllib.request

ROOT = pathlib.Path(__file__).resolve().parents[2]
sys.path.insert(0, str(ROOT / "tools/scripts"))
import make_examples  # noqa: E402

RUN_ROOT = ROOT / "run/cost"
DEPLOYMENT_TOOL = ROOT / "tools/scripts/deployment.py"
CLOCK_TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")
# Second octet of the deployments' loopback addresses, 127.40.x.x.
NETWORK = 40


def deploy(name, engines, routers, workspaces, mix, running=None, **settings):
    """Writes a deployment and starts it with its first `running` engines.

    All engines are started if `running` is None.
    """
    make_examples.ROOT = RUN_ROOT
    folder = RUN_ROOT / name
    make_examples.deployment(
        name, NETWORK, "region", ["hall-a", "hall-b"], "pool", engines, "m",
        "LOW_LATENCY", "desk", 1, routers,
        [make_examples.workspace(f"w-{n}", ["m"], ["desk"], 1, 5000, 5000)
         for n in range(workspaces)], mix, [], 10, 10, 0)
    for path in folder.glob("router-*.json"):
        router = json.loads(path.read_text())
        router.update(settings)
        path.write_text(json.dumps(router))
    start(folder, engines if running is None else running)
    return folder


def start(folder, running):
    import deployment
    run = folder / "run"
    run.mkdir(parents=True, exist_ok=True)
    processes = deployment.all_processes(folder, run)
    router_processes = []
    for name, (program, settings) in processes.items():
        if name.startswith("pool-") and int(name[5:]) > running:
            continue
        if program == "quetzal-controller":
            continue
        if program == "quetzal-router":
            router_processes.append((name, program, settings))
        else:
            deployment.spawn(name, program, settings, run)
    deployment.import_configuration(folder)
    for entry in router_processes:
        deployment.spawn(*entry, run)
    deployment.wait_ready(folder)
    time.sleep(2)


def stop(folder):
    subprocess.run([sys.executable, str(DEPLOYMENT_TOOL), "stop",
                    str(folder / "run")], check=True)


def pid_of(folder, name="router-1"):
    return int((folder / "run" / f"{name}.pid").read_text())


def cpu_seconds(pid):
    fields = pathlib.Path(f"/proc/{pid}/stat").read_text().split(")")[1].split()
    return (int(fields[11]) + int(fields[12])) / CLOCK_TICKS_PER_SECOND


def memory_mb_and_threads(pid):
    status = pathlib.Path(f"/proc/{pid}/status").read_text()
    values = {line.split(":")[0]: line.split()[1]
              for line in status.splitlines() if len(line.split()) > 1}
    anonymous = int(values["RssAnon"])
    return anonymous / 1024, int(values["VmRSS"]) / 1024, int(values["Threads"])


def loopback_bytes():
    for line in pathlib.Path("/proc/net/dev").read_text().splitlines():
        if line.strip().startswith("lo:"):
            return int(line.split(":")[1].split()[0])
    return 0


def metric(folder, name):
    listen = json.loads((folder / "router-1.json").read_text())["listen"]
    url = f"http://{listen['address']}:8001/metrics"
    for line in urllib.request.urlopen(url).read().decode().splitlines():
        if line.startswith(name + "{"):
            return float(line.rsplit(" ", 1)[1])
    return 0.0


def write_load_settings(folder, **changes):
    settings = json.loads((folder / "load-calm.json").read_text())
    settings["routers"] = settings["routers"][:1]
    settings.update(changes)
    path = folder / "load.json"
    result = folder / "result.json"
    settings["result_file"] = str(result)
    settings["targets"] = settings["targets"][:8]
    path.write_text(json.dumps(settings))
    return path, result


def run_load(path, result):
    done = subprocess.run([str(ROOT / "build/quetzal-load"), "--settings",
                           str(path)], capture_output=True, text=True)
    assert done.returncode == 0, done.stdout + done.stderr
    return json.loads(result.read_text())


def stream_kind(tokens, **fields):
    return make_examples.kind("stream", "w-0", 1, model="m", prompt_tokens=50,
                              max_tokens=tokens, stream=True,
                              deadline_ms=120000, **fields)


def measure_tokens():
    print("streams tokens/s cpu_us/token anon_MB rss_MB threads gap_p95_ms")
    folder = deploy("tokens", 8, 1, 1, [stream_kind(300)])
    try:
        for streams in (10, 50, 100, 200):
            path, result = write_load_settings(folder, requests=streams,
                                               concurrency=streams)
            pid = pid_of(folder)
            before = cpu_seconds(pid)
            sent = metric(folder, "quetzal_tokens_total")
            process = subprocess.Popen(
                [str(ROOT / "build/quetzal-load"), "--settings", str(path)],
                stdout=subprocess.DEVNULL)
            time.sleep(3)
            anon, rss, threads = memory_mb_and_threads(pid)
            process.wait()
            report = json.loads(result.read_text())
            used = cpu_seconds(pid) - before
            count = metric(folder, "quetzal_tokens_total") - sent
            print(f"{streams:7} {report['tokens_per_second']:8.0f} "
                  f"{used / count * 1e6:12.1f} {anon:7.1f} {rss:6.1f} "
                  f"{threads:7} {report['gap_ms']['p95']:10.2f}", flush=True)
        path, result = write_load_settings(folder, mix=[stream_kind(1)],
                                           requests=2000, concurrency=40)
        before = cpu_seconds(pid_of(folder))
        run_load(path, result)
        used = cpu_seconds(pid_of(folder)) - before
        print(f"single-token requests: {used / 2000 * 1e6:.0f} us per request")
    finally:
        stop(folder)


def measure_idle(name, engines, running, routers, workspaces, seconds=8,
                 **settings):
    folder = deploy(name, engines, routers, workspaces, [stream_kind(10)],
                    running, **settings)
    try:
        pid = pid_of(folder)
        cpu, sent, at = cpu_seconds(pid), loopback_bytes(), time.time()
        calls = metric(folder, "quetzal_poll_calls_total")
        peers = metric(folder, "quetzal_peer_bytes_total")
        time.sleep(seconds)
        span = time.time() - at
        anon, rss, threads = memory_mb_and_threads(pid)
        print(f"{name:22} targets {engines:5} routers {routers:3} workspaces "
              f"{workspaces:5}: cpu {(cpu_seconds(pid) - cpu) / span * 100:6.2f}% "
              f"polls/s {(metric(folder, 'quetzal_poll_calls_total') - calls) / span:6.1f} "
              f"lo KB/s per router {(loopback_bytes() - sent) / span / 1024 / routers:7.1f} "
              f"peer KB/s {(metric(folder, 'quetzal_peer_bytes_total') - peers) / span / 1024:6.2f} "
              f"anon {anon:5.1f} MB rss {rss:5.1f} MB threads {threads}",
              flush=True)
    finally:
        stop(folder)


def measure_control():
    no_polling = {"poll_interval_ms": 60000, "peer_interval_ms": 60000}
    measure_idle("base", 8, 8, 1, 10, **no_polling)
    measure_idle("polls-8", 8, 8, 1, 10, peer_interval_ms=60000)
    measure_idle("polls-32", 32, 32, 1, 10, peer_interval_ms=60000)
    measure_idle("peers-3x1", 8, 8, 4, 10, poll_interval_ms=60000)
    measure_idle("peers-3x1-of-8", 8, 8, 8, 10, poll_interval_ms=60000)


def measure_full():
    measure_idle("full-size-settings", 1100, 32, 2, 1700, subset_size=32,
                 poll_interval_ms=4000, peer_interval_ms=1000, peer_fanout=1)


def measure_journal():
    folder = deploy("journal", 8, 1, 1, [stream_kind(400)])
    try:
        path, result = write_load_settings(folder, requests=60, concurrency=60)
        report = run_load(path, result)
        time.sleep(2.5)
        objects = metric(folder, "quetzal_journal_objects_total")
        size = metric(folder, "quetzal_journal_bytes_total")
        print(f"60 streams of 400 tokens in {report['seconds']:.1f} s: "
              f"{objects:.0f} objects, {size / report['tokens']:.2f} journal "
              f"bytes per token")
        kind = stream_kind(2, non_idempotent=True)
        path, result = write_load_settings(folder, mix=[kind], requests=600,
                                           concurrency=60)
        before = store_counters(folder)
        report = run_load(path, result)
        time.sleep(1)
        after = store_counters(folder)
        print(f"600 claimed requests in {report['seconds']:.1f} s: "
              f"{(after['writes'] - before['writes']) / 600:.2f} store writes "
              f"per request for the claim and its outcome")
    finally:
        stop(folder)


def store_counters(folder):
    listen = json.loads((folder / "router-1.json").read_text())["platform"]
    url = f"http://{listen['address']}:9100/records"
    return json.load(urllib.request.urlopen(url))


def main():
    commands = {"tokens": measure_tokens, "control": measure_control,
                "full": measure_full, "journal": measure_journal}
    if len(sys.argv) != 2 or sys.argv[1] not in commands:
        sys.exit(__doc__)
    commands[sys.argv[1]]()


if __name__ == "__main__":
    main()
