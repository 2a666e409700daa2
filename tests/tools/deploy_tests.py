"""Tests of deploy/: the settings that its template gives a process, and the
build that it runs. Ends with "N passed, N failed".

    deploy_tests.py [BINARY]    the gateway to check settings with
"""

import copy
import json
import os
import re
import subprocess
import sys
import tempfile
import unittest

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
sys.path.insert(0, os.path.join(ROOT, "tests", "soak"))

from platform_fields import platform_fields, render  # noqa: E402

BINARY = os.path.join(ROOT, "build", "quetzal-gateway")

# Fields that a host can serve without, and the names of their settings.
OPTIONAL = {
    "Zone": "place", "Region": "region", "InternalPorts": "loadPort",
    "Seeds": "seeds", "Ip": "metrics",
    "Limits.FileDescriptors": "maxConnections",
    "Limits.MemoryMb": "memoryMb", "Limits.LinkMbps": "linkMbps",
    "Bounds.GraceS": "stopGraceS", "Bounds.BudgetWindowS": "repeatWindowS",
    "Bounds.RetryBudgetRatio": "repeatRatio",
    "Bounds.RetryBudgetSlack": "repeatAllowance",
}


def template():
    with open(os.path.join(ROOT, "deploy", "gateway.json.template"),
              encoding="utf-8") as file:
        return file.read()


def fields_with(name=None, value=None):
    """The platform's fields, one of them changed: removed if value is None, and
    without a value if it is "null"."""
    fields = copy.deepcopy(platform_fields(
        "front-1", "127.0.0.9", "z", ["127.0.0.9:8229"], "127.0.0.1:7"))
    if name is not None:
        *tables, last = name.split(".")
        table = fields
        for it in tables:
            table = table[it]
        if value is None:
            del table[last]
        else:
            table[last] = None if value == "null" else value
    return fields


def check(text):
    """Lets the gateway check settings: its exit code and what it says."""
    with tempfile.NamedTemporaryFile("w", suffix=".json") as file:
        file.write(text)
        file.flush()
        done = subprocess.run(
            [BINARY, "--settings", file.name, "--check-settings"],
            capture_output=True, text=True, check=False)
    return done.returncode, done.stdout + done.stderr


class DeployTests(unittest.TestCase):
    def test_all_fields_are_used(self):
        """Guards against a limit that the platform enforces and the process
        does not know, such as its memory."""
        text = render(template(), fields_with())
        settings = json.loads(text)
        self.assertEqual(settings["memoryMb"], 110)
        self.assertEqual(settings["maxConnections"], 4100)
        self.assertEqual(settings["relayPort"], 7355)
        self.assertEqual(check(text), (0, ""))

    def test_a_host_starts_without_fields_that_it_can_replace(self):
        """Guards against a process that ends because the platform leaves a
        field empty."""
        for name, setting in OPTIONAL.items():
            # What the platform has no value for is missing or null.
            for value in (None, "null", ""):
                code, said = check(render(template(),
                                          fields_with(name, value)))
                self.assertEqual(code, 0, "%s=%r: %s" % (name, value, said))
                self.assertIn(setting, said)

    def test_bounds_may_be_true_false_or_fractions(self):
        for name in OPTIONAL:
            if name.startswith("Bounds."):
                for value in (True, False, 0.5):
                    code, said = check(render(template(),
                                              fields_with(name, value)))
                    self.assertEqual(code, 0, "%s=%r: %s" % (name, value,
                                                             said))

    def test_what_a_host_needs_is_named(self):
        for name, value, setting in (
                ("Listen.Front", "nowhere", "callers"),
                ("Listen.Ready", "", "readiness"),
                ("Listen.Control", "::1", "peers"),
                ("Platform.Address", "store:8223", "store"),
                ("NodeName", "", "host")):
            code, said = check(render(template(), fields_with(name, value)))
            self.assertEqual(code, 2, said)
            self.assertIn(setting, said)

    def test_warnings_do_not_end_the_build(self):
        """Guards against a build that another compiler, library or build type
        stops by its warnings."""
        with open(os.path.join(ROOT, "deploy", "system.toml"),
                  encoding="utf-8") as file:
            build = re.search(r'^build = "(.*)"$', file.read(), re.M).group(1)
        options = re.findall(r"-D\S+", build.split("&&")[0])
        with tempfile.TemporaryDirectory() as folder:
            subprocess.run(["cmake", "-S", ROOT, "-B", folder] + options,
                           check=True, stdout=subprocess.DEVNULL)
            with open(os.path.join(folder, "compile_commands.json"),
                      encoding="utf-8") as file:
                commands = [it["command"] for it in json.load(file)]
        self.assertTrue(commands)
        self.assertFalse([it for it in commands if "-Werror" in it])


class RenderTests(unittest.TestCase):
    """The rendering of templates, on which the tests above depend."""

    def test_placeholders(self):
        fields = {"a": {"b": [4, "x"]}, "t": True, "n": 0}
        self.assertEqual(render("{{a.b.0}} {{a.b}} {{a.c}}{{t}}", fields),
                         "4 4,x true")
        self.assertEqual(render("{{a.b.1|json}} {{a|json}}", fields),
                         '"x" {"b": [4, "x"]}')

    def test_sections(self):
        fields = {"l": ["x", "y"], "t": True, "f": False, "n": 0}
        self.assertEqual(render("{{#l}}{{@}}{{.}}{{,}}{{/l}}", fields),
                         "0x,1y")
        self.assertEqual(render("{{#t}}a{{/t}}{{#f}}b{{/f}}{{^f}}c{{/f}}",
                                fields), "ac")
        self.assertEqual(render("{{#n}}{{n}}{{/n}}{{#m}}d{{/m}}", fields),
                         "0")


def main():
    global BINARY
    if len(sys.argv) > 1:
        BINARY = os.path.abspath(sys.argv.pop(1))
    suite = unittest.defaultTestLoader.loadTestsFromModule(
        sys.modules["__main__"])
    result = unittest.TextTestRunner(stream=sys.stdout, verbosity=0).run(suite)
    bad = result.failures + result.errors
    for test, _ in bad:
        print("Test name: " + "::".join(test.id().split(".")[-2:]))
    print("%d passed, %d failed" % (result.testsRun - len(bad), len(bad)))
    sys.exit(1 if bad else 0)


if __name__ == "__main__":
    main()
