"""Retries: whether a request whose attempt failed is sent again, and where."""

from quincepier.context import Context, RouterComponent
from quincepier.interface import AttemptOutcome, CacheStatus
from quincepier.policy.admission import Admission
from quincepier.policy.fetch_limit import FetchLimit
from quincepier.policy.latency import LatencyEstimates
from quincepier.policy.placement import Placement
from quincepier.policy.responses import Responder
from quincepier.policy.sending import AttemptSender
from quincepier.records import Attempt, Completion, Request, Upstream
from quincepier.structures import TokenBucket

MAX_RETRIES = 3  # per request
RETRY_SHARE = 0.2  # retries that each request adds to the budget
INITIAL_BUDGET, MAX_BUDGET = 8.0, 40.0  # retries; few at the start, as all fronts may start at once
# Outcomes that the cache or its source may have caused, if the cache status does not tell which.
UNEXPLAINED = (AttemptOutcome.OVERLOADED, AttemptOutcome.TIMEOUT)
SOURCE_FAULTS = (
    CacheStatus.SOURCE_REFUSED,
    CacheStatus.SOURCE_BROKEN,
    CacheStatus.SOURCE_MISS,
    CacheStatus.ORIGIN_FAILED,
)


class Retries(RouterComponent):
    """Retries failed requests, within a retry budget that all requests share.

    Args:
        context: State shared by the components of the router.
        latency: Expected latencies.
        placement: Which upstreams are usable.
        fetch_limit: When a source that refuses fetches may be tried again.
        sender: Sends the attempt that tries such a source.
        admission: Routes requests that are retried.
        responder: Answers requests that are given up.

    Attributes:
        budget: The retries that may be made now.
    """

    def __init__(
        self,
        context: Context,
        latency: LatencyEstimates,
        placement: Placement,
        fetch_limit: FetchLimit,
        sender: AttemptSender,
        admission: Admission,
        responder: Responder,
    ) -> None:
        super().__init__(context)
        self.latency = latency
        self.placement = placement
        self.fetch_limit = fetch_limit
        self.sender = sender
        self.admission = admission
        self.responder = responder
        self.budget = TokenBucket(INITIAL_BUDGET, MAX_BUDGET)

    def on_request(self) -> None:
        """Add the share of one request to the retry budget."""
        self.budget.add(RETRY_SHARE)

    def on_failure(self, completion: Completion) -> None:
        """Retry or give up a request whose last open attempt failed."""
        attempt = completion.attempt
        request = attempt.request
        source_without_copy = self._find_source_without_copy(completion)
        if source_without_copy is None:
            self._exclude(completion)
        is_useless = self._is_useless(completion)
        if source_without_copy is not None and self._can_retry_source(attempt, source_without_copy):
            self.fetch_limit.schedule_next_retry()
            if not self.sender.send(request, attempt.upstream, source_without_copy, during_backoff=True):
                self.responder.give_up(request)
        elif source_without_copy is not None or is_useless or not self.budget.take():
            self.responder.give_up(request)
        else:
            self.admission.route(request)

    def _find_source_without_copy(self, completion: Completion) -> Upstream | None:
        """Return the attempt's source if it was limited to copies that it holds and has none; else None."""
        attempt = completion.attempt
        is_miss = completion.outcome is AttemptOutcome.MISS
        return attempt.source if attempt.is_source_cache_only and is_miss else None

    def _exclude(self, completion: Completion) -> None:
        """Exclude the upstream or the source that probably caused the failure from the request's retries."""
        attempt, excluded = completion.attempt, completion.attempt.request.excluded
        source = attempt.source
        if completion.status in SOURCE_FAULTS:
            excluded.append(source or attempt.upstream)
        elif (
            completion.outcome is not AttemptOutcome.NOT_PROCESSED
            and not completion.event.has_alternative_address
        ):
            excluded.append(attempt.upstream)
        is_unexplained = completion.status is CacheStatus.NONE and completion.outcome in UNEXPLAINED
        if source is not None and is_unexplained:  # either may be at fault: exclude both
            excluded.append(source)

    def _is_useless(self, completion: Completion) -> bool:
        """Whether a retry cannot help: too little time or no retries left, or the cache has no copy."""
        attempt = completion.attempt
        request = attempt.request
        time_left = request.deadline - self.context.now
        is_late = time_left < self.latency.transfer_times.means[request.event.class_index]
        has_no_copy = attempt.is_cache_only and completion.outcome is AttemptOutcome.MISS
        return is_late or has_no_copy or request.attempts_sent > MAX_RETRIES

    def _can_retry_source(self, attempt: Attempt, source: Upstream) -> bool:
        """Whether a source may be asked, during a backoff, for an object that it does not hold."""
        if not self.fetch_limit.is_retry_due:
            return False
        request: Request = attempt.request
        is_usable = self.placement.is_usable
        return is_usable(attempt.upstream, request) and is_usable(source, request)
