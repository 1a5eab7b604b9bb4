"""Whether all fronts decide alike: rule decisions, their digests, divergences, and explained real decisions.

The package finds which front is outside the majority, by which input, key and field, and whether a real
decision has a reason. It never routes, sends, reads a clock or changes what a front decides. Start reading at
`decision.py`, then `checker.py`; docs/consistency.md describes the protocol.
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
