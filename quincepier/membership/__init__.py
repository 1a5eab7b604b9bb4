"""Which fronts are there: failure detection among the fronts, and the view that they agree on.

It decides whom a front probes, when a silence becomes an accusation, and when accusations of several become
one change of the view; datagrams and time go in, datagrams and views come out. It does no I/O, reads no
clock, and never says what a view is used for. Read `table.py` first, then `detector.py`; docs/membership.md.
"""

from quincepier.membership.failure_detector import (
    DuplicateMember,
    FailureDetector,
    SendDatagram,
    StartStateSync,
    ViewChanged,
)
from quincepier.membership.member_table import MemberRecord, MemberState
from quincepier.membership.messages import MAX_DATAGRAM_BYTES, InvalidMessageError, Message
from quincepier.membership.probe_intervals import ProbeIntervals

__all__ = [
    "MAX_DATAGRAM_BYTES",
    "DuplicateMember",
    "FailureDetector",
    "InvalidMessageError",
    "MemberRecord",
    "MemberState",
    "Message",
    "ProbeIntervals",
    "SendDatagram",
    "StartStateSync",
    "ViewChanged",
]
