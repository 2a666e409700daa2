"""The settings that the users' platform gives a process: the fields of a
deployment, and the rendering of the deploy file's template with them."""

import json
import re

TAG = re.compile(r"\{\{([#^/]?)([^{}]*)\}\}")


def lookup(name, scopes):
    """The value of a dotted name in the innermost scope that has its first
    part; None if there is none."""
    if name == ".":
        return scopes[-1]
    first, *rest = name.split(".")
    for scope in reversed(scopes):
        value = member(scope, first)
        if value is not None:
            break
    else:
        return None
    for it in rest:
        value = member(value, it)
    return value


def member(value, name):
    if isinstance(value, dict):
        return value.get(name)
    if isinstance(value, list) and name.isdigit():
        return value[int(name)] if int(name) < len(value) else None
    return None


def text_of(value):
    if value is None:
        return ""
    if isinstance(value, list):
        return ",".join(text_of(it) for it in value)
    if isinstance(value, (dict, bool)):
        return json.dumps(value)
    return str(value)


def entries(value):
    """What a section is rendered for."""
    if isinstance(value, list):
        return list(enumerate(value))
    if isinstance(value, dict):
        return list(value.items())
    return [] if value is None or value is False else [("", value)]


def render(template, fields):
    """Fills in a template with fields as the platform does."""
    text, rest = render_until(template, None, [fields], "", False)
    if rest:
        raise ValueError("a section is not open: " + rest[:40])
    return text


def render_until(template, end, scopes, key, comma):
    """Renders up to the end of a section. Returns the text and the template
    behind the end."""
    text = ""
    while True:
        match = TAG.search(template)
        if not match:
            if end is not None:
                raise ValueError("a section is not closed: " + end)
            return text + template, ""
        text += template[:match.start()]
        template = template[match.end():]
        kind, name = match.groups()
        if kind == "/":
            if name != end:
                raise ValueError("a section is not open: " + name)
            return text, template
        if kind:
            value = lookup(name, scopes)
            each = entries(value)
            if kind == "^":
                each = [] if each else [("", None)]
            rest = None
            for n, (entry_key, entry) in enumerate(each):
                inner = scopes if kind == "^" else scopes + [entry]
                part, rest = render_until(template, name, inner,
                                          entry_key, n + 1 < len(each))
                text += part
            if rest is None:
                rest = render_until(template, name, scopes, "", False)[1]
            template = rest
        elif name == ",":
            text += "," if comma else ""
        elif name == "@":
            text += str(key)
        else:
            name, _, form = name.partition("|")
            value = lookup(name, scopes)
            if form == "json":
                text += "" if value is None else json.dumps(value)
            else:
                text += text_of(value)


def platform_fields(name, ip, zone, seeds, store, memory_mb=110):
    """The fields of one process, with those of the base contracts."""
    return {
        "NodeName": name, "Role": "gateway", "MachineClass": "front",
        "Serves": ["front", "control"], "Ip": ip, "Zone": zone,
        "Region": "r1", "Zones": {zone: "r1"},
        "Listen": {"Front": ip + ":8227", "Ready": ip + ":8220",
                   "Control": ip + ":8229"},
        "InternalPorts": [7340, 7355], "Seeds": seeds, "Bootstrap": True,
        "Limits": {"CpuShare": 0.25, "CpuCores": 1, "MemoryMb": memory_mb,
                   "FileDescriptors": 4100, "LinkMbps": 1000.0, "DiskMb": 0},
        "HeartbeatMs": 1200,
        "Bounds": {"StabilityWindowMs": 3000, "DrainMs": 2000, "GraceS": 8,
                   "ConfigApplyMs": 2000, "RollbackSlackMs": 250,
                   "MaxStretchMs": 5000, "RetryBudgetRatio": 0.8,
                   "BudgetWindowS": 10, "RetryBudgetSlack": 150},
        "Platform": {"Address": store, "form": "table"},
    }
