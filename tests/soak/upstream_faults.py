"""Faults of the fake upstreams and of the network to them, and planned changes of servers."""

import asyncio

from fault_group import FaultGroup

RETIRED_SERVER_S = 9.0  # a replaced server still answers for so long


class UpstreamFaults(FaultGroup):
    """Servers that fail, die or are replaced, and connections that do."""

    def _servers(self):
        return list(self.run.servers.values())

    async def fail(self):
        """Some servers answer badly for a while."""
        chosen = self.some(self._servers())
        for server in chosen:
            mode = self.random.choice(server.failure_modes)
            server.set_mode(mode, self.random.choice((0.3, 1.0)))
        await self.pause()
        for server in chosen:
            server.set_mode("ok", 0.0)

    async def disturb_connections(self):
        """The proxies of some servers split, reset or swallow what they carry for a while."""
        kind = self.random.choice(("split", "reset", "silent"))
        proxies = [server.proxy for server in self.some(self._servers())]
        for proxy in proxies:
            proxy.split |= kind == "split"
            proxy.reset_share = 0.3 if kind == "reset" else proxy.reset_share
            if kind == "silent":
                proxy.set_silent(True)
        await self.pause()
        for proxy in proxies:
            proxy.split, proxy.reset_share = False, 0.0
            proxy.set_silent(False)

    async def delay_connections(self):
        """New connections to some servers come up late."""
        proxies = [server.proxy for server in self.some(self._servers(), 0.5)]
        for proxy in proxies:
            proxy.set_accepting(False)
        await self.pause(0.3, 1.5)
        for proxy in proxies:
            proxy.set_accepting(True)

    async def replace(self):
        """A new server starts, an old one drains, still answers for a while, and is gone."""
        old = self.random.choice(self._servers())
        new = await self.run.add_server()
        self.run.servers.pop(old.name, None)
        await self.run.discovery.publish([new.entry("SERVING"), old.entry("DRAINING")])
        await asyncio.sleep(RETIRED_SERVER_S)
        await self.run.discovery.publish([old.entry("DELETED")])
        old.stop()

    async def restart(self):
        """A server dies; some seconds later one with another name takes its place on the list."""
        old = self.random.choice(self._servers())
        self.run.servers.pop(old.name, None)
        old.stop()
        await self.pause(0.2, 2.0)
        new = await self.run.add_server()
        await self.run.discovery.publish([old.entry("DELETED"), new.entry("SERVING")])
