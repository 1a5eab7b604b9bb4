"""What a front allows itself before anything came back: its own share, as all fronts may return at once."""

import random
from collections.abc import Sequence

MIN_FIRST_POLL_SHARE = 0.3  # of the usual wait; later polls of the fronts are out of step
MAX_INITIAL_DIALS_ALL_FRONTS = 16  # at once at one machine before one of its connections is up, of all fronts
MAX_DIALS = 1024  # at once at one machine; as good as no limit


def draw_first_poll_wait_ms(chance: random.Random, wait_ms: int) -> int:
    """Return how long the first poll may wait, ms: drawn, so that no two fronts go on in step."""
    return max(int(chance.uniform(MIN_FIRST_POLL_SHARE, 1) * wait_ms), 1)


def count_requesting_fronts(fronts: int, by_zone: Sequence[int], zone: int) -> int:
    """Return how many fronts ask the machines of a zone: all, where no front stands there.

    Args:
        fronts: How many there are.
        by_zone: How many stand in each zone; empty where that is not told.
        zone: The machines' zone.
    """
    own = by_zone[zone] if zone < len(by_zone) else 0
    return own or max(fronts, 1)


class DialLimit:
    """How many connections to one machine may be dialled at once.

    Doubled by each that comes up; the initial share again once one fails.

    Args:
        fronts: How many fronts dial the machine.

    Attributes:
        most: The number now.
    """

    def __init__(self, fronts: int) -> None:
        self.initial_max_dials = self.max_dials = max(MAX_INITIAL_DIALS_ALL_FRONTS // max(fronts, 1), 1)

    def on_connected(self) -> None:
        """Note that a connection came up."""
        self.max_dials = min(2 * self.max_dials, MAX_DIALS)

    def on_connect_failed(self) -> None:
        """Note that one did not come up."""
        self.max_dials = self.initial_max_dials
