#!/usr/bin/env python3
"""Tests of tools/scripts/losses.py with log lines of their own making."""
import pathlib
import sys
import types
import unittest

ROOT = pathlib.Path(__file__).resolve().parents[2]
sys.path.insert(0, str(ROOT / "tools" / "scripts"))

import losses  # noqa: E402

LIMITS = types.SimpleNamespace(first_ms=4500, pause_ms=700)


def line(at, host, component, message, **fields):
    """Returns a log line."""
    texts = [f'{key}="{value}"' if " " in value or not value
             else f"{key}={value}" for key, value in fields.items()]
    return (f"  {at:.4f} {host} 2026-01-01T00:00:00.000Z level=INFO "
            f'component={component} message="{message}" {" ".join(texts)}\n')


def ended(at, host, request, message="answered", **fields):
    """Returns the last line of a stream."""
    known = {"request": request, "kind": "stream", "status": "200",
             "target": "t", "first_ms": "900", "pause_ms": "50", "note": "",
             "reason": ""}
    known.update(fields)
    return line(at, host, "request", message, **known)


def causes_of(lines):
    """Returns the causes without the kinds."""
    counted = losses.count_causes(lines, LIMITS)[1]
    return {cause: n for (_, cause), n in counted.items()}


class LossesTests(unittest.TestCase):
    """Each cause is found by the lines that hosts write."""

    def test_a_stream_in_time_is_no_loss(self):
        self.assertEqual({}, causes_of([ended(5, "h1", "a")]))

    def test_delays_are_told_apart(self):
        lines = [
            line(2, "h1", "request", "stream resumed", request="a",
                 from_copy="false"),
            ended(5, "h1", "a", pause_ms="1800", note="target_lost"),
            ended(5, "h1", "b", pause_ms="900", note="target_silent"),
            ended(5, "h1", "c", first_ms="5000"),
        ]
        self.assertEqual({"late: prompt read again after a loss": 1,
                          "late: paused at target_silent": 1,
                          "late: waited for its first piece": 1},
                         causes_of(lines))

    def test_streams_without_a_last_line_went_down_with_their_host(self):
        sent = [line(1, host, "request", "request sent", request=host)
                for host in ("h1", "h2", "h3", "h4")]
        alone = sent + [line(0, f"h{n}", "gateway", "started")
                        for n in range(1, 5)]
        self.assertEqual({"its host went down": 1}, causes_of(
            alone + [line(3, "h1", "gateway", "started")]))
        self.assertEqual({"all hosts went down": 4}, causes_of(
            alone + [line(3 + n / 10, f"h{n}", "gateway", "started")
                     for n in range(1, 5)]))
        self.assertEqual({}, causes_of(alone))

    def test_refusals_keep_their_reason(self):
        lines = [
            ended(1, "h1", "a", "overloaded", status="503", target="",
                  reason="the service's retry budget is exhausted"),
            ended(1, "h1", "b", "overloaded", status="503", target="",
                  reason="every target of the service is at capacity"),
            ended(1, "h1", "c", "deadline_exceeded", status="503", target="",
                  note="needs_ms_4121"),
            ended(1, "h1", "d", "no_target", status="503", target="",
                  reason="no target is ready"),
        ]
        self.assertEqual({"refused: retries exhausted": 1,
                          "refused: targets full": 1,
                          "refused: too little time left": 1,
                          "refused: no target is ready": 1},
                         causes_of(lines))

    def test_what_no_host_can_prevent_is_marked(self):
        lines = [ended(1, "h1", "a", status="500", note="status_500"),
                 ended(1, "h1", "b", "caller_gone", status="0")]
        self.assertEqual({"target failed it": 1, "caller left": 1},
                         causes_of(lines))
        self.assertLessEqual(set(causes_of(lines)), losses.OUTSIDE)

    def test_other_and_torn_lines_are_ignored(self):
        lines = ["worth 0.5\n", "", "  1.0 h1 component=requ",
                 line(1, "h1", "request", "unknown_service", request="a",
                      status="404"),
                 line(2, "h1", "gateway", "started")]
        self.assertEqual({}, causes_of(lines))


def main():
    """Runs the tests and prints a summary like the other suites."""
    suite = unittest.defaultTestLoader.loadTestsFromTestCase(LossesTests)
    result = unittest.TextTestRunner(stream=sys.stdout, verbosity=0).run(suite)
    failed = [test for test, _ in result.failures + result.errors]
    for test in failed:
        print(f"Test name: LossesTests::{test.id().rsplit('.', 1)[-1]}")
    print(f"{result.testsRun - len(failed)} passed, {len(failed)} failed")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
