"""Loopback addresses of this test process's own: nobody else binds there, so a port needs no asking for.

127.8.0.0 to 127.15.255.255 are cut into blocks. A process holds the one whose first address it has bound, and
the system lets go of it with the process: test processes beside each other, also of several runs, never meet.
The front's rig in the laboratory is elsewhere (quincepier/lab/fleet/places.py).
"""

from __future__ import annotations

import errno
import functools
import itertools
import os
import socket
from collections.abc import Iterator

FROM, BLOCKS, SIZE = 127 << 24 | 8 << 16, 128, 1 << 12
PORTS = range(5050, 30_000)  # at a block's addresses
SHARED, SHARED_PORTS_PER_BLOCK = (
    30_000,
    20,
)  # 127.0.0.1 and ::1 are of all: there each block has so many ports, from here on
# All are below those that the system gives to connections.


def _text(number: int) -> str:
    return socket.inet_ntoa(number.to_bytes(4, "big"))


def claim() -> tuple[int, socket.socket]:
    """The first address of a block that is nobody's, and what holds it."""
    for n in range(BLOCKS):
        first = FROM + (os.getpid() + n) % BLOCKS * SIZE
        held = socket.socket()
        try:
            held.bind((_text(first), PORTS[0]))
        except OSError as error:
            held.close()
            if error.errno != errno.EADDRINUSE:
                raise
        else:
            return first, held
    raise RuntimeError(f"all {BLOCKS} blocks of loopback addresses are held by test processes")


@functools.cache
def _block() -> tuple[int, socket.socket]:
    return claim()


@functools.cache
def _addresses() -> Iterator[tuple[str, int]]:
    return ((_text(_block()[0] + n), port) for port, n in itertools.product(PORTS, range(1, SIZE)))


@functools.cache
def _ports() -> Iterator[int]:
    block = (_block()[0] - FROM) // SIZE
    return itertools.cycle(
        range(SHARED + block * SHARED_PORTS_PER_BLOCK, SHARED + (block + 1) * SHARED_PORTS_PER_BLOCK)
    )


def allocate_address() -> tuple[str, int]:
    """Where nobody listens, and nobody will who was not told of it."""
    return next(_addresses())


def allocate_port() -> int:
    """At 127.0.0.1 and ::1; the first comes again after the last."""
    return next(_ports())
