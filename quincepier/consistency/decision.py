"""Rule decisions: the decision for a key that depends only on rule version, settings and endpoint list.

Fronts with equal inputs make equal rule decisions. Placement is the policy's weighted rendezvous hash without
its latency weights, since each front observes latencies of its own.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Sequence
from dataclasses import dataclass

import msgspec

from quincepier import interface as io
from quincepier.consistency.arithmetic import STANDARD_ARITHMETIC, Arithmetic
from quincepier.rules import RuleVersion

# Maps a tenant's name and one of its requests to the home shard of the request.
HomeShardLookup = Callable[[str, io.RequestReceived], io.HomeShard | None]
# Maps a zone and a key hash to endpoint numbers, best first; None if they are not cached.
RankingCache = Callable[[int, int], Sequence[int] | None]
PARENT_ZONE = -1  # zone number by which a ranking cache is asked for the parents of all zones
MAX_TIER = 2


class ListedEndpoint(msgspec.Struct, frozen=True, array_like=True):
    """The fields of an endpoint list entry on which rule decisions depend."""

    host: str
    number: int  # a hash of the host id
    kind: int
    zone: int
    cell: int
    size: float  # concurrent transfers that it can send at client speed; 0 if the list has no size
    ready: bool


@dataclass(slots=True, frozen=True)
class DecisionInputs:
    """All inputs of one front's rule decisions at one moment.

    Attributes:
        rule_version: The front's rule version.
        settings: The front's settings; its own zone is not used.
        endpoints: The endpoint list.
        list_revision: Sequence number in the change log of the last change to the list.
        build: Version of the software.
        find_home_shard: Returns the home shard of a tenant's request. The result must depend only on
            `rule_version` and `endpoints`, include the caches of all zones, and ignore cautious mode.
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
    """Highest age at which a copy may be served, in nanoseconds; 0 if the class has no limit."""

    fresh_ns: int
    stale_ns: int  # the freshness lifetime plus the grace period


class RetryRules(msgspec.Struct, frozen=True, array_like=True):
    """Whether and how a request of the class may be repeated."""

    idempotency: str
    deduplication_scope: str  # group of caches among which repeated requests are suppressed
    deduplication_window_ns: int


class RuleDecision(msgspec.Struct, frozen=True, array_like=True):
    """The rules' decision for a key. Endpoints are given by number in order of preference."""

    tier: int
    bypasses_caches: bool  # requests of the class are never cached and go directly to the origin
    caches: tuple[int, ...]
    sources: tuple[int, ...]  # parents, then origins
    max_copy_age: CopyAgeLimits
    home_shard: str
    is_write_paused: bool  # unsafe requests are rejected
    retries: RetryRules


def class_tiers(classes: Sequence[io.RequestClass]) -> list[int]:
    """Return each class's tier, 0 (highest) to 2, by its priority weight among the cacheable classes."""
    weights = sorted({c.worth for c in classes if not c.never_kept}, reverse=True)
    steps = max(len(weights) - 1, 1)
    tier_by_weight = {weight: math.ceil(MAX_TIER * rank / steps) for rank, weight in enumerate(weights)}
    return [tier_by_weight.get(c.worth, 0) for c in classes]


def rank_endpoints(
    endpoints: Sequence[ListedEndpoint],
    key_hash: int,
    by_size: bool,
    arithmetic: Arithmetic = STANDARD_ARITHMETIC,
) -> list[int]:
    """Return endpoint numbers ordered by rendezvous hash, weighted by size if `by_size` and all are known."""
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
        """Prepare the endpoint lists; `ranking_cache` gives rankings that the front's router has cached."""
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
        cordoned = {task.target for task in inputs.rule_version.maintenance_tasks if task.is_cordoned}
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
        """Return the number of hashes that the decision of a key needs, as a measure of its cost."""
        return len(self._caches_by_zone.get(key.zone, ())) + len(self._parents) + 1

    def _find_home_shard(self, key: DecisionKey, request_class: io.RequestClass) -> io.HomeShard | None:
        if self._inputs.find_home_shard is None:
            return None
        request = io.RequestReceived(
            0, key.cls, 0.0, 0, key.group, key.object, key.part, False, request_class.deadline
        )
        return self._inputs.find_home_shard(key.tenant, request)

    def _rank(self, key: DecisionKey) -> tuple[Sequence[int], Sequence[int]]:
        """Return the ranked caches of the key's zone and the ranked parents."""
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
    """Make the rule decision of one key without a ranking cache."""
    return DecisionRules(inputs, arithmetic).decide(key)
