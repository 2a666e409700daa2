"""A plain request takes each runner that begins to run it into the dark: the
runner's channels fall silent without a reset, new ones are not answered, and
the runner is back after some seconds under a new ID."""

import asyncio
import os
import random
import socket
import struct
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "standins"))

# pylint: disable=wrong-import-position
import standins
from standins import Deployment, Record, Traffic, now

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
# For comparison: the runner's channels are reset instead, and new ones are
# refused.
RESETS = os.environ.get("CRASH") == "reset"

RUNNERS = 27
POISON = "/s/poison"
TIME_MS = 1500
# The runner is dark for this long. Its entry is removed after three heartbeat
# intervals of 1.2 s.
DARK_S = 4.0
EXPIRY_S = 3.6
STABILITY_S = 3.0
ALLOWED_RETRIES = 3


class CrashingRunner(standins.Runner):
    """A runner that a request takes into the dark."""

    def __init__(self, *args, arrivals, crashes, **named):
        super().__init__(*args, **named)
        self.arrivals = arrivals
        self.crashes = crashes
        self.dark = False
        self.fillers = []

    async def listen(self):
        if self.port == 0:
            self.listener = socket.socket()
            self.listener.setsockopt(
                socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            self.listener.setblocking(False)
            self.listener.bind((self.ip, 0))
            self.port = self.listener.getsockname()[1]
            self.address = "%s:%d" % (self.ip, self.port)
        self.listener.listen(1000)
        self.acceptor = asyncio.ensure_future(self.accept())

    async def accept(self):
        loop = asyncio.get_running_loop()
        while True:
            channel, _ = await loop.sock_accept(self.listener)
            reader, writer = await asyncio.open_connection(sock=channel)
            asyncio.ensure_future(self.serve(reader, writer))

    def reset_all(self):
        for it in list(self.writers):
            channel = it.get_extra_info("socket")
            if channel is not None and channel.fileno() >= 0:
                channel.setsockopt(
                    socket.SOL_SOCKET, socket.SO_LINGER,
                    struct.pack("ii", 1, 0))
            it.transport.abort()

    def stop_answering(self):
        """New channels get no answer: the queue of the listening socket is
        full, so that further opening packets are dropped."""
        self.acceptor.cancel()
        self.listener.listen(0)
        for _ in range(2):
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex((self.ip, self.port))
            self.fillers.append(filler)

    async def go_down(self):
        former = self.name
        self.dark = True
        self.name = "i-%08x" % random.getrandbits(32)
        if RESETS:
            self.acceptor.cancel()
            self.listener.close()
            self.reset_all()
        else:
            self.stop_answering()

        async def expire():
            await asyncio.sleep(EXPIRY_S)
            self.store.put("servers", former, None)

        asyncio.ensure_future(expire())
        await asyncio.sleep(DARK_S)
        # Whatever still waits on a channel of before is reset, as the new
        # process knows nothing of it.
        self.reset_all()
        for it in self.fillers:
            it.close()
        self.fillers = []
        self.dark = False
        if RESETS:
            self.listener = socket.socket()
            self.listener.setsockopt(
                socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            self.listener.setblocking(False)
            self.listener.bind((self.ip, self.port))
        await self.listen()
        self.register()
        self.record.line("runner %s is back as %s" % (former, self.name))

    async def handle(self, message, reader, writer):
        if self.dark:
            await asyncio.sleep(3600)
        await super().handle(message, reader, writer)

    async def run(self, message, request_id, tokens, writer):
        if POISON not in message.start:
            await super().run(message, request_id, tokens, writer)
            if self.dark:
                await asyncio.sleep(3600)
            return
        self.arrivals.append((now(), request_id, self.name))
        self.record.line("runner %s runs %s of the request %s"
                         % (self.name, request_id, POISON))
        if not TROUBLE:
            await super().run(message, request_id, tokens, writer)
            return
        await asyncio.sleep(0.02)
        self.crashes.append((now(), request_id, self.name))
        self.record.line("runner %s crashes" % self.name)
        asyncio.ensure_future(self.go_down())
        await asyncio.sleep(3600)

    async def stream(self, message, request_id, writer):
        raise RuntimeError("no streams here")


async def main():
    record = Record(os.path.join(HERE, "record.txt"))
    deployment = Deployment(record)
    arrivals = []
    crashes = []
    try:
        await deployment.store.start()
        for n in range(RUNNERS):
            await CrashingRunner(
                deployment.store, record, "desk", "z%d" % (n % 3), 6, 24,
                deployment.runs, arrivals=arrivals, crashes=crashes).start()
        deployment.store.put("op", "config", standins.desired_state(
            5,
            [standins.plain_route("r", "/s/", "desk", "safe", 2),
             standins.plain_route("u", "/u/", "desk", "unsafe", 1)],
            [standins.plain_service("desk")]))
        await deployment.start_gateways(["z0", "z1", "z2"])
        traffic = Traffic(record)
        fronts = [it.front for it in deployment.gateways]

        def pick():
            return random.choice(fronts)

        async def send_poison():
            # The same path, caller and (empty) body each time; the client
            # repeats it once where that is allowed.
            for _ in range(2):
                request_id = "%016x" % random.getrandbits(64)
                answer = await standins.request(
                    pick(),
                    ("GET %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\n"
                     "X-Deadline-Ms: %d\r\nAuthorization: Bearer %s\r\n\r\n"
                     % (POISON, standins.HOST, request_id, TIME_MS,
                        standins.KEY)).encode(), TIME_MS / 1000)
                record.line("client sends %s as %s and gets %s after %.3f s"
                            % (POISON, request_id,
                               answer.status or answer.note, answer.took))
                if answer.status == 200 or answer.took > 1:
                    break
                await asyncio.sleep(0.3)

        until = now() + 75

        def send_others():
            traffic.send(pick, "GET", "/s/", TIME_MS)
            traffic.send(pick, "POST", "/u/", TIME_MS)

        calm = asyncio.ensure_future(traffic.every(20, until, send_others))
        await asyncio.sleep(3)
        await traffic.every(
            0.2, until, lambda: asyncio.ensure_future(send_poison()))
        await calm
        await asyncio.sleep(3)
        for it in deployment.gateways:
            if it.process.poll() is not None:
                raise RuntimeError(it.name + " has ended")
        sent, served = traffic.share(["/s/"], 0, until)
        once, once_served = traffic.share(["/u/"], 0, until)
        most = max((sum(at <= other[0] < at + DARK_S for other in crashes)
                    for at, _, _ in crashes), default=0)
        first = {}
        for at, request_id, _ in arrivals:
            first.setdefault(request_id, at)
        since = crashes[2][0] + STABILITY_S if len(crashes) > 2 else until
        late = [it for it in arrivals if it[0] > since]
        retries = [it for it in late if it[0] != first[it[1]]]
        broken = len(retries) > ALLOWED_RETRIES
        record.line("%d runs of the request, %d crashes; later than %.0f s "
                    "after the third crash: %d runs, %d of them retries of a "
                    "client attempt (allowed: %d)"
                    % (len(arrivals), len(crashes), STABILITY_S, len(late),
                       len(retries), ALLOWED_RETRIES))
        record.line("runners that were dark at one moment: %d of %d at most"
                    % (most, RUNNERS))
        record.line("others' requests: %d safe ones sent, %d served; %d unsafe "
                    "ones sent, %d served"
                    % (sent, served, once, once_served))
        record.line("BUDGET %s" % ("broken" if broken else "held"))
        print("%d runs, %d crashes, late: %d runs, %d retries; others %d of %d, "
              "unsafe %d of %d"
              % (len(arrivals), len(crashes), len(late), len(retries), served,
                 sent, once_served, once))
        if served < 0.5 * sent:
            raise RuntimeError("too few other requests were served")
        return 1 if broken else 0
    finally:
        deployment.end()


standins.run_case(main)
