"""Requests that come again under the id of an earlier one: which of them are refused, and for how long."""

from __future__ import annotations

import pytest

from quincepier.checks import Checks
from quincepier.interface import AttemptOutcome
from quincepier.memory.buffer_pool import BufferPool
from quincepier.memory.executed_requests import ExecutedRequestIds
from quincepier.memory.memory_budget import MemoryBudget
from quincepier.memory.open_requests import OpenRequestTable
from quincepier.net.actor import Mailbox
from quincepier.net.actor_dependencies import ActorDependencies
from quincepier.net.duplicate_requests import DuplicateRequestDetector
from quincepier.net.messages import ToModule
from quincepier.net.sockets import Descriptors
from tests.frontkit import Inbox, make_config, open_request

IMAGE, BID = 1, 2
NEVER_RAN = {"OVERLOADED", "CONNECT_FAILED", "NOT_PROCESSED", "MISS"}


def make_detector(max_ids: int = 8) -> tuple[DuplicateRequestDetector, OpenRequestTable, Checks]:
    requests, checks, mailbox = OpenRequestTable(100), Checks(), Mailbox[ToModule](100)
    budget = MemoryBudget(8, 1 << 20, 100, max_executed_ids=max_ids)
    dependencies = ActorDependencies(make_config(), checks, BufferPool(8), Descriptors(64), mailbox, budget)
    return DuplicateRequestDetector(dependencies, requests), requests, checks


def finish_attempt(
    detector: DuplicateRequestDetector,
    requests: OpenRequestTable,
    job: str,
    cls: int,
    outcome: AttemptOutcome,
    is_sent: bool = True,
) -> None:
    request = open_request(Inbox(), cls, job)
    requests.add(request)
    assert detector.find_conflict(request) is not None
    attempt = requests.start_attempt(request, 1, 1)
    if is_sent:
        attempt.on_first_byte(2)
    attempt.is_completed = True
    detector.on_attempt_finished(attempt, outcome)
    requests.finish(request)


@pytest.mark.parametrize("cls", [IMAGE, BID])
@pytest.mark.parametrize("is_sent", [False, True])
@pytest.mark.parametrize("outcome", list(AttemptOutcome))
def test_an_id_is_refused_again_only_if_its_request_may_have_run_and_must_not_run_twice(
    outcome: AttemptOutcome, is_sent: bool, cls: int
) -> None:
    """Guards against: a bid runs twice, or one that never ran is refused when its client sends it again."""
    detector, requests, _ = make_detector()
    finish_attempt(detector, requests, "b1" * 8, cls, outcome, is_sent)
    is_refused = detector.find_conflict(open_request(Inbox(), cls, "b1" * 8)) is not None
    assert is_refused == (cls == BID and is_sent and outcome.name not in NEVER_RAN)


def test_the_oldest_ids_are_forgotten_past_the_limit_and_counted() -> None:
    """Guards against: memory grows with each new id of a client that sends bids without end."""
    detector, requests, checks = make_detector(max_ids=8)
    jobs = [f"{n:016x}" for n in range(20)]
    for job in jobs:
        finish_attempt(detector, requests, job, BID, AttemptOutcome.CANCELLED)
    refused = [job for job in jobs if detector.find_conflict(open_request(Inbox(), BID, job)) is not None]
    assert refused == jobs[-8:]
    assert checks.counts["executed_ids_forgotten"] == 12


def test_an_id_that_is_added_again_counts_as_the_latest() -> None:
    ids = ExecutedRequestIds(2)
    for job in ("a" * 16, "b" * 16, "a" * 16, "c" * 16):
        ids.add(job)
    assert "a" * 16 in ids and "b" * 16 not in ids and "c" * 16 in ids and len(ids) == 2
