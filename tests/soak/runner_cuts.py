"""Cuts hosts from all runners, in the kernel. Hosts reach each runner at one
address and are told apart by their own, from which their connections come."""

import collections
import ctypes
import os
import socket
import struct
import subprocess

from standins import now

HERE = os.path.dirname(os.path.abspath(__file__))
# Below the range of outgoing connections, which could take the port of a
# runner that is away. Nothing but runners has it.
RUNNER_PORT = 9001

# Bounds of the rules.
STABILITY_S = 3.0
FAILED_TRIES = 10
FAILED_SHARE = 1 / 50
SERVED_SHARE = 2 / 3

ATTACH_FILTER, DETACH_FILTER = 26, 27
LOAD, EQUAL, RETURN = 0x20, 0x15, 0x06
# Place of the sender's address in a packet.
SENDER = (-0x100000 + 12) & 0xffffffff


def build_preloaded(folder):
    """Builds the library that gives connections the address of their host."""
    path = os.path.join(folder, "own_address.so")
    subprocess.run(
        [os.environ.get("CC", "cc"), "-shared", "-fPIC", "-O1", "-o", path,
         os.path.join(HERE, "own_address.c"), "-ldl"], check=True)
    return path


def drop_from(sock, addresses):
    """Drops what comes to a socket, or to a listener, from some addresses."""
    if sock.fileno() < 0:
        return
    code = [(LOAD, 0, 0, SENDER)]
    code += [(EQUAL, len(addresses) - n, 0,
              int.from_bytes(socket.inet_aton(it), "big"))
             for n, it in enumerate(addresses)]
    code += [(RETURN, 0, 0, 0xffffffff), (RETURN, 0, 0, 0)]
    data = ctypes.create_string_buffer(
        b"".join(struct.pack("HBBI", *it) for it in code))
    sock.setsockopt(socket.SOL_SOCKET, ATTACH_FILTER,
                    struct.pack("HxxxxxxP", len(code), ctypes.addressof(data)))


class Connection:
    """A connection of a runner whose abort resets it. That of a transport
    alone is an orderly end if nothing is left to read, which completes an
    answer without a length."""

    def __init__(self, transport):
        self.transport = transport

    def abort(self):
        sock = self.transport.get_extra_info("socket")
        if sock.fileno() >= 0:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER,
                            struct.pack("ii", 1, 0))
        self.transport.abort()


class HeldWriter:
    """Writes to a connection of a runner, or keeps what is written while the
    host at its other end is cut off."""

    def __init__(self, writer, cuts):
        self.writer = writer
        self.transport = Connection(writer.transport)
        self.cuts = cuts
        self.host = writer.get_extra_info("peername")[0]
        self.socket = writer.get_extra_info("socket")
        self.held = b""
        if self.host in cuts.hanging:
            self.hold()

    def hold(self):
        drop_from(self.socket, [self.host])

    def write(self, data):
        if self.host in self.cuts.hanging:
            self.held += data
        else:
            self.writer.write(data)

    async def drain(self):
        if self.host not in self.cuts.hanging:
            await self.writer.drain()

    def go_on(self):
        if self.socket.fileno() >= 0:
            self.socket.setsockopt(socket.SOL_SOCKET, DETACH_FILTER, 0)
            self.writer.write(self.held)
        self.held = b""

    def close(self):
        self.writer.close()


class Cut:
    """Hosts that are cut off for a while, and what callers got meanwhile: all
    first tries, and those served, at these hosts and at the others."""

    def __init__(self, kind, hosts):
        self.kind = kind
        self.hosts = {it.name for it in hosts}
        self.began = now()
        self.ended = None
        self.tries = {True: [0, 0], False: [0, 0]}

    def covers(self, sent):
        return self.began + STABILITY_S <= sent and (
            self.ended is None or sent < self.ended)

    def verdict(self):
        """What the cut breaks; None if nothing."""
        (cut, cut_served) = self.tries[True]
        (others, others_served) = self.tries[False]
        failed = cut - cut_served
        if not cut or not others:
            return None
        if failed <= FAILED_TRIES + FAILED_SHARE * (cut + others):
            return None
        if cut_served / cut >= SERVED_SHARE * others_served / others:
            return None
        return "%s cut at %.1f s: %d of %d first tries served at the %d cut" \
            " hosts, %d of %d at the others" % (
                self.kind, self.began, cut_served, cut, len(self.hosts),
                others_served, others)


class RunnerCuts:
    """All cuts of a play."""

    def __init__(self):
        self.all = []
        # Addresses whose packets are lost, and how often.
        self.hanging = collections.Counter()
        self.refused = collections.Counter()

    def holds(self, host, since):
        """Whether a host was cut off at some moment from the given one on."""
        return any(host.name in it.hosts and (it.ended is None
                                              or it.ended >= since)
                   for it in self.all)

    def held_lately(self, since):
        """Whether any host was cut off shortly before the given moment, or has
        been since."""
        return any(it.ended is None or it.ended + STABILITY_S >= since
                   for it in self.all)

    def begin(self, kind, hosts, runners):
        cut = Cut(kind, hosts)
        self.all.append(cut)
        addresses = {it.ip for it in hosts}
        if kind == "hanging":
            self.hanging.update(addresses)
            self.filter_listeners(runners)
            for it in self.writers_of(runners, addresses):
                it.hold()
            return cut
        for it in hosts:
            self.refused[it.ip] += 1
            open(it.refuses, "w", encoding="utf-8").close()
        if kind == "reset":
            for it in self.writers_of(runners, addresses):
                it.transport.abort()
        return cut

    def end(self, cut, hosts, runners):
        cut.ended = now()
        if cut.kind != "hanging":
            for it in hosts:
                self.refused[it.ip] -= 1
                if not self.refused[it.ip]:
                    os.remove(it.refuses)
            return
        self.hanging -= collections.Counter({it.ip for it in hosts})
        self.filter_listeners(runners)
        for it in self.writers_of(runners, {it.ip for it in hosts}):
            if it.host not in self.hanging:
                it.go_on()

    @staticmethod
    def writers_of(runners, addresses):
        return [it for runner in runners for it in list(runner.writers)
                if it.host in addresses]

    def filter_listeners(self, runners):
        for runner in runners:
            for it in runner.server.sockets or []:
                # A filter without addresses drops nothing.
                drop_from(it, sorted(self.hanging))

    def count(self, host, sent, served):
        """Notes a first try at a host in touch."""
        cuts = [it for it in self.all if it.covers(sent)]
        own = [it for it in cuts if host.name in it.hosts]
        # A host that another cut holds is none of the others.
        for it in own or ([] if self.holds(host, sent - 1) else cuts):
            tries = it.tries[bool(own)]
            tries[0] += 1
            tries[1] += served
