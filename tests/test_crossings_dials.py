"""Connections that are established late: waiting attempts use the next free one; no machine is blamed."""

from __future__ import annotations

import pytest

from quincepier.interface import AttemptOutcome, CacheStatus
from quincepier.memory.open_requests import OpenRequest
from quincepier.net.cache import CacheActor
from tests.attemptkit import FrontHarness, HeldDials, Wire, run_on_uvloop
from tests.rig import MS, RouterBench, attempts
from tests.standins import until

ONE = ("s-1", "o-1")


async def send_one(patch: pytest.MonkeyPatch) -> tuple[FrontHarness, OpenRequest, Wire, HeldDials]:
    """Send one request over the only connection; hold all later dials."""
    harness = FrontHarness(ONE)
    first = harness.submit()
    wire = await harness.wait_for_command(first)
    return harness, first, wire, HeldDials(patch)


def test_a_waiting_attempt_goes_over_the_connection_that_is_free_first(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def scenario() -> None:
        harness, first, wire, dials = await send_one(monkeypatch)
        second, third = harness.submit(), harness.submit()
        await dials.wait_for_dials(2)
        wire.respond(first.job_id)
        assert await harness.wait_for_status(first) == 200
        assert await harness.wait_for_command(second) is wire  # in the order in which they arrived
        assert not harness.serve_wires(third)
        dials.release()
        other = await harness.wait_for_command(third)
        assert other is not wire
        for request, over in ((second, wire), (third, other)):
            over.respond(request.job_id)
            assert await harness.wait_for_status(request) == 200
            assert harness.outcomes(request) == [AttemptOutcome.OK]
        await harness.assert_settled()

    run_on_uvloop(scenario)


def test_an_attempt_moved_to_another_connection_is_not_ended_by_its_dial(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def scenario() -> None:
        harness, first, wire, dials = await send_one(monkeypatch)
        second = harness.submit()
        await dials.wait_for_dials()
        wire.respond(first.job_id)
        assert await harness.wait_for_status(first) == 200
        assert await harness.wait_for_command(second) is wire
        dials.release(TimeoutError())
        await until(lambda: len(harness.cache("s-1").connections) == 1, "the dial has failed")
        assert not second.is_finished and not harness.outcomes(second)
        wire.respond(second.job_id)
        assert await harness.wait_for_status(second) == 200
        await harness.assert_settled()

    run_on_uvloop(scenario)


def test_a_waiting_attempt_stays_where_its_id_was_used_on_the_free_connection(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def scenario() -> None:
        harness, first, wire, dials = await send_one(monkeypatch)
        second = harness.submit()
        await dials.wait_for_dials()
        (up,) = (c for c in harness.connections() if c.sock is not None)
        up.remember_used_id(second.job_id)  # a response to this id may still arrive there
        wire.respond(first.job_id)
        assert await harness.wait_for_status(first) == 200
        dials.release()
        assert await harness.wait_for_command(second) is not wire
        harness.wires_by_job[second.job_id][0].respond(second.job_id)
        assert await harness.wait_for_status(second) == 200
        await harness.assert_settled()

    run_on_uvloop(scenario)


def test_a_waiting_attempt_stays_where_the_address_of_the_free_connection_is_in_backoff(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def scenario() -> None:
        harness, first, wire, dials = await send_one(monkeypatch)
        second = harness.submit()
        await dials.wait_for_dials()
        monkeypatch.setattr(CacheActor, "_is_backing_off", lambda self, connection: True)
        wire.respond(first.job_id)
        assert await harness.wait_for_status(first) == 200
        dials.release()
        assert await harness.wait_for_command(second) is not wire
        harness.wires_by_job[second.job_id][0].respond(second.job_id)
        assert await harness.wait_for_status(second) == 200
        await harness.assert_settled()

    run_on_uvloop(scenario)


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
