"""The addresses of one machine: the state of each, backoffs, and the stagger between dials."""

from __future__ import annotations

import random
from collections.abc import Iterable
from dataclasses import dataclass

from quincepier.addresses.address import Address
from quincepier.addresses.order import Candidate, order_candidates, precedence
from quincepier.addresses.preference import Preference

MS = 1_000_000
MEAN_GAIN, DEVIATION_GAIN, DEVIATION_FACTOR = 1 / 8, 1 / 4, 4  # RFC 6298, applied to connect times
# Share of a backoff, both ways: fronts that lost an address together do not retry it together.
JITTER = 0.25


@dataclass(slots=True, frozen=True)
class Limits:
    """Limits that the operators can set; docs/addresses.md gives the reasons for the defaults.

    Attributes:
        initial_stagger: Time between two dials of a race while no connect time is known, ns.
        min_stagger: Lower limit of the stagger, ns.
        max_stagger: Upper limit of the stagger, ns.
        initial_backoff: Backoff after the first failure of an address, ns.
        max_backoff: Upper limit of a backoff, ns, before jitter.
        max_dials_per_machine: Dials in progress to one machine.
        max_dials: Dials in progress of the whole front.
    """

    initial_stagger: int = 30 * MS
    min_stagger: int = 10 * MS
    max_stagger: int = 60 * MS
    initial_backoff: int = 200 * MS
    max_backoff: int = 10_000 * MS
    max_dials_per_machine: int = 8
    max_dials: int = 64


@dataclass(slots=True)
class AddressState:
    """What is known about one address.

    Attributes:
        address: The address.
        precedence: By RFC 6724; higher is tried first.
        grade: By the operators' preference; lower is tried first.
        failures: Consecutive failures.
        backoff_began_at: When the last backoff began, ns.
        backoff_until: When the backoff ends, ns; 0: not in backoff.
        trial_dial: Number of the dial that tries the address after its backoff; 0: none.
        last_response: Number, among the machine's responses, of the last one over this address; 0: none.
    """

    address: Address
    precedence: int
    grade: int
    failures: int = 0
    backoff_began_at: int = 0
    backoff_until: int = 0
    trial_dial: int = 0
    last_response: int = 0


class AddressBook:
    """The addresses of one machine and their state.

    Without side effects: times (ns) are passed in, and the random generator is seeded.

    An address counts as working only once a response has arrived over it. An address whose connection closes
    before any response counts as failed, like one that refuses: a relay may accept although the machine
    behind it is dead.

    Args:
        limits: Limits on staggers and backoffs.
        preference: Which addresses are preferred and which are forbidden.
        seed: Seed of the jitter.

    Attributes:
        state_by_address: The allowed addresses, in the listed order.
        response_count: First responses of connections so far.
        mean_connect_time: Smoothed time that a connect takes, ns; 0: not known.
        connect_time_deviation: Its smoothed mean deviation, ns.
    """

    def __init__(self, limits: Limits, preference: Preference, seed: int) -> None:
        self.limits, self.preference = limits, preference
        self.random = random.Random(seed)
        self.state_by_address: dict[Address, AddressState] = {}
        self.response_count = 0
        self.mean_connect_time = self.connect_time_deviation = 0.0

    def replace_addresses(self, addresses: Iterable[Address]) -> set[Address]:
        """Replace the list; addresses that stay keep their state. Return the addresses that were removed."""
        previous, self.state_by_address = self.state_by_address, {}
        for address in addresses:
            if address not in self.state_by_address and self.preference.is_allowed(address):
                state = previous.get(address) or AddressState(address, precedence(address), 0)
                state.grade = self.preference.grade(address)
                self.state_by_address[address] = state
        return previous.keys() - self.state_by_address.keys()

    @property
    def stagger(self) -> int:
        """Time from the start of a dial until the next one of its race may start, ns."""
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
        """Return the addresses in the order to try them; those in backoff or on trial come last."""
        return order_candidates(
            [
                Candidate(
                    state.address,
                    state.precedence,
                    state.grade,
                    self._backoff_until(state, now),
                    state.last_response,
                )
                for state in self.state_by_address.values()
            ]
        )

    def _backoff_until(self, state: AddressState, now: int) -> int:
        return (
            state.backoff_until
            if state.backoff_until > now or (state.backoff_until and state.trial_dial)
            else 0
        )

    def is_backing_off(self, address: Address, now: int) -> bool:
        """Whether an address is in backoff, or on trial after one."""
        state = self.state_by_address.get(address)
        return state is not None and bool(self._backoff_until(state, now))

    def has_alternative(self, address: Address, now: int) -> bool:
        """Whether there is another address that is neither in backoff nor on trial."""
        return any(
            state.address != address and not self._backoff_until(state, now)
            for state in self.state_by_address.values()
        )

    # Events

    def on_dial_started(self, address: Address, dial: int, now: int) -> bool:
        """Note the start of a dial. Return whether it is the trial of an address after its backoff."""
        state = self.state_by_address[address]
        if state.backoff_until:
            state.trial_dial = dial
        return bool(state.backoff_until)

    def on_dial_ended(self, address: Address, dial: int) -> None:
        """Note that a dial has ended, with whatever result."""
        state = self.state_by_address.get(address)
        if state is not None and state.trial_dial == dial:
            state.trial_dial = 0

    def on_connected(self, address: Address, elapsed: int, now: int) -> None:
        """Note that a dial has connected after `elapsed` ns.

        That does not prove the address: one in backoff stays so until a response arrives.
        """
        self.connect_time_deviation += (
            (abs(elapsed - self.mean_connect_time) - self.connect_time_deviation) * DEVIATION_GAIN
            if self.mean_connect_time
            else elapsed / 2
        )
        self.mean_connect_time += (
            (elapsed - self.mean_connect_time) * MEAN_GAIN if self.mean_connect_time else max(elapsed, 1)
        )
        state = self.state_by_address.get(address)
        if state is not None and state.backoff_until:
            state.backoff_until = now + self._draw_backoff(state)

    def on_response(self, address: Address) -> None:
        """Note that a response arrived over an address: it works, and its backoff ends."""
        state = self.state_by_address.get(address)
        if state is not None:
            self.response_count += 1
            state.last_response, state.failures, state.backoff_until = self.response_count, 0, 0

    def on_failure(self, address: Address, began_at: int, now: int) -> bool:
        """Note that a dial or connection, begun at `began_at`, failed; each failure lengthens the backoff.

        Dials that were in progress when the first of them failed count as one failure.

        Returns:
            Whether the failure counted.
        """
        state = self.state_by_address.get(address)
        if state is None or (state.backoff_until and began_at < state.backoff_began_at):
            return False
        state.failures += 1
        state.backoff_began_at, state.backoff_until = now, now + self._draw_backoff(state)
        return True

    # Across restarts

    def list_backoffs(self, now: int) -> list[tuple[str, int, int]]:
        """Return the addresses in backoff: address, consecutive failures, remaining backoff in ns."""
        backing_off = (state for state in self.state_by_address.values() if state.backoff_until > now)
        return [(str(state.address), state.failures, state.backoff_until - now) for state in backing_off]

    def restore_backoffs(self, backoffs: Iterable[tuple[str, int, int]], now: int) -> int:
        """Restore the backoffs of an earlier run, each limited to `max_backoff`.

        That an address worked is not restored: the first dial shows it.

        Returns:
            How many addresses are in backoff because of this.
        """
        backoff_by_address, restored = (
            {address: (failures, remaining) for address, failures, remaining in backoffs},
            0,
        )
        for state in self.state_by_address.values():
            failures, remaining = backoff_by_address.get(str(state.address), (0, 0))
            if remaining > 0 and not state.backoff_until and not state.last_response:
                state.failures, state.backoff_began_at = failures, now
                state.backoff_until, restored = now + min(remaining, self.limits.max_backoff), restored + 1
        return restored

    def _draw_backoff(self, state: AddressState) -> int:
        doubled = self.limits.initial_backoff << min(max(state.failures - 1, 0), 20)
        backoff = min(doubled, self.limits.max_backoff)
        return max(int(backoff * self.random.uniform(1 - JITTER, 1 + JITTER)), 1)
