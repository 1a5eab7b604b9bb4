"""The state machine of one migration: the next step by the operators' request and the observations.

Invariants, each with a mutant in the tests that violates it:

1. Unsafe requests go to the other shard only after a version that rejects their retries is active at all
   fronts.
2. Retries of unsafe requests are accepted again only after the write pause has passed since then.
3. If a front or the leader is unreachable, retries are not rejected for longer than `MAX_PAUSING_NS`.
"""

from __future__ import annotations

from dataclasses import dataclass

from msgspec.structs import replace

from quincepier.rules import Migration, MigrationStep, Observations, RuleVersion
from quincepier.rules.version import HASH_SLOTS
from quincepier.tenancy.errors import TransitionError
from quincepier.tenancy.ramp_up import (
    RAMP_UP_SLOTS,
    is_slow_starting,
    is_under_maintenance,
    next_ramp_up_step,
    ready_hosts,
)
from quincepier.tenancy.section import DEFAULT_SHARD_NAME, SECOND, MigrationRequest
from quincepier.tenancy.verification import (
    VerificationVerdict,
    compare_shards,
    compare_with_baseline,
    counts_cover_active_version,
    other_tenants,
    verify_migration,
)
from quincepier.tenancy.write_pause import MigrationPolicy

# A write pause that is not active at all fronts after this time since its commit is withdrawn.
MAX_PAUSING_NS = 10 * SECOND
MIN_VERIFYING_NS = 10 * SECOND  # also the time between two attempts of a write pause
MAX_REASON_CHARS = 200

STEPS_BEFORE_CUTOVER = frozenset(
    {MigrationStep.PLANNED, MigrationStep.RAMPING_UP, MigrationStep.VERIFYING, MigrationStep.PAUSING_WRITES}
)

# A rollback after the cutover goes through CUT_OVER with no moved slots, so that safe requests return first.
TRANSITIONS: dict[MigrationStep, frozenset[MigrationStep]] = {
    MigrationStep.PLANNED: frozenset({MigrationStep.RAMPING_UP, MigrationStep.ROLLED_BACK}),
    MigrationStep.RAMPING_UP: frozenset({MigrationStep.VERIFYING, MigrationStep.ROLLED_BACK}),
    MigrationStep.VERIFYING: frozenset({MigrationStep.PAUSING_WRITES, MigrationStep.ROLLED_BACK}),
    MigrationStep.PAUSING_WRITES: frozenset(
        {MigrationStep.VERIFYING, MigrationStep.CUT_OVER, MigrationStep.ROLLED_BACK}
    ),
    MigrationStep.CUT_OVER: frozenset({MigrationStep.DRAINING, MigrationStep.ROLLING_BACK}),
    MigrationStep.DRAINING: frozenset({MigrationStep.COMPLETED, MigrationStep.CUT_OVER}),
    MigrationStep.ROLLING_BACK: frozenset({MigrationStep.ROLLED_BACK}),
    MigrationStep.COMPLETED: frozenset(),
    MigrationStep.ROLLED_BACK: frozenset(),
}


def enter_step(
    migration: Migration, step: MigrationStep, reason: str = "", moved_slots: int | None = None
) -> Migration:
    """Return the migration at `step`, which is its current step or one that `TRANSITIONS` allows.

    Raises:
        TransitionError: The transition is not allowed.
    """
    if step is not migration.step and step not in TRANSITIONS[migration.step]:
        raise TransitionError(
            f"a migration can't go from {migration.step.name} to {step.name}",
            f"migration {migration.request_id}",
        )
    slots = migration.moved_slots if moved_slots is None else moved_slots
    return replace(migration, step=step, reason=reason[:MAX_REASON_CHARS], moved_slots=slots)


@dataclass(slots=True, frozen=True)
class MigrationContext:
    """The inputs of a migration's next step.

    `request` is None if it was removed from the file or now names another tenant or target; this counts as a
    pause.
    """

    version: RuleVersion
    request: MigrationRequest | None
    policy: MigrationPolicy
    observations: Observations

    @property
    def is_paused(self) -> bool:
        """Whether the migration must stay at its step."""
        return self.request is None or self.request.pause

    @property
    def wants_rollback(self) -> bool:
        """Whether operators request a rollback."""
        return self.request is not None and self.request.rollback

    def may_leave(self, step: MigrationStep) -> bool:
        """Whether the request allows the migration to go beyond `step`."""
        return self.request is not None and not self.request.pause and step < self.request.last_step

    def has_ready_host(self, shard: str) -> bool:
        """Whether a cache of the shard is listed and ready."""
        return bool(ready_hosts(self.observations, self.version, shard))

    def is_slow_starting(self, shard: str) -> bool:
        """Whether a cache of the shard is still in its slow start."""
        return is_slow_starting(self.observations, self.version, shard)

    def is_shard_under_maintenance(self, shard: str) -> bool:
        """Whether a machine of the shard is unavailable for maintenance."""
        return is_under_maintenance(self.version, shard)

    def is_newest_version_active(self) -> bool:
        """Whether every front with a lease has the newest version, and those without one are idle."""
        observed = self.observations
        return observed.active_number >= self.version.number and observed.unleased_fronts_idle

    def are_all_fronts_current(self) -> bool:
        """Whether every member reports, and all decide alike by the newest version.

        A write pause is short if it starts in this state.
        """
        observed = self.observations
        do_all_report = set(observed.members) <= set(observed.report_by_front)
        return do_all_report and observed.is_consistent is not False and self.is_newest_version_active()


def next_migration(migration: Migration, context: MigrationContext) -> Migration:
    """Return the migration after this planning round; it is unchanged if it has to wait."""
    if migration.step in STEPS_BEFORE_CUTOVER:
        if context.wants_rollback:
            return enter_step(migration, MigrationStep.ROLLED_BACK, "rollback requested", 0)
        has_started = migration.step is not MigrationStep.PLANNED
        if has_started and not context.has_ready_host(migration.target_shard):
            return enter_step(migration, MigrationStep.ROLLED_BACK, "the target shard has no ready cache", 0)
    match migration.step:
        case MigrationStep.PLANNED:
            return _start_ramp_up(migration, context)
        case MigrationStep.RAMPING_UP:
            return _ramp_up(migration, context)
        case MigrationStep.VERIFYING:
            return _verify(migration, context)
        case MigrationStep.PAUSING_WRITES:
            return _cut_over(migration, context)
        case MigrationStep.CUT_OVER | MigrationStep.DRAINING:
            return _finish(migration, context)
        case MigrationStep.ROLLING_BACK:
            return _finish_rollback(migration, context)
    return migration


def is_in_force(migration: Migration, observations: Observations) -> bool:
    """Whether no front has, or may still use, a version older than the start of this step."""
    return observations.active_number >= migration.since_version and observations.unleased_fronts_idle


def time_in_force_ns(migration: Migration, observations: Observations) -> int:
    """Return the time in nanoseconds for which the step is known to be in force."""
    if not is_in_force(migration, observations):
        return 0
    return observations.active_ns_by_number.get(migration.since_version, observations.active_for_ns)


def _start_ramp_up(migration: Migration, context: MigrationContext) -> Migration:
    if not context.may_leave(migration.step):
        return migration
    # A front without a lease may not know of the migration, but accepts unsafe requests for no longer than
    # the grace period.
    if time_in_force_ns(migration, context.observations) < context.policy.grace_period_ns:
        return migration
    if not context.are_all_fronts_current() or not _is_target_ready(migration, context):
        return migration
    if _shares_shard_with_another(migration, context.version):
        return migration
    step = next_ramp_up_step(context.observations, migration, RAMP_UP_SLOTS)
    if not step.moved_slots:
        return migration
    return enter_step(migration, MigrationStep.RAMPING_UP, step.reason, step.moved_slots)


def _is_target_ready(migration: Migration, context: MigrationContext) -> bool:
    shard = migration.target_shard
    if not context.has_ready_host(shard):
        return False
    return not context.is_slow_starting(shard) and not context.is_shard_under_maintenance(shard)


def _shares_shard_with_another(migration: Migration, version: RuleVersion) -> bool:
    # Only one migration at a time may use a shard, since only the sum of added origin fetches is observed.
    shards = {migration.source_shard, migration.target_shard}
    return any(
        other is not migration
        and other.is_active
        and other.step > MigrationStep.PLANNED
        and shards & {other.source_shard, other.target_shard}
        for other in version.migrations
    )


def _ramp_up(migration: Migration, context: MigrationContext) -> Migration:
    observations = context.observations
    if counts_cover_active_version(observations):
        result = compare_shards(observations, migration, include_cache_hits=False)
        if result.verdict is VerificationVerdict.FAIL:
            return enter_step(migration, MigrationStep.ROLLED_BACK, result.summary, 0)
        result = compare_with_baseline(observations, other_tenants(observations, migration))
        if result.verdict is VerificationVerdict.FAIL:
            return enter_step(migration, MigrationStep.ROLLED_BACK, f"others: {result.summary}", 0)
    if not _may_move_slots(migration, context):
        return migration
    if migration.moved_slots < RAMP_UP_SLOTS:
        return _move_slots(migration, context, RAMP_UP_SLOTS)
    if context.may_leave(migration.step):
        return enter_step(migration, MigrationStep.VERIFYING)
    return migration


def _may_move_slots(migration: Migration, context: MigrationContext) -> bool:
    if context.is_paused or not context.are_all_fronts_current():
        return False
    shard = migration.target_shard
    return not context.is_slow_starting(shard) and not context.is_shard_under_maintenance(shard)


def _move_slots(migration: Migration, context: MigrationContext, max_slots: int) -> Migration:
    step = next_ramp_up_step(context.observations, migration, max_slots)
    if step.moved_slots == migration.moved_slots:
        return migration
    return enter_step(migration, migration.step, step.reason, step.moved_slots)


def _verify(migration: Migration, context: MigrationContext) -> Migration:
    result = verify_migration(context.observations, migration)
    if result.verdict is VerificationVerdict.FAIL:
        return enter_step(migration, MigrationStep.ROLLED_BACK, result.summary, 0)
    if not context.may_leave(migration.step) or not context.are_all_fronts_current():
        return migration
    if time_in_force_ns(migration, context.observations) < MIN_VERIFYING_NS:
        return migration
    if context.is_shard_under_maintenance(migration.target_shard):
        return migration
    if not context.has_ready_host(migration.source_shard):
        reason = "the source shard has no ready cache to compare with"
        return enter_step(migration, MigrationStep.PAUSING_WRITES, reason)
    if result.verdict is VerificationVerdict.PASS:
        return enter_step(migration, MigrationStep.PAUSING_WRITES, result.summary)
    return migration


def _cut_over(migration: Migration, context: MigrationContext) -> Migration:
    observations = context.observations
    if not context.may_leave(MigrationStep.VERIFYING):
        return enter_step(migration, MigrationStep.VERIFYING, "paused")
    if observations.is_consistent is False:
        return enter_step(migration, MigrationStep.VERIFYING, "fronts decide differently")
    if is_in_force(migration, observations):
        return enter_step(migration, MigrationStep.CUT_OVER)
    if observations.committed_for_ns >= MAX_PAUSING_NS:  # a front or the leader is unreachable
        reason = "not all fronts followed in time: tried again later"
        return enter_step(migration, MigrationStep.VERIFYING, reason)
    return migration


def _finish(migration: Migration, context: MigrationContext) -> Migration:
    """Advance from CUT_OVER or DRAINING; a migration with no moved slots is being rolled back."""
    if migration.moved_slots == 0:
        if context.is_newest_version_active():
            return enter_step(migration, MigrationStep.ROLLING_BACK, migration.reason)
        return migration
    if reason := _rollback_reason(migration, context):
        return enter_step(migration, MigrationStep.CUT_OVER, reason, 0)
    if migration.step is MigrationStep.CUT_OVER and migration.moved_slots < HASH_SLOTS:
        return (
            _move_slots(migration, context, HASH_SLOTS) if _may_move_slots(migration, context) else migration
        )
    if not context.may_leave(migration.step) or not is_in_force(migration, context.observations):
        return migration
    if migration.step is MigrationStep.CUT_OVER:
        if time_in_force_ns(migration, context.observations) < context.policy.write_pause_ns:
            return migration
        return enter_step(migration, MigrationStep.DRAINING)
    if _has_open_requests_at_source(migration, context.observations):
        return migration
    return enter_step(migration, MigrationStep.COMPLETED)


def _rollback_reason(migration: Migration, context: MigrationContext) -> str:
    if context.wants_rollback:
        return "rollback requested"
    if not context.has_ready_host(migration.target_shard) and context.has_ready_host(migration.source_shard):
        return "the target shard has no ready cache"
    observations = context.observations
    if not counts_cover_active_version(observations):
        return ""
    tenants = sorted({*observations.baseline_on_time_ratio_by_tenant, ""})
    result = compare_with_baseline(observations, tenants)
    return result.summary if result.verdict is VerificationVerdict.FAIL else ""


def _has_open_requests_at_source(migration: Migration, observations: Observations) -> bool:
    source = (migration.tenant, migration.source_shard or DEFAULT_SHARD_NAME)
    return any(
        (tenant, shard) == source and count
        for report in observations.report_by_front.values()
        for tenant, shard, count in report.open_unsafe_requests
    )


def _finish_rollback(migration: Migration, context: MigrationContext) -> Migration:
    # A rollback continues even if its request was removed; only an explicit pause stops it.
    is_paused = context.request is not None and context.request.pause
    if is_paused or time_in_force_ns(migration, context.observations) < context.policy.write_pause_ns:
        return migration
    return enter_step(migration, MigrationStep.ROLLED_BACK, migration.reason)
