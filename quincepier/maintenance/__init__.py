"""Maintenance of machines and fronts: cordon, drain and restore under a disruption budget.

It decides from the version, the operators' requests and what the leader observes, and returns a change of
the maintenance tasks, or none. It never sends, stores, reads a clock or touches a machine. Start with
`task_progress.py`, then `planner.py`; docs/maintenance.md.
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
