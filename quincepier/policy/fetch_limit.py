"""Fetch limit: how many fetches may be in flight, and when a source that refuses is asked again.

The paper's bound on fills. It is doubled while fetches go well and are waited for, and halved where too many
go badly. Beside it stand the load of the zone's link, and a pause between fetches while sources refuse them.
"""

from quincepier.context import Context, RouterComponent
from quincepier.interface import AttemptOutcome, CacheStatus
from quincepier.policy.latency import LatencyEstimates
from quincepier.records import MS, SECOND, Attempt, Completion, LinkLoad, Request
from quincepier.recovery import RecoveryTracker
from quincepier.structures import Backoff

INITIAL_LIMIT, MAX_LIMIT = 16, 256  # fetches in flight (design)
MIN_ZONE_LIMIT, MIN_LIMIT = 12, 4  # of all fronts of a zone, of each
BAD_SHARE = 0.25  # of a limit's worth of fetches; the limit is halved if more went badly
NEARLY_FULL_SHARE, SPARE_SHARE = 0.85, 0.5  # of the limit: the lowest tier is shed; a copy may be made
MIN_BACKOFF, MAX_BACKOFF = 100 * MS, 2 * SECOND  # ns between fetches, doubled by a refused one
BACKOFF_EASE = 0.3  # of it is left after one that is answered
BACKOFF_SPREAD = (0.5, 1.5)  # of the pause: fronts do not ask again in step
LINK_HALF_LIFE = 2 * SECOND  # ns; of what a load report tells of the link
LINK_SHARE = 0.35  # of the slowing that fills it, where many fronts see it by their fetches alone
FAULTS_OF_SOURCE = (CacheStatus.SOURCE_BROKEN, CacheStatus.SOURCE_MISS)  # not the origin's word
BAD_OUTCOMES = (AttemptOutcome.OVERLOADED, AttemptOutcome.TIMEOUT)


class FetchLimit(RouterComponent):
    """Never lets more fetches begin than the limit, or any over a link that is full.

    Args:
        context: What the parts of a router share.
        latency: What answers take.
        recovery: Told as the limit holds.

    Attributes:
        limit: How many fetches may be in flight.
        in_flight: How many are.
        backoff: The pause between fetches while sources refuse them.
        next_at: When a source may be asked anew in such a pause, ns.
        link: What load reports tell of the zone's link.
    """

    def __init__(self, context: Context, latency: LatencyEstimates, recovery: RecoveryTracker) -> None:
        super().__init__(context)
        settings = context.settings
        self.latency = latency
        self.recovery = recovery
        self.limit = INITIAL_LIMIT
        self.in_flight = 0
        self.backoff = Backoff(MIN_BACKOFF, MAX_BACKOFF, BACKOFF_EASE, MIN_BACKOFF / 2)
        self.next_retry_at = context.now
        self.link_load = LinkLoad(settings, LINK_HALF_LIFE)
        listed_fronts = settings.fronts_by_zone[settings.zone :][:1]
        self._zone_fronts = max(*listed_fronts, 0, 1)  # with this one
        self._min_limit = max(MIN_ZONE_LIMIT // self._zone_fronts, MIN_LIMIT)
        self._good_count = 0
        self._bad_count = 0

    @property
    def is_nearly_full(self) -> bool:
        """Whether the lowest tier is shed."""
        return self.in_flight >= NEARLY_FULL_SHARE * self.limit

    @property
    def has_spare_capacity(self) -> bool:
        """Whether a copy may be made of what another cache holds."""
        return self.in_flight < SPARE_SHARE * self.limit

    @property
    def is_backing_off(self) -> bool:
        """Whether sources refuse fetches: only what they hold is asked of them."""
        return self.backoff.wait > 0

    def is_blocked(self, request: Request) -> bool:
        """Whether no fetch may begin for a request, for the limit or for the zone's link."""
        if self.in_flight >= self.limit:
            return True
        slowing = self.link_load.current_slowdown(self.context.now)
        share = 1.0
        if self.context.now - self.link_load.reported_at > 2 * LINK_HALF_LIFE:
            # not told: all fronts see it by their fetches, and a link as quick as usual is not full
            slowing = self.latency.fetch_slowness.factor(self.context.now)
            share = LINK_SHARE + (1 - LINK_SHARE) / self._zone_fronts
        objective = self.latency.objective(request)
        transfer_time = self.latency.transfer_time(request)
        return slowing > max(share * objective / transfer_time, 1)

    def on_sent(self, attempt: Attempt) -> None:
        """Count an attempt that may be a fetch."""
        self.in_flight += attempt.is_fetch

    def on_abandoned(self, attempt: Attempt) -> None:
        """Give its slot back before it is completed."""
        self.in_flight -= attempt.is_fetch
        attempt.is_fetch = False

    def schedule_next_retry(self) -> None:
        """Ask a source anew in a pause; the next may after the whole of it."""
        self.next_retry_at = self.context.now + int(self.backoff.wait)

    @property
    def is_retry_due(self) -> bool:
        """Whether a source may be asked anew in a pause."""
        return self.context.now >= self.next_retry_at

    def on_process_pause(self) -> None:
        """Begin anew after a pause of the process: what was learned is from before."""
        self.limit = min(self.limit, INITIAL_LIMIT)

    def on_completed(self, completion: Completion, is_awaited: bool) -> None:
        """Learn from a fetch; one called off at its deadline is a slow one.

        Args:
            completion: The fetch, and how it ended.
            is_awaited: Whether requests are held.
        """
        self._adapt_backoff(completion)
        is_fetched = completion.is_ok and not completion.is_from_cache
        is_bad = self._is_bad(completion)
        self.in_flight -= 1
        self._bad_count += is_bad
        self._good_count += is_fetched and not is_bad
        if self._good_count + self._bad_count >= self.limit:  # one slow answer may be a large object's
            self._adapt_limit(is_awaited)
            self._good_count = self._bad_count = 0

    def _adapt_backoff(self, completion: Completion) -> None:
        is_source_cache_only = completion.attempt.is_source_cache_only
        if completion.outcome is AttemptOutcome.OVERLOADED:  # at once
            if not is_source_cache_only and completion.status not in FAULTS_OF_SOURCE:
                self.backoff.increase()
                spread = self.context.random.uniform(*BACKOFF_SPREAD)
                self.next_retry_at = self.context.now + int(spread * self.backoff.wait)
        elif completion.is_ok and not completion.is_from_cache and not is_source_cache_only:
            self.backoff.decrease()

    def _is_bad(self, completion: Completion) -> bool:
        """Whether a fetch was refused, came to nothing in time, or was slow for its upstream."""
        if completion.outcome in BAD_OUTCOMES:
            return True
        attempt, event = completion.attempt, completion.event
        usual = attempt.upstream.slowness.factor(self.context.now)
        objective = self.latency.objective(attempt.request) * usual
        is_slow = event.waited > attempt.request.cls.on_time or event.elapsed > objective
        return is_slow and not completion.is_from_cache

    def _adapt_limit(self, is_awaited: bool) -> None:
        if self._bad_count > BAD_SHARE * (self._good_count + self._bad_count):
            self.limit = max(self.limit // 2, self._min_limit)
        elif is_awaited and self.in_flight >= NEARLY_FULL_SHARE * self.limit - 1:  # one has just left
            self.limit = min(self.limit * 2, MAX_LIMIT)
        else:
            self.context.log(self.recovery.on_limit_held(self.context.now))
