"""Detects requests that come again under the id of one that is open or that must not run a second time.

Each try of a client should have an id of its own (WIRE, `REQUEST`). A client that lost its connection may
come back with the earlier one all the same.
"""

from __future__ import annotations

from quincepier.interface import AttemptOutcome, Idempotency
from quincepier.memory.executed_requests import ExecutedRequestIds
from quincepier.memory.open_requests import OpenAttempt, OpenRequest, OpenRequestTable
from quincepier.net.actor_dependencies import ActorDependencies
from quincepier.policy import NEVER_RAN


class DuplicateRequestDetector:
    """Knows the ids under which no request may be accepted.

    Args:
        dependencies: The settings, which tell the classes that may run more than once, and the limit on ids.
        requests: The open requests.
    """

    def __init__(self, dependencies: ActorDependencies, requests: OpenRequestTable) -> None:
        self._classes, self._checks = dependencies.config.settings.classes, dependencies.checks
        self._requests = requests
        self._executed_ids = ExecutedRequestIds(dependencies.memory_budget.max_executed_ids)

    def find_conflict(self, request: OpenRequest) -> str | None:
        """Return why a new request can't be accepted under its id; None if it can."""
        if request.job_id in self._requests.job_ids:
            return "HTTP_X_JOB_ID is that of an open request"
        if request.job_id in self._executed_ids:
            return "HTTP_X_JOB_ID is that of a request that may have run"
        return None

    def on_attempt_finished(self, attempt: OpenAttempt, outcome: AttemptOutcome) -> None:
        """Remember the id of the attempt's request if it may have run and must not run again."""
        is_repeatable = self._classes[attempt.request.class_index].effect is Idempotency.SAFE
        if is_repeatable or not attempt.first_byte_at_ns or outcome in NEVER_RAN:
            return
        if self._executed_ids.add(attempt.request.job_id):
            self._checks.count("executed_ids_forgotten")
