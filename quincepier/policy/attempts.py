"""Sends and answers: never a repeat that may do harm (rule two), a copy past its age, a second answer."""

from quincepier import interface as io
from quincepier.keys import remember
from quincepier.policy.parts import MS, ROUND, SECOND, WATCH, Attempt, Node, Request
from quincepier.policy.placement import Placement

RELEASE_EVERY, WATCH_EVERY = 10 * MS, 100 * MS  # the design's interval; between looks for overdue ones


class Attempts(Placement):
    def send(self, req: Request, node: Node, source: Node | None, anew: bool = False) -> None:
        e, cls, now = req.e, req.cls, self.now
        if req.sent >= self.s.attempts or not self.harmless(req, node) or req.deadline - now <= self.s.step:
            self.give_up(req)
            return
        attempt = Attempt(req, req.sent, now, node, source if source is not node else None)
        attempt.look = look = source is node and node in self.edges  # a cache as its own source fills nothing
        attempt.fill = not (look or cls.never_kept or self.known(node, req))
        req.open[req.sent] = self.attempts[e.request, req.sent] = attempt
        req.sent, self.fills, attempt.work = req.sent + 1, self.fills + attempt.fill, self.work[e.cls]
        # while fills rest the parents give what they hold; what they lack is asked for once a rest
        attempt.held = only = attempt.fill and source is not None and self.rest > 0 and not anew
        node.recent.append(e.object)
        for one in filter(None, (node, attempt.source)):
            one.credit -= attempt.work
            one.out[e.request, attempt.no] = attempt
            if one.suspect:
                self.tried(one)
        keyed = cls.effect is io.Idempotency.KEYED
        span = req.first_ran[0] + cls.window - now if req.first_ran and keyed else 0
        if source is None:
            self.out.append(io.ForwardRequest(e.request, node.machine.cache, req.deadline - now, span))
        else:
            wait, by, age = req.deadline - now, source.machine.cache, self.oldest(req, look)
            join, renew = self.s.joins and not look, cls.fresh > 0 and not look
            to = node.machine.cache
            self.out += [io.FetchThrough(e.request, to, wait, by, 1, age, join, renew, only, span)]
        if self.witness is not None:
            self.witness(e, node, attempt.source)
        self.wake()

    def harmless(self, req: Request, node: Node) -> bool:  # rule two: whether what ran allows it here
        if req.cls.effect is io.Idempotency.SAFE or (req.first_ran is None and not req.open):
            return self.s.second_copies or not req.open
        if req.cls.effect is io.Idempotency.UNSAFE or req.first_ran is None or req.open:
            return False
        (sent, first), here, group = req.first_ran, node.machine, req.cls.group
        near = here.zone == first.zone if group is io.DeduplicationScope.ZONE else here.cell == first.cell
        return (near or group is io.DeduplicationScope.ALL) and self.now - sent < req.cls.window

    def oldest(self, req: Request, stale: bool) -> int:  # 0: the class's own; with shed, within grace
        e, cls = req.e, req.cls
        age = cls.fresh + cls.grace if stale and cls.fresh else 0
        purged = max(self.purges.get((0, e.object), -1), self.purges.get((1, e.group), -1))
        if purged >= 0 and self.now - purged <= self.s.purge_settles + 2 * SECOND:
            since = max(self.now - purged, 1)
            age = min(age or cls.fresh or since, since)
        return age

    def purged(self, group: int, obj: int, ago: int) -> None:
        key, since = (0, obj) if obj else (1, group), self.now - self.s.purge_settles - 2 * SECOND
        remember(self.purges, key, max(self.now - ago, self.purges.get(key, 0)), since)

    def give_up(self, req: Request) -> None:  # a refusal where that is known to do no harm
        cls = req.cls
        known = cls.effect is io.Idempotency.SAFE or (req.first_ran is None and not req.open)
        self.close(req)
        known = known or (cls.effect is io.Idempotency.KEYED and cls.group is io.DeduplicationScope.ALL)
        number = req.e.request
        self.out.append(io.RejectRequest(number, self.advice()) if known else io.FailRequest(number))

    def advice(self) -> int:
        return int(self.random.uniform(0.8, 1) * self.s.max_retry_after) if self.s.retry_after else 0

    def close(self, req: Request, served: bool = False) -> None:  # what is still out for it is called off
        del self.requests[req.e.request]
        in_time = served and self.now - req.came <= self.aim(req)
        self.out += map(io.WriteLog, self.back.on_request_finished(self.now, req.cls.worth, in_time))
        self.unhold(req)
        self.call_off(req.open.values())

    def unhold(self, req: Request) -> None:
        if req.held:
            (queue := self.held[req.tier][req.key]).remove(req)
            if not queue:
                del self.held[req.tier][req.key]
            self.depth[req.tier], req.held = self.depth[req.tier] - 1, False

    def wake(self) -> None:
        if not self.awake and any(self.depth):
            self.awake = True
            self.timer_in(RELEASE_EVERY, ROUND)
        if not self.watching and self.attempts:
            self.watching, self.watched = True, self.now + WATCH_EVERY
            self.timer_in(WATCH_EVERY, WATCH)
