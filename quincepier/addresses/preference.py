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
    matcher: Family | netaddr.IPNetwork

    def matches(self, address: Address) -> bool:
        if isinstance(self.matcher, Family):
            return address.family is self.matcher
        return address.family is not Family.UNIX and netaddr.IPAddress(address.host) in self.matcher


def parse_term(text: object) -> Term:
    """Raises AddressError where the text is neither a family nor a network."""
    what = parse_term_value(text)
    return Term(what.value if isinstance(what, Family) else str(what.cidr), what)


class Preference:
    """Grades of addresses. Networks that are forbidden are one set, so that many of them cost no more."""

    def __init__(self, prefer: Iterable[Term] = (), forbid: Iterable[Term] = ()) -> None:
        self.preferred, forbidden = tuple(prefer), tuple(forbid)
        self.forbidden_families = frozenset(t.matcher for t in forbidden if isinstance(t.matcher, Family))
        self.forbidden_networks = netaddr.IPSet(
            t.matcher for t in forbidden if not isinstance(t.matcher, Family)
        )

    def is_allowed(self, address: Address) -> bool:
        if address.family in self.forbidden_families:
            return False
        return address.family is Family.UNIX or netaddr.IPAddress(address.host) not in self.forbidden_networks

    def grade(self, address: Address) -> int:
        """The place of the first term that holds for it; what no term names comes after all of them."""
        return next(
            (n for n, term in enumerate(self.preferred) if term.matches(address)), len(self.preferred)
        )
