"""What the groups of faults have in common."""

import asyncio


class FaultGroup:
    """Faults of one part of a run. Each fault is a coroutine function that also ends what it has begun."""

    def __init__(self, run, random):
        self.run, self.random = run, random

    def pause(self, min_s=0.3, max_s=4.0):
        """Sleeps for a random time, by default for as long as a fault lasts."""
        return asyncio.sleep(self.random.uniform(min_s, max_s))

    def some(self, items, max_share=0.3):
        """A random choice of at least one and at most this share of the items."""
        return self.random.sample(items, max(1, int(self.random.uniform(0, max_share) * len(items))))
