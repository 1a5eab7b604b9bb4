"""The rankings that the router holds: as a cache for the digests, and compared with the endpoint list."""

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
    """Count, of the last `limit` rankings that the router holds, those that its endpoints no longer give."""
    return sum(_is_stale(router, ranking, arithmetic) for ranking in router.cached_rankings(limit))


def _is_stale(router: RouterView, ranking: CachedRanking, arithmetic: Arithmetic) -> bool:
    by_size = router.settings.sizes_compare
    held = list(ranking.endpoints)
    for group in (router.caches, router.parents):
        ranked = rank_views(group, ranking.key_hash, by_size, True, arithmetic)
        kept = [n for n in ranked if not ranking.is_of_home_shard or n in held]
        if kept[:MAX_CACHED_RANKS] == held:  # of longer ones the router keeps the first
            return False
    return True


class RouterRankingCache:
    """Rankings as the router itself makes and holds them, for the digests; a `RankingCache`.

    It answers for the router's own zone and the parents, while no endpoint has a latency weight and the
    router's endpoints are those of the round; else the rules are computed without it.
    """

    def __init__(self, router: RouterView, endpoints: Callable[[], Sequence[ListedEndpoint]]) -> None:
        """`endpoints` gives the endpoint list that the round goes by."""
        self._router = router
        self._endpoints = endpoints

    def __call__(self, zone: int, key_hash: int) -> Sequence[int] | None:
        """The router's order for a key; None where it can't be compared."""
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
    """Number and size of the parents, or of the caches of a zone."""
    if zone == PARENT_ZONE:
        return {(e.number, e.size) for e in endpoints if e.kind == settings.parent_kind}
    source_kinds = (settings.parent_kind, settings.origin_kind)
    return {(e.number, e.size) for e in endpoints if e.zone == zone and e.kind not in source_kinds}
