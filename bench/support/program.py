"""The sidecar program under test as a process, with its configuration file and its log."""

import asyncio
import json
import os
import signal
import socket
import tempfile
import time

from support import http1


def free_port(address="127.0.0.1"):
    """A TCP port that is free at this moment, chosen by the kernel."""
    with socket.socket() as probe:
        probe.bind((address, 0))
        return probe.getsockname()[1]


class SidecarProcess:
    """One sidecar, which may be started and terminated several times. All its runs append to one log file."""

    def __init__(self, program, folder, endpoint):
        self.program, self.endpoint = program, endpoint
        self.config_path = os.path.join(folder, "config.json")
        self.log_path = os.path.join(folder, "log")
        self.process = None

    @property
    def exit_code(self):
        """The exit code, negative after a signal; None while the process runs and before its first start."""
        return self.process.returncode if self.process else None

    @property
    def running(self):
        """Whether the process has been started and has not exited."""
        return self.process is not None and self.process.returncode is None

    def write_config(self, config):
        """Replaces the configuration file atomically. A running process reads it on SIGHUP."""
        new_path = self.config_path + ".new"
        with open(new_path, "w", encoding="utf-8") as file:
            json.dump(config, file)
        os.rename(new_path, self.config_path)

    async def start(self, environment=None):
        """Starts the process with this environment plus `environment`; does not wait for readiness."""
        variables = {**os.environ, "NODE_CONFIG": self.config_path, **(environment or {})}
        with open(self.log_path, "ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                self.program, env=variables, stdout=log, stderr=log
            )

    async def wait_until_ready(self, timeout_s, poll_s):
        """Polls /healthz; False if the process exits or is not ready in time."""
        end = time.monotonic() + timeout_s
        while time.monotonic() < end and self.running:
            response = await http1.call(
                self.endpoint, "GET", "/healthz", connect_timeout_s=1, read_timeout_s=3
            )
            if response and response.status == 200:
                return True
            await asyncio.sleep(poll_s)
        return False

    def send_signal(self, number):
        """Sends a signal if the process runs."""
        if self.running:
            self.process.send_signal(number)

    async def kill(self):
        """Sends SIGKILL and waits until the process has exited."""
        self.send_signal(signal.SIGKILL)
        await self.process.wait()


class BenchSidecar(SidecarProcess):
    """A sidecar in a temporary folder; `async with` starts it, waits for readiness, and stops it at exit."""

    READY_TIMEOUT_S = 10
    READY_POLL_S = 0.002

    def __init__(self, program, config):
        # stop(), which the context manager calls, removes this folder.
        self._folder = tempfile.TemporaryDirectory(  # pylint: disable=consider-using-with
            prefix="ochregrade-bench-"
        )
        endpoint = http1.Endpoint(port_of(config["listen"]))
        super().__init__(program, self._folder.name, endpoint)
        self.admin = http1.Endpoint(port_of(config["ochregrade"]["admin"]["listen"]))
        self.write_config(config)

    async def __aenter__(self):
        await self.start()
        try:
            if not await self.wait_until_ready(self.READY_TIMEOUT_S, self.READY_POLL_S):
                raise RuntimeError(self._not_ready())
        except BaseException:
            await self.stop()
            raise
        return self

    async def __aexit__(self, *_):
        await self.stop()

    def _not_ready(self):
        with open(self.log_path, encoding="utf-8", errors="replace") as log:
            return f"the sidecar is not ready (exit code {self.exit_code}): {log.read()}"

    def reload(self):
        """Sends SIGHUP, on which the sidecar reads its configuration file again."""
        self.send_signal(signal.SIGHUP)

    async def post_config(self, config):
        """Posts a configuration to the admin listener; the response, or None."""
        return await http1.call(self.admin, "POST", "/v1/config", json.dumps(config).encode())

    async def metrics(self):
        """The text of /metrics. Raises RuntimeError without a response."""
        response = await http1.call(self.admin, "GET", "/metrics")
        if response is None:
            raise RuntimeError("the sidecar sent no response to GET /metrics")
        return response.body.decode()

    async def stop(self):
        """Sends SIGTERM if the process runs, waits until it has exited and removes the folder."""
        self.send_signal(signal.SIGTERM)
        await self.process.wait()
        self._folder.cleanup()


def port_of(listen):
    """The port number in an `address:port` string."""
    return int(listen.rsplit(":", 1)[1])
