"""What is wrong with a word or with a rule decision's inputs."""

from __future__ import annotations

from quincepier.errors import QuincepierError


class ConsistencyError(QuincepierError):
    code = "QP-ALIKE"
    remedy = "check that the fronts run builds whose words agree; compare the named input at the named front"
