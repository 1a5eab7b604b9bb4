"""The listener: it accepts new clients and hands them to the connection manager."""

from __future__ import annotations

import asyncio
import socket
from enum import Enum

from quincepier import clock
from quincepier.net.connection_manager import ConnectionManager
from quincepier.net.sockets import no_delay

ACCEPTS = 8  # new clients in a row: the others get their turn in a storm of them
ACCEPTS_AT_MOST = 256  # in a row once some may have waited long: their time counts from the first of them
MIN_WAIT, MAX_WAIT = 20 * clock.MS, 250 * clock.MS  # in the backlog: of note; for the usual few in a row
FAILED_PAUSE = 0.01  # seconds not accepted after a failure, which is mostly one of descriptors


class AcceptResult(Enum):
    """What came of one accept."""

    ACCEPTED = "one"
    BACKLOG_EMPTY = "none left"
    FAILED = "failed"  # for a moment: others may wait


class Listener:
    """Accepts clients, a few in a row; who stays is told by the registry.

    It runs in the loop's own turn, without a task: one that is cancelled could hold a client that is accepted
    and not handed on yet.
    """

    def __init__(self, manager: ConnectionManager, sock: socket.socket) -> None:
        self.manager, self.sock = manager, sock
        self.retry_timer: asyncio.TimerHandle | None = None  # after a failure
        self.is_stopped = False
        self.waiting_since_ns = 0  # from when on whoever is in the backlog may have come; 0: nobody was left

    def start(self) -> None:
        self.retry_timer = None
        asyncio.get_running_loop().add_reader(self.sock.fileno(), self._on_readable)

    def stop(self) -> bool:
        """Nobody comes any more. Whom the system has let in already is taken: the close would reset them.

        Returns whether all are. Where accept fails nothing is closed: call it again.
        """
        if self.sock.fileno() < 0:
            return True
        if not self.is_stopped:
            self.is_stopped = True
            if self.retry_timer is not None:
                self.retry_timer.cancel()
            asyncio.get_running_loop().remove_reader(self.sock.fileno())
        while (accepted := self._accept()) is AcceptResult.ACCEPTED:
            pass
        if accepted is AcceptResult.BACKLOG_EMPTY:
            self.sock.close()
        return accepted is AcceptResult.BACKLOG_EMPTY

    def close(self) -> None:
        """The end: who can't be taken even now is reset."""
        if not self.stop():
            self.manager.checks.event("listener_closed_with_accept_failing")
            self.sock.close()

    def _on_readable(self) -> None:
        for _ in range(ACCEPTS if self._waited_ns() < MAX_WAIT else ACCEPTS_AT_MOST):
            if self._accept() is not AcceptResult.ACCEPTED:
                break

    def _waited_ns(self) -> int:
        """How long whoever is accepted now may have waited; the first look at a backlog begins it."""
        now_ns = clock.now()
        if not self.waiting_since_ns:
            self.waiting_since_ns = self.manager.pauses.earliest_arrival(now_ns)
        return now_ns - self.waiting_since_ns

    def _accept(self) -> AcceptResult:
        try:
            sock, address = self.sock.accept()
        except BlockingIOError:
            self.waiting_since_ns = 0
            return AcceptResult.BACKLOG_EMPTY
        except InterruptedError:
            return AcceptResult.FAILED
        except ConnectionAbortedError:  # it left before it was taken
            return AcceptResult.ACCEPTED
        except OSError as error:
            self.manager.checks.event("accept_failed", str(error))
            if not self.is_stopped:
                loop = asyncio.get_running_loop()
                loop.remove_reader(self.sock.fileno())
                self.retry_timer = loop.call_later(FAILED_PAUSE, self.start)
            return AcceptResult.FAILED
        sock.setblocking(False)
        no_delay(sock)
        waited_ns = self._waited_ns()
        connection = self.manager.admit(sock, address[0])
        if connection is None:
            return AcceptResult.ACCEPTED
        if waited_ns > MIN_WAIT:
            connection.set_earliest_arrival(self.waiting_since_ns)
        if self.is_stopped or waited_ns > MIN_WAIT:
            connection.receive()  # what it asked before this is asked in time
        return AcceptResult.ACCEPTED
