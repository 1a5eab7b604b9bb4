"""Divergences of a front from the majority by kind, and the findings that report them."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from quincepier.consistency.messages import TreeKind


class DivergenceKind(Enum):
    """The respect in which a front diverges; the values are sent to it in `ConsistencyVerdict.reason`."""

    LAGGING_VERSION = "an older rule version"
    LAGGING_LIST = "an older list"
    OUTDATED_LIST = "an older list for too long"
    BUILD = "another build"
    VERSION_CONTENT = "another content of the same rule version"
    LIST_CONTENT = "another list of the same revision"
    SETTINGS = "other settings"
    HASH_FUNCTION = "another hash"
    FLOAT_ARITHMETIC = "another order of floats"
    DECISION = "the same inputs and another decision"
    STALE_RANKINGS = "a stale memory of ranks"
    UNEXPLAINED_DECISION = "a real decision without a reason"


# A version or list that has not reached a front yet is no fault. A different build is a fault only if its
# decisions differ.
LAGGING_KINDS = frozenset({DivergenceKind.LAGGING_VERSION, DivergenceKind.LAGGING_LIST})
FAULT_KINDS = frozenset(DivergenceKind) - LAGGING_KINDS - {DivergenceKind.BUILD}
# Kinds for which a front enters cautious mode, since its rule decisions are wrong and not only outdated.
CAUTIOUS_KINDS = FAULT_KINDS - {DivergenceKind.OUTDATED_LIST, DivergenceKind.UNEXPLAINED_DECISION}

TREE_BY_KIND: dict[DivergenceKind, TreeKind] = {
    DivergenceKind.VERSION_CONTENT: TreeKind.RULE_VERSION,
    DivergenceKind.LIST_CONTENT: TreeKind.ENDPOINTS,
    DivergenceKind.SETTINGS: TreeKind.SETTINGS,
    DivergenceKind.DECISION: TreeKind.DECISIONS,
    DivergenceKind.HASH_FUNCTION: TreeKind.DECISIONS,
    DivergenceKind.FLOAT_ARITHMETIC: TreeKind.DECISIONS,
    DivergenceKind.BUILD: TreeKind.DECISIONS,
}


@dataclass(slots=True, frozen=True)
class Divergence:
    """A front that differs from the majority in one respect.

    Attributes:
        kind: The respect in which it diverges.
        front: Name of the front.
        reference: A front of the majority; empty if there is no majority.
        affects_decisions: Whether the front's decisions differ, or can't be compared.
    """

    kind: DivergenceKind
    front: str
    reference: str = ""
    affects_decisions: bool = True

    @property
    def is_fault(self) -> bool:
        """Whether it is a fault, and not the usual lag during the rollout of a change."""
        return self.kind in FAULT_KINDS or (self.kind is DivergenceKind.BUILD and self.affects_decisions)

    @property
    def requires_caution(self) -> bool:
        """Whether the front must enter cautious mode."""
        return self.kind in CAUTIOUS_KINDS or (self.kind is DivergenceKind.BUILD and self.affects_decisions)


@dataclass(slots=True, frozen=True)
class DivergentValue:
    """A difference between two fronts: item, field and both values as text; empty if not known."""

    item: str = ""  # a version entry, endpoint, setting or key
    field: str = ""
    diverging: str = ""  # value at the diverging front
    reference: str = ""  # value at the majority

    def __str__(self) -> str:
        location = " ".join(filter(None, (self.item, self.field)))
        if not location:
            return ""
        return f"{location}: {self.diverging or 'missing'} there, {self.reference or 'missing'} at the others"


@dataclass(slots=True, frozen=True)
class Finding:
    """A divergence as reported once per round, with the differing value if it was located."""

    round_id: int
    rule_version: int
    kind: DivergenceKind
    front: str
    is_fault: bool
    value: DivergentValue

    def to_text(self) -> str:
        """Return the finding as one log line."""
        when = f"by rule version {self.rule_version}, round {self.round_id}"
        value = str(self.value)
        return f"front {self.front} {when}: {self.kind.value}{', ' if value else ''}{value}"
