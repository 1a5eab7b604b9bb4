"""The order in which the addresses of one machine are tried: one pure function.

1. What is not set aside, by the operators' grade; among equals
2. the address over which an answer came last,
3. then by the policy table of RFC 6724 (section 2.1) with families taking turns (RFC 8305, section 4); a Unix
   socket, which needs no network, comes before both, and the listed order decides between what is left.
4. What is set aside comes after all of it, the one due soonest first.
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
_IPV4_PRECEDENCE, _UNIX_PRECEDENCE = (
    35,
    60,
)  # ::ffff:0:0/96 of the same table; a Unix socket goes before all that needs a network


def precedence(address: Address) -> int:
    """Of RFC 6724's table; more goes first."""
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
    """An address as its book knows it."""

    address: Address
    precedence: int
    grade: int  # by the operators' preference, 0 first
    backoff_until: int = 0  # set aside until then, in nanoseconds; 0 where it is not
    last_response: int = 0  # rises with every answer that proved an address of this machine; 0: never


def _alternate_families(candidates: Iterable[Candidate]) -> list[Candidate]:
    """Families in turn, each in the order of its best precedence."""
    queues: dict[Family, deque[Candidate]] = {}
    for c in sorted(candidates, key=lambda c: -c.precedence):  # stable: the listed order among equals
        queues.setdefault(c.address.family, deque()).append(c)
    found = []
    while queues:
        for family in list(queues):
            found.append(queues[family].popleft())
            if not queues[family]:
                del queues[family]
    return found


def order_candidates(candidates: Sequence[Candidate]) -> list[Candidate]:
    """All candidates, in the order in which they are to be tried."""
    ready = [c for c in candidates if not c.backoff_until]
    found: list[Candidate] = []
    for grade in sorted({c.grade for c in ready}):
        equals = _alternate_families(c for c in ready if c.grade == grade)
        best = max(equals, key=lambda c: c.last_response)
        if best.last_response:
            equals.remove(best)
            equals.insert(0, best)
        found += equals
    return found + sorted((c for c in candidates if c.backoff_until), key=lambda c: c.backoff_until)
