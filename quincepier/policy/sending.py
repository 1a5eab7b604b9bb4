"""Sending of attempts, and the check whether a request may be sent to an upstream."""

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
    """Sends attempts; never sends a request that might be executed twice with harmful effect.

    Args:
        context: State shared by the components of the router.
        attempts: The open attempts; attempts that are sent are added here.
        placement: Recent hits and listed caches.
        slow_start: Budgets that are charged for attempts.
        outliers: Notified of each attempt.
        freshness: Maximum age of copies.
        fetch_limit: Counts fetches.
        timers: Timers that run while there are open attempts.

    Attributes:
        observer: Called for each attempt that is sent; None: no observer.
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

    def send(
        self, request: Request, target: Upstream, source: Upstream | None, during_backoff: bool = False
    ) -> bool:
        """Send a request to a target if that is allowed.

        Args:
            request: The request.
            target: A cache, a parent or the origin.
            source: Machine from which the target fetches an object that it does not hold. The target itself:
                a cache must answer from its own copies; a parent or origin is used directly, without a
                source. None: plain forward to an origin.
            during_backoff: Whether the source may fetch even though fetches are backing off.

        Returns:
            Whether it was sent; False if it must not be sent there, or its attempts or its time are used up.
        """
        settings = self.context.settings
        time_left = request.deadline - self.context.now
        if request.attempts_sent >= settings.attempts or not self.can_send(request, target):
            return False
        if time_left <= settings.step:
            return False
        attempt = self._open(request, target, source, during_backoff)
        self._forward(attempt, source, time_left)
        if self.observer is not None:
            self.observer(request.event, target, attempt.source)
        self.timers.schedule()
        return True

    def _open(
        self, request: Request, target: Upstream, source: Upstream | None, during_backoff: bool
    ) -> Attempt:
        # a target that is its own source does not fetch
        other_source = source if source is not target else None
        attempt = Attempt(request, request.attempts_sent, self.context.now, target, other_source)
        attempt.is_cache_only = source is target and target in self.placement.table.caches
        needs_no_fetch = request.cls.never_kept or self.placement.is_known_hit(target, request)
        attempt.is_fetch = not (attempt.is_cache_only or needs_no_fetch)
        # during a backoff, sources serve only copies that they hold; one fetch per backoff interval is
        # allowed as a trial (`during_backoff`)
        is_backing_off = self.fetch_limit.is_backing_off and not during_backoff
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
        """Return for how long a keyed request that may have been executed may be repeated, ns.

        0: it was not executed, or it is not keyed, so the window does not apply.
        """
        first = request.first_execution
        if first is None or request.cls.effect is not Idempotency.KEYED:
            return 0
        return first.sent_at + request.cls.window - self.context.now

    def can_send(self, request: Request, upstream: Upstream) -> bool:
        """Whether a request may be sent to an upstream, given its earlier attempts.

        A keyed request that may have been executed is repeated only within its window, and only where its key
        is deduplicated. An unsafe one is not repeated.
        """
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
        """Release the fetch slots of an upstream's attempts, and cancel those of safe requests.

        Cancelled requests are then retried at other upstreams.
        """
        for attempt in upstream.in_flight.values():
            self.fetch_limit.on_abandoned(attempt)
        self.cancel(a for a in upstream.in_flight.values() if a.request.cls.effect is Idempotency.SAFE)

    def cancel(self, attempts: Iterable[Attempt]) -> None:
        """Cancel attempts, except those whose response has started."""
        for attempt in attempts:
            if self.context.settings.cancel and not attempt.request.has_response_started:
                self.context.cancel(attempt)
