"""The section `tenants` of the operators' file: shards, how tenants are known, and wishes to move them."""

from __future__ import annotations

import re
from itertools import pairwise
from typing import Annotated, Literal

import msgspec

from quincepier.rules import Migration, MigrationStep, Shard
from quincepier.rules.version import HOMES_MOST, MOVES_MOST, SHARDS_MOST

Name = Annotated[str, msgspec.Meta(min_length=1, max_length=64)]
MS = 1_000_000  # nanoseconds
SECOND = 1000 * MS
COMMON = "common"  # the word for the home of all who have no other; "" in a version
ITEMS_MOST, CACHES_MOST = 64, 4096
ITEM = re.compile(r"[0-9a-f]{1,16}")
Checkpoint = Literal["planned", "warming", "verify", "cut_over", "draining", "done"]


class ShardSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Host ids of its caches and of the parents behind them; no parents named: all of them."""

    caches: Annotated[tuple[Name, ...], msgspec.Meta(max_length=CACHES_MOST)]
    parents: Annotated[tuple[Name, ...], msgspec.Meta(max_length=CACHES_MOST)] = ()

    def __post_init__(self) -> None:
        if not self.caches:
            raise ValueError("a shard without a cache serves nobody: name at least one")


class TenantSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A tenant's requests are those whose item begins with one of `items` (hex, as on the wire)."""

    items: Annotated[tuple[str, ...], msgspec.Meta(max_length=ITEMS_MOST)]
    home: Name = COMMON

    def __post_init__(self) -> None:
        if not self.items:
            raise ValueError("a tenant without items has no requests: name at least one prefix")
        for item in self.items:
            if not ITEM.fullmatch(item):
                raise ValueError(f"{item!r:.24} is no prefix of an item: write 1 to 16 of 0-9a-f, in quotes")


class MigrationRequest(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A wish. `until` is the last checkpoint it may reach; a wish begins once, under its id."""

    id: Name
    tenant: Name
    to: Name
    until: Checkpoint = "done"
    pause: bool = False
    rollback: bool = False

    @property
    def shard(self) -> str:
        return "" if self.to == COMMON else self.to

    @property
    def limit(self) -> MigrationStep:
        return MigrationStep[self.until.upper()]

    def of(self, move: Migration) -> bool:
        """Whether the move is what this wish says; an id with two texts goes no further."""
        return (move.wish, move.tenant, move.new) == (self.id, self.tenant, self.shard)


class TenantsSection(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Shards, tenants and moves by name. `notice_s`: so long may a front that has no lease take what may not
    be repeated of a named tenant, and so long does a move stay planned, so that it surely knows.
    """

    shards: Annotated[dict[Name, ShardSettings], msgspec.Meta(max_length=SHARDS_MOST)] = {}
    tenants: Annotated[dict[Name, TenantSettings], msgspec.Meta(max_length=HOMES_MOST)] = {}
    moves: Annotated[tuple[MigrationRequest, ...], msgspec.Meta(max_length=MOVES_MOST)] = ()
    notice_s: Annotated[float, msgspec.Meta(ge=5, le=86_400)] = 60

    def __post_init__(self) -> None:
        for names, what in ((self.shards, "shards"), (self.tenants, "tenants")):
            if any(not 1 <= len(name) <= 64 for name in names):
                raise ValueError(f"{what}: a name has 1 to 64 characters")
        if COMMON in self.shards:
            raise ValueError(f"shards.{COMMON}: that is all caches outside of shards: take another name")
        seen = dict[str, str]()
        for name, shard in self.shards.items():
            for cache in shard.caches:
                if cache in seen:
                    raise ValueError(f"shards.{name}: cache {cache} is of {seen[cache]} too: leave it in one")
                seen[cache] = name
        whose = sorted((item, name) for name, tenant in self.tenants.items() for item in tenant.items)
        for (item, name), (longer, other) in pairwise(whose):
            if longer.startswith(item):
                raise ValueError(
                    f"tenants.{other}: items {longer} are of {name} too, by {item}: no prefix within another"
                )
        for name, tenant in self.tenants.items():
            self._home(f"tenants.{name}.home", tenant.home)
        ids = set[str]()
        for at, move in enumerate(self.moves):
            if move.id in ids:
                raise ValueError(f"moves.{at}.id: {move.id} stands there twice: a new wish has a new id")
            ids.add(move.id)
            if move.tenant not in self.tenants:
                raise ValueError(f"moves.{at}.tenant: no tenant {move.tenant}: name it under tenants.tenants")
            self._home(f"moves.{at}.to", move.to)

    def _home(self, key: str, name: str) -> None:
        if name != COMMON and name not in self.shards:
            known = ", ".join([COMMON, *sorted(self.shards)])
            raise ValueError(f"{key}: no shard {name}: name it under tenants.shards, or take one of {known}")

    @property
    def as_shards(self) -> tuple[Shard, ...]:
        return tuple(Shard(name, line.caches, line.parents) for name, line in sorted(self.shards.items()))
