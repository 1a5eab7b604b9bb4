"""For all tests: no verdict rests on how long an example takes, nor on what earlier tests left in memory."""

from __future__ import annotations

import pytest
from hypothesis import settings

from quincepier.lifecycle import front

pytest_plugins = ["tests.known_red", "tests.packages"]  # which tests alone may fail; which are of a package

OWN_MEMORY = 20 << 20  # bytes, as of a front that has just started

settings.register_profile("no clock", deadline=None)
settings.load_profile("no clock")


def pytest_collection_modifyitems(config: pytest.Config, items: list[pytest.Item]) -> None:
    """Side by side, those that take long begin first, so that none is left over at the end."""

    def seconds(item: pytest.Item) -> float:
        mark = item.get_closest_marker("seconds")
        return float(mark.args[0]) if mark is not None else 0.0

    if hasattr(config, "workerinput"):
        items.sort(key=seconds, reverse=True)


@pytest.fixture(autouse=True)
def resident_memory(monkeypatch: pytest.MonkeyPatch) -> None:
    """A front shares out what its process has left, and this process holds all other tests too."""
    monkeypatch.setattr(front, "resident_bytes", lambda: OWN_MEMORY)
