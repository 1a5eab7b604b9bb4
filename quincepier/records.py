"""The records that the decision logic keeps of upstreams, requests and attempts.

Nothing here makes a decision; parameters such as half-lives are passed in by the policy. Times are in
nanoseconds.
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
from quincepier.keys import stable_hash
from quincepier.structures import DecayingMean

MS, SECOND = 1_000_000, 1_000_000_000  # ns


@dataclass(slots=True, frozen=True)
class Execution:
    """Time and target of an attempt that may have been executed."""

    sent_at: int
    endpoint: Endpoint


class BaselineKey(NamedTuple):
    """Identifies responses whose latencies can be compared with each other.

    Attributes:
        cls: Index of the request class.
        is_cached: Whether the cache answered from its own copy, without a fetch.
        is_size_known: Whether the request gave the size of the response.
    """

    cls: int
    is_cached: bool
    is_size_known: bool


class WarmUpState(NamedTuple):
    """The load that an upstream can carry during its slow start.

    Attributes:
        capacity_share: Share of its size that it can carry permanently now.
        overload_multiple: It carries up to so many times that share within one window; infinite: it is warm.
    """

    capacity_share: float
    overload_multiple: float


class Upstream:
    """A cache, a parent or the origin of the endpoint list.

    Attributes:
        endpoint: Its entry in the endpoint list.
        started_at: Start of its process, as listed or as derived from its failures; 0: long ago.
        last_response_at: Time of the last response that showed that it works.
        failures: Weighted number of failures since then.
        last_refused_cache: The cache whose request for a copy that this upstream already holds was the last
            to be refused; None: no such refusal since its last success.
        is_ejected: Whether outlier detection has ejected it.
        trial_at: Time from which one request may try it while it is ejected.
        trial_interval: Present time between two trials.
        draining_until: Time until which it drains according to facts that were learned before a restart.
        credit: Slow-start budget, ns of transfer time that may still be sent; below 0: none.
        credited_at: Time as of which `credit` holds.
        budget_started_at: Time at which the present slow-start budget began; -1: never.
        slowness: Decaying mean of how much slower than usual it is.
        weight_step: Two steps halve its hash weight.
        in_flight: Open attempts that use it as the target or as the source.
        recent_objects: Objects of the last attempts sent to it.
    """

    def __init__(self, endpoint: Endpoint, slowness: DecayingMean, recent_objects: int) -> None:
        self.endpoint = endpoint
        self.started_at = endpoint.started_at
        self.last_response_at, self.failures = 0, 0.0
        self.last_refused_cache: Upstream | None = None
        self.is_ejected, self.trial_at, self.trial_interval = False, 0, 0
        self.draining_until = 0
        self.credit, self.credited_at, self.budget_started_at = 0.0, -1, -1
        self.slowness = slowness
        self.weight_step = 0
        self.in_flight: dict[tuple[int, int], Attempt] = {}
        self.recent_objects: deque[int] = deque(maxlen=recent_objects)


class Request:
    """A request, from its arrival until its final response.

    Attributes:
        event: The event by which it arrived.
        tier: Its priority tier, 0 the highest.
        received_at: Time of its arrival.
        home: The shard whose caches and parents may serve it; None: any.
        id: Its id.
        cls: Its request class.
        key: Hash of its object and part, which determines its caches.
        deadline: Time by which the client needs a response.
        known_transfer_time: Transfer time that follows from the response size in the event; 0: size unknown.
        attempts_sent: Number of attempts sent so far.
        is_queued: Whether it is in the hold queue.
        has_response_started: Whether the client has begun to receive a response.
        first_execution: Its first attempt that may have been executed.
        excluded: Upstreams that must not be used for it any more.
        open_attempts: Attempts that have not completed, by attempt number.
    """

    def __init__(
        self, event: RequestReceived, settings: Settings, tier: int, now: int, home: HomeShard | None
    ) -> None:
        self.event, self.tier, self.received_at, self.home = event, tier, now, home
        self.id = event.request
        self.cls: RequestClass = settings.classes[event.class_index]
        self.key = stable_hash(event.object, event.part)
        self.deadline = now + event.time_left
        kb = settings.client_kb_per_s
        self.known_transfer_time = event.size_kb / kb * SECOND if kb else 0.0
        self.attempts_sent, self.is_queued, self.has_response_started = 0, False, False
        self.first_execution: Execution | None = None
        self.excluded: list[Upstream] = []
        self.open_attempts: dict[int, Attempt] = {}

    @property
    def may_have_run(self) -> bool:
        """Whether an attempt may have been executed, or is open and may still be executed."""
        return self.first_execution is not None or bool(self.open_attempts)


class Attempt:
    """One attempt to serve a request, from the moment it is sent until its completion is reported.

    Attributes:
        request: The request.
        number: Its number among the attempts of the request, from 0.
        sent_at: Time at which it was sent.
        upstream: Its target.
        source: The upstream from which the target fetches; None: the target does not fetch.
        is_fetch: Whether it counts against the fetch limit.
        is_cache_only: Whether the target must answer from its own copies.
        is_source_cache_only: Whether the source must answer from its own copies.
        charged_work: Transfer time that was charged to the slow-start budgets, ns.
    """

    def __init__(
        self, request: Request, number: int, sent_at: int, upstream: Upstream, source: Upstream | None
    ) -> None:
        self.request, self.number, self.sent_at = request, number, sent_at
        self.upstream, self.source = upstream, source
        self.is_fetch = False
        self.is_cache_only, self.is_source_cache_only = False, False
        self.charged_work = 0.0

    @property
    def upstreams(self) -> list[Upstream]:
        """Its target, and its source if it has one."""
        return [self.upstream] if self.source is None else [self.upstream, self.source]


AbandonUpstream = Callable[[Upstream], None]  # releases fetch slots of its attempts, cancels the safe ones


class AttemptTable(dict[tuple[int, int], Attempt]):
    """Open attempts by request id and attempt number, the oldest first."""

    def open(self, attempt: Attempt) -> None:
        """Add an attempt that is being sent."""
        request, key = attempt.request, (attempt.request.id, attempt.number)
        request.attempts_sent += 1
        request.open_attempts[attempt.number] = self[key] = attempt
        attempt.upstream.recent_objects.append(request.event.object)
        for upstream in attempt.upstreams:
            upstream.in_flight[key] = attempt

    def complete(self, event: AttemptCompleted) -> Attempt | None:
        """Remove and return the attempt that the event completes; None: it is not open."""
        key = (event.request, event.attempt)
        attempt = self.pop(key, None)
        if attempt is not None:
            attempt.request.open_attempts.pop(event.attempt, None)
            for upstream in attempt.upstreams:
                upstream.in_flight.pop(key, None)
        return attempt


class LinkLoad:
    """How much the link of this front's zone slows transfers, according to load reports.

    The last reported value is halved every `half_life` ns.

    Attributes:
        zone: The zone of this front.
        report_index: Index of the link's value in a load report.
        reported_slowdown: The last reported value.
        reported_at: Time of that report, ns; 0: none.
    """

    def __init__(self, settings: Settings, half_life: int) -> None:
        self.zone, self.half_life = settings.zone, half_life
        self.report_index = [*settings.reports, "link"].index("link")
        self.reported_slowdown, self.reported_at = 0.0, 0

    def on_completed(self, now: int, completion: Completion) -> None:
        """Take the value over if the response carries a report of the zone's link."""
        report, zone = completion.event.report, completion.attempt.upstream.endpoint.zone
        if len(report) > self.report_index and zone == self.zone:
            self.reported_slowdown, self.reported_at = report[self.report_index], now

    def current_slowdown(self, now: int) -> float:
        """Return the last reported value, reduced by its age."""
        return self.reported_slowdown * math.exp2((self.reported_at - now) / self.half_life)


@dataclass(slots=True, frozen=True)
class Completion:
    """An attempt that has completed, and the event that reported it."""

    attempt: Attempt
    event: AttemptCompleted

    @property
    def outcome(self) -> AttemptOutcome:
        """The outcome of the attempt."""
        return self.event.outcome

    @property
    def status(self) -> CacheStatus:
        """The cache status of the response."""
        return self.event.cache_status

    @property
    def is_ok(self) -> bool:
        """Whether the attempt succeeded."""
        return self.event.outcome is AttemptOutcome.OK

    @property
    def is_from_cache(self) -> bool:
        """Whether the cache answered from its own copy."""
        return self.is_ok and self.event.cache_status in (CacheStatus.HIT, CacheStatus.STALE)
