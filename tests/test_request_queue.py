"""Requests that were read and that the module has not taken yet: taken back, waiting, out of time."""

from __future__ import annotations

import asyncio
import socket
from pathlib import Path

import pytest

from quincepier.net.client_connection import ClientConnection
from quincepier.net.messages import RequestArrived
from tests.fcgikit import ABORT, encode_record, encode_request, params
from tests.limitkit import object_id, play_with_descriptors, stop_and_read_counters
from tests.standins import Behaviour, Front, ReceivedCommand, until
from tests.test_idle import PING, Peer, make_manager, on_loop

FLOODERS, FLOOD_REQUESTS = 12, 200
USUAL_REQUESTS = 60


def flood(first: int, count: int = FLOOD_REQUESTS) -> bytes:
    """Whole requests, each with its abort right behind it."""
    pairs = [
        encode_request(n % 30 + 1, params(object_id(first + n), HTTP_X_ITEM=object_id(first + n)))
        + encode_record(ABORT, n % 30 + 1)
        for n in range(count)
    ]
    return b"".join(pairs)


def answer_hit(command: ReceivedCommand) -> None:
    command.respond_with_data()


# Taken back


def test_requests_taken_back_while_they_wait_leave_nothing_to_the_module() -> None:
    """Guards against a queue full of requests that nobody waits for, each with a message ahead of others."""

    async def scenario() -> None:
        manager = make_manager()
        peer = Peer(manager)
        peer.sock.send(flood(1, 60))
        await until(
            lambda: peer.connection.has_requested and peer.connection.socket_empty_at_ns > 0, "all is read"
        )
        assert not len(manager.module) and not manager.body_bytes and not peer.connection.has_open_requests
        peer.connection.close()

    on_loop(scenario)


def test_a_client_that_leaves_takes_its_waiting_requests_with_it() -> None:
    async def scenario() -> None:
        manager = make_manager()
        peer = Peer(manager)
        peer.sock.send(b"".join(encode_request(n, params(f"{n:016x}"), b"offer") for n in (1, 2, 3)))
        await until(lambda: len(manager.module.new_work) == 3, "the requests are read")
        taken = manager.module.take()
        assert isinstance(taken, RequestArrived)
        taken.request.number = 1
        waiting = [m.request for m in manager.module.new_work if isinstance(m, RequestArrived)]
        peer.sock.close()
        await until(lambda: peer.connection.is_closed, "the disconnect is noticed")
        assert not manager.module.new_work and not manager.body_bytes
        assert all(request.is_cancelled and request.is_finished for request in waiting)
        assert len(manager.module.queue) == 1 and taken.request.is_cancelled  # it is told of the taken one

    on_loop(scenario)


def test_nothing_more_is_read_from_a_client_that_has_left(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against turns spent on megabytes of requests whose client has closed its connection."""

    async def scenario() -> None:
        manager = make_manager()
        peer = Peer(manager)
        peer.sock.send(PING)
        await until(lambda: peer.answered(1), "the connection is up")
        reads = list[ClientConnection]()
        monkeypatch.setattr(ClientConnection, "receive", reads.append)
        peer.sock.send(flood(1, 60))
        peer.sock.close()
        await until(lambda: peer.connection.is_closed, "the disconnect is noticed")
        assert not len(manager.module) and not reads

    on_loop(scenario)


def test_usual_requests_are_taken_beside_a_flood_of_requests_taken_back(tmp_path: Path) -> None:
    """The flood fills no queue: no usual request is turned away for it, and each has its final answer."""

    async def scenario(front: Front) -> None:
        loop, client = asyncio.get_running_loop(), await front.connect_client()
        socks = [socket.create_connection(front.address) for _ in range(FLOODERS)]

        async def send_flood(sock: socket.socket, first: int) -> None:
            data = flood(first)
            sock.setblocking(False)
            while True:
                await loop.sock_sendall(sock, data)

        tasks = [asyncio.create_task(send_flood(s, FLOOD_REQUESTS * n)) for n, s in enumerate(socks, 1)]
        for n in range(1, USUAL_REQUESTS + 1):
            client.send_request(n, "bid", HTTP_X_ITEM=object_id(n))
            assert (await client.wait_for_response(n)).protocol_status is not None
        for task, sock in zip(tasks, socks, strict=True):
            task.cancel()
            sock.close()
        counters = await stop_and_read_counters(front)
        assert "request_rejected_queue_full" not in counters, counters

    fleet: dict[str, Behaviour] = dict.fromkeys(("s-1", "p-1", "o-1"), answer_hit)
    play_with_descriptors(tmp_path, fleet, scenario, 128)
