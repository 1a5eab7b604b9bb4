"""Loopback addresses that belong to this test process alone, so that a port can be chosen without binding it.

127.8.0.0 to 127.15.255.255 are divided into blocks. A process owns the block whose first address it has
bound; the kernel releases it when the process ends. So concurrent test processes, also of several runs,
never use the same address. The laboratory's fleets use other addresses
(quincepier/lab/fleet/loopback_addresses.py).
"""

from __future__ import annotations

import errno
import functools
import itertools
import os
import socket
from collections.abc import Iterator

FIRST_ADDRESS, BLOCK_COUNT, BLOCK_SIZE = 127 << 24 | 8 << 16, 128, 1 << 12
BLOCK_PORTS = range(5050, 30_000)  # at a block's addresses
FIRST_SHARED_PORT, SHARED_PORTS_PER_BLOCK = (
    30_000,
    20,
)  # at 127.0.0.1 and ::1, which all blocks share
# All ports are below the kernel's ephemeral port range, from which outgoing connections take theirs.


def _to_text(number: int) -> str:
    return socket.inet_ntoa(number.to_bytes(4, "big"))


def claim_block() -> tuple[int, socket.socket]:
    """Claim a free block; return its first address and the bound socket that holds it."""
    for n in range(BLOCK_COUNT):
        first = FIRST_ADDRESS + (os.getpid() + n) % BLOCK_COUNT * BLOCK_SIZE
        held = socket.socket()
        try:
            held.bind((_to_text(first), BLOCK_PORTS[0]))
        except OSError as error:
            held.close()
            if error.errno != errno.EADDRINUSE:
                raise
        else:
            return first, held
    raise RuntimeError(f"all {BLOCK_COUNT} blocks of loopback addresses are held by test processes")


@functools.cache
def _block() -> tuple[int, socket.socket]:
    return claim_block()


@functools.cache
def _addresses() -> Iterator[tuple[str, int]]:
    return (
        (_to_text(_block()[0] + n), port) for port, n in itertools.product(BLOCK_PORTS, range(1, BLOCK_SIZE))
    )


@functools.cache
def _ports() -> Iterator[int]:
    block = (_block()[0] - FIRST_ADDRESS) // BLOCK_SIZE
    return itertools.cycle(
        range(
            FIRST_SHARED_PORT + block * SHARED_PORTS_PER_BLOCK,
            FIRST_SHARED_PORT + (block + 1) * SHARED_PORTS_PER_BLOCK,
        )
    )


def allocate_address() -> tuple[str, int]:
    """An address and port on which no other process listens; each call returns another one."""
    return next(_addresses())


def allocate_port() -> int:
    """A port of this process at 127.0.0.1 and ::1; after the last the first is returned again."""
    return next(_ports())
