"""What a module has learned, told fact by fact, and how much of it still counts after a start.

The rule: a fact comes back as if it had been learned at its own time, so it fades by the clock that it always
fades by; past its bound it is not taken, and what was taken is taken back when its bound passes. Facts that
guard a rule (cold starts, purges, drains, machines set aside) only make a front more careful; where their age
is not known they count as new. That a machine is well, warm or quick is never recalled.

Nor is the bound: what is not known to be held counts as a fill, so a bound that was low before a start sheds
hits after it (docs/recovery.md).
"""

from __future__ import annotations

import math
from collections.abc import Callable, Iterable, Iterator
from functools import partial
from typing import Protocol

from quincepier import interface as io
from quincepier.interface import EndpointState
from quincepier.records import BaselineKey, Upstream
from quincepier.structures import Baseline, DecayingSum, RecencyMap, RunningMeans, ServedWork
from quincepier.upstream_table import UpstreamTable

SECOND = 1_000_000_000
# Bounds of age, ns; a cold start and a purge have those that the settings give them.
CLASS_MOST, WORK_MOST = 600 * SECOND, 60 * SECOND
PACE_MOST, ASIDE_MOST, LEAVING_MOST = 30 * SECOND, 8 * SECOND, 30 * SECOND
CLASS_SEEN = 4  # answers that a recalled mean counts as, however many it was made of
USUAL_SEEN = 21  # those of a recalled usual time: just so many that its least counts
PACE_SIGNS = 2.0  # signs that a recalled pace counts as at most; it is recalled where it says slow alone
OWN = 50  # answers of its own after which nothing of a recalled mean is left that matters


class LatencyKnowledge(Protocol):
    """Transfer times and baselines as a module knows them; `quincepier.policy.latency`."""

    transfer_times: RunningMeans
    baselines: dict[BaselineKey, Baseline]

    @property
    def slow_factor(self) -> float: ...  # times as usual from which an upstream is slow


class SlowStartKnowledge(Protocol):
    """What kinds of upstreams served; `quincepier.policy.slow_start`."""

    served: ServedWork


class PlacementKnowledge(Protocol):
    """The upstreams of the list; `quincepier.policy.placement`."""

    table: UpstreamTable


class Ejection(Protocol):
    """Ejects an upstream that is to be tried at once; `quincepier.policy.outliers`."""

    def eject(self, upstream: Upstream) -> None: ...


class Knows(Protocol):
    """What a module knows, as far as it is kept; `quincepier.policy.Router` is one."""

    bound: int
    lapses: list[tuple[int, Callable[[], None]]]  # when, and what is taken back then

    @property
    def purges(self) -> RecencyMap: ...
    @property
    def now(self) -> int: ...
    @property
    def settings(self) -> io.Settings: ...
    @property
    def latency(self) -> LatencyKnowledge: ...
    @property
    def slow_start(self) -> SlowStartKnowledge: ...
    @property
    def placement(self) -> PlacementKnowledge: ...
    @property
    def outliers(self) -> Ejection: ...

    def purged(self, group: int, obj: int, ago: int) -> None: ...


def export_facts(router: Knows) -> Iterator[io.Learned]:
    """All that counts after a start, small parts, so that a shell may take them in slices of time."""
    now = router.now
    yield io.LearnedFetchLimit(router.bound, 0)
    transfer_times = router.latency.transfer_times
    for cls, seen in list(transfer_times.counts.items()):
        yield io.LearnedTransferTime(cls, transfer_times.means[cls], seen, 0)
    for (cls, held, told), usual in list(router.latency.baselines.items()):
        ago = now - usual.updated_at
        yield io.LearnedLatency(cls, held, told, usual.mean, usual.count, usual.least, ago)
    served = router.slow_start.served
    for kind, work in list(served.sums.items()):
        yield io.LearnedServedWork(kind, work.total, now - served.since, now - work.updated_at)
    for node in list(router.placement.table.by_id.values()):
        found = node.started_at > node.endpoint.up_since  # by its failing, which no list told
        leaving = node.endpoint.state is not EndpointState.READY or node.draining_until > now
        fact = io.LearnedEndpoint(
            node.endpoint.cache,
            node.slowness.total,
            node.slowness.weight,
            now - node.slowness.updated_at if node.slowness.updated_at else 0,
            now - node.started_at if found else -1,
            0 if node.is_ejected else -1,
            0 if leaving else -1,
        )
        if fact.signs > 0.1 or found or node.is_ejected or leaving:
            yield fact
    for (of_group, name), at in list(router.purges.items()):
        yield io.LearnedPurge(name if of_group else 0, 0 if of_group else name, now - at)


def restore_facts(router: Knows, facts: Iterable[io.Learned], age: int | None) -> int:
    """Take facts that were told `age` nanoseconds ago (None: nobody knows). Returns how many counted."""
    taken, lapses = 0, list[tuple[int, Callable[[], None]]]()
    times = router.latency.transfer_times
    for fact in facts:
        if age is None and not isinstance(fact, io.LearnedEndpoint | io.LearnedPurge):
            continue
        old = fact.ago + (age or 0)
        match fact:
            case io.LearnedTransferTime(cls) if old < CLASS_MOST and cls < len(times.means):
                if not times.counts[cls]:
                    times.means[cls], times.counts[cls] = fact.mean, min(fact.seen, CLASS_SEEN)
                    undo = partial(_forget_class, times, cls, times.counts[cls])
                    lapses.append((router.now + CLASS_MOST - old, undo))
                    taken += 1
            case io.LearnedLatency(cls, held, told) if old < CLASS_MOST and cls < len(times.means):
                key, seen = BaselineKey(cls, held, told), min(fact.seen, USUAL_SEEN)
                if key not in router.latency.baselines:
                    router.latency.baselines[key] = Baseline(fact.mean, seen, fact.least, router.now - old)
                    undo = partial(_forget_usual, router, key, seen)
                    lapses.append((router.now + CLASS_MOST - old, undo))
                    taken += 1
            case io.LearnedServedWork(kind, work, span) if old < WORK_MOST:
                served = router.slow_start.served
                if kind not in served.sums:
                    served.sums[kind] = DecayingSum(served.half_life, work, router.now - old)
                    served.since = min(served.since, router.now - old - span)
                    undo = partial(_forget_work, router, kind, work, router.now - old)
                    lapses.append((router.now + WORK_MOST - old, undo))
                    taken += 1
            case io.LearnedEndpoint(cache) if cache in router.placement.table.by_id:
                taken += _machine(router, router.placement.table.by_id[cache], fact, age, lapses)
            case io.LearnedPurge(group, obj) if old <= router.settings.purge_settles + 2 * SECOND:
                router.purged(group, obj, old if age is not None else 0)
                taken += 1
    router.lapses = sorted([*router.lapses, *lapses], key=lambda lapse: lapse[0])
    return taken


def _machine(
    router: Knows,
    node: Upstream,
    fact: io.LearnedEndpoint,
    age: int | None,
    lapses: list[tuple[int, Callable[[], None]]],
) -> bool:
    now, known, before = (
        router.now,
        age or 0,
        (node.started_at, node.is_ejected, node.draining_until, node.slowness.weight),
    )
    since = fact.cold_ago + known if age is not None else 0
    if fact.cold_ago >= 0 and since < max(router.settings.cold_time, router.settings.parent_cold_time):
        node.started_at = max(node.started_at, now - since, 1)  # never earlier than the list tells
    if 0 <= fact.aside_ago + known <= ASIDE_MOST and fact.aside_ago >= 0:  # one request tries it
        router.outliers.eject(node)
    if fact.leaving_ago >= 0 and (left := LEAVING_MOST - fact.leaving_ago - known) > 0:
        node.draining_until = now + left  # until the log names it anew
    old, slow = fact.ago + known, fact.slowed / max(fact.signs, 1e-9)
    if (
        age is not None
        and old < PACE_MOST
        and slow > math.log(router.latency.slow_factor)
        and not node.slowness.weight
    ):
        signs = min(fact.signs, PACE_SIGNS)
        node.slowness.total, node.slowness.weight, node.slowness.updated_at = slow * signs, signs, now - old
        undo = partial(_forget_pace, node, slow * signs, signs, now - old)
        lapses.append((now + PACE_MOST - old, undo))
    return before != (node.started_at, node.is_ejected, node.draining_until, node.slowness.weight)


def _forget_class(times: RunningMeans, cls: int, seen: int) -> None:
    if times.counts[cls] - seen < OWN:
        times.reset(cls)


def _forget_usual(router: Knows, key: BaselineKey, seen: int) -> None:
    if key in router.latency.baselines and router.latency.baselines[key].count - seen < OWN:
        del router.latency.baselines[key]


def _forget_work(router: Knows, kind: int, work: float, at: int) -> None:
    served = router.slow_start.served
    known = served.sums.setdefault(kind, DecayingSum(served.half_life, 0.0, router.now))
    known.total = max(known.total - DecayingSum(served.half_life, work, at).at(known.updated_at), 0.0)
    served.since = served.started_at


def _forget_pace(node: Upstream, slowed: float, signs: float, at: int) -> None:
    """Sums fade alike, so a recalled part is taken out of them exactly."""
    fade = math.exp2((at - node.slowness.updated_at) / node.slowness.half_life)
    node.slowness.total -= slowed * fade
    node.slowness.weight = max(node.slowness.weight - signs * fade, 0.0)
