"""Faults of the sidecars' processes and of the system calls below them, and new configurations."""

import asyncio
import signal

from fault_group import FaultGroup
from shim_control import CALL_FAULTS, DISK_FAULTS

BEFORE_RESTART_S = 0.3  # from the beginning of a process's end until its clients open no new connections
PAUSES_S = (0.1, 0.15, 0.5, 2.0)
WALL_CLOCK_OFFSETS_MS = (-3600e3, -5e3, 0, 5e3, 3600e3)
# At most this share of calls; less for faults that cost more than a call made again.
MAX_FAULT_SHARE = 0.3
MAX_SHARE_OF_COSTLY_FAULT = {
    "broken_connection": 0.03,
    "stall_before_send": 0.1,
    "connect_local": 0.1,
    "socket_no_buffers": 0.1,
    "accept_no_file": 0.1,
}


class ProcessFaults(FaultGroup):
    """Restarts, crashes and pauses of processes, failing system calls, and new configurations."""

    def _reserve_sidecar(self):
        """A sidecar whose process no other fault ends or pauses; None where there is none."""
        free = [sidecar for sidecar in self.run.sidecars if sidecar.number not in self.run.reserved]
        if not free:
            return None
        sidecar = self.random.choice(free)
        self.run.reserved.add(sidecar.number)
        return sidecar

    async def _replace_process(self, end):
        """Ends a process by a coroutine function and starts another in its place."""
        sidecar = self._reserve_sidecar()
        if sidecar is None:
            return
        clients = self.run.clients[sidecar.number]
        ending = asyncio.create_task(end(sidecar))
        await asyncio.sleep(BEFORE_RESTART_S)
        clients.accepting = False
        await ending
        clients.drop_connections()
        self.run.configure(sidecar)
        await sidecar.launch()
        clients.accepting = True
        self.run.reserved.discard(sidecar.number)

    async def terminate(self):
        """A planned restart."""
        await self._replace_process(lambda sidecar: sidecar.terminate())

    async def kill(self):
        """A crash and a restart."""
        await self._replace_process(lambda sidecar: sidecar.crash())

    async def stop_and_continue(self):
        """A process does not run for a moment."""
        sidecar = self._reserve_sidecar()
        if sidecar is None:
            return
        await sidecar.pause(self.random.choice(PAUSES_S))
        self.run.reserved.discard(sidecar.number)

    async def reload(self):
        """New configurations in quick succession."""
        for sidecar in self.some(self.run.sidecars, 0.6):
            for _ in range(self.random.choice((1, 1, 3))):
                sidecar.tunables.on_time_ms = self.random.choice((200, 400, 800))
                sidecar.tunables.max_attempts = self.random.choice((2, 3, 4))
                self.run.configure(sidecar)
                sidecar.send_signal(signal.SIGHUP)
                await asyncio.sleep(self.random.uniform(0, 0.1))

    async def system_calls(self):
        """Three kinds of system calls fail at times."""
        names = self.random.sample([name for name in CALL_FAULTS if name not in DISK_FAULTS], 3)
        sidecars = self.some(self.run.sidecars, 0.9)
        for sidecar in sidecars:
            for name in names:
                max_share = MAX_SHARE_OF_COSTLY_FAULT.get(name, MAX_FAULT_SHARE)
                sidecar.shim.set_fault(name, self.random.choice((max_share / 10, max_share)))
        await self.pause()
        self._clear_call_faults(sidecars, names)

    async def disk(self):
        """The disk is full and fails to sync, at times or always."""
        sidecars = self.some(self.run.sidecars, 0.6)
        for sidecar in sidecars:
            for name in DISK_FAULTS:
                sidecar.shim.set_fault(name, self.random.choice((0.3, 1.0)))
        await self.pause()
        self._clear_call_faults(sidecars, DISK_FAULTS)

    @staticmethod
    def _clear_call_faults(sidecars, names):
        for sidecar in sidecars:
            for name in names:
                sidecar.shim.set_fault(name, 0)

    async def step_wall_clock(self):
        """The wall clock steps, for good."""
        for sidecar in self.some(self.run.sidecars, 0.6):
            sidecar.shim.set_wall_offset(self.random.choice(WALL_CLOCK_OFFSETS_MS))
