"""The rule version that all fronts decide by: machines out for work, shards, homes of tenants, moves.

It says what a version is, how it is told apart and changed, and what fronts report to whoever proposes the
next. It never decides a step (maintenance, tenancy do), never sends or stores anything. Read `version.py`
first; docs/agreement.md.
"""

from quincepier.rules.errors import RulesError
from quincepier.rules.lease_holder import (
    LeaseGrant,
    LeaseHolder,
    LeaseRequest,
    LeaseTimings,
    decode_lease_grant,
    decode_lease_request,
    encode_message,
)
from quincepier.rules.lease_table import LeaseTable
from quincepier.rules.reports import FrontReport, MachineObservation, Observations, ServiceStatistics
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
    "FrontReport",
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
