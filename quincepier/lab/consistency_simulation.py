"""Simulation of many fronts' consistency checkers in virtual time.

Includes message loss, restarts, partitions and rollouts. The same seed gives the same run. Nothing here makes
decisions for a front.
"""

from __future__ import annotations

import heapq
import math
import random
import time
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, replace
from typing import Any

import msgspec

from quincepier import interface as io
from quincepier.consistency import (
    STANDARD_ARITHMETIC,
    Arithmetic,
    ConsistencyChecker,
    ConsistencySection,
    DecisionInputs,
    Finding,
    ListedEndpoint,
    RankingCache,
    SendMessage,
)
from quincepier.consistency.findings import LAGGING_KINDS
from quincepier.keys import stable_hash
from quincepier.rules import RuleVersion

MS = 1_000_000
SECOND = 1000 * MS
MAX_LATENCY_NS = 2 * MS  # greatest latency of a message
SLICE_INTERVAL_NS = 5 * MS  # between two slices of a front's work
ORIGIN_NUMBER = 999


def make_endpoint_list(
    zones: int, caches_per_zone: int, parents: int, first_cache: int = 0
) -> tuple[ListedEndpoint, ...]:
    """Make an endpoint list of caches in zones 1 to `zones`, and parents and one origin in zone 0."""
    caches = [
        ListedEndpoint(f"s-{zone}-{n}", stable_hash(zone, n) & 0xFFFFFFFF, 0, zone, n % 8, 30.0 + n % 3, True)
        for zone in range(1, zones + 1)
        for n in range(first_cache, first_cache + caches_per_zone)
    ]
    upper = [
        ListedEndpoint(f"p-{n}", stable_hash(77, n) & 0xFFFFFFFF, 1, 0, n, 90.0, True) for n in range(parents)
    ]
    return (*caches, *upper, ListedEndpoint("o-1", ORIGIN_NUMBER, 2, 0, 0, 90.0, True))


@dataclass(slots=True)
class PublishedState:
    """The published inputs of decisions; each front adopts them after its own delay."""

    rule_version: RuleVersion
    endpoints: tuple[ListedEndpoint, ...]
    list_revision: int


@dataclass(slots=True, frozen=True)
class ReportedFinding:
    """A finding with the time of its report and the reporting collector."""

    at_ns: int
    collector: str
    finding: Finding


class SimulatedFront:
    """A front with its checker; tests inject faults by its attributes."""

    def __init__(self, fleet: SimulatedFleet, name: str) -> None:
        self.name = name
        self.is_alive = False
        self.inputs: DecisionInputs | None = None
        self.arithmetic = STANDARD_ARITHMETIC
        self.build = "build-1"
        self.settings = fleet.settings
        self.corrupt: Callable[[DecisionInputs], DecisionInputs] = lambda inputs: inputs
        self.ranking_cache: RankingCache = lambda zone, key_hash: None
        self.list_delay_ns = 0  # additional delay until an endpoint list is adopted
        self._fleet = fleet
        self._starts = 0

    def start(self) -> None:
        """Start or restart with the published state."""
        fleet = self._fleet
        self._starts += 1
        self.is_alive = True
        seed = fleet.random.getrandbits(32)
        self.checker = ConsistencyChecker(
            self.name, seed, fleet.section, fleet.now_ns, self.arithmetic, self.ranking_cache
        )
        published = fleet.published
        self.adopt(
            DecisionInputs(
                published.rule_version,
                self.settings,
                published.endpoints,
                published.list_revision,
                self.build,
            )
        )
        self.update_view()
        self._tick(self._starts)

    def adopt(self, inputs: DecisionInputs) -> None:
        """Use these inputs from now on, as changed by a fault that corrupts them."""
        self.inputs = inputs
        self.checker.on_inputs_changed(self.corrupt(inputs))

    def update_view(self) -> None:
        """Report the visible members and leader to the checker."""
        self.checker.on_view_changed(self._fleet.visible_members(self), self._fleet.visible_leader(self))

    def on_message(self, sender: str, raw: bytes) -> None:
        """Handle a received message."""
        if self.is_alive:
            self._perform(self.checker.on_message, self._fleet.now_ns, sender, raw)
            self._continue_work(self._starts)

    def _tick(self, start: int) -> None:
        if self.is_alive and start == self._starts:
            now_ns = self._fleet.now_ns
            self._perform(self.checker.on_tick, now_ns)
            delay_ns = max(self.checker.next_tick_ns - now_ns, SLICE_INTERVAL_NS)
            self._fleet.schedule(delay_ns, self._tick, start)

    def _continue_work(self, start: int) -> None:
        """Run slices of work while one is due."""
        now_ns = self._fleet.now_ns
        if self.is_alive and start == self._starts and self.checker.next_tick_ns <= now_ns:
            self._perform(self.checker.on_tick, now_ns)
            self._fleet.schedule(SLICE_INTERVAL_NS, self._continue_work, start)

    def _perform(self, handler: Callable[..., Any], *arguments: Any) -> None:
        began_ns = time.process_time_ns() if self._fleet.measures_cpu else 0
        actions = handler(*arguments)
        if self._fleet.measures_cpu:
            self._fleet.cpu_ns[self.name] += time.process_time_ns() - began_ns
        for action in actions:
            if isinstance(action, SendMessage):
                self._fleet.send(self, action.to, action.data)
            else:
                self._fleet.findings.append(ReportedFinding(self._fleet.now_ns, self.name, action))


class SimulatedFleet:
    """A number of fronts with their network and virtual time; the first front leads."""

    def __init__(
        self,
        count: int,
        seed: int,
        settings: io.Settings,
        section: ConsistencySection | None = None,
        endpoints: tuple[ListedEndpoint, ...] | None = None,
        rule_version: RuleVersion | None = None,
        loss_probability: float = 0.0,
        measures_cpu: bool = False,
    ) -> None:
        """Make the fleet; `measures_cpu` counts CPU time by front, which is not reproducible."""
        self.now_ns = SECOND
        self.random = random.Random(seed)
        self.settings = settings
        self.section = section or ConsistencySection()
        self.measures_cpu = measures_cpu
        endpoints = endpoints or make_endpoint_list(2, 6, 2)
        self.published = PublishedState(rule_version or RuleVersion(1, 1), endpoints, 10)
        self.bytes_sent = Counter[str]()
        self.cpu_ns = Counter[str]()
        self.findings: list[ReportedFinding] = []
        self.fronts = [SimulatedFront(self, f"f{n}") for n in range(count)]
        self.front_by_name = {front.name: front for front in self.fronts}
        self.leader = "f0"
        self.max_jitter_ns = 0  # added to the latency of each message, evenly distributed
        self._loss_probability = loss_probability
        self._isolated: frozenset[str] = frozenset()  # fronts that are partitioned from the others
        self._events: list[tuple[int, int, Callable[..., None], tuple[Any, ...]]] = []  # a heap, by time
        self._scheduled = 0

    def schedule(self, delay_ns: int, handler: Callable[..., None], *arguments: Any) -> None:
        """Call a handler after a delay; handlers due at the same time run in the order of scheduling."""
        self._scheduled += 1
        heapq.heappush(self._events, (self.now_ns + delay_ns, self._scheduled, handler, arguments))

    def run(self, duration_ns: int) -> None:
        """Advance virtual time."""
        until_ns = self.now_ns + duration_ns
        while self._events and self._events[0][0] <= until_ns:
            self.now_ns, _, handler, arguments = heapq.heappop(self._events)
            handler(*arguments)
        self.now_ns = until_ns

    def start(self) -> None:
        """Start all fronts."""
        for front in self.fronts:
            front.start()
        self._update_views()

    def visible_members(self, front: SimulatedFront) -> list[str]:
        """Return the running fronts on the same side of a partition."""
        side = front.name in self._isolated
        return [f.name for f in self.fronts if f.is_alive and (f.name in self._isolated) == side]

    def visible_leader(self, front: SimulatedFront) -> str:
        """Return the leader if it is on the same side of a partition, else an empty string."""
        return self.leader if (self.leader in self._isolated) == (front.name in self._isolated) else ""

    def send(self, sender: SimulatedFront, to: str, data: bytes) -> None:
        """Deliver a message after its latency, unless it is lost or blocked by a partition."""
        self.bytes_sent[sender.name] += len(data)
        is_cut = (sender.name in self._isolated) != (to in self._isolated)
        if is_cut or self.random.random() < self._loss_probability:
            return
        base_ns = MAX_LATENCY_NS * self.random.uniform(0.5, 1)
        latency_ns = int(base_ns + self.max_jitter_ns * self.random.random())
        self.schedule(latency_ns, self.front_by_name[to].on_message, sender.name, data)

    def roll_out_version(self, spread_ns: int) -> None:
        """Publish the next rule version, which each front adopts within `spread_ns`."""
        previous = self.published.rule_version
        self.published.rule_version = msgspec.structs.replace(previous, number=previous.number + 1)
        for front in self.fronts:
            delay_ns = self.random.randrange(spread_ns)
            self.schedule(delay_ns, self._adopt_version, front, self.published.rule_version)

    def publish_list(self, spread_ns: int, endpoints: tuple[ListedEndpoint, ...]) -> None:
        """Publish the next endpoint list, which each front adopts within `spread_ns`."""
        self.published.endpoints = endpoints
        self.published.list_revision += 1
        for front in self.fronts:
            delay_ns = self.random.randrange(spread_ns) + front.list_delay_ns
            self.schedule(delay_ns, self._adopt_list, front, endpoints, self.published.list_revision)

    def partition(self, names: frozenset[str]) -> None:
        """Partition these fronts from the others; an empty set ends the partition."""
        self._isolated = names
        self._update_views()

    def restart(self, front: SimulatedFront, downtime_ns: int) -> None:
        """Kill a front and restart it after `downtime_ns`."""
        front.is_alive = False
        self._update_views()
        self.schedule(downtime_ns, self._start_again, front)

    def divergence_findings(self) -> list[Finding]:
        """Return the findings that the lag of a rollout does not explain."""
        return [r.finding for r in self.findings if r.finding.kind not in LAGGING_KINDS]

    def _update_views(self) -> None:
        for front in self.fronts:
            if front.is_alive:
                front.update_view()

    def _start_again(self, front: SimulatedFront) -> None:
        if not front.is_alive:
            front.start()
            self._update_views()

    def _adopt_version(self, front: SimulatedFront, rule_version: RuleVersion) -> None:
        inputs = front.inputs
        if front.is_alive and inputs is not None and inputs.rule_version.number < rule_version.number:
            front.adopt(replace(inputs, rule_version=rule_version))

    def _adopt_list(
        self, front: SimulatedFront, endpoints: tuple[ListedEndpoint, ...], list_revision: int
    ) -> None:
        inputs = front.inputs
        if front.is_alive and inputs is not None and inputs.list_revision < list_revision:
            front.adopt(replace(inputs, endpoints=endpoints, list_revision=list_revision))


def arithmetic_with_other_seed() -> Arithmetic:
    """Return arithmetic whose hash function uses another seed."""
    return Arithmetic(lambda *numbers: stable_hash(1, *numbers), STANDARD_ARITHMETIC.score)


def arithmetic_with_other_float_order() -> Arithmetic:
    """Return arithmetic that computes the score in another order (ln u as a difference): last bits differ."""
    return Arithmetic(
        stable_hash, lambda hash_value, weight: (64 * math.log(2) - math.log(hash_value + 1)) * (1 / weight)
    )
