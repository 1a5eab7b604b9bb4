"""The listener: it accepts new clients and hands them to the connection manager."""

from __future__ import annotations

import asyncio
import socket
from enum import Enum

from quincepier.net.clients import ConnectionManager
from quincepier.net.sockets import no_delay

ACCEPTS = 8  # new clients in a row: the others get their turn in a storm of them
FAILED_PAUSE = 0.01  # seconds not accepted after a failure, which is mostly one of descriptors


class Accepted(Enum):
    """What came of one accept."""

    ONE = "one"
    NONE_LEFT = "none left"
    FAILED = "failed"  # for a moment: others may wait


class Listener:
    """Accepts clients, a few in a row; who stays is told by the registry.

    It runs in the loop's own turn, without a task: one that is cancelled could hold a client that is accepted
    and not handed on yet.
    """

    def __init__(self, manager: ConnectionManager, sock: socket.socket) -> None:
        self.manager, self.sock = manager, sock
        self.again: asyncio.TimerHandle | None = None  # after a failure
        self.stopped = False

    def start(self) -> None:
        self.again = None
        asyncio.get_running_loop().add_reader(self.sock.fileno(), self._ready)

    def stop(self) -> bool:
        """Nobody comes any more. Whom the system has let in already is taken: the close would reset them.

        Returns whether all are. Where accept fails nothing is closed: call it again.
        """
        if self.sock.fileno() < 0:
            return True
        if not self.stopped:
            self.stopped = True
            if self.again is not None:
                self.again.cancel()
            asyncio.get_running_loop().remove_reader(self.sock.fileno())
        while (accepted := self._accept()) is Accepted.ONE:
            pass
        if accepted is Accepted.NONE_LEFT:
            self.sock.close()
        return accepted is Accepted.NONE_LEFT

    def close(self) -> None:
        """The end: who can't be taken even now is reset."""
        if not self.stop():
            self.manager.checks.event("listener_closed_with_accept_failing")
            self.sock.close()

    def _ready(self) -> None:
        for _ in range(ACCEPTS):
            if self._accept() is not Accepted.ONE:
                break

    def _accept(self) -> Accepted:
        try:
            sock, address = self.sock.accept()
        except BlockingIOError:
            return Accepted.NONE_LEFT
        except InterruptedError:
            return Accepted.FAILED
        except ConnectionAbortedError:  # it left before it was taken
            return Accepted.ONE
        except OSError as error:
            self.manager.checks.event("accept_failed", str(error))
            if not self.stopped:
                loop = asyncio.get_running_loop()
                loop.remove_reader(self.sock.fileno())
                self.again = loop.call_later(FAILED_PAUSE, self.start)
            return Accepted.FAILED
        sock.setblocking(False)
        no_delay(sock)
        connection = self.manager.admit(sock, address[0])
        if self.stopped and connection is not None:
            connection.receive()  # what it asked before this is asked in time
        return Accepted.ONE
