"""What must hold: asserted in debug, counted and logged in release (`python -O`). Counters of the rest."""

from __future__ import annotations

from collections import Counter

from loguru import logger

LINES_EACH = 20  # log lines of one kind; what comes after is only counted


class Checks:
    def __init__(self) -> None:
        self.counts: Counter[str] = Counter()
        self.told: Counter[str] = Counter()

    def must(self, holds: bool, what: str) -> bool:
        """Whether what must hold does; in debug a breach raises, which ends the message it was met in."""
        if not holds:
            assert holds, what
            self.event(f"broken: {what}")
        return holds

    def count(self, kind: str, by: int = 1) -> None:
        self.counts[kind] += by

    def event(self, kind: str, detail: str = "") -> None:
        """Count an event and log the first ones of its kind."""
        self.counts[kind] += 1
        if self.counts[kind] <= LINES_EACH:
            told = {"event": kind} | ({"detail": detail[:300]} if detail else {})
            logger.bind(**told).warning("{}{}{}", kind, ": " if detail else "", detail[:300])

    def changed(self) -> str:
        """The counters that moved since the last call, as text; empty where none did."""
        moved = {kind: n for kind, n in self.counts.items() if n != self.told[kind]}
        self.told.update(self.counts - self.told)
        return ", ".join(f"{kind} {n}" for kind, n in sorted(moved.items()))
