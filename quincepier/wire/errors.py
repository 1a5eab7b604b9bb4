"""The one error of the codecs."""

from __future__ import annotations

from quincepier.errors import PeerInputError


class ProtocolError(PeerInputError):
    """What a peer sent can't be read; the text says what was wrong."""

    code = "QP-WIRE"
    remedy = "check the version of the machine, the web server or the change log that the log line names"
