#!/usr/bin/env python3
"""Runs scenarios of the external bench with several seeds and prints a table; exit code 1 for a shortfall.

    bench/survey.py SITE --bench PATH/lbreal --days join+mass,zone+mass --seeds 1,2,3 [--nodes 60] [--jobs 3]
    bench/survey.py --read REPORT.json...

The bench calls a scenario a rough day (--rough). The only input is the report that the bench writes with
--json. Requires only Python 3.9.
"""

import argparse
import concurrent.futures
import json
import math
import os
import subprocess
import sys
import tempfile
from dataclasses import dataclass, field

HEADER = (
    "day",
    "seed",
    "nodes",
    "served, required",
    "worst class",
    "worst tenant",
    "ready, s",
    "shortfalls",
)
DAYS = "calm+mass,roll+mass,herd+mass,zone+mass,split+mass,join+mass"
MAX_READY_S = 30
# The reference policy is the bench's late-seeing policy. The bench's gate requires half of the share that the
# reference policy serves for a class, and a third for a tenant. It requires nothing for a class or tenant of
# which the reference policy serves less than 0.3.
MIN_REFERENCE_SHARE = 0.3
CLASS_FRACTION = 1 / 2
TENANT_FRACTION = 1 / 3


class Unreadable(Exception):
    """A report that is not in the bench's format; the message names the field."""


@dataclass(frozen=True)
class Share:
    """The served share of the requests of a class or a tenant, and the share that the gate requires."""

    name: str
    served: float
    required: float

    @property
    def falls_short(self):
        """Whether less was served than is required."""
        return self.served < self.required

    def __str__(self):
        return f"{self.name} {self.served:.3f}, {self.required:.3f}"


@dataclass(frozen=True)
class ReportSummary:
    """One row of the table: its cells in HEADER's order, and the missed requirements."""

    cells: tuple
    shortfalls: list = field(default_factory=list)


def number(value, where):
    """The value if it is a finite number. Raises Unreadable otherwise."""
    if isinstance(value, bool) or not isinstance(value, (int, float)) or not math.isfinite(value):
        raise Unreadable(f"{where} is not a finite number")
    return value


def read_shares(row, key, fraction):
    """The shares under `key`, the worst first; `fraction` of the reference policy's share is required."""
    shares = []
    for i, entry in enumerate(row.get(key) or []):
        where = f"row.{key}[{i}]"
        if not isinstance(entry, list) or len(entry) != 3 or not isinstance(entry[0], str):
            raise Unreadable(f"{where} is not a name and two shares")
        served, required = number(entry[1], where), number(entry[2], where)
        has_requirement = required / fraction >= MIN_REFERENCE_SHARE
        shares.append(Share(entry[0], served, required if has_requirement else 0))
    return sorted(shares, key=lambda share: share.served - share.required)


def read_faults(row):
    """The fault that the bench reports and the violated rules, as text."""
    faults = [f"fault: {row['fault']}"] if row.get("fault") else []
    for rule, violations in sorted((row.get("rules") or {}).items()):
        if number(violations, f"row.rules.{rule}") > 0:
            faults.append(f"rule {rule}")
    return faults


def read_ready_s(report):
    """The longest time in seconds from a start or restart of a sidecar until it was ready."""
    observed = (report.get("real") or {}).get("seen") or {}
    return max(
        number(time, "ready") for time in [observed.get("start_s", 0), *(observed.get("restart_s") or [])]
    )


def read_report(report):
    """Summarises one report of the bench. Raises Unreadable."""
    row = report.get("row") if isinstance(report, dict) else None
    if not isinstance(row, dict):
        raise Unreadable("row is missing")
    shortfalls = read_faults(row)
    total = Share(
        "total",
        number(row.get("served"), "row.served"),
        number(row.get("served_least"), "row.served_least"),
    )
    if total.falls_short:
        shortfalls.append("served")
    classes = read_shares(row, "by_class", CLASS_FRACTION)
    tenants = read_shares(row, "by_tenant", TENANT_FRACTION)
    if not classes:
        raise Unreadable("row.by_class is missing")
    shortfalls += [f"class {share.name}" for share in classes if share.falls_short]
    shortfalls += [f"tenant {share.name}" for share in tenants if share.falls_short]
    ready_s = read_ready_s(report)
    if ready_s > MAX_READY_S:
        shortfalls.append("ready")
    cells = (
        row.get("name", "?"),
        str(row.get("seed", "?")),
        str(row.get("nodes", "?")),
        f"{total.served:.3f}, {total.required:.3f}",
        str(classes[0]),
        str(tenants[0]) if tenants else "-",
        f"{ready_s:.1f}",
        "; ".join(shortfalls) or "nothing",
    )
    return ReportSummary(cells, shortfalls)


def read_file(path):
    """Summarises the report in a file; an unreadable report counts as a shortfall."""
    try:
        with open(path, encoding="utf-8") as file:
            return read_report(json.load(file))
    except (OSError, ValueError, Unreadable) as error:
        cells = (os.path.basename(path), *["?"] * (len(HEADER) - 2), f"no report: {error}")
        return ReportSummary(cells, ["no report"])


def run_day(args, folder, day, seed):
    """Runs one day and summarises its report, which is written to `folder`."""
    path = os.path.join(folder, f"{day}-{seed}.json")
    command = [args.bench, args.site, "--rough", day, "--seed", str(seed), "--json", path, "--why", args.why]
    if args.nodes:
        command += ["--nodes", str(args.nodes)]
    if args.logs:
        command += ["--logs", os.path.join(args.logs, f"{day}-{seed}")]
    subprocess.run(command, stdout=subprocess.DEVNULL, stderr=subprocess.DEVNULL, check=False)
    return read_file(path)


def run_all_days(args):
    """Runs every day with every seed, --jobs of them in parallel."""
    days = [(day, int(seed)) for day in args.days.split(",") for seed in args.seeds.split(",")]
    with tempfile.TemporaryDirectory() as folder, concurrent.futures.ThreadPoolExecutor(args.jobs) as pool:
        return list(pool.map(lambda day_and_seed: run_day(args, folder, *day_and_seed), days))


def parse_arguments():
    """Parses the command line; exits with 2 if a required argument is missing."""
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("site", nargs="?")
    parser.add_argument("--bench", help="path of the bench program that runs the days")
    parser.add_argument("--days", default=DAYS)
    parser.add_argument("--seeds", default="1,2,3")
    parser.add_argument("--nodes", type=int, help="number of sidecars, if fewer than the day's default")
    parser.add_argument("--jobs", type=int, default=3, help="number of days that run in parallel")
    parser.add_argument("--logs", help="folder for the sidecars' logs")
    parser.add_argument("--why", default="A survey of rough days over several seeds.")
    parser.add_argument(
        "--read", nargs="+", metavar="REPORT", help="run no days, only summarise these reports"
    )
    args = parser.parse_args()
    if not args.read and (not args.site or not args.bench):
        parser.error("either a site and --bench or --read is required")
    return args


def main():
    """Runs the days or reads the reports and prints the table; returns the exit code."""
    args = parse_arguments()
    summaries = [read_file(path) for path in args.read] if args.read else run_all_days(args)
    print("| " + " | ".join(HEADER) + " |\n|" + " --- |" * len(HEADER))
    for summary in summaries:
        print("| " + " | ".join(summary.cells) + " |")
    return 1 if any(summary.shortfalls for summary in summaries) else 0


if __name__ == "__main__":
    sys.exit(main())
