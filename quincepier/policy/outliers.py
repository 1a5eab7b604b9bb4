"""Outlier detection: upstreams that fail are ejected and tried again; never the origin, never for good."""

from collections import Counter
from collections.abc import Iterable
from itertools import takewhile

from quincepier.context import Context, LimitedLog, Part
from quincepier.interface import AttemptOutcome, CacheStatus
from quincepier.policy.latency import LatencyEstimates
from quincepier.records import SECOND, Abandon, Attempt, Completion, Upstream

EJECTION_TIME, MAX_EJECTION_TIME = SECOND, 8 * SECOND  # ns until a trial, doubled at each failure
FAILURES = 4.0  # resets in a row that eject; so does a connection that failed while none other answered
MIN_OVERDUE = 2  # overdue attempts that eject: one may be a large object
MAX_LOG_LINES = 40  # of one run
PROVES_UP = (AttemptOutcome.OK, AttemptOutcome.ERROR, AttemptOutcome.OVERLOADED, AttemptOutcome.MISS)


class OutlierDetection(Part):
    """Ejects upstreams, and lets one request at a time try an ejected one."""

    def __init__(self, context: Context, latency: LatencyEstimates, abandon: Abandon) -> None:
        super().__init__(context)
        self.latency = latency
        self.abandon = abandon
        self.log = LimitedLog(context, MAX_LOG_LINES)

    def on_completed(self, completion: Completion) -> None:
        """Blame or clear the upstream and the source."""
        attempt, outcome, upstream = completion.attempt, completion.outcome, completion.attempt.upstream
        if outcome in PROVES_UP:
            self.on_success(upstream)
        elif outcome is AttemptOutcome.RESET and not completion.event.has_alternative_address:
            self.on_failure(upstream, "lost", 1)
        elif outcome is AttemptOutcome.CONNECT_FAILED and not completion.event.has_alternative_address:
            self.on_failure(upstream, "lost", 1 if upstream.heard_at > attempt.sent_at else FAILURES)
        if attempt.source is not None:
            self._on_source(completion, attempt.source)

    def _on_source(self, completion: Completion, source: Upstream) -> None:
        attempt, outcome, status = completion.attempt, completion.outcome, completion.status
        gave = AttemptOutcome.MISS if attempt.is_held_only else AttemptOutcome.OK
        if status is CacheStatus.SOURCE_REFUSED:  # a dead process refuses, a full one too
            self.on_failure(source, "broken as source", FAILURES / 2)
        elif status is CacheStatus.SOURCE_BROKEN:
            self.on_failure(source, "broken as source")
        elif attempt.is_held_only and outcome is AttemptOutcome.OVERLOADED and status is CacheStatus.NONE:
            if source.refused_by is not attempt.upstream:  # one cache by itself may have no place for a fetch
                self.on_failure(source, "gives nothing", FAILURES / 2)
            source.refused_by = attempt.upstream
        elif outcome is gave and not completion.is_from_cache:
            self.on_success(source)

    def on_success(self, upstream: Upstream) -> None:
        """It works: forget its failures, and take it back where it was ejected."""
        upstream.heard_at = self.context.now
        upstream.failures = 0
        upstream.refused_by = None
        if upstream.is_ejected:
            upstream.is_ejected = False
            if upstream.ejection_time > 2 * EJECTION_TIME:  # a trial failed: it was away and starts anew
                upstream.started_at = self.context.now
            self.log.write(f"machine {upstream.endpoint.number} answers again")

    def on_failure(self, upstream: Upstream, why: str, weight: float = FAILURES) -> None:
        """Eject it at the last of so many failures; of the origin there is one."""
        upstream.failures += weight
        if upstream.failures < FAILURES or upstream.endpoint.kind == self.context.settings.origin_kind:
            return
        if not upstream.is_ejected:
            self.log.write(f"machine {upstream.endpoint.number} set aside: {why}")
            self.eject(upstream, EJECTION_TIME)
        self.abandon(upstream)

    def eject(self, upstream: Upstream, trial_in: int = 0) -> None:
        """One request tries it after `trial_in` ns."""
        upstream.is_ejected = True
        upstream.ejection_time = EJECTION_TIME
        upstream.trial_at = self.context.now + trial_in

    def on_sent(self, upstream: Upstream) -> None:
        """Where this is its trial, the next waits twice as long."""
        if upstream.is_ejected:
            upstream.ejection_time = min(2 * upstream.ejection_time, MAX_EJECTION_TIME)
            upstream.trial_at = self.context.now + upstream.ejection_time

    def check_overdue(self, attempts: Iterable[Attempt]) -> None:
        """Blame those that nothing was heard of since; the oldest come first."""
        overdue = Counter[Upstream]()
        slowness = self.latency.fetch_slowness.factor(self.now)  # if all fetches are slow, no source is
        for attempt in takewhile(lambda attempt: attempt.sent_at <= self.context.now - SECOND, attempts):
            wanted = self.latency.objective(attempt.request) * (slowness if attempt.is_fetch else 1)
            if attempt.sent_at <= self.context.now - wanted and not attempt.request.has_response_started:
                suspects = attempt.upstreams if attempt.is_fetch else [attempt.upstream]
                silent = [u for u in suspects if u.heard_at <= attempt.sent_at]
                overdue.update(silent[:1])  # one, not both
        for upstream, count in overdue.items():
            if count >= MIN_OVERDUE or upstream.is_ejected:
                self.on_failure(upstream, "silent")
