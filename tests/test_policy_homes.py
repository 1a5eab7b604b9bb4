"""Placement with home shards: a request is served only by its home shard; without one, by any machine.

For each scenario there is a mutant of the policy with which it fails (the last test).
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace
from typing import Any

import pytest

from quincepier import interface as io
from quincepier.context import HomeLookup
from quincepier.interface import AttemptOutcome, CacheStatus, EndpointState, Idempotency, UpdateScope
from quincepier.policy import Router
from quincepier.policy.admission import Admission
from quincepier.policy.placement import Placement
from quincepier.policy.sending import AttemptSender
from quincepier.records import Attempt, Request, Upstream
from tests.rig import (
    CACHES,
    PARENTS,
    SECOND,
    RouterBench,
    attempts,
    machine,
    make_class,
    make_settings,
    rejected_requests,
)

KEYED = (make_class(), make_class(effect=Idempotency.KEYED), make_class(effect=Idempotency.UNSAFE))


def home(
    name: int = 1, caches: tuple[int, ...] = CACHES[:2], parents: tuple[int, ...] = PARENTS[:1], **more: Any
) -> io.HomeShard:
    return io.HomeShard(name, frozenset(caches), frozenset(parents), **more)


def make_homed_bench(
    found: Callable[[io.RequestReceived], io.HomeShard | None], **changes: Any
) -> RouterBench:
    bench = RouterBench(make_settings(classes=KEYED, **changes))
    bench.router.find_home = found
    return bench


def send_requests(bench: RouterBench, count: int = 60, first: int = 0) -> list[tuple[int, int]]:
    """Send one request per object, answer each; return the cache and the source of each attempt."""
    found = list[tuple[int, int]]()
    for n in range(first, first + count):
        (sent,) = attempts(bench.send_request(n, obj=n % 60))
        found.append((sent.cache, sent.source if isinstance(sent, io.FetchThrough) else 0))
        bench.complete_attempt(sent, AttemptOutcome.OK, CacheStatus.FILLED)
    return found


def only_machines_of_the_home_are_asked() -> None:
    targets = send_requests(make_homed_bench(lambda e: home()))
    assert {c for c, _ in targets} == set(CACHES[:2]) and {source for _, source in targets} == {PARENTS[0]}


def a_machine_keeps_the_keys_that_it_has_without_homes() -> None:
    """Otherwise the first rule version would move every copy."""
    plain, inside = (
        send_requests(RouterBench(make_settings(classes=KEYED))),
        send_requests(make_homed_bench(lambda e: home())),
    )
    kept = [(a, b) for (a, _), (b, _) in zip(plain, inside, strict=True) if a in CACHES[:2]]
    assert len(kept) > 20 and all(a == b for a, b in kept)


def one_object_of_two_homes_lies_in_each_by_itself() -> None:
    """Rankings are cached; a ranking that was cached for one home must not be used for another."""
    bench = make_homed_bench(lambda e: home(e.tenant, CACHES[e.tenant : e.tenant + 1]))
    for n in range(6):
        (sent,) = attempts(bench.send_request(n, obj=5, tenant=n % 3))
        assert sent.cache == CACHES[n % 3]
        bench.complete_attempt(sent, AttemptOutcome.OK, CacheStatus.HIT)


def a_closed_home_refuses_what_may_not_simply_be_repeated() -> None:
    bench = make_homed_bench(lambda e: home(is_write_paused=True))
    assert len(attempts(bench.send_request(1, cls=0))) == 1
    for n in (1, 2):
        actions = bench.send_request(10 + n, cls=n)
        assert attempts(actions) == [] and rejected_requests(actions) == [10 + n]
        assert 10 + n not in bench.router.requests
    bench.router.find_home = lambda e: home()
    assert len(attempts(bench.send_request(20, cls=2))) == 1


def a_home_is_asked_for_once_and_kept_over_further_attempts() -> None:
    """A rule version that changes between two attempts must not send one request to two homes."""
    calls = list[int]()

    def found(e: io.RequestReceived) -> io.HomeShard:
        calls.append(e.request)
        return home(len(calls), CACHES[:2] if len(calls) == 1 else CACHES[2:])

    bench = make_homed_bench(found)
    (sent,) = attempts(bench.send_request(1))
    (retry,) = attempts(bench.complete_attempt(sent, AttemptOutcome.CONNECT_FAILED))
    assert {sent.cache, retry.cache} == set(CACHES[:2]) and calls == [1]


def each_attempt_is_reported_to_the_observer() -> None:
    bench, observed = make_homed_bench(lambda e: None), list[tuple[int, int, int | None]]()

    def observer(e: io.RequestReceived, node: Upstream, source: Upstream | None) -> None:
        observed.append((e.request, node.endpoint.number, source.endpoint.number if source else None))

    bench.router.sender.observer = observer
    (sent,) = attempts(bench.send_request(1))
    (retry,) = attempts(bench.complete_attempt(sent, AttemptOutcome.CONNECT_FAILED))
    assert isinstance(sent, io.FetchThrough) and isinstance(retry, io.FetchThrough)
    assert observed == [(1, a.cache, a.source) for a in (sent, retry)]


def a_hold_in_a_home_ends_at_its_next_machine() -> None:
    """A request that is shed after a hold goes to the next cache by hash of its home, not of all caches."""
    bench = make_homed_bench(lambda e: None)
    (sent,) = attempts(bench.send_request(1, obj=7))
    req = bench.router.requests[1]
    order = [
        n.endpoint.number for n in bench.router.placement.rank(bench.router.placement.table.caches, req.key)
    ]
    bench.complete_attempt(sent, AttemptOutcome.OK, CacheStatus.HIT)
    first = bench.router.placement.table.by_id[order[0]]
    first.in_flight = {(5000 + n, 0): Attempt(req, 0, bench.now, first, None) for n in range(200)}
    bench.router.find_home = lambda e: home(caches=(order[0], order[2]))
    assert attempts(bench.send_request(2, obj=7)) == []
    assert [a.cache for a in attempts(bench.advance(2 * SECOND))] == [order[2]]


def without_a_usable_cache_a_home_is_served_straight_from_its_parent() -> None:
    """As if no cache at all were usable; if direct requests are not allowed, it is rejected."""
    drains = tuple(replace(machine(c), state=EndpointState.DRAINING) for c in CACHES[:2])
    for direct in (True, False):
        bench = make_homed_bench(lambda e: home(), direct=direct)
        bench.handle(io.EndpointUpdate(UpdateScope.CHANGES, drains))
        actions = bench.send_request(1)
        assert [a.cache for a in attempts(actions)] == [PARENTS[0]] * direct
        assert rejected_requests(actions) == [1] * (not direct)


def the_list_moves_keys_within_a_home() -> None:
    """Rankings are computed again when the list changes: new machines are used, removed ones are not."""
    bench = make_homed_bench(lambda e: home(caches=(*CACHES[:2], 104)))
    send_requests(bench)
    gone = replace(machine(CACHES[0]), state=EndpointState.GONE)
    bench.handle(io.EndpointUpdate(UpdateScope.CHANGES, (gone, machine(104))))
    assert {cache for cache, _ in send_requests(bench, first=100)} == {CACHES[1], 104}


SCENARIOS = (
    only_machines_of_the_home_are_asked,
    a_machine_keeps_the_keys_that_it_has_without_homes,
    one_object_of_two_homes_lies_in_each_by_itself,
    a_closed_home_refuses_what_may_not_simply_be_repeated,
    a_home_is_asked_for_once_and_kept_over_further_attempts,
    each_attempt_is_reported_to_the_observer,
    a_hold_in_a_home_ends_at_its_next_machine,
    without_a_usable_cache_a_home_is_served_straight_from_its_parent,
    the_list_moves_keys_within_a_home,
)


@pytest.mark.parametrize("scenario", SCENARIOS)
def test_homes(scenario: Callable[[], None]) -> None:
    scenario()


Patch = Callable[[pytest.MonkeyPatch], None]
plain_rank, plain_on_request, plain_send, plain_on_endpoint_update = (
    Placement.rank,
    Router.on_request,
    AttemptSender.send,
    Router.on_endpoint_update,
)


def replace_rank(
    change: Callable[[Placement, list[Upstream], int, io.HomeShard | None], list[Upstream]],
) -> Patch:
    return lambda patch: patch.setattr(Placement, "rank", lambda s, n, k, h=None: change(s, n, k, h))


def parents_ignore_home(patch: pytest.MonkeyPatch) -> None:
    replace_rank(lambda s, n, k, h: plain_rank(s, n, k, None if n is s.table.parents else h))(patch)


def hash_depends_on_home(patch: pytest.MonkeyPatch) -> None:
    replace_rank(lambda s, n, k, h: plain_rank(s, n, k if h is None else k ^ 99, h))(patch)


def shared_ranking_for_all_homes(patch: pytest.MonkeyPatch) -> None:
    replace_rank(lambda s, n, k, h: plain_rank(s, n, k, h and replace(h, number=1)))(patch)


def home_never_closed(patch: pytest.MonkeyPatch) -> None:
    def open_to_all(self: Router, e: io.RequestReceived) -> None:
        find_home = self.find_home
        self.find_home = find_home and (lambda e: (h := find_home(e)) and replace(h, is_write_paused=False))
        plain_on_request(self, e)
        self.find_home = find_home

    patch.setattr(Router, "on_request", open_to_all)


def home_found_per_attempt(patch: pytest.MonkeyPatch) -> None:
    """Looks up the home for each attempt, so that a request can change its home."""
    finders: list[HomeLookup | None] = []

    def remember_lookup(self: Router, e: io.RequestReceived) -> None:
        finders[:] = [self.find_home]
        plain_on_request(self, e)

    def look_up_again(self: AttemptSender, req: Request, *more: Any) -> bool:
        req.home = finders[0](req.event) if finders[0] else None
        return plain_send(self, req, *more)

    patch.setattr(Router, "on_request", remember_lookup)
    patch.setattr(AttemptSender, "send", look_up_again)


def observer_of_first_attempt_only(patch: pytest.MonkeyPatch) -> None:
    def send_observed_once(self: AttemptSender, req: Request, *more: Any) -> bool:
        self.observer = None if req.attempts_sent else self.observer
        return plain_send(self, req, *more)

    patch.setattr(AttemptSender, "send", send_observed_once)


def shed_without_home(patch: pytest.MonkeyPatch) -> None:
    shed = Admission.shed

    def shed_anywhere(self: Admission, req: Request, was_held: bool = False) -> None:
        req.home = None
        shed(self, req, was_held)

    patch.setattr(Admission, "shed", shed_anywhere)


def fallback_to_any_parent(patch: pytest.MonkeyPatch) -> None:
    """A home with no cache left falls back to all machines."""

    def rank_with_fallback(s: Placement, n: list[Upstream], k: int, h: io.HomeShard | None) -> list[Upstream]:
        usable = h and any(
            m.endpoint.number in h.caches and m.endpoint.state is EndpointState.READY for m in s.table.caches
        )
        return plain_rank(s, n, k, h if usable else None)

    replace_rank(rank_with_fallback)(patch)


def rankings_outlast_list(patch: pytest.MonkeyPatch) -> None:
    def keep_rankings(self: Router, update: io.EndpointUpdate) -> None:
        before = self.placement.rankings
        plain_on_endpoint_update(self, update)
        self.placement.rankings = before

    patch.setattr(Router, "on_endpoint_update", keep_rankings)


@pytest.mark.parametrize(
    ("scenario", "mutant"),
    [
        (SCENARIOS[0], replace_rank(lambda s, n, k, h: plain_rank(s, n, k))),
        (SCENARIOS[0], parents_ignore_home),
        (SCENARIOS[1], hash_depends_on_home),
        (SCENARIOS[2], shared_ranking_for_all_homes),
        (SCENARIOS[3], home_never_closed),
        (SCENARIOS[4], home_found_per_attempt),
        (SCENARIOS[5], observer_of_first_attempt_only),
        (SCENARIOS[6], shed_without_home),
        (SCENARIOS[7], fallback_to_any_parent),
        (SCENARIOS[8], rankings_outlast_list),
    ],
)
def test_each_mutant_fails_its_scenario(
    scenario: Callable[[], None], mutant: Patch, monkeypatch: pytest.MonkeyPatch
) -> None:
    mutant(monkeypatch)
    with pytest.raises(AssertionError):
        scenario()
