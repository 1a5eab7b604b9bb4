"""What a voter can't go on with."""

from __future__ import annotations

from quincepier.errors import QuincepierError


class ConsensusError(QuincepierError):
    code = "QP-CONSENSUS"
    remedy = "check that three to seven voters are named alike in all files and that all run the same build"
