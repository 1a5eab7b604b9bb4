"""A hash of keys, and the bound of memories by key. Nothing here decides anything."""

from __future__ import annotations

from collections.abc import Iterable

MEMORY_MOST = 4096  # entries of any memory that requests fill; the oldest go first


def mix_each(first: int, seconds: Iterable[int]) -> list[int]:
    """Return `mix(first, second)` of each, in less time for thousands."""
    h = (0x9E3779B97F4A7C15 ^ first) * 0xBF58476D1CE4E5B9 & 0xFFFFFFFFFFFFFFFF
    h = (h ^ h >> 29) * 0x94D049BB133111EB & 0xFFFFFFFFFFFFFFFF
    h ^= h >> 32
    found = []
    for second in seconds:
        g = (h ^ second) * 0xBF58476D1CE4E5B9 & 0xFFFFFFFFFFFFFFFF
        g = (g ^ g >> 29) * 0x94D049BB133111EB & 0xFFFFFFFFFFFFFFFF
        found.append(g ^ g >> 32)
    return found


def mix(*numbers: int) -> int:  # A 64-bit hash of whole numbers, the same at every front and in every process
    h = 0x9E3779B97F4A7C15
    for n in numbers:
        h = (h ^ n) * 0xBF58476D1CE4E5B9 & 0xFFFFFFFFFFFFFFFF
        h = (h ^ h >> 29) * 0x94D049BB133111EB & 0xFFFFFFFFFFFFFFFF
        h ^= h >> 32
    return h
