"""The real program under test: a process with its configuration, shim, trace and log in its own folder."""

import asyncio
import os
import re
import signal
import time

from records import Span
from shim_control import ShimControl
from sidecar_config import MAX_DEADLINE_S, SOCKETS, Addresses, Tunables, settings
from support import http1
from support.program import SidecarProcess, free_port

SERVING_AFTER_SIGTERM_S = 0.7  # for so long requests are answered as before
MAX_DRAIN_S = MAX_DEADLINE_S + SERVING_AFTER_SIGTERM_S + 1.0  # from SIGTERM to the end of the process
READY_TIMEOUT_S = 10.0
READY_POLL_S = 0.02
MAX_UNNOTICED_PAUSE_S = 0.15  # a process that is stopped for longer may answer late
_VIOLATION_COUNTER = re.compile(r'rule_violations_total\{rule="(\w+)"\} (\d+)')


def _loopback_address(number):
    """An address of this run alone: nobody else binds to it or connects from it."""
    run = os.getpid() & 0x3FFF
    return f"127.{64 + (run >> 8)}.{run & 0xFF}.{number + 1}"


class Sidecar(SidecarProcess):
    """One sidecar of the fleet. Its findings and the spans in which it was down go to the records."""

    def __init__(self, number, options, folder, records, random, pushed):
        os.makedirs(folder)
        address = _loopback_address(number)
        self.addresses = Addresses(address, *(free_port(address) for _ in range(3)))
        super().__init__(options.program, folder, http1.Endpoint(self.addresses.client_port, address))
        self.number, self.folder, self.records, self.random = number, folder, records, random
        self.shim_library, self.pushed = options.shim, pushed
        self.shim = ShimControl(os.path.join(folder, "shim"))
        self.tunables = Tunables()
        self.was_paused = False  # for long enough to answer late
        self.ending = False  # an end of the process is expected
        records.down[number] = [Span(0)]

    def configure(self, discovery, peers):
        """Writes the configuration file; the process reads it at its start and on SIGHUP."""
        config = {
            "name": f"n{self.number}",
            "listen": f"{self.addresses.address}:{self.addresses.client_port}",
            "discovery": f"127.0.0.1:{discovery.port(self.number)}",
            "seed": f"{self.random.getrandbits(64):016x}",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": SOCKETS},
            "peer_listen": self.addresses.peer,
            "peers": peers,
            "known": {"seq": discovery.sequence, "whole": True, "hosts": discovery.whole_list()},
            "settings": settings(self.number, len(peers), self.pushed, self.tunables),
            "ochregrade": {
                "admin": {"listen": f"{self.addresses.address}:{self.addresses.admin_port}"},
            },
        }
        if self.number % 2 == 0:
            config["ochregrade"]["state"] = {"dir": os.path.join(self.folder, "state")}
        self.write_config(config)

    async def launch(self):
        """Starts the process under the shim and waits until it is ready, which it must be in time."""
        await self.start(
            {
                "LD_PRELOAD": self.shim_library,
                "FAULT_SHIM_CONTROL": self.shim.path,
                "FAULT_SHIM_SEED": str(self.random.getrandbits(60)),
                "OCHREGRADE_TRACE": os.path.join(self.folder, "trace"),
            }
        )
        self.ending = False
        if await self.wait_until_ready(READY_TIMEOUT_S, READY_POLL_S):
            self.records.down[self.number][-1].end = time.monotonic()
            self.records.log(f"{self.number} is ready")
        else:
            self.records.problems.append(f"R11 sidecar {self.number} was not ready: exit {self.exit_code}")

    async def terminate(self):
        """SIGTERM, and SIGKILL where it does not end in time, which is a finding."""
        self.ending = True
        signalled_at = time.monotonic()
        down = Span(signalled_at + SERVING_AFTER_SIGTERM_S)
        self.records.down[self.number].append(down)
        self.records.log(f"SIGTERM to {self.number}")
        self.send_signal(signal.SIGTERM)
        try:
            await asyncio.wait_for(self.process.wait(), MAX_DRAIN_S)
        except asyncio.TimeoutError:
            self.records.problems.append(
                f"R1 sidecar {self.number} did not end within {MAX_DRAIN_S:.1f} s of SIGTERM"
            )
            await self.kill()
        down.start = min(down.start, time.monotonic())
        if self.exit_code != 0:
            self.records.problems.append(f"R11 sidecar {self.number} ended with {self.exit_code}")

    async def crash(self):
        """SIGKILL, as a fault."""
        self.ending = True
        self.records.down[self.number].append(Span(time.monotonic()))
        self.records.log(f"SIGKILL to {self.number}")
        await self.kill()

    async def pause(self, seconds):
        """SIGSTOP, and SIGCONT after so many seconds; a short pause excuses nothing."""
        span = Span(time.monotonic())
        self.send_signal(signal.SIGSTOP)
        await asyncio.sleep(seconds)
        self.send_signal(signal.SIGCONT)
        span.end = time.monotonic()
        if seconds > MAX_UNNOTICED_PAUSE_S:
            self.records.down[self.number].insert(0, span)
            self.was_paused = True

    def check_alive(self):
        """Records an end of the process that nothing here has caused."""
        if self.exit_code is not None and not self.ending:
            self.records.problems.append(
                f"R11 sidecar {self.number} ended unexpectedly with {self.exit_code}"
            )
            self.ending = True

    async def violations(self):
        """The rules that the program's own guard saw violated: its counters in this life, and its log."""
        admin = http1.Endpoint(self.addresses.admin_port, self.addresses.address)
        reply = await http1.call(admin, "GET", "/metrics", connect_timeout_s=1, read_timeout_s=3)
        metrics = reply.body.decode() if reply else ""
        counters = _VIOLATION_COUNTER.findall(metrics)
        found = [f"{rule} {count}" for rule, count in counters if count != "0"]
        with open(self.log_path, encoding="utf-8", errors="replace") as log:
            found += [line.strip() for line in log if "rule violated" in line]
        return [violation for violation in found if not (self.was_paused and "answered_late" in violation)]
