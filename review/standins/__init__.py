"""Stand-ins for the platform around a sidecar: clients, guide servers, discovery; loopback only."""
