"""Mailboxes, and the module's actor: what an exception ends, and what it does not."""

from __future__ import annotations

import asyncio
import errno
import socket
from collections.abc import Callable
from types import SimpleNamespace
from typing import Any

import pytest
from loguru import logger

from quincepier import clock
from quincepier import interface as io
from quincepier.checks import MAX_LINES_PER_EVENT, Checks
from quincepier.config import FrontConfig, read_front
from quincepier.interface import AttemptOutcome
from quincepier.memory.buffer_pool import BufferPool, PooledBody
from quincepier.memory.memory_budget import MemoryBudget
from quincepier.memory.open_requests import OpenAttempt
from quincepier.net.actor import Mailbox
from quincepier.net.clients import ConnectionManager
from quincepier.net.messages import Came, Ended, Left
from quincepier.net.module import ModuleActor
from quincepier.net.session import Outgoing, cgi_head
from quincepier.net.sockets import Descriptors
from tests.fcgikit import Reader
from tests.frontkit import Inbox, host, make_config, open_request, raw_config
from tests.standins import Cache, until


def test_what_must_not_wait_goes_first_and_new_work_last_and_is_bounded() -> None:
    box: Mailbox[int] = Mailbox(2)
    assert box.add(7) and box.add(8) and not box.add(9)
    box.push(4)
    box.push(5)
    box.push(6)  # past the bound: what is under way has a place
    assert not box.offer(99)
    box.urge(1)
    box.urge(2)
    assert [box.take() for _ in range(9)] == [1, 2, 4, 5, 6, 7, 8, None, None] and len(box) == 0


def test_a_client_that_left_before_its_turn_is_not_told_to_the_module() -> None:
    actor, router = make_module(lambda event: [])
    request = open_request(Inbox(), received_at_ns=clock.now())
    actor.safely(Left(request))
    actor.safely(Came(request))
    assert router.events == [] and actor.requests.unanswered == 0 and not actor.requests.request_by_number


def test_wake_lets_the_reader_look_up_without_a_message() -> None:
    async def play() -> None:
        box: Mailbox[int] = Mailbox(2)
        reader = asyncio.create_task(box.wait())
        await asyncio.sleep(0)
        assert not reader.done()
        box.wake()
        await reader
        assert box.take() is None

    asyncio.run(play())


class Scripted:
    """In the Router's place: does what the test says for each event."""

    def __init__(self, script: Callable[[io.Event], list[io.Action]]) -> None:
        self.script = script
        self.events: list[io.Event] = []

    def handle(self, now: int, event: io.Event) -> list[io.Action]:
        self.events.append(event)
        return self.script(event)


BUDGET = MemoryBudget(max_buffers=100, max_body_bytes=1 << 20, max_open_requests=4096)


def make_module(
    script: Callable[[io.Event], list[io.Action]], config: FrontConfig | None = None
) -> tuple[ModuleActor, Scripted]:
    checks, router, pool = Checks(), Scripted(script), BufferPool(100)
    actor = ModuleActor(config or make_config(), checks, pool, Descriptors(1024), lambda: None, BUDGET)
    actor.router = router  # type: ignore[assignment]
    return actor, router


def ask(actor: ModuleActor, inbox: Inbox, cls: int = 1, job: str = "") -> Any:
    request = open_request(inbox, cls, job or f"{actor.requests.accepted:016x}", received_at_ns=clock.now())
    actor.safely(Came(request))
    return request


def test_exception_in_the_module_fails_that_request_alone() -> None:
    def script(event: io.Event) -> list[io.Action]:
        if isinstance(event, io.RequestReceived) and event.cls == 0:
            raise KeyError("no such thing")
        return (
            [io.RejectRequest(event.request, 300 * clock.MS)] if isinstance(event, io.RequestReceived) else []
        )

    actor, _ = make_module(script)
    bad, good = Inbox(), Inbox()
    ask(actor, bad, 0)
    ask(actor, good, 1)
    assert [answer.status for answer in bad.got] == [500]
    assert [(answer.status, answer.wait_ms) for answer in good.got] == [(503, 300)]
    assert actor.checks.counts["exception_in_module"] == 1


def test_action_that_cannot_be_done_fails_its_request_and_no_other_action() -> None:
    def script(event: io.Event) -> list[io.Action]:
        if not isinstance(event, io.RequestReceived):
            return []
        lost = io.FetchThrough(
            event.request, 5, 0, 77, 1, 0, False, False, False
        )  # no such machine was ever listed
        return [lost, io.SetTimer(clock.SECOND, 8)]

    actor, _ = make_module(script)
    actor.caches[5] = SimpleNamespace(mailbox=Inbox())  # type: ignore[assignment]
    inbox = Inbox()
    ask(actor, inbox)
    assert [answer.status for answer in inbox.got] == [500] and len(actor.timers) == 1


def test_one_final_answer_and_none_after_the_client_left() -> None:
    actor, router = make_module(lambda event: [])
    inbox = Inbox()
    request = ask(actor, inbox)
    router.script = lambda event: [io.FailRequest(request.number)] * 2
    actor._tell(io.TimerFired(1))
    assert [answer.status for answer in inbox.got] == [502]
    other = ask(actor, inbox)
    router.script = lambda event: [io.RejectRequest(other.number, 0)]
    actor.safely(Left(other))
    assert len(inbox.got) == 1 and isinstance(router.events[-1], io.ClientDisconnected)
    assert actor.requests.request_by_number == {} and actor.requests.unanswered == 0


def test_answer_that_comes_when_the_request_is_over_gives_its_buffers_back() -> None:
    actor, router = make_module(lambda event: [])
    inbox = Inbox()
    request = ask(actor, inbox)
    attempt: OpenAttempt = actor.requests.start_attempt(request, 5, clock.now())
    actor.safely(Left(request))
    attempt.is_ended = True
    body = PooledBody.allocate(actor.shared.pool, 40_000)
    assert body is not None and actor.shared.pool.used == 3
    actor.safely(Ended(attempt, AttemptOutcome.OK, clock.now(), body=body))
    assert actor.shared.pool.used == 0 and inbox.got == []
    event = router.events[-1]
    assert isinstance(event, io.AttemptCompleted) and event.last


def test_attempt_at_a_machine_off_the_list_is_moot() -> None:
    actor, router = make_module(
        lambda event: [io.ForwardRequest(event.request, 4242, 0)]
        if isinstance(event, io.RequestReceived)
        else []
    )
    ask(actor, Inbox())
    message = actor.mailbox.take()
    assert message is not None
    actor.safely(message)
    event = router.events[-1]
    assert (
        isinstance(event, io.AttemptCompleted)
        and event.ending is AttemptOutcome.NOT_PROCESSED
        and not event.last
    )


def test_nothing_is_sent_for_a_request_that_is_over() -> None:
    actor, _ = make_module(lambda event: [])
    request = ask(actor, Inbox())
    actor.requests.finish(request)
    with pytest.raises(AssertionError):  # counted and logged in release
        actor._perform(io.ForwardRequest(request.number, 5, 0), clock.now())


def test_an_id_that_is_open_is_not_taken_for_another_object() -> None:
    actor, router = make_module(lambda event: [])
    inbox = Inbox()
    first = ask(actor, inbox, job="9b1f03aa5c7e2d41")
    ask(actor, inbox, job="9b1f03aa5c7e2d41")
    assert len(router.events) == 1 and [answer.status for answer in inbox.got] == [409]
    actor.safely(Left(first))
    ask(actor, inbox, job="9b1f03aa5c7e2d41")
    assert len(router.events) == 3 and len(inbox.got) == 1


def test_too_many_open_requests_are_refused_with_a_time_and_not_told() -> None:
    actor, router = make_module(lambda event: [])
    actor.requests.max_requests = 2
    inbox = Inbox()
    for _ in range(3):
        ask(actor, inbox)
    assert len(router.events) == 2 and [(a.status, a.wait_ms) for a in inbox.got] == [(503, 500)]


@pytest.mark.parametrize("how", ["on_probe", "off"])
def test_probes_ask_for_load_where_reports_come_so_else_for_life(how: str) -> None:
    async def play() -> None:
        cache = Cache(lambda asked: None)
        await cache.start()
        raw = raw_config()
        raw["known"]["results"][0]["fleet"]["hosts"] = [
            host("s-1", cache.address),
            host("s-2", "127.0.0.1:1"),
        ]
        raw["settings"]["report"]["how"] = how
        actor, router = make_module(lambda event: [], read_front(raw, {}))
        actor.begin()
        number = actor.directory.assign_number
        actor._perform(io.SendHealthCheck(number("s-1")), clock.now())
        actor._perform(io.SendHealthCheck(number("s-2")), clock.now())

        def ended() -> dict[int, io.HealthCheckCompleted]:
            return {
                event.cache: event for event in router.events if isinstance(event, io.HealthCheckCompleted)
            }

        await until(lambda: len(ended()) == 2, "both probes end")
        well, refused = ended()[number("s-1")], ended()[number("s-2")]
        assert (well.ending, refused.ending) == (AttemptOutcome.OK, AttemptOutcome.CONNECT_FAILED)
        assert cache.probe_commands == ["gauges" if how == "on_probe" else "health"]
        assert well.report == ((0.61, 0.4) if how == "on_probe" else ())
        cache.health_response = "ill"
        router.events.clear()
        actor._perform(io.SendHealthCheck(number("s-1")), clock.now())
        await until(lambda: len(ended()) == 1, "the third ends")
        assert ended()[number("s-1")].ending is AttemptOutcome.ERROR
        actor.cancel()
        for each in actor.caches.values():
            each.cancel()
        assert cache.server is not None
        cache.server.close()

    asyncio.run(play())


def test_late_timers_come_in_their_order() -> None:
    actor, router = make_module(lambda event: [])
    for wait, token in ((3, 30), (1, 10), (2, 20)):
        actor._perform(io.SetTimer(wait, token), 0)
    actor._due()
    assert [event.token for event in router.events if isinstance(event, io.TimerFired)] == [10, 20, 30]


def test_an_answer_not_begun_can_still_become_a_failure() -> None:
    pool = BufferPool(100)
    body = PooledBody.allocate(pool, 50_000)
    assert body is not None
    body.append(b"x" * 50_000)
    outgoing = Outgoing(4, True, cgi_head(200), body)
    assert not outgoing.begun
    outgoing.fail()
    reader = Reader()
    for piece in outgoing.pieces:
        reader.feed(piece)
    assert (reader.got[4].status, reader.got[4].body, pool.used) == (502, b"", 0)


def test_checks_assert_in_debug_and_counters_tell_what_moved() -> None:
    checks = Checks()
    assert checks.must(True, "all_is_well") and checks.counts == {}
    with pytest.raises(AssertionError, match="it_holds"):
        checks.must(False, "it_holds")
    checks.event("something", "once")
    assert checks.changed() == "something 1" and checks.changed() == ""
    checks.count("something")
    assert checks.changed() == "something 2"


@pytest.mark.parametrize(
    ("error", "ending"),
    [
        (ConnectionRefusedError, AttemptOutcome.CONNECT_FAILED),
        (TimeoutError, AttemptOutcome.CONNECT_FAILED),
        (OSError(errno.EHOSTUNREACH, "no route"), AttemptOutcome.CONNECT_FAILED),
        (ConnectionResetError, AttemptOutcome.NOT_PROCESSED),
        (OSError(errno.ENFILE, "none left"), AttemptOutcome.NOT_PROCESSED),
    ],
)
def test_only_a_refusal_or_none_in_time_says_that_a_machine_is_not_there(
    monkeypatch: pytest.MonkeyPatch, error: type[OSError] | OSError, ending: AttemptOutcome
) -> None:
    async def fails(address: tuple[str, int], timeout: float, checks: Checks) -> None:
        raise error

    monkeypatch.setattr("quincepier.net.connection.connect", fails)

    async def play() -> None:
        def script(event: io.Event) -> list[io.Action]:
            return (
                [io.ForwardRequest(event.request, number, clock.SECOND)]
                if isinstance(event, io.RequestReceived)
                else []
            )

        actor, router = make_module(script)
        number = actor.directory.assign_number("s-1")
        actor.begin()
        ask(actor, Inbox())

        def ended() -> list[AttemptOutcome]:
            return [event.ending for event in router.events if isinstance(event, io.AttemptCompleted)]

        await until(lambda: bool(ended()), "the attempt ends")
        assert ended() == [ending]
        actor.cancel()
        for each in actor.caches.values():
            each.cancel()

    asyncio.run(play())


def test_a_client_closed_as_it_comes_leaves_nothing_behind() -> None:
    async def play() -> None:
        actor, _ = make_module(lambda event: [])
        manager = ConnectionManager(actor.means, lambda: True)
        ours, theirs = socket.socketpair()
        ours.setblocking(False)
        connection = manager.admit(ours)
        assert connection is not None and manager.registry.first(clock.now()) is connection
        connection.close()
        await until(lambda: not manager.connections, "it is gone")
        assert (manager.descriptors.clients, ours.fileno(), manager.pool.used) == (0, -1, 1)
        assert manager.registry.first(clock.now()) is None and not manager.wheel
        theirs.close()

    asyncio.run(play())


def test_a_timer_about_a_request_that_is_over_does_not_come() -> None:
    actor, router = make_module(lambda event: [])
    request = ask(actor, Inbox())
    actor._perform(io.SetTimer(0, 16, request.number), 0)
    actor._due()
    assert io.TimerFired(16) in router.events
    router.events.clear()
    actor._perform(io.SetTimer(0, 24, request.number), 0)
    actor.safely(Left(request))
    actor._due()
    assert router.events == [io.ClientDisconnected(request.number)] and not actor.timers


def test_an_exception_is_logged_with_its_innermost_calls_and_then_only_counted() -> None:
    lines, checks = list[str](), Checks()
    sink = logger.add(lambda line: lines.append(str(line)), format="{message}")
    try:
        for _ in range(MAX_LINES_PER_EVENT + 5):
            try:
                int("seven")
            except ValueError as error:
                checks.exception("exception_in_test", error, about="Came")
    finally:
        logger.remove(sink)
    assert checks.counts["exception_in_test"] == MAX_LINES_PER_EVENT + 5
    assert len(lines) == MAX_LINES_PER_EVENT
    assert lines[0].startswith("exception_in_test: Came: ValueError: invalid literal")
    assert "at test_actors.py:" in lines[0]
