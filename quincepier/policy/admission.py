"""Admission: whether a request is forwarded, held or shed, and when held ones are released.

The paper's gate: requests that need a fetch wait in queues by tier, which are released by weights with a
floor; the lowest tier is shed first, to what caches hold.
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
MAX_HELD_LOWEST_TIER = 2  # of the lowest tier: what is never fetched no cache holds
HOLD_SHARE = 0.15  # longest hold, as part of the wanted time
SPARE_CACHES = 2  # of a key's order, at which a copy may be made


class Disposition(Enum):
    """What happens to a request that has no answer yet; docs/design.md has the transitions."""

    FORWARD = "forward"
    HOLD = "hold"
    SHED = "shed"
    GIVE_UP = "give up"


@dataclass(slots=True, frozen=True)
class RoutingDecision:
    """What is done with a request now.

    Attributes:
        disposition: What happens to it.
        upstream: Where it is forwarded to; else None.
        source: Where that fetches what it lacks; the upstream itself: nowhere. None: not a fetch.
    """

    disposition: Disposition
    upstream: Upstream | None = None
    source: Upstream | None = None


HOLD, SHED, GIVE_UP = (RoutingDecision(d) for d in (Disposition.HOLD, Disposition.SHED, Disposition.GIVE_UP))


class Admission(RouterComponent):
    """Never lets a fetch begin past the limit, or over a link that is full.

    Args:
        context: What the parts of a router share.
        queue: The held requests.
        latency: What answers take.
        placement: Which upstreams may be asked.
        fetch_limit: Whether a fetch may begin.
        sender: Sends what is forwarded.
        responder: Answers what is given up.
        timers: Set as requests are held.
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

        One that is released is placed anew, and not held again.
        """
        self.queue.discard(request)
        choice = self._choose(request, is_released)
        match choice.disposition:
            case Disposition.FORWARD:
                assert choice.upstream is not None
                self._forward(request, choice.upstream, choice.source)
            case Disposition.HOLD:
                self.hold(request)
            case Disposition.SHED:
                self.shed(request)
            case Disposition.GIVE_UP:
                self.responder.give_up(request)

    def _choose(self, request: Request, is_released: bool) -> RoutingDecision:
        placement = self.placement
        is_kept = not request.cls.never_kept
        cache = placement.find_cache(request)
        source = placement.find_source(request)
        origin = self._find_direct_origin(request)
        needs_fetch = cache is None or not placement.is_known_hit(cache, request)
        if origin is not None and not is_kept:  # classes never kept pass untouched
            return RoutingDecision(Disposition.FORWARD, origin)
        if is_kept and not is_released:
            if needs_fetch and request.tier == LOWEST_TIER and self.fetch_limit.is_nearly_full:
                return HOLD if self._can_hold_lowest_tier() else SHED
            is_behind = needs_fetch and (self.fetch_limit.is_blocked(request) or bool(self.queue))
            if is_behind or placement.is_saturated(cache, request):
                return HOLD
        direct_source = source if self.context.settings.direct else None
        target = cache or direct_source  # no cache: straight to the parent
        if target is None:
            return GIVE_UP
        return RoutingDecision(Disposition.FORWARD, target, source or target)

    def _find_direct_origin(self, request: Request) -> Upstream | None:
        if not self.context.settings.direct:
            return None
        origins = self.placement.table.origins
        return next((origin for origin in origins if self.placement.is_usable(origin, request)), None)

    def _can_hold_lowest_tier(self) -> bool:
        """Whether one more of the lowest tier may wait with the others."""
        return bool(self.queue) and self.queue.depths[LOWEST_TIER] < MAX_HELD_LOWEST_TIER

    def _forward(self, request: Request, upstream: Upstream, source: Upstream | None) -> None:
        if not self.sender.send(request, upstream, source):
            self.responder.give_up(request)

    def hold(self, request: Request) -> None:
        """Hold a request until it is released, or its hold ends."""
        self.queue.push(request)
        longest = HOLD_SHARE * self.latency.objective(request)
        self.context.set_timer(longest, TimerKind.QUEUE_TIMEOUT, request.id)
        self.timers.schedule()

    def on_hold_expired(self, request: Request) -> None:
        """Shed a request that was held for as long as it may be."""
        self.queue.discard(request)
        self.shed(request, was_held=True)

    def shed(self, request: Request, was_held: bool = False) -> None:
        """Past the gate: ask for what the cache holds, or for a copy where there is room, or give up."""
        placement = self.placement
        cache = placement.find_cache(request)
        spare = self._find_spare(request) if was_held else None
        if (
            spare is not None
            and self.fetch_limit.has_spare_capacity
            and not self.fetch_limit.is_blocked(request)
        ):
            self._forward(request, spare, placement.find_source(request) or spare)
        elif cache is None or request.attempts_sent or placement.is_saturated(cache, request):
            self.responder.give_up(request)
        else:
            self._forward(request, cache, cache)

    def _find_spare(self, request: Request) -> Upstream | None:
        """The first caches of the key that has room."""
        placement = self.placement
        ranked = placement.rank(placement.table.caches, request.key, request.home)
        for cache in ranked[:SPARE_CACHES]:
            if placement.is_usable(cache, request) and not placement.is_saturated(cache, request):
                return cache
        return None

    def release(self) -> None:
        """Route held requests as long as one may leave."""
        self.timers.schedule()
        while (request := self.queue.pop(self.context.now, self.can_release)) is not None:
            self.route(request, is_released=True)

    def can_release(self, request: Request) -> bool:
        """Whether a held request may be forwarded now."""
        cache = self.placement.find_cache(request)
        is_hit = cache is not None and self.placement.is_known_hit(cache, request)
        is_saturated = self.placement.is_saturated(cache, request)
        return not is_saturated and (is_hit or not self.fetch_limit.is_blocked(request))
