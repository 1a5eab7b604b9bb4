"""One TCP stream to another front, as an asyncio protocol that cuts what it receives into frames."""

from __future__ import annotations

import asyncio
from typing import Protocol

from quincepier import clock
from quincepier.net.peers.frames import Frame, FrameDecoder, PeersError

WRITE_BUFFER_BYTES = 256 << 10  # in the transport before a peer that does not read counts as stalled


class PeerStreamListener(Protocol):
    """Who is told what happens on a stream."""

    def on_opened(self, stream: PeerStream) -> None:
        """The stream is connected."""

    def on_frame(self, stream: PeerStream, frame: Frame) -> None:
        """A frame was received; raises PeersError where the stream must be closed."""

    def on_rejected(self, error: PeersError) -> None:
        """The peer broke the protocol; the stream is being aborted."""

    def on_writable(self, stream: PeerStream) -> None:
        """The peer reads again after a stall."""

    def on_closed(self, stream: PeerStream) -> None:
        """The stream has ended."""


class PeerStream(asyncio.Protocol):
    """A connection to another front.

    Attributes:
        is_dialled: Whether this front opened it.
        opened_at_ns: When it was created.
    """

    def __init__(
        self, listener: PeerStreamListener, fleet: str, name: str = "", is_dialled: bool = False
    ) -> None:
        self._listener = listener
        self._decoder = FrameDecoder(fleet)
        self._transport: asyncio.Transport | None = None
        self._name = name
        self.is_dialled = is_dialled
        self.opened_at_ns = clock.now()
        self._last_used_ns = self.opened_at_ns
        self._stalled_since_ns = 0
        self._is_closing = False

    @property
    def name(self) -> str:
        """The peer's name, empty until the first frame of a stream that the peer dialled."""
        return self._name

    @property
    def last_used_ns(self) -> int:
        """When data was last sent or received, or the close began."""
        return self._last_used_ns

    @property
    def stalled_since_ns(self) -> int:
        """Since when the peer reads nothing more, 0 while it reads."""
        return self._stalled_since_ns

    @property
    def is_closing(self) -> bool:
        """Whether nothing more is to be sent."""
        return self._is_closing

    @property
    def is_connected(self) -> bool:
        """Whether the connection is up."""
        return self._transport is not None

    @property
    def is_stalled(self) -> bool:
        """Whether the peer reads nothing more at the moment."""
        return self._stalled_since_ns != 0

    def connection_made(self, transport: asyncio.Transport) -> None:  # type: ignore[override]
        """Takes the transport."""
        self._transport = transport
        transport.set_write_buffer_limits(high=WRITE_BUFFER_BYTES)
        self._listener.on_opened(self)

    def data_received(self, data: bytes) -> None:
        """Hands complete frames to the listener; aborts where the peer breaks the protocol."""
        self._last_used_ns = clock.now()
        try:
            for frame in self._decoder.feed(data):
                self._listener.on_frame(self, frame)
                if self._transport is None:
                    return
        except PeersError as error:
            self._listener.on_rejected(error)
            self.abort()

    def pause_writing(self) -> None:
        """The write buffer is full: the peer does not read."""
        self._stalled_since_ns = clock.now()

    def resume_writing(self) -> None:
        """The write buffer has drained."""
        self._stalled_since_ns = 0
        self._listener.on_writable(self)

    def connection_lost(self, error: Exception | None) -> None:  # noqa: ARG002 - asyncio's interface
        """Tells the listener, once."""
        if self._transport is not None:
            self._transport = None
            self._is_closing = True
            self._listener.on_closed(self)

    def identify(self, name: str) -> None:
        """Takes the peer's name from its first frame."""
        self._name = name

    def write(self, data: bytes) -> None:
        """Sends bytes, if the connection is up."""
        if self._transport is not None:
            self._last_used_ns = clock.now()
            self._transport.write(data)

    def restart_timeouts(self, now_ns: int) -> None:
        """Counts idle time and a stall from now on: this process was paused."""
        self._last_used_ns = now_ns
        if self.is_stalled:
            self._stalled_since_ns = now_ns

    def close(self) -> None:
        """Closes it once what was written is sent."""
        if self._transport is not None and not self._is_closing:
            self._is_closing = True
            self._last_used_ns = clock.now()
            self._transport.close()

    def abort(self) -> None:
        """Closes it at once and drops what was not sent."""
        if self._transport is not None:
            self._is_closing = True
            self._transport.abort()
