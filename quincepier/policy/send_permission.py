"""Whether an attempt may begin now, and with which deadline: the one place that says so.

Asked in the moment of the first byte of every command to a server, wherever the attempt has waited since it
was decided (mailbox, connect, full socket, another connection). It keeps rule one (nothing is sent for a
request that is over), rule two (no repeat past the window, no second copy beside a first where none is
allowed) and rules three and five (nothing that a drain or a purge has overtaken). It is no second policy: it
denies what was decided, and decides nothing else.
"""

from enum import Enum

from quincepier.memory.open_requests import OpenAttempt
from quincepier.records import MS

MIN_TIME_LEFT = MS  # ns; a server is told whole milliseconds, one at least
MAX_DEADLINE_ERROR = (
    150 * MS
)  # ns; by so much a server's deadline may be past what the client has left (terms)


class Denial(Enum):
    """Why the first byte of an attempt must not be sent."""

    CLIENT_DISCONNECTED = "client_left"
    CLIENT_INPUT_UNREAD = "client_unread"  # what it sent is not read yet, and may be an abort
    REQUEST_FINISHED = "answered"
    REVOKED = "revoked"  # by a purge, or as its server or source leaves
    RETRY_WINDOW_EXPIRED = "window_passed"  # a repeat now might do harm
    DEADLINE_EXPIRED = "deadline_passed"
    CONCURRENT_ATTEMPT = "second_copy"  # an earlier attempt may still run, and none may run beside it
    LEASE_EXPIRED = "lease_expired"  # what it was decided by may not hold any more


def find_denial(attempt: OpenAttempt, now_ns: int, is_lease_expired: bool = False) -> Denial | None:
    """Return why the attempt must not begin at `now_ns`, or None where it may."""
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
    if not attempt.request.allows_second_copy and any(other.may_run for other in attempt.request.attempts):
        return Denial.CONCURRENT_ATTEMPT
    return Denial.LEASE_EXPIRED if is_lease_expired else None


def server_deadline_ms(attempt: OpenAttempt, now_ns: int) -> int:
    """Return the deadline that the server is told, in milliseconds from `now_ns`."""
    return max((attempt.deadline_ns - now_ns) // MS, 1)


def partial_command_deadline(attempt: OpenAttempt) -> int:
    """Return until when the rest of a command may wait whose first byte told the server's deadline, in ns."""
    return attempt.first_byte_at_ns + MAX_DEADLINE_ERROR
