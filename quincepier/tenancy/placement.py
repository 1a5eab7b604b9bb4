"""The shard that serves a request: a pure function of rule version, tenant and key."""

from __future__ import annotations

from collections.abc import Callable, Collection, Sequence
from typing import NamedTuple

import xxhash

from quincepier import interface as io
from quincepier.interface import Idempotency
from quincepier.rules import Migration, MigrationStep, RuleVersion
from quincepier.rules.version import HASH_SLOTS
from quincepier.tenancy.errors import TenancyError
from quincepier.tenancy.section import DEFAULT_SHARD
from quincepier.tenancy.tenant_lookup import NO_TENANT, TenantLookup

KEY_MASK = (1 << 64) - 1


class RequestPlacement(NamedTuple):
    """The shard of a request, and whether the request is rejected at the moment."""

    shard: str
    is_rejected: bool


def slot_of_key(key: int) -> int:
    """Return the slot (0 to `HASH_SLOTS` - 1) of a 64-bit object key; it is the same at every front."""
    return xxhash.xxh3_64_intdigest((key & KEY_MASK).to_bytes(8, "little")) % HASH_SLOTS


def place_request(
    migration: Migration, slot: int, is_safe: bool, is_retry: bool, is_cautious: bool
) -> RequestPlacement:
    """Place a request of a tenant under an active migration.

    The first attempt of an unsafe request needs no write pause: it runs at one shard only, and both the
    version before a change of shard and the version after it reject its retries. A retry is rejected because
    the request may have run at the other shard; it is accepted again when no cache could recognize it any
    more.

    Args:
        migration: The tenant's migration in the front's version.
        slot: The slot of the request's key.
        is_safe: Whether requests of this class may be repeated without deduplication.
        is_retry: Whether the client marks the request as sent before.
        is_cautious: Whether the front has no lease, so that its version may be outdated.
    """
    if is_safe:
        return _place_safe(migration, slot, is_cautious)
    match migration.step:
        case MigrationStep.CUT_OVER:
            return RequestPlacement(migration.target_shard, is_cautious or is_retry)
        case MigrationStep.DRAINING:
            return RequestPlacement(migration.target_shard, is_cautious)
        case MigrationStep.PAUSING_WRITES | MigrationStep.ROLLING_BACK:
            return RequestPlacement(migration.source_shard, is_cautious or is_retry)
    return RequestPlacement(migration.source_shard, is_cautious)


def _place_safe(migration: Migration, slot: int, is_cautious: bool) -> RequestPlacement:
    step = migration.step
    is_before_cutover = step <= MigrationStep.PAUSING_WRITES
    stays_at_source = step is MigrationStep.ROLLING_BACK or (is_before_cutover and is_cautious)
    has_moved = step is MigrationStep.DRAINING or (not stays_at_source and slot < migration.moved_slots)
    return RequestPlacement(migration.target_shard if has_moved else migration.source_shard, False)


class PlacementTable:
    """Places requests by one rule version.

    A new table is built for each version and each change of `is_cautious` or `may_lack_migrations`;
    `update_endpoints` must be called after each endpoint update.

    Args:
        version: The rule version.
        is_cautious: Whether this front has no lease.
        number_of: Returns the number of a host id, or None if it is not known.
        tenants: Maps requests to tenants.
        classes: Request classes by number, as in the settings.
        listed: Returns the numbers of the caches and of the parents that are listed and ready.
        may_lack_migrations: Whether a migration may have started that this front does not know of, because it
            has no version or its lease ended longer ago than the grace period.

    Raises:
        TenancyError: A cache is in two shards of the version.
    """

    def __init__(
        self,
        version: RuleVersion,
        is_cautious: bool,
        number_of: Callable[[str], int | None],
        tenants: TenantLookup,
        classes: Sequence[io.RequestClass],
        listed: Callable[[], tuple[Collection[int], Collection[int]]],
        may_lack_migrations: bool = False,
    ) -> None:
        _check_caches_are_disjoint(version)
        self.version = version
        self.is_cautious = is_cautious
        self.may_lack_migrations = may_lack_migrations
        self._number_of = number_of
        self._listed = listed
        self._is_safe_by_class = [c.effect is Idempotency.SAFE for c in classes]
        self._migration_by_tenant = _active_migrations(version, tenants)
        self._shard_by_tenant = [
            version.home_shard_of(name) if number != NO_TENANT else DEFAULT_SHARD
            for number, name in enumerate(tenants.names)
        ]
        self._home_by_placement = dict[RequestPlacement, io.HomeShard]()
        self.update_endpoints()

    def update_endpoints(self) -> None:
        """Apply an endpoint update; must be called before the next request is placed."""
        caches, parents = self._listed()
        listed_caches = frozenset(caches)
        listed_parents = frozenset(parents)
        caches_in_shards = frozenset[int]()
        parents_in_shards = frozenset[int]()
        self._home_by_placement.clear()
        for shard in self.version.shards:
            own_caches = self._numbers(shard.caches)
            own_parents = self._numbers(shard.parents)
            caches_in_shards |= own_caches
            parents_in_shards |= own_parents
            self._add_home(
                shard.name, own_caches & listed_caches, own_parents & listed_parents or listed_parents
            )
        self._add_home(
            DEFAULT_SHARD,
            listed_caches - caches_in_shards,
            listed_parents - parents_in_shards or listed_parents,
        )

    def _add_home(self, shard: str, caches: frozenset[int], parents: frozenset[int]) -> None:
        for is_rejected in (False, True):
            home = io.HomeShard(home_number(shard), caches, parents, is_rejected)
            self._home_by_placement[RequestPlacement(shard, is_rejected)] = home

    def _numbers(self, hosts: Collection[str]) -> frozenset[int]:
        return frozenset(number for number in map(self._number_of, hosts) if number is not None)

    def __call__(self, request: io.RequestReceived) -> io.HomeShard | None:
        """Return the request's home shard, or None if there are no shards, for the ordinary placement."""
        has_unknown_migrations = self.may_lack_migrations and request.tenant
        if not self.version.shards and not self._migration_by_tenant and not has_unknown_migrations:
            return None
        is_safe = self._is_safe_by_class[request.class_index]
        placement = self.decide(request.tenant, request.object, is_safe, request.is_repeat)
        home = self._home_by_placement.get(placement)
        if home is None:
            home = self._home_by_placement[RequestPlacement(DEFAULT_SHARD, True)]
        if home.caches or not placement.shard:
            return home
        # The shard has no ready cache: only safe requests may run at another shard.
        if is_safe:
            return self._home_by_placement[RequestPlacement(DEFAULT_SHARD, False)]
        if placement.is_rejected:
            return home
        return self._home_by_placement[RequestPlacement(placement.shard, True)]

    def decide(self, tenant: int, key: int, is_safe: bool, is_retry: bool) -> RequestPlacement:
        """Return the request's shard and whether it is rejected, regardless of the listed machines."""
        if not 0 <= tenant < len(self._shard_by_tenant):
            tenant = NO_TENANT
        migration = self._migration_by_tenant.get(tenant)
        if migration is None:
            placement = RequestPlacement(self._shard_by_tenant[tenant], False)
        else:
            placement = place_request(migration, slot_of_key(key), is_safe, is_retry, self.is_cautious)
        if self.may_lack_migrations and tenant != NO_TENANT and not is_safe:
            return RequestPlacement(placement.shard, True)
        return placement


def _check_caches_are_disjoint(version: RuleVersion) -> None:
    # In a shared cache, keys of both shards would mix, and the shards' statistics could not be compared.
    caches = [host for shard in version.shards for host in shard.caches]
    if len(caches) > len(set(caches)):
        raise TenancyError("a cache is in two shards", f"rule version {version.number}")


def _active_migrations(version: RuleVersion, tenants: TenantLookup) -> dict[int, Migration]:
    migration_by_tenant = dict[int, Migration]()
    for number, name in enumerate(tenants.names):
        migration = version.migration_of(name) if number != NO_TENANT else None
        if migration is not None and migration.is_active:
            migration_by_tenant[number] = migration
    return migration_by_tenant


def home_number(shard: str) -> int:
    """Return the number in `HomeShard.name`: 0 for the default shard, else a hash of the shard's name."""
    return xxhash.xxh3_64_intdigest(shard.encode()) | 1 if shard else 0
