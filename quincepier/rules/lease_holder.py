"""Who decides by which version: a lease that a front holds, and the leader's ledger of what it granted.

What holds, in plain words: while the leader says that a number is in force, no front that has a lease decides
by an older one, and every other front keeps to its cautious set. A front counts its lease from when it
asked, the leader from when it answered and longer by `Pace.margin`, so the front's always ends first, as long
as two clocks differ in pace by less than that. Both use a monotonic clock that also runs while the process or
its machine stands still (CLOCK_BOOTTIME); whoever decides asks `Holder.cautious` with a clock read at that
decision, so that a standstill ends the lease before the next decision and not by a timer after it.

Gray and Cheriton, Leases (1989); the wait of a new leader as in Ongaro's thesis, section 6.4.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Annotated

import msgspec

from quincepier.rules.errors import RulesError
from quincepier.rules.reports import FrontReport
from quincepier.rules.version import RuleVersion, initial_version

MS = 1_000_000
MAX_OPEN_REQUESTS = 16  # of one front that wait for an answer
MAX_FRONTS = 4096
MAX_REQUEST_BYTES = 1 << 20  # bytes of an ask, its report included
MAX_GRANT_BYTES = 256
Number = Annotated[int, msgspec.Meta(ge=0, le=(1 << 62))]


@dataclass(slots=True, frozen=True)
class LeaseTimings:
    """Nanoseconds. The lease bounds for how long a request that may not be repeated can be refused while a
    tenant moves; the asks are four to a lease, so that three in a row may be lost.
    """

    lease_ns: int = 1000 * MS
    request_interval_ns: int = 250 * MS  # between asks
    clock_drift_margin: float = 0.05  # by which the leader counts longer: two clocks each wrong by 2 in 100
    max_attempt_ns: int = (
        10_000 * MS
    )  # the longest an attempt can be open; the shell gives that of its settings
    silent_front_timeout_ns: int = 120_000 * MS  # after which a front that fell silent is held to be no more

    def __post_init__(self) -> None:
        if (
            min(self.lease_ns, self.request_interval_ns, self.max_attempt_ns, self.silent_front_timeout_ns)
            <= 0
            or not 0 < self.clock_drift_margin < 1
        ):
            raise RulesError("times of leases are above 0, the margin between 0 and 1", "pace")

    def with_drift_margin(self, span: int) -> int:
        return span + int(span * self.clock_drift_margin) + 1


class LeaseRequest(msgspec.Struct, frozen=True, array_like=True):
    """A front's report; the leader answers it by a grant."""

    token: Number
    report: FrontReport


class LeaseGrant(msgspec.Struct, frozen=True, array_like=True):
    """The newest agreed version by number; a lease of 0: adopt that first, then ask again."""

    incarnation: Number  # incarnation of the front that asked
    token: Number
    version_number: Number
    lease_ms: Annotated[int, msgspec.Meta(ge=0, le=60_000)]


_encode = msgspec.msgpack.Encoder().encode
_ask, _grant = msgspec.msgpack.Decoder(LeaseRequest), msgspec.msgpack.Decoder(LeaseGrant)


def encode_message(words: LeaseRequest | LeaseGrant) -> bytes:
    return _encode(words)


def decode_lease_request(raw: bytes) -> LeaseRequest:
    """RulesError for anything that is none."""
    if len(raw) > MAX_REQUEST_BYTES:
        raise RulesError("an ask is too long")
    try:
        return _ask.decode(raw)
    except (msgspec.DecodeError, ValueError, RecursionError) as error:
        raise RulesError(f"not an ask: {str(error)[:100]}") from None


def decode_lease_grant(raw: bytes) -> LeaseGrant:
    """RulesError for anything that is none."""
    if len(raw) > MAX_GRANT_BYTES:
        raise RulesError("a grant is too long")
    try:
        return _grant.decode(raw)
    except (msgspec.DecodeError, ValueError, RecursionError) as error:
        raise RulesError(f"not a grant: {str(error)[:100]}") from None


class LeaseHolder:
    """One front's side: the version that it decides by, and for how long it is sure of it.

    It starts without a lease, whatever an earlier start of it held.
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

    def __init__(self, start: int, now: int, pace: LeaseTimings, version: RuleVersion | None = None) -> None:
        self.timings, self.incarnation = pace, start
        self.version = version or initial_version()  # one kept over a start counts for the cautious set alone
        self.lease_until_ns = now  # its own clock; a lease ends as this is reached
        self.last_token, self.request_time_by_token = 0, dict[int, int]()  # when each open ask was made
        self.next_request_ns = now  # when to ask again
        self.has_first_answer = False  # whether this start ever had the version that an answer named
        self.conflicting_number = -1  # the number by which it was found to decide otherwise than most

    def is_cautious(self, now: int) -> bool:
        """To be asked at each decision, with a clock read then."""
        return now >= self.lease_until_ns or self.conflicting_number == self.version.number

    def is_awaiting_first_answer(self) -> bool:
        """Whether it started and does not know yet what was agreed: what it kept, or heard by the way, may be
        older than what its earlier start was told. It waits a little for an answer before it serves.
        """
        return not self.has_first_answer

    def begin_request(self, now: int) -> int:
        """The token of a new ask. `now` is read before the ask is handed to the transport."""
        self.last_token += 1
        self.request_time_by_token[self.last_token] = now
        if len(self.request_time_by_token) > MAX_OPEN_REQUESTS:
            del self.request_time_by_token[next(iter(self.request_time_by_token))]
        self.next_request_ns = now + self.timings.request_interval_ns
        return self.last_token

    def adopt(self, version: RuleVersion) -> bool:
        """Whether it is newer. RulesError where two versions have one number: then it is in doubt of it."""
        mine = self.version
        if version.number == mine.number and version.number and version.digest != mine.digest:
            self.conflicting_number = mine.number
            raise RulesError(f"two versions of number {mine.number}", f"digest {version.digest}")
        if version.number <= mine.number:
            return False
        self.version = version
        return True

    def on_grant(self, now: int, grant: LeaseGrant, version: RuleVersion | None = None) -> bool:
        """An answer came, with the version it names where that came along. Whether a newer one was adopted:
        then it asks again at once, since only that ask is answered with a lease.
        """
        if grant.incarnation != self.incarnation:
            return False  # meant for an earlier start of this front
        adopted = version is not None and self.adopt(version)
        asked = self.request_time_by_token.pop(grant.token, None)
        for token in [t for t in self.request_time_by_token if t < grant.token]:
            del self.request_time_by_token[token]
        current = asked is not None and grant.version_number <= self.version.number
        self.has_first_answer = self.has_first_answer or current
        if asked is not None and current and grant.lease_ms:
            self.lease_until_ns = max(
                self.lease_until_ns, asked + min(grant.lease_ms * MS, self.timings.lease_ns)
            )
        if adopted:
            self.next_request_ns = now
        return adopted
