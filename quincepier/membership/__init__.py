"""Membership of the fronts: failure detection, and the view (the set of live fronts).

The package decides which members a front probes, when an unanswered probe becomes a suspicion, and when
suspicions become one change of the view. Its inputs are datagrams and times, its outputs datagrams and views;
it does no I/O, reads no clock, and does not depend on how a view is used. Start with `member_table.py`, then
`failure_detector.py`; docs/membership.md describes the protocol.
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
