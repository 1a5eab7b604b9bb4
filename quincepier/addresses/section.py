"""The section `addresses` of the operators' file."""

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
    """Milliseconds between the starts of two dials of one race.

    Attributes:
        first: Until connect times are known.
        least: Lower limit.
        most: Upper limit.
    """

    first: Ms = 30
    least: Ms = 10
    most: Ms = 60

    def __post_init__(self) -> None:
        if not self.least <= self.first <= self.most:
            raise ValueError("least <= first <= most is wanted")


class Aside(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Backoff of an address that failed, milliseconds.

    Attributes:
        first: After the first failure; doubled with each further one.
        most: Upper limit.
    """

    first: Ms = 200
    most: Ms = 10_000

    def __post_init__(self) -> None:
        if self.first > self.most:
            raise ValueError("first <= most is wanted")


class Dials(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Limits on dials in progress at once.

    Attributes:
        machine: To one machine.
        front: Of the whole front.
    """

    machine: Annotated[int, msgspec.Meta(ge=1, le=1_000)] = 8
    front: Annotated[int, msgspec.Meta(ge=1, le=10_000)] = 64

    def __post_init__(self) -> None:
        if self.machine > self.front:
            raise ValueError("machine <= front is wanted")


class AddressesSection(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Settings for machines with several addresses.

    Attributes:
        machines: Addresses by host id, in addition to those in the change log.
        prefer: Families and networks that are tried first, in this order.
        forbid: Families and networks that are never dialled.
        stagger_ms: Time between two dials of one race.
        aside_ms: Backoff of addresses that failed.
        dials: Limits on dials in progress.
        MADE: Parser for each field type that msgspec does not decode itself.
    """

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
        """The limits in nanoseconds."""
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
        """Which addresses are preferred and which are forbidden."""
        return Preference(self.prefer, self.forbid)
