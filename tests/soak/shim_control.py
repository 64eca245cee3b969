"""Control of the fault shim of one process: a file of doubles that both sides map (fault_shim.cpp)."""

import mmap
import struct

# In the order of the constants in fault_slots.hpp.
CALL_FAULTS = (
    "short_write",
    "short_read",
    "interrupted",
    "accept_aborted",
    "accept_no_file",
    "socket_no_buffers",
    "connect_local",
    "disk_full",
    "sync_fails",
    "stall_before_send",
    "broken_connection",
    "wait_interrupted",
)
DISK_FAULTS = ("disk_full", "sync_fails")
MAX_STALL_MS = 150
_WALL_OFFSET_SLOT, _MAX_STALL_SLOT, _FIRST_COUNT_SLOT, _SLOTS = 16, 17, 32, 64
_DOUBLE_BYTES = 8


class ShimControl:
    """Sets the probability of each fault of one process and reads how often each was injected."""

    def __init__(self, path):
        self.path = path
        with open(path, "wb") as file:
            file.write(b"\0" * (_SLOTS * _DOUBLE_BYTES))
        with open(path, "r+b") as file:
            self._map = mmap.mmap(file.fileno(), _SLOTS * _DOUBLE_BYTES)
        self._write(_MAX_STALL_SLOT, MAX_STALL_MS)

    def _write(self, slot, value):
        struct.pack_into("d", self._map, slot * _DOUBLE_BYTES, value)

    def _read(self, slot):
        return struct.unpack_from("d", self._map, slot * _DOUBLE_BYTES)[0]

    def set_fault(self, name, probability):
        """The probability of a fault at each call that it can affect."""
        self._write(CALL_FAULTS.index(name), probability)

    def set_wall_offset(self, milliseconds):
        """Shifts the process's wall clock."""
        self._write(_WALL_OFFSET_SLOT, milliseconds)

    def injected(self):
        """How often each fault was injected, over all lives of the process; without those never injected."""
        counts = {name: int(self._read(_FIRST_COUNT_SLOT + i)) for i, name in enumerate(CALL_FAULTS)}
        return {name: count for name, count in counts.items() if count}
