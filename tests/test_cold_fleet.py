"""Cold machines: what twenty or thirty fronts send one together, saved up or told late."""

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
    Bench,
    attempts,
    fleet,
    machine,
    make_settings,
)

STEP, WORK, OTHER = 40 * MS, 0.5, 909  # of the clock; seconds of a request, as first guessed; another id
BEGIN = 100 * SECOND
Demand = Callable[
    [random.Random, float], bool
]  # whether a front is asked in this step, by seconds since BEGIN


def always(rate: float) -> Demand:
    return lambda chance, at: chance.random() < rate * STEP / SECOND


def at_once_after(quiet: float) -> Demand:
    """A few requests, so that each front has looked at the machine; then none; then many at all fronts."""
    return lambda chance, at: chance.random() < (0.2 if at < 1 else 0 if at < quiet else 0.4)


@dataclass
class Fleet:
    """Fronts as modules, one clock, one machine that starts cold, perhaps again or under another id."""

    fronts: int
    size: float
    seed: int
    demand: Demand
    upper: bool = False
    late: float = 0.0  # part of the fronts that is told up to 7 s late
    starts: tuple[tuple[float, int], ...] = ((0.0, 0),)  # seconds, id; 0: its own
    leave: bool = False  # clients leave as soon as their request is sent on, and come again at once
    near: int = 0  # fronts in the zone in which the parents stand; the others ask them as well
    killed: float = math.inf  # seconds after which seven in ten are killed and come back knowing nothing
    sends: list[tuple[int, float]] = field(default_factory=list)  # of told ones: when, of what true size

    def __post_init__(self) -> None:
        self.settings = make_settings(fronts=self.fronts, fronts_by_zone=(self.near, self.fronts - self.near))
        self.kind, own = (PARENT, PARENTS[0]) if self.upper else (0, CACHES[0])
        self.begun = [(BEGIN + int(at * SECOND), name or own) for at, name in self.starts]
        self.names = {own} | {name for _, name in self.begun}
        listed = tuple(replace(m, size=self.size) for m in fleet())
        self.benches = [Bench(self.settings, listed, seed=1000 * self.seed + n) for n in range(self.fronts)]

    def play(self, span: float) -> Fleet:
        chance = random.Random(self.seed)
        news = sorted(
            (at + int(7 * SECOND * chance.random() * (n < self.late * self.fronts)), n, at, cache)
            for at, cache in self.begun
            for n in range(self.fronts)
        )
        told, number, now = set[int](), 0, BEGIN
        while now < BEGIN + span * SECOND:
            while news and news[0][0] <= now:
                _, n, at, cache = news.pop(0)
                self.tell(n, at, cache)
                told.add(n)
            if now - BEGIN >= self.killed * SECOND:
                self.killed = math.inf
                self.restart(now, self.fronts * 7 // 10)
            for n, bench in enumerate(self.benches):
                bench.wait(now - bench.now)
                for _ in range((1 + self.leave) * self.demand(chance, (now - BEGIN) / SECOND)):
                    number += 1
                    for sent in attempts(bench.ask(number, obj=number)):
                        if n in told and self.names & {sent.cache, getattr(sent, "source", -1)}:
                            self.sends.append((now, math.exp(chance.gauss(-0.72, 1.2))))
                        if self.leave:
                            bench.give(io.ClientDisconnected(number))
                        bench.end(
                            sent,
                            AttemptOutcome.CANCELLED if self.leave else AttemptOutcome.OK,
                            CacheStatus.FILLED,
                        )
            now += STEP
        return self

    def tell(self, n: int, at: int, cache: int) -> None:
        new = replace(machine(cache, self.kind, at), size=self.size)
        gone = [replace(machine(c, self.kind), state=EndpointState.GONE) for c in self.names if c != cache]
        self.benches[n].give(io.EndpointUpdate(UpdateScope.CHANGES, (new, *gone)))

    def restart(self, now: int, count: int) -> None:
        """They find the machine on the list that they begin with."""
        own = self.begun[0][1]
        up = {own: BEGIN}
        listed = tuple(replace(m, size=self.size, started_at=up.get(m.number, 0)) for m in fleet())
        for n in range(count):
            self.benches[n] = Bench(self.settings, listed, seed=self.seed + 7777 * (n + 1))
            self.benches[n].now = now

    def calls(self, at: int, begun: int) -> float:
        """N: what the settings let all fronts send it in the window that begins at `at`."""
        s = self.settings
        least, warm = (s.parent_cold_from, s.parent_cold_time) if self.upper else (s.cold_from, s.cold_time)
        multiple = s.parent_cold_multiple if self.upper else s.cold_multiple
        share = min(least + (1 - least) * (at - begun) / warm, 1)
        return multiple * share * self.size * s.cold_window / SECOND / WORK

    def strain(self, by_size: bool = False) -> float:
        """The most of a window over N + 2 x root of N + 2, or over two thirds where some are not told."""
        moments, worst = [at for at, _ in self.sends], 0.0
        for first, at in enumerate(moments):
            begun = max((b for b, _ in self.begun if b <= at), default=None)
            assert begun is not None
            until = min([at + self.settings.cold_window, *(b for b, _ in self.begun if b > at)])
            window = self.sends[first : bisect_left(moments, until)]
            n = self.calls(at, begun)
            stands = (n + 2 * math.sqrt(n) + 2) * (2 / 3 if self.late else 1)
            worst = max(worst, (sum(w for _, w in window) if by_size else len(window)) / stands)
        return worst

    def used(self) -> float:
        """What was sent over all that the settings would have let the fronts send, from the last start on."""
        begun = self.begun[-1][0]
        moments = range(begun, self.benches[0].now, STEP)
        whole = sum(self.calls(at, begun) for at in moments) * STEP / self.settings.cold_window
        return sum(at >= begun for at, _ in self.sends) / whole


SEEDS = range(1, 6)
TWICE = ((0.0, 0), (2.5, 0))
RENAMED = ((0.0, 0), (2.5, OTHER))


@pytest.mark.parametrize(
    ("fronts", "size", "upper", "late", "starts"),
    [
        (20, 3.0, False, 0.0, ((0.0, 0),)),
        (30, 3.0, False, 0.5, TWICE),
        (30, 3.0, True, 0.5, RENAMED),
        (30, 0.2, False, 0.0, TWICE),  # N below 1: no front's first request may add up
        (20, 0.2, True, 0.5, RENAMED),
    ],
)
def test_all_fronts_together_keep_within_what_a_cold_machine_stands(
    fronts: int, size: float, upper: bool, late: float, starts: tuple[tuple[float, int], ...]
) -> None:
    for seed in SEEDS:
        played = Fleet(fronts, size, seed, always(3), upper, late, starts).play(6)
        assert played.strain() <= 1, seed


@pytest.mark.parametrize("size", [0.2, 3.0])
@pytest.mark.parametrize(("leave", "killed"), [(True, math.inf), (False, 1.0)])
def test_clients_that_leave_and_fronts_that_restart_add_nothing(
    size: float, leave: bool, killed: float
) -> None:
    """Each further sending of clients that left counts; who comes back draws its debt anew."""
    for seed in SEEDS:
        assert Fleet(30, size, seed, always(3), leave=leave, killed=killed).play(5).strain() <= 1, seed


def test_what_fronts_saved_up_while_nothing_was_asked_does_not_add_up() -> None:
    """Some seconds without requests, then all fronts are asked at once: each alone has room for one."""
    for fronts, size, quiet in ((30, 2.0, 10), (30, 1.0, 12), (20, 1.0, 10)):
        for seed in SEEDS:
            played = Fleet(fronts, size, seed, at_once_after(quiet)).play(quiet + 1)
            assert played.strain() <= 1, (fronts, size, seed)


def test_a_parent_beside_some_fronts_is_shared_by_all() -> None:
    """Parents of all hubs are hashed over, so a parent's budget is not that of its own zone's fronts."""
    for seed in SEEDS:
        assert Fleet(30, 16.0, seed, always(6), upper=True, near=10).play(5).strain() <= 1, seed


def test_a_cold_machine_is_warmed() -> None:
    """The rule is not kept by asking nothing: under load two fifths of the budget at least are used."""
    for fronts, size in ((20, 3.0), (30, 3.0), (30, 8.0)):
        assert Fleet(fronts, size, 1, always(6)).play(14).used() > 0.4, (fronts, size)


def test_a_hit_that_was_asked_for_before_the_start_gives_no_credit_after_it() -> None:
    """Booked on the parent as it was, answered by the cache after the parent's start is told."""
    settings = make_settings(fronts=30, fronts_by_zone=(0, 30))
    listed = tuple(replace(m, size=1.0) for m in fleet() if m.number != PARENTS[1])
    early = 0
    for seed in range(30):
        bench = Bench(settings, listed, seed)
        (sent,) = attempts(bench.ask(1, obj=5))
        assert isinstance(sent, io.FetchThrough) and sent.source == PARENTS[0]
        bench.wait(100 * MS)
        new = replace(machine(PARENTS[0], PARENT, bench.now), size=1.0)
        bench.give(io.EndpointUpdate(UpdateScope.CHANGES, (new,)))
        assert not bench.router.slow_start.has_room(
            bench.router.placement.table.by_id[PARENTS[0]]
        )  # it begins in debt
        bench.end(sent, AttemptOutcome.OK, CacheStatus.HIT)
        bench.wait(20 * MS)
        (after,) = attempts(bench.ask(2, obj=6))
        early += isinstance(after, io.FetchThrough) and after.source == PARENTS[0]
    assert early <= 4, f"{early} of 30 fronts ask it at once"  # N is 0.6 calls: 0.6 + 2 x root of 0.6 + 2


def test_a_start_told_after_it_was_thought_warm_begins_a_budget_and_not_a_debt() -> None:
    """It starts again just before it is warm and all is told when it was: what went out then is not owed."""
    listed = tuple(replace(m, size=1.0) for m in fleet())
    bench = Bench(make_settings(fronts=1, fronts_by_zone=(0, 1)), listed)
    node, started = bench.router.placement.table.by_id[CACHES[0]], bench.now
    bench.give(io.EndpointUpdate(UpdateScope.CHANGES, (replace(node.endpoint, started_at=started),)))
    for _ in range(2):  # the last look while it is cold
        bench.wait(7 * SECOND)
        bench.router.context.now = bench.now
        bench.router.slow_start.has_room(node)
    assert node.credit > 0
    bench.wait(3 * SECOND)
    for number in range(1, 61):
        for sent in attempts(bench.ask(number, obj=number)):
            bench.end(sent, AttemptOutcome.OK, CacheStatus.FILLED)
    again = replace(node.endpoint, started_at=started + 13 * SECOND)
    bench.give(io.EndpointUpdate(UpdateScope.CHANGES, (again,)))
    bench.router.slow_start.has_room(node)
    assert -WORK * SECOND <= node.credit <= 0, node.credit / SECOND  # one request at most


def first_credits_at_once(patch: pytest.MonkeyPatch) -> None:
    """Each front may ask for one as it hears of the start."""
    plain = SlowStart.has_room

    def has_room(self: SlowStart, upstream: Upstream) -> bool:
        new = upstream.budget_since < upstream.started_at
        may = plain(self, upstream)
        if new:
            upstream.credit = 0.0
        return may or new

    patch.setattr(SlowStart, "has_room", has_room)


def whole_budget_each(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(SlowStart, "sharers", lambda self, upstream: 1)


@pytest.mark.parametrize(
    ("mutant", "size"), [(first_credits_at_once, 0.2), (first_credits_at_once, 3.0), (whole_budget_each, 3.0)]
)
def test_a_sum_that_is_too_much_is_found(
    monkeypatch: pytest.MonkeyPatch, mutant: Callable[[pytest.MonkeyPatch], None], size: float
) -> None:
    mutant(monkeypatch)
    assert Fleet(30, size, 1, always(3)).play(3).strain() > 1
