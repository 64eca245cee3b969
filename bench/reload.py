#!/usr/bin/env python3
"""Does a change of the configuration cost a request, and how long does the loop stand still for it?

    bench/reload.py [--program build/cobaltshift] [--runs 10] [--seconds 3] [--every-ms 20] [--rate 400] [--state]

Each run: the real program with 300 peers and 200 listed servers serves clients for a while without changes, then as
long with a change every 20 ms, by turns with SIGHUP and over the operators' endpoint. Every change swaps the classes'
order, adds or takes away one, turns the peers round, alters limits and moves discovery.
"""

import argparse
import asyncio
import copy
import json
import random
import tempfile

import fleet


def other_of(config, discovery_port):
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


async def change_all_the_time(sidecar, one, other, every_s, until):
    admin = int(one["cobaltshift"]["admin"]["listen"].rsplit(":", 1)[1])
    turn = 0
    while asyncio.get_running_loop().time() < until:
        next_one = other if turn % 2 == 0 else one
        if turn % 4 < 2:
            sidecar.write(next_one)
            sidecar.hup()
        else:
            body = {k: v for k, v in next_one.items() if k != "known"}
            reply = await fleet.call(admin, "POST", "/v1/config", json.dumps(body).encode())
            assert reply and reply[0] == 200, reply
        turn += 1
        await asyncio.sleep(every_s)


async def one_run(args, number):
    random.seed(number)
    servers = fleet.Servers(20)
    await servers.start()
    hosts = servers.hosts(200)
    discovery = fleet.Discovery(hosts)
    elsewhere = fleet.Discovery(hosts)
    await discovery.start()
    await elsewhere.start()
    one = fleet.a_config(discovery.port, hosts)
    folder = tempfile.TemporaryDirectory(prefix="cobaltshift-state-")
    if args.state:
        one["cobaltshift"]["state"] = {"dir": folder.name}
    other = other_of(one, elsewhere.port)
    sidecar = fleet.Sidecar(args.program, one)
    await sidecar.start()
    rows = []
    try:
        await sidecar.ready()
        for phase in ("without", "with"):
            clients = fleet.Clients(sidecar.port, per_s=args.rate, seed=number)
            servers.runs.clear()
            tasks = [clients.run(args.seconds)]
            if phase == "with":
                until = asyncio.get_running_loop().time() + args.seconds
                tasks.append(change_all_the_time(sidecar, one, other, args.every_ms / 1000, until))
            await asyncio.gather(*tasks)
            admin = int(one["cobaltshift"]["admin"]["listen"].rsplit(":", 1)[1])
            metrics = (await fleet.call(admin, "GET", "/metrics"))[1]
            rows.append(
                {
                    "run": number,
                    "changes": phase,
                    "asked": clients.asked,
                    **clients.ended,
                    "wrong answers": clients.wrong,
                    "ran twice": sum(n > 1 for n in servers.runs.values()),
                    "generation": int(fleet.metric(metrics, "config_generation")),
                    "commit ms": round(fleet.metric(metrics, "config_commit_seconds_max") * 1000, 3),
                    "change ms": round(fleet.metric(metrics, "config_change_seconds_max") * 1000, 3),
                }
            )
    finally:
        await sidecar.stop()
        folder.cleanup()
    return rows


async def main():
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--program", default="build/cobaltshift")
    parser.add_argument("--runs", type=int, default=10)
    parser.add_argument("--seconds", type=float, default=3)
    parser.add_argument("--every-ms", type=float, default=20)
    parser.add_argument("--state", action="store_true", help="with a state folder")
    parser.add_argument("--rate", type=float, default=400)
    args = parser.parse_args()
    rows = []
    for number in range(1, args.runs + 1):
        rows += await one_run(args, number)
    fleet.table(rows, list(rows[0]))
    for phase in ("without", "with"):
        part = [r for r in rows if r["changes"] == phase]
        asked, served = sum(r["asked"] for r in part), sum(r["served"] for r in part)
        print(
            f"{phase} changes: {asked - served} of {asked} not served, "
            f"{sum(r['lost'] for r in part)} lost, {sum(r['wrong answers'] for r in part)} wrong"
        )
    changed = [r for r in rows if r["changes"] == "with"]
    print(
        f"longest pause for a commit: median {fleet.median([r['commit ms'] for r in changed])} ms, "
        f"worst {max(r['commit ms'] for r in changed)} ms; with reading and checking: "
        f"median {fleet.median([r['change ms'] for r in changed])} ms, worst {max(r['change ms'] for r in changed)} ms"
    )


asyncio.run(main())
