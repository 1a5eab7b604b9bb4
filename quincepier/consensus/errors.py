"""Errors of the consensus package."""

from __future__ import annotations

from quincepier.errors import QuincepierError


class ConsensusError(QuincepierError):
    """Base of this package's errors: a configuration or a proposal that can't be used."""

    code = "QP-CONSENSUS"
    remedy = "check that three to seven voters are named alike in all files and that all run the same build"
