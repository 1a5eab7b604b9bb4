"""Rule versions, by which all fronts decide, and leases, which bound how long a front may use a version.

A rule version holds machines under maintenance, shards, placements of tenants and their migrations. The
package defines a version and its changes, who may decide by it and until when, and what fronts report to the
leader, which proposes the next version. It does no planning (`maintenance` and `tenancy` do) and no I/O. Read
`version.py` first, then `lease_holder.py`; see docs/agreement.md.
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
