"""Sections, versions and observations for tenancy tests: one tenant that migrates to shard north."""

from __future__ import annotations

from typing import Any

from quincepier import clock
from quincepier import interface as io
from quincepier.operator import read
from quincepier.rules import (
    FrontReport,
    MachineObservation,
    MaintenanceTask,
    Migration,
    MigrationStep,
    Observations,
    RuleVersion,
    ServiceStatistics,
    Shard,
    TenantPlacement,
)
from quincepier.tenancy import (
    DEFAULT_SHARD_NAME,
    MigrationPolicy,
    TenantsSection,
    advance,
)

SECOND = clock.SECOND
SAFE = io.RequestClass(
    io.Idempotency.SAFE, io.DeduplicationScope.ALL, 0, SECOND, 0.0, SECOND, 1.0, False, 0, 0, False
)
KEYED = io.RequestClass(
    io.Idempotency.KEYED, io.DeduplicationScope.ZONE, 30 * SECOND, 1, 0.0, 4 * SECOND, 1.0, False, 0, 0, True
)
CLASSES = (SAFE, KEYED)
SAFE_CLASS, KEYED_CLASS = 0, 1
FILE = """tenants:
  shards:
    north: {caches: [s-1, s-2]}
  tenants:
    acme: {items: ["00", "0a1"]}
  moves:
    - {id: m, tenant: acme, to: north}
"""


def read_section(text: str) -> TenantsSection:
    section = read(text, "f").get(TenantsSection)
    assert section is not None
    return section


SECTION = read_section(FILE)
POLICY = MigrationPolicy.from_section(SECTION, CLASSES)
NORTH = (Shard("north", ("s-1", "s-2")),)
NUMBER_BY_HOST = {"s-1": 1, "s-2": 2, "s-8": 8, "s-9": 9}
NORTH_CACHES, DEFAULT_CACHES = {1, 2}, {8, 9}
BALANCED_SLOTS, ALL_SLOTS = 128, 256


def migration_at(step: MigrationStep, moved_slots: int = 0) -> Migration:
    return Migration("m", "acme", "", "north", step, 5, moved_slots)


def version(
    step: MigrationStep, moved_slots: int = 0, tasks: tuple[MaintenanceTask, ...] = ()
) -> RuleVersion:
    placements = (TenantPlacement("acme", ""),)
    return RuleVersion(9, 1, tasks, (), NORTH, placements, (migration_at(step, moved_slots),))


def statistics(
    tenant: str, shard: str, responses: int, late_ratio: float = 0.01, hit_ratio: float = 0.9
) -> ServiceStatistics:
    return ServiceStatistics(
        tenant,
        shard,
        responses,
        requested_weight=responses,
        on_time_weight=responses * (1 - late_ratio),
        rejected=0,
        hits=int(responses * hit_ratio),
        origin_fetches=int(responses * (1 - hit_ratio)),
    )


ALL_REQUESTS = statistics("", "", 40_000)
BALANCED = (
    statistics("acme", DEFAULT_SHARD_NAME, 5000),
    statistics("acme", "north", 5000),
    ALL_REQUESTS,
)


def observe(*statistics_of_a: ServiceStatistics, **changes: Any) -> Observations:
    """Return observations of fronts a and b, where a reports the statistics, with changed fields."""
    reports = {
        name: FrontReport(
            name, 1, 9, "", False, 1000, service_statistics=statistics_of_a if name == "a" else ()
        )
        for name in "ab"
    }
    values: dict[str, Any] = dict(
        now_ns=0,
        members=("a", "b"),
        report_by_front=reports,
        unleased_fronts_idle=True,
        active_number=9,
        active_for_ns=60 * SECOND,
        machine_by_host={host: cache(host) for host in NUMBER_BY_HOST},
        voters=("a",),
        leader="a",
        is_consistent=True,
    )
    return Observations(**values | changes)


def cache(host: str, is_ready: bool = True, uptime_ms: int = 10**6) -> MachineObservation:
    return MachineObservation(host, "cache", "a", is_ready, uptime_ms, 1000)


def policy_with(**request: Any) -> MigrationPolicy:
    """Return the policy of a file whose migration request has additional keys."""
    keys = "".join(f", {key}: {str(value).lower()}" for key, value in request.items())
    section = read_section(FILE.replace("to: north}", f"to: north{keys}}}"))
    return MigrationPolicy.from_section(section, CLASSES)


def planned(version: RuleVersion, policy: MigrationPolicy, observations: Observations) -> Migration:
    """Return the version's migration after a planning round."""
    change = advance(version, policy, observations)
    return version.migrations[0] if change is None or change.migrations is None else change.migrations[0]


def planned_step(
    step: MigrationStep, moved_slots: int, policy: MigrationPolicy, observations: Observations
) -> MigrationStep:
    return planned(version(step, moved_slots), policy, observations).step
