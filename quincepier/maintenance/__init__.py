"""Machines and fronts out for work: which goes next, and when each step of an order may be taken.

It decides from the version, the operators' wishes and what the leader sees, and gives a change of the orders,
or none. It never sends, stores, reads a clock or touches a machine. Read `steps.py` first, and
docs/maintenance.md.
"""

from quincepier.maintenance.candidates import Candidate, ranked_candidates
from quincepier.maintenance.disruption_budget import DisruptionBudget
from quincepier.maintenance.draining import cordoned_hosts, requested_hosts
from quincepier.maintenance.errors import MaintenanceError
from quincepier.maintenance.planner import Plan, advance, plan
from quincepier.maintenance.section import (
    MaintenanceRequest,
    MaintenanceSection,
    UnavailableByKind,
    UnavailableLimits,
)
from quincepier.maintenance.service_level import ServiceLevel, service_level

__all__ = [
    "Candidate",
    "DisruptionBudget",
    "MaintenanceError",
    "MaintenanceRequest",
    "MaintenanceSection",
    "Plan",
    "ServiceLevel",
    "UnavailableByKind",
    "UnavailableLimits",
    "advance",
    "cordoned_hosts",
    "plan",
    "ranked_candidates",
    "requested_hosts",
    "service_level",
]
