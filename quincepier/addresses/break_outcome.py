"""What becomes of an attempt whose connection ended: on over another address, or told to the decision module.

Rule two in one place. What is proved unsent may go on as the same attempt: nobody can have read a byte of it;
what has begun to go out may have been read and run, so only the decision module may ask again.
"""

from __future__ import annotations

from quincepier.interface import AttemptOutcome


def outcome_after_break(
    begun: bool, absent: bool, recalled: bool, moves: int, most: int
) -> AttemptOutcome | None:
    """How the attempt ended; None where it goes on over another connection.

    `begun`: a byte of it may have been taken by the socket. `absent`: no connection came up, and every
    address said that nobody is there. `recalled`: a purge or a drain was told since it was decided. `moves`:
    how often it has gone on already, `most` times at most.
    """
    if begun:
        return AttemptOutcome.RESET
    if recalled:
        return AttemptOutcome.NOT_PROCESSED
    if absent:
        return AttemptOutcome.CONNECT_FAILED
    return None if moves < most else AttemptOutcome.NOT_PROCESSED
