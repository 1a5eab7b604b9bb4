"""Invariants and counters of a front.

An invariant that does not hold raises in debug; under `python -O` it is counted and logged. Names of events
and counters are in snake_case; docs/oncall.md lists them all.
"""

from __future__ import annotations

from collections import Counter

from loguru import logger

MAX_LINES_PER_EVENT = 20  # log lines of one event; what comes after is only counted
MAX_DETAIL_CHARACTERS = 300


class Checks:
    """Counts and logs what is unusual. One instance a front, used from its event loop alone."""

    def __init__(self) -> None:
        self.counts: Counter[str] = Counter()
        self._reported: Counter[str] = Counter()

    def must(self, holds: bool, invariant: str) -> bool:
        """Return whether an invariant holds; AssertionError in debug where it does not.

        Args:
            holds: whether it does.
            invariant: what must hold, as a sentence without a full stop.
        """
        if not holds:
            assert holds, invariant
            self.event("invariant_violated", invariant)
        return holds

    def count(self, name: str, by: int = 1) -> None:
        """Add to a counter."""
        self.counts[name] += by

    def event(self, name: str, detail: str = "") -> None:
        """Count an event and log the first ones of its name as warnings."""
        self.counts[name] += 1
        if self.counts[name] > MAX_LINES_PER_EVENT:
            return
        clipped = detail[:MAX_DETAIL_CHARACTERS]
        fields = {"event": name}
        if clipped:
            fields["detail"] = clipped
        logger.bind(**fields).warning("{}{}{}", name, ": " if clipped else "", clipped)

    def changed(self) -> str:
        """Return the counters that moved since the last call, as text; empty where none did."""
        moved = {name: count for name, count in self.counts.items() if count != self._reported[name]}
        self._reported.update(self.counts - self._reported)
        return ", ".join(f"{name} {count}" for name, count in sorted(moved.items()))
