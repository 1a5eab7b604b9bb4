"""Placement over homes: a request whose key is at home somewhere goes nowhere else, and none means anywhere.

Each rule's test fails with the mutant of that rule beside it (the last test).
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
    Bench,
    attempts,
    machine,
    make_class,
    make_settings,
    refused,
)

KEYED = (make_class(), make_class(effect=Idempotency.KEYED), make_class(effect=Idempotency.UNSAFE))


def home(
    name: int = 1, caches: tuple[int, ...] = CACHES[:2], parents: tuple[int, ...] = PARENTS[:1], **more: Any
) -> io.HomeShard:
    return io.HomeShard(name, frozenset(caches), frozenset(parents), **more)


def homed(found: Callable[[io.RequestReceived], io.HomeShard | None], **changes: Any) -> Bench:
    bench = Bench(make_settings(classes=KEYED, **changes))
    bench.router.find_home = found
    return bench


def asked(bench: Bench, count: int = 60, first: int = 0) -> list[tuple[int, int]]:
    """Cache and source of each request's attempt, by its object; each is answered."""
    found = list[tuple[int, int]]()
    for n in range(first, first + count):
        (sent,) = attempts(bench.ask(n, obj=n % 60))
        found.append((sent.cache, sent.source if isinstance(sent, io.FetchThrough) else 0))
        bench.end(sent, AttemptOutcome.OK, CacheStatus.FILLED)
    return found


def only_machines_of_the_home_are_asked() -> None:
    got = asked(homed(lambda e: home()))
    assert {cache for cache, _ in got} == set(CACHES[:2]) and {source for _, source in got} == {PARENTS[0]}


def a_machine_keeps_the_keys_that_it_has_without_homes() -> None:
    """Else a first rule version alone would move every copy."""
    plain, inside = asked(Bench(make_settings(classes=KEYED))), asked(homed(lambda e: home()))
    kept = [(a, b) for (a, _), (b, _) in zip(plain, inside, strict=True) if a in CACHES[:2]]
    assert len(kept) > 20 and all(a == b for a, b in kept)


def one_object_of_two_homes_lies_in_each_by_itself() -> None:
    """Hash orders are kept; one kept for a home must not serve another."""
    bench = homed(lambda e: home(e.tenant, CACHES[e.tenant : e.tenant + 1]))
    for n in range(6):
        (sent,) = attempts(bench.ask(n, obj=5, tenant=n % 3))
        assert sent.cache == CACHES[n % 3]
        bench.end(sent, AttemptOutcome.OK, CacheStatus.HIT)


def a_closed_home_refuses_what_may_not_simply_be_repeated() -> None:
    bench = homed(lambda e: home(is_write_paused=True))
    assert len(attempts(bench.ask(1, cls=0))) == 1
    for n in (1, 2):
        done = bench.ask(10 + n, cls=n)
        assert attempts(done) == [] and refused(done) == [10 + n]
        assert 10 + n not in bench.router.requests
    bench.router.find_home = lambda e: home()
    assert len(attempts(bench.ask(20, cls=2))) == 1


def a_home_is_asked_for_once_and_kept_over_further_attempts() -> None:
    """A version that changes between two attempts must not send one request to two homes."""
    calls = list[int]()

    def found(e: io.RequestReceived) -> io.HomeShard:
        calls.append(e.request)
        return home(len(calls), CACHES[:2] if len(calls) == 1 else CACHES[2:])

    bench = homed(found)
    (sent,) = attempts(bench.ask(1))
    (again,) = attempts(bench.end(sent, AttemptOutcome.CONNECT_FAILED))
    assert {sent.cache, again.cache} == set(CACHES[:2]) and calls == [1]


def each_attempt_has_its_witness() -> None:
    bench, seen = homed(lambda e: None), list[tuple[int, int, int | None]]()

    def witness(e: io.RequestReceived, node: Upstream, source: Upstream | None) -> None:
        seen.append((e.request, node.endpoint.number, source.endpoint.number if source else None))

    bench.router.sender.observer = witness
    (sent,) = attempts(bench.ask(1))
    (again,) = attempts(bench.end(sent, AttemptOutcome.CONNECT_FAILED))
    assert isinstance(sent, io.FetchThrough) and isinstance(again, io.FetchThrough)
    assert seen == [(1, a.cache, a.source) for a in (sent, again)]


def a_hold_in_a_home_ends_at_its_next_machine() -> None:
    """What is shed after a hold looks at the next by hash: of the home, not of all that are listed."""
    bench = homed(lambda e: None)
    (sent,) = attempts(bench.ask(1, obj=7))
    req = bench.router.requests[1]
    order = [
        n.endpoint.number for n in bench.router.placement.rank(bench.router.placement.table.caches, req.key)
    ]
    bench.end(sent, AttemptOutcome.OK, CacheStatus.HIT)
    first = bench.router.placement.table.by_id[order[0]]
    first.in_flight = {(5000 + n, 0): Attempt(req, 0, bench.now, first, None) for n in range(200)}
    bench.router.find_home = lambda e: home(caches=(order[0], order[2]))
    assert attempts(bench.ask(2, obj=7)) == []
    assert [a.cache for a in attempts(bench.wait(2 * SECOND))] == [order[2]]


def without_a_usable_cache_a_home_is_served_straight_from_its_parent() -> None:
    """As where no cache at all is usable; with nothing straight it is refused."""
    drains = tuple(replace(machine(c), state=EndpointState.DRAINING) for c in CACHES[:2])
    for direct in (True, False):
        bench = homed(lambda e: home(), direct=direct)
        bench.give(io.EndpointUpdate(UpdateScope.CHANGES, drains))
        done = bench.ask(1)
        assert [a.cache for a in attempts(done)] == [PARENTS[0]] * direct
        assert refused(done) == [1] * (not direct)


def the_list_moves_keys_within_a_home() -> None:
    """Orders are made anew as the list changes: what joins a home is used, what is gone is not."""
    bench = homed(lambda e: home(caches=(*CACHES[:2], 104)))
    asked(bench)
    gone = replace(machine(CACHES[0]), state=EndpointState.GONE)
    bench.give(io.EndpointUpdate(UpdateScope.CHANGES, (gone, machine(104))))
    assert {cache for cache, _ in asked(bench, first=100)} == {CACHES[1], 104}


STORIES = (
    only_machines_of_the_home_are_asked,
    a_machine_keeps_the_keys_that_it_has_without_homes,
    one_object_of_two_homes_lies_in_each_by_itself,
    a_closed_home_refuses_what_may_not_simply_be_repeated,
    a_home_is_asked_for_once_and_kept_over_further_attempts,
    each_attempt_has_its_witness,
    a_hold_in_a_home_ends_at_its_next_machine,
    without_a_usable_cache_a_home_is_served_straight_from_its_parent,
    the_list_moves_keys_within_a_home,
)


@pytest.mark.parametrize("story", STORIES)
def test_homes(story: Callable[[], None]) -> None:
    story()


Patch = Callable[[pytest.MonkeyPatch], None]
rank, came, send, listed = Placement.rank, Router.on_request, AttemptSender.send, Router.on_endpoint_update


def ranked(change: Callable[[Placement, list[Upstream], int, io.HomeShard | None], list[Upstream]]) -> Patch:
    return lambda patch: patch.setattr(Placement, "rank", lambda s, n, k, h=None: change(s, n, k, h))


def parents_of_no_home(patch: pytest.MonkeyPatch) -> None:
    ranked(lambda s, n, k, h: rank(s, n, k, None if n is s.table.parents else h))(patch)


def drawn_by_home(patch: pytest.MonkeyPatch) -> None:
    ranked(lambda s, n, k, h: rank(s, n, k if h is None else k ^ 99, h))(patch)


def one_order_for_all_homes(patch: pytest.MonkeyPatch) -> None:
    ranked(lambda s, n, k, h: rank(s, n, k, h and replace(h, number=1)))(patch)


def never_closed(patch: pytest.MonkeyPatch) -> None:
    def open_to_all(self: Router, e: io.RequestReceived) -> None:
        found = self.find_home
        self.find_home = found and (lambda e: (h := found(e)) and replace(h, is_write_paused=False))
        came(self, e)
        self.find_home = found

    patch.setattr(Router, "on_request", open_to_all)


def asked_again(patch: pytest.MonkeyPatch) -> None:
    """Each attempt asks for the home; the request keeps what was told last."""
    finders: list[HomeLookup | None] = []

    def noted(self: Router, e: io.RequestReceived) -> None:
        finders[:] = [self.find_home]
        came(self, e)

    def anew(self: AttemptSender, req: Request, *more: Any) -> bool:
        req.home = finders[0](req.event) if finders[0] else None
        return send(self, req, *more)

    patch.setattr(Router, "on_request", noted)
    patch.setattr(AttemptSender, "send", anew)


def first_witness_alone(patch: pytest.MonkeyPatch) -> None:
    def once(self: AttemptSender, req: Request, *more: Any) -> bool:
        self.observer = None if req.attempts_sent else self.observer
        return send(self, req, *more)

    patch.setattr(AttemptSender, "send", once)


def hold_ends_anywhere(patch: pytest.MonkeyPatch) -> None:
    shed = Admission.shed

    def anywhere(self: Admission, req: Request, was_held: bool = False) -> None:
        req.home = None
        shed(self, req, was_held)

    patch.setattr(Admission, "shed", anywhere)


def straight_to_any_parent(patch: pytest.MonkeyPatch) -> None:
    """A home with no cache left falls back to all machines."""

    def fallen(s: Placement, n: list[Upstream], k: int, h: io.HomeShard | None) -> list[Upstream]:
        usable = h and any(
            m.endpoint.number in h.caches and m.endpoint.state is EndpointState.READY for m in s.table.caches
        )
        return rank(s, n, k, h if usable else None)

    ranked(fallen)(patch)


def orders_outlast_the_list(patch: pytest.MonkeyPatch) -> None:
    def kept(self: Router, news: io.EndpointUpdate) -> None:
        before = self.placement.rankings
        listed(self, news)
        self.placement.rankings = before

    patch.setattr(Router, "on_endpoint_update", kept)


@pytest.mark.parametrize(
    ("story", "mutant"),
    [
        (STORIES[0], ranked(lambda s, n, k, h: rank(s, n, k))),
        (STORIES[0], parents_of_no_home),
        (STORIES[1], drawn_by_home),
        (STORIES[2], one_order_for_all_homes),
        (STORIES[3], never_closed),
        (STORIES[4], asked_again),
        (STORIES[5], first_witness_alone),
        (STORIES[6], hold_ends_anywhere),
        (STORIES[7], straight_to_any_parent),
        (STORIES[8], orders_outlast_the_list),
    ],
)
def test_each_mutant_fails_its_story(
    story: Callable[[], None], mutant: Patch, monkeypatch: pytest.MonkeyPatch
) -> None:
    mutant(monkeypatch)
    with pytest.raises(AssertionError):
        story()
