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
    apply_changes,
    decode_version,
    encode_version,
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
        recently_dead: Callable[[int], frozenset[str]] = lambda age: frozenset(),
        decommissioned_fronts: Callable[[], frozenset[str]] = frozenset,
    ) -> None:
        """`recently_dead(age)`: fronts put out of the view for no longer, which may serve on by an
        older version; `decommissioned_fronts()`: those of which the operators say that they are no more.
        """
        self.name, self.voters, self.raft_node, self.timings = name, voters, seat, pace
        self.planners, self.observe_machines, self.list_members, self.checks = (
            planners,
            machines,
            view,
            checks,
        )
        self.is_consistent, self.recently_dead, self.decommissioned_fronts = (
            alike,
            recently_dead,
            decommissioned_fronts,
        )
        self.committed_version = (
            initial_version()
        )  # the newest version that is agreed, as far as this voter knows
        self.lease_table: LeaseTable | None = None
        self.term = -1
        self.proposed_number, self.proposed_at_ns = 0, 0  # the number on its way, and since when
        self.proposal_bytes = b""
        self.reason_by_number: dict[int, str] = {}
        self.active_number = -1
        self.baseline_by_tenant = dict[str, float]()
        self.baseline_at_ns = 0
        self.unknown_number = 0  # a number that some front decides by and the voters do not have

    def on_committed(self, version: RuleVersion) -> bool:
        """Whether it is newer than all before."""
        if version.number <= self.committed_version.number:
            self.checks.count("versions agreed that are not newer")
            return False
        self.committed_version = version
        if self.lease_table is not None:
            self.lease_table.on_version_committed(version, clock.boot())
        if self.proposed_number and version.number >= self.proposed_number:
            self.proposed_number = 0
        return True

    def on_report(self, now: int, report: ReportMessage) -> LeaseGranted | NotLeader | None:
        """The answer to a report."""
        self._update_leadership(now)
        voter, ledger, body = self.raft_node.raft, self.lease_table, report.request.report
        if ledger is None or voter is None:
            leader = self.raft_node.leader
            return NotLeader(report.request.token, leader if leader != self.name else "")
        if (
            body.version_number > self.committed_version.number
        ):  # of a history that the voters have lost: no lease by it
            self.unknown_number = max(self.unknown_number, body.version_number)
            self.checks.event(
                "a version the voters do not have", f"{body.front} decides by {body.version_number}"
            )
            return None
        grant = ledger.on_request(now, report.request, voter.lease_until_ns)
        if grant is None:
            return None
        other = (
            body.version_number != self.committed_version.number
            or body.digest != self.committed_version.digest
        )
        return LeaseGranted(voter.term, grant, encode_version(self.committed_version) if other else b"")

    def _update_leadership(self, now: int) -> None:
        """Begin to lead, or end."""
        voter, leads = self.raft_node.raft, self.raft_node.has_leader_lease
        if voter is None or not leads:
            if self.lease_table is not None:
                logger.bind(event="leads no more", front=self.name, term=self.term).info("leads no more")
            self.lease_table, self.proposed_number, self.active_number, self.unknown_number = None, 0, -1, 0
            return
        if self.lease_table is None or self.term != voter.term:
            self.lease_table, self.term, self.proposed_number = (
                LeaseTable(now, self.timings, self.committed_version),
                voter.term,
                0,
            )
            told = logger.bind(
                event="leads", front=self.name, term=self.term, number=self.committed_version.number
            )
            told.info("leads in term {} from version {}", self.term, self.committed_version.number)
            self.checks.count("times this front came to lead")

    def on_tick(self, now: int) -> None:
        """Look at what is seen, and propose what follows."""
        self._update_leadership(now)
        ledger = self.lease_table
        if ledger is None:
            return
        ledger.set_decommissioned(self.decommissioned_fronts())
        seen = ledger.observe(
            now,
            self.list_members(),
            self.observe_machines(),
            self.voters,
            self.name,
            self.is_consistent(self.committed_version.number),
            self.baseline_by_tenant,
            self.recently_dead(self.timings.unreachable_front_timeout_ns),
        )
        if seen.active_number != self.active_number:
            self.active_number = seen.active_number
            told = logger.bind(
                event="version in force", number=self.active_number, fronts=len(seen.report_by_front)
            )
            told.info(
                "version {} in force, {} fronts with a lease", self.active_number, len(seen.report_by_front)
            )
        self._learn_baseline(now, seen)
        if not self.proposed_number:
            self.propose(now, seen)
        elif now - self.proposed_at_ns >= LOST_AFTER:
            # never another of that number: where the first is agreed late, both would be in the log, and a
            # voter that begins from its newest entry would have the other
            self.proposed_at_ns = now
            self.raft_node.propose(self.proposal_bytes)

    def propose(self, now: int, seen: Observations) -> None:
        changes = list(self._planned_changes(seen))
        base = self.committed_version
        if self.unknown_number > base.number:  # numbers go on above all that any front ever decided by
            base = replace(base, number=self.unknown_number)
        elif not changes and base.number:  # 0 stands for nothing agreed: nothing is planned from there
            return
        try:
            version = apply_changes(base, self.term, tuple(changes))
        except RulesError as error:  # a defect of a planner: the first part's change alone
            self.checks.event("changes that exclude each other", error.line())
            changes = changes[:1]
            version = apply_changes(base, self.term, tuple(changes))
        raw = encode_version(version)
        try:
            decode_version(raw)
        except RulesError as error:  # a defect of a planner: what no front could read is not agreed
            self.checks.event("version not proposed", error.line())
            return
        self.unknown_number, self.proposed_number, self.proposed_at_ns = 0, version.number, now
        told = "; ".join(c.reason for c in changes)
        self.reason_by_number = {version.number: told or "the first, or numbers go on above the fronts'"}
        self.checks.count("versions proposed")
        self.proposal_bytes = raw
        self.raft_node.propose(raw)

    def _planned_changes(self, seen: Observations) -> Iterable[VersionChange]:
        for planner in self.planners():
            try:
                change = planner(self.committed_version, seen)
            except Exception as error:  # a defect: nothing of it is changed, the other parts go on
                self.checks.event("exception in a planner", f"{type(error).__name__}: {error}")
                continue
            if change is not None:
                yield change

    def _learn_baseline(self, now: int, seen: Observations) -> None:
        """Worth in time over worth by tenant, while nothing is out and nothing moves."""
        agreed = self.committed_version
        if now - self.baseline_at_ns < USUAL_EVERY or any(o.is_active for o in agreed.maintenance_tasks):
            return
        if any(m.is_active for m in agreed.migrations):
            return
        self.baseline_at_ns = now
        sums = dict[str, list[float]]()
        for report in seen.report_by_front.values():
            for row in report.service_statistics:
                if not row.shard:
                    total = sums.setdefault(row.tenant, [0.0, 0.0, 0.0])
                    for at, value in enumerate((row.responses, row.requested_weight, row.on_time_weight)):
                        total[at] += value
        for tenant, (asked, worth, in_time) in sums.items():
            if (
                asked >= USUAL_LEAST
                and worth > 0
                and (tenant in self.baseline_by_tenant or len(self.baseline_by_tenant) < USUAL_MOST)
            ):
                before = self.baseline_by_tenant.get(tenant, in_time / worth)
                self.baseline_by_tenant[tenant] = before + USUAL_PART * (in_time / worth - before)
