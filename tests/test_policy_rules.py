"""The five rules, each kept by one front alone."""

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
    PARENTS,
    ROOT,
    SECOND,
    Bench,
    attempts,
    finals,
    fleet,
    machine,
    make_class,
    make_settings,
    refused,
)

UNSAFE = make_class(effect=Idempotency.UNSAFE, never_kept=True)


def test_deadline_gives_one_final_answer_and_silence_after() -> None:
    bench = Bench()
    (sent,) = attempts(bench.ask(1))
    ends = finals(bench.wait(6 * SECOND))
    assert ends == [io.FailRequest(1)]
    after = bench.end(sent, AttemptOutcome.TIMEOUT, last=True)
    assert attempts(after) == [] and finals(after) == []


def test_served_request_gets_no_answer_of_ours() -> None:
    bench = Bench()
    (sent,) = attempts(bench.ask(1))
    assert finals(bench.end(sent, AttemptOutcome.OK, CacheStatus.HIT)) == []
    assert finals(bench.wait(10 * SECOND)) == []


def test_client_that_leaves_is_owed_nothing() -> None:
    bench = Bench()
    (sent,) = attempts(bench.ask(1))
    assert bench.give(io.ClientDisconnected(1)) == [io.CancelAttempt(1, 0)]
    assert attempts(bench.end(sent, AttemptOutcome.CANCELLED, last=True)) == []
    assert finals(bench.wait(10 * SECOND)) == []


@pytest.mark.parametrize(
    "ending", [AttemptOutcome.ERROR, AttemptOutcome.TIMEOUT, AttemptOutcome.RESET, AttemptOutcome.CANCELLED]
)
def test_unsafe_work_that_may_have_run_fails(ending: AttemptOutcome) -> None:
    bench = Bench(make_settings(classes=(UNSAFE,)))
    (sent,) = attempts(bench.ask(1))
    assert sent.cache == ROOT
    done = bench.end(sent, ending)
    assert finals(done) == [io.FailRequest(1)] and attempts(done) == []


@pytest.mark.parametrize(
    "ending", [AttemptOutcome.OVERLOADED, AttemptOutcome.CONNECT_FAILED, AttemptOutcome.MISS]
)
def test_unsafe_work_that_never_ran_is_sent_again(ending: AttemptOutcome) -> None:
    bench = Bench(make_settings(classes=(UNSAFE,)))
    (sent,) = attempts(bench.ask(1))
    done = bench.end(sent, ending)
    assert len(attempts(done)) == 1 and finals(done) == []


@pytest.mark.parametrize("group", [DeduplicationScope.ZONE, DeduplicationScope.CELL])
def test_keyed_work_stays_in_its_group(group: DeduplicationScope) -> None:
    keyed = make_class(effect=Idempotency.KEYED, group=group)
    bench = Bench(make_settings(classes=(keyed,)))
    (sent,) = attempts(bench.ask(1))
    done = bench.end(sent, AttemptOutcome.ERROR)
    if group is DeduplicationScope.ZONE:
        assert len(attempts(done)) == 1
    else:  # every cache of the rig is a cell of its own
        assert attempts(done) == [] and finals(done) == [io.FailRequest(1)]


def test_keyed_work_is_not_sent_again_past_its_window() -> None:
    keyed = make_class(effect=Idempotency.KEYED, window=SECOND, deadline=9 * SECOND)
    bench = Bench(make_settings(classes=(keyed,)))
    (sent,) = attempts(bench.ask(1))
    bench.now += SECOND
    done = bench.end(sent, AttemptOutcome.ERROR)
    assert attempts(done) == [] and refused(done) == [1]


def test_drained_cache_gets_nothing_as_target_or_source() -> None:
    bench = Bench()
    gone = (
        machine(CACHES[0], state=EndpointState.DRAINING),
        machine(PARENTS[0], 1, state=EndpointState.DRAINING),
    )
    bench.give(io.EndpointUpdate(UpdateScope.CHANGES, gone))
    for n in range(60):
        for sent in attempts(bench.ask(n, obj=n)):
            assert isinstance(sent, io.FetchThrough)
            assert sent.cache != CACHES[0] and sent.source != PARENTS[0]
            bench.end(sent, AttemptOutcome.OK, CacheStatus.HIT)


def test_held_request_finds_its_cache_anew_after_a_drain() -> None:
    bench = Bench()
    out = [a for n in range(16) for a in attempts(bench.ask(n, obj=n))]
    assert len(out) == 16
    assert attempts(bench.ask(99, obj=99)) == []
    for cache in CACHES[:2]:
        bench.give(io.EndpointUpdate(UpdateScope.CHANGES, (machine(cache, state=EndpointState.DRAINING),)))
    released = attempts(bench.end(out[0], AttemptOutcome.OK, CacheStatus.FILLED))
    assert [(a.request, a.cache) for a in released] == [(99, CACHES[2])]


@pytest.mark.parametrize("fronts", [1, 2, 5])
def test_cold_cache_budget_holds_over_any_window(fronts: int) -> None:
    settings = make_settings(fronts=fronts, fronts_by_zone=(0, fronts))
    start = 100 * SECOND
    machines = (machine(CACHES[0], up_since=start), *fleet()[3:])
    bench = Bench(settings, machines)
    sends: list[int] = []
    n = 0
    while bench.now < start + 4 * SECOND:
        n += 1
        for sent in attempts(bench.ask(n, obj=n)):
            if sent.cache == CACHES[0]:
                sends.append(bench.now)
            bench.end(sent, AttemptOutcome.OK, CacheStatus.FILLED)
        bench.wait(20 * MS)
    assert sends
    work, size = 0.5, 30.0  # seconds of a request as first guessed, transfers that the cache can carry
    for at in sends:
        in_window = [s for s in sends if at <= s < at + settings.cold_window]
        share = settings.cold_from + (1 - settings.cold_from) * (at - start) / settings.cold_time
        assert len(in_window) * work * fronts <= settings.cold_multiple * share * size * 1.5


def test_restart_shows_as_fresh_start_and_is_cold() -> None:
    bench = Bench()
    bench.give(io.EndpointUpdate(UpdateScope.CHANGES, (machine(PARENTS[0], 1, up_since=bench.now),)))
    node = bench.router.placement.table.by_id[PARENTS[0]]
    bench.router.slow_start.has_room(node)  # starts in debt
    bench.router.context.now += SECOND
    assert bench.router.slow_start.has_room(node)
    node.credit -= 100.0 * SECOND
    assert not bench.router.slow_start.has_room(node)


@pytest.mark.parametrize("fronts", [20, 210])
def test_many_thin_fronts_warm_a_cold_cache_and_keep_its_budget(fronts: int) -> None:
    """Shares far below one request: together the fronts use a good part of the budget, not all."""
    settings = make_settings(fronts=fronts, fronts_by_zone=(0, fronts))
    start, size, work = 100 * SECOND, 8.0, 0.5  # work: seconds of a request as first guessed
    machines = (replace(machine(CACHES[0], up_since=start), size=size), *fleet()[3:])
    benches = [Bench(settings, machines, seed=n) for n in range(fronts)]
    sends: list[int] = []
    for step in range(400):  # each asks every 40 ms at its own time, far more than there is to share
        for n, bench in enumerate(benches):
            bench.wait(start + step * 10 * MS - bench.now)
            if step % 4 == n % 4:
                for sent in attempts(bench.ask(step, obj=step * fronts + n)):
                    sends += [bench.now] * (sent.cache == CACHES[0])
                    bench.end(sent, AttemptOutcome.OK, CacheStatus.FILLED)
    for at in range(start, start + 3 * SECOND, 100 * MS):
        in_window = sum(at <= s < at + settings.cold_window for s in sends)
        share = settings.cold_from + (1 - settings.cold_from) * (at - start) / settings.cold_time
        assert in_window * work <= settings.cold_multiple * share * size * 1.5
    assert len(sends) * work > 0.25 * settings.cold_multiple * settings.cold_from * size * 4


@pytest.mark.parametrize(("group", "obj"), [(3, 5), (3, 0)])
def test_purge_limits_age_until_it_has_settled(group: int, obj: int) -> None:
    bench = Bench()
    bench.give(io.ObjectPurged(group, obj, 300 * MS))
    (first,) = attempts(bench.ask(1))
    assert isinstance(first, io.FetchThrough) and first.max_copy_age == 300 * MS
    bench.now += SECOND
    (second,) = attempts(bench.ask(2))
    assert isinstance(second, io.FetchThrough) and second.max_copy_age == 1300 * MS
    bench.now += 20 * SECOND
    (third,) = attempts(bench.ask(3))
    assert isinstance(third, io.FetchThrough) and third.max_copy_age == 0


def test_purge_told_at_once_limits_to_the_least_age() -> None:
    bench = Bench()
    bench.give(io.ObjectPurged(3, 5, 0))
    (sent,) = attempts(bench.ask(1))
    assert isinstance(sent, io.FetchThrough) and sent.max_copy_age == 1


def test_purge_told_while_held_counts_at_release() -> None:
    bench = Bench()
    out = [a for n in range(16) for a in attempts(bench.ask(n, obj=100 + n))]
    bench.ask(99, obj=5)
    bench.give(io.ObjectPurged(3, 5, 200 * MS))
    (late,) = attempts(bench.end(out[0], AttemptOutcome.OK, CacheStatus.FILLED))
    assert isinstance(late, io.FetchThrough) and late.request == 99 and late.max_copy_age == 200 * MS


def test_one_attempt_at_a_time_where_copies_are_barred() -> None:
    bench = Bench(make_settings(second_copies=False))
    open_now = 0
    (sent,) = attempts(bench.ask(1))
    for _ in range(6):
        open_now += 1
        assert open_now == 1
        done = bench.end(sent, AttemptOutcome.RESET)
        open_now -= 1
        if finals(done):
            break
        (sent,) = attempts(done)
    else:
        pytest.fail("the request never got its final answer")


def test_replaced_full_list_drops_what_it_lacks() -> None:
    bench = Bench()
    bench.give(io.EndpointUpdate(UpdateScope.FULL, fleet()[1:]))
    for n in range(30):
        for sent in attempts(bench.ask(n, obj=n)):
            assert sent.cache != CACHES[0]
            bench.end(sent, AttemptOutcome.OK, CacheStatus.HIT)


def test_members_keep_their_start_time_across_lists() -> None:
    bench = Bench()
    line = replace(machine(CACHES[0]), started_at=bench.now)
    bench.give(io.EndpointUpdate(UpdateScope.CHANGES, (line,)))
    bench.give(io.EndpointUpdate(UpdateScope.CHANGES, (line,)))
    assert bench.router.placement.table.by_id[CACHES[0]].started_at == line.started_at


def test_request_that_waited_out_its_time_is_answered_at_once() -> None:
    """A front that stood still finds requests with no time left; they still want one final answer."""
    bench = Bench()
    done = bench.ask(1, time_left=0)
    assert len(finals(done)) == 1 and attempts(done) == []


def test_no_attempt_leaves_when_the_deadline_has_come() -> None:
    """After a standstill an outcome may free a slot before the deadline's timer is handed over."""
    bench = Bench()
    out = [a for n in range(16) for a in attempts(bench.ask(n, obj=100 + n))]
    bench.ask(99, obj=99)
    bench.now += 5 * SECOND
    done = bench.end(out[0], AttemptOutcome.OK, CacheStatus.FILLED)
    assert attempts(done) == [] and len(finals(done)) == 1


def test_standstill_of_this_front_is_no_silence_of_the_caches() -> None:
    bench = Bench()
    for n in range(12):
        bench.ask(n, obj=n)
    due = min(t for t in bench.timers if t[1] & 7 == TimerKind.OVERDUE_CHECK)
    bench.now += 3 * SECOND
    bench.give(io.TimerFired(due[1]))
    assert not any(node.is_ejected for node in bench.router.placement.table.by_id.values())


def test_broken_answers_among_good_ones_set_no_cache_aside() -> None:
    """A machine that breaks a third of its attempts still serves; its load would only move to the others."""
    bench = Bench()
    for n in range(20):
        (sent,) = attempts(bench.ask(n))
        if n % 3 == 2:
            bench.end(sent, AttemptOutcome.OK, CacheStatus.HIT)
        else:
            bench.end(sent, AttemptOutcome.RESET, last=True)
    assert not any(node.is_ejected for node in bench.router.placement.table.by_id.values())


def test_new_instance_keeps_the_purges_that_it_is_told() -> None:
    """A front that starts anew hears of the last purges before its first request."""
    bench = Bench()
    bench.give(io.EndpointUpdate(UpdateScope.RESTORED, fleet()))
    bench.give(io.ObjectPurged(3, 0, 4 * SECOND))
    (inside,) = attempts(bench.ask(1))
    (outside,) = attempts(bench.ask(2, group=4))
    assert isinstance(inside, io.FetchThrough) and inside.max_copy_age == 4 * SECOND
    assert isinstance(outside, io.FetchThrough) and outside.max_copy_age == 0


def test_caches_of_other_zones_cost_nothing() -> None:
    """A list of hundreds of foreign caches leaves no machine, and their changes make no hash order anew."""
    bench = Bench()
    known, sent = len(bench.router.placement.table.by_id), attempts(bench.ask(1))
    bench.end(sent[0], AttemptOutcome.OK, CacheStatus.HIT)
    ranks = dict(bench.router.placement.rankings)
    far = tuple(replace(machine(1000 + n), zone=7) for n in range(300))
    bench.give(io.EndpointUpdate(UpdateScope.CHANGES, far))
    bench.give(
        io.EndpointUpdate(UpdateScope.CHANGES, tuple(replace(m, state=EndpointState.GONE) for m in far))
    )
    assert len(bench.router.placement.table.by_id) == known and bench.router.placement.rankings == ranks != {}


def test_no_rounds_while_nothing_is_held() -> None:
    """A round every 10 ms at each of hundreds of fronts cost more than all requests together."""
    bench = Bench()
    bench.ask(1)
    before = len(bench.log)
    bench.wait(SECOND)
    assert sum(isinstance(a, io.SetTimer) for _, a in bench.log[before:]) <= 10


def test_a_front_that_is_behind_refuses_the_lowest_tier_first_and_a_write_last() -> None:
    classes = (make_class(worth=2.0), make_class(on_time=250 * MS), UNSAFE)

    def turned_away(cls: int, waited: int) -> bool:
        """The last of those that waited so long, each, for more than the interval of early refusal."""
        bench = Bench(make_settings(classes=classes))
        for request in range(1, 8):
            actions = bench.ask(request, cls, waited=waited)
            bench.wait(20 * MS)
        return bool(refused(actions))

    assert not turned_away(1, 10 * MS) and turned_away(1, 40 * MS)
    assert not turned_away(0, 40 * MS) and turned_away(0, 200 * MS)
    assert not turned_away(2, 200 * MS)
