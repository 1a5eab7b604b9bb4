"""Lingering close: sockets that are closed for writing and read until the peer closes, for a short time.

Closing a socket with unread bytes resets the connection, and the peer loses what it has not read yet
(RFC 1122, 4.2.2.13; RFC 2525, 2.17). A half-close tells the peer that nothing more will be sent; its own
close ends both sides. What is received meanwhile is discarded.
"""

from __future__ import annotations

import asyncio
import socket

from quincepier.checks import Checks
from quincepier.net.sockets import Descriptors

LINGER_TIMEOUT_S = 1.0  # for the peer to close its side
# Descriptors that lingering sockets may use in addition to unused client descriptors; taken from
# `RESERVED_DESCRIPTORS`.
SPARE_DESCRIPTORS = 8
POLL_INTERVAL_S = 0.005  # between checks whether all sockets are closed


class LingeringSockets:
    """Sockets in lingering close, limited in number and time; the oldest is closed first.

    Attributes:
        checks: Counters.
        descriptors: The count of open descriptors.
        read_buffer: Buffer for the bytes that are discarded.
        open: The timer of each socket, the oldest socket first.
    """

    def __init__(self, checks: Checks, descriptors: Descriptors, read_buffer: memoryview) -> None:
        self.checks, self.descriptors, self.read_buffer = checks, descriptors, read_buffer
        self.open: dict[socket.socket, asyncio.TimerHandle] = {}

    def add(self, sock: socket.socket) -> None:
        """Close a socket for writing, and completely once the peer has closed or the time-out has passed."""
        try:
            sock.shutdown(socket.SHUT_WR)
        except OSError:  # the peer has reset the connection
            sock.close()
            return
        loop = asyncio.get_running_loop()
        self.open[sock] = loop.call_later(LINGER_TIMEOUT_S, self._close, sock)
        loop.add_reader(sock.fileno(), self._read, sock)
        self.descriptors.add_lingering(1)
        self.close_excess()

    def close_excess(self) -> None:
        """Close the oldest sockets while they use descriptors that clients need."""
        limit = self.descriptors.max_clients - self.descriptors.clients + SPARE_DESCRIPTORS
        while len(self.open) > max(limit, 0):
            self.checks.count("lingering_clients_closed_descriptor_limit")
            self._close(next(iter(self.open)))

    async def wait_until_closed(self, seconds: float) -> None:
        """Wait until all peers have closed, for `seconds` at most; then close the sockets that are left."""
        loop = asyncio.get_running_loop()
        until = loop.time() + seconds
        while self.open and loop.time() < until:
            await asyncio.sleep(POLL_INTERVAL_S)
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
        self.descriptors.add_lingering(-1)
