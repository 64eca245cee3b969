"""The real programs under test: each a process with its configuration, shim, trace and log in a folder of its own."""
import asyncio
import json
import os
import re
import signal
import socket
import time

from records import Span
from shim import ShimControl

LONGEST_DEADLINE_S = 1.5
KILL_AFTER_S = LONGEST_DEADLINE_S + 0.7  # after SIGTERM, at the earliest
READY_S = 10.0
DEDUP_WINDOW_S = 0.5
DRAIN_GRACE_S = 1.5
IDLE_CLOSE_MS = 3000
# Slow start: a new server does this share of its work at first, all of it this much later, and fails at this multiple.
COLD_FROM, WARM_WITHIN_S, FALL_MULTIPLE = 0.3, 4.0, 3
SOCKETS = 256


def free_port(address):
    with socket.socket() as probe:
        probe.bind((address, 0))
        return probe.getsockname()[1]


class Sidecar:
    def __init__(self, number, program, shim_library, folder, records, random, pushed):
        self.number, self.program, self.shim_library = number, program, shim_library
        self.folder, self.records, self.random, self.pushed = folder, records, random, pushed
        os.makedirs(folder)
        # Of this run alone: nobody else binds there, or connects from there.
        run = os.getpid() & 0x3FFF
        self.address = f"127.{64 + (run >> 8)}.{run & 0xFF}.{number + 1}"
        self.listen, self.admin, self.peer = (free_port(self.address) for _ in range(3))
        self.shim = ShimControl(os.path.join(folder, "shim"))
        self.stood_still = False  # for long enough to answer late
        self.process, self.life, self.ending, self.on_time_ms, self.max_attempts = None, 0, False, 400, 4
        records.down[number] = [Span(0)]

    def path(self, name):
        return os.path.join(self.folder, name)

    def write_config(self, discovery, peers, slot):
        classes = [
            {
                "name": name,
                "effect": effect,
                "on-time-ms": self.on_time_ms,
                "give-up-ms": LONGEST_DEADLINE_S * 1000,
                "dedup-scope": "all",
                "dedup-window-ms": DEDUP_WINDOW_S * 1000,
                "credit": 1,
            }
            for name, effect in (("read", "repeatable"), ("pay", "once"), ("note", "by_key"))
        ]
        config = {
            "name": f"n{self.number}",
            "listen": f"{self.address}:{self.listen}",
            "discovery": f"127.0.0.1:{discovery.port(slot)}",
            "seed": f"{self.random.getrandbits(64):016x}",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": SOCKETS},
            "peer_listen": f"{self.address}:{self.peer}",
            "peers": peers,
            "known": {"seq": discovery.seq, "whole": True, "hosts": discovery.whole()},
            "settings": {
                "classes": classes,
                "siblings": len(peers),
                "my-number": self.number,
                "my-zone": "a",
                "azs": ["a"],
                "membership-mode": "pushed" if self.pushed else "on_request",
                "limits": {
                    "max-attempts": self.max_attempts,
                    "may-cancel": True,
                    "may-probe": True,
                    "may-tell": True,
                    "parallel-tries": True,
                    "connect-timeout-ms": 250,
                    "idle-close-ms": IDLE_CLOSE_MS,
                    "max-retry-after-ms": 2000,
                },
                "rules": {
                    "cold-from": COLD_FROM,
                    "fall-multiple": FALL_MULTIPLE,
                    "fall-ms": 1000,
                    "warm-within-ms": WARM_WITHIN_S * 1000,
                    "ask-within-ms": 10000,
                    "stop-sending-within-ms": DRAIN_GRACE_S * 1000,
                },
                "fees": {"cross-zone": 0, "probe": 0.01},
            },
            "cobaltshift": {"admin": {"listen": f"{self.address}:{self.admin}"}},
        }
        if self.number % 2 == 0:
            config["cobaltshift"]["state"] = {"dir": self.path("state")}
        with open(self.path("config.new"), "w") as file:
            json.dump(config, file)
        os.rename(self.path("config.new"), self.path("config.json"))

    async def start(self):
        self.life += 1
        environment = dict(
            os.environ,
            NODE_CONFIG=self.path("config.json"),
            LD_PRELOAD=self.shim_library,
            FAULT_SHIM_CONTROL=self.shim.path,
            FAULT_SHIM_SEED=str(self.random.getrandbits(60)),
            COBALTSHIFT_TRACE=self.path("trace"),
        )
        with open(self.path("log"), "ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                self.program, env=environment, stdout=log, stderr=log
            )
        self.ending = False
        began = time.monotonic()
        while time.monotonic() < began + READY_S:
            if self.process.returncode is not None:
                break
            if await self._healthy():
                self.records.down[self.number][-1].end = time.monotonic()
                self.records.say(f"{self.number} is ready")
                return True
            await asyncio.sleep(0.02)
        self.records.problems.append(
            f"R11 sidecar {self.number} was not ready: exit {self.process.returncode}"
        )
        return False

    async def _http(self, address, port, text):
        reader, writer = await asyncio.wait_for(asyncio.open_connection(address, port), 1)
        writer.write(text)
        answer = await asyncio.wait_for(reader.read(), 3)
        writer.close()
        return answer.decode("latin-1")

    async def _healthy(self):
        try:
            answer = await self._http(
                self.address, self.listen, b"GET /healthz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"
            )
            return answer.startswith("HTTP/1.1 200")
        except (OSError, asyncio.TimeoutError):
            return False

    def signal(self, number):
        if self.process and self.process.returncode is None:
            self.process.send_signal(number)

    async def terminate(self):
        """SIGTERM, and SIGKILL where it does not end in time, which is a fault."""
        self.ending = True
        began = time.monotonic()
        self.records.down[self.number].append(Span(began + 0.7))
        self.records.say(f"SIGTERM to {self.number}")
        self.signal(signal.SIGTERM)
        try:
            await asyncio.wait_for(self.process.wait(), KILL_AFTER_S + 1.0)
        except asyncio.TimeoutError:
            self.records.problems.append(
                f"R1 sidecar {self.number} did not end within {KILL_AFTER_S + 1:.1f} s " "of SIGTERM"
            )
            self.signal(signal.SIGKILL)
            await self.process.wait()
        took = time.monotonic() - began
        self.records.down[self.number][-1].start = min(began + 0.7, began + took)
        if self.process.returncode != 0:
            self.records.problems.append(f"R11 sidecar {self.number} ended with {self.process.returncode}")

    async def kill(self):
        self.ending = True
        self.records.down[self.number].append(Span(time.monotonic()))
        self.records.say(f"SIGKILL to {self.number}")
        self.signal(signal.SIGKILL)
        await self.process.wait()

    async def stand_still(self, seconds):
        """Stopped and continued; short ones free nothing."""
        span = Span(time.monotonic())
        self.signal(signal.SIGSTOP)
        await asyncio.sleep(seconds)
        self.signal(signal.SIGCONT)
        span.end = time.monotonic()
        if seconds > 0.15:
            self.records.down[self.number].insert(0, span)
            self.stood_still = True

    def check_alive(self):
        if self.process and self.process.returncode is not None and not self.ending:
            self.records.problems.append(
                f"R11 sidecar {self.number} ended unasked with {self.process.returncode}"
            )
            self.ending = True

    async def violations(self):
        """The rule guard's own counters, where this life can tell them, and its lines in the log."""
        try:
            text = await self._http(
                self.address,
                self.admin,
                b"GET /metrics HTTP/1.1\r\nHost: localhost\r\nConnection: close\r\n\r\n",
            )
        except (OSError, asyncio.TimeoutError):
            text = ""
        found = [
            f"{rule} {count}"
            for rule, count in re.findall(r'rule_violations_total\{rule="(\w+)"\} (\d+)', text)
            if count != "0"
        ]
        with open(self.path("log"), errors="replace") as log:
            found += [line.strip() for line in log if "rule violated" in line]
        return [v for v in found if not (self.stood_still and "answered_late" in v)]
