"""The writing side of a client connection: the answers that are owed, and how they go out.

With it what a connection keeps, as all its sides use that; `reading.py` takes requests in, `client.py` tells
when it comes and goes.
"""

from __future__ import annotations

import asyncio
import socket
from typing import TYPE_CHECKING

from quincepier import clock
from quincepier.memory.buffer_pool import PooledBody
from quincepier.memory.open_requests import OpenRequest
from quincepier.net.client_session import ClientSession, OutgoingResponse, cgi_head
from quincepier.net.messages import Answer
from quincepier.net.sockets import is_momentary, send_all
from quincepier.timers import Timer
from quincepier.wire import fastcgi
from quincepier.wire.errors import ProtocolError

if TYPE_CHECKING:  # the manager makes the connections
    from quincepier.net.client_connection import ClientConnection
    from quincepier.net.connection_manager import ConnectionManager

BATCH, BATCHES = 65_536, 4  # bytes written at a time, and so often in one turn


class ClientWriteSide:
    __slots__ = (
        "accepted_at",
        "bad_request_count",
        "closes_when_sent",
        "closing_since",
        "earliest_arrival_ns",
        "has_requested",
        "is_closed",
        "is_flush_scheduled",
        "is_last_response_queued",
        "is_read_closed",
        "is_reading",
        "last_activity_ns",
        "manager",
        "partial_bytes",
        "readable_since_ns",
        "session",
        "sock",
        "socket_empty_at_ns",
        "timer",
        "write_task",
    )  # fmt: skip

    def __init__(self, manager: ConnectionManager, sock: socket.socket) -> None:
        self.manager, self.sock = manager, sock
        self.session: ClientSession | None = None
        self.is_closed = self.closes_when_sent = self.is_last_response_queued = self.has_requested = (
            self.is_reading
        ) = self.is_flush_scheduled = False
        self.is_read_closed = (
            False  # it sent what ends its connection: nothing more is read, what is owed goes out
        )
        self.write_task: asyncio.Task[None] | None = None  # what the socket did not take at once
        self.last_activity_ns = clock.now()  # when bytes last went out or came in
        self.accepted_at = manager.active_clock.time
        self.partial_bytes = self.bad_request_count = self.closing_since = 0
        self.readable_since_ns = 0  # since when it stands in line to be read
        self.earliest_arrival_ns = 0  # of what is to be read, ns; 0: its socket was empty
        self.socket_empty_at_ns = 0  # when it was last read until nothing was left, ns
        self.timer: Timer[tuple[ClientConnection, bool]] | None = None

    @property
    def has_open_requests(self) -> bool:
        """Whether a request of this connection is open, which is to end as its client leaves."""
        return self.session is not None and bool(self.session.request_by_stream)

    @property
    def owes_responses(self) -> bool:
        """Whether something that was asked here whole is still to be answered, or on its way out."""
        return self.session is not None and bool(
            self.session.request_by_stream
            or self.session.outgoing
            or self.session.short_responses
            or self.session.inbox
            or self.write_task
        )

    def push(self, answer: Answer) -> None:
        """Into its mailbox."""
        if self.is_closed or self.session is None:
            if answer.body is not None:
                answer.body.release()
        else:
            self.session.inbox.append(answer)
            self._schedule_flush()

    def _schedule_flush(self) -> None:
        """There is something to send, in this connection's own turn: what comes together goes together."""
        if not (self.is_flush_scheduled or self.write_task is not None or self.is_closed):
            self.is_flush_scheduled = True
            asyncio.get_running_loop().call_soon(self._flush)

    def _queue_response(
        self, session: ClientSession, stream: int, head: bytes, body: PooledBody | None = None
    ) -> None:
        keep = session.keep_open_by_stream.pop(stream, True)
        if body is None or not body.length:
            if body is not None:
                body.release()
            session.short_responses.append((stream, fastcgi.short(stream, head)))
            session.decoder.close(stream)
            self.is_last_response_queued = self.is_last_response_queued or not keep
        else:
            session.outgoing.append(OutgoingResponse(stream, keep, head, body))
        self._schedule_flush()

    def _accept_response(self, session: ClientSession, answer: Answer) -> None:
        request = answer.request
        if (
            session.request_by_stream.get(request.stream_id) is not request
        ):  # it was aborted as the answer was made
            if answer.body is not None:
                answer.body.release()
            return
        del session.request_by_stream[request.stream_id]
        self._release_body(request)
        self._queue_response(
            session, request.stream_id, cgi_head(answer.status, answer.still, answer.wait_ms), answer.body
        )

    def _flush(self) -> None:
        """Write as much as the socket takes and a turn allows; what goes wrong ends this connection alone."""
        self.is_flush_scheduled = False
        try:
            self._write_pending()
        except Exception as error:
            self._close_on_error(error)

    def _close_on_error(self, error: Exception) -> None:
        """What goes wrong ends this connection alone: by its client, the network, or a fault of ours."""
        if isinstance(error, ProtocolError):
            self.stop_reading(error)
            return
        if isinstance(error, OSError):
            self.manager.checks.count("client_connections_reset")
        else:
            self.manager.checks.exception("exception_in_client_actor", error)
        self.close()

    def _write_pending(self) -> None:
        """The first bytes go by the call that sock_sendall makes first itself; a task takes what is left."""
        session = self.session
        if self.is_closed or session is None or self.write_task is not None:
            return
        for _ in range(BATCHES):
            while session.inbox:
                self._accept_response(session, session.inbox.popleft())
            if not (session.outgoing or session.short_responses):
                break
            batch = self._next_batch(session)
            try:
                sent = self.sock.send(batch)
            except (BlockingIOError, InterruptedError):
                sent = 0
            except OSError as error:
                if not is_momentary(error):
                    raise
                sent = 0
            self.last_activity_ns = clock.now() if sent else self.last_activity_ns
            if sent < len(batch):
                self.write_task = asyncio.get_running_loop().create_task(self._write_remaining(batch[sent:]))
                break
        else:
            self._schedule_flush()  # others get their turn between
        self._update_state()
        if self.manager.is_draining:
            self.close_gracefully()

    async def _write_remaining(self, data: bytes) -> None:
        """Wait until the socket has taken it, then go on."""
        broken = False
        try:
            await send_all(self.sock, data)
            self.last_activity_ns = clock.now()
        except OSError:
            self.manager.checks.count("client_connections_reset")
            broken = True
        finally:
            self.write_task = None
        if not self.is_closed:
            if broken:
                self.close()
            else:
                self._flush()

    def _next_batch(self, session: ClientSession) -> bytes:
        """Answers take turns, a record each, so that a large one does not delay the small."""
        out = bytearray().join(data for _, data in session.short_responses)
        session.short_responses.clear()
        self.closes_when_sent = self.closes_when_sent or self.is_last_response_queued
        while session.outgoing and len(out) < BATCH:
            outgoing = session.outgoing.popleft()
            piece = next(outgoing.records, None)
            if piece is not None:
                out += piece
                session.outgoing.append(outgoing)
            else:
                out += fastcgi.finish(outgoing.stream_id)
                outgoing.release()
                session.decoder.close(outgoing.stream_id)
                self.closes_when_sent = self.closes_when_sent or not outgoing.keep_open
        return bytes(out)

    # Of the other sides

    @property
    def client_connection(self) -> ClientConnection:
        raise NotImplementedError

    def close(self, linger: bool = False) -> None:
        raise NotImplementedError

    def close_gracefully(self) -> None:
        raise NotImplementedError

    def stop_reading(self, fault: ProtocolError) -> None:
        raise NotImplementedError

    def _close_socket(self, linger: bool = False) -> None:
        raise NotImplementedError

    def _update_state(self) -> None:
        raise NotImplementedError

    def _release_body(self, request: OpenRequest) -> None:
        self.manager.body_bytes -= len(request.body)
