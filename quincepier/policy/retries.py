"""Retries: whether a request whose attempt failed is sent again, and where."""

from quincepier.context import Context, Part
from quincepier.interface import AttemptOutcome, CacheStatus
from quincepier.policy.admission import Admission
from quincepier.policy.fetch_limit import FetchLimit
from quincepier.policy.latency import LatencyEstimates
from quincepier.policy.placement import Placement
from quincepier.policy.responses import Responder
from quincepier.policy.sending import AttemptSender
from quincepier.records import Attempt, Completion, Request, Upstream
from quincepier.structures import TokenBucket

MAX_RETRIES = 3  # of one request
RETRY_SHARE = 0.2  # of a retry, earned by each request
INITIAL_BUDGET, MAX_BUDGET = 8.0, 40.0  # retries; few at the start, as all fronts may start at once
UNEXPLAINED = (
    AttemptOutcome.OVERLOADED,
    AttemptOutcome.TIMEOUT,
)  # by the cache or by its source, if not told
SOURCE_FAULTS = (
    CacheStatus.SOURCE_REFUSED,
    CacheStatus.SOURCE_BROKEN,
    CacheStatus.SOURCE_MISS,
    CacheStatus.ORIGIN_FAILED,
)


class Retries(Part):
    """A budget over all requests bounds retries.

    Args:
        context: What the parts of a router share.
        latency: What answers take.
        placement: Which upstreams may be asked.
        fetch_limit: When a source that refuses may be asked anew.
        sender: Sends to a source that may be asked anew.
        admission: Routes what is tried again.
        responder: Answers what is given up.
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
        """Earn a part of a retry."""
        self.budget.put(RETRY_SHARE)

    def on_failure(self, completion: Completion) -> None:
        """Send a request again whose last open attempt failed, or give it up."""
        attempt = completion.attempt
        request = attempt.request
        lacking = self._find_lacking_source(completion)
        if lacking is None:
            self._exclude(completion)
        is_useless = self._is_useless(completion)
        if lacking is not None and self._may_ask_anew(attempt, lacking):
            self.fetch_limit.take_turn()
            if not self.sender.send(request, attempt.upstream, lacking, in_pause=True):
                self.responder.give_up(request)
        elif lacking is not None or is_useless or not self.budget.take():
            self.responder.give_up(request)
        else:
            self.admission.route(request)

    def _find_lacking_source(self, completion: Completion) -> Upstream | None:
        """Return the source that was asked for what it holds, and lacks it."""
        attempt = completion.attempt
        is_miss = completion.outcome is AttemptOutcome.MISS
        return attempt.source if attempt.is_held_only and is_miss else None

    def _exclude(self, completion: Completion) -> None:
        """Have the request try other upstreams, while there are some; the upstream may not be at fault."""
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
        if source is not None and is_unexplained:  # not told whose fault it was: change both
            excluded.append(source)

    def _is_useless(self, completion: Completion) -> bool:
        attempt = completion.attempt
        request = attempt.request
        time_left = request.deadline - self.context.now
        is_late = time_left < self.latency.transfer_times.means[request.event.class_index]
        is_lacking = attempt.is_cache_only and completion.outcome is AttemptOutcome.MISS
        return is_late or is_lacking or request.attempts_sent > MAX_RETRIES

    def _may_ask_anew(self, attempt: Attempt, source: Upstream) -> bool:
        """Whether a source may be asked, in a pause, for what it does not hold."""
        if not self.fetch_limit.is_turn_due:
            return False
        request: Request = attempt.request
        is_usable = self.placement.is_usable
        return is_usable(attempt.upstream, request) and is_usable(source, request)
