"""Recovery of a fleet after faults: stampede factors and the time to full service; no clock.

Times are nanoseconds of the run. The time before the first fault of any kind is the baseline.
"""

from __future__ import annotations

from bisect import bisect_left
from collections import defaultdict
from itertools import accumulate

STAMPEDE_WINDOW = 500_000_000  # ns; a stampede factor is the peak rate over such a window
SECOND = 1_000_000_000
FULL_SERVICE_SHARE, FULL_SERVICE_SECONDS = 0.97, 3  # share of the baseline's served worth; for how long
STEP = SECOND // 10  # between the starts of the seconds that are tested for full service
SETTLING_DIVISOR = 3  # the first third of the baseline is left out: connections and stores fill then
MIN_EVENTS = 5  # fewer events in the baseline give no usual rate


class RecoveryMetrics:
    """Counts the events of a fleet, and the worth of each request and how much of it was served.

    Attributes:
        start: Start of the run.
        calm_until: First fault of any kind, the end of the baseline; None before it.
        first_front_fault: First fault on fronts.
        last_return: When the last front that was down served again.
        restart_time_by_front: When each front that had ended last served again.
        worth_records: Time of the first try, worth and served worth of each request.
    """

    def __init__(self, start: int) -> None:
        self.start = start
        self.calm_until: int | None = None
        self.first_front_fault: int | None = None
        self.last_return: int | None = None
        self.times_by_event: dict[str, list[int]] = defaultdict(list)
        self.times_by_event_and_machine: dict[str, dict[int, list[int]]] = defaultdict(
            lambda: defaultdict(list)
        )
        self.times_by_event_and_front: dict[str, dict[int, list[int]]] = defaultdict(
            lambda: defaultdict(list)
        )
        self.restart_time_by_front: dict[int, int] = {}
        self.worth_records: list[tuple[int, float, float]] = []

    def count(self, event: str, now: int, machine: int | None = None, front: int | None = None) -> None:
        """Count one event of a kind, with its machine and front where known."""
        self.times_by_event[event].append(now)
        if front is not None:
            self.times_by_event_and_front[event][front].append(now)
        if machine is not None:
            self.times_by_event_and_machine[event][machine].append(now)

    def on_fault(self, now: int, fronts: bool) -> None:
        """A fault starts; `fronts` is whether it affects fronts."""
        if self.calm_until is None:
            self.calm_until = now
        if self.first_front_fault is None and fronts:
            self.first_front_fault = now

    def on_front_returned(self, now: int) -> None:
        """A front that was down or paused serves again."""
        self.last_return = max(now, self.last_return or 0)

    def on_front_restarted(self, now: int, front: int) -> None:
        """A front that had ended serves again."""
        self.restart_time_by_front[front] = now

    def after_restarts(self, event: str) -> int:
        """Count the events of restarted fronts from the fault until a second after each one's return."""
        fault = self.first_front_fault or 0
        return sum(
            fault <= at < back + SECOND
            for front, back in self.restart_time_by_front.items()
            for at in self.times_by_event_and_front[event][front]
        )

    def on_request_finished(self, first_sent_at: int, asked: float, served: float) -> None:
        """Record a request's worth (`asked`) and the worth of its response (`served`)."""
        self.worth_records.append((first_sent_at, asked, served))

    def usual_rate(self, event: str) -> float | None:
        """Return the baseline's events per second; None with too few events."""
        return self._rate_before_fault(self.times_by_event[event])

    def _rate_before_fault(self, times: list[int]) -> float | None:
        if self.calm_until is None:
            return None
        since = self.start + (self.calm_until - self.start) // SETTLING_DIVISOR
        seen = sum(since <= at < self.calm_until for at in times)
        return (
            seen * SECOND / (self.calm_until - since)
            if seen >= MIN_EVENTS and self.calm_until > since
            else None
        )

    def stampede(self, event: str) -> float | None:
        """Return the peak rate of any 500 ms after the fault, as a multiple of the usual rate."""
        return self._stampede(self.times_by_event[event])

    def worst_stampede(self, event: str) -> float | None:
        """Return the greatest stampede factor of any machine whose usual rate is known."""
        factors = [
            f
            for times in self.times_by_event_and_machine[event].values()
            if (f := self._stampede(times)) is not None
        ]
        return max(factors, default=None)

    def _stampede(self, all_times: list[int]) -> float | None:
        usual = self._rate_before_fault(all_times)
        if usual is None or self.first_front_fault is None:
            return None
        times, peak_count = sorted(at for at in all_times if at >= self.first_front_fault), 0
        for n, at in enumerate(times):
            peak_count = max(peak_count, bisect_left(times, at + STAMPEDE_WINDOW) - n)
        return peak_count * SECOND / STAMPEDE_WINDOW / usual

    def usual_service(self) -> float | None:
        """Return the share of worth that was served in the baseline."""
        if self.calm_until is None:
            return None
        since = self.start + (self.calm_until - self.start) // SETTLING_DIVISOR
        before = [w for w in self.worth_records if since <= w[0] < self.calm_until]
        asked = sum(w[1] for w in before)
        return sum(w[2] for w in before) / asked if asked else None

    def time_to_full_service(self, end: int) -> float | None:
        """Return the seconds from the last return until service is full, or None.

        Service is full once the served share of worth is at least 0.97 of the baseline's for 3 s. None if
        it is not full by `end` or no front returned.
        """
        usual = self.usual_service()
        if usual is None or self.last_return is None:
            return None
        ordered = sorted(self.worth_records)
        times = [w[0] for w in ordered]
        asked = [0.0, *accumulate(w[1] for w in ordered)]
        served = [0.0, *accumulate(w[2] for w in ordered)]

        def has_full_service(at: int) -> bool:
            a, b = bisect_left(times, at), bisect_left(times, at + SECOND)
            return served[b] - served[a] >= FULL_SERVICE_SHARE * usual * (asked[b] - asked[a])

        steps, run = FULL_SERVICE_SECONDS * SECOND // STEP - SECOND // STEP, 0
        at = self.last_return
        while at + SECOND <= end:
            run = run + 1 if has_full_service(at) else 0
            if run > steps:
                return (at - steps * STEP - self.last_return) / SECOND
            at += STEP
        return None
