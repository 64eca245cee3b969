"""One run of the soak: a fleet of sidecars with fakes around it, clients and a schedule of faults."""

import asyncio
import collections
import os
import random
import signal
import time

from clients import Clients
from fake_discovery import FakeDiscovery
from fake_upstreams import FakeUpstream
from faults import FaultSchedule
from records import Lag, Records, StartedServer
from sidecar import Sidecar

RATE_PER_SIDECAR = 8.0  # requests per second
SERVERS_PER_SIDECAR = 0.6
MIN_SERVERS = 4
# What a server is assumed to do once warm, as a multiple of its part of the load without bursts.
CAPACITY_FACTOR = 1.5
SERVER_CAPACITY = CAPACITY_FACTOR * RATE_PER_SIDECAR / SERVERS_PER_SIDECAR  # requests per second
INITIAL_SERVER_AGE_S = 3600  # the first servers are warm
WITHOUT_NEW_FAULTS_S = 2  # at the end of a run
LAG_POLL_S = 0.02
MIN_LAG_S = 0.01
# Part of the seed of the schedule: another text would give every recorded seed another schedule.
SCHEDULE_STREAM = "troubles"


class Run:
    """Plays one seed; everything that happens goes to `records`."""

    def __init__(self, options, seed, folder):
        self.options, self.seed, self.folder = options, seed, folder
        self.random = random.Random(seed)
        self.records = Records()
        self.servers = {}  # by name; those that may be drawn for a fault
        self.sidecars = []
        self.clients = {}  # by the sidecar's number
        self.reserved = set()  # numbers of sidecars whose process a fault is ending or pausing
        self.discovery = None  # created in the event loop, to which Python 3.9 binds its conditions
        self._last_server_number = 0

    def _random_of(self, purpose):
        """A random source of its own, so that it does not follow the timing of everything else."""
        return random.Random(f"{self.seed} {purpose}")

    async def add_server(self):
        """Starts a new server, which is not on discovery's list yet."""
        self._last_server_number += 1
        server = FakeUpstream(f"s-{self._last_server_number:03d}", self.records, self.random)
        await server.start()
        self.servers[server.name] = server
        self.records.started[server.name] = StartedServer(server.started_at, SERVER_CAPACITY)
        return server

    def configure(self, sidecar):
        """Writes a sidecar's configuration by the state of the run."""
        sidecar.configure(self.discovery, [other.addresses.peer for other in self.sidecars])

    async def play(self):
        """Starts everything, injects faults for the chosen time, and stops the sidecars."""
        asyncio.get_running_loop().set_exception_handler(self._record_harness_error)
        self.discovery = FakeDiscovery(self.records, self.random, omits_draining=self.seed % 3 == 0)
        await self.discovery.start(self.options.sidecars)
        await self._start_servers()
        await self._start_sidecars()
        monitor = asyncio.create_task(self._monitor())
        await self._play_faults()
        await self._record_violations()
        await asyncio.gather(*(sidecar.terminate() for sidecar in self.sidecars))
        monitor.cancel()
        self.records.stalled = {
            sidecar.number for sidecar in self.sidecars if "stall_before_send" in sidecar.shim.injected()
        }

    async def _start_servers(self):
        count = max(MIN_SERVERS, int(self.options.sidecars * SERVERS_PER_SIDECAR))
        servers = [await self.add_server() for _ in range(count)]
        for server in servers:
            server.born -= INITIAL_SERVER_AGE_S
            self.records.started.pop(server.name)
        await self.discovery.publish([server.entry("SERVING") for server in servers])

    async def _start_sidecars(self):
        pushed = self.seed % 2 == 0
        for number in range(self.options.sidecars):
            folder = os.path.join(self.folder, f"n{number}")
            self.sidecars.append(Sidecar(number, self.options, folder, self.records, self.random, pushed))
        for sidecar in self.sidecars:
            self.configure(sidecar)
        await asyncio.gather(*(sidecar.launch() for sidecar in self.sidecars))

    async def _play_faults(self):
        until = time.monotonic() + self.options.seconds
        for sidecar in self.sidecars:
            source = self._random_of(f"clients {sidecar.number}")
            self.clients[sidecar.number] = Clients(
                sidecar.number, sidecar.endpoint, self.records, source, RATE_PER_SIDECAR
            )
        schedule = FaultSchedule(self, self._random_of(SCHEDULE_STREAM))
        await asyncio.gather(
            *(clients.run(until) for clients in self.clients.values()),
            schedule.play(self.options.only, self.options.every, until - WITHOUT_NEW_FAULTS_S),
        )

    async def _record_violations(self):
        for sidecar in self.sidecars:
            for violation in await sidecar.violations():
                self.records.problems.append(f"guard: sidecar {sidecar.number}: {violation}")

    async def _monitor(self):
        """Records the lag of the event loop, and processes that end unexpectedly."""
        while True:
            due = time.monotonic() + LAG_POLL_S
            await asyncio.sleep(LAG_POLL_S)
            late = time.monotonic() - due
            if late > MIN_LAG_S:
                self.records.lags.append(Lag(time.monotonic(), late))
            for sidecar in self.sidecars:
                sidecar.check_alive()

    def _record_harness_error(self, _loop, context):
        """Streams that the end of the run cuts off are no finding; any other error of this harness is."""
        error = context.get("exception")
        if not isinstance(error, (asyncio.CancelledError, ConnectionError)):
            self.records.problems.append(f"harness: {context.get('message')}: {error!r}")

    def injected(self):
        """How often each fault was injected below the C library, over all sidecars."""
        total = collections.Counter()
        for sidecar in self.sidecars:
            total.update(sidecar.shim.injected())
        return dict(total)

    def kill_all(self):
        """Ends every process that still runs."""
        for sidecar in self.sidecars:
            sidecar.send_signal(signal.SIGKILL)
