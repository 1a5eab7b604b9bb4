"""One comparison round at its collector: requests, retries, comparison, descents and verdicts."""

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
MAX_DESCENTS = 8  # per round; further divergences are reported without the differing value
MAX_LIST_REVISIONS = 256
NEVER_NS = 1 << 62
DIGEST_PREFIX_BYTES = 4  # of a canary digest shown in a finding


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
        is_unanimous: Whether all fronts responded, with equal inputs and equal decisions.
        has_fault: Whether a front has a fault, or no front responded.
        duration_ns: Time until all fronts had responded or all retries were used.
    """

    rule_version: int
    is_unanimous: bool
    has_fault: bool
    duration_ns: int


@dataclass(slots=True, frozen=True)
class _DecisionDigests:
    """Digests that are equal at consistent fronts."""

    inputs: DecisionInputDigests
    decisions_digest: bytes


@dataclass(slots=True, frozen=True)
class _ReferenceRevision:
    """A list revision and the time at which it first was the reference revision."""

    revision: int
    since_ns: int


class ListRevisionHistory:
    """The times at which revisions of the endpoint list became the reference for the fronts' lag."""

    def __init__(self) -> None:
        self._history: deque[_ReferenceRevision] = deque(maxlen=MAX_LIST_REVISIONS)

    def record(self, now_ns: int, revision: int) -> None:
        """Store the current reference revision."""
        if not self._history or revision > self._history[-1].revision:
            self._history.append(_ReferenceRevision(revision, now_ns))

    def lag_ns(self, now_ns: int, revision: int) -> int:
        """Return the nanoseconds since a revision was superseded; 0 if it was not."""
        return next((now_ns - newer.since_ns for newer in self._history if newer.revision > revision), 0)


class DigestCollector:
    """Collects the digests of all fronts, compares them and locates the values that differ."""

    def __init__(
        self,
        now_ns: int,
        request: DigestRequest,
        members: frozenset[str],
        list_history: ListRevisionHistory,
        max_list_lag_ns: int,
    ) -> None:
        self.result: RoundResult | None = None  # set when the digests have been compared
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
        """Time at which `on_tick` is due next."""
        if self.result is None:
            return self._next_request_ns
        due = (descent.requested_at_ns + RETRY_INTERVAL_NS for descent in self._descents)
        return min(due, default=NEVER_NS)

    def on_tick(self, now_ns: int) -> Iterator[CollectorOutput]:
        """Send the requests that are due, including retries of requests without a response."""
        if self.result is None and now_ns >= self._next_request_ns:
            yield from self._request_digests(now_ns)
        for descent in list(self._descents):
            if now_ns >= descent.requested_at_ns + RETRY_INTERVAL_NS:
                yield from self._continue_descent(now_ns, descent)

    def on_digest_response(
        self, now_ns: int, sender: str, response: DigestResponse
    ) -> Iterator[CollectorOutput]:
        """Store a front's digests; compare all digests when none is missing."""
        if response.round_id != self._request.round_id or self.result is not None:
            return
        if self._attempts_by_missing_front.pop(sender, None) is None:
            return
        self._responses[sender] = response
        if not self._attempts_by_missing_front:
            yield from self._compare_digests(now_ns)

    def on_tree_response(
        self, now_ns: int, sender: str, response: SubtreeResponse | LeafResponse
    ) -> Iterator[CollectorOutput]:
        """Pass a subtree or leaf to the descents that requested it."""
        if response.round_id != self._request.round_id:
            return
        for descent in list(self._descents):
            if descent.on_response(sender, response):
                yield from self._continue_descent(now_ns, descent)

    def _request_digests(self, now_ns: int) -> Iterator[CollectorOutput]:
        if all(attempts >= MAX_ATTEMPTS for attempts in self._attempts_by_missing_front.values()):
            yield from self._compare_digests(now_ns)
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

    def _compare_digests(self, now_ns: int) -> Iterator[CollectorOutput]:
        """Compare the received digests, report divergences and send verdicts."""
        self._list_history.record(now_ns, reference_list_revision(self._responses))
        divergences = find_divergences(
            self._responses,
            lambda revision: self._list_history.lag_ns(now_ns, revision),
            self._max_list_lag_ns,
        )
        front_count_by_digests = Counter(map(_decision_digests, self._responses.values()))
        is_complete = not self._attempts_by_missing_front
        self.result = RoundResult(
            rule_version=self._request.rule_version,
            is_unanimous=is_complete and len(front_count_by_digests) == 1 and not divergences,
            has_fault=not self._responses or any(divergence.is_fault for divergence in divergences),
            duration_ns=now_ns - self._started_at_ns,
        )
        for divergence in divergences:
            yield from self._report(now_ns, divergence)
        yield from self._send_verdicts(divergences, front_count_by_digests)

    def _report(self, now_ns: int, divergence: Divergence) -> Iterator[CollectorOutput]:
        """Start the descent to the differing value, or report the divergence without it."""
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

    def _send_verdicts(
        self, divergences: list[Divergence], front_count_by_digests: Counter[_DecisionDigests]
    ) -> Iterator[CollectorOutput]:
        """Notify fronts that must become cautious, and cautious fronts that agree with others again."""
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
            agrees_with_another = front_count_by_digests[_decision_digests(response)] > 1
            if response.is_cautious and front not in diverging and agrees_with_another:
                yield OutgoingMessage(front, ConsistencyVerdict(round_id, number, True))

    def _find_reference(self, divergence: Divergence) -> str:
        """Return the front with whose tree the diverging front's is compared; empty if there is none."""
        tree = TREE_BY_KIND.get(divergence.kind)
        if tree is None or not divergence.affects_decisions:
            return ""
        if tree is TreeKind.DECISIONS:
            return self._find_decision_reference(divergence.front)
        return divergence.reference or self._find_input_reference(divergence.front, tree)

    def _find_decision_reference(self, diverging: str) -> str:
        """Return a front with equal inputs and with the most frequent other decisions."""
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
        """Return the first front by name whose content of the same input differs."""
        own = _compared_input(tree, self._responses[diverging])
        inputs = {front: _compared_input(tree, response) for front, response in self._responses.items()}
        others = (f for f, peer in inputs.items() if peer.number == own.number and peer.digest != own.digest)
        return min(others, default="")

    def _describe(self, divergence: Divergence) -> DivergentValue:
        """Return the differing value if the digest responses contain it, else an empty value."""
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
    """Number and digest of an input; fronts with the same number must have the same digest."""

    number: int
    digest: bytes


def _compared_input(tree: TreeKind, response: DigestResponse) -> _ComparedInput:
    if tree is TreeKind.RULE_VERSION:
        return _ComparedInput(response.rule_version, response.rule_version_digest)
    if tree is TreeKind.ENDPOINTS:
        return _ComparedInput(response.list_revision, response.endpoints_digest)
    return _ComparedInput(0, response.settings_digest)


def _decision_digests(response: DigestResponse) -> _DecisionDigests:
    return _DecisionDigests(input_digests(response), response.decisions_digest)


def _describe_canary(diverging: bytes, reference: bytes) -> DivergentValue:
    return DivergentValue(
        "canary", "", diverging[:DIGEST_PREFIX_BYTES].hex(), reference[:DIGEST_PREFIX_BYTES].hex()
    )
