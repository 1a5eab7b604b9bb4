"""The rule decision of a key: what follows from rule version, settings and endpoint list alone.

Every front with equal inputs makes equal rule decisions. Placement is the policy's own weighted rendezvous
hash without its latency weights, which are one front's local observation.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Sequence
from dataclasses import dataclass

import msgspec

from quincepier import interface as io
from quincepier.consistency.arithmetic import STANDARD_ARITHMETIC, Arithmetic
from quincepier.rules import RuleVersion

HomeShardLookup = Callable[
    [str, io.RequestReceived], io.HomeShard | None
]  # tenant name and a request of the tenant
RankingCache = Callable[[int, int], Sequence[int] | None]  # zone and key hash: endpoint numbers, best first
PARENT_ZONE = -1  # stands for the parents of all zones in a ranking cache
MAX_TIER = 2


class ListedEndpoint(msgspec.Struct, frozen=True, array_like=True):
    """An entry of the endpoint list, as far as rule decisions depend on it."""

    host: str
    number: int  # a hash of the host id
    kind: int
    zone: int
    cell: int
    size: float  # transfers that it can send at once at client speed; 0 where the list has no size
    ready: bool


@dataclass(slots=True, frozen=True)
class DecisionInputs:
    """Everything that rule decisions follow from, as one front holds it at one moment.

    Attributes:
        rule_version: The rule version that the front decides by.
        settings: The settings of the front; its own zone is not used.
        endpoints: The endpoint list.
        list_revision: Sequence number in the change log of the last change to the list.
        build: Version of the software.
        find_home_shard: Home shard of a tenant's request. It must follow from `rule_version` and `endpoints`
            alone, for the caches of all zones, and never be that of a front in cautious mode.
    """

    rule_version: RuleVersion
    settings: io.Settings
    endpoints: tuple[ListedEndpoint, ...]
    list_revision: int
    build: str
    find_home_shard: HomeShardLookup | None = None


class DecisionKey(msgspec.Struct, frozen=True, array_like=True):
    """A requested key and the zone of the front that receives the request."""

    cls: int
    object: int
    part: int
    group: int
    tenant: str
    zone: int

    def __str__(self) -> str:
        tenant = f" of tenant {self.tenant}" if self.tenant else ""
        return f"object {self.object:x} part {self.part} class {self.cls}{tenant} in zone {self.zone}"


class CopyAgeLimits(msgspec.Struct, frozen=True, array_like=True):
    """Oldest age at which a copy may be served, in nanoseconds; 0: the class has no limit."""

    fresh_ns: int
    stale_ns: int  # the freshness lifetime and the grace after it


class RetryRules(msgspec.Struct, frozen=True, array_like=True):
    """Whether and how a request of the class may be repeated."""

    idempotency: str
    deduplication_scope: str  # group of caches that suppress repeats
    deduplication_window_ns: int


class RuleDecision(msgspec.Struct, frozen=True, array_like=True):
    """What the rules give for a key. Endpoints are numbers, the first choice first."""

    tier: int
    bypasses_caches: bool  # the class is never stored and goes straight to the origin
    caches: tuple[int, ...]
    sources: tuple[int, ...]  # parents, then origins
    max_copy_age: CopyAgeLimits
    home_shard: str
    is_write_paused: bool  # requests that may not simply be repeated are rejected
    retries: RetryRules


def class_tiers(classes: Sequence[io.RequestClass]) -> list[int]:
    """Tier of each class by its priority weight among the storable ones: 0 is the highest, 2 the lowest."""
    weights = sorted({c.worth for c in classes if not c.never_kept}, reverse=True)
    steps = max(len(weights) - 1, 1)
    tier_by_weight = {weight: math.ceil(MAX_TIER * place / steps) for place, weight in enumerate(weights)}
    return [tier_by_weight.get(c.worth, 0) for c in classes]


def rank_endpoints(
    endpoints: Sequence[ListedEndpoint],
    key_hash: int,
    by_size: bool,
    arithmetic: Arithmetic = STANDARD_ARITHMETIC,
) -> list[int]:
    """Order endpoint numbers by rendezvous hash, weighted by size if `by_size` and all sizes are known."""
    is_weighted = by_size and all(endpoint.size > 0 for endpoint in endpoints)
    scored = [
        (
            arithmetic.score(arithmetic.hash(key_hash, e.number), e.size if is_weighted else 1.0),
            e.number,
        )
        for e in endpoints
    ]
    return [number for _, number in sorted(scored)]


class DecisionRules:
    """Makes the rule decisions that follow from one set of inputs."""

    def __init__(
        self,
        inputs: DecisionInputs,
        arithmetic: Arithmetic = STANDARD_ARITHMETIC,
        ranking_cache: RankingCache | None = None,
    ) -> None:
        """Prepare the endpoint lists; `ranking_cache`: rankings that the front's router holds already."""
        settings = inputs.settings
        self._inputs = inputs
        self._arithmetic = arithmetic
        self._ranking_cache = ranking_cache
        self._tiers = class_tiers(settings.classes)
        by_number = sorted(inputs.endpoints, key=lambda endpoint: endpoint.number)
        self._parents = [e for e in by_number if e.kind == settings.parent_kind]
        self._origins = [e.number for e in by_number if e.kind == settings.origin_kind]
        self._caches_by_zone = dict[int, list[ListedEndpoint]]()
        for endpoint in by_number:
            if endpoint.kind not in (settings.parent_kind, settings.origin_kind):
                self._caches_by_zone.setdefault(endpoint.zone, []).append(endpoint)
        cordoned = {order.target for order in inputs.rule_version.maintenance_tasks if order.is_cordoned}
        self._unavailable = {e.number for e in inputs.endpoints if not e.ready or e.host in cordoned}

    def decide(self, key: DecisionKey) -> RuleDecision:
        """Make the rule decision of one key."""
        settings = self._inputs.settings
        request_class = settings.classes[key.cls]
        home = self._find_home_shard(key, request_class)
        caches, parents = self._rank(key)
        if home is not None:
            caches = [n for n in caches if n in home.caches]
            parents = [n for n in parents if n in home.parents]
        fresh_ns = request_class.fresh
        return RuleDecision(
            tier=self._tiers[key.cls],
            bypasses_caches=request_class.never_kept and settings.direct,
            caches=tuple(n for n in caches if n not in self._unavailable),
            sources=tuple(n for n in [*parents, *self._origins] if n not in self._unavailable),
            max_copy_age=CopyAgeLimits(fresh_ns, fresh_ns + request_class.grace if fresh_ns else 0),
            home_shard="" if home is None else str(home.number),
            is_write_paused=home is not None and home.is_write_paused,
            retries=RetryRules(request_class.effect.value, request_class.group.value, request_class.window),
        )

    def count_hashes(self, key: DecisionKey) -> int:
        """Number of hashes that the decision of a key takes: a measure of its work."""
        return len(self._caches_by_zone.get(key.zone, ())) + len(self._parents) + 1

    def _find_home_shard(self, key: DecisionKey, request_class: io.RequestClass) -> io.HomeShard | None:
        if self._inputs.find_home_shard is None:
            return None
        request = io.RequestReceived(
            0, key.cls, 0.0, 0, key.group, key.object, key.part, False, request_class.deadline
        )
        return self._inputs.find_home_shard(key.tenant, request)

    def _rank(self, key: DecisionKey) -> tuple[Sequence[int], Sequence[int]]:
        """Caches of the key's zone and parents, ranked."""
        hash_of = self._arithmetic.hash
        zone_caches = self._caches_by_zone.get(key.zone, [])
        caches = self._rank_group(key.zone, zone_caches, hash_of(key.object, key.part))
        parents = self._rank_group(PARENT_ZONE, self._parents, hash_of(key.object))
        return caches, parents

    def _rank_group(self, zone: int, group: Sequence[ListedEndpoint], key_hash: int) -> Sequence[int]:
        cached = self._ranking_cache(zone, key_hash) if self._ranking_cache is not None else None
        if cached is not None:
            return cached
        return rank_endpoints(group, key_hash, self._inputs.settings.sizes_compare, self._arithmetic)


def decide(
    inputs: DecisionInputs, key: DecisionKey, arithmetic: Arithmetic = STANDARD_ARITHMETIC
) -> RuleDecision:
    """Make the rule decision of one key, without any ranking cache."""
    return DecisionRules(inputs, arithmetic).decide(key)
