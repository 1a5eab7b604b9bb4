"""How long answers take, what kinds bear, who is slow. It never sets a machine aside: it is of use."""

import math

from quincepier import interface as io
from quincepier.interface import AttemptOutcome as Ending
from quincepier.policy.parts import BORNE_FADE, MS, SECOND, Attempt, Node, Request, State
from quincepier.recovery import fronts_that_ask

USUAL_LEAST, USUAL_RISE = 20, 0.01 / SECOND  # answers before the least of their mean counts; how it forgets
WORK_NEW, AIM_LEAST = 0.02, 2.2  # a new answer's least weight in a mean; CROWD of the aim is past PACE_EASY


class Paces(State):
    def aim(self, req: Request) -> float:  # what even an idle machine can't do is not aimed for
        return max(req.cls.on_time + req.cls.stretch * (work := self.work_of(req)), AIM_LEAST * work)

    def work_of(self, req: Request) -> float:  # its own where told, else its class's mean
        return max(req.told or self.work[req.e.cls], MS)

    def size(self, node: Node) -> float:  # its link, in transfers at a client's pace
        listed = self.s.sizes_compare and node.machine.size > 0
        return node.machine.size if listed else self.sizes.get(node.machine.kind, 1.0)

    def sharers(self, node: Node) -> int:
        s, m = self.s, node.machine  # a parent serves the fronts of all zones
        return fronts_that_ask(s.fronts, () if m.kind == s.parent_kind else s.fronts_by_zone, m.zone)

    def bore(self, attempt: Attempt, ending: Ending, from_cache: bool) -> None:
        for one in (attempt.node, attempt.source) if ending is Ending.OK else ():
            if one is not None and (one is attempt.node or not from_cache):
                work, at = self.borne.get(kind := one.machine.kind, (0.0, self.now))
                self.borne[kind] = (work * math.exp2((at - self.now) / BORNE_FADE) + attempt.work, self.now)

    def sent_in(self, attempt: Attempt, elapsed: int) -> None:  # a hit tells of its class
        slowed = (len(attempt.node.out) * self.sharers(attempt.node) + 1) / self.size(attempt.node)
        own = attempt.req.told or elapsed / max(slowed if self.s.sizes_compare else 1.0, 1.0)  # shared
        self.samples[n := attempt.req.e.cls] += 1
        self.work[n] += max(WORK_NEW, 1 / self.samples[n]) * (own - self.work[n])

    def compare(self, attempt: Attempt, e: io.AttemptCompleted, from_cache: bool) -> None:
        req, late = attempt.req, e.elapsed > self.aim(attempt.req)
        key = (req.e.cls, not attempt.fill or from_cache, req.told > 0)  # others are not to be compared
        if e.ending is not Ending.OK and not (late and e.ending in (Ending.CANCELLED, Ending.TIMEOUT)):
            return
        mean, n, least, at = self.usual.get(key, (0.0, 0, 0.0, self.now))
        seen = math.log(max(e.elapsed, 1) / (req.told or MS))
        if e.ending is Ending.OK:
            mean, n = mean + (seen - mean) * max(WORK_NEW, 1 / (n + 1)), n + 1
            least = min(least + USUAL_RISE * (self.now - at), mean) if n > USUAL_LEAST else mean
            self.usual[key] = (mean, n, least, self.now)
        elif n == 0 or seen < least:
            return
        filled = attempt.source if attempt.fill and not from_cache else None
        seen -= least  # what ended without an answer may be either's fault
        for node in filter(None, (filled, attempt.node if not (filled and e.ending is Ending.OK) else None)):
            node.pace.sign(self.now, seen)
        if filled:
            self.fetch.sign(self.now, seen)
