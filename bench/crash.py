#!/usr/bin/env python3
"""Measures how soon a sidecar serves again after SIGKILL, with and without stored state, and its disk writes.

    bench/crash.py [--program build/ochregrade] [--runs 10] [--busy-seconds 60] [--discovery-ms 300]

Each run kills the program under load and starts it again. The configuration contains no endpoint list. The
cases: with and without a state folder, with discovery up (its complete list takes 300 ms) or down. Measured
from the start of the process: the time of the first served request, and the share of requests served in the
first 2 s. While the disk writes are measured, the endpoint list changes every second, the configuration every
5 s, and one of eight servers fails every request.
"""

import argparse
import asyncio
import os
import random
import tempfile
import time
from dataclasses import dataclass
from typing import Optional

from support.config import large_fleet_config
from support.fakes import FakeDiscovery, FakeServers
from support.load import LoadGenerator
from support.program import BenchSidecar
from support.report import median, metric, print_table

FLEET_SIZE = 20
SERVER_COUNT = 8
LISTED_HOSTS = 60
REQUESTS_PER_S = 200
BEFORE_KILL_S = 1.5
MEASURED_S = 2
TIME_LEFT_MS = 1000  # deadline of each measured request, from its start
DISCOVERY_DOWN_S = 3600  # response delay that outlasts the run, so that discovery is down
LIST_CHANGES_PER_CONFIG_CHANGE = 5


@dataclass(frozen=True)
class Restart:
    """One restart after SIGKILL."""

    run: int
    with_state: bool
    discovery_up: bool
    first_served_ms: Optional[int]  # None: no request was served in the measured time
    served_share: float

    @property
    def state(self):
        """Cell of the column `state`: with or without."""
        return "with" if self.with_state else "without"

    @property
    def discovery(self):
        """Cell of the column `discovery`: up or down."""
        return "up" if self.discovery_up else "down"

    def columns(self):
        """One row of the table, by column."""
        return {
            "run": self.run,
            "state": self.state,
            "discovery": self.discovery,
            "first served ms": "-" if self.first_served_ms is None else self.first_served_ms,
            "served in 2 s": self.served_share,
        }


def config_for(discovery, state_folder):
    """A configuration without an endpoint list, with the state folder if `state_folder` is not None."""
    config = large_fleet_config(discovery.port, [], fleet_size=FLEET_SIZE)
    del config["known"]
    config["ochregrade"]["state"] = {"lived_ms": 200}
    if state_folder:
        config["ochregrade"]["state"]["dir"] = state_folder
    return config


async def measure_restart(args, servers, run, with_state, discovery_up):
    """Kills the sidecar under load, starts it again and measures the next two seconds."""
    with tempfile.TemporaryDirectory(prefix="ochregrade-state-") as folder:
        discovery = FakeDiscovery(servers.hosts(LISTED_HOSTS))
        await discovery.start()
        config = config_for(discovery, folder if with_state else None)
        async with BenchSidecar(args.program, config) as sidecar:
            await LoadGenerator(sidecar.endpoint.port, per_s=REQUESTS_PER_S, seed=run).run(BEFORE_KILL_S)
            discovery.delay_s = args.discovery_ms / 1000 if discovery_up else DISCOVERY_DOWN_S
            await sidecar.kill()
            started_at = time.monotonic()
            await sidecar.start()
            load = LoadGenerator(
                sidecar.endpoint.port, per_s=REQUESTS_PER_S, seed=run, time_left_ms=TIME_LEFT_MS
            )
            result = await load.run(MEASURED_S)
    first_served_ms = None
    if result.first_served_at is not None:
        first_served_ms = round((result.first_served_at - started_at) * 1000)
    served_share = round(result.served / result.asked, 3)
    return Restart(run, with_state, discovery_up, first_served_ms, served_share)


async def measure_run(args, run):
    """Measures the four cases in sequence."""
    random.seed(run)
    servers = FakeServers(SERVER_COUNT)
    await servers.start()
    return [
        await measure_restart(args, servers, run, with_state, discovery_up)
        for with_state in (True, False)
        for discovery_up in (True, False)
    ]


async def change_continuously(sidecar, discovery, hosts, config, end):
    """Changes the endpoint list every second and the configuration every 5 s, until `end` (monotonic, s)."""
    change_count = 0
    while time.monotonic() < end:
        change_count += 1
        share = 1 + (change_count % 3) / 10
        discovery.publish([{**host, "share": share} for host in hosts[: 50 + change_count % 10]])
        if change_count % LIST_CHANGES_PER_CONFIG_CHANGE == 0:
            config["settings"]["limits"]["max-attempts"] = 3 + change_count % 2
            config["limits"]["sockets"] = 900 + change_count % 7
            response = await sidecar.post_config(config)
            assert response and response.status in (200, 422), response
        await asyncio.sleep(1)


async def measure_disk_writes(args):
    """Prints how much state the sidecar writes under continuous changes."""
    servers = FakeServers(SERVER_COUNT)
    await servers.start()
    hosts = servers.hosts(LISTED_HOSTS)
    discovery = FakeDiscovery(hosts)
    await discovery.start()
    with tempfile.TemporaryDirectory(prefix="ochregrade-state-") as folder:
        config = config_for(discovery, folder)
        async with BenchSidecar(args.program, config) as sidecar:
            servers.failing_ports = {servers.ports[0]}
            end = time.monotonic() + args.busy_seconds
            load = LoadGenerator(sidecar.endpoint.port, per_s=REQUESTS_PER_S)
            await asyncio.gather(
                load.run(args.busy_seconds), change_continuously(sidecar, discovery, hosts, config, end)
            )
            metrics = await sidecar.metrics()
        files = os.listdir(folder)
    per_minute = 60 / args.busy_seconds
    print(
        f"continuous changes, {args.busy_seconds:.0f} s: "
        f"{metric(metrics, 'state_writes_total') * per_minute:.0f} writes "
        f"and {metric(metrics, 'state_bytes_total') * per_minute / 1024:.0f} KiB a minute, "
        f"{metric(metrics, 'state_write_failures_total'):.0f} failed; "
        f"{metric(metrics, 'servers_removed'):.0f} servers ejected at the end, "
        f"{len(files)} files; {load.result.served} of {load.result.asked} served"
    )


def print_summary(restarts):
    """Prints the median and range of each case."""
    for state in ("with", "without"):
        for discovery in ("up", "down"):
            case = [r for r in restarts if (r.state, r.discovery) == (state, discovery)]
            times = sorted(r.first_served_ms for r in case if r.first_served_ms is not None)
            shares = sorted(r.served_share for r in case)
            first = f"after {median(times)} ms ({times[0]} to {times[-1]})" if times else "never"
            print(
                f"{state} state, discovery {discovery}, {len(case)} runs: first served {first}; "
                f"served in 2 s {median(shares):.3f} ({shares[0]:.3f} to {shares[-1]:.3f})"
            )


def parse_arguments():
    """Parses the command line."""
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--program", default="build/ochregrade")
    parser.add_argument("--runs", type=int, default=10)
    parser.add_argument("--busy-seconds", type=float, default=60)
    parser.add_argument("--discovery-ms", type=float, default=300)
    return parser.parse_args()


async def main():
    """Measures the restarts, then the disk writes unless --busy-seconds is 0."""
    args = parse_arguments()
    restarts = []
    for run in range(1, args.runs + 1):
        restarts += await measure_run(args, run)
    print_table([restart.columns() for restart in restarts])
    print_summary(restarts)
    if args.busy_seconds > 0:
        await measure_disk_writes(args)


if __name__ == "__main__":
    asyncio.run(main())
