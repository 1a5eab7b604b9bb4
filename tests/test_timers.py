"""The wheel against a sorted list: never early, never lost, never twice, in order; and the patient clock."""

from __future__ import annotations

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from quincepier.timers import ActiveClock, Timer, TimerWheel
from quincepier.timers.wheel import WHEEL_SPAN

GRAIN = 10
waits = st.one_of(
    st.integers(-50, 3000),
    st.integers(0, 10**6),
    st.integers(0, GRAIN * WHEEL_SPAN * 2),
    st.sampled_from([0, 2560, 655_360]),
)
steps = st.lists(
    st.one_of(
        st.tuples(st.just("set"), waits),
        st.tuples(st.just("cancel"), st.integers(0, 200)),
        st.tuples(st.just("go"), st.integers(0, 5000)),
        st.tuples(st.just("go"), st.one_of(st.integers(0, 10**7), st.integers(0, GRAIN * WHEEL_SPAN))),
        st.tuples(st.just("take"), st.integers(0, 5)),
    ),
    max_size=120,
)


class Model:
    """A wheel beside a sorted list of what is set; each step is checked."""

    def __init__(self, now: int) -> None:
        self.now, self.wheel = now, TimerWheel[int](now, GRAIN)
        self.set: dict[int, Timer[int]] = {}
        self.over: list[Timer[int]] = []
        self.count = 0

    def due(self) -> list[tuple[int, int]]:
        """Due times and order of all that must have come by the last whole tick, and of all that may have."""
        return sorted((t.due, t.order) for t in self.set.values())

    def add(self, wait: int) -> None:
        self.count += 1
        self.set[self.count] = self.wheel.schedule(self.now + wait, self.count)

    def cancel(self, which: int) -> None:
        if self.set:
            number = sorted(self.set)[which % len(self.set)]
            timer = self.set.pop(number)
            assert self.wheel.cancel(timer) and not self.wheel.cancel(timer)
        for timer in self.over:
            assert not self.wheel.cancel(timer), "what was taken can't be cancelled"

    def take(self, most: int) -> None:
        for _ in range(most):
            timer = self.wheel.take_due(self.now)
            whole = self.now // GRAIN * GRAIN
            if timer is None:
                assert not self.set or self.due()[0][0] > whole, "what is due is handed out"
                return
            assert timer.due <= self.now, "never early"
            assert self.set.pop(timer.payload) is timer, "never twice"
            assert all(timer.due <= due for due, _ in self.due() if due <= whole), "by due time"
            self.over.append(timer)

    def check(self) -> None:
        assert len(self.wheel) == len(self.set)
        ahead = self.wheel.next_due()
        assert (ahead is None) == (not self.set), "something is ahead exactly while something is set"
        if ahead is not None:
            first = max(self.due()[0][0], self.now)
            assert ahead <= first + GRAIN, "who sleeps until then misses nothing"


@settings(derandomize=True, max_examples=400, deadline=None)
@given(st.integers(0, 10**9), steps)
def test_against_a_sorted_list(start: int, script: list[tuple[str, int]]) -> None:
    model = Model(start)
    for what, number in script:
        match what:
            case "set":
                model.add(number)
            case "cancel":
                model.cancel(number)
            case "go":
                model.now += number
            case _:
                model.take(number)
        model.check()
    model.now += 3 * GRAIN * WHEEL_SPAN
    model.take(10**6)
    assert not model.set and not len(model.wheel), "none is lost"
    assert all(slot is None for slot in model.wheel.slots) and model.wheel.used_slots_by_level == [0] * 4


def test_ten_thousand_in_one_tick_come_in_slices_in_order_less_those_cancelled_meanwhile() -> None:
    wheel = TimerWheel[int](0, 1000)
    timers = [wheel.schedule(50_000 + n % 7, n) for n in range(10_000)]
    taken: list[int] = []
    while (timer := wheel.take_due(60_000)) is not None:
        taken.append(timer.payload)
        if len(taken) == 100:  # in the middle of the slice: the rest of one due time goes
            assert sum(wheel.cancel(t) for t in timers if t.due == 50_006) == 10_000 // 7
    assert [n % 7 for n in taken] == sorted(n % 7 for n in taken) and len(taken) == 10_000 - 10_000 // 7
    assert wheel.max_lateness == 10_000 and wheel.taken_count == len(taken)
    same = [n for n in taken if n % 7 == 3]
    assert same == sorted(same)  # of one due time in the order they were set


def test_a_jump_far_ahead_costs_no_walk_over_empty_time() -> None:
    wheel = TimerWheel[str](0, 1)
    wheel.schedule(WHEEL_SPAN * 3 + 5, "far")
    assert wheel.take_due(WHEEL_SPAN * 3 + 4) is None
    timer = wheel.take_due(WHEEL_SPAN * 3 + 5)
    assert timer is not None and timer.payload == "far" and wheel.next_due() is None


@pytest.mark.parametrize("gone", [[50] * 10, [2000], [-500, 300], [0, 0, 100]])
def test_patience_counts_no_standstill_and_never_goes_back(gone: list[int]) -> None:
    now, active_clock = 1000, ActiveClock(1000, 100)
    for step in gone:
        now += step
        before = active_clock.time
        assert 0 <= active_clock.read(now) - before <= 100
    assert active_clock.time - 1000 == sum(min(max(step, 0), 100) for step in gone)
    assert active_clock.uncounted == sum(max(step - 100, 0) for step in gone)
