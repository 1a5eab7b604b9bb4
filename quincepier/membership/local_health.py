"""Lifeguard's local health multiplier: a slow member waits longer before it suspects others."""

from __future__ import annotations


class LocalHealth:
    """A score from 0 (healthy) to a maximum (Lifeguard, section IV-A)."""

    def __init__(self, max_score: int) -> None:
        self._max_score = max_score
        self._score = 0

    def record_failure(self) -> None:
        """Raises the score after a sign of slowness: missed nacks, a refuted suspicion, a pause."""
        self._score = min(self._score + 1, self._max_score)

    def record_success(self) -> None:
        """Lowers the score after an answered probe."""
        self._score = max(self._score - 1, 0)

    @property
    def probe_timeout_multiplier(self) -> int:
        """The factor for probe timeouts."""
        return 1 + self._score

    @property
    def suspicion_timeout_multiplier(self) -> int:
        """The factor for suspicion timeouts."""
        return 1 + self._score // 2
