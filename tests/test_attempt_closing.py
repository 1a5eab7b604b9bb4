"""An attempt is cancelled when nobody waits for it any more, and closed once its server knows.

Between the two its server may run it: nothing may begin in its place where no second copy is allowed. Seen as
a request that ran twice (quick of quarry-prints, herd+mass); the cause was that "ended" stood for both, and
an attempt had ended as soon as its cancel was queued, also behind a socket that took nothing.
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
from quincepier.net.messages import CallOff, Ended
from quincepier.policy.send_permission import Denial, find_denial
from tests.attemptkit import BID, IMAGE, Inside, Wire, on_loop
from tests.frontkit import Inbox, open_request
from tests.standins import until

TWO = ("s-1", "s-2", "o-1")


class BoundedSocket(socket.socket):
    """Takes so many bytes more; `of_next`: what sockets made from now on take, None: all."""

    of_next: int | None = None

    def __init__(self, *args: Any, **kwargs: Any) -> None:
        super().__init__(*args, **kwargs)
        self.takes = BoundedSocket.of_next

    def send(self, data: Any, flags: int = 0) -> int:
        if self.takes is None:
            return super().send(data, flags)
        if self.takes <= 0:
            raise BlockingIOError
        sent = super().send(memoryview(data)[: self.takes], flags)
        self.takes -= sent
        return sent


@pytest.fixture(autouse=True)
def _bounded(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(socket, "socket", BoundedSocket)
    monkeypatch.setattr(BoundedSocket, "of_next", None)


def bound(connection: Connection, takes: int | None) -> None:
    assert isinstance(connection.sock, BoundedSocket)
    connection.sock.takes = takes


async def turns(count: int = 20) -> None:
    for _ in range(count):
        await asyncio.sleep(0)


async def cancelled(
    inside: Inside, takes: int = 0, cls: int = IMAGE, **changes: Any
) -> tuple[OpenRequest, Connection, Wire]:
    """A request whose attempt is cancelled behind a socket that takes so many bytes more."""
    request = inside.ask(cls, **changes)
    wire = await inside.out(request)
    attempt = request.attempts[0]
    cache = inside.module.caches[attempt.cache]
    (connection,) = cache.connections
    bound(connection, takes)
    cache.mailbox.push(CallOff(attempt))
    await turns()
    assert attempt.state is AttemptState.CANCELLED and inside.endings(request) == []
    return request, connection, wire


def test_a_cancel_of_which_a_part_is_out_closes_its_attempt_once_the_rest_is() -> None:
    async def scenario() -> None:
        inside = Inside(TWO)
        request, connection, _ = await cancelled(inside, takes=9)
        assert inside.cancels(request) == 0
        bound(connection, None)
        await until(lambda: inside.endings(request) == [AttemptOutcome.CANCELLED], "it is closed")
        assert inside.cancels(request) == 1
        inside.left(request)
        await inside.settled()

    on_loop(scenario)


def closed_by_server(inside: Inside, connection: Connection, wire: Wire) -> None:
    wire.close()


def reset_by_server(inside: Inside, connection: Connection, wire: Wire) -> None:
    wire.reset()


def idle_for_long(inside: Inside, connection: Connection, wire: Wire) -> None:
    connection.used -= inside.config.idle
    inside.sweep()


def drained(inside: Inside, connection: Connection, wire: Wire) -> None:
    name = connection.actor.host
    inside.listed(inside.host(name, health="DELETED"))
    inside.sweep()


def moved(inside: Inside, connection: Connection, wire: Wire) -> None:
    inside.listed(inside.host(connection.actor.host, dial="127.0.0.1:9"))
    inside.sweep()


def out_of_descriptors(inside: Inside, connection: Connection, wire: Wire) -> None:
    inside.descriptors.caches_most = inside.descriptors.caches
    assert connection.shared.descriptor()
    inside.descriptors.caches_most = 500


def not_taken_for_too_long(inside: Inside, connection: Connection, wire: Wire) -> None:
    connection.writer.cancels[0].since_ns -= inside.config.dial_timeout
    inside.sweep()


BY_SERVER = (closed_by_server, reset_by_server)
BY_FRONT = (idle_for_long, drained, moved, out_of_descriptors, not_taken_for_too_long)


@pytest.mark.parametrize("close", [*BY_SERVER, *BY_FRONT])
def test_a_close_of_the_connection_closes_the_attempt_whose_cancel_waits(
    monkeypatch: pytest.MonkeyPatch, close: Callable[[Inside, Connection, Wire], None]
) -> None:
    """And its server sees the end of the connection by then, not a turn of the loop later."""
    plain, has_ended = OpenAttempt.on_closed, list[bool]()

    async def scenario() -> None:
        inside = Inside(TWO)
        request, connection, wire = await cancelled(inside)

        def on_closed(attempt: OpenAttempt, now_ns: int) -> None:
            wire.look()
            has_ended.append(wire.ended)
            plain(attempt, now_ns)

        monkeypatch.setattr(OpenAttempt, "on_closed", on_closed)
        (attempt,) = request.attempts
        close(inside, connection, wire)
        await until(lambda: attempt.state is AttemptState.CLOSED, "it is closed")
        assert has_ended[0]
        await until(lambda: inside.endings(request)[:1] == [AttemptOutcome.CANCELLED], "that is told")
        inside.left(request)
        await inside.settled()

    on_loop(scenario)


@pytest.mark.parametrize("is_timeout", [False, True])
@pytest.mark.parametrize("is_queued", [False, True])
def test_an_attempt_whose_cancel_raises_is_told_once_its_connection_is_closed(
    monkeypatch: pytest.MonkeyPatch, is_queued: bool, is_timeout: bool
) -> None:
    """An exception in the cache's actor, before or after the cancel is queued, asked for or by a time-out.

    Its outcome, a reset connection, was told with the connection open: another could begin beside it.
    """
    plain = CommandWriter.cancel

    def broken(writer: CommandWriter, *about: Any) -> None:
        if is_queued:
            plain(writer, *about)
        raise ZeroDivisionError

    async def scenario() -> None:
        inside = Inside(TWO)
        request = inside.ask(IMAGE)
        wire = await inside.out(request)
        (attempt,) = request.attempts
        cache = inside.module.caches[attempt.cache]
        (connection,) = cache.connections
        bound(connection, 0)
        told, ended = inside.module._ended, list[bool]()

        def on_ended(end: Ended) -> None:
            wire.look()
            ended.append(wire.ended and attempt.state is AttemptState.CLOSED)
            told(end)

        monkeypatch.setattr(inside.module, "_ended", on_ended)
        with monkeypatch.context() as patched:
            patched.setattr(CommandWriter, "cancel", broken)
            if is_timeout:
                cache._timed_out(attempt)
            else:
                cache.mailbox.push(CallOff(attempt))
            await until(lambda: ended != [], "its outcome is told")
        assert ended == [True], "once, after its connection was closed"
        assert inside.checks.counts.pop("exception_in_cache_actor") == 1
        inside.left(request)
        await inside.settled()

    on_loop(scenario)


def test_a_cancel_that_waits_as_the_front_itself_stood_still_closes_nothing() -> None:
    async def scenario() -> None:
        inside = Inside(TWO)
        request, connection, _ = await cancelled(inside)
        connection.writer.cancels[0].since_ns -= 2 * inside.config.dial_timeout
        inside.module.sweep(clock.now(), late=True)
        await turns()
        assert not connection.lost
        bound(connection, None)
        await until(lambda: inside.endings(request) == [AttemptOutcome.CANCELLED], "it is closed")
        inside.left(request)
        await inside.settled()

    on_loop(scenario)


def test_the_final_answer_comes_in_time_though_the_socket_never_takes_the_cancel() -> None:
    async def scenario() -> None:
        inside = Inside(TWO)
        began = clock.now()
        request, _, _ = await cancelled(inside, allowed_ns=600 * clock.MS)
        assert await inside.status(request) == 502
        assert clock.now() - began < 1100 * clock.MS, "half a second past its time it would be lost"
        await until(lambda: inside.endings(request) == [AttemptOutcome.CANCELLED], "it has ended with it")
        await inside.settled()

    on_loop(scenario)


def test_a_client_that_leaves_as_the_cancel_of_its_attempt_waits_ends_it_at_once() -> None:
    async def scenario() -> None:
        inside = Inside(TWO)
        request, _, _ = await cancelled(inside)
        inside.left(request)
        await until(lambda: inside.endings(request) == [AttemptOutcome.CANCELLED], "nothing begins for it")
        assert request.number not in inside.module.requests.request_by_number
        await inside.settled()

    on_loop(scenario)


def test_the_cancel_of_a_half_sent_command_follows_its_rest() -> None:
    async def scenario() -> None:
        inside = Inside(TWO)
        BoundedSocket.of_next = 30
        request = inside.ask(IMAGE)
        await until(lambda: any(a.state is AttemptState.SENT for a in request.attempts), "a part is out")
        (connection,) = inside.connections()
        inside.module.caches[request.attempts[0].cache].mailbox.push(CallOff(request.attempts[0]))
        await turns()
        assert inside.endings(request) == [] and request.attempts[0].state is AttemptState.CANCELLED
        BoundedSocket.of_next = None
        bound(connection, None)
        await until(lambda: inside.endings(request)[:1] == [AttemptOutcome.CANCELLED], "it is closed")
        assert inside.cancels(request) == 1
        inside.left(request)
        await inside.settled()

    on_loop(scenario)


def test_a_command_whose_rest_waits_past_the_slack_of_its_deadline_ends_with_its_connection() -> None:
    """The deadline was told with its first byte: 0.15 s later it is more than the client has left."""

    async def scenario() -> None:
        inside = Inside(TWO)
        BoundedSocket.of_next = 30
        request = inside.ask(IMAGE)
        await until(lambda: any(a.state is AttemptState.SENT for a in request.attempts), "a part is out")
        BoundedSocket.of_next = None
        await until(lambda: inside.endings(request)[:1] == [AttemptOutcome.RESET], "it has ended")
        first = request.attempts[0]
        assert first.closed_at_ns - first.first_byte_at_ns >= 100 * clock.MS, "not at once"
        assert inside.checks.counts["cache_connections_closed_command_stalled"] == 1
        await until(lambda: len(inside.serves(request)) == 2, "it goes to another connection, whole")
        (second,) = [wire for wire in inside.serves(request) if not wire.ended]
        second.answer(request.job_id)
        assert await inside.status(request) == 200
        await inside.settled()

    on_loop(scenario)


@pytest.mark.parametrize("cls", [IMAGE, BID])
def test_what_takes_the_place_of_a_cancelled_attempt_comes_after_its_cancel(cls: int) -> None:
    """Whatever connection or server it goes to. A bid is not sent again at all."""

    async def scenario() -> None:
        inside = Inside(TWO, limits={"may_duplicate": False})
        request, connection, first = await cancelled(inside, cls=cls)
        assert not request.allows_second_copy
        await turns(200)
        assert len(inside.serves(request)) == 1
        bound(connection, None)
        if cls == BID:
            assert await inside.status(request) == 502
            assert len(inside.serves(request)) == 1
        else:
            second = await inside.out(request, times=2)
            assert inside.cancels(request) == 1 and second is not first
            second.answer(request.job_id)
            assert await inside.status(request) == 200
        await inside.settled()

    on_loop(scenario)


def attempts(allows_second_copy: bool) -> tuple[OpenAttempt, OpenAttempt]:
    request = open_request(Inbox(), allows_second_copy=allows_second_copy)
    first, second = OpenAttempt(request, 0, 1, 0), OpenAttempt(request, 1, 2, 0)
    request.attempts = [first, second]
    first.deadline_ns = second.deadline_ns = 10 * clock.SECOND
    return first, second


def test_no_attempt_begins_beside_one_that_is_not_closed_where_no_second_copy_is_allowed() -> None:
    first, second = attempts(allows_second_copy=False)
    assert find_denial(second, 1) is None
    first.on_first_byte(1)
    assert find_denial(second, 2) is Denial.CONCURRENT_ATTEMPT
    first.on_cancelled()
    assert find_denial(second, 3) is Denial.CONCURRENT_ATTEMPT
    first.on_closed(4)
    assert find_denial(second, 5) is None


def test_an_attempt_may_begin_beside_another_where_second_copies_are_allowed() -> None:
    first, second = attempts(allows_second_copy=True)
    first.on_first_byte(1)
    assert find_denial(second, 2) is None


@pytest.mark.parametrize("closed", [0, 8])
def test_an_attempt_that_began_beside_one_not_closed_is_told(closed: int) -> None:
    first, second = attempts(allows_second_copy=False)
    first.on_first_byte(1)
    second.on_first_byte(5)
    if closed:
        first.on_closed(closed)
    with pytest.raises(AssertionError, match="no_first_byte_beside_attempt_not_closed"):
        check_first_byte(second, Checks())


def test_an_attempt_that_began_after_the_one_before_was_closed_is_in_order() -> None:
    first, second = attempts(allows_second_copy=False)
    first.on_first_byte(1)
    first.on_closed(4)
    second.on_first_byte(5)
    checks = Checks()
    check_first_byte(second, checks)
    assert not checks.counts


@pytest.mark.parametrize("state", [AttemptState.QUEUED, AttemptState.CANCELLED, AttemptState.CLOSED])
def test_a_change_of_state_that_is_not_allowed_is_refused(state: AttemptState) -> None:
    attempt = attempts(allows_second_copy=True)[0]
    attempt.state = state
    with pytest.raises(AssertionError):
        if state is AttemptState.QUEUED:
            attempt.on_cancelled()
        else:
            attempt.on_first_byte(1)
