"""The section `tenants` of the operators' file: shards, tenants, and requested migrations.

Some keys of the file differ from the field names; each struct maps its keys to fields in `rename`.
"""

from __future__ import annotations

import re
from itertools import pairwise
from typing import Annotated, Literal

import msgspec

from quincepier.rules import Migration, MigrationStep, Shard
from quincepier.rules.version import MAX_MIGRATIONS, MAX_PLACEMENTS, MAX_SHARDS

MS = 1_000_000  # nanoseconds
SECOND = 1000 * MS
DEFAULT_SHARD_NAME = "common"  # in the file and in reports
DEFAULT_SHARD = ""  # in a rule version
MAX_PREFIXES = 64
MAX_CACHES = 4096
MAX_NAME_CHARS = 64
PREFIX_PATTERN = re.compile(r"[0-9a-f]{1,16}")
Name = Annotated[str, msgspec.Meta(min_length=1, max_length=MAX_NAME_CHARS)]
Checkpoint = Literal["planned", "warming", "verify", "cut_over", "draining", "done"]
STEP_BY_CHECKPOINT: dict[Checkpoint, MigrationStep] = {
    "planned": MigrationStep.PLANNED,
    "warming": MigrationStep.RAMPING_UP,
    "verify": MigrationStep.VERIFYING,
    "cut_over": MigrationStep.CUT_OVER,
    "draining": MigrationStep.DRAINING,
    "done": MigrationStep.COMPLETED,
}


def shard_of_name(name: str) -> str:
    """Return a shard as a rule version names it, from its name in the file."""
    return DEFAULT_SHARD if name == DEFAULT_SHARD_NAME else name


class ShardSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Host ids of a shard's caches and of their parents; if no parents are named, all parents are used."""

    caches: Annotated[tuple[Name, ...], msgspec.Meta(max_length=MAX_CACHES)]
    parents: Annotated[tuple[Name, ...], msgspec.Meta(max_length=MAX_CACHES)] = ()

    def __post_init__(self) -> None:
        if not self.caches:
            raise ValueError("a shard without a cache can't serve requests: name at least one")


class TenantSettings(
    msgspec.Struct,
    frozen=True,
    forbid_unknown_fields=True,
    rename={"item_prefixes": "items", "home_shard": "home"},
):
    """A tenant: the prefixes of its items (hex, as on the wire) and its home shard."""

    item_prefixes: Annotated[tuple[str, ...], msgspec.Meta(max_length=MAX_PREFIXES)]
    home_shard: Name = DEFAULT_SHARD_NAME

    def __post_init__(self) -> None:
        if not self.item_prefixes:
            raise ValueError("a tenant without items has no requests: name at least one prefix")
        for prefix in self.item_prefixes:
            if not PREFIX_PATTERN.fullmatch(prefix):
                raise ValueError(
                    f"{prefix!r:.24} is no prefix of an item: write 1 to 16 of 0-9a-f, in quotes"
                )


class MigrationRequest(
    msgspec.Struct,
    frozen=True,
    forbid_unknown_fields=True,
    rename={"target": "to", "last_checkpoint": "until"},
):
    """A requested migration of a tenant; each id starts at most one migration.

    `last_checkpoint` is the last step that the migration may reach.
    """

    id: Name
    tenant: Name
    target: Name
    last_checkpoint: Checkpoint = "done"
    pause: bool = False
    rollback: bool = False

    @property
    def target_shard(self) -> str:
        """The target as a rule version names it."""
        return shard_of_name(self.target)

    @property
    def last_step(self) -> MigrationStep:
        """The step of `last_checkpoint`."""
        return STEP_BY_CHECKPOINT[self.last_checkpoint]

    def matches(self, migration: Migration) -> bool:
        """Whether the migration has the requested id, tenant and target; otherwise it makes no progress."""
        return (migration.request_id, migration.tenant, migration.target_shard) == (
            self.id,
            self.tenant,
            self.target_shard,
        )


class TenantsSection(
    msgspec.Struct,
    frozen=True,
    forbid_unknown_fields=True,
    rename={
        "shard_by_name": "shards",
        "tenant_by_name": "tenants",
        "migrations": "moves",
        "grace_period_s": "notice_s",
    },
):
    """Shards, tenants and requested migrations.

    `grace_period_s` is the time in seconds for which a front without a lease still accepts unsafe requests of
    a named tenant. A migration stays planned for the same time, so that afterwards no front accepts such
    requests without knowing of the migration.
    """

    shard_by_name: Annotated[dict[Name, ShardSettings], msgspec.Meta(max_length=MAX_SHARDS)] = {}
    tenant_by_name: Annotated[dict[Name, TenantSettings], msgspec.Meta(max_length=MAX_PLACEMENTS)] = {}
    migrations: Annotated[tuple[MigrationRequest, ...], msgspec.Meta(max_length=MAX_MIGRATIONS)] = ()
    grace_period_s: Annotated[float, msgspec.Meta(ge=5, le=86_400)] = 60

    def __post_init__(self) -> None:
        self._check_names()
        self._check_caches()
        self._check_prefixes()
        for name, tenant in self.tenant_by_name.items():
            self._check_shard_exists(f"tenants.{name}.home", tenant.home_shard)
        self._check_migrations()

    def to_shards(self) -> tuple[Shard, ...]:
        """Return the shards in the form of a rule version, sorted by name."""
        return tuple(
            Shard(name, shard.caches, shard.parents) for name, shard in sorted(self.shard_by_name.items())
        )

    def _check_names(self) -> None:
        for names, key in ((self.shard_by_name, "shards"), (self.tenant_by_name, "tenants")):
            if any(not 1 <= len(name) <= MAX_NAME_CHARS for name in names):
                raise ValueError(f"{key}: a name has 1 to 64 characters")
        if DEFAULT_SHARD_NAME in self.shard_by_name:
            raise ValueError(
                f"shards.{DEFAULT_SHARD_NAME}: this name means all caches outside of shards: choose another"
            )

    def _check_caches(self) -> None:
        shard_by_cache = dict[str, str]()
        for name, shard in self.shard_by_name.items():
            for cache in shard.caches:
                if cache in shard_by_cache:
                    other = shard_by_cache[cache]
                    raise ValueError(f"shards.{name}: cache {cache} is in {other} too: name it in one shard")
                shard_by_cache[cache] = name

    def _check_prefixes(self) -> None:
        prefixes = sorted(
            (prefix, name) for name, tenant in self.tenant_by_name.items() for prefix in tenant.item_prefixes
        )
        for (prefix, name), (next_prefix, next_name) in pairwise(prefixes):
            if next_prefix.startswith(prefix):
                raise ValueError(
                    f"tenants.{next_name}: items {next_prefix} are of {name} too, by {prefix}: "
                    "no prefix may begin with another"
                )

    def _check_migrations(self) -> None:
        ids = set[str]()
        for index, migration in enumerate(self.migrations):
            key = f"moves.{index}"
            if migration.id in ids:
                raise ValueError(f"{key}.id: {migration.id} is used twice: give each move its own id")
            ids.add(migration.id)
            if migration.tenant not in self.tenant_by_name:
                raise ValueError(f"{key}.tenant: no tenant {migration.tenant}: name it under tenants.tenants")
            self._check_shard_exists(f"{key}.to", migration.target)

    def _check_shard_exists(self, key: str, name: str) -> None:
        if name != DEFAULT_SHARD_NAME and name not in self.shard_by_name:
            shard_names = ", ".join([DEFAULT_SHARD_NAME, *sorted(self.shard_by_name)])
            raise ValueError(
                f"{key}: no shard {name}: name it under tenants.shards, or use one of {shard_names}"
            )
