"""Whether this front decides as the others do: the checker's words between fronts, and what follows.

A front that is found to decide otherwise goes to its cautious set until a round finds it alike again.
Imported only where the operators' file has the section `consistency`.
"""

from __future__ import annotations

from collections.abc import Callable

from loguru import logger

from quincepier import __version__, clock
from quincepier import interface as io
from quincepier.consistency.checker import CheckerAction, ConsistencyChecker, SendMessage
from quincepier.consistency.decision import DecisionInputs, HomeOf, ListedEndpoint
from quincepier.consistency.decision_recorder import DecisionRecorder, module_memory, stale_rankings
from quincepier.consistency.explain import DecisionRecord
from quincepier.consistency.findings import Finding
from quincepier.consistency.section import ConsistencySection
from quincepier.interface import EndpointState
from quincepier.net.fleet.active_rules import ActiveRules
from quincepier.net.fleet.messages import ALIKE
from quincepier.net.fleet.version_effects import VersionEffects
from quincepier.net.module import ModuleActor
from quincepier.net.peers import PeerNetwork
from quincepier.rules import RuleVersion

DOUBT = "it decides otherwise than most"


class ConsistencyService:
    def __init__(
        self,
        module: ModuleActor,
        peers: PeerNetwork,
        effects: VersionEffects,
        rules: ActiveRules,
        section: ConsistencySection,
        leader: Callable[[], str],
    ) -> None:
        self.module, self.peers, self.effects, self.rules = module, peers, effects, rules
        self.checks, self.leader = module.checks, leader
        seed = module.config.seed
        self.lines: tuple[ListedEndpoint, ...] = ()
        memory = module_memory(module.router, lambda: self.lines)
        self.checker = ConsistencyChecker(module.config.name, seed, section, clock.boot(), memory=memory)
        self.witness = DecisionRecorder(module.router, section.witnessed, seed, self._breach)
        module.router.witness = self.witness
        self.had = (-1, -1, "", -1)  # revision of the list, version and its digest, file
        self.viewed: tuple[object, ...] = ()
        peers.register_channel(ALIKE, self.heard)

    def turn(self, now: int) -> None:
        """At each look of the fleet at what is due."""
        view = (self.peers.view, self.leader())
        if view != self.viewed:
            self.viewed = view
            self.checker.view(*view)
        version = self.effects.version
        digest = version.digest if version.number != self.had[1] else self.had[2]
        had = (self.effects.revision, version.number, digest, self.rules.taken)
        if had != self.had:
            self.had = had
            self._have(version)
        if now >= self.checker.wake:
            if stale := stale_rankings(self.module.router):
                self.checker.count(stale=stale)
            self._perform(self.checker.tick(now))

    def _have(self, version: RuleVersion) -> None:
        entries = sorted(self.module.directory.entries.values(), key=lambda e: e.record.host)
        self.lines = tuple(
            ListedEndpoint(
                e.record.host, m.cache, m.kind, m.zone, m.cell, m.size, m.state is EndpointState.READY
            )
            for e in entries
            for m in (e.machine,)
        )
        settings = self.module.config.settings
        homes = self._homes(version, settings)
        self.checker.have(
            DecisionInputs(version, settings, self.lines, self.effects.revision, __version__, homes)
        )

    def _homes(self, version: RuleVersion, settings: io.Settings) -> HomeOf | None:
        tenants, homes = self.rules.tenants, self.rules.homes(version, False, False)
        if tenants is None or homes is None:
            return None
        numbers = {name: n for n, name in enumerate(tenants.names)}

        def home(tenant: str, e: io.RequestReceived) -> io.HomeShard | None:
            e.tenant = numbers.get(tenant, 0)
            return homes(e)

        return home

    def heard(self, sender: str, raw: bytes) -> None:
        now = clock.boot()
        self._perform(self.checker.said(now, sender, raw))
        if self.checker.wake <= now:
            self._perform(self.checker.tick(now))

    def _perform(self, out: list[CheckerAction]) -> None:
        for one in out:
            if isinstance(one, SendMessage):
                self.peers.send(one.to, ALIKE, one.data)
            else:
                self._found(one)
        doubt = DOUBT if self.checker.cautious else ""
        if doubt != self.effects.doubt:
            self.effects.doubt = doubt
            self.effects.apply("it decides as most do again")

    def _found(self, finding: Finding) -> None:
        what = "fronts differ" if finding.fault else "a front is behind"
        self.checks.count(what)
        told = logger.bind(event=what, front=finding.front, kind=finding.kind.value, number=finding.number)
        told.log("WARNING" if finding.fault else "INFO", "{}: {}", what, finding.line())

    def _breach(self, account: DecisionRecord) -> None:
        self.checker.count(breaches=1)
        self.checks.event("decision without a reason", str(account)[:200])
