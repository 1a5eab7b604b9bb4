"""Cold machines: what all fronts together send one that has just started, where it may be asked for least."""

from __future__ import annotations

import math
from dataclasses import replace

import pytest

from quincepier import interface as io
from quincepier.interface import AttemptOutcome, CacheStatus, EndpointState, UpdateScope
from quincepier.policy import Router
from quincepier.policy.slow_start import SlowStart
from quincepier.records import Upstream
from quincepier.structures import DecayingMean
from tests.rig import CACHES, MS, PARENT, PARENTS, SECOND, Bench, attempts, fleet, machine, make_settings

FRONTS, EVERY, STEP = 24, 120 * MS, 40 * MS  # a front asks one request each so long, at its own moment
SIZE, WORK = 2.0, 0.5  # the least machine: transfers it carries; seconds of a request, as first guessed
BEGIN, OTHER = 100 * SECOND, 909


class Sum:
    """Many modules and one clock; when each request reached the machine that is cold, and whose it was."""

    def __init__(self, upper: bool, told: int) -> None:
        self.settings = make_settings(fronts=FRONTS, fronts_by_zone=(0, FRONTS))
        self.cold, self.kind = (PARENTS[0], PARENT) if upper else (CACHES[0], 0)
        self.names = {self.cold}  # the ids at its address
        machines = tuple(replace(m, size=SIZE) for m in fleet())
        self.benches = [Bench(self.settings, machines, seed=n) for n in range(FRONTS)]
        self.told, self.start, self.number = set(range(told)), 0, 0
        self.sends: list[tuple[int, int]] = []

    def tell(self, cache: int, at: int) -> None:
        """It starts at `at`, and those that are told hear of it now; the old id is gone for them."""
        new = replace(machine(cache, self.kind, at), size=SIZE)
        gone = [replace(machine(c, self.kind), state=EndpointState.GONE) for c in self.names if c != cache]
        for n in self.told:
            self.benches[n].give(io.EndpointUpdate(UpdateScope.CHANGES, (new, *gone)))
        self.names.add(cache)
        self.start = at

    def play(self, span: int) -> None:
        until = self.benches[0].now + span
        while self.benches[0].now < until:
            for n, bench in enumerate(self.benches):
                bench.wait(STEP)
                phase = (bench.now // STEP + n) % (EVERY // STEP)
                # who was not told gets a sixth of the traffic, so that the told ones make up most of it
                if phase == 0 and (n in self.told or (bench.now // EVERY) % 6 == 0):
                    self.number += 1
                    for sent in attempts(bench.ask(self.number, obj=self.number)):
                        if self.names & {sent.cache, getattr(sent, "source", -1)}:
                            self.sends.append((bench.now, n))
                        bench.end(sent, AttemptOutcome.OK, CacheStatus.FILLED)

    def stands(self, at: int) -> float:
        """N + 2 x root of N + 2, from the settings."""
        s, upper = self.settings, self.kind == PARENT
        least, warm = (s.parent_cold_from, s.parent_cold_time) if upper else (s.cold_from, s.cold_time)
        multiple = s.parent_cold_multiple if upper else s.cold_multiple
        share = min(least + (1 - least) * (at - self.start) / warm, 1)
        n = multiple * share * SIZE * s.cold_window / SECOND / WORK
        return n + 2 * math.sqrt(n) + 2

    def pushed(self) -> bool:
        """Whether in some window over two thirds of what makes it fall may have come from who was told."""
        told = [at for at, n in self.sends if n in self.told and at >= self.start]
        window = self.settings.cold_window
        return any(
            sum(first <= at < first + window for at in told) > 2 / 3 * self.stands(first) for first in told
        )


def anew(upper: bool, told: int, how: str) -> Sum:
    fleet_of = Sum(upper, told)
    fleet_of.tell(fleet_of.cold, BEGIN)
    fleet_of.play(3 * SECOND)
    if how == "again":  # within its warm-up
        fleet_of.tell(fleet_of.cold, BEGIN + 3 * SECOND)
    elif how == "other id":
        fleet_of.tell(OTHER, BEGIN + 3 * SECOND)
    fleet_of.play(4 * SECOND)
    return fleet_of


def all_at_once(patch: pytest.MonkeyPatch) -> None:
    """Each front takes the whole budget for its own."""
    patch.setattr(SlowStart, "sharers", lambda self, upstream: 1)


def once(patch: pytest.MonkeyPatch) -> None:
    """A machine is cold once: when it starts again as it warms up, it is taken for warm."""
    plain = Router.on_endpoint_update

    def listed(self: Router, news: io.EndpointUpdate) -> None:
        cold = {cache for cache, node in self.placement.table.by_id.items() if node.started_at}
        plain(self, news)
        for m in news.endpoints:
            if m.number in cold:
                self.placement.table.by_id[m.number].started_at = 0

    patch.setattr(Router, "on_endpoint_update", listed)


def warm_by_name(patch: pytest.MonkeyPatch) -> None:
    """An id that was not there before is taken for warm."""
    plain = Upstream.__init__

    def begin(self: Upstream, endpoint: io.Endpoint, slowness: DecayingMean, recent_objects: int) -> None:
        plain(self, endpoint, slowness, recent_objects)
        self.started_at = 0

    patch.setattr(Upstream, "__init__", begin)


@pytest.mark.parametrize("upper", [False, True])
@pytest.mark.parametrize(
    ("told", "how"),
    [(FRONTS, "first"), (FRONTS // 2, "first"), (FRONTS // 2, "again"), (FRONTS // 2, "other id")],
)
def test_the_sum_of_all_that_were_told_pushes_no_cold_machine_over(upper: bool, told: int, how: str) -> None:
    fleet_of = anew(upper, told, how)
    assert not fleet_of.pushed()
    assert any(n in fleet_of.told for _, n in fleet_of.sends)  # and it is warmed


@pytest.mark.parametrize(
    ("how", "mutant"), [("first", all_at_once), ("again", once), ("other id", warm_by_name)]
)
def test_a_sum_that_pushes_it_over_is_found(
    monkeypatch: pytest.MonkeyPatch, how: str, mutant: object
) -> None:
    assert callable(mutant)
    mutant(monkeypatch)
    assert anew(False, FRONTS // 2, how).pushed()
