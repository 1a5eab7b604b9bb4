"""Which socket families and networks the operators prefer or forbid."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

import netaddr

from quincepier.addresses.address import Address, Family
from quincepier.addresses.grammar import parse_term_value


@dataclass(slots=True, frozen=True)
class Term:
    """A socket family or a network.

    Attributes:
        text: The family's word, or the network in canonical form.
        matcher: The family or network.
    """

    text: str
    matcher: Family | netaddr.IPNetwork

    def matches(self, address: Address) -> bool:
        """Whether an address belongs to the family or network."""
        if isinstance(self.matcher, Family):
            return address.family is self.matcher
        return address.family is not Family.UNIX and netaddr.IPAddress(address.host) in self.matcher


def parse_term(text: object) -> Term:
    """Return the family or network that a text names; AddressError if it names neither."""
    matcher = parse_term_value(text)
    return Term(matcher.value if isinstance(matcher, Family) else str(matcher.cidr), matcher)


class Preference:
    """Preferred and forbidden families and networks.

    Args:
        prefer: Preferred terms, the most preferred first.
        forbid: Terms whose addresses are never dialled.

    Attributes:
        forbidden_networks: All forbidden networks as one set, so that a lookup costs the same for many.
    """

    def __init__(self, prefer: Iterable[Term] = (), forbid: Iterable[Term] = ()) -> None:
        self.preferred, forbidden = tuple(prefer), tuple(forbid)
        self.forbidden_families = frozenset(t.matcher for t in forbidden if isinstance(t.matcher, Family))
        self.forbidden_networks = netaddr.IPSet(
            t.matcher for t in forbidden if not isinstance(t.matcher, Family)
        )

    def is_allowed(self, address: Address) -> bool:
        """Whether no forbidden term matches an address."""
        if address.family in self.forbidden_families:
            return False
        return address.family is Family.UNIX or netaddr.IPAddress(address.host) not in self.forbidden_networks

    def grade(self, address: Address) -> int:
        """Return the index of the first preferred term that matches; the number of terms if none does."""
        return next(
            (n for n, term in enumerate(self.preferred) if term.matches(address)), len(self.preferred)
        )
