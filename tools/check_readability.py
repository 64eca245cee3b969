#!/usr/bin/env python3
"""Checks the readability of the C++ sources and prints the number of violations of each kind.

    tools/check_readability.py [--list] [--record]

Violations are files over 400 lines, functions over 40 lines (needs Universal Ctags), identifiers that contain
a discouraged word, the program names of the first operator, and headers without an opening comment. The known
violations are counted in tools/readability_baseline.json. A count above the baseline fails the check; a count
below the baseline fails too, so that the baseline can only shrink. Exit code 0 if all counts equal the
baseline, else 1.
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

# Discouraged words, compared with each word of an identifier, and the standard terms to use instead.
DISCOURAGED_WORDS = {
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
# Identifiers that may contain a discouraged word, and the reason.
ALLOWED = {
    "superseded": "a configuration version that a later version replaced; the term in the operators' JSON",
    "connection_refused": "Asio's name of ECONNREFUSED",
    "placement": "the C++ term",
}
FORMER_NAMES = re.compile(r"kelplb|cobaltshift", re.IGNORECASE)


def source_files():
    """The paths of the C++ files that git tracks, relative to the root."""
    folders = ["src", "include", "tests", "bench"]
    listed = subprocess.run(
        ["git", "ls-files", *folders], cwd=ROOT, capture_output=True, text=True, check=True
    )
    return [name for name in listed.stdout.split() if name.endswith((".cpp", ".hpp"))]


def words_of(identifier):
    """The lower-case words of an identifier in snake_case or CamelCase."""
    snake = re.sub(r"(?<=[a-z0-9])(?=[A-Z])", "_", identifier)
    return [part for part in snake.lower().split("_") if part]


def strip_comments_and_strings(text):
    """The text without comments, with each string literal emptied."""
    text = re.sub(r"/\*.*?\*/|//[^\n]*", "", text, flags=re.S)
    return re.sub(r'"(?:\\.|[^"\\\n])*"', '""', text)


def discouraged_words_in(text):
    """Pairs of identifier and count, for identifiers that contain a discouraged word."""
    identifiers = re.findall(r"[A-Za-z_]\w*", strip_comments_and_strings(text))
    counted = collections.Counter(
        name for name in identifiers if name not in ALLOWED and set(words_of(name)) & DISCOURAGED_WORDS.keys()
    )
    return counted.most_common()


def long_functions(names):
    """Pairs of file and description, for functions over the limit."""
    command = ["ctags", "--c++-kinds=f", "--fields=+ne", "--output-format=json", "-o", "-", *names]
    tags = subprocess.run(command, cwd=ROOT, capture_output=True, text=True, check=True).stdout
    for line in tags.splitlines():
        tag = json.loads(line)
        length = tag.get("end", tag["line"]) - tag["line"] + 1
        if length > LONG_FUNCTION:
            yield tag["path"], f"{tag['name']} has {length} lines"


def find_violations():
    """All violations by kind, as lists of pairs of file and description."""
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
            for identifier, count in discouraged_words_in(text):
                word = next(part for part in words_of(identifier) if part in DISCOURAGED_WORDS)
                found["house words"].append(
                    (name, f"{identifier} x{count} ({word}: {DISCOURAGED_WORDS[word]})")
                )
    found["long functions"] = list(long_functions(names))
    return found


def count_by_file(found):
    """The number of violations by kind and file, in the baseline's format."""
    return {
        kind: dict(sorted(collections.Counter(path for path, _ in violations).items()))
        for kind, violations in sorted(found.items())
        if violations
    }


def differences(counted, baseline):
    """Yields a line for each file whose count differs from the baseline."""
    for kind in sorted(counted.keys() | baseline.keys()):
        now, before = counted.get(kind, {}), baseline.get(kind, {})
        for path in sorted(now.keys() | before.keys()):
            if now.get(path, 0) > before.get(path, 0):
                yield f"{kind}: {path} has {now[path]}, more than {before.get(path, 0)} in the baseline"
            elif now.get(path, 0) < before.get(path, 0):
                left = now.get(path, 0)
                yield f"{kind}: {path} has {left}, the baseline has {before[path]}: lower it with --record"


def main():
    """Prints the count of each kind and the differences from the baseline; returns the exit code."""
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--list", action="store_true", help="print each violation")
    parser.add_argument("--record", action="store_true", help="write the current counts to the baseline")
    arguments = parser.parse_args()
    found = find_violations()
    for kind, violations in sorted(found.items()):
        print(f"{kind}: {len(violations)}")
        if arguments.list:
            for path, description in violations:
                print(f"    {path}: {description}")
    counted = count_by_file(found)
    if arguments.record:
        BASELINE.write_text(json.dumps(counted, indent=1) + "\n", encoding="utf-8")
        return 0
    mismatches = list(differences(counted, json.loads(BASELINE.read_text(encoding="utf-8"))))
    print(*mismatches, sep="\n")
    return 1 if mismatches else 0


if __name__ == "__main__":
    sys.exit(main())
