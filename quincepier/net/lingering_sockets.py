"""Sockets that are closed for writing and read on to their end for a moment, with nothing done to what comes.

A close over unread bytes resets the connection, and with it goes what the peer has not read yet (RFC 1122,
4.2.2.13; RFC 2525, 2.17). A half-close tells the peer that nothing more comes, and its own close ends both.
"""

from __future__ import annotations

import asyncio
import socket

from quincepier.checks import Checks
from quincepier.net.sockets import Descriptors

LINGERS_FOR = 1.0  # seconds given to a peer to close its side
SPARE_DESCRIPTORS = 8  # descriptors beside those of clients, out of the spare ones
LOOK_EVERY = 0.005  # seconds between looks whether all have ended


class LingeringSockets:
    """Bounded in number and time; the oldest goes first where descriptors are short."""

    def __init__(self, checks: Checks, descriptors: Descriptors, scratch: memoryview) -> None:
        self.checks, self.descriptors, self.read_buffer = checks, descriptors, scratch
        self.open: dict[socket.socket, asyncio.TimerHandle] = {}  # the oldest first

    def add(self, sock: socket.socket) -> None:
        """End this side of a connection; its socket is let go of once the peer has ended the other."""
        try:
            sock.shutdown(socket.SHUT_WR)
        except OSError:  # the peer has reset it
            sock.close()
            return
        loop = asyncio.get_running_loop()
        self.open[sock] = loop.call_later(LINGERS_FOR, self._close, sock)
        loop.add_reader(sock.fileno(), self._read, sock)
        self.descriptors.lingers(1)
        self.close_excess()

    def close_excess(self) -> None:
        """Descriptors that clients need are not kept for those who have been told to go."""
        room = self.descriptors.clients_most - self.descriptors.clients + SPARE_DESCRIPTORS
        while len(self.open) > max(room, 0):
            self.checks.count("lingering_clients_closed_descriptor_limit")
            self._close(next(iter(self.open)))

    async def wait_until_closed(self, seconds: float) -> None:
        """Until all have ended, for so long; what is left then is closed."""
        loop = asyncio.get_running_loop()
        until = loop.time() + seconds
        while self.open and loop.time() < until:
            await asyncio.sleep(LOOK_EVERY)
        for sock in list(self.open):
            self._close(sock)

    def _read(self, sock: socket.socket) -> None:
        try:
            ended = not sock.recv_into(self.read_buffer)
        except (BlockingIOError, InterruptedError):
            return
        except OSError:
            ended = True
        if ended:
            self._close(sock)

    def _close(self, sock: socket.socket) -> None:
        self.open.pop(sock).cancel()
        asyncio.get_running_loop().remove_reader(sock.fileno())
        sock.close()
        self.descriptors.lingers(-1)
