"""The order in which the addresses of one machine are tried, as a pure function.

1. Addresses that are not in backoff, by the operators' preference; among equally preferred ones
2. the address over which the last response arrived,
3. then by the policy table of RFC 6724 (section 2.1) with families alternating (RFC 8305, section 4); a Unix
   socket, which needs no network, comes first; the listed order decides between equal ones.
4. Addresses in backoff come last, the one whose backoff ends soonest first.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable, Sequence
from dataclasses import dataclass

import netaddr

from quincepier.addresses.address import Address, Family

# RFC 6724, section 2.1: the precedences of the default policy table.
_PRECEDENCE_TABLE = tuple(
    (netaddr.IPNetwork(prefix), precedence)
    for prefix, precedence in (
        ("::1/128", 50),
        ("2002::/16", 30),
        ("2001::/32", 5),
        ("fc00::/7", 3),
        ("::/96", 1),
        ("fec0::/10", 1),
        ("3ffe::/16", 1),
        ("::/0", 40),
    )
)
# IPv4: the row ::ffff:0:0/96 of the table. A Unix socket needs no network and comes before all others.
_IPV4_PRECEDENCE, _UNIX_PRECEDENCE = 35, 60


def precedence(address: Address) -> int:
    """Return the precedence by the table of RFC 6724; a higher one is tried first."""
    match address.family:
        case Family.UNIX:
            return _UNIX_PRECEDENCE
        case Family.IP4:
            return _IPV4_PRECEDENCE
        case Family.IP6:
            ip = netaddr.IPAddress(address.host)
            return next(value for network, value in _PRECEDENCE_TABLE if ip in network)


@dataclass(slots=True, frozen=True)
class Candidate:
    """An address and what decides its place in the order.

    Attributes:
        address: The address.
        precedence: By RFC 6724; higher is tried first.
        grade: By the operators' preference; lower is tried first.
        backoff_until: When its backoff ends, ns; 0: not in backoff.
        last_response: Number, among the machine's responses, of the last one over this address; 0: none.
    """

    address: Address
    precedence: int
    grade: int
    backoff_until: int = 0
    last_response: int = 0


def _alternate_families(candidates: Iterable[Candidate]) -> list[Candidate]:
    """Return the candidates with families alternating, the family with the best precedence first."""
    queues: dict[Family, deque[Candidate]] = {}
    for c in sorted(
        candidates, key=lambda c: -c.precedence
    ):  # a stable sort: equal ones stay in the listed order
        queues.setdefault(c.address.family, deque()).append(c)
    alternated = []
    while queues:
        for family in list(queues):
            alternated.append(queues[family].popleft())
            if not queues[family]:
                del queues[family]
    return alternated


def order_candidates(candidates: Sequence[Candidate]) -> list[Candidate]:
    """Return all candidates in the order in which they are to be tried."""
    usable = [c for c in candidates if not c.backoff_until]
    result: list[Candidate] = []
    for grade in sorted({c.grade for c in usable}):
        equals = _alternate_families(c for c in usable if c.grade == grade)
        best = max(equals, key=lambda c: c.last_response)
        if best.last_response:
            equals.remove(best)
            equals.insert(0, best)
        result += equals
    return result + sorted((c for c in candidates if c.backoff_until), key=lambda c: c.backoff_until)
