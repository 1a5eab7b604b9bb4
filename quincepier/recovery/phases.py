"""Where a front is on its way back, by what came back so far. No clock: each call is told the time.

Each stage is left when its condition holds, never by time alone. A standstill of the front's own leads back
to LISTED: what it knew of the others is from before. `full service` is told once a start.
"""

from __future__ import annotations

from collections import deque
from enum import IntEnum

MS = 1_000_000
SECOND = 1000 * MS
FULL = 0.97  # share of the worth asked for that is served in time: full service
HOLDS, MOST = 2, 10  # whole seconds that show it, at least and at most
LEAST = 50  # requests in them; of fewer, one that is late by chance would say too much


class RecoveryPhase(IntEnum):
    """Each is entered when that has come back."""

    STARTED = 0
    LISTED = 1  # the list of machines
    ANSWERED = 2  # first answers, of each class that was asked for
    FOUND = 3  # how many fills are borne: the bound was kept over as many fills, or is not pressed
    USUAL = 4  # service is full


WORDS = ("started", "list", "first answers", "bound", "as usual")


class RecoveryTracker:
    """One start of a front. Its calls give log lines: a stage entered and why, and full service."""

    def __init__(self, now: int) -> None:
        self.began, self.entered = now, {RecoveryPhase.STARTED: now}
        self.stage, self.told = RecoveryPhase.STARTED, False
        self.second, self.due, self.done, self.count = now // SECOND, 0.0, 0.0, 0  # of the second that runs
        self.seconds: deque[tuple[float, float, int]] = deque(maxlen=MOST)  # worth due, served, requests

    def _enter(self, stage: RecoveryPhase, now: int, why: str) -> list[str]:
        took = (now - self.entered[self.stage]) // MS
        line = f"stage {WORDS[stage]}: {why}; {WORDS[self.stage]} held for {took} ms"
        self.stage, self.entered[stage] = stage, now
        return [line]

    def listed(self, now: int) -> list[str]:
        """A list of machines is there."""
        return (
            self._enter(RecoveryPhase.LISTED, now, "a list is there")
            if self.stage is RecoveryPhase.STARTED
            else []
        )

    def answered(self, now: int, answers: int) -> list[str]:
        """Machines gave so many answers, of each class that was asked for one."""
        why = f"{answers} answers, each class asked for among them"
        return self._enter(RecoveryPhase.ANSWERED, now, why) if self.stage is RecoveryPhase.LISTED else []

    def kept(self, now: int) -> list[str]:
        """A bound's worth of fills is over, and neither went badly nor pressed for more."""
        return self._found(now, "the bound was kept")

    def unpressed(self, now: int) -> list[str]:
        """Nothing waits for the bound."""
        return self._found(now, "nothing waits for the bound")

    def _found(self, now: int, why: str) -> list[str]:
        settled = now - self.entered.get(RecoveryPhase.ANSWERED, now) >= SECOND // 2
        return (
            self._enter(RecoveryPhase.FOUND, now, why)
            if self.stage is RecoveryPhase.ANSWERED and settled
            else []
        )

    def over(self, now: int, worth: float, served: bool) -> list[str]:
        """A request has its final answer; whether it was served in time."""
        lines = self._turn(now)
        self.due, self.done, self.count = self.due + worth, self.done + worth * served, self.count + 1
        return lines

    def _turn(self, now: int) -> list[str]:
        """Close the second that ran, and those after it that nothing came in."""
        if now // SECOND == self.second:
            return []
        self.seconds.append((self.due, self.done, self.count))
        self.seconds.extend([(0.0, 0.0, 0)] * min(now // SECOND - self.second - 1, MOST))
        self.second, self.due, self.done, self.count = now // SECOND, 0.0, 0.0, 0
        if self.stage is not RecoveryPhase.FOUND or not (span := self._full()):
            return []
        lines = self._enter(RecoveryPhase.USUAL, now, f"{FULL:.2f} of the worth in time over {span} s")
        if self.told:
            return lines
        self.told = True
        return [*lines, self._claim(now, span)]

    def _full(self) -> int:
        """Seconds, back from now, in which service was full; 0 where it was not or too little came."""
        due, done, count = 0.0, 0.0, 0
        for span, (asked, served, requests) in enumerate(reversed(self.seconds), 1):
            due, done, count = due + asked, done + served, count + requests
            if span >= HOLDS and count >= LEAST:  # one request may be late by chance
                return span if done + due / count >= FULL * due else 0
        return 0

    def _claim(self, now: int, span: int) -> str:
        """The seconds that showed it were full already, so service is counted full from their begin."""
        at = max(now - span * SECOND, self.entered.get(RecoveryPhase.FOUND, now), self.began)
        marks = [
            self.entered.get(stage, at) for stage in RecoveryPhase if stage is not RecoveryPhase.USUAL
        ] + [at]
        took = (max(b - a, 0) // MS for a, b in zip(marks, marks[1:], strict=False))
        parts = ", ".join(f"{word} {ms}" for word, ms in zip(WORDS[1:], took, strict=False))
        return f"full service after {(at - self.began) // MS} ms ({parts})"

    def stood_still(self, now: int, gap: int) -> list[str]:
        """The front itself did not run for `gap` ns, and all but the list is to be found anew."""
        if self.stage <= RecoveryPhase.LISTED:
            return []
        self.seconds.clear()
        return self._enter(RecoveryPhase.LISTED, now, f"the front stood still for {gap // MS} ms")
