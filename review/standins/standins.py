"""Small stand-ins of the platform's store, of runners and of clients, and the
start of quetzal-gateway processes. They follow the users' pages and use only
loopback addresses and the Python standard library."""

import asyncio
import base64
import json
import os
import random
import shutil
import signal
import subprocess
import sys
import tempfile
import time
import urllib.parse

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
EPOCH = time.monotonic()


def now():
    """Seconds since the start of the script."""
    return time.monotonic() - EPOCH


class Record:
    """Collects the lines of record.txt."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")

    def line(self, text):
        self.file.write("%8.3f %s\n" % (now(), text))
        self.file.flush()


def loopback_ip():
    """A random address of 127.0.0.0/8 with which nothing else is likely to
    collide."""
    return "127.%d.%d.%d" % (
        random.randint(20, 250),
        random.randint(1, 250),
        random.randint(2, 250),
    )


class Message:
    """A parsed HTTP/1.1 message."""

    def __init__(self, start, headers, body):
        self.start = start
        self.headers = headers
        self.body = body

    def get(self, name, default=""):
        return self.headers.get(name.lower(), default)


async def read_head(reader):
    raw = await reader.readuntil(b"\r\n\r\n")
    lines = raw.decode("latin1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_message(reader):
    """Reads a message with a length or in chunks."""
    start, headers = await read_head(reader)
    body = b""
    if headers.get("transfer-encoding", "").lower() == "chunked":
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            chunk = await reader.readexactly(size + 2)
            if size == 0:
                break
            body += chunk[:-2]
    elif "content-length" in headers:
        body = await reader.readexactly(int(headers["content-length"]))
    return Message(start, headers, body)


class Store:
    """The platform's store: rows in tables, transactions, feeds."""

    def __init__(self):
        self.tables = {}
        self.version = 10
        self.changed = asyncio.Event()
        self.address = ""
        self.page = 500

    async def start(self):
        self.ip = loopback_ip()
        server = await asyncio.start_server(self.serve, self.ip, 0)
        self.address = "%s:%d" % (self.ip, server.sockets[0].getsockname()[1])

    def put(self, table, key, value):
        """Writes a row; value None removes it."""
        self.version += 1
        rows = self.tables.setdefault(table, {})
        text = None if value is None else base64.b64encode(
            json.dumps(value).encode()
        ).decode()
        rows[key] = (text, self.version)
        self.changed.set()
        self.changed = asyncio.Event()
        return self.version

    @staticmethod
    def row(table, key, entry):
        row = {"Table": table, "part": "", "Key": key, "Ver": entry[1]}
        if entry[0] is None:
            row["Removed"] = True
        else:
            row["Value"] = entry[0]
        return row

    def answer(self, extra):
        extra.update({"Ver": self.version, "NowMs": int(now() * 1000)})
        return extra

    async def handle(self, message):
        method, target, _ = message.start.split(" ")
        path, _, query = target.partition("?")
        args = dict(x.partition("=")[::2] for x in query.split("&") if x)
        if path == "/rows-get":
            table = args.get("Table", "")
            rows = self.tables.get(table, {})
            limit = min(int(args.get("Limit", self.page)), self.page)
            low = urllib.parse.unquote(args.get("From", ""))
            keys = sorted(
                (k for k, e in rows.items() if e[0] is not None and k >= low),
                key=lambda k: k.encode(),
            )
            out = [self.row(table, k, rows[k]) for k in keys[:limit]]
            return 200, self.answer(
                {"Rows": out, "HasMore": len(keys) > limit}
            )
        if path == "/rows-feed":
            table = args.get("Table", "")
            after = int(args.get("AfterRevision", "0"))
            until = time.monotonic() + int(args.get("WaitMs", "0")) / 1000
            while True:
                rows = self.tables.get(table, {})
                new = sorted(
                    (e[1], k) for k, e in rows.items() if e[1] > after
                )
                left = until - time.monotonic()
                if new or left <= 0:
                    out = [self.row(table, k, rows[k]) for _, k in new]
                    return 200, self.answer({"Rows": out})
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except asyncio.TimeoutError:
                    pass
        if path == "/rows-tx" and method == "POST":
            call = json.loads(message.body)
            current = []
            for it in call.get("Precondition", []):
                entry = self.tables.get(it["Table"], {}).get(it["Key"])
                known = 0 if entry is None or entry[0] is None else entry[1]
                if known != it["Ver"]:
                    current = [
                        self.row(x["Table"], x["Key"],
                                 self.tables[x["Table"]][x["Key"]])
                        for x in call["Precondition"]
                        if self.tables.get(x["Table"], {}).get(
                            x["Key"], (None, 0))[0] is not None
                    ]
                    return 412, self.answer({"Rows": current})
            if any(x["Table"] in ("op", "servers")
                   for x in call.get("Put", []) + call.get("Remove", [])):
                return 403, self.answer({})
            self.version += 1
            for it in call.get("Put", []):
                self.tables.setdefault(it["Table"], {})[it["Key"]] = (
                    it["Value"], self.version)
            for it in call.get("Remove", []):
                self.tables.setdefault(it["Table"], {})[it["Key"]] = (
                    None, self.version)
            self.changed.set()
            self.changed = asyncio.Event()
            return 200, self.answer({})
        return 404, {}

    async def serve(self, reader, writer):
        try:
            while True:
                message = await read_message(reader)
                status, body = await self.handle(message)
                await asyncio.sleep(0.004)
                text = json.dumps(body).encode()
                writer.write(
                    (
                        "HTTP/1.1 %d x\r\nContent-Type: application/json\r\n"
                        "Content-Length: %d\r\n\r\n" % (status, len(text))
                    ).encode() + text
                )
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()


class Runner:
    """A runner: plain requests and streams, a limit on running and waiting
    requests, reports. It drops a request when its channel closes."""

    def __init__(self, store, record, service, zone, slots, queue, runs,
                 work_s=0.06, events=20, first_s=0.1, gap_s=0.03,
                 memory=0):
        self.store = store
        self.record = record
        self.service = service
        self.zone = zone
        self.slots = slots
        self.queue = queue
        self.runs = runs
        self.work_s = work_s
        self.events = events
        self.first_s = first_s
        self.gap_s = gap_s
        self.memory = memory
        self.running = 0
        self.waiting = 0
        self.free = asyncio.Condition()
        self.name = "i-%08x" % random.getrandbits(32)
        self.state = "ready"
        self.used = 0
        self.writers = set()
        self.port = 0

    async def start(self):
        self.ip = loopback_ip()
        await self.listen()
        self.register()

    async def listen(self):
        self.server = await asyncio.start_server(
            self.serve, self.ip, self.port, backlog=1000
        )
        self.port = self.server.sockets[0].getsockname()[1]
        self.address = "%s:%d" % (self.ip, self.port)

    async def crash(self, back_after_s):
        """Resets all channels and refuses new ones for a while; then the
        runner is back under another ID. The entry of the former one expires
        after three heartbeat intervals of 1.2 s."""
        former = self.name
        self.server.close()
        for it in list(self.writers):
            it.transport.abort()
        self.name = "i-%08x" % random.getrandbits(32)

        async def expire():
            await asyncio.sleep(3.6)
            self.store.put("servers", former, None)

        asyncio.ensure_future(expire())
        await asyncio.sleep(back_after_s)
        await self.listen()
        self.register()

    def register(self):
        self.store.put("servers", self.name, {
            "Service": self.service, "Address": self.address,
            "Zone": self.zone, "Version": "v1", "Slots": self.slots,
            "State": self.state, "ColdRemainingMs": 0, "Sequence": 1,
        })

    def head(self, status, request_id, extra=""):
        return (
            "HTTP/1.1 %d x\r\nX-Request-Id: %s\r\nX-Server-Load: %d,%d,%d\r\n"
            "Keep-Alive: timeout=5\r\n%s"
            % (status, request_id, self.running, self.waiting, self.slots,
               extra)
        )

    def refuse(self, writer, status, request_id, extra):
        writer.write(
            (self.head(status, request_id, extra)
             + "Content-Length: 0\r\n\r\n").encode()
        )

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                message = await read_message(reader)
                await self.handle(message, reader, writer)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def report(self):
        return json.dumps({
            "Stage": "both",
            "Models": [{"Name": "m", "Version": 1, "Adapters": []}],
            "Busy": False, "Sequence": 1, "QueuedRequests": self.waiting,
            "ActiveRequests": self.running, "KvUsed": self.used,
            "KvTotal": self.memory, "Handles": 0, "Runs": [],
        }).encode()

    async def handle(self, message, reader, writer):
        method, target, _ = message.start.split(" ")
        request_id = message.get("x-request-id")
        if target == "/report":
            text = self.report()
            writer.write(
                ("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n"
                 % len(text)).encode() + text
            )
            return
        expected = message.get("x-expected-instance")
        if expected and expected != self.name:
            self.refuse(writer, 421, request_id,
                        "X-Instance-Id: %s\r\n" % self.name)
            return
        if not request_id:
            self.refuse(writer, 400, "", "X-Not-Executed: 1\r\n")
            return
        tokens = sum(int(x) for x in message.get("x-token-counts",
                                                 "0,0").split(","))
        full = self.running >= self.slots and self.waiting >= self.queue
        if full or (self.memory and tokens > self.memory):
            self.record.line("runner %s refuses %s" % (self.name, request_id))
            self.refuse(writer, 503, request_id, "X-Not-Executed: 1\r\n")
            return
        closed = asyncio.ensure_future(reader.read(1))
        work = asyncio.ensure_future(
            self.run(message, request_id, tokens, writer))
        done, _ = await asyncio.wait(
            {closed, work}, return_when=asyncio.FIRST_COMPLETED)
        if closed in done:
            # A reset is an end like any other.
            closed.exception()
        if work not in done:
            work.cancel()
            try:
                await work
            except asyncio.CancelledError:
                pass
            self.record.line(
                "runner %s drops %s" % (self.name, request_id))
            raise ConnectionError("closed")
        closed.cancel()
        try:
            await closed
        except (asyncio.CancelledError, OSError):
            pass
        work.result()

    async def run(self, message, request_id, tokens, writer):
        self.waiting += 1
        try:
            async with self.free:
                await self.free.wait_for(
                    lambda: self.running < self.slots and (
                        not self.memory or self.used + tokens <= self.memory))
                self.running += 1
                self.used += tokens
        finally:
            self.waiting -= 1
        self.runs.append((now(), request_id, self.name))
        self.record.line("runner %s runs %s" % (self.name, request_id))
        try:
            if message.get("x-token-counts"):
                await self.stream(message, request_id, writer)
            else:
                await asyncio.sleep(self.work_s)
                body = ("body of %s" % request_id).encode()
                writer.write(
                    (self.head(200, request_id, "X-Server-Seal: s-%s\r\n"
                               % request_id)
                     + "Content-Length: %d\r\n\r\n" % len(body)).encode()
                    + body)
        finally:
            self.running -= 1
            self.used -= tokens
            async with self.free:
                self.free.notify_all()

    async def stream(self, message, request_id, writer):
        after = int(message.get("last-event-id", "0") or 0)
        events = self.events
        await asyncio.sleep(self.first_s)
        writer.write((
            self.head(200, request_id, "X-Server-Seal: s-%s\r\n" % request_id)
            + "Content-Type: text/event-stream\r\n"
            "Transfer-Encoding: chunked\r\n\r\n").encode())
        for n in range(after + 1, events + 1):
            text = ("id: %d\ndata: %s-%d\n\n" % (n, request_id, n)).encode()
            writer.write(b"%x\r\n%s\r\n" % (len(text), text))
            await writer.drain()
            await asyncio.sleep(self.gap_s)
        writer.write(b"0\r\n\r\n")


class Gateway:
    """A process of the deploy file's role on an address of its own."""

    binary = os.path.join(ROOT, "target", "quetzal-gateway")

    def __init__(self, name, zone, store, folder):
        self.name = name
        self.zone = zone
        self.store = store
        self.folder = folder
        self.ip = loopback_ip()
        self.front = "%s:8227" % self.ip
        self.ready = "%s:8220" % self.ip
        self.control = "%s:8229" % self.ip
        self.process = None

    def start(self, seeds, bounds):
        path = os.path.join(self.folder, self.name + ".json")
        with open(path, "w", encoding="utf-8") as file:
            json.dump({
                "host": self.name, "place": self.zone, "region": "r",
                "callers": self.front, "readiness": self.ready,
                "peers": self.control, "loadPort": 7340, "relayPort": 7355,
                "metrics": "%s:9464" % self.ip, "seeds": seeds,
                "store": self.store.address, "maxConnections": 4100,
                "linkMbps": 1000.0, "stopGraceS": bounds["GraceS"],
                "repeatRatio": bounds["RetryBudgetRatio"],
                "repeatAllowance": bounds["RetryBudgetSlack"],
                "repeatWindowS": bounds["BudgetWindowS"],
                "logLevel": "info",
            }, file)
        log = open(os.path.join(self.folder, self.name + ".log"), "a")
        self.process = subprocess.Popen(
            [self.binary], stdout=log, stderr=log, cwd=ROOT,
            env={"PATH": os.environ.get("PATH", ""),
                 "QUETZALQUAY_CONFIG": path})
        log.close()

    def kill(self, number=signal.SIGKILL):
        self.process.send_signal(number)

    async def is_ready(self):
        try:
            host, port = self.ready.split(":")
            reader, writer = await asyncio.wait_for(
                asyncio.open_connection(host, int(port)), 1)
            writer.write(b"GET /readiness HTTP/1.1\r\nHost: x\r\n"
                         b"Connection: close\r\n\r\n")
            start, _ = await asyncio.wait_for(read_head(reader), 1)
            writer.close()
            return " 200 " in start
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            return False


BOUNDS = {"GraceS": 8, "RetryBudgetRatio": 0.8, "RetryBudgetSlack": 150,
          "BudgetWindowS": 10}


class Answer:
    """What a client has got: the status, 0 if the channel ended without a
    complete answer."""

    def __init__(self):
        self.status = 0
        self.headers = {}
        self.body = b""
        self.note = ""
        self.took = 0.0


async def request(address, text, timeout):
    """Sends a request on a new channel and reads the answer."""
    answer = Answer()
    began = time.monotonic()
    writer = None

    async def call():
        nonlocal writer
        host, port = address.split(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(text)
        message = await read_message(reader)
        answer.status = int(message.start.split(" ")[1])
        answer.headers = message.headers
        answer.body = message.body

    try:
        await asyncio.wait_for(call(), timeout)
    except asyncio.TimeoutError:
        answer.note = "gave up"
    except (OSError, asyncio.IncompleteReadError) as error:
        answer.note = type(error).__name__
    if writer is not None:
        writer.close()
    answer.took = time.monotonic() - began
    return answer


class Deployment:
    """A store, runners and gateways, and the files of the processes."""

    def __init__(self, record):
        self.record = record
        self.folder = tempfile.mkdtemp(prefix="quetzal-review-")
        self.store = Store()
        self.gateways = []
        self.runners = []
        self.runs = []

    async def start_gateways(self, zones):
        """Starts a host in each zone and waits until all are ready."""
        for n, zone in enumerate(zones):
            self.gateways.append(
                Gateway("front-%s-%d" % (zone, n), zone, self.store,
                        self.folder))
        seeds = [it.control for it in self.gateways[:3]]
        for it in self.gateways:
            it.start(seeds, BOUNDS)
        for it in self.gateways:
            for _ in range(200):
                if await it.is_ready():
                    break
                await asyncio.sleep(0.1)
            else:
                raise RuntimeError(it.name + " is not ready")

    def end(self):
        """Ends the processes by their ids."""
        for it in self.gateways:
            if it.process is not None and it.process.poll() is None:
                it.process.send_signal(signal.SIGCONT)
                it.process.kill()
                it.process.wait()
        if not os.environ.get("KEEP"):
            shutil.rmtree(self.folder, ignore_errors=True)


def engine_service(name, memory, moves=False):
    """The entry of a model service in the desired state."""
    return {
        "Name": name, "HealthPath": "/health", "MaxConnections": 360,
        "Protocol": "h1", "Tls": False,
        "InferenceEngine": {
            "Slots": 64, "KvCapacityTokens": memory, "KvTokenBytes": 163840,
            "LinkMbps": 1100000.0, "Moves": moves, "Backups": False,
            "Stride": 6, "HandleS": 4.0, "Models": [{"Name": "m"}],
        },
    }


def plain_service(name):
    return {"Name": name, "HealthPath": "/health", "MaxConnections": 96,
            "Protocol": "h1", "Tls": False}


def stream_route(name, prefix, service):
    return {"Name": name, "Host": HOST, "PathPrefix": prefix,
            "Kind": "streaming", "TimeoutMs": 25000, "TargetLatencyMs": 4500,
            "Priority": 1, "Service": service, "MaxAttempts": 5,
            "Public": False, "SessionAffinity": True,
            "StreamResumption": True, "GapTargetMs": 700}


def plain_route(name, prefix, service, kind, attempts):
    return {"Name": name, "Host": HOST, "PathPrefix": prefix, "Kind": kind,
            "TimeoutMs": 800, "TargetLatencyMs": 300, "Priority": 2,
            "Service": service, "MaxAttempts": attempts, "Public": False}


def desired_state(version, routes, services):
    return {
        "Version": version, "Routes": routes, "Services": services,
        "Limits": {"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304,
                   "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
        "Tenants": [{"Name": "t1", "ApiKeys": [KEY], "Priority": 1}],
    }


HOST = "h.example"
KEY = "k1"


class Traffic:
    """Clients that send requests on new channels. A request is repeated once
    after a 429 or 503, when the answer says, under a new ID."""

    def __init__(self, record):
        self.record = record
        self.results = []
        self.number = 0
        self.tasks = set()

    def send(self, pick, method, path, time_ms, tokens=None):
        task = asyncio.ensure_future(
            self.request(pick, method, path, time_ms, tokens))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def request(self, pick, method, path, time_ms, tokens):
        sent_at = now()
        left = time_ms
        served = False
        for attempt in range(2):
            self.number += 1
            request_id = "%08x%04x" % (random.getrandbits(32), self.number)
            body = "" if method == "GET" else "body of %s" % request_id
            text = "%s %s%s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\n" % (
                method, path, request_id, HOST, request_id)
            text += "X-Deadline-Ms: %d\r\nAuthorization: Bearer %s\r\n" % (
                left, KEY)
            if tokens:
                text += ("X-Model: m\r\nX-Token-Counts: %d,%d\r\n"
                         "X-Prompt-Prefix: %s:%d\r\n"
                         % (tokens[0], tokens[1], request_id, tokens[0]))
            if method != "GET":
                text += "Content-Length: %d\r\n" % len(body)
            address = pick()
            answer = await request(
                address, (text + "\r\n" + body).encode(), left / 1000)
            served = answer.status == 200 and "x-server-seal" in answer.headers
            self.record.line("client sends %s%s to %s and gets %s after %.3f s %s"
                             % (path, request_id, address,
                                answer.status or answer.note, answer.took,
                                "" if served else
                                answer.body.decode("latin1").strip()))
            left = time_ms - int((now() - sent_at) * 1000)
            again = answer.status in (429, 503) or (
                not answer.status and answer.note != "gave up")
            if served or not again or left < 100:
                break
            wait = min(float(answer.headers.get("retry-after", "0.05")),
                       left / 3000)
            await asyncio.sleep(wait)
            left = time_ms - int((now() - sent_at) * 1000)
        self.results.append((sent_at, path, served))

    async def every(self, rate, until, send):
        """Calls a function at an even rate until a time."""
        at = now()
        while at < until:
            await asyncio.sleep(max(0, at - now()))
            send()
            at += 1 / rate

    def share(self, paths, since, until):
        """Requests for paths that were sent in a span, and those served."""
        sent = [it for it in self.results
                if it[1] in paths and since <= it[0] < until]
        return len(sent), sum(1 for it in sent if it[2])


def run_case(main):
    """Runs a case, for less than 120 seconds, and exits with its code; with 2
    if it couldn't run. A case that is stopped ends its processes."""

    def stop(_number, _frame):
        raise SystemExit(2)

    signal.signal(signal.SIGTERM, stop)
    try:
        code = asyncio.run(asyncio.wait_for(main(), 116))
    except Exception as error:  # pylint: disable=broad-except
        print("the case could not run: %r" % error)
        code = 2
    sys.exit(code)
