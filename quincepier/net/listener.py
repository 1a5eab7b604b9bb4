"""The listener: accepts new clients and passes them to the connection manager."""

from __future__ import annotations

import asyncio
import socket
from enum import Enum

from quincepier import clock
from quincepier.net.connection_manager import ConnectionManager
from quincepier.net.sockets import set_no_delay

MAX_ACCEPTS = 8  # clients accepted in one turn of the event loop, so that a burst does not delay others
# Clients accepted in one turn once they may have waited for `MAX_WAIT_NS`; their wait counts towards the time
# of their requests.
MAX_ACCEPTS_AFTER_WAIT = 256
MAX_TURN_NS = 10 * clock.MS  # of accepts beyond `MAX_ACCEPTS`
MIN_WAIT_NS = 20 * clock.MS  # time in the backlog that is counted towards a request's time
MAX_WAIT_NS = 250 * clock.MS  # time in the backlog up to which `MAX_ACCEPTS` applies
ACCEPT_RETRY_PAUSE_S = 0.01  # after accept failed, or while the manager can take no client


class AcceptResult(Enum):
    """The result of one accept."""

    ACCEPTED = "one"  # a client was taken from the backlog, whether it was admitted or not
    BACKLOG_EMPTY = "none left"
    FAILED = "failed"  # temporarily; clients may be waiting


class Listener:
    """Accepts clients, a bounded number in one turn; the manager decides which are admitted.

    It runs in callbacks of the event loop, without a task: a task that is cancelled could hold a client that
    was accepted and not passed on yet.

    Attributes:
        manager: Admits the clients.
        sock: The listening socket.
        retry_timer: Restarts the listener after a failed accept.
        is_stopped: Whether `stop` was called.
        waiting_since_ns: The earliest time at which a client in the backlog may have connected; 0: the
            backlog was empty.
    """

    def __init__(self, manager: ConnectionManager, sock: socket.socket) -> None:
        self.manager, self.sock = manager, sock
        self.retry_timer: asyncio.TimerHandle | None = None
        self.is_stopped = False
        self.waiting_since_ns = 0

    def start(self) -> None:
        """Begin to accept clients."""
        self.retry_timer = None
        asyncio.get_running_loop().add_reader(self.sock.fileno(), self._on_readable)

    def stop(self) -> bool:
        """Stop listening, after taking the clients in the backlog: closing the socket would reset them.

        Return whether the backlog is empty and the socket closed. If accept fails the socket stays open, and
        `stop` is to be called again.
        """
        if self.sock.fileno() < 0:
            return True
        if not self.is_stopped:
            self.is_stopped = True
            if self.retry_timer is not None:
                self.retry_timer.cancel()
            asyncio.get_running_loop().remove_reader(self.sock.fileno())
        while (result := self._accept()) is AcceptResult.ACCEPTED:
            pass
        self.manager.handle_readable()
        if result is AcceptResult.BACKLOG_EMPTY:
            self.sock.close()
        return result is AcceptResult.BACKLOG_EMPTY

    def close(self) -> None:
        """Stop, and close the socket even if accept fails: the clients left in the backlog are reset."""
        if not self.stop():
            self.manager.checks.event("listener_closed_with_accept_failing")
            self.sock.close()

    def _on_readable(self) -> None:
        max_accepts = MAX_ACCEPTS if self._waited_ns() < MAX_WAIT_NS else MAX_ACCEPTS_AFTER_WAIT
        until_ns = clock.now() + MAX_TURN_NS
        for count in range(max_accepts):
            if count >= MAX_ACCEPTS and clock.now() >= until_ns:
                break
            if self._accept() is not AcceptResult.ACCEPTED:
                break
        self.manager.handle_readable()  # before any is read, those whose clients have gone are closed

    def _waited_ns(self) -> int:
        """Return how long a client accepted now may have waited, from the first look at the backlog on."""
        now_ns = clock.now()
        if not self.waiting_since_ns:
            self.waiting_since_ns = self.manager.pauses.earliest_arrival(now_ns)
        return now_ns - self.waiting_since_ns

    def _accept(self) -> AcceptResult:
        if not self.is_stopped and self.manager.is_full():
            self.manager.checks.count("accepts_delayed_descriptor_limit")
            self._pause()
            return AcceptResult.FAILED
        try:
            sock, address = self.sock.accept()
        except BlockingIOError:
            self.waiting_since_ns = 0
            return AcceptResult.BACKLOG_EMPTY
        except InterruptedError:
            return AcceptResult.FAILED
        except ConnectionAbortedError:  # the client disconnected while it was in the backlog
            return AcceptResult.ACCEPTED
        except OSError as error:
            self.manager.checks.event("accept_failed", str(error))
            if not self.is_stopped:
                self._pause()
            return AcceptResult.FAILED
        sock.setblocking(False)
        set_no_delay(sock)
        waited_ns = self._waited_ns()
        connection = self.manager.admit(sock, address[0])
        if connection is None:
            return AcceptResult.ACCEPTED
        if waited_ns > MIN_WAIT_NS:
            connection.set_earliest_arrival(self.waiting_since_ns)
            self.manager.reads.enqueue(connection)
        return AcceptResult.ACCEPTED

    def _pause(self) -> None:
        """Accept nothing for a short time; clients wait in the backlog."""
        loop = asyncio.get_running_loop()
        loop.remove_reader(self.sock.fileno())
        self.retry_timer = loop.call_later(ACCEPT_RETRY_PAUSE_S, self.start)
