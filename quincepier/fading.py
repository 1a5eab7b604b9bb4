"""A mean of signs that fade. It only reckons: what fades how fast, and what follows, its users say."""

from __future__ import annotations

import math


class Pace:
    """How many times slower than usual something was lately; with no signs of it, as usual.

    Signs are logarithms; each counts half after `fade` ns, beside `prior` signs of 0 that do not fade.
    """

    __slots__ = ("at", "fade", "prior", "signs", "slowed")

    def __init__(self, fade: int, prior: float) -> None:
        self.fade, self.prior = fade, prior
        self.slowed, self.signs, self.at = 0.0, 0.0, 0  # sum and number of signs, when they were up to date

    def sign(self, now: int, slowed: float) -> None:
        fade = math.exp2((self.at - now) / self.fade)
        self.slowed, self.signs, self.at = self.slowed * fade + slowed, self.signs * fade + 1, now

    def times(self, now: int) -> float:
        fade = math.exp2((self.at - now) / self.fade)
        return math.exp(max(self.slowed * fade / (self.signs * fade + self.prior), 0.0))
