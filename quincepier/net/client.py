"""A client connection: FastCGI in, answers out.

A connection is an actor without a task. Its turn is run by the loop: when bytes can be read, when
an answer has come to its mailbox, when a timer is due. At rest it is its socket and a few words;
everything else is in its Session, made when bytes come and let go when nothing is left half read or
owed. Here is how it comes and goes; `reading.py` takes requests in, `writing.py` gives answers out.
"""

from __future__ import annotations

from quincepier import clock
from quincepier.net.messages import ClientDisconnected, Response
from quincepier.net.reading import WHOLE_WITHIN, Reading

# Seconds: to a new connection's first whole request; to a close behind an answer.
FIRST_WITHIN, CLOSE_WITHIN = 2.0, 1.0
AGAIN_WITHIN = 0.2  # seconds to another look at what is overdue and still owed something


class ClientConnection(Reading):
    __slots__ = ()

    @property
    def itself(self) -> ClientConnection:
        return self

    def start(self) -> None:
        self.reading = True
        self.manager.watch(self)
        self._look_in(FIRST_WITHIN)

    # Time

    def _look_in(self, seconds: float, resume: bool = False) -> None:
        """Look at it then, if no earlier look is to come."""
        due = self.manager.active_clock.time + int(seconds * clock.SECOND)
        if self.timer is not None:
            if self.timer.due <= due and not resume:
                return
            self.manager.wheel.cancel(self.timer)
        self.timer = self.manager.wheel.set(due, (self, resume))

    def due(self, now: int, resume: bool) -> None:
        self.timer = None
        if self.closed:
            return
        if resume:
            self.resume()
        why, again = self._overdue(now)
        if why is not None:
            if self.owed:  # not taken, or broken off
                self.close()
            else:  # what has come in this moment is taken before
                self.close_gracefully()
            if self.closed:
                self.manager.checks.event(f"client_closed_{why}")
            else:
                self._look_in(AGAIN_WITHIN)
        elif again:
            self._look_in(again)

    def _overdue(self, now: int) -> tuple[str | None, float]:
        """Why it is to be closed, else in how many seconds to look again; 0: not before something happens."""
        session = self.session
        if self.closing or self.read_closed:
            left = self.closing_at + int(CLOSE_WITHIN * clock.SECOND) - now
            if left <= 0 and not (session is not None and session.open):
                return "response_unread", 0.0
            return None, max(left / clock.SECOND, AGAIN_WITHIN)
        again = 0.0
        if not self.asked:
            left = self.since + int(FIRST_WITHIN * clock.SECOND) - now
            if left <= 0:
                return "no_request", 0.0
            again = left / clock.SECOND
        if session is not None and self._half(session, now):
            left = session.unfinished_at + int(WHOLE_WITHIN * clock.SECOND) - now
            if left <= 0 and not self.owed:
                return "partial_request", 0.0
            wait = max(left / clock.SECOND, AGAIN_WITHIN)
            again = min(again, wait) if again else wait
        until = self.manager.registry.rests_until(self)
        if until is not None:
            if until <= now:
                return "idle_timeout", 0.0
            again = (until - now) / clock.SECOND
        return None, again

    # Coming and going

    def resume(self) -> None:
        """Read again, what came meanwhile too."""
        if not (self.reading or self.closed) and (self.asks or not self.read_closed):
            self.reading = True
            self.manager.read_on(self)

    def cancel(self) -> None:
        self.close()

    def close(self, linger: bool = False) -> None:
        """End the connection now, whatever is open on it.

        With `linger` what is written reaches the client, whatever it sends as this is done.
        """
        if self.closed:
            return
        self.closed = True
        self._pause()
        manager, session = self.manager, self.session
        manager.unwatch(self)
        if self.timer is not None:
            manager.wheel.cancel(self.timer)
            self.timer = None
        manager.bodies -= self.held
        self.held = 0
        manager.registry.left(self)
        manager.in_session.discard(self)
        if session is not None:
            self.session = None
            for answer in session.inbox:
                if answer.body is not None:
                    answer.body.release()
            for outgoing in session.sending:
                outgoing.release()
            for request in session.open.values():
                request.cancel(clock.now())
                self._forget(request)
                manager.module.push(ClientDisconnected(request))
        if self.writer is not None:
            # The socket closes behind it, once the loop has let go of it; a task that never began ends too.
            self.writer.add_done_callback(lambda _: self._shut())
            self.writer.cancel()
        else:
            self._shut(linger)

    def _shut(self, linger: bool = False) -> None:
        self.manager.connections.discard(self)
        self.manager.descriptors.add_clients(-1)
        if linger:
            self.manager.lingering.add(self.sock)
        else:
            self.sock.close()

    def close_gracefully(self) -> None:
        """Closed where nothing is owed, nor by what has come and was not read yet: that is taken first."""
        if not (self.closed or self.owed or self.stirred):
            self.reading = not self.read_closed  # one that is paused, too
            self.receive()
            if not (self.closed or self.owed or self.stirred):
                self.close(linger=True)

    def refuse_waiting(self) -> None:
        """What the module has not taken up yet is not to be sent on any more."""
        for request in list(self.session.open.values()) if self.session is not None else ():
            if request.number < 0:
                request.is_finished = True
                self.push(Response(request, 503, retry_after_ms=self.manager.wait_ms()))

    def fail_unbegun(self) -> int:
        """How many answers with a body, of which nothing was written, became failures."""
        sending = self.session.sending if self.session is not None else ()
        found = [o for o in sending if o.body is not None and not o.begun]
        for outgoing in found:
            outgoing.fail()
        return len(found)

    def _settle(self) -> None:
        """After each turn: at rest where nothing is left, closed where it was to close."""
        session = self.session
        if self.closed or session is None:
            return
        if (self.closing or self.read_closed) and not self.closing_at:
            self.closing_at = self.manager.active_clock.time
            self._look_in(CLOSE_WITHIN)
        if self.owed or self.stirred:
            return
        if self.closing:
            self.close(linger=True)
            return
        if self.asked:
            self.manager.registry.rests(self, self.manager.active_clock.time)
        if session.done and not self.read_closed:
            self.session = None
            self.manager.in_session.discard(self)
            if self.manager.registry.caps.rest_most:
                self._look_in(self.manager.registry.caps.rest_most / clock.SECOND)
