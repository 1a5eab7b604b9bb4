"""The read side of a client connection: decodes what arrives and passes requests and aborts to the module."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Iterator

from quincepier import clock
from quincepier.net.client_session import ClientSession, cgi_head
from quincepier.net.client_write_side import ClientWriteSide
from quincepier.net.messages import RequestArrived
from quincepier.net.sockets import TRANSIENT_ERROR_PAUSE_S, is_transient
from quincepier.translate import PING, BadRequestError, open_request
from quincepier.wire import fastcgi
from quincepier.wire.errors import ProtocolError

PARTIAL_REQUEST_TIMEOUT_S = 2.0  # from the first byte of a request or record to its last
MAX_CONSECUTIVE_READS = 4  # reads of one connection before others are served
# Reads of one connection before it is closed, to find a complete request: at least those of the longest one,
# and further ones within this time.
MIN_READS_UNTIL_EMPTY, MAX_READ_UNTIL_EMPTY_NS = 8, 5 * clock.MS
# Pause in reading after a bad request; it doubles with each further one, up to the maximum.
BAD_REQUEST_PAUSE_S, MAX_BAD_REQUEST_PAUSE_S = 0.02, 1.0
# Short responses queued while the socket takes nothing; ordinary clients have 32 requests open.
MAX_UNSENT_SHORT_RESPONSES = 1024
CLIENT_CHECK_INTERVAL_NS = 50 * clock.MS  # a socket found empty this recently is not read again by a check
# Longest pause in reading while a request is open, since the client may abort it or disconnect.
MAX_PAUSE_WITH_OPEN_REQUEST_S = 0.05


class ClientReadSide(ClientWriteSide):
    """The read side of a client connection."""

    __slots__ = ()

    # Implemented by the subclass

    def _schedule_check(self, seconds: float, resume: bool = False) -> None:
        raise NotImplementedError

    def resume_reading(self) -> None:
        """See ClientConnection."""
        raise NotImplementedError

    def on_readable(self, is_disconnected: bool = False) -> None:
        """Read now, or later if this turn of the event loop has no reads left.

        A paused connection reads when it resumes. A disconnect closes the connection at once, unless it is
        paused and no request is open there: nobody waits for responses to what it has sent and is not read
        yet, which may be megabytes.

        Args:
            is_disconnected: Whether epoll reported that the client closed its side. Where it did not report
                that, the read finds it.
        """
        if is_disconnected and (self.is_reading or self.has_open_requests):
            self.close()
            return
        if not self.is_reading:
            self._note_unread_data()
            return
        if self.manager.reads.may_read_now(self.client_connection):
            self.receive()
        else:
            self._note_unread_data()

    def _note_unread_data(self) -> None:
        """Note since when there is data that has not been read; the time of its requests counts from then.

        Until the socket has been found empty, everything read from it may have arrived as early as that.
        """
        if not self.readable_since_ns:
            self.readable_since_ns = clock.now()
        if not self.earliest_arrival_ns:
            self.earliest_arrival_ns = self.manager.pauses.earliest_arrival(self.readable_since_ns)

    def set_earliest_arrival(self, arrival_ns: int) -> None:
        """Note that what is in the socket now may have arrived as early as `arrival_ns`."""
        self.readable_since_ns, self.earliest_arrival_ns = clock.now(), arrival_ns

    def check_client(self, now_ns: int) -> bool:
        """Read an abort or a disconnect that is in the socket, unless it was found empty a short time ago.

        Return False if data that is being read slowly, after a bad request or a protocol error, may have
        hidden an abort for longer than `CLIENT_CHECK_INTERVAL_NS`.
        """
        if self.is_closed or now_ns - self.socket_empty_at_ns < CLIENT_CHECK_INTERVAL_NS:
            return True
        self.is_reading = True
        self.read_until_empty()
        is_slowed = bool(self.bad_request_count) or self.is_read_closed
        unread_since = self.earliest_arrival_ns  # 0: the socket is empty
        return not (is_slowed and 0 < unread_since <= clock.now() - CLIENT_CHECK_INTERVAL_NS)

    def receive(self) -> None:
        """Read and handle what has arrived; an error closes this connection only.

        It reads until the socket is empty, since the edge-triggered epoll reports data once. A connection
        with more data than it may read in one turn is queued for a later one.
        """
        self._receive()
        self.manager.bodies.enforce()

    def read_until_empty(self) -> bool:
        """Read what has arrived, more than in a turn if need be; return whether the socket was found empty.

        A paused connection is not read, and counts as empty.
        """
        for _ in self._read_repeatedly():
            if not self.has_backlog:
                return True
        return not self.is_reading

    def _read_repeatedly(self) -> Iterator[None]:
        """Yield after each of a bounded number of reads, until reading is paused."""
        until_ns, reads = clock.now() + MAX_READ_UNTIL_EMPTY_NS, 0
        while self.is_reading and (reads < MIN_READS_UNTIL_EMPTY or clock.now() < until_ns):
            self.receive()
            reads += 1
            yield

    def is_partial_after_reading(self) -> bool:
        """Read what has arrived; return whether the oldest incomplete request is still incomplete."""
        if self.is_closed or self.session is None:
            return False
        partial = self.session.partial
        for _ in self._read_repeatedly():
            if self.session is None or self.session.partial != partial:
                return False
            if not self.has_backlog:
                break
        return self.session is not None and partial is not None

    @property
    def has_unread_data(self) -> bool:
        """Whether there is data known that waits for a turn to be read."""
        return self.has_backlog or bool(self.readable_since_ns)

    @property
    def partial_since(self) -> int:
        """When the oldest incomplete request was first seen, by the active clock, ns; 0 if there is none."""
        return 0 if self.session is None else self.session.partial_since

    def _receive(self) -> None:
        try:
            for _ in range(MAX_CONSECUTIVE_READS):
                if not self.is_reading:  # closed, its read side closed, or paused
                    return
                size = self.sock.recv_into(self.manager.read_buffer)
                if not size:
                    self.close()
                    return
                self._on_received(size)
                if size == len(self.manager.read_buffer):  # a full buffer is all it may read in one turn
                    break
            if self.is_reading:
                self._note_unread_data()
                self.has_backlog = True
                self.manager.reads.enqueue(self.client_connection)
        except (BlockingIOError, InterruptedError):
            self.has_backlog = False
            self.readable_since_ns = self.earliest_arrival_ns = 0
            self.socket_empty_at_ns = clock.now()
        except OSError as error:
            if is_transient(error):
                self._note_unread_data()
                asyncio.get_running_loop().call_later(TRANSIENT_ERROR_PAUSE_S, self._retry_receive)
            else:
                self._close_on_error(error)
        except Exception as error:
            self._close_on_error(error)

    def _retry_receive(self) -> None:
        """Queue a read that failed for a moment."""
        if self.is_reading:
            self.manager.reads.enqueue(self.client_connection)

    def _on_received(self, size: int) -> None:
        now, bad_requests_before, manager = clock.now(), self.bad_request_count, self.manager
        self._note_unread_data()  # keeps an earlier time if the connection waited to be read
        received_at, earliest, self.readable_since_ns = self.readable_since_ns, self.earliest_arrival_ns, 0
        self.last_activity_ns = now
        session = self.session
        if session is None:
            session = self.session = ClientSession(manager.descriptors.max_clients)
            manager.busy_connections.add(self.client_connection)
        was_read_closed, decoder = self.is_read_closed, session.decoder
        # After a protocol error data is read only to notice a disconnect.
        items = decoder.feed(manager.read_buffer[:size]) if decoder.error is None else []
        manager.bodies.set_partial(self, decoder.buffered_bytes)
        for item in items:
            match item:
                case fastcgi.FastCgiRequest() | fastcgi.Reply() if was_read_closed:
                    pass  # only aborts are handled
                case fastcgi.FastCgiRequest():
                    self._on_request(session, item, received_at, earliest)
                case fastcgi.RequestAborted(stream_id):
                    self._on_abort(session, stream_id)
                case fastcgi.Reply(data, closes):
                    session.short_responses.append((0, data))
                    self.closes_when_sent = self.closes_when_sent or closes
                    self.is_read_closed = self.is_read_closed or closes
                    self._schedule_flush()
        if self.write_task is not None and len(session.short_responses) > MAX_UNSENT_SHORT_RESPONSES:
            manager.checks.event("client_closed_short_responses_unread")
            self.close()
            return
        if decoder.error is not None and not was_read_closed:
            self.stop_reading(decoder.error)
            return
        if self._update_partial(session, manager.active_clock.read(now)):
            self._schedule_check(PARTIAL_REQUEST_TIMEOUT_S)
        if self.is_read_closed or self.bad_request_count != bad_requests_before:
            self._pause_reading()
        if not self.is_reading and self.has_open_requests:
            asyncio.get_running_loop().call_later(MAX_PAUSE_WITH_OPEN_REQUEST_S, self.resume_reading)
        elif self.bad_request_count != bad_requests_before and not self.is_read_closed:
            # Limits the CPU time spent on a client that sends requests which can't be used.
            self._schedule_check(
                min(BAD_REQUEST_PAUSE_S * 2 ** min(self.bad_request_count, 10), MAX_BAD_REQUEST_PAUSE_S),
                resume=True,
            )
        self._update_state()

    def stop_reading(self, fault: ProtocolError) -> None:
        """Take no further requests; the connection closes once its complete requests have responses."""
        session = self.session
        if self.is_closed or session is None:
            return
        self.manager.checks.event("client_protocol_error", str(fault))
        session.decoder.fail(fault)
        self.manager.bodies.set_partial(self, 0)
        self.is_read_closed = self.closes_when_sent = True
        self._pause_reading()
        if self.has_open_requests:  # resumes to notice a disconnect
            asyncio.get_running_loop().call_later(MAX_PAUSE_WITH_OPEN_REQUEST_S, self.resume_reading)
        if self.owes_responses or self.is_flush_scheduled:
            self._update_state()
        else:
            self.close(linger=self.has_requested)  # its last response may not have reached the client yet

    def _on_request(
        self, session: ClientSession, call: fastcgi.FastCgiRequest, received_at: int, earliest: int
    ) -> None:
        manager = self.manager
        session.keep_open_by_stream[call.id] = call.keep_connection
        self.has_requested = True
        manager.registry.on_request(self.client_connection)
        if call.params.get("SCRIPT_NAME") == PING and not call.error:
            self._queue_response(session, call.id, cgi_head(200 if manager.is_ready() else 503))
            return
        try:
            request = open_request(call, manager.classes, self, received_at, earliest)
        except BadRequestError as error:
            self.bad_request_count += 1
            self.is_read_closed = self.is_read_closed or bool(call.error)
            manager.checks.event("bad_request", str(error))
            self._queue_response(session, call.id, cgi_head(error.status))
            return
        if manager.is_rejecting or self.is_over_limit:
            self._queue_response(
                session, call.id, cgi_head(503, retry_after_ms=manager.draw_retry_after_ms())
            )
            return
        if not manager.bodies.make_room(len(call.body), self):
            manager.checks.event("request_rejected_body_limit")
            self._queue_response(
                session, call.id, cgi_head(503, retry_after_ms=manager.draw_retry_after_ms())
            )
            return
        if not manager.module.try_push_new_work(RequestArrived(request)):
            manager.checks.event("request_rejected_queue_full")
            self._queue_response(
                session, call.id, cgi_head(503, retry_after_ms=manager.draw_retry_after_ms())
            )
            return
        session.request_by_stream[call.id] = request
        manager.bodies.add(len(request.body))

    def _on_abort(self, session: ClientSession, stream_id: int) -> None:
        session.keep_open_by_stream.pop(stream_id, None)
        for outgoing in [o for o in session.outgoing if o.stream_id == stream_id]:
            session.outgoing.remove(outgoing)
            outgoing.release()
        if session.short_responses:
            session.short_responses = deque(item for item in session.short_responses if item[0] != stream_id)
        request = session.request_by_stream.pop(stream_id, None)
        if request is not None:
            self._withdraw(request)

    def _update_partial(self, session: ClientSession, now: int) -> bool:
        """Return whether a request or record is incomplete; note when a new one was first seen."""
        partial = session.decoder.oldest_partial
        if partial is None:
            session.partial = None
        elif partial != session.partial:
            session.partial, session.partial_since = partial, now
        return partial is not None

    def _pause_reading(self) -> None:
        self.is_reading = False
        self.manager.reads.remove(self.client_connection)
