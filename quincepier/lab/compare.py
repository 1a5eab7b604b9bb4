"""Two sets of runs, paired by seed: the mean difference, an interval by bootstrap, a verdict in words."""

from __future__ import annotations

import random
from collections.abc import Mapping
from enum import Enum
from statistics import fmean

import msgspec

RESAMPLES, LEVEL = 4000, 0.95
PAIRS_LEAST = 3  # fewer tell nothing apart


class Verdict(Enum):
    BETTER = "better"
    WORSE = "worse"
    SAME = "not told apart"


class Difference(msgspec.Struct, frozen=True):
    """Of the second over the first; `low` and `high` bound the mean difference."""

    pairs: int
    first: float
    second: float
    mean: float
    low: float
    high: float
    verdict: Verdict


def interval(values: list[float], seed: int = 1) -> tuple[float, float]:
    """Percentile bootstrap of the mean (Efron and Tibshirani, 1993, chapter 13), seeded."""
    chance, count = random.Random(seed), len(values)
    means = sorted(fmean(chance.choices(values, k=count)) for _ in range(RESAMPLES))
    cut = int((1 - LEVEL) / 2 * RESAMPLES)
    return means[cut], means[-cut - 1]


def compare(
    first: Mapping[int, float], second: Mapping[int, float], more_is_better: bool = True
) -> Difference:
    """Figures by seed. Seeds that only one side has are passed over; ValueError where none is in both."""
    seeds = sorted(first.keys() & second.keys())
    if not seeds:
        raise ValueError("no seed is in both")
    differences = [second[s] - first[s] for s in seeds]
    low, high = interval(differences)
    verdict = Verdict.SAME
    if len(seeds) >= PAIRS_LEAST and (low > 0 or high < 0):
        verdict = Verdict.BETTER if (low > 0) == more_is_better else Verdict.WORSE
    means = fmean(first[s] for s in seeds), fmean(second[s] for s in seeds)
    return Difference(len(seeds), *means, fmean(differences), low, high, verdict)
