"""Sends and answers. Never: a repeat of what may have run where that does harm (rule two), a copy older
than its class or a purge allows, a second answer."""

from collections import OrderedDict

from quincepier import interface as io
from quincepier.interface import Effect, Group
from quincepier.policy.parts import MS, SECOND, Attempt, Node, Request, remember
from quincepier.policy.placement import Placement

RELEASE_EVERY, WATCH_EVERY = 10 * MS, 100 * MS  # the design's interval; between looks for overdue ones
DEADLINE, HOLD, ROUND, RELIST, WATCH = range(5)  # kinds of timer, in the lowest bits of a token


class Attempts(Placement):
    def __init__(self, settings: io.Settings, seed: int, now: int) -> None:
        super().__init__(settings, seed, now)
        self.purges = OrderedDict[tuple[int, int], int]()
        self.rest, self.awake, self.watching, self.watched = 0.0, False, False, now

    def send(self, req: Request, node: Node, source: Node | None, anew: bool = False) -> None:
        e, now = req.e, self.now
        if req.sent >= self.s.attempts or not self.harmless(req, node) or req.deadline - now <= self.s.step:
            self.give_up(req)
            return
        attempt = Attempt(req, req.sent, now, node, source if source is not node else None)
        attempt.look = look = source is node and node in self.edges  # a cache as its own source fills nothing
        attempt.fill = not (look or req.cls.never_kept or self.known(node, req))
        req.open[req.sent] = self.attempts[e.request, req.sent] = attempt
        req.sent += 1
        self.fills, attempt.work = self.fills + attempt.fill, self.work[e.cls]
        # while fills rest the parents give what they hold; what they lack is asked for once a rest
        attempt.held = only = attempt.fill and source is not None and self.rest > 0 and not anew
        node.recent.append(e.object)
        for one in filter(None, (node, attempt.source)):
            one.credit -= attempt.work
            one.out[e.request, attempt.no] = attempt
            if one.suspect:
                self.tried(one)
        if source is None:
            self.out.append(io.Ask(e.request, node.machine.cache, req.deadline - now))
        else:
            to, by, fills, age = node.machine.cache, source.machine.cache, not look, self.oldest(req, look)
            join, renew = self.s.joins and fills, req.cls.fresh > 0 and fills
            self.out.append(io.Fetch(e.request, to, req.deadline - now, by, 1, age, join, renew, only))
        self.wake()

    def harmless(self, req: Request, node: Node) -> bool:
        """Whether what an earlier attempt may have done allows another at this machine."""
        if req.open and not self.s.second_copies:
            return False
        if req.cls.effect is Effect.SAFE or (req.first_ran is None and not req.open):
            return True
        if req.cls.effect is Effect.UNSAFE or req.first_ran is None or req.open:
            return False
        (sent, first), here, group = req.first_ran, node.machine, req.cls.group
        near = here.zone == first.zone if group is Group.ZONE else here.cell == first.cell
        return (near or group is Group.ALL) and self.now - sent < req.cls.window

    def oldest(self, req: Request, stale: bool) -> int:
        """The age limit (0: the class's own); never a copy from before a purge that may not have settled."""
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

    def give_up(self, req: Request) -> None:
        """The final answer, at once: a refusal where that is known to be harmless, else a failure."""
        cls, untried = req.cls, req.first_ran is None and not req.open
        self.close(req)
        if untried or cls.effect is Effect.SAFE or (cls.effect is Effect.KEYED and cls.group is Group.ALL):
            self.out.append(io.Refuse(req.e.request, self.advice()))
        else:
            self.out.append(io.Fail(req.e.request))

    def advice(self) -> int:
        return int(self.random.uniform(0.8, 1) * self.s.max_retry_after) if self.s.retry_after else 0

    def close(self, req: Request, served: bool = False) -> None:
        """Forget a request that has its final answer; what is still out for it is called off."""
        del self.requests[req.e.request]
        in_time = served and self.now - req.came <= self.aim(req)
        self.out += map(io.Log, self.back.over(self.now, req.cls.worth, in_time))
        self.unhold(req)
        self.call_off(req.open.values())

    def unhold(self, req: Request) -> None:
        if req.held:
            (queue := self.held[req.tier][req.key]).remove(req)
            if not queue:
                del self.held[req.tier][req.key]
            self.depth[req.tier], req.held = self.depth[req.tier] - 1, False

    def timer_in(self, wait: float, kind: int, about: int = 0) -> None:
        self.out.append(io.SetTimer(int(wait), about << 3 | kind, about if kind <= HOLD else -1))

    def wake(self) -> None:
        if not self.awake and any(self.depth):
            self.awake = True
            self.timer_in(RELEASE_EVERY, ROUND)
        if not self.watching and self.attempts:
            self.watching, self.watched = True, self.now + WATCH_EVERY
            self.timer_in(WATCH_EVERY, WATCH)
