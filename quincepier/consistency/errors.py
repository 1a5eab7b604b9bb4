"""Errors of the comparison of rule decisions."""

from __future__ import annotations

from quincepier.errors import QuincepierError


class ConsistencyError(QuincepierError):
    """An invalid message between fronts, or a request for a round or leaf that a front does not have."""

    code = "QP-ALIKE"
    remedy = "put the same build on all fronts; compare the named input at the named front"
