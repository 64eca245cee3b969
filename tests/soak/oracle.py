"""Judges a run by the rules of docs/RULES.md. Each finding begins with the rule's number."""
import math

from shim import LONGEST_STALL_MS
from sidecars import COLD_FROM, DEDUP_WINDOW_S, DRAIN_GRACE_S, FALL_MULTIPLE, WARM_WITHIN_S

ANSWER_GRACE_S = 0.5
DEPARTURE_GRACE_S = 0.1
TIME_SLACK_S = 0.15
SOCKET_SLACK_S = 0.05
HALF_REQUEST_S = 3.0
NOTICE_S = 6.0
FORWARDED_SHARE = 0.5
FEWEST_NO_LENGTH = 8
FALL_S = 1.0  # the settings' interval of the slow-start budget


def slow_start_budget(allowed):
    """How many requests a starting server may get in an interval for which the settings allow it `allowed`."""
    return allowed + (3 * math.sqrt(allowed) + 3 if allowed < 30 else 2 * math.sqrt(allowed) + 2)


class Oracle:
    def __init__(self, records):
        self.records = records
        self.findings = list(records.problems)

    def judge(self):
        for request in self.records.requests.values():
            self._answered(request)
            self._departed(request)
            self._true_body(request)
            self._ran_once(request)
            self._truly_refused(request)
            for attempt in request.attempts:
                self._time_told(request, attempt)
                self._not_draining(request, attempt)
        self._half_requests()
        self._no_length()
        self._slow_start()
        return self.findings

    def _find(self, rule, request, what):
        self.findings.append(f"{rule} {request.kind} {request.id} at {request.sent_at:.3f}: {what}")

    def _excused(self, sidecar, start, end):
        return any(span.overlaps(start, end) for span in self.records.down[sidecar])

    def _held_up(self, sidecar):
        """How long a process may be held between its look at the client and its write, where the shim does so."""
        return LONGEST_STALL_MS / 1000 if sidecar in self.records.held_up else 0.0

    def _answered(self, request):
        if request.left_at is not None:
            return
        latest = request.deadline + ANSWER_GRACE_S
        if request.answered_at is not None:
            late = request.answered_at - latest - self.records.lag_near(request.answered_at)
            if late <= 0 or self._excused(request.sidecar, request.sent_at, request.answered_at):
                return
            return self._find("R1", request, f"answered {late * 1000:.0f} ms too late")
        if self._excused(request.sidecar, request.sent_at, request.closed_at or latest):
            return
        if request.closed_at is None:
            return self._find("R1", request, "never answered")
        crowded = any(
            span.overlaps(request.sent_at, request.closed_at)
            for span in self.records.crowds.get(request.sidecar, [])
        )
        if (request.new_connection and not crowded) or request.attempts:
            self._find(
                "R1", request, f"closed with no answer after {request.closed_at - request.sent_at:.3f} s"
            )

    def _departed(self, request):
        for attempt in request.attempts:
            if request.left_at is None:
                return
            late = attempt.at - request.left_at - DEPARTURE_GRACE_S - self.records.lag_near(attempt.at)
            late -= self._held_up(request.sidecar)
            if late > 0:
                self._find("R2", request, f"arrived {late * 1000:.0f} ms too late after its client left")

    def _true_body(self, request):
        if request.status != 200:
            return
        if not any(a.body and a.body == request.body for a in request.attempts):
            self._find("R3", request, f"answered with {request.body[:40]!r}, which no server made for it")

    def _ran_once(self, request):
        runs = [a for a in request.attempts if a.may_have_run]
        if request.kind == "pay" and len(runs) > 1:
            self._find("R4", request, f"arrived {len(runs)} times at {[a.server for a in runs]}")
        if request.kind == "note" and len(runs) > 1:
            late = (
                runs[-1].at
                - runs[0].at
                - DEDUP_WINDOW_S
                - SOCKET_SLACK_S
                - self.records.lag_near(runs[-1].at)
            )
            if late > 0:
                self._find("R4", request, f"repeated {late * 1000:.0f} ms after its key's window")

    def _truly_refused(self, request):
        if (
            request.kind == "pay"
            and request.status in (429, 503)
            and any(a.may_have_run for a in request.attempts)
        ):
            self._find("R5", request, "refused, though it may have run")

    def _time_told(self, request, attempt):
        left = request.deadline - attempt.first_byte_at
        over = (
            attempt.told_left_ms / 1000 - left - TIME_SLACK_S - self.records.lag_near(attempt.first_byte_at)
        )
        if over > 0:
            self._find("R9", request, f"its server was told {over * 1000:.0f} ms too much")

    def notified(self, sidecar, server):
        """When the sidecar counts as told that the server takes nothing new; None: never in this run."""
        closed = self.records.closed.get(server)
        if closed is None:
            return None
        reached = closed
        for outage in sorted(self.records.outages[sidecar], key=lambda span: span.start):
            if outage.start < reached + NOTICE_S and outage.end > reached:
                reached = outage.end
        times = [reached + NOTICE_S]
        if (sidecar, server) in self.records.notices:
            times.append(self.records.notices[(sidecar, server)])
        for fell in self.records.silences.get(sidecar, []):
            disturbed = any(o.overlaps(fell, fell + NOTICE_S) for o in self.records.outages[sidecar])
            if fell <= closed <= fell + NOTICE_S and not disturbed:
                times.append(fell + NOTICE_S)
        return min(times)

    def _not_draining(self, request, attempt):
        notified = self.notified(attempt.sidecar, attempt.server)
        if notified is None:
            return
        late = attempt.first_byte_at - notified - DRAIN_GRACE_S - SOCKET_SLACK_S
        if late - self.records.lag_near(attempt.first_byte_at) > 0:
            self._find(
                "R6", request, f"sent to {attempt.server} {late * 1000:.0f} ms past the grace of its drain"
            )

    def _half_requests(self):
        for half in self.records.half_requests:
            latest = half.stopped_at + HALF_REQUEST_S
            if self._excused(half.sidecar, half.stopped_at, latest):
                continue
            lag = self.records.lag_near(latest)
            if half.ended_at is None or half.ended_at > latest + lag + SOCKET_SLACK_S:
                self.findings.append(f"R10 a half request at sidecar {half.sidecar} had no end within 3 s")

    def _no_length(self):
        whole = [
            (r, a)
            for r in self.records.requests.values()
            for a in r.attempts
            if a.no_length
            and r.left_at is None
            and a.at < r.deadline - 0.1
            and not self._excused(r.sidecar, r.sent_at, r.deadline)
        ]
        forwarded = sum(1 for r, a in whole if r.status == 200 and r.body == a.body)
        if len(whole) >= FEWEST_NO_LENGTH and forwarded < FORWARDED_SHARE * len(whole):
            self.findings.append(
                f"R3 {forwarded} of {len(whole)} whole answers without a length were forwarded"
            )

    def _slow_start(self):
        arrivals = {name: [] for name in self.records.started}
        for request in self.records.requests.values():
            for attempt in request.attempts:
                if attempt.server in arrivals:
                    arrivals[attempt.server].append(attempt.at)
        for server, times in arrivals.items():
            started_at, capacity = self.records.started[server]
            times.sort()
            last = 0
            for first, at in enumerate(times):
                age = at - started_at
                if age >= WARM_WITHIN_S:
                    break
                while last < len(times) and times[last] < at + FALL_S:
                    last += 1
                warmth = COLD_FROM + (1 - COLD_FROM) * age / WARM_WITHIN_S
                budget = slow_start_budget(FALL_MULTIPLE * capacity * warmth * FALL_S)
                if last - first > budget:
                    self.findings.append(
                        f"R8 {server} got {last - first} requests in {FALL_S:.0f} s at an age of "
                        f"{age:.2f} s, {budget:.0f} at most"
                    )
                    break
