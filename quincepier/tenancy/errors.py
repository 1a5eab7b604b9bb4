"""Errors of tenants, shards and migrations."""

from __future__ import annotations

from quincepier.errors import QuincepierError


class TenancyError(QuincepierError):
    """A rule version's shards, tenants or migrations can't be used."""

    code = "QP-TENANTS"
    remedy = "correct the section `tenants`, ask check-config, send SIGHUP; a move begun keeps its wish"


class TransitionError(TenancyError):
    """A migration was to enter a step that can't follow its own: a defect of the planner."""

    remedy = "report it with the log; the rule version stays as it was"
