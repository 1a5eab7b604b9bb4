"""Outlier detection: ejects upstreams that fail and tries them again later; never ejects the origin."""

from collections import Counter
from collections.abc import Iterable
from itertools import takewhile

from quincepier.context import Context, LimitedLog, RouterComponent
from quincepier.interface import AttemptOutcome, CacheStatus
from quincepier.policy.latency import LatencyEstimates
from quincepier.records import SECOND, AbandonUpstream, Attempt, Completion, Upstream

# Time until an ejected upstream is tried, ns, doubled with each trial.
INITIAL_TRIAL_INTERVAL, MAX_TRIAL_INTERVAL = SECOND, 8 * SECOND
# Consecutive resets after which an upstream is ejected. A failed connect weighs as much as all of them,
# unless the upstream has responded since the attempt was sent.
EJECTION_FAILURES = 4.0
MIN_OVERDUE = 2  # overdue attempts after which an upstream is ejected: a single one may be a large object
MAX_LOG_LINES = 40  # per run
OUTCOMES_PROVING_UP = (
    AttemptOutcome.OK,
    AttemptOutcome.ERROR,
    AttemptOutcome.OVERLOADED,
    AttemptOutcome.MISS,
)


class OutlierDetection(RouterComponent):
    """Ejects upstreams that fail, and lets one request at a time try an ejected upstream."""

    def __init__(self, context: Context, latency: LatencyEstimates, abandon: AbandonUpstream) -> None:
        super().__init__(context)
        self.latency = latency
        self.abandon = abandon
        self.log = LimitedLog(context, MAX_LOG_LINES)

    def on_completed(self, completion: Completion) -> None:
        """Count a completed attempt as a success or a failure of its target and its source."""
        attempt, outcome, upstream = completion.attempt, completion.outcome, completion.attempt.upstream
        if outcome in OUTCOMES_PROVING_UP:
            self.on_success(upstream)
        elif outcome is AttemptOutcome.RESET and not completion.event.has_alternative_address:
            self.on_failure(upstream, "lost", 1)
        elif outcome is AttemptOutcome.CONNECT_FAILED and not completion.event.has_alternative_address:
            self.on_failure(
                upstream, "lost", 1 if upstream.last_response_at > attempt.sent_at else EJECTION_FAILURES
            )
        if attempt.source is not None:
            self._on_source(completion, attempt.source)

    def _on_source(self, completion: Completion, source: Upstream) -> None:
        attempt, outcome, status = completion.attempt, completion.outcome, completion.status
        success = AttemptOutcome.MISS if attempt.is_source_cache_only else AttemptOutcome.OK
        if status is CacheStatus.SOURCE_REFUSED:  # the source may have crashed, or may only be overloaded
            self.on_failure(source, "broken as source", EJECTION_FAILURES / 2)
        elif status is CacheStatus.SOURCE_BROKEN:
            self.on_failure(source, "broken as source")
        elif (
            attempt.is_source_cache_only
            and outcome is AttemptOutcome.OVERLOADED
            and status is CacheStatus.NONE
        ):
            # refusals at a single cache may mean that this cache has no slot for a fetch
            if source.last_refused_cache is not attempt.upstream:
                self.on_failure(source, "gives nothing", EJECTION_FAILURES / 2)
            source.last_refused_cache = attempt.upstream
        elif outcome is success and not completion.is_from_cache:
            self.on_success(source)

    def on_success(self, upstream: Upstream) -> None:
        """Reset the failures of an upstream that works, and end its ejection."""
        upstream.last_response_at = self.context.now
        upstream.failures = 0
        upstream.last_refused_cache = None
        if upstream.is_ejected:
            upstream.is_ejected = False
            # at least one trial failed, so the upstream was probably down: treat this as a cold restart
            if upstream.trial_interval > 2 * INITIAL_TRIAL_INTERVAL:
                upstream.started_at = self.context.now
            self.log.write(f"machine {upstream.endpoint.number} answers again")

    def on_response_delayed(self, attempt: Attempt) -> None:
        """Note that the upstreams of an attempt respond, though this front can't take the response yet."""
        for upstream in attempt.upstreams:
            upstream.last_response_at = self.context.now

    def on_failure(self, upstream: Upstream, reason: str, weight: float = EJECTION_FAILURES) -> None:
        """Count a failure; eject the upstream once its failures weigh `EJECTION_FAILURES` in total.

        Args:
            upstream: The upstream. An origin is never ejected, as nothing could replace it.
            reason: The kind of failure, for the log. The recorded streams of the tests contain these texts.
            weight: Weight of this failure; one reset weighs 1.
        """
        upstream.failures += weight
        if (
            upstream.failures < EJECTION_FAILURES
            or upstream.endpoint.kind == self.context.settings.origin_kind
        ):
            return
        if not upstream.is_ejected:
            self.log.write(f"machine {upstream.endpoint.number} set aside: {reason}")
            self.eject(upstream, INITIAL_TRIAL_INTERVAL)
        self.abandon(upstream)

    def eject(self, upstream: Upstream, trial_in: int = 0) -> None:
        """Eject an upstream; one request may try it after `trial_in` ns."""
        upstream.is_ejected = True
        upstream.trial_interval = INITIAL_TRIAL_INTERVAL
        upstream.trial_at = self.context.now + trial_in

    def on_sent(self, upstream: Upstream) -> None:
        """Note that an attempt uses an upstream; if that is a trial, double the time until the next one."""
        if upstream.is_ejected:
            upstream.trial_interval = min(2 * upstream.trial_interval, MAX_TRIAL_INTERVAL)
            upstream.trial_at = self.context.now + upstream.trial_interval

    def check_overdue(self, attempts: Iterable[Attempt]) -> None:
        """Count overdue attempts as failures of upstreams that have not responded since.

        Args:
            attempts: All open attempts, the oldest first.
        """
        overdue = Counter[Upstream]()
        # if all fetches are slow, no single source is at fault
        slowness = self.latency.fetch_slowness.factor(self.now)
        for attempt in takewhile(lambda attempt: attempt.sent_at <= self.context.now - SECOND, attempts):
            max_elapsed = self.latency.objective(attempt.request) * (slowness if attempt.is_fetch else 1)
            if attempt.sent_at <= self.context.now - max_elapsed and not attempt.request.has_response_started:
                suspects = attempt.upstreams if attempt.is_fetch else [attempt.upstream]
                silent = [u for u in suspects if u.last_response_at <= attempt.sent_at]
                overdue.update(silent[:1])  # the target, or else the source; not both
        for upstream, count in overdue.items():
            if count >= MIN_OVERDUE or upstream.is_ejected:
                self.on_failure(upstream, "silent")
