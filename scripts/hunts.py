#!/usr/bin/env python3
"""Counts the failed days of hunts by cause: broken rules, a fault, or too few served requests.

Usage: scripts/hunts.py JOURNAL-ENTRY...

The summary of a hunt counts broken rules only. A day with a non-empty `short` list has failed
too.
"""
import json
import sys

from days import mean_of, missed


def show(entry):
    """Prints the number of failed days of a hunt by cause, and each failed day with its seed."""
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
    """Reads the journal entries and prints those that are hunts."""
    for path in sys.argv[1:]:
        with open(path, encoding="utf-8") as file:
            entry = json.load(file)
        if entry.get("cmd") == "hunt":
            show(entry)


if __name__ == "__main__":
    main()
