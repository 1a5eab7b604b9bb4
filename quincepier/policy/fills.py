"""The bound on fills, holds, gate and weighted release. It never starves a held tier, nor lets a fill pass
the bound or a full link."""

import math
from collections import OrderedDict, deque
from itertools import islice

from quincepier import interface as io
from quincepier.interface import Ending, Note
from quincepier.policy.attempts import HOLD, Attempts
from quincepier.policy.parts import MS, SECOND, Attempt, Request

TIER_WEIGHTS = (80.0, 15.0, 5.0)  # the design's shares of releases, highest tier first
BOOST_EVERY = 10  # held requests for one object that add one to the weight (design)
FLOOR_EVERY = SECOND  # each held tier's floor
BOUND_START, BOUND_MOST = 16, 256  # fills in flight: at the start (design), doubled
BOUND_LEAST, BOUND_EACH = 12, 4  # halved: of a zone's fronts together, but of each so many, which add up
BAD_SHARE = 0.25  # the bound steps after a bound's worth of fills: down if more than this part went badly
REST_LEAST, REST_MOST, REST_EASE = 100 * MS, 2 * SECOND, 0.3  # between fills, doubled by a refused one
GATE = 0.85  # share of the bound from which the lowest tier is shed (design)
LINK_FADE = 2 * SECOND  # what was told of a link counts half after
LINK_PART = 0.35  # of the slowing a class stands, where only fills tell of the link to many fronts at once
HOLD_PART, HOLD_SCAN = 0.15, 16  # longest hold, as part of the wanted time; held objects looked through
SPARE = 0.5  # part of the bound that must be free for a fill at a second cache, as that is one more copy


class Fills(Attempts):
    def __init__(self, settings: io.Settings, seed: int, now: int) -> None:
        super().__init__(settings, seed, now)
        self.credit, self.released = [0.0] * 3, [now] * 3
        self.mates = max(*settings.fronts_by_zone[settings.zone :][:1], 0, 1)  # fronts of this zone, with us
        self.least = max(BOUND_LEAST // self.mates, BOUND_EACH)
        self.bound, self.good, self.bad = BOUND_START, 0, 0
        self.fill_at, self.link, self.link_at = now, 0.0, 0  # what fills wait for; see full
        self.link_no = [*settings.reports, "link"].index("link")  # which value of a load report tells of it

    def route(self, req: Request, leaving: bool = False) -> None:
        """Send a request, hold it, or answer it as past the gate. What leaves a hold is placed anew."""
        kept, node, source = not req.cls.never_kept, self.place(req), self.source(req)
        origin = next((n for n in self.origins if self.s.direct and self.usable(n, req)), None)
        waits, fill = kept and not leaving, node is None or not self.known(node, req)
        self.unhold(req)
        if origin is not None and not kept:  # classes never kept pass untouched
            self.send(req, origin, None)
        elif waits and fill and req.tier == 2 and self.fills >= GATE * self.bound:
            self.shed(req)
        elif waits and (fill and (self.full(req) or any(self.depth)) or (node and self.crowded(node, req))):
            self.hold(req)
        elif target := node or (source if self.s.direct else None):  # no cache to ask: straight to the parent
            self.send(req, target, source or target)
        else:
            self.give_up(req)

    def full(self, req: Request) -> bool:
        """Whether a fill must wait: for the bound, or for the zone's link, as told or as fills show it."""
        link = self.link * math.exp2((self.link_at - self.now) / LINK_FADE)
        if self.now - self.link_at > 2 * LINK_FADE:
            link = self.fetch.times(self.now) / (LINK_PART + (1 - LINK_PART) / self.mates)  # all see it
        return self.fills >= self.bound or link * self.work_of(req) > self.aim(req)

    def hold(self, req: Request) -> None:
        self.held[req.tier].setdefault(req.key, deque()).append(req)
        self.depth[req.tier], req.held = self.depth[req.tier] + 1, True
        self.timer_in(HOLD_PART * self.aim(req), HOLD, req.e.request)
        self.wake()

    def shed(self, req: Request, held: bool = False) -> None:
        """What the cache holds, stale too within grace, else a refusal; after a hold the next by hash."""
        node, two = self.place(req), self.rank(self.edges, req.key)[: 2 * held]
        spare = next((n for n in two if self.usable(n, req) and not self.crowded(n, req)), None)
        if spare is not None and self.fills < SPARE * self.bound and not self.full(req):
            self.send(req, spare, self.source(req) or spare)
        elif node is None or req.sent or self.crowded(node, req):
            self.give_up(req)
        else:
            self.send(req, node, node)

    def release(self) -> None:
        """Held requests leave by weighted shares; an empty tier lends its share, each keeps a floor."""
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
        """The held object most waited for of those that may leave now, else the first of them."""
        best = None
        for queue in islice(queues.values(), HOLD_SCAN):
            if best is None or len(queue) // BOOST_EVERY > len(best) // BOOST_EVERY:
                req, node = queue[0], self.place(queue[0])
                full = node is not None and self.crowded(node, req)
                may = not full and (not self.full(req) or node is not None and self.known(node, req))
                best = queue if may else best
        return best

    def filled(self, attempt: Attempt, e: io.AttemptEnded, from_cache: bool) -> None:
        """What the ending of a fill says of the bound and of the rest between fills."""
        self.fills -= 1
        alone = attempt.held or e.note in (Note.SOURCE_BROKEN, Note.SOURCE_LACKS)  # not the origin's word
        if e.ending is Ending.FULL and not alone:  # at once
            self.rest = min(max(2 * self.rest, REST_LEAST), REST_MOST)
            self.fill_at = self.now + int(self.random.uniform(0.5, 1.5) * self.rest)
        elif e.ending is Ending.OK and not from_cache and not attempt.held:
            self.rest = self.rest * REST_EASE if self.rest > REST_LEAST / 2 else 0.0
        aim = self.aim(attempt.req) * attempt.node.pace.times(self.now)
        slow = e.waited > attempt.req.cls.on_time or e.elapsed > aim
        bad = e.ending in (Ending.FULL, Ending.TIMEOUT) or (slow and not from_cache)
        self.bad += bad  # so is one called off at its deadline
        self.good += e.ending is Ending.OK and not from_cache and not bad
        if self.good + self.bad >= self.bound:  # one slow answer may be a large object's
            if self.bad > BAD_SHARE * (self.good + self.bad):
                self.bound = max(self.bound // 2, self.least)
            elif any(self.depth) and self.fills >= GATE * self.bound - 1:  # it holds them; one just left
                self.bound = min(self.bound * 2, BOUND_MOST)
            else:
                self.out += map(io.Log, self.back.kept(self.now))
            self.good = self.bad = 0
