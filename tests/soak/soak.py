#!/usr/bin/env python3
"""Randomized fault soak: real sidecars on loopback under overlapping troubles, judged by the rules.

    tests/soak/soak.py --program PROGRAM --shim LIBRARY [--seed N] [--seeds N] [--seconds S] [--sidecars N]
                       [--only TROUBLE,...] [--keep FOLDER]

Prints one line for each seed and each finding; exit code 1 where a rule was broken. Needs Python 3.9 and nothing else.
"""
import argparse
import asyncio
import collections
import logging
import os
import random
import shutil
import signal
import sys
import tempfile
import time

from clients import Clients
from discovery import Discovery
from fake_upstreams import GuideServer
from oracle import Oracle
from records import Records
from sidecars import Sidecar
from faults import Troubles

RATE_PER_SIDECAR = 8.0
SERVERS_PER_SIDECAR = 0.6
CAPACITY_OF_LOAD = 1.5  # what a server is taken to do once warm, by its part of the load without bursts
LAG_EVERY_S = 0.02
WORTH_NOTING_S = 0.01
SHOWN_FINDINGS = 20


class Run:
    def __init__(self, options, seed, folder):
        self.options, self.seed, self.folder = options, seed, folder
        self.random = random.Random(seed)
        self.records = Records()
        self.servers, self.sidecars, self.clients, self.busy = {}, [], {}, set()
        self._server_number = 0

    def _random_of(self, purpose):
        """A source of its own, so that the schedule does not follow the timing of everything else."""
        return random.Random(f"{self.seed} {purpose}")

    async def add_server(self):
        self._server_number += 1
        server = GuideServer(f"s-{self._server_number:03d}", self.records, self.random)
        await server.start()
        self.servers[server.name] = server
        self.records.started[server.name] = (
            server.started_at,
            CAPACITY_OF_LOAD * RATE_PER_SIDECAR / SERVERS_PER_SIDECAR,
        )
        return server

    def write_config(self, sidecar):
        peers = [f"{s.address}:{s.peer}" for s in self.sidecars]
        sidecar.write_config(self.discovery, peers, sidecar.number)

    async def _watch_lag(self):
        while True:
            due = time.monotonic() + LAG_EVERY_S
            await asyncio.sleep(LAG_EVERY_S)
            late = time.monotonic() - due
            if late > WORTH_NOTING_S:
                self.records.lags.append((time.monotonic(), late))
            for sidecar in self.sidecars:
                sidecar.check_alive()

    async def play(self):
        asyncio.get_running_loop().set_exception_handler(self._harness_fault)
        count = self.options.sidecars
        self.discovery = Discovery(self.records, self.random, leaves_out_draining=self.seed % 3 == 0)
        await self.discovery.start(count)
        started = [await self.add_server() for _ in range(max(4, int(count * SERVERS_PER_SIDECAR)))]
        for server in started:
            server.born -= 3600
            self.records.started.pop(server.name)
        await self.discovery.publish([server.entry("SERVING") for server in started])
        pushed = self.seed % 2 == 0
        for i in range(count):
            self.sidecars.append(
                Sidecar(
                    i,
                    self.options.program,
                    self.options.shim,
                    os.path.join(self.folder, f"n{i}"),
                    self.records,
                    self.random,
                    pushed,
                )
            )
        for sidecar in self.sidecars:
            self.write_config(sidecar)
        await asyncio.gather(*(sidecar.start() for sidecar in self.sidecars))
        lag = asyncio.create_task(self._watch_lag())
        until = time.monotonic() + self.options.seconds
        for sidecar in self.sidecars:
            self.clients[sidecar.number] = Clients(
                sidecar.number,
                sidecar.address,
                sidecar.listen,
                self.records,
                self._random_of(f"clients {sidecar.number}"),
                RATE_PER_SIDECAR,
            )
        troubles = Troubles(self, self._random_of("troubles"))
        await asyncio.gather(
            *(clients.run(until) for clients in self.clients.values()),
            troubles.play(self.options.only, self.options.every, until - 2),
        )
        for sidecar in self.sidecars:
            self.records.problems += [
                f"guard: sidecar {sidecar.number}: {v}" for v in await sidecar.violations()
            ]
        await asyncio.gather(*(sidecar.terminate() for sidecar in self.sidecars))
        lag.cancel()
        self.records.held_up = {s.number for s in self.sidecars if "stall_before_send" in s.shim.injected()}

    def _harness_fault(self, loop, context):
        """Streams that the end of the run cuts off are no finding; anything else that this harness raises is."""
        if not isinstance(context.get("exception"), (asyncio.CancelledError, ConnectionError)):
            self.records.problems.append(f"harness: {context.get('message')}: {context.get('exception')!r}")

    def injected(self):
        total = collections.Counter()
        for sidecar in self.sidecars:
            total.update(sidecar.shim.injected())
        return dict(total)

    def end_all(self):
        for sidecar in self.sidecars:
            sidecar.signal(signal.SIGKILL)


def play_seed(options, seed):
    folder = options.keep and os.path.join(options.keep, f"seed-{seed}")
    if folder:
        shutil.rmtree(folder, ignore_errors=True)
        os.makedirs(folder)
    else:
        folder = tempfile.mkdtemp(prefix="soak-")
    run = Run(options, seed, folder)
    try:
        asyncio.run(run.play())
    finally:
        run.end_all()
    findings = Oracle(run.records).judge()
    statuses = collections.Counter(r.status for r in run.records.requests.values())
    lag = max((late for _, late in run.records.lags), default=0)
    print(
        f"seed {seed}: {len(run.records.requests)} requests, statuses {dict(statuses)}, "
        f"{sum('over' not in text for _, text in run.records.events)} troubles, {len(findings)} findings, "
        f"harness late by {lag * 1000:.0f} ms at most, injected {run.injected()}"
    )
    for rule, count in sorted(collections.Counter(f.split()[0] for f in findings).items()):
        print(f"  {rule}: {count}")
    for finding in findings[:SHOWN_FINDINGS]:
        print(f"    {finding}")
    if options.keep:
        with open(os.path.join(folder, "findings"), "w") as file:
            file.writelines(f"{finding}\n" for finding in findings)
            file.writelines(f"{when:.3f} {text}\n" for when, text in run.records.events)
    else:
        shutil.rmtree(folder, ignore_errors=True)
    sys.stdout.flush()
    return not findings


def main():
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--program", required=True)
    parser.add_argument("--shim", required=True)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seeds", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=20)
    parser.add_argument("--sidecars", type=int, default=16)
    parser.add_argument(
        "--every", type=float, default=0.7, help="seconds from one trouble to the next, in the mean"
    )
    parser.add_argument("--only", type=lambda text: text.split(","), default=[])
    parser.add_argument("--keep", help="folder for logs and traces")
    options = parser.parse_args()
    logging.getLogger("asyncio").setLevel(
        logging.ERROR
    )  # writes to connections that a trouble has just reset
    options.program, options.shim = os.path.abspath(options.program), os.path.abspath(options.shim)
    good = [play_seed(options, seed) for seed in range(options.seed, options.seed + options.seeds)]
    print(f"{sum(good)} of {len(good)} seeds without a finding")
    return 0 if all(good) else 1


if __name__ == "__main__":
    sys.exit(main())
