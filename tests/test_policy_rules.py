"""The rules that each front keeps by itself.

One final response per request; no harmful second execution; no request to a draining upstream; no overload of
a server in slow start; no copy from before a purge.
"""

from __future__ import annotations

from dataclasses import replace

import pytest

from quincepier import interface as io
from quincepier.context import TimerKind
from quincepier.interface import (
    AttemptOutcome,
    CacheStatus,
    DeduplicationScope,
    EndpointState,
    Idempotency,
    UpdateScope,
)
from tests.rig import (
    CACHES,
    MS,
    ORIGIN_ID,
    PARENTS,
    SECOND,
    RouterBench,
    attempts,
    final_responses,
    fleet,
    machine,
    make_class,
    make_settings,
    rejected_requests,
)

UNSAFE = make_class(effect=Idempotency.UNSAFE, never_kept=True)


def test_the_deadline_gives_one_final_response_and_no_action_after_it() -> None:
    bench = RouterBench()
    (sent,) = attempts(bench.send_request(1))
    ends = final_responses(bench.advance(6 * SECOND))
    assert ends == [io.FailRequest(1)]
    after = bench.complete_attempt(sent, AttemptOutcome.TIMEOUT, is_request_finished=True)
    assert attempts(after) == [] and final_responses(after) == []


def test_a_served_request_gets_no_response_from_the_router() -> None:
    bench = RouterBench()
    (sent,) = attempts(bench.send_request(1))
    assert final_responses(bench.complete_attempt(sent, AttemptOutcome.OK, CacheStatus.HIT)) == []
    assert final_responses(bench.advance(10 * SECOND)) == []


def test_a_disconnected_client_gets_no_response() -> None:
    bench = RouterBench()
    (sent,) = attempts(bench.send_request(1))
    assert bench.handle(io.ClientDisconnected(1)) == [io.CancelAttempt(1, 0)]
    assert attempts(bench.complete_attempt(sent, AttemptOutcome.CANCELLED, is_request_finished=True)) == []
    assert final_responses(bench.advance(10 * SECOND)) == []


@pytest.mark.parametrize(
    "outcome", [AttemptOutcome.ERROR, AttemptOutcome.TIMEOUT, AttemptOutcome.RESET, AttemptOutcome.CANCELLED]
)
def test_unsafe_work_that_may_have_run_fails(outcome: AttemptOutcome) -> None:
    bench = RouterBench(make_settings(classes=(UNSAFE,)))
    (sent,) = attempts(bench.send_request(1))
    assert sent.cache == ORIGIN_ID
    actions = bench.complete_attempt(sent, outcome)
    assert final_responses(actions) == [io.FailRequest(1)] and attempts(actions) == []


@pytest.mark.parametrize(
    "outcome", [AttemptOutcome.OVERLOADED, AttemptOutcome.CONNECT_FAILED, AttemptOutcome.MISS]
)
def test_unsafe_work_that_never_ran_is_sent_again(outcome: AttemptOutcome) -> None:
    bench = RouterBench(make_settings(classes=(UNSAFE,)))
    (sent,) = attempts(bench.send_request(1))
    actions = bench.complete_attempt(sent, outcome)
    assert len(attempts(actions)) == 1 and final_responses(actions) == []


@pytest.mark.parametrize("group", [DeduplicationScope.ZONE, DeduplicationScope.CELL])
def test_keyed_work_stays_in_its_group(group: DeduplicationScope) -> None:
    keyed = make_class(effect=Idempotency.KEYED, group=group)
    bench = RouterBench(make_settings(classes=(keyed,)))
    (sent,) = attempts(bench.send_request(1))
    actions = bench.complete_attempt(sent, AttemptOutcome.ERROR)
    if group is DeduplicationScope.ZONE:
        assert len(attempts(actions)) == 1
    else:  # every cache of the rig is a cell of its own
        assert attempts(actions) == [] and final_responses(actions) == [io.FailRequest(1)]


def test_keyed_work_is_not_sent_again_past_its_window() -> None:
    keyed = make_class(effect=Idempotency.KEYED, window=SECOND, deadline=9 * SECOND)
    bench = RouterBench(make_settings(classes=(keyed,)))
    (sent,) = attempts(bench.send_request(1))
    bench.now += SECOND
    actions = bench.complete_attempt(sent, AttemptOutcome.ERROR)
    assert attempts(actions) == [] and rejected_requests(actions) == [1]


def test_a_draining_machine_is_neither_target_nor_source() -> None:
    bench = RouterBench()
    gone = (
        machine(CACHES[0], state=EndpointState.DRAINING),
        machine(PARENTS[0], 1, state=EndpointState.DRAINING),
    )
    bench.handle(io.EndpointUpdate(UpdateScope.CHANGES, gone))
    for n in range(60):
        for sent in attempts(bench.send_request(n, obj=n)):
            assert isinstance(sent, io.FetchThrough)
            assert sent.cache != CACHES[0] and sent.source != PARENTS[0]
            bench.complete_attempt(sent, AttemptOutcome.OK, CacheStatus.HIT)


def test_a_held_request_finds_another_cache_after_a_drain() -> None:
    bench = RouterBench()
    outstanding = [a for n in range(16) for a in attempts(bench.send_request(n, obj=n))]
    assert len(outstanding) == 16
    assert attempts(bench.send_request(99, obj=99)) == []
    for cache in CACHES[:2]:
        bench.handle(io.EndpointUpdate(UpdateScope.CHANGES, (machine(cache, state=EndpointState.DRAINING),)))
    released = attempts(bench.complete_attempt(outstanding[0], AttemptOutcome.OK, CacheStatus.FILLED))
    assert [(a.request, a.cache) for a in released] == [(99, CACHES[2])]


@pytest.mark.parametrize("fronts", [1, 2, 5])
def test_cold_cache_budget_holds_over_any_window(fronts: int) -> None:
    settings = make_settings(fronts=fronts, fronts_by_zone=(0, fronts))
    start = 100 * SECOND
    machines = (machine(CACHES[0], up_since=start), *fleet()[3:])
    bench = RouterBench(settings, machines)
    sends: list[int] = []
    n = 0
    while bench.now < start + 4 * SECOND:
        n += 1
        for sent in attempts(bench.send_request(n, obj=n)):
            if sent.cache == CACHES[0]:
                sends.append(bench.now)
            bench.complete_attempt(sent, AttemptOutcome.OK, CacheStatus.FILLED)
        bench.advance(20 * MS)
    assert sends
    work, size = 0.5, 30.0  # initial guess of the transfer time, s; size of the cache in transfers
    for at in sends:
        in_window = [s for s in sends if at <= s < at + settings.cold_window]
        share = settings.cold_from + (1 - settings.cold_from) * (at - start) / settings.cold_time
        assert len(in_window) * work * fronts <= settings.cold_multiple * share * size * 1.5


def test_a_listed_restart_begins_a_slow_start() -> None:
    bench = RouterBench()
    bench.handle(io.EndpointUpdate(UpdateScope.CHANGES, (machine(PARENTS[0], 1, up_since=bench.now),)))
    node = bench.router.placement.table.by_id[PARENTS[0]]
    bench.router.slow_start.has_budget(node)  # begins with a debt
    bench.router.context.now += SECOND
    assert bench.router.slow_start.has_budget(node)
    node.credit -= 100.0 * SECOND
    assert not bench.router.slow_start.has_budget(node)


@pytest.mark.parametrize("fronts", [20, 210])
def test_many_fronts_warm_a_cold_cache_within_its_budget(fronts: int) -> None:
    """The share of a front is far below one request; together the fronts use much of the budget, not all."""
    settings = make_settings(fronts=fronts, fronts_by_zone=(0, fronts))
    start, size, work = 100 * SECOND, 8.0, 0.5  # work: initial guess of the transfer time, s
    machines = (replace(machine(CACHES[0], up_since=start), size=size), *fleet()[3:])
    benches = [RouterBench(settings, machines, seed=n) for n in range(fronts)]
    sends: list[int] = []
    for step in range(400):  # each front sends a request every 40 ms, far more than the budget
        for n, bench in enumerate(benches):
            bench.advance(start + step * 10 * MS - bench.now)
            if step % 4 == n % 4:
                for sent in attempts(bench.send_request(step, obj=step * fronts + n)):
                    sends += [bench.now] * (sent.cache == CACHES[0])
                    bench.complete_attempt(sent, AttemptOutcome.OK, CacheStatus.FILLED)
    for at in range(start, start + 3 * SECOND, 100 * MS):
        in_window = sum(at <= s < at + settings.cold_window for s in sends)
        share = settings.cold_from + (1 - settings.cold_from) * (at - start) / settings.cold_time
        assert in_window * work <= settings.cold_multiple * share * size * 1.5
    assert len(sends) * work > 0.25 * settings.cold_multiple * settings.cold_from * size * 4


@pytest.mark.parametrize(("group", "obj"), [(3, 5), (3, 0)])
def test_purge_limits_age_until_it_has_settled(group: int, obj: int) -> None:
    bench = RouterBench()
    bench.handle(io.ObjectPurged(group, obj, 300 * MS))
    (first,) = attempts(bench.send_request(1))
    assert isinstance(first, io.FetchThrough) and first.max_copy_age == 300 * MS
    bench.now += SECOND
    (second,) = attempts(bench.send_request(2))
    assert isinstance(second, io.FetchThrough) and second.max_copy_age == 1300 * MS
    bench.now += 20 * SECOND
    (third,) = attempts(bench.send_request(3))
    assert isinstance(third, io.FetchThrough) and third.max_copy_age == 0


def test_a_purge_of_age_zero_limits_to_the_lowest_age() -> None:
    bench = RouterBench()
    bench.handle(io.ObjectPurged(3, 5, 0))
    (sent,) = attempts(bench.send_request(1))
    assert isinstance(sent, io.FetchThrough) and sent.max_copy_age == 1


def test_a_purge_during_a_hold_applies_at_the_release() -> None:
    bench = RouterBench()
    outstanding = [a for n in range(16) for a in attempts(bench.send_request(n, obj=100 + n))]
    bench.send_request(99, obj=5)
    bench.handle(io.ObjectPurged(3, 5, 200 * MS))
    (late,) = attempts(bench.complete_attempt(outstanding[0], AttemptOutcome.OK, CacheStatus.FILLED))
    assert isinstance(late, io.FetchThrough) and late.request == 99 and late.max_copy_age == 200 * MS


def test_only_one_attempt_at_a_time_without_second_copies() -> None:
    bench = RouterBench(make_settings(second_copies=False))
    open_now = 0
    (sent,) = attempts(bench.send_request(1))
    for _ in range(6):
        open_now += 1
        assert open_now == 1
        actions = bench.complete_attempt(sent, AttemptOutcome.RESET)
        open_now -= 1
        if final_responses(actions):
            break
        (sent,) = attempts(actions)
    else:
        pytest.fail("the request got no final response")


def test_a_full_list_removes_machines_that_it_does_not_name() -> None:
    bench = RouterBench()
    bench.handle(io.EndpointUpdate(UpdateScope.FULL, fleet()[1:]))
    for n in range(30):
        for sent in attempts(bench.send_request(n, obj=n)):
            assert sent.cache != CACHES[0]
            bench.complete_attempt(sent, AttemptOutcome.OK, CacheStatus.HIT)


def test_machines_keep_their_start_time_across_lists() -> None:
    bench = RouterBench()
    line = replace(machine(CACHES[0]), started_at=bench.now)
    bench.handle(io.EndpointUpdate(UpdateScope.CHANGES, (line,)))
    bench.handle(io.EndpointUpdate(UpdateScope.CHANGES, (line,)))
    assert bench.router.placement.table.by_id[CACHES[0]].started_at == line.started_at


def test_a_request_with_no_time_left_is_answered_at_once() -> None:
    """After a process pause requests may have no time left; each still needs one final response."""
    bench = RouterBench()
    actions = bench.send_request(1, time_left=0)
    assert len(final_responses(actions)) == 1 and attempts(actions) == []


def test_no_attempt_is_sent_after_the_deadline() -> None:
    """After a process pause a completed attempt may free a slot before the deadline's timer is handled."""
    bench = RouterBench()
    outstanding = [a for n in range(16) for a in attempts(bench.send_request(n, obj=100 + n))]
    bench.send_request(99, obj=99)
    bench.now += 5 * SECOND
    actions = bench.complete_attempt(outstanding[0], AttemptOutcome.OK, CacheStatus.FILLED)
    assert attempts(actions) == [] and len(final_responses(actions)) == 1


def test_a_process_pause_ejects_no_cache() -> None:
    bench = RouterBench()
    for n in range(12):
        bench.send_request(n, obj=n)
    due = min(t for t in bench.timers if t[1] & 7 == TimerKind.OVERDUE_CHECK)
    bench.now += 3 * SECOND
    bench.handle(io.TimerFired(due[1]))
    assert not any(node.is_ejected for node in bench.router.placement.table.by_id.values())


def test_resets_between_successes_eject_no_cache() -> None:
    """A machine that resets a part of its attempts still serves; ejecting it would only move its load."""
    bench = RouterBench()
    for n in range(20):
        (sent,) = attempts(bench.send_request(n))
        if n % 3 == 2:
            bench.complete_attempt(sent, AttemptOutcome.OK, CacheStatus.HIT)
        else:
            bench.complete_attempt(sent, AttemptOutcome.RESET, is_request_finished=True)
    assert not any(node.is_ejected for node in bench.router.placement.table.by_id.values())


def test_a_restarted_front_applies_the_purges_that_it_receives() -> None:
    """A front that restarts receives the last purges before its first request."""
    bench = RouterBench()
    bench.handle(io.EndpointUpdate(UpdateScope.RESTORED, fleet()))
    bench.handle(io.ObjectPurged(3, 0, 4 * SECOND))
    (inside,) = attempts(bench.send_request(1))
    (outside,) = attempts(bench.send_request(2, group=4))
    assert isinstance(inside, io.FetchThrough) and inside.max_copy_age == 4 * SECOND
    assert isinstance(outside, io.FetchThrough) and outside.max_copy_age == 0


def test_caches_of_other_zones_cost_nothing() -> None:
    """Caches of other zones are not kept, and their changes do not invalidate cached rankings."""
    bench = RouterBench()
    known, sent = len(bench.router.placement.table.by_id), attempts(bench.send_request(1))
    bench.complete_attempt(sent[0], AttemptOutcome.OK, CacheStatus.HIT)
    ranks = dict(bench.router.placement.rankings)
    far = tuple(replace(machine(1000 + n), zone=7) for n in range(300))
    bench.handle(io.EndpointUpdate(UpdateScope.CHANGES, far))
    bench.handle(
        io.EndpointUpdate(UpdateScope.CHANGES, tuple(replace(m, state=EndpointState.GONE) for m in far))
    )
    assert len(bench.router.placement.table.by_id) == known and bench.router.placement.rankings == ranks != {}


def test_no_release_timers_while_no_request_is_held() -> None:
    """A timer every 10 ms at each of hundreds of fronts cost more CPU than all requests together."""
    bench = RouterBench()
    bench.send_request(1)
    before = len(bench.action_log)
    bench.advance(SECOND)
    assert sum(isinstance(a, io.SetTimer) for _, a in bench.action_log[before:]) <= 10


def test_an_overloaded_front_rejects_the_lowest_tier_first_and_never_writes() -> None:
    classes = (make_class(worth=2.0), make_class(on_time=250 * MS), UNSAFE)

    def is_rejected(cls: int, waited: int) -> bool:
        """Whether the last of several requests is rejected; all have waited for the given time."""
        bench = RouterBench(make_settings(classes=classes))
        for request in range(1, 8):
            actions = bench.send_request(request, cls, waited=waited)
            bench.advance(20 * MS)
        return bool(rejected_requests(actions))

    assert not is_rejected(1, 10 * MS) and is_rejected(1, 40 * MS)
    assert not is_rejected(0, 40 * MS) and is_rejected(0, 200 * MS)
    assert not is_rejected(2, 200 * MS)
