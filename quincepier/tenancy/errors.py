"""Errors of tenants, shards and migrations."""

from __future__ import annotations

from quincepier.errors import QuincepierError


class TenancyError(QuincepierError):
    """A rule version's shards, tenants or migrations can't be used."""

    code = "QP-TENANTS"
    remedy = "correct the section `tenants`, ask check-config, send SIGHUP; a move begun keeps its wish"
