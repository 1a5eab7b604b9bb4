"""When a front that is behind refuses: not for one long wait, but where the queue for its turns stands.

Seen as a known hit answered 503 with X-Wait-Ms 434 on a busy machine (test_full_descriptors, 1 of 6 runs
beside a run of the bench, 2 of 15 beside six busy processes): two requests had waited 21.3 and 21.9 ms for
their turn while the process was off its core, with 2,978 ms left, and were refused for these 21 ms.
"""

from __future__ import annotations

from quincepier.interface import Idempotency
from tests.rig import MS, SECOND, RouterBench, make_class, make_settings, rejected_requests

UNSAFE = make_class(effect=Idempotency.UNSAFE, never_kept=True)
CLASSES = (make_class(worth=2.0), make_class(on_time=250 * MS), UNSAFE)
FIRST_TIER, LOWEST_TIER, WRITE = range(3)


def send_waiting(bench: RouterBench, cls: int, waits: list[int], apart: int = 20 * MS) -> list[bool]:
    """Whether each of these requests, which waited so long for their turns, is refused."""
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


def test_one_long_wait_refuses_nobody() -> None:
    """The process was off its core for a moment: whoever waited has nearly all of its time left."""
    bench = RouterBench(make_settings(classes=CLASSES))
    assert send_waiting(bench, LOWEST_TIER, [22 * MS] * 2, apart=1) == [False, False]
    assert send_waiting(bench, LOWEST_TIER, [SECOND]) == [False]


def test_what_waits_is_refused_once_the_queue_has_stood_for_an_interval() -> None:
    bench = RouterBench(make_settings(classes=CLASSES))
    assert send_waiting(bench, LOWEST_TIER, [22 * MS] * 8) == [False] * 5 + [True] * 3


def test_a_request_that_had_its_turn_in_time_begins_the_interval_anew() -> None:
    bench = RouterBench(make_settings(classes=CLASSES))
    assert not any(send_waiting(bench, LOWEST_TIER, [22 * MS] * 5 + [10 * MS] + [22 * MS] * 5))


def test_long_waits_far_from_each_other_are_moments_each() -> None:
    bench = RouterBench(make_settings(classes=CLASSES))
    assert not any(send_waiting(bench, LOWEST_TIER, [22 * MS] * 8, apart=150 * MS))


def test_each_tier_bears_its_own_wait_to_the_millisecond() -> None:
    def turned_away(cls: int, waited: int) -> bool:
        return send_waiting(RouterBench(make_settings(classes=CLASSES)), cls, [waited] * 7)[-1]

    assert not turned_away(LOWEST_TIER, 16 * MS) and turned_away(LOWEST_TIER, 17 * MS)
    assert not turned_away(FIRST_TIER, 100 * MS) and turned_away(FIRST_TIER, 101 * MS)
    assert not turned_away(WRITE, SECOND)


def test_waits_of_one_class_are_told_by_those_of_another() -> None:
    """One queue for all: what stands for the one stands for the other."""
    bench = RouterBench(make_settings(classes=CLASSES))
    send_waiting(bench, WRITE, [30 * MS] * 6)
    assert send_waiting(bench, LOWEST_TIER, [30 * MS]) == [True]
