"""Large objects are served like the rest of their class, with sizes known and unknown, at all loads."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Iterable
from typing import Any, NamedTuple

import pytest

from quincepier.keys import stable_hash
from quincepier.lab.experiment import SECOND, Experiment, Variant
from quincepier.lab.front import Front
from quincepier.lab.front import Request as Try
from quincepier.lab.tally import START
from quincepier.lab.world import World
from quincepier.operator.reading import read_struct
from quincepier.policy import Router
from quincepier.policy.placement import Placement
from quincepier.records import Request, Upstream
from tests.rig import MS, RouterBench, attempts, make_class, make_settings

SIZES_KNOWN = {"client_kb_per_s": 4000.0}
MIN_SHARE_LOW_LOAD, MIN_SHARE_FULL_LOAD = 2 / 3, 1 / 2  # minimum for the largest, relative to their class
THIRDS, TENANTS = 3, 3
FEW_REQUESTS = 400  # with fewer requests of a class, the largest quarter is compared instead of the tenth


class RequestResult(NamedTuple):
    """A client's request, and whether one of its attempts was answered, in time or late."""

    cls: int
    object: int
    sent_at: int
    work: float
    is_answered: bool


class RecordingWorld(World):
    """A simulated deployment that records each request with its object."""

    def __init__(self, *args: Any) -> None:
        super().__init__(*args)
        self.first: list[tuple[int, int, int]] = []
        self.done: set[tuple[int, int, int]] = set()

    def _send_request(self, cls: int, obj: int, part: int, group: int, first: int, tries: int) -> None:
        if tries == 0:
            self.first.append((cls, obj, first))
        super()._send_request(cls, obj, part, group, first, tries)

    def answered(
        self, front: Front, request: Try, status: str, minted: int | None, sent: int, wait: int
    ) -> None:
        if status == "served":
            self.done.add((request.cls, request.object, request.first_sent_at))
        super().answered(front, request, status, minted, sent, wait)


def make_experiment(
    *,
    fleet: str,
    load: int,
    wanted: int = 600,
    stretch: float = 2,
    longer: int = 1,
    sends: int = 16,
    zipf: float = 1.0,
    more: str = "",
) -> str:
    """An experiment: safe, keyed and unsafe classes with heavy-tailed sizes; bids are never cached."""
    return f"""
name: sizes
seconds: 9
fleet: {{zones: 1, parents: 2, cache_sends: 8, parent_sends: {sends}, {fleet}}}
load: {{rate: {load}, retries: 1}}
{more}
classes:
  - {{name: video, share: 0.6, send_ms: {100 * longer}, wanted_ms: {wanted}, deadline_ms: 5000, worth: 2,
     objects: 400, sigma: 1.3, stretch: {stretch}, zipf: {zipf}}}
  - {{name: image, share: 0.25, send_ms: {40 * longer}, wanted_ms: 250, deadline_ms: 3000, worth: 1,
     objects: 400, sigma: 1.3, stretch: {stretch}, zipf: {zipf}}}
  - {{name: note, share: 0.1, send_ms: 30, wanted_ms: 500, deadline_ms: 3000, worth: 1.5, effect: keyed,
     objects: 400, sigma: 1.3, stretch: {stretch}, zipf: {zipf}}}
  - {{name: bid, share: 0.05, send_ms: 30, wanted_ms: 700, deadline_ms: 3000, worth: 3, effect: unsafe,
     never_kept: true, sigma: 1.3, stretch: {stretch}, zipf: {zipf}}}
"""


def run_experiment(
    text: str, settings: dict[str, Any], seeds: Iterable[int] = (1,)
) -> tuple[Experiment, list[RequestResult]]:
    experiment, rows = read_struct(text, "sizes.yaml", Experiment), list[RequestResult]()
    for seed in seeds:
        world = RecordingWorld(experiment, Variant("sizes", settings), seed)
        assert world.run().result().broken == 0
        rows += [
            RequestResult(cls, obj, first, experiment.send_time_ns(cls, obj), (cls, obj, first) in world.done)
            for cls, obj, first in world.first
        ]
    return experiment, rows


def share(rows: list[RequestResult]) -> float:
    return sum(row.is_answered for row in rows) / len(rows)


def largest(rows: list[RequestResult]) -> tuple[list[RequestResult], list[RequestResult]]:
    """The tenth of a class's requests with the largest objects (the quarter if few), and the next fifth."""
    ordered, n = sorted(rows, key=lambda row: row.work, reverse=True), len(rows)
    first = n // 10 if n >= FEW_REQUESTS else n // 4
    return ordered[:first], ordered[first : first + n // 5]


def find_underserved(text: str, settings: dict[str, Any], floor: float) -> dict[str, tuple[float, float]]:
    """Find parts of classes that are answered less than `floor` times their class, and classes below 0.5.

    Returns:
        By name of the part: its answered share, and the share that it is compared with.
    """
    experiment, rows = run_experiment(text, settings)
    found = dict[str, tuple[float, float]]()
    for n, cls in enumerate(experiment.classes):
        mine = [row for row in rows if row.cls == n]
        thirds, tenants = (
            [list[RequestResult]() for _ in range(THIRDS)],
            [list[RequestResult]() for _ in range(TENANTS)],
        )
        for row in mine:
            thirds[int((row.sent_at - START) * THIRDS / experiment.seconds / SECOND) % THIRDS].append(row)
            tenants[stable_hash(row.object, 7) % TENANTS].append(row)
        parts = dict(zip(("largest", "next"), largest(mine), strict=True))
        parts |= {f"third {t}": part for t, part in enumerate(thirds)}
        parts |= {f"tenant {t}": part for t, part in enumerate(tenants)}
        for name, part in parts.items():
            if share(part) < floor * share(mine):
                found[f"{cls.name}, {name}"] = share(part), share(mine)
        if share(mine) < 0.5:
            found[cls.name] = share(mine), 1.0
    return found


LOW_LOAD = {
    "as usual": make_experiment(fleet="fronts: 3, caches: 6", load=90),
    "no more time for large objects": make_experiment(fleet="fronts: 3, caches: 6", load=90, stretch=0),
    "objective below the transfer time": make_experiment(
        fleet="fronts: 3, caches: 6", load=90, stretch=0, wanted=50
    ),
    "many fronts, large objects": make_experiment(fleet="fronts: 20, caches: 20", load=60, longer=3),
}
FULL_LOAD = {
    "all caches full": make_experiment(fleet="fronts: 3, caches: 3", load=330, zipf=0.5),
    "few fetches": make_experiment(
        fleet="fronts: 3, caches: 4, cache_keeps: 60", load=160, sends=1, zipf=0.5
    ),
    "caches crash and become slow": make_experiment(
        fleet="fronts: 10, caches: 12",
        load=150,
        more="faults: [{at: 2, kind: crash, part: 0.3, lasts: 3}, {at: 4, kind: slow, part: 0.3, lasts: 4}]",
    ),
}


@pytest.mark.parametrize("settings", [{}, SIZES_KNOWN], ids=["sizes unknown", "sizes known"])
@pytest.mark.parametrize("name", LOW_LOAD)
def test_at_low_load_large_objects_are_served_like_the_rest(name: str, settings: dict[str, Any]) -> None:
    assert find_underserved(LOW_LOAD[name], settings, MIN_SHARE_LOW_LOAD) == {}


@pytest.mark.parametrize("name", FULL_LOAD)
def test_at_full_load_large_objects_keep_half_of_their_class_share(name: str) -> None:
    assert find_underserved(FULL_LOAD[name], {}, MIN_SHARE_FULL_LOAD) == {}


# Causes of past failures


@pytest.mark.parametrize("fronts", [1, 2, 20])
@pytest.mark.parametrize("stretch", [0.0, 0.3, 0.6])
def test_the_first_request_of_a_class_is_sent_whatever_its_stretch(stretch: float, fronts: int) -> None:
    """Guards against an initial guess of the transfer time with which an idle cache counted as saturated."""
    cls = make_class(stretch=stretch)
    bench = RouterBench(make_settings(classes=(cls,), fronts=fronts, fronts_by_zone=(0, fronts)))
    assert len(attempts(bench.send_request(1))) == 1


@pytest.mark.parametrize("seconds", [0.4, 1.0, 2.0, 4.0])
def test_a_large_object_is_sent_to_an_idle_cache_over_an_idle_link(seconds: float) -> None:
    """Many fronts judge the link by fetches: at usual latency it is not saturated, whatever the size."""
    bench = RouterBench(make_settings(fronts=20, fronts_by_zone=(0, 20)))
    kb = seconds * bench.settings.client_kb_per_s
    assert len(attempts(bench.send_request(1, size_kb=kb))) == 1


def reject_large_objects(patch: pytest.MonkeyPatch) -> None:
    plain = Placement.is_saturated

    def is_saturated_by_large(self: Placement, node: Upstream | None, req: Request) -> bool:
        return self.latency.transfer_time(req) > 300 * MS or plain(self, node, req)

    patch.setattr(Placement, "is_saturated", is_saturated_by_large)


def cancel_slow_attempts(patch: pytest.MonkeyPatch) -> None:
    """Attempts that take longer than usual are cancelled, again and again."""
    plain: Callable[[Router, int], None] = Router.check_overdue

    def cancel_slow(self: Router, delay: int) -> None:
        self.sender.cancel([a for a in self.attempts.values() if a.sent_at < self.now - 250 * MS])
        plain(self, delay)

    patch.setattr(Router, "check_overdue", cancel_slow)


@pytest.mark.parametrize(
    ("mutant", "settings"), [(reject_large_objects, SIZES_KNOWN), (cancel_slow_attempts, {})]
)
def test_a_policy_that_rejects_large_objects_is_detected(
    monkeypatch: pytest.MonkeyPatch, mutant: Callable[[pytest.MonkeyPatch], None], settings: dict[str, Any]
) -> None:
    mutant(monkeypatch)
    found = Counter(
        name.split(", ")[0] for name in find_underserved(LOW_LOAD["as usual"], settings, MIN_SHARE_LOW_LOAD)
    )
    assert found["video"]
