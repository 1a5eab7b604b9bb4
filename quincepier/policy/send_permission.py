"""Decides whether the first byte of an attempt may be sent now, and computes the server's deadline.

It is called immediately before the first byte of every command to a server, as the attempt may have waited
since the router decided on it (in a mailbox, for a connection, for a full socket). It denies attempts that
are no longer valid:

- the request has its final response, or its client has disconnected;
- the retry window has expired, or an earlier attempt may still run where only one may run at a time;
- a purge has invalidated the attempt, or its server or source is draining.

It only denies attempts that the router decided on, and makes no other decision.
"""

from enum import Enum

from quincepier.memory.open_requests import OpenAttempt
from quincepier.records import MS

MIN_TIME_LEFT = MS  # ns; a server's deadline is sent in whole milliseconds, 1 or more
MAX_DEADLINE_ERROR = 150 * MS  # ns; how far a server's deadline may exceed the client's


class Denial(Enum):
    """Reason why the first byte of an attempt must not be sent."""

    CLIENT_DISCONNECTED = "client_left"
    CLIENT_INPUT_UNREAD = "client_unread"  # the client sent data that is not read yet and may be an abort
    REQUEST_FINISHED = "answered"
    REVOKED = "revoked"  # by a purge, or because its server or source is draining
    RETRY_WINDOW_EXPIRED = "window_passed"  # a repeat might be executed a second time
    DEADLINE_EXPIRED = "deadline_passed"
    CONCURRENT_ATTEMPT = "second_copy"  # an earlier attempt may still run, and only one may run at a time
    LEASE_EXPIRED = "lease_expired"  # the lease of the rules it is based on has expired


def find_denial(attempt: OpenAttempt, now_ns: int, is_lease_expired: bool = False) -> Denial | None:
    """Return why the first byte of the attempt must not be sent at `now_ns`; None: it may be sent."""
    if attempt.request.is_cancelled:
        return Denial.CLIENT_DISCONNECTED
    if attempt.request.is_finished:
        return Denial.REQUEST_FINISHED
    if attempt.is_revoked:
        return Denial.REVOKED
    if 0 < attempt.first_byte_deadline_ns <= now_ns:
        return Denial.RETRY_WINDOW_EXPIRED
    if attempt.deadline_ns - now_ns < MIN_TIME_LEFT:
        return Denial.DEADLINE_EXPIRED
    if not attempt.request.allows_concurrent_attempts and any(
        other.may_run for other in attempt.request.attempts
    ):
        return Denial.CONCURRENT_ATTEMPT
    return Denial.LEASE_EXPIRED if is_lease_expired else None


def server_deadline_ms(attempt: OpenAttempt, now_ns: int) -> int:
    """Return the deadline to send to the server, in ms from `now_ns`."""
    return max((attempt.deadline_ns - now_ns) // MS, 1)


def partial_command_deadline(attempt: OpenAttempt) -> int:
    """Return the time until which the rest of a partly sent command may still be sent, ns.

    The deadline in the command is relative, so a delay of the rest makes the server's deadline later.
    """
    return attempt.first_byte_at_ns + MAX_DEADLINE_ERROR
