"""Mailboxes and the decision module's actor: which work an exception ends, and which it does not."""

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
from quincepier.net.client_session import OutgoingResponse, cgi_head
from quincepier.net.connection_manager import ConnectionManager
from quincepier.net.messages import AttemptFinished, ClientDisconnected, RequestArrived
from quincepier.net.module import ModuleActor
from quincepier.net.sockets import Descriptors
from tests.fcgikit import ResponseReader
from tests.frontkit import Inbox, host, make_config, open_request, raw_config
from tests.standins import Cache, until


def test_urgent_messages_are_taken_first_and_new_work_last_with_a_limit() -> None:
    mailbox: Mailbox[int] = Mailbox(2)
    assert mailbox.try_push_new_work(7) and mailbox.try_push_new_work(8) and not mailbox.try_push_new_work(9)
    mailbox.push(4)
    mailbox.push(5)
    mailbox.push(6)  # beyond the limit, which does not apply to work in progress
    assert not mailbox.try_push(99)
    mailbox.push_urgent(1)
    mailbox.push_urgent(2)
    assert [mailbox.take() for _ in range(9)] == [1, 2, 4, 5, 6, 7, 8, None, None] and len(mailbox) == 0


def test_a_request_aborted_while_queued_is_not_passed_to_the_router() -> None:
    actor, router = make_module(lambda event: [])
    request = open_request(Inbox(), received_at_ns=clock.now())
    actor.handle_safely(ClientDisconnected(request))
    actor.handle_safely(RequestArrived(request))
    assert router.events == [] and actor.requests.unanswered == 0 and not actor.requests.request_by_number


def test_wake_ends_the_wait_without_a_message() -> None:
    async def play() -> None:
        mailbox: Mailbox[int] = Mailbox(2)
        reader = asyncio.create_task(mailbox.wait())
        await asyncio.sleep(0)
        assert not reader.done()
        mailbox.wake()
        await reader
        assert mailbox.take() is None

    asyncio.run(play())


class ScriptedRouter:
    """Stands in for the Router: returns the actions that the test gives for each event."""

    def __init__(self, script: Callable[[io.Event], list[io.Action]]) -> None:
        self.script = script
        self.events: list[io.Event] = []

    def handle(self, now: int, event: io.Event) -> list[io.Action]:
        self.events.append(event)
        return self.script(event)


BUDGET = MemoryBudget(max_buffers=100, max_body_bytes=1 << 20, max_open_requests=4096)


def make_module(
    script: Callable[[io.Event], list[io.Action]], config: FrontConfig | None = None
) -> tuple[ModuleActor, ScriptedRouter]:
    checks, router, pool = Checks(), ScriptedRouter(script), BufferPool(100)
    actor = ModuleActor(config or make_config(), checks, pool, Descriptors(1024), BUDGET)
    actor.router = router  # type: ignore[assignment]
    return actor, router


def push_request(actor: ModuleActor, inbox: Inbox, cls: int = 1, job: str = "") -> Any:
    request = open_request(inbox, cls, job or f"{actor.requests.accepted:016x}", received_at_ns=clock.now())
    actor.handle_safely(RequestArrived(request))
    return request


def test_an_exception_in_the_router_fails_only_that_request() -> None:
    def script(event: io.Event) -> list[io.Action]:
        if isinstance(event, io.RequestReceived) and event.class_index == 0:
            raise KeyError("no such thing")
        return (
            [io.RejectRequest(event.request, 300 * clock.MS)] if isinstance(event, io.RequestReceived) else []
        )

    actor, _ = make_module(script)
    bad, good = Inbox(), Inbox()
    push_request(actor, bad, 0)
    push_request(actor, good, 1)
    assert [answer.status for answer in bad.responses] == [500]
    assert [(answer.status, answer.retry_after_ms) for answer in good.responses] == [(503, 300)]
    assert actor.checks.counts["exception_in_module"] == 1


def test_an_action_that_raises_fails_its_request_and_no_other_action() -> None:
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
    push_request(actor, inbox)
    assert [answer.status for answer in inbox.responses] == [500] and len(actor.timers) == 1


def test_one_final_response_and_none_after_the_client_disconnected() -> None:
    actor, router = make_module(lambda event: [])
    inbox = Inbox()
    request = push_request(actor, inbox)
    router.script = lambda event: [io.FailRequest(request.number)] * 2
    actor._dispatch(io.TimerFired(1))
    assert [answer.status for answer in inbox.responses] == [502]
    other = push_request(actor, inbox)
    router.script = lambda event: [io.RejectRequest(other.number, 0)]
    actor.handle_safely(ClientDisconnected(other))
    assert len(inbox.responses) == 1 and isinstance(router.events[-1], io.ClientDisconnected)
    assert actor.requests.request_by_number == {} and actor.requests.unanswered == 0


def test_a_response_after_the_request_is_finished_releases_its_buffers() -> None:
    actor, router = make_module(lambda event: [])
    inbox = Inbox()
    request = push_request(actor, inbox)
    attempt: OpenAttempt = actor.requests.start_attempt(request, 5, clock.now())
    actor.handle_safely(ClientDisconnected(request))
    attempt.is_completed = True
    body = PooledBody.allocate(actor.context.pool, 40_000)
    assert body is not None and actor.context.pool.used == 3
    actor.handle_safely(AttemptFinished(attempt, AttemptOutcome.OK, clock.now(), body=body))
    assert actor.context.pool.used == 0 and inbox.responses == []
    event = router.events[-1]
    assert isinstance(event, io.AttemptCompleted) and event.is_request_finished


def test_an_attempt_at_an_unlisted_machine_is_not_processed() -> None:
    actor, router = make_module(
        lambda event: [io.ForwardRequest(event.request, 4242, 0)]
        if isinstance(event, io.RequestReceived)
        else []
    )
    push_request(actor, Inbox())
    message = actor.mailbox.take()
    assert message is not None
    actor.handle_safely(message)
    event = router.events[-1]
    assert (
        isinstance(event, io.AttemptCompleted)
        and event.outcome is AttemptOutcome.NOT_PROCESSED
        and not event.is_request_finished
    )


def test_no_attempt_is_sent_for_a_finished_request() -> None:
    actor, _ = make_module(lambda event: [])
    request = push_request(actor, Inbox())
    actor.requests.finish(request)
    with pytest.raises(AssertionError):  # counted and logged in release
        actor._perform(io.ForwardRequest(request.number, 5, 0), clock.now())


def test_the_id_of_an_open_request_is_rejected_for_another_request() -> None:
    actor, router = make_module(lambda event: [])
    inbox = Inbox()
    first = push_request(actor, inbox, job="9b1f03aa5c7e2d41")
    push_request(actor, inbox, job="9b1f03aa5c7e2d41")
    assert len(router.events) == 1 and [answer.status for answer in inbox.responses] == [409]
    actor.handle_safely(ClientDisconnected(first))
    push_request(actor, inbox, job="9b1f03aa5c7e2d41")
    assert len(router.events) == 3 and len(inbox.responses) == 1


def test_requests_over_the_open_limit_are_rejected_with_a_retry_time() -> None:
    actor, router = make_module(lambda event: [])
    actor.requests.max_requests = 2
    inbox = Inbox()
    for _ in range(3):
        push_request(actor, inbox)
    assert len(router.events) == 2 and [(a.status, a.retry_after_ms) for a in inbox.responses] == [(503, 500)]


@pytest.mark.parametrize("how", ["on_probe", "off"])
def test_health_checks_request_a_load_report_only_if_configured(how: str) -> None:
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
        actor.start_with_known_events()
        number = actor.directory.assign_number
        actor._perform(io.SendHealthCheck(number("s-1")), clock.now())
        actor._perform(io.SendHealthCheck(number("s-2")), clock.now())

        def ended() -> dict[int, io.HealthCheckCompleted]:
            return {
                event.cache: event for event in router.events if isinstance(event, io.HealthCheckCompleted)
            }

        await until(lambda: len(ended()) == 2, "both health checks finish")
        well, refused = ended()[number("s-1")], ended()[number("s-2")]
        assert (well.outcome, refused.outcome) == (AttemptOutcome.OK, AttemptOutcome.CONNECT_FAILED)
        assert cache.probe_commands == ["gauges" if how == "on_probe" else "health"]
        assert well.report == ((0.61, 0.4) if how == "on_probe" else ())
        cache.health_response = "ill"
        router.events.clear()
        actor._perform(io.SendHealthCheck(number("s-1")), clock.now())
        await until(lambda: len(ended()) == 1, "the third one finishes")
        assert ended()[number("s-1")].outcome is AttemptOutcome.ERROR
        actor.cancel()
        for each in actor.caches.values():
            each.cancel()
        assert cache.server is not None
        cache.server.close()

    asyncio.run(play())


def test_overdue_timers_fire_in_order() -> None:
    actor, router = make_module(lambda event: [])
    for wait, token in ((3, 30), (1, 10), (2, 20)):
        actor._perform(io.SetTimer(wait, token), 0)
    actor._fire_due_timers()
    assert [event.token for event in router.events if isinstance(event, io.TimerFired)] == [10, 20, 30]


def test_a_response_not_started_can_be_replaced_by_a_failure() -> None:
    pool = BufferPool(100)
    body = PooledBody.allocate(pool, 50_000)
    assert body is not None
    body.append(b"x" * 50_000)
    outgoing = OutgoingResponse(4, True, cgi_head(200), body)
    assert not outgoing.is_started
    outgoing.fail()
    reader = ResponseReader()
    for piece in outgoing.records:
        reader.feed(piece)
    assert (reader.response_by_request[4].status, reader.response_by_request[4].body, pool.used) == (
        502,
        b"",
        0,
    )


def test_checks_assert_in_debug_and_changed_counters_are_reported_once() -> None:
    checks = Checks()
    assert checks.must(True, "all_is_well") and checks.counts == {}
    with pytest.raises(AssertionError, match="it_holds"):
        checks.must(False, "it_holds")
    checks.event("something", "once")
    assert checks.describe_changes() == "something 1" and checks.describe_changes() == ""
    checks.count("something")
    assert checks.describe_changes() == "something 2"


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
def test_only_a_refused_or_timed_out_connect_counts_as_connect_failed(
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
        actor.start_with_known_events()
        push_request(actor, Inbox())

        def ended() -> list[AttemptOutcome]:
            return [event.outcome for event in router.events if isinstance(event, io.AttemptCompleted)]

        await until(lambda: bool(ended()), "the attempt completes")
        assert ended() == [ending]
        actor.cancel()
        for each in actor.caches.values():
            each.cancel()

    asyncio.run(play())


def test_a_client_closed_right_after_accept_leaks_no_resources() -> None:
    async def play() -> None:
        actor, _ = make_module(lambda event: [])
        manager = ConnectionManager(actor.dependencies, lambda: True)
        ours, theirs = socket.socketpair()
        ours.setblocking(False)
        connection = manager.admit(ours)
        later = clock.now() + manager.registry.limits.min_new_time
        assert connection is not None and manager.registry.find_evictable(later) is connection
        connection.close()
        await until(lambda: not manager.connections, "the connection is removed")
        assert (manager.descriptors.clients, ours.fileno(), manager.pool.used) == (0, -1, 1)
        assert manager.registry.find_evictable(later) is None and not manager.timers
        theirs.close()

    asyncio.run(play())


def test_a_timer_of_a_finished_request_does_not_fire() -> None:
    actor, router = make_module(lambda event: [])
    request = push_request(actor, Inbox())
    actor._perform(io.SetTimer(0, 16, request.number), 0)
    actor._fire_due_timers()
    assert io.TimerFired(16) in router.events
    router.events.clear()
    actor._perform(io.SetTimer(0, 24, request.number), 0)
    actor.handle_safely(ClientDisconnected(request))
    actor._fire_due_timers()
    assert router.events == [io.ClientDisconnected(request.number)] and not actor.timers


def test_an_exception_is_logged_with_its_innermost_calls_and_then_only_counted() -> None:
    lines, checks = list[str](), Checks()
    sink = logger.add(lambda line: lines.append(str(line)), format="{message}")
    try:
        for _ in range(MAX_LINES_PER_EVENT + 5):
            try:
                int("seven")
            except ValueError as error:
                checks.exception("exception_in_test", error, about="RequestArrived")
    finally:
        logger.remove(sink)
    assert checks.counts["exception_in_test"] == MAX_LINES_PER_EVENT + 5
    assert len(lines) == MAX_LINES_PER_EVENT
    assert lines[0].startswith("exception_in_test: RequestArrived: ValueError: invalid literal")
    assert "at test_actors.py:" in lines[0]
