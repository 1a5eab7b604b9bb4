"""All descriptors are in use, and RLIMIT_NOFILE equals the front's own limit: what is still served."""

from __future__ import annotations

import asyncio
import os
import resource
import signal
import socket
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path

import pytest

from tests.frontkit import SETTINGS, host
from tests.limitkit import (
    add_machines,
    connect_idle_clients,
    count_open_descriptors,
    object_id,
    ping_request,
    play_with_descriptors,
    stop_and_read_counters,
)
from tests.standins import Behaviour, Client, Front, ReceivedCommand, until


def answer_hit(command: ReceivedCommand) -> None:
    command.respond_with_data()


def fleet(edge: Behaviour = answer_hit) -> dict[str, Behaviour]:
    return {"s-1": edge, "p-1": answer_hit, "o-1": answer_hit}


def set_descriptor_limit(limit: int, front: Front) -> None:
    """Set RLIMIT_NOFILE of the running front."""
    assert front.process is not None
    hard = resource.prlimit(front.process.pid, resource.RLIMIT_NOFILE)[1]
    resource.prlimit(front.process.pid, resource.RLIMIT_NOFILE, (limit, hard))


def lowest_free_descriptor(front: Front) -> int:
    assert front.process is not None
    used = {int(name) for name in os.listdir(f"/proc/{front.process.pid}/fd")}
    return next(n for n in range(len(used) + 1) if n not in used)


@contextmanager
def hanging_address() -> Iterator[str]:
    """Yield an address at which connects hang: its backlog is full."""
    with socket.socket() as server:
        server.bind(("127.0.0.1", 0))
        server.listen(0)
        address = server.getsockname()
        fill = [socket.socket() for _ in range(4)]
        for sock in fill:
            sock.setblocking(False)
            sock.connect_ex(address)
        yield "{}:{}".format(*address)
        for sock in fill:
            sock.close()


def test_evicted_connections_are_closed_before_new_ones_are_opened(tmp_path: Path) -> None:
    """Twenty idle cache connections use all descriptors; then requests go to machines without one."""

    async def scenario(front: Front) -> None:
        await add_machines(front, 59)
        await connect_idle_clients(front, 19)
        client, edge = await front.connect_client(), front.caches["s-1"]
        for n in range(1, 61):  # each object is a known hit from now on, on a machine of its own
            client.send_request(n, HTTP_X_ITEM=object_id(n))
            assert (await client.wait_for_response(n)).status == 200
        assert edge.open_count >= 18
        for n in range(1, 19):
            client.send_request(100 + n, HTTP_X_ITEM=object_id(n))
        for n in range(1, 19):
            assert (await client.wait_for_response(100 + n)).status == 200
        counts = await stop_and_read_counters(front)
        assert "cache_connections_reset" not in counts and "accept_failed" not in counts, counts

    play_with_descriptors(tmp_path, fleet(), scenario, 64)


@pytest.mark.parametrize("sockets", [64, 96, 256])
def test_with_all_descriptors_used_a_drain_is_received_when_discovery_returns(
    tmp_path: Path, sockets: int
) -> None:
    """Idle clients hold half of the descriptors, hanging dials the rest; the change log keeps its own."""
    usable = (sockets - 24) // 2
    settings = SETTINGS | {"limits": SETTINGS["limits"] | {"dial_timeout": 1_500_000_000}}

    async def scenario(front: Front) -> None:
        with hanging_address() as hanging:
            last = front.change_log.add_event(
                fleet={"seq": 1, "whole": False, "hosts": [host(f"s-{n}", hanging) for n in range(9, 99)]}
            )
            await until(lambda: front.change_log.poll_positions[-1] >= last, "the endpoint list is read")
            port = front.change_log.address
            assert front.change_log.server is not None
            front.change_log.server.close()  # no new connection, and the open one ends at the next poll
            front.change_log.raw_responses.append(b"")
            await until(
                lambda: front.has_logged("change_log_poll_failed: ConnectionRefused"), "discovery is down"
            )
            await connect_idle_clients(front, usable + 5)
            asking = await front.connect_client()
            for n in range(1, 33):
                asking.send_request(n, HTTP_X_ITEM=object_id(n))
            more = [await front.connect_client() for _ in range(3)]
            for at, client in enumerate(more):
                for n in range(1, 33):
                    client.send_request(
                        n, HTTP_X_ITEM=object_id(100 * at + n + 50), HTTP_X_JOB_ID=f"{at + 1:08x}{n:08x}"
                    )
            front.send_signal(signal.SIGHUP)  # opens a file while all descriptors are in use
            await until(lambda: front.has_logged("configuration reloaded"), "the configuration is read")
            assert count_open_descriptors(front) <= sockets
            newest = await front.connect_client()
            newest.send(ping_request(1))
            assert (await newest.wait_for_response(1)).status == 200
            leaving = front.change_log.add_event(
                fleet={"seq": 2, "whole": False,
                       "hosts": [host("s-1", front.caches["s-1"].address, health="DRAINING")]}
            )  # fmt: skip
            name, number = port.rsplit(":", 1)
            front.change_log.server = await asyncio.start_server(front.change_log._serve, name, int(number))
            loop = asyncio.get_running_loop()
            returned_at, before = loop.time(), len(front.change_log.poll_positions)
            for round in range(8):  # dials still hang when the change log is read again
                asking.send_request(200 + round, HTTP_X_ITEM=object_id(400 + round))
            await until(
                lambda: front.change_log.poll_positions[before:][-1:] >= [leaving], "the drain is read"
            )
            assert loop.time() - returned_at < 4  # the longest pause is 0.75 s; a drain's grace two
            assert not front.has_logged("Too many open files") and not front.has_logged("accept_failed")
            counts = await stop_and_read_counters(front)
            assert counts["cache_connect_timeouts"] >= 20, counts

    play_with_descriptors(tmp_path, fleet(), scenario, sockets, settings=settings)


def test_clients_in_the_backlog_are_served_once_a_descriptor_is_free(tmp_path: Path) -> None:
    """The system has no descriptor for a while: the front logs that a few times and loses no client."""

    async def scenario(front: Front) -> None:
        early = await front.connect_client()
        early.send(ping_request(1))
        assert (await early.wait_for_response(1)).status == 200
        set_descriptor_limit(lowest_free_descriptor(front), front)
        waiting = [await Client.connect(front.address) for _ in range(5)]  # they stay in the backlog
        front.clients += waiting
        for client in waiting:
            client.send(ping_request(1))
        await until(lambda: sum("accept_failed" in line for line in front.log_lines) >= 20, "accepts fail")
        for n in range(2, 60):  # meanwhile the front serves, and the event is not logged without end
            early.send(ping_request(n))
            assert (await early.wait_for_response(n)).status == 200
        assert sum("accept_failed" in line for line in front.log_lines) <= 21  # the last is in the counters
        set_descriptor_limit(64, front)
        for client in waiting:
            assert (await client.wait_for_response(1)).status == 200

    play_with_descriptors(tmp_path, fleet(), scenario, 64)
