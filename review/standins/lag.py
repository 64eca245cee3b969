"""How late the event loop of the stand-ins ran, which would make the sidecar look late."""

import asyncio

SLEEP_S = 0.002


class LoopLag:
    """The delays of short sleeps while measure() runs."""

    def __init__(self, record):
        self._record, self._delays = record, []

    async def measure(self):
        """Measures until it is cancelled."""
        while True:
            before = self._record.now_ms()
            await asyncio.sleep(SLEEP_S)
            now = self._record.now_ms()
            self._delays.append((now, now - before - SLEEP_S * 1000))

    def near(self, at_ms):
        """The largest delay within 100 ms of a time, in milliseconds."""
        return max((delay for at, delay in self._delays if abs(at - at_ms) < 100), default=0)
