"""Probes: health checks of a machine and requests for its load report."""

from __future__ import annotations

from quincepier.interface import AttemptOutcome

OUTCOME_BY_PROBE_RESPONSE = {"well": AttemptOutcome.OK, "ill": AttemptOutcome.ERROR}


class Probe:
    """A probe that waits for its response.

    Attributes:
        tag: Its id on the connection.
        started_at: When it was started, ns.
    """

    def __init__(self, tag: str, started_at: int) -> None:
        self.tag, self.started_at = tag, started_at
