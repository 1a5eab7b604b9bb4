"""Races: how connections to one machine come up over its addresses. Events in, actions out; no I/O, no clock.

A race is for one connection. It dials the first address of the order; when that has not come up after the
stagger, or has failed, the next one too; the first that is up wins and the others are hung up. All races of a
machine go by one book, looked at anew before each dial, so what one learnt the others use at once.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum

from quincepier.addresses.address import Address
from quincepier.addresses.book import Book


class Cause(Enum):
    """How a dial failed."""

    REFUSED = "refused"
    TIMED_OUT = "not up in time"
    UNREACHABLE = "unreachable"
    MISSING = "no such socket"
    FORBIDDEN = "forbidden"
    RESET = "reset as it came up"
    LOCAL_RESOURCES = "the front's own want"  # of descriptors, ports or memory: no sign against any address


ABSENT = frozenset(Cause) - {Cause.RESET, Cause.LOCAL_RESOURCES}  # these say that nobody is there


@dataclass(slots=True, frozen=True)
class Dial:
    race: int
    dial: int
    address: Address


@dataclass(slots=True, frozen=True)
class Hang:
    """End a dial, up or not."""

    dial: int


@dataclass(slots=True, frozen=True)
class Won:
    race: int
    dial: int
    address: Address


@dataclass(slots=True, frozen=True)
class Lost:
    """Every address has failed; `absent` where each failure said that nobody is there."""

    race: int
    absent: bool
    why: str


@dataclass(slots=True, frozen=True)
class Wake:
    """Tell the time again then; a later one replaces it."""

    at: int


Action = Dial | Hang | Won | Lost | Wake


class Account:
    """Dials at once of the whole front. A race's first dial leaves a part of them to those that fall back."""

    def __init__(self, most: int, spare: Callable[[], bool] = lambda: True) -> None:
        self.most, self.spare, self.used, self.peak = most, spare, 0, 0
        self.waiting: OrderedDict[object, bool] = OrderedDict()  # no room, and whether for a first dial

    def _room(self, first: bool) -> bool:
        return self.used < (max(self.most - self.most // 4, 1) if first else self.most)

    def take(self, who: object, first: bool) -> bool:
        """Room for a dial; one beside another of the same race needs a descriptor more than the race has."""
        if not self._room(first) or not (first or self.spare()):
            self.waiting.setdefault(who, first)
            return False
        self.used += 1
        self.peak = max(self.peak, self.used)
        return True

    def give(self) -> None:
        self.used -= 1

    def next(self) -> object | None:
        """Who has waited longest of those for whom there is room now; None where there is none for anyone."""
        if not self.waiting or not self._room(False):
            return None
        who = next((who for who, first in self.waiting.items() if self._room(first)), None)
        self.waiting.pop(who, None)
        return who


@dataclass(slots=True)
class _Dialling:
    race: int
    address: Address
    at: int


@dataclass(slots=True)
class _Race:
    number: int
    dials: dict[int, Address] = field(default_factory=dict)
    failed: dict[Address, Cause] = field(default_factory=dict)
    next_at: int = 0  # when another dial may start beside those out
    last: Cause | None = None
    stuck: bool = False  # all that is left is being tried by others: their outcome counts here too
    blameless: bool = False  # the front was late: who comes up second is no slower for it


class Races:
    """All races of one machine."""

    def __init__(self, book: Book, account: Account, owner: object = None) -> None:
        self.book, self.account = book, account
        self.owner = self if owner is None else owner  # by whom the account knows this machine
        self.races: dict[int, _Race] = {}
        self.dials: dict[int, _Dialling] = {}
        self.numbers = self.dialled = 0
        self.out: list[Action] = []

    @property
    def extras(self) -> int:
        """Dials beside the first of their race: descriptors over those that each race has anyhow."""
        return sum(max(len(race.dials) - 1, 0) for race in self.races.values())

    # Events

    def start(self, now: int) -> tuple[int, list[Action]]:
        """A connection is wanted: its number, by which it is won or lost, and what to do."""
        self.numbers += 1
        self.races[self.numbers] = _Race(self.numbers, next_at=now)
        return self.numbers, self._go(now)

    def up(self, dial: int, now: int) -> list[Action]:
        """A dial is connected. One that was hung up or lost its race just before is hung up again."""
        found = self.dials.get(dial)
        if found is None:
            return [Hang(dial)]
        race = self.races[found.race]
        self._over(dial, found, race)
        self.book.up(found.address, now - found.at, now)
        self.out.append(Won(race.number, dial, found.address))
        stagger = self.book.stagger
        for other in list(race.dials):
            began = self.dials[other].at
            if not race.blameless and found.at - began >= stagger:  # it had a whole stagger and was overtaken
                self.book.failed(self.dials[other].address, began, now)
            self._hang(other, race)
        del self.races[race.number]
        return self._go(now)

    def failed(self, dial: int, cause: Cause, now: int) -> list[Action]:
        found = self.dials.get(dial)
        if found is None:
            return []
        race, entry = self.races[found.race], self.book.entries.get(found.address)
        trial = entry is not None and entry.trial == dial
        self._over(dial, found, race)
        race.failed[found.address] = race.last = cause
        race.next_at = now  # nothing to wait for
        if cause is not Cause.LOCAL_RESOURCES:
            self.book.failed(found.address, found.at, now)
        if trial:
            for other in self.races.values():
                if other.stuck and found.address not in other.failed:
                    other.failed[found.address] = other.last = cause
        return self._go(now)

    def tick(self, now: int) -> list[Action]:
        """The time has come that a Wake named, or there is room in the account."""
        for race in self.races.values():
            if race.dials and now - race.next_at > self.book.stagger:
                race.blameless = True  # we are late ourselves
        return self._go(now)

    def drop(self, number: int, now: int) -> list[Action]:
        """Nobody wants that connection any more."""
        race = self.races.pop(number, None)
        if race is None:
            return []
        for dial in list(race.dials):
            self._hang(dial, race)
        return self._go(now)

    def moved(self, now: int) -> list[Action]:
        """The book has another list: dials to addresses that left it are over."""
        for dial, found in list(self.dials.items()):
            if found.address not in self.book.entries:
                self._hang(dial, self.races[found.race])
        return self._go(now)

    # What follows

    def _over(self, dial: int, found: _Dialling, race: _Race) -> None:
        del self.dials[dial], race.dials[dial]
        self.book.over(found.address, dial)
        self.account.give()

    def _hang(self, dial: int, race: _Race) -> None:
        self._over(dial, self.dials[dial], race)
        self.out.append(Hang(dial))

    def _go(self, now: int) -> list[Action]:
        """Start what may start, end what is lost, say when to look again."""
        most = self.book.limits.dials_each
        wake = 0
        if self.races:
            order = [c.address for c in self.book.order(now)]
            for race in list(self.races.values()):
                if len(self.dials) >= most:
                    break
                if race.dials and now < race.next_at:
                    wake = min(wake or race.next_at, race.next_at)
                    continue
                if not race.dials and len(self.dials) >= max(most - most // 2, 1):
                    continue  # room is left for those that fall back
                address = self._next(race, order, now)
                if address is not None and self.account.take(self.owner, not race.dials):
                    self._dial(race, address, now)
                    order = [c.address for c in self.book.order(now)]
                    wake = min(wake or race.next_at, race.next_at)
        if wake:
            self.out.append(Wake(wake))
        actions, self.out = self.out, []
        return actions

    def _next(self, race: _Race, order: list[Address], now: int) -> Address | None:
        """The address that a race dials now; None where it waits, or is lost by this."""
        left = [a for a in order if a not in race.failed and a not in race.dials.values()]
        free = [a for a in left if not self.book.resting(a, now)]
        race.stuck = False
        if free:
            return free[0]
        if race.dials:  # what rests is tried when nothing else is out
            return None
        if left:
            untried = [a for a in left if not self.book.entries[a].trial]
            race.stuck = not untried
            return untried[0] if untried else None
        causes = race.failed.values()
        absent = all(cause in ABSENT for cause in causes)
        why = race.last.value if race.last else "no address that the operators allow"
        self.out.append(Lost(race.number, absent, why))
        del self.races[race.number]
        return None

    def _dial(self, race: _Race, address: Address, now: int) -> None:
        self.dialled += 1
        self.dials[self.dialled] = _Dialling(race.number, address, now)
        race.dials[self.dialled] = address
        race.next_at = now + self.book.stagger
        self.book.tried(address, self.dialled, now)
        self.out.append(Dial(race.number, self.dialled, address))
