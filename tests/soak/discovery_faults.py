"""Faults of the fake discovery service."""

import signal

from fault_group import FaultGroup


class DiscoveryFaults(FaultGroup):
    """Outages, delays and silence of discovery, and its moves to another port."""

    def __init__(self, run, random, upstream_faults):
        super().__init__(run, random)
        self._upstream_faults = upstream_faults

    async def _outage(self, min_s, max_s):
        """False where discovery is down already."""
        if self.run.discovery.down:
            return False
        self.run.discovery.set_down(True)
        await self.pause(min_s, max_s)
        self.run.discovery.set_down(False)
        return True

    async def outage(self):
        """Discovery is down for a while."""
        await self._outage(0.5, 9.0)

    async def outage_then_release(self):
        """A longer outage, and a server that drains within a second of its end."""
        if await self._outage(4.0, 9.0):
            await self.pause(0.0, 1.0)
            await self._upstream_faults.replace()

    async def slow_down(self):
        """Answers come late, and some are 503."""
        discovery = self.run.discovery
        discovery.max_delay_s = self.random.choice((0.2, 0.8))
        discovery.overload_share = self.random.choice((0.0, 0.3))
        await self.pause()
        discovery.max_delay_s = discovery.overload_share = 0.0

    async def silence_watches(self):
        """The open watches are never answered."""
        self.run.discovery.silence_watches()

    async def silence_next_requests(self):
        """The next request of some sidecars gets no answer, be it a watch or a new process's first one."""
        for sidecar in self.some(self.run.sidecars):
            self.run.discovery.silence_next_request(sidecar.number)

    async def move(self):
        """Some sidecars are configured with another port of discovery."""
        for sidecar in self.some(self.run.sidecars, 0.6):
            self.run.discovery.move(sidecar.number)
            self.run.configure(sidecar)
            sidecar.send_signal(signal.SIGHUP)
