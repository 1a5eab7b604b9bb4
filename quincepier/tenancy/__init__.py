"""Placement of tenants at shards, and stepwise migration of a tenant from one shard to another.

The package decides which shard serves a request under a rule version, and which step of a migration is next.
It sends and stores nothing, never waits and controls no machine. Start reading at `placement.py`, then
`migration.py`; docs/tenants.md describes the procedure.
"""

from quincepier.tenancy.errors import TenancyError
from quincepier.tenancy.placement import PlacementTable, RequestPlacement, place_request, slot_of_key
from quincepier.tenancy.planner import advance, hosts_under_migration
from quincepier.tenancy.section import DEFAULT_SHARD_NAME, TenantsSection
from quincepier.tenancy.tenant_lookup import TenantLookup
from quincepier.tenancy.verification import VerificationResult, VerificationVerdict, verify_migration
from quincepier.tenancy.write_pause import MigrationPolicy, write_pause_ns

__all__ = [
    "DEFAULT_SHARD_NAME",
    "MigrationPolicy",
    "PlacementTable",
    "RequestPlacement",
    "TenancyError",
    "TenantLookup",
    "TenantsSection",
    "VerificationResult",
    "VerificationVerdict",
    "advance",
    "hosts_under_migration",
    "place_request",
    "slot_of_key",
    "verify_migration",
    "write_pause_ns",
]
