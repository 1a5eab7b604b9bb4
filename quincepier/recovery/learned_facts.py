"""Learned facts: what a router has learned, exported one by one, and restored after a restart.

A fact is restored as if it had been learned at its own time, so it decays with its usual half-life. A fact
that is older than its maximum age is not restored, and a restored fact expires when it reaches that age.
Facts that protect other machines (cold starts, purges, drains, ejections) only make a front more careful; if
their age is unknown they count as new. That a machine is healthy, warm or fast is never restored.

The fetch limit is not restored either: after a restart no object is known to be cached, so every request
counts as a fetch, and a limit that was low before the restart would shed hits (docs/recovery.md).
"""

from __future__ import annotations

import math
from collections.abc import Callable, Iterable, Iterator
from functools import partial
from typing import NamedTuple, Protocol

from quincepier import interface
from quincepier.interface import EndpointState
from quincepier.records import BaselineKey, Upstream
from quincepier.structures import Baseline, DecayingSum, RecencyMap, RunningMeans, ServedWork
from quincepier.upstream_table import UpstreamTable

NS_PER_S = 1_000_000_000
# Maximum ages in nanoseconds; those of cold starts and purges follow from the settings.
MAX_CLASS_AGE = 600 * NS_PER_S
MAX_WORK_AGE = 60 * NS_PER_S
MAX_SLOWNESS_AGE = 30 * NS_PER_S
MAX_EJECTION_AGE = 8 * NS_PER_S
MAX_DRAIN_AGE = 30 * NS_PER_S
PURGE_AGE_MARGIN = 2 * NS_PER_S  # beyond the time that a purge takes to settle
# Numbers of samples that restored estimates count as, however many they were made of.
RESTORED_TRANSFER_SAMPLES = 4
RESTORED_BASELINE_SAMPLES = 21  # the smallest number with which the minimum of a baseline is kept
MAX_RESTORED_SLOWNESS_WEIGHT = 2.0
MIN_EXPORTED_SLOWNESS_WEIGHT = 0.1
OWN_SAMPLES = 50  # own samples after which a restored mean no longer matters
MIN_WEIGHT = 1e-9  # avoids a division by zero


class LatencyEstimates(Protocol):
    """Transfer times and baseline latencies; `quincepier.policy.latency`."""

    transfer_times: RunningMeans
    baselines: dict[BaselineKey, Baseline]

    @property
    def slow_factor(self) -> float:
        """Multiple of the baseline from which an upstream is slow."""


class ServedWorkEstimates(Protocol):
    """The work that kinds of upstreams served; `quincepier.policy.slow_start`."""

    served: ServedWork


class ListedUpstreams(Protocol):
    """The upstreams of the endpoint list; `quincepier.policy.placement`."""

    table: UpstreamTable


class OutlierDetection(Protocol):
    """Ejection of upstreams; `quincepier.policy.outliers`."""

    def eject(self, upstream: Upstream) -> None:
        """Eject an upstream; one client request may try it at once."""


class FetchLimit(Protocol):
    """The concurrency limit of fetches."""

    limit: int


class PurgeTimes(Protocol):
    """When objects and groups were purged."""

    @property
    def purges(self) -> RecencyMap:
        """Times of purges, by (0, object) or (1, group)."""

    def on_purge(self, group: int, obj: int, age: int) -> None:
        """Record a purge that was made `age` nanoseconds ago."""


class LearningRouter(Protocol):
    """The parts of a router that hold learned facts; `quincepier.policy.Router` is one.

    Attributes:
        expiries: Times at which restored facts expire, ns, in ascending order, each with the function that
            discards the fact; the router calls the function at that time.
    """

    expiries: list[tuple[int, Callable[[], None]]]

    @property
    def fetch_limit(self) -> FetchLimit:
        """The concurrency limit of fetches."""

    @property
    def freshness(self) -> PurgeTimes:
        """When objects and groups were purged."""

    @property
    def now(self) -> int:
        """The time of the last event, in nanoseconds."""

    @property
    def settings(self) -> interface.Settings:
        """The settings."""

    @property
    def latency(self) -> LatencyEstimates:
        """Transfer times and baselines."""

    @property
    def slow_start(self) -> ServedWorkEstimates:
        """The work that kinds of upstreams served."""

    @property
    def placement(self) -> ListedUpstreams:
        """The listed upstreams."""

    @property
    def outliers(self) -> OutlierDetection:
        """Ejection of upstreams."""


class UpstreamSnapshot(NamedTuple):
    """The parts of an upstream's state that a fact may change."""

    started_at: int
    is_ejected: bool
    draining_until: int
    slowness_weight: float


def export_facts(router: LearningRouter) -> Iterator[interface.Learned]:
    """Yield all learned facts.

    Each is small, so that the caller can collect them over several turns of its event loop. The fetch limit
    is exported for information only: `restore_facts` ignores it.
    """
    yield interface.LearnedFetchLimit(router.fetch_limit.limit, 0)
    yield from _export_class_facts(router)
    yield from _export_served_work(router)
    yield from _export_endpoints(router)
    for (is_group, name), at in list(router.freshness.purges.items()):
        yield interface.LearnedPurge(name if is_group else 0, 0 if is_group else name, router.now - at)


def _export_class_facts(router: LearningRouter) -> Iterator[interface.Learned]:
    times = router.latency.transfer_times
    for cls, count in list(times.counts.items()):
        yield interface.LearnedTransferTime(cls, times.means[cls], count, 0)
    for (cls, is_cached, is_size_known), baseline in list(router.latency.baselines.items()):
        age = router.now - baseline.updated_at
        yield interface.LearnedLatency(
            cls, is_cached, is_size_known, baseline.mean, baseline.count, baseline.minimum, age
        )


def _export_served_work(router: LearningRouter) -> Iterator[interface.Learned]:
    now = router.now
    served = router.slow_start.served
    for kind, work in list(served.sums.items()):
        yield interface.LearnedServedWork(kind, work.total, now - served.since, now - work.updated_at)


def _export_endpoints(router: LearningRouter) -> Iterator[interface.Learned]:
    now = router.now
    for upstream in list(router.placement.table.by_id.values()):
        endpoint = upstream.endpoint
        slowness = upstream.slowness
        is_restarted = upstream.started_at > endpoint.started_at  # derived from its failures, not listed
        is_draining = endpoint.state is not EndpointState.READY or upstream.draining_until > now
        is_slowness_known = slowness.weight > MIN_EXPORTED_SLOWNESS_WEIGHT
        if is_slowness_known or is_restarted or upstream.is_ejected or is_draining:
            yield interface.LearnedEndpoint(
                endpoint.number,
                slowness.total,
                slowness.weight,
                now - slowness.updated_at if slowness.updated_at else 0,
                now - upstream.started_at if is_restarted else -1,
                0 if upstream.is_ejected else -1,
                0 if is_draining else -1,
            )


def restore_facts(router: LearningRouter, facts: Iterable[interface.Learned], age: int | None) -> int:
    """Restore facts that were exported before a restart.

    Args:
        router: The router that is given the facts.
        facts: The facts.
        age: Nanoseconds since they were exported; None where unknown.

    Returns:
        How many facts were restored.
    """
    restorer = _FactRestorer(router, age)
    restored_count = sum(restorer.restore(fact) for fact in facts)
    router.expiries = sorted([*router.expiries, *restorer.expiries], key=lambda expiry: expiry[0])
    return restored_count


class _FactRestorer:
    """Restores facts that were exported at the same time, and collects the times at which they expire."""

    def __init__(self, router: LearningRouter, age: int | None) -> None:
        self.router = router
        self.expiries = list[tuple[int, Callable[[], None]]]()
        self._now = router.now
        self._is_age_known = age is not None
        self._age = age or 0

    def restore(self, fact: interface.Learned) -> bool:
        """Restore a fact; return whether it was accepted (an endpoint: whether it changed the upstream)."""
        match fact:
            case interface.LearnedEndpoint():
                return self._restore_endpoint(fact)
            case interface.LearnedPurge():
                return self._restore_purge(fact)
        if not self._is_age_known:
            return False
        match fact:
            case interface.LearnedTransferTime():
                return self._restore_transfer_time(fact)
            case interface.LearnedLatency():
                return self._restore_baseline(fact)
            case interface.LearnedServedWork():
                return self._restore_served_work(fact)
        return False

    def _expire_at_age(self, age: int, max_age: int, undo: Callable[[], None]) -> None:
        self.expiries.append((self._now + max_age - age, undo))

    def _restore_transfer_time(self, fact: interface.LearnedTransferTime) -> bool:
        times = self.router.latency.transfer_times
        age = fact.age + self._age
        if age >= MAX_CLASS_AGE or fact.class_index >= len(times.means) or times.counts[fact.class_index]:
            return False
        count = min(fact.sample_count, RESTORED_TRANSFER_SAMPLES)
        times.means[fact.class_index] = fact.mean
        times.counts[fact.class_index] = count
        self._expire_at_age(
            age, MAX_CLASS_AGE, partial(_forget_transfer_time, times, fact.class_index, count)
        )
        return True

    def _restore_baseline(self, fact: interface.LearnedLatency) -> bool:
        latency = self.router.latency
        age = fact.age + self._age
        key = BaselineKey(fact.class_index, fact.is_hit, fact.is_relative)
        is_known_class = fact.class_index < len(latency.transfer_times.means)
        if age >= MAX_CLASS_AGE or not is_known_class or key in latency.baselines:
            return False
        count = min(fact.sample_count, RESTORED_BASELINE_SAMPLES)
        latency.baselines[key] = Baseline(fact.mean_log, count, fact.min_log, self._now - age)
        self._expire_at_age(age, MAX_CLASS_AGE, partial(_forget_baseline, latency, key, count))
        return True

    def _restore_served_work(self, fact: interface.LearnedServedWork) -> bool:
        served = self.router.slow_start.served
        age = fact.age + self._age
        if age >= MAX_WORK_AGE or fact.kind in served.sums:
            return False
        updated_at = self._now - age
        restored = DecayingSum(served.half_life, fact.work, updated_at)
        served.sums[fact.kind] = DecayingSum(served.half_life, fact.work, updated_at)
        served.since = min(served.since, updated_at - fact.span)
        undo = partial(_forget_served_work, self.router, fact.kind, restored)
        self._expire_at_age(age, MAX_WORK_AGE, undo)
        return True

    def _restore_purge(self, fact: interface.LearnedPurge) -> bool:
        age = fact.age + self._age
        if age > self.router.settings.purge_settles + PURGE_AGE_MARGIN:
            return False
        self.router.freshness.on_purge(fact.group, fact.object, age if self._is_age_known else 0)
        return True

    def _restore_endpoint(self, fact: interface.LearnedEndpoint) -> bool:
        upstream = self.router.placement.table.by_id.get(fact.number)
        if upstream is None:
            return False
        before = _snapshot(upstream)
        self._restore_cold_start(upstream, fact)
        self._restore_ejection(upstream, fact)
        self._restore_drain(upstream, fact)
        if self._is_age_known:
            self._restore_slowness(upstream, fact)
        return _snapshot(upstream) != before

    def _restore_cold_start(self, upstream: Upstream, fact: interface.LearnedEndpoint) -> None:
        """Restore a start that was derived from failures, but never one earlier than the listed start."""
        settings = self.router.settings
        age = fact.cold_start_age + self._age if self._is_age_known else 0
        if fact.cold_start_age >= 0 and age < max(settings.cold_time, settings.parent_cold_time):
            upstream.started_at = max(upstream.started_at, self._now - age, 1)

    def _restore_ejection(self, upstream: Upstream, fact: interface.LearnedEndpoint) -> None:
        """Restore an ejection; one client request may try the upstream at once."""
        if fact.ejection_age >= 0 and fact.ejection_age + self._age <= MAX_EJECTION_AGE:
            self.router.outliers.eject(upstream)

    def _restore_drain(self, upstream: Upstream, fact: interface.LearnedEndpoint) -> None:
        """Restore a drain, which lasts until the change log lists the endpoint again."""
        remaining = MAX_DRAIN_AGE - fact.drain_age - self._age
        if fact.drain_age >= 0 and remaining > 0:
            upstream.draining_until = self._now + remaining

    def _restore_slowness(self, upstream: Upstream, fact: interface.LearnedEndpoint) -> None:
        """Restore that an upstream is slow, if the router has no samples of its own."""
        age = fact.age + self._age
        slowness = upstream.slowness
        mean = fact.slowness / max(fact.slowness_weight, MIN_WEIGHT)
        is_slow = mean > math.log(self.router.latency.slow_factor)
        if age >= MAX_SLOWNESS_AGE or not is_slow or slowness.weight:
            return
        weight = min(fact.slowness_weight, MAX_RESTORED_SLOWNESS_WEIGHT)
        slowness.total = mean * weight
        slowness.weight = weight
        slowness.updated_at = self._now - age
        undo = partial(_forget_slowness, upstream, slowness.total, weight, slowness.updated_at)
        self._expire_at_age(age, MAX_SLOWNESS_AGE, undo)


def _snapshot(upstream: Upstream) -> UpstreamSnapshot:
    return UpstreamSnapshot(
        upstream.started_at, upstream.is_ejected, upstream.draining_until, upstream.slowness.weight
    )


def _forget_transfer_time(times: RunningMeans, cls: int, restored_count: int) -> None:
    if times.counts[cls] - restored_count < OWN_SAMPLES:
        times.reset(cls)


def _forget_baseline(latency: LatencyEstimates, key: BaselineKey, restored_count: int) -> None:
    baseline = latency.baselines.get(key)
    if baseline is not None and baseline.count - restored_count < OWN_SAMPLES:
        del latency.baselines[key]


def _forget_served_work(router: LearningRouter, kind: int, restored: DecayingSum) -> None:
    served = router.slow_start.served
    work = served.sums.setdefault(kind, DecayingSum(served.half_life, 0.0, router.now))
    work.total = max(work.total - restored.at(work.updated_at), 0.0)
    served.since = served.started_at


def _forget_slowness(upstream: Upstream, total: float, weight: float, updated_at: int) -> None:
    """Remove restored samples; all samples decay alike, so they can be subtracted exactly."""
    slowness = upstream.slowness
    decay = math.exp2((updated_at - slowness.updated_at) / slowness.half_life)
    slowness.total -= total * decay
    slowness.weight = max(slowness.weight - weight * decay, 0.0)
