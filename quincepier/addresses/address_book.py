"""The book of one machine's addresses: what is known of each, and what rests for how long."""

from __future__ import annotations

import random
from collections.abc import Iterable
from dataclasses import dataclass

from quincepier.addresses.address import Address
from quincepier.addresses.order import Candidate, order_candidates, precedence
from quincepier.addresses.preference import Preference

MS = 1_000_000
MEAN_GAIN, DEVIATION_GAIN, DEVIATION_FACTOR = 1 / 8, 1 / 4, 4  # of RFC 6298, for times of connecting
JITTER = 0.25  # part of a wait, both ways: fronts that lost an address together do not try it together


@dataclass(slots=True, frozen=True)
class Limits:
    """Nanoseconds and counts, all the operators' to set; docs/addresses.md tells the defaults' reasons."""

    initial_stagger: int = 30 * MS  # between dials while nothing is known of the machine's times
    min_stagger: int = 10 * MS
    max_stagger: int = 60 * MS
    initial_backoff: int = 200 * MS
    max_backoff: int = 10_000 * MS
    max_dials_per_machine: int = 8  # at once to one machine
    max_dials: int = 64  # at once by the front


@dataclass(slots=True)
class AddressState:
    address: Address
    precedence: int
    grade: int
    failures: int = 0  # in a row
    backoff_began_at: int = 0  # when it was set aside last
    backoff_until: int = 0  # set aside until then; 0: it is not
    trial_dial: int = 0  # the dial that tries it now; 0: none
    last_response: int = 0


class AddressBook:
    """Pure: time is passed in, chance is seeded.

    An address counts as proved only by an answer that came over it. One that comes up and then breaks before
    any answer failed as much as one that refuses: a dead relay may still accept.
    """

    def __init__(self, limits: Limits, preference: Preference, seed: int) -> None:
        self.limits, self.preference = limits, preference
        self.random = random.Random(seed)
        self.state_by_address: dict[Address, AddressState] = {}
        self.response_count = 0
        self.mean_connect_time = self.connect_time_deviation = (
            0.0  # of the time a dial takes to come up, nanoseconds
        )

    def replace_addresses(self, addresses: Iterable[Address]) -> set[Address]:
        """Take a new list; what stays keeps what is known of it. Returns the addresses that left."""
        before, self.state_by_address = self.state_by_address, {}
        for address in addresses:
            if address not in self.state_by_address and self.preference.is_allowed(address):
                entry = before.get(address) or AddressState(address, precedence(address), 0)
                entry.grade = self.preference.grade(address)
                self.state_by_address[address] = entry
        return before.keys() - self.state_by_address.keys()

    @property
    def stagger(self) -> int:
        """From the start of a dial until the next may start, nanoseconds."""
        limits = self.limits
        if not self.mean_connect_time:
            return limits.initial_stagger
        return int(
            min(
                max(
                    self.mean_connect_time + DEVIATION_FACTOR * self.connect_time_deviation,
                    limits.min_stagger,
                ),
                limits.max_stagger,
            )
        )

    def order(self, now: int) -> list[Candidate]:
        """What may be tried by anyone first; last what rests, or is being tried by one dial already."""
        return order_candidates(
            [
                Candidate(e.address, e.precedence, e.grade, self._backoff_until(e, now), e.last_response)
                for e in self.state_by_address.values()
            ]
        )

    def _backoff_until(self, entry: AddressState, now: int) -> int:
        return (
            entry.backoff_until
            if entry.backoff_until > now or (entry.backoff_until and entry.trial_dial)
            else 0
        )

    def is_backing_off(self, address: Address, now: int) -> bool:
        entry = self.state_by_address.get(address)
        return entry is not None and bool(self._backoff_until(entry, now))

    def has_alternative(self, address: Address, now: int) -> bool:
        """Whether there is one beside this that does not rest."""
        return any(
            e.address != address and not self._backoff_until(e, now) for e in self.state_by_address.values()
        )

    # What happens to an address

    def on_dial_started(self, address: Address, dial: int, now: int) -> bool:
        """A dial to it starts; whether it is a trial of an address that was set aside."""
        entry = self.state_by_address[address]
        if entry.backoff_until:
            entry.trial_dial = dial
        return bool(entry.backoff_until)

    def on_dial_ended(self, address: Address, dial: int) -> None:
        """That dial is over, however it went."""
        entry = self.state_by_address.get(address)
        if entry is not None and entry.trial_dial == dial:
            entry.trial_dial = 0

    def on_connected(self, address: Address, took: int, now: int) -> None:
        """It accepted, which proves nothing yet: what was set aside rests on until an answer comes."""
        self.connect_time_deviation += (
            (abs(took - self.mean_connect_time) - self.connect_time_deviation) * DEVIATION_GAIN
            if self.mean_connect_time
            else took / 2
        )
        self.mean_connect_time += (
            (took - self.mean_connect_time) * MEAN_GAIN if self.mean_connect_time else max(took, 1)
        )
        entry = self.state_by_address.get(address)
        if entry is not None and entry.backoff_until:
            entry.backoff_until = now + self._draw_backoff(entry)

    def on_response(self, address: Address) -> None:
        """An answer came over it."""
        entry = self.state_by_address.get(address)
        if entry is not None:
            self.response_count += 1
            entry.last_response, entry.failures, entry.backoff_until = self.response_count, 0, 0

    def on_failure(self, address: Address, began: int, now: int) -> bool:
        """What began then (a dial, or a connection) failed: it rests, longer each time. Whether that is news.

        Many dials that were under way when the first of them failed are one failure, not many.
        """
        entry = self.state_by_address.get(address)
        if entry is None or (entry.backoff_until and began < entry.backoff_began_at):
            return False
        entry.failures += 1
        entry.backoff_began_at, entry.backoff_until = now, now + self._draw_backoff(entry)
        return True

    # Over a start

    def list_backoffs(self, now: int) -> list[tuple[str, int, int]]:
        """What is set aside: address, failures in a row, nanoseconds that it still rests."""
        resting = (e for e in self.state_by_address.values() if e.backoff_until > now)
        return [(str(e.address), e.failures, e.backoff_until - now) for e in resting]

    def restore_backoffs(self, aside: Iterable[tuple[str, int, int]], now: int) -> int:
        """Take what an earlier start had set aside, never for longer than the limits; how many still rest.

        That an address worked is not recalled: the first dial shows it.
        """
        told, taken = {address: (failures, left) for address, failures, left in aside}, 0
        for entry in self.state_by_address.values():
            failures, left = told.get(str(entry.address), (0, 0))
            if left > 0 and not entry.backoff_until and not entry.last_response:
                entry.failures, entry.backoff_began_at = failures, now
                entry.backoff_until, taken = now + min(left, self.limits.max_backoff), taken + 1
        return taken

    def _draw_backoff(self, entry: AddressState) -> int:
        doubled = self.limits.initial_backoff << min(max(entry.failures - 1, 0), 20)
        wait = min(doubled, self.limits.max_backoff)
        return max(int(wait * self.random.uniform(1 - JITTER, 1 + JITTER)), 1)
