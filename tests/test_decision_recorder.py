"""Real decisions follow the rules or have another reason, and the router's rankings equal the rules'."""

from __future__ import annotations

import math
import random
from collections import Counter
from collections.abc import Callable
from dataclasses import replace
from typing import Any

import pytest

from quincepier.consistency import (
    DecisionInputs,
    DecisionRecorder,
    DecisionRules,
    ListedEndpoint,
    Reason,
    RouterRankingCache,
    RouterView,
    count_stale_rankings,
    decide,
    sample_keys,
)
from quincepier.interface import EndpointState, EndpointUpdate, HomeShard, UpdateScope
from quincepier.keys import stable_hash
from quincepier.lab.experiment import load
from quincepier.lab.front import Front as WorldFront
from quincepier.lab.world import World as LabWorld
from quincepier.policy.placement import Placement
from quincepier.policy.slow_start import SlowStart
from quincepier.rules import RuleVersion
from tests.rig import CACHES, PARENTS, RouterBench, attempts, machine
from tests.test_policy_properties import SITES, RuleChecker


def test_rule_decisions_equal_the_rankings_of_the_router() -> None:
    """While all endpoints are warm and idle, rankings and ranking cache of the router equal the rules'."""
    bench = RouterBench()
    machines = [node.endpoint for node in bench.router.placement.table.by_id.values()]
    endpoints = tuple(
        ListedEndpoint(f"h{m.number}", m.number, m.kind, m.zone, 0, m.size, True) for m in machines
    )
    inputs = DecisionInputs(RuleVersion(0, 0), bench.settings, endpoints, 3, "b")
    ranking_cache = RouterRankingCache(RouterView(bench.router), lambda: endpoints)
    for key in sample_keys(0, 5, 32, inputs):
        ranked = bench.router.placement.rank(
            bench.router.placement.table.caches, stable_hash(key.object, key.part)
        )
        decision = decide(inputs, key)
        assert decision.caches == tuple(node.endpoint.number for node in ranked)
        assert decision == DecisionRules(inputs, ranking_cache=ranking_cache).decide(key)
    assert ranking_cache(9, 1) is None and count_stale_rankings(RouterView(bench.router)) == 0
    cached = next(iter(bench.router.placement.rankings))
    bench.router.placement.rankings[cached] = bench.router.placement.rankings[cached][::-1]
    assert count_stale_rankings(RouterView(bench.router)) == 1


def play(world: RuleChecker, recorder: DecisionRecorder, seed: int, steps: int) -> None:
    """Run random steps of the world; the recorder explains each attempt."""
    world.router.sender.observer = recorder
    draw = random.Random(seed)
    for _ in range(steps):
        world.step(draw.randrange(12), draw.randrange(10**6), draw.randrange(200))


def record_random_run(site: str, seed: int, steps: int = 90) -> DecisionRecorder:
    world = RuleChecker(SITES[site])
    recorder = DecisionRecorder(RouterView(world.router), 1.0, seed)
    play(world, recorder, seed, steps)
    return recorder


@pytest.mark.parametrize("site", SITES)
def test_no_real_decision_is_without_a_reason(site: str) -> None:
    counts = Counter[Reason]()
    for seed in range(8):
        recorder = record_random_run(site, seed)
        assert list(recorder.unexplained) == []
        counts += recorder.count_by_reason
    assert counts.total() > 200 and counts[Reason.RULE] > counts.total() // 4
    assert {Reason.DRAINING, Reason.WARM_UP_BUDGET, Reason.EJECTED, Reason.FETCH_LIMIT} <= counts.keys()


def test_a_bad_day_in_the_laboratory_is_explained(monkeypatch: pytest.MonkeyPatch) -> None:
    """Machines crash and restart and fronts are killed; the target of each attempt still has a reason."""
    day = load("experiments/bad-day.yaml")
    start, recorders = WorldFront.start, list[DecisionRecorder]()

    def start_recorded(self: WorldFront) -> None:
        start(self)
        recorders.append(DecisionRecorder(RouterView(self.router), 0.2, 1))
        self.router.sender.observer = recorders[-1]

    monkeypatch.setattr(WorldFront, "start", start_recorded)
    LabWorld(day, day.variants[0], day.seeds[0]).run()
    counts = sum((recorder.count_by_reason for recorder in recorders), Counter[Reason]())
    assert counts.total() > 500 and Reason.EJECTED in counts and Reason.UNEXPLAINED not in counts


def test_rule_decisions_are_restricted_to_the_home_shard() -> None:
    """Objects of two tenants, each with a home shard of some of the caches."""
    world = RuleChecker(SITES["mixed"])
    shards = [HomeShard(n + 1, frozenset(CACHES[n : n + 2]), frozenset(PARENTS)) for n in range(2)]
    world.router.find_home = lambda request: shards[request.object % 2]
    recorder = DecisionRecorder(RouterView(world.router), 1.0, 1)
    play(world, recorder, seed=3, steps=150)
    assert recorder.count_by_reason[Reason.RULE] > 50 and not recorder.unexplained
    world.router.find_home = lambda request: shards[0]
    assert count_stale_rankings(RouterView(world.router)) == 0


def wrong_hash(self: Placement, nodes: list[Any], key: int, home: Any = None) -> list[Any]:
    return sorted(nodes, key=lambda n: stable_hash(key + 1, n.endpoint.number))


def by_id(self: Placement, nodes: list[Any], key: int, home: Any = None) -> list[Any]:
    return sorted(nodes, key=lambda n: int(n.endpoint.number))


ORIGINAL_RANK, FIRST_RANKINGS = Placement.rank, dict[tuple[int, int], list[Any]]()


def first_ranking(self: Placement, nodes: list[Any], key: int, home: Any = None) -> list[Any]:
    """Use the first ranking of each key forever, without endpoints that are no longer listed."""
    ranked = [n.endpoint.number for n in ORIGINAL_RANK(self, nodes, key)]
    first = FIRST_RANKINGS.setdefault((id(self), key), ranked)
    return [self.table.by_id[n] for n in first if n in self.table.by_id]


def unweighted(self: Placement, nodes: list[Any], key: int, home: Any = None) -> list[Any]:
    return sorted(nodes, key=lambda n: -math.log((stable_hash(key, n.endpoint.number) + 1) / 2**64))


def always_true(self: object, *args: object) -> bool:
    return True


MUTANTS: dict[str, tuple[type, str, Callable[..., object]]] = {
    "wrong hash": (Placement, "rank", wrong_hash),
    "order by id": (Placement, "rank", by_id),
    "stale rankings": (Placement, "rank", first_ranking),
    "sizes passed over": (Placement, "rank", unweighted),
    "an ejected endpoint is used": (Placement, "is_usable", always_true),
    "warm-up budget passed over": (SlowStart, "has_budget", always_true),
}


@pytest.mark.parametrize("name", MUTANTS)
def test_a_mutant_of_placement_is_unexplained(name: str, monkeypatch: pytest.MonkeyPatch) -> None:
    FIRST_RANKINGS.clear()
    monkeypatch.setattr(*MUTANTS[name])
    found = 0
    for seed in range(8):
        try:
            found = record_random_run("mixed", seed).count_by_reason[Reason.UNEXPLAINED]
        except AssertionError:  # the mutant also violates a rule that the world checks itself
            continue
        if found:
            break
    assert found > 0


def test_a_drained_endpoint_is_explained_and_an_unknown_request_is_not() -> None:
    bench = RouterBench()
    recorder = DecisionRecorder(RouterView(bench.router), 1.0, 1)
    [first] = attempts(bench.send_request(1))
    nodes = bench.router.placement.table.by_id
    recorder(replace(bench.router.requests[1].event, request=9), nodes[101], nodes[201])
    assert recorder.count_by_reason[Reason.UNEXPLAINED] == 1 and len(recorder.unexplained) == 1
    drained = machine(first.cache, state=EndpointState.DRAINING)
    bench.handle(EndpointUpdate(UpdateScope.CHANGES, (drained,)))
    bench.router.sender.observer = recorder
    bench.send_request(2)
    assert [record.reason for record in recorder.records] == [Reason.UNEXPLAINED, Reason.DRAINING]
    record = recorder.records[-1]
    assert record.first_by_rules is not None
    assert record.first_by_rules.endpoint == first.cache != record.target.endpoint
