"""For all tests: no verdict rests on how long an example takes, nor on what earlier tests left in memory."""

from __future__ import annotations

import pytest
from hypothesis import settings

from quincepier.lifecycle import front

pytest_plugins = ["tests.known_red"]  # which tests alone may fail

OWN_MEMORY = 20 << 20  # bytes, as of a front that has just started

settings.register_profile("no clock", deadline=None)
settings.load_profile("no clock")


@pytest.fixture(autouse=True)
def resident_memory(monkeypatch: pytest.MonkeyPatch) -> None:
    """A front shares out what its process has left, and this process holds all other tests too."""
    monkeypatch.setattr(front, "resident_bytes", lambda: OWN_MEMORY)
