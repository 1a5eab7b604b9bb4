"""Attempts: what is sent to which upstream, and whether a request may be sent again."""

from collections.abc import Iterable

from quincepier.context import AttemptObserver, Context, RouterComponent
from quincepier.interface import DeduplicationScope, Idempotency
from quincepier.policy.fetch_limit import FetchLimit
from quincepier.policy.freshness import Freshness
from quincepier.policy.outliers import OutlierDetection
from quincepier.policy.periodic_timers import PeriodicTimers
from quincepier.policy.placement import Placement
from quincepier.policy.slow_start import SlowStart
from quincepier.records import Attempt, AttemptTable, Request, Upstream


class AttemptSender(RouterComponent):
    """Rule two: nothing is sent that may run twice and do harm.

    Args:
        context: What the parts of a router share.
        attempts: The open attempts, which this opens.
        placement: Which caches hold what.
        slow_start: The budgets that attempts are taken from.
        outliers: Told of each attempt.
        freshness: The age of copies.
        fetch_limit: Counts fetches.
        timers: Set as there are attempts to look at.

    Attributes:
        observer: Told of each attempt; None: nobody is.
    """

    def __init__(
        self,
        context: Context,
        attempts: AttemptTable,
        placement: Placement,
        slow_start: SlowStart,
        outliers: OutlierDetection,
        freshness: Freshness,
        fetch_limit: FetchLimit,
        timers: PeriodicTimers,
    ) -> None:
        super().__init__(context)
        self.attempts = attempts
        self.placement = placement
        self.slow_start = slow_start
        self.outliers = outliers
        self.freshness = freshness
        self.fetch_limit = fetch_limit
        self.timers = timers
        self.observer: AttemptObserver | None = None

    def send(self, request: Request, to: Upstream, source: Upstream | None, in_pause: bool = False) -> bool:
        """Send a request, unless it may not be sent there or not any more; return whether it was.

        Args:
            request: The request.
            to: A cache, a parent or the origin.
            source: Where a cache fetches what it lacks; the cache itself: nowhere. None: not a fetch.
            in_pause: Whether the source is asked though fetches are paused.
        """
        settings = self.context.settings
        time_left = request.deadline - self.context.now
        if request.attempts_sent >= settings.attempts or not self.can_send(request, to):
            return False
        if time_left <= settings.step:
            return False
        attempt = self._open(request, to, source, in_pause)
        self._forward(attempt, source, time_left)
        if self.observer is not None:
            self.observer(request.event, to, attempt.source)
        self.timers.schedule()
        return True

    def _open(self, request: Request, to: Upstream, source: Upstream | None, in_pause: bool) -> Attempt:
        other_source = source if source is not to else None  # a cache as its own source fills nothing
        attempt = Attempt(request, request.attempts_sent, self.context.now, to, other_source)
        attempt.is_cache_only = source is to and to in self.placement.table.caches
        is_held = request.cls.never_kept or self.placement.is_known_hit(to, request)
        attempt.is_fetch = not (attempt.is_cache_only or is_held)
        # while fetches are paused the parents give what they hold; what they lack is asked for once a pause
        is_backing_off = self.fetch_limit.is_backing_off and not in_pause
        attempt.is_source_cache_only = attempt.is_fetch and source is not None and is_backing_off
        self.fetch_limit.on_sent(attempt)
        self.attempts.open(attempt)
        self.slow_start.charge(attempt)
        for upstream in attempt.upstreams:
            self.outliers.on_sent(upstream)
        return attempt

    def _forward(self, attempt: Attempt, source: Upstream | None, time_left: int) -> None:
        request = attempt.request
        window = self._window_left(request)
        if source is None:
            self.context.forward(attempt, time_left, window)
            return
        is_cache_only = attempt.is_cache_only
        join = self.context.settings.joins and not is_cache_only
        renew = request.cls.fresh > 0 and not is_cache_only
        max_age = self.freshness.max_age(request, is_cache_only)
        self.context.fetch(attempt, source, 1, time_left, max_age, join, renew, window)

    def _window_left(self, request: Request) -> int:
        """Return for how long a keyed request that ran may be repeated, ns; 0: it did not run, or no key."""
        first = request.first_execution
        if first is None or request.cls.effect is not Idempotency.KEYED:
            return 0
        return first.sent_at + request.cls.window - self.context.now

    def can_send(self, request: Request, upstream: Upstream) -> bool:
        """Whether what ran of a request allows it to be sent there."""
        cls, first = request.cls, request.first_execution
        if cls.effect is Idempotency.SAFE or not request.may_have_run:
            return self.context.settings.second_copies or not request.open_attempts
        if cls.effect is Idempotency.UNSAFE or first is None or request.open_attempts:
            return False
        if self.context.now - first.sent_at >= cls.window:
            return False
        if cls.group is DeduplicationScope.ALL:
            return True
        here, there = upstream.endpoint, first.endpoint
        if cls.group is DeduplicationScope.ZONE:
            return here.zone == there.zone
        return here.cell == there.cell

    def abandon(self, upstream: Upstream) -> None:
        """Give the slots of its attempts back; what does no harm is cancelled and goes elsewhere."""
        for attempt in upstream.in_flight.values():
            self.fetch_limit.on_abandoned(attempt)
        self.cancel(a for a in upstream.in_flight.values() if a.request.cls.effect is Idempotency.SAFE)

    def cancel(self, attempts: Iterable[Attempt]) -> None:
        """Cancel attempts that nobody waits for, but for those whose response has started."""
        for attempt in attempts:
            if self.context.settings.cancel and not attempt.request.has_response_started:
                self.context.cancel(attempt)
