#!/usr/bin/env python3
"""Randomized fault soak: real sidecars on loopback under overlapping faults, judged by the rules.

    tests/soak/soak.py --program PROGRAM --shim LIBRARY [--seed N] [--seeds N] [--seconds S] [--sidecars N]
                       [--every S] [--only FAULT,...] [--keep FOLDER]

Prints one line for each seed and each finding; exit code 1 where a rule was broken. Needs Python 3.9 and
nothing else.
"""

import argparse
import asyncio
import collections
import logging
import os
import shutil
import sys
import tempfile

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
sys.path.insert(0, os.path.join(ROOT, "bench"))
# The modules below import bench/support, whose folder must be in the path first.
# pylint: disable=wrong-import-position
from oracle import Oracle
from run import Run

MAX_SHOWN_FINDINGS = 20


def print_summary(run, findings):
    """Prints what happened in a run, the findings by rule, and the first findings."""
    records = run.records
    statuses = collections.Counter(request.status for request in records.requests.values())
    max_lag_s = max((lag.seconds for lag in records.lags), default=0)
    faults = sum("over" not in event.text for event in records.events)
    print(
        f"seed {run.seed}: {len(records.requests)} requests, statuses {dict(statuses)}, "
        f"{faults} faults and restarts, {len(findings)} findings, "
        f"harness late by {max_lag_s * 1000:.0f} ms at most, injected {run.injected()}"
    )
    by_rule = collections.Counter(finding.split()[0] for finding in findings)
    for rule, count in sorted(by_rule.items()):
        print(f"  {rule}: {count}")
    for finding in findings[:MAX_SHOWN_FINDINGS]:
        print(f"    {finding}")
    sys.stdout.flush()


def write_findings(folder, findings, events):
    """Writes all findings and events for a closer look."""
    with open(os.path.join(folder, "findings"), "w", encoding="utf-8") as file:
        file.writelines(f"{finding}\n" for finding in findings)
        file.writelines(f"{event.at:.3f} {event.text}\n" for event in events)


def make_folder(options, seed):
    """An empty folder for a run's logs and traces, in the one to keep or a temporary one."""
    if not options.keep:
        return tempfile.mkdtemp(prefix="soak-")
    folder = os.path.join(options.keep, f"seed-{seed}")
    shutil.rmtree(folder, ignore_errors=True)
    os.makedirs(folder)
    return folder


def play_seed(options, seed):
    """Plays and judges one run; whether there are no findings."""
    folder = make_folder(options, seed)
    run = Run(options, seed, folder)
    try:
        asyncio.run(run.play())
    finally:
        run.kill_all()
    findings = Oracle(run.records).judge()
    print_summary(run, findings)
    if options.keep:
        write_findings(folder, findings, run.records.events)
    else:
        shutil.rmtree(folder, ignore_errors=True)
    return not findings


def parse_arguments():
    """The command line."""
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--program", required=True, help="path of the sidecar program")
    parser.add_argument("--shim", required=True, help="path of the fault shim library")
    parser.add_argument("--seed", type=int, default=1, help="the first seed")
    parser.add_argument("--seeds", type=int, default=1, help="number of seeds, run one after another")
    parser.add_argument("--seconds", type=float, default=20, help="length of a run")
    parser.add_argument("--sidecars", type=int, default=16)
    parser.add_argument("--every", type=float, default=0.7, help="mean seconds from one fault to the next")
    parser.add_argument(
        "--only",
        type=lambda text: text.split(","),
        default=[],
        help="comma-separated names of the faults to inject",
    )
    parser.add_argument("--keep", help="folder for logs and traces")
    options = parser.parse_args()
    options.program, options.shim = os.path.abspath(options.program), os.path.abspath(options.shim)
    return options


def main():
    """Plays all seeds; the exit code."""
    options = parse_arguments()
    # No warnings of writes to connections that a fault has just reset.
    logging.getLogger("asyncio").setLevel(logging.ERROR)
    results = [play_seed(options, seed) for seed in range(options.seed, options.seed + options.seeds)]
    print(f"{sum(results)} of {len(results)} seeds without a finding")
    return 0 if all(results) else 1


if __name__ == "__main__":
    sys.exit(main())
