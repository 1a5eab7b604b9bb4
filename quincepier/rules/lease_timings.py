"""Durations that the two sides of a lease share, and the allowance for clocks that drift apart."""

from __future__ import annotations

from dataclasses import dataclass

from quincepier.rules.errors import RulesError

NS_PER_MS = 1_000_000


@dataclass(slots=True, frozen=True)
class LeaseTimings:
    """Timing of leases, in nanoseconds.

    The lease bounds for how long an unsafe request can be refused while its tenant migrates. There are four
    requests to a lease, so three in a row may be lost.

    Attributes:
        lease_ns: Duration of a lease.
        request_interval_ns: Between two requests of a front.
        clock_drift_margin: Fraction by which the leader counts longer: two clocks, each wrong by 2 in 100.
        max_attempt_ns: The longest that an attempt at a cache can be open.
        unreachable_front_timeout_ns: After which a front that is not heard any more is forgotten.
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
            raise RulesError("durations of leases are above 0, the margin between 0 and 1", "lease timings")

    def with_drift_margin(self, duration_ns: int) -> int:
        """Return for how long the leader waits so that a front's clock has surely counted the duration."""
        return duration_ns + int(duration_ns * self.clock_drift_margin) + 1
