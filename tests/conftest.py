"""For all tests: no verdict rests on how long an example takes, nor on what earlier tests left in memory."""

from __future__ import annotations

import pytest
from hypothesis import settings

from quincepier.lifecycle import front

pytest_plugins = ["tests.known_red", "tests.packages"]  # which tests alone may fail; which are of a package

LANES = 4  # of tests that play a fleet of processes each, which wants room on the machine
OWN_MEMORY = 20 << 20  # bytes, as of a front that has just started

settings.register_profile("no clock", deadline=None)
settings.load_profile("no clock")


@pytest.hookimpl(tryfirst=True)  # before pytest-xdist reads the groups
def pytest_collection_modifyitems(config: pytest.Config, items: list[pytest.Item]) -> None:
    """Side by side, as many fleets play at once as there are lanes: about equally long, and first of all."""
    if not hasattr(config, "workerinput"):
        return
    marks = ((item, item.get_closest_marker("fleet")) for item in items)
    fleets = [(item, float(mark.args[0])) for item, mark in marks if mark is not None]
    lanes = [0.0] * LANES
    for item, seconds in sorted(fleets, key=lambda fleet: -fleet[1]):
        lane = lanes.index(min(lanes))
        lanes[lane] += seconds
        item.add_marker(pytest.mark.xdist_group(f"fleets {lane}"))
    items.sort(key=lambda item: item.get_closest_marker("fleet") is None)


@pytest.fixture(autouse=True)
def resident_memory(monkeypatch: pytest.MonkeyPatch) -> None:
    """A front shares out what its process has left, and this process holds all other tests too."""
    monkeypatch.setattr(front, "resident_bytes", lambda: OWN_MEMORY)
