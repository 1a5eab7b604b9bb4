"""What a front does while it leads: grants leases, asks the planners for the next version, proposes it.

One proposal is on its way at a time. Nothing is planned before all that earlier leaders agreed is known.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Sequence

from loguru import logger
from msgspec.structs import replace

from quincepier import clock
from quincepier.checks import Checks
from quincepier.net.fleet.messages import LeaseGranted, NotLeader, ReportMessage
from quincepier.net.fleet.raft_node import RaftNode
from quincepier.rules import (
    LeaseTable,
    LeaseTimings,
    MachineObservation,
    Observations,
    RulesError,
    RuleVersion,
    VersionChange,
    apply,
    decode,
    encode,
    initial_version,
)

Planner = Callable[[RuleVersion, Observations], VersionChange | None]
LOST_AFTER = 3 * clock.SECOND  # a proposal not agreed in this time is made again, the same
USUAL_LEAST, USUAL_PART = 50, 0.2  # answers in a span that tell of the usual; weight of a new reading
USUAL_MOST = 4096
USUAL_EVERY = clock.SECOND


class Leader:
    """`machines()` and `view()` as this front has them now; times of `clock.boot`."""

    def __init__(
        self,
        name: str,
        voters: tuple[str, ...],
        seat: RaftNode,
        pace: LeaseTimings,
        planners: Callable[[], Sequence[Planner]],
        machines: Callable[[], dict[str, MachineObservation]],
        view: Callable[[], tuple[str, ...]],
        checks: Checks,
        alike: Callable[[int], bool | None] = lambda number: None,
        silent: Callable[[int], frozenset[str]] = lambda age: frozenset(),
        gone: Callable[[], frozenset[str]] = frozenset,
    ) -> None:
        """`silent(age)`: fronts put out of the view for no longer, which may serve on by an older version;
        `gone()`: those of which the operators say that they are no more.
        """
        self.name, self.voters, self.seat, self.pace = name, voters, seat, pace
        self.planners, self.machines, self.view, self.checks = planners, machines, view, checks
        self.alike, self.silent, self.gone = alike, silent, gone
        self.agreed = initial_version()  # the newest version that is agreed, as far as this voter knows
        self.ledger: LeaseTable | None = None
        self.term = -1
        self.proposed, self.proposed_at = 0, 0  # the number on its way, and since when
        self.proposal = b""
        self.why: dict[int, str] = {}
        self.force = -1
        self.usual = dict[str, float]()
        self.usual_at = 0
        self.ahead = 0  # a number that some front decides by and the voters do not have

    def committed(self, version: RuleVersion) -> bool:
        """Whether it is newer than all before."""
        if version.number <= self.agreed.number:
            self.checks.count("versions agreed that are not newer")
            return False
        self.agreed = version
        if self.ledger is not None:
            self.ledger.agreed(version, clock.boot())
        if self.proposed and version.number >= self.proposed:
            self.proposed = 0
        return True

    def asked(self, now: int, report: ReportMessage) -> LeaseGranted | NotLeader | None:
        """The answer to a report."""
        self._lead(now)
        voter, ledger, body = self.seat.raft, self.ledger, report.ask.report
        if ledger is None or voter is None:
            leader = self.seat.leader
            return NotLeader(report.ask.token, leader if leader != self.name else "")
        if body.version_number > self.agreed.number:  # of a history that the voters have lost: no lease by it
            self.ahead = max(self.ahead, body.version_number)
            self.checks.event(
                "a version the voters do not have", f"{body.front} decides by {body.version_number}"
            )
            return None
        grant = ledger.heard(now, report.ask, voter.lease_until_ns)
        if grant is None:
            return None
        other = body.version_number != self.agreed.number or body.digest != self.agreed.digest
        return LeaseGranted(voter.term, grant, encode(self.agreed) if other else b"")

    def _lead(self, now: int) -> None:
        """Begin to lead, or end."""
        voter, leads = self.seat.raft, self.seat.has_leader_lease
        if voter is None or not leads:
            if self.ledger is not None:
                logger.bind(event="leads no more", front=self.name, term=self.term).info("leads no more")
            self.ledger, self.proposed, self.force, self.ahead = None, 0, -1, 0
            return
        if self.ledger is None or self.term != voter.term:
            self.ledger, self.term, self.proposed = LeaseTable(now, self.pace, self.agreed), voter.term, 0
            told = logger.bind(event="leads", front=self.name, term=self.term, number=self.agreed.number)
            told.info("leads in term {} from version {}", self.term, self.agreed.number)
            self.checks.count("times this front came to lead")

    def turn(self, now: int) -> None:
        """Look at what is seen, and propose what follows."""
        self._lead(now)
        ledger = self.ledger
        if ledger is None:
            return
        ledger.dropped(self.gone())
        seen = ledger.seen(
            now,
            self.view(),
            self.machines(),
            self.voters,
            self.name,
            self.alike(self.agreed.number),
            self.usual,
            self.silent(self.pace.gone),
        )
        if seen.active_number != self.force:
            self.force = seen.active_number
            told = logger.bind(event="version in force", number=self.force, fronts=len(seen.report_by_front))
            told.info("version {} in force, {} fronts with a lease", self.force, len(seen.report_by_front))
        self._learn_usual(now, seen)
        if not self.proposed:
            self.propose(now, seen)
        elif now - self.proposed_at >= LOST_AFTER:
            # never another of that number: where the first is agreed late, both would be in the log, and a
            # voter that begins from its newest entry would have the other
            self.proposed_at = now
            self.seat.propose(self.proposal)

    def propose(self, now: int, seen: Observations) -> None:
        changes = list(self._wanted(seen))
        base = self.agreed
        if self.ahead > base.number:  # numbers go on above all that any front ever decided by
            base = replace(base, number=self.ahead)
        elif not changes and base.number:  # 0 stands for nothing agreed: nothing is planned from there
            return
        try:
            version = apply(base, self.term, tuple(changes))
        except RulesError as error:  # a defect of a planner: the first part's change alone
            self.checks.event("changes that exclude each other", error.line())
            changes = changes[:1]
            version = apply(base, self.term, tuple(changes))
        raw = encode(version)
        try:
            decode(raw)
        except RulesError as error:  # a defect of a planner: what no front could read is not agreed
            self.checks.event("version not proposed", error.line())
            return
        self.ahead, self.proposed, self.proposed_at = 0, version.number, now
        told = "; ".join(c.reason for c in changes)
        self.why = {version.number: told or "the first, or numbers go on above the fronts'"}
        self.checks.count("versions proposed")
        self.proposal = raw
        self.seat.propose(raw)

    def _wanted(self, seen: Observations) -> Iterable[VersionChange]:
        for planner in self.planners():
            try:
                change = planner(self.agreed, seen)
            except Exception as error:  # a defect: nothing of it is changed, the other parts go on
                self.checks.event("exception in a planner", f"{type(error).__name__}: {error}")
                continue
            if change is not None:
                yield change

    def _learn_usual(self, now: int, seen: Observations) -> None:
        """Worth in time over worth by tenant, while nothing is out and nothing moves."""
        agreed = self.agreed
        if now - self.usual_at < USUAL_EVERY or any(o.is_active for o in agreed.maintenance_tasks):
            return
        if any(m.is_active for m in agreed.migrations):
            return
        self.usual_at = now
        sums = dict[str, list[float]]()
        for report in seen.report_by_front.values():
            for row in report.service_statistics:
                if not row.shard:
                    total = sums.setdefault(row.tenant, [0.0, 0.0, 0.0])
                    for at, value in enumerate((row.responses, row.requested_weight, row.on_time_weight)):
                        total[at] += value
        for tenant, (asked, worth, in_time) in sums.items():
            if asked >= USUAL_LEAST and worth > 0 and (tenant in self.usual or len(self.usual) < USUAL_MOST):
                before = self.usual.get(tenant, in_time / worth)
                self.usual[tenant] = before + USUAL_PART * (in_time / worth - before)
