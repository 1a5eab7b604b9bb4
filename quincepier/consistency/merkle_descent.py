"""Narrowing one difference: two fronts are asked down the tree until the leaf and the field are known."""

from __future__ import annotations

from quincepier.consistency.findings import Divergence, DivergenceKind, Finding
from quincepier.consistency.messages import About, LeafRequest, LeafResponse, SubtreeRequest, SubtreeResponse

DEEPEST = 32  # hex digits of a label's hash


class MerkleDescent:
    """One difference of `odd.front` from `other`. `word` is what both are asked now; `take` their answers."""

    def __init__(self, round_: int, number: int, odd: Divergence, other: str, about: About) -> None:
        self.round, self.number, self.odd, self.other, self.about = round_, number, odd, other, about
        self.path, self.label, self.told = "", "", dict[str, SubtreeResponse | LeafResponse]()
        self.split = False
        self.leaf, self.asked_at, self.tries, self.exchanges = b"", 0, 0, 0
        self.found: Finding | None = None

    @property
    def word(self) -> SubtreeRequest | LeafRequest:
        if self.label:
            return LeafRequest(self.round, self.about, self.label)
        return SubtreeRequest(self.round, self.about, self.path, self.split)

    @property
    def waits_for(self) -> list[str]:
        return [front for front in (self.odd.front, self.other) if front not in self.told]

    def take(self, sender: str, word: SubtreeResponse | LeafResponse) -> bool:
        """Whether both have answered, so that the next is asked, or `found` is set."""
        fits = word.about == self.about and (
            (word.path == self.path and not self.label)
            if isinstance(word, SubtreeResponse)
            else word.label == self.label != ""
        )
        if not fits or sender not in self.waits_for:
            return False
        self.told[sender] = word
        if self.waits_for:
            return False
        mine, theirs = self.told[self.odd.front], self.told[self.other]
        self.told, self.tries, self.exchanges = {}, 0, self.exchanges + 1
        if isinstance(mine, SubtreeResponse) and isinstance(theirs, SubtreeResponse):
            self._descend(mine, theirs)
        elif isinstance(mine, LeafResponse) and isinstance(theirs, LeafResponse):
            self._compare(mine, theirs)
        return True

    def _descend(self, mine: SubtreeResponse, theirs: SubtreeResponse) -> None:
        if mine.leaves or theirs.leaves or not (mine.children and theirs.children):
            here, there = dict(mine.leaves), dict(theirs.leaves)
            if mine.children or theirs.children:  # sixteen leaves at one, seventeen at the other
                self.split = True
                return
            label = next((n for n in sorted(here | there) if here.get(n) != there.get(n)), None)
            if label is None:
                self.end()  # it changed since the round: nothing is claimed
            elif label not in here or label not in there:
                name = f"{NAMES[self.about]} {label}"
                self.end(name, "", "there" if label in here else "", "there" if label in there else "")
            else:
                self.label, self.leaf = label, here[label]
            return
        pairs = enumerate(zip(mine.children, theirs.children, strict=True))
        place = next((n for n, (a, b) in pairs if a != b), None)
        if place is None or len(self.path) >= DEEPEST:
            self.end()
        else:
            self.path, self.split = f"{self.path}{place:x}", False

    def _compare(self, mine: LeafResponse, theirs: LeafResponse) -> None:
        here, there = dict(mine.fields), dict(theirs.fields)
        field = next((n for n in here | there if here.get(n) != there.get(n)), "")
        stale = self.about == "decisions" and bool(mine.anew) and mine.anew != self.leaf
        kind = DivergenceKind.MEMORY if stale and self.odd.kind is DivergenceKind.DECISION else self.odd.kind
        what = mine.of or f"{NAMES[self.about]} {self.label}"
        self.end(what, field, here.get(field, ""), there.get(field, ""), kind)

    def end(
        self,
        what: str = "",
        field: str = "",
        mine: str = "",
        theirs: str = "",
        kind: DivergenceKind | None = None,
    ) -> None:
        """With nothing known: it could not be narrowed."""
        self.found = Finding(
            self.round, self.number, kind or self.odd.kind, self.odd.front, True, what, field, mine, theirs
        )


NAMES: dict[About, str] = {"version": "entry", "settings": "setting", "lines": "line", "decisions": "key"}
