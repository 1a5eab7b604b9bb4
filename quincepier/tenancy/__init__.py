"""Tenants placed at shards, and their migrations from one shard to another, step by step.

It decides which shard serves a request under a rule version, and what the next step of a migration is. It
never sends, stores or waits, and never touches a machine. Start with `placement.py`, then `migration.py`;
docs/tenants.md.
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
