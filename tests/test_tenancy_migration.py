"""Migrations of tenants: their steps, rollback, verification and ramp-up."""

from __future__ import annotations

import random
from typing import Any

import pytest

from quincepier.rules import (
    MaintenanceStep,
    MaintenanceTask,
    MigrationStep,
    RuleVersion,
    ServiceStatistics,
    TenantPlacement,
)
from quincepier.tenancy import (
    DEFAULT_SHARD_NAME,
    MigrationPolicy,
    VerificationVerdict,
    advance,
    hosts_under_migration,
    migration,
    ramp_up,
    verify_migration,
    write_pause_ns,
)
from quincepier.tenancy.errors import TransitionError
from tests.tenancycases import (
    ALL_REQUESTS,
    ALL_SLOTS,
    BALANCED,
    BALANCED_SLOTS,
    CLASSES,
    FILE,
    KEYED,
    NORTH,
    POLICY,
    SECOND,
    cache,
    migration_at,
    observe,
    planned,
    planned_step,
    policy_with,
    read_section,
    statistics,
    version,
)


def test_a_shard_renamed_while_it_is_a_home_shard_puts_no_cache_into_two() -> None:
    """The old shard stays while it is a home shard, so the renamed one is not added yet."""
    placements = (TenantPlacement("acme", "north"),)
    before = RuleVersion(1, 1, shards=NORTH, placements=placements)
    text = "tenants: {shards: {polar: {caches: [s-2, s-3]}}, tenants: {acme: {items: ['00']}}}"
    policy = MigrationPolicy.from_section(read_section(text), (KEYED,))
    change = advance(before, policy, observe())
    shards = before.shards if change is None or change.shards is None else change.shards
    caches = [host for shard in shards for host in shard.caches]
    assert len(caches) == len(set(caches)) and shards[0] == before.shards[0]


@pytest.mark.parametrize(
    ("step", "moved_slots", "request_keys", "following"),
    [
        (MigrationStep.PLANNED, 0, {"until": "planned"}, MigrationStep.PLANNED),
        (MigrationStep.PLANNED, 0, {}, MigrationStep.RAMPING_UP),
        (MigrationStep.RAMPING_UP, 128, {"until": "warming"}, MigrationStep.RAMPING_UP),
        (MigrationStep.RAMPING_UP, 128, {}, MigrationStep.VERIFYING),
        (MigrationStep.VERIFYING, 128, {"pause": True}, MigrationStep.VERIFYING),
        (MigrationStep.VERIFYING, 128, {}, MigrationStep.PAUSING_WRITES),
        (MigrationStep.PAUSING_WRITES, 128, {"pause": True}, MigrationStep.VERIFYING),
        (MigrationStep.PAUSING_WRITES, 128, {}, MigrationStep.CUT_OVER),
    ],
)
def test_a_migration_goes_through_its_steps_and_stops_where_the_request_says(
    step: MigrationStep, moved_slots: int, request_keys: dict[str, Any], following: MigrationStep
) -> None:
    policy = policy_with(**request_keys)
    assert planned_step(step, moved_slots, policy, observe(*BALANCED)) is following


def test_draining_starts_after_the_write_pause_and_ends_in_a_new_placement() -> None:
    assert POLICY.write_pause_ns == write_pause_ns(CLASSES) == 39 * SECOND
    early, in_time = observe(active_for_ns=38 * SECOND), observe(active_for_ns=39 * SECOND)
    assert planned_step(MigrationStep.CUT_OVER, ALL_SLOTS, POLICY, early) is MigrationStep.CUT_OVER
    assert planned_step(MigrationStep.CUT_OVER, ALL_SLOTS, POLICY, in_time) is MigrationStep.DRAINING
    change = advance(version(MigrationStep.DRAINING, ALL_SLOTS), POLICY, observe())
    assert change is not None and change.placements == (TenantPlacement("acme", "north"),)
    assert planned_step(MigrationStep.DRAINING, ALL_SLOTS, POLICY, observe()) is MigrationStep.COMPLETED
    completed = version(MigrationStep.COMPLETED, ALL_SLOTS)
    assert advance(completed, policy_with(rollback=True), observe()) is None


def test_a_request_that_is_gone_or_changed_stops_its_migration_and_one_waits_for_another() -> None:
    for text in (FILE.replace("id: m", "id: other"), FILE.replace("to: north}", "to: common}")):
        policy = MigrationPolicy.from_section(read_section(text), (KEYED,))
        change = advance(version(MigrationStep.VERIFYING, BALANCED_SLOTS), policy, observe())
        assert change is None, "the migration stays at its step, and no second one of the tenant starts"


def test_rollback_from_each_step_up_to_completion() -> None:
    rollback = policy_with(rollback=True)
    outdated = observe(unleased_fronts_idle=False, active_number=1)
    for step in sorted(migration.STEPS_BEFORE_CUTOVER):
        assert planned_step(step, 64, rollback, outdated) is MigrationStep.ROLLED_BACK
    for step in (MigrationStep.CUT_OVER, MigrationStep.DRAINING):
        first = planned(version(step, ALL_SLOTS), rollback, outdated)
        assert (first.step, first.moved_slots) == (MigrationStep.CUT_OVER, 0), "safe requests return at once"
    not_active = observe(active_number=8)
    assert planned_step(MigrationStep.CUT_OVER, 0, rollback, not_active) is MigrationStep.CUT_OVER
    assert planned_step(MigrationStep.CUT_OVER, 0, rollback, observe()) is MigrationStep.ROLLING_BACK
    early = observe(active_for_ns=POLICY.write_pause_ns - 1)
    assert planned_step(MigrationStep.ROLLING_BACK, 0, rollback, early) is MigrationStep.ROLLING_BACK
    assert planned_step(MigrationStep.ROLLING_BACK, 0, rollback, observe()) is MigrationStep.ROLLED_BACK


def test_the_steps_before_the_cutover_are_those_that_a_rollback_leaves_at_once() -> None:
    assert {
        MigrationStep.PLANNED,
        MigrationStep.RAMPING_UP,
        MigrationStep.VERIFYING,
        MigrationStep.PAUSING_WRITES,
    } == migration.STEPS_BEFORE_CUTOVER


def test_a_step_that_may_not_follow_is_refused() -> None:
    with pytest.raises(TransitionError, match="from PLANNED to CUT_OVER"):
        migration.enter_step(migration_at(MigrationStep.PLANNED), MigrationStep.CUT_OVER)


def test_every_step_has_its_transitions() -> None:
    assert set(migration.TRANSITIONS) == set(MigrationStep)
    for step, following in migration.TRANSITIONS.items():
        assert bool(following) == migration_at(step).is_active


def test_nobody_waits_for_a_front_or_leader_that_is_away_during_the_write_pause() -> None:
    away = observe(unleased_fronts_idle=False, active_number=4, committed_for_ns=migration.MAX_PAUSING_NS)
    pausing, verifying = MigrationStep.PAUSING_WRITES, MigrationStep.VERIFYING
    assert planned_step(pausing, BALANCED_SLOTS, POLICY, away) is MigrationStep.VERIFYING
    without_report = observe(*BALANCED, members=("a", "b", "c"))
    assert planned_step(verifying, BALANCED_SLOTS, POLICY, without_report) is MigrationStep.VERIFYING


@pytest.mark.parametrize(
    ("source", "target", "verdict"),
    [
        (
            statistics("acme", DEFAULT_SHARD_NAME, 5000),
            statistics("acme", "north", 5000),
            VerificationVerdict.PASS,
        ),
        (
            statistics("acme", DEFAULT_SHARD_NAME, 150),
            statistics("acme", "north", 5000),
            VerificationVerdict.INCONCLUSIVE,
        ),
        (
            statistics("acme", DEFAULT_SHARD_NAME, 250),
            statistics("acme", "north", 250),
            VerificationVerdict.INCONCLUSIVE,
        ),
        (
            statistics("acme", DEFAULT_SHARD_NAME, 5000),
            statistics("acme", "north", 5000, late_ratio=0.2),
            VerificationVerdict.FAIL,
        ),
        (
            statistics("acme", DEFAULT_SHARD_NAME, 5000),
            statistics("acme", "north", 5000, hit_ratio=0.6),
            VerificationVerdict.FAIL,
        ),
    ],
)
def test_both_shards_are_compared_and_a_failure_rolls_back_by_itself(
    source: ServiceStatistics, target: ServiceStatistics, verdict: VerificationVerdict
) -> None:
    observations = observe(source, target, ALL_REQUESTS)
    verifying = version(MigrationStep.VERIFYING, BALANCED_SLOTS)
    assert verify_migration(observations, verifying.migrations[0]).verdict is verdict
    step = {
        VerificationVerdict.PASS: MigrationStep.PAUSING_WRITES,
        VerificationVerdict.INCONCLUSIVE: MigrationStep.VERIFYING,
        VerificationVerdict.FAIL: MigrationStep.ROLLED_BACK,
    }[verdict]
    following = planned(verifying, POLICY, observations)
    assert following.step is step
    assert verdict is not VerificationVerdict.FAIL or "fails" in following.reason
    other = statistics("other", "", 5000, late_ratio=0.2)
    harmed = observe(source, target, other, ALL_REQUESTS, baseline_on_time_ratio_by_tenant={"other": 0.99})
    assert planned(verifying, POLICY, harmed).step is MigrationStep.ROLLED_BACK
    inconsistent = observe(source, target, ALL_REQUESTS, is_consistent=False)
    assert planned(verifying, POLICY, inconsistent).step is MigrationStep.VERIFYING


def test_equal_shards_pass_and_do_not_fail_by_chance() -> None:
    rng = random.Random(7)
    count_by_verdict = dict.fromkeys(VerificationVerdict, 0)
    for _ in range(40):
        late = [sum(rng.random() < 0.01 for _ in range(5000)) / 5000 for _ in range(2)]
        observations = observe(
            statistics("acme", DEFAULT_SHARD_NAME, 5000, late[0]), statistics("acme", "north", 5000, late[1])
        )
        result = verify_migration(observations, migration_at(MigrationStep.VERIFYING, BALANCED_SLOTS))
        count_by_verdict[result.verdict] += 1
    assert count_by_verdict[VerificationVerdict.FAIL] == 0
    assert count_by_verdict[VerificationVerdict.PASS] > 20


@pytest.mark.parametrize(
    ("target_hit_ratio", "all_responses", "moved_slots"),
    [(0.9, 10_000, 36), (0.9, 90_000, 64), (0.1, 10_000, 32)],
)
def test_keys_move_only_as_fast_as_origin_fetches_allow(
    target_hit_ratio: float, all_responses: int, moved_slots: int
) -> None:
    observations = observe(
        statistics("acme", DEFAULT_SHARD_NAME, 9000),
        statistics("acme", "north", 1000, hit_ratio=target_hit_ratio),
        statistics("", "", all_responses),
    )
    ramping_up = migration_at(MigrationStep.RAMPING_UP, 32)
    assert ramp_up.next_ramp_up_step(observations, ramping_up, 128).moved_slots == moved_slots


def test_no_keys_move_while_a_machine_of_the_target_is_cold() -> None:
    observations = observe(
        statistics("acme", DEFAULT_SHARD_NAME, 9000),
        statistics("acme", "north", 1000),
        statistics("", "", 10_000),
    )
    observations.machine_by_host["s-1"] = cache("s-1", uptime_ms=10)
    assert planned(version(MigrationStep.RAMPING_UP, 32), POLICY, observations).moved_slots == 32


def test_a_migration_waits_for_maintenance_of_its_target_and_keeps_it_from_starting() -> None:
    tasks = (MaintenanceTask("w", "s-1", "cache", "a", MaintenanceStep.DRAINING, 3),)
    points = ((MigrationStep.PLANNED, 0), (MigrationStep.RAMPING_UP, 32), (MigrationStep.VERIFYING, 128))
    for step, moved_slots in points:
        under_maintenance = version(step, moved_slots, tasks)
        assert planned(under_maintenance, POLICY, observe(*BALANCED)).step is step
    assert hosts_under_migration(version(MigrationStep.PLANNED)) == frozenset()
    assert hosts_under_migration(version(MigrationStep.RAMPING_UP)) == {"s-1", "s-2"}


def test_a_target_shard_that_loses_its_last_machine_causes_a_rollback() -> None:
    observations = observe(*BALANCED)
    for host in ("s-1", "s-2"):
        observations.machine_by_host[host] = cache(host, is_ready=False, uptime_ms=10)
    before_cutover = planned_step(MigrationStep.RAMPING_UP, 32, POLICY, observations)
    assert before_cutover is MigrationStep.ROLLED_BACK
    after_cutover = planned(version(MigrationStep.DRAINING, ALL_SLOTS), POLICY, observations)
    assert (after_cutover.step, after_cutover.moved_slots) == (MigrationStep.CUT_OVER, 0)
