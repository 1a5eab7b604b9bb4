"""Cold machines: the load that twenty or thirty fronts together send to a machine in slow start.

A machine falls over if it gets more than N + 2 * sqrt(N) + 2 requests in a window, where N is the number that
the settings permit. Covered are late notification of the start, restarts, saved credit and restarting fronts.
"""

from __future__ import annotations

import math
import random
from bisect import bisect_left
from collections.abc import Callable
from dataclasses import dataclass, field, replace

import pytest

from quincepier import interface as io
from quincepier.interface import AttemptOutcome, CacheStatus, EndpointState, UpdateScope
from quincepier.policy.slow_start import SlowStart
from quincepier.records import Upstream
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

STEP, WORK, OTHER_ID = 40 * MS, 0.5, 909  # clock step, ns; initial guess of the transfer time, s; second id
START_TIME = 100 * SECOND
# Whether a front gets a request in this step, by the seconds since START_TIME.
Demand = Callable[[random.Random, float], bool]


def constant_rate(rate: float) -> Demand:
    return lambda chance, at: chance.random() < rate * STEP / SECOND


def burst_after_pause(burst_at: float) -> Demand:
    """A few requests, so that each front has a budget for the machine; then none; then many at all fronts."""
    return lambda chance, at: chance.random() < (0.2 if at < 1 else 0 if at < burst_at else 0.4)


@dataclass
class Fleet:
    """Several routers with one clock, and one machine that starts cold, possibly again or with another id."""

    fronts: int
    size: float
    seed: int
    demand: Demand
    is_parent: bool = False
    late_share: float = 0.0  # share of the fronts that receive the start up to 7 s late
    starts: tuple[tuple[float, int], ...] = ((0.0, 0),)  # time of each start, s, and id; 0: the first id
    clients_disconnect: bool = False  # clients disconnect as soon as their request is sent, and repeat it
    fronts_near_parents: int = 0  # fronts in the zone of the parents; the others use these parents as well
    killed_after_s: float = math.inf  # s; then 70 % of the fronts restart without state
    # attempts of informed fronts: time, true size
    sends: list[tuple[int, float]] = field(default_factory=list)

    def __post_init__(self) -> None:
        self.settings = make_settings(
            fronts=self.fronts,
            fronts_by_zone=(self.fronts_near_parents, self.fronts - self.fronts_near_parents),
        )
        self.kind, own = (PARENT, PARENTS[0]) if self.is_parent else (0, CACHES[0])
        self.start_events = [(START_TIME + int(at * SECOND), name or own) for at, name in self.starts]
        self.ids = {own} | {name for _, name in self.start_events}
        listed = tuple(replace(m, size=self.size) for m in fleet())
        self.benches = [
            RouterBench(self.settings, listed, seed=1000 * self.seed + n) for n in range(self.fronts)
        ]

    def play(self, span: float) -> Fleet:
        chance = random.Random(self.seed)
        notifications = sorted(
            (at + int(7 * SECOND * chance.random() * (n < self.late_share * self.fronts)), n, at, cache)
            for at, cache in self.start_events
            for n in range(self.fronts)
        )
        informed, number, now = set[int](), 0, START_TIME
        while now < START_TIME + span * SECOND:
            while notifications and notifications[0][0] <= now:
                _, n, at, cache = notifications.pop(0)
                self.report_start(n, at, cache)
                informed.add(n)
            if now - START_TIME >= self.killed_after_s * SECOND:
                self.killed_after_s = math.inf
                self.restart(now, self.fronts * 7 // 10)
            for n, bench in enumerate(self.benches):
                bench.advance(now - bench.now)
                for _ in range(
                    (1 + self.clients_disconnect) * self.demand(chance, (now - START_TIME) / SECOND)
                ):
                    number += 1
                    for sent in attempts(bench.send_request(number, obj=number)):
                        if n in informed and self.ids & {sent.cache, getattr(sent, "source", -1)}:
                            self.sends.append((now, math.exp(chance.gauss(-0.72, 1.2))))
                        if self.clients_disconnect:
                            bench.handle(io.ClientDisconnected(number))
                        bench.complete_attempt(
                            sent,
                            AttemptOutcome.CANCELLED if self.clients_disconnect else AttemptOutcome.OK,
                            CacheStatus.FILLED,
                        )
            now += STEP
        return self

    def report_start(self, n: int, at: int, cache: int) -> None:
        new = replace(machine(cache, self.kind, at), size=self.size)
        gone = [replace(machine(c, self.kind), state=EndpointState.GONE) for c in self.ids if c != cache]
        self.benches[n].handle(io.EndpointUpdate(UpdateScope.CHANGES, (new, *gone)))

    def restart(self, now: int, count: int) -> None:
        """Restart fronts; the first list that they receive contains the cold machine."""
        own = self.start_events[0][1]
        up = {own: START_TIME}
        listed = tuple(replace(m, size=self.size, started_at=up.get(m.number, 0)) for m in fleet())
        for n in range(count):
            self.benches[n] = RouterBench(self.settings, listed, seed=self.seed + 7777 * (n + 1))
            self.benches[n].now = now

    def max_attempts(self, at: int, begun: int) -> float:
        """N: how many requests the settings permit all fronts together in the window that begins at `at`."""
        s = self.settings
        least, warm = (
            (s.parent_cold_from, s.parent_cold_time) if self.is_parent else (s.cold_from, s.cold_time)
        )
        multiple = s.parent_cold_multiple if self.is_parent else s.cold_multiple
        share = min(least + (1 - least) * (at - begun) / warm, 1)
        return multiple * share * self.size * s.cold_window / SECOND / WORK

    def overload(self, by_size: bool = False) -> float:
        """The highest ratio, over all windows, of requests to N + 2 * sqrt(N) + 2.

        If some fronts are informed late, only two thirds of that are permitted to the informed ones.
        """
        moments, worst = [at for at, _ in self.sends], 0.0
        for first, at in enumerate(moments):
            begun = max((b for b, _ in self.start_events if b <= at), default=None)
            assert begun is not None
            until = min([at + self.settings.cold_window, *(b for b, _ in self.start_events if b > at)])
            window = self.sends[first : bisect_left(moments, until)]
            n = self.max_attempts(at, begun)
            tolerated = (n + 2 * math.sqrt(n) + 2) * (2 / 3 if self.late_share else 1)
            worst = max(worst, (sum(w for _, w in window) if by_size else len(window)) / tolerated)
        return worst

    def budget_use(self) -> float:
        """Share of the permitted requests that were sent, since the last start."""
        begun = self.start_events[-1][0]
        moments = range(begun, self.benches[0].now, STEP)
        whole = sum(self.max_attempts(at, begun) for at in moments) * STEP / self.settings.cold_window
        return sum(at >= begun for at, _ in self.sends) / whole


SEEDS = range(1, 6)
TWICE = ((0.0, 0), (2.5, 0))
RENAMED = ((0.0, 0), (2.5, OTHER_ID))


@pytest.mark.parametrize(
    ("fronts", "size", "is_parent", "late_share", "starts"),
    [
        (20, 3.0, False, 0.0, ((0.0, 0),)),
        (30, 3.0, False, 0.5, TWICE),
        (30, 3.0, True, 0.5, RENAMED),
        (30, 0.2, False, 0.0, TWICE),  # N below 1: the first requests of all fronts would be too many
        (20, 0.2, True, 0.5, RENAMED),
    ],
)
def test_all_fronts_together_never_overload_a_cold_machine(
    fronts: int, size: float, is_parent: bool, late_share: float, starts: tuple[tuple[float, int], ...]
) -> None:
    for seed in SEEDS:
        played = Fleet(fronts, size, seed, constant_rate(3), is_parent, late_share, starts).play(6)
        assert played.overload() <= 1, seed


@pytest.mark.parametrize("size", [0.2, 3.0])
@pytest.mark.parametrize(("leave", "killed"), [(True, math.inf), (False, 1.0)])
def test_disconnecting_clients_and_restarting_fronts_do_not_raise_the_load(
    size: float, leave: bool, killed: float
) -> None:
    """Repeated requests of disconnected clients are charged too; restarted fronts draw a new random debt."""
    for seed in SEEDS:
        assert (
            Fleet(30, size, seed, constant_rate(3), clients_disconnect=leave, killed_after_s=killed)
            .play(5)
            .overload()
            <= 1
        ), seed


def test_credit_that_fronts_saved_while_idle_does_not_add_up() -> None:
    """After some idle seconds all fronts get requests at once; each front's own budget allows one."""
    for fronts, size, quiet in ((30, 2.0, 10), (30, 1.0, 12), (20, 1.0, 10)):
        for seed in SEEDS:
            played = Fleet(fronts, size, seed, burst_after_pause(quiet)).play(quiet + 1)
            assert played.overload() <= 1, (fronts, size, seed)


def test_the_budget_of_a_parent_is_shared_by_the_fronts_of_all_zones() -> None:
    """Fronts of all zones use a parent, so its budget is divided by all fronts, not by those of its zone."""
    for seed in SEEDS:
        assert (
            Fleet(30, 16.0, seed, constant_rate(6), is_parent=True, fronts_near_parents=10).play(5).overload()
            <= 1
        ), seed


def test_a_cold_machine_gets_much_of_its_budget() -> None:
    """The limit is not kept by sending nothing: under load at least two fifths of the budget are used."""
    for fronts, size in ((20, 3.0), (30, 3.0), (30, 8.0)):
        assert Fleet(fronts, size, 1, constant_rate(6)).play(14).budget_use() > 0.4, (fronts, size)


def test_a_hit_requested_before_a_restart_refunds_nothing_after_it() -> None:
    """An attempt that was charged before the parent's restart and is answered by the cache after it."""
    settings = make_settings(fronts=30, fronts_by_zone=(0, 30))
    listed = tuple(replace(m, size=1.0) for m in fleet() if m.number != PARENTS[1])
    early = 0
    for seed in range(30):
        bench = RouterBench(settings, listed, seed)
        (sent,) = attempts(bench.send_request(1, obj=5))
        assert isinstance(sent, io.FetchThrough) and sent.source == PARENTS[0]
        bench.advance(100 * MS)
        new = replace(machine(PARENTS[0], PARENT, bench.now), size=1.0)
        bench.handle(io.EndpointUpdate(UpdateScope.CHANGES, (new,)))
        # it begins with a debt
        assert not bench.router.slow_start.has_budget(bench.router.placement.table.by_id[PARENTS[0]])
        bench.complete_attempt(sent, AttemptOutcome.OK, CacheStatus.HIT)
        bench.advance(20 * MS)
        (after,) = attempts(bench.send_request(2, obj=6))
        early += isinstance(after, io.FetchThrough) and after.source == PARENTS[0]
    assert early <= 4, f"{early} of 30 fronts use it at once"  # N is 0.6, and 0.6 + 2 * sqrt(0.6) + 2 = 4.1


def test_a_restart_reported_after_warm_up_begins_a_new_budget_without_old_debt() -> None:
    """A restart just before the end of the warm-up, received only afterwards: requests sent while the machine
    was taken for warm do not reduce the new budget."""
    listed = tuple(replace(m, size=1.0) for m in fleet())
    bench = RouterBench(make_settings(fronts=1, fronts_by_zone=(0, 1)), listed)
    node, started = bench.router.placement.table.by_id[CACHES[0]], bench.now
    bench.handle(io.EndpointUpdate(UpdateScope.CHANGES, (replace(node.endpoint, started_at=started),)))
    for _ in range(2):  # the last check while it is cold
        bench.advance(7 * SECOND)
        bench.router.context.now = bench.now
        bench.router.slow_start.has_budget(node)
    assert node.credit > 0
    bench.advance(3 * SECOND)
    for number in range(1, 61):
        for sent in attempts(bench.send_request(number, obj=number)):
            bench.complete_attempt(sent, AttemptOutcome.OK, CacheStatus.FILLED)
    again = replace(node.endpoint, started_at=started + 13 * SECOND)
    bench.handle(io.EndpointUpdate(UpdateScope.CHANGES, (again,)))
    bench.router.slow_start.has_budget(node)
    assert -WORK * SECOND <= node.credit <= 0, node.credit / SECOND  # one request at most


def first_attempt_without_debt(patch: pytest.MonkeyPatch) -> None:
    """Each front may send one request as soon as it receives the start."""
    plain = SlowStart.has_budget

    def has_budget(self: SlowStart, upstream: Upstream) -> bool:
        new = upstream.budget_started_at < upstream.started_at
        may = plain(self, upstream)
        if new:
            upstream.credit = 0.0
        return may or new

    patch.setattr(SlowStart, "has_budget", has_budget)


def whole_budget_each(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(SlowStart, "count_fronts", lambda self, upstream: 1)


@pytest.mark.parametrize(
    ("mutant", "size"),
    [(first_attempt_without_debt, 0.2), (first_attempt_without_debt, 3.0), (whole_budget_each, 3.0)],
)
def test_an_overload_by_all_fronts_is_detected(
    monkeypatch: pytest.MonkeyPatch, mutant: Callable[[pytest.MonkeyPatch], None], size: float
) -> None:
    mutant(monkeypatch)
    assert Fleet(30, size, 1, constant_rate(3)).play(3).overload() > 1
