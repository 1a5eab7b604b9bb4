"""For all tests: results depend neither on how long an example takes nor on memory that earlier tests use."""

from __future__ import annotations

import pytest
from hypothesis import settings

from quincepier.lifecycle import front

pytest_plugins = ["tests.known_red", "tests.packages"]  # the list of known failures; --package

LANES = 4  # tests with a fleet of processes that run at once; each needs much of the machine
RESIDENT_BYTES = 20 << 20  # resident size of a front that has just started

settings.register_profile("no clock", deadline=None)
settings.load_profile("no clock")


@pytest.hookimpl(tryfirst=True)  # before pytest-xdist reads the groups
def pytest_collection_modifyitems(config: pytest.Config, items: list[pytest.Item]) -> None:
    """With pytest-xdist, run the fleet tests first, divided into LANES groups of about equal duration."""
    if not hasattr(config, "workerinput"):
        return
    seconds_by_run = dict[str, float]()
    for item in items:
        if (mark := item.get_closest_marker("fleet")) is not None:
            seconds_by_run[_fleet_run_of(item)] = float(mark.args[0])
    lanes = [0.0] * LANES
    lane_by_run = dict[str, int]()
    for run, seconds in sorted(seconds_by_run.items(), key=lambda found: -found[1]):
        lane_by_run[run] = lane = lanes.index(min(lanes))
        lanes[lane] += seconds
    for item in items:
        if item.get_closest_marker("fleet") is not None:
            item.add_marker(pytest.mark.xdist_group(f"fleets {lane_by_run[_fleet_run_of(item)]}"))
    items.sort(key=lambda item: item.get_closest_marker("fleet") is None)


def _fleet_run_of(item: pytest.Item) -> str:
    """Id of the fleet's run: the test, or all cases of a test that share a fixture of their module."""
    assert isinstance(item, pytest.Function)
    is_shared = any(found[-1].scope == "module" for found in item._fixtureinfo.name2fixturedefs.values())
    return item.nodeid.partition("[")[0] if is_shared else item.nodeid


@pytest.fixture(autouse=True)
def resident_memory(monkeypatch: pytest.MonkeyPatch) -> None:
    """A front divides the memory that its process leaves free, and the test process holds all other tests."""
    monkeypatch.setattr(front, "resident_bytes", lambda: RESIDENT_BYTES)
