"""Ports of one rig's own, at all addresses of fronts and pairs: rigs beside each other do not meet."""

from __future__ import annotations

import contextlib
import os
import socket

from quincepier.lab.fleet.places import NOBODY

MOST = 8  # of one rig
BLOCKS = [range(first, first + MOST) for first in range(10_000, 30_000, MOST)]  # connections get higher ones


class Ports:
    """Held by their sockets at an address where nobody is, until `close` or the end of the process."""

    def __init__(self) -> None:
        self._held = contextlib.ExitStack()
        self._left = iter(self._claimed())

    def _claimed(self) -> range:
        start = os.getpid() % len(BLOCKS)
        for block in BLOCKS[start:] + BLOCKS[:start]:
            with contextlib.ExitStack() as stack, contextlib.suppress(OSError):
                for port in block:
                    stack.enter_context(socket.socket()).bind((NOBODY, port))
                self._held = stack.pop_all()
                return block
        raise OSError(f"no {MOST} ports in a row are free on {NOBODY}")

    def take(self) -> int:
        return next(self._left)

    def close(self) -> None:
        self._held.close()
