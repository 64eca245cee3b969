#!/usr/bin/env python3
"""Some answers of guide servers come twice; does a client get the answer to another request?"""

import asyncio
import pathlib
import random
import socket
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

# pylint: disable=wrong-import-position
from standins import case, wire
from standins.platform import body_for, deployment
from standins.traffic import Application

SERVERS = 6
APPLICATION_PER_S = 100
SECONDS = 40
WORK_S = (0.03, 0.08)
# The share of the answers that come twice.
TWICE_SHARE = 0.05


def serving(record):
    """How the guide servers serve: each answer is good, some come twice."""
    draws = random.Random(case.SEED)

    async def serve(request, writer):
        request_id = request.headers["x-correlation-id"]
        # The system's default for a socket, which asyncio changes: the kernel may hold small writes back.
        writer.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 0)
        await asyncio.sleep(draws.uniform(*WORK_S))
        answer = wire.answer(200, body_for(request_id))
        writer.write(answer)
        if draws.random() < TWICE_SHARE and case.TROUBLE:
            writer.write(answer)  # right behind; nothing else waits on the connection
            record.add("a server", "twice", id=request_id)
        return True

    return serve


async def play(record):
    """The 200 answers whose body is not the one that a guide server made for the request."""
    async with deployment(record, serving(record), SERVERS) as sidecar:
        await Application(record, sidecar.port, APPLICATION_PER_S, case.SEED).run(SECONDS)
    served = record.find("answered", status=200)
    twice = len(record.find("twice"))
    print(f"{len(record.find('sends'))} requests sent, {len(served)} served, {twice} answers came twice")
    if len(served) < SECONDS * APPLICATION_PER_S / 2 or (case.TROUBLE and not twice):
        raise case.CouldNotRun
    made = {details["id"]: body_for(details["id"]).decode() for _, details in record.find("runs")}
    return [
        {"id": details["id"], "got": repr(details["body"])}
        for _, details in served
        if details["body"] != made.get(details["id"])
    ]


if __name__ == "__main__":
    case.run(play, HERE)
