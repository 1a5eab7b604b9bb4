"""Floors: each class keeps its part while the highest tier floods what the parents can fill."""

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
from tests.rig import MS, SECOND, Bench, attempts, make_class, make_settings

SEEDS = (1, 2, 3)
NEVER_UNDER = 0.3  # a class that is hardly served by those who prefer none has no floor


def flood(worths: tuple[float, float, float]) -> str:
    """Videos that caches seldom hold, over twice what the parent can send; two other classes, and bids."""
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
    """The share of each class that was served in time, over the seeds."""
    asked, good = Counter[str](), Counter[str]()
    for seed in seeds:
        experiment = read_struct(flood(worths), "flood.yaml", Experiment)
        for name, words in World(experiment, experiment.variants[0], seed).run().by_class.items():
            asked[name] += words["asked"]
            good[name] += words["served"]
    return {name: good[name] / n for name, n in asked.items()}


@pytest.fixture(scope="module")
def floors() -> dict[str, float]:
    """Half of what a module serves that prefers no class to another."""
    return {name: share / 2 for name, share in served((1, 1, 1)).items() if share >= NEVER_UNDER}


def under(floors: dict[str, float], seeds: tuple[int, ...] = SEEDS) -> set[str]:
    """The classes left under their floors where the flood is of the highest tier."""
    got = served((3, 2, 1), seeds)
    return {name for name, floor in floors.items() if got[name] < floor}


def test_each_class_keeps_its_floor_while_the_highest_tier_floods(floors: dict[str, float]) -> None:
    assert floors.keys() >= {"page", "image", "bid"}
    assert under(floors) == set()


def sheds_all(patch: pytest.MonkeyPatch) -> None:
    """The lowest tier is shed past the gate, whatever was served of it."""
    plain = Admission.hold

    def hold(self: Admission, request: Request) -> None:
        if request.tier == 2 and self.fetch_limit.is_nearly_full:
            self.shed(request)
        else:
            plain(self, request)

    patch.setattr(Admission, "hold", hold)


def highest_first(patch: pytest.MonkeyPatch) -> None:
    """What is held leaves by rank, with no shares and no floor."""

    def pop(self: FairQueue[Request], now: int, is_ready: Callable[[Request], bool]) -> Request | None:
        heads = (self._head(tier, is_ready) for tier in range(len(self.weights)))
        queue = next(filter(None, heads), None)
        if queue is None:
            return None
        request = queue[0]
        self.discard(request)
        return request

    patch.setattr(FairQueue, "pop", pop)


def refuses_bids(patch: pytest.MonkeyPatch) -> None:
    """What may not be repeated is kept out with the rest."""
    plain = Router.on_request

    def came(self: Router, e: io.RequestReceived) -> None:
        if self.settings.classes[e.cls].effect is Idempotency.UNSAFE and self.fetch_limit.is_nearly_full:
            self.context.actions.append(io.RejectRequest(e.request, 0))
        else:
            plain(self, e)

    patch.setattr(Router, "on_request", came)


@pytest.mark.parametrize(("mutant", "starved"), [(sheds_all, "image"), (refuses_bids, "bid")])
def test_a_class_that_is_starved_is_found(
    monkeypatch: pytest.MonkeyPatch, floors: dict[str, float], mutant: object, starved: str
) -> None:
    assert callable(mutant)
    mutant(monkeypatch)
    assert starved in under(floors, SEEDS[:1])


def released() -> Counter[int]:
    """What leaves a hold, by tier: a place comes free each 100 ms for four seconds, and all tiers wait."""
    classes = tuple(make_class(worth=w, on_time=60 * SECOND, deadline=90 * SECOND) for w in (3.0, 2.0, 1.0))
    bench, left = Bench(make_settings(classes=classes)), Counter[int]()
    out = [a for n in range(16) for a in attempts(bench.ask(n, obj=n))]
    for tier in (0, 1, 2):
        for n in range(60 if tier < 2 else 2):
            bench.ask(1000 * (tier + 1) + n, tier, obj=1000 * (tier + 1) + n)
    for _ in range(40):
        bench.now += 100 * MS
        bench.router.fetch_limit.limit = 16
        bench.router.latency.transfer_times.means = [0.5 * SECOND] * 3
        for freed in attempts(bench.end(out.pop(0), AttemptOutcome.OK, CacheStatus.FILLED)):
            left[freed.request // 1000 - 1] += 1
            out.append(freed)
    return left


def test_the_weighted_release_does_not_starve_the_lowest(monkeypatch: pytest.MonkeyPatch) -> None:
    left = released()
    assert left[0] > left[1] > left[2] == 2, left
    highest_first(monkeypatch)
    assert released()[2] == 0
