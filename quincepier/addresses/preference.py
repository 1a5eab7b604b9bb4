"""What the operators prefer and forbid: families of addresses and networks."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

import netaddr

from quincepier.addresses.address import Address, Family
from quincepier.addresses.grammar import parse_term_value


@dataclass(slots=True, frozen=True)
class Term:
    """A family, or a network in its canonical form."""

    text: str
    what: Family | netaddr.IPNetwork

    def holds(self, address: Address) -> bool:
        if isinstance(self.what, Family):
            return address.family is self.what
        return address.family is not Family.UNIX and netaddr.IPAddress(address.host) in self.what


def parse_term(text: object) -> Term:
    """Raises AddressError where the text is neither a family nor a network."""
    what = parse_term_value(text)
    return Term(what.value if isinstance(what, Family) else str(what.cidr), what)


class Preference:
    """Grades of addresses. Networks that are forbidden are one set, so that many of them cost no more."""

    def __init__(self, prefer: Iterable[Term] = (), forbid: Iterable[Term] = ()) -> None:
        self.prefer, forbidden = tuple(prefer), tuple(forbid)
        self.families = frozenset(t.what for t in forbidden if isinstance(t.what, Family))
        self.networks = netaddr.IPSet(t.what for t in forbidden if not isinstance(t.what, Family))

    def admits(self, address: Address) -> bool:
        if address.family in self.families:
            return False
        return address.family is Family.UNIX or netaddr.IPAddress(address.host) not in self.networks

    def grade(self, address: Address) -> int:
        """The place of the first term that holds for it; what no term names comes after all of them."""
        return next((n for n, term in enumerate(self.prefer) if term.holds(address)), len(self.prefer))
