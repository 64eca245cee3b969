#!/usr/bin/env python3
"""Some answers of guide servers come twice; does a client get the answer to another request?"""

import pathlib
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

# pylint: disable=wrong-import-position
from standins import case
from standins.good_answers import answering_twice
from standins.platform import body_for, deployment
from standins.traffic import Application

SERVERS = 6
APPLICATION_PER_S = 100
SECONDS = 40


async def play(record):
    """The 200 answers whose body is not the one that a guide server made for the request."""
    async with deployment(record, answering_twice(record), SERVERS) as sidecar:
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
