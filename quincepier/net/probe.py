"""A probe of a machine: whether it is well, or its report of load."""

from __future__ import annotations

from quincepier.interface import AttemptOutcome

OUTCOME_BY_PROBE_RESPONSE = {"well": AttemptOutcome.OK, "ill": AttemptOutcome.ERROR}  # answers to it


class Probe:
    """One that is out: its tag, and when it was begun, ns."""

    def __init__(self, tag: str, at: int) -> None:
        self.tag, self.started_at = tag, at
