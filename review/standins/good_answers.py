"""Guide servers whose answers are all good, but some of them come twice."""

import asyncio
import random

from standins import case, wire
from standins.platform import body_for, hold_back_small_writes

WORK_S = (0.03, 0.08)
TURNED_AWAY_AFTER_S = (0, 0.05)
# The share of the answers that come twice.
TWICE_SHARE = 0.05 if case.TROUBLE else 0


def answering_twice(record, turned_away_share=0.0):
    """How the guide servers serve. They turn a share of the requests away, as ones with a full queue do."""
    draws = random.Random(case.SEED)

    async def serve(request, writer):
        request_id = request.headers["x-correlation-id"]
        hold_back_small_writes(writer)
        if draws.random() < turned_away_share:
            await asyncio.sleep(draws.uniform(*TURNED_AWAY_AFTER_S))
            record.add("a server", "turns away", id=request_id)
            answer = wire.answer(503, fields=["X-Unprocessed: 1"])
        else:
            record.add("a server", "runs", id=request_id)
            await asyncio.sleep(draws.uniform(*WORK_S))
            answer = wire.answer(200, body_for(request_id))
        writer.write(answer)
        if draws.random() < TWICE_SHARE:
            writer.write(answer)  # right behind; nothing else waits on the connection
            record.add("a server", "twice", id=request_id)
        return True

    return serve
