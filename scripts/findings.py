#!/usr/bin/env python3
"""Wants each missed gate in the journal named in docs/FINDINGS.md.

Usage: scripts/findings.py [--list]

A day that broke a rule, ended with a fault or served too little is a finding, whether or not anybody
looked at its report. Prints the entries that are not named, by the eight characters that end their
names, and exits with 1 where there are any; --list prints all in the form of the page.
"""
import json
import pathlib
import sys

from days import missed

ROOT = pathlib.Path(__file__).resolve().parent.parent


def entries():
    """The journal entries with a missed gate: name, site, and what was missed on which days."""
    for path in sorted((ROOT / "journal").glob("*.json")):
        entry = json.loads(path.read_text(encoding="utf-8"))
        days = [day for day in entry.get("days") or [] if missed(day)]
        if days:
            yield path.stem.rsplit("-", 1)[1], entry["site"], days


def main():
    """Compares the journal with the page."""
    page = (ROOT / "docs" / "FINDINGS.md").read_text(encoding="utf-8")
    by_site = {}
    for name, site, _ in entries():
        by_site.setdefault(site, []).append(name)
    if "--list" in sys.argv[1:]:
        for site, names in sorted(by_site.items()):
            print(f"- {site}: {' '.join(names)}")
        return 0
    unnamed = [(site, n) for site, names in by_site.items() for n in names if n not in page]
    for site, name in unnamed:
        print(f"{site}: journal entry {name} missed its gate and is not in docs/FINDINGS.md")
    return 1 if unnamed else 0


if __name__ == "__main__":
    sys.exit(main())
