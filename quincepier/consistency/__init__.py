"""Consistency checks between fronts: rule decisions, their digests, divergences, and explained attempts.

The package finds the fronts that diverge from the majority, with the input, key and field that differ, and
explains a front's attempts by the rules or by another reason. It routes and sends nothing, reads no clock and
changes no decision. Start reading at `decision.py`, then `checker.py`; docs/consistency.md describes the
protocol.
"""

from quincepier.consistency.arithmetic import STANDARD_ARITHMETIC, Arithmetic
from quincepier.consistency.checker import CheckerAction, ConsistencyChecker, SendMessage
from quincepier.consistency.decision import (
    DecisionInputs,
    DecisionKey,
    DecisionRules,
    HomeShardLookup,
    ListedEndpoint,
    RankingCache,
    RuleDecision,
    decide,
)
from quincepier.consistency.decision_recorder import DecisionRecorder
from quincepier.consistency.errors import ConsistencyError
from quincepier.consistency.explain import AttemptTarget, DecisionRecord, Reason, explain_attempt
from quincepier.consistency.findings import DivergenceKind, Finding
from quincepier.consistency.key_sample import sample_keys
from quincepier.consistency.router_rankings import RouterRankingCache, count_stale_rankings
from quincepier.consistency.router_view import RouterView
from quincepier.consistency.section import ConsistencySection

__all__ = [
    "STANDARD_ARITHMETIC",
    "Arithmetic",
    "AttemptTarget",
    "CheckerAction",
    "ConsistencyChecker",
    "ConsistencyError",
    "ConsistencySection",
    "DecisionInputs",
    "DecisionKey",
    "DecisionRecord",
    "DecisionRecorder",
    "DecisionRules",
    "DivergenceKind",
    "Finding",
    "HomeShardLookup",
    "ListedEndpoint",
    "RankingCache",
    "Reason",
    "RouterRankingCache",
    "RouterView",
    "RuleDecision",
    "SendMessage",
    "count_stale_rankings",
    "decide",
    "explain_attempt",
    "sample_keys",
]
