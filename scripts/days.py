#!/usr/bin/env python3
"""Plays a set of days on several seeds and prints means with their spread.

Usage: scripts/days.py SITE... [--seeds 11,12] [--days NAME,...] [--jobs 4] [--cpu]
                       [--why TEXT] [--save FILE] [--against FILE]

FLEETBENCH names the users' bench. Days default to all trouble and scale days of the site
file. Processor time is not counted unless --cpu is given, so that a run mostly repeats.
--save keeps the figures of each day, --against compares with figures that were kept: days
of the same name and seed are paired, as single days differ far more than policies do.
A day counts as missed by its broken rules, its fault and by what was served too little: the
headline of a hunt counts broken rules alone, `scripts/hunts.py` counts all three.
"""
import argparse
import json
import math
import os
import re
import subprocess
import sys
import tempfile
from concurrent.futures import ThreadPoolExecutor

PARTS = ("whole day", "worst windows", "worst class")


def day_names(site):
    """Returns the names of the days in the `trouble` and `scale` slots of a site file."""
    text = open(site, encoding="utf-8").read()
    days = re.findall(r'\[\[day\]\]\s*name = "([^"]+)"\s*slot = "([^"]+)"', text)
    return [name for name, slot in days if slot in ("trouble", "scale")]


def missed(figures):
    """Returns the failed criteria of a day: broken rules, a fault, and too few served requests."""
    rules = sorted(figures.get("breaks") or figures.get("rules") or [])
    fault = [figures["fault"]] if figures.get("fault") else []
    return rules + fault + [f"SHORT: {line}" for line in figures.get("short") or []]


def play(bench, site, day, seed, options):
    """Runs one day on the bench and returns its key and its figures."""
    with tempfile.NamedTemporaryFile(suffix=".json") as report:
        command = [bench, "run", site, day, "--seed", str(seed), "--report", report.name]
        command += ["--why", options.why] if options.why else []
        command += [] if options.cpu else ["--no-cpu"]
        done = subprocess.run(command, capture_output=True, text=True, check=False)
        text = open(report.name, encoding="utf-8").read()
    if not text:
        sys.exit(f"{day} seed {seed} has no report:\n{done.stdout}\n{done.stderr}")
    figures = json.loads(text)
    row = {"worth": figures["G"], "refused": figures["refused"], "failed": figures["failed"]}
    row |= {name: value for name, _, value in figures["parts"]}
    row["prices"] = sum(price for _, _, price in figures["prices"])
    for kind in figures["classes"]:
        for key in ("in_aim", "late", "refused", "failed"):
            row[f"{kind['name']} {key}"] = kind[key] / max(kind["n"], 1)
    row["broken"] = missed(figures)
    return f"{day}/{seed}", row


def mean_of(values):
    """Returns the mean and its standard error."""
    mean = sum(values) / len(values)
    spread = sum((v - mean) ** 2 for v in values) / max(len(values) - 1, 1)
    return mean, math.sqrt(spread / len(values))


def show(rows, before):
    """Prints the table of one site. Days that are also in `before` are compared in pairs."""
    paired = [key for key in rows if key in before]
    keys = [k for k in next(iter(rows.values())) if k != "broken"]
    for key in keys:
        mean, error = mean_of([row.get(key, 0.0) for row in rows.values()])
        line = f"{key:24} {mean:7.3f} +- {error:.3f}"
        if paired:
            pairs = [rows[day].get(key, 0.0) - before[day].get(key, 0.0) for day in paired]
            change, error = mean_of(pairs)
            line += f"   change {change:+.3f} +- {error:.3f} ({len(paired)} days)"
        print(line)
    by_day = {}
    for key, row in rows.items():
        by_day.setdefault(key.split("/")[0], []).append(row["worth"])
    means = (f"{day} {sum(v) / len(v):.3f}" for day, v in by_day.items())
    print("worth by day: " + ", ".join(means))
    for day, row in rows.items():
        if row["broken"]:
            print(f"MISSED {day}: {row['broken']}")


def main():
    """Parses the command line, runs the days of each site and prints the results."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("site", nargs="+")
    parser.add_argument("--seeds", default="11,12")
    parser.add_argument("--days")
    parser.add_argument("--jobs", type=int, default=4)
    parser.add_argument("--cpu", action="store_true")
    parser.add_argument("--why", default="")
    parser.add_argument("--save")
    parser.add_argument("--against")
    options = parser.parse_args()
    bench = os.environ.get("FLEETBENCH") or sys.exit("FLEETBENCH must name the bench")
    before = json.load(open(options.against, encoding="utf-8")) if options.against else {}
    seeds = [int(seed) for seed in options.seeds.split(",")]
    subprocess.run([bench, "build"], check=True, stdout=subprocess.DEVNULL)
    saved = {}
    for site in options.site:
        days = options.days.split(",") if options.days else day_names(site)
        jobs = [(day, seed) for seed in seeds for day in days]
        with ThreadPoolExecutor(options.jobs) as pool:
            plays = pool.map(lambda j, s=site: play(bench, s, *j, options), jobs)
            rows = dict(plays)
        name = os.path.basename(site).removesuffix(".toml")
        print(f"== {name}, {len(rows)} days")
        show(rows, before.get(name, {}))
        saved[name] = rows
    if options.save:
        with open(options.save, "w", encoding="utf-8") as out:
            json.dump(saved, out)


if __name__ == "__main__":
    main()
