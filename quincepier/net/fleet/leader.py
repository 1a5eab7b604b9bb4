"""The leader: it grants leases, asks the planners for the next version and proposes that version.

There is at most one pending proposal. Planning starts only when all entries committed by earlier leaders are
known.
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
PROPOSAL_TIMEOUT_NS = 3 * clock.SECOND  # after it, the same uncommitted proposal is repeated
DEFAULT_REASON = "the first version, or numbers go on above those of the fronts"


@dataclass(slots=True, frozen=True)
class FleetSources:
    """Functions that return the current inputs of the planners, as known to this front.

    Attributes:
        planners: The planners, which return changes of the version.
        observe_machines: Machines of the endpoint list by host id.
        list_members: Names of the fronts in the membership view.
        is_consistent: Whether all fronts decide alike by the version with a number; None if unknown.
        recently_dead: Fronts removed from the view within a duration in nanoseconds; they may still serve by
            an older version.
        decommissioned_fronts: Fronts that the operators declared decommissioned.
    """

    planners: Callable[[], Sequence[Planner]]
    observe_machines: Callable[[], dict[str, MachineObservation]]
    list_members: Callable[[], tuple[str, ...]]
    is_consistent: Callable[[int], bool | None] = lambda number: None
    recently_dead: Callable[[int], frozenset[str]] = lambda age_ns: frozenset()
    decommissioned_fronts: Callable[[], frozenset[str]] = frozenset


@dataclass(slots=True, frozen=True)
class Proposal:
    """A proposed version that is not committed yet."""

    number: int
    proposed_at_ns: int
    version_bytes: bytes


class Leader:
    """The leader role of a voter; it is inactive while another voter leads.

    Times are in nanoseconds of `clock.boot`.

    Attributes:
        checks: Counters and log events.
        committed_version: The newest committed version known to this voter.
        lease_table: The leases it granted; None while it does not lead.
        proposal: The pending proposal; None without one.
        last_proposed_at_ns: The time of the last proposal.
        reason_by_number: The reason of the last proposed version, by its number.
        sources: The inputs of the planners.
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
        self._unknown_number = 0  # highest version number reported by a front but unknown to the voters

    def on_committed(self, version: RuleVersion) -> bool:
        """Handle a committed version; return whether it is newer than all earlier ones."""
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
        """Return the response to a report; None without one."""
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
            # The version belongs to a log that the voters have lost: no lease is granted for it.
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
        """Observe the fleet and propose the version that the planners derive from it."""
        self._update_leadership(now_ns)
        if self.lease_table is None:
            return
        observations = self._observe(now_ns, self.lease_table)
        self._log_active_number(observations)
        self._baseline.update(now_ns, self.committed_version, observations.report_by_front.values())
        if self.proposal is None:
            self._plan(now_ns, observations)
        elif now_ns - self.proposal.proposed_at_ns >= PROPOSAL_TIMEOUT_NS:
            # Never another version with that number: if the first proposal were committed late, the log would
            # have both, and a voter that restarts from its newest entry would use the other one.
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
        if self._unknown_number > base.number:  # new numbers exceed all that any front decided by
            base = replace(base, number=self._unknown_number)
        elif not changes and base.number:  # the first version is proposed even without changes
            return
        try:
            version = apply_changes(base, self._term, tuple(changes))
        except RulesError as error:  # a defect of a planner: apply the first change only
            self.checks.event("conflicting_changes", error.line())
            changes = changes[:1]
            version = apply_changes(base, self._term, tuple(changes))
        self._propose(now_ns, version, "; ".join(change.reason for change in changes))

    def _propose(self, now_ns: int, version: RuleVersion, reason: str) -> None:
        version_bytes = encode_version(version)
        try:
            decode_version(version_bytes)
        except RulesError as error:  # a defect of a planner: fronts could not decode it
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
