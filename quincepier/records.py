"""What the decision logic keeps of upstreams, requests and attempts.

Records only: nothing here decides. Figures such as half-lives are given by the policy. Times are in ns.
"""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from typing import NamedTuple

from quincepier.interface import (
    AttemptCompleted,
    AttemptOutcome,
    CacheStatus,
    Endpoint,
    HomeShard,
    RequestClass,
    RequestReceived,
    Settings,
)
from quincepier.keys import mix
from quincepier.structures import DecayingMean

MS, SECOND = 1_000_000, 1_000_000_000  # ns


@dataclass(slots=True, frozen=True)
class Execution:
    """When and where an attempt was sent that may have run."""

    at: int
    endpoint: Endpoint


class BaselineKey(NamedTuple):
    """Answers that can be compared: of one class, cached or fetched, of told size or not."""

    cls: int
    is_cached: bool
    is_told: bool


class Warmth(NamedTuple):
    """The part of its size that an upstream surely does, and how often that it stands in a window."""

    share: float
    multiple: float  # infinite: it is warm


class Upstream:
    """A cache, a parent or the origin of the endpoint list."""

    def __init__(self, endpoint: Endpoint, slowness: DecayingMean, recent_objects: int) -> None:
        self.endpoint = endpoint
        self.started_at = endpoint.started_at  # as told, or as guessed from its failing
        self.heard_at, self.failures = 0, 0.0  # its last sign of work, and the failures since
        self.refused_by: Upstream | None = None  # the cache by which it gave nothing last
        self.is_ejected, self.trial_at, self.ejection_time = False, 0, 0
        self.draining_until = 0
        # slow-start budget: work that may be sent, as of when, and when it was begun
        self.credit, self.credited_at, self.budget_since = 0.0, -1, -1
        self.slowness = slowness
        self.weight_step = 0  # its hash weight is halved by two steps
        self.in_flight: dict[tuple[int, int], Attempt] = {}
        self.recent_objects: deque[int] = deque(maxlen=recent_objects)


class Request:
    """A request from when it was received until its final answer."""

    def __init__(
        self, event: RequestReceived, settings: Settings, tier: int, now: int, home: HomeShard | None
    ) -> None:
        self.event, self.tier, self.received_at, self.home = event, tier, now, home
        self.id = event.request
        self.cls: RequestClass = settings.classes[event.class_index]
        self.key = mix(event.object, event.part)
        self.deadline = now + event.time_left
        kb = settings.client_kb_per_s
        self.told_transfer_time = event.size_kb / kb * SECOND if kb else 0.0  # 0: not told
        self.attempts_sent, self.is_queued, self.has_response_started = 0, False, False
        self.first_execution: Execution | None = None
        self.excluded: list[Upstream] = []
        self.open_attempts: dict[int, Attempt] = {}

    @property
    def may_have_run(self) -> bool:
        """Whether an attempt ran, or is open and may run yet."""
        return self.first_execution is not None or bool(self.open_attempts)


class Attempt:
    """One sending of a request to an upstream, until its completion is told."""

    def __init__(
        self, request: Request, number: int, sent_at: int, upstream: Upstream, source: Upstream | None
    ) -> None:
        self.request, self.number, self.sent_at = request, number, sent_at
        self.upstream, self.source = upstream, source
        self.is_fetch = False  # counts against the fetch limit
        self.is_cache_only, self.is_held_only = False, False  # of the cache's, of the source's own copies
        self.booked_work = 0.0  # taken from slow-start budgets, ns

    @property
    def upstreams(self) -> list[Upstream]:
        """The one it was sent to, and its source."""
        return [self.upstream] if self.source is None else [self.upstream, self.source]


Abandon = Callable[[Upstream], None]  # gives back what is in flight there


class AttemptTable(dict[tuple[int, int], Attempt]):
    """Open attempts by request and number, the oldest first."""

    def open(self, attempt: Attempt) -> None:
        """It is sent now."""
        request, key = attempt.request, (attempt.request.id, attempt.number)
        request.attempts_sent += 1
        request.open_attempts[attempt.number] = self[key] = attempt
        attempt.upstream.recent_objects.append(request.event.object)
        for upstream in attempt.upstreams:
            upstream.in_flight[key] = attempt

    def complete(self, event: AttemptCompleted) -> Attempt | None:
        """The open attempt that the event completes."""
        key = (event.request, event.attempt)
        attempt = self.pop(key, None)
        if attempt is not None:
            attempt.request.open_attempts.pop(event.attempt, None)
            for upstream in attempt.upstreams:
                upstream.in_flight.pop(key, None)
        return attempt


class LinkReport:
    """How much a zone's link slows transfers, as load reports told it; half counts after `half_life` ns."""

    def __init__(self, settings: Settings, half_life: int) -> None:
        self.zone, self.half_life = settings.zone, half_life
        self.field = [*settings.reports, "link"].index("link")  # of a load report
        self.told, self.told_at = 0.0, 0

    def take(self, now: int, completion: Completion) -> None:
        """Of effect where a report of the zone tells of it."""
        report, zone = completion.event.report, completion.attempt.upstream.endpoint.zone
        if len(report) > self.field and zone == self.zone:
            self.told, self.told_at = report[self.field], now

    def slowing(self, now: int) -> float:
        """What is left of what was told."""
        return self.told * math.exp2((self.told_at - now) / self.half_life)


@dataclass(slots=True, frozen=True)
class Completion:
    """An attempt that has completed, and how."""

    attempt: Attempt
    event: AttemptCompleted

    @property
    def outcome(self) -> AttemptOutcome:
        """How it ended."""
        return self.event.outcome

    @property
    def status(self) -> CacheStatus:
        """What the cache told of it."""
        return self.event.cache_status

    @property
    def is_ok(self) -> bool:
        """Whether it was answered."""
        return self.event.outcome is AttemptOutcome.OK

    @property
    def is_from_cache(self) -> bool:
        """Whether the cache answered out of its own."""
        return self.is_ok and self.event.cache_status in (CacheStatus.HIT, CacheStatus.STALE)
