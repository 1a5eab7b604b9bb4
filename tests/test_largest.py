"""The largest objects are answered as the rest of their class is, told or not, on quiet days and full."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Iterable
from typing import Any, NamedTuple

import pytest

from quincepier.keys import mix
from quincepier.lab.experiment import SECOND, Experiment, Variant
from quincepier.lab.front import Front
from quincepier.lab.front import Request as Try
from quincepier.lab.tally import START
from quincepier.lab.world import World
from quincepier.operator.reading import read_struct
from quincepier.policy import Router
from quincepier.policy.placement import Placement
from quincepier.records import Request, Upstream
from tests.rig import MS, Bench, attempts, make_class, make_settings

TOLD = {"client_kb_per_s": 4000.0}
CALM, OTHER = 2 / 3, 1 / 2  # of their class's answered share, for the largest
THIRDS, TENANTS = 3, 3
FEW = 400  # requests of a class, under which the largest quarter counts for the largest tenth


class Row(NamedTuple):
    """A client's request, and whether one of its tries was answered, in time or late."""

    cls: int
    object: int
    first: int
    work: float
    answered: bool


class Counted(World):
    """A deployment that remembers each request by its object."""

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


def day(
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
    """Three classes of each effect with sizes of a heavy tail, and bids that are never kept."""
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


def played(text: str, settings: dict[str, Any], seeds: Iterable[int] = (1,)) -> tuple[Experiment, list[Row]]:
    experiment, rows = read_struct(text, "sizes.yaml", Experiment), list[Row]()
    for seed in seeds:
        world = Counted(experiment, Variant("sizes", settings), seed)
        assert world.run().result().broken == 0
        rows += [
            Row(cls, obj, first, experiment.send_time_ns(cls, obj), (cls, obj, first) in world.done)
            for cls, obj, first in world.first
        ]
    return experiment, rows


def share(rows: list[Row]) -> float:
    return sum(row.answered for row in rows) / len(rows)


def largest(rows: list[Row]) -> tuple[list[Row], list[Row]]:
    """The tenth of a class's requests with the largest objects (of few the quarter); the next fifth."""
    ordered, n = sorted(rows, key=lambda row: row.work, reverse=True), len(rows)
    first = n // 10 if n >= FEW else n // 4
    return ordered[:first], ordered[first : first + n // 5]


def under(text: str, settings: dict[str, Any], floor: float) -> dict[str, tuple[float, float]]:
    """Which part of a class is answered under that part of the class's share; a class under half of all."""
    experiment, rows = played(text, settings)
    found = dict[str, tuple[float, float]]()
    for n, cls in enumerate(experiment.classes):
        mine = [row for row in rows if row.cls == n]
        thirds, tenants = [list[Row]() for _ in range(THIRDS)], [list[Row]() for _ in range(TENANTS)]
        for row in mine:
            thirds[int((row.first - START) * THIRDS / experiment.seconds / SECOND) % THIRDS].append(row)
            tenants[mix(row.object, 7) % TENANTS].append(row)
        parts = dict(zip(("largest", "next"), largest(mine), strict=True))
        parts |= {f"third {t}": part for t, part in enumerate(thirds)}
        parts |= {f"tenant {t}": part for t, part in enumerate(tenants)}
        for name, part in parts.items():
            if share(part) < floor * share(mine):
                found[f"{cls.name}, {name}"] = share(part), share(mine)
        if share(mine) < 0.5:
            found[cls.name] = share(mine), 1.0
    return found


QUIET = {
    "as usual": day(fleet="fronts: 3, caches: 6", load=90),
    "nothing more for large ones": day(fleet="fronts: 3, caches: 6", load=90, stretch=0),
    "wanted sooner than it can be sent": day(fleet="fronts: 3, caches: 6", load=90, stretch=0, wanted=50),
    "many fronts, large objects": day(fleet="fronts: 20, caches: 20", load=60, longer=3),
}
FULL = {
    "all caches full": day(fleet="fronts: 3, caches: 3", load=330, zipf=0.5),
    "few fills": day(fleet="fronts: 3, caches: 4, cache_keeps: 60", load=160, sends=1, zipf=0.5),
    "caches crash and grow slow": day(
        fleet="fronts: 10, caches: 12",
        load=150,
        more="faults: [{at: 2, kind: crash, part: 0.3, lasts: 3}, {at: 4, kind: slow, part: 0.3, lasts: 4}]",
    ),
}


@pytest.mark.parametrize("told", [{}, TOLD], ids=["untold", "told"])
@pytest.mark.parametrize("name", QUIET)
def test_on_a_quiet_day_the_largest_are_answered_like_the_rest(name: str, told: dict[str, Any]) -> None:
    assert under(QUIET[name], told, CALM) == {}


@pytest.mark.parametrize("name", FULL)
def test_under_pressure_the_largest_keep_half_of_their_class(name: str) -> None:
    assert under(FULL[name], {}, OTHER) == {}


# What did it


@pytest.mark.parametrize("fronts", [1, 2, 20])
@pytest.mark.parametrize("stretch", [0.0, 0.3, 0.6])
def test_the_first_of_a_class_is_sent_whatever_it_stands(stretch: float, fronts: int) -> None:
    """No sending time was seen yet: it counts as what is wanted, and an idle cache was crowded by that."""
    cls = make_class(stretch=stretch)
    bench = Bench(make_settings(classes=(cls,), fronts=fronts, fronts_by_zone=(0, fronts)))
    assert len(attempts(bench.ask(1))) == 1


@pytest.mark.parametrize("seconds", [0.4, 1.0, 2.0, 4.0])
def test_a_large_object_is_sent_to_an_idle_cache_over_an_idle_link(seconds: float) -> None:
    """Many fronts judge the link by fills alone: as usual is not full, however long the object takes."""
    bench = Bench(make_settings(fronts=20, fronts_by_zone=(0, 20)))
    kb = seconds * bench.settings.client_kb_per_s
    assert len(attempts(bench.ask(1, size_kb=kb))) == 1


def refuses_large(patch: pytest.MonkeyPatch) -> None:
    plain = Placement.is_crowded

    def crowded(self: Placement, node: Upstream | None, req: Request) -> bool:
        return self.latency.transfer_time(req) > 300 * MS or plain(self, node, req)

    patch.setattr(Placement, "is_crowded", crowded)


def slow_is_silent(patch: pytest.MonkeyPatch) -> None:
    """What takes longer than usual is called off, and again."""
    plain: Callable[[Router, int], None] = Router.check_overdue

    def watch(self: Router, gap: int) -> None:
        self.sender.cancel([a for a in self.attempts.values() if a.sent_at < self.now - 250 * MS])
        plain(self, gap)

    patch.setattr(Router, "check_overdue", watch)


@pytest.mark.parametrize(("mutant", "told"), [(refuses_large, TOLD), (slow_is_silent, {})])
def test_a_front_that_turns_large_ones_away_is_found(
    monkeypatch: pytest.MonkeyPatch, mutant: Callable[[pytest.MonkeyPatch], None], told: dict[str, Any]
) -> None:
    mutant(monkeypatch)
    found = Counter(name.split(", ")[0] for name in under(QUIET["as usual"], told, CALM))
    assert found["video"]
