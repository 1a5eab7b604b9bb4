"""FastCGI 1.0, the application's side in the Responder role: records in, records out, no sockets."""

from __future__ import annotations

import struct
from collections.abc import Iterable
from dataclasses import dataclass
from functools import lru_cache

from quincepier.wire.errors import ProtocolError

HEADER = struct.Struct(">BBHHBx")
BEGIN_BODY = struct.Struct(">HB5x")
END_BODY = struct.Struct(">IB3x")
BEGIN, ABORT, END, PARAMS, STDIN, STDOUT, DATA = 1, 2, 3, 4, 5, 6, 8
GET_VALUES, GET_VALUES_RESULT, UNKNOWN_TYPE = 9, 10, 11
RESPONDER, KEEP_CONN = 1, 1
COMPLETE, CANT_MULTIPLEX, OVERLOADED, UNKNOWN_ROLE = 0, 1, 2, 3
RECORD_MOST = 16_384  # bytes of content in a STDOUT record, so that answers take turns
PARAMS_MOST, BODY_MOST = 16_384, 48_000  # bytes of one request that are kept
OPEN_MOST = 32  # requests open at a time on one connection
SMALL = 4096  # bytes of a record that is kept until it is whole, before it is looked at
STRAY_MOST = 1024  # records that belong to no request, between two that do


@dataclass(slots=True)
class Call:
    """A whole request. A fault says why it can't be used; then parameters and body are not all there."""

    id: int
    params: dict[str, str]
    body: bytes
    keep_connection: bool
    error: str = ""


@dataclass(slots=True, frozen=True)
class RequestAborted:
    id: int


@dataclass(slots=True, frozen=True)
class Reply:
    """Records to send back at once; `closes` says that the connection ends behind them."""

    data: bytes
    closes_connection: bool = False


class _Begun:
    def __init__(self, keep: bool) -> None:
        self.keep, self.params_ended = keep, False
        self.params, self.body = bytearray(), bytearray()


def record(kind: int, request: int, content: bytes | bytearray | memoryview) -> bytes:
    return HEADER.pack(1, kind, request, len(content), 0) + bytes(content)


def end(request: int, status: int = COMPLETE) -> bytes:
    return record(END, request, END_BODY.pack(0, status))


@lru_cache(maxsize=4096)
def finish(request: int) -> bytes:
    """The close of STDOUT and END_REQUEST."""
    return record(STDOUT, request, b"") + end(request)


def short(request: int, head: bytes) -> bytes:
    """A whole answer that is its head alone."""
    return record(STDOUT, request, head) + finish(request)


def _long(raw: bytes, at: int) -> tuple[int, int]:
    """A length of one byte or of four, and where it ends."""
    if at < len(raw) and raw[at] < 128:
        return raw[at], at + 1
    if at + 4 > len(raw):
        raise ProtocolError("a parameter's length is cut short")
    return int.from_bytes(raw[at : at + 4], "big") & 0x7FFFFFFF, at + 4


def read_pairs(data: bytes | bytearray) -> dict[str, str]:
    raw, text, at, size = bytes(data), data.decode("latin-1"), 0, len(data)
    pairs: dict[str, str] = {}
    count = 0
    while at < size:
        if at + 1 < size and raw[at] < 128 and raw[at + 1] < 128:
            middle = at + 2 + raw[at]
            end, at = middle + raw[at + 1], at + 2
        else:
            name_size, at = _long(raw, at)
            value_size, at = _long(raw, at)
            middle = at + name_size
            end = middle + value_size
        if end > size:
            raise ProtocolError("a parameter runs past its record stream")
        pairs[text[at:middle]] = text[middle:end]
        at, count = end, count + 1
    if len(pairs) != count:
        raise ProtocolError("a parameter is given twice")
    return pairs


def write_pairs(pairs: Iterable[tuple[str, str]]) -> bytes:
    out = bytearray()
    for name, value in pairs:
        raw = name.encode("latin-1"), value.encode("latin-1")
        for part in raw:
            out += bytes([len(part)]) if len(part) < 128 else (len(part) | 1 << 31).to_bytes(4, "big")
        out += raw[0] + raw[1]
    return bytes(out)


class Decoder:
    """Records of one connection, fed in any split. It keeps which requests are open there."""

    def __init__(self, connections_most: int = 1) -> None:
        self.buffer = bytearray()
        self.partial_requests: dict[int, _Begun] = {}
        self.bytes_to_skip = 0  # bytes of a record still to come that are passed over, unread and unkept
        self.record_count = self.stray_count = 0
        self.unanswered_ids: set[int] = set()
        self.error: ProtocolError | None = None  # for good: nothing that comes after it can be read
        self.values = {
            "FCGI_MAX_CONNS": str(connections_most),
            "FCGI_MAX_REQS": str(connections_most * OPEN_MOST),
            "FCGI_MPXS_CONNS": "1",
        }

    def on_answered(self, request: int) -> None:
        """A request taken here has its final answer, or needs none."""
        self.unanswered_ids.discard(request)

    @property
    def buffered_bytes(self) -> int:
        """Bytes kept of what is not whole yet."""
        return len(self.buffer) + sum(len(b.params) + len(b.body) for b in self.partial_requests.values())

    @property
    def oldest_partial(self) -> object:
        """What has been incomplete for longest, or None; the same object as long as it is that."""
        if self.partial_requests:
            return next(iter(self.partial_requests.values()))
        return self.record_count + 1 if self.buffer or self.bytes_to_skip else None

    def feed(self, data: bytes | bytearray | memoryview) -> list[Call | RequestAborted | Reply]:
        """Return what is whole now; what can't be read raises ProtocolError.

        Where something whole came before it that is returned, and `fault` says why nothing more will be.
        """
        if self.error is not None:
            raise self.error
        found = list[Call | RequestAborted | Reply]()
        try:
            self._feed(data, found)
        except ProtocolError as error:
            self.fail(error)
            if not found:
                raise
        return found

    def fail(self, fault: ProtocolError) -> None:
        """Nothing more is read: what is half there goes."""
        self.error, self.bytes_to_skip = fault, 0
        self.buffer.clear()
        self.partial_requests.clear()

    def _feed(self, data: bytes | bytearray | memoryview, found: list[Call | RequestAborted | Reply]) -> None:
        buffer, at = self.buffer, 0
        buffer += data
        while True:
            passed = min(self.bytes_to_skip, len(buffer) - at)
            self.bytes_to_skip, at = self.bytes_to_skip - passed, at + passed
            if self.bytes_to_skip or len(buffer) - at < HEADER.size:
                break
            version, kind, request, size, padding = HEADER.unpack_from(buffer, at)
            if version != 1:
                raise ProtocolError(f"FastCGI version {version}, not 1")
            start = at + HEADER.size
            if size > SMALL and (fault := self._too_much(kind, request, size)) is not None:
                found += fault
                self.record_count, self.bytes_to_skip, at = self.record_count + 1, size + padding, start
                continue
            if len(buffer) < start + size + padding:
                break
            found += self._record(kind, request, bytes(buffer[start : start + size]))
            self.record_count, at = self.record_count + 1, start + size + padding
        del buffer[:at]

    def _too_much(self, kind: int, request: int, size: int) -> list[Call | RequestAborted | Reply] | None:
        """What to say, by its head alone, of a record that is not to be kept; None for one that is."""
        if request == 0 or kind in (BEGIN, ABORT):
            raise ProtocolError(f"a record of kind {kind} of {size} bytes")
        call = self.partial_requests.get(request)
        if call is None or kind not in (PARAMS, STDIN):
            return self._stray()
        return self._over(request, call, kind, size) or None

    def _stray(self) -> list[Call | RequestAborted | Reply]:
        """A record of no open request is passed over, as the specification says, but no endless row."""
        self.stray_count += 1
        if self.stray_count > STRAY_MOST:
            raise ProtocolError(f"over {STRAY_MOST} records of no request")
        return []

    def _over(self, request: int, call: _Begun, kind: int, size: int) -> list[Call | RequestAborted | Reply]:
        """Empty, or the fault of a request that so many bytes more make too large.

        Its end is not waited for, as it may never come; the connection closes behind the answer.
        """
        if kind == PARAMS and len(call.params) + size > PARAMS_MOST:
            fault = f"parameters over {PARAMS_MOST} bytes"
        elif kind == STDIN and len(call.body) + size > BODY_MOST:
            fault = f"a body over {BODY_MOST} bytes"
        else:
            return []
        del self.partial_requests[request]
        self.unanswered_ids.add(request)
        return [Call(request, {}, b"", False, fault)]

    def _record(self, kind: int, request: int, content: bytes) -> list[Call | RequestAborted | Reply]:
        if request == 0:
            self._stray()
            return [self._managed(kind, content)]
        if kind == BEGIN:
            return self._begin(request, content)
        if kind == ABORT:
            known = self.partial_requests.pop(request, None) is not None or request in self.unanswered_ids
            self.unanswered_ids.discard(request)
            return [RequestAborted(request)] if known else self._stray()
        call = self.partial_requests.get(request)
        if call is None or kind not in (PARAMS, STDIN):
            return self._stray()
        self.stray_count = 0
        if content and (fault := self._over(request, call, kind, len(content))):
            return fault
        if kind == PARAMS:
            return self._params(call, content)
        if not call.params_ended:
            raise ProtocolError("STDIN before the end of PARAMS")
        if not content:
            del self.partial_requests[request]
            self.unanswered_ids.add(request)
            return [self._whole(request, call)]
        call.body += content
        return []

    def _params(self, call: _Begun, content: bytes) -> list[Call | RequestAborted | Reply]:
        if call.params_ended:
            raise ProtocolError("PARAMS after their end")
        if not content:
            call.params_ended = True
        else:
            call.params += content
        return []

    def _whole(self, request: int, call: _Begun) -> Call:
        params: dict[str, str] = {}
        fault = ""
        try:
            params = read_pairs(call.params)
        except ProtocolError as error:
            fault = str(error)
        return Call(request, params, bytes(call.body), call.keep, fault)

    def _begin(self, request: int, content: bytes) -> list[Call | RequestAborted | Reply]:
        if len(content) != BEGIN_BODY.size:
            raise ProtocolError(f"BEGIN_REQUEST of {len(content)} bytes")
        if request in self.partial_requests or request in self.unanswered_ids:
            raise ProtocolError(f"request {request} begins while it is open")
        role, flags = BEGIN_BODY.unpack(content)
        keep = bool(flags & KEEP_CONN)
        if role != RESPONDER:
            return [Reply(end(request, UNKNOWN_ROLE), not keep)]
        if len(self.partial_requests) + len(self.unanswered_ids) >= OPEN_MOST:
            return [Reply(end(request, OVERLOADED), not keep)]
        self.partial_requests[request] = _Begun(keep)
        return []

    def _managed(self, kind: int, content: bytes) -> Reply:
        if kind != GET_VALUES:
            return Reply(record(UNKNOWN_TYPE, 0, struct.pack(">B7x", kind)))
        asked = read_pairs(content)
        known = [(name, self.values[name]) for name in asked if name in self.values]
        return Reply(record(GET_VALUES_RESULT, 0, write_pairs(known)))
