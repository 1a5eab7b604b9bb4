"""The router's cached rankings: their use for digests, and their comparison with its endpoints."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Sequence

from quincepier import interface as io
from quincepier.consistency.arithmetic import STANDARD_ARITHMETIC, Arithmetic
from quincepier.consistency.decision import PARENT_ZONE, ListedEndpoint
from quincepier.consistency.explain import rank_views
from quincepier.consistency.router_view import CachedRanking, RouterView
from quincepier.policy.placement import MAX_CACHED_RANKS

MAX_CHECKED_RANKINGS = 64


def count_stale_rankings(
    router: RouterView, limit: int = MAX_CHECKED_RANKINGS, arithmetic: Arithmetic = STANDARD_ARITHMETIC
) -> int:
    """Return how many of the router's last `limit` cached rankings do not match its endpoints."""
    return sum(_is_stale(router, ranking, arithmetic) for ranking in router.cached_rankings(limit))


def _is_stale(router: RouterView, ranking: CachedRanking, arithmetic: Arithmetic) -> bool:
    by_size = router.settings.sizes_compare
    cached = list(ranking.endpoints)
    for group in (router.caches, router.parents):
        ranked = rank_views(group, ranking.key_hash, by_size, True, arithmetic)
        expected = [n for n in ranked if not ranking.is_of_home_shard or n in cached]
        if expected[:MAX_CACHED_RANKS] == cached:  # the router caches at most the first MAX_RANKED endpoints
            return False
    return True


class RouterRankingCache:
    """A `RankingCache` that supplies the router's own rankings to the rule decisions of digests.

    It covers the router's zone and the parents, as long as no endpoint has a latency weight and the router's
    endpoints are those of the round. Otherwise it returns None, and the rules compute the ranking.
    """

    def __init__(self, router: RouterView, endpoints: Callable[[], Sequence[ListedEndpoint]]) -> None:
        """Create the cache; `endpoints` returns the endpoint list of the round."""
        self._router = router
        self._endpoints = endpoints

    def __call__(self, zone: int, key_hash: int) -> Sequence[int] | None:
        """Return the router's ranking for a key hash, or None if it can't be compared."""
        settings = self._router.settings
        is_parents = zone == PARENT_ZONE
        if not is_parents and zone != settings.zone:
            return None
        group = self._router.parents if is_parents else self._router.caches
        if not group or any(endpoint.latency_divisor != 1 for endpoint in group):
            return None
        if {(e.number, e.size) for e in group} != _group_of(self._endpoints(), zone, settings):
            return None
        rank = self._router.rank_parents if is_parents else self._router.rank_caches
        return rank(key_hash)


def _group_of(
    endpoints: Iterable[ListedEndpoint], zone: int, settings: io.Settings
) -> set[tuple[int, float]]:
    """Return number and size of each parent, or of each cache of a zone."""
    if zone == PARENT_ZONE:
        return {(e.number, e.size) for e in endpoints if e.kind == settings.parent_kind}
    source_kinds = (settings.parent_kind, settings.origin_kind)
    return {(e.number, e.size) for e in endpoints if e.zone == zone and e.kind not in source_kinds}
