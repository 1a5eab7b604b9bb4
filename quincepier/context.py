"""What the parts of one router share while it handles an event: settings, time, chance, actions.

Nothing here decides; times are in nanoseconds.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Iterable
from enum import IntEnum

from quincepier.interface import (
    Action,
    CancelAttempt,
    FailRequest,
    FetchThrough,
    ForwardRequest,
    HomeShard,
    RejectRequest,
    RequestReceived,
    SetTimer,
    Settings,
    WatchEndpoints,
    WriteLog,
)
from quincepier.records import Attempt, Upstream

TIMER_KIND_BITS = 3
HomeLookup = Callable[[RequestReceived], HomeShard | None]  # None: on any upstream
AttemptObserver = Callable[[RequestReceived, Upstream, Upstream | None], None]  # with its source


class TimerKind(IntEnum):
    """What a timer is for, in the lowest bits of its token; the rest is the request it is about."""

    DEADLINE = 0
    QUEUE_TIMEOUT = 1
    RELEASE = 2
    RELIST = 3
    OVERDUE_CHECK = 4


class Context:
    """What the parts of one router share while it handles an event."""

    def __init__(self, settings: Settings, seed: int, now: int) -> None:
        self.settings, self.now = settings, now
        self.random = random.Random(seed)
        self.actions: list[Action] = []

    def log(self, lines: Iterable[str]) -> None:
        """A log line each."""
        self.actions += map(WriteLog, lines)

    def reject(self, request: int, retry_after: int) -> None:
        """The final answer that the client may try again, after so many ns."""
        self.actions.append(RejectRequest(request, retry_after))

    def fail(self, request: int) -> None:
        """The final answer that the request failed."""
        self.actions.append(FailRequest(request))

    def cancel(self, attempt: Attempt) -> None:
        """An attempt that nobody waits for any more."""
        self.actions.append(CancelAttempt(attempt.request.id, attempt.number))

    def forward(self, attempt: Attempt, timeout: int, within: int) -> None:
        """To an upstream that answers out of its own."""
        to = attempt.upstream.endpoint.number
        self.actions.append(ForwardRequest(attempt.request.id, to, timeout, within))

    def fetch(
        self,
        attempt: Attempt,
        source: Upstream,
        rank: int,
        timeout: int,
        max_age: int,
        join: bool,
        renew: bool,
        within: int,
    ) -> None:
        """Through a cache, from a source where it has no copy; the cache itself: none."""
        to, by = attempt.upstream.endpoint.number, source.endpoint.number
        action = FetchThrough(
            attempt.request.id, to, timeout, by, rank, max_age, join, renew, attempt.is_held_only
        )
        action.first_byte_within = within
        self.actions.append(action)

    def watch_endpoints(self) -> None:
        """Ask for the endpoint list and its changes."""
        self.actions.append(WatchEndpoints())

    def set_timer(self, wait: float, kind: TimerKind, request: int | None = None) -> None:
        """A timer about a request need not fire once the request is over."""
        token = (request or 0) << TIMER_KIND_BITS | kind
        self.actions.append(SetTimer(int(wait), token, -1 if request is None else request))


class Part:
    """A part of a router, with short ways to what all of them share."""

    def __init__(self, context: Context) -> None:
        self.context = context

    @property
    def now(self) -> int:
        """When the event came that is handled, ns."""
        return self.context.now

    @property
    def settings(self) -> Settings:
        """As they are now, for all parts."""
        return self.context.settings

    @settings.setter
    def settings(self, settings: Settings) -> None:
        self.context.settings = settings


class LimitedLog:
    """Log lines up to a number; what comes then is only counted."""

    def __init__(self, context: Context, max_lines: int) -> None:
        self.context, self.max_lines, self.lines = context, max_lines, 0

    def write(self, text: str) -> None:
        """One line."""
        if self.lines < self.max_lines:
            self.context.log([text])
        self.lines += 1


class IntervalTimer:
    """A timer of the router's own that is set once at a time."""

    def __init__(self, context: Context, kind: TimerKind, interval: int) -> None:
        self.context, self.kind, self.interval = context, kind, interval
        self.is_set, self.due_at = False, context.now

    def set_if(self, wanted: object) -> None:
        """Of no effect while it is set, or where nothing is there to look at."""
        if wanted and not self.is_set:
            self.is_set, self.due_at = True, self.context.now + self.interval
            self.context.set_timer(self.interval, self.kind)

    def fired(self) -> int:
        """How late it is, ns."""
        self.is_set = False
        return self.context.now - self.due_at
