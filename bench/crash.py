#!/usr/bin/env python3
"""How quickly does service return after a SIGKILL, with a state folder and without, and what is written on a busy day?

    bench/crash.py [--program build/cobaltshift] [--runs 10] [--busy-seconds 60] [--discovery-ms 300]

Each run kills the real program while it serves and starts it again. Its file names no list of servers. Cases: with state
and without, discovery up (its whole list takes 300 ms) or down. Measured from the start of the process: the first
served request, and the share served of what clients ask in the first 2 s.
The busy day: the list changes every second, one of eight servers fails all it gets, and the configuration
changes every 5 s.
"""

import argparse
import asyncio
import json
import os
import random
import tempfile
import time

import fleet


def config_for(discovery, folder):
    config = fleet.a_config(discovery.port, [], peers=20)
    del config["known"]
    config["cobaltshift"]["state"] = {"lived_ms": 200}
    if folder:
        config["cobaltshift"]["state"]["dir"] = folder
    return config


async def restart(sidecar, discovery, number):
    """Kills and starts; seconds to the first served request, and the share of the first two seconds."""
    await sidecar.kill()
    begin = time.monotonic()
    await sidecar.start()
    clients = fleet.Clients(sidecar.port, per_s=200, seed=number, time_left_ms=1000)
    await clients.run(2)
    first = clients.first_served - begin if clients.first_served else None
    return first, clients.ended["served"] / clients.asked


async def one_run(args, number):
    random.seed(number)
    servers = fleet.Servers(8)
    await servers.start()
    rows = []
    for state in (True, False):
        for up in (True, False):
            with tempfile.TemporaryDirectory(prefix="cobaltshift-state-") as folder:
                discovery = fleet.Discovery(servers.hosts(60))
                await discovery.start()
                sidecar = fleet.Sidecar(args.program, config_for(discovery, folder if state else None))
                await sidecar.start()
                try:
                    await sidecar.ready()
                    await fleet.Clients(sidecar.port, per_s=200, seed=number).run(1.5)
                    discovery.delay_s = args.discovery_ms / 1000 if up else 3600
                    first, share = await restart(sidecar, discovery, number)
                finally:
                    await sidecar.stop()
            rows.append(
                {
                    "run": number,
                    "state": "with" if state else "without",
                    "discovery": "up" if up else "down",
                    "first served ms": round(first * 1000) if first else "-",
                    "served in 2 s": round(share, 3),
                }
            )
    return rows


async def busy(args):
    servers = fleet.Servers(8)
    await servers.start()
    with tempfile.TemporaryDirectory(prefix="cobaltshift-state-") as folder:
        hosts = servers.hosts(60)
        discovery = fleet.Discovery(hosts)
        await discovery.start()
        one = config_for(discovery, folder)
        admin = int(one["cobaltshift"]["admin"]["listen"].rsplit(":", 1)[1])
        sidecar = fleet.Sidecar(args.program, one)
        await sidecar.start()
        try:
            await sidecar.ready()
            servers.refuse = {servers.ports[0]}
            end = time.monotonic() + args.busy_seconds
            clients = fleet.Clients(sidecar.port, per_s=200)

            async def churn():
                turn = 0
                while time.monotonic() < end:
                    turn += 1
                    discovery.change([{**h, "share": 1 + (turn % 3) / 10} for h in hosts[: 50 + turn % 10]])
                    if turn % 5 == 0:
                        one["settings"]["limits"]["max-attempts"] = 3 + turn % 2
                        one["limits"]["sockets"] = 900 + turn % 7
                        reply = await fleet.call(admin, "POST", "/v1/config", json.dumps(one).encode())
                        assert reply and reply[0] in (200, 422), reply
                    await asyncio.sleep(1)

            await asyncio.gather(clients.run(args.busy_seconds), churn())
            metrics = (await fleet.call(admin, "GET", "/metrics"))[1]
            removed = int(fleet.metric(metrics, "servers_removed"))
        finally:
            await sidecar.stop()
        files = os.listdir(folder)
    per_minute = 60 / args.busy_seconds
    print(
        f"busy day, {args.busy_seconds:.0f} s: {fleet.metric(metrics, 'state_writes_total') * per_minute:.0f} writes "
        f"and {fleet.metric(metrics, 'state_bytes_total') * per_minute / 1024:.0f} KiB a minute, "
        f"{fleet.metric(metrics, 'state_write_failures_total'):.0f} failed; {removed} servers removed at the end, "
        f"{len(files)} files; {clients.ended['served']} of {clients.asked} served"
    )


async def main():
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--program", default="build/cobaltshift")
    parser.add_argument("--runs", type=int, default=10)
    parser.add_argument("--busy-seconds", type=float, default=60)
    parser.add_argument("--discovery-ms", type=float, default=300)
    args = parser.parse_args()
    rows = []
    for number in range(1, args.runs + 1):
        rows += await one_run(args, number)
    fleet.table(rows, list(rows[0]))
    for state in ("with", "without"):
        for discovery in ("up", "down"):
            part = [r for r in rows if (r["state"], r["discovery"]) == (state, discovery)]
            times = sorted(r["first served ms"] for r in part if r["first served ms"] != "-")
            share = sorted(r["served in 2 s"] for r in part)
            print(
                f"{state} state, discovery {discovery}, {len(part)} runs: first served "
                + (f"after {fleet.median(times)} ms ({times[0]} to {times[-1]})" if times else "never")
                + f"; served in 2 s {fleet.median(share):.3f} ({share[0]:.3f} to {share[-1]:.3f})"
            )
    if args.busy_seconds > 0:
        await busy(args)


asyncio.run(main())
