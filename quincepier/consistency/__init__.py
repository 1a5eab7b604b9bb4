"""Whether all fronts decide alike: rule decisions, digests, where two differ, real decisions witnessed.

It decides who is outside of the majority, by which input, key and field, and whether a real decision has a
reason. It never routes, sends, reads a clock or changes what a front decides. Read `decision.py` first, then
`checker.py`; docs/consistency.md.
"""

from quincepier.consistency.checker import Checker, Out, Send
from quincepier.consistency.decision import (
    PLAIN,
    Arithmetic,
    Decision,
    HomeOf,
    Inputs,
    Key,
    Line,
    Memory,
    Rules,
    decide,
    sample,
)
from quincepier.consistency.errors import ConsistencyError
from quincepier.consistency.explain import BREACH, Reason, explain
from quincepier.consistency.findings import CAUTIOUS, FAULTS, Finding, Kind
from quincepier.consistency.section import ConsistencySection
from quincepier.consistency.witness import Witness, module_memory, stale_ranks

__all__ = [
    "BREACH",
    "CAUTIOUS",
    "FAULTS",
    "PLAIN",
    "Arithmetic",
    "Checker",
    "ConsistencyError",
    "ConsistencySection",
    "Decision",
    "Finding",
    "HomeOf",
    "Inputs",
    "Key",
    "Kind",
    "Line",
    "Memory",
    "Out",
    "Reason",
    "Rules",
    "Send",
    "Witness",
    "decide",
    "explain",
    "module_memory",
    "sample",
    "stale_ranks",
]
