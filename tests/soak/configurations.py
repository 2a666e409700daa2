"""The configurations of a play, in the form in which one of several encoders
writes them, and what callers' answers say of those in force."""

import base64
import collections
import json

from standins import (HOST, KEY, desired_state, engine_service, now,
                      plain_route, plain_service, stream_route)

# Bounds of the rules, in seconds.
APPLY_S = 2.0
ROLLBACK_S = 0.25

# What an operator can't get past the store, and what a host that reads it all
# the same must not take.
INVALID_ROWS = ["", "{", "[]", '{"Version": 9999999, "Routes": {}}',
                '{"Version": 9999999, "Routes": [], "Tenants": 7}']

# A configuration in another part of the table than the one that counts.
DRAFT = {"Version": 9999999, "Routes": [], "Services": [], "Tenants": []}

# A row of the store holds at most so many bytes.
ROW_BYTES = 65536
# More than a route that fills a row up takes there.
FILL_BYTES = 600

SERVICES = [{"desk"}, {"desk2"}, {"desk", "desk2"}]

# Services to which some configuration allows the requests of each first path
# segment; the routes that come and go are added below.
ALLOWED = {"digest": {"model"}, "unsafe": {"desk"}, "safe": {"desk"},
           "moving": {"desk", "desk2"}, "late": {"desk2"}}
ALLOWED.update({"x%d" % n: {"desk"} for n in range(6)})

# Routes of each kind that a play adds, or drops, for good, one after the other.
LASTING = 40
ALLOWED.update({it + str(n): {"desk"} for it in "yz" for n in range(LASTING)})

# First letters of what a configuration has or hasn't: routes that come and go,
# keys, routes that are added for good, and routes that are dropped for good.
PRESENCE = "xkyz"


class Encoder:
    """How the operator and the store write what the pages leave open."""

    def __init__(self, random):
        self.number = random.choice([int, int, float, str])
        self.version = random.choice([int, int, float])
        self.indented = random.random() < 0.3
        self.lines = random.random() < 0.3
        self.chunked = random.random() < 0.3
        self.closes = random.random() < 0.2

    def __str__(self):
        return ", ".join("%s %s" % (name, getattr(value, "__name__", value))
                         for name, value in vars(self).items())

    def value(self, text):
        """Base64 of a row's text, at once or in lines."""
        data = text.encode()
        return (base64.encodebytes if self.lines
                else base64.b64encode)(data).decode()

    def row(self, state):
        return self.value(json.dumps(state, indent=2 if self.indented else
                                     None))

    def answer(self, body):
        """The body of an answer of the store."""
        if self.version is not int:
            for it in body.get("Rows", []) + [body]:
                if "Ver" in it:
                    it["Ver"] = self.version(it["Ver"])
        return json.dumps(body, indent=2 if self.indented else None).encode()


class Configurations:
    """Makes configurations, and judges what hosts make of them."""

    def __init__(self, random, encoder):
        self.random = random
        self.encoder = encoder
        # Routes that have been added and dropped for good.
        self.added = 0
        self.dropped = 0
        # Moment of the confirmation, and value of each thing that varies.
        self.versions = []
        # What each life of a host has shown: moments and the oldest version
        # that may be in force from then on.
        self.floors = collections.defaultdict(list)

    def make(self):
        """The next configuration: base routes that all have, and what comes,
        goes and moves. Returns its values and the state to write."""
        number = (len(self.versions) + 1) * 7
        values = {"x%d" % n: False for n in range(6)}
        values.update({"k-%d" % n: False for n in range(4)})
        for it in self.random.sample(range(6), 3):
            values["x%d" % it] = True
        for it in self.random.sample(range(4), 2):
            values["k-%d" % it] = True
        self.added += self.added < LASTING and self.random.random() < 0.4
        self.dropped += self.dropped < LASTING and self.random.random() < 0.4
        for n in range(LASTING):
            values["y%d" % n] = n < self.added
            values["z%d" % n] = n >= self.dropped
        values["moving"] = frozenset(self.random.choice(SERVICES))
        values["late"] = self.random.choice([800, 1500])
        return values, self.state(number, values)

    def state(self, number, values):
        routes = [stream_route("digest", "/digest/", "model"),
                  plain_route("unsafe", "/unsafe/", "desk", "unsafe", 1),
                  plain_route("safe", "/safe/", "desk", "safe", 2)]
        routes += [plain_route(it, "/%s/" % it, "desk",
                               self.random.choice(["safe", "unsafe"]),
                               self.random.choice([1, 2, 3]))
                   for it, has in sorted(values.items())
                   if it[0] in "xyz" and has]
        moving = plain_route("moving", "/moving/", "desk", "safe", 2)
        services = sorted(values["moving"])
        if len(services) > 1:
            del moving["Service"]
            moving["TrafficSplit"] = [{"Service": it, "Weight": 1}
                                      for it in services]
        else:
            moving["Service"] = services[0]
        routes.append(moving)
        for it in routes:
            it["TimeoutMs"] = 25000 if it["Kind"] == "streaming" else 2000
        late = plain_route("late", "/late/", "desk2", "safe", 1)
        late["TimeoutMs"] = values["late"]
        routes.append(late)
        state = desired_state(
            self.encoder.number(number), routes,
            [engine_service("model", 88000), plain_service("desk"),
             plain_service("desk2")])
        keys = sorted(it for it, has in values.items() if it[0] == "k" and has)
        state["Tenants"].append({"Name": "t2", "ApiKeys": keys, "Priority": 1})
        if self.random.random() < 0.15:
            self.fill_up(state)
        return state

    @staticmethod
    def fill_up(state):
        """Adds routes that nobody asks for, as many as a row holds."""
        while True:
            left = ROW_BYTES - 1000 - len(json.dumps(state, indent=2))
            if left <= 0:
                break
            # Encoding all of it for each route would hold the soak up.
            for _ in range(max(1, left // FILL_BYTES)):
                n = len(state["Routes"])
                state["Routes"].append(plain_route(
                    "fill%d" % n, "/fill%d/" % n, "desk", "safe", 2))

    def lasting(self):
        """A route that was added or dropped for good, most often lately."""
        kind, count = self.random.choice(
            [("y", self.added), ("z", self.dropped)])
        return kind + str(max(0, count - 1 - self.random.randrange(4)))

    def confirm(self, values):
        self.versions.append((now(), values))

    def between(self, since, until):
        """Numbers of the versions that may be in force between two moments."""
        return [n for n, it in enumerate(self.versions)
                if it[0] <= until and (n + 1 == len(self.versions)
                                       or self.versions[n + 1][0] > since)]

    def all_have(self, since, until, what):
        return all(self.versions[n][1][what]
                   for n in self.between(since, until))

    def judge(self, life, sent, what, fits, bound):
        """What an answer to a request that was sent at a moment breaks, given
        which values of something it fits; None if nothing. Without a bound only
        whether an older version came back in the same life of the host is
        judged."""
        until = now()
        fitting = [n for n, it in enumerate(self.versions)
                   if it[0] <= until and fits(it[1][what])]
        floor = max([it[1] for it in self.floors[life]
                     if it[0] + ROLLBACK_S <= sent], default=0)
        if not any(n >= floor for n in fitting):
            return "came back older"
        self.floors[life].append(
            (until, min(n for n in fitting if n >= floor)))
        if bound is not None:
            allowed = self.between(sent - bound, until)
            if not any(n in allowed for n in fitting):
                return "not in force"
        return None


PATHS = {"x": ("/%s/", KEY, 404), "k": ("/safe/", None, 401)}


def path_and_key(what):
    """Where to ask for something that comes and goes, with which key, and the
    status that says that it isn't there."""
    path, key, status = PATHS.get(what[0], ("/%s/", KEY, 404))
    return (path % what if "%" in path else path), key or what, status


def workspace_of(key):
    """Name of the workspace that a key belongs to."""
    return "t1" if key == KEY else "t2"


__all__ = ["ALLOWED", "APPLY_S", "Configurations", "DRAFT", "Encoder", "HOST",
           "INVALID_ROWS", "PRESENCE", "path_and_key", "workspace_of"]
