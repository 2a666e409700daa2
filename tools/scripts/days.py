#!/usr/bin/env python3
"""Runs the days of sites on the bench with several seeds and summarizes them.

    tools/scripts/days.py --bench PROGRAM [--seeds N] [--day NAME] SITE...

The row of each day shows the mean score, scaled between the day's two marks,
the benefit less the prices, the share of the benefit that was earned, the
highest prices and the broken rules. To run a day of deploy/days/, pass its file
name with --day.
"""
import argparse
import collections
import concurrent.futures
import json
import os
import pathlib
import subprocess
import tempfile
import tomllib

FIRST_SEED = 1001
# The table omits prices below this share of a day's benefit.
MIN_LISTED_PRICE = 0.004


def run_day(bench, site, day, seed, extra):
    """Runs one day.

    Returns its report and "", or None and the end of the bench's output.
    """
    handle, report = tempfile.mkstemp(suffix=".json")
    os.close(handle)
    command = [bench, "run", site, day, "--seed", str(seed), "--report", report]
    done = subprocess.run(command + extra, stdout=subprocess.PIPE,
                          stderr=subprocess.STDOUT, text=True, check=False)
    try:
        with open(report, encoding="utf-8") as file:
            return json.load(file), ""
    except ValueError:
        return None, done.stdout[-300:]
    finally:
        os.unlink(report)


def marks_by_day(site, names):
    """Returns the marks of the days to run, by name."""
    with open(site, "rb") as file:
        standard = {it["name"]: it for it in tomllib.load(file)["day"]}
    if not names:
        return standard
    return {it: standard.get(it, {"one": 1.0, "zero": 0.0}) for it in names}


def summary(day, marks, reports):
    """Returns the mean score and the table row of one day."""
    def mean(values):
        values = list(values)
        return sum(values) / len(values)

    span = marks["one"] - marks["zero"]
    scores = []
    for it in reports:
        valid = not it["breaks"] and it["fault"] is None
        part = (it["G"] - marks["zero"]) / span
        scores.append(min(1.0, max(0.0, part)) if valid else 0.0)
    prices = collections.Counter()
    for it in reports:
        for name, _, share in it["prices"]:
            prices[name] += share / len(reports)
    listed_prices = "; ".join(f"{name} {share:.3f}" for name, share
                              in prices.most_common()
                              if share >= MIN_LISTED_PRICE)
    rules = sorted({rule for it in reports for rule in it["breaks"]} |
                   {str(it["fault"]) for it in reports if it["fault"]})
    parts = " ".join(f"{part[2]:.2f}" for part in reports[0]["parts"])
    return (mean(scores), f"| {day} | {mean(scores):.3f} "
            f"| {mean(it['G'] for it in reports):.3f} "
            f"| {mean(it['served'] for it in reports):.3f} | {parts} "
            f"| {mean(it['all']['late'] / it['all']['n'] for it in reports):.3f} "
            f"| {mean(it['all']['failed'] / it['all']['n'] for it in reports):.3f} "
            f"| {mean(it['all']['refused'] / it['all']['n'] for it in reports):.3f} "
            f"| {listed_prices} | {', '.join(rules) or '-'} |")


def main():
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--bench", required=True)
    parser.add_argument("--seeds", type=int, default=4)
    parser.add_argument("--first", type=int, default=FIRST_SEED)
    parser.add_argument("--jobs", type=int, default=max(1, os.cpu_count() // 2))
    parser.add_argument("--day", action="append", default=[])
    parser.add_argument("--with", dest="extra", action="append", default=[],
                        help="additional option for the bench, such as --no-cpu")
    parser.add_argument("site", nargs="+")
    options = parser.parse_args()
    for site in options.site:
        days = marks_by_day(site, options.day)
        print(f"\n{pathlib.Path(site).stem}, {options.seeds} seeds "
              f"{' '.join(options.extra)}\n")
        print("| day | score | worth | earned | parts (first seed) | late | "
              "failed | refused | prices | broken |")
        print("|---|---|---|---|---|---|---|---|---|---|")
        with concurrent.futures.ThreadPoolExecutor(options.jobs) as pool:
            runs_by_day = {
                day: [pool.submit(run_day, options.bench, site, day,
                                  options.first + n, options.extra)
                      for n in range(options.seeds)] for day in days}
            scores = []
            for day, runs in runs_by_day.items():
                results = [it.result() for it in runs]
                reports = [it[0] for it in results if it[0] is not None]
                for report, reason in results:
                    if report is None:
                        print(f"| {day} | no report: {reason!r} |")
                if reports:
                    score, line = summary(day, days[day], reports)
                    scores.append(score)
                    print(line, flush=True)
        if scores:
            print(f"\nmean score of all days {sum(scores) / len(scores):.3f}")


if __name__ == "__main__":
    main()
