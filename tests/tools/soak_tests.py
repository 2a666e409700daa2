#!/usr/bin/env python3
"""Tests of what tests/soak/ judges and of how it cuts hosts from runners."""
import asyncio
import os
import pathlib
import random
import socket
import subprocess
import sys
import tempfile
import threading
import time
import types
import unittest

ROOT = pathlib.Path(__file__).resolve().parents[2]
sys.path.insert(0, str(ROOT / "tests" / "soak"))

import fleet_soak  # noqa: E402
import runner_cuts  # noqa: E402
from standins import now  # noqa: E402

CONNECT = """
import socket, sys
try:
    s = socket.create_connection((sys.argv[1], int(sys.argv[2])), 0.5)
    print(s.getsockname()[0])
except OSError as error:
    print(type(error).__name__)
"""


def cut_with(cut, others):
    """A cut with tries and served ones at its hosts and at the others."""
    it = runner_cuts.Cut("reset", [types.SimpleNamespace(name="h")])
    it.tries = {True: list(cut), False: list(others)}
    return it


def gone_of(left, going_on, late):
    """What a play says of runners that work for callers which have left."""
    play = fleet_soak.Play.__new__(fleet_soak.Play)
    play.counts = {"left": left, "left, went on": going_on}
    play.late_runs = ["l-1"] * late
    play.broken = {"GONE": []}
    play.judge_left()
    return play.broken["GONE"]


def idle_play():
    """A play of which nothing runs but the watch of the soak itself."""
    play = fleet_soak.Play.__new__(fleet_soak.Play)
    play.stalls = []
    play.due = now() + 3600
    play.slowness = fleet_soak.Slowness()
    play.record = types.SimpleNamespace(line=lambda text: None)
    play.lasting = 0
    play.overdue = []
    return play


async def wait_beside_stall(play, answers):
    """Waits 0.5 s for a byte in a loop that stands still for 0.8 s; the byte
    comes meanwhile, or never."""
    watch = asyncio.ensure_future(play.sample_slowness())
    ours, theirs = socket.socketpair()
    reader, writer = await asyncio.open_connection(sock=ours)
    asyncio.get_running_loop().call_later(0.1, time.sleep, 0.8)
    if answers:
        threading.Timer(0.3, theirs.send, [b"x"]).start()
    began = now()
    try:
        return await play.wait_for(reader.readexactly(1), 0.5)
    except asyncio.TimeoutError:
        return now() - began
    finally:
        watch.cancel()
        writer.close()
        theirs.close()


async def read_until_cut():
    """Reads from a runner that is cut off in the middle of an answer."""
    cuts = runner_cuts.RunnerCuts()

    async def serve(_, writer):
        held = runner_cuts.HeldWriter(writer, cuts)
        held.write(b"HTTP/1.1 200 OK\r\n\r\nx")
        await held.drain()
        held.transport.abort()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    reader, writer = await asyncio.open_connection(
        *server.sockets[0].getsockname())
    try:
        return await reader.read()
    finally:
        writer.close()
        server.close()


class SoakTests(unittest.TestCase):
    """The checks fail for what they are made for, and for nothing else."""

    def test_cut_hosts_that_fail_break_a_rule(self):
        self.assertIn("10 of 40", cut_with((40, 10), (40, 40)).verdict())

    def test_cut_hosts_that_serve_break_nothing(self):
        self.assertIsNone(cut_with((60, 45), (60, 60)).verdict())
        self.assertIsNone(cut_with((12, 2), (40, 40)).verdict())
        self.assertIsNone(cut_with((40, 10), (40, 12)).verdict())
        self.assertIsNone(cut_with((40, 10), (0, 0)).verdict())

    def test_work_for_callers_that_have_left_breaks_a_rule(self):
        self.assertEqual(1, len(gone_of(left=20, going_on=6, late=0)))
        self.assertEqual(1, len(gone_of(left=20, going_on=0, late=4)))

    def test_work_that_ends_with_its_caller_breaks_nothing(self):
        self.assertEqual([], gone_of(left=20, going_on=5, late=3))
        self.assertEqual([], gone_of(left=0, going_on=0, late=0))

    # Guards against answers that count as late because the soak was not run.
    def test_answer_that_came_while_the_soak_stood_still_is_in_time(self):
        self.assertEqual(b"x", asyncio.run(wait_beside_stall(idle_play(),
                                                             True)))

    # Guards against a stall of the soak that excuses a missing answer.
    def test_missing_answer_is_late_beside_a_stall(self):
        waited = asyncio.run(wait_beside_stall(idle_play(), False))
        self.assertGreater(waited, 1.2)
        self.assertLess(waited, 2.0)

    def test_stalls_before_the_timeout_excuse_nothing(self):
        play = idle_play()
        host = types.SimpleNamespace(name="h")
        play.stalls = [(10.0, 12.0)]
        play.judge_time(host, "late", 10.0, 2.6, 2.0)
        self.assertEqual(["late at h"], play.overdue)
        play.stalls = [(12.0, 12.5)]
        play.judge_time(host, "in time", 10.0, 2.6, 2.0)
        self.assertEqual((1, 2), (len(play.overdue), play.lasting))

    # Guards against an orderly end in place of a reset, which makes an answer
    # without a length whole.
    def test_runners_that_are_cut_off_reset_their_connections(self):
        with self.assertRaises(ConnectionResetError):
            asyncio.run(read_until_cut())

    def test_hosts_are_cut_off_by_their_own_address(self):
        with tempfile.TemporaryDirectory() as folder:
            library = runner_cuts.build_preloaded(folder)
            refuses = os.path.join(folder, "refuses")
            base = "127.%d.%d." % (random.randint(20, 250),
                                   random.randint(1, 250))
            listener = socket.create_server((base + "1", 0))
            port = str(listener.getsockname()[1])

            def connect(own):
                return subprocess.run(
                    [sys.executable, "-c", CONNECT, base + "1", port],
                    env={"LD_PRELOAD": library, "SOAK_OWN_ADDRESS": own,
                         "SOAK_RUNNER_PORT": port, "SOAK_REFUSES": refuses},
                    check=True, stdout=subprocess.PIPE).stdout.decode().strip()

            self.assertEqual(base + "2", connect(base + "2"))
            runner_cuts.drop_from(listener, [base + "9", base + "2"])
            self.assertIn(connect(base + "2"), ("timeout", "TimeoutError"))
            self.assertEqual(base + "3", connect(base + "3"))
            runner_cuts.drop_from(listener, [])
            self.assertEqual(base + "2", connect(base + "2"))
            pathlib.Path(refuses).touch()
            self.assertEqual("ConnectionRefusedError", connect(base + "2"))
            listener.close()


def main():
    """Runs the tests and prints a summary like the other suites."""
    suite = unittest.defaultTestLoader.loadTestsFromTestCase(SoakTests)
    result = unittest.TextTestRunner(stream=sys.stdout, verbosity=0).run(suite)
    failed = [test for test, _ in result.failures + result.errors]
    for test in failed:
        print(f"Test name: SoakTests::{test.id().rsplit('.', 1)[-1]}")
    print(f"{result.testsRun - len(failed)} passed, {len(failed)} failed")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
