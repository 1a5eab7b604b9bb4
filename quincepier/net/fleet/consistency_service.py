"""Runs the consistency checker of a front: exchanges its messages and acts on its findings.

A front whose decisions diverge enters cautious mode until a round finds it consistent again. This module is
imported only if the operators' file has the section `consistency`.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from loguru import logger

from quincepier import __version__, clock
from quincepier import interface as io
from quincepier.consistency.checker import CheckerAction, ConsistencyChecker, SendMessage
from quincepier.consistency.decision import DecisionInputs, HomeShardLookup, ListedEndpoint
from quincepier.consistency.decision_recorder import DecisionRecorder
from quincepier.consistency.explain import DecisionRecord
from quincepier.consistency.findings import Finding
from quincepier.consistency.router_rankings import RouterRankingCache, count_stale_rankings
from quincepier.consistency.router_view import RouterView
from quincepier.consistency.section import ConsistencySection
from quincepier.interface import EndpointState
from quincepier.net.fleet.active_rules import ActiveRules
from quincepier.net.fleet.messages import CONSISTENCY_CHANNEL
from quincepier.net.fleet.version_effects import VersionEffects
from quincepier.net.module import ModuleActor
from quincepier.net.peers import PeerNetwork
from quincepier.rules import RuleVersion

DIVERGED_REASON = "its decisions diverge from the majority"
CONSISTENT_REASON = "its decisions match the majority again"
MAX_RECORD_LENGTH = 200  # characters of a decision record in a log event


@dataclass(slots=True, frozen=True)
class _InputsIdentity:
    """Identifies the inputs that the checker holds; if it changes, the checker needs new inputs."""

    list_revision: int
    rule_version: int
    rule_version_digest: str
    operators_file: int


class ConsistencyService:
    """Runs the checker and the decision recorder of one front."""

    def __init__(
        self,
        module: ModuleActor,
        peers: PeerNetwork,
        effects: VersionEffects,
        rules: ActiveRules,
        section: ConsistencySection,
        find_leader: Callable[[], str],
    ) -> None:
        """Register with the router and the peer network.

        Args:
            module: The actor that owns the router.
            peers: Sends and receives the messages.
            effects: Supplies the adopted rule version and applies cautious mode.
            rules: Supplies tenants and placements.
            section: Settings of the consistency checks.
            find_leader: Returns the name of the leader; empty without a leader.
        """
        self._module = module
        self._peers = peers
        self._effects = effects
        self._rules = rules
        self._find_leader = find_leader
        self._endpoints: tuple[ListedEndpoint, ...] = ()
        self._inputs_identity: _InputsIdentity | None = None
        self._view: tuple[object, ...] = ()
        seed = module.config.seed
        self._router = RouterView(module.router)
        ranking_cache = RouterRankingCache(self._router, lambda: self._endpoints)
        self.checker = ConsistencyChecker(
            module.config.name, seed, section, clock.boot(), ranking_cache=ranking_cache
        )
        module.router.sender.observer = DecisionRecorder(
            self._router, section.recorded_share, seed, self._on_unexplained_decision
        )
        peers.register_channel(CONSISTENCY_CHANNEL, self.on_message)

    def on_tick(self, now_ns: int) -> None:
        """Pass changed views and inputs to the checker and perform the work that is due."""
        self._update_view()
        self._update_inputs()
        if now_ns >= self.checker.next_tick_ns:
            if stale := count_stale_rankings(self._router):
                self.checker.add_router_faults(stale_rankings=stale)
            self._perform(self.checker.on_tick(now_ns))

    def on_message(self, sender: str, raw: bytes) -> None:
        """Handle a message from another front."""
        now_ns = clock.boot()
        self._perform(self.checker.on_message(now_ns, sender, raw))
        if self.checker.next_tick_ns <= now_ns:
            self._perform(self.checker.on_tick(now_ns))

    def _update_view(self) -> None:
        members = self._peers.view
        leader = self._find_leader()
        if (members, leader) != self._view:
            self._view = (members, leader)
            self.checker.on_view_changed(members, leader)

    def _update_inputs(self) -> None:
        version = self._effects.version
        known = self._inputs_identity
        # The digest covers the whole version, so it is computed only once per version number.
        is_known = known is not None and known.rule_version == version.number
        digest = known.rule_version_digest if known is not None and is_known else version.digest
        identity = _InputsIdentity(
            self._effects.list_revision, version.number, digest, self._rules.file_count
        )
        if identity != known:
            self._inputs_identity = identity
            self._take_inputs(version)

    def _take_inputs(self, version: RuleVersion) -> None:
        entries = sorted(self._module.directory.entry_by_host.values(), key=lambda entry: entry.record.host)
        self._endpoints = tuple(_listed_endpoint(entry.record.host, entry.machine) for entry in entries)
        settings = self._module.config.settings
        self.checker.on_inputs_changed(
            DecisionInputs(
                version,
                settings,
                self._endpoints,
                self._effects.list_revision,
                __version__,
                self._home_shard_lookup(version),
            )
        )

    def _home_shard_lookup(self, version: RuleVersion) -> HomeShardLookup | None:
        tenants = self._rules.tenants
        placements = self._rules.placement_table(version, False, False)
        if tenants is None or placements is None:
            return None
        number_by_tenant = {name: number for number, name in enumerate(tenants.names)}

        def find_home_shard(tenant: str, request: io.RequestReceived) -> io.HomeShard | None:
            request.tenant = number_by_tenant.get(tenant, 0)
            return placements(request)

        return find_home_shard

    def _perform(self, actions: list[CheckerAction]) -> None:
        for action in actions:
            if isinstance(action, SendMessage):
                self._peers.send(action.to, CONSISTENCY_CHANNEL, action.data)
            else:
                self._log_finding(action)
        divergence_reason = DIVERGED_REASON if self.checker.is_cautious else ""
        if divergence_reason != self._effects.divergence_reason:
            self._effects.divergence_reason = divergence_reason
            self._effects.apply(CONSISTENT_REASON)

    def _log_finding(self, finding: Finding) -> None:
        event = "front_diverged" if finding.is_fault else "front_build_differs"
        self._module.checks.count(event)
        log = logger.bind(
            event=event,
            front=finding.front,
            kind=finding.kind.name.lower(),
            rule_version=finding.rule_version,
            round_id=finding.round_id,
            item=finding.value.item,
            field=finding.value.field,
        )
        log.log("WARNING" if finding.is_fault else "INFO", "{}", finding.to_text())

    def _on_unexplained_decision(self, record: DecisionRecord) -> None:
        self.checker.add_router_faults(unexplained_decisions=1)
        self._module.checks.event("unexplained_decision", str(record)[:MAX_RECORD_LENGTH])


def _listed_endpoint(host: str, machine: io.Endpoint) -> ListedEndpoint:
    is_ready = machine.state is EndpointState.READY
    return ListedEndpoint(
        host, machine.number, machine.kind, machine.zone, machine.cell, machine.size, is_ready
    )
