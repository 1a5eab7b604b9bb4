"""The agreement of one front: follower, voter and effects together, their messages and their ticks.

Every front follows; one that the section names as a voter votes too, and may lead. No request waits for
anything here: a front that hears of no leader serves on in cautious mode.
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
LOAD_TIMEOUT_S = 0.2  # that a start waits for the stored version
ATTEMPT_DEADLINES = 2  # times its class's deadline: the longest that an attempt may be open,
DELIVERY_NS = clock.SECOND  # and for so long its command may be on its way after it was given up


class AgreementNode:
    """Takes part in the agreement for one front.

    Args:
        module: The actor that owns the router.
        peers: Carries the messages.
        section: Settings.
        active_rules: What the operators' file says.
        consistency_section: Settings of the consistency checks; None without them.

    Attributes:
        active_rules: What the operators' file says.
        effects: What the version does to the router.
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
        module.overrides = self.effects  # from the first entry of the endpoint list on, which it counts
        self._version_store = VersionStore(section.folder_of(self._name))
        self._voter: Voter | None = None
        self._consistency: ConsistencyService | None = None
        self.has_first_answer = asyncio.Event()
        self._task: asyncio.Task[None] | None = None
        for voter, address in section.voters.items():
            host, _, port = address.rpartition(":")
            peers.add_address(voter, (host.strip("[]"), int(port)))

    async def start(self) -> None:
        """Take part, and wait a little for the committed version: it may say what not to send to."""
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
            self.checks.event("startup_without_version", "serves in cautious mode until one is heard")

    def close(self) -> None:
        """Take part no more."""
        if self._task is not None:
            self._task.cancel()

    async def _load_stored_version(self, thread: WorkerThread) -> RuleVersion | None:
        try:
            outcome = await asyncio.wait_for(thread.run(self._version_store.load), LOAD_TIMEOUT_S)
        except TimeoutError:
            outcome = TimeoutError("it can't be read in time")
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
        """Do what is due; return the seconds until something is due again."""
        now_ns = clock.boot()
        if self._voter is not None:
            self._voter.on_tick(now_ns)
        self.effects.apply()  # a lease may have ended with no request since
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
                self._on_followed(sender)

    def _on_report(self, now_ns: int, sender: str, message: ReportMessage) -> None:
        request = message.request
        if request.report.front != sender:
            self.checks.count("rule_messages_rejected")
            return
        if self._voter is not None:
            answer = self._voter.on_report(now_ns, message)
        else:
            answer = NotLeader(request.token, self.follower.known_leader)
        if answer is not None:
            self._send(sender, answer)

    def _on_followed(self, sender: str) -> None:
        """Put in force what the follower has learned."""
        before = self.effects.applied_number
        self.effects.apply(f"a lease by {sender}")
        number = self.effects.applied_number
        if number != before:
            log = logger.bind(event="version_adopted", number=number, by=sender)
            log.info("version {} adopted", number)
            self.checks.count("versions_adopted")
        # What was heard in passing, as from this voter's own log, may be old.
        if not self.follower.lease.is_awaiting_first_answer():
            self.has_first_answer.set()


def _lease_timings(module: ModuleActor, section: AgreementSection) -> LeaseTimings:
    classes = module.config.settings.classes
    longest_deadline_ns = max((one.deadline for one in classes), default=clock.SECOND)
    return LeaseTimings(
        lease_ns=section.lease_duration_ms * clock.MS,
        request_interval_ns=section.report_interval_ms * clock.MS,
        max_attempt_ns=ATTEMPT_DEADLINES * longest_deadline_ns + DELIVERY_NS,
    )
