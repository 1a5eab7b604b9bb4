"""The listener: it accepts new clients and hands them to the connection manager."""

from __future__ import annotations

import asyncio
import socket

from quincepier.net.actor import Actor
from quincepier.net.clients import ConnectionManager
from quincepier.net.sockets import no_delay

ACCEPTS = 8  # new clients in a row


class Listener(Actor[None]):
    """Accepts clients, a few in a row; who stays is told by the registry."""

    name = "listener"

    def __init__(self, manager: ConnectionManager, sock: socket.socket) -> None:
        super().__init__(manager.checks, 1)
        self.manager, self.sock = manager, sock

    async def run(self) -> None:
        loop, taken = asyncio.get_running_loop(), 0
        while True:
            try:
                sock, address = await loop.sock_accept(self.sock)
                sock.setblocking(False)
                no_delay(sock)
            except OSError as error:
                self.checks.event("accept failed", str(error))
                await asyncio.sleep(0.01)
                continue
            self.manager.admit(sock, address[0])
            if (taken := taken + 1) % ACCEPTS == 0:  # the others get their turn in a storm of new clients
                await asyncio.sleep(0)
