"""Judges a run by the rules of docs/RULES.md. Each finding begins with the rule's number.

Every bound is widened by the harness's own lag around the moment in question.
"""

import math

from shim_control import MAX_STALL_MS
from sidecar_config import COLD_FROM, DEDUP_WINDOW_S, DRAIN_GRACE_S, FALL_MULTIPLE, FALL_S, WARM_WITHIN_S

ANSWER_GRACE_S = 0.5
DEPARTURE_GRACE_S = 0.1
TIME_LEFT_SLACK_S = 0.15
SOCKET_SLACK_S = 0.05
HALF_REQUEST_S = 3.0
MAX_NOTICE_S = 6.0
REJECTED = (429, 503)
# Complete responses without a length: which of them are judged, and how many must reach their clients.
MIN_TIME_TO_FORWARD_S = 0.1
MIN_FORWARDED_SHARE = 0.5
MIN_JUDGED_NO_LENGTH = 8


def slow_start_budget(allowed):
    """How many requests a starting server may get in an interval in which the settings allow it `allowed`."""
    tolerance = 3 * math.sqrt(allowed) + 3 if allowed < 30 else 2 * math.sqrt(allowed) + 2
    return allowed + tolerance


class Oracle:
    """The findings of one run, from its records."""

    def __init__(self, records):
        self.records = records
        self.findings = list(records.problems)

    def judge(self):
        """Checks every rule; the findings, with those of the harness first."""
        for request in self.records.requests.values():
            self._check_answered(request)
            self._check_departed(request)
            self._check_body(request)
            self._check_ran_once(request)
            self._check_rejected(request)
            for attempt in request.attempts:
                self._check_time_left(request, attempt)
                self._check_not_draining(request, attempt)
        self._check_half_requests()
        self._check_no_length()
        self._check_slow_start()
        return self.findings

    def _find(self, rule, request, what):
        self.findings.append(f"{rule} {request.kind} {request.id} at {request.sent_at:.3f}: {what}")

    def _excused(self, sidecar, start, end):
        return any(span.overlaps(start, end) for span in self.records.down[sidecar])

    def _is_crowded(self, sidecar, start, end):
        return any(span.overlaps(start, end) for span in self.records.crowds.get(sidecar, []))

    def _max_stall_s(self, sidecar):
        """How long a process may be held between its look at the client and its write, by the shim."""
        return MAX_STALL_MS / 1000 if sidecar in self.records.stalled else 0.0

    def _check_answered(self, request):
        """R1: each request is answered by its deadline."""
        if request.left_at is not None:
            return
        latest = request.deadline + ANSWER_GRACE_S
        ended_at = request.answered_at or request.closed_at or latest
        if request.answered_at is not None:
            late = request.answered_at - latest - self.records.lag_near(request.answered_at)
            if late > 0 and not self._excused(request.sidecar, request.sent_at, ended_at):
                self._find("R1", request, f"answered {late * 1000:.0f} ms too late")
        elif self._excused(request.sidecar, request.sent_at, ended_at):
            return
        elif request.closed_at is None:
            self._find("R1", request, "never answered")
        else:
            self._check_closed(request)

    def _check_closed(self, request):
        """R1: a connection may end without a response only where its request was not read."""
        crowded = self._is_crowded(request.sidecar, request.sent_at, request.closed_at)
        if (request.new_connection and not crowded) or request.attempts:
            after_s = request.closed_at - request.sent_at
            self._find("R1", request, f"closed without a response after {after_s:.3f} s")

    def _check_departed(self, request):
        """R2: nothing is sent to a server for a client that has left."""
        if request.left_at is None:
            return
        grace_s = DEPARTURE_GRACE_S + self._max_stall_s(request.sidecar)
        for attempt in request.attempts:
            lag_s = self.records.lag_near(attempt.received_at)
            late = attempt.received_at - request.left_at - grace_s - lag_s
            if late > 0:
                self._find("R2", request, f"arrived {late * 1000:.0f} ms too late after its client left")

    def _check_body(self, request):
        """R3: a response is one that a server made for this request."""
        if request.status != 200:
            return
        if not any(attempt.body and attempt.body == request.body for attempt in request.attempts):
            self._find("R3", request, f"answered with {request.body[:40]!r}, which no server made for it")

    def _check_ran_once(self, request):
        """R4: class `pay` runs once, class `note` is repeated within its key's window only."""
        runs = [attempt for attempt in request.attempts if attempt.may_have_run]
        if len(runs) < 2:
            return
        if request.kind == "pay":
            self._find("R4", request, f"arrived {len(runs)} times at {[run.server for run in runs]}")
        if request.kind == "note":
            lag_s = self.records.lag_near(runs[-1].received_at)
            late = runs[-1].received_at - runs[0].received_at - DEDUP_WINDOW_S - SOCKET_SLACK_S - lag_s
            if late > 0:
                self._find("R4", request, f"repeated {late * 1000:.0f} ms after its key's window")

    def _check_rejected(self, request):
        """R5: a request that may have run is not reported as rejected."""
        if request.kind != "pay" or request.status not in REJECTED:
            return
        if any(attempt.may_have_run for attempt in request.attempts):
            self._find("R5", request, "rejected, though it may have run")

    def _check_time_left(self, request, attempt):
        """R9: a server gets no more time than the request has left."""
        left_s = request.deadline - attempt.first_byte_at
        lag_s = self.records.lag_near(attempt.first_byte_at)
        excess = attempt.time_left_ms / 1000 - left_s - TIME_LEFT_SLACK_S - lag_s
        if excess > 0:
            self._find("R9", request, f"its server got {excess * 1000:.0f} ms too much time")

    def _check_not_draining(self, request, attempt):
        """R6: a draining server gets nothing new once the grace of its drain is over."""
        notified_at = self._notified_at(attempt.sidecar, attempt.server)
        if notified_at is None:
            return
        late = attempt.first_byte_at - notified_at - DRAIN_GRACE_S - SOCKET_SLACK_S
        if late > self.records.lag_near(attempt.first_byte_at):
            what = f"sent to {attempt.server} {late * 1000:.0f} ms past the grace of its drain"
            self._find("R6", request, what)

    def _notified_at(self, sidecar, server):
        """When a sidecar counts as notified that a server takes nothing new; None: never in this run."""
        closed = self.records.closed.get(server)
        if closed is None:
            return None
        outages = sorted(self.records.outages[sidecar], key=lambda span: span.start)
        reachable_from = closed
        for outage in outages:
            if outage.start < reachable_from + MAX_NOTICE_S and outage.end > reachable_from:
                reachable_from = outage.end
        times = [reachable_from + MAX_NOTICE_S]
        if (sidecar, server) in self.records.notified:
            times.append(self.records.notified[(sidecar, server)])
        for silent_at in self.records.silences.get(sidecar, []):
            noticed_by = silent_at + MAX_NOTICE_S
            disturbed = any(outage.overlaps(silent_at, noticed_by) for outage in outages)
            if silent_at <= closed <= noticed_by and not disturbed:
                times.append(noticed_by)
        return min(times)

    def _check_half_requests(self):
        """R10: who stops in the middle of a request gets an error or a close in time."""
        for half in self.records.half_requests:
            latest = half.stopped_at + HALF_REQUEST_S
            if self._excused(half.sidecar, half.stopped_at, latest):
                continue
            latest += self.records.lag_near(latest) + SOCKET_SLACK_S
            if half.ended_at is None or half.ended_at > latest:
                self.findings.append(f"R10 a half request at sidecar {half.sidecar} had no end within 3 s")

    def _check_no_length(self):
        """R3: most complete responses without a length reach their clients."""
        judged = [
            (request, attempt)
            for request in self.records.requests.values()
            for attempt in request.attempts
            if attempt.no_length and self._could_be_forwarded(request, attempt)
        ]
        forwarded = sum(request.status == 200 and request.body == attempt.body for request, attempt in judged)
        if len(judged) >= MIN_JUDGED_NO_LENGTH and forwarded < MIN_FORWARDED_SHARE * len(judged):
            self.findings.append(
                f"R3 {forwarded} of {len(judged)} whole responses without a length were forwarded"
            )

    def _could_be_forwarded(self, request, attempt):
        return (
            request.left_at is None
            and attempt.received_at < request.deadline - MIN_TIME_TO_FORWARD_S
            and not self._excused(request.sidecar, request.sent_at, request.deadline)
        )

    def _check_slow_start(self):
        """R8: a new server gets its load step by step."""
        arrivals = {name: [] for name in self.records.started}
        for request in self.records.requests.values():
            for attempt in request.attempts:
                if attempt.server in arrivals:
                    arrivals[attempt.server].append(attempt.received_at)
        for server, times in arrivals.items():
            self._check_arrivals(server, sorted(times))

    def _check_arrivals(self, server, times):
        """At most one finding for a server; `times` are sorted."""
        started = self.records.started[server]
        end = 0  # the first arrival after the interval that begins with the arrival `first`
        for first, at in enumerate(times):
            age_s = at - started.started_at
            if age_s >= WARM_WITHIN_S:
                return
            while end < len(times) and times[end] < at + FALL_S:
                end += 1
            warmth = COLD_FROM + (1 - COLD_FROM) * age_s / WARM_WITHIN_S
            budget = slow_start_budget(FALL_MULTIPLE * started.capacity * warmth * FALL_S)
            if end - first > budget:
                self.findings.append(
                    f"R8 {server} got {end - first} requests in {FALL_S:.0f} s at an age of {age_s:.2f} s, "
                    f"{budget:.0f} at most"
                )
                return
