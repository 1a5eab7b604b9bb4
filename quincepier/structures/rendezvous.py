"""Weighted rendezvous hashing (Thaler and Ravishankar 1998; weights as -ln(u) / weight)."""

from __future__ import annotations

import heapq
import math
from collections.abc import Mapping
from typing import TypeVar

from quincepier.keys import mix

Node = TypeVar("Node")


def rank(
    key: int, weights: Mapping[Node, float], ids: Mapping[Node, int], count: int | None = None
) -> list[Node]:
    """All nodes, each first for a part of the keys by its weight; the others keep theirs as one goes.

    With `count` the first of them alone, so many.
    """
    draws = {node: -math.log((mix(key, ids[node]) + 1) / 2**64) / weights[node] for node in ids}
    if count is None or count >= len(draws):
        return sorted(ids, key=draws.__getitem__)
    return heapq.nsmallest(count, ids, key=draws.__getitem__)
