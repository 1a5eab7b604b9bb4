"""Hears each event and has the mechanisms act, in one order. It never sends or answers by another way."""

from collections import Counter

from quincepier import interface as io
from quincepier.interface import AttemptOutcome as Ending
from quincepier.interface import CacheStatus as Note
from quincepier.keys import remember
from quincepier.policy.attempts import RELEASE_EVERY, WATCH_EVERY
from quincepier.policy.fills import Fills
from quincepier.policy.parts import BOUND_START, DEADLINE, HOLD, RELIST, ROUND, STOOD, WATCH, Attempt, Request
from quincepier.policy.placement import HIT_MEMORY

TURN_PART = 0.2  # of the wanted time, over 1 + tier: how long a busy front may keep a request from its turn
MORE_ATTEMPTS, EXTRA_SHARE, EXTRA_MOST = 3, 0.2, 40.0  # a request's further ones; earned by a first; saved up
ANSWERS = 8  # of machines, that make the first answers; a class alone is heard by its first
# prove it never ran
RAN_NOT = frozenset((Ending.OVERLOADED, Ending.CONNECT_FAILED, Ending.NOT_PROCESSED, Ending.MISS))
SOURCE_FAULTS = (Note.SOURCE_REFUSED, Note.SOURCE_BROKEN, Note.SOURCE_MISS, Note.ORIGIN_FAILED)


class Router(Fills):
    def handle(self, now: int, event: io.Event) -> list[io.Action]:
        self.now, self.out = now, []
        while self.lapses and self.lapses[0][0] <= now:  # before anything rests on it
            self.lapses.pop(0)[1]()
        match event:
            case io.RequestReceived():
                self.came(event)
            case io.AttemptCompleted():
                self.ended(event)
            case io.TimerFired(token):
                self.timer(token & 7, token >> 3)
            case io.EndpointUpdate():
                self.listed(event)
            case io.ObjectPurged(group, obj, ago):
                self.purged(group, obj, ago)
            case io.ResponseStarted(request, attempt) if req := self.requests.get(request):
                self.call_off(a for a in req.open.values() if a.no != attempt)
                req.begun = True
            case io.ClientDisconnected(request) if req := self.requests.get(request):
                self.close(req)
        return self.out

    def came(self, e: io.RequestReceived) -> None:
        tier, cls = self.tiers[e.cls], self.s.classes[e.cls]
        self.asked.add(e.cls)
        behind = e.waited > max(TURN_PART * cls.on_time / (1 + tier), RELEASE_EVERY) and not cls.never_kept
        if behind or e.time_left <= self.s.step:  # refused while that costs little, the lowest tier first
            self.out.append(io.RejectRequest(e.request, self.advice()))
            self.out += map(io.WriteLog, self.back.on_request_finished(self.now, cls.worth, False))
            return
        home = self.homes(e) if self.homes is not None else None
        req = self.requests[e.request] = Request(e, self.s, tier, self.now, home)
        self.extra = min(EXTRA_MOST, self.extra + EXTRA_SHARE)
        self.timer_in(e.time_left - self.s.step, DEADLINE, e.request)
        if home is not None and home.closed and cls.effect is not io.Idempotency.SAFE:
            self.give_up(req)
        else:
            self.route(req)

    def ended(self, e: io.AttemptCompleted) -> None:
        if (attempt := self.attempts.pop((e.request, e.attempt), None)) is None:
            return
        (req := attempt.req).open.pop(e.attempt, None)
        for node in filter(None, (attempt.node, attempt.source)):
            node.out.pop((e.request, e.attempt), None)
        self.learn(attempt, e)
        if e.ending is Ending.OK and not self.met:  # until each class asked for was answered
            self.heard[req.e.cls] += 1
            if (count := self.heard.total()) >= ANSWERS and self.asked <= self.heard.keys():
                self.met = True
                self.out += map(io.WriteLog, self.back.on_first_responses(self.now, count))
        if e.ending not in RAN_NOT and (req.first_ran is None or attempt.at < req.first_ran[0]):
            req.first_ran = (attempt.at, attempt.node.machine)
        if self.requests.get(e.request) is req:
            if e.last:
                self.close(req, e.ending is Ending.OK)
            elif e.ending is not Ending.OK and not req.open:
                self.again(req, attempt, e)
        self.release()

    def learn(self, attempt: Attempt, e: io.AttemptCompleted) -> None:
        from_cache = e.ending is Ending.OK and e.note in (Note.HIT, Note.STALE)
        self.believe(attempt, e, from_cache)
        self.bore(attempt, e.ending, from_cache)
        if len(e.report) > self.link_no and attempt.node.machine.zone == self.s.zone:
            self.link, self.link_at = e.report[self.link_no], self.now
        self.compare(attempt, e, from_cache)
        if from_cache:
            seen = (attempt.node.machine.cache, attempt.req.key)
            remember(self.hits, seen, self.now, self.now - HIT_MEMORY)
            self.sent_in(attempt, e.elapsed)
        if attempt.fill:
            self.filled(attempt, e, from_cache)

    def again(self, req: Request, attempt: Attempt, e: io.AttemptCompleted) -> None:
        node, source = attempt.node, attempt.source
        held = source if attempt.held and e.ending is Ending.MISS else None  # the parent lacks it
        if held is None:  # another one, while it can help; the machine itself may not be at fault
            blamed = e.ending is not Ending.NOT_PROCESSED and not e.another_way
            req.avoid += [source or node] if e.note in SOURCE_FAULTS else [node] * blamed
            if source is not None and e.note is Note.NONE and e.ending in (Ending.OVERLOADED, Ending.TIMEOUT):
                req.avoid += [source]  # not told whose fault it was: change both
        useless = (attempt.look and e.ending is Ending.MISS) or req.deadline - self.now < self.work[req.e.cls]
        if held and self.now >= self.fill_at and self.usable(node, req) and self.usable(held, req):
            self.fill_at = self.now + int(self.rest)
            self.send(req, node, held, True)
        elif held or useless or self.extra < 1 or req.sent > MORE_ATTEMPTS:
            self.give_up(req)
        else:
            self.extra -= 1
            self.route(req)

    def timer(self, kind: int, about: int) -> None:
        if kind == DEADLINE and (req := self.requests.get(about)) and not req.begun:
            self.close(req)
            self.out.append(io.FailRequest(about))
        elif kind == HOLD and (req := self.requests.get(about)) and req.held:
            self.unhold(req)
            self.shed(req, True)
        elif kind == RELIST:
            self.out.append(io.WatchEndpoints())
        elif kind == ROUND:
            self.awake = False
            self.release()
        elif kind == WATCH:
            self.watch()

    def watch(self) -> None:
        gap, self.watching = self.now - self.watched, False
        if gap >= STOOD and self.met:  # what we knew of the others is from before
            self.asked, self.heard, self.met = set(), Counter(), False
            self.bound = min(self.bound, BOUND_START)
            self.out += map(io.WriteLog, self.back.on_process_pause(self.now, gap))
        if not any(self.depth):
            self.out += map(io.WriteLog, self.back.on_limit_idle(self.now))
        self.weigh()
        self.reweigh()
        if gap <= WATCH_EVERY:  # else answers are still to come, as we stood still ourselves
            self.silences()
        self.wake()
