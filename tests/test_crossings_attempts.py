"""Attempts as they cross what ends them: a client that goes, a window that passes, a break, the list."""

from __future__ import annotations

import asyncio
from functools import partial

import pytest

from quincepier import clock
from quincepier import interface as io
from quincepier.interface import AttemptOutcome
from quincepier.net.cache import CacheActor
from quincepier.net.messages import CallOff, Recall, ToCache, ToModule
from tests.attemptkit import BID, IMAGE, Clock, Dials, Inside, on_loop
from tests.rig import MS, SECOND, Bench, attempts, make_class, make_settings
from tests.standins import until

ONE = ("s-1", "o-1")
KEYED = {IMAGE: {"effect": "guarded", "group": "all", "window": 2 * SECOND}}


# Clients that are gone


def test_nothing_begins_for_a_client_that_left_before_the_module_got_to_its_request() -> None:
    async def scenario() -> None:
        inside = Inside(ONE)
        request = inside.ask()
        request.cancel(clock.now())  # its Left stands behind
        await inside.served()
        assert not inside.serves(request) and request.number < 0
        inside.left(request)
        await inside.settled()

    on_loop(scenario)


def test_nothing_begins_for_a_client_that_left_as_its_request_was_decided() -> None:
    async def scenario() -> None:
        inside = Inside(ONE)
        request, decide = inside.ask(), inside.module.router.handle

        def handle(now: int, event: io.Event) -> list[io.Action]:
            actions = decide(now, event)
            request.is_cancelled = request.is_cancelled or isinstance(event, io.RequestReceived)
            return actions

        inside.module.router.handle = handle  # type: ignore[method-assign]
        await until(lambda: request.is_finished, "the module lets go of it without its Left")
        inside.module.router.handle = decide  # type: ignore[method-assign]
        await inside.served()
        assert not inside.serves(request) and not request.receiver.responses  # type: ignore[attr-defined]
        inside.left(request)
        await inside.settled()
        assert inside.events.count(io.ClientDisconnected(request.number)) == 1

    on_loop(scenario)


def test_nothing_begins_for_a_client_that_left_as_its_attempt_was_dialled(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def scenario() -> None:
        dials, inside = Dials(monkeypatch), Inside(ONE)
        request = inside.ask()
        await dials.begun()
        request.cancel(clock.now())  # its Left stands behind
        dials.let()
        await until(lambda: request.is_finished, "the module lets go of it without its Left")
        wire = await inside.served()
        assert not inside.serves(request) and not inside.cancels(request)
        assert len(inside.machines["s-1"].wires) == 1 and wire  # the connection is of use to the next
        inside.left(request)
        await inside.settled()

    on_loop(scenario)


def test_no_further_attempt_begins_for_a_client_that_left_as_the_first_was_reset() -> None:
    async def scenario() -> None:
        inside = Inside(("s-1", "s-2", "o-1"))
        request = inside.ask()
        wire = await inside.out(request)
        request.cancel(clock.now())  # its Left stands behind
        wire.reset()
        await until(lambda: request.is_finished, "the module lets go of it without its Left")
        await inside.served()
        assert len(inside.serves(request)) == 1 and inside.endings(request) == [AttemptOutcome.RESET]
        inside.left(request)
        await inside.settled()
        assert inside.events.count(io.ClientDisconnected(request.number)) == 1

    on_loop(scenario)


# Attempts given up as they wait

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
        dials, inside = Dials(monkeypatch), Inside(ONE)
        request = inside.ask(BID)
        await dials.begun()
        cache, attempt = inside.cache("o-1"), request.attempts[0]
        for step in ORDERS[order].split():
            match step:
                case "cancel":
                    cache.safely(CallOff(attempt))
                case "up":
                    dials.let()
                case "close":
                    inside.connections()[0].close()
                case "turn":
                    await asyncio.sleep(0)
                case error:
                    dials.let(ERRORS[error])
        assert await inside.status(request) == 502 and inside.endings(request) == [AttemptOutcome.CANCELLED]
        assert len(inside.connections()) == inside.descriptors.caches
        await inside.served(BID)
        written = "written" in order
        assert (len(inside.serves(request)), inside.cancels(request)) == (written, written)
        await inside.settled()

    on_loop(scenario)


def test_what_was_answered_is_not_sent_though_it_still_waits_in_a_dial(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def scenario() -> None:
        dials, inside = Dials(monkeypatch), Inside(ONE)
        request = inside.ask(allowed_ns=300 * MS)
        await dials.begun()
        cache, heard = inside.cache("s-1"), list[ToCache]()
        cache.timers[request.attempts[0]].cancel()
        cache.handle = heard.append  # type: ignore[method-assign, assignment]  # it gets to nothing any more
        assert await inside.status(request) == 502  # its time is up
        dials.let()
        await until(lambda: inside.endings(request) != [], "it ends")
        del cache.handle
        await inside.served()
        assert not inside.serves(request) and [type(m) for m in heard] == [CallOff]
        await inside.settled()

    on_loop(scenario)


# Windows for repeats


@pytest.mark.parametrize("where", ["dial", "mailbox", "module"])
@pytest.mark.parametrize("passed", [True, False], ids=["passed", "within"])
def test_a_repeat_that_waits_past_its_window_does_not_go_out(
    monkeypatch: pytest.MonkeyPatch, where: str, passed: bool
) -> None:
    async def scenario() -> None:
        front_clock, inside = Clock(monkeypatch), Inside(("s-1", "s-2", "o-1"), KEYED)
        request = inside.ask()
        wire = await inside.out(request)
        to_module, to_caches = list[ToModule](), list[tuple[CacheActor, ToCache]]()
        take, dials = inside.module.mailbox.push, Dials(monkeypatch)
        dials.held = where == "dial"
        if where == "module":  # the end of the first attempt stands in its mailbox
            inside.module.mailbox.push = to_module.append  # type: ignore[method-assign, assignment]
        caches = list(inside.module.caches.values()) if where == "mailbox" else []
        for cache in caches:  # the second attempt in theirs
            cache.safely = partial(keep, to_caches, cache)  # type: ignore[method-assign]
        wire.reset()
        await until(lambda: bool(dials.waiting or to_module or to_caches), "it waits")
        front_clock.on(3 * SECOND if passed else SECOND // 2)
        dials.let()
        inside.module.mailbox.push = take  # type: ignore[method-assign]
        for cache in caches:
            del cache.safely
        for message in to_module:
            take(message)
        for cache, command in to_caches:
            cache.safely(command)
        if passed:
            assert await inside.status(request) == 503
            assert len(inside.serves(request)) == 1
        else:
            (await inside.out(request, 2)).answer(request.job_id)
            assert await inside.status(request) == 200
        await inside.settled()

    on_loop(scenario)


def keep(kept: list[tuple[CacheActor, ToCache]], cache: CacheActor, command: ToCache) -> None:
    kept.append((cache, command))


def test_the_latest_moment_of_a_repeat_is_that_of_its_window() -> None:
    keyed = make_class(effect=io.Idempotency.KEYED, window=2 * SECOND, deadline=9 * SECOND)
    bench = Bench(make_settings(classes=(keyed, make_class(deadline=9 * SECOND))))
    for request, cls, within in ((1, 0, 1500 * MS), (2, 1, 0)):
        (first,) = attempts(bench.ask(request, cls))
        bench.now += 500 * MS
        (again,) = attempts(bench.end(first, AttemptOutcome.RESET))
        assert (first.first_byte_within, again.first_byte_within) == (0, within)


# The list


def test_a_machine_gone_and_back_in_one_turn_can_be_asked() -> None:
    async def scenario() -> None:
        inside = Inside(("o-1",))
        await inside.served(BID)
        inside.listed(inside.host("o-1", health="DELETED"))
        inside.listed(inside.host("o-1"))
        cache = inside.cache("o-1")
        await until(lambda: not len(cache.mailbox), "it has heard of both")
        for connection in inside.connections():
            connection.close()
        await until(lambda: not inside.connections(), "nothing is left of it")
        inside.sweep()
        assert inside.cache("o-1") is cache and not cache.leaving
        await inside.served(BID)
        await inside.settled()

    on_loop(scenario)


def test_a_machine_off_the_list_ends_though_its_mailbox_was_full() -> None:
    async def scenario() -> None:
        inside = Inside(ONE)
        request = inside.ask(BID)
        wire = await inside.out(request)
        cache = inside.cache("o-1")
        for _ in range(cache.mailbox.most):
            cache.mailbox.push(Recall(request.attempts[0]))
        inside.listed(inside.host("o-1", health="DELETED"))
        wire.answer(request.job_id)  # what is out is heard to its end
        assert await inside.status(request) == 200
        inside.sweep()
        await until(lambda: not inside.connections(), "its connections end")
        inside.sweep()
        assert len(inside.module.caches) == 1
        await inside.settled()

    on_loop(scenario)


def test_what_waits_in_a_dial_to_where_a_machine_was_goes_to_where_it_is(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def scenario() -> None:
        dials, inside = Dials(monkeypatch), Inside(("o-1", "o-2"))
        inside.listed(inside.host("o-2", health="DELETED"))
        request = inside.ask(BID)
        await dials.begun()
        inside.listed(inside.host("o-1", dial=inside.machines["o-2"].address))
        dials.let()
        wire = await inside.out(request)
        assert wire in inside.machines["o-2"].wires
        wire.answer(request.job_id)
        assert (
            await inside.status(request) == 200 and inside.endings(request)[0] is AttemptOutcome.NOT_PROCESSED
        )
        await inside.settled()

    on_loop(scenario)


def test_a_new_machine_at_an_old_address_gets_nothing_of_the_old_one(monkeypatch: pytest.MonkeyPatch) -> None:
    async def scenario() -> None:
        inside = Inside(("o-1",))
        old = await inside.served(BID)
        begun = inside.ask(BID)
        assert await inside.out(begun) is old
        dials = Dials(monkeypatch)
        waiting = inside.ask(BID)
        await dials.begun()
        address = inside.machines["o-1"].address
        inside.listed(inside.host("o-1", health="DELETED"), inside.host("o-1", host="o-9", dial=address))
        dials.let()
        wire = await inside.out(waiting)  # for the new one, over a connection of its own
        assert wire is not old and inside.endings(waiting) == [AttemptOutcome.NOT_PROCESSED]
        wire.answer(waiting.job_id)
        old.answer(begun.job_id)
        assert (await inside.status(waiting), await inside.status(begun)) == (200, 200)
        assert inside.cache("o-9").connections and len(inside.cache("o-9").connections) == 1
        inside.sweep()
        await until(
            lambda: not inside.cache("o-1").connections, "the old one's end, also the one let through"
        )
        await inside.settled()

    on_loop(scenario)


def test_an_attempt_that_ended_ends_no_second_time() -> None:
    """Its time is up, its cancel comes, its connection breaks and its answer is there, all in one turn."""

    async def scenario() -> None:
        inside = Inside(ONE)
        request = inside.ask(BID)
        wire = await inside.out(request)
        cache, attempt = inside.cache("o-1"), request.attempts[0]
        wire.answer(request.job_id)
        wire.reset()
        cache._give_up(attempt, AttemptOutcome.TIMEOUT)
        cache.safely(CallOff(attempt))
        cache.safely(Recall(attempt))
        assert await inside.status(request) == 502
        await until(lambda: not inside.connections(), "the break is heard")
        assert inside.endings(request) == [AttemptOutcome.TIMEOUT]
        await inside.settled()

    on_loop(scenario)
