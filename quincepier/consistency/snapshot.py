"""One front's inputs and decisions at one moment, computed in slices of bounded work, with a tree of each."""

from __future__ import annotations

from collections.abc import Iterator

import msgspec
import xxhash

from quincepier.consistency.decision import (
    Arithmetic,
    DecisionInputs,
    DecisionKey,
    DecisionRules,
    Memory,
    canaries,
    sample,
)
from quincepier.consistency.errors import ConsistencyError
from quincepier.consistency.merkle_tree import MerkleTree
from quincepier.consistency.messages import About, DigestResponse, LeafResponse

LABEL_MOST = 200
LINES_AT_ONCE = 64  # leaves of the list between two places at which a slice may end
Fields = tuple[tuple[str, str], ...]
_encode = msgspec.msgpack.Encoder().encode


def leaf(value: object) -> bytes:
    return xxhash.xxh3_128_digest(_encode(value))


# Labels that fronts of earlier builds compare; a field that was renamed since keeps its own.
VERSION_LABEL_BY_FIELD = {
    "maintenance_tasks": "orders",
    "disruption_limits": "allowances",
    "shards": "shards",
    "placements": "homes",
    "migrations": "moves",
}
ENTRY_LABEL_BY_FIELD = {
    "request_id": "wish",
    "since_version": "since",
    "reason": "why",
    "max_per_zone": "zone_most",
    "max_total": "most",
    "source_shard": "old",
    "target_shard": "new",
    "moved_slots": "part",
}
NAMING_FIELDS = ("request_id", "target", "tenant", "kind", "name")


def fields_of_version(inputs: DecisionInputs) -> dict[str, Fields]:
    """Each entry of a version by what it is of; its fields as text."""
    version = inputs.version
    found: dict[str, Fields] = {"version": (("number", str(version.number)), ("term", str(version.term)))}
    for field, label in VERSION_LABEL_BY_FIELD.items():
        for place, entry in enumerate(getattr(version, field)):
            name = ":".join(str(getattr(entry, n)) for n in NAMING_FIELDS if hasattr(entry, n))
            texts = (
                (ENTRY_LABEL_BY_FIELD.get(f, f), str(getattr(entry, f))) for f in entry.__struct_fields__
            )
            found[f"{label} {name}"[:LABEL_MOST]] = (("place", str(place)), *texts)
    return found


def fields_of_settings(inputs: DecisionInputs) -> dict[str, Fields]:
    """Each setting; a front's own zone is its seat, no rule."""
    s = inputs.settings
    names = [n for n in s.__dataclass_fields__ if n not in ("zone", "classes")]
    found: dict[str, Fields] = {n: ((n, repr(getattr(s, n))),) for n in names}
    for place, cls in enumerate(s.classes):
        for n in cls.__dataclass_fields__:
            found[f"classes[{place}].{n}"] = ((n, repr(getattr(cls, n))),)
    return found


class Snapshot:
    """A round of one front. `step` until `done`; then `answer`, `tree` and `show`."""

    def __init__(
        self,
        round_: int,
        number: int,
        size: int,
        inputs: DecisionInputs,
        how: Arithmetic,
        memory: Memory | None,
    ) -> None:
        self.round, self.number, self.inputs, self.how = round_, number, inputs, how
        self.rules = DecisionRules(inputs, how, memory)
        self.size, self.keys = size, list[DecisionKey]()
        self.done, self.work = False, self._work()
        self.decisions = dict[str, bytes]()
        self.trees = dict[str, MerkleTree]()

    def step(self, limit: int) -> bool:
        """Work of about `limit` draws (2 to 3 us each), one decision more at most; True when all is done."""
        spent = 0
        while not self.done and spent < limit:
            cost = next(self.work, None)
            self.done = cost is None
            spent += cost or 0
        return self.done

    def _work(self) -> Iterator[int]:
        """All of it anew in each round: a digest that is kept would hide what was spoilt since."""
        inputs, leaves = self.inputs, dict[str, bytes]()
        self.canaries = canaries(self.how)
        yield 320
        self.digest = bytes.fromhex(inputs.version.digest)
        told = fields_of_settings(inputs)
        self.trees["settings"] = MerkleTree({label: leaf(fields) for label, fields in told.items()})
        yield 100
        for place, line in enumerate(inputs.lines):
            leaves[line.host] = leaf(line)
            if place % LINES_AT_ONCE == LINES_AT_ONCE - 1:
                yield LINES_AT_ONCE
        self.trees["lines"] = MerkleTree(leaves)
        self.keys = sample(self.number, self.round, self.size, inputs)
        for place, key in enumerate(self.keys):
            self.decisions[str(place)] = leaf((key, self.rules.decide(key)))
            yield self.rules.cost(key)
        self.trees["decisions"] = MerkleTree(self.decisions)

    def answer(self, breaches: int, stale: int, cautious: bool) -> DigestResponse:
        inputs = self.inputs
        return DigestResponse(
            round=self.round,
            number=inputs.version.number,
            version=self.digest,
            revision=inputs.revision,
            lines=self.trees["lines"].root,
            settings=self.trees["settings"].root,
            build=inputs.build[:64],
            hash=self.canaries[0],
            floats=self.canaries[1],
            decisions=self.trees["decisions"].root,
            breaches=breaches,
            stale=stale,
            cautious=cautious,
        )

    def tree(self, about: About) -> MerkleTree:
        if about == "version" and about not in self.trees:
            told = fields_of_version(self.inputs)
            self.trees[about] = MerkleTree({label: leaf(fields) for label, fields in told.items()})
        return self.trees[about]

    def show(self, about: About, label: str) -> LeafResponse:
        """ConsistencyError where there is no such leaf."""
        of, anew = "", b""
        if about == "decisions":
            place = int(label) if label.isdecimal() else len(self.keys)
            if place >= len(self.keys):
                raise ConsistencyError("no such key in the sample", label)
            key = self.keys[place]
            fresh = DecisionRules(self.inputs, self.how).decide(key)  # with no memory
            of, fields, anew = str(key), self.rules.decide(key).fields(), leaf((key, fresh))
        elif about == "lines":
            line = next((line for line in self.inputs.lines if line.host == label), None)
            if line is None:
                raise ConsistencyError("no such line in the list", label)
            fields = tuple((name, str(getattr(line, name))) for name in line.__struct_fields__)
        else:
            found = fields_of_version if about == "version" else fields_of_settings
            fields = found(self.inputs).get(label, ())
        clipped = tuple((name[:LABEL_MOST], text[:LABEL_MOST]) for name, text in fields)[:32]
        return LeafResponse(self.round, about, label, of[:LABEL_MOST], clipped, anew)
