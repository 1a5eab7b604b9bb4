"""One TCP stream to another front, as an asyncio protocol that splits the received bytes into frames."""

from __future__ import annotations

import asyncio
from typing import Protocol

from quincepier import clock
from quincepier.net.peers.frames import Frame, FrameDecoder, PeersError

WRITE_BUFFER_BYTES = 256 << 10  # unsent bytes in the transport from which the stream counts as stalled


class PeerStreamListener(Protocol):
    """Receives the events of streams."""

    def on_opened(self, stream: PeerStream) -> None:
        """Called when the stream is connected."""

    def on_frame(self, stream: PeerStream, frame: Frame) -> None:
        """Called with a received frame; raises PeersError if the stream must be closed."""

    def on_rejected(self, error: PeersError) -> None:
        """Called when the peer violated the protocol, before the stream is aborted."""

    def on_writable(self, stream: PeerStream) -> None:
        """Called when the peer reads again after a stall."""

    def on_closed(self, stream: PeerStream) -> None:
        """Called when the stream has closed."""


class PeerStream(asyncio.Protocol):
    """A connection to another front.

    Attributes:
        is_dialled: Whether this front opened the connection.
        opened_at_ns: When this object was created.
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
        """The peer's name; empty until the first frame if it was not known at creation."""
        return self._name

    @property
    def last_used_ns(self) -> int:
        """When data was last sent or received, or when closing began."""
        return self._last_used_ns

    @property
    def stalled_since_ns(self) -> int:
        """The time since which the stream is stalled; 0 if it is not."""
        return self._stalled_since_ns

    @property
    def is_closing(self) -> bool:
        """Whether the stream is closing; no more data must be sent."""
        return self._is_closing

    @property
    def is_connected(self) -> bool:
        """Whether the connection is established."""
        return self._transport is not None

    @property
    def is_stalled(self) -> bool:
        """Whether the write buffer is full because the peer does not read."""
        return self._stalled_since_ns != 0

    def connection_made(self, transport: asyncio.Transport) -> None:  # type: ignore[override]
        """Stores the transport and notifies the listener."""
        self._transport = transport
        transport.set_write_buffer_limits(high=WRITE_BUFFER_BYTES)
        self._listener.on_opened(self)

    def data_received(self, data: bytes) -> None:
        """Passes complete frames to the listener; aborts the stream if the peer violates the protocol."""
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
        """Marks the stream as stalled: the write buffer is full."""
        self._stalled_since_ns = clock.now()

    def resume_writing(self) -> None:
        """Ends the stall after the write buffer has drained."""
        self._stalled_since_ns = 0
        self._listener.on_writable(self)

    def connection_lost(self, error: Exception | None) -> None:  # noqa: ARG002 - asyncio's interface
        """Notifies the listener, once."""
        if self._transport is not None:
            self._transport = None
            self._is_closing = True
            self._listener.on_closed(self)

    def identify(self, name: str) -> None:
        """Sets the peer's name, known from its first frame."""
        self._name = name

    def write(self, data: bytes) -> None:
        """Writes bytes; they are dropped if the connection is not established."""
        if self._transport is not None:
            self._last_used_ns = clock.now()
            self._transport.write(data)

    def restart_timeouts(self, now_ns: int) -> None:
        """Restarts the idle and stall times at `now_ns`, after a pause of this process."""
        self._last_used_ns = now_ns
        if self.is_stalled:
            self._stalled_since_ns = now_ns

    def close(self) -> None:
        """Closes the stream after the written data is sent."""
        if self._transport is not None and not self._is_closing:
            self._is_closing = True
            self._last_used_ns = clock.now()
            self._transport.close()

    def abort(self) -> None:
        """Closes the stream at once and drops unsent data."""
        if self._transport is not None:
            self._is_closing = True
            self._transport.abort()
