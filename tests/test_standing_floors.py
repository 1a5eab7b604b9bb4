"""Minimum service: each class keeps its share while the highest tier overloads the parents."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable

import pytest

from quincepier import interface as io
from quincepier.interface import AttemptOutcome, CacheStatus, Idempotency
from quincepier.lab.experiment import Experiment
from quincepier.lab.world import World
from quincepier.operator.reading import read_struct
from quincepier.policy import Router
from quincepier.policy.admission import Admission
from quincepier.records import Request
from quincepier.structures import FairQueue
from tests.rig import MS, SECOND, RouterBench, attempts, make_class, make_settings

SEEDS = (1, 2, 3)
MIN_SERVED_SHARE = 0.3  # a class that is served less than this without priorities has no minimum


def flood(worths: tuple[float, float, float]) -> str:
    """Videos that are seldom cached, at twice the parent's capacity; two other classes, and bids."""
    video, page, image = worths
    return f"""
name: flood
seconds: 8
fleet: {{fronts: 2, caches: 2, parents: 1, zones: 1, cache_sends: 8, parent_sends: 1, cache_keeps: 600}}
load: {{rate: 130, retries: 1}}
classes:
  - {{name: video, share: 0.84, send_ms: 60, wanted_ms: 500, deadline_ms: 3000, worth: {video},
     objects: 100000, zipf: 0.9}}
  - {{name: page, share: 0.07, send_ms: 30, wanted_ms: 400, deadline_ms: 2000, worth: {page}, objects: 300}}
  - {{name: image, share: 0.07, send_ms: 20, wanted_ms: 400, deadline_ms: 2000, worth: {image}, objects: 300}}
  - {{name: bid, share: 0.02, send_ms: 5, wanted_ms: 700, deadline_ms: 3000, worth: 3, effect: unsafe,
     never_kept: true}}
"""


def served(worths: tuple[float, float, float], seeds: tuple[int, ...] = SEEDS) -> dict[str, float]:
    """The share of the requests of each class that were served in time, over all seeds."""
    requests, good = Counter[str](), Counter[str]()
    for seed in seeds:
        experiment = read_struct(flood(worths), "flood.yaml", Experiment)
        for name, words in World(experiment, experiment.variants[0], seed).run().by_class.items():
            requests[name] += words["asked"]
            good[name] += words["served"]
    return {name: good[name] / n for name, n in requests.items()}


@pytest.fixture(scope="module")
def floors() -> dict[str, float]:
    """Half of the share of each class that is served if all classes have the same worth."""
    return {name: share / 2 for name, share in served((1, 1, 1)).items() if share >= MIN_SERVED_SHARE}


def find_underserved(floors: dict[str, float], seeds: tuple[int, ...] = SEEDS) -> set[str]:
    """The classes that are served less than their minimum while the highest tier overloads the parents."""
    shares = served((3, 2, 1), seeds)
    return {name for name, floor in floors.items() if shares[name] < floor}


def test_each_class_keeps_its_floor_while_the_highest_tier_floods(floors: dict[str, float]) -> None:
    assert floors.keys() >= {"page", "image", "bid"}
    assert find_underserved(floors) == set()


def shed_lowest_tier(patch: pytest.MonkeyPatch) -> None:
    """The lowest tier is always shed near the fetch limit, and never held."""
    plain = Admission.hold

    def hold(self: Admission, request: Request) -> None:
        if request.tier == 2 and self.fetch_limit.is_nearly_full:
            self.shed(request)
        else:
            plain(self, request)

    patch.setattr(Admission, "hold", hold)


def release_highest_tier_first(patch: pytest.MonkeyPatch) -> None:
    """Held requests are released strictly by tier, without weights or a minimum rate."""

    def pop(self: FairQueue[Request], now: int, is_ready: Callable[[Request], bool]) -> Request | None:
        heads = (self._head(tier, is_ready) for tier in range(len(self.weights)))
        queue = next(filter(None, heads), None)
        if queue is None:
            return None
        request = queue[0]
        self.discard(request)
        return request

    patch.setattr(FairQueue, "pop", pop)


def reject_bids(patch: pytest.MonkeyPatch) -> None:
    """Unsafe requests are rejected near the fetch limit as well."""
    plain = Router.on_request

    def reject_unsafe(self: Router, e: io.RequestReceived) -> None:
        if (
            self.settings.classes[e.class_index].effect is Idempotency.UNSAFE
            and self.fetch_limit.is_nearly_full
        ):
            self.context.actions.append(io.RejectRequest(e.request, 0))
        else:
            plain(self, e)

    patch.setattr(Router, "on_request", reject_unsafe)


@pytest.mark.parametrize(("mutant", "starved"), [(shed_lowest_tier, "image"), (reject_bids, "bid")])
def test_a_starved_class_is_detected(
    monkeypatch: pytest.MonkeyPatch, floors: dict[str, float], mutant: object, starved: str
) -> None:
    assert callable(mutant)
    mutant(monkeypatch)
    assert starved in find_underserved(floors, SEEDS[:1])


def count_releases_by_tier() -> Counter[int]:
    """Releases by tier while all tiers wait and a fetch slot becomes free every 100 ms for four seconds."""
    classes = tuple(make_class(worth=w, on_time=60 * SECOND, deadline=90 * SECOND) for w in (3.0, 2.0, 1.0))
    bench, counts = RouterBench(make_settings(classes=classes)), Counter[int]()
    outstanding = [a for n in range(16) for a in attempts(bench.send_request(n, obj=n))]
    for tier in (0, 1, 2):
        for n in range(60 if tier < 2 else 2):
            bench.send_request(1000 * (tier + 1) + n, tier, obj=1000 * (tier + 1) + n)
    for _ in range(40):
        bench.now += 100 * MS
        bench.router.fetch_limit.limit = 16
        bench.router.latency.transfer_times.means = [0.5 * SECOND] * 3
        for released in attempts(
            bench.complete_attempt(outstanding.pop(0), AttemptOutcome.OK, CacheStatus.FILLED)
        ):
            counts[released.request // 1000 - 1] += 1
            outstanding.append(released)
    return counts


def test_the_weighted_release_does_not_starve_the_lowest(monkeypatch: pytest.MonkeyPatch) -> None:
    counts = count_releases_by_tier()
    assert counts[0] > counts[1] > counts[2] == 2, counts
    release_highest_tier_first(monkeypatch)
    assert count_releases_by_tier()[2] == 0
