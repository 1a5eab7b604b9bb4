"""The timer wheel against a sorted list: none early, lost, taken twice or out of order; the active clock."""

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
    """A wheel and a sorted list of the same timers, compared after each step."""

    def __init__(self, now: int) -> None:
        self.now, self.wheel = now, TimerWheel[int](now, GRAIN)
        self.scheduled: dict[int, Timer[int]] = {}
        self.taken: list[Timer[int]] = []
        self.count = 0

    def due(self) -> list[tuple[int, int]]:
        """Return due time and order of the scheduled timers, the earliest first."""
        return sorted((t.due, t.order) for t in self.scheduled.values())

    def add(self, wait: int) -> None:
        self.count += 1
        self.scheduled[self.count] = self.wheel.schedule(self.now + wait, self.count)

    def cancel(self, index: int) -> None:
        if self.scheduled:
            number = sorted(self.scheduled)[index % len(self.scheduled)]
            timer = self.scheduled.pop(number)
            assert self.wheel.cancel(timer) and not self.wheel.cancel(timer)
        for timer in self.taken:
            assert not self.wheel.cancel(timer), "a taken timer can't be cancelled"

    def take(self, max_count: int) -> None:
        for _ in range(max_count):
            timer = self.wheel.take_due(self.now)
            whole = self.now // GRAIN * GRAIN
            if timer is None:
                assert not self.scheduled or self.due()[0][0] > whole, "a due timer is taken"
                return
            assert timer.due <= self.now, "not early"
            assert self.scheduled.pop(timer.payload) is timer, "not taken twice"
            assert all(timer.due <= due for due, _ in self.due() if due <= whole), "in order of due time"
            self.taken.append(timer)

    def check(self) -> None:
        assert len(self.wheel) == len(self.scheduled)
        ahead = self.wheel.next_due()
        assert (ahead is None) == (
            not self.scheduled
        ), "there is a next tick while a timer is scheduled, and only then"
        if ahead is not None:
            first = max(self.due()[0][0], self.now)
            assert ahead <= first + GRAIN, "a caller that sleeps until then is not late"


@settings(derandomize=True, max_examples=400, deadline=None)
@given(st.integers(0, 10**9), steps)
def test_the_wheel_agrees_with_a_sorted_list(start: int, script: list[tuple[str, int]]) -> None:
    model = Model(start)
    for action, number in script:
        match action:
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
    assert not model.scheduled and not len(model.wheel), "no timer is lost"
    assert all(slot is None for slot in model.wheel.slots) and model.wheel.used_slots_by_level == [0] * 4


def test_ten_thousand_timers_of_one_tick_are_taken_in_order_except_cancelled_ones() -> None:
    wheel = TimerWheel[int](0, 1000)
    timers = [wheel.schedule(50_000 + n % 7, n) for n in range(10_000)]
    taken: list[int] = []
    while (timer := wheel.take_due(60_000)) is not None:
        taken.append(timer.payload)
        if len(taken) == 100:  # in the middle: cancels all timers of one due time
            assert sum(wheel.cancel(t) for t in timers if t.due == 50_006) == 10_000 // 7
    assert [n % 7 for n in taken] == sorted(n % 7 for n in taken) and len(taken) == 10_000 - 10_000 // 7
    assert wheel.max_lateness == 10_000 and wheel.taken_count == len(taken)
    same = [n for n in taken if n % 7 == 3]
    assert same == sorted(same)  # timers of one due time in the order of scheduling


def test_a_jump_far_ahead_costs_no_walk_over_empty_time() -> None:
    wheel = TimerWheel[str](0, 1)
    wheel.schedule(WHEEL_SPAN * 3 + 5, "far")
    assert wheel.take_due(WHEEL_SPAN * 3 + 4) is None
    timer = wheel.take_due(WHEEL_SPAN * 3 + 5)
    assert timer is not None and timer.payload == "far" and wheel.next_due() is None


@pytest.mark.parametrize("elapsed_steps", [[50] * 10, [2000], [-500, 300], [0, 0, 100]])
def test_the_active_clock_counts_no_process_pause_and_never_goes_back(elapsed_steps: list[int]) -> None:
    now, active_clock = 1000, ActiveClock(1000, 100)
    for step in elapsed_steps:
        now += step
        before = active_clock.time
        assert 0 <= active_clock.read(now) - before <= 100
    assert active_clock.time - 1000 == sum(min(max(step, 0), 100) for step in elapsed_steps)
    assert active_clock.uncounted == sum(max(step - 100, 0) for step in elapsed_steps)
