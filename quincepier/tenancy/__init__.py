"""Tenants at home in shards, and their moves from one to another, step by step.

It decides where a request is at home under a version and what the next step of a move is; it never sends,
stores or waits, and never touches a machine. Read `homes.py` first, then `steps.py`; docs/tenants.md.
"""

from quincepier.tenancy.errors import TenancyError
from quincepier.tenancy.gap import Wishes, hold
from quincepier.tenancy.homes import Homes, part_of, place
from quincepier.tenancy.known import Tenants
from quincepier.tenancy.section import COMMON, TenantsSection
from quincepier.tenancy.steps import advance, held_back
from quincepier.tenancy.verify import Finding, Verdict, judge

__all__ = [
    "COMMON",
    "Finding",
    "Homes",
    "TenancyError",
    "Tenants",
    "TenantsSection",
    "Verdict",
    "Wishes",
    "advance",
    "held_back",
    "hold",
    "judge",
    "part_of",
    "place",
]
