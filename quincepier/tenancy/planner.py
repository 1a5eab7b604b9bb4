"""Planning of shards, placements and migrations for the next rule version."""

from __future__ import annotations

from quincepier.rules import (
    Migration,
    MigrationStep,
    Observations,
    RuleVersion,
    Shard,
    TenantPlacement,
    VersionChange,
)
from quincepier.rules.version import HASH_SLOTS, MAX_MIGRATIONS
from quincepier.tenancy.migration import MigrationContext, next_migration
from quincepier.tenancy.section import DEFAULT_SHARD_NAME, MigrationRequest, shard_of_name
from quincepier.tenancy.write_pause import MigrationPolicy

MAX_RETAINED_MIGRATIONS = 32  # finished migrations whose requests were removed from the file


def advance(
    version: RuleVersion, policy: MigrationPolicy, observations: Observations
) -> VersionChange | None:
    """Return the next change of shards, placements and migrations, or None.

    The leader calls this in each planning round with the policy of its own operators' file.
    """
    planner = _Planner(version, policy, observations)
    planner.advance_migrations()
    planner.start_migrations()
    planner.update_shards()
    planner.place_new_tenants()
    return planner.to_change()


def hosts_under_migration(version: RuleVersion) -> frozenset[str]:
    """Return the host ids of machines for which no maintenance task may start.

    These are the machines of the shards of started migrations. Machines of the default shard are left out:
    they are too many to be reserved for one migration.
    """
    shard_names = {
        name
        for migration in version.migrations
        if migration.is_active and migration.step > MigrationStep.PLANNED
        for name in (migration.source_shard, migration.target_shard)
    }
    return frozenset(
        host
        for shard in version.shards
        if shard.name in shard_names
        for host in (*shard.caches, *shard.parents)
    )


class _Planner:
    """One planning round with the parts of the next version planned so far."""

    def __init__(self, version: RuleVersion, policy: MigrationPolicy, observations: Observations) -> None:
        self.version = version
        self.policy = policy
        self.observations = observations
        self.section = policy.section
        self.migrations = list[Migration]()
        self.placements = list(version.placements)
        self.shards = version.shards
        self.reasons = list[str]()

    def advance_migrations(self) -> None:
        """Advance each active migration by at most one step."""
        request_by_id = {request.id: request for request in self.section.migrations}
        forgotten_ids = self._forgotten_ids(request_by_id)
        for migration in self.version.migrations:
            if migration.is_active:
                self._advance(migration, request_by_id.get(migration.request_id))
            elif migration.request_id not in forgotten_ids:
                self.migrations.append(migration)

    def _forgotten_ids(self, request_by_id: dict[str, MigrationRequest]) -> list[str]:
        # Some finished migrations are kept after their requests are removed: the file of another leader may
        # still have such a request, and the migration must not start again.
        finished_ids = [
            migration.request_id
            for migration in self.version.migrations
            if not migration.is_active and migration.request_id not in request_by_id
        ]
        return finished_ids[:-MAX_RETAINED_MIGRATIONS]

    def _advance(self, migration: Migration, request: MigrationRequest | None) -> None:
        if request is not None and not request.matches(migration):
            request = None
        context = MigrationContext(self.version, request, self.policy, self.observations)
        following = next_migration(migration, context)
        self.migrations.append(following)
        if following != migration:
            self.reasons.append(f"{migration.request_id}: {migration.tenant} {_summary(following)}")
        if following.step is MigrationStep.COMPLETED:
            others = [p for p in self.placements if p.tenant != migration.tenant]
            self.placements = [*others, TenantPlacement(migration.tenant, migration.target_shard)]

    def start_migrations(self) -> None:
        """Plan each requested migration that may start."""
        for request in self.section.migrations:
            source = next((p.shard for p in self.placements if p.tenant == request.tenant), None)
            if source is None or not self._may_start(request, source):
                continue
            migration = Migration(
                request.id, request.tenant, source, request.target_shard, MigrationStep.PLANNED, 0
            )
            self.migrations.append(migration)
            source_name = source or DEFAULT_SHARD_NAME
            self.reasons.append(
                f"{request.id}: {request.tenant} planned from {source_name} to {request.target}"
            )

    def _may_start(self, request: MigrationRequest, source: str) -> bool:
        is_duplicate = any(
            m.request_id == request.id or (m.is_active and m.tenant == request.tenant)
            for m in self.migrations
        )
        if is_duplicate or request.rollback or source == request.target_shard:
            return False
        if len(self.migrations) >= MAX_MIGRATIONS:
            return False
        # A shard that this change adds is known in the next planning round.
        return not request.target_shard or self.version.find_shard(request.target_shard) is not None

    def update_shards(self) -> None:
        """Adopt the file's shards; during a migration only add shards, so that no used shard changes."""
        shards = self.section.to_shards()
        names = {shard.name for shard in shards}
        used_names = self._used_shard_names()
        shards += tuple(
            shard for shard in self.version.shards if shard.name in used_names and shard.name not in names
        )
        migrations = (*self.migrations, *self.version.migrations)
        must_keep_shards = _share_a_cache(shards) or any(migration.is_active for migration in migrations)
        if must_keep_shards and self.version.shards:
            shards = _add_disjoint_shards(self.version.shards, shards)
        self.shards = shards
        if shards != self.version.shards:
            self.reasons.append("shards as in the file")

    def _used_shard_names(self) -> set[str]:
        used_names = {placement.shard for placement in self.placements}
        for migration in self.migrations:
            if migration.is_active:
                used_names |= {migration.source_shard, migration.target_shard}
        return used_names

    def place_new_tenants(self) -> None:
        """Place each tenant that is missing from the version at its home shard in the file."""
        for name, tenant in sorted(self.section.tenant_by_name.items()):
            if any(placement.tenant == name for placement in self.placements):
                continue
            self.placements.append(TenantPlacement(name, shard_of_name(tenant.home_shard)))
            self.reasons.append(f"{name} placed at {tenant.home_shard}")

    def to_change(self) -> VersionChange | None:
        """Return the planned change, or None if nothing changes."""
        placements = tuple(self.placements)
        migrations = tuple(self.migrations)
        version = self.version
        planned = (self.shards, placements, migrations)
        if planned == (version.shards, version.placements, version.migrations):
            return None
        return VersionChange(
            "; ".join(self.reasons) or "migrations that are requested no more are dropped",
            shards=None if self.shards == version.shards else self.shards,
            placements=None if placements == version.placements else placements,
            migrations=None if migrations == version.migrations else migrations,
        )


def _share_a_cache(shards: tuple[Shard, ...]) -> bool:
    """Whether two shards have a cache in common, such as after a home shard was renamed in the file."""
    caches = [host for shard in shards for host in shard.caches]
    return len(caches) > len(set(caches))


def _add_disjoint_shards(current: tuple[Shard, ...], wanted: tuple[Shard, ...]) -> tuple[Shard, ...]:
    """Return the current shards and the new shards that share no cache with them, sorted by name."""
    names = {shard.name for shard in current}
    caches = {host for shard in current for host in shard.caches}
    added = (shard for shard in wanted if shard.name not in names and not caches & set(shard.caches))
    return tuple(sorted((*current, *added), key=lambda shard: shard.name))


def _summary(migration: Migration) -> str:
    summary = migration.step.name.lower()
    if migration.step in (MigrationStep.RAMPING_UP, MigrationStep.CUT_OVER):
        summary += f" {migration.moved_slots}/{HASH_SLOTS}"
    return f"{summary} ({migration.reason})" if migration.reason else summary
