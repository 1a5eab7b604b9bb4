"""One comparison round at its collector: requests and retries, judgement, descents and verdicts."""

from __future__ import annotations

from collections import Counter, deque
from collections.abc import Iterator
from dataclasses import dataclass

from quincepier.consistency.findings import (
    LAGGING_KINDS,
    TREE_BY_KIND,
    Divergence,
    DivergenceKind,
    DivergentValue,
    Finding,
)
from quincepier.consistency.majority import (
    DecisionInputDigests,
    find_divergences,
    input_digests,
    reference_list_revision,
)
from quincepier.consistency.merkle_descent import MerkleDescent
from quincepier.consistency.messages import (
    ConsistencyVerdict,
    DigestRequest,
    DigestResponse,
    LeafResponse,
    Message,
    SubtreeResponse,
    TreeKind,
)

NS_PER_MS = 1_000_000
RETRY_INTERVAL_NS = 400 * NS_PER_MS
MAX_ATTEMPTS = 8
MAX_DESCENTS = 8  # in one round; further divergences are reported without the value that differs
MAX_LIST_REVISIONS = 256
NEVER_NS = 1 << 62
DIGEST_PREFIX_BYTES = 4  # of a canary, in a finding


@dataclass(slots=True, frozen=True)
class OutgoingMessage:
    """A message to a front, not yet encoded."""

    to: str
    message: Message


CollectorOutput = OutgoingMessage | Finding


@dataclass(slots=True, frozen=True)
class RoundResult:
    """Outcome of a round.

    Attributes:
        rule_version: The collector's rule version.
        is_unanimous: Whether all fronts answered, by equal inputs and with equal decisions.
        has_fault: Whether some front has a fault, or nobody answered.
        duration_ns: Time until all had answered, or were given up.
    """

    rule_version: int
    is_unanimous: bool
    has_fault: bool
    duration_ns: int


@dataclass(slots=True, frozen=True)
class _Answer:
    """What must be equal at consistent fronts."""

    inputs: DecisionInputDigests
    decisions_digest: bytes


@dataclass(slots=True, frozen=True)
class _Superseded:
    """When a list revision first was that of most fronts."""

    revision: int
    at_ns: int


class ListRevisionHistory:
    """Since when each revision of the endpoint list has been behind that of most fronts."""

    def __init__(self) -> None:
        self._history: deque[_Superseded] = deque(maxlen=MAX_LIST_REVISIONS)

    def record(self, now_ns: int, revision: int) -> None:
        """Note the revision that most fronts have now."""
        if not self._history or revision > self._history[-1].revision:
            self._history.append(_Superseded(revision, now_ns))

    def lag_ns(self, now_ns: int, revision: int) -> int:
        """Nanoseconds since a revision was superseded; 0 for one that is not behind."""
        return next((now_ns - newer.at_ns for newer in self._history if newer.revision > revision), 0)


class DigestCollector:
    """Collects the digests of all fronts, judges them, and locates what differs."""

    def __init__(
        self,
        now_ns: int,
        request: DigestRequest,
        members: frozenset[str],
        list_history: ListRevisionHistory,
        max_list_lag_ns: int,
    ) -> None:
        self.result: RoundResult | None = None  # once the digests are judged
        self._started_at_ns = now_ns
        self._request = request
        self._attempts_by_missing_front = dict.fromkeys(sorted(members), 0)
        self._list_history = list_history
        self._max_list_lag_ns = max_list_lag_ns
        self._responses = dict[str, DigestResponse]()
        self._next_request_ns = now_ns
        self._descents = list[MerkleDescent]()

    @property
    def next_tick_ns(self) -> int:
        """When `on_tick` is due next."""
        if self.result is None:
            return self._next_request_ns
        due = (descent.requested_at_ns + RETRY_INTERVAL_NS for descent in self._descents)
        return min(due, default=NEVER_NS)

    def on_tick(self, now_ns: int) -> Iterator[CollectorOutput]:
        """Send requests that are due, again where they were not answered."""
        if self.result is None and now_ns >= self._next_request_ns:
            yield from self._request_digests(now_ns)
        for descent in list(self._descents):
            if now_ns >= descent.requested_at_ns + RETRY_INTERVAL_NS:
                yield from self._continue_descent(now_ns, descent)

    def on_digest_response(
        self, now_ns: int, sender: str, response: DigestResponse
    ) -> Iterator[CollectorOutput]:
        """Take a front's digests; the last ones lead to the judgement."""
        if response.round_id != self._request.round_id or self.result is not None:
            return
        if self._attempts_by_missing_front.pop(sender, None) is None:
            return
        self._responses[sender] = response
        if not self._attempts_by_missing_front:
            yield from self._judge(now_ns)

    def on_tree_response(
        self, now_ns: int, sender: str, response: SubtreeResponse | LeafResponse
    ) -> Iterator[CollectorOutput]:
        """Take a subtree or leaf for the descents that asked for it."""
        if response.round_id != self._request.round_id:
            return
        for descent in list(self._descents):
            if descent.on_response(sender, response):
                yield from self._continue_descent(now_ns, descent)

    def _request_digests(self, now_ns: int) -> Iterator[CollectorOutput]:
        if all(attempts >= MAX_ATTEMPTS for attempts in self._attempts_by_missing_front.values()):
            yield from self._judge(now_ns)
            return
        for front in self._attempts_by_missing_front:
            self._attempts_by_missing_front[front] += 1
            yield OutgoingMessage(front, self._request)
        self._next_request_ns = now_ns + RETRY_INTERVAL_NS

    def _continue_descent(self, now_ns: int, descent: MerkleDescent) -> Iterator[CollectorOutput]:
        """Send the descent's current request, or report its finding."""
        if descent.attempts >= MAX_ATTEMPTS:
            descent.finish()
        if descent.finding is not None:
            self._descents.remove(descent)
            yield descent.finding
            return
        descent.record_request(now_ns)
        for front in descent.awaited_fronts:
            yield OutgoingMessage(front, descent.request)

    def _judge(self, now_ns: int) -> Iterator[CollectorOutput]:
        """Compare the digests that have come, report divergences and send verdicts."""
        self._list_history.record(now_ns, reference_list_revision(self._responses))
        divergences = find_divergences(
            self._responses,
            lambda revision: self._list_history.lag_ns(now_ns, revision),
            self._max_list_lag_ns,
        )
        fronts_by_answer = Counter(map(_answer_of, self._responses.values()))
        is_complete = not self._attempts_by_missing_front
        self.result = RoundResult(
            rule_version=self._request.rule_version,
            is_unanimous=is_complete and len(fronts_by_answer) == 1 and not divergences,
            has_fault=not self._responses or any(divergence.is_fault for divergence in divergences),
            duration_ns=now_ns - self._started_at_ns,
        )
        for divergence in divergences:
            yield from self._report(now_ns, divergence)
        yield from self._verdicts(divergences, fronts_by_answer)

    def _report(self, now_ns: int, divergence: Divergence) -> Iterator[CollectorOutput]:
        """Begin the descent to the value that differs, or report the divergence as it is."""
        round_id = self._request.round_id
        rule_version = self._request.rule_version
        reference = self._find_reference(divergence)
        if reference and len(self._descents) < MAX_DESCENTS:
            tree = TREE_BY_KIND[divergence.kind]
            descent = MerkleDescent(round_id, rule_version, divergence, reference, tree)
            self._descents.append(descent)
            yield from self._continue_descent(now_ns, descent)
        elif divergence.kind not in LAGGING_KINDS:
            yield Finding(
                round_id,
                rule_version,
                divergence.kind,
                divergence.front,
                divergence.is_fault,
                self._describe(divergence),
            )

    def _verdicts(
        self, divergences: list[Divergence], fronts_by_answer: Counter[_Answer]
    ) -> Iterator[CollectorOutput]:
        """Tell fronts that must be cautious, and cautious ones that agree with another front again."""
        reason_by_front = dict[str, DivergenceKind]()
        for divergence in divergences:
            if divergence.requires_caution:
                reason_by_front.setdefault(divergence.front, divergence.kind)
        diverging = {divergence.front for divergence in divergences}
        round_id = self._request.round_id
        for front, response in self._responses.items():
            number = response.rule_version
            if front in reason_by_front:
                reason = reason_by_front[front].value
                yield OutgoingMessage(front, ConsistencyVerdict(round_id, number, False, reason))
                continue
            agrees_with_another = fronts_by_answer[_answer_of(response)] > 1
            if response.is_cautious and front not in diverging and agrees_with_another:
                yield OutgoingMessage(front, ConsistencyVerdict(round_id, number, True))

    def _find_reference(self, divergence: Divergence) -> str:
        """The front whose tree the diverging one is compared with; empty where there is none."""
        tree = TREE_BY_KIND.get(divergence.kind)
        if tree is None or not divergence.affects_decisions:
            return ""
        if tree is TreeKind.DECISIONS:
            return self._find_decision_reference(divergence.front)
        return divergence.reference or self._find_input_reference(divergence.front, tree)

    def _find_decision_reference(self, diverging: str) -> str:
        """Among fronts with equal inputs and other decisions, one with the most frequent decisions."""
        own = self._responses[diverging]
        peers = {
            f: r.decisions_digest
            for f, r in self._responses.items()
            if input_digests(r) == input_digests(own)
        }
        counts = Counter(peers.values())
        others = [front for front, digest in peers.items() if digest != own.decisions_digest]
        return min(others, key=lambda front: (-counts[peers[front]], front), default="")

    def _find_input_reference(self, diverging: str, tree: TreeKind) -> str:
        """The first front by name that holds another content of the same input."""
        own = _compared_input(tree, self._responses[diverging])
        inputs = {front: _compared_input(tree, response) for front, response in self._responses.items()}
        others = (f for f, its in inputs.items() if its.number == own.number and its.digest != own.digest)
        return min(others, default="")

    def _describe(self, divergence: Divergence) -> DivergentValue:
        """The value that differs, as far as the digests themselves tell it."""
        own = self._responses[divergence.front]
        reference = self._responses.get(divergence.reference)
        match divergence.kind:
            case DivergenceKind.BUILD:
                return DivergentValue("build", "", own.build, reference.build if reference else "")
            case DivergenceKind.UNEXPLAINED_DECISION:
                return DivergentValue("decisions", "", str(own.unexplained_decisions), "0")
            case DivergenceKind.STALE_RANKINGS:
                return DivergentValue("rankings", "", str(own.stale_rankings), "0")
            case DivergenceKind.OUTDATED_LIST:
                revision = reference_list_revision(self._responses)
                return DivergentValue("list", "revision", str(own.list_revision), str(revision))
            case DivergenceKind.HASH_FUNCTION:
                return _describe_canary(own.hash_canary, (reference or own).hash_canary)
            case DivergenceKind.FLOAT_ARITHMETIC:
                return _describe_canary(own.float_canary, (reference or own).float_canary)
            case _:
                return DivergentValue()


@dataclass(slots=True, frozen=True)
class _ComparedInput:
    """Fronts with the same number must have the same digest."""

    number: int
    digest: bytes


def _compared_input(tree: TreeKind, response: DigestResponse) -> _ComparedInput:
    if tree is TreeKind.RULE_VERSION:
        return _ComparedInput(response.rule_version, response.rule_version_digest)
    if tree is TreeKind.ENDPOINTS:
        return _ComparedInput(response.list_revision, response.endpoints_digest)
    return _ComparedInput(0, response.settings_digest)


def _answer_of(response: DigestResponse) -> _Answer:
    return _Answer(input_digests(response), response.decisions_digest)


def _describe_canary(diverging: bytes, reference: bytes) -> DivergentValue:
    return DivergentValue(
        "canary", "", diverging[:DIGEST_PREFIX_BYTES].hex(), reference[:DIGEST_PREFIX_BYTES].hex()
    )
