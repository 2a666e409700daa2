"""A request that crashes each runner some time after it has begun to run. See
claim.txt."""

import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "standins"))

from standins import (  # noqa: E402
    HOST, KEY, Deployment, Record, Runner, Traffic, desired_state,
    engine_service, now, request, run_case, stream_route)

TROUBLE = os.environ.get("TROUBLE", "1") != "0"

RUNNERS = 6
MEMORY = 88000
STABILITY_S = 3.0
# Tokens of a prompt and of an answer, 6 of them in an event. The deadly request
# would run for 16 s.
TOKENS = (800, 600)
DEADLY_TOKENS = (800, 2400)
PATH = "/digest/deadly"
BODY = "a body that crashes runners"

# From the first event of a run of the deadly request to the crash, and from
# the crash until the runner is back.
CRASH_AFTER_S = 2.5
BACK_AFTER_S = 3.0

WARM_S = 3.0
FIRST_S = 3.0
END_S = 62.0


class MortalRunner(Runner):
    """A runner that crashes on one body: it resets its channels, refuses new
    ones and comes back at its address under another ID."""

    async def run(self, message, request_id, tokens, writer):
        if message.body.decode("latin1") == BODY:
            ARRIVALS.append((now(), self.name))
            if TROUBLE:
                asyncio.ensure_future(self.crash_later())
        await super().run(message, request_id, tokens, writer)

    async def stream(self, message, request_id, writer):
        self.events = int(message.get("x-token-counts").split(",")[1]) // 6
        await super().stream(message, request_id, writer)

    async def crash_later(self):
        lifetime = self.name
        await asyncio.sleep(self.first_s + CRASH_AFTER_S)
        if self.name != lifetime:
            return
        self.record.line("runner %s crashes" % self.name)
        CRASHES.append((now(), self.name))
        await self.crash(BACK_AFTER_S)


ARRIVALS = []
CRASHES = []


async def main():
    record = Record(os.path.join(HERE, "record.txt"))
    deployment = Deployment(record)
    traffic = Traffic(record)
    try:
        store = deployment.store
        await store.start()
        for n in range(RUNNERS):
            await MortalRunner(store, record, "model", "z%d" % (n % 2), 64,
                               192, deployment.runs, first_s=0.3, gap_s=0.04, memory=MEMORY).start()
        # The other callers' streams may run once only.
        once = stream_route("crew", "/crew/", "model")
        once["StreamResumption"] = False
        store.put("op", "config", desired_state(
            7, [stream_route("digest", "/digest/", "model"), once],
            [engine_service("model", MEMORY)]))
        await deployment.start_gateways(["z0", "z1"])
        await asyncio.sleep(WARM_S)
        start = now()
        end = start + END_S

        def front(n):
            return deployment.gateways[n % 2].front

        async def deadly():
            await asyncio.sleep(FIRST_S)
            n = 0
            while now() < end:
                n += 1
                request_id = "deadly%04d" % n
                text = ("POST %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\n"
                        "X-Deadline-Ms: 25000\r\nAuthorization: Bearer %s\r\n"
                        "X-Model: m\r\nX-Token-Counts: %d,%d\r\n"
                        "X-Prompt-Prefix: dead:%d\r\nContent-Length: %d\r\n\r\n%s"
                        % (PATH, HOST, request_id, KEY, *DEADLY_TOKENS,
                           DEADLY_TOKENS[0], len(BODY), BODY))
                answer = await request(front(n), text.encode(), 25)
                record.line("client sends %s as %s to %s and gets %s after "
                            "%.3f s %s" % (PATH, request_id, front(n),
                                           answer.status or answer.note,
                                           answer.took,
                                           answer.body[:80] if
                                           answer.status != 200 else ""))
                await asyncio.sleep(1)

        count = [0]

        def other():
            count[0] += 1
            n = count[0]
            traffic.send(lambda: front(n), "POST", "/crew/", 25000, TOKENS)

        await asyncio.gather(deadly(), traffic.every(3, end, other))
        while traffic.tasks:
            await asyncio.sleep(0.1)

        sent, served = traffic.share(("/crew/",), 0, end)
        record.line("other callers' requests: %d, served %d" % (sent, served))
        record.line("arrivals of the deadly request at runners: %d"
                    % len(ARRIVALS))
        record.line("crashes: %d" % len(CRASHES))
        if not ARRIVALS or sent == 0:
            record.line("the case could not run")
            return 2
        late = []
        if len(CRASHES) >= 3:
            late = [it for it in ARRIVALS
                    if it[0] > CRASHES[2][0] + STABILITY_S]
        record.line("retries that reached runners later than %.0f s after the "
                    "third crash: %d" % (STABILITY_S, len(late)))
        broken = len(late) > 3
        record.line("rule BUDGET " + ("broken" if broken else "held"))
        return 1 if broken else 0
    finally:
        deployment.end()


if __name__ == "__main__":
    run_case(main)
