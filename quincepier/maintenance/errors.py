"""Errors of the maintenance section."""

from __future__ import annotations

from quincepier.errors import QuincepierError


class MaintenanceError(QuincepierError, ValueError):
    """A maintenance request or limit can't be used.

    It is a ValueError too, so that the reader of the operators' file reports it with line and key.
    """

    code = "QP-MAINTENANCE"
    remedy = "correct the section maintenance of the operators' file and send SIGHUP; the old one stays"


class TransitionError(MaintenanceError):
    """A task was to enter a step that can't follow its own: a defect of the planner."""

    remedy = "report it with the log; the rule version stays as it was"
