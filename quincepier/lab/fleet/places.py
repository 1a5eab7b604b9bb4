"""Who is where on loopback: each pair of a front and what it reaches has an address of its own."""

from __future__ import annotations

FRONTS_MOST, OTHERS_MOST = 900, 1 << 14
APART = 64  # so that no pair falls on 127.0 to 127.15
FRONTS_AT = 127 << 24 | 1 << 16  # 127.1.0.0


def _text(number: int) -> str:
    return ".".join(str(number >> shift & 255) for shift in (24, 16, 8, 0))


NOBODY = _text(FRONTS_AT)  # where no front is


def front_address(front: int) -> str:
    """Where a front itself listens."""
    return _text(FRONTS_AT + front + 1)


def pair_address(front: int, other: int) -> str:
    """Where a front finds a machine (by its index, from 1), the change log (0) or another front."""
    if not (0 <= front < FRONTS_MOST and 0 <= other < OTHERS_MOST):
        raise ValueError(f"no address for front {front} and {other}")
    return _text(127 << 24 | (front + APART) << 14 | other)


def pair_of(address: str) -> tuple[int, int]:
    """(front, other); raises ValueError for an address of no pair."""
    a, b, c, d = (int(part) for part in address.split("."))
    number = b << 16 | c << 8 | d
    front = (number >> 14) - APART
    if a != 127 or not 0 <= front < FRONTS_MOST:
        raise ValueError(f"{address} is of no pair")
    return front, number & OTHERS_MOST - 1
