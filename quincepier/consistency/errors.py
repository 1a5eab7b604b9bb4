"""The package's error: an invalid message, or inputs that no rule decision follows from."""

from __future__ import annotations

from quincepier.errors import QuincepierError


class ConsistencyError(QuincepierError):
    """An invalid message between fronts, or a request for what a front does not hold."""

    code = "QP-ALIKE"
    remedy = "put the same build on all fronts; compare the named input at the named front"
