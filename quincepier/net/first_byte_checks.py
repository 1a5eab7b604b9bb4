"""Checks, when an attempt has ended, that its first byte was sent only when the rules allowed it.

policy/send_permission.py denies first bytes that would break the rules. These checks use the recorded times
and count any first byte that was sent although it should have been denied.
"""

from __future__ import annotations

from quincepier.checks import Checks
from quincepier.memory.open_requests import OpenAttempt


def check_first_byte(attempt: OpenAttempt, checks: Checks) -> None:
    """Check that the first byte of an attempt, if it was sent, was allowed at that time."""
    first_byte, disconnected = attempt.first_byte_at_ns, attempt.request.disconnected_at_ns
    revoked, window_end = attempt.revoked_at_ns, attempt.first_byte_deadline_ns
    checks.must(first_byte <= attempt.deadline_ns, "first_byte_within_deadline")
    checks.must(not 0 < disconnected < first_byte, "no_first_byte_after_client_left")
    checks.must(not 0 < revoked < first_byte, "no_first_byte_after_revocation")
    checks.must(not 0 < window_end <= first_byte, "no_first_byte_past_retry_window")
    checks.must(not _overlaps_other_attempt(attempt), "no_first_byte_beside_attempt_not_closed")


def _overlaps_other_attempt(attempt: OpenAttempt) -> bool:
    """Whether an earlier attempt might still have been running, and two must not run at once."""
    first_byte, request = attempt.first_byte_at_ns, attempt.request
    if not first_byte or request.allows_concurrent_attempts:
        return False
    sent = [other for other in request.attempts[: attempt.number] if other.first_byte_at_ns]
    return any(not other.closed_at_ns or other.closed_at_ns > first_byte for other in sent)
