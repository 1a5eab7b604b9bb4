"""The judge: the five rules, checked from the machines' and the clients' side. Shares no code with the front.

It hears what each machine took and each client got, and when each front was told of what; a broken rule names
the request and keeps its timeline.
"""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass, field

from quincepier.lab.experiment import MS, SECOND

DRAIN_GRACE, PURGE_GRACE, LATER = 2 * SECOND, 500 * MS, 50 * MS
LEFT_SLACK, WAIT_SLACK = 100 * MS, 150 * MS  # of what begins: after its client left; told to a server
KEPT_MOST = 40  # broken rules kept with their timeline; more are counted


@dataclass(slots=True)
class Broken:
    rule: str
    request: int
    reason: str
    timeline: tuple[str, ...]


@dataclass(slots=True)
class Trace:
    """What is known of one request."""

    front: int
    effect: str
    deadline: int
    timeline: list[str] = field(default_factory=list)
    response_count: int = 0
    effect_count: int = 0  # effects that took place
    is_abandoned: bool = False  # its front was killed: no longer that front's duty
    disconnected_at: int = 0  # when its client closed or cancelled it; 0: it has not


class RuleChecker:
    """`late`: so long past its time an answer only earns nothing; later it is lost, ns."""

    def __init__(self, late: int = LATER) -> None:
        self.late_tolerance = late
        self.trace_by_request: dict[int, Trace] = {}
        self.leaving_since: dict[tuple[int, int], int] = {}  # (front, machine): when it was told
        self.purges_by_group: dict[int, list[tuple[int, dict[int, int]]]] = defaultdict(
            list
        )  # by group; see purged
        self.violations: list[Broken] = []
        self.violation_count = 0
        self.accused_fronts_by_rule: dict[str, set[int]] = defaultdict(
            set
        )  # fronts by the rule they broke; -1: not known
        self.check_count_by_rule: dict[str, int] = defaultdict(int)  # how often each rule was looked at

    def _record_violation(self, rule: str, request: int, why: str, front: int = -1) -> None:
        self.violation_count += 1
        self.accused_fronts_by_rule[rule].add(
            self.trace_by_request[request].front if request in self.trace_by_request else front
        )
        if len(self.violations) < KEPT_MOST:
            trace = self.trace_by_request.get(request)
            self.violations.append(Broken(rule, request, why, tuple(trace.timeline) if trace else ()))

    def _add_to_timeline(self, now: int, request: int, text: str) -> None:
        trace = self.trace_by_request.get(request)
        if trace is not None and len(trace.timeline) < 100:
            trace.timeline.append(f"{now / SECOND:.6f} {text}")

    # What is told

    def on_request(self, now: int, request: int, front: int, effect: str, due: int) -> None:
        self.trace_by_request[request] = Trace(front, effect, due)
        self._add_to_timeline(now, request, f"front {front} takes it ({effect}), due {due / SECOND:.6f}")

    def on_leaving_reported(self, now: int, front: int, machine: int) -> None:
        self.leaving_since.setdefault((front, machine), now)

    def on_return_reported(self, front: int, machine: int) -> None:
        self.leaving_since.pop((front, machine), None)

    def on_purge(self, now: int, group: int, told: dict[int, int]) -> None:
        """`told`: by front, when it hears of it."""
        self.purges_by_group[group].append((now, told))

    def on_abandoned(self, request: int) -> None:
        """Its front was killed with it open, or its client gave it up: no answer is owed."""
        if request in self.trace_by_request:
            self.trace_by_request[request].is_abandoned = True

    def on_client_disconnected(self, now: int, request: int) -> None:
        """Its client has closed or cancelled it: no answer is owed, and nothing begins for it."""
        trace = self.trace_by_request.get(request)
        if trace is not None:
            trace.disconnected_at, trace.is_abandoned = trace.disconnected_at or now, True
            self._add_to_timeline(now, request, "its client leaves")

    # What is seen

    def on_attempt_received(self, now: int, request: int, wait: int, slack: int) -> None:
        """Rule one: nothing begins for who has left, nor with more time than its client has.

        `slack`: time in which the rig itself stood still since, ns.
        """
        trace = self.trace_by_request.get(request)
        if trace is None:
            return
        self.check_count_by_rule["begin"] += 1
        if trace.disconnected_at and now - trace.disconnected_at > LEFT_SLACK + LATER + slack:
            self._record_violation(
                "begin",
                request,
                f"begins {(now - trace.disconnected_at) / SECOND:.3f} s after its client left",
            )
        over = wait - (trace.deadline - now)
        if over > WAIT_SLACK + LATER + slack:
            self._record_violation(
                "begin", request, f"a server is told {over / SECOND:.3f} s more than is left"
            )

    def on_attempt_sent(self, now: int, request: int, front: int, machine: int, source: int | None) -> None:
        """Rule three: nothing new for a machine past the grace, nor with it as the source."""
        self._add_to_timeline(
            now, request, f"to {machine}" + (f" by way of {source}" if source is not None else "")
        )
        self.check_count_by_rule["drain"] += 1
        for one in filter(None, (machine, source)):
            told = self.leaving_since.get((front, one))
            if told is not None and now - told > DRAIN_GRACE + LATER:
                late = (now - told) / SECOND
                self._record_violation("drain", request, f"sent to {one} {late:.3f} s after it was told")

    def on_effect_run(self, now: int, request: int, machine: int) -> None:
        """Rule two: an effect takes place once at most."""
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
        """Rule one, and rule five by the copy that was passed on."""
        trace = self.trace_by_request.get(request)
        self._add_to_timeline(now, request, f"answered {status}")
        if trace is None:
            self._record_violation("answer", request, "an answer to what was never asked")
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
            for at, told in self.purges_by_group.get(group, ()):
                heard = told.get(trace.front)
                if heard is not None and sent > heard + PURGE_GRACE + LATER and minted < at:
                    older = (at - minted) / SECOND
                    self._record_violation("purge", request, f"a copy from {older:.3f} s before the purge")

    def on_cold_machine_overloaded(self, now: int, machine: int, by: int) -> None:
        """Rule four: a cold machine was pushed over."""
        self._record_violation("cold", by, f"machine {machine} fell over at {now / SECOND:.3f}")

    def report_violation(self, rule: str, request: int, why: str, front: int = -1) -> None:
        """Of what only processes show: who heard it worked out that the rule is broken."""
        self._record_violation(rule, request, why, front)

    def count_cold_check(self) -> None:
        self.check_count_by_rule["cold"] += 1

    def finish(self, now: int) -> None:
        """Rule one: what was due by now has its answer."""
        for request, trace in self.trace_by_request.items():
            if (
                not trace.response_count
                and not trace.is_abandoned
                and trace.deadline + self.late_tolerance < now
            ):
                self._record_violation("answer", request, "never answered")
