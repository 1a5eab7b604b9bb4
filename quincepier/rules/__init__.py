"""The rule version that all fronts decide by, and the leases that say who decides by which one.

A version holds machines under maintenance, shards, placements of tenants and their migrations. The package
says what a version is and how it changes, who may decide by it and until when, and what fronts report to the
leader, which proposes the next. It plans nothing (`maintenance` and `tenancy` do), and neither sends nor
stores anything. Read `version.py` first, then `lease_holder.py`; docs/agreement.md.
"""

from quincepier.rules.errors import RulesError
from quincepier.rules.lease_holder import LeaseHolder
from quincepier.rules.lease_messages import (
    LeaseGrant,
    LeaseRequest,
    decode_lease_grant,
    decode_lease_request,
    encode_message,
)
from quincepier.rules.lease_table import LeaseTable
from quincepier.rules.lease_timings import LeaseTimings
from quincepier.rules.reports import (
    FleetView,
    FrontReport,
    HostCount,
    MachineObservation,
    Observations,
    ServiceStatistics,
    TenantAge,
    TenantCount,
)
from quincepier.rules.version import (
    DisruptionLimit,
    MaintenanceStep,
    MaintenanceTask,
    Migration,
    MigrationStep,
    RuleVersion,
    Shard,
    TenantPlacement,
    VersionChange,
    apply_changes,
    decode_version,
    encode_version,
    initial_version,
)

__all__ = [
    "DisruptionLimit",
    "FleetView",
    "FrontReport",
    "HostCount",
    "LeaseGrant",
    "LeaseHolder",
    "LeaseRequest",
    "LeaseTable",
    "LeaseTimings",
    "MachineObservation",
    "MaintenanceStep",
    "MaintenanceTask",
    "Migration",
    "MigrationStep",
    "Observations",
    "RuleVersion",
    "RulesError",
    "ServiceStatistics",
    "Shard",
    "TenantAge",
    "TenantCount",
    "TenantPlacement",
    "VersionChange",
    "apply_changes",
    "decode_lease_grant",
    "decode_lease_request",
    "decode_version",
    "encode_message",
    "encode_version",
    "initial_version",
]
