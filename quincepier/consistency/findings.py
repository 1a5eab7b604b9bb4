"""Divergences of a front from the majority, by kind, and the findings that are reported of them."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from quincepier.consistency.messages import TreeKind


class DivergenceKind(Enum):
    """In what a front diverges; the values are sent to it in `ConsistencyVerdict.reason`."""

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


# A version or list on its way to a front is no fault; another build is one only where its decisions differ.
LAGGING_KINDS = frozenset({DivergenceKind.LAGGING_VERSION, DivergenceKind.LAGGING_LIST})
FAULT_KINDS = frozenset(DivergenceKind) - LAGGING_KINDS - {DivergenceKind.BUILD}
# Kinds for which a front enters cautious mode: its decisions by the rules are wrong, not late.
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
    """A front outside the majority in one respect.

    Attributes:
        kind: In what it diverges.
        front: Name of the front.
        reference: A front of the majority; empty where no majority has one.
        affects_decisions: Whether its decisions differ, or can't be compared.
    """

    kind: DivergenceKind
    front: str
    reference: str = ""
    affects_decisions: bool = True

    @property
    def is_fault(self) -> bool:
        """Whether it is a fault, not the usual lag of a change that is being rolled out."""
        return self.kind in FAULT_KINDS or (self.kind is DivergenceKind.BUILD and self.affects_decisions)

    @property
    def requires_caution(self) -> bool:
        """Whether the front must enter cautious mode."""
        return self.kind in CAUTIOUS_KINDS or (self.kind is DivergenceKind.BUILD and self.affects_decisions)


@dataclass(slots=True, frozen=True)
class DivergentValue:
    """Where two fronts differ: the item, its field, and the text at each; empty where it is not known."""

    item: str = ""  # entry, endpoint, setting or key
    field: str = ""
    diverging: str = ""  # at the diverging front
    reference: str = ""  # at the majority

    def __str__(self) -> str:
        where = " ".join(filter(None, (self.item, self.field)))
        if not where:
            return ""
        return f"{where}: {self.diverging or 'missing'} there, {self.reference or 'missing'} at the others"


@dataclass(slots=True, frozen=True)
class Finding:
    """A divergence as it is reported, once a round, with the value that differs where it was found."""

    round_id: int
    rule_version: int
    kind: DivergenceKind
    front: str
    is_fault: bool
    value: DivergentValue

    def to_text(self) -> str:
        """One line for a log."""
        when = f"by rule version {self.rule_version}, round {self.round_id}"
        value = str(self.value)
        return f"front {self.front} {when}: {self.kind.value}{', ' if value else ''}{value}"
