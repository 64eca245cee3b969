"""The sidecar's configuration for the benchmarks, in the platform's format (docs/CONFIGURATION.md)."""

from support.fakes import FIRST_SEQUENCE
from support.program import free_port

PEERS_PER_ADDRESS = 100
FIRST_PEER_PORT = 20000


def _request_class(name, effect):
    return {"name": name, "effect": effect, "on-time-ms": 500, "give-up-ms": 2000, "credit": 2}


def _settings(fleet_size):
    return {
        "classes": [_request_class("listen", "repeatable"), _request_class("deposit", "once")],
        "siblings": fleet_size,
        "my-number": 0,
        "my-zone": "a",
        "azs": ["a", "b"],
        "limits": {
            "max-attempts": 5,
            "may-cancel": True,
            "may-probe": True,
            "may-tell": True,
            "connect-timeout-ms": 250,
            "idle-close-ms": 60000,
            "max-retry-after-ms": 2000,
        },
        "rules": {"cold-from": 0.12, "fall-multiple": 3, "warm-within-ms": 24000},
        "fees": {"cross-zone": 0.01, "probe": 0.01},
    }


def large_fleet_config(discovery_port, hosts, fleet_size=300):
    """The configuration of one sidecar in a large fleet, on free ports. Its peers do not run."""
    own_peer_address = f"127.0.0.1:{free_port()}"
    other_peers = [
        f"127.0.9.{1 + i // PEERS_PER_ADDRESS}:{FIRST_PEER_PORT + i % PEERS_PER_ADDRESS}"
        for i in range(fleet_size - 1)
    ]
    return {
        "name": "n0",
        "listen": f"127.0.0.1:{free_port()}",
        "discovery": f"127.0.0.1:{discovery_port}",
        "seed": "1f",
        "limits": {"sockets": 1024, "memory_mb": 64},
        "peer_listen": own_peer_address,
        "peers": [own_peer_address, *other_peers],
        "known": {"seq": FIRST_SEQUENCE, "whole": True, "hosts": hosts},
        "ochregrade": {"admin": {"listen": f"127.0.0.1:{free_port()}"}},
        "settings": _settings(fleet_size),
    }
