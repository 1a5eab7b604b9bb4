"""An event loop in virtual time, which advances only when no socket is ready.

Waiting takes no real time, and results don't depend on how busy the machine is. Sockets are real, over
loopback, with both ends in the same loop.
"""

from __future__ import annotations

import asyncio
import selectors
import time
from collections.abc import Coroutine
from types import SimpleNamespace
from typing import Any

import pytest

from quincepier import clock

START_MONOTONIC_NS, START_UNIX_NS = 1000 * clock.SECOND, 1_764_576_000 * clock.SECOND
LOOPBACK_DELAY_S = 0.00002  # real time; bytes over loopback arrive at once unless the kernel is busy


class VirtualSelector(selectors.DefaultSelector):
    time_s = 0.0

    def select(self, timeout: float | None = None) -> Any:
        ready = super().select(0)
        if not ready and timeout != 0:
            time.sleep(LOOPBACK_DELAY_S)
            ready = super().select(0)
            if not ready:
                self.time_s += 0.05 if timeout is None else timeout
        return ready


class VirtualLoop(asyncio.SelectorEventLoop):
    def __init__(self) -> None:
        self.virtual_selector = VirtualSelector()
        super().__init__(self.virtual_selector)

    def time(self) -> float:
        return self.virtual_selector.time_s


def run(scenario: Coroutine[Any, Any, Any], patch: pytest.MonkeyPatch) -> Any:
    """Run a coroutine in virtual time; the front's clocks follow the loop's."""
    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        loop = runner.get_loop()
        times = SimpleNamespace(
            monotonic_ns=lambda: START_MONOTONIC_NS + round(loop.time() * clock.SECOND),
            time_ns=lambda: START_UNIX_NS + round(loop.time() * clock.SECOND),
        )
        patch.setattr(clock, "time", times)
        return runner.run(scenario)


def unix_ms(seconds: float) -> int:
    """Convert a time of the loop to Unix milliseconds."""
    return (START_UNIX_NS + round(seconds * clock.SECOND)) // clock.MS
