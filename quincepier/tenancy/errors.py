"""Errors of tenants, shards and migrations."""

from __future__ import annotations

from quincepier.errors import QuincepierError


class TenancyError(QuincepierError):
    """The shards, tenants or migrations of a rule version are invalid."""

    code = "QP-TENANTS"
    remedy = "correct the section `tenants`, run check-config, send SIGHUP; keep the wish of a started move"


class TransitionError(TenancyError):
    """The planner attempted a step transition of a migration that is not allowed: a defect."""

    remedy = "report it with the log; the rule version is unchanged"
