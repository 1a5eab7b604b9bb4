"""How a fleet comes back: stampede factors and the time to full service, from counts alone; no clock.

Times are nanoseconds of the run. Until the first fault of any kind all is as usual.
"""

from __future__ import annotations

from bisect import bisect_left
from collections import defaultdict
from itertools import accumulate

WINDOW = 500_000_000  # ns in which a stampede is looked for
SECOND = 1_000_000_000
FULL_SERVICE_SHARE, HOLDS = 0.97, 3  # of the usual share of worth served; for so many seconds
STEP = SECOND // 10  # between the seconds that are looked at
SETTLING_DIVISOR = 3  # the first third of the time before any fault: connections and stores are made then
USUAL_LEAST = 5  # events before the fault; fewer tell no usual rate


class RecoveryMetrics:
    """Hears what a fleet adds up to, and what each request that came was worth and served of it."""

    def __init__(self, start: int) -> None:
        self.start = start
        self.calm_until: int | None = None  # until when all is as usual: the first fault of any kind
        self.first_front_fault: int | None = None  # the first one on fronts
        self.last_return: int | None = None  # when the last front that was down served again
        self.times_by_event: dict[str, list[int]] = defaultdict(list)
        self.times_by_event_and_machine: dict[str, dict[int, list[int]]] = defaultdict(
            lambda: defaultdict(list)
        )  # by machine
        self.times_by_event_and_front: dict[str, dict[int, list[int]]] = defaultdict(
            lambda: defaultdict(list)
        )
        self.restart_time_by_front: dict[
            int, int
        ] = {}  # when each front that fell served again, the last time
        self.worth_records: list[tuple[int, float, float]] = []  # when it first came, asked, served

    def count(self, what: str, now: int, machine: int | None = None, front: int | None = None) -> None:
        """Count one event, at a machine and by a front where they are known."""
        self.times_by_event[what].append(now)
        if front is not None:
            self.times_by_event_and_front[what][front].append(now)
        if machine is not None:
            self.times_by_event_and_machine[what][machine].append(now)

    def on_fault(self, now: int, fronts: bool) -> None:
        if self.calm_until is None:
            self.calm_until = now
        if self.first_front_fault is None and fronts:
            self.first_front_fault = now

    def on_front_returned(self, now: int) -> None:
        self.last_return = max(now, self.last_return or 0)

    def on_front_restarted(self, now: int, front: int) -> None:
        """A front that had ended serves again."""
        self.restart_time_by_front[front] = now

    def after_restarts(self, what: str) -> int:
        """Events by the fronts that fell, from the fault until a second after each one's return."""
        fault = self.first_front_fault or 0
        return sum(
            fault <= at < back + SECOND
            for front, back in self.restart_time_by_front.items()
            for at in self.times_by_event_and_front[what][front]
        )

    def on_request_finished(self, came: int, asked: float, served: float) -> None:
        self.worth_records.append((came, asked, served))

    def usual_rate(self, what: str) -> float | None:
        """Events a second before the fault; None where too few tell."""
        return self._rate_before_fault(self.times_by_event[what])

    def _rate_before_fault(self, times: list[int]) -> float | None:
        if self.calm_until is None:
            return None
        since = self.start + (self.calm_until - self.start) // SETTLING_DIVISOR
        seen = sum(since <= at < self.calm_until for at in times)
        return (
            seen * SECOND / (self.calm_until - since)
            if seen >= USUAL_LEAST and self.calm_until > since
            else None
        )

    def stampede(self, what: str) -> float | None:
        """The greatest rate of any 500 ms from the fault on, over the usual one."""
        return self._stampede(self.times_by_event[what])

    def worst_stampede(self, what: str) -> float | None:
        """The greatest factor at any one machine of which the usual rate is known."""
        factors = [
            f
            for times in self.times_by_event_and_machine[what].values()
            if (f := self._stampede(times)) is not None
        ]
        return max(factors, default=None)

    def _stampede(self, all_times: list[int]) -> float | None:
        usual = self._rate_before_fault(all_times)
        if usual is None or self.first_front_fault is None:
            return None
        times, most = sorted(at for at in all_times if at >= self.first_front_fault), 0
        for n, at in enumerate(times):
            most = max(most, bisect_left(times, at + WINDOW) - n)
        return most * SECOND / WINDOW / usual

    def usual_service(self) -> float | None:
        """The share of worth served of what came before the fault."""
        if self.calm_until is None:
            return None
        since = self.start + (self.calm_until - self.start) // SETTLING_DIVISOR
        before = [w for w in self.worth_records if since <= w[0] < self.calm_until]
        asked = sum(w[1] for w in before)
        return sum(w[2] for w in before) / asked if asked else None

    def time_to_full_service(self, end: int) -> float | None:
        """Seconds from the last return until each second's share is 0.97 of the usual and stays so for 3 s.

        None where it never is by `end`, or no front came back.
        """
        usual = self.usual_service()
        if usual is None or self.last_return is None:
            return None
        ordered = sorted(self.worth_records)
        times = [w[0] for w in ordered]
        asked = [0.0, *accumulate(w[1] for w in ordered)]
        served = [0.0, *accumulate(w[2] for w in ordered)]

        def good(at: int) -> bool:
            a, b = bisect_left(times, at), bisect_left(times, at + SECOND)
            return served[b] - served[a] >= FULL_SERVICE_SHARE * usual * (asked[b] - asked[a])

        steps, run = HOLDS * SECOND // STEP - SECOND // STEP, 0
        at = self.last_return
        while at + SECOND <= end:
            run = run + 1 if good(at) else 0
            if run > steps:
                return (at - steps * STEP - self.last_return) / SECOND
            at += STEP
        return None
