"""The quota of this front: its fraction of a limit that all fronts share.

**The sum over all fronts never exceeds the whole**, while no more fronts run than the settings say:

1. Without a lease a front uses one fraction in as many as the settings say, whatever its view is. A partition
   and a death look the same: two halves that each divided the whole among themselves would use it twice. So a
   view makes a quota smaller, never larger (`LiveMemberCount`): where more fronts are seen than the settings
   say, by so many. Who vanished still counts until it is forgotten; who announced that it leaves does not.
2. A larger quota needs a lease from the quorum (`QuotaGrant`). Where leases are given, whoever has none goes
   down to a quarter of its fraction **first**, when its lease ends by its own count, which ends before the
   one of the table that granted it.
3. Whoever grants (`QuotaTable`, one at a time, at the leader) counts a front as gone when that lease has
   ended by its own longer count and the longest attempt besides; only then do the others grow.
4. Who joins gets its quota when each of the others has reported that it went down to the smaller one, or is
   gone.
5. A new leader enlarges no quota, and grants none to anybody new, before whatever its predecessor granted has
   expired; meanwhile it renews for each what that one had.

What began under a larger quota may run for the longest attempt: for so long it counts
(`QuotaHolder.reported_grant`). A front that is restarted within that time of its death uses a quarter of a
fraction besides what it had open.

Pure: times in nanoseconds, each of the clock of the one who counts.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, replace
from fractions import Fraction
from typing import NamedTuple

UNLEASED_FRACTION = Fraction(1, 4)  # of a configured fraction: for a front without a lease
CLOCK_DRIFT_MARGIN_NS = 250_000_000  # by which the table counts a lease longer than its holder
MAX_FRONTS = 4096


class LiveMemberCount:
    """By views alone: by how many fronts this one divides."""

    def __init__(self, name: str, configured_fronts: int, forget_after_ns: int) -> None:
        """Starts with this front alone.

        Args:
            name: This front's name.
            configured_fronts: As many as the settings say.
            forget_after_ns: For how long a front that vanished still counts.
        """
        self._name = name
        self._configured_fronts = max(configured_fronts, 1)
        self._forget_after_ns = forget_after_ns
        self._members: frozenset[str] = frozenset((name,))
        self._vanished_at_ns: dict[str, int] = {}  # by name

    def on_view_changed(self, now_ns: int, members: Iterable[str], departed: Iterable[str] = ()) -> int:
        """Takes a new view in.

        Args:
            now_ns: The current time in nanoseconds.
            members: The names in the view.
            departed: Those not in it that announced their leave.

        Returns:
            The divisor.
        """
        previous = self._members
        self._members = frozenset((*members, self._name))
        left = frozenset(departed)
        for name in previous - self._members - left:
            if len(self._vanished_at_ns) < MAX_FRONTS:
                self._vanished_at_ns[name] = now_ns
        for name in [n for n in self._vanished_at_ns if n in self._members or n in left]:
            del self._vanished_at_ns[name]
        return self.divisor(now_ns)

    def divisor(self, now_ns: int) -> int:
        """Returns by how many fronts the whole is divided now."""
        for name, vanished_at_ns in list(self._vanished_at_ns.items()):
            if now_ns - vanished_at_ns > self._forget_after_ns:
                del self._vanished_at_ns[name]
        return max(self._configured_fronts, len(self._members) + len(self._vanished_at_ns))


def quota_fraction(configured_fronts: int, holder_count: int) -> Fraction:
    """Returns the quota of each lease holder.

    Args:
        configured_fronts: As many as the settings say; those without a lease use UNLEASED_FRACTION each.
        holder_count: How many hold a lease.
    """
    if holder_count >= configured_fronts:
        return Fraction(1, holder_count)
    return (1 - (configured_fronts - holder_count) * UNLEASED_FRACTION / configured_fronts) / holder_count


class GrantNumber(NamedTuple):
    """Orders grants: by the leader's term, then by the sequence within it."""

    term: int
    sequence: int


@dataclass(slots=True, frozen=True)
class QuotaGrant:
    """The lease of a quota, as one of `holder_count` holders; a higher number supersedes a lower one."""

    number: GrantNumber
    holder_count: int


NO_GRANT = QuotaGrant(GrantNumber(0, 0), 0)


class QuotaHolder:
    """A front's side of the lease: it requests renewal, and reports with each request what it holds."""

    def __init__(self, configured_fronts: int, lease_ns: int, max_attempt_ns: int) -> None:
        """Starts without a lease.

        Args:
            configured_fronts: As many as the settings say.
            lease_ns: How long a lease lasts from its request on.
            max_attempt_ns: The longest that an attempt may run.
        """
        self._configured_fronts = max(configured_fronts, 1)
        self._lease_ns = lease_ns
        self._max_attempt_ns = max_attempt_ns
        self._grant = NO_GRANT
        self._expires_ns = 0
        self._larger_grant = NO_GRANT  # an earlier one, under which attempts may still run
        self._larger_until_ns = 0

    def reported_grant(self, now_ns: int) -> QuotaGrant:
        """Returns what to report: a smaller grant only once nothing of the larger one can be open."""
        return self._larger_grant if now_ns < self._larger_until_ns else self.current_grant(now_ns)

    def current_grant(self, now_ns: int) -> QuotaGrant:
        """Returns the grant that is in force."""
        return self._grant if now_ns < self._expires_ns else NO_GRANT

    def on_grant(self, now_ns: int, requested_at_ns: int, grant: QuotaGrant) -> None:
        """Takes the answer to a request; the lease counts from the request on."""
        if grant.number >= self._grant.number and requested_at_ns + self._lease_ns > now_ns:
            was_recently_held = now_ns < self._expires_ns + self._max_attempt_ns  # or still is
            if was_recently_held and 0 < self._grant.holder_count < grant.holder_count:
                self._larger_grant = self._larger_grant if now_ns < self._larger_until_ns else self._grant
                self._larger_until_ns = now_ns + self._max_attempt_ns
            self._grant = grant
            self._expires_ns = max(requested_at_ns + self._lease_ns, self._expires_ns)

    def quota(self, now_ns: int) -> Fraction:
        """Returns the fraction of the whole that this front may use."""
        grant = self.current_grant(now_ns)
        if grant.holder_count:
            return quota_fraction(self._configured_fronts, grant.holder_count)
        return UNLEASED_FRACTION / self._configured_fronts


@dataclass(slots=True, frozen=True)
class _TableEntry:
    """The grant with the lowest number that a front may still use, and when it is gone for certain."""

    grant: QuotaGrant
    expires_ns: int


class QuotaTable:
    """The leader's side, of one term. It may know nothing of the term before."""

    def __init__(self, term: int, lease_ns: int, max_attempt_ns: int, now_ns: int) -> None:
        """Starts with nothing granted.

        Args:
            term: The leader's term.
            lease_ns: How long a lease lasts for its holder.
            max_attempt_ns: The longest attempt, which may still run when a lease has ended.
            now_ns: The current time in nanoseconds.
        """
        self._term = term
        self._expiry_ns = lease_ns + CLOCK_DRIFT_MARGIN_NS + max_attempt_ns
        self._ready_ns = now_ns + self._expiry_ns  # from then on all that is in force was granted here
        self._entries: dict[str, _TableEntry] = {}
        self._joining_until_ns: dict[str, int] = {}  # by the names of those that wait for a first grant
        self._sequence = 0
        self._holder_count = 0  # of the newest grant

    def on_request(self, now_ns: int, name: str, reported: QuotaGrant) -> QuotaGrant | None:
        """Handles a front's request.

        Args:
            now_ns: The current time in nanoseconds.
            name: The front's name.
            reported: What it says that it holds.

        Returns:
            The grant, or None where it gets none yet.
        """
        if now_ns < self._ready_ns:
            return self._renew_unchanged(now_ns, name, reported)
        self._remove_expired(now_ns)
        self._record_report(now_ns, name, reported)
        self._renumber()
        if name not in self._entries:
            if self._has_older_grants():
                return None  # the others have not all gone down yet
            del self._joining_until_ns[name]
        grant = QuotaGrant(self._newest_number, self._holder_count)
        entry = self._entries.get(name)
        oldest = entry.grant if entry else grant
        self._entries[name] = _TableEntry(oldest, now_ns + self._expiry_ns)
        return grant

    def release(self, name: str) -> None:
        """Removes a front that leaves and has nothing open."""
        self._entries.pop(name, None)
        self._joining_until_ns.pop(name, None)

    @property
    def _newest_number(self) -> GrantNumber:
        return GrantNumber(self._term, self._sequence)

    def _renew_unchanged(self, now_ns: int, name: str, reported: QuotaGrant) -> QuotaGrant | None:
        """Renews what a predecessor granted, with its old number: a front with a newer one ignores it."""
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
        self._entries = {name: e for name, e in self._entries.items() if now_ns < e.expires_ns}
        self._joining_until_ns = {
            name: until_ns for name, until_ns in self._joining_until_ns.items() if now_ns < until_ns
        }

    def _renumber(self) -> None:
        holder_count = len(self._entries) + len(self._joining_until_ns)
        if holder_count != self._holder_count:
            self._sequence += 1
            self._holder_count = holder_count
