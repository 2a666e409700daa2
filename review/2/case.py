"""A runner spoils the ID of an event. See claim.txt."""

import asyncio
import os
import random
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "standins"))

from standins import (  # noqa: E402
    HOST, KEY, Deployment, Record, Runner, desired_state, engine_service,
    now, request, run_case, stream_route)

TROUBLE = os.environ.get("TROUBLE", "1") != "0"

MODELS = 3
MEMORY = 88000
TOKENS = (800, 240)
EVENTS = 40
STREAMS_PER_S = 30

# The runner spoils this share of its answers at most, for a while: the first
# byte of the first event's ID is sent twice.
WRONG_SHARE = 0.05

WARM_S = 3.0
WRONG_AT_S = 4.0
WRONG_S = 5.0
END_S = 14.0


class WrongRunner(Runner):
    """A runner that spoils a few of its answers for a while."""

    wrong = False
    answers = 0
    spoiled = 0

    async def stream(self, message, request_id, writer):
        spoils = False
        if self.wrong:
            self.answers += 1
            if self.spoiled + 1 <= WRONG_SHARE * self.answers:
                self.spoiled += 1
                spoils = True
                self.record.line(
                    "runner %s spoils its answer to %s, %d of %d answers"
                    % (self.name, request_id, self.spoiled, self.answers))
        await super().stream(
            message, request_id, SpoilingWriter(writer) if spoils else writer)


class SpoilingWriter:
    """Sends the ID 11 in place of the ID 1."""

    def __init__(self, writer):
        self.writer = writer

    def write(self, data):
        if b"id: 1\n" in data:
            data = data.replace(b"id: 1\n", b"id: 11\n")
            size, rest = data.split(b"\r\n", 1)
            data = b"%x\r\n%s" % (int(size, 16) + 1, rest)
        self.writer.write(data)

    async def drain(self):
        await self.writer.drain()


async def main():
    record = Record(os.path.join(HERE, "record.txt"))
    deployment = Deployment(record)
    try:
        store = deployment.store
        await store.start()
        models = []
        for n in range(MODELS):
            model = WrongRunner(store, record, "model", "z%d" % (n % 2), 64,
                                192, deployment.runs, events=EVENTS,
                                first_s=0.2, gap_s=0.03, memory=MEMORY)
            await model.start()
            models.append(model)
        store.put("op", "config", desired_state(
            7, [stream_route("digest", "/digest/", "model")],
            [engine_service("model", MEMORY)]))
        await deployment.start_gateways(["z0", "z1"])
        hosts = deployment.gateways
        await asyncio.sleep(WARM_S)
        start = now()
        end = start + END_S
        results = []

        async def client(host):
            request_id = "%012x" % random.getrandbits(48)
            answer = await request(host.front, (
                "POST /digest/%s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\n"
                "X-Deadline-Ms: 25000\r\nAuthorization: Bearer %s\r\n"
                "X-Model: m\r\nX-Token-Counts: %d,%d\r\n"
                "X-Prompt-Prefix: %s:%d\r\nContent-Length: 0\r\n\r\n"
                % (request_id, HOST, request_id, KEY, TOKENS[0], TOKENS[1],
                   request_id, TOKENS[0])).encode(), 25)
            pieces = [line[6:].decode() for line in answer.body.split(b"\n")
                      if line.startswith(b"data: ")]
            expected = ["%s-%d" % (request_id, n)
                        for n in range(1, EVENTS + 1)]
            missing = [it for it in expected if it not in pieces]
            wrong = answer.status == 200 and pieces != expected
            record.line("client sends /digest/%s to %s and gets %s, complete, "
                        "%d of %d pieces%s"
                        % (request_id, host.front,
                           answer.status or answer.note, len(pieces), EVENTS,
                           ", missing: " + " ".join(missing)
                           if wrong else ""))
            results.append((answer.status, wrong))

        tasks = set()

        async def load():
            n = 0
            while now() < end:
                n += 1
                task = asyncio.ensure_future(client(hosts[n % 2]))
                tasks.add(task)
                task.add_done_callback(tasks.discard)
                await asyncio.sleep(1 / STREAMS_PER_S)

        async def trouble():
            await asyncio.sleep(WRONG_AT_S)
            models[0].wrong = TROUBLE
            await asyncio.sleep(WRONG_S)
            models[0].wrong = False

        await asyncio.gather(load(), trouble())
        while tasks:
            await asyncio.sleep(0.1)

        served = sum(1 for it in results if it[0] == 200)
        wrong = sum(1 for it in results if it[1])
        record.line("streams: %d, complete: %d, complete with missing pieces: "
                    "%d" % (len(results), served, wrong))
        if not served:
            record.line("the case could not run")
            return 2
        record.line("rule ORDER " + ("broken" if wrong else "held"))
        return 1 if wrong else 0
    finally:
        deployment.end()


if __name__ == "__main__":
    run_case(main)
