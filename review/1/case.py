#!/usr/bin/env python3
"""Some answers of guide servers come twice; does a client get the answer to another request, or a request run
twice?"""

import collections
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
TURNED_AWAY_SHARE = 0.1
APPLICATION_PER_S = 150
SECONDS = 60
ONCE = ("rental-charge", "loan-return", "pass-issue")  # the classes that must never run twice


def foreign_answers(record):
    """The 200 answers whose body is not the one that a guide server made for the request."""
    made = {details["id"]: body_for(details["id"]).decode() for _, details in record.find("runs")}
    return [
        {"rule": "lost", "id": details["id"], "got": repr(details["body"])}
        for _, details in record.find("answered", status=200)
        if details["body"] != made.get(details["id"])
    ]


def repeated_runs(record):
    """The requests of classes that must never run twice which ran more than once."""
    class_of = {details["id"]: details["service_class"] for _, details in record.find("asks")}
    runs = collections.Counter(details["id"] for _, details in record.find("runs"))
    return [
        {"rule": "duplicate", "id": request_id, "service_class": class_of[request_id], "runs": count}
        for request_id, count in runs.items()
        if count > 1 and class_of[request_id] in ONCE
    ]


async def play(record):
    """The answers and runs that break a rule."""
    async with deployment(record, answering_twice(record, TURNED_AWAY_SHARE), SERVERS) as sidecar:
        await Application(record, sidecar.port, APPLICATION_PER_S, case.SEED).run(SECONDS)
    asked, served = len(record.find("asks")), len(record.find("answered", status=200))
    twice = len(record.find("twice"))
    foreign, repeated = foreign_answers(record), repeated_runs(record)
    print(f"{asked} requests, {served} served, {twice} answers came twice")
    print(f"{len(foreign)} answers were made for another request, {len(repeated)} requests ran twice")
    if served < SECONDS * APPLICATION_PER_S / 2 or (case.TROUBLE and not twice):
        raise case.CouldNotRun
    return foreign + repeated


if __name__ == "__main__":
    case.run(play, HERE)
