"""What is wrong with a rule version or with a change of one."""

from __future__ import annotations

from quincepier.errors import QuincepierError


class RulesError(QuincepierError):
    code = "QP-RULES"
    remedy = "check that all fronts run the same build; put back the voters' folders only as a whole"
