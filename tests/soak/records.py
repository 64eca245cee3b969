"""What happened in a run, as the stand-ins saw it, on the monotonic clock in seconds. The oracle judges it afterwards."""
import time
from dataclasses import dataclass, field


@dataclass
class Attempt:
    """A request as it arrived whole at a guide server."""

    server: str
    sidecar: int
    first_byte_at: float
    at: float
    told_left_ms: float
    may_have_run: bool = True
    body: bytes = b""
    no_length: bool = False  # answered whole, by the connection's end alone


@dataclass
class Request:
    """A client's request; None where something did not happen."""

    id: str
    sidecar: int
    kind: str
    key: str
    sent_at: float
    time_left: float
    new_connection: bool
    left_at: float = None
    answered_at: float = None
    status: int = None
    body: bytes = b""
    closed_at: float = None
    attempts: list = field(default_factory=list)

    @property
    def deadline(self):
        return self.sent_at + self.time_left


@dataclass
class HalfRequest:
    """A client that stops in the middle of a request and stays."""

    sidecar: int
    stopped_at: float
    ended_at: float = None


@dataclass
class Span:
    start: float
    end: float = float("inf")

    def overlaps(self, start, end):
        return self.start <= end and start <= self.end


class Records:
    def __init__(self):
        self.requests = {}
        self.half_requests = []
        self.notices = {}  # (sidecar, server): when the list that closes it was written
        self.closed = {}  # server: when it began to drain or went
        self.outages = {}  # sidecar: spans in which its discovery could not be reached
        self.silences = {}  # sidecar: when a watch of its fell silent
        self.down = {}  # sidecar: spans without a serving process (killed, ending or standing still)
        self.crowds = {}  # sidecar: spans in which idle clients fill its descriptors
        self.started = {}  # server: when it started, and how many requests a second it does once warm
        self.held_up = set()  # sidecars whose shim held them up before a send
        self.problems = []  # what the harness itself saw: crashes, late ends, counters
        self.events = []  # troubles, for the report
        self.lags = []  # (time, seconds) by which this harness ran late

    def say(self, text):
        self.events.append((time.monotonic(), text))

    def lag_near(self, at, span=1.5):
        """How late the harness ran around a moment: its own observations are off by as much."""
        return max((lag for when, lag in self.lags if at - span <= when <= at + span), default=0.0)
