"""What the cases share: the switch of the disruption, the exit status and the record."""

import asyncio
import os
import signal
import sys
import traceback

from standins.record import Record

SEED = 37
TIMEOUT_S = 110
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2

# With TROUBLE=0 a case does the same without the disruption.
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


class CouldNotRun(Exception):
    """The case shows nothing, for example because too little was sent."""


def run(play, folder):
    """Plays a case and exits. `play(record)` returns the breaks of the rule as details for the record."""
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(COULD_NOT_RUN))  # so that the sidecar is ended too
    record = Record()
    status = COULD_NOT_RUN
    try:
        breaks = asyncio.run(asyncio.wait_for(play(record), TIMEOUT_S))
        for details in breaks:
            record.add("check", "broken", **details)
        print(f"{'disruption' if TROUBLE else 'no disruption'}: the rule was broken {len(breaks)} times")
        status = BROKEN if breaks else HELD
    except Exception:  # pylint: disable=broad-except
        traceback.print_exc()
    finally:
        record.write(folder / "record.txt")
    sys.exit(status)
