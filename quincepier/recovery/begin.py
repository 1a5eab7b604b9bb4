"""What a front allows itself before anything came back: its own part, as all may return at once."""

import random
from collections.abc import Sequence

POLL_LEAST = 0.3  # of the usual wait: the least that a first poll waits, so that later ones are out of step
DIALS_ALL, DIALS_MOST = 16, 1024  # at once at one machine, of all fronts; as good as no limit


def first_poll(chance: random.Random, wait_ms: int) -> int:  # ms; drawn, so no two fronts go on in step
    return max(int(chance.uniform(POLL_LEAST, 1) * wait_ms), 1)


def fronts_that_ask(fronts: int, by_zone: Sequence[int], zone: int) -> int:  # all, where no front stands
    return (zone < len(by_zone) and by_zone[zone]) or max(fronts, 1)


class Ramp:  # dials to one machine: doubled by each that is up, few again once one fails
    def __init__(self, fronts: int) -> None:
        self.first = self.most = max(DIALS_ALL // max(fronts, 1), 1)

    def up(self) -> None:
        self.most = min(2 * self.most, DIALS_MOST)

    def failed(self) -> None:
        self.most = self.first
