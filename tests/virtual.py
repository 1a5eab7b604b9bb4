"""A loop whose time moves on only as nothing is ready: seconds of waiting cost none, and no verdict rests on
how busy the machine is. Sockets are real ones, on loopback, both ends in the same loop."""

from __future__ import annotations

import asyncio
import selectors
import time
from collections.abc import Coroutine
from types import SimpleNamespace
from typing import Any

import pytest

from quincepier import clock

START, UNIX = 1000 * clock.SECOND, 1_764_576_000 * clock.SECOND
SURE = 0.00002  # real seconds; what is sent over loopback is there at once, but for a busy kernel


class Jumping(selectors.DefaultSelector):
    ahead = 0.0

    def select(self, timeout: float | None = None) -> Any:
        ready = super().select(0)
        if not ready and timeout != 0:
            time.sleep(SURE)
            ready = super().select(0)
            if not ready:
                self.ahead += 0.05 if timeout is None else timeout
        return ready


class VirtualLoop(asyncio.SelectorEventLoop):
    def __init__(self) -> None:
        self.jumping = Jumping()
        super().__init__(self.jumping)

    def time(self) -> float:
        return self.jumping.ahead


def run(story: Coroutine[Any, Any, Any], patch: pytest.MonkeyPatch) -> Any:
    """Play a story, the front's clock being the loop's."""
    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        loop = runner.get_loop()
        times = SimpleNamespace(
            monotonic_ns=lambda: START + round(loop.time() * clock.SECOND),
            time_ns=lambda: UNIX + round(loop.time() * clock.SECOND),
        )
        patch.setattr(clock, "time", times)
        return runner.run(story)


def unix_ms(seconds: float) -> int:
    """The Unix millisecond of a time of the loop."""
    return (UNIX + round(seconds * clock.SECOND)) // clock.MS
