"""Compares two sets of runs paired by seed: mean difference, bootstrap interval and verdict."""

from __future__ import annotations

import random
from collections.abc import Mapping
from enum import Enum
from statistics import fmean

import msgspec

RESAMPLE_COUNT, CONFIDENCE_LEVEL = 4000, 0.95
MIN_PAIRS = 3  # fewer pairs give no verdict


class Verdict(Enum):
    """Whether the second set of runs is better than the first."""

    BETTER = "better"
    WORSE = "worse"
    SAME = "not told apart"


class Difference(msgspec.Struct, frozen=True):
    """Difference of the second set to the first; `low` and `high` are the confidence interval of the mean."""

    pairs: int
    first: float
    second: float
    mean: float
    low: float
    high: float
    verdict: Verdict


def bootstrap_interval(values: list[float], seed: int = 1) -> tuple[float, float]:
    """Return a seeded percentile-bootstrap interval of the mean (Efron and Tibshirani, 1993, chapter 13)."""
    rng, count = random.Random(seed), len(values)
    means = sorted(fmean(rng.choices(values, k=count)) for _ in range(RESAMPLE_COUNT))
    tail_count = int((1 - CONFIDENCE_LEVEL) / 2 * RESAMPLE_COUNT)
    return means[tail_count], means[-tail_count - 1]


def compare(
    first: Mapping[int, float], second: Mapping[int, float], more_is_better: bool = True
) -> Difference:
    """Compare two sets of figures by seed; seeds that only one set has are ignored.

    Raises:
        ValueError: If no seed is in both sets.
    """
    seeds = sorted(first.keys() & second.keys())
    if not seeds:
        raise ValueError("no seed is in both")
    differences = [second[s] - first[s] for s in seeds]
    low, high = bootstrap_interval(differences)
    verdict = Verdict.SAME
    if len(seeds) >= MIN_PAIRS and (low > 0 or high < 0):
        verdict = Verdict.BETTER if (low > 0) == more_is_better else Verdict.WORSE
    means = fmean(first[s] for s in seeds), fmean(second[s] for s in seeds)
    return Difference(len(seeds), *means, fmean(differences), low, high, verdict)
