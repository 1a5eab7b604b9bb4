"""What lies in a socket, or happens to it, as the front has stood still or has not got to it yet."""

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
from quincepier.net.messages import Answer, Came
from quincepier.net.probe import Probe
from quincepier.net.watch import POLL_GRACE, POLL_MS
from quincepier.wire import lines
from tests.attemptkit import Inside, answer, on_loop
from tests.fcgikit import encode_request, params
from tests.standins import until
from tests.test_idle import Peer, make_manager
from tests.virtual import VirtualLoop
from tests.watchkit import Rig, body, http, play

LARGE = os.urandom(480_000)
ONE = ("s-1", "o-1")
TURNS = 8  # of the loop, more than any close takes
LIMIT, STANDSTILL = 0.1, 0.25  # seconds: allowed to a dial, and without CPU


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
        manager.pool.max_buffers = 1000
        peer = Peer(manager)
        connection = peer.connection
        peer.sock.send(encode_request(1, params("1" * 16)))
        await until(lambda: bool(manager.module.last), "it is asked")
        message = manager.module.take()
        assert isinstance(message, Came)
        large = PooledBody.allocate(manager.pool, len(LARGE))
        assert large is not None
        large.append(LARGE)
        seen = list[bool]()

        def cross() -> None:
            """In the turn in which the answer did not fit, before the task that takes the rest has begun."""
            seen.append(connection.write_task is not None and not connection.is_closed)
            act(peer.sock)
            connection.receive()

        message.request.receiver.push(Answer(message.request, 200, large))
        asyncio.get_running_loop().call_soon(cross)

        def is_closed() -> bool:
            if act is sends_what_is_no_record:  # its answer goes out first: it is taken here
                peer.read()
            return connection.is_closed

        await until(is_closed, "its end is read")
        assert seen == [True]
        if act is sends_what_is_no_record:
            assert peer.reader.response_by_request[1].body == LARGE
            peer.sock.close()  # the front has ended its side
        for _ in range(TURNS):
            await asyncio.sleep(0)
        assert connection.sock.fileno() < 0, "its socket is closed"
        assert not manager.connections and manager.descriptors.clients == 0 and manager.pool.used == 1

    on_loop(scenario)


class Standstill(socket.socket):
    """The front has no CPU from the moment on in which the connect is under way; the system goes on."""

    def connect(self, address: object) -> None:
        try:
            super().connect(address)  # type: ignore[arg-type]
        finally:
            time.sleep(STANDSTILL)


Dial = Callable[[tuple[str, int], float], "asyncio.Future[socket.socket]"]


def over_one(address: tuple[str, int], timeout: float) -> asyncio.Future[socket.socket]:
    return asyncio.ensure_future(sockets.connect(address, timeout, Checks()))


def in_a_race(address: tuple[str, int], timeout: float) -> asyncio.Future[socket.socket]:
    return asyncio.ensure_future(dial(parse("{}:{}".format(*address)), timeout))


@pytest.mark.parametrize("begin", [over_one, in_a_race])
def test_a_connection_that_came_up_while_the_front_stood_still_is_up(
    monkeypatch: pytest.MonkeyPatch, begin: Dial
) -> None:
    monkeypatch.setattr(socket, "socket", Standstill)

    async def scenario() -> None:
        with socket.create_server(("127.0.0.1", 0)) as server:
            sock = await begin(server.getsockname(), LIMIT)
            assert sock.getpeername() == server.getsockname()
            assert sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY)
            sock.close()

    on_loop(scenario)


@pytest.mark.parametrize("begin", [over_one, in_a_race])
def test_one_that_nobody_waits_for_any_more_or_that_is_not_up_stays_none(
    monkeypatch: pytest.MonkeyPatch, begin: Dial
) -> None:
    async def scenario() -> None:
        with socket.create_server(("127.0.0.1", 0), backlog=0) as server:
            with monkeypatch.context() as patch:
                patch.setattr(socket, "socket", Standstill)
                called_off = begin(server.getsockname(), LIMIT)
                asyncio.get_running_loop().call_later(STANDSTILL / 2, called_off.cancel)  # due within it
                with pytest.raises(asyncio.CancelledError):
                    await called_off
            fill = [socket.socket() for _ in range(4)]  # the system takes no more for this listener
            for sock in fill:
                sock.setblocking(False)
                sock.connect_ex(server.getsockname())
            with pytest.raises(TimeoutError):
                await begin(server.getsockname(), LIMIT)
            for sock in fill:
                sock.close()

    on_loop(scenario)


@pytest.mark.parametrize("size", [5, 48_000, None])
def test_an_answer_that_is_there_as_its_time_is_up_counts(size: int | None) -> None:
    """Loops run timers before they look at sockets: behind a standstill both are due at once."""

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
        inside = Inside(ONE)
        request = inside.ask()
        wire = await inside.out(request)
        cache = inside.cache("s-1")
        (attempt,), (connection,), (time_is_up,) = cache.out, cache.connections, timers
        if size is not None:
            wire.answer(request.job_id, b"b" * size)
        time_is_up()  # the loop has not looked since
        await asyncio.sleep(0)
        assert attempt not in cache.out, "its end waits for no more than a turn"
        await until(lambda: bool(inside.endings(request)), "the module hears")
        assert inside.endings(request)[0] is (AttemptOutcome.TIMEOUT if size is None else AttemptOutcome.OK)
        if size is not None:
            assert await inside.status(request) == 200 and not inside.cancels(request)
            assert not inside.checks.counts["late_responses_dropped"]
            assert cache.connections == [connection] and not connection.doubtful
        inside.left(request)
        await inside.settled()

    on_loop(scenario)


@pytest.mark.parametrize("there", ["all", "half", "nothing"])
def test_news_that_lie_in_the_socket_as_the_time_of_the_poll_is_up_are_taken(
    monkeypatch: pytest.MonkeyPatch, there: str
) -> None:
    async def story(rig: Rig) -> None:
        ask, news = await rig.log.asked(1), http(body(2))
        if there != "nothing":
            ask.writer.write(news if there == "all" else news[:40])
        loop = asyncio.get_running_loop()
        assert isinstance(loop, VirtualLoop)
        loop.jumping.ahead += 2 * (POLL_MS / 1000 + POLL_GRACE)  # the front stands still
        again = await rig.log.asked(2)
        lost = there != "all"
        assert (again.since, again.connection) == ((1, 2) if lost else (2, 1))
        assert rig.checks.counts["change_log_poll_failed"] == lost
        again.tell(*range(again.since + 1, 4))
        await rig.told(2, 3)

    play(monkeypatch, story)


@pytest.mark.parametrize("size", [5, 100_000])
def test_an_answer_that_is_there_whole_counts_though_a_write_meets_the_reset_behind_it_first(
    size: int,
) -> None:
    async def scenario() -> None:
        inside = Inside(ONE)
        request = inside.ask()
        wire = await inside.out(request)
        (connection,) = inside.cache("s-1").connections
        assert connection.sock is not None
        connection.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 2 * size + 4096)
        text = answer(request.job_id, b"b" * size)
        there = list[int]()

        def cross(sock: socket.socket) -> None:
            wire.say(text)
            wire.reset()
            there.append(len(sock.recv(2 * size + 4096, socket.MSG_PEEK)))

        asyncio.get_running_loop().call_soon(cross, connection.sock)
        connection.writer.add(
            Probe("behind", clock.now()), lines.cancel("f" * 16)
        )  # goes out right behind it, in the same turn
        assert await inside.status(request) == 200
        assert inside.endings(request) == [AttemptOutcome.OK] and there == [len(text)]
        await inside.settled()

    on_loop(scenario)
