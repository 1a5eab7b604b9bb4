"""The pace at which a tenant's keys move to the target shard: it bounds the additional origin fetches."""

from __future__ import annotations

from dataclasses import dataclass

from quincepier.rules import Migration, Observations, RuleVersion
from quincepier.rules.version import HASH_SLOTS
from quincepier.tenancy.verification import counts_cover_active_version, sum_statistics

STEP_SIZES = (32, 16, 8, 4, 2, 1)  # slots moved at once: the largest size that origin fetches allow
NO_TRAFFIC_STEP = 0  # index in STEP_SIZES
FEW_RESPONSES_STEP = 3  # index in STEP_SIZES
RAMP_UP_SLOTS = HASH_SLOTS // 2  # the comparison has the greatest power with half of the keys at each shard
# Additional origin fetches of the first step, as a share of all baseline fetches. All fetches must stay below
# 1.3 times the baseline.
MAX_ADDED_FETCH_RATIO = 0.2
# The next step waits while the last one adds more than this share of all baseline fetches.
MAX_REMAINING_FETCH_RATIO = 0.1
MIN_SOURCE_RESPONSES = 50  # needed to estimate the source's origin fetches per response
MIN_MISS_RATIO = 0.01
STEP_DIVISOR = 8  # a later step may always add an eighth of the slots that have moved


@dataclass(slots=True, frozen=True)
class RampUpStep:
    """The number of slots to be placed at the target, and the reason why it is not higher."""

    moved_slots: int
    reason: str


def ready_hosts(observations: Observations, version: RuleVersion, shard_name: str) -> list[str]:
    """Return the listed and ready caches of a shard; the default shard has all caches of no other shard."""
    shard = version.find_shard(shard_name)
    hosts_in_shards = {host for s in version.shards for host in s.caches}
    ready_caches = (
        host
        for host, machine in observations.machine_by_host.items()
        if machine.kind == "cache" and machine.is_ready
    )
    if shard is not None:
        return [host for host in ready_caches if host in shard.caches]
    if shard_name:
        return []
    return [host for host in ready_caches if host not in hosts_in_shards]


def is_slow_starting(observations: Observations, version: RuleVersion, shard_name: str) -> bool:
    """Whether a ready cache of the shard is still in its slow start."""
    machines = (observations.machine_by_host[host] for host in ready_hosts(observations, version, shard_name))
    return any(machine.uptime_ms < machine.warm_up_ms for machine in machines)


def is_under_maintenance(version: RuleVersion, shard_name: str) -> bool:
    """Whether a maintenance task has made a machine of the shard unavailable."""
    shard = version.find_shard(shard_name)
    hosts_in_shards = {host for s in version.shards for host in (*s.caches, *s.parents)}
    unavailable_hosts = {
        task.target for task in version.maintenance_tasks if task.is_unavailable and task.kind != "front"
    }
    if shard is not None:
        return bool(unavailable_hosts & {*shard.caches, *shard.parents})
    return bool(unavailable_hosts - hosts_in_shards)


def next_ramp_up_step(observations: Observations, migration: Migration, max_slots: int) -> RampUpStep:
    """Return the number of slots to be placed at the target next, at most `max_slots`.

    No slots move while the last step still causes too many origin fetches above the baseline.
    """
    moved = migration.moved_slots
    if not counts_cover_active_version(observations):
        return RampUpStep(moved, "not all counts are of the active version yet")
    target = sum_statistics(observations, migration.tenant, migration.target_shard)
    source = sum_statistics(observations, migration.tenant, migration.source_shard)
    responses = target.responses + source.responses
    if not responses:
        return RampUpStep(min(moved + STEP_SIZES[NO_TRAFFIC_STEP], max_slots), "the tenant has no requests")
    if source.responses < MIN_SOURCE_RESPONSES and moved < HASH_SLOTS:
        return RampUpStep(
            min(moved + STEP_SIZES[FEW_RESPONSES_STEP], max_slots),
            "too few responses to estimate origin fetches: small steps",
        )
    source_rate = source.origin_fetches / source.responses if source.responses else 0.0
    added_fetches = max(target.origin_fetches - target.responses * source_rate, 0.0)
    baseline_fetches = max(sum_statistics(observations, "").origin_fetches - added_fetches, 1.0)
    if moved and added_fetches > MAX_REMAINING_FETCH_RATIO * baseline_fetches:
        reason = f"{added_fetches:.0f} origin fetches above a baseline of {baseline_fetches:.0f}"
        return RampUpStep(moved, reason)
    # The estimate assumes that every request of moved keys misses. Later steps may always add a fixed
    # fraction of the slots that have moved, since the fetches of those slots were sustained.
    fetches_if_all_moved = responses * max(1 - source_rate, MIN_MISS_RATIO)
    allowed_slots = max(
        MAX_ADDED_FETCH_RATIO * baseline_fetches * HASH_SLOTS / fetches_if_all_moved, moved / STEP_DIVISOR
    )
    step_size = next((size for size in STEP_SIZES if size <= allowed_slots), STEP_SIZES[-1])
    return RampUpStep(min(moved + step_size, max_slots), f"origin fetches allow {allowed_slots:.1f} slots")
