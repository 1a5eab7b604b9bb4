"""Machines and fronts out for work: which goes next, and when each step of an order may be taken.

It decides from the version, the operators' wishes and what the leader sees, and gives a change of the orders,
or none. It never sends, stores, reads a clock or touches a machine. Read `steps.py` first, and
docs/maintenance.md.
"""

from quincepier.maintenance.choice import Choice, ranked
from quincepier.maintenance.errors import MaintenanceError
from quincepier.maintenance.leaving import leaving, named
from quincepier.maintenance.room import Room
from quincepier.maintenance.section import Allowed, MaintenanceSection, Most, Wish
from quincepier.maintenance.service import Standing, standing
from quincepier.maintenance.steps import Plan, advance, plan

__all__ = [
    "Allowed",
    "Choice",
    "MaintenanceError",
    "MaintenanceSection",
    "Most",
    "Plan",
    "Room",
    "Standing",
    "Wish",
    "advance",
    "leaving",
    "named",
    "plan",
    "ranked",
    "standing",
]
