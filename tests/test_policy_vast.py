"""Thousands of caches in one zone: what the hash orders hold and what they choose."""

from __future__ import annotations

import pytest

from quincepier.interface import EndpointState, EndpointUpdate, UpdateScope
from quincepier.structures import rank
from tests.rig import PARENT, ROOT, Bench, attempts, machine

CACHES, KEYS = 3200, 400
ORIGIN_KIND = 2


def vast(caches: int = CACHES) -> Bench:
    own = tuple(machine(1000 + n) for n in range(caches))
    return Bench(machines=(*own, machine(201, PARENT), machine(ROOT, ORIGIN_KIND)))


def test_the_hash_orders_of_many_keys_hold_a_bounded_number_of_entries() -> None:
    bench = vast()
    for number in range(1, KEYS + 1):
        bench.ask(number, obj=number)
    rankings = bench.router.placement.rankings.values()
    assert len(rankings) >= KEYS
    assert sum(map(len, rankings)) <= 64 * len(rankings)


@pytest.mark.parametrize("unusable", [0, 1, 63, 64, 200, CACHES - 1])
def test_the_choice_is_that_of_the_whole_order_however_many_may_not_be_asked(unusable: int) -> None:
    """The first ones of one key's order begin to drain."""
    bench = vast()
    table = bench.router.placement.table
    (first,) = attempts(bench.ask(1, obj=7))
    request = bench.router.requests[1]
    ids = {upstream: upstream.endpoint.number for upstream in table.caches}
    order = rank(request.key, {u: u.endpoint.size for u in table.caches}, ids)
    assert first.cache == order[0].endpoint.number
    leaving = tuple(machine(u.endpoint.number, state=EndpointState.DRAINING) for u in order[:unusable])
    bench.give(EndpointUpdate(UpdateScope.CHANGES, leaving))
    (second,) = attempts(bench.ask(2, obj=7))
    assert second.cache == order[unusable].endpoint.number
