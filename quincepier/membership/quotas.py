"""The quota of this front: its fraction of a limit that all fronts share.

**The sum over all fronts never exceeds the whole limit**, while no more fronts run than the settings say
(the configured fronts):

1. Without leases, each front uses one configured fraction (the whole divided by the configured fronts),
   whatever its view is. A partition and a death of fronts look the same: if each half of a partitioned fleet
   divided the whole among its own members, the whole would be used twice. So a view only makes a quota
   smaller (`LiveMemberCount`): if more fronts are seen than configured, the whole is divided by the number
   seen. A front that vanished still counts until it is forgotten; a front that announced its leave does not.
2. A larger quota needs a lease from the quorum (`QuotaGrant`). Where leases are in use, a front without one
   **first** drops to a quarter of its configured fraction: its lease ends by its own clock before the lease
   ends in the table that granted it.
3. The granting table (`QuotaTable`, one at a time, at the leader) regards a front as gone only after the
   longer expiry time of the table plus the longest attempt. Only then do the quotas of the others grow.
4. A joining front gets its quota once each of the others has reported the smaller quota or is gone.
5. A new leader enlarges no quota and grants none to further fronts until everything that its predecessor
   granted has expired; until then it renews each front's existing grant.

Attempts that started under a larger quota may run for the longest attempt, so the larger quota counts for
that time (`QuotaHolder.reported_grant`). A front that restarts within that time of its death uses a quarter
of a configured fraction in addition to its attempts that are still open.

No I/O: times are in nanoseconds, each of the clock of the process that measures it.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, replace
from fractions import Fraction
from typing import NamedTuple

UNLEASED_FRACTION = Fraction(1, 4)  # quota of a front without a lease, as a share of its configured fraction
CLOCK_DRIFT_MARGIN_NS = 250_000_000  # a lease lasts longer in the table than at its holder by this time
MAX_FRONTS = 4096


class LiveMemberCount:
    """Counts the fronts that share the limit by membership views alone, without leases."""

    def __init__(self, name: str, configured_fronts: int, forget_after_ns: int) -> None:
        """Starts with this front as the only member.

        Args:
            name: This front's name.
            configured_fronts: The number of fronts in the settings.
            forget_after_ns: The time for which a vanished front still counts.
        """
        self._name = name
        self._configured_fronts = max(configured_fronts, 1)
        self._forget_after_ns = forget_after_ns
        self._members: frozenset[str] = frozenset((name,))
        self._vanished_at_ns: dict[str, int] = {}  # by name

    def on_view_changed(self, now_ns: int, members: Iterable[str], departed: Iterable[str] = ()) -> int:
        """Updates the count for a new view.

        Args:
            now_ns: The current time in nanoseconds.
            members: The names in the view.
            departed: Names of the members that announced their leave.

        Returns:
            The number of fronts that the whole is divided by.
        """
        previous = self._members
        self._members = frozenset((*members, self._name))
        departed_names = frozenset(departed)
        for name in previous - self._members - departed_names:
            if len(self._vanished_at_ns) < MAX_FRONTS:
                self._vanished_at_ns[name] = now_ns
        for name in [n for n in self._vanished_at_ns if n in self._members or n in departed_names]:
            del self._vanished_at_ns[name]
        return self.divisor(now_ns)

    def divisor(self, now_ns: int) -> int:
        """Returns the number of fronts that the whole is divided by now."""
        for name, vanished_at_ns in list(self._vanished_at_ns.items()):
            if now_ns - vanished_at_ns > self._forget_after_ns:
                del self._vanished_at_ns[name]
        return max(self._configured_fronts, len(self._members) + len(self._vanished_at_ns))


def quota_fraction(configured_fronts: int, holder_count: int) -> Fraction:
    """Returns the quota of each lease holder.

    Args:
        configured_fronts: The number of fronts in the settings. Each front without a lease uses
            UNLEASED_FRACTION of a configured fraction.
        holder_count: The number of lease holders.
    """
    if holder_count >= configured_fronts:
        return Fraction(1, holder_count)
    return (1 - (configured_fronts - holder_count) * UNLEASED_FRACTION / configured_fronts) / holder_count


class GrantNumber(NamedTuple):
    """Orders grants by the leader's term, then by the sequence number within the term."""

    term: int
    sequence: int


@dataclass(slots=True, frozen=True)
class QuotaGrant:
    """The lease of a quota as one of `holder_count` holders; a grant supersedes grants with lower numbers."""

    number: GrantNumber
    holder_count: int


NO_GRANT = QuotaGrant(GrantNumber(0, 0), 0)


class QuotaHolder:
    """The front's side of the lease; each renewal request reports the grant that the front holds."""

    def __init__(self, configured_fronts: int, lease_ns: int, max_attempt_ns: int) -> None:
        """Starts without a lease.

        Args:
            configured_fronts: The number of fronts in the settings.
            lease_ns: The duration of a lease, counted from its request.
            max_attempt_ns: The maximum duration of an attempt.
        """
        self._configured_fronts = max(configured_fronts, 1)
        self._lease_ns = lease_ns
        self._max_attempt_ns = max_attempt_ns
        self._grant = NO_GRANT
        self._expires_ns = 0
        self._larger_grant = NO_GRANT  # an earlier grant under which attempts may still run
        self._larger_until_ns = 0

    def reported_grant(self, now_ns: int) -> QuotaGrant:
        """Returns the grant to report: a smaller one once no attempt under the larger one can be open."""
        return self._larger_grant if now_ns < self._larger_until_ns else self.current_grant(now_ns)

    def current_grant(self, now_ns: int) -> QuotaGrant:
        """Returns the grant in force; `NO_GRANT` without a lease."""
        return self._grant if now_ns < self._expires_ns else NO_GRANT

    def on_grant(self, now_ns: int, requested_at_ns: int, grant: QuotaGrant) -> None:
        """Handles the grant for a request; the lease is counted from the time of the request."""
        if grant.number >= self._grant.number and requested_at_ns + self._lease_ns > now_ns:
            was_recently_held = now_ns < self._expires_ns + self._max_attempt_ns  # or is still held
            if was_recently_held and 0 < self._grant.holder_count < grant.holder_count:
                self._larger_grant = self._larger_grant if now_ns < self._larger_until_ns else self._grant
                self._larger_until_ns = now_ns + self._max_attempt_ns
            self._grant = grant
            self._expires_ns = max(requested_at_ns + self._lease_ns, self._expires_ns)

    def quota(self, now_ns: int) -> Fraction:
        """Returns the fraction of the whole limit that this front may use."""
        grant = self.current_grant(now_ns)
        if grant.holder_count:
            return quota_fraction(self._configured_fronts, grant.holder_count)
        return UNLEASED_FRACTION / self._configured_fronts


@dataclass(slots=True, frozen=True)
class _TableEntry:
    """The lowest-numbered grant that a front may still use, and when that use has certainly ended."""

    grant: QuotaGrant
    expires_ns: int


class QuotaTable:
    """The leader's side, for one term. It has no state of earlier terms."""

    def __init__(self, term: int, lease_ns: int, max_attempt_ns: int, now_ns: int) -> None:
        """Starts without grants.

        Args:
            term: The leader's term.
            lease_ns: The duration of a lease at its holder.
            max_attempt_ns: The maximum duration of an attempt, which may outlast the lease.
            now_ns: The current time in nanoseconds.
        """
        self._term = term
        self._expiry_ns = lease_ns + CLOCK_DRIFT_MARGIN_NS + max_attempt_ns
        self._ready_ns = now_ns + self._expiry_ns  # from then on every grant in force is from this table
        self._entries: dict[str, _TableEntry] = {}
        self._joining_until_ns: dict[str, int] = {}  # by name of a front that waits for its first grant
        self._sequence = 0
        self._holder_count = 0  # in the newest grant

    def on_request(self, now_ns: int, name: str, reported: QuotaGrant) -> QuotaGrant | None:
        """Handles a front's request.

        Args:
            now_ns: The current time in nanoseconds.
            name: The front's name.
            reported: The grant that the front reports.

        Returns:
            The grant; None if the front gets no grant yet.
        """
        if now_ns < self._ready_ns:
            return self._renew_unchanged(now_ns, name, reported)
        self._remove_expired(now_ns)
        self._record_report(now_ns, name, reported)
        self._renumber()
        if name not in self._entries:
            if self._has_older_grants():
                return None  # the others have not all reported the smaller quota yet
            del self._joining_until_ns[name]
        grant = QuotaGrant(self._newest_number, self._holder_count)
        entry = self._entries.get(name)
        oldest = entry.grant if entry else grant
        self._entries[name] = _TableEntry(oldest, now_ns + self._expiry_ns)
        return grant

    def release(self, name: str) -> None:
        """Removes a front that leaves and has no open attempts."""
        self._entries.pop(name, None)
        self._joining_until_ns.pop(name, None)

    @property
    def _newest_number(self) -> GrantNumber:
        return GrantNumber(self._term, self._sequence)

    def _renew_unchanged(self, now_ns: int, name: str, reported: QuotaGrant) -> QuotaGrant | None:
        """Renews a predecessor's grant under its old number; a front with a newer grant ignores it."""
        if not reported.holder_count:
            return None
        self._entries[name] = _TableEntry(reported, now_ns + self._expiry_ns)
        return reported

    def _record_report(self, now_ns: int, name: str, reported: QuotaGrant) -> None:
        entry = self._entries.get(name)
        if entry is not None:
            newer = max(entry.grant, reported, key=lambda grant: grant.number)
            self._entries[name] = replace(entry, grant=newer if reported.holder_count else entry.grant)
        elif len(self._joining_until_ns) + len(self._entries) < MAX_FRONTS:
            self._joining_until_ns[name] = now_ns + self._expiry_ns

    def _has_older_grants(self) -> bool:
        return any(entry.grant.number < self._newest_number for entry in self._entries.values())

    def _remove_expired(self, now_ns: int) -> None:
        self._entries = {name: entry for name, entry in self._entries.items() if now_ns < entry.expires_ns}
        self._joining_until_ns = {
            name: until_ns for name, until_ns in self._joining_until_ns.items() if now_ns < until_ns
        }

    def _renumber(self) -> None:
        holder_count = len(self._entries) + len(self._joining_until_ns)
        if holder_count != self._holder_count:
            self._sequence += 1
            self._holder_count = holder_count
