"""Maintenance of machines and fronts: cordon, drain and restore under a disruption budget.

From the rule version, the operators' requests and the leader's observations the package computes the next
change of the maintenance tasks, if any. It sends and stores nothing, reads no clock and controls no machine.
Start reading at `task_progress.py`, then `planner.py`; docs/maintenance.md describes the procedure.
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
