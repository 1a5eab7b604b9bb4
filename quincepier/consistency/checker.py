"""One front's part in the comparison: it answers whoever collects, and collects where that falls to it.

Who collects: the leader; where none leads, the three members first by a hash of their names, each for itself.
A front sends its digests to who collects alone, so words grow with the fronts, not with their square. Pure:
words and times in, words and findings out.
"""

from __future__ import annotations

import random
from collections import OrderedDict, deque
from collections.abc import Iterable
from dataclasses import dataclass

import xxhash

from quincepier.consistency.decision import STANDARD_ARITHMETIC, Arithmetic, DecisionInputs, Memory
from quincepier.consistency.digest_collector import DigestCollector, LateMembers
from quincepier.consistency.errors import ConsistencyError
from quincepier.consistency.findings import Finding
from quincepier.consistency.messages import (
    ConsistencyVerdict,
    DigestRequest,
    DigestResponse,
    LeafRequest,
    LeafResponse,
    Message,
    SubtreeRequest,
    SubtreeResponse,
    decode,
    encode,
)
from quincepier.consistency.section import ConsistencySection
from quincepier.consistency.snapshot import Snapshot

MS = 1_000_000
COLLECTORS = 3  # where no front leads
ROUNDS_KEPT = 8  # of others' asking, one a collector; the oldest goes
SLICE = 2000  # draws between two turns of the front's other work: some 5 ms


@dataclass(slots=True, frozen=True)
class SendMessage:
    to: str
    data: bytes


CheckerAction = SendMessage | Finding


class ConsistencyChecker:
    def __init__(
        self,
        name: str,
        seed: int,
        section: ConsistencySection | None = None,
        now: int = 0,
        how: Arithmetic = STANDARD_ARITHMETIC,
        memory: Memory | None = None,
    ) -> None:
        self.name, self.section, self.how, self.memory = name, section or ConsistencySection(), how, memory
        self.random = random.Random(seed)
        self.members, self.leader = frozenset[str]((name,)), ""
        self.inputs: DecisionInputs | None = None
        self.due = now + self.random.randrange(self.section.every)  # of the next round, if it collects
        self.rounds = self.random.getrandbits(40)  # a new collector draws other samples
        self.asked: OrderedDict[str, Snapshot] = OrderedDict()  # the last round of each who collects
        self.answers = dict[str, bytes]()
        self.fresh = dict[str, int]()  # when each who collects began its last round here
        self.gathering: DigestCollector | None = None
        self.late = LateMembers()
        self.breaches = self.stale = self.dropped = 0
        self.otherwise = -1  # number of the version by which this front was found to decide otherwise
        self.last = (-1, False, False)  # of the last round: version, all answered and comparable, no fault
        self.took = 0  # nanoseconds of the last round, until all had answered
        self.local: deque[Message] = deque()

    # What the shell tells

    def view(self, members: Iterable[str], leader: str) -> None:
        """Who is there, this front among them, and who leads ("": nobody)."""
        self.members, self.leader = frozenset(members) | {self.name}, leader
        for gone in [name for name in self.asked if name not in self.members]:
            del self.asked[gone], self.answers[gone], self.fresh[gone]

    def have(self, inputs: DecisionInputs) -> None:
        """What this front decides by from now on. All of it is of one moment."""
        self.inputs = inputs

    def count(self, breaches: int = 0, stale: int = 0) -> None:
        """What the witness met since the last call; told with the next answer."""
        self.breaches, self.stale = self.breaches + breaches, self.stale + stale

    # What it tells

    @property
    def cautious(self) -> bool:
        """Whether this front was found to decide otherwise by the version that it has."""
        return self.inputs is not None and self.otherwise == self.inputs.version.number

    def alike(self, number: int) -> bool | None:
        """Of who collects: whether all fronts decide alike by that version; None: not known."""
        version, whole, good = self.last
        return None if version != number or (good and not whole) else good

    @property
    def collectors(self) -> tuple[str, ...]:
        if self.leader in self.members:
            return (self.leader,)
        return tuple(
            sorted(self.members, key=lambda name: xxhash.xxh3_64_intdigest(name.encode()))[:COLLECTORS]
        )

    @property
    def wake(self) -> int:
        """When `tick` is wanted next; past where a slice of work waits."""
        if any(not snapshot.done for snapshot in self.asked.values()):
            return 0
        own = self.due if self.name in self.collectors else self.due + self.section.every
        return own if self.gathering is None else min(own, self.gathering.wake)

    # Words and time

    def said(self, now: int, sender: str, raw: bytes) -> list[CheckerAction]:
        """A word of a member; what is none is dropped and counted."""
        try:
            if sender not in self.members:
                raise ConsistencyError("not a member", sender[:64])
            return self._drain(now, self._heard(now, sender, decode(raw)))
        except ConsistencyError:
            self.dropped += 1
            return []

    def tick(self, now: int) -> list[CheckerAction]:
        """One slice of work; the next round, or what is to be asked again, where it is time."""
        out = list[CheckerAction]()
        pending = next((s for s in self.asked.items() if not s[1].done), None)
        if pending is not None and pending[1].step(SLICE):
            out += self._answer(now, *pending)
        if now >= self.due:
            out += self.round(now) if self.name in self.collectors else []
            self.due = max(self.due + self.section.every, now + self.section.every // 2)
        if self.gathering is not None:
            out += self._posted(self.gathering.tick(now))
            self._closed()
        return self._drain(now, out)

    def round(self, now: int) -> list[CheckerAction]:
        """Begin a round, of the version that this front has."""
        if self.inputs is None:
            return []
        self.rounds += 1
        number = self.inputs.version.number
        late = self.late, self.section.late_list
        self.gathering = DigestCollector(now, self.rounds, number, self.members, self.section.sample, *late)
        return self._drain(now, self._posted(self.gathering.tick(now)))

    def _heard(self, now: int, sender: str, word: Message) -> list[CheckerAction]:
        match word:
            case DigestRequest(round_, number, size):
                return self._asked(now, sender, round_, number, size)
            case SubtreeRequest(round_, about, path, split):
                children, leaves = self._snapshot(sender, round_).tree(about).look(path, split)
                return self._to(sender, SubtreeResponse(round_, about, path, children, leaves))
            case LeafRequest(round_, about, label):
                return self._to(sender, self._snapshot(sender, round_).show(about, label))
            case ConsistencyVerdict(_, number, alike, _):
                self.otherwise = number if not alike else -1
            case DigestResponse() | SubtreeResponse() | LeafResponse() if self.gathering is not None:
                out = self._posted(self.gathering.heard(now, sender, word))
                self._closed()
                return out
        return []

    def _asked(self, now: int, sender: str, round_: int, number: int, size: int) -> list[CheckerAction]:
        before = self.asked.get(sender)
        if before is not None and before.round == round_:
            return [SendMessage(sender, self.answers[sender])] if sender in self.answers else []
        early = now - self.fresh.get(sender, now - self.section.every) < self.section.every // 8
        if self.inputs is None or (early and sender != self.name):  # nobody makes it work without end
            self.dropped += early
            return []
        self.answers.pop(sender, None)
        self.fresh[sender] = now
        self.asked[sender] = Snapshot(round_, number, size, self.inputs, self.how, self.memory)
        self.asked.move_to_end(sender)
        while len(self.asked) > ROUNDS_KEPT:
            gone, _ = self.asked.popitem(last=False)
            self.answers.pop(gone, None)
            self.fresh.pop(gone, None)
        return []

    def _answer(self, now: int, sender: str, snapshot: Snapshot) -> list[CheckerAction]:
        cautious = self.otherwise == snapshot.inputs.version.number
        answer = snapshot.answer(self.breaches, self.stale, cautious)
        self.breaches = self.stale = 0
        self.answers[sender] = encode(answer)
        return self._to(sender, answer)

    def _snapshot(self, sender: str, round_: int) -> Snapshot:
        snapshot = self.asked.get(sender)
        if snapshot is None or snapshot.round != round_ or not snapshot.done:
            raise ConsistencyError("that round is over", str(round_))
        return snapshot

    def _closed(self) -> None:
        gathering = self.gathering
        if gathering is not None and gathering.closed:
            self.last = gathering.number, gathering.whole, gathering.good
            self.took = gathering.took

    def _to(self, to: str, word: Message) -> list[CheckerAction]:
        if to == self.name:
            self.local.append(word)
            return []
        return [SendMessage(to, encode(word))]

    def _posted(self, said: Iterable[tuple[str, Message] | Finding]) -> list[CheckerAction]:
        out = list[CheckerAction]()
        for one in said:
            out += [one] if isinstance(one, Finding) else self._to(*one)
        return out

    def _drain(self, now: int, out: list[CheckerAction]) -> list[CheckerAction]:
        """What this front says to itself."""
        while self.local:
            try:
                out += self._heard(now, self.name, self.local.popleft())
            except ConsistencyError:
                self.dropped += 1
        return out
