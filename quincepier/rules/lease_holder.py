"""The front's side of a lease: the rule version by which it decides, and until when it may do so.

Safety: while the leader considers a version number active, no front that holds a lease decides by an older
version, and every other front is in cautious mode. A front counts its lease from the time of its request, the
leader from the time of its answer and longer by `LeaseTimings.clock_drift_margin`. The lease therefore always
ends at the front first, as long as the rates of the two clocks differ by less than that margin. Both use a
monotonic clock that also runs while the process or its machine is paused (CLOCK_BOOTTIME). Each decision
calls `LeaseHolder.is_cautious` with a clock read for that decision, so after a process pause an expired lease
is noticed before the next decision and not by a timer after it.

Gray and Cheriton, Leases (1989); the wait of a new leader as in Ongaro's thesis, section 6.4.
"""

from __future__ import annotations

from quincepier.rules.errors import RulesError
from quincepier.rules.lease_messages import LeaseGrant
from quincepier.rules.lease_timings import NS_PER_MS, LeaseTimings
from quincepier.rules.version import RuleVersion, initial_version

MAX_OPEN_REQUESTS = 16  # of one front; beyond this the oldest is dropped


class LeaseHolder:
    """The lease of one incarnation of a front. Times are nanoseconds of the front's own clock.

    It starts without a lease, whatever an earlier incarnation held.

    Attributes:
        timings: Durations of leases and requests.
        incarnation: Incarnation number of the front; higher at each start.
        version: The version by which it decides. One that an earlier incarnation stored is used in cautious
            mode only.
        lease_until_ns: When the lease ends.
        last_token: Token of the newest request.
        request_time_by_token: When each open request was made, by its token.
        next_request_ns: When the next request is due.
        has_first_answer: Whether it has ever had the version that a grant named, or a newer one.
        conflicting_number: Number under which it received a version other than its own; -1 if none.
    """

    __slots__ = (
        "conflicting_number",
        "has_first_answer",
        "incarnation",
        "last_token",
        "lease_until_ns",
        "next_request_ns",
        "request_time_by_token",
        "timings",
        "version",
    )

    def __init__(
        self, incarnation: int, now_ns: int, timings: LeaseTimings, version: RuleVersion | None = None
    ) -> None:
        self.timings = timings
        self.incarnation = incarnation
        self.version = version or initial_version()
        self.lease_until_ns = now_ns
        self.last_token = 0
        self.request_time_by_token = dict[int, int]()
        self.next_request_ns = now_ns
        self.has_first_answer = False
        self.conflicting_number = -1

    def is_cautious(self, now_ns: int) -> bool:
        """Whether it holds no lease; to be called at each decision, with a clock read for that decision."""
        return now_ns >= self.lease_until_ns or self.conflicting_number == self.version.number

    def is_awaiting_first_answer(self) -> bool:
        """Whether it has not learned the newest committed version since its start.

        The version that it stored or received otherwise may be older than the version that an earlier
        incarnation was granted, so the front briefly waits for an answer before it serves.
        """
        return not self.has_first_answer

    def begin_request(self, now_ns: int) -> int:
        """Return the token of a new request; `now_ns` must be read before the request is sent."""
        self.last_token += 1
        self.request_time_by_token[self.last_token] = now_ns
        if len(self.request_time_by_token) > MAX_OPEN_REQUESTS:
            del self.request_time_by_token[next(iter(self.request_time_by_token))]
        self.next_request_ns = now_ns + self.timings.request_interval_ns
        return self.last_token

    def adopt(self, version: RuleVersion) -> bool:
        """Decide by `version` from now on if it is newer.

        Returns:
            Whether it was newer.

        Raises:
            RulesError: It differs from the current version of the same number; no lease is valid for that
                number then.
        """
        current = self.version
        has_same_number = version.number == current.number and version.number != 0
        if has_same_number and version.digest != current.digest:
            self.conflicting_number = current.number
            raise RulesError(f"two versions of number {current.number}", f"digest {version.digest}")
        if version.number <= current.number:
            return False
        self.version = version
        return True

    def on_grant(self, now_ns: int, grant: LeaseGrant, version: RuleVersion | None = None) -> bool:
        """Handle the grant for a request, with the version that it names if that was sent along.

        Returns:
            Whether a newer version was adopted. If so, the next request is due at once, since a lease is
            granted only to a front that reports the newest version.

        Raises:
            RulesError: As `adopt`.
        """
        if grant.incarnation != self.incarnation:
            return False  # granted to an earlier incarnation of this front
        is_adopted = version is not None and self.adopt(version)
        requested_at_ns = self.request_time_by_token.pop(grant.token, None)
        self._drop_requests_before(grant.token)
        if requested_at_ns is not None and grant.version_number <= self.version.number:
            self.has_first_answer = True
            if grant.lease_ms:
                lease_ns = min(grant.lease_ms * NS_PER_MS, self.timings.lease_ns)
                self.lease_until_ns = max(self.lease_until_ns, requested_at_ns + lease_ns)
        if is_adopted:
            self.next_request_ns = now_ns
        return is_adopted

    def _drop_requests_before(self, token: int) -> None:
        for older_token in [other for other in self.request_time_by_token if other < token]:
            del self.request_time_by_token[older_token]
