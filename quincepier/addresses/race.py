"""Races: which addresses of a machine are dialled to establish a connection (like RFC 8305, Happy Eyeballs).

Events go in and actions come out; there is no I/O and no clock. A race establishes one connection. It dials
the first address of the order. If that has not connected after the stagger, or has failed, it also dials the
next one. The first dial that connects wins, the others are cancelled. All races of a machine share one
address book, which is consulted before each dial, so that what one race learns is used by the others at once.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum

from quincepier.addresses.address import Address
from quincepier.addresses.address_book import AddressBook


class Cause(Enum):
    """Why a dial failed. The name is part of a counter's name, the value is the text of the error."""

    REFUSED = "refused"
    TIMED_OUT = "not up in time"
    UNREACHABLE = "unreachable"
    MISSING = "no such socket"
    FORBIDDEN = "forbidden"
    RESET = "reset as it came up"
    LOCAL_RESOURCES = "the front's own want"  # descriptors, ports or memory; says nothing about the address


ABSENT_CAUSES = frozenset(Cause) - {Cause.RESET, Cause.LOCAL_RESOURCES}  # show that the machine is not there


@dataclass(slots=True, frozen=True)
class StartDial:
    """Dial an address for a race."""

    race: int
    dial: int
    address: Address


@dataclass(slots=True, frozen=True)
class CancelDial:
    """Cancel a dial, and close its socket if it has connected."""

    dial: int


@dataclass(slots=True, frozen=True)
class RaceWon:
    """Give the socket of a connected dial to its race, which has ended."""

    race: int
    dial: int
    address: Address


@dataclass(slots=True, frozen=True)
class RaceLost:
    """Fail a race, as every address has failed.

    Attributes:
        race: Number of the race.
        is_absent: Each failure shows that the machine is not there.
        reason: The last failure, as text.
    """

    race: int
    is_absent: bool
    reason: str


@dataclass(slots=True, frozen=True)
class ScheduleTick:
    """Call `Races.tick` at the time `at`, ns; replaces an earlier request."""

    at: int


Action = StartDial | CancelDial | RaceWon | RaceLost | ScheduleTick


class DialLimiter:
    """Limits the dials in progress of the whole front.

    The first dial of a race may use only three quarters of them: the rest is left to races whose first dial
    is slow or has failed.

    Args:
        max_dials: The limit.
        has_spare_descriptor: Returns whether another socket may be opened.

    Attributes:
        in_use: Dials in progress.
        peak: The largest number so far.
        waiting: Owners that were refused a dial, in order, and whether it was the first of a race.
    """

    def __init__(self, max_dials: int, has_spare_descriptor: Callable[[], bool] = lambda: True) -> None:
        self.max_dials, self.has_spare_descriptor, self.in_use, self.peak = (
            max_dials,
            has_spare_descriptor,
            0,
            0,
        )
        self.waiting: OrderedDict[object, bool] = OrderedDict()

    def _has_capacity(self, is_first: bool) -> bool:
        return self.in_use < (max(self.max_dials - self.max_dials // 4, 1) if is_first else self.max_dials)

    def try_acquire(self, owner: object, is_first: bool) -> bool:
        """Count a dial and return True, or return False and let the owner wait.

        The first dial of a race uses the descriptor that the race has; any further one needs another.
        """
        if not self._has_capacity(is_first) or not (is_first or self.has_spare_descriptor()):
            self.waiting.setdefault(owner, is_first)
            return False
        self.in_use += 1
        self.peak = max(self.peak, self.in_use)
        return True

    def release(self) -> None:
        """Note that a dial has ended."""
        self.in_use -= 1

    def pop_waiting(self) -> object | None:
        """Remove and return the owner that has waited longest and may dial now; None if there is none."""
        if not self.waiting or not self._has_capacity(False):
            return None
        owner = next(
            (owner for owner, is_first in self.waiting.items() if self._has_capacity(is_first)), None
        )
        self.waiting.pop(owner, None)
        return owner


@dataclass(slots=True)
class _PendingDial:
    """A dial in progress; `started_at` in ns."""

    race: int
    address: Address
    started_at: int


@dataclass(slots=True)
class _Race:
    """A connection that is wanted.

    Attributes:
        number: Its number.
        address_by_dial: Its dials in progress.
        cause_by_address: The addresses that have failed for it.
        next_dial_at: When it may start another dial besides those in progress, ns.
        last_cause: Why the last dial failed.
        awaits_trials: All remaining addresses are on trial by other races, whose failures count for this one.
        is_timing_unreliable: This process was late: a dial that connects second was not necessarily slower.
    """

    number: int
    address_by_dial: dict[int, Address] = field(default_factory=dict)
    cause_by_address: dict[Address, Cause] = field(default_factory=dict)
    next_dial_at: int = 0
    last_cause: Cause | None = None
    awaits_trials: bool = False
    is_timing_unreliable: bool = False


class Races:
    """All races of one machine.

    Args:
        book: The machine's addresses.
        limiter: Limits the dials of the whole front.
        owner: Identifies this machine to the limiter; this object by default.

    Attributes:
        race_by_number: The races in progress.
        dial_by_number: The dials in progress.
        race_count: Races started so far; the last one's number.
        dial_count: Dials started so far; the last one's number.
        actions: Actions that the current event has led to.
    """

    def __init__(self, book: AddressBook, limiter: DialLimiter, owner: object = None) -> None:
        self.book, self.limiter = book, limiter
        self.owner = self if owner is None else owner
        self.race_by_number: dict[int, _Race] = {}
        self.dial_by_number: dict[int, _PendingDial] = {}
        self.race_count = self.dial_count = 0
        self.actions: list[Action] = []

    @property
    def extra_dials(self) -> int:
        """Dials besides the first one of each race; they need descriptors of their own."""
        return sum(max(len(race.address_by_dial) - 1, 0) for race in self.race_by_number.values())

    # Events

    def start(self, now: int) -> tuple[int, list[Action]]:
        """Start a race for a connection. Return its number and the actions to perform."""
        self.race_count += 1
        self.race_by_number[self.race_count] = _Race(self.race_count, next_dial_at=now)
        return self.race_count, self._advance(now)

    def on_connected(self, dial: int, now: int) -> list[Action]:
        """Handle a dial that has connected. If it is no longer in progress, it is cancelled again."""
        pending = self.dial_by_number.get(dial)
        if pending is None:
            return [CancelDial(dial)]
        race = self.race_by_number[pending.race]
        self._end_dial(dial, pending, race)
        self.book.on_connected(pending.address, now - pending.started_at, now)
        self.actions.append(RaceWon(race.number, dial, pending.address))
        stagger = self.book.stagger
        for other in list(race.address_by_dial):
            began_at = self.dial_by_number[other].started_at
            # A dial counts as failed if a dial that started at least one stagger later connected first.
            if not race.is_timing_unreliable and pending.started_at - began_at >= stagger:
                self.book.on_failure(self.dial_by_number[other].address, began_at, now)
            self._cancel_dial(other, race)
        del self.race_by_number[race.number]
        return self._advance(now)

    def on_dial_failed(self, dial: int, cause: Cause, now: int) -> list[Action]:
        """Handle a dial that has failed."""
        pending = self.dial_by_number.get(dial)
        if pending is None:
            return []
        race, state = self.race_by_number[pending.race], self.book.state_by_address.get(pending.address)
        is_trial = state is not None and state.trial_dial == dial
        self._end_dial(dial, pending, race)
        race.cause_by_address[pending.address] = race.last_cause = cause
        race.next_dial_at = now  # the next dial starts without a stagger
        if cause is not Cause.LOCAL_RESOURCES:
            self.book.on_failure(pending.address, pending.started_at, now)
        if is_trial:
            for other in self.race_by_number.values():
                if other.awaits_trials and pending.address not in other.cause_by_address:
                    other.cause_by_address[pending.address] = other.last_cause = cause
        return self._advance(now)

    def tick(self, now: int) -> list[Action]:
        """Handle the time of a ScheduleTick, or capacity that the limiter has again."""
        for race in self.race_by_number.values():
            if race.address_by_dial and now - race.next_dial_at > self.book.stagger:
                race.is_timing_unreliable = True  # this call is late
        return self._advance(now)

    def cancel(self, number: int, now: int) -> list[Action]:
        """Cancel a race: its connection is not needed any more."""
        race = self.race_by_number.pop(number, None)
        if race is None:
            return []
        for dial in list(race.address_by_dial):
            self._cancel_dial(dial, race)
        return self._advance(now)

    def on_addresses_replaced(self, now: int) -> list[Action]:
        """Cancel dials to addresses that are no longer in the book."""
        for dial, pending in list(self.dial_by_number.items()):
            if pending.address not in self.book.state_by_address:
                self._cancel_dial(dial, self.race_by_number[pending.race])
        return self._advance(now)

    # Decisions

    def _end_dial(self, dial: int, pending: _PendingDial, race: _Race) -> None:
        del self.dial_by_number[dial], race.address_by_dial[dial]
        self.book.on_dial_ended(pending.address, dial)
        self.limiter.release()

    def _cancel_dial(self, dial: int, race: _Race) -> None:
        self._end_dial(dial, self.dial_by_number[dial], race)
        self.actions.append(CancelDial(dial))

    def _advance(self, now: int) -> list[Action]:
        """Start dials that may start, end races that have failed, and schedule the next tick."""
        max_dials = self.book.limits.max_dials_per_machine
        tick_at = 0
        if self.race_by_number:
            order = [c.address for c in self.book.order(now)]
            for race in list(self.race_by_number.values()):
                if len(self.dial_by_number) >= max_dials:
                    break
                if race.address_by_dial and now < race.next_dial_at:
                    tick_at = min(tick_at or race.next_dial_at, race.next_dial_at)
                    continue
                if not race.address_by_dial and len(self.dial_by_number) >= max(
                    max_dials - max_dials // 2, 1
                ):
                    continue  # half of the dials are left to races whose first dial is slow or has failed
                address = self._next_address(race, order, now)
                if address is not None and self.limiter.try_acquire(self.owner, not race.address_by_dial):
                    self._start_dial(race, address, now)
                    order = [c.address for c in self.book.order(now)]
                    tick_at = min(tick_at or race.next_dial_at, race.next_dial_at)
        if tick_at:
            self.actions.append(ScheduleTick(tick_at))
        actions, self.actions = self.actions, []
        return actions

    def _next_address(self, race: _Race, order: list[Address], now: int) -> Address | None:
        """Return the address that a race dials now; None if it waits, or has failed and was removed."""
        remaining = [
            a for a in order if a not in race.cause_by_address and a not in race.address_by_dial.values()
        ]
        usable = [a for a in remaining if not self.book.is_backing_off(a, now)]
        race.awaits_trials = False
        if usable:
            return usable[0]
        if race.address_by_dial:  # addresses in backoff are tried only when no dial is in progress
            return None
        if remaining:
            untried = [a for a in remaining if not self.book.state_by_address[a].trial_dial]
            race.awaits_trials = not untried
            return untried[0] if untried else None
        causes = race.cause_by_address.values()
        is_absent = all(cause in ABSENT_CAUSES for cause in causes)
        reason = (
            race.last_cause.value if race.last_cause else "the operators allow no address of this machine"
        )
        self.actions.append(RaceLost(race.number, is_absent, reason))
        del self.race_by_number[race.number]
        return None

    def _start_dial(self, race: _Race, address: Address, now: int) -> None:
        self.dial_count += 1
        self.dial_by_number[self.dial_count] = _PendingDial(race.number, address, now)
        race.address_by_dial[self.dial_count] = address
        race.next_dial_at = now + self.book.stagger
        self.book.on_dial_started(address, self.dial_count, now)
        self.actions.append(StartDial(race.number, self.dial_count, address))
