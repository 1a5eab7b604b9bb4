"""Weighted rendezvous hashing (Thaler and Ravishankar 1998; weights as -ln(u) / weight)."""

from __future__ import annotations

import math
from collections.abc import Mapping
from typing import TypeVar

from quincepier.keys import mix

Node = TypeVar("Node")


def rank(key: int, weights: Mapping[Node, float], ids: Mapping[Node, int]) -> list[Node]:
    """All nodes, each first for a part of the keys by its weight; the others keep theirs as one goes."""
    draws = {node: -math.log((mix(key, ids[node]) + 1) / 2**64) / weights[node] for node in ids}
    return sorted(ids, key=draws.__getitem__)
