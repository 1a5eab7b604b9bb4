"""The UDP socket of the failure detector."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable

from quincepier.checks import Checks
from quincepier.net.peers.address_book import Address, is_ip_address

RECEIVE_BUFFER_BYTES = 1 << 20  # holds datagrams that arrive during a process pause


class DatagramSocket(asyncio.DatagramProtocol):
    """Sends and receives datagrams; a datagram that can't be sent is dropped and counted."""

    def __init__(self, on_datagram: Callable[[bytes], None], checks: Checks) -> None:
        self._on_datagram = on_datagram
        self._checks = checks
        self._transport: asyncio.DatagramTransport | None = None

    async def open(self, address: Address) -> None:
        """Binds the socket.

        Raises:
            OSError: The address can't be bound.
        """
        loop = asyncio.get_running_loop()
        self._transport, _ = await loop.create_datagram_endpoint(lambda: self, address)
        sock = self._transport.get_extra_info("socket")
        if sock is not None:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)

    def send(self, data: bytes, address: Address) -> None:
        """Sends a datagram; it is ignored if the socket is not open or the host is not an IP address."""
        if self._transport is None or not is_ip_address(address[0]):
            return
        try:
            self._transport.sendto(data, address)
        except (OSError, ValueError, TypeError):  # such as an address of another family than the socket's
            self.count_unsent()

    def close(self) -> None:
        """Closes the socket."""
        if self._transport is not None:
            self._transport.close()

    def count_unsent(self) -> None:
        """Counts a datagram that could not be sent."""
        self._checks.count("peer_datagrams_not_sent")

    def datagram_received(self, data: bytes, address: object) -> None:  # noqa: ARG002 - asyncio's interface
        """Passes a datagram on; the source address is ignored, as it can be forged."""
        self._on_datagram(data)

    def error_received(self, error: Exception) -> None:  # noqa: ARG002 - asyncio's interface
        """Counts a datagram that the operating system or the remote host refused."""
        self.count_unsent()
