"""Responses of caches that cross with broken connections, stalls, duplicates, retries and closes."""

from __future__ import annotations

import asyncio
from typing import Any

import pytest

from quincepier import clock
from quincepier.interface import AttemptOutcome
from quincepier.memory.open_requests import OpenRequest
from quincepier.net.messages import CancelCommand
from tests.attemptkit import BID, IMAGE, AdjustableClock, FrontHarness, Wire, encode_response, run_on_uvloop
from tests.rig import SECOND
from tests.standins import until

ONE, TWO = ("s-1", "o-1"), ("s-1", "s-2", "o-1")
KEYED = {IMAGE: {"effect": "guarded", "group": "all", "window": 2 * SECOND}}
ZONED = {IMAGE: {"effect": "guarded", "group": "zone", "window": 2 * SECOND}}
CELLS = {IMAGE: {"effect": "guarded", "group": "cell", "window": 2 * SECOND}}
UNSAFE = {IMAGE: {"effect": "single_shot"}}


def break_connection(wire: Wire, request: OpenRequest, how: str) -> None:
    """The machine dies while it works, inside the first line of its response, or inside its body."""
    response = encode_response(request.job_id, b"x" * 1000)
    if how != "no byte":
        wire.send(response[: 20 if how == "half a line" else 500])
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
        front_clock, harness = AdjustableClock(monkeypatch), FrontHarness(TWO, classes)
        request = harness.submit()
        wire = await harness.wait_for_command(request)
        front_clock.advance(later * SECOND)
        break_connection(wire, request, how)
        if again:
            (await harness.wait_for_command(request, 2)).respond(request.job_id)
        assert await harness.wait_for_status(request) == (200 if again else 503 if classes is KEYED else 502)
        assert len(harness.serve_wires(request)) == 1 + again
        await harness.assert_settled()

    run_on_uvloop(scenario)


@pytest.mark.parametrize(("group", "again"), [("zone", True), ("cell", False)])
def test_what_a_cell_alone_would_drop_does_not_run_in_another(group: str, again: bool) -> None:
    async def scenario() -> None:
        harness = FrontHarness(TWO, ZONED if group == "zone" else CELLS)
        harness.apply_hosts(harness.host("s-2", block=2))
        request = harness.submit()
        (await harness.wait_for_command(request)).reset()
        if again:
            (await harness.wait_for_command(request, 2)).respond(request.job_id)
        assert await harness.wait_for_status(request) == (200 if again else 502)
        assert len(harness.serve_wires(request)) == 1 + again
        await harness.assert_settled()

    run_on_uvloop(scenario)


def test_two_breaks_in_a_row_then_an_answer() -> None:
    async def scenario() -> None:
        harness = FrontHarness(("s-1", "s-2", "s-3", "o-1"), KEYED)
        request = harness.submit()
        for times in (1, 2):
            break_connection(await harness.wait_for_command(request, times), request, "half an answer")
        (await harness.wait_for_command(request, 3)).respond(request.job_id)
        assert await harness.wait_for_status(request) == 200
        assert harness.outcomes(request) == [AttemptOutcome.RESET, AttemptOutcome.RESET, AttemptOutcome.OK]
        assert len({id(wire) for wire in harness.serve_wires(request)}) == 3
        await harness.assert_settled()

    run_on_uvloop(scenario)


# Duplicate and late responses


@pytest.mark.parametrize("when", ["in one piece", "behind the next command", "before the next"])
def test_a_second_answer_is_passed_over_and_its_connection_goes_on(when: str) -> None:
    async def scenario() -> None:
        harness = FrontHarness(ONE)
        first = harness.submit(BID)
        wire, second = await harness.wait_for_command(first), encode_response(first.job_id, b"other bytes")
        wire.send(encode_response(first.job_id) + (second if when == "in one piece" else b""))
        assert await harness.wait_for_status(first) == 200
        if when == "before the next":
            wire.send(second)
            await until(
                lambda: harness.checks.counts["late_responses_dropped"] == 1, "the duplicate is dropped"
            )
        request = harness.submit(BID)
        assert await harness.wait_for_command(request) is wire
        if when == "behind the next command":
            wire.send(second)
        wire.respond(request.job_id)
        assert await harness.wait_for_status(request) == 200
        assert harness.checks.counts["late_responses_dropped"] == 1
        await harness.assert_settled()

    run_on_uvloop(scenario)


@pytest.mark.parametrize("late", ["before the second's", "behind the second's"])
def test_the_late_answer_of_a_first_attempt_is_none_of_the_second_s(
    monkeypatch: pytest.MonkeyPatch, late: str
) -> None:
    """The first attempt was cancelled on a connection that stays; the same id is sent over another one."""

    async def scenario() -> None:
        harness = FrontHarness(("s-1", "o-1"))
        request = harness.submit()
        first = await harness.wait_for_command(request)
        cache, attempt = harness.cache("s-1"), request.attempts[0]
        cache._cancel_exchange(
            attempt, AttemptOutcome.NOT_PROCESSED
        )  # so that it is retried at the same machine
        second = await harness.wait_for_command(request, 2)
        assert second is not first
        await until(lambda: harness.count_cancels(request) == 1, "the first attempt is cancelled")
        if late == "before the second's":
            first.send(encode_response(request.job_id, b"of the first"))
            await until(
                lambda: harness.checks.counts["late_responses_dropped"] == 1, "the late response is dropped"
            )
            assert not request.is_finished
        second.respond(request.job_id, b"of the second")
        responses = request.receiver.responses  # type: ignore[attr-defined]
        await until(lambda: bool(responses), "the request is answered")
        assert [bytes(chunk) for chunk in responses[0].body.take_chunks()] == [b"of the second"]
        assert await harness.wait_for_status(request) == 200
        if late == "behind the second's":
            first.send(encode_response(request.job_id, b"of the first"))
            await until(
                lambda: harness.checks.counts["late_responses_dropped"] == 1, "the late response is dropped"
            )
        await harness.assert_settled()

    run_on_uvloop(scenario)


@pytest.mark.parametrize("order", ["answer, cancel", "cancel, answer"])
def test_an_answer_and_its_cancel_in_one_turn_end_the_attempt_once(order: str) -> None:
    async def scenario() -> None:
        harness = FrontHarness(ONE)
        request = harness.submit(BID)
        wire = await harness.wait_for_command(request)
        cache, attempt = harness.cache("o-1"), request.attempts[0]
        if order == "answer, cancel":
            wire.respond(request.job_id, b"y" * 100_000)  # readable, but not read yet
        cache.handle_safely(CancelCommand(attempt))
        if order == "cancel, answer":
            wire.respond(request.job_id, b"y" * 100_000)
        assert await harness.wait_for_status(request) == 502
        assert harness.outcomes(request) == [AttemptOutcome.CANCELLED]
        await until(
            lambda: harness.checks.counts["late_responses_dropped"] == 1, "the late response is dropped"
        )
        assert harness.pool.used == 0
        assert await harness.serve_one(BID) is wire
        await harness.assert_settled()

    run_on_uvloop(scenario)


# Responses that never end


@pytest.mark.parametrize("whose", ["given up", "of a second copy", "half a line of nobody"])
def test_an_answer_that_never_ends_holds_no_other_up_and_ends_with_its_connection(
    monkeypatch: pytest.MonkeyPatch, whose: str
) -> None:
    async def scenario() -> None:
        front_clock, harness = AdjustableClock(monkeypatch), FrontHarness(ONE)
        request = harness.submit(BID)
        wire = await harness.wait_for_command(request)
        (connection,) = harness.connections()
        endless = encode_response(request.job_id, b"z" * 100_000)[:300]
        if whose == "given up":
            wire.send(endless)
            await until(lambda: connection.body is not None, "the response has begun")
            harness.disconnect_client(request)
            await until(lambda: bool(harness.outcomes(request)), "the attempt is cancelled")
        else:
            wire.respond(request.job_id)
            assert await harness.wait_for_status(request) == 200
            wire.send(endless if whose == "of a second copy" else endless[:20])
            await until(lambda: not connection.is_between_responses, "the response has begun")
        behind = harness.submit(BID)
        other = await harness.wait_for_command(behind)
        assert other is not wire
        other.respond(behind.job_id)
        assert await harness.wait_for_status(behind) == 200
        harness.sweep()
        assert not connection.is_closing  # the response may still end
        for _ in range(3):  # it makes progress, a byte at a time
            front_clock.advance(harness.config.dial_timeout // 2)
            heard = connection.last_read_at
            wire.send(b"z")
            await until(lambda heard=heard: connection.last_read_at > heard, "the byte is read")  # type: ignore[misc]
        harness.sweep()
        await until(
            lambda: harness.connections() == [c for c in harness.connections() if c.is_idle], "it ends"
        )
        assert len(harness.connections()) == 1 and harness.pool.used == 0
        assert await harness.serve_one(BID) is other
        await harness.assert_settled()

    run_on_uvloop(scenario)


def test_an_answer_that_never_ends_gives_its_descriptor_to_the_next_attempt() -> None:
    async def scenario() -> None:
        harness = FrontHarness(ONE)
        wire = await harness.serve_one(BID)
        (connection,) = harness.connections()
        harness.descriptors.max_outbound = 1
        wire.send(encode_response("0" * 16, b"z" * 100_000)[:300])
        await until(lambda: not connection.is_between_responses, "the response has begun")
        other = await harness.serve_one(BID)
        assert other is not wire and connection not in harness.connections()
        await harness.assert_settled()

    run_on_uvloop(scenario)


@pytest.mark.parametrize(("classes", "again"), [({}, True), (UNSAFE, False)], ids=["safe", "unsafe"])
def test_a_machine_that_hangs_inside_its_answer_ends_the_attempt_by_effect(
    monkeypatch: pytest.MonkeyPatch, classes: dict[int, dict[str, object]], again: bool
) -> None:
    async def scenario() -> None:
        front_clock, harness = AdjustableClock(monkeypatch), FrontHarness(TWO, classes)
        request = harness.submit()
        wire = await harness.wait_for_command(request)
        (connection,) = harness.connections()
        wire.send(encode_response(request.job_id, b"x" * 1000)[:500])
        await until(lambda: not connection.is_between_responses, "the response has begun")
        front_clock.advance(2 * harness.config.dial_timeout)
        harness.module.sweep(clock.now(), late=True)  # a pause of this process is no fault of the machine
        assert not connection.is_closing
        harness.sweep()
        if again:
            (await harness.wait_for_command(request, 2)).respond(request.job_id)
        assert await harness.wait_for_status(request) == (200 if again else 502)
        assert len(harness.serve_wires(request)) == 1 + again
        await harness.assert_settled()

    run_on_uvloop(scenario)


@pytest.mark.parametrize("what", ["half a line", "half an answer", "a whole answer"])
@pytest.mark.parametrize("first", ["the bytes", "the close"])
def test_bytes_that_come_in_the_turn_of_our_close_harm_nothing(what: str, first: str) -> None:
    async def scenario() -> None:
        harness = FrontHarness(ONE)
        wire = await harness.serve_one(BID)
        (connection,) = harness.connections()
        request = harness.submit(BID)
        response = encode_response(request.job_id if what == "a whole answer" else "0" * 16, b"x" * 1000)
        response = response if what == "a whole answer" else response[: 20 if what == "half a line" else 500]
        if first == "the bytes":
            wire.send(response)
        connection.close()
        harness.handle_next("o-1")  # before the connection has handled its end
        if first == "the close":
            wire.send(response)
        again = await harness.wait_for_command(request)
        assert again is not wire and connection not in harness.connections()
        again.respond(request.job_id)
        assert await harness.wait_for_status(request) == 200 and harness.outcomes(request) == [
            AttemptOutcome.OK
        ]
        await harness.assert_settled()

    run_on_uvloop(scenario)


@pytest.mark.parametrize("how", ["end", "reset"])
def test_an_answer_that_is_whole_counts_though_its_connection_ends_behind_it(how: str) -> None:
    async def scenario() -> None:
        harness = FrontHarness(ONE)
        request = harness.submit(BID)
        wire = await harness.wait_for_command(request)
        wire.respond(request.job_id, b"y" * 1000)  # all of it arrives before the end of the connection
        if how == "end":
            wire.close()
        else:
            wire.reset()
        assert await harness.wait_for_status(request) == 200
        assert harness.outcomes(request) == [AttemptOutcome.OK]
        await harness.assert_settled()

    run_on_uvloop(scenario)


def test_a_connection_closed_as_it_ends_by_itself_leaves_no_descriptor(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """`close` is called between the end of its reader and the end of its writer, as `run` waits for them."""
    plain_gather, harnesses = asyncio.gather, list[FrontHarness]()

    def gather_and_close(*awaitables: Any, **options: Any) -> Any:
        waiting = plain_gather(*awaitables, **options)
        for connection in harnesses[0].connections():
            connection.close()
        return waiting

    async def scenario() -> None:
        harness = FrontHarness(ONE)
        harnesses.append(harness)
        request = harness.submit(BID)
        wire = await harness.wait_for_command(request)
        wire.respond(request.job_id, b"whole")
        assert await harness.wait_for_status(request) == 200
        monkeypatch.setattr(asyncio, "gather", gather_and_close)
        wire.close()
        await until(lambda: not harness.connections(), "the connection is closed")
        monkeypatch.undo()
        await harness.assert_settled()

    run_on_uvloop(scenario)
