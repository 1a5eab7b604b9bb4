"""What is wrong with tenants, shards or moves."""

from __future__ import annotations

from quincepier.errors import QuincepierError


class TenancyError(QuincepierError):
    code = "QP-TENANTS"
    remedy = "correct the section `tenants`, ask check-config, send SIGHUP; a move begun keeps its wish"
