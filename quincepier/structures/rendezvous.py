"""Weighted rendezvous hashing (Thaler and Ravishankar 1998; weights as -ln(u) / weight)."""

from __future__ import annotations

import heapq
import math
from collections.abc import Iterable, Mapping
from typing import TypeVar

from quincepier.keys import mix, mix_each

Node = TypeVar("Node")
CANDIDATES = 4  # times the nodes asked for, of many: hardly ever are the first not among these
MAX_HASH = 2**64 - 1
ROUNDING = 1e-9  # of the arithmetic: more than its error


def rank(
    key: int, weights: Mapping[Node, float], ids: Mapping[Node, int], count: int | None = None
) -> list[Node]:
    """All nodes, each first for a part of the keys by its weight; the others keep theirs as one goes.

    With `count` the first of them alone, so many.
    """
    if count is None or count >= len(ids):
        draws = _draws(key, weights, ids, ids)
        return sorted(ids, key=draws.__getitem__)
    likely = _likely(key, weights, ids, CANDIDATES * count)
    if likely is not None:
        candidates, bound = likely
        draws = _draws(key, weights, ids, candidates)
        first = heapq.nsmallest(count, candidates, key=draws.__getitem__)
        if draws[first[-1]] < bound:
            return first
    draws = _draws(key, weights, ids, ids)
    return heapq.nsmallest(count, ids, key=draws.__getitem__)


def _draws(
    key: int, weights: Mapping[Node, float], ids: Mapping[Node, int], nodes: Iterable[Node]
) -> dict[Node, float]:
    return {node: -math.log((mix(key, ids[node]) + 1) / 2**64) / weights[node] for node in nodes}


def _likely(
    key: int, weights: Mapping[Node, float], ids: Mapping[Node, int], count: int
) -> tuple[list[Node], float] | None:
    """Nodes among which the first ones are, and a draw that no other node is below; None for few nodes.

    A draw -ln(u) / w is never below (1 - u) / w, which needs no logarithm.
    """
    if len(ids) <= count:
        return None
    hashes = mix_each(key, ids.values())
    least = {node: (MAX_HASH - value) / weights[node] for node, value in zip(ids, hashes, strict=True)}
    candidates = heapq.nsmallest(count, ids, key=least.__getitem__)
    return candidates, least[candidates[-1]] / 2**64 * (1 - ROUNDING)
