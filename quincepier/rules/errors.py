"""Errors of rule versions and leases."""

from __future__ import annotations

from quincepier.errors import QuincepierError


class RulesError(QuincepierError):
    """A rule version, a change of one, or a lease message is not valid."""

    code = "QP-RULES"
    remedy = "check that all fronts run the same build; put back the voters' folders only as a whole"
