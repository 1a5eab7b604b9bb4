"""The several addresses of one machine: which is dialled next, how long after the last, and which rests.

It decides the order of a machine's addresses, the stagger between dials, who is set aside and for how long,
and which dial of a race wins. It never opens a socket, reads a clock, or says anything about the machine
behind the addresses: that is the decision module's. Read `order.py` first, then `book.py` and `race.py`;
docs/addresses.md tells the whole.
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
