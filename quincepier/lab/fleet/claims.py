"""Checks claims of full service: a front that claims it must serve nearly the share that was usual before.

Both shares are by tries of clients, without those that were aborted or had a shortened deadline. Tries that
the next fault may have hit do not count.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable, Iterator, Sequence
from dataclasses import dataclass

from quincepier.lab.experiment import SECOND
from quincepier.lab.recovery_metrics import FULL_SERVICE_SHARE, SETTLING_DIVISOR

JUDGED_SPAN_NS, MIN_TRIES, MIN_SHARE_OF_USUAL = 3 * SECOND, 20, 0.9  # of the usual share of worth
FAULT_MARGIN_NS = SECOND // 2  # tries this shortly before a fault may still be open when it strikes


@dataclass(slots=True, frozen=True)
class TryOutcome:
    """One try of a client that ended at `when` (ns), with its worth and the worth that was served."""

    when: int
    asked: float
    served: float


@dataclass(slots=True, frozen=True)
class Claim:
    """A claim of full service.

    Attributes:
        share: Share of worth that the front served after the claim.
        usual: Share of worth that all fronts served before the first fault.
        tries: Number of tries that `share` is based on.
    """

    front: int
    share: float
    usual: float
    tries: int

    @property
    def is_false(self) -> bool:
        """Whether enough tries show that the front served less than it claimed."""
        return self.tries >= MIN_TRIES and self.share < MIN_SHARE_OF_USUAL * FULL_SERVICE_SHARE * self.usual


class Claims:
    """The counted tries at each front, and the verdict on claims."""

    def __init__(self) -> None:
        self._tries: dict[int, list[TryOutcome]] = defaultdict(list)

    def on_try(self, front: int, when: int, asked: float, served: float) -> None:
        """Record a try that counts; `asked` and `served` are worth."""
        self._tries[front].append(TryOutcome(when, asked, served))

    def judge(
        self, claims: Iterable[tuple[int, int]], start: int, fault_times: Sequence[int]
    ) -> Iterator[Claim]:
        """Yield each claim (time, front) with the served shares; `fault_times`: starts of all faults, ns.

        Without faults neither the usual share nor the end of the judged time is known: yields nothing.
        """
        if not fault_times:
            return
        first_fault = min(fault_times)
        since = start + (first_fault - start) // SETTLING_DIVISOR
        usual = _served_share(
            outcome
            for tries in self._tries.values()
            for outcome in tries
            if since <= outcome.when < first_fault
        )
        for when, front in claims:
            next_fault = min((at for at in fault_times if at > when), default=when + JUDGED_SPAN_NS)
            until = min(when + JUDGED_SPAN_NS, next_fault - FAULT_MARGIN_NS)
            after = [outcome for outcome in self._tries[front] if when <= outcome.when < until]
            yield Claim(front, _served_share(after), usual, len(after))


def _served_share(tries: Iterable[TryOutcome]) -> float:
    """Return the share of worth that was served, 0 without tries."""
    asked = served = 0.0
    for outcome in tries:
        asked += outcome.asked
        served += outcome.served
    return served / asked if asked else 0.0
