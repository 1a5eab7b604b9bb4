"""Errors of rule versions and leases."""

from __future__ import annotations

from quincepier.errors import QuincepierError


class RulesError(QuincepierError):
    """A rule version, a change to a rule version, or a lease message is invalid."""

    code = "QP-RULES"
    remedy = "check that all fronts run the same build; restore the voters' folders only as a whole"
