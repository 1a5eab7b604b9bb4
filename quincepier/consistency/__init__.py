"""Whether all fronts decide alike: rule decisions, digests, where two differ, real decisions witnessed.

It decides who is outside of the majority, by which input, key and field, and whether a real decision has a
reason. It never routes, sends, reads a clock or changes what a front decides. Read `decision.py` first, then
`checker.py`; docs/consistency.md.
"""

from quincepier.consistency.checker import CheckerAction, ConsistencyChecker, SendMessage
from quincepier.consistency.decision import (
    STANDARD_ARITHMETIC,
    Arithmetic,
    DecisionInputs,
    DecisionKey,
    DecisionRules,
    HomeOf,
    ListedEndpoint,
    Memory,
    RuleDecision,
    decide,
    sample,
)
from quincepier.consistency.decision_recorder import DecisionRecorder, module_memory, stale_rankings
from quincepier.consistency.errors import ConsistencyError
from quincepier.consistency.explain import BREACH, Reason, explain
from quincepier.consistency.findings import CAUTIOUS, FAULTS, DivergenceKind, Finding
from quincepier.consistency.section import ConsistencySection

__all__ = [
    "BREACH",
    "CAUTIOUS",
    "FAULTS",
    "STANDARD_ARITHMETIC",
    "Arithmetic",
    "CheckerAction",
    "ConsistencyChecker",
    "ConsistencyError",
    "ConsistencySection",
    "DecisionInputs",
    "DecisionKey",
    "DecisionRecorder",
    "DecisionRules",
    "DivergenceKind",
    "Finding",
    "HomeOf",
    "ListedEndpoint",
    "Memory",
    "Reason",
    "RuleDecision",
    "SendMessage",
    "decide",
    "explain",
    "module_memory",
    "sample",
    "stale_rankings",
]
