"""Checks the five rules from the machines' and the clients' observations. Shares no code with the front.

The checker is notified of what each machine received, of each client's response, and of when each front
learned of drains and purges. A violation names the request and contains its timeline. Times are nanoseconds
of the run.
"""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass, field

from quincepier.lab.experiment import MS, SECOND

DRAIN_GRACE, PURGE_GRACE, DEFAULT_TOLERANCE = 2 * SECOND, 500 * MS, 50 * MS
DISCONNECT_GRACE, TIMEOUT_GRACE = (
    100 * MS,
    150 * MS,
)  # an attempt that starts after its client disconnected; a timeout over the deadline
MAX_RECORDED_VIOLATIONS = 40  # with their timelines; further violations are only counted


@dataclass(slots=True)
class RuleViolation:
    """A violation of a rule by a request, with the request's timeline."""

    rule: str
    request: int
    reason: str
    timeline: tuple[str, ...]


@dataclass(slots=True)
class RequestTrace:
    """What is known of one request.

    Attributes:
        effect: "safe", "keyed" or "unsafe".
        effect_count: How often its effect took place.
        is_abandoned: No response is due, since its front was killed or its client no longer waits.
        disconnected_at: When its client disconnected or aborted it; 0 if it has not.
    """

    front: int
    effect: str
    deadline: int
    timeline: list[str] = field(default_factory=list)
    response_count: int = 0
    effect_count: int = 0
    is_abandoned: bool = False
    disconnected_at: int = 0


class RuleChecker:
    """Checker of the rules for one run.

    Args:
        late_tolerance: A response that is later than the deadline by more than this is a violation, ns.

    Attributes:
        leaving_since: When a front learned that a machine leaves, by (front, machine).
        purges_by_group: Time of each purge and when each front learned of it.
        accused_fronts_by_rule: Fronts that broke a rule; -1 for an unknown front.
        check_count_by_rule: How often each rule was checked.
    """

    def __init__(self, late_tolerance: int = DEFAULT_TOLERANCE) -> None:
        self.late_tolerance = late_tolerance
        self.trace_by_request: dict[int, RequestTrace] = {}
        self.leaving_since: dict[tuple[int, int], int] = {}
        self.purges_by_group: dict[int, list[tuple[int, dict[int, int]]]] = defaultdict(list)
        self.violations: list[RuleViolation] = []
        self.violation_count = 0
        self.accused_fronts_by_rule: dict[str, set[int]] = defaultdict(set)
        self.check_count_by_rule: dict[str, int] = defaultdict(int)

    def _record_violation(self, rule: str, request: int, reason: str, front: int = -1) -> None:
        self.violation_count += 1
        self.accused_fronts_by_rule[rule].add(
            self.trace_by_request[request].front if request in self.trace_by_request else front
        )
        if len(self.violations) < MAX_RECORDED_VIOLATIONS:
            trace = self.trace_by_request.get(request)
            self.violations.append(
                RuleViolation(rule, request, reason, tuple(trace.timeline) if trace else ())
            )

    def _add_to_timeline(self, now: int, request: int, text: str) -> None:
        trace = self.trace_by_request.get(request)
        if trace is not None and len(trace.timeline) < 100:
            trace.timeline.append(f"{now / SECOND:.6f} {text}")

    # What fronts and clients were sent

    def on_request(self, now: int, request: int, front: int, effect: str, deadline: int) -> None:
        """A front received a request."""
        self.trace_by_request[request] = RequestTrace(front, effect, deadline)
        self._add_to_timeline(now, request, f"front {front} takes it ({effect}), due {deadline / SECOND:.6f}")

    def on_leaving_reported(self, now: int, front: int, machine: int) -> None:
        """A front learned that a machine leaves."""
        self.leaving_since.setdefault((front, machine), now)

    def on_return_reported(self, front: int, machine: int) -> None:
        """A front learned that a machine is ready again."""
        self.leaving_since.pop((front, machine), None)

    def on_purge(self, now: int, group: int, reported_at_by_front: dict[int, int]) -> None:
        """A group was purged, and each front learns of it at the given time."""
        self.purges_by_group[group].append((now, reported_at_by_front))

    def on_abandoned(self, request: int) -> None:
        """The front was killed with the request open, or the client gave up: no response is due."""
        if request in self.trace_by_request:
            self.trace_by_request[request].is_abandoned = True

    def on_client_disconnected(self, now: int, request: int) -> None:
        """The client disconnected or aborted the request: no response is due, no attempt may start."""
        trace = self.trace_by_request.get(request)
        if trace is not None:
            trace.disconnected_at, trace.is_abandoned = trace.disconnected_at or now, True
            self._add_to_timeline(now, request, "its client leaves")

    # What machines and clients received

    def on_attempt_received(self, now: int, request: int, timeout: int, slack: int) -> None:
        """Rule one: no attempt starts for a disconnected client or with more time than the client has.

        Args:
            now: When the machine received the command.
            request: The request.
            timeout: Time that the command gives the machine, ns.
            slack: Time for which the test rig itself was paused, ns.
        """
        trace = self.trace_by_request.get(request)
        if trace is None:
            return
        self.check_count_by_rule["begin"] += 1
        if (
            trace.disconnected_at
            and now - trace.disconnected_at > DISCONNECT_GRACE + DEFAULT_TOLERANCE + slack
        ):
            self._record_violation(
                "begin",
                request,
                f"begins {(now - trace.disconnected_at) / SECOND:.3f} s after its client left",
            )
        over = timeout - (trace.deadline - now)
        if over > TIMEOUT_GRACE + DEFAULT_TOLERANCE + slack:
            self._record_violation(
                "begin", request, f"a server is told {over / SECOND:.3f} s more than is left"
            )

    def on_attempt_sent(self, now: int, request: int, front: int, machine: int, source: int | None) -> None:
        """Rule three: no new attempt uses a leaving machine, also not as a source, after the grace period."""
        self._add_to_timeline(
            now, request, f"to {machine}" + (f" by way of {source}" if source is not None else "")
        )
        self.check_count_by_rule["drain"] += 1
        for machine_number in filter(None, (machine, source)):
            leaving_since = self.leaving_since.get((front, machine_number))
            if leaving_since is not None and now - leaving_since > DRAIN_GRACE + DEFAULT_TOLERANCE:
                late = (now - leaving_since) / SECOND
                self._record_violation(
                    "drain",
                    request,
                    f"sent to {machine_number} {late:.3f} s after the front knew that it leaves",
                )

    def on_effect_run(self, now: int, request: int, machine: int) -> None:
        """Rule two: an effect takes place at most once."""
        trace = self.trace_by_request.get(request)
        self._add_to_timeline(now, request, f"runs at {machine}")
        if trace is not None:
            trace.effect_count += 1
            self.check_count_by_rule["effect"] += 1
            if trace.effect == "unsafe" and trace.effect_count > 1:
                self._record_violation("effect", request, f"an unsafe request ran {trace.effect_count} times")

    def on_response(
        self, now: int, request: int, status: str, minted: int | None, sent: int, group: int
    ) -> None:
        """Rule one: one response, in time. Rule five: no copy from before a purge."""
        trace = self.trace_by_request.get(request)
        self._add_to_timeline(now, request, f"answered {status}")
        if trace is None:
            self._record_violation("answer", request, "a response to an unknown request")
            return
        trace.response_count += 1
        self.check_count_by_rule["answer"] += 1
        if trace.response_count > 1:
            self._record_violation("answer", request, "a second final answer")
        if now > trace.deadline + self.late_tolerance and not trace.is_abandoned:
            self._record_violation(
                "answer", request, f"answered {(now - trace.deadline) / SECOND:.3f} s past its time"
            )
        if status == "refused" and trace.effect == "unsafe" and trace.effect_count:
            self._record_violation("effect", request, "refused, though it ran")
        if minted is not None:
            self.check_count_by_rule["purge"] += 1
            for at, reported_at_by_front in self.purges_by_group.get(group, ()):
                reported_at = reported_at_by_front.get(trace.front)
                if (
                    reported_at is not None
                    and sent > reported_at + PURGE_GRACE + DEFAULT_TOLERANCE
                    and minted < at
                ):
                    older = (at - minted) / SECOND
                    self._record_violation("purge", request, f"a copy from {older:.3f} s before the purge")

    def on_cold_machine_overloaded(self, now: int, machine: int, by: int) -> None:
        """Rule four: no cold machine is overloaded; this one crashed with the load of request `by`."""
        self._record_violation("cold", by, f"machine {machine} crashed under its load at {now / SECOND:.3f}")

    def report_violation(self, rule: str, request: int, reason: str, front: int = -1) -> None:
        """Record a violation that the caller found; for rules that only real processes can break."""
        self._record_violation(rule, request, reason, front)

    def count_cold_check(self) -> None:
        """Count a check of rule four."""
        self.check_count_by_rule["cold"] += 1

    def finish(self, now: int) -> None:
        """Rule one: every request that is due by now has its response."""
        for request, trace in self.trace_by_request.items():
            if (
                not trace.response_count
                and not trace.is_abandoned
                and trace.deadline + self.late_tolerance < now
            ):
                self._record_violation("answer", request, "never answered")
