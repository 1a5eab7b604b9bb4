"""An attempt is cancelled when nobody waits for it any more, and closed once its server can no longer run it.

Between the two its server may run it, so no other attempt may start in its place where no second copy is
allowed. Guards against a request that ran twice (experiment quick of quarry-prints, herd+mass): an attempt
counted as completed as soon as its cancel was queued, even if the socket took no bytes.
"""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable
from typing import Any

import pytest

from quincepier import clock
from quincepier.checks import Checks
from quincepier.interface import AttemptOutcome
from quincepier.memory.open_requests import AttemptState, OpenAttempt, OpenRequest
from quincepier.net.command_writer import CommandWriter
from quincepier.net.connection import Connection
from quincepier.net.first_byte_checks import check_first_byte
from quincepier.net.messages import AttemptFinished, CancelCommand
from quincepier.policy.send_permission import Denial, find_denial
from tests.attemptkit import BID, IMAGE, FrontHarness, Wire, run_on_uvloop
from tests.frontkit import Inbox, open_request
from tests.standins import until

TWO = ("s-1", "s-2", "o-1")


class BoundedSocket(socket.socket):
    """A socket that takes a limited number of bytes; None: no limit.

    `next_limit` is the limit of sockets created from now on.
    """

    next_limit: int | None = None

    def __init__(self, *args: Any, **kwargs: Any) -> None:
        super().__init__(*args, **kwargs)
        self.bytes_left = BoundedSocket.next_limit

    def send(self, data: Any, flags: int = 0) -> int:
        if self.bytes_left is None:
            return super().send(data, flags)
        if self.bytes_left <= 0:
            raise BlockingIOError
        sent = super().send(memoryview(data)[: self.bytes_left], flags)
        self.bytes_left -= sent
        return sent


@pytest.fixture(autouse=True)
def _bounded(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(socket, "socket", BoundedSocket)
    monkeypatch.setattr(BoundedSocket, "next_limit", None)


def limit_socket(connection: Connection, bytes_left: int | None) -> None:
    assert isinstance(connection.sock, BoundedSocket)
    connection.sock.bytes_left = bytes_left


async def run_turns(count: int = 20) -> None:
    for _ in range(count):
        await asyncio.sleep(0)


async def cancelled_attempt(
    harness: FrontHarness, bytes_left: int = 0, cls: int = IMAGE, **changes: Any
) -> tuple[OpenRequest, Connection, Wire]:
    """Cancel an attempt whose socket takes only `bytes_left` more bytes."""
    request = harness.submit(cls, **changes)
    wire = await harness.wait_for_command(request)
    attempt = request.attempts[0]
    cache = harness.module.caches[attempt.cache]
    (connection,) = cache.connections
    limit_socket(connection, bytes_left)
    cache.mailbox.push(CancelCommand(attempt))
    await run_turns()
    assert attempt.state is AttemptState.CANCELLED and harness.outcomes(request) == []
    return request, connection, wire


def test_a_cancel_of_which_a_part_is_out_closes_its_attempt_once_the_rest_is() -> None:
    async def scenario() -> None:
        harness = FrontHarness(TWO)
        request, connection, _ = await cancelled_attempt(harness, bytes_left=9)
        assert harness.count_cancels(request) == 0
        limit_socket(connection, None)
        await until(lambda: harness.outcomes(request) == [AttemptOutcome.CANCELLED], "the attempt is closed")
        assert harness.count_cancels(request) == 1
        harness.disconnect_client(request)
        await harness.assert_settled()

    run_on_uvloop(scenario)


def closed_by_server(harness: FrontHarness, connection: Connection, wire: Wire) -> None:
    wire.close()


def reset_by_server(harness: FrontHarness, connection: Connection, wire: Wire) -> None:
    wire.reset()


def idle_for_long(harness: FrontHarness, connection: Connection, wire: Wire) -> None:
    connection.last_used_at -= harness.config.idle
    harness.sweep()


def drained(harness: FrontHarness, connection: Connection, wire: Wire) -> None:
    name = connection.actor.host
    harness.apply_hosts(harness.host(name, health="DELETED"))
    harness.sweep()


def moved(harness: FrontHarness, connection: Connection, wire: Wire) -> None:
    harness.apply_hosts(harness.host(connection.actor.host, dial="127.0.0.1:9"))
    harness.sweep()


def out_of_descriptors(harness: FrontHarness, connection: Connection, wire: Wire) -> None:
    harness.descriptors.max_outbound = harness.descriptors.outbound
    assert connection.context.ensure_descriptor()
    harness.descriptors.max_outbound = 500


def not_taken_for_too_long(harness: FrontHarness, connection: Connection, wire: Wire) -> None:
    connection.writer.cancels[0].since_ns -= harness.config.dial_timeout
    harness.sweep()


BY_SERVER = (closed_by_server, reset_by_server)
BY_FRONT = (idle_for_long, drained, moved, out_of_descriptors, not_taken_for_too_long)


@pytest.mark.parametrize("close", [*BY_SERVER, *BY_FRONT])
def test_a_close_of_the_connection_closes_the_attempt_whose_cancel_waits(
    monkeypatch: pytest.MonkeyPatch, close: Callable[[FrontHarness, Connection, Wire], None]
) -> None:
    """The server sees the end of the connection by then, not a turn of the loop later."""
    plain_on_closed, was_closed = OpenAttempt.on_closed, list[bool]()

    async def scenario() -> None:
        harness = FrontHarness(TWO)
        request, connection, wire = await cancelled_attempt(harness)

        def on_closed(attempt: OpenAttempt, now_ns: int) -> None:
            wire.poll()
            was_closed.append(wire.is_closed)
            plain_on_closed(attempt, now_ns)

        monkeypatch.setattr(OpenAttempt, "on_closed", on_closed)
        (attempt,) = request.attempts
        close(harness, connection, wire)
        await until(lambda: attempt.state is AttemptState.CLOSED, "the attempt is closed")
        assert was_closed[0]
        await until(
            lambda: harness.outcomes(request)[:1] == [AttemptOutcome.CANCELLED], "its outcome is reported"
        )
        harness.disconnect_client(request)
        await harness.assert_settled()

    run_on_uvloop(scenario)


@pytest.mark.parametrize("is_timeout", [False, True])
@pytest.mark.parametrize("is_queued", [False, True])
def test_an_attempt_whose_cancel_raises_is_told_once_its_connection_is_closed(
    monkeypatch: pytest.MonkeyPatch, is_queued: bool, is_timeout: bool
) -> None:
    """An exception in the cache's actor, before or after the cancel is queued, for a cancel or a timeout.

    Guards against reporting the outcome (a reset connection) while the connection is still open, as another
    attempt could then start besides this one.
    """
    plain_cancel = CommandWriter.cancel

    def failing_cancel(writer: CommandWriter, *arguments: Any) -> None:
        if is_queued:
            plain_cancel(writer, *arguments)
        raise ZeroDivisionError

    async def scenario() -> None:
        harness = FrontHarness(TWO)
        request = harness.submit(IMAGE)
        wire = await harness.wait_for_command(request)
        (attempt,) = request.attempts
        cache = harness.module.caches[attempt.cache]
        (connection,) = cache.connections
        limit_socket(connection, 0)
        plain_ended, was_closed = harness.module._on_attempt_finished, list[bool]()

        def on_ended(end: AttemptFinished) -> None:
            wire.poll()
            was_closed.append(wire.is_closed and attempt.state is AttemptState.CLOSED)
            plain_ended(end)

        monkeypatch.setattr(harness.module, "_on_attempt_finished", on_ended)
        with monkeypatch.context() as patched:
            patched.setattr(CommandWriter, "cancel", failing_cancel)
            if is_timeout:
                cache._on_deadline(attempt)
            else:
                cache.mailbox.push(CancelCommand(attempt))
            await until(lambda: was_closed != [], "its outcome is reported")
        assert was_closed == [True], "once, after its connection was closed"
        assert harness.checks.counts.pop("exception_in_cache_actor") == 1
        harness.disconnect_client(request)
        await harness.assert_settled()

    run_on_uvloop(scenario)


def test_a_cancel_that_waits_during_a_process_pause_closes_nothing() -> None:
    async def scenario() -> None:
        harness = FrontHarness(TWO)
        request, connection, _ = await cancelled_attempt(harness)
        connection.writer.cancels[0].since_ns -= 2 * harness.config.dial_timeout
        harness.module.sweep(clock.now(), late=True)
        await run_turns()
        assert not connection.is_closing
        limit_socket(connection, None)
        await until(lambda: harness.outcomes(request) == [AttemptOutcome.CANCELLED], "the attempt is closed")
        harness.disconnect_client(request)
        await harness.assert_settled()

    run_on_uvloop(scenario)


def test_the_final_answer_comes_in_time_though_the_socket_never_takes_the_cancel() -> None:
    async def scenario() -> None:
        harness = FrontHarness(TWO)
        began = clock.now()
        request, _, _ = await cancelled_attempt(harness, allowed_ns=600 * clock.MS)
        assert await harness.wait_for_status(request) == 502
        assert clock.now() - began < 1100 * clock.MS, "a response half a second late counts as lost"
        await until(
            lambda: harness.outcomes(request) == [AttemptOutcome.CANCELLED],
            "the attempt has ended with the request",
        )
        await harness.assert_settled()

    run_on_uvloop(scenario)


def test_a_client_that_leaves_as_the_cancel_of_its_attempt_waits_ends_it_at_once() -> None:
    async def scenario() -> None:
        harness = FrontHarness(TWO)
        request, _, _ = await cancelled_attempt(harness)
        harness.disconnect_client(request)
        await until(lambda: harness.outcomes(request) == [AttemptOutcome.CANCELLED], "the attempt has ended")
        assert request.number not in harness.module.requests.request_by_number
        await harness.assert_settled()

    run_on_uvloop(scenario)


def test_the_cancel_of_a_half_sent_command_follows_its_rest() -> None:
    async def scenario() -> None:
        harness = FrontHarness(TWO)
        BoundedSocket.next_limit = 30
        request = harness.submit(IMAGE)
        await until(
            lambda: any(a.state is AttemptState.SENT for a in request.attempts),
            "a part of the command is sent",
        )
        (connection,) = harness.connections()
        harness.module.caches[request.attempts[0].cache].mailbox.push(CancelCommand(request.attempts[0]))
        await run_turns()
        assert harness.outcomes(request) == [] and request.attempts[0].state is AttemptState.CANCELLED
        BoundedSocket.next_limit = None
        limit_socket(connection, None)
        await until(
            lambda: harness.outcomes(request)[:1] == [AttemptOutcome.CANCELLED], "the attempt is closed"
        )
        assert harness.count_cancels(request) == 1
        harness.disconnect_client(request)
        await harness.assert_settled()

    run_on_uvloop(scenario)


def test_a_command_whose_rest_waits_past_the_slack_of_its_deadline_ends_with_its_connection() -> None:
    """The deadline was sent with the first byte: 0.15 s later it is later than the client's."""

    async def scenario() -> None:
        harness = FrontHarness(TWO)
        BoundedSocket.next_limit = 30
        request = harness.submit(IMAGE)
        await until(
            lambda: any(a.state is AttemptState.SENT for a in request.attempts),
            "a part of the command is sent",
        )
        BoundedSocket.next_limit = None
        await until(lambda: harness.outcomes(request)[:1] == [AttemptOutcome.RESET], "the attempt has ended")
        first = request.attempts[0]
        assert first.closed_at_ns - first.first_byte_at_ns >= 100 * clock.MS, "not at once"
        assert harness.checks.counts["cache_connections_closed_command_stalled"] == 1
        await until(
            lambda: len(harness.serve_wires(request)) == 2,
            "the whole command is sent over another connection",
        )
        (second,) = [wire for wire in harness.serve_wires(request) if not wire.is_closed]
        second.respond(request.job_id)
        assert await harness.wait_for_status(request) == 200
        await harness.assert_settled()

    run_on_uvloop(scenario)


@pytest.mark.parametrize("cls", [IMAGE, BID])
def test_what_takes_the_place_of_a_cancelled_attempt_comes_after_its_cancel(cls: int) -> None:
    """Whichever connection or server it goes to. A bid is not retried at all."""

    async def scenario() -> None:
        harness = FrontHarness(TWO, limits={"may_duplicate": False})
        request, connection, first = await cancelled_attempt(harness, cls=cls)
        assert not request.allows_concurrent_attempts
        await run_turns(200)
        assert len(harness.serve_wires(request)) == 1
        limit_socket(connection, None)
        if cls == BID:
            assert await harness.wait_for_status(request) == 502
            assert len(harness.serve_wires(request)) == 1
        else:
            second = await harness.wait_for_command(request, times=2)
            assert harness.count_cancels(request) == 1 and second is not first
            second.respond(request.job_id)
            assert await harness.wait_for_status(request) == 200
        await harness.assert_settled()

    run_on_uvloop(scenario)


def attempts(allows_concurrent_attempts: bool) -> tuple[OpenAttempt, OpenAttempt]:
    request = open_request(Inbox(), allows_concurrent_attempts=allows_concurrent_attempts)
    first, second = OpenAttempt(request, 0, 1, 0), OpenAttempt(request, 1, 2, 0)
    request.attempts = [first, second]
    first.deadline_ns = second.deadline_ns = 10 * clock.SECOND
    return first, second


def test_no_attempt_begins_beside_one_that_is_not_closed_where_no_second_copy_is_allowed() -> None:
    first, second = attempts(allows_concurrent_attempts=False)
    assert find_denial(second, 1) is None
    first.on_first_byte(1)
    assert find_denial(second, 2) is Denial.CONCURRENT_ATTEMPT
    first.on_cancelled()
    assert find_denial(second, 3) is Denial.CONCURRENT_ATTEMPT
    first.on_closed(4)
    assert find_denial(second, 5) is None


def test_an_attempt_may_begin_beside_another_where_second_copies_are_allowed() -> None:
    first, second = attempts(allows_concurrent_attempts=True)
    first.on_first_byte(1)
    assert find_denial(second, 2) is None


@pytest.mark.parametrize("closed", [0, 8])
def test_an_attempt_that_began_beside_one_not_closed_is_told(closed: int) -> None:
    first, second = attempts(allows_concurrent_attempts=False)
    first.on_first_byte(1)
    second.on_first_byte(5)
    if closed:
        first.on_closed(closed)
    with pytest.raises(AssertionError, match="no_first_byte_beside_attempt_not_closed"):
        check_first_byte(second, Checks())


def test_an_attempt_that_began_after_the_one_before_was_closed_is_in_order() -> None:
    first, second = attempts(allows_concurrent_attempts=False)
    first.on_first_byte(1)
    first.on_closed(4)
    second.on_first_byte(5)
    checks = Checks()
    check_first_byte(second, checks)
    assert not checks.counts


@pytest.mark.parametrize("state", [AttemptState.QUEUED, AttemptState.CANCELLED, AttemptState.CLOSED])
def test_a_change_of_state_that_is_not_allowed_is_refused(state: AttemptState) -> None:
    attempt = attempts(allows_concurrent_attempts=True)[0]
    attempt.state = state
    with pytest.raises(AssertionError):
        if state is AttemptState.QUEUED:
            attempt.on_cancelled()
        else:
            attempt.on_first_byte(1)
