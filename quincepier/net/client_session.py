"""What a client connection holds while it is not at rest: what is half read, owed, and on its way out."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterator
from functools import lru_cache

from quincepier.memory.buffer_pool import PooledBody
from quincepier.memory.open_requests import OpenRequest
from quincepier.net.messages import Answer
from quincepier.wire import fastcgi


class OutgoingResponse:
    """One answer on its way: records, a piece at a time."""

    def __init__(self, stream: int, keep: bool, head: bytes, body: PooledBody | None) -> None:
        self.stream_id, self.keep_open, self.body, self.is_started = stream, keep, body, False
        self.records = self._encode(head)

    def _encode(self, head: bytes) -> Iterator[bytes]:
        self.is_started = True
        chunks = self.body.chunks() if self.body is not None else iter(())
        first = next(chunks, memoryview(b""))
        lead = first[: fastcgi.RECORD_MOST - len(head)]
        yield fastcgi.record(fastcgi.STDOUT, self.stream_id, head + bytes(lead))
        if len(lead) < len(first):
            yield fastcgi.record(fastcgi.STDOUT, self.stream_id, first[len(lead) :])
        for chunk in chunks:
            yield fastcgi.record(fastcgi.STDOUT, self.stream_id, chunk)

    def release(self) -> None:
        if self.body is not None:
            self.body.release()
            self.body = None

    def fail(self) -> None:
        """Nothing of it has been written: say that it failed, and give the buffers back."""
        self.release()
        self.records = self._encode(cgi_head(502))


@lru_cache(maxsize=1024)
def cgi_head(status: int, still: bool = False, wait_ms: int | None = None) -> bytes:
    lines = [f"Status: {status}", "Content-Type: application/octet-stream"]
    if still:
        lines.append("X-Still: 1")
    if wait_ms is not None:
        lines.append(f"X-Wait-Ms: {wait_ms}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


class ClientSession:
    """What a connection needs while it is not at rest."""

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

    def __init__(self, connections_most: int) -> None:
        self.decoder = fastcgi.Decoder(connections_most)
        self.request_by_stream: dict[int, OpenRequest] = {}
        self.keep_open_by_stream: dict[int, bool] = {}
        self.outgoing: deque[OutgoingResponse] = deque()
        self.short_responses: deque[tuple[int, bytes]] = (
            deque()
        )  # whole and short: 0 or the request, and its bytes
        self.inbox: deque[Answer] = deque()
        self.partial: object = None  # what is half-sent, and since when by the manager's active clock
        self.partial_since = 0

    @property
    def is_idle(self) -> bool:
        """Nothing is owed, on its way or half read."""
        decoder = self.decoder
        busy = (
            self.request_by_stream or self.outgoing or self.short_responses or self.inbox or decoder.answering
        )
        return not (busy or decoder.begun or decoder.buffer or decoder.skip or decoder.strays)
