"""Reservation of ports for one rig, so that rigs running at the same time use different ports."""

from __future__ import annotations

import contextlib
import os
import socket

from quincepier.lab.fleet.loopback_addresses import RESERVATION_ADDRESS

PORTS_PER_RIG = 8
BLOCKS = [
    range(first, first + PORTS_PER_RIG) for first in range(10_000, 30_000, PORTS_PER_RIG)
]  # ephemeral ports are higher


class PortBlock:
    """A block of ports, valid on all loopback addresses of the rig.

    It is reserved by sockets bound to an address of no front, until `close` or the end of the process.
    """

    def __init__(self) -> None:
        self._reservations = contextlib.ExitStack()
        self._free_ports = iter(self._reserve_block())

    def _reserve_block(self) -> range:
        start = os.getpid() % len(BLOCKS)
        for block in BLOCKS[start:] + BLOCKS[:start]:
            with contextlib.ExitStack() as stack, contextlib.suppress(OSError):
                for port in block:
                    stack.enter_context(socket.socket()).bind((RESERVATION_ADDRESS, port))
                self._reservations = stack.pop_all()
                return block
        raise OSError(f"no {PORTS_PER_RIG} ports in a row are free on {RESERVATION_ADDRESS}")

    def take(self) -> int:
        """Return the next unused port of the block."""
        return next(self._free_ports)

    def close(self) -> None:
        """Release the block."""
        self._reservations.close()
