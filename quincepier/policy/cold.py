"""Machines that started lately (rule four): all fronts together never ask more of one than it stands."""

import math

from quincepier.policy.pace import Paces
from quincepier.policy.parts import BORNE_FADE, MS, SECOND, Node

COLD_SAFETY, COLD_BURST = 0.6, 0.25  # earned of a budget, as sizes are rough; saved up of a window's earnings
BORNE_LEAST = 3 * SECOND  # a front's first signs of work served count over so long at least


class Cold(Paces):
    def cold(self, node: Node) -> tuple[float, float]:  # the part of its size it surely does, and stands
        s, upper = self.s, node.machine.kind == self.s.parent_kind
        least, warm = (s.parent_cold_from, s.parent_cold_time) if upper else (s.cold_from, s.cold_time)
        age = self.now - node.cold_at - s.cold_window  # a window has what it began with
        if node.cold_at == 0 or age >= warm or node.machine.kind == s.origin_kind:
            return 1.0, math.inf
        share = least + (1 - least) * max(age, 0) / max(warm, 1)
        return share, s.parent_cold_multiple if upper else s.cold_multiple

    def room(self, node: Node) -> bool:  # credit by time; of many fronts' turns each passes if not taken
        if (cold := self.cold(node))[1] == math.inf:  # it is warm
            return True
        most, n, span = max(*self.work, MS), self.sharers(node), max(self.s.cold_window, 1)
        calls = math.prod(cold) * self.size(node) * span / most  # that all together may ask in a window
        earned, turns = COLD_SAFETY * calls * most / n, calls + math.sqrt(calls) / 2  # of all, with some over
        if node.drawn < node.cold_at:
            node.paid, node.drawn, node.credit = self.now, self.now, -self.random.random() * most
        saved = node.credit + earned * (self.now - node.paid) / span
        node.paid, few = self.now, n <= calls + 2 * math.sqrt(calls) + 2  # it stands one of each at once
        turn = COLD_BURST * earned if few else min((turns - COLD_SAFETY * calls) / (n - turns), 1) * most
        node.credit = saved if saved <= turn else turn if few else (saved + most) % (turn + most) - most
        return node.credit >= 0

    def weigh(self) -> None:  # sizes, by what a kind bears while all of it are up and warm
        for kind, (work, at) in self.borne.items():
            alike = [n for n in self.nodes.values() if n.machine.kind == kind]
            span = BORNE_FADE / math.log(2) * (1 - math.exp2((self.born - self.now) / BORNE_FADE))
            self.borne[kind] = (work := work * math.exp2((at - self.now) / BORNE_FADE), self.now)
            if alike and not any(n.suspect or self.cold(n)[1] < math.inf for n in alike):
                self.sizes[kind] = max(work / (span + BORNE_LEAST) * self.sharers(alike[0]) / len(alike), 1.0)
