"""A front's side of a lease: the rule version that it decides by, and until when it may.

Safety: while the leader says that a number is active, no front that holds a lease decides by an older
version, and every other front is in cautious mode. A front counts its lease from when it made the request,
the leader from when it answered and longer by `LeaseTimings.clock_drift_margin`; so the front's always ends
first, as long as the rates of two clocks differ by less than that. Both use a monotonic clock that also runs
while the process or its machine is paused (CLOCK_BOOTTIME). Whoever decides calls `LeaseHolder.is_cautious`
with a clock read at that decision, so a process pause ends the lease before the next decision and not by a
timer after it.

Gray and Cheriton, Leases (1989); the wait of a new leader as in Ongaro's thesis, section 6.4.
"""

from __future__ import annotations

from quincepier.rules.errors import RulesError
from quincepier.rules.lease_messages import LeaseGrant
from quincepier.rules.lease_timings import NS_PER_MS, LeaseTimings
from quincepier.rules.version import RuleVersion, initial_version

MAX_OPEN_REQUESTS = 16  # of one front; the oldest is given up


class LeaseHolder:
    """The lease of one incarnation of a front. Times are nanoseconds of the front's own clock.

    It starts without a lease, whatever an earlier incarnation held.

    Attributes:
        timings: Timing.
        incarnation: Of the front; higher at each start.
        version: The version that it decides by. One that was stored by an earlier incarnation counts for
            cautious mode alone.
        lease_until_ns: When the lease ends.
        last_token: Of the newest request.
        request_time_by_token: When each open request was made.
        next_request_ns: When the next request is due.
        has_first_answer: Whether it ever had the version that a grant named.
        conflicting_number: Number under which it met another version than its own; -1 if none.
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
        """Whether it holds no lease; to be called at each decision, with a clock read then."""
        return now_ns >= self.lease_until_ns or self.conflicting_number == self.version.number

    def is_awaiting_first_answer(self) -> bool:
        """Whether it has started and does not know yet what was committed.

        What it has stored or heard in passing may be older than what an earlier incarnation was granted, so
        the front waits a little for an answer before it serves.
        """
        return not self.has_first_answer

    def begin_request(self, now_ns: int) -> int:
        """Return the token of a new request; `now_ns` is read before the request goes to the transport."""
        self.last_token += 1
        self.request_time_by_token[self.last_token] = now_ns
        if len(self.request_time_by_token) > MAX_OPEN_REQUESTS:
            del self.request_time_by_token[next(iter(self.request_time_by_token))]
        self.next_request_ns = now_ns + self.timings.request_interval_ns
        return self.last_token

    def adopt(self, version: RuleVersion) -> bool:
        """Decide by a version if it is newer.

        Returns:
            Whether it was newer.

        Raises:
            RulesError: It is another version under the same number; there is no lease for that number then.
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
        """Take the answer to a request, with the version that it names where that came along.

        Returns:
            Whether a newer version was adopted. The front asks again at once then, since only that request
            is answered with a lease.

        Raises:
            RulesError: As `adopt`.
        """
        if grant.incarnation != self.incarnation:
            return False  # for an earlier incarnation of this front
        is_adopted = version is not None and self.adopt(version)
        requested_at_ns = self.request_time_by_token.pop(grant.token, None)
        self._give_up_requests_before(grant.token)
        if requested_at_ns is not None and grant.version_number <= self.version.number:
            self.has_first_answer = True
            if grant.lease_ms:
                lease_ns = min(grant.lease_ms * NS_PER_MS, self.timings.lease_ns)
                self.lease_until_ns = max(self.lease_until_ns, requested_at_ns + lease_ns)
        if is_adopted:
            self.next_request_ns = now_ns
        return is_adopted

    def _give_up_requests_before(self, token: int) -> None:
        for older in [t for t in self.request_time_by_token if t < token]:
            del self.request_time_by_token[older]
