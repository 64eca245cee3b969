"""The record of a case: what was sent, answered and run, with times in milliseconds since the start."""

import time


class Record:
    """Collects events and writes them to a file, one line each, in the order of their times."""

    def __init__(self):
        self._start = time.monotonic()
        self.events = []

    def now_ms(self):
        """Milliseconds since the start of the case."""
        return (time.monotonic() - self._start) * 1000

    def add(self, party, event, **details):
        """Adds an event of one party (a client, a guide server, discovery, the operator)."""
        self.events.append((self.now_ms(), party, event, details))

    def find(self, event, **details):
        """The events of this kind with these details, as (time, details)."""
        return [
            (at, found)
            for at, _, kind, found in self.events
            if kind == event and all(found.get(key) == value for key, value in details.items())
        ]

    def write(self, path):
        """Writes all events to the file."""
        with open(path, "w", encoding="utf-8") as file:
            for at, party, event, details in sorted(self.events, key=lambda entry: entry[0]):
                fields = " ".join(f"{key}={value}" for key, value in details.items())
                file.write(f"{at:10.1f} ms  {party:12s} {event:10s} {fields}\n")
