"""A front's responses to collectors: one snapshot for each collector, computed in slices."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Container
from dataclasses import dataclass

from quincepier.consistency.arithmetic import Arithmetic
from quincepier.consistency.decision import DecisionInputs, RankingCache
from quincepier.consistency.errors import ConsistencyError
from quincepier.consistency.messages import (
    DigestRequest,
    DigestResponse,
    LeafRequest,
    LeafResponse,
    SubtreeRequest,
    SubtreeResponse,
)
from quincepier.consistency.snapshot import Snapshot

# Collectors whose last round is kept; the round with the oldest request is discarded first.
MAX_COLLECTORS = 8
# A collector may start another round after the round interval divided by this number.
MIN_INTERVAL_DIVISOR = 8


@dataclass(slots=True)
class _Round:
    """The last round of one collector."""

    snapshot: Snapshot
    started_at_ns: int
    response: DigestResponse | None = None


class DigestResponder:
    """Keeps the last round of each collector and responds to its requests."""

    def __init__(
        self,
        name: str,
        round_interval_ns: int,
        arithmetic: Arithmetic,
        ranking_cache: RankingCache | None,
    ) -> None:
        self.rejected_requests = 0
        self._name = name
        self._round_interval_ns = round_interval_ns
        self._arithmetic = arithmetic
        self._ranking_cache = ranking_cache
        self._round_by_collector: OrderedDict[str, _Round] = OrderedDict()

    @property
    def has_work(self) -> bool:
        """Whether a snapshot is still incomplete."""
        return any(not round_.snapshot.is_complete for round_ in self._round_by_collector.values())

    def retain_collectors(self, members: Container[str]) -> None:
        """Discard the rounds of collectors that are no longer members."""
        for collector in [name for name in self._round_by_collector if name not in members]:
            del self._round_by_collector[collector]

    def on_digest_request(
        self, now_ns: int, collector: str, request: DigestRequest, inputs: DecisionInputs | None
    ) -> DigestResponse | None:
        """Start a round, or return its response, if complete, when the collector repeats the request."""
        previous = self._round_by_collector.get(collector)
        if previous is not None and previous.snapshot.request.round_id == request.round_id:
            return previous.response
        is_early = previous is not None and self._is_early(now_ns, previous)
        if inputs is None or (is_early and collector != self._name):
            self.rejected_requests += is_early
            return None
        snapshot = Snapshot(request, inputs, self._arithmetic, self._ranking_cache)
        self._round_by_collector[collector] = _Round(snapshot, now_ns)
        self._round_by_collector.move_to_end(collector)
        while len(self._round_by_collector) > MAX_COLLECTORS:
            self._round_by_collector.popitem(last=False)
        return None

    def on_subtree_request(self, collector: str, request: SubtreeRequest) -> SubtreeResponse:
        """Return a subtree of the collector's round.

        Raises:
            ConsistencyError: The round is over or not complete.
        """
        tree = self._find_snapshot(collector, request.round_id).tree(request.tree)
        subtree = tree.subtree(request.path, request.expand)
        return SubtreeResponse(request.round_id, request.tree, request.path, subtree.children, subtree.leaves)

    def on_leaf_request(self, collector: str, request: LeafRequest) -> LeafResponse:
        """Return a leaf of the collector's round.

        Raises:
            ConsistencyError: The round is over or not complete, or there is no such leaf.
        """
        return self._find_snapshot(collector, request.round_id).to_leaf_response(request.tree, request.label)

    def advance(self, max_hashes: int) -> str | None:
        """Compute a slice of the oldest incomplete snapshot; return its collector when it is complete."""
        for collector, round_ in self._round_by_collector.items():
            if not round_.snapshot.is_complete:
                return collector if round_.snapshot.advance(max_hashes) else None
        return None

    def complete(
        self, collector: str, unexplained_decisions: int, stale_rankings: int, diverged_version: int | None
    ) -> DigestResponse:
        """Return the response of a complete snapshot and keep it for retries.

        Args:
            collector: Collector of the round.
            unexplained_decisions: Number of unexplained decisions since the last response.
            stale_rankings: Number of stale rankings since the last response.
            diverged_version: Rule version at which this front was found to diverge, if any.
        """
        round_ = self._round_by_collector[collector]
        is_cautious = diverged_version == round_.snapshot.inputs.rule_version.number
        response = round_.snapshot.to_digest_response(unexplained_decisions, stale_rankings, is_cautious)
        round_.response = response
        return response

    def _is_early(self, now_ns: int, previous: _Round) -> bool:
        return now_ns - previous.started_at_ns < self._round_interval_ns // MIN_INTERVAL_DIVISOR

    def _find_snapshot(self, collector: str, round_id: int) -> Snapshot:
        round_ = self._round_by_collector.get(collector)
        if round_ is None or round_.snapshot.request.round_id != round_id or not round_.snapshot.is_complete:
            raise ConsistencyError("round is over or not complete", str(round_id))
        return round_.snapshot
