"""Detects process pauses: the front's process was stopped, had no CPU, or spent long in one loop iteration.

Bytes that are in a socket after a pause may have arrived at any moment of it. A heartbeat of the event loop
gives the last moment before the pause; until the loop has polled all sockets, bytes that are read count as
received at that moment. After a long pause, as at a start, no attempt begins before the front has caught up
with the change log, since its endpoint list may be out of date.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

from quincepier import clock
from quincepier.checks import Checks

HEARTBEAT = 50 * clock.MS  # interval between readings of the clock
MIN_PAUSE = 50 * clock.MS  # beyond a heartbeat; a shorter pause looks like a busy loop iteration
MIN_LONG_PAUSE = 300 * clock.MS  # a pause of this length may have delayed change-log events
SETTLE_ITERATIONS = 12  # loop iterations in which everything that arrived in a pause is read and handled


class PauseDetector:
    """Heartbeat of one event loop. It detects no pause before `start`.

    Args:
        checks: Counters and event log.

    Attributes:
        settled: Clear after a long pause until the events that arrived in it have been handled.
        catch_up: Waits a short time for the change-log events of a long pause; set by the front.
    """

    def __init__(self, checks: Checks) -> None:
        self.settled = asyncio.Event()
        self.settled.set()
        self.catch_up: Callable[[], Awaitable[None]] | None = None
        self._checks = checks
        self._settling: asyncio.Task[None] | None = None
        self._last_beat_ns = clock.now()
        self._paused_since_ns = 0  # 0: everything that arrived in the last pause has been read
        self._settle_iterations_left = 0
        self._heartbeat_timer: asyncio.TimerHandle | None = None

    def start(self) -> None:
        """Start the heartbeat on the running loop."""
        self._last_beat_ns = clock.now()
        self._schedule_heartbeat()

    def stop(self) -> None:
        """Stop the heartbeat and release those who wait for `settled`."""
        if self._heartbeat_timer is not None:
            self._heartbeat_timer.cancel()
            self._heartbeat_timer = None
        if self._settling is not None:
            self._settling.cancel()
        self.settled.set()

    def earliest_arrival(self, now_ns: int) -> int:
        """Return the earliest time at which bytes read now can have arrived; `now_ns` without a pause."""
        self._detect_pause(now_ns)
        return self._paused_since_ns or now_ns

    def is_settling(self, now_ns: int) -> bool:
        """Whether a long pause has ended and the events that arrived in it have not all been handled."""
        self._detect_pause(now_ns)
        return not self.settled.is_set()

    def _detect_pause(self, now_ns: int) -> None:
        """Detect a pause: called by the heartbeat and by readers, whichever runs first after it."""
        elapsed_ns = now_ns - self._last_beat_ns
        if self._heartbeat_timer is None or elapsed_ns <= HEARTBEAT + MIN_PAUSE:
            return
        self._paused_since_ns = self._paused_since_ns or self._last_beat_ns
        self._last_beat_ns = now_ns
        was_settling, self._settle_iterations_left = self._settle_iterations_left > 0, SETTLE_ITERATIONS
        if not was_settling:
            asyncio.get_running_loop().call_soon(self._count_settle_iteration)
        self._checks.count("process_pauses")
        if elapsed_ns >= MIN_LONG_PAUSE:
            self._checks.event("process_paused", f"for {elapsed_ns // clock.MS} ms")
            if self._settling is not None:
                self._settling.cancel()
            self.settled.clear()
            self._settling = asyncio.get_running_loop().create_task(self._settle_long_pause())

    async def _settle_long_pause(self) -> None:
        """Let the loop read the sockets first, then catch up with the change log."""
        for _ in range(SETTLE_ITERATIONS):
            await asyncio.sleep(0)
        if self.catch_up is not None:
            await self.catch_up()
        self.settled.set()

    def _count_settle_iteration(self) -> None:
        self._settle_iterations_left -= 1
        if self._settle_iterations_left > 0:
            asyncio.get_running_loop().call_soon(self._count_settle_iteration)
        else:
            self._paused_since_ns = 0

    def _on_heartbeat(self) -> None:
        now_ns = clock.now()
        self._detect_pause(now_ns)
        self._last_beat_ns = now_ns
        self._schedule_heartbeat()

    def _schedule_heartbeat(self) -> None:
        loop = asyncio.get_running_loop()
        self._heartbeat_timer = loop.call_later(HEARTBEAT / clock.SECOND, self._on_heartbeat)
