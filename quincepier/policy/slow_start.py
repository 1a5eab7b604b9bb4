"""Slow start: limits the load that all fronts together send to an upstream that has started recently."""

import math
from collections.abc import Mapping, Sequence

from quincepier.context import Context, RouterComponent
from quincepier.interface import Settings
from quincepier.policy.latency import LatencyEstimates
from quincepier.records import MS, SECOND, Attempt, Completion, Upstream, WarmUpState
from quincepier.recovery import count_requesting_fronts
from quincepier.structures import ServedWork

EARNED_SHARE = 0.6  # share of the permitted load that is used, as sizes are inexact
BURST_SHARE = 0.25  # share of the budget of one window that may be saved for later
SERVED_HALF_LIFE = 15 * SECOND  # ns; half-life of served work
MIN_SERVED_SPAN = 3 * SECOND  # ns; added to the measured time, so that the first samples give no high rate
WARM = WarmUpState(1.0, math.inf)


def longest_slow_start(settings: Settings) -> int:
    """Return the age from which no server is in slow start, ns."""
    return settings.cold_window + max(settings.cold_time, settings.parent_cold_time)


class SlowStart(RouterComponent):
    """Sizes of upstreams, listed or learned, and the load budgets of upstreams in slow start.

    A server that has just started fails under a load that it could carry later. A size is the rate of an
    upstream's link, as a number of simultaneous transfers at a client's rate.

    Attributes:
        learned_sizes: Size of an upstream that follows from the work it served, by kind.
        served: Transfer time that upstreams served, by kind.
    """

    def __init__(self, context: Context, latency: LatencyEstimates) -> None:
        super().__init__(context)
        self.latency = latency
        self.learned_sizes = dict[int, float]()
        self.served = ServedWork(SERVED_HALF_LIFE, MIN_SERVED_SPAN, context.now)

    def size(self, upstream: Upstream) -> float:
        """Return the size of an upstream: listed if listed sizes are comparable, else learned."""
        endpoint = upstream.endpoint
        if self.context.settings.sizes_compare and endpoint.size > 0:
            return endpoint.size
        return self.learned_sizes.get(endpoint.kind, 1.0)

    def count_fronts(self, upstream: Upstream) -> int:
        """Return how many fronts may send requests to an upstream; a parent serves those of all zones."""
        settings, endpoint = self.context.settings, upstream.endpoint
        is_parent = endpoint.kind == settings.parent_kind
        return count_requesting_fronts(
            settings.fronts, () if is_parent else settings.fronts_by_zone, endpoint.zone
        )

    def slowdown(self, upstream: Upstream) -> float:
        """Return the factor, 1 or more, by which all fronts' transfers slow one more transfer there."""
        if not self.context.settings.sizes_compare:
            return 1.0
        transfers = len(upstream.in_flight) * self.count_fronts(upstream) + 1
        return max(transfers / self.size(upstream), 1.0)

    def on_served(self, completion: Completion) -> None:
        """Add the work of a successful attempt to the served work; a fetch counts for its source too."""
        attempt = completion.attempt
        count = 1 if completion.is_from_cache else 2
        for upstream in attempt.upstreams[:count]:
            self.served.add(self.context.now, upstream.endpoint.kind, attempt.charged_work)

    def learn_sizes(self, by_kind: Mapping[int, Sequence[Upstream]]) -> None:
        """Learn the size of each kind of upstream, unless one of that kind is ejected or cold.

        In that case the others carry more load than usual, which says nothing of their size.
        """
        for kind, rate in self.served.rates(self.context.now).items():
            upstreams = by_kind.get(kind, ())
            # few of the thousands that may be listed, so that the costlier check runs for few
            suspects = [u for u in upstreams if u.is_ejected or u.started_at]
            if upstreams and not any(u.is_ejected or self.is_cold(u) for u in suspects):
                self.learned_sizes[kind] = max(rate * self.count_fronts(upstreams[0]) / len(upstreams), 1.0)

    def is_cold(self, upstream: Upstream) -> bool:
        """Whether an upstream is in slow start."""
        return self.warm_up_state(upstream) is not WARM

    def warm_up_state(self, upstream: Upstream) -> WarmUpState:
        """Return the load that an upstream can carry now; `WARM` if it is not in slow start.

        The share of its size rises linearly from the configured start value to 1 within the cold time.
        """
        settings, kind = self.context.settings, upstream.endpoint.kind
        if upstream.started_at == 0 or kind == settings.origin_kind:
            return WARM
        is_parent = kind == settings.parent_kind
        cold_time = settings.parent_cold_time if is_parent else settings.cold_time
        # the share at the beginning of a window applies to the whole window
        age = self.context.now - upstream.started_at - settings.cold_window
        if age >= cold_time:
            return WARM
        initial_share = settings.parent_cold_from if is_parent else settings.cold_from
        share = initial_share + (1 - initial_share) * max(age, 0) / max(cold_time, 1)
        return WarmUpState(share, settings.parent_cold_multiple if is_parent else settings.cold_multiple)

    def has_budget(self, upstream: Upstream) -> bool:
        """Update an upstream's slow-start credit to now; return whether it allows one more attempt.

        A front earns credit over time and pays for its attempts. If many fronts share few permitted attempts,
        they take turns: each starts with a random debt, and credit that is not used within the turn is lost,
        so that fronts can't all spend saved credit at once.
        """
        warm_up_state = self.warm_up_state(upstream)
        if warm_up_state is WARM:
            return True
        now = self.context.now
        work = max(*self.latency.transfer_times.means, MS)  # upper estimate for one attempt, ns
        fronts = self.count_fronts(upstream)
        window = max(self.context.settings.cold_window, 1)
        attempts = math.prod(warm_up_state) * self.size(upstream) * window / work  # of all fronts per window
        earned = EARNED_SHARE * attempts * work / fronts  # by this front per window, ns
        if upstream.budget_started_at < upstream.started_at:
            upstream.credited_at = upstream.budget_started_at = now
            upstream.credit = -self.context.random.random() * work
        saved = upstream.credit + earned * (now - upstream.credited_at) / window
        upstream.credited_at = now
        # an upstream tolerates a random excess up to this bound, and here one attempt of each front at once
        if fronts <= attempts + 2 * math.sqrt(attempts) + 2:
            upstream.credit = min(saved, BURST_SHARE * earned)
        else:
            turn = self._turn_length(attempts, fronts) * work
            upstream.credit = saved if saved <= turn else (saved + work) % (turn + work) - work
        return upstream.credit >= 0

    @staticmethod
    def _turn_length(attempts: float, fronts: int) -> float:
        """Return the length of a front's turn, as a multiple of the time in which it earns one attempt."""
        turns = attempts + math.sqrt(attempts) / 2  # of all fronts, with a margin for turns that are not used
        return min((turns - EARNED_SHARE * attempts) / (fronts - turns), 1)

    def charge(self, attempt: Attempt) -> None:
        """Charge an attempt to the budgets of its target and its source."""
        attempt.charged_work = self.latency.transfer_times.means[attempt.request.event.class_index]
        for upstream in attempt.upstreams:
            upstream.credit -= attempt.charged_work

    def refund_source(self, completion: Completion) -> None:
        """Refund the source if the cache answered from its own copy, so that the source was not used."""
        attempt, source = completion.attempt, completion.attempt.source
        if source is not None and completion.is_from_cache and attempt.sent_at > source.budget_started_at:
            source.credit += attempt.charged_work
