#!/usr/bin/env python3
"""Checks that the pages under docs/ or KNOWN-RED.txt name each journal entry with a failed day.

Usage: scripts/findings.py [--list]

A day that broke a rule, ended with a fault or served too few requests is a finding, even if its report
has not been reviewed. Entries are named by the last eight characters of their names. The script
prints the entries that the pages lack and exits with 1 if there are any; --list prints all entries in
the format of docs/FINDINGS.md.
"""
import json
import pathlib
import sys

from days import missed

ROOT = pathlib.Path(__file__).resolve().parent.parent


def entries():
    """Yields the name, the site and the failed days of each journal entry that has failed days."""
    for path in sorted((ROOT / "journal").glob("*.json")):
        entry = json.loads(path.read_text(encoding="utf-8"))
        days = [day for day in entry.get("days") or [] if missed(day)]
        if days:
            yield path.stem.rsplit("-", 1)[1], entry["site"], days


def main():
    """Compares the journal with the pages and returns the exit code."""
    pages = [*(ROOT / "docs").rglob("*.md"), ROOT / "KNOWN-RED.txt"]
    text = "\n".join(page.read_text(encoding="utf-8") for page in pages if page.exists())
    by_site = {}
    for name, site, _ in entries():
        by_site.setdefault(site, []).append(name)
    if "--list" in sys.argv[1:]:
        for site, names in sorted(by_site.items()):
            print(f"- {site}: {' '.join(names)}")
        return 0
    unnamed = [(site, n) for site, names in by_site.items() for n in names if n not in text]
    for site, name in unnamed:
        print(f"{site}: journal entry {name} missed its gate and no page under docs/ names it")
    return 1 if unnamed else 0


if __name__ == "__main__":
    sys.exit(main())
