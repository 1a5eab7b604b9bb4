"""What happens to an attempt whose connection closed: moved to another connection, or reported to the router.

An attempt of which no byte was sent may go on as the same attempt, as no machine can have read it. One that
was partly or wholly sent may have been read and run, so only the router may retry it.
"""

from __future__ import annotations

from quincepier.interface import AttemptOutcome


def outcome_after_break(
    is_started: bool, is_absent: bool, is_revoked: bool, moves: int, max_moves: int
) -> AttemptOutcome | None:
    """Return the outcome of the attempt; None if it moves to another connection.

    Args:
        is_started: The socket may have taken a byte of its command.
        is_absent: No connection was established, and each failure shows that the machine is not there.
        is_revoked: A purge or a drain has arrived since the attempt was decided.
        moves: How often it has moved to another connection already.
        max_moves: How often it may do so.
    """
    if is_started:
        return AttemptOutcome.RESET
    if is_revoked:
        return AttemptOutcome.NOT_PROCESSED
    if is_absent:
        return AttemptOutcome.CONNECT_FAILED
    return None if moves < max_moves else AttemptOutcome.NOT_PROCESSED
