"""What is told of a front that is not as the others: kinds, the majority, and who is outside of it."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from enum import Enum

from quincepier.consistency.messages import About, DigestResponse


class DivergenceKind(Enum):
    LATE_VERSION = "an older rule version"  # on its way; no fault
    LATE_LIST = "an older list"  # on its way; no fault
    LIST_TOO_LATE = "an older list for too long"
    BUILD = "another build"  # told; a fault only where it decides otherwise
    VERSION = "another content of the same rule version"
    LIST = "another list of the same revision"
    SETTINGS = "other settings"
    HASH = "another hash"
    FLOATS = "another order of floats"
    DECISION = "the same inputs and another decision"
    MEMORY = "a stale memory of ranks"
    BREACH = "a real decision without a reason"


FAULTS = frozenset(DivergenceKind) - {
    DivergenceKind.LATE_VERSION,
    DivergenceKind.LATE_LIST,
    DivergenceKind.BUILD,
}
CAUTIOUS = FAULTS - {
    DivergenceKind.LIST_TOO_LATE,
    DivergenceKind.BREACH,
}  # for these a front goes to the cautious set
ABOUT: dict[DivergenceKind, About] = {
    DivergenceKind.VERSION: "version",
    DivergenceKind.LIST: "lines",
    DivergenceKind.SETTINGS: "settings",
    DivergenceKind.DECISION: "decisions",
    DivergenceKind.HASH: "decisions",
    DivergenceKind.FLOATS: "decisions",
    DivergenceKind.BUILD: "decisions",
}


@dataclass(slots=True, frozen=True)
class Divergence:
    """A front outside of the majority in one thing. `against`: one of the majority, "" where none has one."""

    kind: DivergenceKind
    front: str
    against: str
    decides: bool = True  # whether its decisions differ, or can't be compared


@dataclass(slots=True, frozen=True)
class Finding:
    """Told once a round. `what` is the line, setting, entry or key; `mine` is of the front, `theirs` of
    the rest.
    """

    round: int
    number: int  # of the version
    kind: DivergenceKind
    front: str
    fault: bool
    what: str = ""
    field: str = ""
    mine: str = ""
    theirs: str = ""

    def line(self) -> str:
        """For a log."""
        where = " ".join(filter(None, (self.what, self.field)))
        mine, theirs = self.mine or "missing", self.theirs or "missing"
        values = f": {mine} there, {theirs} at the others" if where else ""
        about = f", {where}{values}" if where else ""
        when = f"by rule version {self.number}, round {self.round}"
        return f"front {self.front} {when}: {self.kind.value}{about}"


def outside(values: Mapping[str, object], of_all: int) -> tuple[set[str], str]:
    """Who is not of the majority, and one who is ("": there is none, then all are outside).

    A group without a majority that is not itself the larger part of all says nothing: two late fronts that
    differ would otherwise both be blamed.
    """
    counts = Counter(values.values())
    if len(counts) < 2:
        return set(), ""
    value, most = counts.most_common(1)[0]
    if 2 * most > len(values):
        inside = sorted(front for front, own in values.items() if own == value)
        return values.keys() - set(inside), inside[0]
    return (set(values), "") if 2 * len(values) > of_all else (set(), "")


def judge(
    answers: Mapping[str, DigestResponse], late_for: Callable[[int], int], late_most: int
) -> list[Divergence]:
    """Who is outside of the majority, and in what: inputs first, then decisions among those of equal inputs.

    `late_for` tells for how long (ns) a revision of the list has been behind that of most.
    """
    odd, found = list[Divergence](), set[str]()
    of_all, fronts = len(answers), sorted(answers)

    def compare(kind: DivergenceKind, group: list[str], value: Callable[[DigestResponse], object]) -> None:
        others, one = outside({front: value(answers[front]) for front in group}, of_all)
        odd.extend(Divergence(kind, front, one) for front in sorted(others))
        found.update(others)

    compare(DivergenceKind.HASH, fronts, lambda a: a.hash)
    compare(DivergenceKind.FLOATS, [f for f in fronts if f not in found], lambda a: a.floats)
    compare(DivergenceKind.SETTINGS, fronts, lambda a: a.settings)
    newest = max(answers[f].number for f in fronts) if fronts else 0
    for number in sorted({a.number for a in answers.values()}):
        compare(
            DivergenceKind.VERSION, [f for f in fronts if answers[f].number == number], lambda a: a.version
        )
    odd.extend(Divergence(DivergenceKind.LATE_VERSION, f, "") for f in fronts if answers[f].number < newest)
    for revision in sorted({a.revision for a in answers.values()}):
        compare(
            DivergenceKind.LIST, [f for f in fronts if answers[f].revision == revision], lambda a: a.lines
        )
    usual = standard(answers)
    held = Counter(a.lines for a in answers.values() if a.revision == usual)
    for front in fronts:
        mine = answers[front]
        if mine.revision < usual and mine.lines not in held:
            late = late_for(mine.revision) > late_most
            odd.append(
                Divergence(DivergenceKind.LIST_TOO_LATE if late else DivergenceKind.LATE_LIST, front, "")
            )
    groups = dict[tuple[int, bytes, bytes, bytes], list[str]]()
    for front in fronts:
        groups.setdefault(inputs_of(answers[front]), []).append(front)
    otherwise = dict[str, str]()
    for group in groups.values():
        others, one = outside({front: answers[front].decisions for front in group}, of_all)
        otherwise |= dict.fromkeys(others, one)
    builds, one = outside({front: answers[front].build for front in fronts}, of_all)
    builds = {f for f in builds if one or f in otherwise}  # half of them renewed: nobody is the other one
    odd.extend(
        Divergence(DivergenceKind.BUILD, f, otherwise.get(f, one), f in otherwise) for f in sorted(builds)
    )
    named = found | builds
    odd.extend(
        Divergence(DivergenceKind.DECISION, f, one) for f, one in sorted(otherwise.items()) if f not in named
    )
    odd.extend(Divergence(DivergenceKind.MEMORY, f, "") for f in fronts if answers[f].stale)
    odd.extend(Divergence(DivergenceKind.BREACH, f, "") for f in fronts if answers[f].breaches)
    return odd


def inputs_of(a: DigestResponse) -> tuple[int, bytes, bytes, bytes]:
    """Fronts with equal ones must decide alike."""
    return a.number, a.version, a.lines, a.settings


def standard(answers: Mapping[str, DigestResponse]) -> int:
    """The revision of the list against which others are late: the middle one, so that one that is far off
    makes nobody late.
    """
    revisions = sorted(answer.revision for answer in answers.values())
    return revisions[(len(revisions) - 1) // 2] if revisions else 0
