"""What a client connection holds while it is not at rest: what is half read, owed, and on its way out."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterator
from functools import lru_cache

from quincepier.memory.buffer_pool import PooledBody
from quincepier.memory.open_requests import OpenRequest
from quincepier.net.messages import Answer
from quincepier.wire import fastcgi


class Outgoing:
    """One answer on its way: records, a piece at a time."""

    def __init__(self, stream: int, keep: bool, head: bytes, body: PooledBody | None) -> None:
        self.stream, self.keep, self.body, self.begun = stream, keep, body, False
        self.pieces = self._pieces(head)

    def _pieces(self, head: bytes) -> Iterator[bytes]:
        self.begun = True
        chunks = self.body.chunks() if self.body is not None else iter(())
        first = next(chunks, memoryview(b""))
        lead = first[: fastcgi.MAX_RECORD_CONTENT - len(head)]
        yield fastcgi.record(fastcgi.STDOUT, self.stream, head + bytes(lead))
        if len(lead) < len(first):
            yield fastcgi.record(fastcgi.STDOUT, self.stream, first[len(lead) :])
        for chunk in chunks:
            yield fastcgi.record(fastcgi.STDOUT, self.stream, chunk)

    def release(self) -> None:
        if self.body is not None:
            self.body.release()
            self.body = None

    def fail(self) -> None:
        """Nothing of it has been written: say that it failed, and give the buffers back."""
        self.release()
        self.pieces = self._pieces(cgi_head(502))


@lru_cache(maxsize=1024)
def cgi_head(status: int, still: bool = False, wait_ms: int | None = None) -> bytes:
    lines = [f"Status: {status}", "Content-Type: application/octet-stream"]
    if still:
        lines.append("X-Still: 1")
    if wait_ms is not None:
        lines.append(f"X-Wait-Ms: {wait_ms}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


class Session:
    """What a connection needs while it is not at rest."""

    __slots__ = ("control", "decoder", "inbox", "keep", "open", "sending", "unfinished", "unfinished_at")

    def __init__(self, connections_most: int) -> None:
        self.decoder = fastcgi.Decoder(connections_most)
        self.open: dict[int, OpenRequest] = {}
        self.keep: dict[int, bool] = {}
        self.sending: deque[Outgoing] = deque()
        self.control: deque[tuple[int, bytes]] = deque()  # whole and short: 0 or the request, and its bytes
        self.inbox: deque[Answer] = deque()
        self.unfinished: object = None  # what is half-sent, and since when by the manager's active clock
        self.unfinished_at = 0

    @property
    def done(self) -> bool:
        """Nothing is owed, on its way or half read."""
        decoder = self.decoder
        busy = self.open or self.sending or self.control or self.inbox or decoder.unanswered_ids
        return not (
            busy or decoder.partial_requests or decoder.buffer or decoder.bytes_to_skip or decoder.stray_count
        )
