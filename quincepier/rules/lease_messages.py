"""The two messages of the lease protocol, as msgpack arrays: a front's request and the leader's grant."""

from __future__ import annotations

from typing import Annotated

import msgspec

from quincepier.rules.errors import RulesError
from quincepier.rules.reports import FrontReport

MAX_REQUEST_BYTES = 1 << 20  # the report included
MAX_GRANT_BYTES = 256
MAX_LEASE_MS = 60_000
MAX_ERROR_LENGTH = 100
Number = Annotated[int, msgspec.Meta(ge=0, le=(1 << 62))]


class LeaseRequest(msgspec.Struct, frozen=True, array_like=True):
    """A front reports, and asks for a lease of the version that it decides by.

    Attributes:
        token: Counts the requests of one incarnation; the grant repeats it.
        report: What the front says of itself.
    """

    token: Number
    report: FrontReport


class LeaseGrant(msgspec.Struct, frozen=True, array_like=True):
    """The leader's answer to a request.

    Attributes:
        incarnation: Of the front that asked.
        token: Of the request.
        version_number: The newest committed rule version.
        lease_ms: Duration of the lease, counted from when the request was made. 0: none; the front adopts
            that version first and asks again.
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
        RulesError: It is too long, or not a request.
    """
    if len(raw) > MAX_REQUEST_BYTES:
        raise RulesError("a lease request is too long")
    try:
        return _request_decoder.decode(raw)
    except (msgspec.DecodeError, ValueError, RecursionError) as error:
        raise RulesError(f"not a lease request: {str(error)[:MAX_ERROR_LENGTH]}") from None


def decode_lease_grant(raw: bytes) -> LeaseGrant:
    """Decode a grant.

    Raises:
        RulesError: It is too long, or not a grant.
    """
    if len(raw) > MAX_GRANT_BYTES:
        raise RulesError("a lease grant is too long")
    try:
        return _grant_decoder.decode(raw)
    except (msgspec.DecodeError, ValueError, RecursionError) as error:
        raise RulesError(f"not a lease grant: {str(error)[:MAX_ERROR_LENGTH]}") from None
