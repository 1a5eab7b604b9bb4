"""The error type of the codecs."""

from __future__ import annotations

from quincepier.errors import PeerInputError


class ProtocolError(PeerInputError):
    """A peer sent data that violates the protocol; the text says how."""

    code = "QP-WIRE"
    remedy = "check the version of the machine, the web server or the change log that the log line names"
