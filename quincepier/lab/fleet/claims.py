"""Claims of full service: whether a front that says it is back serves nearly what the fleet served before.

Both by tries, without those whose client left before its time or hurried. What the next fault strikes, or
finds open, is not held against a front.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable, Iterator, Sequence
from dataclasses import dataclass

from quincepier.lab.experiment import SECOND
from quincepier.lab.recovery_metrics import FULL_SERVICE_SHARE, SETTLING_DIVISOR

LOOKED_FOR, LEAST_TRIES, LEAST_SHARE = 3 * SECOND, 20, 0.9  # after a claim; of the usual share
OPEN_FOR = SECOND // 2  # what came so shortly before a fault may be open as it strikes


@dataclass(slots=True, frozen=True)
class Try:
    """One try of a client that ended at `when`, ns: what it was worth and what it earned."""

    when: int
    asked: float
    served: float


@dataclass(slots=True, frozen=True)
class Claim:
    """A claim of a front, the share of worth that it served after it, and the usual one of all fronts."""

    front: int
    share: float
    usual: float
    tries: int

    @property
    def is_false(self) -> bool:
        """Whether it serves less than it says."""
        return self.tries >= LEAST_TRIES and self.share < LEAST_SHARE * FULL_SERVICE_SHARE * self.usual


class Claims:
    """The tries at each front."""

    def __init__(self) -> None:
        self._tries: dict[int, list[Try]] = defaultdict(list)

    def on_try(self, front: int, when: int, asked: float, served: float) -> None:
        """Note a try that counts."""
        self._tries[front].append(Try(when, asked, served))

    def judged(self, claims: Iterable[tuple[int, int]], start: int, struck: Sequence[int]) -> Iterator[Claim]:
        """Return each claim (when, by which front) with what was served; `struck`: when faults struck, ns.

        Where no fault was told nothing says what is usual, nor what strikes after a claim: none is false.
        """
        if not struck:
            return
        calm = min(struck)
        since = start + (calm - start) // SETTLING_DIVISOR
        usual = _share(one for tries in self._tries.values() for one in tries if since <= one.when < calm)
        for when, front in claims:
            next_fault = min((at for at in struck if at > when), default=when + LOOKED_FOR)
            until = min(when + LOOKED_FOR, next_fault - OPEN_FOR)
            after = [one for one in self._tries[front] if when <= one.when < until]
            yield Claim(front, _share(after), usual, len(after))


def _share(tries: Iterable[Try]) -> float:
    """The share of worth served; 0 where there was none."""
    asked = served = 0.0
    for one in tries:
        asked += one.asked
        served += one.served
    return served / asked if asked else 0.0
