"""The several addresses of one machine: which is dialled next, how long after the last, and which rests.

It decides the order of a machine's addresses, the stagger between dials, who is set aside and for how long,
and which dial of a race wins. It never opens a socket, reads a clock, or says anything about the machine
behind the addresses: that is the decision module's. Read `order.py` first, then `book.py` and `race.py`;
docs/addresses.md tells the whole.
"""

from quincepier.addresses.address import ADDRESSES_MOST, Address, Family
from quincepier.addresses.book import Book, Limits
from quincepier.addresses.fate import after_break
from quincepier.addresses.grammar import AddressError, parse
from quincepier.addresses.order import Candidate, ordered
from quincepier.addresses.preference import Preference, Term, parse_term
from quincepier.addresses.race import Account, Cause, Dial, Hang, Lost, Races, Wake, Won

__all__ = [
    "ADDRESSES_MOST",
    "Account",
    "Address",
    "AddressError",
    "Book",
    "Candidate",
    "Cause",
    "Dial",
    "Family",
    "Hang",
    "Limits",
    "Lost",
    "Preference",
    "Races",
    "Term",
    "Wake",
    "Won",
    "after_break",
    "ordered",
    "parse",
    "parse_term",
]
