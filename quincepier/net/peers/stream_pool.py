"""The streams to all peers: one per pair of fronts, dialled when a frame is to be sent, closed when idle.

If both sides dial at the same time, the stream dialled by the front with the lower name is kept. A frame is
written to one stream once: frames that a broken stream had not delivered are lost, and the users of a channel
must send them again.
"""

from __future__ import annotations

import asyncio
import contextlib
import random
from collections.abc import Callable

from quincepier import clock
from quincepier.checks import Checks
from quincepier.net.peers.background_tasks import BackgroundTasks
from quincepier.net.peers.frames import MAX_FRAME_BYTES, Frame, PeersError, encode_frame
from quincepier.net.peers.peer_stream import PeerStream
from quincepier.net.peers.peer_stream_queue import PeerStreamQueue, QueuedBytes
from quincepier.net.sockets import Descriptors

Address = tuple[str, int]

MAX_PEERS = 4096
MAX_STREAMS = 1024
MIN_STREAM_LIMIT = 8
MAX_DIALS_TO_UNNAMED = 8  # concurrent dials to addresses of unknown fronts
DIAL_TIMEOUT_S = 1.0
FAILED_DIAL_AGE_NS = clock.SECOND  # a dialled stream that closes sooner counts as a failed dial
MIN_EVICTION_IDLE_NS = clock.SECOND  # a stream used more recently is not closed to make room for another
IDLE_TIMEOUT_NS = 30 * clock.SECOND
STALL_TIMEOUT_NS = 5 * clock.SECOND
FIRST_FRAME_TIMEOUT_NS = 5 * clock.SECOND
SWEEP_INTERVAL_S = 1.0


class StreamPool:
    """Sends frames to peers by name and passes received frames on."""

    def __init__(
        self,
        fleet: str,
        own_name: str,
        find_address: Callable[[str], Address | None],
        on_frame: Callable[[str, int, bytes], None],
        checks: Checks,
        descriptors: Descriptors,
        rng: random.Random,
    ) -> None:
        """Takes its dependencies.

        Args:
            fleet: The fleet's name.
            own_name: This front's name.
            find_address: Returns the address of a peer by name; None if it is unknown.
            on_frame: Called with a received frame's sender, channel and data; must not raise.
            checks: Counters and log events.
            descriptors: Counts open sockets.
            rng: The random number generator for jitter.
        """
        self._fleet = fleet
        self._own_name = own_name
        self._find_address = find_address
        self._on_frame = on_frame
        self._checks = checks
        self._descriptors = descriptors
        self._rng = rng
        self._queues: dict[str, PeerStreamQueue] = {}  # by peer
        self._queued_bytes = QueuedBytes()
        self._streams: set[PeerStream] = set()
        self._max_streams = min(MAX_STREAMS, max(descriptors.max_outbound // 2, MIN_STREAM_LIMIT))
        self._dials = BackgroundTasks(checks, "peer_stream_exception")
        self._last_sweep_ns = clock.now()
        self._is_closed = False

    @property
    def stream_count(self) -> int:
        """The number of open streams."""
        return len(self._streams)

    @property
    def queued_bytes(self) -> int:
        """The total size in bytes of the queued frames of all peers."""
        return self._queued_bytes.total

    def send(self, name: str, channel: int, data: bytes) -> bool:
        """Sends a frame to a peer; returns whether it was written to a stream or queued."""
        if self._is_closed or name == self._own_name or len(data) > MAX_FRAME_BYTES:
            return self._drop("unsendable")
        queue = self._queue_for(name)
        if queue is None:
            return self._drop("too_many_peers")
        frame = encode_frame(self._fleet, self._own_name, channel, data)
        if queue.stream is not None and not queue.stream.is_stalled and queue.is_empty:
            queue.stream.write(frame)
            return True
        if queue.stream is None and not queue.is_dialling:
            if queue.is_backing_off(clock.now()) or self._find_address(name) is None:
                return self._drop("peer_unreachable")
            self._start_dial(queue)
        if not queue.has_space_for(frame):
            return self._drop("queue_full")
        queue.append(frame)
        return True

    def send_to_address(self, address: Address, channel: int, data: bytes) -> None:
        """Sends a frame to the front at an address; its name is learned from its response."""
        if not self._is_closed and len(self._dials) < MAX_DIALS_TO_UNNAMED + len(self._queues):
            frame = encode_frame(self._fleet, self._own_name, channel, data)
            self._dials.start(self._dial_address(address, frame))

    def accept(self) -> PeerStream:
        """Returns the asyncio protocol for a stream that a peer dialled."""
        return PeerStream(self, self._fleet)

    def sweep(self) -> None:
        """Closes idle and stalled streams and removes unused queues; must be called about every second."""
        now_ns = clock.now()
        elapsed_ns = now_ns - self._last_sweep_ns
        self._last_sweep_ns = now_ns
        if elapsed_ns > 2 * SWEEP_INTERVAL_S * clock.SECOND:
            # This process was paused: data received during the pause is read before timeouts are checked.
            for stream in self._streams:
                stream.restart_timeouts(now_ns)
            return
        for stream in list(self._streams):
            self._check_timeouts(now_ns, stream)
        for queue in list(self._queues.values()):
            if queue.is_unused(now_ns):
                del self._queues[queue.name]

    def close(self) -> None:
        """Stops sending and closes the streams; data already written to them is still sent."""
        self._is_closed = True
        self._dials.cancel_all()
        for stream in list(self._streams):
            stream.close()

    def on_opened(self, stream: PeerStream) -> None:
        """Registers a stream; an accepted stream beyond the limit is aborted."""
        self._streams.add(stream)
        self._descriptors.add_outbound(1)
        is_over_limit = not stream.is_dialled and len(self._streams) > self._max_streams
        if self._is_closed or (is_over_limit and not self._ensure_capacity()):
            stream.abort()

    def on_frame(self, stream: PeerStream, frame: Frame) -> None:
        """Passes a frame on.

        Raises:
            PeersError: The sender is this front, or another front than the peer of this stream.
        """
        header = frame.header
        if stream.name != header.sender:
            if stream.name or header.sender == self._own_name:
                owner = stream.name or "this front"
                raise PeersError(f"a stream of {owner!r} has a frame of sender {header.sender!r}")
            self._on_identified(stream, header.sender)
        queue = self._queues.get(header.sender)
        if queue is not None:
            queue.record_contact()
        self._on_frame(header.sender, header.channel, frame.data)

    def on_rejected(self, error: PeersError) -> None:
        """Logs that a peer violated the protocol."""
        self._checks.event("peer_stream_rejected", error.line())

    def on_writable(self, stream: PeerStream) -> None:
        """Writes the frames queued for the stream."""
        queue = self._queues.get(stream.name)
        if queue is not None and queue.stream is stream:
            queue.flush()

    def on_closed(self, stream: PeerStream) -> None:
        """Dials again if frames are queued, or backs off if the stream closed soon after the dial."""
        self._streams.discard(stream)
        self._descriptors.add_outbound(-1)
        queue = self._queues.get(stream.name)
        if queue is None or queue.stream is not stream:
            return
        queue.detach()
        if self._is_closed:
            self._drop_queued(queue)
        elif stream.is_dialled and clock.now() - stream.opened_at_ns < FAILED_DIAL_AGE_NS:
            self._on_dial_failed(queue)
        elif not queue.is_empty and not queue.is_dialling:
            self._start_dial(queue)

    def _queue_for(self, name: str) -> PeerStreamQueue | None:
        queue = self._queues.get(name)
        if queue is None and len(self._queues) < MAX_PEERS:
            queue = self._queues[name] = PeerStreamQueue(name, self._queued_bytes)
        return queue

    async def _dial_address(self, address: Address, frame: bytes) -> None:
        with contextlib.suppress(OSError):
            stream = await self._connect(address)
            stream.write(frame)

    def _start_dial(self, queue: PeerStreamQueue) -> None:
        queue.begin_dial()
        self._dials.start(self._dial(queue))

    async def _dial(self, queue: PeerStreamQueue) -> None:
        address = self._find_address(queue.name)
        try:
            stream = await self._connect(address, queue.name) if address is not None else None
        except OSError:  # refused or timed out
            stream = None
        finally:
            queue.end_dial()
        if stream is None:
            if queue.stream is None:
                self._on_dial_failed(queue)
        elif queue.stream is None or queue.stream.is_closing or self._own_name < queue.name:
            if stream.is_connected:
                queue.attach(stream)
            else:
                queue.flush()
        else:  # the stream that the peer dialled is kept
            stream.close()

    async def _connect(self, address: Address, name: str = "") -> PeerStream:
        if not self._ensure_capacity():
            raise OSError("too many streams")
        loop = asyncio.get_running_loop()
        async with asyncio.timeout(DIAL_TIMEOUT_S):
            _, stream = await loop.create_connection(
                lambda: PeerStream(self, self._fleet, name, is_dialled=True), *address
            )
        return stream

    def _on_dial_failed(self, queue: PeerStreamQueue) -> None:
        queue.record_failed_dial(self._rng)
        self._checks.count("peer_stream_dials_failed")
        self._drop_queued(queue)

    def _on_identified(self, stream: PeerStream, name: str) -> None:
        """Decides which of two streams with a peer is kept; both ends decide the same."""
        stream.identify(name)
        queue = self._queue_for(name)
        if queue is None or stream.is_closing:
            return
        existing = queue.stream
        if existing is not None and not existing.is_closing:
            if stream.is_dialled or (existing.is_dialled and self._own_name < name):
                return  # the existing stream is kept; the new one is read until it is idle
            existing.close()
        queue.attach(stream)

    def _ensure_capacity(self) -> bool:
        """Returns whether a stream may be opened; closes the least recently used one if necessary."""
        if len(self._streams) < self._max_streams:
            return True
        self._checks.count("peer_stream_limit_reached")
        candidates = [stream for stream in self._streams if not stream.is_closing]
        least_recently_used = min(candidates, key=lambda stream: stream.last_used_ns, default=None)
        if (
            least_recently_used is None
            or clock.now() - least_recently_used.last_used_ns < MIN_EVICTION_IDLE_NS
        ):
            return False
        least_recently_used.close()
        return True

    def _check_timeouts(self, now_ns: int, stream: PeerStream) -> None:
        is_stalled = stream.is_stalled and now_ns - stream.stalled_since_ns > STALL_TIMEOUT_NS
        is_unidentified = not stream.name and now_ns - stream.opened_at_ns > FIRST_FRAME_TIMEOUT_NS
        unused_ns = now_ns - stream.last_used_ns
        if is_stalled or is_unidentified:
            self._checks.count("peer_streams_aborted")
            stream.abort()
        elif stream.is_closing and unused_ns > STALL_TIMEOUT_NS:
            stream.abort()
        elif unused_ns > IDLE_TIMEOUT_NS:
            stream.close()

    def _drop_queued(self, queue: PeerStreamQueue) -> None:
        dropped = queue.clear()
        if dropped:
            self._checks.count("peer_frames_dropped_peer_unreachable", dropped)

    def _drop(self, reason: str) -> bool:
        self._checks.count(f"peer_frames_dropped_{reason}")
        return False
