"""Bound, gate, holds, weighted release: never a fill past the bound or a full link, nor a tier starved."""

import math
from collections import OrderedDict, deque
from itertools import islice

from quincepier import interface as io
from quincepier.interface import AttemptOutcome as Ending
from quincepier.interface import CacheStatus as Note
from quincepier.policy.attempts import Attempts
from quincepier.policy.parts import HOLD, MS, SECOND, Attempt, Request

TIER_WEIGHTS = (80.0, 15.0, 5.0)  # the design's shares of releases, highest tier first
BOOST_EVERY, FLOOR_EVERY = 10, SECOND  # held for one object that add one; a tier's floor (design)
BOUND_MOST, BAD_SHARE = 256, 0.25  # doubled; after a bound's worth of fills, halved if more went badly
REST_LEAST, REST_MOST, REST_EASE = 100 * MS, 2 * SECOND, 0.3  # between fills, doubled by a refused one
GATE, GATE_HELD, SPARE = 0.85, 2, 0.5  # of the bound: the lowest tier is shed (design) but so many; to copy
LINK_FADE, LINK_PART = 2 * SECOND, 0.35  # what is told of it counts half; where many see it by fills alone
HOLD_PART, HOLD_SCAN = 0.15, 16  # longest hold, as part of the wanted time; held objects looked through


class Fills(Attempts):
    def route(self, req: Request, leaving: bool = False) -> None:  # what leaves a hold is placed anew
        kept, node, source = not req.cls.never_kept, self.place(req), self.source(req)
        origin = next((n for n in self.origins if self.s.direct and self.usable(n, req)), None)
        waits, fill = kept and not leaving, node is None or not self.known(node, req)
        self.unhold(req)
        if origin is not None and not kept:  # classes never kept pass untouched
            self.send(req, origin, None)
        elif waits and fill and req.tier == 2 and self.fills >= GATE * self.bound:
            # past the gate a few wait with the others: what is never filled no cache holds
            self.hold(req) if any(self.depth) and self.depth[2] < GATE_HELD else self.shed(req)
        elif waits and ((fill and (self.full(req) or any(self.depth))) or (node and self.crowded(node, req))):
            self.hold(req)
        elif target := node or (source if self.s.direct else None):  # no cache to ask: straight to the parent
            self.send(req, target, source or target)
        else:
            self.give_up(req)

    def full(self, req: Request) -> bool:  # for the bound or the zone's link
        link, part = self.link * math.exp2((self.link_at - self.now) / LINK_FADE), 1.0
        if self.now - self.link_at > 2 * LINK_FADE:  # all see it; one as quick as usual is not full
            link, part = self.fetch.times(self.now), LINK_PART + (1 - LINK_PART) / self.mates
        return self.fills >= self.bound or link > max(part * self.aim(req) / self.work_of(req), 1)

    def hold(self, req: Request) -> None:
        self.held[req.tier].setdefault(req.key, deque()).append(req)
        self.depth[req.tier], req.held = self.depth[req.tier] + 1, True
        self.timer_in(HOLD_PART * self.aim(req), HOLD, req.e.request)
        self.wake()

    def shed(self, req: Request, held: bool = False) -> None:  # past the gate: what the cache holds
        node, two = self.place(req), self.rank(self.edges, req.key, req.home)[: 2 * held]
        spare = next((n for n in two if self.usable(n, req) and not self.crowded(n, req)), None)
        if spare is not None and self.fills < SPARE * self.bound and not self.full(req):
            self.send(req, spare, self.source(req) or spare)
        elif node is None or req.sent or self.crowded(node, req):
            self.give_up(req)
        else:
            self.send(req, node, node)

    def release(self) -> None:  # by weighted shares; an empty tier lends its own
        self.wake()
        while heads := {t: q for t, queues in enumerate(self.held) if (q := self.head(queues))}:
            shares = {t: TIER_WEIGHTS[t] + len(q) // BOOST_EVERY for t, q in heads.items()}
            for t in heads:
                self.credit[t] += shares[t]
            tier = max(heads, key=lambda t: (self.now - self.released[t] >= FLOOR_EVERY, self.credit[t]))
            self.credit[tier] -= sum(shares.values())
            self.released[tier] = self.now
            self.route(heads[tier][0], True)

    def head(self, queues: OrderedDict[int, deque[Request]]) -> deque[Request] | None:
        best = None
        for queue in islice(queues.values(), HOLD_SCAN):
            if best is None or len(queue) // BOOST_EVERY > len(best) // BOOST_EVERY:
                req, node = queue[0], self.place(queue[0])
                full = node is not None and self.crowded(node, req)
                may = not full and (not self.full(req) or (node is not None and self.known(node, req)))
                best = queue if may else best
        return best

    def filled(self, attempt: Attempt, e: io.AttemptCompleted, from_cache: bool) -> None:
        alone = attempt.held or e.note in (Note.SOURCE_BROKEN, Note.SOURCE_MISS)  # not the origin's word
        if e.ending is Ending.OVERLOADED and not alone:  # at once
            self.rest = min(max(2 * self.rest, REST_LEAST), REST_MOST)
            self.fill_at = self.now + int(self.random.uniform(0.5, 1.5) * self.rest)
        elif e.ending is Ending.OK and not from_cache and not attempt.held:
            self.rest = self.rest * REST_EASE if self.rest > REST_LEAST / 2 else 0.0
        aim = self.aim(attempt.req) * attempt.node.pace.times(self.now)
        slow = e.waited > attempt.req.cls.on_time or e.elapsed > aim
        bad = e.ending in (Ending.OVERLOADED, Ending.TIMEOUT) or (slow and not from_cache)
        self.fills, self.bad = self.fills - 1, self.bad + bad  # so is one called off at its deadline
        self.good += e.ending is Ending.OK and not from_cache and not bad
        if self.good + self.bad >= self.bound:  # one slow answer may be a large object's
            if self.bad > BAD_SHARE * (self.good + self.bad):
                self.bound = max(self.bound // 2, self.least)
            elif any(self.depth) and self.fills >= GATE * self.bound - 1:  # it holds them; one just left
                self.bound = min(self.bound * 2, BOUND_MOST)
            else:
                self.out += map(io.WriteLog, self.back.on_limit_held(self.now))
            self.good = self.bad = 0
