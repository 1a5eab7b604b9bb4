"""The rules on first bytes, checked as an attempt ends, by the times that were noted on its way.

policy/send_permission.py denies what would break them; what went out past it, whichever way, is counted here.
"""

from __future__ import annotations

from quincepier.checks import Checks
from quincepier.memory.open_requests import OpenAttempt


def check_first_byte(attempt: OpenAttempt, checks: Checks) -> None:
    """Check that the first byte of an attempt, if one went out, might go out when it did."""
    first, left = attempt.first_byte_at_ns, attempt.request.disconnected_at_ns
    revoked, window = attempt.revoked_at_ns, attempt.first_byte_deadline_ns
    checks.must(first <= attempt.deadline_ns, "first_byte_within_deadline")
    checks.must(not 0 < left < first, "no_first_byte_after_client_left")
    checks.must(not 0 < revoked < first, "no_first_byte_after_revocation")
    checks.must(not 0 < window <= first, "no_first_byte_past_retry_window")
    checks.must(not _began_beside_another(attempt), "no_first_byte_beside_attempt_not_closed")


def _began_beside_another(attempt: OpenAttempt) -> bool:
    """Whether an earlier attempt might still run at its first byte, where none may run beside it."""
    first, request = attempt.first_byte_at_ns, attempt.request
    if not first or request.allows_second_copy:
        return False
    sent = [other for other in request.attempts[: attempt.number] if other.first_byte_at_ns]
    return any(not other.closed_at_ns or other.closed_at_ns > first for other in sent)
