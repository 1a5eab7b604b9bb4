"""State of a client connection that is not idle: partly read requests, open requests, unsent responses."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterator
from functools import lru_cache

from quincepier.memory.buffer_pool import PooledBody
from quincepier.memory.open_requests import OpenRequest
from quincepier.net.messages import Response
from quincepier.translate import PARAM_NAMES
from quincepier.wire import fastcgi


class OutgoingResponse:
    """A response that is being written, as an iterator of FastCGI records.

    Attributes:
        stream_id: The request's id on its connection.
        keep_open: Whether the connection stays open after the response.
        body: The response's body, whose buffers are released as they are encoded; None once it was released.
        is_started: Whether a record was taken from `records`.
        records: The encoded STDOUT records still to be written.
    """

    def __init__(self, stream_id: int, keep_open: bool, head: bytes, body: PooledBody | None) -> None:
        self.stream_id, self.keep_open, self.body, self.is_started = stream_id, keep_open, body, False
        self.records = self._encode(head)

    def _encode(self, head: bytes) -> Iterator[bytes]:
        self.is_started = True
        chunks = self.body.take_chunks() if self.body is not None else iter(())
        first = next(chunks, memoryview(b""))
        lead = first[: fastcgi.MAX_RECORD_CONTENT - len(head)]
        yield fastcgi.encode_record(fastcgi.STDOUT, self.stream_id, head + bytes(lead))
        if len(lead) < len(first):
            yield fastcgi.encode_record(fastcgi.STDOUT, self.stream_id, first[len(lead) :])
        for chunk in chunks:
            yield fastcgi.encode_record(fastcgi.STDOUT, self.stream_id, chunk)

    def release(self) -> None:
        """Return the body's buffers to the pool."""
        if self.body is not None:
            self.body.release()
            self.body = None

    def fail(self) -> None:
        """Replace a response of which nothing was written by a 502 and release its buffers."""
        self.release()
        self.records = self._encode(cgi_head(502))


@lru_cache(maxsize=1024)
def cgi_head(status: int, is_unchanged: bool = False, retry_after_ms: int | None = None) -> bytes:
    """Return the CGI header of a response.

    Args:
        status: HTTP status.
        is_unchanged: Whether the copy that the client holds is still valid; sent as X-Still.
        retry_after_ms: Milliseconds after which the client may retry, if any; sent as X-Wait-Ms.
    """
    lines = [f"Status: {status}", "Content-Type: application/octet-stream"]
    if is_unchanged:
        lines.append("X-Still: 1")
    if retry_after_ms is not None:
        lines.append(f"X-Wait-Ms: {retry_after_ms}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


class ClientSession:
    """What a connection needs while it is not idle.

    Attributes:
        decoder: Decoder of the client's FastCGI records.
        request_by_stream: Open requests by their id on the connection.
        keep_open_by_stream: Whether the connection stays open after the response, for each request id that
            has no response yet.
        outgoing: Responses with a body that are not written completely, in the order of their next record.
        short_responses: Encoded responses without a body and management records, each with the request id, or
            0 for a management record.
        inbox: Responses pushed by the module and not yet encoded.
        partial: The decoder's incomplete request or record; None if there is none.
        partial_since: When `partial` was first seen, by the manager's active clock, ns.
    """

    __slots__ = (
        "decoder",
        "inbox",
        "keep_open_by_stream",
        "outgoing",
        "partial",
        "partial_since",
        "request_by_stream",
        "short_responses",
    )

    def __init__(self, max_connections: int) -> None:
        self.decoder = fastcgi.Decoder(max_connections, PARAM_NAMES)
        self.request_by_stream: dict[int, OpenRequest] = {}
        self.keep_open_by_stream: dict[int, bool] = {}
        self.outgoing: deque[OutgoingResponse] = deque()
        self.short_responses: deque[tuple[int, bytes]] = deque()
        self.inbox: deque[Response] = deque()
        self.partial: object = None
        self.partial_since = 0

    @property
    def is_idle(self) -> bool:
        """Whether no response is owed or unsent and nothing is partly read."""
        decoder = self.decoder
        busy = (
            self.request_by_stream
            or self.outgoing
            or self.short_responses
            or self.inbox
            or decoder.unanswered_ids
        )
        return not (
            busy or decoder.partial_requests or decoder.buffer or decoder.bytes_to_skip or decoder.stray_count
        )
