"""Control of the fault shim of one process: a file of doubles that both sides map (fault_shim.cpp)."""
import mmap
import struct

FAULTS = (
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
_WALL_OFFSET_MS, _STALL_MS, _INJECTED, _SLOTS, _DOUBLE = 16, 17, 32, 64, 8
LONGEST_STALL_MS = 150


class ShimControl:
    def __init__(self, path):
        self.path = path
        with open(path, "wb") as file:
            file.write(b"\0" * (_SLOTS * _DOUBLE))
        self._file = open(path, "r+b")
        self._map = mmap.mmap(self._file.fileno(), _SLOTS * _DOUBLE)
        self._set(_STALL_MS, LONGEST_STALL_MS)

    def _set(self, slot, value):
        struct.pack_into("d", self._map, slot * _DOUBLE, value)

    def set_fault(self, name, probability):
        self._set(FAULTS.index(name), probability)

    def set_wall_offset(self, milliseconds):
        self._set(_WALL_OFFSET_MS, milliseconds)

    def injected(self):
        """How often each fault was injected, over all lives of the process."""
        counts = {
            name: int(struct.unpack_from("d", self._map, (_INJECTED + i) * _DOUBLE)[0])
            for i, name in enumerate(FAULTS)
        }
        return {name: count for name, count in counts.items() if count}
