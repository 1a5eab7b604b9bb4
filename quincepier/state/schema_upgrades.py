"""Upgrades of a record's content from older schema versions, one version at a time, on plain values."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from typing import Any

CURRENT_VERSION = 2


def upgrade_from_1(content: dict[str, Any]) -> dict[str, Any]:
    """Add the address backoffs, which version 1 did not have."""
    return {**content, "aside": ()}


UPGRADE_BY_VERSION: Mapping[int, Callable[[dict[str, Any]], dict[str, Any]]] = {1: upgrade_from_1}
"""Upgrade functions by the version that they read; each returns the content of the next version."""


def upgrade(version: int, content: Any) -> Any:
    """Upgrade content of `version` to the current schema.

    Raises:
        KeyError: There is no upgrade from `version`.
    """
    for older in range(version, CURRENT_VERSION):
        content = UPGRADE_BY_VERSION[older](dict(content))
    return content
