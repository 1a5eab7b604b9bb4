"""Notices that the front's process stood still: stopped, without CPU, or in one long turn of its loop.

What lies in a socket after such a pause may have come at any moment of it. A heartbeat of the loop tells the
last moment before; until the loop has looked at all its sockets, what is read counts from there. After a long
pause nothing begins before the change log has been caught up with, as at a start: news may be overdue.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

from quincepier import clock
from quincepier.checks import Checks

HEARTBEAT = 50 * clock.MS  # between looks at the clock
MIN_PAUSE = 50 * clock.MS  # beyond a heartbeat; less than that is not told from a busy turn
MIN_LONG_PAUSE = 300 * clock.MS  # from which on news of the change log may be overdue
SETTLE_TURNS = 12  # of the loop, until whatever came in a pause has been read and handled


class PauseDetector:
    """The heartbeat of one loop. Before `start` no pause is seen.

    Attributes:
        settled: Clear while a long pause is just over and what came in it has not been heard yet.
        catch_up: Waits, for a short time at most, until the news of a long pause have been heard.
    """

    def __init__(self, checks: Checks) -> None:
        self.settled = asyncio.Event()
        self.settled.set()
        self.catch_up: Callable[[], Awaitable[None]] | None = None
        self._checks = checks
        self._settling: asyncio.Task[None] | None = None
        self._last_beat_ns = clock.now()
        self._paused_since_ns = 0  # 0: what came in the last pause has been read
        self._turns_left = 0
        self._alarm: asyncio.TimerHandle | None = None

    def start(self) -> None:
        """Begin to beat, on the running loop."""
        self._last_beat_ns = clock.now()
        self._schedule()

    def stop(self) -> None:
        """End the heartbeat."""
        if self._alarm is not None:
            self._alarm.cancel()
            self._alarm = None
        if self._settling is not None:
            self._settling.cancel()
        self.settled.set()

    def earliest_arrival(self, now_ns: int) -> int:
        """Return the earliest moment at which what is read now can have come, `now_ns` at most."""
        self._look(now_ns)
        return self._paused_since_ns or now_ns

    def is_settling(self, now_ns: int) -> bool:
        """Whether a long pause is just over, and what came in it has not been heard yet."""
        self._look(now_ns)
        return not self.settled.is_set()

    def _look(self, now_ns: int) -> None:
        """Whoever comes first after a pause finds it, the heartbeat or a reader."""
        elapsed_ns = now_ns - self._last_beat_ns
        if self._alarm is None or elapsed_ns <= HEARTBEAT + MIN_PAUSE:
            return
        self._paused_since_ns = self._paused_since_ns or self._last_beat_ns
        self._last_beat_ns = now_ns
        was_settling, self._turns_left = self._turns_left > 0, SETTLE_TURNS
        if not was_settling:
            asyncio.get_running_loop().call_soon(self._settle)
        self._checks.count("process_pauses")
        if elapsed_ns >= MIN_LONG_PAUSE:
            self._checks.event("process_paused", f"for {elapsed_ns // clock.MS} ms")
            if self._settling is not None:
                self._settling.cancel()
            self.settled.clear()
            self._settling = asyncio.get_running_loop().create_task(self._settle_news())

    async def _settle_news(self) -> None:
        """What lies in the sockets is read first, then what the log has to tell besides is asked for."""
        for _ in range(SETTLE_TURNS):
            await asyncio.sleep(0)
        if self.catch_up is not None:
            await self.catch_up()
        self.settled.set()

    def _settle(self) -> None:
        self._turns_left -= 1
        if self._turns_left > 0:
            asyncio.get_running_loop().call_soon(self._settle)
        else:
            self._paused_since_ns = 0

    def _beat(self) -> None:
        now_ns = clock.now()
        self._look(now_ns)
        self._last_beat_ns = now_ns
        self._schedule()

    def _schedule(self) -> None:
        loop = asyncio.get_running_loop()
        self._alarm = loop.call_later(HEARTBEAT / clock.SECOND, self._beat)
