"""Loopback addresses: each pair of a front and one of its peers has an address of its own."""

from __future__ import annotations

MAX_FRONTS, MAX_PEERS = 900, 1 << 14
FIRST_PAIR_OFFSET = 64  # keeps pairs out of 127.0 to 127.15
FRONT_ADDRESS_BASE = 127 << 24 | 1 << 16  # 127.1.0.0


def _to_dotted_quad(number: int) -> str:
    return ".".join(str(number >> shift & 255) for shift in (24, 16, 8, 0))


RESERVATION_ADDRESS = _to_dotted_quad(FRONT_ADDRESS_BASE)  # no front has this address


def front_address(front: int) -> str:
    """Return the address on which a front itself listens."""
    return _to_dotted_quad(FRONT_ADDRESS_BASE + front + 1)


def pair_address(front: int, other: int) -> str:
    """Return the address at which a front reaches a machine (index from 1), the change log (0) or a front."""
    if not (0 <= front < MAX_FRONTS and 0 <= other < MAX_PEERS):
        raise ValueError(f"no address for front {front} and {other}")
    return _to_dotted_quad(127 << 24 | (front + FIRST_PAIR_OFFSET) << 14 | other)


def pair_of(address: str) -> tuple[int, int]:
    """Return the (front, other) of a pair's address; ValueError if it belongs to no pair."""
    a, b, c, d = (int(part) for part in address.split("."))
    number = b << 16 | c << 8 | d
    front = (number >> 14) - FIRST_PAIR_OFFSET
    if a != 127 or not 0 <= front < MAX_FRONTS:
        raise ValueError(f"{address} is of no pair")
    return front, number & MAX_PEERS - 1
