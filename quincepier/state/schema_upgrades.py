"""Older versions of a record's content, brought up one step at a time. Pure: plain values in and out."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from typing import Any

CURRENT = 2


def upgrade_from_1(content: dict[str, Any]) -> dict[str, Any]:
    """Version 1 knew nothing of addresses."""
    return {**content, "aside": ()}


STEPS: Mapping[int, Callable[[dict[str, Any]], dict[str, Any]]] = {
    1: upgrade_from_1
}  # by the version they read


def upgrade(version: int, content: Any) -> Any:
    """Content of a version of ours as the current one has it; KeyError where there is no such step."""
    for n in range(version, CURRENT):
        content = STEPS[n](dict(content))
    return content
