"""Single components of the router, each with a context and stand-ins for the other components."""

from __future__ import annotations

from dataclasses import replace
from types import SimpleNamespace
from typing import Any

import pytest

from quincepier import interface as io
from quincepier.context import Context
from quincepier.interface import AttemptOutcome, CacheStatus, DeduplicationScope, Idempotency
from quincepier.policy.fetch_limit import INITIAL_LIMIT, LINK_HALF_LIFE, MAX_LIMIT, MIN_BACKOFF, FetchLimit
from quincepier.policy.freshness import PURGE_MARGIN, Freshness
from quincepier.policy.responses import MIN_RETRY_AFTER_SHARE, Responder
from quincepier.policy.sending import AttemptSender
from quincepier.records import AttemptTable, Completion, Execution, Request, Upstream
from quincepier.structures import DecayingMean, FairQueue
from tests.rig import (
    CACHES,
    HOME_ZONE,
    MS,
    ORIGIN,
    ORIGIN_ID,
    PARENT,
    PARENTS,
    SECOND,
    machine,
    make_class,
    make_settings,
)

NOW = 100 * SECOND
OBJECTIVE, TRANSFER = 400 * MS, 100 * MS


class StandInEstimates:
    """Latency estimates with fixed values, and a recovery tracker that counts notifications."""

    def __init__(self) -> None:
        self.fetch_slowdown = 1.0
        self.limits_held = 0
        self.transfer_times = SimpleNamespace(means=[TRANSFER] * 4)
        self.fetch_slowness = SimpleNamespace(factor=lambda now: self.fetch_slowdown)

    def objective(self, request: Request) -> float:
        return OBJECTIVE

    def transfer_time(self, request: Request) -> float:
        return TRANSFER

    def on_limit_held(self, now: int) -> tuple[str, ...]:
        self.limits_held += 1
        return ()

    def on_request_finished(self, now: int, worth: float, in_time: bool) -> tuple[str, ...]:
        return ("in time",) if in_time else ("not in time",)


def make_request(settings: io.Settings, cls: int = 0, number: int = 1) -> Request:
    event = io.RequestReceived(number, cls, 0.0, 0, 3, 5, 0, False, settings.classes[cls].deadline)
    return Request(event, settings, 0, NOW, None)


def make_upstream(endpoint: io.Endpoint) -> Upstream:
    return Upstream(endpoint, DecayingMean(SECOND, 1.0), 8)


CACHE, OTHER_CACHE = make_upstream(machine(CACHES[0])), make_upstream(machine(CACHES[1]))
SOURCE, ORIGIN_UPSTREAM = (
    make_upstream(machine(PARENTS[0], PARENT)),
    make_upstream(machine(ORIGIN_ID, ORIGIN)),
)


class FetchLimitBench:
    """A fetch limit, and fetches with given outcomes."""

    def __init__(self, **changes: Any) -> None:
        self.settings = make_settings(**changes)
        self.context = Context(self.settings, 1, NOW)
        self.estimates = StandInEstimates()
        self.limit = FetchLimit(self.context, self.estimates, self.estimates)  # type: ignore[arg-type]
        self.request = make_request(self.settings)

    def fetch(self) -> Any:
        attempt: Any = SimpleNamespace(
            request=self.request, upstream=CACHE, source=SOURCE, is_fetch=True, is_source_cache_only=False
        )
        self.limit.on_sent(attempt)
        return attempt

    def end(
        self,
        attempt: Any,
        outcome: AttemptOutcome = AttemptOutcome.OK,
        status: CacheStatus = CacheStatus.NONE,
        elapsed: int = TRANSFER,
        is_awaited: bool = True,
    ) -> None:
        event = io.AttemptCompleted(1, 0, CACHES[0], outcome, elapsed, False, status, 0, ())
        self.limit.on_completed(Completion(attempt, event), is_awaited)

    def fill(self) -> list[Any]:
        return [self.fetch() for _ in range(self.limit.limit - self.limit.in_flight)]


def test_the_fetch_limit_doubles_under_demand_and_halves_when_fetches_go_badly() -> None:
    bench = FetchLimitBench()
    open_fetches = bench.fill()
    while bench.limit.limit < MAX_LIMIT:
        before = bench.limit.limit
        for _ in range(before):
            bench.end(open_fetches.pop())
            open_fetches.append(bench.fetch())  # replaces the completed one
        assert bench.limit.limit == 2 * before
        open_fetches += bench.fill()
    before = bench.limit.limit
    for _ in range(before):
        bench.end(bench.fetch(), elapsed=OBJECTIVE + 1)
    assert bench.limit.limit == before // 2


def test_the_fetch_limit_is_unchanged_without_demand() -> None:
    bench = FetchLimitBench()
    for _ in range(3 * INITIAL_LIMIT):
        bench.end(bench.fetch(), is_awaited=False)
    assert (bench.limit.limit, bench.limit.in_flight, bench.estimates.limits_held) == (INITIAL_LIMIT, 0, 3)


@pytest.mark.parametrize(("fronts", "min_limit"), [((0, 1), 12), ((0, 2), 6), ((0, 40), 4)])
def test_the_fetch_limit_never_falls_below_the_share_of_a_front(
    fronts: tuple[int, int], min_limit: int
) -> None:
    bench = FetchLimitBench(fronts_by_zone=fronts)
    for _ in range(100):
        bench.end(bench.fetch(), AttemptOutcome.TIMEOUT)
    assert bench.limit.limit == min_limit


def test_no_fetch_begins_at_the_limit_and_an_abandoned_fetch_releases_its_slot_once() -> None:
    bench = FetchLimitBench()
    attempts = bench.fill()
    assert (
        bench.limit.is_blocked(bench.request)
        and bench.limit.is_nearly_full
        and not bench.limit.has_spare_capacity
    )
    for _ in range(2):
        bench.limit.on_abandoned(attempts[0])
    assert bench.limit.in_flight == INITIAL_LIMIT - 1 and not bench.limit.is_blocked(bench.request)


@pytest.mark.parametrize(("slowdown", "is_blocked"), [(3.9, False), (4.1, True)])
def test_no_fetch_begins_over_a_link_that_is_reported_as_saturated(slowdown: float, is_blocked: bool) -> None:
    """An objective of four transfer times tolerates a slowdown of the link by a factor of four."""
    bench = FetchLimitBench(reports=("link",))
    bench.limit.link_load.reported_slowdown, bench.limit.link_load.reported_at = slowdown, NOW
    assert bench.limit.is_blocked(bench.request) is is_blocked


def test_without_reports_slow_fetches_show_a_saturated_link_earlier_with_many_fronts() -> None:
    bench = FetchLimitBench(fronts_by_zone=(0, 100))
    bench.context.now += 2 * LINK_HALF_LIFE + 1
    bench.estimates.fetch_slowdown = 1.5
    assert bench.limit.is_blocked(bench.request)
    alone = FetchLimitBench(fronts_by_zone=(0, 1))
    alone.context.now = bench.context.now
    alone.estimates.fetch_slowdown = 1.5
    assert not alone.limit.is_blocked(alone.request)


def test_refused_fetches_start_a_backoff_and_a_broken_source_does_not() -> None:
    bench = FetchLimitBench()
    bench.end(bench.fetch(), AttemptOutcome.OVERLOADED, CacheStatus.SOURCE_BROKEN)
    assert not bench.limit.is_backing_off
    bench.end(bench.fetch(), AttemptOutcome.OVERLOADED)
    assert bench.limit.is_backing_off and not bench.limit.is_retry_due
    assert NOW + MIN_BACKOFF // 2 <= bench.limit.next_retry_at <= NOW + 3 * MIN_BACKOFF // 2
    bench.context.now = bench.limit.next_retry_at
    assert bench.limit.is_retry_due
    bench.limit.schedule_next_retry()
    assert not bench.limit.is_retry_due
    for _ in range(2):
        bench.end(bench.fetch())
    assert not bench.limit.is_backing_off


def test_maximum_ages_are_those_of_the_class_and_exclude_copies_from_before_a_purge() -> None:
    settings = make_settings()
    context = Context(settings, 1, NOW)
    freshness = Freshness(context)
    unlimited, fresh = make_request(settings), make_request(settings, 1)
    assert freshness.max_age(fresh, False) == 0 == freshness.max_age(unlimited, True)
    assert freshness.max_age(fresh, True) == 22 * SECOND  # within its grace
    freshness.on_purge(3, 0, 2 * SECOND)  # the group of both requests
    assert [freshness.max_age(r, stale) for r in (unlimited, fresh) for stale in (False, True)] == [
        2 * SECOND
    ] * 4
    context.now += settings.purge_settles + PURGE_MARGIN
    assert freshness.max_age(fresh, True) == 22 * SECOND


def make_sender(settings: io.Settings) -> AttemptSender:
    unused: Any = None
    context = Context(settings, 1, NOW)
    return AttemptSender(context, AttemptTable(), unused, unused, unused, unused, unused, unused)


CACHE_OF_OTHER_ZONE = make_upstream(replace(machine(CACHES[2]), zone=HOME_ZONE + 1))


@pytest.mark.parametrize(
    ("scope", "allowed"),
    [
        (DeduplicationScope.ALL, [True, True, True]),
        (DeduplicationScope.ZONE, [True, True, False]),
        (DeduplicationScope.CELL, [True, False, False]),
    ],
)
def test_an_executed_keyed_request_is_sent_only_in_its_deduplication_scope_and_window(
    scope: DeduplicationScope, allowed: list[bool]
) -> None:
    settings = make_settings(classes=(make_class(effect=Idempotency.KEYED, group=scope),))
    sender, request = make_sender(settings), make_request(settings)
    assert all(sender.can_send(request, to) for to in (CACHE, OTHER_CACHE, CACHE_OF_OTHER_ZONE))
    request.first_execution = Execution(NOW - 5 * SECOND + 1, CACHE.endpoint)
    assert [sender.can_send(request, to) for to in (CACHE, OTHER_CACHE, CACHE_OF_OTHER_ZONE)] == allowed
    request.first_execution = Execution(NOW - 5 * SECOND, CACHE.endpoint)
    assert not any(sender.can_send(request, to) for to in (CACHE, OTHER_CACHE, CACHE_OF_OTHER_ZONE))


@pytest.mark.parametrize("effect", list(Idempotency))
@pytest.mark.parametrize("second_copies", [False, True])
def test_only_safe_requests_are_sent_while_an_attempt_is_open(
    effect: Idempotency, second_copies: bool
) -> None:
    settings = make_settings(classes=(make_class(effect=effect),), second_copies=second_copies)
    sender, request = make_sender(settings), make_request(settings)
    request.open_attempts[0] = SimpleNamespace()  # type: ignore[assignment]
    assert sender.can_send(request, OTHER_CACHE) is (effect is Idempotency.SAFE and second_copies)


@pytest.mark.parametrize(
    ("effect", "scope", "was_executed", "is_rejected"),
    [
        (Idempotency.SAFE, DeduplicationScope.ALL, True, True),
        (Idempotency.KEYED, DeduplicationScope.ALL, True, True),
        (Idempotency.KEYED, DeduplicationScope.ZONE, True, False),
        (Idempotency.UNSAFE, DeduplicationScope.ALL, True, False),
        (Idempotency.UNSAFE, DeduplicationScope.ALL, False, True),
    ],
)
def test_a_given_up_request_is_rejected_only_if_repeating_it_does_no_harm(
    effect: Idempotency, scope: DeduplicationScope, was_executed: bool, is_rejected: bool
) -> None:
    settings = make_settings(classes=(make_class(effect=effect, group=scope),))
    context, estimates = Context(settings, 1, NOW), StandInEstimates()
    queue = FairQueue[Request]((1.0,), NOW, 10, SECOND, 16)
    responder = Responder(context, estimates, estimates, queue, make_sender(settings))  # type: ignore[arg-type]
    request = responder.requests[1] = make_request(settings)
    queue.push(request)
    if was_executed:
        request.first_execution = Execution(NOW, CACHE.endpoint)
    responder.give_up(request)
    log, response = context.actions
    assert log == io.WriteLog("not in time")
    if is_rejected:
        assert isinstance(response, io.RejectRequest)
        assert MIN_RETRY_AFTER_SHARE * 500 * MS <= response.retry_after <= 500 * MS
    else:
        assert response == io.FailRequest(1)
    assert not queue and not responder.requests
