"""What lies in a socket, or happens to it, as the front has stood still or has not got to it yet."""

from __future__ import annotations

import asyncio
import os
import socket
from collections.abc import Callable

import pytest

from quincepier.memory.pool import Body
from quincepier.net.messages import Answer, Came
from tests.attemptkit import on_loop
from tests.fcgikit import call, params
from tests.standins import until
from tests.test_idle import Peer, make_manager

LARGE = os.urandom(480_000)
TURNS = 8  # of the loop, more than any close takes


def ends(peer: socket.socket) -> None:
    peer.close()


def sends_what_is_no_record(peer: socket.socket) -> None:
    peer.send(b"\xff" * 64)


@pytest.mark.parametrize("act", [ends, sends_what_is_no_record])
def test_a_client_that_goes_before_the_rest_of_its_answer_is_begun_leaves_no_socket(
    act: Callable[[socket.socket], None],
) -> None:
    async def scenario() -> None:
        manager = make_manager()
        manager.pool.most = 1000
        peer = Peer(manager)
        connection = peer.connection
        peer.sock.send(call(1, params("1" * 16)))
        await until(lambda: bool(manager.module.last), "it is asked")
        message = manager.module.take()
        assert isinstance(message, Came)
        body = Body.of_length(manager.pool, len(LARGE))
        assert body is not None
        body.append(LARGE)
        seen = list[bool]()

        def cross() -> None:
            """In the turn in which the answer did not fit, before the task that takes the rest has begun."""
            seen.append(connection.writer is not None and not connection.closed)
            act(peer.sock)
            connection.receive()

        message.request.owner.push(Answer(message.request, 200, body))
        asyncio.get_running_loop().call_soon(cross)
        await until(lambda: connection.closed, "its end is read")
        assert seen == [True]
        for _ in range(TURNS):
            await asyncio.sleep(0)
        assert connection.sock.fileno() < 0, "its socket is closed"
        assert not manager.connections and manager.descriptors.clients == 0 and manager.pool.used == 1

    on_loop(scenario)
