"""Codec of FastCGI 1.0 for an application in the Responder role."""

from __future__ import annotations

import struct
from collections.abc import Iterable
from dataclasses import dataclass
from functools import lru_cache

from quincepier.wire.errors import ProtocolError

HEADER = struct.Struct(">BBHHBx")  # version, kind, request id, content length, padding length
BEGIN_BODY = struct.Struct(">HB5x")  # role, flags
END_BODY = struct.Struct(">IB3x")  # application status, protocol status
# Kinds of records.
BEGIN, ABORT, END, PARAMS, STDIN, STDOUT, DATA = 1, 2, 3, 4, 5, 6, 8
GET_VALUES, GET_VALUES_RESULT, UNKNOWN_TYPE = 9, 10, 11
RESPONDER, KEEP_CONN = 1, 1  # role and flag of BEGIN_REQUEST
# Protocol statuses of END_REQUEST.
COMPLETE, CANT_MULTIPLEX, OVERLOADED, UNKNOWN_ROLE = 0, 1, 2, 3
MAX_RECORD_CONTENT = 16_384  # bytes in a STDOUT record, so that concurrent responses are interleaved
MAX_PARAMS, MAX_BODY = 16_384, 48_000  # bytes of one request
MAX_PARAMS_COUNT = 512  # name-value pairs of one request; web servers send some dozens
MAX_OPEN_REQUESTS = 32  # on one connection
MAX_UNCHECKED = 4096  # bytes of content; a longer record is checked by its header before it is buffered
MAX_STRAY_RECORDS = 1024  # in a row that belong to no open request


@dataclass(slots=True)
class FastCgiRequest:
    """A completely received request.

    Attributes:
        id: Its request id.
        params: Its parameters, decoded as Latin-1; those that the decoder was told to keep.
        body: Its body.
        keep_connection: Whether the connection stays open after the response.
        error: Why the request can't be used; parameters and body are then incomplete. Empty: it can.
    """

    id: int
    params: dict[str, str]
    body: bytes
    keep_connection: bool
    error: str = ""


@dataclass(slots=True, frozen=True)
class RequestAborted:
    """The client has aborted an open request."""

    id: int


@dataclass(slots=True, frozen=True)
class Reply:
    """Records to send at once; `closes_connection`: the connection is closed after them."""

    data: bytes
    closes_connection: bool = False


class _PartialRequest:
    def __init__(self, keep_connection: bool) -> None:
        self.keep_connection, self.params_ended = keep_connection, False
        self.params, self.body = bytearray(), bytearray()


def encode_record(kind: int, request: int, content: bytes | bytearray | memoryview) -> bytes:
    """Encode a record."""
    return HEADER.pack(1, kind, request, len(content), 0) + bytes(content)


def encode_end_request(request: int, status: int = COMPLETE) -> bytes:
    """Encode an END_REQUEST record."""
    return encode_record(END, request, END_BODY.pack(0, status))


@lru_cache(maxsize=4096)
def encode_response_end(request: int) -> bytes:
    """Encode the end of STDOUT and END_REQUEST."""
    return encode_record(STDOUT, request, b"") + encode_end_request(request)


def encode_head_only_response(request: int, head: bytes) -> bytes:
    """Encode a complete response that has only a head."""
    return encode_record(STDOUT, request, head) + encode_response_end(request)


def _read_length(raw: bytes, offset: int) -> tuple[int, int]:
    """Return a length, which is encoded in one or four bytes, and the offset behind it."""
    if offset < len(raw) and raw[offset] < 128:
        return raw[offset], offset + 1
    if offset + 4 > len(raw):
        raise ProtocolError("a parameter's length is cut short")
    return int.from_bytes(raw[offset : offset + 4], "big") & 0x7FFFFFFF, offset + 4


def read_pairs(data: bytes | bytearray) -> dict[str, str]:
    """Decode name-value pairs, as Latin-1.

    Raises:
        ProtocolError: A pair is incomplete, a name is repeated, or there are too many pairs.
    """
    raw, text, at, size = bytes(data), data.decode("latin-1"), 0, len(data)
    pairs: dict[str, str] = {}
    count = 0
    while at < size:
        if count >= MAX_PARAMS_COUNT:
            raise ProtocolError(f"over {MAX_PARAMS_COUNT} parameters")
        if at + 1 < size and raw[at] < 128 and raw[at + 1] < 128:
            value_start = at + 2 + raw[at]
            value_end, at = value_start + raw[at + 1], at + 2
        else:
            name_size, at = _read_length(raw, at)
            value_size, at = _read_length(raw, at)
            value_start = at + name_size
            value_end = value_start + value_size
        if value_end > size:
            raise ProtocolError("a parameter exceeds its record stream")
        pairs[text[at:value_start]] = text[value_start:value_end]
        at, count = value_end, count + 1
    if len(pairs) != count:
        raise ProtocolError("a parameter is given twice")
    return pairs


def write_pairs(pairs: Iterable[tuple[str, str]]) -> bytes:
    """Encode name-value pairs, as Latin-1."""
    out = bytearray()
    for name, value in pairs:
        raw = name.encode("latin-1"), value.encode("latin-1")
        for part in raw:
            out += bytes([len(part)]) if len(part) < 128 else (len(part) | 1 << 31).to_bytes(4, "big")
        out += raw[0] + raw[1]
    return bytes(out)


class Decoder:
    """Decodes the records of one connection and tracks its open requests.

    Args:
        max_connections: Limit on connections, which the web server can query.
        param_names: Names of the parameters to keep; None: all. The others are checked and dropped.

    Attributes:
        buffer: Received bytes of incomplete records.
        partial_requests: Requests that are not completely received, by id, the oldest first.
        bytes_to_skip: Bytes still to be received that are discarded.
        record_count: Records received so far.
        stray_count: Records in a row that belong to no open request.
        unanswered_ids: Ids of complete requests without a final response.
        error: Set once the connection can't be decoded any further.
        values: Values that the web server can query.
    """

    def __init__(self, max_connections: int = 1, param_names: frozenset[str] | None = None) -> None:
        self.buffer = bytearray()
        self.partial_requests: dict[int, _PartialRequest] = {}
        self.bytes_to_skip = 0
        self.record_count = self.stray_count = 0
        self.unanswered_ids: set[int] = set()
        self.error: ProtocolError | None = None
        self._param_names = param_names
        self.values = {
            "FCGI_MAX_CONNS": str(max_connections),
            "FCGI_MAX_REQS": str(max_connections * MAX_OPEN_REQUESTS),
            "FCGI_MPXS_CONNS": "1",
        }

    def on_answered(self, request: int) -> None:
        """Note that a request has its final response, or needs none."""
        self.unanswered_ids.discard(request)

    @property
    def buffered_bytes(self) -> int:
        """Buffered bytes of incomplete records and requests."""
        return len(self.buffer) + sum(len(b.params) + len(b.body) for b in self.partial_requests.values())

    @property
    def oldest_partial(self) -> object:
        """Identifies the oldest incomplete request or record; None if there is none.

        It stays the same object, or an equal number, until that request or record is complete.
        """
        if self.partial_requests:
            return next(iter(self.partial_requests.values()))
        return self.record_count + 1 if self.buffer or self.bytes_to_skip else None

    def feed(self, data: bytes | bytearray | memoryview) -> list[FastCgiRequest | RequestAborted | Reply]:
        """Decode received data, split in any way, and return what is complete.

        Raises:
            ProtocolError: The data violates the protocol. If something was complete before the violation, it
                is returned instead, `error` is set, and the next call raises it.
        """
        if self.error is not None:
            raise self.error
        found = list[FastCgiRequest | RequestAborted | Reply]()
        try:
            self._feed(data, found)
        except ProtocolError as error:
            self.fail(error)
            if not found:
                raise
        return found

    def fail(self, error: ProtocolError) -> None:
        """Stop decoding: incomplete records and requests are discarded."""
        self.error, self.bytes_to_skip = error, 0
        self.buffer.clear()
        self.partial_requests.clear()

    def _feed(
        self, data: bytes | bytearray | memoryview, found: list[FastCgiRequest | RequestAborted | Reply]
    ) -> None:
        buffer, at = self.buffer, 0
        buffer += data
        while True:
            skipped = min(self.bytes_to_skip, len(buffer) - at)
            self.bytes_to_skip, at = self.bytes_to_skip - skipped, at + skipped
            if self.bytes_to_skip or len(buffer) - at < HEADER.size:
                break
            version, kind, request, size, padding = HEADER.unpack_from(buffer, at)
            if version != 1:
                raise ProtocolError(f"FastCGI version {version}, not 1")
            start = at + HEADER.size
            if size > MAX_UNCHECKED and (rejected := self._check_header(kind, request, size)) is not None:
                found += rejected
                self.record_count, self.bytes_to_skip, at = self.record_count + 1, size + padding, start
                continue
            if len(buffer) < start + size + padding:
                break
            found += self._handle_record(kind, request, bytes(buffer[start : start + size]))
            self.record_count, at = self.record_count + 1, start + size + padding
        del buffer[:at]

    def _check_header(
        self, kind: int, request: int, size: int
    ) -> list[FastCgiRequest | RequestAborted | Reply] | None:
        """Return the result of a record that is discarded because of its header; None: it is buffered."""
        if request == 0 or kind in (BEGIN, ABORT):
            raise ProtocolError(f"a record of kind {kind} with {size} bytes is too long for its kind")
        partial = self.partial_requests.get(request)
        if partial is None or kind not in (PARAMS, STDIN):
            return self._count_stray()
        return self._reject_too_large(request, partial, kind, size) or None

    def _count_stray(self) -> list[FastCgiRequest | RequestAborted | Reply]:
        """Ignore a record of no open request, as the specification demands, up to a limit in a row."""
        self.stray_count += 1
        if self.stray_count > MAX_STRAY_RECORDS:
            raise ProtocolError(f"over {MAX_STRAY_RECORDS} records of no request")
        return []

    def _reject_too_large(
        self, request: int, partial: _PartialRequest, kind: int, size: int
    ) -> list[FastCgiRequest | RequestAborted | Reply]:
        """Return a request with an error if `size` more bytes make it too large, else nothing.

        The rest of the request is not waited for, as it may never arrive; the connection is closed after the
        response.
        """
        if kind == PARAMS and len(partial.params) + size > MAX_PARAMS:
            error = f"parameters over {MAX_PARAMS} bytes"
        elif kind == STDIN and len(partial.body) + size > MAX_BODY:
            error = f"a body over {MAX_BODY} bytes"
        else:
            return []
        del self.partial_requests[request]
        self.unanswered_ids.add(request)
        return [FastCgiRequest(request, {}, b"", False, error)]

    def _handle_record(
        self, kind: int, request: int, content: bytes
    ) -> list[FastCgiRequest | RequestAborted | Reply]:
        if request == 0:
            self._count_stray()
            return [self._answer_management(kind, content)]
        if kind == BEGIN:
            return self._begin_request(request, content)
        if kind == ABORT:
            is_open = self.partial_requests.pop(request, None) is not None or request in self.unanswered_ids
            self.unanswered_ids.discard(request)
            return [RequestAborted(request)] if is_open else self._count_stray()
        partial = self.partial_requests.get(request)
        if partial is None or kind not in (PARAMS, STDIN):
            return self._count_stray()
        self.stray_count = 0
        if content and (rejected := self._reject_too_large(request, partial, kind, len(content))):
            return rejected
        if kind == PARAMS:
            return self._add_params(partial, content)
        if not partial.params_ended:
            raise ProtocolError("STDIN before the end of PARAMS")
        if not content:
            del self.partial_requests[request]
            self.unanswered_ids.add(request)
            return [self._complete(request, partial)]
        partial.body += content
        return []

    def _add_params(
        self, partial: _PartialRequest, content: bytes
    ) -> list[FastCgiRequest | RequestAborted | Reply]:
        if partial.params_ended:
            raise ProtocolError("PARAMS record after the end of PARAMS")
        if not content:
            partial.params_ended = True
        else:
            partial.params += content
        return []

    def _complete(self, request: int, partial: _PartialRequest) -> FastCgiRequest:
        params: dict[str, str] = {}
        reason = ""
        try:
            params = read_pairs(partial.params)
            if self._param_names is not None:
                params = {name: params[name] for name in self._param_names if name in params}
        except ProtocolError as error:
            reason = str(error)
        return FastCgiRequest(request, params, bytes(partial.body), partial.keep_connection, reason)

    def _begin_request(self, request: int, content: bytes) -> list[FastCgiRequest | RequestAborted | Reply]:
        if len(content) != BEGIN_BODY.size:
            raise ProtocolError(f"BEGIN_REQUEST body has {len(content)} bytes, not {BEGIN_BODY.size}")
        if request in self.partial_requests or request in self.unanswered_ids:
            raise ProtocolError(f"request {request} begins while it is open")
        role, flags = BEGIN_BODY.unpack(content)
        keep_connection = bool(flags & KEEP_CONN)
        if role != RESPONDER:
            return [Reply(encode_end_request(request, UNKNOWN_ROLE), not keep_connection)]
        if len(self.partial_requests) + len(self.unanswered_ids) >= MAX_OPEN_REQUESTS:
            return [Reply(encode_end_request(request, OVERLOADED), not keep_connection)]
        self.partial_requests[request] = _PartialRequest(keep_connection)
        return []

    def _answer_management(self, kind: int, content: bytes) -> Reply:
        if kind != GET_VALUES:
            return Reply(encode_record(UNKNOWN_TYPE, 0, struct.pack(">B7x", kind)))
        queried = read_pairs(content)
        known = [(name, self.values[name]) for name in queried if name in self.values]
        return Reply(encode_record(GET_VALUES_RESULT, 0, write_pairs(known)))
