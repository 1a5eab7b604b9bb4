"""Partly sent commands that cross with the end of their connection or their attempt."""

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
from quincepier.net.messages import CancelCommand
from tests.attemptkit import BID, LARGE, FrontHarness, Wire, run_on_uvloop
from tests.standins import until

ONE = ("s-1", "o-1")


@pytest.fixture
def small_send_buffers(monkeypatch: pytest.MonkeyPatch) -> None:
    """Send buffers that hold a small part of the largest command."""

    async def connect(address: tuple[str, int], timeout: float, checks: Checks) -> socket.socket:
        sock = await plain_connect(address, timeout, checks)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
        return sock

    plain_connect = sockets.connect
    monkeypatch.setattr("quincepier.net.connection.connect", connect)


async def send_part(harness: FrontHarness) -> tuple[Wire, Connection, OpenRequest]:
    """Send a part of the command of a bid; its machine does not read."""
    harness.machines["o-1"].is_reading_paused = True
    request = harness.submit(BID, body=LARGE)
    await until(lambda: any(c.started for c in harness.connections()), "a part of the command is sent")
    (connection,) = harness.connections()
    harness.poll()
    (wire,) = harness.machines["o-1"].wires
    return wire, connection, request


@pytest.mark.usefixtures("small_send_buffers")
def test_a_command_given_up_in_the_middle_goes_out_whole_then_its_cancel() -> None:
    async def scenario() -> None:
        harness = FrontHarness(ONE)
        wire, connection, request = await send_part(harness)
        harness.disconnect_client(request)
        await until(
            lambda: harness.outcomes(request) == [AttemptOutcome.CANCELLED], "the attempt is cancelled"
        )
        assert not connection.is_idle
        harness.machines["o-1"].is_reading_paused = False
        other = await harness.serve_one(BID)  # not inside the partly sent command
        assert other is not wire
        wire.is_reading_paused = False
        tail = LARGE[-10:] + b"\r\ncancel %b\r\n" % request.job_id.encode()
        await until(lambda: harness.received(wire).endswith(tail), "the whole command and its cancel arrive")
        await harness.assert_settled()

    run_on_uvloop(scenario)


@pytest.mark.usefixtures("small_send_buffers")
@pytest.mark.parametrize("first", ["the write", "the read"])
def test_a_write_whose_command_broke_off_in_the_middle_is_not_sent_again(
    monkeypatch: pytest.MonkeyPatch, first: str
) -> None:
    async def never(self: Connection, sock: socket.socket) -> None:
        await asyncio.get_running_loop().create_future()

    if first == "the write":  # finds the connection broken, as the reader is held back
        monkeypatch.setattr(Connection, "_read", never)

    async def scenario() -> None:
        harness = FrontHarness(ONE)
        wire, _, request = await send_part(harness)
        harness.machines["o-1"].is_reading_paused = False
        wire.reset()
        assert await harness.wait_for_status(request) == 502
        assert harness.outcomes(request) == [AttemptOutcome.RESET]
        assert len(harness.machines["o-1"].wires) == 1
        await harness.assert_settled()

    run_on_uvloop(scenario)


@pytest.mark.usefixtures("small_send_buffers")
def test_a_connection_on_which_only_cancels_wait_is_closed() -> None:
    async def scenario() -> None:
        harness = FrontHarness(ONE)
        _, connection, request = await send_part(harness)
        harness.disconnect_client(request)
        await until(
            lambda: harness.outcomes(request) == [AttemptOutcome.CANCELLED], "the attempt is cancelled"
        )
        connection.is_retired = True  # as if nothing had been read for long
        harness.sweep()
        await until(lambda: not harness.connections(), "its descriptor is released")
        await harness.assert_settled()

    run_on_uvloop(scenario)


def test_a_connection_whose_end_was_read_in_this_turn_takes_no_write(monkeypatch: pytest.MonkeyPatch) -> None:
    plain_on_readable, actions = Connection._on_readable, list[Callable[[Connection], None]]()

    def on_readable(self: Connection, loop: asyncio.AbstractEventLoop, sock: socket.socket) -> None:
        # The reader runs next; before it does, an attempt is queued on this connection.
        plain_on_readable(self, loop, sock)
        if actions:
            actions.pop()(self)

    monkeypatch.setattr(Connection, "_on_readable", on_readable)

    async def scenario() -> None:
        harness = FrontHarness(ONE)
        wire, requests = await harness.serve_one(BID), list[OpenRequest]()

        def queue_attempt(connection: Connection) -> None:
            requests.append(harness.submit(BID))
            harness.handle_next("o-1")
            assert requests[0].job_id in connection.awaited_by_id

        actions.append(queue_attempt)
        wire.close()
        await until(lambda: bool(requests), "the end of the connection is readable")
        (await harness.wait_for_command(requests[0])).respond(requests[0].job_id)
        assert await harness.wait_for_status(requests[0]) == 200
        assert harness.outcomes(requests[0]) == [AttemptOutcome.NOT_PROCESSED, AttemptOutcome.OK]
        await harness.assert_settled()

    run_on_uvloop(scenario)


async def fill_send_buffer(harness: FrontHarness) -> tuple[Wire, Connection]:
    """Return an idle connection whose machine does not read and whose socket takes no more bytes."""
    wire = await harness.serve_one(BID)
    wire.is_reading_paused = True
    (connection,) = [c for c in harness.connections() if c.is_idle]
    sock = connection.sock
    assert sock is not None
    await asyncio.sleep(0)  # the reader has finished
    try:
        while True:
            sock.send(b"cancel 0000000000000000\r\n" * 1000)
    except BlockingIOError:
        return wire, connection


@pytest.mark.parametrize("how", ["gone", "called off"])
def test_nothing_begins_behind_a_socket_that_took_nothing_until_its_client_had_left(how: str) -> None:
    async def scenario() -> None:
        harness = FrontHarness(ONE)
        wire, connection = await fill_send_buffer(harness)
        request = harness.submit(BID)
        await until(lambda: request.job_id in connection.awaited_by_id, "the command waits there")
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        if how == "gone":
            request.cancel(clock.now())  # the message for the router is queued later
        else:
            harness.disconnect_client(request)
            await until(lambda: harness.outcomes(request) != [], "the attempt is cancelled")
        wire.is_reading_paused = False
        await until(
            lambda: bool(harness.received(wire)) and not connection.outgoing, "the socket takes bytes again"
        )
        await harness.serve_one(BID)
        assert not harness.serve_wires(request) and not harness.count_cancels(request)
        harness.disconnect_client(request)
        await harness.assert_settled()

    run_on_uvloop(scenario)


class BlockedSocket(socket.socket):
    """A socket that takes no byte while `takes_nothing` is set."""

    takes_nothing = False

    def send(self, data: object, flags: int = 0) -> int:
        if BlockedSocket.takes_nothing:
            raise BlockingIOError
        return super().send(data, flags)  # type: ignore[arg-type]


@pytest.mark.parametrize("end", ["written", "closed"])
def test_an_attempt_called_off_has_ended_once_its_cancel_is_out_or_its_connection_closed(
    monkeypatch: pytest.MonkeyPatch, end: str
) -> None:
    """Where no second copy is allowed, none starts before the first is cancelled at its machine."""
    monkeypatch.setattr(socket, "socket", BlockedSocket)

    async def scenario() -> None:
        harness = FrontHarness(ONE)
        request = harness.submit(BID)
        wire = await harness.wait_for_command(request)
        monkeypatch.setattr(BlockedSocket, "takes_nothing", True)
        harness.cache("o-1").mailbox.push(CancelCommand(request.attempts[0]))
        for _ in range(20):
            await asyncio.sleep(0)
        assert harness.outcomes(request) == []
        if end == "closed":
            wire.close()
        else:
            monkeypatch.setattr(BlockedSocket, "takes_nothing", False)
        await until(lambda: bool(harness.outcomes(request)), "the attempt has ended")
        assert harness.outcomes(request) == [AttemptOutcome.CANCELLED]
        monkeypatch.setattr(BlockedSocket, "takes_nothing", False)
        assert harness.count_cancels(request) == (end == "written")
        await harness.wait_for_status(request)
        await harness.assert_settled()

    run_on_uvloop(scenario)


def test_the_cancel_of_an_attempt_is_out_in_the_turn_in_which_it_ends() -> None:
    """An attempt that replaces it, over whichever connection, is sent later."""

    async def scenario() -> None:
        harness = FrontHarness(ONE)
        request = harness.submit(BID)
        await harness.wait_for_command(request)
        cache = harness.cache("o-1")
        cache.handle_safely(CancelCommand(request.attempts[0]))
        assert request.attempts[0].is_completed and harness.count_cancels(request) == 1
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
        connection.is_closing = True  # the end of the connection was read in this turn
        cache.handle_safely(CancelCommand(attempt))
        assert not attempt.is_completed
        wire.close()
        await until(lambda: attempt.is_completed, "the attempt has ended")
        assert connection.sock is not None and connection.sock.fileno() < 0, "the socket was closed before"
        await until(lambda: bool(harness.outcomes(request)), "its outcome is reported")
        assert harness.outcomes(request) == [AttemptOutcome.CANCELLED]
        await harness.wait_for_status(request)
        await harness.assert_settled()

    run_on_uvloop(scenario)
