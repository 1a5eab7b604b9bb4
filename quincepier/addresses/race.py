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
from quincepier.addresses.address_book import AddressBook


class Cause(Enum):
    """How a dial failed."""

    REFUSED = "refused"
    TIMED_OUT = "not up in time"
    UNREACHABLE = "unreachable"
    MISSING = "no such socket"
    FORBIDDEN = "forbidden"
    RESET = "reset as it came up"
    LOCAL_RESOURCES = "the front's own want"  # of descriptors, ports or memory: no sign against any address


ABSENT_CAUSES = frozenset(Cause) - {Cause.RESET, Cause.LOCAL_RESOURCES}  # these say that nobody is there


@dataclass(slots=True, frozen=True)
class StartDial:
    race: int
    dial: int
    address: Address


@dataclass(slots=True, frozen=True)
class CancelDial:
    """End a dial, up or not."""

    dial: int


@dataclass(slots=True, frozen=True)
class RaceWon:
    race: int
    dial: int
    address: Address


@dataclass(slots=True, frozen=True)
class RaceLost:
    """Every address has failed; `absent` where each failure said that nobody is there."""

    race: int
    is_absent: bool
    reason: str


@dataclass(slots=True, frozen=True)
class ScheduleTick:
    """Tell the time again then; a later one replaces it."""

    at: int


Action = StartDial | CancelDial | RaceWon | RaceLost | ScheduleTick


class DialLimiter:
    """Dials at once of the whole front. A race's first dial leaves a part of them to those that fall back."""

    def __init__(self, most: int, spare: Callable[[], bool] = lambda: True) -> None:
        self.max_dials, self.has_spare_descriptor, self.in_use, self.peak = most, spare, 0, 0
        self.waiting: OrderedDict[object, bool] = OrderedDict()  # no room, and whether for a first dial

    def _has_capacity(self, first: bool) -> bool:
        return self.in_use < (max(self.max_dials - self.max_dials // 4, 1) if first else self.max_dials)

    def try_acquire(self, who: object, first: bool) -> bool:
        """Room for a dial; one beside another of the same race needs a descriptor more than the race has."""
        if not self._has_capacity(first) or not (first or self.has_spare_descriptor()):
            self.waiting.setdefault(who, first)
            return False
        self.in_use += 1
        self.peak = max(self.peak, self.in_use)
        return True

    def release(self) -> None:
        self.in_use -= 1

    def pop_waiting(self) -> object | None:
        """Who has waited longest of those for whom there is room now; None where there is none for anyone."""
        if not self.waiting or not self._has_capacity(False):
            return None
        who = next((who for who, first in self.waiting.items() if self._has_capacity(first)), None)
        self.waiting.pop(who, None)
        return who


@dataclass(slots=True)
class _PendingDial:
    race: int
    address: Address
    started_at: int


@dataclass(slots=True)
class _Race:
    number: int
    address_by_dial: dict[int, Address] = field(default_factory=dict)
    cause_by_address: dict[Address, Cause] = field(default_factory=dict)
    next_dial_at: int = 0  # when another dial may start beside those out
    last_cause: Cause | None = None
    awaits_trials: bool = False  # all that is left is being tried by others: their outcome counts here too
    is_timing_unreliable: bool = False  # the front was late: who comes up second is no slower for it


class Races:
    """All races of one machine."""

    def __init__(self, book: AddressBook, account: DialLimiter, owner: object = None) -> None:
        self.book, self.limiter = book, account
        self.owner = self if owner is None else owner  # by whom the account knows this machine
        self.race_by_number: dict[int, _Race] = {}
        self.dial_by_number: dict[int, _PendingDial] = {}
        self.race_count = self.dial_count = 0
        self.actions: list[Action] = []

    @property
    def extra_dials(self) -> int:
        """Dials beside the first of their race: descriptors over those that each race has anyhow."""
        return sum(max(len(race.address_by_dial) - 1, 0) for race in self.race_by_number.values())

    # Events

    def start(self, now: int) -> tuple[int, list[Action]]:
        """A connection is wanted: its number, by which it is won or lost, and what to do."""
        self.race_count += 1
        self.race_by_number[self.race_count] = _Race(self.race_count, next_dial_at=now)
        return self.race_count, self._advance(now)

    def on_connected(self, dial: int, now: int) -> list[Action]:
        """A dial is connected. One that was hung up or lost its race just before is hung up again."""
        found = self.dial_by_number.get(dial)
        if found is None:
            return [CancelDial(dial)]
        race = self.race_by_number[found.race]
        self._end_dial(dial, found, race)
        self.book.on_connected(found.address, now - found.started_at, now)
        self.actions.append(RaceWon(race.number, dial, found.address))
        stagger = self.book.stagger
        for other in list(race.address_by_dial):
            began = self.dial_by_number[other].started_at
            if (
                not race.is_timing_unreliable and found.started_at - began >= stagger
            ):  # it had a whole stagger and was overtaken
                self.book.on_failure(self.dial_by_number[other].address, began, now)
            self._cancel_dial(other, race)
        del self.race_by_number[race.number]
        return self._advance(now)

    def on_dial_failed(self, dial: int, cause: Cause, now: int) -> list[Action]:
        found = self.dial_by_number.get(dial)
        if found is None:
            return []
        race, entry = self.race_by_number[found.race], self.book.state_by_address.get(found.address)
        trial = entry is not None and entry.trial_dial == dial
        self._end_dial(dial, found, race)
        race.cause_by_address[found.address] = race.last_cause = cause
        race.next_dial_at = now  # nothing to wait for
        if cause is not Cause.LOCAL_RESOURCES:
            self.book.on_failure(found.address, found.started_at, now)
        if trial:
            for other in self.race_by_number.values():
                if other.awaits_trials and found.address not in other.cause_by_address:
                    other.cause_by_address[found.address] = other.last_cause = cause
        return self._advance(now)

    def tick(self, now: int) -> list[Action]:
        """The time has come that a Wake named, or there is room in the account."""
        for race in self.race_by_number.values():
            if race.address_by_dial and now - race.next_dial_at > self.book.stagger:
                race.is_timing_unreliable = True  # we are late ourselves
        return self._advance(now)

    def cancel(self, number: int, now: int) -> list[Action]:
        """Nobody wants that connection any more."""
        race = self.race_by_number.pop(number, None)
        if race is None:
            return []
        for dial in list(race.address_by_dial):
            self._cancel_dial(dial, race)
        return self._advance(now)

    def on_addresses_replaced(self, now: int) -> list[Action]:
        """The book has another list: dials to addresses that left it are over."""
        for dial, found in list(self.dial_by_number.items()):
            if found.address not in self.book.state_by_address:
                self._cancel_dial(dial, self.race_by_number[found.race])
        return self._advance(now)

    # What follows

    def _end_dial(self, dial: int, found: _PendingDial, race: _Race) -> None:
        del self.dial_by_number[dial], race.address_by_dial[dial]
        self.book.on_dial_ended(found.address, dial)
        self.limiter.release()

    def _cancel_dial(self, dial: int, race: _Race) -> None:
        self._end_dial(dial, self.dial_by_number[dial], race)
        self.actions.append(CancelDial(dial))

    def _advance(self, now: int) -> list[Action]:
        """Start what may start, end what is lost, say when to look again."""
        most = self.book.limits.max_dials_per_machine
        wake = 0
        if self.race_by_number:
            order = [c.address for c in self.book.order(now)]
            for race in list(self.race_by_number.values()):
                if len(self.dial_by_number) >= most:
                    break
                if race.address_by_dial and now < race.next_dial_at:
                    wake = min(wake or race.next_dial_at, race.next_dial_at)
                    continue
                if not race.address_by_dial and len(self.dial_by_number) >= max(most - most // 2, 1):
                    continue  # room is left for those that fall back
                address = self._next_address(race, order, now)
                if address is not None and self.limiter.try_acquire(self.owner, not race.address_by_dial):
                    self._start_dial(race, address, now)
                    order = [c.address for c in self.book.order(now)]
                    wake = min(wake or race.next_dial_at, race.next_dial_at)
        if wake:
            self.actions.append(ScheduleTick(wake))
        actions, self.actions = self.actions, []
        return actions

    def _next_address(self, race: _Race, order: list[Address], now: int) -> Address | None:
        """The address that a race dials now; None where it waits, or is lost by this."""
        left = [a for a in order if a not in race.cause_by_address and a not in race.address_by_dial.values()]
        free = [a for a in left if not self.book.is_backing_off(a, now)]
        race.awaits_trials = False
        if free:
            return free[0]
        if race.address_by_dial:  # what rests is tried when nothing else is out
            return None
        if left:
            untried = [a for a in left if not self.book.state_by_address[a].trial_dial]
            race.awaits_trials = not untried
            return untried[0] if untried else None
        causes = race.cause_by_address.values()
        absent = all(cause in ABSENT_CAUSES for cause in causes)
        why = race.last_cause.value if race.last_cause else "no address that the operators allow"
        self.actions.append(RaceLost(race.number, absent, why))
        del self.race_by_number[race.number]
        return None

    def _start_dial(self, race: _Race, address: Address, now: int) -> None:
        self.dial_count += 1
        self.dial_by_number[self.dial_count] = _PendingDial(race.number, address, now)
        race.address_by_dial[self.dial_count] = address
        race.next_dial_at = now + self.book.stagger
        self.book.on_dial_started(address, self.dial_count, now)
        self.actions.append(StartDial(race.number, self.dial_count, address))
