"""What a front does while it leads: it grants leases, asks the planners for the next version and proposes it.

One proposal is under way at a time. Nothing is planned before all that earlier leaders committed is known.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass

from loguru import logger
from msgspec.structs import replace

from quincepier import clock
from quincepier.checks import Checks
from quincepier.net.fleet.messages import LeaseGranted, NotLeader, ReportMessage
from quincepier.net.fleet.raft_node import RaftNode
from quincepier.net.fleet.service_baseline import ServiceBaseline
from quincepier.rules import (
    FleetView,
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
PROPOSAL_TIMEOUT_NS = 3 * clock.SECOND  # a proposal that is not committed then is made again, the same
DEFAULT_REASON = "the first version, or numbers go on above those of the fronts"


@dataclass(slots=True, frozen=True)
class FleetSources:
    """Where the leader reads what it plans by, as this front has it at the moment.

    Attributes:
        planners: What proposes changes.
        observe_machines: Machines of the endpoint list.
        list_members: Fronts in the membership view.
        is_consistent: Whether all fronts decide alike by the version of a number; None: not known.
        recently_dead: Fronts removed from the view no longer ago than a duration in nanoseconds; they may
            serve on by an older version.
        decommissioned_fronts: Fronts that exist no more, as operators say.
    """

    planners: Callable[[], Sequence[Planner]]
    observe_machines: Callable[[], dict[str, MachineObservation]]
    list_members: Callable[[], tuple[str, ...]]
    is_consistent: Callable[[int], bool | None] = lambda number: None
    recently_dead: Callable[[int], frozenset[str]] = lambda age_ns: frozenset()
    decommissioned_fronts: Callable[[], frozenset[str]] = frozenset


@dataclass(slots=True, frozen=True)
class Proposal:
    """A version that was proposed and is not committed yet."""

    number: int
    proposed_at_ns: int
    version_bytes: bytes


class Leader:
    """The leading side of a voter; it does nothing while another voter leads. Times are of `clock.boot`.

    Attributes:
        committed_version: The newest committed version, as far as this voter knows.
        lease_table: Leases that it granted; None while it does not lead.
        proposal: What is under way; None where nothing is.
        last_proposed_at_ns: When the last proposal was made.
        reason_by_number: Why the last version was proposed.
        sources: What it plans by.
    """

    def __init__(
        self,
        name: str,
        voters: tuple[str, ...],
        raft_node: RaftNode,
        timings: LeaseTimings,
        sources: FleetSources,
        checks: Checks,
    ) -> None:
        self.checks = checks
        self.sources = sources
        self.committed_version = initial_version()
        self.lease_table: LeaseTable | None = None
        self.proposal: Proposal | None = None
        self.last_proposed_at_ns = 0
        self.reason_by_number: dict[int, str] = {}
        self._name = name
        self._voters = voters
        self._raft_node = raft_node
        self._timings = timings
        self._term = -1
        self._active_number = -1
        self._baseline = ServiceBaseline()
        self._unknown_number = 0  # that some front decides by and the voters do not have

    def on_committed(self, version: RuleVersion) -> bool:
        """Take a committed version; return whether it is newer than all before."""
        if version.number <= self.committed_version.number:
            self.checks.count("stale_versions_committed")
            return False
        self.committed_version = version
        if self.lease_table is not None:
            self.lease_table.on_version_committed(version, clock.boot())
        if self.proposal is not None and version.number >= self.proposal.number:
            self.proposal = None
        return True

    def on_report(self, now_ns: int, message: ReportMessage) -> LeaseGranted | NotLeader | None:
        """Return the answer to a report, if there is one."""
        self._update_leadership(now_ns)
        raft = self._raft_node.raft
        lease_table = self.lease_table
        request = message.request
        report = request.report
        if lease_table is None or raft is None:
            leader = self._raft_node.leader
            return NotLeader(request.token, leader if leader != self._name else "")
        committed = self.committed_version
        if report.version_number > committed.number:
            # Of a history that the voters have lost: no lease by it.
            self._unknown_number = max(self._unknown_number, report.version_number)
            detail = f"{report.front} decides by {report.version_number}"
            self.checks.event("unknown_version_reported", detail)
            return None
        grant = lease_table.on_request(now_ns, request, raft.lease_until_ns)
        if grant is None:
            return None
        has_newest = report.version_number == committed.number and report.digest == committed.digest
        return LeaseGranted(raft.term, grant, b"" if has_newest else encode_version(committed))

    def on_tick(self, now_ns: int) -> None:
        """Observe the fleet and propose what follows from it."""
        self._update_leadership(now_ns)
        if self.lease_table is None:
            return
        observations = self._observe(now_ns, self.lease_table)
        self._log_active_number(observations)
        self._baseline.update(now_ns, self.committed_version, observations.report_by_front.values())
        if self.proposal is None:
            self._plan(now_ns, observations)
        elif now_ns - self.proposal.proposed_at_ns >= PROPOSAL_TIMEOUT_NS:
            # Never another version of that number: where the first is committed late, both would be in the
            # log, and a voter that starts from its newest entry would have the other.
            self.last_proposed_at_ns = now_ns
            self.proposal = Proposal(self.proposal.number, now_ns, self.proposal.version_bytes)
            self._raft_node.propose(self.proposal.version_bytes)

    def _update_leadership(self, now_ns: int) -> None:
        raft = self._raft_node.raft
        if raft is None or not self._raft_node.has_leader_lease:
            if self.lease_table is not None:
                self._end_leadership()
            return
        if self.lease_table is None or self._term != raft.term:
            self._start_leadership(now_ns, raft.term)

    def _start_leadership(self, now_ns: int, term: int) -> None:
        number = self.committed_version.number
        self.lease_table = LeaseTable(now_ns, self._timings, self.committed_version)
        self.proposal = None
        self._term = term
        log = logger.bind(event="leadership_started", front=self._name, term=term, number=number)
        log.info("this front leads in term {} from version {}", term, number)
        self.checks.count("leadership_starts")

    def _end_leadership(self) -> None:
        self.lease_table = None
        self.proposal = None
        self._active_number = -1
        self._unknown_number = 0
        log = logger.bind(event="leadership_ended", front=self._name, term=self._term)
        log.info("this front leads no more, since term {}", self._term)

    def _observe(self, now_ns: int, lease_table: LeaseTable) -> Observations:
        sources = self.sources
        lease_table.set_decommissioned(sources.decommissioned_fronts())
        view = FleetView(
            members=sources.list_members(),
            machine_by_host=sources.observe_machines(),
            voters=self._voters,
            leader=self._name,
            is_consistent=sources.is_consistent(self.committed_version.number),
            baseline_on_time_ratio_by_tenant=self._baseline.ratio_by_tenant,
            recently_dead=sources.recently_dead(self._timings.unreachable_front_timeout_ns),
        )
        return lease_table.observe(now_ns, view)

    def _log_active_number(self, observations: Observations) -> None:
        if observations.active_number == self._active_number:
            return
        self._active_number = observations.active_number
        leased = len(observations.report_by_front)
        log = logger.bind(event="version_active", number=self._active_number, fronts=leased)
        log.info("version {} is active, {} fronts with a lease", self._active_number, leased)

    def _plan(self, now_ns: int, observations: Observations) -> None:
        changes = list(self._planned_changes(observations))
        base = self.committed_version
        if self._unknown_number > base.number:  # numbers go on above all that any front ever decided by
            base = replace(base, number=self._unknown_number)
        elif not changes and base.number:  # 0: nothing is committed, and nothing is planned from there
            return
        try:
            version = apply_changes(base, self._term, tuple(changes))
        except RulesError as error:  # a defect of a planner: the first change alone
            self.checks.event("conflicting_changes", error.line())
            changes = changes[:1]
            version = apply_changes(base, self._term, tuple(changes))
        self._propose(now_ns, version, "; ".join(change.reason for change in changes))

    def _propose(self, now_ns: int, version: RuleVersion, reason: str) -> None:
        version_bytes = encode_version(version)
        try:
            decode_version(version_bytes)
        except RulesError as error:  # a defect of a planner: what no front could read is not proposed
            self.checks.event("invalid_version_not_proposed", error.line())
            return
        self._unknown_number = 0
        self.proposal = Proposal(version.number, now_ns, version_bytes)
        self.last_proposed_at_ns = now_ns
        self.reason_by_number = {version.number: reason or DEFAULT_REASON}
        self.checks.count("versions_proposed")
        self._raft_node.propose(version_bytes)

    def _planned_changes(self, observations: Observations) -> Iterable[VersionChange]:
        for planner in self.sources.planners():
            try:
                change = planner(self.committed_version, observations)
            except Exception as error:  # noqa: BLE001 - a defect of one planner must not stop the others
                self.checks.exception("exception_in_planner", error)
                continue
            if change is not None:
                yield change
