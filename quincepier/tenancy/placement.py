"""Where a request is at home under one rule version: a pure function of version, tenant and key."""

from __future__ import annotations

from collections.abc import Callable, Collection, Sequence

import xxhash

from quincepier import interface as io
from quincepier.interface import Idempotency
from quincepier.rules import Migration, MigrationStep, RuleVersion
from quincepier.rules.version import HASH_SLOTS
from quincepier.tenancy.errors import TenancyError
from quincepier.tenancy.tenant_lookup import TenantLookup


def part_of(key: int) -> int:
    """The part of a tenant's keys, of PARTS, that an object (64 bits) is in: the same at every front."""
    return xxhash.xxh3_64_intdigest((key & (1 << 64) - 1).to_bytes(8, "little")) % HASH_SLOTS


def place(move: Migration, part: int, once: bool, repeat: bool, cautious: bool) -> tuple[str, bool]:
    """Home, and whether it is refused, of a request of a tenant under an open move. `once`: its class may not
    simply be repeated; `repeat`: its client says that it asked before.
    """
    step = move.step
    if not once:
        early = (step <= MigrationStep.PAUSING_WRITES and cautious) or step is MigrationStep.ROLLING_BACK
        over = step is MigrationStep.DRAINING or (not early and part < move.moved_slots)
        return (move.target_shard if over else move.source_shard), False
    # A first runs where the version says, and needs no gap: each of two neighbouring versions refuses its
    # repeats. A repeat may have run at the other home, so it waits until a cache could not tell it either.
    if step is MigrationStep.CUT_OVER:
        return move.target_shard, cautious or repeat
    if step is MigrationStep.DRAINING:
        return move.target_shard, cautious
    if step is MigrationStep.ROLLING_BACK:
        return move.source_shard, cautious or repeat
    return move.source_shard, cautious or (step is MigrationStep.PAUSING_WRITES and repeat)


class PlacementTable:
    """What the Router asks, for one version: made anew for each version and each change of `cautious` or
    `unsure`, told of each new list by `renew`.

    `number_of`: a host id's number, None for one that is not known. `listed`: numbers of the caches and of
    the parents that are listed and ready. `unsure`: no version is known, or the lease ended over the notice
    ago, so a move may have begun that this front does not know. Classes by number, as in the settings.
    TenancyError where a version can't be used.
    """

    def __init__(
        self,
        version: RuleVersion,
        cautious: bool,
        number_of: Callable[[str], int | None],
        tenants: TenantLookup,
        classes: Sequence[io.RequestClass],
        listed: Callable[[], tuple[Collection[int], Collection[int]]],
        unsure: bool = False,
    ) -> None:
        self.version, self.cautious, self.unsure = version, cautious, unsure
        self._number_of, self._tenants, self._listed = number_of, tenants, listed
        self._once = [c.effect is not Idempotency.SAFE for c in classes]
        caches = [host for shard in version.shards for host in shard.caches]
        if len(caches) > len(set(caches)):  # keys of two homes would meet there, and neither be compared
            raise TenancyError("a cache is in two shards", f"rule version {version.number}")
        moves = {n: version.migration_of(name) for n, name in enumerate(tenants.names) if n}
        self._moves = {n: m for n, m in moves.items() if m is not None and m.is_active}
        self._shards = [version.home_shard_of(name) if n else "" for n, name in enumerate(tenants.names)]
        self.renew()

    def renew(self) -> None:
        """To be called after each new list, before the next request."""
        (caches, parents), version = self._listed(), self.version
        homes = {s.name: (self._numbers(s.caches), self._numbers(s.parents)) for s in version.shards}
        own = frozenset[int]().union(*(c for c, _ in homes.values()))
        behind = frozenset[int]().union(*(p for _, p in homes.values()))
        every = frozenset(parents)
        homes[""] = frozenset(caches) - own, every - behind or every
        self._homes = dict[tuple[str, bool], io.HomeShard]()
        for name, (mine, sources) in homes.items():
            ready = mine & frozenset(caches)
            for closed in (False, True):
                self._homes[name, closed] = io.HomeShard(
                    number_of_home(name), ready, sources & every or every, closed
                )

    def _numbers(self, hosts: Collection[str]) -> frozenset[int]:
        return frozenset(n for n in map(self._number_of, hosts) if n is not None)

    def __call__(self, e: io.RequestReceived) -> io.HomeShard | None:
        """None is the ordinary placement: there are no shards."""
        if not self.version.shards and not self._moves and not (self.unsure and e.tenant):
            return None
        shard, closed = self.decide(e.tenant, e.object, self._once[e.cls], e.repeat)
        home = self._homes.get((shard, closed)) or self._homes["", True]
        if not home.caches and shard and not self._once[e.cls]:
            return self._homes["", False]  # a home that lost its last cache: what is harmless is served
        if not home.caches and shard and not closed:
            return self._homes[shard, True]
        return home

    def decide(self, tenant: int, key: int, once: bool, repeat: bool) -> tuple[str, bool]:
        """The home's shard and whether the request is refused for now; looks at no list."""
        tenant = tenant if 0 <= tenant < len(self._shards) else 0
        move = self._moves.get(tenant)
        if move is not None:
            shard, closed = place(move, part_of(key), once, repeat, self.cautious)
        else:
            shard, closed = self._shards[tenant], False
        return shard, closed or (once and self.unsure and tenant > 0)


def number_of_home(shard: str) -> int:
    """`Home.name`: 0 for the common one, for others a number that follows from the name."""
    return xxhash.xxh3_64_intdigest(shard.encode()) | 1 if shard else 0
