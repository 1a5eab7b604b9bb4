"""The part of a whole that this front may use: of a bound on fills, of the credit of cold budgets.

**The sum over all fronts never exceeds the whole**, while no more fronts run than the settings say:

1. Without a word of the quorum a front uses one part in as many as the settings say, whatever its view is. A
   cut and a death look the same: two halves that each shared the whole among themselves would use it twice.
   So a view makes a part smaller, never larger (`Claims`): where more fronts are seen than the settings say,
   by so many. Who vanished keeps its claim until it is forgotten; who said that it leaves gives it up.
2. A larger part needs the quorum's word (`Grant`), as a lease. Who has none goes down to a quarter of its
   part **first**, when its lease ends by its own count, which ends before the one by which it was given.
3. Who gives (`Ledger`, one at a time, at the agreement's leader) counts one as gone when that lease has ended
   by its own longer count and the longest attempt besides; only then do the others grow.
4. Who joins gets its part when each of the others has said that it went down to the smaller one, or is gone.
5. A new giver makes nobody's part larger, and gives to nobody new, before whatever the giver before it gave
   has lapsed; meanwhile it gives each again what that one had.

What was begun under a larger part may run for the longest attempt: for so long it counts (`Holder.tells`). A
front that is started anew within that time of its death uses a quarter of a part besides what it had open.

Pure: times in nanoseconds, each of the clock of the one who counts.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, replace
from fractions import Fraction

UNSURE = Fraction(1, 4)  # of a part by the settings: for who has no lease where parts are given
MARGIN = 250_000_000  # by which a giver counts a lease longer, for clocks that differ in pace
CLAIMS_MOST = 4096


class LiveMemberCount:
    """By views alone: into how many parts this front divides."""

    def __init__(self, name: str, fronts: int, forget: int) -> None:
        """`fronts`: of the settings; `forget`: for how long one that vanished keeps its claim."""
        self.name, self.fronts, self.forget = name, max(fronts, 1), forget
        self.members: frozenset[str] = frozenset((name,))
        self.vanished: dict[str, int] = {}  # since when

    def viewed(self, now: int, members: Iterable[str], left: Iterable[str] = ()) -> int:
        """The view is this now; `left`: those not in it who said that they leave. Gives `divisor`."""
        before, self.members, said = self.members, frozenset((*members, self.name)), frozenset(left)
        for name in before - self.members - said:
            if len(self.vanished) < CLAIMS_MOST:
                self.vanished[name] = now
        for name in [n for n in self.vanished if n in self.members or n in said]:
            del self.vanished[name]
        return self.divisor(now)

    def divisor(self, now: int) -> int:
        for name in [n for n, since in self.vanished.items() if now - since > self.forget]:
            del self.vanished[name]
        return max(self.fronts, len(self.members) + len(self.vanished))


def quota_fraction(fronts: int, count: int) -> Fraction:
    """Of each of `count` that hold a lease, while each of the other `fronts` uses UNSURE of its own."""
    if count >= fronts:
        return Fraction(1, count)
    return (1 - (fronts - count) * UNSURE / fronts) / count


@dataclass(slots=True, frozen=True)
class QuotaGrant:
    """Use a part as one of `count`. `number` tells older words from newer: the giver's term, its turn."""

    number: tuple[int, int]
    count: int


NO_GRANT = QuotaGrant((0, 0), 0)


class QuotaHolder:
    """A front's own side. It asks now and then, and tells with each what it holds."""

    def __init__(self, fronts: int, lease: int, attempt: int) -> None:
        self.fronts, self.lease, self.attempt = max(fronts, 1), lease, attempt
        self.grant, self.until = NO_GRANT, 0
        self.was, self.was_until = NO_GRANT, 0  # a larger part, of which something may be open

    def tells(self, now: int) -> QuotaGrant:
        """What to say with the next question: it went down only when nothing of before can be open."""
        return self.was if now < self.was_until else self.holds(now)

    def holds(self, now: int) -> QuotaGrant:
        return self.grant if now < self.until else NO_GRANT

    def granted(self, now: int, asked: int, grant: QuotaGrant) -> None:
        """An answer came to what was asked then: the lease counts from the asking."""
        if grant.number >= self.grant.number and asked + self.lease > now:
            lately = now < self.until + self.attempt  # also where the lease ended meanwhile
            if lately and 0 < self.grant.count < grant.count:
                self.was = self.was if now < self.was_until else self.grant
                self.was_until = now + self.attempt
            self.grant, self.until = grant, max(asked + self.lease, self.until)

    def part(self, now: int) -> Fraction:
        held = self.holds(now)
        return quota_fraction(self.fronts, held.count) if held.count else UNSURE / self.fronts


@dataclass(slots=True, frozen=True)
class _Entry:
    has: QuotaGrant  # the least number that it may still use
    until: int  # when its lease has ended for sure, and what it had open as well


class QuotaTable:
    """The giver's side, of one term. It may know nothing of the term before."""

    def __init__(self, term: int, fronts: int, lease: int, attempt: int, now: int) -> None:
        """`attempt`: the longest attempt, which may still run when a lease has ended."""
        self.term, self.fronts = term, max(fronts, 1)
        self.lasts = lease + MARGIN + attempt
        self.ready = now + self.lasts  # from then on nothing is in force that it did not give
        self.entries: dict[str, _Entry] = {}
        self.waiting: dict[str, int] = {}  # who wants to join, and until when that is believed
        self.turn, self.count = 0, 0  # the newest grant, and its count

    def asked(self, now: int, name: str, has: QuotaGrant) -> QuotaGrant | None:
        """A front asks, and says what it holds. None: it gets nothing yet."""
        entry = self.entries.get(name)
        if now < self.ready:
            if not has.count:
                return None
            self.entries[name] = _Entry(has, now + self.lasts)
            return has  # with its old number: whoever has a newer one by now does not take it
        self._lapse(now)
        if entry is not None and name in self.entries:
            held = max(entry.has, has, key=lambda g: g.number) if has.count else entry.has
            self.entries[name] = replace(entry, has=held)
        elif len(self.waiting) + len(self.entries) < CLAIMS_MOST:
            self.waiting[name] = now + self.lasts
        self._renumber()
        if name not in self.entries:
            newest = (self.term, self.turn)
            if any(e.has.number < newest for e in self.entries.values()):
                return None  # the others have not all gone down yet
            del self.waiting[name]
        grant = QuotaGrant((self.term, self.turn), self.count)
        known = self.entries.get(name)
        self.entries[name] = _Entry(known.has if known else grant, now + self.lasts)
        return grant

    def released(self, name: str) -> None:
        """It said that it leaves, and that nothing of its own is open."""
        self.entries.pop(name, None)
        self.waiting.pop(name, None)

    def _lapse(self, now: int) -> None:
        self.entries = {n: e for n, e in self.entries.items() if now < e.until}
        self.waiting = {n: until for n, until in self.waiting.items() if now < until}

    def _renumber(self) -> None:
        count = len(self.entries) + len(self.waiting)
        if count != self.count:
            self.turn, self.count = self.turn + 1, count
