"""Initial limits of a front after a start.

All fronts may restart at the same time, so each limits its connects to a machine to its share until its first
connections are established, and draws a random wait for its first poll.
"""

import random
from collections.abc import Sequence

MIN_FIRST_POLL_SHARE = 0.3  # of the usual wait; the first wait is drawn from here up to the usual wait
# Connects of all fronts together to one machine at the same time, before a connection to it is established.
MAX_INITIAL_DIALS_ALL_FRONTS = 16
MAX_DIALS = 1024  # connects to one machine at the same time; practically no limit


def draw_first_poll_wait_ms(rng: random.Random, wait_ms: int) -> int:
    """Return how long the first poll may wait, ms; random, so that the polls of the fronts are spread.

    Args:
        rng: Source of random numbers.
        wait_ms: The usual wait of a poll, ms.
    """
    return max(int(rng.uniform(MIN_FIRST_POLL_SHARE, 1) * wait_ms), 1)


def count_requesting_fronts(fronts: int, by_zone: Sequence[int], zone: int) -> int:
    """Return how many fronts send requests to the machines of a zone; all, if the zone has no fronts.

    Args:
        fronts: Number of all fronts.
        by_zone: Number of fronts in each zone; empty if that is unknown.
        zone: The machines' zone.
    """
    own = by_zone[zone] if zone < len(by_zone) else 0
    return own or max(fronts, 1)


class DialLimit:
    """Limit of the simultaneous connects to one machine.

    Each established connection doubles it; a failed connect resets it to its initial value.

    Args:
        fronts: Number of fronts that connect to the machine.

    Attributes:
        initial_max_dials: The initial limit: this front's share.
        max_dials: The present limit.
    """

    def __init__(self, fronts: int) -> None:
        self.initial_max_dials = self.max_dials = max(MAX_INITIAL_DIALS_ALL_FRONTS // max(fronts, 1), 1)

    def on_connected(self) -> None:
        """Note that a connection was established."""
        self.max_dials = min(2 * self.max_dials, MAX_DIALS)

    def on_connect_failed(self) -> None:
        """Note that a connect failed."""
        self.max_dials = self.initial_max_dials
