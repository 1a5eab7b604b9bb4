"""The two messages of the lease protocol, as msgpack arrays: a front's request and the leader's grant."""

from __future__ import annotations

from typing import Annotated

import msgspec

from quincepier.rules.errors import RulesError
from quincepier.rules.reports import FrontReport

MAX_REQUEST_BYTES = 1 << 20  # including the report
MAX_GRANT_BYTES = 256
MAX_LEASE_MS = 60_000
MAX_ERROR_LENGTH = 100
Number = Annotated[int, msgspec.Meta(ge=0, le=(1 << 62))]


class LeaseRequest(msgspec.Struct, frozen=True, array_like=True):
    """A front's report and its request for a lease on the version by which it decides.

    Attributes:
        token: Counts the requests of one incarnation; the grant repeats it.
        report: The state of the front.
    """

    token: Number
    report: FrontReport


class LeaseGrant(msgspec.Struct, frozen=True, array_like=True):
    """The leader's answer to a request.

    Attributes:
        incarnation: Incarnation of the front that sent the request.
        token: Token of the request.
        version_number: Number of the newest committed rule version.
        lease_ms: Duration of the lease, counted from when the request was made. 0 means no lease: the front
            first adopts that version and then sends another request.
    """

    incarnation: Number
    token: Number
    version_number: Number
    lease_ms: Annotated[int, msgspec.Meta(ge=0, le=MAX_LEASE_MS)]


_encode = msgspec.msgpack.Encoder().encode
_request_decoder = msgspec.msgpack.Decoder(LeaseRequest)
_grant_decoder = msgspec.msgpack.Decoder(LeaseGrant)


def encode_message(message: LeaseRequest | LeaseGrant) -> bytes:
    """Encode a message of the lease protocol."""
    return _encode(message)


def decode_lease_request(raw: bytes) -> LeaseRequest:
    """Decode a request.

    Raises:
        RulesError: The message is too long or not a valid request.
    """
    if len(raw) > MAX_REQUEST_BYTES:
        raise RulesError("lease request too long")
    try:
        return _request_decoder.decode(raw)
    except (msgspec.DecodeError, ValueError, RecursionError) as error:
        raise RulesError(f"invalid lease request: {str(error)[:MAX_ERROR_LENGTH]}") from None


def decode_lease_grant(raw: bytes) -> LeaseGrant:
    """Decode a grant.

    Raises:
        RulesError: The message is too long or not a valid grant.
    """
    if len(raw) > MAX_GRANT_BYTES:
        raise RulesError("lease grant too long")
    try:
        return _grant_decoder.decode(raw)
    except (msgspec.DecodeError, ValueError, RecursionError) as error:
        raise RulesError(f"invalid lease grant: {str(error)[:MAX_ERROR_LENGTH]}") from None
