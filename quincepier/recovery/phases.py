"""Tracks the recovery of a front after its start, phase by phase, until service is full.

A phase ends when its condition is met, never by time alone. A process pause leads back to LIST_RECEIVED, as
the state of other machines is then out of date. There is no clock: callers pass the time.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from enum import IntEnum
from itertools import pairwise

NS_PER_MS = 1_000_000
NS_PER_S = 1000 * NS_PER_MS
FULL_SERVICE_FRACTION = 0.97  # share of the requested weight that is served in time at full service
MIN_EVIDENCE_S = 2  # seconds over which full service must be observed
MAX_EVIDENCE_S = 10  # seconds that are kept for that
MIN_EVIDENCE_REQUESTS = 50  # with fewer requests, a single late one would decide
MIN_TIME_TO_CONFIRM_NS = NS_PER_S // 2  # minimum time in FIRST_RESPONSES before the limit can be confirmed


class RecoveryPhase(IntEnum):
    """The phases, in order; each is entered when its condition is met."""

    STARTED = 0
    LIST_RECEIVED = 1  # the endpoint list was received
    FIRST_RESPONSES = 2  # each request class that was requested has had a successful response
    # As many fetches as the fetch limit have completed without changing the limit, or no request is held.
    LIMIT_CONFIRMED = 3
    FULL_SERVICE = 4  # nearly all requests are served in time


PHASE_LABELS = ("started", "list", "first answers", "bound", "as usual")
"""Names of the phases in log lines; the recorded streams of the tests contain these texts."""


@dataclass(slots=True)
class SecondTotals:
    """Requests that were finished within one second.

    Attributes:
        due_weight: Sum of the priority weights of the requests.
        served_weight: Sum of the weights of the requests that were served in time.
        request_count: Number of the requests.
    """

    due_weight: float = 0.0
    served_weight: float = 0.0
    request_count: int = 0


class RecoveryTracker:
    """The recovery of one start of a front.

    Its handlers return log messages: each phase that is entered and the reason, and full service once per
    start. All times are nanoseconds of one monotonic clock.

    Args:
        now: The time of the start.

    Attributes:
        phase: The present phase.
    """

    def __init__(self, now: int) -> None:
        self.phase = RecoveryPhase.STARTED
        self._started_at = now
        self._entered_at_by_phase = {RecoveryPhase.STARTED: now}
        self._has_reported_full_service = False
        self._current_second = now // NS_PER_S
        self._current = SecondTotals()
        self._past_seconds: deque[SecondTotals] = deque(maxlen=MAX_EVIDENCE_S)

    def on_list_received(self, now: int) -> list[str]:
        """Note that the endpoint list was received."""
        if self.phase is not RecoveryPhase.STARTED:
            return []
        return self._enter(RecoveryPhase.LIST_RECEIVED, now, "a list is there")

    def on_first_responses(self, now: int, response_count: int) -> list[str]:
        """Note that responses were received, at least one of each class that was requested."""
        if self.phase is not RecoveryPhase.LIST_RECEIVED:
            return []
        reason = f"{response_count} answers, each class asked for among them"
        return self._enter(RecoveryPhase.FIRST_RESPONSES, now, reason)

    def on_limit_held(self, now: int) -> list[str]:
        """Note that as many fetches as the concurrency limit completed well, without demand for more."""
        return self._confirm_limit(now, "the bound was kept")

    def on_limit_idle(self, now: int) -> list[str]:
        """Note that no request waits for the concurrency limit."""
        return self._confirm_limit(now, "nothing waits for the bound")

    def on_request_finished(self, now: int, weight: float, is_in_time: bool) -> list[str]:
        """Note that a request has its final response.

        Args:
            now: The time.
            weight: Its priority weight.
            is_in_time: Whether it was served in time.
        """
        messages = self._advance_second(now)
        self._current.due_weight += weight
        self._current.served_weight += weight * is_in_time
        self._current.request_count += 1
        return messages

    def on_process_pause(self, now: int, pause: int) -> list[str]:
        """Note that the process did not run for `pause` ns; all state except the list is out of date."""
        if self.phase <= RecoveryPhase.LIST_RECEIVED:
            return []
        self._past_seconds.clear()
        reason = f"the front stood still for {pause // NS_PER_MS} ms"
        return self._enter(RecoveryPhase.LIST_RECEIVED, now, reason)

    def _enter(self, phase: RecoveryPhase, now: int, reason: str) -> list[str]:
        elapsed_ms = (now - self._entered_at_by_phase[self.phase]) // NS_PER_MS
        previous = PHASE_LABELS[self.phase]
        self.phase = phase
        self._entered_at_by_phase[phase] = now
        return [f"stage {PHASE_LABELS[phase]}: {reason}; {previous} held for {elapsed_ms} ms"]

    def _confirm_limit(self, now: int, reason: str) -> list[str]:
        if self.phase is not RecoveryPhase.FIRST_RESPONSES:
            return []
        if now - self._entered_at_by_phase[RecoveryPhase.FIRST_RESPONSES] < MIN_TIME_TO_CONFIRM_NS:
            return []
        return self._enter(RecoveryPhase.LIMIT_CONFIRMED, now, reason)

    def _advance_second(self, now: int) -> list[str]:
        """Close the current second, and the seconds after it in which no request was finished."""
        second = now // NS_PER_S
        if second == self._current_second:
            return []
        self._past_seconds.append(self._current)
        empty_seconds = min(second - self._current_second - 1, MAX_EVIDENCE_S)
        self._past_seconds.extend(SecondTotals() for _ in range(empty_seconds))
        self._current_second = second
        self._current = SecondTotals()
        return self._check_full_service(now)

    def _check_full_service(self, now: int) -> list[str]:
        if self.phase is not RecoveryPhase.LIMIT_CONFIRMED:
            return []
        evidence_s = self._full_service_seconds()
        if not evidence_s:
            return []
        reason = f"{FULL_SERVICE_FRACTION:.2f} of the worth in time over {evidence_s} s"
        messages = self._enter(RecoveryPhase.FULL_SERVICE, now, reason)
        if not self._has_reported_full_service:
            self._has_reported_full_service = True
            messages.append(self._describe_full_service(now, evidence_s))
        return messages

    def _full_service_seconds(self) -> int:
        """Return over how many of the last seconds full service was observed; 0: it was not, or too few."""
        total = SecondTotals()
        for evidence_s, second in enumerate(reversed(self._past_seconds), 1):
            total.due_weight += second.due_weight
            total.served_weight += second.served_weight
            total.request_count += second.request_count
            if evidence_s >= MIN_EVIDENCE_S and total.request_count >= MIN_EVIDENCE_REQUESTS:
                return evidence_s if self._is_full_service(total) else 0
        return 0

    @staticmethod
    def _is_full_service(total: SecondTotals) -> bool:
        """Whether enough weight was served; one late request is tolerated as chance."""
        mean_weight = total.due_weight / total.request_count
        return total.served_weight + mean_weight >= FULL_SERVICE_FRACTION * total.due_weight

    def _describe_full_service(self, now: int, evidence_s: int) -> str:
        """Return the log message; service counts as full from the beginning of the observed seconds."""
        entered_at = self._entered_at_by_phase
        limit_confirmed_at = entered_at.get(RecoveryPhase.LIMIT_CONFIRMED, now)
        full_at = max(now - evidence_s * NS_PER_S, limit_confirmed_at, self._started_at)
        earlier_phases = [phase for phase in RecoveryPhase if phase is not RecoveryPhase.FULL_SERVICE]
        moments = [*(entered_at.get(phase, full_at) for phase in earlier_phases), full_at]
        elapsed_ms = [max(end - start, 0) // NS_PER_MS for start, end in pairwise(moments)]
        parts = ", ".join(f"{label} {ms}" for label, ms in zip(PHASE_LABELS[1:], elapsed_ms, strict=True))
        return f"full service after {(full_at - self._started_at) // NS_PER_MS} ms ({parts})"
