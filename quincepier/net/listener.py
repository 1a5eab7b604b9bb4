"""The listener: it accepts new clients and hands them to the connection manager."""

from __future__ import annotations

import asyncio
import socket

from quincepier.net.clients import ConnectionManager
from quincepier.net.sockets import no_delay

ACCEPTS = 8  # new clients in a row: the others get their turn in a storm of them
FAILED_PAUSE = 0.01  # seconds not accepted after a failure, which is mostly one of descriptors


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

    def stop(self) -> None:
        """Nobody comes any more. Whom the system has let in already is taken: the close would reset them."""
        if self.stopped:
            return
        self.stopped = True
        if self.again is not None:
            self.again.cancel()
        asyncio.get_running_loop().remove_reader(self.sock.fileno())
        while self._accept():
            pass
        self.sock.close()

    def _ready(self) -> None:
        for _ in range(ACCEPTS):
            if not self._accept():
                break

    def _accept(self) -> bool:
        """Whether to go on: there was one, and no failure."""
        try:
            sock, address = self.sock.accept()
        except (BlockingIOError, InterruptedError):
            return False
        except ConnectionAbortedError:  # it left before it was taken
            return True
        except OSError as error:
            self.manager.checks.event("accept_failed", str(error))
            if not self.stopped:
                loop = asyncio.get_running_loop()
                loop.remove_reader(self.sock.fileno())
                self.again = loop.call_later(FAILED_PAUSE, self.start)
            return False
        sock.setblocking(False)
        no_delay(sock)
        connection = self.manager.admit(sock, address[0])
        if self.stopped and connection is not None:
            connection.receive()  # what it asked before this is asked in time
        return True
