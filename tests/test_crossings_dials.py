"""Connections that come up late: what waits for one goes over the next that is free, and blames nobody."""

from __future__ import annotations

import pytest

from quincepier.interface import AttemptOutcome, CacheStatus
from quincepier.memory.open_requests import OpenRequest
from quincepier.net.cache import CacheActor
from tests.attemptkit import Dials, Inside, Wire, on_loop
from tests.rig import MS, RouterBench, attempts
from tests.standins import until

ONE = ("s-1", "o-1")


async def one_out(patch: pytest.MonkeyPatch) -> tuple[Inside, OpenRequest, Wire, Dials]:
    """One request is out over the one connection that is up; whatever is dialled from now on is held."""
    inside = Inside(ONE)
    first = inside.ask()
    wire = await inside.out(first)
    return inside, first, wire, Dials(patch)


def test_what_waits_for_a_dial_goes_over_the_connection_that_is_free_first(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def scenario() -> None:
        inside, first, wire, dials = await one_out(monkeypatch)
        second, third = inside.ask(), inside.ask()
        await dials.begun(2)
        wire.answer(first.job_id)
        assert await inside.status(first) == 200
        assert await inside.out(second) is wire  # in the order in which they came
        assert not inside.serves(third)
        dials.let()
        other = await inside.out(third)
        assert other is not wire
        for request, over in ((second, wire), (third, other)):
            over.answer(request.job_id)
            assert await inside.status(request) == 200
            assert inside.endings(request) == [AttemptOutcome.OK]
        await inside.settled()

    on_loop(scenario)


def test_what_has_gone_over_another_connection_is_not_ended_by_its_dial(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def scenario() -> None:
        inside, first, wire, dials = await one_out(monkeypatch)
        second = inside.ask()
        await dials.begun()
        wire.answer(first.job_id)
        assert await inside.status(first) == 200
        assert await inside.out(second) is wire
        dials.let(TimeoutError())
        await until(lambda: len(inside.cache("s-1").connections) == 1, "the dial has failed")
        assert not second.is_finished and not inside.endings(second)
        wire.answer(second.job_id)
        assert await inside.status(second) == 200
        await inside.settled()

    on_loop(scenario)


def test_what_waits_stays_where_its_id_is_a_ghost_on_the_free_connection(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def scenario() -> None:
        inside, first, wire, dials = await one_out(monkeypatch)
        second = inside.ask()
        await dials.begun()
        (up,) = (c for c in inside.connections() if c.sock is not None)
        up.past(second.job_id)  # an answer to this id may still come there
        wire.answer(first.job_id)
        assert await inside.status(first) == 200
        dials.let()
        assert await inside.out(second) is not wire
        inside.told[second.job_id][0].answer(second.job_id)
        assert await inside.status(second) == 200
        await inside.settled()

    on_loop(scenario)


def test_what_waits_stays_where_the_address_of_the_free_connection_rests(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def scenario() -> None:
        inside, first, wire, dials = await one_out(monkeypatch)
        second = inside.ask()
        await dials.begun()
        monkeypatch.setattr(CacheActor, "_rests", lambda self, connection: True)
        wire.answer(first.job_id)
        assert await inside.status(first) == 200
        dials.let()
        assert await inside.out(second) is not wire
        inside.told[second.job_id][0].answer(second.job_id)
        assert await inside.status(second) == 200
        await inside.settled()

    on_loop(scenario)


@pytest.mark.parametrize("answers", [False, True])
def test_a_dial_not_up_in_time_says_nothing_of_a_machine_that_answered_meanwhile(answers: bool) -> None:
    bench = RouterBench()
    (late,) = attempts(bench.send_request(1, obj=7))
    (other,) = attempts(bench.send_request(2, obj=7))
    assert late.cache == other.cache
    bench.advance(100 * MS)
    if answers:
        bench.complete_attempt(other, AttemptOutcome.OK, CacheStatus.HIT)
    bench.advance(300 * MS)
    bench.complete_attempt(late, AttemptOutcome.CONNECT_FAILED)
    assert bench.router.placement.table.by_id[late.cache].is_ejected is not answers


def test_dials_in_a_row_that_are_not_up_set_aside_a_machine_that_once_answered_beside_them() -> None:
    bench = RouterBench()
    first = [attempts(bench.send_request(n, obj=7))[0] for n in range(1, 7)]
    node = bench.router.placement.table.by_id[first[0].cache]
    assert {sent.cache for sent in first} == {first[0].cache}
    bench.advance(100 * MS)
    bench.complete_attempt(first[0], AttemptOutcome.OK, CacheStatus.HIT)
    failed = 0
    while not node.is_ejected:
        failed += 1
        bench.complete_attempt(first[failed], AttemptOutcome.CONNECT_FAILED)
    assert 1 < failed < len(first) - 1
