"""A rule version: an immutable, numbered whole. Numbers go up by one; a front decides by one at a time.

The digest is xxh3-128 over the msgpack of all else, so two versions of one digest hold the same, and a
flipped bit shows. Machines are named by their host ids, fronts and tenants by their names.
"""

from __future__ import annotations

from enum import IntEnum
from typing import Annotated, Any, Literal, TypeVar

import msgspec
import xxhash

from quincepier.rules.errors import RulesError

Name = Annotated[str, msgspec.Meta(min_length=1, max_length=64)]
ShardName = Annotated[str, msgspec.Meta(max_length=64)]  # name of a shard, "" for the common home
Reason = Annotated[str, msgspec.Meta(max_length=200)]
MAX_MAINTENANCE_TASKS, MAX_MIGRATIONS, MAX_SHARDS, MAX_PLACEMENTS = 4096, 64, 64, 4096
MAX_VERSION_BYTES = 1 << 20  # bytes of an encoded version
HASH_SLOTS = 256  # a tenant's keys are moved in so many parts, by hash


class MaintenanceStep(IntEnum):
    PENDING = 0  # wished, not begun: used as usual
    DRAINING = 1  # nothing new may be sent to it
    DRAINED = 2  # no front may send to it and nothing of any front is open there: work may begin
    IN_MAINTENANCE = 3  # work was seen to have begun (it is off the list, down, or restarted)
    RESTORED = 4  # it is up again and listed
    WARMING = 5  # used again, within its cold budget
    COMPLETED = 6  # done: used as usual
    CANCELLED = 7  # given up before EMPTY, or by the operator; `why` says it; used as usual


class MaintenanceTask(msgspec.Struct, frozen=True, array_like=True):
    """One machine or front that is taken out for work."""

    request_id: Name  # the id of the operators' wish
    target: Name  # host id of a machine, or name of a front
    kind: Literal["cache", "parent", "front"]
    zone: Annotated[str, msgspec.Meta(max_length=64)]
    step: MaintenanceStep
    since_version: int  # number of the version in which it entered this step
    reason: Reason = ""

    @property
    def is_cordoned(self) -> bool:
        """Whether nothing new may be sent to it."""
        return MaintenanceStep.DRAINING <= self.step <= MaintenanceStep.RESTORED

    @property
    def is_unavailable(self) -> bool:
        """Whether it counts as out against what is allowed, warming ones counted."""
        return MaintenanceStep.DRAINING <= self.step <= MaintenanceStep.WARMING

    @property
    def is_active(self) -> bool:
        return self.step <= MaintenanceStep.WARMING


class DisruptionLimit(msgspec.Struct, frozen=True, array_like=True):
    """How many of a kind may be out at once in any one zone, and over all zones."""

    kind: Literal["cache", "parent", "front"]
    max_per_zone: int
    max_total: int


class Shard(msgspec.Struct, frozen=True, array_like=True):
    """A named part of the caches with the parents behind it; no parents named: all of them."""

    name: Name
    caches: tuple[Name, ...]
    parents: tuple[Name, ...] = ()


class TenantPlacement(msgspec.Struct, frozen=True, array_like=True):
    """The home shard of a tenant; tenants without a line have the common one, all caches outside of shards
    or, where no line names any, all caches.
    """

    tenant: Name
    shard: ShardName


class MigrationStep(IntEnum):
    PLANNED = 0
    RAMPING_UP = (
        1  # `part` of the keys go to the new home, growing; what may not be repeated stays at the old
    )
    VERIFYING = 2  # the part stays, both homes are compared
    PAUSING_WRITES = (
        3  # repeats of what may not simply be repeated are refused; firsts still go to the old home
    )
    CUT_OVER = 4  # all keys in steps, and what may not be repeated at once; repeats of that are refused still
    DRAINING = 5  # nothing goes to the old home, repeats to the new; what was open there ends
    COMPLETED = 6
    ROLLING_BACK = 7  # a rollback on its way: all at the old home, repeats refused
    ROLLED_BACK = 8  # rolled back: everything as before the move


class Migration(msgspec.Struct, frozen=True, array_like=True):
    """A tenant on its way from one shard to another."""

    request_id: Name
    tenant: Name
    source_shard: ShardName
    target_shard: ShardName
    step: MigrationStep
    since_version: int  # number of the version in which it entered this step
    moved_slots: Annotated[int, msgspec.Meta(ge=0, le=HASH_SLOTS)] = (
        0  # of the keys that go to the new home, of PARTS
    )
    reason: Reason = ""

    @property
    def is_active(self) -> bool:
        return self.step not in (MigrationStep.COMPLETED, MigrationStep.ROLLED_BACK)


class RuleVersion(msgspec.Struct, frozen=True, array_like=True):
    number: int
    term: int  # of the leader that proposed it
    maintenance_tasks: Annotated[
        tuple[MaintenanceTask, ...], msgspec.Meta(max_length=MAX_MAINTENANCE_TASKS)
    ] = ()
    disruption_limits: Annotated[tuple[DisruptionLimit, ...], msgspec.Meta(max_length=3)] = ()
    shards: Annotated[tuple[Shard, ...], msgspec.Meta(max_length=MAX_SHARDS)] = ()
    placements: Annotated[tuple[TenantPlacement, ...], msgspec.Meta(max_length=MAX_PLACEMENTS)] = ()
    migrations: Annotated[tuple[Migration, ...], msgspec.Meta(max_length=MAX_MIGRATIONS)] = ()

    @property
    def digest(self) -> str:
        """32 hex digits; over number and term too."""
        return xxhash.xxh3_128_hexdigest(_encode(self))

    def task_for(self, target: str) -> MaintenanceTask | None:
        """The last order for that machine or front."""
        return next((o for o in reversed(self.maintenance_tasks) if o.target == target), None)

    def migration_of(self, tenant: str) -> Migration | None:
        """The last move of that tenant."""
        return next((m for m in reversed(self.migrations) if m.tenant == tenant), None)

    def home_shard_of(self, tenant: str) -> str:
        """The shard at which the tenant is at home, "" for the common one; moves are not looked at."""
        return next((h.shard for h in self.placements if h.tenant == tenant), "")

    def find_shard(self, name: str) -> Shard | None:
        return next((s for s in self.shards if s.name == name), None)


class VersionChange(msgspec.Struct, frozen=True):
    """What a part wants changed, as wholes of its own fields; None leaves a field as it is. Whoever decides a
    step gives one, and `apply` makes the next version of all of one turn.
    """

    reason: str  # told in the log
    maintenance_tasks: tuple[MaintenanceTask, ...] | None = None
    disruption_limits: tuple[DisruptionLimit, ...] | None = None
    shards: tuple[Shard, ...] | None = None
    placements: tuple[TenantPlacement, ...] | None = None
    migrations: tuple[Migration, ...] | None = None


_encode = msgspec.msgpack.Encoder().encode
_decode = msgspec.msgpack.Decoder(RuleVersion).decode


def initial_version() -> RuleVersion:
    """What holds before anything was agreed: nothing out, no shards."""
    return RuleVersion(0, 0)


def apply_changes(version: RuleVersion, term: int, changes: tuple[VersionChange, ...]) -> RuleVersion:
    """The next version. `since` of entries that are new or entered another step is set to its number here,
    so whoever proposes need not know it. RulesError where two changes set the same field.
    """
    number, given = version.number + 1, dict[str, object]()
    for change in changes:
        for field in ("maintenance_tasks", "disruption_limits", "shards", "placements", "migrations"):
            value = getattr(change, field)
            if value is None:
                continue
            if field in given:
                raise RulesError(f"two changes of {field} in one turn", change.reason)
            given[field] = value
    if "maintenance_tasks" in given:
        was = {(o.request_id, o.target): o for o in version.maintenance_tasks}
        tasks: Any = given["maintenance_tasks"]
        given["maintenance_tasks"] = tuple(
            _since(t, was.get((t.request_id, t.target)), number) for t in tasks
        )
    if "migrations" in given:
        before = {m.request_id: m for m in version.migrations}
        moves: Any = given["migrations"]
        given["migrations"] = tuple(_since(m, before.get(m.request_id), number) for m in moves)
    return msgspec.structs.replace(version, number=number, term=term, **given)


T = TypeVar("T", MaintenanceTask, Migration)


def _since(entry: T, before: T | None, number: int) -> T:
    kept = before is not None and before.step == entry.step
    return msgspec.structs.replace(
        entry, since_version=before.since_version if kept and before is not None else number
    )


def encode_version(version: RuleVersion) -> bytes:
    """Digest first, so that what was spoilt on its way or on a disk is refused."""
    body = _encode(version)
    return xxhash.xxh3_128_digest(body) + body


def decode_version(raw: bytes) -> RuleVersion:
    if len(raw) > MAX_VERSION_BYTES or xxhash.xxh3_128_digest(raw[16:]) != raw[:16]:
        raise RulesError("a rule version is spoilt or too long")
    try:
        return _decode(raw[16:])
    except (msgspec.DecodeError, ValueError, RecursionError) as error:
        raise RulesError(f"not a rule version: {str(error)[:100]}") from None
