"""Real decisions witnessed: of a share of the requests each attempt, the rule's choice and the reason.

What is kept is bounded: reasons by kind, the last records, the last breaches. It changes nothing of the
module.
"""

from __future__ import annotations

from collections import Counter, OrderedDict, deque
from collections.abc import Callable, Iterable, Sequence
from typing import Any

import xxhash

from quincepier import interface as io
from quincepier.consistency.arithmetic import STANDARD_ARITHMETIC, Arithmetic
from quincepier.consistency.decision import ListedEndpoint, RankingCache
from quincepier.consistency.explain import Before, DecisionRecord, Reason, Router, decision_record, order

RECORDS_KEPT, BREACHES_KEPT, REQUESTS_KEPT = 256, 64, 4096


class DecisionRecorder:
    """Set as `Router.witness`. `tell` hears of each breach, once."""

    def __init__(
        self,
        router: Router,
        share: float,
        seed: int,
        tell: Callable[[DecisionRecord], None] | None = None,
        how: Arithmetic = STANDARD_ARITHMETIC,
    ) -> None:
        self.router, self.tell, self.how = router, tell, how
        self.below, self.seed = int(share * 2**64), seed
        self.counts = Counter[Reason]()
        self.records: deque[DecisionRecord] = deque(maxlen=RECORDS_KEPT)
        self.breaches: deque[DecisionRecord] = deque(maxlen=BREACHES_KEPT)
        self.before: OrderedDict[int, Before] = OrderedDict()

    def __call__(self, e: io.RequestReceived, node: Any, source: Any) -> None:
        """An attempt that is about to be made; machines as the module's nodes, or by number."""
        if xxhash.xxh3_64_intdigest(e.request.to_bytes(8, "little"), self.seed) >= self.below:
            return
        at = node if isinstance(node, int) else node.endpoint.cache
        by = -1 if source is None else source if isinstance(source, int) else source.endpoint.cache
        # under the version that it came by, though there may be a newer one by now
        home = getattr(self.router.requests.get(e.request), "home", None)
        seen = decision_record(self.router, e, at, by, self.before.get(e.request), home, self.how)
        self.before[e.request] = at, by
        self.before.move_to_end(e.request)
        if len(self.before) > REQUESTS_KEPT:
            self.before.popitem(last=False)
        self.counts[seen.reason] += 1
        self.records.append(seen)
        if seen.reason is Reason.BREACH:
            self.breaches.append(seen)
            if self.tell is not None:
                self.tell(seen)


def stale_rankings(router: Router, most: int = 64, how: Arithmetic = STANDARD_ARITHMETIC) -> int:
    """Of the last `most` rankings in the module's memory, how many are not what its list gives now."""
    kept = list(router.placement.rankings.items())[-most:]
    stale = 0
    for at, ranked in kept:
        key, whole = (at, True) if isinstance(at, int) else (at[0], False)  # the others are of one home
        numbers = [n.endpoint.cache for n in ranked]
        sized = router.settings.sizes_compare
        groups = (
            order(group, key, sized, True, how)
            for group in (router.placement.table.caches, router.placement.table.parents)
        )
        stale += all([n for n in group if whole or n in numbers] != numbers for group in groups)
    return stale


def router_ranking_cache(router: Router, lines: Callable[[], Sequence[ListedEndpoint]]) -> RankingCache:
    """What the module itself ranks, for the digests: of its own zone and the parents, while no machine has a
    step of pace and its list is the one that the round goes by; else None, and the rule is computed alone.
    """

    def memory(zone: int, key: int) -> Sequence[int] | None:
        group = (
            router.placement.table.parents
            if zone < 0
            else router.placement.table.caches
            if zone == router.settings.zone
            else None
        )
        if not group or any(n.weight_step for n in group):
            return None
        upper = (router.settings.parent_kind, router.settings.origin_kind)
        wanted = _of(lines(), zone, upper)
        if {(n.endpoint.cache, n.endpoint.size) for n in group} != wanted:
            return None
        return [n.endpoint.cache for n in router.placement.rank(group, key)]

    return memory


def _of(lines: Iterable[ListedEndpoint], zone: int, upper: tuple[int, int]) -> set[tuple[int, float]]:
    if zone < 0:
        return {(line.number, line.size) for line in lines if line.kind == upper[0]}
    return {(line.number, line.size) for line in lines if line.zone == zone and line.kind not in upper}
