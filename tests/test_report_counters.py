"""The counts of a front's reports."""

from __future__ import annotations

from types import SimpleNamespace
from typing import Any

from quincepier import clock
from quincepier.interface import CacheStatus, Idempotency
from quincepier.net.fleet.report_counters import ReportCounters
from tests.fleetkit import make_report


def make_request(attempts: list[Any], is_finished: bool) -> Any:
    return SimpleNamespace(
        class_index=0,
        tenant="acme",
        shard="north",
        received_at_ns=0,
        attempts=attempts,
        is_finished=is_finished,
    )


def test_a_report_counts_its_window_and_what_is_open_now() -> None:
    request_class: Any = SimpleNamespace(effect=Idempotency.KEYED, worth=2.0, on_time=clock.SECOND)
    counters = ReportCounters((request_class,), 0, 2)
    attempt: Any = SimpleNamespace(cache=1, source=2, is_completed=False)
    attempt.request = make_request([attempt], is_finished=True)
    counters.on_command_queued(attempt, 0)
    counters.on_response(attempt.request, 200, clock.SECOND // 2)
    counters.on_attempt_completed(attempt.request, CacheStatus.HIT, clock.SECOND // 2)
    base = make_report("f", 2)
    report = counters.report(clock.SECOND, base, [attempt.request], [], {1: "s-1", 2: "p-1"})
    assert dict(report.open_attempts) == {"s-1": 1, "p-1": 1}
    assert report.open_unsafe_requests == (("acme", "north", 1),)
    queued = make_request([], is_finished=False)
    report_of_queued = counters.report(clock.SECOND, base, [queued], [], {})
    assert report_of_queued.open_unsafe_requests == report.open_unsafe_requests
    assert dict(report.sent_commands) == {"s-1": 1}
    assert report.last_unsafe_request_ages == (("acme", "north", 1000),)
    rows = {
        (row.tenant, row.shard): (row.responses, row.on_time_weight, row.hits)
        for row in report.service_statistics
    }
    assert rows == dict.fromkeys((("", ""), ("acme", ""), ("acme", "north")), (1, 2.0, 1))
    counters.reset(2 * clock.SECOND)  # another version
    assert counters.report(2 * clock.SECOND, base, [], [], {}).service_statistics[0].responses == 0
