"""Addresses of a test process's own: no two the same, in it or beside it, none of the laboratory's."""

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
from tests.loopback import BLOCKS, EACH, FROM, PORTS, SHARED, SIZE, claim, own_address, own_port


def number(address: str) -> int:
    return int.from_bytes(socket.inet_aton(address), "big")


def test_none_comes_twice() -> None:
    found = list(itertools.islice(iter(own_address, None), SIZE + 10))
    assert len(set(found)) == len(found)
    assert {port for _, port in found} <= set(PORTS)
    first = {number(address) // SIZE for address, _ in found}
    assert len(first) == 1, "all are of one block"
    with socket.create_server(found[0]) as server, socket.create_connection(found[0]):
        assert server.getsockname() == found[0]


def test_ports_at_the_shared_addresses_are_below_those_of_connections() -> None:
    mine = [own_port() for _ in range(EACH)]
    assert len(set(mine)) == EACH and own_port() == mine[0]
    low, high = Path("/proc/sys/net/ipv4/ip_local_port_range").read_text().split()
    assert max(PORTS) < SHARED <= min(mine) and SHARED + BLOCKS * EACH <= int(low) < int(high)


def test_processes_beside_each_other_have_none_in_common() -> None:
    code = "from tests.loopback import *; print(own_address()[0], own_port(), flush=True); input()"
    command = [sys.executable, "-c", code]
    pipe = subprocess.PIPE
    others = [subprocess.Popen(command, stdin=pipe, stdout=pipe, text=True) for _ in range(3)]
    try:
        told = [other.stdout.readline().split() for other in others if other.stdout is not None]
        told.append([own_address()[0], str(own_port())])
        assert len({number(address) // SIZE for address, _ in told}) == 4
        assert len({(int(port) - SHARED) // EACH for _, port in told}) == 4
    finally:
        for other in others:
            other.communicate("\n")


def test_where_all_are_held_nobody_shares(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(loopback, "BLOCKS", 1)
    with contextlib.ExitStack() as stack:
        with contextlib.suppress(RuntimeError):  # it may be another run's
            stack.enter_context(claim()[1])
        with pytest.raises(RuntimeError, match="all 1 blocks"):
            claim()


@pytest.mark.parametrize("other", [0, 1, MAX_PEERS - 1])
def test_none_is_the_laboratorys(other: int) -> None:
    for front in (0, 1, MAX_FRONTS - 1):
        for address in (front_address(front), pair_address(front, other)):
            assert not FROM <= number(address) < FROM + BLOCKS * SIZE
    before, after = front_address(MAX_FRONTS - 1), pair_address(0, 0)
    assert number(before) < FROM and number(after) >= FROM + BLOCKS * SIZE, "what lies between is ours"
