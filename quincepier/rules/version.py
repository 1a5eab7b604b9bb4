"""Rule versions: immutable, consecutively numbered values. A front decides by one version at a time.

The digest is xxh3-128 over the msgpack of all fields, so versions with equal digests have equal content and a
flipped bit is detected. Machines are named by their host ids, fronts and tenants by their names.
"""

from __future__ import annotations

from collections.abc import Callable
from enum import IntEnum
from typing import Annotated, Any, Literal, TypeVar

import msgspec
import xxhash

from quincepier.rules.errors import RulesError

MAX_NAME_LENGTH = 64
MAX_REASON_LENGTH = 200
MAX_MAINTENANCE_TASKS = 4096
MAX_MIGRATIONS = 64
MAX_SHARDS = 64
MAX_PLACEMENTS = 4096
MAX_VERSION_BYTES = 1 << 20  # encoded
MAX_ERROR_LENGTH = 100
DIGEST_BYTES = 16
HASH_SLOTS = 256  # slots into which a tenant's keys are divided by hash

Name = Annotated[str, msgspec.Meta(min_length=1, max_length=MAX_NAME_LENGTH)]
ShardName = Annotated[str, msgspec.Meta(max_length=MAX_NAME_LENGTH)]  # "" for the default shard
Reason = Annotated[str, msgspec.Meta(max_length=MAX_REASON_LENGTH)]


class MaintenanceStep(IntEnum):
    """Steps of a maintenance task, in their order."""

    PENDING = 0  # requested, not started; in normal use
    DRAINING = 1  # no new attempt may be sent to it
    DRAINED = 2  # no front may send to it and no front has anything open there: work may start
    IN_MAINTENANCE = 3  # work was observed to have started: it is unlisted, down, or restarted
    RESTORED = 4  # it is up again and listed
    WARMING = 5  # in use again, limited by slow start
    COMPLETED = 6  # in normal use
    CANCELLED = 7  # cancelled before DRAINED, or by the operator; in normal use


class MaintenanceTask(msgspec.Struct, frozen=True, array_like=True):
    """The maintenance of one machine or front, which is taken out of service for it.

    Attributes:
        request_id: Id of the operators' request.
        target: Host id of a machine, or name of a front.
        kind: Kind of the target.
        zone: Zone of the target.
        step: Current step of the task.
        since_version: Number of the version in which the task entered that step.
        reason: Why it entered that step.
    """

    request_id: Name
    target: Name
    kind: Literal["cache", "parent", "front"]
    zone: Annotated[str, msgspec.Meta(max_length=MAX_NAME_LENGTH)]
    step: MaintenanceStep
    since_version: int
    reason: Reason = ""

    @property
    def is_cordoned(self) -> bool:
        """Whether no new attempt may be sent to the target."""
        return MaintenanceStep.DRAINING <= self.step <= MaintenanceStep.RESTORED

    @property
    def is_unavailable(self) -> bool:
        """Whether the target counts towards the disruption limits, as it also does while it warms up."""
        return MaintenanceStep.DRAINING <= self.step <= MaintenanceStep.WARMING

    @property
    def is_active(self) -> bool:
        """Whether the task is neither completed nor cancelled."""
        return self.step <= MaintenanceStep.WARMING


class DisruptionLimit(msgspec.Struct, frozen=True, array_like=True):
    """How many machines of a kind may be unavailable at once, per zone and in total."""

    kind: Literal["cache", "parent", "front"]
    max_per_zone: int
    max_total: int


class Shard(msgspec.Struct, frozen=True, array_like=True):
    """A named subset of the caches with its parents; without parents listed it uses all of them."""

    name: Name
    caches: tuple[Name, ...]
    parents: tuple[Name, ...] = ()


class TenantPlacement(msgspec.Struct, frozen=True, array_like=True):
    """The home shard of a tenant.

    A tenant without a placement has the default shard as its home: all caches outside of the named shards,
    or all caches if no placement names a shard.
    """

    tenant: Name
    shard: ShardName


class MigrationStep(IntEnum):
    """Steps of a migration.

    A rollback before CUT_OVER leads directly to ROLLED_BACK, a later one through CUT_OVER and ROLLING_BACK.
    """

    PLANNED = 0
    RAMPING_UP = 1  # a growing share of the slots goes to the target shard; unsafe requests do not
    VERIFYING = 2  # the share of the slots stays constant and both shards are compared
    PAUSING_WRITES = 3  # retries of unsafe requests are rejected; first attempts go to the source shard
    CUT_OVER = 4  # all slots follow in steps, unsafe requests at once; their retries are still rejected
    DRAINING = 5  # requests and retries go to the target shard; those open at the source shard finish
    COMPLETED = 6
    ROLLING_BACK = 7  # all requests go to the source shard; retries of unsafe requests are rejected
    ROLLED_BACK = 8  # as before the migration


class Migration(msgspec.Struct, frozen=True, array_like=True):
    """The migration of a tenant from one shard to another.

    Attributes:
        request_id: Id of the operators' request.
        tenant: Name of the tenant.
        source_shard: Its home shard before the migration.
        target_shard: Its home shard after the migration.
        step: Current step of the migration.
        since_version: Number of the version in which the migration entered that step.
        moved_slots: How many of the `HASH_SLOTS` slots have their keys at the target shard.
        reason: Why it entered that step.
    """

    request_id: Name
    tenant: Name
    source_shard: ShardName
    target_shard: ShardName
    step: MigrationStep
    since_version: int
    moved_slots: Annotated[int, msgspec.Meta(ge=0, le=HASH_SLOTS)] = 0
    reason: Reason = ""

    @property
    def is_active(self) -> bool:
        """Whether the migration is neither completed nor rolled back."""
        return self.step not in (MigrationStep.COMPLETED, MigrationStep.ROLLED_BACK)


class RuleVersion(msgspec.Struct, frozen=True, array_like=True):
    """The agreed state by which all fronts decide.

    Attributes:
        number: Consecutive number; 0 for the initial version, before any was committed.
        term: Term of the leader that proposed it.
        maintenance_tasks: Maintenance tasks of machines and fronts, including finished ones.
        disruption_limits: How many machines or fronts may be unavailable at once, by kind.
        shards: Named shards.
        placements: Home shards of tenants.
        migrations: Migrations of tenants, including finished ones.
    """

    number: int
    term: int
    maintenance_tasks: Annotated[
        tuple[MaintenanceTask, ...], msgspec.Meta(max_length=MAX_MAINTENANCE_TASKS)
    ] = ()
    disruption_limits: Annotated[tuple[DisruptionLimit, ...], msgspec.Meta(max_length=3)] = ()
    shards: Annotated[tuple[Shard, ...], msgspec.Meta(max_length=MAX_SHARDS)] = ()
    placements: Annotated[tuple[TenantPlacement, ...], msgspec.Meta(max_length=MAX_PLACEMENTS)] = ()
    migrations: Annotated[tuple[Migration, ...], msgspec.Meta(max_length=MAX_MIGRATIONS)] = ()

    @property
    def digest(self) -> str:
        """Digest of all fields, including the number and the term, as 32 hex digits."""
        return xxhash.xxh3_128_hexdigest(_encode(self))

    def task_for(self, target: str) -> MaintenanceTask | None:
        """Return the last task for a machine or front."""
        return next((task for task in reversed(self.maintenance_tasks) if task.target == target), None)

    def migration_of(self, tenant: str) -> Migration | None:
        """Return the last migration of a tenant."""
        return next(
            (migration for migration in reversed(self.migrations) if migration.tenant == tenant), None
        )

    def home_shard_of(self, tenant: str) -> str:
        """Return the home shard of a tenant, "" for the default shard; migrations are not considered."""
        return next((placement.shard for placement in self.placements if placement.tenant == tenant), "")

    def find_shard(self, name: str) -> Shard | None:
        """Return the shard of that name."""
        return next((shard for shard in self.shards if shard.name == name), None)


class VersionChange(msgspec.Struct, frozen=True):
    """A planner's change to a version: complete new values of fields; None leaves a field unchanged."""

    reason: str  # for log messages
    maintenance_tasks: tuple[MaintenanceTask, ...] | None = None
    disruption_limits: tuple[DisruptionLimit, ...] | None = None
    shards: tuple[Shard, ...] | None = None
    placements: tuple[TenantPlacement, ...] | None = None
    migrations: tuple[Migration, ...] | None = None


CHANGEABLE_FIELDS = ("maintenance_tasks", "disruption_limits", "shards", "placements", "migrations")

_encode = msgspec.msgpack.Encoder().encode
_decode = msgspec.msgpack.Decoder(RuleVersion).decode


def initial_version() -> RuleVersion:
    """Return the version used before any was committed: nothing unavailable, no shards."""
    return RuleVersion(0, 0)


def apply_changes(version: RuleVersion, term: int, changes: tuple[VersionChange, ...]) -> RuleVersion:
    """Return the next version.

    Args:
        version: The newest version.
        term: Term of the leader that proposes the next version.
        changes: Changes of all planners. `since_version` of tasks and migrations that are new or have entered
            another step is set to the next number here, so planners need not set it.

    Raises:
        RulesError: Two changes set the same field.
    """
    number = version.number + 1
    values = _merge_changes(changes)
    if "maintenance_tasks" in values:
        values["maintenance_tasks"] = _stamp_steps(
            values["maintenance_tasks"],
            version.maintenance_tasks,
            number,
            lambda task: (task.request_id, task.target),
        )
    if "migrations" in values:
        values["migrations"] = _stamp_steps(
            values["migrations"], version.migrations, number, lambda migration: migration.request_id
        )
    return msgspec.structs.replace(version, number=number, term=term, **values)


def _merge_changes(changes: tuple[VersionChange, ...]) -> dict[str, Any]:
    values = dict[str, Any]()
    for change in changes:
        for field in CHANGEABLE_FIELDS:
            value = getattr(change, field)
            if value is None:
                continue
            if field in values:
                raise RulesError(f"two changes to {field} in one version", change.reason)
            values[field] = value
    return values


Entry = TypeVar("Entry", MaintenanceTask, Migration)


def _stamp_steps(
    entries: tuple[Entry, ...],
    previous_entries: tuple[Entry, ...],
    number: int,
    key_of: Callable[[Entry], object],
) -> tuple[Entry, ...]:
    """Set `since_version`: unchanged where the step is unchanged, else the new version's number."""
    entry_by_key = {key_of(entry): entry for entry in previous_entries}
    stamped = []
    for entry in entries:
        previous = entry_by_key.get(key_of(entry))
        is_same_step = previous is not None and previous.step == entry.step
        since_version = previous.since_version if previous is not None and is_same_step else number
        stamped.append(msgspec.structs.replace(entry, since_version=since_version))
    return tuple(stamped)


def encode_version(version: RuleVersion) -> bytes:
    """Encode a version after its digest, so that one damaged in transit or on disk is rejected."""
    body = _encode(version)
    return xxhash.xxh3_128_digest(body) + body


def decode_version(raw: bytes) -> RuleVersion:
    """Decode a version.

    Raises:
        RulesError: The bytes are damaged, too long, or not a rule version.
    """
    if len(raw) > MAX_VERSION_BYTES or xxhash.xxh3_128_digest(raw[DIGEST_BYTES:]) != raw[:DIGEST_BYTES]:
        raise RulesError("rule version damaged or too long")
    try:
        return _decode(raw[DIGEST_BYTES:])
    except (msgspec.DecodeError, ValueError, RecursionError) as error:
        raise RulesError(f"invalid rule version: {str(error)[:MAX_ERROR_LENGTH]}") from None
