"""Weighted rendezvous hashing (Thaler and Ravishankar 1998; weights as -ln(u) / weight)."""

from __future__ import annotations

import heapq
import math
from collections.abc import Mapping
from typing import Generic, TypeVar

from quincepier.keys import MASK, PackedNumbers

Node = TypeVar("Node")
# Expected number of candidate nodes per node that is to be returned; with it the candidates nearly always
# contain the first nodes of the whole ranking.
CANDIDATES = 4
ROUNDING = 1e-9  # relative margin that exceeds the rounding errors of the scores


class RendezvousGroup(Generic[Node]):
    """Ranks nodes for keys; prepared once for many keys.

    Each node has a score -ln(u) / weight for a key, where u is a hash of the key and the node in (0, 1].
    Nodes are ranked by ascending score.

    Args:
        weights: Weight of each node, above 0.
        ids: Integer id of each node, the same in every process.
    """

    def __init__(self, weights: Mapping[Node, float], ids: Mapping[Node, int]) -> None:
        self._nodes = list(ids)
        self._weights = [weights[node] for node in self._nodes]
        self._packed_ids = PackedNumbers(list(ids.values()))
        self._count = 0  # number of nodes to return for which the following attributes were computed
        self._bound = 0.0  # a node that is not a candidate has at least this score
        self._min_hashes: list[int] = []  # by node: the lowest hash with which it is a candidate
        self._min_hash = 0  # the lowest of these

    def rank(self, key: int, count: int | None = None) -> list[Node]:
        """Rank the nodes for a key.

        Each node is first for a share of the keys in proportion to its weight. If a node is removed, the
        order of the others does not change.

        Args:
            key: The key.
            count: Number of nodes to return, from the first; None: all.
        """
        if count is not None and CANDIDATES * count < len(self._nodes):
            first = self._rank_candidates(key, count)
            if first is not None:
                return first
        scores = self._scores(dict(enumerate(self._packed_ids.hash_each(key))))
        if count is None or count >= len(self._nodes):
            order = sorted(scores, key=scores.__getitem__)
        else:
            order = heapq.nsmallest(count, scores, key=scores.__getitem__)
        return [self._nodes[index] for index in order]

    def _rank_candidates(self, key: int, count: int) -> list[Node] | None:
        """Rank only the nodes with a high hash; None: the first nodes are not certain to be among them."""
        if self._count != count:
            self._prepare(count)
        hashes = self._packed_ids.hashes_at_least(key, self._min_hashes, self._min_hash)
        scores = self._scores(hashes)
        order = heapq.nsmallest(count, scores, key=scores.__getitem__)
        if len(order) < count or scores[order[-1]] >= self._bound:
            return None
        return [self._nodes[index] for index in order]

    def _prepare(self, count: int) -> None:
        """Compute the hashes from which nodes are candidates, so that CANDIDATES * count are expected.

        A score -ln(u) / w is never below (1 - u) / w, which needs no logarithm.
        """
        limit = CANDIDATES * count * MASK / sum(self._weights)
        self._count = count
        self._min_hashes = [MASK - math.ceil(limit * weight) + 1 for weight in self._weights]
        self._min_hash = min(self._min_hashes)
        self._bound = limit / 2**64 * (1 - ROUNDING)

    def _scores(self, hashes: dict[int, int]) -> dict[int, float]:
        weights = self._weights
        return {i: -math.log((h + 1) / 2**64) / weights[i] for i, h in hashes.items()}


def rank(
    key: int, weights: Mapping[Node, float], ids: Mapping[Node, int], count: int | None = None
) -> list[Node]:
    """Rank the nodes for a single key; see `RendezvousGroup.rank`."""
    return RendezvousGroup(weights, ids).rank(key, count)
