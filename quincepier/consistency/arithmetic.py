"""Hash and floating-point arithmetic used for placement, and canary digests of both.

Weighted rendezvous hashing after Thaler and Ravishankar, "Using Name-Based Mappings to Increase Hit Rates"
(IEEE/ACM Transactions on Networking, 1998), with the score -ln(u) / weight.
"""

from __future__ import annotations

import math
import struct
from collections.abc import Callable
from dataclasses import dataclass

import xxhash

from quincepier.keys import stable_hash

HashFunction = Callable[..., int]  # maps integers to a 64-bit hash
ScoreFunction = Callable[[int, float], float]  # maps a hash and a weight to a score

CANARY_HASHES = 64
CANARY_SCORES = 256
GOLDEN_RATIO_64 = 0x9E3779B97F4A7C15  # 2^64 divided by the golden ratio; multiples spread evenly
MASK_64 = (1 << 64) - 1


def rendezvous_score(hash_value: int, weight: float) -> float:
    """Score an endpoint for a key; the endpoint with the lowest score comes first.

    Args:
        hash_value: 64-bit hash of the key and the endpoint.
        weight: Relative share of the keys for which the endpoint comes first.
    """
    return -math.log((hash_value + 1) / 2**64) / weight


@dataclass(slots=True, frozen=True)
class Arithmetic:
    """The functions used to compute every rule decision; tests replace them to inject faults."""

    hash: HashFunction = stable_hash
    score: ScoreFunction = rendezvous_score


STANDARD_ARITHMETIC = Arithmetic()


@dataclass(slots=True, frozen=True)
class CanaryDigests:
    """Digests (16 bytes each) of fixed computations; fronts with equal arithmetic have equal digests."""

    hash: bytes
    floats: bytes


def compute_canaries(arithmetic: Arithmetic = STANDARD_ARITHMETIC) -> CanaryDigests:
    """Compute the canary digests; a difference of one bit in any hash or score changes them."""
    hashes = [arithmetic.hash(n, 3 * n + 1, 7) for n in range(CANARY_HASHES)]
    arguments = ((n * GOLDEN_RATIO_64 & MASK_64, 0.1 + n / 7) for n in range(1, CANARY_SCORES + 1))
    scores = [arithmetic.score(hash_value, weight) for hash_value, weight in arguments]
    return CanaryDigests(
        hash=xxhash.xxh3_128_digest(struct.pack(f"<{CANARY_HASHES}Q", *hashes)),
        floats=xxhash.xxh3_128_digest(struct.pack(f"<{CANARY_SCORES}d", *scores)),
    )
