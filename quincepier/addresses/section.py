"""The section `addresses` of the operators' file, and what becomes of it."""

from __future__ import annotations

from collections.abc import Callable
from typing import Annotated, ClassVar

import msgspec

from quincepier.addresses.address import MAX_ADDRESSES, Address
from quincepier.addresses.address_book import MS, Limits
from quincepier.addresses.grammar import parse
from quincepier.addresses.preference import Preference, Term, parse_term

Ms = Annotated[float, msgspec.Meta(gt=0, le=60_000)]
MAX_MACHINES, MAX_TERMS = 20_000, 1_000


class Stagger(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Milliseconds between the starts of two dials of one race."""

    first: Ms = 30
    least: Ms = 10
    most: Ms = 60

    def __post_init__(self) -> None:
        if not self.least <= self.first <= self.most:
            raise ValueError("least <= first <= most is wanted")


class Aside(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Milliseconds for which an address that failed rests: at first, and at most."""

    first: Ms = 200
    most: Ms = 10_000

    def __post_init__(self) -> None:
        if self.first > self.most:
            raise ValueError("first <= most is wanted")


class Dials(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Connections coming up at once: to one machine, and of the front."""

    machine: Annotated[int, msgspec.Meta(ge=1, le=1_000)] = 8
    front: Annotated[int, msgspec.Meta(ge=1, le=10_000)] = 64

    def __post_init__(self) -> None:
        if self.machine > self.front:
            raise ValueError("machine <= front is wanted")


class AddressesSection(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Several addresses a machine. `machines` adds to what the change log tells, by host id."""

    machines: Annotated[
        dict[str, Annotated[tuple[Address, ...], msgspec.Meta(max_length=MAX_ADDRESSES)]],
        msgspec.Meta(max_length=MAX_MACHINES),
    ] = {}
    prefer: Annotated[tuple[Term, ...], msgspec.Meta(max_length=MAX_TERMS)] = ()
    forbid: Annotated[tuple[Term, ...], msgspec.Meta(max_length=MAX_TERMS)] = ()
    stagger_ms: Stagger = Stagger()
    aside_ms: Aside = Aside()
    dials: Dials = Dials()

    MADE: ClassVar[dict[type, Callable[[object], object]]] = {Address: parse, Term: parse_term}

    @property
    def limits(self) -> Limits:
        return Limits(
            initial_stagger=int(self.stagger_ms.first * MS),
            min_stagger=int(self.stagger_ms.least * MS),
            max_stagger=int(self.stagger_ms.most * MS),
            initial_backoff=int(self.aside_ms.first * MS),
            max_backoff=int(self.aside_ms.most * MS),
            max_dials_per_machine=self.dials.machine,
            max_dials=self.dials.front,
        )

    @property
    def preference(self) -> Preference:
        return Preference(self.prefer, self.forbid)
