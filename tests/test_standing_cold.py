"""Cold machines: the load that all fronts together send to a small machine that has just started."""

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
from tests.rig import (
    CACHES,
    MS,
    PARENT,
    PARENTS,
    SECOND,
    RouterBench,
    attempts,
    fleet,
    machine,
    make_settings,
)

FRONTS, REQUEST_INTERVAL, STEP = 24, 120 * MS, 40 * MS  # ns; each front gets one request per interval
SIZE, WORK = 2.0, 0.5  # size of the machine in transfers; initial guess of the transfer time, s
START_TIME, OTHER_ID = 100 * SECOND, 909


class FleetLoad:
    """Many routers with one clock; records when which front sent a request to the cold machine.

    Attributes:
        ids: Endpoint ids that the machine has had.
        informed_fronts: Fronts that receive the start of the machine.
        sends: Time and front of each request that was sent to the machine.
    """

    def __init__(self, is_parent: bool, informed_count: int) -> None:
        self.settings = make_settings(fronts=FRONTS, fronts_by_zone=(0, FRONTS))
        self.cold, self.kind = (PARENTS[0], PARENT) if is_parent else (CACHES[0], 0)
        self.ids = {self.cold}
        machines = tuple(replace(m, size=SIZE) for m in fleet())
        self.benches = [RouterBench(self.settings, machines, seed=n) for n in range(FRONTS)]
        self.informed_fronts, self.start, self.request_count = set(range(informed_count)), 0, 0
        self.sends: list[tuple[int, int]] = []

    def report_start(self, cache: int, at: int) -> None:
        """Report a start at `at` to the informed fronts; for them the old id is removed."""
        new = replace(machine(cache, self.kind, at), size=SIZE)
        gone = [replace(machine(c, self.kind), state=EndpointState.GONE) for c in self.ids if c != cache]
        for n in self.informed_fronts:
            self.benches[n].handle(io.EndpointUpdate(UpdateScope.CHANGES, (new, *gone)))
        self.ids.add(cache)
        self.start = at

    def play(self, span: int) -> None:
        until = self.benches[0].now + span
        while self.benches[0].now < until:
            for n, bench in enumerate(self.benches):
                bench.advance(STEP)
                phase = (bench.now // STEP + n) % (REQUEST_INTERVAL // STEP)
                # uninformed fronts get a sixth of the traffic, so that most of it comes from the informed
                # ones
                if phase == 0 and (n in self.informed_fronts or (bench.now // REQUEST_INTERVAL) % 6 == 0):
                    self.request_count += 1
                    for sent in attempts(bench.send_request(self.request_count, obj=self.request_count)):
                        if self.ids & {sent.cache, getattr(sent, "source", -1)}:
                            self.sends.append((bench.now, n))
                        bench.complete_attempt(sent, AttemptOutcome.OK, CacheStatus.FILLED)

    def max_attempts(self, at: int) -> float:
        """N + 2 * sqrt(N) + 2, where N follows from the settings: more requests per window overload it."""
        s, is_parent = self.settings, self.kind == PARENT
        least, warm = (s.parent_cold_from, s.parent_cold_time) if is_parent else (s.cold_from, s.cold_time)
        multiple = s.parent_cold_multiple if is_parent else s.cold_multiple
        share = min(least + (1 - least) * (at - self.start) / warm, 1)
        n = multiple * share * SIZE * s.cold_window / SECOND / WORK
        return n + 2 * math.sqrt(n) + 2

    def is_overloaded(self) -> bool:
        """Whether in some window the informed fronts sent over two thirds of what overloads the machine."""
        times = [at for at, n in self.sends if n in self.informed_fronts and at >= self.start]
        window = self.settings.cold_window
        return any(
            sum(first <= at < first + window for at in times) > 2 / 3 * self.max_attempts(first)
            for first in times
        )


def play_starts(is_parent: bool, informed_count: int, second_start: str) -> FleetLoad:
    fleet_of = FleetLoad(is_parent, informed_count)
    fleet_of.report_start(fleet_of.cold, START_TIME)
    fleet_of.play(3 * SECOND)
    if second_start == "again":  # within its warm-up
        fleet_of.report_start(fleet_of.cold, START_TIME + 3 * SECOND)
    elif second_start == "other id":
        fleet_of.report_start(OTHER_ID, START_TIME + 3 * SECOND)
    fleet_of.play(4 * SECOND)
    return fleet_of


def whole_budget_each(patch: pytest.MonkeyPatch) -> None:
    """Each front uses the whole budget instead of its share."""
    patch.setattr(SlowStart, "count_fronts", lambda self, upstream: 1)


def cold_only_once(patch: pytest.MonkeyPatch) -> None:
    """A machine is cold only once: if it restarts during its warm-up, it is taken for warm."""
    plain = Router.on_endpoint_update

    def forget_restart(self: Router, update: io.EndpointUpdate) -> None:
        cold = {cache for cache, node in self.placement.table.by_id.items() if node.started_at}
        plain(self, update)
        for m in update.endpoints:
            if m.number in cold:
                self.placement.table.by_id[m.number].started_at = 0

    patch.setattr(Router, "on_endpoint_update", forget_restart)


def new_id_is_warm(patch: pytest.MonkeyPatch) -> None:
    """A machine with a new id is taken for warm."""
    plain = Upstream.__init__

    def init_warm(self: Upstream, endpoint: io.Endpoint, slowness: DecayingMean, recent_objects: int) -> None:
        plain(self, endpoint, slowness, recent_objects)
        self.started_at = 0

    patch.setattr(Upstream, "__init__", init_warm)


@pytest.mark.parametrize("is_parent", [False, True])
@pytest.mark.parametrize(
    ("informed_count", "second_start"),
    [(FRONTS, "first"), (FRONTS // 2, "first"), (FRONTS // 2, "again"), (FRONTS // 2, "other id")],
)
def test_informed_fronts_together_never_overload_a_cold_machine(
    is_parent: bool, informed_count: int, second_start: str
) -> None:
    fleet_of = play_starts(is_parent, informed_count, second_start)
    assert not fleet_of.is_overloaded()
    assert any(n in fleet_of.informed_fronts for _, n in fleet_of.sends)  # it is used at all


@pytest.mark.parametrize(
    ("second_start", "mutant"),
    [("first", whole_budget_each), ("again", cold_only_once), ("other id", new_id_is_warm)],
)
def test_an_overload_by_informed_fronts_is_detected(
    monkeypatch: pytest.MonkeyPatch, second_start: str, mutant: object
) -> None:
    assert callable(mutant)
    mutant(monkeypatch)
    assert play_starts(False, FRONTS // 2, second_start).is_overloaded()
