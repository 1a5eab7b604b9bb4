"""A front that votes: its Raft node, its leader role, and the handling of committed entries."""

from __future__ import annotations

from collections.abc import Callable

from loguru import logger

from quincepier import clock
from quincepier.checks import Checks
from quincepier.consensus import ElectionTimeouts, EntryCommitted, LeaderChanged
from quincepier.net.fleet.leader import FleetSources, Leader
from quincepier.net.fleet.messages import (
    CONSENSUS_CHANNEL,
    LeaseGranted,
    NotLeader,
    ReportMessage,
    VersionCommitted,
)
from quincepier.net.fleet.raft_node import RaftNode, VoterStorage
from quincepier.net.fleet.version_diff import log_version_change
from quincepier.net.fleet.worker_thread import WorkerThread
from quincepier.net.peers import PeerNetwork
from quincepier.rules import LeaseTimings, RulesError, RuleVersion, decode_version, encode_version

LEADER_TICK_INTERVAL_NS = 100 * clock.MS
DEFAULT_LEASE_MS = 1500  # the lease duration that the default election timeouts suit


def election_timeouts_for(lease_ms: int) -> ElectionTimeouts:
    """Return the election timeouts for a lease duration in milliseconds.

    Longer leases are for slower networks, so the timeouts grow in proportion.
    """
    default = ElectionTimeouts()
    scale = max(lease_ms / DEFAULT_LEASE_MS, 1.0)
    return ElectionTimeouts(
        heartbeat_interval_ns=int(default.heartbeat_interval_ns * scale),
        retry_interval_ns=int(default.retry_interval_ns * scale),
        min_election_timeout_ns=int(default.min_election_timeout_ns * scale),
        max_election_timeout_ns=int(default.max_election_timeout_ns * scale),
        leader_lease_ns=int(default.leader_lease_ns * scale),
        snapshot_retry_interval_ns=int(default.snapshot_retry_interval_ns * scale),
    )


class Voter:
    """Runs one voter of the agreement.

    Args:
        name: This front's name.
        voters: Names of all voters.
        storage: Stores the voter's log.
        seed: Seed of random election timeouts; different at each start.
        lease_timings: Timing of leases.
        election_timeouts: Timing of elections.
        sources: The inputs of the leader's planners.
        peers: Sends and receives the messages.
        send: Sends a message about rule versions to a front.
        on_version: Called with each newer committed version, for this front's own follower.
        checks: Counters and log events.
    """

    def __init__(
        self,
        name: str,
        voters: tuple[str, ...],
        storage: VoterStorage,
        seed: int,
        lease_timings: LeaseTimings,
        election_timeouts: ElectionTimeouts,
        sources: FleetSources,
        peers: PeerNetwork,
        send: Callable[[str, VersionCommitted], None],
        on_version: Callable[[VersionCommitted], None],
        checks: Checks,
    ) -> None:
        self._name = name
        self._peers = peers
        self._send = send
        self._on_version = on_version
        self._checks = checks
        self._logged_leader = LeaderChanged("", -1)
        self._leader_ticked_at_ns = 0
        self._raft_node = RaftNode(
            name,
            voters,
            storage,
            WorkerThread("voter"),
            seed,
            lambda to, raw: peers.send(to, CONSENSUS_CHANNEL, raw),
            self._on_raft_event,
            checks,
            election_timeouts,
        )
        self._leader = Leader(name, voters, self._raft_node, lease_timings, sources, checks)

    def start(self) -> None:
        """Read the log and participate in the votes."""
        self._peers.register_channel(CONSENSUS_CHANNEL, self._raft_node.on_message)
        self._raft_node.start()

    @property
    def is_leading(self) -> bool:
        """Whether this front leads and grants leases."""
        return self._leader.lease_table is not None

    @property
    def next_tick_ns(self) -> int:
        """When `on_tick` must be called next for Raft, in nanoseconds of `clock.boot`.

        The ticks of the leader are not included.
        """
        return self._raft_node.next_tick_ns

    def on_tick(self, now_ns: int) -> None:
        """Perform the work of the Raft node and the leader that is due."""
        if now_ns >= self._raft_node.next_tick_ns:
            self._raft_node.tick()
        if now_ns - self._leader_ticked_at_ns >= LEADER_TICK_INTERVAL_NS:
            self._leader_ticked_at_ns = now_ns
            self._leader.on_tick(now_ns)

    def on_report(self, now_ns: int, message: ReportMessage) -> LeaseGranted | NotLeader | None:
        """Return the response to a front's report; None without one."""
        return self._leader.on_report(now_ns, message)

    def _on_raft_event(self, event: EntryCommitted | LeaderChanged) -> None:
        if isinstance(event, LeaderChanged):
            self._on_leader_changed(event)
        elif event.data:
            self._on_entry_committed(event)

    def _on_leader_changed(self, event: LeaderChanged) -> None:
        if (event.leader or "", event.term) == (self._logged_leader.leader or "", self._logged_leader.term):
            return
        self._logged_leader = event
        log = logger.bind(event="leader_changed", leader=event.leader or "", term=event.term)
        log.info("leader {} in term {}", event.leader or "unknown", event.term)

    def _on_entry_committed(self, entry: EntryCommitted) -> None:
        try:
            version = decode_version(entry.data)
        except RulesError as error:
            self._checks.event("committed_entry_rejected", error.line())
            return
        before = self._leader.committed_version
        if not self._leader.on_committed(version):
            return
        self._checks.count("versions_committed")
        message = VersionCommitted(entry.term, encode_version(version))
        if self.is_leading or self._has_proposed(entry):
            self._announce(before, version, message)
        self._on_version(message)

    def _has_proposed(self, entry: EntryCommitted) -> bool:
        """Whether this voter leads and the entry is of its term, even if its leader lease has expired.

        Entries of earlier terms are committed again after a start; the leader of that term announced them.
        """
        raft = self._raft_node.raft
        return raft is not None and raft.leader == self._name and raft.term == entry.term

    def _announce(self, before: RuleVersion, version: RuleVersion, message: VersionCommitted) -> None:
        """Log the version and send it to all other fronts."""
        took_ms = (clock.boot() - self._leader.last_proposed_at_ns) / clock.MS
        reason = self._leader.reason_by_number.pop(version.number, "")
        log_version_change(before, version, reason, took_ms)
        for front in self._peers.view:
            if front != self._name:
                self._send(front, message)
