"""Invariants, counters and logged events of a front.

A violated invariant raises AssertionError; under `python -O` it is counted and logged instead. Names of
events and counters are in snake_case; docs/oncall.md lists them all.
"""

from __future__ import annotations

import traceback
from collections import Counter
from pathlib import PurePath

from loguru import logger

MAX_LINES_PER_EVENT = 20  # further occurrences of an event are only counted
MAX_DETAIL_CHARACTERS = 300
MAX_FRAMES = 3  # innermost stack frames of an exception that are logged


def innermost_calls(error: BaseException) -> str:
    """Return the innermost frames of an exception's traceback, the innermost first; reads no source file."""
    frames = list(traceback.walk_tb(error.__traceback__))[-MAX_FRAMES:]
    locations = [(frame.f_code, line) for frame, line in reversed(frames)]
    return ", ".join(f"{PurePath(code.co_filename).name}:{line} {code.co_name}" for code, line in locations)


class Checks:
    """Counts and logs unusual events. Each front has one instance, which only its event loop uses."""

    def __init__(self) -> None:
        self.counts: Counter[str] = Counter()
        self._reported: Counter[str] = Counter()

    def must(self, holds: bool, invariant: str) -> bool:
        """Check an invariant and return whether it holds.

        Args:
            holds: Whether the invariant holds.
            invariant: Its name in snake_case, under which a violation is counted and logged.

        Raises:
            AssertionError: It does not hold, and Python runs without `-O`.
        """
        if not holds:
            assert holds, invariant
            self.event(f"invariant_violated_{invariant}")
        return holds

    def count(self, name: str, by: int = 1) -> None:
        """Increase a counter."""
        self.counts[name] += by

    def event(self, name: str, detail: str = "") -> None:
        """Count an event; its first occurrences are logged as warnings."""
        self.counts[name] += 1
        if self.counts[name] > MAX_LINES_PER_EVENT:
            return
        clipped = detail[:MAX_DETAIL_CHARACTERS]
        fields = {"event": name}
        if clipped:
            fields["detail"] = clipped
        logger.bind(**fields).warning("{}{}{}", name, ": " if clipped else "", clipped)

    def exception(self, name: str, error: BaseException, about: str = "") -> None:
        """Count an exception that its actor survives; the first ones are logged with their innermost frames.

        Args:
            name: Name of the event.
            error: The exception.
            about: What was being handled.
        """
        if self.counts[name] >= MAX_LINES_PER_EVENT:
            self.count(name)
            return
        prefix = f"{about}: " if about else ""
        self.event(name, f"{prefix}{type(error).__name__}: {error}; at {innermost_calls(error)}")

    def describe_changes(self) -> str:
        """Return the counters that changed since the last call, as text; empty if none did."""
        changed = {name: count for name, count in self.counts.items() if count != self._reported[name]}
        self._reported.update(self.counts - self._reported)
        return ", ".join(f"{name} {count}" for name, count in sorted(changed.items()))
