"""Errors of the maintenance section."""

from __future__ import annotations

from quincepier.errors import QuincepierError


class MaintenanceError(QuincepierError, ValueError):
    """A maintenance request or limit can't be used.

    It is a ValueError too, so that the reader of the operators' file reports it with line and key.
    """

    code = "QP-MAINTENANCE"
    remedy = "correct the section maintenance of the operators' file and send SIGHUP; the old one is kept"


class TransitionError(MaintenanceError):
    """The planner attempted a step transition of a task that is not allowed: a defect."""

    remedy = "report it with the log; the rule version is unchanged"
