"""Tenants at home in shards, and their moves from one to another, step by step.

It decides where a request is at home under a version and what the next step of a move is; it never sends,
stores or waits, and never touches a machine. Read `homes.py` first, then `steps.py`; docs/tenants.md.
"""

from quincepier.tenancy.errors import TenancyError
from quincepier.tenancy.migration import advance, held_back
from quincepier.tenancy.placement import PlacementTable, part_of, place
from quincepier.tenancy.section import DEFAULT_SHARD_NAME, TenantsSection
from quincepier.tenancy.tenant_lookup import TenantLookup
from quincepier.tenancy.verification import Finding, Verdict, judge
from quincepier.tenancy.write_pause import MigrationPolicy, write_pause_ns

__all__ = [
    "DEFAULT_SHARD_NAME",
    "Finding",
    "MigrationPolicy",
    "PlacementTable",
    "TenancyError",
    "TenantLookup",
    "TenantsSection",
    "Verdict",
    "advance",
    "held_back",
    "judge",
    "part_of",
    "place",
    "write_pause_ns",
]
