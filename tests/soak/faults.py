"""The schedule of faults: drawn from the seed, so that several of them overlap in time."""

import asyncio

from client_faults import ClientFaults
from discovery_faults import DiscoveryFaults
from fault_group import FaultGroup
from process_faults import ProcessFaults
from upstream_faults import UpstreamFaults

FREQUENT = ("system_calls", "terminate", "reload")  # what the other faults should meet
FREQUENT_WEIGHT = 3
MAX_RELEASE_DELAY_S = 2.0


class ReleaseFaults(FaultGroup):
    """Planned changes of many processes at once."""

    def __init__(self, run, random, upstreams, processes):
        super().__init__(run, random)
        self._upstreams, self._processes = upstreams, processes

    async def release(self):
        """A third of the servers is replaced within two seconds, while one sidecar in four restarts."""
        replaced = self.random.sample(list(self.run.servers), len(self.run.servers) // 3)
        restarts = [self._processes.terminate() for _ in range(len(self.run.sidecars) // 4)]
        replacements = [self._upstreams.replace() for _ in replaced]
        await asyncio.gather(*(self._later(step) for step in restarts + replacements))

    async def _later(self, step):
        await self.pause(0.0, MAX_RELEASE_DELAY_S)
        await step


class FaultSchedule:
    """Starts one fault after another. `random` is a source of its own."""

    def __init__(self, run, random):
        self.run, self.random = run, random
        upstreams = UpstreamFaults(run, random)
        discovery = DiscoveryFaults(run, random, upstreams)
        processes = ProcessFaults(run, random)
        clients = ClientFaults(run, random)
        # The names are values of --only. Their order is part of what a seed stands for.
        self._faults = {
            "server_mode": upstreams.fail,
            "proxy": upstreams.disturb_connections,
            "replace_server": upstreams.replace,
            "restart_server": upstreams.restart,
            "discovery_down": discovery.outage,
            "outage_then_release": discovery.outage_then_release,
            "discovery_slow": discovery.slow_down,
            "discovery_silent": discovery.silence_watches,
            "terminate": processes.terminate,
            "kill": processes.kill,
            "stand_still": processes.stop_and_continue,
            "reload": processes.reload,
            "system_calls": processes.system_calls,
            "disk": processes.disk,
            "wall_clock": processes.step_wall_clock,
            "burst": clients.burst,
            "quiet": clients.quiet,
            "crowd": clients.crowd,
            "late_connections": upstreams.delay_connections,
            "discovery_call_silent": discovery.silence_next_requests,
            "discovery_moves": discovery.move,
            "release": ReleaseFaults(run, random, upstreams, processes).release,
        }

    async def play(self, only, mean_interval_s, until):
        """Starts faults until `until` on the event loop's clock and waits for their ends.

        `only` limits them to these names, unless it is empty.
        """
        names = [name for name in self._faults if not only or name in only]
        names += [name for name in names if name in FREQUENT for _ in range(FREQUENT_WEIGHT - 1)]
        running = []
        while (now := asyncio.get_running_loop().time()) < until:
            running.append(asyncio.create_task(self._play_one(self.random.choice(names))))
            interval_s = self.random.expovariate(1 / mean_interval_s)
            await asyncio.sleep(min(interval_s, max(0.0, until - now)))
        await asyncio.gather(*running)

    async def _play_one(self, name):
        self.run.records.log(name)
        await self._faults[name]()
        self.run.records.log(f"{name} over")
