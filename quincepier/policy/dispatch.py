"""Sends, holds, answers: never a harmful repeat, a copy past its age, two answers, a fill past the bound."""

from collections.abc import Callable, Iterable

from quincepier import interface as io
from quincepier.context import AttemptObserver, Context, HomeLookup, IntervalTimer, Part, TimerKind
from quincepier.interface import AttemptOutcome, CacheStatus, DeduplicationScope, Idempotency
from quincepier.keys import MEMORY_MOST
from quincepier.policy.latency import LatencyEstimates
from quincepier.policy.outliers import OutlierDetection
from quincepier.policy.placement import Placement
from quincepier.policy.slow_start import SlowStart
from quincepier.records import MS, SECOND, Attempt, AttemptTable, Completion, LinkReport, Request, Upstream
from quincepier.recovery import RecoveryTracker
from quincepier.structures import Backoff, Coverage, FairQueue, PurgeLog, TokenBucket, tiers

RELEASE_EVERY, WATCH_EVERY = 10 * MS, 100 * MS  # the design's interval; between looks for overdue ones
TIER_WEIGHTS = (80.0, 15.0, 5.0)  # the design's shares of releases, highest tier first
BOOST_EVERY, FLOOR_EVERY = 10, SECOND  # held for one object that add one; a tier's floor (design)
EXTRA_FIRST, EXTRA_MOST = 8.0, 40.0  # further attempts at the start, as all may start at once; saved up
BOUND_START, BOUND_LEAST, BOUND_EACH = 16, 12, 4  # fills in flight (design); at least a zone's, and each's
ANSWERS, PURGE_MARGIN = 8, 2 * SECOND  # that make the first answers; past the time in which a purge settles
REST_LEAST, REST_MOST, REST_EASE = 100 * MS, 2 * SECOND, 0.3  # between fills, doubled by a refused one
BOUND_MOST, BAD_SHARE = 256, 0.25  # doubled; after a bound's worth of fills, halved if more went badly
GATE, GATE_HELD, SPARE = 0.85, 2, 0.5  # of the bound: the lowest tier is shed (design) but so many; to copy
LINK_FADE, LINK_PART = 2 * SECOND, 0.35  # what is told of it counts half; where many see it by fills alone
HOLD_PART, HOLD_SCAN = 0.15, 16  # longest hold, as part of the wanted time; held objects looked through
SOURCE_ALONE = (CacheStatus.SOURCE_BROKEN, CacheStatus.SOURCE_MISS)  # not the origin's word


class Dispatch(Part):
    def __init__(self, settings: io.Settings, seed: int, now: int) -> None:
        super().__init__(Context(settings, seed, now))
        self.recovery, self.answers = RecoveryTracker(now), Coverage(ANSWERS)
        self.latency = LatencyEstimates(self.context)
        self.slow_start = SlowStart(self.context, self.latency)
        self.outliers = OutlierDetection(self.context, self.latency, self.rescue)
        self.placement = Placement(self.context, self.latency, self.slow_start)
        self.retry_budget, self.purges = TokenBucket(EXTRA_FIRST, EXTRA_MOST), PurgeLog(MEMORY_MOST)
        self.queue = FairQueue[Request](TIER_WEIGHTS, now, BOOST_EVERY, FLOOR_EVERY, HOLD_SCAN)
        self.requests, self.attempts = dict[int, Request](), AttemptTable()
        self.homes: HomeLookup | None = None  # a shell's; asked once each
        self.witness: AttemptObserver | None = None  # told of attempts
        self.mates = max(*settings.fronts_by_zone[settings.zone :][:1], 0, 1)  # fronts of this zone, with us
        self.least = max(BOUND_LEAST // self.mates, BOUND_EACH)
        self.bound, self.fills, self.good, self.bad = BOUND_START, 0, 0, 0
        self.rest = Backoff(REST_LEAST, REST_MOST, REST_EASE)
        self.fill_at, self.link = now, LinkReport(settings, LINK_FADE)  # what fills wait for; see full
        self.release_timer = IntervalTimer(self.context, TimerKind.RELEASE, RELEASE_EVERY)
        self.watch_timer = IntervalTimer(self.context, TimerKind.OVERDUE_CHECK, WATCH_EVERY)
        tier_by_worth = tiers({c.worth for c in settings.classes if not c.never_kept}, len(TIER_WEIGHTS))
        self.tiers = [tier_by_worth.get(c.worth, 0) for c in settings.classes]
        self.lapses = list[tuple[int, Callable[[], None]]]()  # of what was recalled

    def send(self, req: Request, to: Upstream, source: Upstream | None, anew: bool = False) -> None:
        cls, left, s = req.cls, req.deadline - self.context.now, self.context.settings
        if req.attempts_sent >= s.attempts or not self.harmless(req, to) or left <= s.step:
            self.give_up(req)
            return
        attempt = Attempt(req, req.attempts_sent, self.context.now, to, source if source is not to else None)
        # a cache as its own source fills nothing
        attempt.is_cache_only = look = source is to and to in self.placement.table.caches
        attempt.is_fetch = not (look or cls.never_kept or self.placement.is_known_hit(to, req))
        # while fills rest the parents give what they hold; what they lack is asked for once a rest
        attempt.is_held_only = attempt.is_fetch and source is not None and self.rest.wait > 0 and not anew
        self.fills += attempt.is_fetch
        self.attempts.open(attempt)
        self.slow_start.book(attempt)
        for one in attempt.upstreams:
            self.outliers.on_sent(one)
        first, keyed = req.first_execution, cls.effect is Idempotency.KEYED
        span = first.at + cls.window - self.context.now if first and keyed else 0
        if source is None:
            self.context.forward(attempt, left, span)
        else:
            join, renew = s.joins and not look, cls.fresh > 0 and not look
            self.context.fetch(attempt, source, left, self.oldest(req, look), join, renew, span)
        if self.witness is not None:
            self.witness(req.event, to, attempt.source)
        self.wake()

    def harmless(self, req: Request, upstream: Upstream) -> bool:  # rule two: whether what ran allows it here
        cls, first, here = req.cls, req.first_execution, upstream.endpoint
        if cls.effect is Idempotency.SAFE or not req.may_have_run:
            return self.context.settings.second_copies or not req.open_attempts
        if cls.effect is Idempotency.UNSAFE or first is None or req.open_attempts:
            return False
        zone = cls.group is DeduplicationScope.ZONE
        near = here.zone == first.endpoint.zone if zone else here.cell == first.endpoint.cell
        return (near or cls.group is DeduplicationScope.ALL) and self.context.now - first.at < cls.window

    def oldest(self, req: Request, stale: bool) -> int:  # 0: the class's own; with shed, within grace
        cls, purged = req.cls, self.purges.last(req.event.group, req.event.object)
        age = cls.fresh + cls.grace if stale and cls.fresh else 0
        if purged < 0 or self.context.now - purged > self.context.settings.purge_settles + PURGE_MARGIN:
            return age
        since = max(self.context.now - purged, 1)
        return min(age or cls.fresh or since, since)

    def purged(self, group: int, obj: int, ago: int) -> None:
        since = self.context.now - self.context.settings.purge_settles - PURGE_MARGIN
        self.purges.purge(group, obj, self.context.now - ago, since)

    def give_up(self, req: Request) -> None:  # a refusal where that is known to do no harm
        keyed = req.cls.effect is Idempotency.KEYED and req.cls.group is DeduplicationScope.ALL
        known = req.cls.effect is Idempotency.SAFE or keyed or not req.may_have_run
        self.close(req)
        self.refuse(req.id) if known else self.context.fail(req.id)

    def refuse(self, request: int) -> None:
        part = self.context.random.uniform(0.8, 1) if self.context.settings.retry_after else 0
        self.context.reject(request, int(part * self.context.settings.max_retry_after))

    def close(self, req: Request, served: bool = False) -> None:  # what is still out for it is called off
        del self.requests[req.id]
        in_time = served and self.context.now - req.received_at <= self.latency.objective(req)
        self.context.log(self.recovery.on_request_finished(self.context.now, req.cls.worth, in_time))
        self.queue.discard(req)
        self.call_off(req.open_attempts.values())

    def rescue(self, upstream: Upstream) -> None:  # its slots come back; what is harmless goes elsewhere
        for attempt in upstream.in_flight.values():
            self.fills, attempt.is_fetch = self.fills - attempt.is_fetch, False
        self.call_off(a for a in upstream.in_flight.values() if a.request.cls.effect is Idempotency.SAFE)

    def call_off(self, attempts: Iterable[Attempt]) -> None:
        for attempt in attempts:
            if self.context.settings.cancel and not attempt.request.has_response_started:
                self.context.cancel(attempt)

    def wake(self) -> None:
        self.release_timer.set_if(self.queue)
        self.watch_timer.set_if(self.attempts)

    def route(self, req: Request, leaving: bool = False) -> None:  # what leaves a hold is placed anew
        kept, place, direct = not req.cls.never_kept, self.placement, self.context.settings.direct
        cache, source = place.find_cache(req), place.find_source(req)
        origin = next((u for u in place.table.origins if direct and place.is_usable(u, req)), None)
        waits, fill = kept and not leaving, cache is None or not place.is_known_hit(cache, req)
        self.queue.discard(req)
        if origin is not None and not kept:  # classes never kept pass untouched
            self.send(req, origin, None)
        elif waits and fill and req.tier == 2 and self.fills >= GATE * self.bound:
            # past the gate a few wait with the others: what is never filled no cache holds
            self.hold(req) if self.queue and self.queue.depths[2] < GATE_HELD else self.shed(req)
        elif waits and ((fill and (self.full(req) or self.queue)) or self.placement.is_crowded(cache, req)):
            self.hold(req)
        elif target := cache or (source if direct else None):  # no cache: straight to the parent
            self.send(req, target, source or target)
        else:
            self.give_up(req)

    def full(self, req: Request) -> bool:  # for the bound or the zone's link
        link, part = self.link.slowing(self.context.now), 1.0
        if self.now - self.link.told_at > 2 * LINK_FADE:  # all see it; one as quick as usual is not full
            link = self.latency.fetch_slowness.factor(self.context.now)
            part = LINK_PART + (1 - LINK_PART) / self.mates
        bears = part * self.latency.objective(req) / self.latency.transfer_time(req)
        return self.fills >= self.bound or link > max(bears, 1)

    def hold(self, req: Request) -> None:
        self.queue.push(req)
        self.context.set_timer(HOLD_PART * self.latency.objective(req), TimerKind.QUEUE_TIMEOUT, req.id)
        self.wake()

    def shed(self, req: Request, held: bool = False) -> None:  # past the gate: what the cache holds
        placement, crowded = self.placement, self.placement.is_crowded
        cache = placement.find_cache(req)
        two = placement.rank(placement.table.caches, req.key, req.home)[: 2 * held]
        spare = next((u for u in two if placement.is_usable(u, req) and not crowded(u, req)), None)
        if spare is not None and self.fills < SPARE * self.bound and not self.full(req):
            self.send(req, spare, placement.find_source(req) or spare)
        elif cache is None or req.attempts_sent or crowded(cache, req):
            self.give_up(req)
        else:
            self.send(req, cache, cache)

    def release(self) -> None:
        self.wake()
        while (req := self.queue.pop(self.context.now, self.may_leave)) is not None:
            self.route(req, True)

    def may_leave(self, req: Request) -> bool:
        cache = self.placement.find_cache(req)
        known = cache is not None and self.placement.is_known_hit(cache, req)
        return not self.placement.is_crowded(cache, req) and (known or not self.full(req))

    def filled(self, done: Completion) -> None:
        attempt, e, ok = done.attempt, done.event, done.is_ok and not done.is_from_cache
        if done.outcome is AttemptOutcome.OVERLOADED:  # at once
            if not attempt.is_held_only and done.status not in SOURCE_ALONE:
                self.rest.increase()
                self.fill_at = self.context.now + int(self.context.random.uniform(0.5, 1.5) * self.rest.wait)
        elif ok and not attempt.is_held_only:
            self.rest.ease()
        aim = self.latency.objective(attempt.request) * attempt.upstream.slowness.factor(self.context.now)
        slow = e.waited > attempt.request.cls.on_time or e.elapsed > aim
        bad = done.outcome in (AttemptOutcome.OVERLOADED, AttemptOutcome.TIMEOUT)
        bad = bad or (slow and not done.is_from_cache)
        self.fills, self.bad = self.fills - 1, self.bad + bad  # so is one called off at its deadline
        self.good += ok and not bad
        if self.good + self.bad >= self.bound:  # one slow answer may be a large object's
            if self.bad > BAD_SHARE * (self.good + self.bad):
                self.bound = max(self.bound // 2, self.least)
            elif self.queue and self.fills >= GATE * self.bound - 1:  # it holds them; one just left
                self.bound = min(self.bound * 2, BOUND_MOST)
            else:
                self.context.log(self.recovery.on_limit_held(self.context.now))
            self.good = self.bad = 0
