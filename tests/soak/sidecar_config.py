"""The configuration of the sidecars under test, and the settings that the oracle judges them by."""

from dataclasses import dataclass

MAX_DEADLINE_S = 1.5
DEDUP_WINDOW_S = 0.5
DRAIN_GRACE_S = 1.5
IDLE_CLOSE_MS = 3000
# Slow start: a new server gets this share of its load at first, all of it this much later, and fails at this
# multiple.
COLD_FROM, WARM_WITHIN_S, FALL_MULTIPLE = 0.3, 4.0, 3
FALL_S = 1.0  # interval of the slow-start budget
SOCKETS = 256
CLASS_EFFECTS = (("read", "repeatable"), ("pay", "once"), ("note", "by_key"))


@dataclass
class Tunables:
    """Settings that the `reload` fault changes."""

    on_time_ms: int = 400
    max_attempts: int = 4


@dataclass(frozen=True)
class Addresses:
    """Where one sidecar listens; all ports are on `address`."""

    address: str
    client_port: int
    admin_port: int
    peer_port: int

    @property
    def peer(self):
        """Its address and port for other sidecars."""
        return f"{self.address}:{self.peer_port}"


def _request_class(name, effect, on_time_ms):
    return {
        "name": name,
        "effect": effect,
        "on-time-ms": on_time_ms,
        "give-up-ms": MAX_DEADLINE_S * 1000,
        "dedup-scope": "all",
        "dedup-window-ms": DEDUP_WINDOW_S * 1000,
        "credit": 1,
    }


def settings(number, fleet_size, pushed, tunables):
    """The `settings` section. `pushed`: membership is pushed by discovery, not asked for."""
    return {
        "classes": [_request_class(name, effect, tunables.on_time_ms) for name, effect in CLASS_EFFECTS],
        "siblings": fleet_size,
        "my-number": number,
        "my-zone": "a",
        "azs": ["a"],
        "membership-mode": "pushed" if pushed else "on_request",
        "limits": {
            "max-attempts": tunables.max_attempts,
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
            "fall-ms": FALL_S * 1000,
            "warm-within-ms": WARM_WITHIN_S * 1000,
            "ask-within-ms": 10000,
            "stop-sending-within-ms": DRAIN_GRACE_S * 1000,
        },
        "fees": {"cross-zone": 0, "probe": 0.01},
    }
