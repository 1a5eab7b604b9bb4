"""Membership of the fronts: failure detection, and the view of who is there.

It decides whom a front probes, when silence becomes suspicion, and when suspicions become one change of the
view. Datagrams and times go in, datagrams and views come out; it does no I/O, reads no clock, and knows
nothing of what a view is used for. Start with `member_table.py`, then `failure_detector.py`;
docs/membership.md.
"""

from quincepier.membership.actions import Action, DuplicateMember, SendDatagram, StartStateSync, ViewChanged
from quincepier.membership.failure_detector import FailureDetector
from quincepier.membership.member_table import MemberRecord, MemberState
from quincepier.membership.messages import MAX_DATAGRAM_BYTES, InvalidMessageError, Message
from quincepier.membership.probe_intervals import ProbeIntervals

__all__ = [
    "MAX_DATAGRAM_BYTES",
    "Action",
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
