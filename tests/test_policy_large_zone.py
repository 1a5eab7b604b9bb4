"""Thousands of caches in one zone: memory of the cached rankings, and the choice of the cache."""

from __future__ import annotations

import pytest

from quincepier.interface import EndpointState, EndpointUpdate, UpdateScope
from quincepier.structures import rank
from tests.rig import ORIGIN_ID, PARENT, RouterBench, attempts, machine

CACHES, KEYS = 3200, 400
ORIGIN_KIND = 2


def make_large_zone(caches: int = CACHES) -> RouterBench:
    own = tuple(machine(1000 + n) for n in range(caches))
    return RouterBench(machines=(*own, machine(201, PARENT), machine(ORIGIN_ID, ORIGIN_KIND)))


def test_cached_rankings_of_many_keys_have_a_bounded_number_of_entries() -> None:
    bench = make_large_zone()
    for number in range(1, KEYS + 1):
        bench.send_request(number, obj=number)
    rankings = bench.router.placement.rankings.values()
    assert len(rankings) >= KEYS
    assert sum(map(len, rankings)) <= 64 * len(rankings)


@pytest.mark.parametrize("unusable", [0, 1, 63, 64, 200, CACHES - 1])
def test_the_choice_is_that_of_the_whole_ranking_however_many_caches_are_unusable(unusable: int) -> None:
    """The first caches in the ranking of one key are draining."""
    bench = make_large_zone()
    table = bench.router.placement.table
    (first,) = attempts(bench.send_request(1, obj=7))
    request = bench.router.requests[1]
    ids = {upstream: upstream.endpoint.number for upstream in table.caches}
    order = rank(request.key, {u: u.endpoint.size for u in table.caches}, ids)
    assert first.cache == order[0].endpoint.number
    leaving = tuple(machine(u.endpoint.number, state=EndpointState.DRAINING) for u in order[:unusable])
    bench.handle(EndpointUpdate(UpdateScope.CHANGES, leaving))
    (second,) = attempts(bench.send_request(2, obj=7))
    assert second.cache == order[unusable].endpoint.number
