"""Errors of the consensus package."""

from __future__ import annotations

from quincepier.errors import QuincepierError


class ConsensusError(QuincepierError):
    """Base of this package's errors: an invalid configuration or proposal."""

    code = "QP-CONSENSUS"
    remedy = "check that all files name the same three to seven voters and that all run the same build"
