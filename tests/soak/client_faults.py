"""Unusual load from the clients."""

import time

from fake_upstreams import IDLE_CLOSE_S
from fault_group import FaultGroup
from records import Span

BURST_FACTOR = 3
QUIET_RATE = 0.5  # requests per second of a sidecar's clients
AFTER_CROWD_S = 1.0  # so long a sidecar may still lack descriptors


class ClientFaults(FaultGroup):
    """Bursts, quiet times and crowds."""

    def _some_clients(self):
        return self.some(list(self.run.clients.values()), 0.6)

    async def burst(self):
        """The clients of some sidecars send more requests."""
        chosen = self._some_clients()
        for clients in chosen:
            clients.rate *= BURST_FACTOR
        await self.pause(0.3, 2.0)
        for clients in chosen:
            clients.rate /= BURST_FACTOR

    async def quiet(self):
        """Hardly a request for longer than idle connections last, and then all at once."""
        chosen = self._some_clients()
        rates = [clients.rate for clients in chosen]
        for clients in chosen:
            clients.rate = QUIET_RATE
        await self.pause(IDLE_CLOSE_S, 2 * IDLE_CLOSE_S)
        for clients, rate in zip(chosen, rates):
            clients.rate = rate

    async def crowd(self):
        """Idle connections use up one sidecar's descriptors."""
        sidecar = self.random.choice(self.run.sidecars)
        span = Span(time.monotonic())
        self.run.records.crowds.setdefault(sidecar.number, []).append(span)
        await self.run.clients[sidecar.number].crowd(self.random.uniform(0.3, 2.0))
        span.end = time.monotonic() + AFTER_CROWD_S
