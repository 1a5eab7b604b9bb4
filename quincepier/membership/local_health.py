"""Lifeguard's local health multiplier: a member that is slow itself waits longer to suspect others."""

from __future__ import annotations


class LocalHealth:
    """A score from 0, healthy, up to a maximum (Lifeguard, section IV-A)."""

    def __init__(self, max_score: int) -> None:
        self._max_score = max_score
        self._score = 0

    def record_failure(self) -> None:
        """Counts a sign that this member is slow: missed nacks, a refuted suspicion, a pause."""
        self._score = min(self._score + 1, self._max_score)

    def record_success(self) -> None:
        """Counts a probe that was answered."""
        self._score = max(self._score - 1, 0)

    @property
    def probe_timeout_multiplier(self) -> int:
        """The factor for probe timeouts."""
        return 1 + self._score

    @property
    def suspicion_timeout_multiplier(self) -> int:
        """The factor for suspicion timeouts."""
        return 1 + self._score // 2
