"""Admission control: whether a request is forwarded, held or shed, and when held requests are released.

While the fetch limit is reached, requests that need a fetch wait in the hold queue. It has one queue per
tier; tiers are released by weight, each at a minimum rate. Requests of the lowest tier are shed first: they
are answered from cached copies only.
"""

from dataclasses import dataclass
from enum import Enum

from quincepier.context import Context, RouterComponent, TimerKind
from quincepier.policy.fetch_limit import FetchLimit
from quincepier.policy.latency import LatencyEstimates
from quincepier.policy.periodic_timers import PeriodicTimers
from quincepier.policy.placement import Placement
from quincepier.policy.responses import Responder
from quincepier.policy.sending import AttemptSender
from quincepier.records import Request, Upstream
from quincepier.structures import FairQueue

LOWEST_TIER = 2
# Requests of the lowest tier that may be held while the tier is shed; without any, their objects would never
# be fetched and so never cached.
MAX_HELD_LOWEST_TIER = 2
HOLD_SHARE = 0.15  # longest hold, as a share of the request's objective
MAX_COPY_CACHES = 2  # first caches in the hash order of a key at which a copy may be made


class Disposition(Enum):
    """What happens to a request that has no response yet; docs/design.md describes the transitions."""

    FORWARD = "forward"
    HOLD = "hold"
    SHED = "shed"
    GIVE_UP = "give up"


@dataclass(slots=True, frozen=True)
class RoutingDecision:
    """The decision on a request.

    Attributes:
        disposition: What happens to the request.
        upstream: The upstream it is forwarded to; None if it is not forwarded.
        source: Machine from which the upstream fetches an object that it does not hold. The upstream itself:
            a cache must answer from its own copies; a parent or origin is used directly, without a source.
            None: plain forward to an origin.
    """

    disposition: Disposition
    upstream: Upstream | None = None
    source: Upstream | None = None


HOLD, SHED, GIVE_UP = (RoutingDecision(d) for d in (Disposition.HOLD, Disposition.SHED, Disposition.GIVE_UP))


class Admission(RouterComponent):
    """Admits requests; lets no fetch begin beyond the fetch limit or over a saturated link.

    Args:
        context: State shared by the components of the router.
        queue: The hold queue.
        latency: Expected latencies.
        placement: Which upstreams are usable.
        fetch_limit: Whether a fetch may begin.
        sender: Sends requests that are forwarded.
        responder: Answers requests that are given up.
        timers: Timers that run while requests are held.
    """

    def __init__(
        self,
        context: Context,
        queue: FairQueue[Request],
        latency: LatencyEstimates,
        placement: Placement,
        fetch_limit: FetchLimit,
        sender: AttemptSender,
        responder: Responder,
        timers: PeriodicTimers,
    ) -> None:
        super().__init__(context)
        self.queue = queue
        self.latency = latency
        self.placement = placement
        self.fetch_limit = fetch_limit
        self.sender = sender
        self.responder = responder
        self.timers = timers

    def route(self, request: Request, is_released: bool = False) -> None:
        """Forward, hold, shed or give up a request.

        A request that is released from the hold queue is not held again.
        """
        self.queue.discard(request)
        decision = self._decide(request, is_released)
        match decision.disposition:
            case Disposition.FORWARD:
                assert decision.upstream is not None
                self._forward(request, decision.upstream, decision.source)
            case Disposition.HOLD:
                self.hold(request)
            case Disposition.SHED:
                self.shed(request)
            case Disposition.GIVE_UP:
                self.responder.give_up(request)

    def _decide(self, request: Request, is_released: bool) -> RoutingDecision:
        placement = self.placement
        is_cacheable = not request.cls.never_kept
        cache = placement.find_cache(request)
        source = placement.find_source(request)
        origin = self._find_direct_origin(request)
        needs_fetch = cache is None or not placement.is_known_hit(cache, request)
        if origin is not None and not is_cacheable:  # bypasses the caches
            return RoutingDecision(Disposition.FORWARD, origin)
        if is_cacheable and not is_released:
            if needs_fetch and request.tier == LOWEST_TIER and self.fetch_limit.is_nearly_full:
                return HOLD if self._can_hold_lowest_tier() else SHED
            must_wait = needs_fetch and (self.fetch_limit.is_blocked(request) or bool(self.queue))
            if must_wait or placement.is_saturated(cache, request):
                return HOLD
        direct_source = source if self.context.settings.direct else None
        target = cache or direct_source  # no usable cache: directly to the parent
        if target is None:
            return GIVE_UP
        return RoutingDecision(Disposition.FORWARD, target, source or target)

    def _find_direct_origin(self, request: Request) -> Upstream | None:
        if not self.context.settings.direct:
            return None
        origins = self.placement.table.origins
        return next((origin for origin in origins if self.placement.is_usable(origin, request)), None)

    def _can_hold_lowest_tier(self) -> bool:
        """Whether one more request of the lowest tier may be held although that tier is being shed."""
        return bool(self.queue) and self.queue.depths[LOWEST_TIER] < MAX_HELD_LOWEST_TIER

    def _forward(self, request: Request, upstream: Upstream, source: Upstream | None) -> None:
        if not self.sender.send(request, upstream, source):
            self.responder.give_up(request)

    def hold(self, request: Request) -> None:
        """Hold a request until it is released or its longest hold time has passed."""
        self.queue.push(request)
        max_hold = HOLD_SHARE * self.latency.objective(request)
        self.context.set_timer(max_hold, TimerKind.QUEUE_TIMEOUT, request.id)
        self.timers.schedule()

    def on_hold_expired(self, request: Request) -> None:
        """Shed a request whose longest hold time has passed."""
        self.queue.discard(request)
        self.shed(request, was_held=True)

    def shed(self, request: Request, was_held: bool = False) -> None:
        """Serve a request from a cached copy, or give it up.

        A request that was held may instead be sent, with a fetch allowed, to one of the first
        `MAX_COPY_CACHES` caches of its key if the fetch limit has spare capacity.
        """
        placement = self.placement
        cache = placement.find_cache(request)
        other_cache = self._find_unsaturated_cache(request) if was_held else None
        if (
            other_cache is not None
            and self.fetch_limit.has_spare_capacity
            and not self.fetch_limit.is_blocked(request)
        ):
            self._forward(request, other_cache, placement.find_source(request) or other_cache)
        elif cache is None or request.attempts_sent or placement.is_saturated(cache, request):
            self.responder.give_up(request)
        else:
            self._forward(request, cache, cache)

    def _find_unsaturated_cache(self, request: Request) -> Upstream | None:
        """Return the first usable, unsaturated cache in the hash order of the request's key; None: none.

        Only the first `MAX_COPY_CACHES` caches are considered.
        """
        placement = self.placement
        ranked = placement.rank(placement.table.caches, request.key, request.home)
        for cache in ranked[:MAX_COPY_CACHES]:
            if placement.is_usable(cache, request) and not placement.is_saturated(cache, request):
                return cache
        return None

    def release(self) -> None:
        """Route held requests until none may be released."""
        self.timers.schedule()
        while (request := self.queue.pop(self.context.now, self.can_release)) is not None:
            self.route(request, is_released=True)

    def can_release(self, request: Request) -> bool:
        """Whether a held request may be forwarded now: its cache is not saturated, and a fetch may begin."""
        cache = self.placement.find_cache(request)
        is_hit = cache is not None and self.placement.is_known_hit(cache, request)
        is_saturated = self.placement.is_saturated(cache, request)
        return not is_saturated and (is_hit or not self.fetch_limit.is_blocked(request))
