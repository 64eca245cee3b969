"""What goes wrong in a run: drawn by the seed, so that several troubles overlap in time."""
import asyncio
import signal

from fake_upstreams import IDLE_CLOSE_S, GuideServer
from records import Span
from shim import FAULTS

SERVER_MODES = [mode for mode in GuideServer.MODES if mode != "ok"]
QUIET_RATE = 0.5  # requests a second of a sidecar's clients
SETTLE_S = 1.0  # after a crowd has left
OFTEN = ("system_calls", "terminate", "reload")  # what the other troubles should meet
RETIRED_SERVER_S = 9.0  # a replaced server answers on for so long
# Faults that are worse than a call made again: at most this share of calls.
RAREST = {
    "broken_connection": 0.03,
    "stall_before_send": 0.1,
    "connect_local": 0.1,
    "socket_no_buffers": 0.1,
    "accept_no_file": 0.1,
}


class Troubles:
    def __init__(self, run, random):
        self.run, self.random = run, random
        self.kinds = {
            "server_mode": self._server_mode,
            "proxy": self._proxy,
            "replace_server": self._replace_server,
            "restart_server": self._restart_server,
            "discovery_down": self._discovery_down,
            "outage_then_release": self._outage_then_release,
            "discovery_slow": self._discovery_slow,
            "discovery_silent": self._discovery_silent,
            "terminate": self._terminate,
            "kill": self._kill,
            "stand_still": self._stand_still,
            "reload": self._reload,
            "system_calls": self._system_calls,
            "disk": self._disk,
            "wall_clock": self._wall_clock,
            "burst": self._burst,
            "quiet": self._quiet,
            "crowd": self._crowd,
            "late_connections": self._late_connections,
            "discovery_call_silent": self._discovery_call_silent,
            "discovery_moves": self._discovery_moves,
            "release": self._release,
        }

    async def play(self, only, every, until):
        """One trouble after another, `every` seconds in the mean, each running on its own."""
        names = [name for name in self.kinds if not only or name in only]
        names += [name for name in names if name in OFTEN for _ in range(2)]
        running = []
        while (now := asyncio.get_running_loop().time()) < until:
            running.append(asyncio.create_task(self._guarded(self.random.choice(names))))
            await asyncio.sleep(min(self.random.expovariate(1 / every), max(0.0, until - now)))
        await asyncio.gather(*running)

    async def _guarded(self, name):
        self.run.records.say(name)
        await self.kinds[name]()
        self.run.records.say(name + " over")

    def _span(self, least=0.3, most=4.0):
        return asyncio.sleep(self.random.uniform(least, most))

    def _some(self, things, most=0.3):
        return self.random.sample(things, max(1, int(self.random.uniform(0, most) * len(things))))

    async def _server_mode(self):
        for server in (chosen := self._some(list(self.run.servers.values()))):
            server.set_mode(self.random.choice(SERVER_MODES), self.random.choice((0.3, 1.0)))
        await self._span()
        for server in chosen:
            server.set_mode("ok", 0.0)

    async def _proxy(self):
        kind = self.random.choice(("split", "reset", "silent"))
        proxies = [server.proxy for server in self._some(list(self.run.servers.values()))]
        for proxy in proxies:
            proxy.split |= kind == "split"
            proxy.reset_share = 0.3 if kind == "reset" else proxy.reset_share
            if kind == "silent":
                proxy.set_silent(True)
        await self._span()
        for proxy in proxies:
            proxy.split, proxy.reset_share = False, 0.0
            proxy.set_silent(False)

    async def _replace_server(self):
        """A release: a new server starts, the old one drains, answers on for a while, and is gone."""
        old = self.random.choice(list(self.run.servers.values()))
        new = await self.run.add_server()
        self.run.servers.pop(old.name, None)
        await self.run.discovery.publish([new.entry("SERVING"), old.entry("DRAINING")])
        await asyncio.sleep(RETIRED_SERVER_S)
        await self.run.discovery.publish([old.entry("DELETED")])
        old.stop()

    async def _restart_server(self):
        """It dies, and another process under another name takes its place on the list some seconds later."""
        old = self.random.choice(list(self.run.servers.values()))
        self.run.servers.pop(old.name, None)
        old.stop()
        await self._span(0.2, 2.0)
        new = await self.run.add_server()
        await self.run.discovery.publish([old.entry("DELETED"), new.entry("SERVING")])

    async def _outage(self, least, most):
        """Discovery is down for so many seconds; false where it is down already."""
        if self.run.discovery.down:
            return False
        self.run.discovery.set_down(True)
        await self._span(least, most)
        self.run.discovery.set_down(False)
        return True

    async def _discovery_down(self):
        await self._outage(0.5, 9.0)

    async def _outage_then_release(self):
        """A longer outage, and servers that drain within a second of its end."""
        if await self._outage(4.0, 9.0):
            await self._span(0.0, 1.0)
            await self._replace_server()

    async def _discovery_slow(self):
        self.run.discovery.slow_s = self.random.choice((0.2, 0.8))
        self.run.discovery.crowded = self.random.choice((0.0, 0.3))
        await self._span()
        self.run.discovery.slow_s = self.run.discovery.crowded = 0.0

    async def _discovery_silent(self):
        self.run.discovery.silence()

    async def _discovery_call_silent(self):
        """A call that begins now or later gets no answer: of a watch, a new process or one that has moved."""
        for sidecar in self._some(self.run.sidecars):
            self.run.discovery.silence_next_call(sidecar.number)

    async def _discovery_moves(self):
        for sidecar in self._some(self.run.sidecars, 0.6):
            self.run.discovery.move(sidecar.number)
            self.run.write_config(sidecar)
            sidecar.signal(signal.SIGHUP)

    async def _release(self):
        """A third of the servers is replaced within two seconds, while one sidecar in four restarts."""
        servers = self.random.sample(list(self.run.servers), len(self.run.servers) // 3)
        restarts = [self._terminate() for _ in range(len(self.run.sidecars) // 4)]
        replaced = [self._replace_server() for _ in servers]
        jobs = [self._later(job) for job in restarts + replaced]
        await asyncio.gather(*jobs)

    async def _later(self, job):
        await self._span(0.0, 2.0)
        await job

    async def _late_connections(self):
        proxies = [server.proxy for server in self._some(list(self.run.servers.values()), 0.5)]
        for proxy in proxies:
            proxy.set_accepting(False)
        await self._span(0.3, 1.5)
        for proxy in proxies:
            proxy.set_accepting(True)

    def _free_sidecar(self):
        free = [s for s in self.run.sidecars if s.number not in self.run.busy]
        if not free:
            return None
        sidecar = self.random.choice(free)
        self.run.busy.add(sidecar.number)
        return sidecar

    async def _replaced_process(self, end):
        sidecar = self._free_sidecar()
        if sidecar is None:
            return
        clients = self.run.clients[sidecar.number]
        ending = asyncio.create_task(end(sidecar))
        await asyncio.sleep(0.3)
        clients.accepting = False
        await ending
        clients.drop_connections()
        self.run.write_config(sidecar)
        await sidecar.start()
        clients.accepting = True
        self.run.busy.discard(sidecar.number)

    async def _terminate(self):
        await self._replaced_process(lambda sidecar: sidecar.terminate())

    async def _kill(self):
        await self._replaced_process(lambda sidecar: sidecar.kill())

    async def _stand_still(self):
        sidecar = self._free_sidecar()
        if sidecar is None:
            return
        await sidecar.stand_still(self.random.choice((0.1, 0.15, 0.5, 2.0)))
        self.run.busy.discard(sidecar.number)

    async def _reload(self):
        """New configurations in quick succession."""
        for sidecar in self._some(self.run.sidecars, 0.6):
            for _ in range(self.random.choice((1, 1, 3))):
                sidecar.on_time_ms = self.random.choice((200, 400, 800))
                sidecar.max_attempts = self.random.choice((2, 3, 4))
                self.run.write_config(sidecar)
                sidecar.signal(signal.SIGHUP)
                await asyncio.sleep(self.random.uniform(0, 0.1))

    async def _system_calls(self):
        names = self.random.sample([n for n in FAULTS if n not in ("disk_full", "sync_fails")], 3)
        sidecars = self._some(self.run.sidecars, 0.9)
        for sidecar in sidecars:
            for name in names:
                most = RAREST.get(name, 0.3)
                sidecar.shim.set_fault(name, self.random.choice((most / 10, most)))
        await self._span()
        for sidecar in sidecars:
            for name in names:
                sidecar.shim.set_fault(name, 0)

    async def _disk(self):
        sidecars = self._some(self.run.sidecars, 0.6)
        for sidecar in sidecars:
            for name in ("disk_full", "sync_fails"):
                sidecar.shim.set_fault(name, self.random.choice((0.3, 1.0)))
        await self._span()
        for sidecar in sidecars:
            for name in ("disk_full", "sync_fails"):
                sidecar.shim.set_fault(name, 0)

    async def _wall_clock(self):
        for sidecar in self._some(self.run.sidecars, 0.6):
            sidecar.shim.set_wall_offset(self.random.choice((-3600e3, -5e3, 0, 5e3, 3600e3)))

    async def _burst(self):
        chosen = self._some(list(self.run.clients.values()), 0.6)
        for clients in chosen:
            clients.rate *= 3
        await self._span(0.3, 2.0)
        for clients in chosen:
            clients.rate /= 3

    async def _quiet(self):
        """Longer than idle connections last, and then all at once."""
        chosen = self._some(list(self.run.clients.values()), 0.6)
        rates = [clients.rate for clients in chosen]
        for clients in chosen:
            clients.rate = QUIET_RATE
        await self._span(IDLE_CLOSE_S, 2 * IDLE_CLOSE_S)
        for clients, rate in zip(chosen, rates):
            clients.rate = rate

    async def _crowd(self):
        sidecar = self.random.choice(self.run.sidecars)
        span = Span(asyncio.get_running_loop().time())
        self.run.records.crowds.setdefault(sidecar.number, []).append(span)
        await self.run.clients[sidecar.number].crowd(self.random.uniform(0.3, 2.0))
        span.end = asyncio.get_running_loop().time() + SETTLE_S
