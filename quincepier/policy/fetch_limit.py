"""Fetch limit: how many fetches may be in flight, and the backoff while sources refuse fetches.

The limit is doubled while fetches go well and requests wait for them, and halved when too many go badly.
Fetches are also blocked while the zone's link is saturated.
"""

from quincepier.context import Context, RouterComponent
from quincepier.interface import AttemptOutcome, CacheStatus
from quincepier.policy.latency import LatencyEstimates
from quincepier.records import MS, SECOND, Attempt, Completion, LinkLoad, Request
from quincepier.recovery import RecoveryTracker
from quincepier.structures import Backoff

INITIAL_LIMIT, MAX_LIMIT = 16, 256  # fetches in flight
MIN_ZONE_LIMIT, MIN_LIMIT = 12, 4  # lower bounds: of all fronts of a zone together, of each front
BAD_SHARE = 0.25  # share of bad fetches, among as many as the limit, above which the limit is halved
# Shares of the limit in use from which the lowest tier is shed, and from which no further copies are made.
NEARLY_FULL_SHARE, SPARE_SHARE = 0.85, 0.5
MIN_BACKOFF, MAX_BACKOFF = 100 * MS, 2 * SECOND  # ns between fetches, doubled by each refused fetch
BACKOFF_DECREASE = 0.3  # factor for the backoff after a successful fetch
BACKOFF_SPREAD = (0.5, 1.5)  # random factors for the backoff, so that fronts do not retry at the same time
LINK_HALF_LIFE = 2 * SECOND  # ns; half-life of a load report's value for the link
# With many fronts in the zone and no recent load report, the share of the saturating slowdown from which the
# link counts as saturated.
LINK_SHARE = 0.35
FAULTS_OF_SOURCE = (CacheStatus.SOURCE_BROKEN, CacheStatus.SOURCE_MISS)  # do not indicate the origin's load
BAD_OUTCOMES = (AttemptOutcome.OVERLOADED, AttemptOutcome.TIMEOUT)


class FetchLimit(RouterComponent):
    """Limits the fetches in flight; blocks all fetches while the zone's link is saturated.

    Args:
        context: State shared by the components of the router.
        latency: Expected latencies.
        recovery: Notified when as many fetches as the limit have completed without changing the limit.

    Attributes:
        limit: How many fetches may be in flight.
        in_flight: How many fetches are in flight.
        backoff: Time between fetches while sources refuse them.
        next_retry_at: Time from which one fetch may be made during a backoff, ns.
        link_load: Slowdown of the zone's link according to load reports.
    """

    def __init__(self, context: Context, latency: LatencyEstimates, recovery: RecoveryTracker) -> None:
        super().__init__(context)
        settings = context.settings
        self.latency = latency
        self.recovery = recovery
        self.limit = INITIAL_LIMIT
        self.in_flight = 0
        self.backoff = Backoff(MIN_BACKOFF, MAX_BACKOFF, BACKOFF_DECREASE, MIN_BACKOFF / 2)
        self.next_retry_at = context.now
        self.link_load = LinkLoad(settings, LINK_HALF_LIFE)
        listed_fronts = settings.fronts_by_zone[settings.zone :][:1]
        self._zone_fronts = max(*listed_fronts, 0, 1)  # including this front
        self._min_limit = max(MIN_ZONE_LIMIT // self._zone_fronts, MIN_LIMIT)
        self._good_count = 0
        self._bad_count = 0

    @property
    def is_nearly_full(self) -> bool:
        """Whether so many fetches are in flight that the lowest tier is shed."""
        return self.in_flight >= NEARLY_FULL_SHARE * self.limit

    @property
    def has_spare_capacity(self) -> bool:
        """Whether capacity is left to make another copy of an object that may be cached already."""
        return self.in_flight < SPARE_SHARE * self.limit

    @property
    def is_backing_off(self) -> bool:
        """Whether sources refuse fetches, so that only copies that they hold are requested from them."""
        return self.backoff.wait > 0

    def is_blocked(self, request: Request) -> bool:
        """Whether no fetch may begin for a request, because of the limit or the load of the zone's link."""
        if self.in_flight >= self.limit:
            return True
        slowdown = self.link_load.current_slowdown(self.context.now)
        share = 1.0
        if self.context.now - self.link_load.reported_at > 2 * LINK_HALF_LIFE:
            # no recent report: judge the link by the latency of fetches; at usual latency it is not saturated
            slowdown = self.latency.fetch_slowness.factor(self.context.now)
            share = LINK_SHARE + (1 - LINK_SHARE) / self._zone_fronts
        objective = self.latency.objective(request)
        transfer_time = self.latency.transfer_time(request)
        return slowdown > max(share * objective / transfer_time, 1)

    def on_sent(self, attempt: Attempt) -> None:
        """Add an attempt to the fetches in flight if its `is_fetch` is set."""
        self.in_flight += attempt.is_fetch

    def on_abandoned(self, attempt: Attempt) -> None:
        """Release the slot of an attempt before it completes."""
        self.in_flight -= attempt.is_fetch
        attempt.is_fetch = False

    def schedule_next_retry(self) -> None:
        """Note that a fetch is made during a backoff; the next one may be made after the present backoff."""
        self.next_retry_at = self.context.now + int(self.backoff.wait)

    @property
    def is_retry_due(self) -> bool:
        """Whether a fetch may be made during a backoff now."""
        return self.context.now >= self.next_retry_at

    def on_process_pause(self) -> None:
        """Lower the limit to at most its initial value: it was learned before the process pause."""
        self.limit = min(self.limit, INITIAL_LIMIT)

    def on_completed(self, completion: Completion, is_awaited: bool) -> None:
        """Adapt the limit and the backoff to a completed fetch; one that was cancelled late counts as slow.

        Args:
            completion: The completed fetch.
            is_awaited: Whether requests are held, so that a higher limit would be used.
        """
        self._adapt_backoff(completion)
        is_fetched = completion.is_ok and not completion.is_from_cache
        is_bad = self._is_bad(completion)
        self.in_flight -= 1
        self._bad_count += is_bad
        self._good_count += is_fetched and not is_bad
        if self._good_count + self._bad_count >= self.limit:  # a single slow one may be a large object
            self._adapt_limit(is_awaited)
            self._good_count = self._bad_count = 0

    def _adapt_backoff(self, completion: Completion) -> None:
        is_source_cache_only = completion.attempt.is_source_cache_only
        if completion.outcome is AttemptOutcome.OVERLOADED:
            if not is_source_cache_only and completion.status not in FAULTS_OF_SOURCE:
                self.backoff.increase()
                spread = self.context.random.uniform(*BACKOFF_SPREAD)
                self.next_retry_at = self.context.now + int(spread * self.backoff.wait)
        elif completion.is_ok and not completion.is_from_cache and not is_source_cache_only:
            self.backoff.decrease()

    def _is_bad(self, completion: Completion) -> bool:
        """Whether a fetch was refused, timed out, or was slower than usual for its upstream."""
        if completion.outcome in BAD_OUTCOMES:
            return True
        attempt, event = completion.attempt, completion.event
        usual_slowness = attempt.upstream.slowness.factor(self.context.now)
        objective = self.latency.objective(attempt.request) * usual_slowness
        is_slow = event.waited > attempt.request.cls.on_time or event.elapsed > objective
        return is_slow and not completion.is_from_cache

    def _adapt_limit(self, is_awaited: bool) -> None:
        if self._bad_count > BAD_SHARE * (self._good_count + self._bad_count):
            self.limit = max(self.limit // 2, self._min_limit)
        elif is_awaited and self.in_flight >= NEARLY_FULL_SHARE * self.limit - 1:  # 1: the completed fetch
            self.limit = min(self.limit * 2, MAX_LIMIT)
        else:
            self.context.log(self.recovery.on_limit_held(self.context.now))
