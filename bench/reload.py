#!/usr/bin/env python3
"""Measures whether a configuration change makes requests fail, and how long it blocks the event loop.

    bench/reload.py [--program build/ochregrade] [--runs 10] [--seconds 3] [--every-ms 20] [--rate 400]
                    [--state]

In each run the program, with 300 peers and 200 listed endpoints, serves clients for --seconds without
changes, then for --seconds with a change every 20 ms. Two changes by SIGHUP alternate with two through the
admin listener. Each change reverses the order of the request classes, adds or removes a class, reverses the
peers, changes limits and replaces the address of discovery.
"""

import argparse
import asyncio
import copy
import random
import tempfile
import time
from dataclasses import asdict, dataclass

from support.config import large_fleet_config
from support.fakes import FakeDiscovery, FakeServers
from support.load import LoadGenerator, LoadResult
from support.program import BenchSidecar
from support.report import median, metric, print_table

SERVER_COUNT = 20
LISTED_HOSTS = 200


@dataclass(frozen=True)
class Phase:
    """The part of a run without changes or the part with changes."""

    run: int
    changes: str  # "without" or "with"
    load: LoadResult
    executed_twice: int  # requests that the servers executed more than once
    generation: int  # version of the configuration at the end
    commit_ms: float  # the longest time that a change blocked the event loop
    change_ms: float  # the longest time of a change, including reading and validation

    def columns(self):
        """One row of the table, by column."""
        load = asdict(self.load)
        return {
            "run": self.run,
            "changes": self.changes,
            **{name: load[name] for name in ("asked", "served", "rejected", "failed", "lost")},
            "wrong responses": self.load.wrong,
            "executed twice": self.executed_twice,
            "generation": self.generation,
            "commit ms": self.commit_ms,
            "change ms": self.change_ms,
        }


def alternative_of(config, discovery_port):
    """A configuration that differs from `config` in the settings that may change while the program runs."""
    other = copy.deepcopy(config)
    classes = other["settings"]["classes"]
    classes.reverse()
    classes.insert(0, {"name": "extra", "effect": "repeatable", "on-time-ms": 300, "give-up-ms": 900})
    other["peers"].reverse()
    other["settings"]["my-number"] = len(other["peers"]) - 1
    other["settings"]["limits"]["max-attempts"] = 3
    other["limits"]["sockets"] = 900
    other["discovery"] = f"127.0.0.1:{discovery_port}"
    return other


async def change_continuously(sidecar, config, alternative, every_s, end):
    """Alternates between two configurations until `end`: two changes by SIGHUP, then two by POST."""
    change_count = 0
    while time.monotonic() < end:
        next_config = alternative if change_count % 2 == 0 else config
        if change_count % 4 < 2:
            sidecar.write_config(next_config)
            sidecar.reload()
        else:
            without_known = {key: value for key, value in next_config.items() if key != "known"}
            response = await sidecar.post_config(without_known)
            assert response and response.status == 200, response
        change_count += 1
        await asyncio.sleep(every_s)


async def measure_phase(args, run, sidecar, servers, change):
    """Serves clients for --seconds; `change` is a coroutine that runs concurrently, or None."""
    load = LoadGenerator(sidecar.endpoint.port, per_s=args.rate, seed=run)
    servers.executions.clear()
    await asyncio.gather(load.run(args.seconds), *([change] if change else []))
    metrics = await sidecar.metrics()
    return Phase(
        run,
        "with" if change else "without",
        load.result,
        executed_twice=sum(count > 1 for count in servers.executions.values()),
        generation=int(metric(metrics, "config_generation")),
        commit_ms=round(metric(metrics, "config_commit_seconds_max") * 1000, 3),
        change_ms=round(metric(metrics, "config_change_seconds_max") * 1000, 3),
    )


async def measure_run(args, run):
    """Measures both phases of a run on one process."""
    random.seed(run)
    servers = FakeServers(SERVER_COUNT)
    await servers.start()
    hosts = servers.hosts(LISTED_HOSTS)
    discovery, moved_discovery = FakeDiscovery(hosts), FakeDiscovery(hosts)
    await discovery.start()
    await moved_discovery.start()
    config = large_fleet_config(discovery.port, hosts)
    with tempfile.TemporaryDirectory(prefix="ochregrade-state-") as folder:
        if args.state:
            config["ochregrade"]["state"] = {"dir": folder}
        alternative = alternative_of(config, moved_discovery.port)
        async with BenchSidecar(args.program, config) as sidecar:
            unchanged = await measure_phase(args, run, sidecar, servers, None)
            end = time.monotonic() + args.seconds
            change = change_continuously(sidecar, config, alternative, args.every_ms / 1000, end)
            changed = await measure_phase(args, run, sidecar, servers, change)
    return [unchanged, changed]


def print_summary(phases):
    """Prints the requests not served, without and with changes, and the longest pauses."""
    for changes in ("without", "with"):
        loads = [phase.load for phase in phases if phase.changes == changes]
        asked, served = sum(load.asked for load in loads), sum(load.served for load in loads)
        print(
            f"{changes} changes: {asked - served} of {asked} not served, "
            f"{sum(load.lost for load in loads)} lost, {sum(load.wrong for load in loads)} wrong"
        )
    commits = [phase.commit_ms for phase in phases if phase.changes == "with"]
    changes = [phase.change_ms for phase in phases if phase.changes == "with"]
    print(
        f"longest pause for a commit: median {median(commits)} ms, worst {max(commits)} ms; "
        f"with reading and validation: median {median(changes)} ms, worst {max(changes)} ms"
    )


def parse_arguments():
    """Parses the command line."""
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--program", default="build/ochregrade")
    parser.add_argument("--runs", type=int, default=10)
    parser.add_argument("--seconds", type=float, default=3)
    parser.add_argument("--every-ms", type=float, default=20)
    parser.add_argument("--state", action="store_true", help="run the sidecar with a state folder")
    parser.add_argument("--rate", type=float, default=400)
    return parser.parse_args()


async def main():
    """Measures all runs and prints one table and a summary."""
    args = parse_arguments()
    phases = []
    for run in range(1, args.runs + 1):
        phases += await measure_run(args, run)
    print_table([phase.columns() for phase in phases])
    print_summary(phases)


if __name__ == "__main__":
    asyncio.run(main())
