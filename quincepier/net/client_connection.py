"""A client connection: FastCGI in, answers out.

A connection is an actor without a task. Its turn is run by the loop: when bytes can be read, when
an answer has come to its mailbox, when a timer is due. At rest it is its socket and a few words;
everything else is in its Session, made when bytes come and let go when nothing is left half read or
owed. Here is how it comes and goes; `reading.py` takes requests in, `writing.py` gives answers out.
"""

from __future__ import annotations

from quincepier import clock
from quincepier.net.client_read_side import PARTIAL_REQUEST_TIMEOUT_S, ClientReadSide
from quincepier.net.messages import Answer, Left

# Seconds: to a new connection's first whole request; to a close behind an answer.
FIRST_WITHIN, CLOSE_WITHIN = 2.0, 1.0
AGAIN_WITHIN = 0.2  # seconds to another look at what is overdue and still owed something


class ClientConnection(ClientReadSide):
    __slots__ = ()

    @property
    def client_connection(self) -> ClientConnection:
        return self

    def start(self) -> None:
        self.is_reading = True
        self.manager.watch(self)
        self._schedule_check(FIRST_WITHIN)

    # Time

    def _schedule_check(self, seconds: float, resume: bool = False) -> None:
        """Look at it then, if no earlier look is to come."""
        due = self.manager.active_clock.time + int(seconds * clock.SECOND)
        if self.timer is not None:
            if self.timer.due <= due and not resume:
                return
            self.manager.timers.cancel(self.timer)
        self.timer = self.manager.timers.schedule(due, (self, resume))

    def on_timer(self, now: int, resume: bool) -> None:
        self.timer = None
        if self.is_closed:
            return
        if resume:
            self.resume_reading()
        why, again = self._check_deadlines(now)
        if why is not None:
            if self.owes_responses:  # not taken, or broken off
                self.close()
            else:  # what has come in this moment is taken before
                self.close_gracefully()
            if self.is_closed:
                self.manager.checks.event(f"client_closed_{why}")
            else:
                self._schedule_check(AGAIN_WITHIN)
        elif again:
            self._schedule_check(again)

    def _check_deadlines(self, now: int) -> tuple[str | None, float]:
        """Why it is to be closed, else in how many seconds to look again; 0: not before something happens."""
        session = self.session
        if self.closes_when_sent or self.is_read_closed:
            left = self.closing_since + int(CLOSE_WITHIN * clock.SECOND) - now
            if left <= 0 and not (session is not None and session.request_by_stream):
                return "response_unread", 0.0
            return None, max(left / clock.SECOND, AGAIN_WITHIN)
        again = 0.0
        if not self.has_requested:
            left = self.accepted_at + int(FIRST_WITHIN * clock.SECOND) - now
            if left <= 0:
                return "no_request", 0.0
            again = left / clock.SECOND
        if session is not None and self._update_partial(session, now):
            left = session.partial_since + int(PARTIAL_REQUEST_TIMEOUT_S * clock.SECOND) - now
            if left <= 0 and not self.owes_responses:
                return "partial_request", 0.0
            wait = max(left / clock.SECOND, AGAIN_WITHIN)
            again = min(again, wait) if again else wait
        until = self.manager.registry.idle_deadline(self)
        if until is not None:
            if until <= now:
                return "idle_timeout", 0.0
            again = (until - now) / clock.SECOND
        return None, again

    # Coming and going

    def resume_reading(self) -> None:
        """Read again, what came meanwhile too."""
        if not (self.is_reading or self.is_closed) and (self.has_open_requests or not self.is_read_closed):
            self.is_reading = True
            self.manager.enqueue_read(self)

    def cancel(self) -> None:
        self.close()

    def close(self, linger: bool = False) -> None:
        """End the connection now, whatever is open on it.

        With `linger` what is written reaches the client, whatever it sends as this is done.
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
        manager.body_bytes -= self.partial_bytes
        self.partial_bytes = 0
        manager.registry.remove(self)
        manager.busy_connections.discard(self)
        if session is not None:
            self.session = None
            for answer in session.inbox:
                if answer.body is not None:
                    answer.body.release()
            for outgoing in session.outgoing:
                outgoing.release()
            for request in session.request_by_stream.values():
                request.cancel(clock.now())
                self._release_body(request)
                manager.module.push(Left(request))
        if self.write_task is not None:
            # The socket closes behind it, once the loop has let go of it; a task that never began ends too.
            self.write_task.add_done_callback(lambda _: self._close_socket())
            self.write_task.cancel()
        else:
            self._close_socket(linger)

    def _close_socket(self, linger: bool = False) -> None:
        self.manager.connections.discard(self)
        self.manager.descriptors.client(-1)
        if linger:
            self.manager.lingering.add(self.sock)
        else:
            self.sock.close()

    def close_gracefully(self) -> None:
        """Closed where nothing is owed, nor by what has come and was not read yet: that is taken first."""
        if not (self.is_closed or self.owes_responses or self.is_flush_scheduled):
            self.is_reading = not self.is_read_closed  # one that is paused, too
            self.receive()
            if not (self.is_closed or self.owes_responses or self.is_flush_scheduled):
                self.close(linger=True)

    def reject_queued_requests(self) -> None:
        """What the module has not taken up yet is not to be sent on any more."""
        for request in list(self.session.request_by_stream.values()) if self.session is not None else ():
            if request.number < 0:
                request.is_finished = True
                self.push(Answer(request, 503, wait_ms=self.manager.draw_retry_after_ms()))

    def fail_unstarted_responses(self) -> int:
        """How many answers with a body, of which nothing was written, became failures."""
        sending = self.session.outgoing if self.session is not None else ()
        found = [o for o in sending if o.body is not None and not o.is_started]
        for outgoing in found:
            outgoing.fail()
        return len(found)

    def _update_state(self) -> None:
        """After each turn: at rest where nothing is left, closed where it was to close."""
        session = self.session
        if self.is_closed or session is None:
            return
        if (self.closes_when_sent or self.is_read_closed) and not self.closing_since:
            self.closing_since = self.manager.active_clock.time
            self._schedule_check(CLOSE_WITHIN)
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
