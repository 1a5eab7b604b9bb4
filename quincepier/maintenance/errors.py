"""What is wrong with a wish for work."""

from __future__ import annotations

from quincepier.errors import QuincepierError


class MaintenanceError(QuincepierError, ValueError):
    """A ValueError too, so that the reader of the operators' file tells it with line and key."""

    code = "QP-MAINTENANCE"
    remedy = "correct the section maintenance of the operators' file and send SIGHUP; the old one stays"
