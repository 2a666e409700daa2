#!/usr/bin/env python3
"""Writes the example deployments below examples/.

Each deployment gets configuration.json, settings files for its routers, API
and controllers, and two experiments for quetzal-load. The bearer key of
workspace NAME is "NAME-key"; never use these keys outside a test.
"""

import hashlib
import json
import pathlib

ROOT = pathlib.Path(__file__).resolve().parents[2] / "examples"
ROUTER_PORT = 8000
METRICS_PORT = 8001
PEER_PORT = 8002
API_PORT = 8200
PLATFORM_PORT = 8100
TARGET_PORT = 9000
CONTROL_PORT = 9100


def write(path, value):
    path.parent.mkdir(parents=True, exist_ok=True)
    path.write_text(json.dumps(value, indent=2) + "\n")


def workspace(name, models, services, priority=1, concurrent=200, rate=200):
    return {
        "name": name,
        "key_sha256": [hashlib.sha256(f"{name}-key".encode()).hexdigest()],
        "priority": priority,
        "weight": 10 * priority,
        "max_concurrent": concurrent,
        "requests_per_second": rate,
        "models": models,
        "services": services,
    }


def address(prefix, number):
    """Returns a target's address; large pools span several networks."""
    if number < 250:
        return f"{prefix}.{number + 1}"
    return (prefix.rsplit(".", 1)[0] + f".{20 + number // 250}"
            f".{number % 250 + 1}")


def targets(service, count, places, prefix):
    return [
        {
            "name": f"{service}-{n + 1}",
            "service": service,
            "place": places[n % len(places)],
            "address": address(prefix, n),
            "port": TARGET_PORT,
            "checks_fence": n % 2 == 0,
        }
        for n in range(count)
    ]


def peer(number, network):
    return {"name": f"router-{number}",
            "endpoint": {"address": f"127.{network}.1.{number}",
                         "port": PEER_PORT}}


def api(network, routers):
    key = hashlib.sha256(b"operator-key").hexdigest()
    return {
        "name": "api-1",
        "listen": {"address": f"127.{network}.5.1", "port": API_PORT},
        "platform": {"address": f"127.{network}.4.1", "port": PLATFORM_PORT},
        "operator_key_sha256": [key],
        "routers": [{"address": f"127.{network}.1.{n + 1}", "port": ROUTER_PORT}
                    for n in range(routers)],
        "observe": {"log_level": "info"},
    }


def controller(network, number):
    return {
        "name": f"controller-{number}",
        "platform": {"address": f"127.{network}.4.1", "port": PLATFORM_PORT},
        "lease_ms": 5000,
        "order_ms": 2000,
        "max_loading_share": 0.25,
        "min_ready_share": 0.5,
        "observe": {"log_level": "info"},
    }


def router(number, place, network, count):
    return {
        "name": f"router-{number}",
        "place": place,
        "listen": {"address": f"127.{network}.1.{number}", "port": ROUTER_PORT},
        "max_connections": 1024,
        "follow_store": True,
        "peer_listen": {"address": f"127.{network}.1.{number}",
                        "port": PEER_PORT},
        "peers": [peer(n, network) for n in range(1, count + 1) if n != number],
        "event_id_keys": [
            {"id": "k1", "secret": "change-me-in-every-deployment-0001"}
        ],
        "observe": {"log_level": "info", "metrics_port": METRICS_PORT},
        "platform": {"address": f"127.{network}.4.1", "port": PLATFORM_PORT},
        "default_deadline_ms": 60000,
        "max_deadline_ms": 600000,
        "stop_grace_ms": 10000,
        "max_body_bytes": 4194304,
        "subset_size": 0,
        "poll_interval_ms": 500,
        "peer_interval_ms": 1000,
        "peer_fanout": 3,
        "journal_interval_ms": 2000,
    }


def kind(name, owner, share, **fields):
    return {"name": name, "workspace_key": f"{owner}-key", "share": share,
            **fields}


def deployment(folder, network, region, places, pool, engine_count, model,
               preset, plain_service, plain_count, routers, workspaces, mix,
               faults, requests, concurrency, rate):
    out = ROOT / folder
    pool_targets = targets(pool, engine_count, places, f"127.{network}.2")
    plain_targets = targets(plain_service, plain_count, places,
                            f"127.{network}.3")
    write(out / "configuration.json", {
        "revision": 1,
        "places": [{"name": p, "region": region} for p in places],
        "models": [{"name": model, "serving_version": "3"}],
        "versions": [{"model": model, "name": "3"}],
        "adapters": [{"name": "wards", "model": model, "version": "1"}],
        "workspaces": workspaces,
        "services": [
            {"name": pool, "kind": "MODEL_POOL", "model": model,
             "recovery": preset},
            {"name": plain_service, "kind": "PLAIN"},
        ],
        "targets": pool_targets + plain_targets,
    })
    for n in range(routers):
        write(out / f"router-{n + 1}.json",
              router(n + 1, places[n % len(places)], network, routers))
    write(out / "api-1.json", api(network, routers))
    for n in range(2):
        write(out / f"controller-{n + 1}.json", controller(network, n + 1))
    control = [{"address": t["address"], "port": CONTROL_PORT}
               for t in pool_targets + plain_targets]
    common = {
        "seed": 1,
        "routers": [{"address": f"127.{network}.1.{n + 1}", "port": ROUTER_PORT}
                    for n in range(routers)],
        "targets": control,
        "platform": {"address": f"127.{network}.4.1", "port": CONTROL_PORT},
        "mix": mix,
        "requests": requests,
        "concurrency": concurrency,
        "arrivals_per_second": rate,
    }
    write(out / "load-calm.json", {"name": f"{folder}-calm", **common})
    write(out / "load-faults.json",
          {"name": f"{folder}-faults", **common, "faults": faults})


def store_faults():
    return [
        {"kind": "STORE_DOWN", "at_ms": 6000, "for_ms": 3000,
         "every_ms": 19000},
        {"kind": "STORE_LOSE_ANSWERS", "at_ms": 12000, "for_ms": 3000,
         "every_ms": 17000},
        {"kind": "STORE_SLOW", "at_ms": 16000, "for_ms": 2000, "factor": 50,
         "every_ms": 23000},
    ]


def engine_faults(period_ms):
    return [
        {"kind": "DIE", "at_ms": 2000, "for_ms": 1500, "every_ms": period_ms,
         "random_target": True},
        {"kind": "PAUSE", "at_ms": 3500, "for_ms": 4000, "every_ms": period_ms,
         "random_target": True},
        {"kind": "SLOW", "at_ms": 5000, "for_ms": 5000, "factor": 4,
         "every_ms": 2 * period_ms, "random_target": True},
    ]


def main():
    suro = ["suro-model"]
    desk = ["suro-desk"]
    hanbit_workspaces = (
        [workspace("dispatch-office", suro, desk, 5)]
        + [workspace(f"crew-{n}", suro, desk, 2) for n in range(1, 6)]
        + [workspace(f"ward-{n}", suro, desk, 1) for n in range(1, 4)]
        + [workspace("residents", suro, desk, 3, 400, 400)]
    )
    deployment(
        "hanbit", 10, "gyeonggi", ["suwon-hall", "anyang-hall", "yongin-hall"],
        "suro-model", 35, "suro-model", "LOW_COST", "suro-desk", 3, 7,
        hanbit_workspaces,
        [
            kind("summary", "crew-1", 30, model="suro-model",
                 prompt_tokens=400, max_tokens=400, stream=True,
                 deadline_ms=120000),
            kind("ward-summary", "ward-1", 10, model="suro-model",
                 prompt_tokens=300, max_tokens=200, deadline_ms=120000),
            kind("lookup", "residents", 50, model="suro-model",
                 prompt_tokens=60, max_tokens=24, stream=True,
                 deadline_ms=20000),
            kind("dispatch", "dispatch-office", 10, service="suro-desk",
                 non_idempotent=True, deadline_ms=10000),
        ],
        engine_faults(6000) + store_faults(), 1500, 200, 40)
    pool = ["quetzal-pool"]
    app = ["timing-app"]
    kierrosaika_workspaces = (
        [workspace("race-director", pool, app, 5)]
        + [workspace(f"club-{n}", pool, app, 2) for n in range(1, 6)]
        + [workspace(f"team-{n}", pool, app, 2) for n in range(1, 4)]
        + [workspace("stands", pool, app, 1, 400, 400)]
    )
    deployment(
        "kierrosaika", 20, "fi-south", ["hall-a", "hall-b", "hall-c"],
        "quetzal-pool", 25, "quetzal-pool", "LOW_LATENCY", "timing-app", 3, 6,
        kierrosaika_workspaces,
        [
            kind("commentary", "club-1", 40, model="quetzal-pool",
                 prompt_tokens=200, max_tokens=150, stream=True,
                 deadline_ms=60000),
            kind("protest", "race-director", 20, model="quetzal-pool",
                 prompt_tokens=300, max_tokens=300, stream=True,
                 non_idempotent=True, deadline_ms=60000),
            kind("lookup", "stands", 30, model="quetzal-pool",
                 prompt_tokens=50, max_tokens=20, stream=True,
                 deadline_ms=15000),
            kind("result", "team-1", 10, service="timing-app",
                 non_idempotent=True, deadline_ms=10000),
        ],
        engine_faults(4000) + store_faults(), 1500, 200, 40)
    places = ["hall-a", "hall-b"]
    deployment(
        "demo", 30, "demo-region", places, "story-pool", 3, "story",
        "LOW_LATENCY", "desk", 1, 2,
        [workspace("demo", ["story"], ["desk"], 1, 200, 200)],
        [
            kind("story", "demo", 6, model="story", prompt_tokens=100,
                 max_tokens=200, stream=True, deadline_ms=30000),
            kind("protest", "demo", 2, model="story", prompt_tokens=100,
                 max_tokens=100, stream=True, non_idempotent=True,
                 deadline_ms=30000),
            kind("dispatch", "demo", 2, service="desk", non_idempotent=True,
                 deadline_ms=10000),
        ],
        engine_faults(3000) + store_faults(), 200, 20, 0)


if __name__ == "__main__":
    main()
