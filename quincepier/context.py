"""State that the components of one router share while it handles an event.

It holds the settings, the time, the random numbers and the actions. Nothing here makes a decision. Times are
in nanoseconds.
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
HomeLookup = Callable[[RequestReceived], HomeShard | None]  # None: any upstream may serve the request
AttemptObserver = Callable[[RequestReceived, Upstream, Upstream | None], None]  # request, upstream, source


class TimerKind(IntEnum):
    """The purpose of a timer.

    It is stored in the lowest `TIMER_KIND_BITS` bits of the timer's token; the higher bits are the id of the
    request.
    """

    DEADLINE = 0
    QUEUE_TIMEOUT = 1
    QUEUE_RELEASE = 2
    ENDPOINT_LIST_RETRY = 3
    OVERDUE_CHECK = 4


class Context:
    """The state that all components of one router share.

    Args:
        settings: Settings of the deployment.
        seed: Seed of the random numbers.
        now: Start time, ns.

    Attributes:
        settings: The present settings.
        now: Time of the event that is being handled, ns.
        random: The only source of random numbers of the router.
        actions: Actions that the present event has caused so far, in order.
    """

    def __init__(self, settings: Settings, seed: int, now: int) -> None:
        self.settings, self.now = settings, now
        self.random = random.Random(seed)
        self.actions: list[Action] = []

    def log(self, lines: Iterable[str]) -> None:
        """Write each text as a line to the log."""
        self.actions += map(WriteLog, lines)

    def reject(self, request: int, retry_after: int) -> None:
        """Reject a request: the client may send it again after `retry_after` ns."""
        self.actions.append(RejectRequest(request, retry_after))

    def fail(self, request: int) -> None:
        """Report to the client that the request has failed."""
        self.actions.append(FailRequest(request))

    def cancel(self, attempt: Attempt) -> None:
        """Cancel an attempt whose response is no longer needed."""
        self.actions.append(CancelAttempt(attempt.request.id, attempt.number))

    def forward(self, attempt: Attempt, timeout: int, first_byte_within: int) -> None:
        """Send an attempt directly to an origin.

        Args:
            attempt: The attempt.
            timeout: Time until the attempt times out, ns.
            first_byte_within: Time within which its first byte may be sent, ns; 0: no limit.
        """
        target = attempt.upstream.endpoint.number
        self.actions.append(ForwardRequest(attempt.request.id, target, timeout, first_byte_within))

    def fetch(
        self,
        attempt: Attempt,
        source: Upstream,
        source_level: int,
        timeout: int,
        max_age: int,
        join: bool,
        renew: bool,
        first_byte_within: int,
    ) -> None:
        """Send an attempt to a cache, or directly to its source if no cache is usable.

        The target fetches the object from `source` if it has no usable copy.

        Args:
            attempt: The attempt.
            source: The source of the fetch; the target itself: it uses no source.
            source_level: Level of the source in the cache hierarchy, from 1; sent in the `tier` field.
            timeout: Time until the attempt times out, ns.
            max_age: Maximum age of the copy that is served, ns; 0: that of the request class.
            join: Whether the attempt may share a fetch of the same object that is already in flight.
            renew: Whether the cache shall renew a copy that has expired.
            first_byte_within: Time within which the first byte of the attempt may be sent, ns; 0: no limit.
        """
        target, source_id = attempt.upstream.endpoint.number, source.endpoint.number
        action = FetchThrough(
            attempt.request.id,
            target,
            timeout,
            source_id,
            source_level,
            max_age,
            join,
            renew,
            attempt.is_source_cache_only,
        )
        action.first_byte_within = first_byte_within
        self.actions.append(action)

    def watch_endpoints(self) -> None:
        """Request the endpoint list and its changes."""
        self.actions.append(WatchEndpoints())

    def set_timer(self, wait: float, kind: TimerKind, request: int | None = None) -> None:
        """Set a timer that fires after `wait` ns.

        A timer of a request need not fire once the request has its final response.
        """
        token = (request or 0) << TIMER_KIND_BITS | kind
        self.actions.append(SetTimer(int(wait), token, -1 if request is None else request))


class RouterComponent:
    """Base of the components of a router: gives access to the shared state."""

    def __init__(self, context: Context) -> None:
        self.context = context

    @property
    def now(self) -> int:
        """Time of the event that is being handled, ns."""
        return self.context.now

    @property
    def settings(self) -> Settings:
        """The present settings, shared by all components."""
        return self.context.settings

    @settings.setter
    def settings(self, settings: Settings) -> None:
        self.context.settings = settings


class LimitedLog:
    """Writes up to `max_lines` log lines; further lines are only counted."""

    def __init__(self, context: Context, max_lines: int) -> None:
        self.context, self.max_lines, self.lines = context, max_lines, 0

    def write(self, text: str) -> None:
        """Write a line, unless the limit is reached."""
        if self.lines < self.max_lines:
            self.context.log([text])
        self.lines += 1


class IntervalTimer:
    """A timer that is not bound to a request; it is never set twice at the same time.

    Attributes:
        interval: Time until it fires, ns.
        is_set: Whether it is set and has not fired.
        due_at: Time at which it was to fire last, ns.
    """

    def __init__(self, context: Context, kind: TimerKind, interval: int) -> None:
        self.context, self.kind, self.interval = context, kind, interval
        self.is_set, self.due_at = False, context.now

    def set_if_needed(self, pending: object) -> None:
        """Set the timer if `pending` is not empty and the timer is not set yet."""
        if pending and not self.is_set:
            self.is_set, self.due_at = True, self.context.now + self.interval
            self.context.set_timer(self.interval, self.kind)

    def on_fired(self) -> int:
        """Note that the timer fired; return its delay, ns."""
        self.is_set = False
        return self.context.now - self.due_at
