"""What happened in a run, as the fakes and clients saw it; the oracle judges it afterwards.

Times are seconds on the monotonic clock. None stands for what did not happen.
"""

import time
from dataclasses import dataclass, field
from typing import Optional

LAG_WINDOW_S = 1.5


@dataclass
class Attempt:
    """A request as it arrived whole at a fake upstream."""

    server: str
    sidecar: int
    first_byte_at: float
    received_at: float  # its last byte
    time_left_ms: float  # as the sidecar gave it in X-Time-Left
    may_have_run: bool = True
    body: bytes = b""  # of the whole response; empty where none was sent
    no_length: bool = False  # answered whole, without Content-Length


@dataclass
class Request:
    """A client's request and how it ended for its client."""

    id: str
    sidecar: int
    kind: str
    sent_at: float
    time_left_s: float
    new_connection: bool
    left_at: Optional[float] = None  # its client gave up
    answered_at: Optional[float] = None
    status: Optional[int] = None
    body: bytes = b""
    closed_at: Optional[float] = None  # the connection ended without a response
    attempts: list = field(default_factory=list)

    @property
    def deadline(self):
        """When its client expects the response at the latest."""
        return self.sent_at + self.time_left_s

    def answer(self, message):
        """Records the response."""
        self.answered_at, self.status, self.body = message.last_byte_at, message.status, message.body


@dataclass
class HalfRequest:
    """A client that stops in the middle of a request and stays connected."""

    sidecar: int
    stopped_at: float
    ended_at: Optional[float] = None


@dataclass
class Span:
    """A time span; one without an end lasts until the end of the run."""

    start: float
    end: float = float("inf")

    def overlaps(self, start, end):
        """Whether it has a moment in common with the span from `start` to `end`."""
        return self.start <= end and start <= self.end


@dataclass(frozen=True)
class StartedServer:
    """A server that started during the run."""

    started_at: float
    capacity: float  # requests per second once it is warm


@dataclass(frozen=True)
class Event:
    """A line for the report: a fault, or what happened to a sidecar."""

    at: float
    text: str


@dataclass(frozen=True)
class Lag:
    """The event loop of this harness ran late by so many seconds."""

    at: float
    seconds: float


@dataclass
class Records:
    """Everything that is recorded in one run. Servers go by name, sidecars by number."""

    requests: dict = field(default_factory=dict)  # by id
    half_requests: list = field(default_factory=list)
    notified: dict = field(default_factory=dict)  # (sidecar, server): the list that closes it was sent
    closed: dict = field(default_factory=dict)  # server: it began to drain or went away
    outages: dict = field(default_factory=dict)  # sidecar: spans without discovery
    silences: dict = field(default_factory=dict)  # sidecar: moments at which one of its watches fell silent
    down: dict = field(default_factory=dict)  # sidecar: spans without a serving process
    crowds: dict = field(default_factory=dict)  # sidecar: spans in which idle clients use up its descriptors
    started: dict = field(default_factory=dict)  # server: StartedServer
    stalled: set = field(default_factory=set)  # sidecars that the shim stalled before a send
    problems: list = field(default_factory=list)  # findings of the harness itself
    events: list = field(default_factory=list)
    lags: list = field(default_factory=list)

    def log(self, text):
        """Records an event."""
        self.events.append(Event(time.monotonic(), text))

    def lag_near(self, at):
        """The largest lag around a moment in seconds: the harness's own observations are off by as much."""
        near = (lag.seconds for lag in self.lags if abs(lag.at - at) <= LAG_WINDOW_S)
        return max(near, default=0.0)
