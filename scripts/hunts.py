#!/usr/bin/env python3
"""Counts the days of hunts that missed the gate: by broken rules, by fault, by too little served.

Usage: scripts/hunts.py JOURNAL-ENTRY...

The headline of a hunt counts broken rules alone. A day whose list `short` is not empty has
missed the gate all the same.
"""
import json
import sys

from days import mean_of, missed


def show(entry):
    """Prints one hunt: how many days missed what, and each of them with its seed."""
    days = entry.get("days") or []
    if not days:
        return
    counts = {key: sum(bool(day.get(key)) for day in days) for key in ("short", "rules", "fault")}
    counted = ", ".join(f"{count} {key}" for key, count in counts.items())
    mean, error = mean_of([day["G"] for day in days])
    left_out = f" ({entry['days_left_out']} not recorded)" if entry.get("days_left_out") else ""
    print(f"{entry['site']} {entry['head'][:7]}: {len(days)} days{left_out}, {counted}; "
          f"worth {mean:.3f} +- {error:.3f}")
    for day in days:
        if missed(day):
            print(f"  {day['name']} (seed {day['seed']}) worth {day['G']:.3f}: {missed(day)}")


def main():
    """Reads the entries and shows the hunts among them."""
    for path in sys.argv[1:]:
        with open(path, encoding="utf-8") as file:
            entry = json.load(file)
        if entry.get("cmd") == "hunt":
            show(entry)


if __name__ == "__main__":
    main()
