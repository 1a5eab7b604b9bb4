"""Invariants and counters of a front.

An invariant that does not hold raises in debug; under `python -O` it is counted and logged. Names of events
and counters are in snake_case; docs/oncall.md lists them all.
"""

from __future__ import annotations

import traceback
from collections import Counter
from pathlib import PurePath

from loguru import logger

MAX_LINES_PER_EVENT = 20  # log lines of one event; what comes after is only counted
MAX_DETAIL_CHARACTERS = 300
MAX_FRAMES = 3  # innermost calls of an exception that are logged


def innermost_calls(error: BaseException) -> str:
    """Return the last calls of an exception's traceback, the innermost first; no source file is read."""
    calls = list(traceback.walk_tb(error.__traceback__))[-MAX_FRAMES:]
    places = [(frame.f_code, line) for frame, line in reversed(calls)]
    return ", ".join(f"{PurePath(code.co_filename).name}:{line} {code.co_name}" for code, line in places)


class Checks:
    """Counts and logs what is unusual. One instance a front, used from its event loop alone."""

    def __init__(self) -> None:
        self.counts: Counter[str] = Counter()
        self._reported: Counter[str] = Counter()

    def must(self, holds: bool, invariant: str) -> bool:
        """Return whether an invariant holds; AssertionError in debug where it does not.

        Args:
            holds: whether it does.
            invariant: its name in snake_case; violations are counted and logged by it.
        """
        if not holds:
            assert holds, invariant
            self.event(f"invariant_violated_{invariant}")
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

    def exception(self, name: str, error: BaseException, about: str = "") -> None:
        """Count an exception that its actor survives; log the first ones with their innermost calls.

        Args:
            name: the event.
            error: the exception.
            about: what was being handled.
        """
        if self.counts[name] >= MAX_LINES_PER_EVENT:
            self.count(name)
            return
        prefix = f"{about}: " if about else ""
        self.event(name, f"{prefix}{type(error).__name__}: {error}; at {innermost_calls(error)}")

    def describe_changes(self) -> str:
        """Return the counters that moved since the last call, as text; empty where none did."""
        moved = {name: count for name, count in self.counts.items() if count != self._reported[name]}
        self._reported.update(self.counts - self._reported)
        return ", ".join(f"{name} {count}" for name, count in sorted(moved.items()))
