"""Bytes or events on a socket that the front has not read yet, because of a process pause or a busy loop."""

from __future__ import annotations

import asyncio
import os
import socket
import time
from collections.abc import Callable
from functools import partial
from typing import Any

import pytest

from quincepier import clock
from quincepier.addresses import parse
from quincepier.checks import Checks
from quincepier.interface import AttemptOutcome
from quincepier.memory.buffer_pool import PooledBody
from quincepier.memory.open_requests import OpenAttempt
from quincepier.net import sockets
from quincepier.net.dialer import dial
from quincepier.net.messages import RequestArrived, Response
from quincepier.net.probe import Probe
from quincepier.net.watch import POLL_GRACE_S, POLL_TIMEOUT_MS
from quincepier.wire import lines
from tests.attemptkit import FrontHarness, encode_response, run_on_uvloop
from tests.fcgikit import encode_request, params
from tests.standins import until
from tests.test_idle import Peer, make_manager
from tests.virtual import VirtualLoop
from tests.watchkit import WatcherRig, http_response, log_body, run_with_watcher

LARGE = os.urandom(480_000)
ONE = ("s-1", "o-1")
LOOP_ITERATIONS = 8  # more than any close takes
CONNECT_TIMEOUT_S, PAUSE_S = 0.1, 0.25  # the pause exceeds the timeout


def closes(peer: socket.socket) -> None:
    peer.close()


def sends_invalid_record(peer: socket.socket) -> None:
    peer.send(b"\xff" * 64)


@pytest.mark.parametrize("act", [closes, sends_invalid_record])
def test_a_client_that_disconnects_before_the_rest_of_its_response_leaks_no_socket(
    act: Callable[[socket.socket], None],
) -> None:
    async def scenario() -> None:
        manager = make_manager()
        manager.pool.max_buffers = 1000
        peer = Peer(manager)
        connection = peer.connection
        peer.sock.send(encode_request(1, params("1" * 16)))
        await until(lambda: bool(manager.module.new_work), "the request is received")
        message = manager.module.take()
        assert isinstance(message, RequestArrived)
        large = PooledBody.allocate(manager.pool, len(LARGE))
        assert large is not None
        large.append(LARGE)
        seen = list[bool]()

        def cross() -> None:
            """Runs in the loop iteration that could not send all, before the task for the rest starts."""
            seen.append(connection.write_task is not None and not connection.is_closed)
            act(peer.sock)
            connection.receive()

        message.request.receiver.push(Response(message.request, 200, large))
        asyncio.get_running_loop().call_soon(cross)

        def is_closed() -> bool:
            if act is sends_invalid_record:  # the response is sent first, so it must be read here
                peer.read()
            return connection.is_closed

        await until(is_closed, "the end of its connection is read")
        assert seen == [True]
        if act is sends_invalid_record:
            assert peer.reader.response_by_request[1].body == LARGE
            peer.sock.close()  # the front has closed its side
        for _ in range(LOOP_ITERATIONS):
            await asyncio.sleep(0)
        assert connection.sock.fileno() < 0, "its socket is closed"
        assert not manager.connections and manager.descriptors.clients == 0 and manager.pool.used == 1

    run_on_uvloop(scenario)


class PausingSocket(socket.socket):
    """Pauses the process while the connect is in progress; the kernel completes it."""

    def connect(self, address: object) -> None:
        try:
            super().connect(address)  # type: ignore[arg-type]
        finally:
            time.sleep(PAUSE_S)


Connect = Callable[[tuple[str, int], float], "asyncio.Future[socket.socket]"]


def connect_one(address: tuple[str, int], timeout: float) -> asyncio.Future[socket.socket]:
    return asyncio.ensure_future(sockets.connect(address, timeout, Checks()))


def connect_race(address: tuple[str, int], timeout: float) -> asyncio.Future[socket.socket]:
    return asyncio.ensure_future(dial(parse("{}:{}".format(*address)), timeout))


@pytest.mark.parametrize("connect", [connect_one, connect_race])
def test_a_connection_established_during_a_process_pause_is_used(
    monkeypatch: pytest.MonkeyPatch, connect: Connect
) -> None:
    monkeypatch.setattr(socket, "socket", PausingSocket)

    async def scenario() -> None:
        with socket.create_server(("127.0.0.1", 0)) as server:
            sock = await connect(server.getsockname(), CONNECT_TIMEOUT_S)
            assert sock.getpeername() == server.getsockname()
            assert sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY)
            sock.close()

    run_on_uvloop(scenario)


@pytest.mark.parametrize("connect", [connect_one, connect_race])
def test_a_connect_cancelled_or_timed_out_during_a_process_pause_stays_failed(
    monkeypatch: pytest.MonkeyPatch, connect: Connect
) -> None:
    async def scenario() -> None:
        with socket.create_server(("127.0.0.1", 0), backlog=0) as server:
            with monkeypatch.context() as patch:
                patch.setattr(socket, "socket", PausingSocket)
                cancelled = connect(server.getsockname(), CONNECT_TIMEOUT_S)
                asyncio.get_running_loop().call_later(PAUSE_S / 2, cancelled.cancel)  # due within the pause
                with pytest.raises(asyncio.CancelledError):
                    await cancelled
            fill = [socket.socket() for _ in range(4)]  # the kernel accepts no more for this listener
            for sock in fill:
                sock.setblocking(False)
                sock.connect_ex(server.getsockname())
            with pytest.raises(TimeoutError):
                await connect(server.getsockname(), CONNECT_TIMEOUT_S)
            for sock in fill:
                sock.close()

    run_on_uvloop(scenario)


@pytest.mark.parametrize("size", [5, 48_000, None])
def test_a_response_in_the_socket_at_the_deadline_counts(size: int | None) -> None:
    """An event loop runs timers before it polls sockets: after a process pause both are due at once."""

    async def scenario() -> None:
        loop, timers = asyncio.get_running_loop(), list[Callable[[], object]]()
        plain = loop.call_later

        def call_later(
            delay: float, callback: Callable[..., object], *args: Any, **rest: Any
        ) -> asyncio.TimerHandle:
            if args and isinstance(args[0], OpenAttempt):
                timers.append(partial(callback, *args))
            return plain(delay, callback, *args, **rest)

        loop.call_later = call_later  # type: ignore[assignment]
        harness = FrontHarness(ONE)
        request = harness.submit()
        wire = await harness.wait_for_command(request)
        cache = harness.cache("s-1")
        (attempt,), (connection,), (time_out,) = cache.in_flight, cache.connections, timers
        if size is not None:
            wire.respond(request.job_id, b"b" * size)
        time_out()  # the loop has not polled its sockets since
        await asyncio.sleep(0)
        assert attempt not in cache.in_flight, "the attempt completes within a loop iteration"
        await until(lambda: bool(harness.outcomes(request)), "the module is notified")
        assert harness.outcomes(request)[0] is (AttemptOutcome.TIMEOUT if size is None else AttemptOutcome.OK)
        if size is not None:
            assert await harness.wait_for_status(request) == 200 and not harness.count_cancels(request)
            assert not harness.checks.counts["late_responses_dropped"]
            assert cache.connections == [connection] and not connection.is_retired
        harness.disconnect_client(request)
        await harness.assert_settled()

    run_on_uvloop(scenario)


@pytest.mark.parametrize("arrived", ["all", "half", "nothing"])
def test_events_in_the_socket_as_the_poll_times_out_are_delivered(
    monkeypatch: pytest.MonkeyPatch, arrived: str
) -> None:
    async def scenario(rig: WatcherRig) -> None:
        poll, response = await rig.log.wait_for_poll(1), http_response(log_body(2))
        if arrived != "nothing":
            poll.writer.write(response if arrived == "all" else response[:40])
        loop = asyncio.get_running_loop()
        assert isinstance(loop, VirtualLoop)
        loop.virtual_selector.time_s += 2 * (POLL_TIMEOUT_MS / 1000 + POLL_GRACE_S)  # the front is paused
        next_poll = await rig.log.wait_for_poll(2)
        lost = arrived != "all"
        assert (next_poll.since, next_poll.connection_number) == ((1, 2) if lost else (2, 1))
        assert rig.checks.counts["change_log_poll_failed"] == lost
        next_poll.respond(*range(next_poll.since + 1, 4))
        await rig.expect_delivered(2, 3)

    run_with_watcher(monkeypatch, scenario)


@pytest.mark.parametrize("size", [5, 100_000])
def test_a_complete_response_counts_even_if_a_write_sees_the_reset_behind_it_first(
    size: int,
) -> None:
    async def scenario() -> None:
        harness = FrontHarness(ONE)
        request = harness.submit()
        wire = await harness.wait_for_command(request)
        (connection,) = harness.cache("s-1").connections
        assert connection.sock is not None
        connection.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 2 * size + 4096)
        text = encode_response(request.job_id, b"b" * size)
        arrived = list[int]()

        def cross(sock: socket.socket) -> None:
            wire.send(text)
            wire.reset()
            arrived.append(len(sock.recv(2 * size + 4096, socket.MSG_PEEK)))

        asyncio.get_running_loop().call_soon(cross, connection.sock)
        connection.writer.add(
            Probe("behind", clock.now()), lines.cancel("f" * 16)
        )  # goes out right behind it, in the same turn
        assert await harness.wait_for_status(request) == 200
        assert harness.outcomes(request) == [AttemptOutcome.OK] and arrived == [len(text)]
        await harness.assert_settled()

    run_on_uvloop(scenario)
