"""The outgoing state of one peer: its stream, the queued frames, and the backoff between dials."""

from __future__ import annotations

import random
from collections import deque

from quincepier import clock
from quincepier.net.peers.peer_stream import PeerStream

MAX_QUEUED_BYTES = 4 << 20  # for one peer
MAX_TOTAL_QUEUED_BYTES = 64 << 20  # for all peers
MAX_QUEUED_FRAMES = 4096
MIN_BACKOFF_S = 0.1  # between dials of an unreachable peer; doubled after each failure
MAX_BACKOFF_S = 1.0
MAX_COUNTED_FAILURES = 10


class QueuedBytes:
    """The total size of the queued frames of all peers."""

    def __init__(self) -> None:
        self._total = 0

    @property
    def total(self) -> int:
        """The number of queued bytes."""
        return self._total

    def has_space_for(self, data: bytes) -> bool:
        """Whether a frame may be queued within the total limit."""
        return self._total + len(data) <= MAX_TOTAL_QUEUED_BYTES

    def add(self, count: int) -> None:
        """Adds queued bytes; negative for bytes that have left a queue."""
        self._total += count


class PeerStreamQueue:
    """The queued frames and the stream to one peer.

    Attributes:
        name: The peer's name.
    """

    __slots__ = (
        "_failed_dials",
        "_frames",
        "_is_dialling",
        "_queued_bytes",
        "_retry_at_ns",
        "_stream",
        "_total_queued_bytes",
        "name",
    )

    def __init__(self, name: str, total_queued_bytes: QueuedBytes) -> None:
        self.name = name
        self._stream: PeerStream | None = None
        self._is_dialling = False
        self._frames = deque[bytes]()
        self._queued_bytes = 0
        self._total_queued_bytes = total_queued_bytes
        self._failed_dials = 0  # consecutive
        self._retry_at_ns = 0

    @property
    def stream(self) -> PeerStream | None:
        """The stream to which frames are written; None without a stream."""
        return self._stream

    @property
    def is_dialling(self) -> bool:
        """Whether a dial is in progress."""
        return self._is_dialling

    @property
    def is_empty(self) -> bool:
        """Whether no frame is queued."""
        return not self._frames

    def is_backing_off(self, now_ns: int) -> bool:
        """Whether the peer must not be dialled yet, after a failed dial."""
        return now_ns < self._retry_at_ns

    def is_unused(self, now_ns: int) -> bool:
        """Whether the queue can be removed: no stream, dial, queued frame or backoff."""
        has_work = self._stream is not None or self._is_dialling or bool(self._frames)
        return not has_work and now_ns > self._retry_at_ns

    def has_space_for(self, data: bytes) -> bool:
        """Whether a frame may be queued within the limits of this peer and of all peers."""
        if len(self._frames) >= MAX_QUEUED_FRAMES or self._queued_bytes + len(data) > MAX_QUEUED_BYTES:
            return False
        return self._total_queued_bytes.has_space_for(data)

    def attach(self, stream: PeerStream) -> None:
        """Sets the stream and writes the queued frames to it."""
        self._stream = stream
        self.flush()

    def detach(self) -> None:
        """Removes the stream after it has closed."""
        self._stream = None

    def begin_dial(self) -> None:
        """Records that a dial has started."""
        self._is_dialling = True

    def end_dial(self) -> None:
        """Records that the dial has ended."""
        self._is_dialling = False

    def append(self, data: bytes) -> None:
        """Queues an encoded frame."""
        self._frames.append(data)
        self._count_bytes(len(data))

    def flush(self) -> None:
        """Writes queued frames to the stream until it is stalled."""
        stream = self._stream
        while self._frames and stream is not None and stream.is_connected and not stream.is_stalled:
            data = self._frames.popleft()
            self._count_bytes(-len(data))
            stream.write(data)

    def clear(self) -> int:
        """Drops all queued frames and returns their number."""
        dropped = len(self._frames)
        self._frames.clear()
        self._count_bytes(-self._queued_bytes)
        return dropped

    def record_failed_dial(self, rng: random.Random) -> None:
        """Backs off exponentially, with jitter."""
        self._failed_dials = min(self._failed_dials + 1, MAX_COUNTED_FAILURES)
        backoff_s = min(MIN_BACKOFF_S * 2 ** (self._failed_dials - 1), MAX_BACKOFF_S) * rng.uniform(0.5, 1)
        self._retry_at_ns = clock.now() + int(backoff_s * clock.SECOND)

    def record_contact(self) -> None:
        """Resets the backoff after a frame of the peer was received."""
        self._failed_dials = 0
        self._retry_at_ns = 0

    def _count_bytes(self, count: int) -> None:
        self._queued_bytes += count
        self._total_queued_bytes.add(count)
