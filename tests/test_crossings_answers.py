"""Answers of caches as they cross what ends them: breaks, silence, second copies, repeats, a close."""

from __future__ import annotations

import asyncio
from typing import Any

import pytest

from quincepier import clock
from quincepier.interface import AttemptOutcome
from quincepier.memory.open_requests import OpenRequest
from quincepier.net.messages import CallOff
from tests.attemptkit import BID, IMAGE, Clock, Inside, Wire, answer, on_loop
from tests.rig import SECOND
from tests.standins import until

ONE, TWO = ("s-1", "o-1"), ("s-1", "s-2", "o-1")
KEYED = {IMAGE: {"effect": "guarded", "group": "all", "window": 2 * SECOND}}
ZONED = {IMAGE: {"effect": "guarded", "group": "zone", "window": 2 * SECOND}}
CELLS = {IMAGE: {"effect": "guarded", "group": "cell", "window": 2 * SECOND}}
UNSAFE = {IMAGE: {"effect": "single_shot"}}


def cut(wire: Wire, request: OpenRequest, how: str) -> None:
    """The machine dies in the middle of its answer, of its line, or of its work."""
    whole = answer(request.job_id, b"x" * 1000)
    if how != "no byte":
        wire.say(whole[: 20 if how == "half a line" else 500])
    if how == "end":
        wire.close()
    else:
        wire.reset()


@pytest.mark.parametrize("how", ["no byte", "half a line", "half an answer", "end"])
@pytest.mark.parametrize(
    ("classes", "later", "again"),
    [
        ({}, 0, True),
        ({}, 20, True),
        (KEYED, 0, True),
        (KEYED, 3, False),
        (ZONED, 0, True),
        (CELLS, 0, True),
        (UNSAFE, 0, False),
    ],
    ids=["safe", "safe, long after", "keyed", "keyed, past its window", "zone", "cell", "unsafe"],
)
def test_what_broke_off_runs_again_by_its_effect_and_window(
    monkeypatch: pytest.MonkeyPatch, classes: dict[int, dict[str, object]], later: int, again: bool, how: str
) -> None:
    async def scenario() -> None:
        front_clock, inside = Clock(monkeypatch), Inside(TWO, classes)
        request = inside.ask()
        wire = await inside.out(request)
        front_clock.on(later * SECOND)
        cut(wire, request, how)
        if again:
            (await inside.out(request, 2)).answer(request.job_id)
        assert await inside.status(request) == (200 if again else 503 if classes is KEYED else 502)
        assert len(inside.serves(request)) == 1 + again
        await inside.settled()

    on_loop(scenario)


@pytest.mark.parametrize(("group", "again"), [("zone", True), ("cell", False)])
def test_what_a_cell_alone_would_drop_does_not_run_in_another(group: str, again: bool) -> None:
    async def scenario() -> None:
        inside = Inside(TWO, ZONED if group == "zone" else CELLS)
        inside.listed(inside.host("s-2", block=2))
        request = inside.ask()
        (await inside.out(request)).reset()
        if again:
            (await inside.out(request, 2)).answer(request.job_id)
        assert await inside.status(request) == (200 if again else 502)
        assert len(inside.serves(request)) == 1 + again
        await inside.settled()

    on_loop(scenario)


def test_two_breaks_in_a_row_then_an_answer() -> None:
    async def scenario() -> None:
        inside = Inside(("s-1", "s-2", "s-3", "o-1"), KEYED)
        request = inside.ask()
        for times in (1, 2):
            cut(await inside.out(request, times), request, "half an answer")
        (await inside.out(request, 3)).answer(request.job_id)
        assert await inside.status(request) == 200
        assert inside.endings(request) == [AttemptOutcome.RESET, AttemptOutcome.RESET, AttemptOutcome.OK]
        assert len({id(wire) for wire in inside.serves(request)}) == 3
        await inside.settled()

    on_loop(scenario)


# Twice, or late


@pytest.mark.parametrize("when", ["in one piece", "behind the next command", "before the next"])
def test_a_second_answer_is_passed_over_and_its_connection_goes_on(when: str) -> None:
    async def scenario() -> None:
        inside = Inside(ONE)
        first = inside.ask(BID)
        wire, second = await inside.out(first), answer(first.job_id, b"other bytes")
        wire.say(answer(first.job_id) + (second if when == "in one piece" else b""))
        assert await inside.status(first) == 200
        if when == "before the next":
            wire.say(second)
            await until(lambda: inside.checks.counts["late_responses_dropped"] == 1, "it is read past")
        request = inside.ask(BID)
        assert await inside.out(request) is wire
        if when == "behind the next command":
            wire.say(second)
        wire.answer(request.job_id)
        assert await inside.status(request) == 200
        assert inside.checks.counts["late_responses_dropped"] == 1
        await inside.settled()

    on_loop(scenario)


@pytest.mark.parametrize("late", ["before the second's", "behind the second's"])
def test_the_late_answer_of_a_first_attempt_is_none_of_the_second_s(
    monkeypatch: pytest.MonkeyPatch, late: str
) -> None:
    """The first attempt was given up over a connection that goes on; the same id is out over another."""

    async def scenario() -> None:
        inside = Inside(("s-1", "o-1"))
        request = inside.ask()
        first = await inside.out(request)
        cache, attempt = inside.cache("s-1"), request.attempts[0]
        cache._give_up(attempt, AttemptOutcome.NOT_PROCESSED)  # so it goes to the same machine again
        second = await inside.out(request, 2)
        assert second is not first
        await until(lambda: inside.cancels(request) == 1, "the first is called off")
        if late == "before the second's":
            first.say(answer(request.job_id, b"of the first"))
            await until(lambda: inside.checks.counts["late_responses_dropped"] == 1, "dropped")
            assert not request.is_finished
        second.answer(request.job_id, b"of the second")
        responses = request.receiver.responses  # type: ignore[attr-defined]
        await until(lambda: bool(responses), "it is answered")
        assert [bytes(chunk) for chunk in responses[0].body.chunks()] == [b"of the second"]
        assert await inside.status(request) == 200
        if late == "behind the second's":
            first.say(answer(request.job_id, b"of the first"))
            await until(lambda: inside.checks.counts["late_responses_dropped"] == 1, "dropped")
        await inside.settled()

    on_loop(scenario)


@pytest.mark.parametrize("order", ["answer, cancel", "cancel, answer"])
def test_an_answer_and_its_cancel_in_one_turn_end_the_attempt_once(order: str) -> None:
    async def scenario() -> None:
        inside = Inside(ONE)
        request = inside.ask(BID)
        wire = await inside.out(request)
        cache, attempt = inside.cache("o-1"), request.attempts[0]
        if order == "answer, cancel":
            wire.answer(request.job_id, b"y" * 100_000)  # it can be read; it has not been
        cache.safely(CallOff(attempt))
        if order == "cancel, answer":
            wire.answer(request.job_id, b"y" * 100_000)
        assert await inside.status(request) == 502
        assert inside.endings(request) == [AttemptOutcome.CANCELLED]
        await until(lambda: inside.checks.counts["late_responses_dropped"] == 1, "dropped")
        assert inside.pool.used == 0
        assert await inside.served(BID) is wire
        await inside.settled()

    on_loop(scenario)


# Never whole


@pytest.mark.parametrize("whose", ["given up", "of a second copy", "half a line of nobody"])
def test_an_answer_that_never_ends_holds_no_other_up_and_ends_with_its_connection(
    monkeypatch: pytest.MonkeyPatch, whose: str
) -> None:
    async def scenario() -> None:
        front_clock, inside = Clock(monkeypatch), Inside(ONE)
        request = inside.ask(BID)
        wire = await inside.out(request)
        (connection,) = inside.connections()
        endless = answer(request.job_id, b"z" * 100_000)[:300]
        if whose == "given up":
            wire.say(endless)
            await until(lambda: connection.body is not None, "it has begun")
            inside.left(request)
            await until(lambda: bool(inside.endings(request)), "given up")
        else:
            wire.answer(request.job_id)
            assert await inside.status(request) == 200
            wire.say(endless if whose == "of a second copy" else endless[:20])
            await until(lambda: not connection.between, "it has begun")
        behind = inside.ask(BID)
        other = await inside.out(behind)
        assert other is not wire
        other.answer(behind.job_id)
        assert await inside.status(behind) == 200
        inside.sweep()
        assert not connection.lost  # it may still become whole
        for _ in range(3):  # it goes on, a byte at a time
            front_clock.on(inside.config.dial_timeout // 2)
            heard = connection.heard
            wire.say(b"z")
            await until(lambda heard=heard: connection.heard > heard, "it is read")  # type: ignore[misc]
        inside.sweep()
        await until(lambda: inside.connections() == [c for c in inside.connections() if c.idle], "it ends")
        assert len(inside.connections()) == 1 and inside.pool.used == 0
        assert await inside.served(BID) is other
        await inside.settled()

    on_loop(scenario)


def test_an_answer_that_never_ends_gives_its_descriptor_to_the_next_attempt() -> None:
    async def scenario() -> None:
        inside = Inside(ONE)
        wire = await inside.served(BID)
        (connection,) = inside.connections()
        inside.descriptors.caches_most = 1
        wire.say(answer("0" * 16, b"z" * 100_000)[:300])
        await until(lambda: not connection.between, "it has begun")
        other = await inside.served(BID)
        assert other is not wire and connection not in inside.connections()
        await inside.settled()

    on_loop(scenario)


@pytest.mark.parametrize(("classes", "again"), [({}, True), (UNSAFE, False)], ids=["safe", "unsafe"])
def test_a_machine_that_hangs_inside_its_answer_ends_the_attempt_by_effect(
    monkeypatch: pytest.MonkeyPatch, classes: dict[int, dict[str, object]], again: bool
) -> None:
    async def scenario() -> None:
        front_clock, inside = Clock(monkeypatch), Inside(TWO, classes)
        request = inside.ask()
        wire = await inside.out(request)
        (connection,) = inside.connections()
        wire.say(answer(request.job_id, b"x" * 1000)[:500])
        await until(lambda: not connection.between, "it has begun")
        front_clock.on(2 * inside.config.dial_timeout)
        inside.module.sweep(clock.now(), late=True)  # a standstill of our own accuses nobody
        assert not connection.lost
        inside.sweep()
        if again:
            (await inside.out(request, 2)).answer(request.job_id)
        assert await inside.status(request) == (200 if again else 502)
        assert len(inside.serves(request)) == 1 + again
        await inside.settled()

    on_loop(scenario)


@pytest.mark.parametrize("what", ["half a line", "half an answer", "a whole answer"])
@pytest.mark.parametrize("first", ["the bytes", "the close"])
def test_bytes_that_come_in_the_turn_of_our_close_harm_nothing(what: str, first: str) -> None:
    async def scenario() -> None:
        inside = Inside(ONE)
        wire = await inside.served(BID)
        (connection,) = inside.connections()
        request = inside.ask(BID)
        text = answer(request.job_id if what == "a whole answer" else "0" * 16, b"x" * 1000)
        text = text if what == "a whole answer" else text[: 20 if what == "half a line" else 500]
        if first == "the bytes":
            wire.say(text)
        connection.close()
        inside.taken("o-1")  # before the connection has got to its end
        if first == "the close":
            wire.say(text)
        again = await inside.out(request)
        assert again is not wire and connection not in inside.connections()
        again.answer(request.job_id)
        assert await inside.status(request) == 200 and inside.endings(request) == [AttemptOutcome.OK]
        await inside.settled()

    on_loop(scenario)


@pytest.mark.parametrize("how", ["end", "reset"])
def test_an_answer_that_is_whole_counts_though_its_connection_ends_behind_it(how: str) -> None:
    async def scenario() -> None:
        inside = Inside(ONE)
        request = inside.ask(BID)
        wire = await inside.out(request)
        wire.answer(request.job_id, b"y" * 1000)  # all of it is over there before the end is
        if how == "end":
            wire.close()
        else:
            wire.reset()
        assert await inside.status(request) == 200
        assert inside.endings(request) == [AttemptOutcome.OK]
        await inside.settled()

    on_loop(scenario)


def test_a_connection_closed_as_it_ends_by_itself_leaves_no_descriptor(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """`close` comes between the end of its reader and the end of its writer, which are waited for."""
    plain, opened = asyncio.gather, list[Inside]()

    def closed_meanwhile(*parts: Any, **how: Any) -> Any:
        waiting = plain(*parts, **how)
        for connection in opened[0].connections():
            connection.close()
        return waiting

    async def scenario() -> None:
        inside = Inside(ONE)
        opened.append(inside)
        request = inside.ask(BID)
        wire = await inside.out(request)
        wire.answer(request.job_id, b"whole")
        assert await inside.status(request) == 200
        monkeypatch.setattr(asyncio, "gather", closed_meanwhile)
        wire.close()
        await until(lambda: not inside.connections(), "the connection is gone")
        monkeypatch.undo()
        await inside.settled()

    on_loop(scenario)
