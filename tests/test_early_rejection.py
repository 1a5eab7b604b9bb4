"""An overloaded front rejects requests only if all requests have waited too long for an interval.

Guards against rejections after a single long wait: on a busy machine, requests with 2,978 ms left were
answered 503 because they had waited 21 ms while the process was not scheduled.
"""

from __future__ import annotations

from quincepier.interface import Idempotency
from tests.rig import MS, SECOND, RouterBench, make_class, make_settings, rejected_requests

UNSAFE = make_class(effect=Idempotency.UNSAFE, never_kept=True)
CLASSES = (make_class(worth=2.0), make_class(on_time=250 * MS), UNSAFE)
FIRST_TIER, LOWEST_TIER, WRITE = range(3)


def send_waiting(bench: RouterBench, cls: int, waits: list[int], apart: int = 20 * MS) -> list[bool]:
    """Send requests that have waited for the given times, `apart` ns apart; return which are rejected."""
    found = []
    for waited in waits:
        found.append(
            bool(
                rejected_requests(
                    bench.send_request(len(bench.attempt_counts) + 100 * bench.now, cls, waited=waited)
                )
            )
        )
        bench.advance(apart)
    return found


def test_one_long_wait_rejects_no_request() -> None:
    """The process was not scheduled for a moment: requests that waited have nearly all of their time left."""
    bench = RouterBench(make_settings(classes=CLASSES))
    assert send_waiting(bench, LOWEST_TIER, [22 * MS] * 2, apart=1) == [False, False]
    assert send_waiting(bench, LOWEST_TIER, [SECOND]) == [False]


def test_requests_are_rejected_once_all_have_waited_too_long_for_an_interval() -> None:
    bench = RouterBench(make_settings(classes=CLASSES))
    assert send_waiting(bench, LOWEST_TIER, [22 * MS] * 8) == [False] * 5 + [True] * 3


def test_a_short_wait_restarts_the_interval() -> None:
    bench = RouterBench(make_settings(classes=CLASSES))
    assert not any(send_waiting(bench, LOWEST_TIER, [22 * MS] * 5 + [10 * MS] + [22 * MS] * 5))


def test_long_waits_far_apart_reject_no_request() -> None:
    bench = RouterBench(make_settings(classes=CLASSES))
    assert not any(send_waiting(bench, LOWEST_TIER, [22 * MS] * 8, apart=150 * MS))


def test_each_tier_has_its_own_maximum_wait() -> None:
    def is_rejected(cls: int, waited: int) -> bool:
        return send_waiting(RouterBench(make_settings(classes=CLASSES)), cls, [waited] * 7)[-1]

    assert not is_rejected(LOWEST_TIER, 16 * MS) and is_rejected(LOWEST_TIER, 17 * MS)
    assert not is_rejected(FIRST_TIER, 100 * MS) and is_rejected(FIRST_TIER, 101 * MS)
    assert not is_rejected(WRITE, SECOND)


def test_waits_of_one_class_count_for_the_others() -> None:
    """All classes wait in one queue, so long waits of one class apply to the others."""
    bench = RouterBench(make_settings(classes=CLASSES))
    send_waiting(bench, WRITE, [30 * MS] * 6)
    assert send_waiting(bench, LOWEST_TIER, [30 * MS]) == [True]
