"""Statistical comparison of a tenant's two shards during a migration, over the same seconds.

Proportions at the target shard are compared with those at the source by a one-sided two-proportion z-test of
non-inferiority (Schuirmann 1987). A share of priority weight is treated as a proportion of equal requests. A
failure needs far more certainty than a success, since every planning round tests for it.
"""

from __future__ import annotations

import math
from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum

from quincepier.rules import Migration, Observations, ServiceStatistics
from quincepier.tenancy.section import DEFAULT_SHARD_NAME, MS

PASS_Z_SCORE = 1.645  # one-sided: a false pass in 20
FAIL_Z_SCORE = 4.0  # a false failure in 30,000
VARIANCE_INFLATION = 2.0  # outcomes of requests of the same second are correlated
MIN_RESPONSES = 200  # at each shard
# Margins of non-inferiority: the most by which a proportion may be worse at the target.
MAX_LATE_INCREASE = 0.02
MAX_REJECTED_INCREASE = 0.02
MAX_MISS_INCREASE = 0.10
MAX_ORIGIN_FETCH_INCREASE = 0.3  # as a share of the source's origin fetches per response
MIN_ORIGIN_FETCH_MARGIN = 0.05  # origin fetches per response
MAX_SUMMARY_CHARS = 200


class VerificationVerdict(Enum):
    """The outcome of a comparison of statistics."""

    PASS = "passes"
    INCONCLUSIVE = "inconclusive"
    FAIL = "fails"


@dataclass(slots=True, frozen=True)
class VerificationResult:
    """A verdict and the compared measures that led to it."""

    verdict: VerificationVerdict
    reasons: tuple[str, ...]

    @property
    def summary(self) -> str:
        """One line for the log and for the migration's reason."""
        return f"{self.verdict.value}: {'; '.join(self.reasons)}"[:MAX_SUMMARY_CHARS]


@dataclass(slots=True, frozen=True)
class Sample:
    """A proportion of bad outcomes among `count` outcomes; with count 0 it is known exactly."""

    proportion: float
    count: int = 0


@dataclass(slots=True, frozen=True)
class _Comparison:
    """One measure at the shard under test, compared with its reference."""

    measure: str
    verdict: VerificationVerdict
    proportion: float
    reference: float

    @property
    def summary(self) -> str:
        """The measure and both proportions as text."""
        return f"{self.measure} {self.proportion:.3f} against {self.reference:.3f}"


def sum_statistics(observations: Observations, tenant: str, shard: str | None = None) -> ServiceStatistics:
    """Sum a tenant's statistics over all reports.

    Args:
        observations: The reports of all fronts.
        tenant: A tenant's name, or "" for all requests.
        shard: A shard as rule versions name it, or None for all shards. Reports name the default shard
            `DEFAULT_SHARD_NAME`, since they use "" for all shards.
    """
    shard_name = "" if shard is None else shard or DEFAULT_SHARD_NAME
    responses = rejected = hits = origin_fetches = 0
    requested_weight = on_time_weight = 0.0
    for report in observations.report_by_front.values():
        for statistics in report.service_statistics:
            if (statistics.tenant, statistics.shard) != (tenant, shard_name):
                continue
            responses += statistics.responses
            requested_weight += statistics.requested_weight
            on_time_weight += statistics.on_time_weight
            rejected += statistics.rejected
            hits += statistics.hits
            origin_fetches += statistics.origin_fetches
    return ServiceStatistics(
        tenant, shard_name, responses, requested_weight, on_time_weight, rejected, hits, origin_fetches
    )


def late_ratio(statistics: ServiceStatistics) -> float:
    """Return the share of priority weight that was not served within its latency objective."""
    if statistics.requested_weight <= 0:
        return 0.0
    return 1 - statistics.on_time_weight / statistics.requested_weight


def compare_proportions(sample: Sample, reference: Sample, margin: float) -> VerificationVerdict:
    """Test whether a proportion of bad outcomes exceeds a reference by no more than the margin."""
    variance = VARIANCE_INFLATION * (_variance(sample) + _variance(reference))
    standard_error = math.sqrt(variance)
    increase = sample.proportion - reference.proportion
    if increase - FAIL_Z_SCORE * standard_error > margin:
        return VerificationVerdict.FAIL
    if increase + PASS_Z_SCORE * standard_error <= margin:
        return VerificationVerdict.PASS
    return VerificationVerdict.INCONCLUSIVE


def _variance(sample: Sample) -> float:
    if not sample.count:
        return 0.0
    # Laplace smoothing, so that a proportion of 0 or 1 does not have a variance of 0.
    smoothed = (sample.proportion * sample.count + 1) / (sample.count + 2)
    return smoothed * (1 - smoothed) / sample.count


def counts_cover_active_version(observations: Observations) -> bool:
    """Whether the counts of all reports were collected while the newest version was active."""
    return all(
        report.window_ms * MS <= observations.active_for_ns
        for report in observations.report_by_front.values()
    )


def compare_shards(
    observations: Observations, migration: Migration, include_cache_hits: bool
) -> VerificationResult:
    """Compare the tenant's requests at the target shard with those at the source.

    Args:
        observations: The reports of all fronts.
        migration: Names the tenant and both shards.
        include_cache_hits: Compare hits and origin fetches too. Both are worse as long as the target's caches
            do not hold the moved keys.
    """
    target = sum_statistics(observations, migration.tenant, migration.target_shard)
    source = sum_statistics(observations, migration.tenant, migration.source_shard)
    if target.responses < MIN_RESPONSES or source.responses < MIN_RESPONSES:
        missing = f"{target.responses} and {source.responses} responses, {MIN_RESPONSES} at each shard needed"
        return VerificationResult(VerificationVerdict.INCONCLUSIVE, (missing,))
    comparisons = [_compare_late(target, source), _compare_rejected(target, source)]
    if include_cache_hits:
        comparisons += [_compare_misses(target, source), _compare_origin_fetches(target, source)]
    return _worst_result(comparisons)


def _compare_late(target: ServiceStatistics, source: ServiceStatistics) -> _Comparison:
    return _compare("late", _late_sample(target), _late_sample(source), MAX_LATE_INCREASE)


def _compare_rejected(target: ServiceStatistics, source: ServiceStatistics) -> _Comparison:
    sample = Sample(target.rejected / target.responses, target.responses)
    reference = Sample(source.rejected / source.responses, source.responses)
    return _compare("rejected", sample, reference, MAX_REJECTED_INCREASE)


def _compare_misses(target: ServiceStatistics, source: ServiceStatistics) -> _Comparison:
    sample = Sample(1 - target.hits / target.responses, target.responses)
    reference = Sample(1 - source.hits / source.responses, source.responses)
    return _compare("cache misses", sample, reference, MAX_MISS_INCREASE)


def _compare_origin_fetches(target: ServiceStatistics, source: ServiceStatistics) -> _Comparison:
    source_rate = source.origin_fetches / source.responses
    margin = max(MAX_ORIGIN_FETCH_INCREASE * source_rate, MIN_ORIGIN_FETCH_MARGIN)
    sample = Sample(min(target.origin_fetches / target.responses, 1.0), target.responses)
    return _compare("origin fetches", sample, Sample(min(source_rate, 1.0), source.responses), margin)


def _late_sample(statistics: ServiceStatistics) -> Sample:
    return Sample(late_ratio(statistics), statistics.responses)


def _compare(measure: str, sample: Sample, reference: Sample, margin: float) -> _Comparison:
    verdict = compare_proportions(sample, reference, margin)
    return _Comparison(measure, verdict, sample.proportion, reference.proportion)


def compare_with_baseline(observations: Observations, tenants: Iterable[str]) -> VerificationResult:
    """Compare the late ratio of each tenant ("" for all) with its baseline; skip those without a baseline."""
    comparisons = []
    for tenant in tenants:
        statistics = sum_statistics(observations, tenant)
        baseline = observations.baseline_on_time_ratio_by_tenant.get(tenant)
        if baseline is not None and statistics.responses >= MIN_RESPONSES:
            reference = Sample(1 - baseline)
            comparisons.append(
                _compare(f"{tenant or 'all'} late", _late_sample(statistics), reference, MAX_LATE_INCREASE)
            )
    if not comparisons:
        return VerificationResult(VerificationVerdict.PASS, ("no baseline of other tenants",))
    return _worst_result(comparisons)


def _worst_result(comparisons: list[_Comparison]) -> VerificationResult:
    for verdict in (VerificationVerdict.FAIL, VerificationVerdict.INCONCLUSIVE):
        if reasons := tuple(c.summary for c in comparisons if c.verdict is verdict):
            return VerificationResult(verdict, reasons)
    return VerificationResult(VerificationVerdict.PASS, tuple(c.summary for c in comparisons))


def verify_migration(observations: Observations, migration: Migration) -> VerificationResult:
    """Verify a migration at its verification step by all measures.

    A tenant without requests passes, since there is nothing to compare.
    """
    if not counts_cover_active_version(observations):
        return VerificationResult(
            VerificationVerdict.INCONCLUSIVE, ("not all counts are of the active version yet",)
        )
    if observations.is_consistent is False:
        return VerificationResult(VerificationVerdict.INCONCLUSIVE, ("fronts decide differently",))
    others = compare_with_baseline(observations, other_tenants(observations, migration))
    if others.verdict is not VerificationVerdict.PASS:
        return others
    if observations.report_by_front and not count_responses(observations, migration):
        return VerificationResult(VerificationVerdict.PASS, ("the tenant has no requests",))
    result = compare_shards(observations, migration, include_cache_hits=True)
    if result.verdict is VerificationVerdict.PASS and observations.is_consistent is None:
        return VerificationResult(
            VerificationVerdict.PASS, (*result.reasons, "whether fronts decide alike is not known")
        )
    return result


def other_tenants(observations: Observations, migration: Migration) -> list[str]:
    """Return all tenants with a baseline except the migrating one, and "" for all requests."""
    return sorted({*observations.baseline_on_time_ratio_by_tenant, ""} - {migration.tenant})


def count_responses(observations: Observations, migration: Migration) -> int:
    """Return the number of responses to the tenant from both shards."""
    source = sum_statistics(observations, migration.tenant, migration.source_shard)
    target = sum_statistics(observations, migration.tenant, migration.target_shard)
    return source.responses + target.responses
