"""Placement: where copies of an object lie, by weighted rendezvous hash, and which of these may be asked."""

import math
from itertools import islice

from quincepier.context import Context, Part
from quincepier.interface import Endpoint, EndpointState, EndpointUpdate, HomeShard
from quincepier.keys import MAX_REMEMBERED_KEYS, mix
from quincepier.policy.latency import HALF_LIFE, PRIOR, SLOW, LatencyEstimates
from quincepier.policy.slow_start import SlowStart
from quincepier.records import SECOND, Completion, Request, Upstream
from quincepier.structures import DecayingMean, RecencyMap, RendezvousGroup
from quincepier.upstream_table import TableChange, UpstreamTable

CROWDED_SHARE = 0.6  # of the slowing that a class stands
FETCH_LOAD = 0.5  # of a transfer; a fetch at a quick cache waits for its source
MIN_CROWDED_LOAD = 2  # transfers; less is no crowd, however small the cache
HOT_REQUESTS, HOT_SHARE = (
    32,
    0.25,
)  # last requests of a cache; from this share of them an object has two caches
WEIGHT_STEPS = 4  # of a weight that is halved by two steps: slowness counts by its square
MAX_RANKED = 8  # of an order kept, as thousands may be listed; hardly ever may none of these be asked
HIT_LIFETIME = 5 * SECOND  # how long a seen hit keeps an attempt from counting as a fetch (design)


class Placement(Part):
    """Caches and sources by hash. Never names an upstream that may not be asked.

    Attributes:
        table: The listed upstreams.
        hits: When a cache last answered a key out of its own, by cache and key.
        rankings: The first of each key's order, by key, and by the name of its home.
        groups: What orders are made of: True, the parents; False, the caches.
    """

    def __init__(self, context: Context, latency: LatencyEstimates, slow_start: SlowStart) -> None:
        super().__init__(context)
        self.latency = latency
        self.slow_start = slow_start
        self.hits = RecencyMap(MAX_REMEMBERED_KEYS)
        self.table = UpstreamTable(self._new_upstream)
        self.rankings = dict[int | tuple[int, int], list[Upstream]]()
        self.groups = dict[bool, RendezvousGroup[Upstream]]()

    def update(self, update: EndpointUpdate) -> TableChange:
        """Take the endpoint list; return what changed."""
        change = self.table.apply(update, self.context.settings)
        for upstream, previous in change.listed_again:
            self._on_listed_again(upstream, previous)
        if change.has_moved:
            self.forget_rankings()
        return change

    def _new_upstream(self, endpoint: Endpoint) -> Upstream | None:
        """Make the record of an endpoint; caches of other zones are not kept."""
        settings = self.context.settings
        is_shared = endpoint.kind in (settings.parent_kind, settings.origin_kind)
        if not is_shared and endpoint.zone != settings.zone:
            return None
        return Upstream(endpoint, DecayingMean(HALF_LIFE, PRIOR), HOT_REQUESTS)

    @staticmethod
    def _on_listed_again(upstream: Upstream, previous: Endpoint) -> None:
        """Take what the list tells in place of what was found out."""
        up_since = upstream.endpoint.started_at
        if 0 < up_since < previous.started_at:  # the same process, its start dated better; no other news
            if upstream.started_at == previous.started_at:
                upstream.started_at = up_since
            return
        upstream.draining_until = 0
        if up_since > previous.started_at:  # another process
            upstream.started_at = max(upstream.started_at, up_since)
            upstream.is_ejected = False

    def forget_rankings(self) -> None:
        """Upstreams came, went, or have other weights."""
        self.rankings = {}
        self.groups = {}

    def rank(self, group: list[Upstream], key: int, home: HomeShard | None = None) -> list[Upstream]:
        """The first of a key's order, kept until the list changes: a held request is looked at often."""
        at = key if home is None else (key, home.number)
        if at not in self.rankings:
            if len(self.rankings) >= MAX_REMEMBERED_KEYS:
                self.rankings = {}
            self.rankings[at] = self.rank_all(group, key, home, MAX_RANKED)
        return self.rankings[at]

    def rank_all(
        self, group: list[Upstream], key: int, home: HomeShard | None = None, count: int | None = None
    ) -> list[Upstream]:
        """A key's order, whole or its first `count`."""
        if home is not None:
            return self._prepare_group(group, home).rank(key, count)
        is_parents = group is self.table.parents
        if is_parents not in self.groups:
            self.groups[is_parents] = self._prepare_group(group, None)
        return self.groups[is_parents].rank(key, count)

    def _prepare_group(self, group: list[Upstream], home: HomeShard | None) -> RendezvousGroup[Upstream]:
        by_size = self.context.settings.sizes_compare and all(u.endpoint.size > 0 for u in group)
        weights = {u: (u.endpoint.size if by_size else 1.0) / 2 ** (u.weight_step / 2) for u in group}
        if home is not None:  # of all listed the home's, each by the draw that it always has
            members = home.parents if group is self.table.parents else home.caches
            group = [u for u in group if u.endpoint.number in members]
        return RendezvousGroup(weights, {u: u.endpoint.number for u in group})

    def usable(self, group: list[Upstream], key: int, request: Request, count: int) -> list[Upstream]:
        """The first `count` that may be asked; beyond the kept part of the order where it has too few."""
        ranked = self.rank(group, key, request.home)
        found = self._first_usable(ranked, request, count)
        if len(found) < count and len(ranked) == MAX_RANKED:
            ranked = self.rank_all(group, key, request.home)
            found = self._first_usable(ranked, request, count)
        return found

    def _first_usable(self, ranked: list[Upstream], request: Request, count: int) -> list[Upstream]:
        return list(islice((u for u in ranked if self.is_usable(u, request)), count))

    def reweigh(self) -> None:
        """Halve the weight of slow upstreams: each keeps its part by the square of its slowness."""
        for group in (self.table.caches, self.table.parents):
            seen = [u for u in group if u.slowness.weight]  # of thousands that are listed a few
            factors = [u.slowness.factor(self.context.now) for u in seen]
            best = 1.0 if len(seen) < len(group) else min(factors, default=1.0)  # unseen ones are as usual
            for upstream, factor in zip(seen, factors, strict=True):
                step = int(WEIGHT_STEPS * math.log2(max(factor / (SLOW * best), 1.0)))
                if step != upstream.weight_step:
                    upstream.weight_step = step
                    self.forget_rankings()

    def is_usable(self, upstream: Upstream, request: Request) -> bool:
        """Whether a request may be sent there: listed as ready, not failing, and within its budget."""
        now = self.context.now
        if upstream.endpoint.state is not EndpointState.READY or now < upstream.draining_until:
            return False
        if upstream in request.excluded:
            return False
        if upstream.is_ejected and now < upstream.trial_at:
            return False
        return self.slow_start.has_room(upstream)

    def find_cache(self, request: Request) -> Upstream | None:
        """Return the first cache by hash that may be asked; of a hot object the idler one of two."""
        found = self.usable(self.table.caches, request.key, request, 2)
        if not found:
            return None
        if len(found) > 1 and self._is_hot(found[0], request.event.object):
            return min(found, key=lambda upstream: len(upstream.in_flight))
        return found[0]

    @staticmethod
    def _is_hot(cache: Upstream, object_id: int) -> bool:
        return cache.recent_objects.count(object_id) > HOT_SHARE * HOT_REQUESTS

    def find_source(self, request: Request) -> Upstream | None:
        """Return the first parent by hash that may be asked, else an origin."""
        parents = self.usable(self.table.parents, mix(request.event.object), request, 1)
        sources = parents + self.table.origins
        return next((source for source in sources if self.is_usable(source, request)), None)

    def is_crowded(self, cache: Upstream | None, request: Request) -> bool:
        """Whether one more transfer of a cache would come late."""
        if cache is None:
            return False
        sharers = self.slow_start.sharers(cache)
        objective = self.latency.objective(request)
        transfer_time = self.latency.transfer_time(request)
        slowness = cache.slowness.factor(self.context.now)
        share = CROWDED_SHARE + (1 - CROWDED_SHARE) / sharers  # more fronts leave more room
        if slowness * transfer_time > share * objective:
            return True
        size = cache.endpoint.size
        if not self.context.settings.sizes_compare or size <= 0:
            return False  # what a kind was seen to bear is no limit
        load = self._load(cache, slowness) + 1
        return load > max(CROWDED_SHARE * objective / transfer_time * size / sharers, MIN_CROWDED_LOAD)

    @staticmethod
    def _load(cache: Upstream, slowness: float) -> float:
        """Return the transfers that a cache has in flight of this front."""
        fetch_load = FETCH_LOAD if slowness < SLOW else 1
        return sum(fetch_load if attempt.is_fetch else 1 for attempt in cache.in_flight.values())

    def is_known_hit(self, cache: Upstream, request: Request) -> bool:
        """Whether a cache answered the request's key out of its own lately."""
        now = self.context.now
        seen_at = self.hits.get((cache.endpoint.number, request.key), now - HIT_LIFETIME)
        return now - seen_at < HIT_LIFETIME

    def on_hit(self, completion: Completion) -> None:
        """Note that a cache answered out of its own."""
        attempt, now = completion.attempt, self.context.now
        self.hits.record((attempt.upstream.endpoint.number, attempt.request.key), now, now - HIT_LIFETIME)
