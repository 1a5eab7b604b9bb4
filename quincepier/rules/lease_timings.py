"""Durations shared by the two sides of a lease, and the margin for clock drift."""

from __future__ import annotations

from dataclasses import dataclass

from quincepier.rules.errors import RulesError

NS_PER_MS = 1_000_000


@dataclass(slots=True, frozen=True)
class LeaseTimings:
    """Timing of leases, in nanoseconds.

    The duration of a lease limits how long an unsafe request can be rejected while its tenant migrates. A
    front sends four requests per lease, so three in a row may be lost.

    Attributes:
        lease_ns: Duration of a lease.
        request_interval_ns: Interval between the requests of a front.
        clock_drift_margin: Fraction by which the leader counts a lease longer; covers two clocks whose rates
            are each wrong by 2 %.
        max_attempt_ns: Longest time that an attempt at a cache can be open.
        unreachable_front_timeout_ns: Time after its lease at which an unreachable front is forgotten.
    """

    lease_ns: int = 1000 * NS_PER_MS
    request_interval_ns: int = 250 * NS_PER_MS
    clock_drift_margin: float = 0.05
    max_attempt_ns: int = 10_000 * NS_PER_MS
    unreachable_front_timeout_ns: int = 120_000 * NS_PER_MS

    def __post_init__(self) -> None:
        durations = (
            self.lease_ns,
            self.request_interval_ns,
            self.max_attempt_ns,
            self.unreachable_front_timeout_ns,
        )
        if min(durations) <= 0 or not 0 < self.clock_drift_margin < 1:
            raise RulesError(
                "durations must be above 0, and the clock drift margin between 0 and 1", "lease timings"
            )

    def with_drift_margin(self, duration_ns: int) -> int:
        """Return the time that the leader waits for `duration_ns` to have passed by any front's clock."""
        return duration_ns + int(duration_ns * self.clock_drift_margin) + 1
