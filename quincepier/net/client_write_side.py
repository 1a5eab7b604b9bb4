"""The write side of a client connection: its responses and how they are written.

It also has the fields that all sides of a connection share; `client_read_side.py` reads requests,
`client_connection.py` has the lifecycle.
"""

from __future__ import annotations

import asyncio
import socket
from typing import TYPE_CHECKING

from quincepier import clock
from quincepier.memory.buffer_pool import PooledBody
from quincepier.memory.open_requests import OpenRequest
from quincepier.net.client_session import ClientSession, OutgoingResponse, cgi_head
from quincepier.net.messages import ClientDisconnected, RequestArrived, Response
from quincepier.net.sockets import is_transient, send_all
from quincepier.timers import Timer
from quincepier.wire import fastcgi
from quincepier.wire.errors import ProtocolError

if TYPE_CHECKING:  # the manager imports the connections
    from quincepier.net.client_connection import ClientConnection
    from quincepier.net.connection_manager import ConnectionManager

BATCH_BYTES = 65_536  # bytes collected for one send
MAX_BATCHES_PER_TURN = 4  # sends of one connection in one turn of the event loop


class ClientWriteSide:
    """The write side of a client connection, and the connection's fields.

    Attributes:
        manager: The manager of all client connections.
        sock: The connected socket, non-blocking.
        session: State of a connection that is not idle; None for an idle one.
        is_closed: The connection was closed.
        is_over_limit: It was accepted beyond the limit on connections: its requests are rejected, and it is
            closed soon.
        closes_when_sent: The connection closes once all owed responses are written.
        is_last_response_queued: A short response without KEEP_CONN is queued: the connection closes after it.
        has_requested: The client has sent a complete request.
        is_reading: Whether what arrives is read now; False while reading is paused or has ended.
        is_flush_scheduled: A call of `_flush` is scheduled.
        is_read_closed: No further request is taken, since the client has sent something that ends the
            connection; owed responses are still written.
        write_task: Writes what the socket did not take at once.
        last_activity_ns: When bytes were last sent or received.
        last_sent_ns: When the socket last took bytes.
        accepted_at: When the connection was admitted, by the manager's active clock, ns.
        bad_request_count: Requests that could not be used.
        closing_since: When the connection began to close, by the active clock, ns; 0: it did not.
        readable_since_ns: When data was found that has not been read yet; 0: none is known.
        earliest_arrival_ns: The earliest time at which unread data may have arrived; 0: the socket was empty.
        socket_empty_at_ns: When the socket was last read until it was empty.
        has_backlog: The socket was not found empty when it was last read.
        timer: The timer of the next deadline check.
    """

    __slots__ = (
        "accepted_at",
        "bad_request_count",
        "closes_when_sent",
        "closing_since",
        "earliest_arrival_ns",
        "has_backlog",
        "has_requested",
        "is_closed",
        "is_flush_scheduled",
        "is_last_response_queued",
        "is_over_limit",
        "is_read_closed",
        "is_reading",
        "last_activity_ns",
        "last_sent_ns",
        "manager",
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
        self.is_read_closed = self.has_backlog = self.is_over_limit = False
        self.write_task: asyncio.Task[None] | None = None
        self.last_activity_ns = self.last_sent_ns = clock.now()
        self.accepted_at = manager.active_clock.time
        self.bad_request_count = self.closing_since = 0
        self.readable_since_ns = 0
        self.earliest_arrival_ns = 0
        self.socket_empty_at_ns = 0
        self.timer: Timer[tuple[ClientConnection, bool]] | None = None

    @property
    def has_open_requests(self) -> bool:
        """Whether a request of this connection is open; it is cancelled if the client disconnects."""
        return self.session is not None and bool(self.session.request_by_stream)

    @property
    def owes_responses(self) -> bool:
        """Whether a complete request has no response yet, or a response is not written completely."""
        return self.session is not None and bool(
            self.session.request_by_stream
            or self.session.outgoing
            or self.session.short_responses
            or self.session.inbox
            or self.write_task
        )

    def push(self, answer: Response) -> None:
        """Queue a response for the client; it is released if the connection was closed."""
        if self.is_closed or self.session is None:
            if answer.body is not None:
                answer.body.release()
        else:
            self.session.inbox.append(answer)
            self._schedule_flush()

    def _schedule_flush(self) -> None:
        """Schedule a flush, so that responses queued in one turn of the event loop are sent together."""
        if not (self.is_flush_scheduled or self.write_task is not None or self.is_closed):
            self.is_flush_scheduled = True
            asyncio.get_running_loop().call_soon(self._flush)

    def _queue_response(
        self, session: ClientSession, stream_id: int, head: bytes, body: PooledBody | None = None
    ) -> None:
        keep_open = session.keep_open_by_stream.pop(stream_id, True)
        if body is None or not body.length:
            if body is not None:
                body.release()
            session.short_responses.append((stream_id, fastcgi.encode_head_only_response(stream_id, head)))
            session.decoder.on_answered(stream_id)
            self.is_last_response_queued = self.is_last_response_queued or not keep_open
        else:
            session.outgoing.append(OutgoingResponse(stream_id, keep_open, head, body))
        self._schedule_flush()

    def _accept_response(self, session: ClientSession, answer: Response) -> None:
        request = answer.request
        if session.request_by_stream.get(request.stream_id) is not request:  # aborted in the meantime
            if answer.body is not None:
                answer.body.release()
            return
        del session.request_by_stream[request.stream_id]
        self._release_body(request)
        self._queue_response(
            session,
            request.stream_id,
            cgi_head(answer.status, answer.is_unchanged, answer.retry_after_ms),
            answer.body,
        )

    def _flush(self) -> None:
        """Write as much as the socket takes and one turn allows; an error closes this connection only."""
        self.is_flush_scheduled = False
        try:
            self._write_pending()
        except Exception as error:
            self._close_on_error(error)

    def _close_on_error(self, error: Exception) -> None:
        """Stop reading after a protocol error; close the connection after any other."""
        if isinstance(error, ProtocolError):
            self.stop_reading(error)
            return
        if isinstance(error, OSError):
            self.manager.checks.count("client_connections_reset")
        else:
            self.manager.checks.exception("exception_in_client_actor", error)
        self.close()

    def _write_pending(self) -> None:
        """Send batches directly, as sock_sendall does first; a task writes what the socket does not take."""
        session = self.session
        if self.is_closed or session is None or self.write_task is not None:
            return
        for _ in range(MAX_BATCHES_PER_TURN):
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
                if not is_transient(error):
                    raise
                sent = 0
            if sent:
                self._note_sent()
            if sent < len(batch):
                self.write_task = asyncio.get_running_loop().create_task(self._write_remaining(batch[sent:]))
                break
        else:
            self._schedule_flush()  # other connections are served in between
        self._update_state()
        if self.manager.is_draining or self.is_over_limit:
            self.close_gracefully()

    async def _write_remaining(self, data: bytes) -> None:
        """Wait until the socket has taken `data`, then flush again."""
        is_broken = False
        try:
            await send_all(self.sock, data, self._note_sent)
        except OSError:
            self.manager.checks.count("client_connections_reset")
            is_broken = True
        finally:
            self.write_task = None
        if not self.is_closed:
            if is_broken:
                self.close()
            else:
                self._flush()

    def _note_sent(self) -> None:
        self.last_activity_ns = self.last_sent_ns = clock.now()

    def _next_batch(self, session: ClientSession) -> bytes:
        """Return the next bytes to send: a record of each response in turn, so that large ones delay none."""
        batch = bytearray().join(data for _, data in session.short_responses)
        session.short_responses.clear()
        self.closes_when_sent = self.closes_when_sent or self.is_last_response_queued
        while session.outgoing and len(batch) < BATCH_BYTES:
            response = session.outgoing.popleft()
            record = next(response.records, None)
            if record is not None:
                batch += record
                session.outgoing.append(response)
            else:
                batch += fastcgi.encode_response_end(response.stream_id)
                response.release()
                session.decoder.on_answered(response.stream_id)
                self.closes_when_sent = self.closes_when_sent or not response.keep_open
        return bytes(batch)

    # Implemented by the subclasses

    @property
    def client_connection(self) -> ClientConnection:
        """This connection, typed for the manager."""
        raise NotImplementedError

    def close(self, linger: bool = False) -> None:
        """See ClientConnection."""
        raise NotImplementedError

    def close_gracefully(self) -> None:
        """See ClientConnection."""
        raise NotImplementedError

    def stop_reading(self, fault: ProtocolError) -> None:
        """See ClientReadSide."""
        raise NotImplementedError

    def _close_socket(self, linger: bool = False) -> None:
        raise NotImplementedError

    def _update_state(self) -> None:
        raise NotImplementedError

    def _release_body(self, request: OpenRequest) -> None:
        self.manager.bodies.release(len(request.body))

    def _withdraw(self, request: OpenRequest) -> None:
        """Cancel a request that the client took back; the module is notified only if it has taken it."""
        request.cancel(clock.now())
        self._release_body(request)
        if self.manager.module.remove_new_work(RequestArrived(request)):
            request.is_finished = True
        else:
            self.manager.module.push(ClientDisconnected(request))
