"""The data structures of the routing policy."""

from __future__ import annotations

import math
import random
from collections import Counter
from dataclasses import dataclass

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from quincepier.keys import PackedNumbers, stable_hash
from quincepier.structures import (
    Backoff,
    Baseline,
    Coverage,
    DecayingMean,
    DecayingSum,
    FairQueue,
    PurgeLog,
    RecencyMap,
    RunningMeans,
    ServedWork,
    TokenBucket,
    assign_tiers,
    rank,
)

SECOND = 1_000_000_000


@dataclass(eq=False)
class Item:
    tier: int
    key: int
    is_queued: bool = False


def make_queue() -> FairQueue[Item]:
    return FairQueue((80.0, 15.0, 5.0), 0, boost_every=10, floor_interval=SECOND, scan_limit=16)


def always(item: Item) -> bool:
    return True


def test_items_of_one_key_leave_in_order_and_an_empty_queue_gives_none() -> None:
    queue, items = make_queue(), [Item(1, 7) for _ in range(3)]
    for item in items:
        queue.push(item)
    assert [queue.pop(0, always) for _ in range(4)] == [*items, None] and not queue
    assert not any(item.is_queued for item in items)


def test_tiers_are_released_by_their_weights() -> None:
    queue, released = make_queue(), Counter[int]()
    for n in range(300):
        queue.push(Item(n % 3, n))
    for _ in range(100):
        item = queue.pop(0, always)
        assert item is not None
        released[item.tier] += 1
    assert released == {0: 80, 1: 15, 2: 5}


def test_a_tier_without_a_release_for_a_floor_interval_goes_first() -> None:
    queue = make_queue()
    for n in range(9):
        queue.push(Item(n % 3, n))
    queue.released_at = [2 * SECOND, 2 * SECOND, SECOND]
    item = queue.pop(2 * SECOND, always)
    assert item is not None and item.tier == 2


def test_unready_items_stay_and_discarded_items_are_never_released() -> None:
    queue, first, second = make_queue(), Item(0, 1), Item(0, 2)
    queue.push(first)
    queue.push(second)
    assert queue.pop(0, lambda item: item is second) is second
    queue.discard(first)
    queue.discard(first)
    assert queue.pop(0, always) is None and queue.depths == [0, 0, 0]


def test_only_the_first_keys_of_a_tier_are_examined() -> None:
    queue, examined = make_queue(), list[int]()
    for n in range(40):
        queue.push(Item(0, n))

    def is_ready(item: Item) -> bool:
        examined.append(item.key)
        return False

    assert queue.pop(0, is_ready) is None and examined == list(range(16))


def test_a_longer_queue_of_one_key_is_preferred_by_full_steps() -> None:
    queue = make_queue()
    for key, count in ((1, 9), (2, 10), (3, 19)):
        for _ in range(count):
            queue.push(Item(0, key))
    item = queue.pop(0, always)
    assert item is not None and item.key == 2


def test_a_bucket_gives_only_whole_tokens_and_keeps_its_capacity() -> None:
    bucket = TokenBucket(1.5, 2.0)
    assert bucket.take() and not bucket.take()
    for _ in range(9):
        bucket.add(0.5)
    assert bucket.tokens == 2.0


def test_a_backoff_doubles_within_its_bounds_and_decreases_to_zero() -> None:
    backoff, waits = Backoff(100, 350, 0.3, 50), list[float]()
    for _ in range(4):
        backoff.increase()
        waits.append(backoff.wait)
    assert waits == [100, 200, 350, 350]
    for _ in range(3):
        backoff.decrease()
    assert backoff.wait == 0


def test_a_mean_without_samples_has_factor_one_and_samples_decay() -> None:
    mean = DecayingMean(SECOND, prior=1.0)
    assert mean.factor(0) == 1.0
    mean.add(0, 2.0)
    assert mean.factor(0) == pytest.approx(math.exp(2 / 2))
    assert mean.factor(SECOND) == pytest.approx(math.exp(1 / 1.5))
    mean.add(SECOND, -9.0)
    assert mean.factor(SECOND) == 1.0  # never below 1


def test_a_sum_counts_half_after_its_half_life() -> None:
    total = DecayingSum(SECOND, 8.0, 0)
    total.add(SECOND, 1.0)
    assert total.total == 5.0 and total.at(2 * SECOND) == 2.5


def test_served_work_of_a_steady_rate_gives_that_rate() -> None:
    served = ServedWork(15 * SECOND, 3 * SECOND, 0)
    for n in range(2000):
        served.add(n * SECOND // 10, 1, 0.2 * SECOND)
    assert served.rates(200 * SECOND)[1] == pytest.approx(2.0, rel=0.15)


def test_a_baseline_follows_its_mean_down_at_once_and_up_slowly() -> None:
    baseline = Baseline()
    for n in range(30):
        baseline.add(n, 1.0, min_weight=0.02, min_count=20, rise=0.0)
    for n in range(100):
        baseline.add(30 + n, 3.0, min_weight=0.02, min_count=20, rise=0.001)
    assert baseline.mean > 2.5 and 1.0 < baseline.minimum < 1.2


def test_running_means_weigh_samples_equally_and_can_be_reset() -> None:
    means = RunningMeans([50.0, 60.0], min_weight=0.02)
    for sample in (1.0, 2.0, 3.0):
        means.add(1, sample)
    assert means.means == [50.0, pytest.approx(2.0)]
    means.reset(1)
    assert means.means[1] == 60.0 and not means.counts[1]


@settings(derandomize=True, max_examples=60)
@given(st.lists(st.tuples(st.integers(0, 9), st.integers(0, 5)), max_size=60))
def test_a_recency_map_keeps_its_bounds_in_number_and_age(script: list[tuple[int, int]]) -> None:
    times, now = RecencyMap(4), 0
    for key, wait in script:
        now += wait
        times.record((0, key), now, now - 7)
        assert len(times) <= 4 and all(at >= now - 7 for at in times.values())
        assert next(reversed(times)) == (0, key)


def test_a_purge_of_a_group_counts_for_all_its_objects() -> None:
    log = PurgeLog(16)
    assert log.last_purge_at(3, 7) == -1
    log.record_purge(3, 7, 10, 0)
    log.record_purge(3, 0, 5, 0)
    log.record_purge(3, 7, 8, 0)  # an older purge that is reported late changes nothing
    assert (log.last_purge_at(3, 7), log.last_purge_at(3, 8), log.last_purge_at(4, 8)) == (10, 5, -1)


def test_coverage_is_complete_once_with_one_of_each_expected_kind() -> None:
    coverage = Coverage(3)
    coverage.expected |= {1, 2}
    assert [coverage.add(kind) for kind in (1, 1, 1, 2, 2)] == [False, False, False, True, False]
    coverage.restart()
    assert not coverage.is_complete and coverage.count == 0


@pytest.mark.parametrize(
    ("weights", "wanted"),
    [
        ((), {}),
        ((4.0,), {4.0: 0}),
        ((1.0, 2.0), {2.0: 0, 1.0: 2}),
        ((1.0, 2.0, 3.0, 4.0), {4.0: 0, 3.0: 1, 2.0: 2, 1.0: 2}),
    ],
)
def test_tiers_by_rank(weights: tuple[float, ...], wanted: dict[float, int]) -> None:
    assert assign_tiers(weights, 3) == wanted


def test_rendezvous_ranks_follow_weights_and_are_stable_when_a_node_leaves() -> None:
    ids = {"a": 11, "b": 12, "c": 13}
    weights = {"a": 1.0, "b": 1.0, "c": 2.0}
    ranks = {key: rank(key, weights, ids) for key in range(4000)}
    share = Counter(order[0] for order in ranks.values())
    assert share["c"] / 4000 == pytest.approx(0.5, abs=0.03)
    without = {name: ids[name] for name in ("a", "b")}
    assert all(rank(key, weights, without) == [n for n in ranks[key] if n != "c"] for key in ranks)


@pytest.mark.parametrize("count", [1, 2, 16, 64])
@pytest.mark.parametrize("alike", [False, True])
def test_the_first_ranks_are_those_of_the_whole_ranking(count: int, alike: bool) -> None:
    chance = random.Random(count)
    for nodes in (100, 256, 257, 900):
        ids = {f"n{n}": n * 7919 + 1 for n in range(nodes)}
        weights = {name: 1.0 if alike else chance.uniform(0.01, 100) for name in ids}
        for _ in range(40):
            key = chance.getrandbits(64)
            assert rank(key, weights, ids, count) == rank(key, weights, ids)[:count]


@given(st.integers(0, 2**64 - 1), st.lists(st.integers(0, 2**64 - 1), max_size=20))
def test_hashes_of_many_numbers_are_those_of_each(first: int, seconds: list[int]) -> None:
    assert PackedNumbers(seconds).hash_each(first) == [stable_hash(first, second) for second in seconds]


@given(
    st.integers(0, 2**64 - 1),
    st.lists(st.tuples(st.integers(0, 2**64 - 1), st.integers(-5, 2**64 - 1)), min_size=1),
)
def test_hashes_above_bounds_are_found_by_index(first: int, pairs: list[tuple[int, int]]) -> None:
    packed = PackedNumbers([number for number, _ in pairs])
    bounds = [bound for _, bound in pairs]
    hashes = [stable_hash(first, number) for number, _ in pairs]
    wanted = {at: h for at, h in enumerate(hashes) if h >= bounds[at]}
    assert packed.hashes_at_least(first, bounds, min(bounds)) == wanted
    assert packed.hashes_at_least(first, hashes, min(hashes)) == dict(enumerate(hashes))
    assert packed.hashes_at_least(first, [h + 1 for h in hashes], min(hashes)) == {}
