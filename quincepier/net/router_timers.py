"""The router's timers, and the event loop's timer that wakes the module's actor for the next of them."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from quincepier import clock
from quincepier.memory.open_requests import OpenRequestTable
from quincepier.timers import TimerWheel


class RouterTimers:
    """Timers of the router; those of requests that are finished or gone don't fire.

    Args:
        requests: The open requests.
        wake: Wakes the module's actor.

    Attributes:
        wheel: Each timer's token, with the number of the request it is about, -1 for none.
    """

    def __init__(self, requests: OpenRequestTable, wake: Callable[[], None]) -> None:
        self.wheel: TimerWheel[tuple[int, int]] = TimerWheel(clock.now(), clock.MS)
        self._requests, self._wake = requests, wake
        self._loop_timer: asyncio.TimerHandle | None = None
        self._wakeup_at_ns = 0

    def __len__(self) -> int:
        return len(self.wheel)

    def schedule(self, due_ns: int, token: int, request: int) -> None:
        """Add a timer about a request, given by its number; -1: about none."""
        self.wheel.schedule(due_ns, (token, request))

    def take_due(self, now: int) -> int | None:
        """Return the token of the next due timer; None if none is due."""
        while (timer := self.wheel.take_due(now)) is not None:
            token, number = timer.payload
            request = self._requests.request_by_number.get(number)
            if number < 0 or (request is not None and not request.is_finished):
                return token
        return None

    def schedule_wakeup(self) -> None:
        """Have the event loop wake the actor when the next timer is due."""
        due = self.wheel.next_due()
        if due is None:
            return
        if self._loop_timer is None or self._wakeup_at_ns > due or self._wakeup_at_ns <= clock.now():
            if self._loop_timer is not None:
                self._loop_timer.cancel()
            self._wakeup_at_ns = due
            wait = max(due - clock.now(), 0) / clock.SECOND
            self._loop_timer = asyncio.get_running_loop().call_later(wait, self._on_loop_timer)

    def _on_loop_timer(self) -> None:
        self._loop_timer = None
        self._wake()
