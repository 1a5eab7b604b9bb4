"""Attempts that cross with disconnecting clients, retry windows, broken connections and list changes."""

from __future__ import annotations

import asyncio
from functools import partial

import pytest

from quincepier import clock
from quincepier import interface as io
from quincepier.interface import AttemptOutcome
from quincepier.net.cache import CacheActor
from quincepier.net.messages import CancelCommand, RevokeCommand, ToCache, ToModule
from tests.attemptkit import BID, IMAGE, AdjustableClock, FrontHarness, HeldDials, run_on_uvloop
from tests.rig import MS, SECOND, RouterBench, attempts, make_class, make_settings
from tests.standins import until

ONE = ("s-1", "o-1")
KEYED = {IMAGE: {"effect": "guarded", "group": "all", "window": 2 * SECOND}}


# Disconnected clients


def test_nothing_begins_for_a_client_that_left_before_the_module_got_to_its_request() -> None:
    async def scenario() -> None:
        harness = FrontHarness(ONE)
        request = harness.submit()
        request.cancel(clock.now())  # the message for the router is queued later
        await harness.serve_one()
        assert not harness.serve_wires(request) and request.number < 0
        harness.disconnect_client(request)
        await harness.assert_settled()

    run_on_uvloop(scenario)


def test_nothing_begins_for_a_client_that_left_as_its_request_was_decided() -> None:
    async def scenario() -> None:
        harness = FrontHarness(ONE)
        request, decide = harness.submit(), harness.module.router.handle

        def handle(now: int, event: io.Event) -> list[io.Action]:
            actions = decide(now, event)
            request.is_cancelled = request.is_cancelled or isinstance(event, io.RequestReceived)
            return actions

        harness.module.router.handle = handle  # type: ignore[method-assign]
        await until(lambda: request.is_finished, "the router finishes it before that message")
        harness.module.router.handle = decide  # type: ignore[method-assign]
        await harness.serve_one()
        assert not harness.serve_wires(request) and not request.receiver.responses  # type: ignore[attr-defined]
        harness.disconnect_client(request)
        await harness.assert_settled()
        assert harness.events.count(io.ClientDisconnected(request.number)) == 1

    run_on_uvloop(scenario)


def test_nothing_begins_for_a_client_that_left_as_its_attempt_was_dialled(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def scenario() -> None:
        dials, harness = HeldDials(monkeypatch), FrontHarness(ONE)
        request = harness.submit()
        await dials.wait_for_dials()
        request.cancel(clock.now())  # the message for the router is queued later
        dials.release()
        await until(lambda: request.is_finished, "the router finishes it before that message")
        wire = await harness.serve_one()
        assert not harness.serve_wires(request) and not harness.count_cancels(request)
        assert len(harness.machines["s-1"].wires) == 1 and wire  # the next request uses that connection
        harness.disconnect_client(request)
        await harness.assert_settled()

    run_on_uvloop(scenario)


def test_no_further_attempt_begins_for_a_client_that_left_as_the_first_was_reset() -> None:
    async def scenario() -> None:
        harness = FrontHarness(("s-1", "s-2", "o-1"))
        request = harness.submit()
        wire = await harness.wait_for_command(request)
        request.cancel(clock.now())  # the message for the router is queued later
        wire.reset()
        await until(lambda: request.is_finished, "the router finishes it before that message")
        await harness.serve_one()
        assert len(harness.serve_wires(request)) == 1 and harness.outcomes(request) == [AttemptOutcome.RESET]
        harness.disconnect_client(request)
        await harness.assert_settled()
        assert harness.events.count(io.ClientDisconnected(request.number)) == 1

    run_on_uvloop(scenario)


# Attempts cancelled while they wait

ORDERS = {
    "cancel, then up": "cancel turn turn turn up",
    "cancel and up in one turn": "cancel up",
    "up and cancel in one turn": "up cancel",
    "up, cancel a turn later": "up turn cancel",
    "cancel, then refused": "cancel turn turn turn refused",
    "refused and cancel in one turn": "refused cancel",
    "reset and cancel in one turn": "reset cancel",
    "not in time and cancel in one turn": "late cancel",
    "closed, up and cancel in one turn": "close up cancel",
    "up, closed and cancel in one turn": "up close cancel",
    "cancel twice, then up": "cancel cancel up",
    "up, written, then cancel": "up turn turn turn cancel",
}
ERRORS = {"refused": ConnectionRefusedError(), "reset": ConnectionResetError(), "late": TimeoutError()}


@pytest.mark.parametrize("order", ORDERS)
def test_an_attempt_given_up_in_its_dial_ends_once_and_leaves_nothing(
    monkeypatch: pytest.MonkeyPatch, order: str
) -> None:
    async def scenario() -> None:
        dials, harness = HeldDials(monkeypatch), FrontHarness(ONE)
        request = harness.submit(BID)
        await dials.wait_for_dials()
        cache, attempt = harness.cache("o-1"), request.attempts[0]
        for step in ORDERS[order].split():
            match step:
                case "cancel":
                    cache.handle_safely(CancelCommand(attempt))
                case "up":
                    dials.release()
                case "close":
                    harness.connections()[0].close()
                case "turn":
                    await asyncio.sleep(0)
                case error:
                    dials.release(ERRORS[error])
        assert await harness.wait_for_status(request) == 502 and harness.outcomes(request) == [
            AttemptOutcome.CANCELLED
        ]
        assert len(harness.connections()) == harness.descriptors.outbound
        await harness.serve_one(BID)
        written = "written" in order
        assert (len(harness.serve_wires(request)), harness.count_cancels(request)) == (written, written)
        await harness.assert_settled()

    run_on_uvloop(scenario)


def test_what_was_answered_is_not_sent_though_it_still_waits_in_a_dial(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def scenario() -> None:
        dials, harness = HeldDials(monkeypatch), FrontHarness(ONE)
        request = harness.submit(allowed_ns=300 * MS)
        await dials.wait_for_dials()
        cache, unhandled = harness.cache("s-1"), list[ToCache]()
        cache.timers[request.attempts[0]].cancel()
        cache.handle = unhandled.append  # type: ignore[method-assign, assignment]
        assert await harness.wait_for_status(request) == 502  # its deadline has expired
        dials.release()
        await until(lambda: harness.outcomes(request) != [], "the attempt ends")
        del cache.handle
        await harness.serve_one()
        assert not harness.serve_wires(request) and [type(m) for m in unhandled] == [CancelCommand]
        await harness.assert_settled()

    run_on_uvloop(scenario)


# Retry windows


@pytest.mark.parametrize("where", ["dial", "mailbox", "module"])
@pytest.mark.parametrize("passed", [True, False], ids=["passed", "within"])
def test_a_repeat_that_waits_past_its_window_does_not_go_out(
    monkeypatch: pytest.MonkeyPatch, where: str, passed: bool
) -> None:
    async def scenario() -> None:
        front_clock, harness = AdjustableClock(monkeypatch), FrontHarness(("s-1", "s-2", "o-1"), KEYED)
        request = harness.submit()
        wire = await harness.wait_for_command(request)
        to_module, to_caches = list[ToModule](), list[tuple[CacheActor, ToCache]]()
        plain_push, dials = harness.module.mailbox.push, HeldDials(monkeypatch)
        dials.is_holding = where == "dial"
        if where == "module":  # the outcome of the first attempt waits in its mailbox
            harness.module.mailbox.push = to_module.append  # type: ignore[method-assign, assignment]
        caches = list(harness.module.caches.values()) if where == "mailbox" else []
        for cache in caches:  # the second attempt waits in theirs
            cache.handle_safely = partial(keep_message, to_caches, cache)  # type: ignore[method-assign]
        wire.reset()
        await until(
            lambda: bool(dials.gates or to_module or to_caches), "the outcome or the second attempt waits"
        )
        front_clock.advance(3 * SECOND if passed else SECOND // 2)
        dials.release()
        harness.module.mailbox.push = plain_push  # type: ignore[method-assign]
        for cache in caches:
            del cache.handle_safely
        for message in to_module:
            plain_push(message)
        for cache, command in to_caches:
            cache.handle_safely(command)
        if passed:
            assert await harness.wait_for_status(request) == 503
            assert len(harness.serve_wires(request)) == 1
        else:
            (await harness.wait_for_command(request, 2)).respond(request.job_id)
            assert await harness.wait_for_status(request) == 200
        await harness.assert_settled()

    run_on_uvloop(scenario)


def keep_message(kept: list[tuple[CacheActor, ToCache]], cache: CacheActor, command: ToCache) -> None:
    kept.append((cache, command))


def test_the_latest_moment_of_a_repeat_is_that_of_its_window() -> None:
    keyed = make_class(effect=io.Idempotency.KEYED, window=2 * SECOND, deadline=9 * SECOND)
    bench = RouterBench(make_settings(classes=(keyed, make_class(deadline=9 * SECOND))))
    for request, cls, within in ((1, 0, 1500 * MS), (2, 1, 0)):
        (first,) = attempts(bench.send_request(request, cls))
        bench.now += 500 * MS
        (again,) = attempts(bench.complete_attempt(first, AttemptOutcome.RESET))
        assert (first.first_byte_within, again.first_byte_within) == (0, within)


# The endpoint list


def test_a_machine_gone_and_back_in_one_turn_can_be_asked() -> None:
    async def scenario() -> None:
        harness = FrontHarness(("o-1",))
        await harness.serve_one(BID)
        harness.apply_hosts(harness.host("o-1", health="DELETED"))
        harness.apply_hosts(harness.host("o-1"))
        cache = harness.cache("o-1")
        await until(lambda: not len(cache.mailbox), "both changes are handled")
        for connection in harness.connections():
            connection.close()
        await until(lambda: not harness.connections(), "its connections are closed")
        harness.sweep()
        assert harness.cache("o-1") is cache and not cache.is_leaving
        await harness.serve_one(BID)
        await harness.assert_settled()

    run_on_uvloop(scenario)


def test_a_machine_off_the_list_ends_though_its_mailbox_was_full() -> None:
    async def scenario() -> None:
        harness = FrontHarness(ONE)
        request = harness.submit(BID)
        wire = await harness.wait_for_command(request)
        cache = harness.cache("o-1")
        for _ in range(cache.mailbox.max_messages):
            cache.mailbox.push(RevokeCommand(request.attempts[0]))
        harness.apply_hosts(harness.host("o-1", health="DELETED"))
        wire.respond(request.job_id)  # an attempt under way is still served
        assert await harness.wait_for_status(request) == 200
        harness.sweep()
        await until(lambda: not harness.connections(), "its connections are closed")
        harness.sweep()
        assert len(harness.module.caches) == 1
        await harness.assert_settled()

    run_on_uvloop(scenario)


def test_what_waits_in_a_dial_to_where_a_machine_was_goes_to_where_it_is(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def scenario() -> None:
        dials, harness = HeldDials(monkeypatch), FrontHarness(("o-1", "o-2"))
        harness.apply_hosts(harness.host("o-2", health="DELETED"))
        request = harness.submit(BID)
        await dials.wait_for_dials()
        harness.apply_hosts(harness.host("o-1", dial=harness.machines["o-2"].address))
        dials.release()
        wire = await harness.wait_for_command(request)
        assert wire in harness.machines["o-2"].wires
        wire.respond(request.job_id)
        assert (
            await harness.wait_for_status(request) == 200
            and harness.outcomes(request)[0] is AttemptOutcome.NOT_PROCESSED
        )
        await harness.assert_settled()

    run_on_uvloop(scenario)


def test_a_new_machine_at_an_old_address_gets_nothing_of_the_old_one(monkeypatch: pytest.MonkeyPatch) -> None:
    async def scenario() -> None:
        harness = FrontHarness(("o-1",))
        old = await harness.serve_one(BID)
        begun = harness.submit(BID)
        assert await harness.wait_for_command(begun) is old
        dials = HeldDials(monkeypatch)
        waiting = harness.submit(BID)
        await dials.wait_for_dials()
        address = harness.machines["o-1"].address
        harness.apply_hosts(
            harness.host("o-1", health="DELETED"), harness.host("o-1", host="o-9", dial=address)
        )
        dials.release()
        wire = await harness.wait_for_command(waiting)  # at the new machine, over a connection of its own
        assert wire is not old and harness.outcomes(waiting) == [AttemptOutcome.NOT_PROCESSED]
        wire.respond(waiting.job_id)
        old.respond(begun.job_id)
        assert (await harness.wait_for_status(waiting), await harness.wait_for_status(begun)) == (200, 200)
        assert harness.cache("o-9").connections and len(harness.cache("o-9").connections) == 1
        harness.sweep()
        await until(
            lambda: not harness.cache("o-1").connections,
            "the old machine's connections are closed, also the released one",
        )
        await harness.assert_settled()

    run_on_uvloop(scenario)


def test_an_attempt_that_ended_ends_no_second_time() -> None:
    """Its deadline, its cancel, the break of its connection and its response all come in one turn."""

    async def scenario() -> None:
        harness = FrontHarness(ONE)
        request = harness.submit(BID)
        wire = await harness.wait_for_command(request)
        cache, attempt = harness.cache("o-1"), request.attempts[0]
        wire.respond(request.job_id)
        wire.reset()
        cache._cancel_exchange(attempt, AttemptOutcome.TIMEOUT)
        cache.handle_safely(CancelCommand(attempt))
        cache.handle_safely(RevokeCommand(attempt))
        assert await harness.wait_for_status(request) == 502
        await until(lambda: not harness.connections(), "the connection is closed")
        assert harness.outcomes(request) == [AttemptOutcome.TIMEOUT]
        await harness.assert_settled()

    run_on_uvloop(scenario)
