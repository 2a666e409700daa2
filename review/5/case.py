"""A burst of requests with short prompts. See claim.txt."""

import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "standins"))

from standins import (  # noqa: E402
    Deployment, Record, Runner, Traffic, desired_state, engine_service, now,
    stream_route)

TROUBLE = os.environ.get("TROUBLE", "1") != "0"

RUNNERS = 6
MEMORY = 88000
# Tokens of the prompts and the answers of the two kinds of request.
NOTE_TOKENS = (120, 120)
DIGEST_TOKENS = (8000, 120)

# Requests a second. In the burst there are BURST times as many notes.
NOTES_PER_S = 20
DIGESTS_PER_S = 3.4
BURST = 1.7
BURST_S = 3.0

WARM_S = 3.0
# When the route of the digests is added, digests and notes are sent first, the
# burst begins, the steady state begins and the traffic ends.
ADD_S = 1.0
DIGESTS_S = 4.0
NOTES_S = 9.0
BURST_AT_S = 24.0
STEADY_S = 34.0
END_S = 64.0


class PromptRunner(Runner):
    """A runner whose first token takes a fixed time and 1 ms for each 8 tokens
    of the prompt."""

    async def stream(self, message, request_id, writer):
        prompt = int(message.get("x-token-counts").split(",")[0])
        await asyncio.sleep(prompt / 8000)
        await super().stream(message, request_id, writer)


async def main():
    record = Record(os.path.join(HERE, "record.txt"))
    deployment = Deployment(record)
    traffic = Traffic(record)
    try:
        store = deployment.store
        await store.start()
        for n in range(RUNNERS):
            runner = PromptRunner(store, record, "model", "z%d" % (n % 2), 64,
                                  192, deployment.runs, events=20, first_s=0.5,
                                  gap_s=0.03, memory=MEMORY)
            await runner.start()
        routes = [stream_route("note", "/note/", "model")]
        services = [engine_service("model", MEMORY)]
        store.put("op", "config", desired_state(7, routes, services))
        await deployment.start_gateways(["z0", "z1"])
        host = deployment.gateways[0]
        await asyncio.sleep(WARM_S)
        start = now()
        end = start + END_S

        def pick():
            return host.front

        def note():
            traffic.send(pick, "POST", "/note/", 25000, NOTE_TOKENS)

        def digest():
            traffic.send(pick, "POST", "/digest/", 25000, DIGEST_TOKENS)

        async def add_route():
            await asyncio.sleep(start + ADD_S - now())
            routes.append(stream_route("digest", "/digest/", "model"))
            store.put("op", "config", desired_state(9, routes, services))
            record.line("the desired state 9 adds the route /digest/")

        async def digests():
            await asyncio.sleep(start + DIGESTS_S - now())
            await traffic.every(DIGESTS_PER_S, end, digest)

        async def notes():
            await asyncio.sleep(start + NOTES_S - now())
            await traffic.every(NOTES_PER_S, end, note)

        async def burst():
            await asyncio.sleep(start + BURST_AT_S - now())
            if TROUBLE:
                record.line("%.1f times as many notes for %.1f s"
                            % (BURST, BURST_S))
                await traffic.every((BURST - 1) * NOTES_PER_S,
                                    start + BURST_AT_S + BURST_S, note)

        await asyncio.gather(
            notes(), add_route(), digests(), burst())
        while traffic.tasks:
            await asyncio.sleep(0.1)

        since, until = start + STEADY_S, end
        first, first_served = traffic.share(("/note/",), since, until)
        later, later_served = traffic.share(("/digest/",), since, until)
        before, before_served = traffic.share(
            ("/digest/",), 0, start + BURST_AT_S)
        record.line("on the route added later, before the burst: "
                    "%d requests, %d served" % (before, before_served))
        record.line("steady state from %.1f to %.1f" % (since, until))
        record.line("on the first route: %d requests, %d served"
                    % (first, first_served))
        record.line("on the route added later: %d requests, %d served"
                    % (later, later_served))
        if first == 0 or later < 20 or first_served == 0:
            record.line("the case could not run")
            return 2
        broken = later_served / later < 0.25 * first_served / first
        record.line("rule CONFIG " + ("broken" if broken else "held"))
        return 1 if broken else 0
    finally:
        deployment.end()


if __name__ == "__main__":
    try:
        CODE = asyncio.run(asyncio.wait_for(main(), 118))
    except Exception as error:  # pylint: disable=broad-except
        print("the case could not run: %r" % error)
        CODE = 2
    sys.exit(CODE)
