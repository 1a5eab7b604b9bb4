"""Messages between fronts about rule versions: encoding and decoding, and rejection of invalid bytes."""

from __future__ import annotations

from quincepier.net.fleet import messages
from quincepier.rules import FrontReport, HostCount, LeaseGrant, LeaseRequest


def test_messages_are_decoded_as_they_were_encoded_and_other_bytes_are_dropped() -> None:
    front_report = FrontReport("n1", 1, 3, "00", False, 250, open_attempts=(HostCount("s-1", 2),))
    report = messages.ReportMessage(LeaseRequest(7, front_report))
    granted = messages.LeaseGranted(2, LeaseGrant(1, 7, 3, 900), b"x")
    for message in (report, granted, messages.NotLeader(7, "n0"), messages.VersionCommitted(2, b"y")):
        assert messages.decode(messages.encode(message)) == message
    for raw in (
        b"",
        b"\xc1",
        messages.encode([9, 1]),
        messages.encode(report)[:-2],
        bytes(messages.MAX_MESSAGE_BYTES + 1),
    ):
        assert messages.decode(raw) is None
