"""Every descriptor is taken, and the system's limit is the front's own: who is served, and who is heard."""

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
from tests.limitkit import descriptors, ended, idle, item, more_machines, ping, play_at
from tests.standins import Behaviour, Client, Front, ReceivedCommand, until


def hit(asked: ReceivedCommand) -> None:
    asked.respond_with_data()


def fleet(edge: Behaviour = hit) -> dict[str, Behaviour]:
    return {"s-1": edge, "p-1": hit, "o-1": hit}


def open_files(limit: int, front: Front) -> None:
    """What the system allows the running front from now on."""
    assert front.process is not None
    hard = resource.prlimit(front.process.pid, resource.RLIMIT_NOFILE)[1]
    resource.prlimit(front.process.pid, resource.RLIMIT_NOFILE, (limit, hard))


def lowest_free(front: Front) -> int:
    assert front.process is not None
    used = {int(name) for name in os.listdir(f"/proc/{front.process.pid}/fd")}
    return next(n for n in range(len(used) + 1) if n not in used)


@contextmanager
def hanging() -> Iterator[str]:
    """An address at which connections neither come up nor are refused: its backlog is full."""
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


def test_connections_that_go_for_new_ones_are_gone_before_these_come(tmp_path: Path) -> None:
    """Twenty descriptors for caches, all idle; then as many requests in one turn for machines without one."""

    async def scenario(front: Front) -> None:
        await more_machines(front, 59)
        await idle(front, 19)
        client, edge = await front.connect_client(), front.caches["s-1"]
        for n in range(1, 61):  # each object is a known hit from now on, at a machine of its own
            client.send_request(n, HTTP_X_ITEM=item(n))
            assert (await client.wait_for_response(n)).status == 200
        assert edge.open_count >= 18
        for n in range(1, 19):
            client.send_request(100 + n, HTTP_X_ITEM=item(n))
        for n in range(1, 19):
            assert (await client.wait_for_response(100 + n)).status == 200
        counts = await ended(front)
        assert "cache_connections_reset" not in counts and "accept_failed" not in counts, counts

    play_at(tmp_path, fleet(), scenario, 64)


@pytest.mark.parametrize("sockets", [64, 96, 256])
def test_all_is_taken_while_discovery_is_down_and_a_drain_is_heard_at_its_return(
    tmp_path: Path, sockets: int
) -> None:
    """Idle clients hold half of the descriptors, dials that hang the rest; the watch still has its own."""
    usable = (sockets - 24) // 2
    settings = SETTINGS | {"limits": SETTINGS["limits"] | {"dial_timeout": 1_500_000_000}}

    async def scenario(front: Front) -> None:
        with hanging() as nowhere:
            last = front.change_log.add_event(
                fleet={"seq": 1, "whole": False, "hosts": [host(f"s-{n}", nowhere) for n in range(9, 99)]}
            )
            await until(lambda: front.change_log.poll_positions[-1] >= last, "the list is heard")
            port = front.change_log.address
            assert front.change_log.server is not None
            front.change_log.server.close()  # no new connection, and the open one ends at the next poll
            front.change_log.raw_responses.append(b"")
            await until(
                lambda: front.has_logged("change_log_poll_failed: ConnectionRefused"), "discovery is down"
            )
            await idle(front, usable + 5)
            asking = await front.connect_client()
            for n in range(1, 33):
                asking.send_request(n, HTTP_X_ITEM=item(n))
            more = [await front.connect_client() for _ in range(3)]
            for at, client in enumerate(more):
                for n in range(1, 33):
                    client.send_request(
                        n, HTTP_X_ITEM=item(100 * at + n + 50), HTTP_X_JOB_ID=f"{at + 1:08x}{n:08x}"
                    )
            front.send_signal(signal.SIGHUP)  # it opens a file, with all of these taken
            await until(lambda: front.has_logged("configuration reloaded"), "the configuration is read")
            assert descriptors(front) <= sockets
            newest = await front.connect_client()
            newest.send(ping(1))
            assert (await newest.wait_for_response(1)).status == 200
            leaving = front.change_log.add_event(
                fleet={"seq": 2, "whole": False,
                       "hosts": [host("s-1", front.caches["s-1"].address, health="DRAINING")]}
            )  # fmt: skip
            name, number = port.rsplit(":", 1)
            front.change_log.server = await asyncio.start_server(front.change_log._serve, name, int(number))
            loop = asyncio.get_running_loop()
            back, before = loop.time(), len(front.change_log.poll_positions)
            for round in range(8):  # dials go on hanging as the watch comes back
                asking.send_request(200 + round, HTTP_X_ITEM=item(400 + round))
            await until(
                lambda: front.change_log.poll_positions[before:][-1:] >= [leaving], "the drain is heard"
            )
            assert loop.time() - back < 4  # the longest pause is 0.75 s; a drain's grace two
            assert not front.has_logged("Too many open files") and not front.has_logged("accept_failed")
            counts = await ended(front)
            assert counts["cache_connect_timeouts"] >= 20, counts

    play_at(tmp_path, fleet(), scenario, sockets, settings=settings)


def test_who_waits_to_be_accepted_is_served_once_there_is_a_descriptor(tmp_path: Path) -> None:
    """The system has none left for a while: the front says so a few times, and nobody is lost."""

    async def scenario(front: Front) -> None:
        early = await front.connect_client()
        early.send(ping(1))
        assert (await early.wait_for_response(1)).status == 200
        open_files(lowest_free(front), front)
        waiting = [await Client.connect(front.address) for _ in range(5)]  # by the system, in the backlog
        front.clients += waiting
        for client in waiting:
            client.send(ping(1))
        await until(lambda: sum("accept_failed" in line for line in front.log_lines) >= 20, "accepts fail")
        for n in range(2, 60):  # meanwhile the front serves, and the line is not logged for ever
            early.send(ping(n))
            assert (await early.wait_for_response(n)).status == 200
        assert sum("accept_failed" in line for line in front.log_lines) <= 21  # the counters name it once
        open_files(64, front)
        for client in waiting:
            assert (await client.wait_for_response(1)).status == 200

    play_at(tmp_path, fleet(), scenario, 64)
