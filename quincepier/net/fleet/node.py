"""The agreement node of one front: connects follower, voter and version effects, and runs their ticks.

Every front is a follower; a front that the section names as a voter also votes and may lead. No request waits
for this module: a front without a known leader continues to serve in cautious mode.
"""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING

from loguru import logger

from quincepier import clock
from quincepier.net.fleet.active_rules import ActiveRules
from quincepier.net.fleet.follower import Follower
from quincepier.net.fleet.leader import FleetSources
from quincepier.net.fleet.machine_observations import observe_machines
from quincepier.net.fleet.messages import (
    RULES_CHANNEL,
    LeaseGranted,
    Message,
    NotLeader,
    ReportMessage,
    VersionCommitted,
    decode,
    encode,
)
from quincepier.net.fleet.section import AgreementSection
from quincepier.net.fleet.version_effects import VersionEffects
from quincepier.net.fleet.version_store import VersionStore, VersionWriter
from quincepier.net.fleet.voter import Voter, election_timeouts_for
from quincepier.net.fleet.worker_thread import WorkerThread
from quincepier.net.module import ModuleActor
from quincepier.net.peers import PeerNetwork
from quincepier.rules import LeaseTimings, RulesError, RuleVersion
from quincepier.state.file_system import FileSystem
from quincepier.state.voter_store import VoterStore

if TYPE_CHECKING:
    from quincepier.consistency.section import ConsistencySection
    from quincepier.net.fleet.consistency_service import ConsistencyService

MIN_TICK_INTERVAL_S = 0.005
MAX_TICK_INTERVAL_S = 0.1
LOAD_TIMEOUT_S = 0.2  # maximum time that a start waits for the stored version
MAX_ATTEMPT_DEADLINES = 2  # maximum duration of an attempt, in deadlines of its request class
MAX_COMMAND_DELIVERY_NS = clock.SECOND  # after it, the command of an abandoned attempt can no longer arrive


class AgreementNode:
    """Runs the agreement for one front.

    Args:
        module: The actor that owns the router.
        peers: Sends and receives the messages.
        section: Settings of the agreement.
        active_rules: The sections of the operators' file that concern rule versions.
        consistency_section: Settings of the consistency checks; None without them.

    Attributes:
        checks: Counters and log events.
        active_rules: The sections of the operators' file that concern rule versions.
        follower: Reports to the leader and holds the lease.
        effects: Applies the adopted version to the router.
        has_first_answer: Set after the first response of a leader to a report.
    """

    def __init__(
        self,
        module: ModuleActor,
        peers: PeerNetwork,
        section: AgreementSection,
        active_rules: ActiveRules,
        consistency_section: ConsistencySection | None = None,
    ) -> None:
        self._module = module
        self._peers = peers
        self._section = section
        self._name = module.config.name
        self._voters = tuple(sorted(section.voters))
        self._timings = _lease_timings(module, section)
        self._consistency_section = consistency_section
        self.checks = module.checks
        self.active_rules = active_rules
        incarnation = time.time_ns() // clock.MS
        self.follower = Follower(
            self._name, self._voters, incarnation, clock.boot(), self._timings, module.config.seed
        )
        self.effects = VersionEffects(module, self.follower, active_rules, section.statistics_window_s)
        module.set_overrides(self.effects)  # set before the first endpoint update, which it must count
        self._version_store = VersionStore(section.folder_of(self._name))
        self._voter: Voter | None = None
        self._consistency: ConsistencyService | None = None
        self.has_first_answer = asyncio.Event()
        self._task: asyncio.Task[None] | None = None
        for voter, address in section.voters.items():
            host, _, port = address.rpartition(":")
            peers.add_address(voter, (host.strip("[]"), int(port)))

    async def start(self) -> None:
        """Start, and wait up to the startup timeout for a version, as it may cordon machines."""
        self._module.context.are_decisions_stale = self.effects.are_decisions_stale
        thread = WorkerThread("version-store")
        self.effects.stored_version = await self._load_stored_version(thread)
        writer = VersionWriter(self._version_store, thread, lambda: self.follower.version, self.checks)
        self.effects.on_applied = writer.on_version_applied
        self.effects.apply()
        self._peers.register_channel(RULES_CHANNEL, self._on_frame)
        if self._name in self._voters:
            self._voter = self._make_voter()
            self._voter.start()
        if self._consistency_section is not None:
            self._start_consistency_checks(self._consistency_section)
        self._task = asyncio.get_running_loop().create_task(self._run())
        try:
            await asyncio.wait_for(self.has_first_answer.wait(), self._section.startup_timeout_ms / 1000)
        except TimeoutError:
            self.checks.event(
                "startup_without_version", "serves in cautious mode until a version is received"
            )

    def close(self) -> None:
        """Stop the ticks."""
        if self._task is not None:
            self._task.cancel()

    async def _load_stored_version(self, thread: WorkerThread) -> RuleVersion | None:
        try:
            outcome = await asyncio.wait_for(thread.run(self._version_store.load), LOAD_TIMEOUT_S)
        except TimeoutError:
            outcome = TimeoutError("the stored version could not be read in time")
        if isinstance(outcome, Exception):
            self.checks.event("stored_version_not_used", f"{type(outcome).__name__}: {outcome}")
        return outcome if isinstance(outcome, RuleVersion) else None

    def _make_voter(self) -> Voter:
        sources = FleetSources(
            planners=self.active_rules.planners,
            observe_machines=lambda: observe_machines(self._module),
            list_members=lambda: self._peers.view,
            is_consistent=self._is_consistent,
            recently_dead=self._peers.recently_dead,
            decommissioned_fronts=lambda: self.active_rules.decommissioned_fronts,
        )
        return Voter(
            name=self._name,
            voters=self._voters,
            storage=VoterStore(FileSystem(self._version_store.folder)),
            seed=time.time_ns() ^ self._module.config.seed,
            lease_timings=self._timings,
            election_timeouts=election_timeouts_for(self._section.lease_duration_ms),
            sources=sources,
            peers=self._peers,
            send=self._send,
            on_version=lambda message: self._on_message(self._name, message),
            checks=self.checks,
        )

    def _start_consistency_checks(self, section: ConsistencySection) -> None:
        from quincepier.net.fleet.consistency_service import ConsistencyService

        self._consistency = ConsistencyService(
            self._module, self._peers, self.effects, self.active_rules, section, self._find_leader
        )

    def _find_leader(self) -> str:
        is_leading = self._voter is not None and self._voter.is_leading
        return self._name if is_leading else self.follower.known_leader

    def _is_consistent(self, number: int) -> bool | None:
        return self._consistency.checker.is_consistent(number) if self._consistency is not None else None

    async def _run(self) -> None:
        while True:
            try:
                wait_s = self._tick()
            except Exception as error:  # noqa: BLE001 - a defect must not end the ticks
                self.checks.exception("exception_in_agreement_node", error)
                wait_s = MAX_TICK_INTERVAL_S
            await asyncio.sleep(wait_s)

    def _tick(self) -> float:
        """Perform the work that is due; return the seconds until the next tick."""
        now_ns = clock.boot()
        if self._voter is not None:
            self._voter.on_tick(now_ns)
        self.effects.apply()  # a lease may have ended while no request arrived
        outgoing = self.follower.on_tick(clock.boot(), self.effects.report)
        if outgoing is not None:
            self._send(outgoing.to, outgoing.message)
        if self._consistency is not None:
            self._consistency.on_tick(now_ns)
        next_ns = self.follower.next_report_ns
        if self._voter is not None:
            next_ns = min(next_ns, self._voter.next_tick_ns)
        wait_s = (next_ns - clock.boot()) / clock.SECOND
        return min(max(wait_s, MIN_TICK_INTERVAL_S), MAX_TICK_INTERVAL_S)

    def _send(self, to: str, message: Message) -> None:
        if to == self._name:
            asyncio.get_running_loop().call_soon(self._on_message, to, message)
        else:
            self._peers.send(to, RULES_CHANNEL, encode(message))

    def _on_frame(self, sender: str, raw: bytes) -> None:
        message = decode(raw)
        if message is None:
            self.checks.count("rule_messages_rejected")
        else:
            self._on_message(sender, message)

    def _on_message(self, sender: str, message: Message) -> None:
        now_ns = clock.boot()
        match message:
            case ReportMessage():
                self._on_report(now_ns, sender, message)
            case LeaseGranted() | NotLeader() | VersionCommitted():
                try:
                    self.follower.on_message(now_ns, sender, message)
                except RulesError as error:
                    self.checks.event("rule_version_rejected", f"from {sender}: {error.line()}")
                self._apply_adopted_version(sender)

    def _on_report(self, now_ns: int, sender: str, message: ReportMessage) -> None:
        request = message.request
        if request.report.front != sender:
            self.checks.count("rule_messages_rejected")
            return
        if self._voter is not None:
            response = self._voter.on_report(now_ns, message)
        else:
            response = NotLeader(request.token, self.follower.known_leader)
        if response is not None:
            self._send(sender, response)

    def _apply_adopted_version(self, sender: str) -> None:
        """Apply the version and the lease of the follower to the router."""
        before = self.effects.applied_number
        self.effects.apply(f"a lease by {sender}")
        number = self.effects.applied_number
        if number != before:
            log = logger.bind(event="version_adopted", number=number, by=sender)
            log.info("version {} adopted", number)
            self.checks.count("versions_adopted")
        # A version that is not a response to a report, such as one from this voter's own log, may be old.
        if not self.follower.lease.is_awaiting_first_answer():
            self.has_first_answer.set()


def _lease_timings(module: ModuleActor, section: AgreementSection) -> LeaseTimings:
    classes = module.config.settings.classes
    longest_deadline_ns = max((request_class.deadline for request_class in classes), default=clock.SECOND)
    return LeaseTimings(
        lease_ns=section.lease_duration_ms * clock.MS,
        request_interval_ns=section.report_interval_ms * clock.MS,
        max_attempt_ns=MAX_ATTEMPT_DEADLINES * longest_deadline_ns + MAX_COMMAND_DELIVERY_NS,
    )
