#!/usr/bin/env python3
"""Checks the C++ sources for what makes them hard to read, and prints what is left.

    tools/check_readability.py [--list] [--record]

Looks for files over 400 lines, functions over 40 lines (needs Universal Ctags), identifiers with a
word of the withdrawn house style, the first operator's program names, and headers without an opening
comment. What is known to be left stands in tools/readability_baseline.json: a new place fails the check,
and so does a baseline that is higher than what is found, so that it can only shrink. Exit 0 where both
agree, else 1.
"""
import argparse
import collections
import json
import pathlib
import re
import subprocess
import sys

LONG_FILE, LONG_FUNCTION = 400, 40
ROOT = pathlib.Path(__file__).resolve().parent.parent
BASELINE = ROOT / "tools" / "readability_baseline.json"

# A word of the withdrawn style, as a whole part of an identifier, and the term of the field for it.
HOUSE_WORDS = {
    "told": "notified",
    "tell": "notify, report",
    "said": "reported",
    "say": "report",
    "heard": "received",
    "learnt": "recovered state",
    "learn": "update",
    "recalled": "restored; cancelled",
    "room": "capacity, concurrency limit",
    "crowded": "overloaded",
    "crowding": "utilisation",
    "severed": "connection_reset",
    "overdue": "timed_out",
    "fading": "draining",
    "shout": "broadcast",
    "shouts": "broadcasts",
    "voice": "broadcast budget",
    "loud": "broadcast",
    "pulse": "load report",
    "pulses": "load reports",
    "doubt": "suspicion",
    "heed": "apply",
    "vouched": "confirmed healthy",
    "convicted": "outlier",
    "hearsay": "gossip",
    "life": "incarnation",
    "lives": "incarnations",
    "lived": "stable uptime",
    "keeper": "state store",
    "kept": "retained",
    "pace": "latency ratio",
    "news": "updates",
    "asker": "waiter",
    "askers": "waiters",
    "look": "check, poll",
    "bake": "duration of a canary",
    "feed": "slow-start share",
    "aim": "latency objective",
    "worth": "priority weight",
    "thin": "sparse traffic",
    "light": "low traffic",
    "easy": "healthy",
    "hopeless": "collapsed",
    "patiently": "with retry",
    "plain": "default",
    "complaint": "validation error",
    "complaints": "validation errors",
    "refuse": "reject, shed",
    "refused": "rejected",
    "refusal": "rejection",
    "whole": "complete, full",
    "siblings": "fleet size",
    "saturated": "overloaded",
    "superseded": "not sent",
    "gap": "interarrival time",
    "held": "pending, in flight",
    "rig": "fixture",
    "fit": "eligible",
    "misfit": "invalid request",
    "standing": "health state",
    "again": "retry",
    "place": "schedule, dispatch",
    "placed": "scheduled",
    "judge": "record outcome",
    "word": "to_string",
    "knows": "what it holds",
    "speakers": "reporters",
    "trouble": "fault",
    "troubles": "faults",
    "owed": "pending",
    "wind": "shut down",
    "born": "started_at",
    "dial": "address",
    "beforehand": "what it precedes",
    "lay": "install",
}
# An identifier that is right although a part of it is a house word, and why.
ALLOWED = {
    "superseded": "a version of the configuration that a later one replaced; the word of the operators' JSON",
    "connection_refused": "Asio's name of ECONNREFUSED",
    "placement": "the C++ term",
}
FORMER_NAMES = re.compile(r"kelplb|cobaltshift", re.IGNORECASE)


def source_files():
    """The C++ files that git tracks, relative to the root."""
    folders = ["src", "include", "tests", "bench"]
    listed = subprocess.run(
        ["git", "ls-files", *folders], cwd=ROOT, capture_output=True, text=True, check=True
    )
    return [name for name in listed.stdout.split() if name.endswith((".cpp", ".hpp"))]


def parts_of(identifier):
    """The words of an identifier in any case style."""
    snake = re.sub(r"(?<=[a-z0-9])(?=[A-Z])", "_", identifier)
    return [part for part in snake.lower().split("_") if part]


def code_of(text):
    """The text without comments and with empty strings."""
    text = re.sub(r"/\*.*?\*/|//[^\n]*", "", text, flags=re.S)
    return re.sub(r'"(?:\\.|[^"\\\n])*"', '""', text)


def house_words_in(text):
    """Pairs of identifier and count, of those with a house word in them."""
    identifiers = re.findall(r"[A-Za-z_]\w*", code_of(text))
    counted = collections.Counter(
        name for name in identifiers if name not in ALLOWED and set(parts_of(name)) & HOUSE_WORDS.keys()
    )
    return counted.most_common()


def long_functions(names):
    """Pairs of file and description, of functions over the limit."""
    command = ["ctags", "--c++-kinds=f", "--fields=+ne", "--output-format=json", "-o", "-", *names]
    tags = subprocess.run(command, cwd=ROOT, capture_output=True, text=True, check=True).stdout
    for line in tags.splitlines():
        tag = json.loads(line)
        length = tag.get("end", tag["line"]) - tag["line"] + 1
        if length > LONG_FUNCTION:
            yield tag["path"], f"{tag['name']} has {length} lines"


def find_places():
    """All that is left, by kind: lists of pairs of file and description."""
    found = collections.defaultdict(list)
    names = source_files()
    for name in names:
        text = (ROOT / name).read_text(encoding="utf-8")
        lines = text.count("\n")
        if lines > LONG_FILE:
            found["long files"].append((name, f"{lines} lines"))
        if name.endswith(".hpp") and not re.match(r"\s*(#pragma once\s*)?(//|/\*)", text):
            found["headers without a comment"].append((name, "no opening comment"))
        if FORMER_NAMES.search(text):
            found["former names"].append((name, "names the first operator's program"))
        if name.startswith(("src/", "include/")):
            for identifier, count in house_words_in(text):
                word = next(part for part in parts_of(identifier) if part in HOUSE_WORDS)
                found["house words"].append((name, f"{identifier} x{count} ({word}: {HOUSE_WORDS[word]})"))
    found["long functions"] = list(long_functions(names))
    return found


def counts_of(found):
    """Places by kind and file, as the baseline holds them."""
    return {
        kind: dict(sorted(collections.Counter(path for path, _ in places).items()))
        for kind, places in sorted(found.items())
        if places
    }


def differences(counted, baseline):
    """A line for each file whose count is not the baseline's."""
    for kind in sorted(counted.keys() | baseline.keys()):
        now, before = counted.get(kind, {}), baseline.get(kind, {})
        for path in sorted(now.keys() | before.keys()):
            if now.get(path, 0) > before.get(path, 0):
                yield f"{kind}: {path} has {now[path]}, {before.get(path, 0)} are known"
            elif now.get(path, 0) < before.get(path, 0):
                left = now.get(path, 0)
                yield f"{kind}: {path} has {left}, not the baseline's {before[path]}: lower it by --record"


def main():
    """Prints the count of each kind and what differs from the baseline."""
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--list", action="store_true", help="print each place")
    parser.add_argument("--record", action="store_true", help="record what is found as the new baseline")
    arguments = parser.parse_args()
    found = find_places()
    for kind, places in sorted(found.items()):
        print(f"{kind}: {len(places)}")
        if arguments.list:
            for path, description in places:
                print(f"    {path}: {description}")
    counted = counts_of(found)
    if arguments.record:
        BASELINE.write_text(json.dumps(counted, indent=1) + "\n", encoding="utf-8")
        return 0
    wrong = list(differences(counted, json.loads(BASELINE.read_text(encoding="utf-8"))))
    print(*wrong, sep="\n")
    return 1 if wrong else 0


if __name__ == "__main__":
    sys.exit(main())
