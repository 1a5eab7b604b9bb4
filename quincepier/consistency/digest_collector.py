"""One round at who collects: asking, asking again, judging, narrowing, and what each front is told."""

from __future__ import annotations

from collections import Counter, deque
from collections.abc import Iterator

from quincepier.consistency.findings import (
    ABOUT,
    CAUTIOUS,
    FAULTS,
    Divergence,
    DivergenceKind,
    Finding,
    inputs_of,
    judge,
    standard,
)
from quincepier.consistency.merkle_descent import MerkleDescent
from quincepier.consistency.messages import (
    About,
    ConsistencyVerdict,
    DigestRequest,
    DigestResponse,
    LeafResponse,
    Message,
    SubtreeResponse,
)

MS = 1_000_000
AGAIN = 400 * MS  # until a word that was not answered is said again
TRIES = 8
JOBS_MOST = 8  # differences that are narrowed in one round; others are told without
REVISIONS_KEPT = 256
Said = tuple[str, Message] | Finding


def answer_of(a: DigestResponse) -> tuple[object, bytes]:
    return inputs_of(a), a.decisions


def _judged_by(about: About, a: DigestResponse) -> tuple[int, bytes]:
    """Fronts that are alike in the first must be alike in the second."""
    if about == "version":
        return a.number, a.version
    return (a.revision, a.lines) if about == "lines" else (0, a.settings)


class LateMembers:
    """Since when each revision of the list has been behind that of most fronts."""

    def __init__(self) -> None:
        self.steps: deque[tuple[int, int]] = deque(maxlen=REVISIONS_KEPT)  # revision of most, first seen

    def seen(self, now: int, revision: int) -> None:
        if not self.steps or revision > self.steps[-1][0]:
            self.steps.append((revision, now))

    def for_(self, now: int, revision: int) -> int:
        """Nanoseconds; 0 for one that is not behind."""
        return next((now - at for step, at in self.steps if step > revision), 0)


class DigestCollector:
    def __init__(
        self,
        now: int,
        round_: int,
        number: int,
        members: frozenset[str],
        size: int,
        late: LateMembers,
        late_most: int,
    ) -> None:
        self.began, self.round, self.number, self.late, self.late_most = now, round_, number, late, late_most
        self.missing = dict.fromkeys(sorted(members), 0)  # tries
        self.size = size
        self.answers = dict[str, DigestResponse]()
        self.again = now
        self.closed, self.whole, self.good, self.took = False, False, True, 0
        self.jobs = list[MerkleDescent]()

    @property
    def wake(self) -> int:
        waiting = (job.asked_at + AGAIN for job in self.jobs)
        return min(waiting, default=1 << 62) if self.closed else self.again

    def tick(self, now: int) -> Iterator[Said]:
        if not self.closed and now >= self.again:
            if all(tries >= TRIES for tries in self.missing.values()):
                yield from self._close(now)
            else:
                for front in self.missing:
                    self.missing[front] += 1
                    yield front, DigestRequest(self.round, self.number, self.size)
                self.again = now + AGAIN
        for job in list(self.jobs):
            if now >= job.asked_at + AGAIN:
                yield from self._push(now, job)

    def heard(
        self, now: int, sender: str, word: DigestResponse | SubtreeResponse | LeafResponse
    ) -> Iterator[Said]:
        if word.round != self.round:
            return
        if isinstance(word, DigestResponse):
            if not self.closed and self.missing.pop(sender, None) is not None:
                self.answers[sender] = word
                if not self.missing:
                    yield from self._close(now)
            return
        for job in list(self.jobs):
            if job.take(sender, word):
                yield from self._push(now, job)

    def _push(self, now: int, job: MerkleDescent) -> Iterator[Said]:
        """Ask on, or tell what is known."""
        if job.tries >= TRIES:
            job.end()
        if job.found is not None:
            self.jobs.remove(job)
            yield job.found
            return
        job.asked_at, job.tries = now, job.tries + 1
        for front in job.waits_for:
            yield front, job.word

    def _close(self, now: int) -> Iterator[Said]:
        self.closed, self.took, answers = True, now - self.began, self.answers
        self.late.seen(now, standard(answers))
        odd = judge(answers, lambda revision: self.late.for_(now, revision), self.late_most)
        blamed = dict[str, Divergence]()
        for one in odd:
            fault = one.kind in FAULTS or (one.kind is DivergenceKind.BUILD and one.decides)
            self.good = self.good and not fault
            if one.kind in CAUTIOUS or (one.kind is DivergenceKind.BUILD and fault):
                blamed.setdefault(one.front, one)
            other = self._against(one)
            if other and len(self.jobs) < JOBS_MOST:
                job = MerkleDescent(self.round, self.number, one, other, ABOUT[one.kind])
                self.jobs.append(job)
                yield from self._push(now, job)
            elif one.kind not in (DivergenceKind.LATE_VERSION, DivergenceKind.LATE_LIST):
                yield Finding(self.round, self.number, one.kind, one.front, fault, *self._told(one))
        same = Counter(map(answer_of, answers.values()))
        self.whole = not self.missing and len(same) == 1 and not odd
        self.good = self.good and bool(answers)
        odd_fronts = {one.front for one in odd}
        for front, answer in answers.items():
            if front in blamed:
                why = blamed[front].kind.value
                yield front, ConsistencyVerdict(self.round, answer.number, False, why)
            elif answer.cautious and front not in odd_fronts and same[answer_of(answer)] > 1:
                yield front, ConsistencyVerdict(self.round, answer.number, True)

    def _against(self, odd: Divergence) -> str:
        """With whom its tree is compared: one of the majority that had the same to go by; "" for none."""
        about, mine = ABOUT.get(odd.kind), self.answers[odd.front]
        if about is None or not odd.decides:
            return ""
        if about == "decisions":
            fits = [f for f, a in self.answers.items() if inputs_of(a) == inputs_of(mine)]
            counts = Counter(self.answers[f].decisions for f in fits)
            fits = [f for f in fits if self.answers[f].decisions != mine.decisions]
            return min(fits, key=lambda f: (-counts[self.answers[f].decisions], f), default="")
        if odd.against:
            return odd.against
        place, own = _judged_by(about, mine)
        told = ((f, *_judged_by(about, a)) for f, a in self.answers.items())
        return min((f for f, at, theirs in told if at == place and theirs != own), default="")

    def _told(self, odd: Divergence) -> tuple[str, str, str, str]:
        mine = self.answers[odd.front]
        if odd.kind is DivergenceKind.BUILD:
            theirs = self.answers[odd.against].build if odd.against else ""
            return "build", "", mine.build, theirs
        if odd.kind is DivergenceKind.BREACH:
            return "decisions", "", str(mine.breaches), "0"
        if odd.kind is DivergenceKind.MEMORY:
            return "rankings", "", str(mine.stale), "0"
        if odd.kind is DivergenceKind.LIST_TOO_LATE:
            return "list", "revision", str(mine.revision), str(standard(self.answers))
        if odd.kind in (DivergenceKind.HASH, DivergenceKind.FLOATS):
            other = self.answers[odd.against] if odd.against else mine
            pair = (mine.hash, other.hash) if odd.kind is DivergenceKind.HASH else (mine.floats, other.floats)
            return "fixed work", "", pair[0].hex()[:8], pair[1].hex()[:8]
        return "", "", "", ""
