"""Placement: the caches and sources of an object by weighted rendezvous hashing, and which are usable."""

import math
from itertools import islice

from quincepier.context import Context, RouterComponent
from quincepier.interface import Endpoint, EndpointState, EndpointUpdate, HomeShard
from quincepier.keys import MAX_REMEMBERED_KEYS, stable_hash
from quincepier.policy.latency import SLOW_FACTOR, SLOWNESS_HALF_LIFE, SLOWNESS_PRIOR, LatencyEstimates
from quincepier.policy.slow_start import SlowStart
from quincepier.records import SECOND, Completion, Request, Upstream
from quincepier.structures import DecayingMean, RecencyMap, RendezvousGroup
from quincepier.upstream_table import TableChange, UpstreamTable

SATURATION_SHARE = 0.6  # share of a request's objective that the expected latency at a cache may take
FETCH_LOAD = 0.5  # load of a fetch, in transfers: at a fast cache it mostly waits for its source
MIN_SATURATION_LOAD = 2  # transfers; a cache with fewer is not saturated, however small it is
# Recent requests of a cache that are examined, and the share of them from which an object is hot; hot objects
# have two caches.
HOT_REQUESTS, HOT_SHARE = 32, 0.25
WEIGHT_STEPS = 4  # weight steps per doubling of the slowness; two steps halve the weight
# Upstreams kept per key, as thousands may be listed; nearly always at least one of them is usable.
MAX_CACHED_RANKS = 8
# Time after a hit, ns, during which attempts for the same key at the same cache don't count as fetches.
HIT_LIFETIME = 5 * SECOND


class Placement(RouterComponent):
    """Finds caches and sources by hash, and only ones that are usable.

    Attributes:
        table: The listed upstreams.
        hits: Time at which a cache last answered a key from its own copy, by cache and key.
        rankings: The first upstreams in the hash order of each key; by key, or by key and home shard.
        groups: Upstreams prepared for hashing; True: the parents, False: the caches.
    """

    def __init__(self, context: Context, latency: LatencyEstimates, slow_start: SlowStart) -> None:
        super().__init__(context)
        self.latency = latency
        self.slow_start = slow_start
        self.hits = RecencyMap(MAX_REMEMBERED_KEYS)
        self.table = UpstreamTable(self._create_upstream)
        self.rankings = dict[int | tuple[int, int], list[Upstream]]()
        self.groups = dict[bool, RendezvousGroup[Upstream]]()

    def update(self, update: EndpointUpdate) -> TableChange:
        """Apply an update of the endpoint list; return what it changed."""
        change = self.table.apply(update, self.context.settings)
        for upstream, previous in change.updated:
            self._on_endpoint_updated(upstream, previous)
        if change.has_ranking_changed:
            self.clear_rankings()
        return change

    def _create_upstream(self, endpoint: Endpoint) -> Upstream | None:
        """Create the record of an endpoint; None for caches of other zones, which are never used."""
        settings = self.context.settings
        is_shared = endpoint.kind in (settings.parent_kind, settings.origin_kind)
        if not is_shared and endpoint.zone != settings.zone:
            return None
        return Upstream(endpoint, DecayingMean(SLOWNESS_HALF_LIFE, SLOWNESS_PRIOR), HOT_REQUESTS)

    @staticmethod
    def _on_endpoint_updated(upstream: Upstream, previous: Endpoint) -> None:
        """Replace the state that this front derived by the state in the list."""
        up_since = upstream.endpoint.started_at
        if 0 < up_since < previous.started_at:  # same process, more accurate start time; nothing else changed
            if upstream.started_at == previous.started_at:
                upstream.started_at = up_since
            return
        upstream.draining_until = 0
        if up_since > previous.started_at:  # restarted
            upstream.started_at = max(upstream.started_at, up_since)
            upstream.is_ejected = False

    def clear_rankings(self) -> None:
        """Discard all cached rankings, as upstreams were added or removed or have changed their weight."""
        self.rankings = {}
        self.groups = {}

    def rank(self, group: list[Upstream], key: int, home: HomeShard | None = None) -> list[Upstream]:
        """Return the first `MAX_CACHED_RANKS` upstreams in the hash order of a key.

        The result is cached until the ranking changes, as held requests are examined often.
        """
        ranking_key = key if home is None else (key, home.number)
        if ranking_key not in self.rankings:
            if len(self.rankings) >= MAX_REMEMBERED_KEYS:
                self.rankings = {}
            self.rankings[ranking_key] = self.rank_uncached(group, key, home, MAX_CACHED_RANKS)
        return self.rankings[ranking_key]

    def rank_uncached(
        self, group: list[Upstream], key: int, home: HomeShard | None = None, count: int | None = None
    ) -> list[Upstream]:
        """Compute the hash order of a key: all upstreams of the group, or the first `count`."""
        if home is not None:
            return self._prepare_group(group, home).rank(key, count)
        is_parents = group is self.table.parents
        if is_parents not in self.groups:
            self.groups[is_parents] = self._prepare_group(group, None)
        return self.groups[is_parents].rank(key, count)

    def _prepare_group(self, group: list[Upstream], home: HomeShard | None) -> RendezvousGroup[Upstream]:
        by_size = self.context.settings.sizes_compare and all(u.endpoint.size > 0 for u in group)
        weights = {u: (u.endpoint.size if by_size else 1.0) / 2 ** (u.weight_step / 2) for u in group}
        if home is not None:  # only members of the home shard; hashes do not depend on the shard
            members = home.parents if group is self.table.parents else home.caches
            group = [u for u in group if u.endpoint.number in members]
        return RendezvousGroup(weights, {u: u.endpoint.number for u in group})

    def find_usable(self, group: list[Upstream], key: int, request: Request, count: int) -> list[Upstream]:
        """Return the first `count` usable upstreams in the hash order of a key.

        The whole order is computed if the cached first part of it has too few of them.
        """
        ranked = self.rank(group, key, request.home)
        found = self._first_usable(ranked, request, count)
        if len(found) < count and len(ranked) == MAX_CACHED_RANKS:
            ranked = self.rank_uncached(group, key, request.home)
            found = self._first_usable(ranked, request, count)
        return found

    def _first_usable(self, ranked: list[Upstream], request: Request, count: int) -> list[Upstream]:
        return list(islice((u for u in ranked if self.is_usable(u, request)), count))

    def update_weights(self) -> None:
        """Lower the hash weight of slow upstreams: it falls with the square of their slowness."""
        for group in (self.table.caches, self.table.parents):
            measured = [u for u in group if u.slowness.weight]  # few of the thousands that may be listed
            factors = [u.slowness.factor(self.context.now) for u in measured]
            # an upstream without samples counts as one of usual speed
            best = 1.0 if len(measured) < len(group) else min(factors, default=1.0)
            for upstream, factor in zip(measured, factors, strict=True):
                step = int(WEIGHT_STEPS * math.log2(max(factor / (SLOW_FACTOR * best), 1.0)))
                if step != upstream.weight_step:
                    upstream.weight_step = step
                    self.clear_rankings()

    def is_usable(self, upstream: Upstream, request: Request) -> bool:
        """Whether a request may be sent to an upstream.

        It must be listed as ready, not be excluded for the request, not be ejected (unless a trial is due),
        and have budget left if it is in slow start.
        """
        now = self.context.now
        if upstream.endpoint.state is not EndpointState.READY or now < upstream.draining_until:
            return False
        if upstream in request.excluded:
            return False
        if upstream.is_ejected and now < upstream.trial_at:
            return False
        return self.slow_start.has_budget(upstream)

    def find_cache(self, request: Request) -> Upstream | None:
        """Return the first usable cache by hash; for a hot object, the less loaded of the first two."""
        found = self.find_usable(self.table.caches, request.key, request, 2)
        if not found:
            return None
        if len(found) > 1 and self._is_hot(found[0], request.event.object):
            return min(found, key=lambda upstream: len(upstream.in_flight))
        return found[0]

    @staticmethod
    def _is_hot(cache: Upstream, object_id: int) -> bool:
        return cache.recent_objects.count(object_id) > HOT_SHARE * HOT_REQUESTS

    def find_source(self, request: Request) -> Upstream | None:
        """Return the first usable parent by hash, or a usable origin if there is no such parent."""
        parents = self.find_usable(self.table.parents, stable_hash(request.event.object), request, 1)
        sources = parents + self.table.origins
        return next((source for source in sources if self.is_usable(source, request)), None)

    def is_saturated(self, cache: Upstream | None, request: Request) -> bool:
        """Whether a cache is so loaded or slow that one more transfer would miss the request's objective."""
        if cache is None:
            return False
        fronts = self.slow_start.count_fronts(cache)
        objective = self.latency.objective(request)
        transfer_time = self.latency.transfer_time(request)
        slowness = cache.slowness.factor(self.context.now)
        share = SATURATION_SHARE + (1 - SATURATION_SHARE) / fronts  # with more fronts, leave more headroom
        if slowness * transfer_time > share * objective:
            return True
        size = cache.endpoint.size
        if not self.context.settings.sizes_compare or size <= 0:
            return False  # a size that was learned from served work is no upper limit
        load = self._load(cache, slowness) + 1
        return load > max(SATURATION_SHARE * objective / transfer_time * size / fronts, MIN_SATURATION_LOAD)

    @staticmethod
    def _load(cache: Upstream, slowness: float) -> float:
        """Return the number of transfers that this front has in flight at a cache; fetches count less."""
        fetch_load = FETCH_LOAD if slowness < SLOW_FACTOR else 1
        return sum(fetch_load if attempt.is_fetch else 1 for attempt in cache.in_flight.values())

    def is_known_hit(self, cache: Upstream, request: Request) -> bool:
        """Whether a cache answered the request's key from its own copy within `HIT_LIFETIME`."""
        now = self.context.now
        last_hit_at = self.hits.get((cache.endpoint.number, request.key), now - HIT_LIFETIME)
        return now - last_hit_at < HIT_LIFETIME

    def on_hit(self, completion: Completion) -> None:
        """Note that a cache answered from its own copy."""
        attempt, now = completion.attempt, self.context.now
        self.hits.record((attempt.upstream.endpoint.number, attempt.request.key), now, now - HIT_LIFETIME)
