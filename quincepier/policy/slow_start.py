"""Slow start: all fronts together never ask more of an upstream that started lately than it stands."""

import math
from collections.abc import Mapping, Sequence

from quincepier.context import Context, Part
from quincepier.interface import Settings
from quincepier.policy.latency import LatencyEstimates
from quincepier.records import MS, SECOND, Attempt, Completion, Upstream, Warmth
from quincepier.recovery import fronts_that_ask
from quincepier.structures import ServedWork

EARNED_SHARE = 0.6  # of a budget is spent, as sizes are rough
BURST_SHARE = 0.25  # of a window's earnings may be saved up
SERVED_HALF_LIFE = 15 * SECOND  # ns; of served work
MIN_SERVED_SPAN = 3 * SECOND  # ns; first signs of served work count over that
WARM = Warmth(1.0, math.inf)


def longest_slow_start(settings: Settings) -> int:
    """Return the age from which no server is in slow start any more, ns."""
    return settings.cold_window + max(settings.cold_time, settings.parent_cold_time)


class SlowStart(Part):
    """Sizes of upstreams, as listed or learned, and the budget of those that started lately (rule four).

    Attributes:
        sizes: What an upstream of a kind was seen to bear, in transfers at a client's rate.
        served: The work that was served, by kind.
    """

    def __init__(self, context: Context, latency: LatencyEstimates) -> None:
        super().__init__(context)
        self.latency = latency
        self.sizes = dict[int, float]()
        self.served = ServedWork(SERVED_HALF_LIFE, MIN_SERVED_SPAN, context.now)

    def size(self, upstream: Upstream) -> float:
        """Return the rate of an upstream's link, in transfers at a client's rate."""
        endpoint = upstream.endpoint
        if self.context.settings.sizes_compare and endpoint.size > 0:
            return endpoint.size
        return self.sizes.get(endpoint.kind, 1.0)

    def sharers(self, upstream: Upstream) -> int:
        """Return how many fronts may ask an upstream; a parent serves those of all zones."""
        settings, endpoint = self.context.settings, upstream.endpoint
        is_parent = endpoint.kind == settings.parent_kind
        return fronts_that_ask(settings.fronts, () if is_parent else settings.fronts_by_zone, endpoint.zone)

    def slowdown(self, upstream: Upstream) -> float:
        """Return by what one more transfer there is slowed by those of all fronts, 1 at least."""
        if not self.context.settings.sizes_compare:
            return 1.0
        transfers = len(upstream.in_flight) * self.sharers(upstream) + 1
        return max(transfers / self.size(upstream), 1.0)

    def on_served(self, completion: Completion) -> None:
        """Count the work of an answer, for the source too where it was asked."""
        attempt = completion.attempt
        count = 1 if completion.is_from_cache else 2
        for upstream in attempt.upstreams[:count]:
            self.served.add(self.context.now, upstream.endpoint.kind, attempt.booked_work)

    def learn_sizes(self, by_kind: Mapping[int, Sequence[Upstream]]) -> None:
        """Learn what an upstream of each kind bears, where all of the kind are up and warm."""
        for kind, rate in self.served.rates(self.context.now).items():
            alike = by_kind.get(kind, ())
            suspects = [u for u in alike if u.is_ejected or u.started_at]  # of thousands hardly any
            if alike and not any(u.is_ejected or self.is_cold(u) for u in suspects):
                self.sizes[kind] = max(rate * self.sharers(alike[0]) / len(alike), 1.0)

    def is_cold(self, upstream: Upstream) -> bool:
        """Whether it started lately."""
        return self.warmth(upstream) is not WARM

    def warmth(self, upstream: Upstream) -> Warmth:
        """Return how much of its size an upstream stands now; `WARM` where it did not start lately."""
        settings, kind = self.context.settings, upstream.endpoint.kind
        if upstream.started_at == 0 or kind == settings.origin_kind:
            return WARM
        is_parent = kind == settings.parent_kind
        cold_time = settings.parent_cold_time if is_parent else settings.cold_time
        age = self.context.now - upstream.started_at - settings.cold_window  # a window has what it began with
        if age >= cold_time:
            return WARM
        least = settings.parent_cold_from if is_parent else settings.cold_from
        share = least + (1 - least) * max(age, 0) / max(cold_time, 1)
        return Warmth(share, settings.parent_cold_multiple if is_parent else settings.cold_multiple)

    def has_room(self, upstream: Upstream) -> bool:
        """Whether its budget allows one more attempt; credit is earned by time.

        Where many fronts share a few calls, each has its turn, and a turn that is not taken passes.
        """
        warmth = self.warmth(upstream)
        if warmth is WARM:
            return True
        now = self.context.now
        work = max(*self.latency.transfer_times.means, MS)
        sharers = self.sharers(upstream)
        window = max(self.context.settings.cold_window, 1)
        calls = math.prod(warmth) * self.size(upstream) * window / work  # of all fronts in a window
        earned = EARNED_SHARE * calls * work / sharers  # of this one
        if upstream.budget_since < upstream.started_at:
            upstream.credited_at = upstream.budget_since = now
            upstream.credit = -self.context.random.random() * work
        saved = upstream.credit + earned * (now - upstream.credited_at) / window
        upstream.credited_at = now
        if sharers <= calls + 2 * math.sqrt(calls) + 2:  # it stands one of each at once
            upstream.credit = min(saved, BURST_SHARE * earned)
        else:
            turn = self._turn(calls, sharers) * work
            upstream.credit = saved if saved <= turn else (saved + work) % (turn + work) - work
        return upstream.credit >= 0

    @staticmethod
    def _turn(calls: float, sharers: int) -> float:
        """Return for how long a front's turn lasts, in the time that it earns a call in."""
        turns = calls + math.sqrt(calls) / 2  # of all fronts, with some over
        return min((turns - EARNED_SHARE * calls) / (sharers - turns), 1)

    def book(self, attempt: Attempt) -> None:
        """Take an attempt from the budgets of those it is sent to."""
        attempt.booked_work = self.latency.transfer_times.means[attempt.request.event.class_index]
        for upstream in attempt.upstreams:
            upstream.credit -= attempt.booked_work

    def refund_source(self, completion: Completion) -> None:
        """Give the source its budget back where it was not asked."""
        attempt, source = completion.attempt, completion.attempt.source
        if source is not None and completion.is_from_cache and attempt.sent_at > source.budget_since:
            source.credit += attempt.booked_work
