"""A store with faults, and a host's own way to it."""

import asyncio
import random

from standins import Store, loopback_ip, now, read_message

from configurations import DRAFT

# Interval at which the store keeps a copy of itself, and for how long.
COPY_S = 0.5
KEPT_COPIES = 16


class FaultyStore(Store):
    """A store that can be away, silent, slow, busy, lose its answers or its
    history, and come back from an older copy."""

    def __init__(self, encoder):
        super().__init__()
        self.encoder = encoder
        self.fault = None
        # Beginning of the names of the tables that fail, and in which way.
        self.table_fault = None
        self.writers = set()
        self.server = None
        # Number of returns, told if it is not 0.
        self.returns = 0
        # Version since which changes are known.
        self.oldest = 0
        self.copies = []
        # Version of the row of another part, 0 if there is none.
        self.draft = 0

    async def listen(self):
        port = int(self.address.split(":")[1]) if self.address else 0
        self.server = await asyncio.start_server(self.serve, self.ip, port)
        self.address = "%s:%d" % (
            self.ip, self.server.sockets[0].getsockname()[1])

    async def start(self):
        self.ip = loopback_ip()
        await self.listen()

    async def keep_copies(self):
        while True:
            self.copies.append((now(), self.version,
                                {k: dict(v) for k, v in self.tables.items()}))
            del self.copies[:-KEPT_COPIES]
            await asyncio.sleep(COPY_S)

    def put_text(self, table, key, text):
        """Writes a row whose value is in base64 already."""
        self.version += 1
        self.tables.setdefault(table, {})[key] = (text, self.version)
        self.changed.set()
        self.changed = asyncio.Event()

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                message = await read_message(reader)
                status, body = await self.handle(message)
                await asyncio.sleep(0.004)
                self.write(writer, status, body)
                await writer.drain()
                if self.encoder.closes:
                    break
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def write(self, writer, status, body):
        text = self.encoder.answer(body)
        fields = "Content-Type: application/json\r\n"
        if self.returns:
            fields += "Store-Era: %d\r\n" % self.returns
        if self.encoder.closes:
            fields += "Connection: close\r\n"
        if self.encoder.chunked:
            half = len(text) // 2
            fields += "Transfer-Encoding: chunked\r\n"
            text = b"".join(b"%x\r\n%s\r\n" % (len(it), it)
                            for it in (text[:half], text[half:]) if it
                            ) + b"0\r\n\r\n"
        else:
            fields += "Content-Length: %d\r\n" % len(text)
        writer.write(("HTTP/1.1 %d x\r\n%s\r\n" % (status, fields)).encode()
                     + text)

    def fault_of(self, message):
        """What is wrong with a call: with all of them, or with those for a
        table."""
        if self.table_fault and not self.fault:
            table, kind = self.table_fault
            if "?Table=" + table in message.start or (
                    message.start.startswith("POST")
                    and b'"Table":"' + table.encode() in message.body):
                return kind
        return self.fault

    async def handle(self, message):
        fault = self.fault_of(message)
        if fault == "unavailable":
            return 503, {}
        if fault == "busy" and random.random() < 0.3:
            return 429, {}
        if fault == "silent":
            await asyncio.sleep(3600)
        if fault == "slow":
            await asyncio.sleep(random.uniform(0.05, 0.4))
        if message.start.startswith("GET /rows-feed"):
            after = int(message.start.split("AfterRevision=")[1].split("&")[0])
            if after > self.version or after < self.oldest:
                return 410, {}
        answer = await super().handle(message)
        if message.start.startswith("GET /rows-feed?Table=op&"):
            self.add_draft(answer[1], after)
        if fault == "lossy" and random.random() < 0.3:
            raise ConnectionError("the answer is lost")
        return answer

    def put_draft(self):
        """Writes a configuration in another part of the table."""
        self.version += 1
        self.draft = self.version

    def add_draft(self, body, after):
        """Changes of a table have the rows of all its parts."""
        if after < self.draft <= self.version:
            body["Rows"].append(
                {"Table": "op", "part": "drafts", "Key": "config",
                 "Value": self.encoder.row(DRAFT), "Ver": self.draft})
            body["Rows"].sort(key=lambda it: it["Ver"])

    def forget_history(self):
        self.oldest = self.version

    def end_connections(self):
        for it in list(self.writers):
            it.transport.abort()

    async def disturb(self, kind, for_s):
        if kind == "killed":
            self.server.close()
            self.end_connections()
            await asyncio.sleep(for_s)
            await self.listen()
            return
        self.fault = kind
        await asyncio.sleep(for_s)
        self.fault = None
        if kind == "silent":
            self.end_connections()

    async def fail_table(self, table, kind, for_s):
        self.table_fault = (table, kind)
        await asyncio.sleep(for_s)
        self.table_fault = None
        if kind == "silent":
            self.end_connections()

    async def return_from_copy(self, age_s, for_s):
        """Is away, and comes back without what was written last."""
        made_by = now() - age_s
        copy = next((it for it in reversed(self.copies) if it[0] <= made_by),
                    self.copies[0])
        self.server.close()
        self.end_connections()
        await asyncio.sleep(for_s)
        _, self.version, tables = copy
        self.tables = {k: dict(v) for k, v in tables.items()}
        self.oldest = 0
        if self.draft > self.version:
            self.draft = 0
        self.copies = [copy]
        if self.returns:
            self.returns += 1
        await self.listen()


class StoreLink:
    """A host's way to the store, which can be cut: connections hang, open ones
    or all, or are reset and refused; or the store turns the host away."""

    def __init__(self, store):
        self.store = store
        self.ip = loopback_ip()
        self.address = ""
        self.server = None
        self.writers = set()
        self.silent = False
        # Status with which the store turns this host away.
        self.refusal = None

    async def listen(self):
        # Below the range of outgoing connections.
        self.server = await asyncio.start_server(self.serve, self.ip, 9000)
        self.address = self.ip + ":9000"

    async def serve(self, reader, writer):
        self.writers.add(writer)
        other = None
        try:
            if self.refusal:
                await self.refuse(reader, writer)
            host, port = self.store.address.split(":")
            other_reader, other = await asyncio.open_connection(
                host, int(port))
            self.writers.add(other)
            await asyncio.gather(self.pump(reader, other),
                                 self.pump(other_reader, writer))
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            for it in (writer, other):
                if it is not None:
                    it.transport.abort()
                    self.writers.discard(it)

    async def refuse(self, reader, writer):
        """Turns all calls of a connection away."""
        while True:
            await read_message(reader)
            writer.write(b"HTTP/1.1 %d x\r\nContent-Length: 2\r\n\r\n{}"
                         % (self.refusal or 503))
            await writer.drain()
            if not self.refusal:
                raise ConnectionError("the host is served again")

    async def pump(self, reader, writer):
        while True:
            data = await reader.read(65536)
            if not data:
                raise ConnectionError("the end of the connection")
            while self.silent or getattr(writer, "hangs", False):
                await asyncio.sleep(0.05)
            writer.write(data)
            await writer.drain()

    def close(self):
        self.server.close()
        for it in list(self.writers):
            it.transport.abort()

    async def cut(self, kind, for_s):
        open_ones = list(self.writers)
        if kind == "refused":
            self.close()
            await asyncio.sleep(for_s)
            # Cuts may overlap.
            if not self.server.is_serving():
                await self.listen()
        elif kind == "turned away":
            self.refusal = random.choice([429, 503])
            for it in open_ones:
                it.transport.abort()
            await asyncio.sleep(for_s)
            self.refusal = None
        elif kind == "silent":
            self.silent = True
            await asyncio.sleep(for_s)
            self.silent = False
        else:
            # Open connections never go on; new ones work.
            for it in open_ones:
                it.hangs = True
