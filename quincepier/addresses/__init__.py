"""Machines with several addresses: which address is dialled next, how soon, and which is in backoff.

This package decides the order of a machine's addresses, the stagger between dials, which addresses are in
backoff and for how long, and which dial of a race wins. It opens no socket, reads no clock, and decides
nothing about the machine itself: the router does that. Read `order.py` first, then `address_book.py` and
`race.py`; docs/addresses.md has the whole design.
"""

from quincepier.addresses.address import MAX_ADDRESSES, Address, Family
from quincepier.addresses.address_book import AddressBook, Limits
from quincepier.addresses.break_outcome import outcome_after_break
from quincepier.addresses.grammar import AddressError, parse
from quincepier.addresses.order import Candidate, order_candidates
from quincepier.addresses.preference import Preference, Term, parse_term
from quincepier.addresses.race import (
    CancelDial,
    Cause,
    DialLimiter,
    RaceLost,
    Races,
    RaceWon,
    ScheduleTick,
    StartDial,
)

__all__ = [
    "MAX_ADDRESSES",
    "Address",
    "AddressBook",
    "AddressError",
    "CancelDial",
    "Candidate",
    "Cause",
    "DialLimiter",
    "Family",
    "Limits",
    "Preference",
    "RaceLost",
    "RaceWon",
    "Races",
    "ScheduleTick",
    "StartDial",
    "Term",
    "order_candidates",
    "outcome_after_break",
    "parse",
    "parse_term",
]
