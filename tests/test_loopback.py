"""Addresses of test processes are unique, within and across processes, and none is the laboratory's."""

from __future__ import annotations

import contextlib
import itertools
import socket
import subprocess
import sys
from pathlib import Path

import pytest

from quincepier.lab.fleet.loopback_addresses import MAX_FRONTS, MAX_PEERS, front_address, pair_address
from tests import loopback
from tests.loopback import (
    BLOCK_COUNT,
    BLOCK_PORTS,
    BLOCK_SIZE,
    FIRST_ADDRESS,
    FIRST_SHARED_PORT,
    SHARED_PORTS_PER_BLOCK,
    allocate_address,
    allocate_port,
    claim_block,
)


def number(address: str) -> int:
    return int.from_bytes(socket.inet_aton(address), "big")


def test_no_address_is_allocated_twice() -> None:
    found = list(itertools.islice(iter(allocate_address, None), BLOCK_SIZE + 10))
    assert len(set(found)) == len(found)
    assert {port for _, port in found} <= set(BLOCK_PORTS)
    first = {number(address) // BLOCK_SIZE for address, _ in found}
    assert len(first) == 1, "all are in one block"
    with socket.create_server(found[0]) as server, socket.create_connection(found[0]):
        assert server.getsockname() == found[0]


def test_ports_at_the_shared_addresses_are_below_those_of_connections() -> None:
    ports = [allocate_port() for _ in range(SHARED_PORTS_PER_BLOCK)]
    assert len(set(ports)) == SHARED_PORTS_PER_BLOCK and allocate_port() == ports[0]
    low, high = Path("/proc/sys/net/ipv4/ip_local_port_range").read_text().split()
    assert max(BLOCK_PORTS) < FIRST_SHARED_PORT <= min(
        ports
    ) and FIRST_SHARED_PORT + BLOCK_COUNT * SHARED_PORTS_PER_BLOCK <= int(low) < int(high)


def test_concurrent_processes_share_no_address() -> None:
    code = "from tests.loopback import *; print(allocate_address()[0], allocate_port(), flush=True); input()"
    command = [sys.executable, "-c", code]
    pipe = subprocess.PIPE
    others = [subprocess.Popen(command, stdin=pipe, stdout=pipe, text=True) for _ in range(3)]
    try:
        told = [other.stdout.readline().split() for other in others if other.stdout is not None]
        told.append([allocate_address()[0], str(allocate_port())])
        assert len({number(address) // BLOCK_SIZE for address, _ in told}) == 4
        assert len({(int(port) - FIRST_SHARED_PORT) // SHARED_PORTS_PER_BLOCK for _, port in told}) == 4
    finally:
        for other in others:
            other.communicate("\n")


def test_no_block_is_shared_when_all_are_held(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(loopback, "BLOCK_COUNT", 1)
    with contextlib.ExitStack() as stack:
        with contextlib.suppress(RuntimeError):  # another run may hold it
            stack.enter_context(claim_block()[1])
        with pytest.raises(RuntimeError, match="all 1 blocks"):
            claim_block()


@pytest.mark.parametrize("other", [0, 1, MAX_PEERS - 1])
def test_no_address_belongs_to_the_laboratory(other: int) -> None:
    for front in (0, 1, MAX_FRONTS - 1):
        for address in (front_address(front), pair_address(front, other)):
            assert not FIRST_ADDRESS <= number(address) < FIRST_ADDRESS + BLOCK_COUNT * BLOCK_SIZE
    before, after = front_address(MAX_FRONTS - 1), pair_address(0, 0)
    assert (
        number(before) < FIRST_ADDRESS and number(after) >= FIRST_ADDRESS + BLOCK_COUNT * BLOCK_SIZE
    ), "the test processes' addresses lie between the laboratory's"
