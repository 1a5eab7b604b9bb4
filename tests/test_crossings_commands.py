"""Commands as they cross what ends their connection or their attempt, some of their bytes out."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable

import pytest

from quincepier import clock
from quincepier.checks import Checks
from quincepier.interface import AttemptOutcome
from quincepier.memory.open_requests import OpenRequest
from quincepier.net import sockets
from quincepier.net.connection import Connection
from quincepier.net.messages import CallOff
from tests.attemptkit import BID, LARGE, FrontHarness, Wire, run_on_uvloop
from tests.standins import until

ONE = ("s-1", "o-1")


@pytest.fixture
def slim(monkeypatch: pytest.MonkeyPatch) -> None:
    """Send buffers that hold a small part of the largest command."""

    async def connect(address: tuple[str, int], timeout: float, checks: Checks) -> socket.socket:
        sock = await plain(address, timeout, checks)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
        return sock

    plain = sockets.connect
    monkeypatch.setattr("quincepier.net.connection.connect", connect)


async def in_part(harness: FrontHarness) -> tuple[Wire, Connection, OpenRequest]:
    """A bid whose command is out to a part; its machine reads no more."""
    harness.machines["o-1"].is_reading_paused = True
    request = harness.submit(BID, body=LARGE)
    await until(lambda: any(c.started for c in harness.connections()), "it has begun")
    (connection,) = harness.connections()
    harness.poll()
    (wire,) = harness.machines["o-1"].wires
    return wire, connection, request


@pytest.mark.usefixtures("slim")
def test_a_command_given_up_in_the_middle_goes_out_whole_then_its_cancel() -> None:
    async def scenario() -> None:
        harness = FrontHarness(ONE)
        wire, connection, request = await in_part(harness)
        harness.disconnect_client(request)
        await until(lambda: harness.outcomes(request) == [AttemptOutcome.CANCELLED], "given up")
        assert not connection.is_idle
        harness.machines["o-1"].is_reading_paused = False
        other = await harness.serve_one(BID)  # not in the middle of that line
        assert other is not wire
        wire.is_reading_paused = False
        tail = LARGE[-10:] + b"\r\ncancel %b\r\n" % request.job_id.encode()
        await until(lambda: harness.received(wire).endswith(tail), "whole, then the cancel")
        await harness.assert_settled()

    run_on_uvloop(scenario)


@pytest.mark.usefixtures("slim")
@pytest.mark.parametrize("first", ["the write", "the read"])
def test_a_write_whose_command_broke_off_in_the_middle_is_not_sent_again(
    monkeypatch: pytest.MonkeyPatch, first: str
) -> None:
    async def never(self: Connection, sock: socket.socket) -> None:
        await asyncio.get_running_loop().create_future()

    if first == "the write":  # hears of the break: the reader is held back
        monkeypatch.setattr(Connection, "_read", never)

    async def scenario() -> None:
        harness = FrontHarness(ONE)
        wire, _, request = await in_part(harness)
        harness.machines["o-1"].is_reading_paused = False
        wire.reset()
        assert await harness.wait_for_status(request) == 502
        assert harness.outcomes(request) == [AttemptOutcome.RESET]
        assert len(harness.machines["o-1"].wires) == 1
        await harness.assert_settled()

    run_on_uvloop(scenario)


@pytest.mark.usefixtures("slim")
def test_a_connection_on_which_only_cancels_wait_is_closed() -> None:
    async def scenario() -> None:
        harness = FrontHarness(ONE)
        _, connection, request = await in_part(harness)
        harness.disconnect_client(request)
        await until(lambda: harness.outcomes(request) == [AttemptOutcome.CANCELLED], "given up")
        connection.is_retired = True  # as where nothing was heard over it for long
        harness.sweep()
        await until(lambda: not harness.connections(), "its descriptor is free again")
        await harness.assert_settled()

    run_on_uvloop(scenario)


def test_a_connection_whose_end_was_read_in_this_turn_takes_no_write(monkeypatch: pytest.MonkeyPatch) -> None:
    plain, late = Connection._on_readable, list[Callable[[Connection], None]]()

    def rung(self: Connection, loop: asyncio.AbstractEventLoop, sock: socket.socket) -> None:
        plain(self, loop, sock)  # its reader will run next; before it does, an attempt takes this connection
        if late:
            late.pop()(self)

    monkeypatch.setattr(Connection, "_on_readable", rung)

    async def scenario() -> None:
        harness = FrontHarness(ONE)
        wire, requests = await harness.serve_one(BID), list[OpenRequest]()

        def asked(connection: Connection) -> None:
            requests.append(harness.submit(BID))
            harness.handle_next("o-1")
            assert requests[0].job_id in connection.awaited_by_id

        late.append(asked)
        wire.close()
        await until(lambda: bool(requests), "the end can be read")
        (await harness.wait_for_command(requests[0])).respond(requests[0].job_id)
        assert await harness.wait_for_status(requests[0]) == 200
        assert harness.outcomes(requests[0]) == [AttemptOutcome.NOT_PROCESSED, AttemptOutcome.OK]
        await harness.assert_settled()

    run_on_uvloop(scenario)


async def crowded(harness: FrontHarness) -> tuple[Wire, Connection]:
    """A connection that is up and at rest, whose machine reads nothing: its socket takes not a byte more."""
    wire = await harness.serve_one(BID)
    wire.is_reading_paused = True
    (connection,) = [c for c in harness.connections() if c.is_idle]
    sock = connection.sock
    assert sock is not None
    await asyncio.sleep(0)  # what was read of it is done with
    try:
        while True:
            sock.send(b"cancel 0000000000000000\r\n" * 1000)
    except BlockingIOError:
        return wire, connection


@pytest.mark.parametrize("how", ["gone", "called off"])
def test_nothing_begins_behind_a_socket_that_took_nothing_until_its_client_had_left(how: str) -> None:
    async def scenario() -> None:
        harness = FrontHarness(ONE)
        wire, connection = await crowded(harness)
        request = harness.submit(BID)
        await until(lambda: request.job_id in connection.awaited_by_id, "it waits there")
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        if how == "gone":
            request.cancel(clock.now())  # its Left stands behind
        else:
            harness.disconnect_client(request)
            await until(lambda: harness.outcomes(request) != [], "it is called off")
        wire.is_reading_paused = False
        await until(lambda: bool(harness.received(wire)) and not connection.outgoing, "it takes bytes again")
        await harness.serve_one(BID)
        assert not harness.serve_wires(request) and not harness.count_cancels(request)
        harness.disconnect_client(request)
        await harness.assert_settled()

    run_on_uvloop(scenario)


class Unwilling(socket.socket):
    """Takes no byte as long as the test says so."""

    takes_nothing = False

    def send(self, data: object, flags: int = 0) -> int:
        if Unwilling.takes_nothing:
            raise BlockingIOError
        return super().send(data, flags)  # type: ignore[arg-type]


@pytest.mark.parametrize("end", ["written", "closed"])
def test_an_attempt_called_off_has_ended_once_its_cancel_is_out_or_its_connection_closed(
    monkeypatch: pytest.MonkeyPatch, end: str
) -> None:
    """Where no second copy is allowed, none begins before the first has been given up at its machine."""
    monkeypatch.setattr(socket, "socket", Unwilling)

    async def scenario() -> None:
        harness = FrontHarness(ONE)
        request = harness.submit(BID)
        wire = await harness.wait_for_command(request)
        monkeypatch.setattr(Unwilling, "takes_nothing", True)
        harness.cache("o-1").mailbox.push(CallOff(request.attempts[0]))
        for _ in range(20):
            await asyncio.sleep(0)
        assert harness.outcomes(request) == []
        if end == "closed":
            wire.close()
        else:
            monkeypatch.setattr(Unwilling, "takes_nothing", False)
        await until(lambda: bool(harness.outcomes(request)), "it has ended")
        assert harness.outcomes(request) == [AttemptOutcome.CANCELLED]
        monkeypatch.setattr(Unwilling, "takes_nothing", False)
        assert harness.count_cancels(request) == (end == "written")
        await harness.wait_for_status(request)
        await harness.assert_settled()

    run_on_uvloop(scenario)


def test_the_cancel_of_an_attempt_is_out_in_the_turn_in_which_it_ends() -> None:
    """What is sent in its place, over whatever connection, comes after it."""

    async def scenario() -> None:
        harness = FrontHarness(ONE)
        request = harness.submit(BID)
        await harness.wait_for_command(request)
        cache = harness.cache("o-1")
        cache.safely(CallOff(request.attempts[0]))
        assert request.attempts[0].is_ended and harness.count_cancels(request) == 1
        await harness.wait_for_status(request)
        await harness.assert_settled()

    run_on_uvloop(scenario)


def test_an_attempt_called_off_as_its_connection_closes_has_ended_once_it_is_closed() -> None:
    async def scenario() -> None:
        harness = FrontHarness(ONE)
        request = harness.submit(BID)
        wire = await harness.wait_for_command(request)
        cache = harness.cache("o-1")
        (connection,) = cache.connections
        (attempt,) = request.attempts
        connection.is_closing = True  # its end has been read in this turn
        cache.safely(CallOff(attempt))
        assert not attempt.is_ended
        wire.close()
        await until(lambda: attempt.is_ended, "it has ended")
        assert connection.sock is not None and connection.sock.fileno() < 0, "the socket was closed before"
        await until(lambda: bool(harness.outcomes(request)), "it is told")
        assert harness.outcomes(request) == [AttemptOutcome.CANCELLED]
        await harness.wait_for_status(request)
        await harness.assert_settled()

    run_on_uvloop(scenario)
