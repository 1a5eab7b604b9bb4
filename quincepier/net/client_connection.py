"""A client connection: reads FastCGI requests and writes their responses.

A connection is an actor without a task. The event loop calls it when bytes can be read, when a response has
been pushed to its inbox and when its timer is due. An idle connection holds only its socket and a few fields;
all other state is in a ClientSession, created when bytes arrive and dropped once nothing is partly read or
owed to the client. This module has the connection's lifecycle and deadlines; `client_read_side.py` reads
requests, `client_write_side.py` writes responses.
"""

from __future__ import annotations

from quincepier import clock
from quincepier.net.client_read_side import PARTIAL_REQUEST_TIMEOUT_S, ClientReadSide
from quincepier.net.messages import Response

FIRST_REQUEST_TIMEOUT_S = 2.0  # from accept to the first complete request
CLOSE_TIMEOUT_S = 1.0  # for the client to take the last response of a connection that is to close
# Time from the first byte of a request in which its connection is not closed for a new one.
MIN_PARTIAL_AGE_NS = clock.SECOND // 2
OVER_LIMIT_TIMEOUT_S = 0.1  # from accept to a complete request, for a connection beyond the limit
RECHECK_INTERVAL_S = 0.2  # between checks of a connection that is overdue but still owed a response


class ClientConnection(ClientReadSide):
    """One client connection, from its admission to the close of its socket."""

    __slots__ = ()

    @property
    def client_connection(self) -> ClientConnection:
        """This connection, typed for the manager."""
        return self

    def start(self) -> None:
        """Begin to read; raises OSError if the socket can't be watched."""
        self.is_reading = True
        self.manager.watch(self)
        self._schedule_check(self._first_request_timeout_s)

    # Deadlines

    @property
    def _first_request_timeout_s(self) -> float:
        return OVER_LIMIT_TIMEOUT_S if self.is_over_limit else FIRST_REQUEST_TIMEOUT_S

    def _schedule_check(self, seconds: float, resume: bool = False) -> None:
        """Check the deadlines after `seconds`, unless an earlier check is scheduled.

        With `resume` the timer is replaced in any case, and reading resumes when it is due.
        """
        due = self.manager.active_clock.time + int(seconds * clock.SECOND)
        if self.timer is not None:
            if self.timer.due <= due and not resume:
                return
            self.manager.timers.cancel(self.timer)
        self.timer = self.manager.timers.schedule(due, (self, resume))

    def on_timer(self, now: int, resume: bool) -> None:
        """Check the deadlines; close the connection if one has passed.

        Args:
            now: Time of the manager's active clock, ns.
            resume: Whether to resume reading first.
        """
        self.timer = None
        if self.is_closed:
            return
        if resume:
            self.resume_reading()
        reason, recheck_s = self._check_deadlines(now)
        if reason is not None:
            if self.owes_responses:  # the client does not take its responses: they are cut off
                self.close()
            else:  # reads first what has arrived up to now
                self.close_gracefully()
            if self.is_closed:
                self.manager.checks.event(f"client_closed_{reason}")
            else:
                self._schedule_check(RECHECK_INTERVAL_S)
        elif recheck_s:
            self._schedule_check(recheck_s)

    def _check_deadlines(self, now: int) -> tuple[str | None, float]:
        """Return the reason to close the connection, or None and the seconds until the next check.

        0 seconds: no check is needed before the connection's state changes.
        """
        session = self.session
        if self.closes_when_sent or self.is_read_closed:
            left = self.closing_since + int(CLOSE_TIMEOUT_S * clock.SECOND) - now
            if left <= 0 and not (session is not None and session.request_by_stream):
                return "response_unread", 0.0
            return None, max(left / clock.SECOND, RECHECK_INTERVAL_S)
        recheck_s = 0.0
        if not self.has_requested:
            left = self.accepted_at + int(self._first_request_timeout_s * clock.SECOND) - now
            if left <= 0:
                return "no_request", 0.0
            recheck_s = left / clock.SECOND
        if session is not None and self._update_partial(session, now):
            left = session.partial_since + int(PARTIAL_REQUEST_TIMEOUT_S * clock.SECOND) - now
            if left <= 0 and not self.owes_responses:
                return "partial_request", 0.0
            wait = max(left / clock.SECOND, RECHECK_INTERVAL_S)
            recheck_s = min(recheck_s, wait) if recheck_s else wait
        idle_deadline = self.manager.registry.idle_deadline(self)
        if idle_deadline is not None:
            if idle_deadline <= now:
                return "idle_timeout", 0.0
            recheck_s = (idle_deadline - now) / clock.SECOND
        return None, recheck_s

    # Lifecycle

    def resume_reading(self) -> None:
        """Read again after a pause, including what arrived during it."""
        if not (self.is_reading or self.is_closed) and (self.has_open_requests or not self.is_read_closed):
            self.is_reading = True
            self.manager.reads.enqueue(self)

    def cancel(self) -> None:
        """Close the connection now."""
        self.close()

    def close(self, linger: bool = False) -> None:
        """Close the connection now and cancel its open requests.

        Args:
            linger: Close for writing only and read on for a short time, so that what has been written reaches
                the client even if it is still sending.
        """
        if self.is_closed:
            return
        self.is_closed = True
        self._pause_reading()
        manager, session = self.manager, self.session
        manager.unwatch(self)
        if self.timer is not None:
            manager.timers.cancel(self.timer)
            self.timer = None
        manager.bodies.set_partial(self, 0)
        manager.registry.remove(self)
        manager.busy_connections.discard(self)
        manager.over_limit.discard(self)
        manager.awaiting_place.discard(self)
        if session is not None:
            self.session = None
            for response in session.inbox:
                if response.body is not None:
                    response.body.release()
            for outgoing in session.outgoing:
                outgoing.release()
            for request in session.request_by_stream.values():
                self._withdraw(request)
        if self.write_task is not None:
            # The socket is closed after the task, when the event loop no longer uses it. The callback also
            # runs if the task is cancelled before its first step.
            self.write_task.add_done_callback(lambda _: self._close_socket())
            self.write_task.cancel()
        else:
            self._close_socket(linger)

    def _close_socket(self, linger: bool = False) -> None:
        self.manager.connections.discard(self)
        self.manager.descriptors.add_clients(-1)
        if linger:
            self.manager.lingering.add(self.sock)
        else:
            self.sock.close()

    def close_gracefully(self) -> None:
        """Close the connection unless it owes responses.

        What has arrived and was not read yet is read first: it may hold a complete request. A connection with
        more than is read at once stays open.
        """
        if not (self.is_closed or self.owes_responses or self.is_flush_scheduled):
            self.is_reading = not self.is_read_closed  # also where reading was paused
            is_empty = self.read_until_empty()
            if is_empty and not (self.is_closed or self.owes_responses or self.is_flush_scheduled):
                self.close(linger=True)

    def is_idle_after_reading(self, spares_partial: bool = True) -> bool:
        """Read what has arrived; return whether the connection may be closed for a new one.

        It may not be while it owes a response, while there is more than is read at once, or, with
        `spares_partial`, for a short time after the first bytes of a request. One whose reading is paused has
        sent requests that can't be used.
        """
        if self.has_backlog and self.is_reading:
            return False
        if self.is_reading:
            self.receive()
        if self.is_closed:  # by its client: it no longer counts
            return True
        if self.owes_responses or self.is_flush_scheduled:
            return False
        is_spared = spares_partial and self._is_partial_recent()
        return not self.is_reading or not (self.has_unread_data or is_spared)

    def _is_partial_recent(self) -> bool:
        session = self.session
        if session is None or session.partial is None:
            return False
        return self.manager.active_clock.time - session.partial_since < MIN_PARTIAL_AGE_NS

    def reject_queued_requests(self) -> None:
        """Reject the requests that the module has not taken from its mailbox yet; it then ignores them."""
        for request in list(self.session.request_by_stream.values()) if self.session is not None else ():
            if request.number < 0:
                request.is_finished = True
                self.push(Response(request, 503, retry_after_ms=self.manager.draw_retry_after_ms()))

    def fail_unstarted_responses(self) -> int:
        """Turn the responses with a body of which no byte was written into failures; return their number."""
        if self.session is None:
            return 0
        unstarted = [o for o in self.session.outgoing if o.body is not None and not o.is_started]
        queued = [r for r in self.session.inbox if r.body is not None]
        for outgoing in unstarted:
            outgoing.fail()
        for response in queued:
            response.fail()
        return len(unstarted) + len(queued)

    def _update_state(self) -> None:
        """After each read or write: drop the session of an idle connection, or close one that is to close."""
        session = self.session
        if self.is_closed or session is None:
            return
        if (self.closes_when_sent or self.is_read_closed) and not self.closing_since:
            self.closing_since = self.manager.active_clock.time
            self._schedule_check(CLOSE_TIMEOUT_S)
        if self.owes_responses or self.is_flush_scheduled:
            return
        if self.closes_when_sent:
            self.close(linger=True)
            return
        if self.has_requested:
            self.manager.registry.on_idle(self, self.manager.active_clock.time)
        if session.is_idle and not self.is_read_closed:
            self.session = None
            self.manager.busy_connections.discard(self)
            if self.manager.registry.limits.max_idle_time:
                self._schedule_check(self.manager.registry.limits.max_idle_time / clock.SECOND)
