"""One front among those that settle things together: its parts, its words and its turns of the clock.

Every front follows; one that the section names as a voter has a seat too, and whoever leads has the chair.
Nothing here is waited for by a request: a fleet that is away leaves this front with its cautious set.
"""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from typing import TYPE_CHECKING

from loguru import logger

from quincepier import clock
from quincepier.consensus import ElectionTimeouts, EntryCommitted, LeaderChanged
from quincepier.interface import EndpointState
from quincepier.net.fleet import version_diff
from quincepier.net.fleet.active_rules import ActiveRules
from quincepier.net.fleet.follower import Follower
from quincepier.net.fleet.leader import Leader
from quincepier.net.fleet.messages import (
    CONSENSUS_CHANNEL,
    RULES_CHANNEL,
    LeaseGranted,
    Message,
    NotLeader,
    ReportMessage,
    VersionCommitted,
    decode,
    encode,
)
from quincepier.net.fleet.raft_node import RaftNode
from quincepier.net.fleet.section import AgreementSection
from quincepier.net.fleet.version_effects import VersionEffects
from quincepier.net.fleet.version_store import VersionStore
from quincepier.net.fleet.worker_thread import WorkerThread
from quincepier.net.module import ModuleActor
from quincepier.net.peers import PeerNetwork
from quincepier.rules import (
    LeaseTimings,
    MachineObservation,
    RulesError,
    RuleVersion,
    decode_version,
    encode_version,
)
from quincepier.state.file_system import FileSystem
from quincepier.state.voter_store import VoterStore

if TYPE_CHECKING:
    from quincepier.consistency.section import ConsistencySection

TURN_EVERY = 100 * clock.MS  # between turns of whoever leads
WAIT_LEAST, WAIT_MOST = 0.005, 0.1  # seconds between looks at what is due
KEPT_WITHIN = 0.2  # seconds that a start waits for what an earlier one kept
ALLOW_TIMES = 2  # of its class's deadline: the longest that an attempt may be open
USUAL_LEASE = 1500  # ms for which the voters' own times are made
DELIVERY = clock.SECOND  # and that its command may be on its way after it was given up


def election_timeouts_for(lease_ms: int) -> ElectionTimeouts:
    """Return the voters' timeouts; longer leases are for slower networks, so voters wait longer too."""
    default = ElectionTimeouts()
    scale = max(lease_ms / USUAL_LEASE, 1.0)
    return ElectionTimeouts(
        heartbeat_interval_ns=int(default.heartbeat_interval_ns * scale),
        retry_interval_ns=int(default.retry_interval_ns * scale),
        min_election_timeout_ns=int(default.min_election_timeout_ns * scale),
        max_election_timeout_ns=int(default.max_election_timeout_ns * scale),
        leader_lease_ns=int(default.leader_lease_ns * scale),
        snapshot_retry_interval_ns=int(default.snapshot_retry_interval_ns * scale),
    )


class AgreementNode:
    def __init__(
        self,
        module: ModuleActor,
        peers: PeerNetwork,
        section: AgreementSection,
        rules: ActiveRules,
        compared: ConsistencySection | None = None,
    ) -> None:
        config, self.checks = module.config, module.checks
        self.module, self.peers, self.section, self.name = module, peers, section, config.name
        self.voters = tuple(sorted(section.voters))
        longest = max((c.deadline for c in config.settings.classes), default=clock.SECOND)
        lease, every = section.lease_ms * clock.MS, section.report_ms * clock.MS
        self.timings = LeaseTimings(lease, every, max_attempt_ns=ALLOW_TIMES * longest + DELIVERY)
        start = time.time_ns() // clock.MS
        self.follower = Follower(self.name, self.voters, start, clock.boot(), self.timings, config.seed)
        self.effects = VersionEffects(module, self.follower, rules, section.span_s)
        self.active_rules, self.consistency_section = rules, compared
        self.effects.on_applied = self._on_applied
        module.settled = self.effects  # from the first line of the list on, which it counts
        folder = section.folder_of(self.name)
        self.version_store, self.is_saving, self.number_to_save = VersionStore(folder), False, -1
        self.storage_thread: WorkerThread | None = None
        self.raft_node: RaftNode | None = None
        self.leader: Leader | None = None
        self.leader_ticked_at_ns, self.known_role = 0, ("", -1)
        self.has_first_answer = asyncio.Event()  # an answer was had since the start
        self.task: asyncio.Task[None] | None = None
        self.tick_listeners: list[Callable[[int], None]] = []  # told at each look: what else is due
        for voter, address in section.voters.items():
            host, _, port = address.rpartition(":")
            peers.add_address(voter, (host.strip("[]"), int(port)))

    # Life

    async def start(self) -> None:
        """Take part, and wait a little for what the fleet has agreed: it may say what not to send to."""
        module, name = self.module, self.name
        module.shared.stale = self.effects.stale
        self.storage_thread = WorkerThread("rules kept")
        try:
            kept = await asyncio.wait_for(self.storage_thread.run(self.version_store.load), KEPT_WITHIN)
        except TimeoutError:
            kept = TimeoutError("it can't be read in time")
        if isinstance(kept, RuleVersion):
            self.effects.stored_version = kept
        elif kept is not None:
            self.checks.event("kept version not used", f"{type(kept).__name__}: {kept}")
        self.effects.apply()
        self.peers.register_channel(RULES_CHANNEL, self._on_frame)
        if name in self.voters:
            log = VoterStore(FileSystem(self.version_store.folder))
            seed = time.time_ns() ^ module.config.seed
            self.raft_node = RaftNode(
                name,
                self.voters,
                log,
                WorkerThread("voter"),
                seed,
                lambda to, raw: self.peers.send(to, CONSENSUS_CHANNEL, raw),
                self._on_raft_event,
                self.checks,
                election_timeouts_for(self.section.lease_ms),
            )
            self.leader = Leader(
                name,
                self.voters,
                self.raft_node,
                self.timings,
                self.active_rules.planners,
                self._observe_machines,
                lambda: self.peers.view,
                self.checks,
                recently_dead=self.peers.recently_dead,
                decommissioned_fronts=lambda: self.active_rules.decommissioned_fronts,
            )
            self.peers.register_channel(CONSENSUS_CHANNEL, self.raft_node.on_message)
            self.raft_node.start()
        if self.consistency_section is not None:
            self._start_consistency_checks(self.consistency_section)
        self.task = asyncio.get_running_loop().create_task(self._run())
        try:
            await asyncio.wait_for(self.has_first_answer.wait(), self.section.first_ms / 1000)
        except TimeoutError:
            self.checks.event("no version at the start", "serves by its cautious set until one is heard")

    def _start_consistency_checks(self, section: ConsistencySection) -> None:
        """With all others, whether they decide alike."""
        from quincepier.net.fleet.consistency_service import ConsistencyService

        def leader() -> str:
            return (
                self.name
                if self.leader is not None and self.leader.lease_table
                else self.follower.known_leader
            )

        service = ConsistencyService(
            self.module, self.peers, self.effects, self.active_rules, section, leader
        )
        self.tick_listeners.append(service.on_tick)
        if self.leader is not None:
            self.leader.is_consistent = service.checker.is_consistent

    def close(self) -> None:
        if self.task is not None:
            self.task.cancel()

    async def _run(self) -> None:
        while True:
            try:
                wait = self._tick()
            except Exception as error:  # a defect: the next turn comes all the same
                self.checks.event("exception in the fleet", f"{type(error).__name__}: {error}")
                wait = WAIT_MOST
            await asyncio.sleep(wait)

    def _tick(self) -> float:
        """All that is due now; the seconds until something is again."""
        now = clock.boot()
        seat, chair = self.raft_node, self.leader
        if seat is not None and now >= seat.next_tick_ns:
            seat.tick()
        if chair is not None and now - self.leader_ticked_at_ns >= TURN_EVERY:
            self.leader_ticked_at_ns = now
            chair.on_tick(now)
        self.effects.apply()  # a lease that ran out with nothing asked since
        said = self.follower.on_tick(clock.boot(), self.effects.report)
        if said is not None:
            self._send(*said)
        for other in self.tick_listeners:
            other(now)
        wake = min(
            self.follower.next_report_ns,
            seat.next_tick_ns if seat is not None else self.follower.next_report_ns,
        )
        return min(max((wake - clock.boot()) / clock.SECOND, WAIT_LEAST), WAIT_MOST)

    # Words

    def _send(self, to: str, word: Message) -> None:
        if to == self.name:
            asyncio.get_running_loop().call_soon(self._on_message, to, word)
        else:
            self.peers.send(to, RULES_CHANNEL, encode(word))

    def _on_frame(self, sender: str, raw: bytes) -> None:
        word = decode(raw)
        if word is None:
            self.checks.count("words about rules not taken")
        else:
            self._on_message(sender, word)

    def _on_message(self, sender: str, word: Message) -> None:
        now = clock.boot()
        match word:
            case ReportMessage(ask):
                if ask.report.front != sender:
                    self.checks.count("words about rules not taken")
                    return
                turn = NotLeader(ask.token, self.follower.known_leader)
                answer = self.leader.on_report(now, word) if self.leader is not None else turn
                if answer is not None:
                    self._send(sender, answer)
            case LeaseGranted() | NotLeader() | VersionCommitted():
                try:
                    self.follower.on_message(now, sender, word)
                except RulesError as error:
                    self.checks.event("rule version not taken", f"from {sender}: {error.line()}")
                self._on_followed(sender)

    def _on_followed(self, sender: str) -> None:
        before = self.effects.applied_number
        self.effects.apply(f"a lease by {sender}")
        number = self.effects.applied_number
        if number != before:
            told = logger.bind(event="version adopted", number=number, by=sender)
            told.info("version {} adopted", number)
            self.checks.count("versions adopted")
        if (
            not self.follower.lease.is_awaiting_first_answer()
        ):  # what came by the way, as from its own log, may be old
            self.has_first_answer.set()

    def _on_raft_event(self, what: EntryCommitted | LeaderChanged) -> None:
        """As the voter of this front says."""
        chair = self.leader
        if chair is None:
            return
        if isinstance(what, LeaderChanged):
            role = (what.leader or "", what.term)
            if role != self.known_role:
                self.known_role = role
                told = logger.bind(event="leader", leader=role[0], term=role[1])
                told.info("leader {} in term {}", role[0] or "unknown", role[1])
            return
        if not what.data:
            return
        try:
            version = decode_version(what.data)
        except RulesError as error:
            self.checks.event("agreed entry not taken", error.line())
            return
        before = chair.committed_version
        if not chair.on_committed(version):
            return
        self.checks.count("versions agreed")
        word = VersionCommitted(what.term, encode_version(version))
        if chair.lease_table is not None:  # one that leads tells all
            took = (clock.boot() - chair.proposed_at_ns) / clock.MS
            version_diff.log_version_change(
                before, version, chair.reason_by_number.pop(version.number, ""), took
            )
            for front in self.peers.view:
                if front != self.name:
                    self._send(front, word)
        self._on_message(self.name, word)

    # What is kept, and what is seen

    def _on_applied(self) -> None:
        version = self.follower.version
        if version.number > self.number_to_save and version.number:
            self.number_to_save = version.number
            self._save_version()

    def _save_version(self) -> None:
        if self.is_saving or self.storage_thread is None:
            return
        version = self.follower.version

        def kept(outcome: object) -> None:
            self.is_saving = False
            if isinstance(outcome, Exception):
                self.checks.event("version not kept", str(outcome))
            elif self.number_to_save > version.number:
                self._save_version()

        self.is_saving = self.storage_thread.submit(lambda: self.version_store.save(version), kept)

    def _observe_machines(self) -> dict[str, MachineObservation]:
        s, now, out = self.module.config.settings, clock.now(), dict[str, MachineObservation]()
        for host, entry in self.module.directory.entry_by_host.items():
            m = entry.machine
            kind = "parent" if m.kind == s.parent_kind else "origin" if m.kind == s.origin_kind else "cache"
            warm = (s.parent_cold_time if kind == "parent" else s.cold_time) + s.cold_window
            up = now - m.up_since if m.up_since else 1 << 61
            ready = m.state is EndpointState.READY
            out[host] = MachineObservation(
                host, kind, entry.record.site, ready, up // clock.MS, warm // clock.MS
            )
        return out
