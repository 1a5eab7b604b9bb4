"""Where the copies of an object lie, by hash. It never names a machine that may not be asked."""

import math
from itertools import islice

from quincepier import interface as io
from quincepier.fading import Pace
from quincepier.interface import UpdateScope as ListScope
from quincepier.keys import MEMORY_MOST, mix
from quincepier.policy.parts import HOT_OF, HOT_SHARE, PACE, PACE_EASY, RELIST, SECOND, Node, Request
from quincepier.policy.trust import Trust

CROWD, FILL_PART = 0.6, 0.5  # of the slowing a class stands; a fill of a quick cache waits for its source
HIT_MEMORY = 5 * SECOND  # how long a seen hit keeps an attempt from counting as a fill (design)


class Placement(Trust):
    def listed(self, news: io.EndpointUpdate) -> None:
        if news.scope is ListScope.FAILED:
            self.timer_in(SECOND, RELIST)
        if news.scope is ListScope.RESTORED and self.s.list_on_request:
            self.out.append(io.WatchEndpoints())
        gone = {m.cache for m in news.machines if m.state is io.EndpointState.GONE}
        if news.scope in (ListScope.FULL, ListScope.RESTORED):
            gone |= self.nodes.keys() - {m.cache for m in news.machines}
        s, upper, moved = self.s, (self.s.parent_kind, self.s.origin_kind), bool(gone & self.nodes.keys())
        for cache in sorted(gone & self.nodes.keys()):
            self.rescue(self.nodes.pop(cache))
        for m in news.machines:  # caches of other zones are of no use here, and there may be very many
            node = self.nodes.get(m.cache)
            if node is None and m.cache not in gone and (m.kind in upper or m.zone == s.zone):
                self.nodes[m.cache], moved = Node(m, Pace(*PACE), HOT_OF), True
            elif node is not None:
                if m.up_since > node.machine.up_since:
                    node.cold_at, node.suspect = max(node.cold_at, m.up_since), False
                moved = moved or m.size != node.machine.size
                node.machine, node.leaving = m, 0
        if moved:
            self.ranks, nodes = {}, self.nodes.values()
            self.parents = [n for n in nodes if n.machine.kind == s.parent_kind]
            self.origins = [n for n in nodes if n.machine.kind == s.origin_kind]
            self.edges = [n for n in nodes if n.machine.kind not in upper]
        self.out += map(io.WriteLog, self.back.on_list_received(self.now))

    def rank(self, nodes: list[Node], key: int, home: io.HomeShard | None = None) -> list[Node]:
        at = key if home is None else (key, home.name)
        if at not in self.ranks:  # kept until the list changes: a held request is looked at often
            self.ranks = self.ranks if len(self.ranks) < MEMORY_MOST else {}
            weigh = self.s.sizes_compare and all(n.machine.size > 0 for n in nodes)
            parts = {n: (n.machine.size if weigh else 1.0) / 2 ** (n.step / 2) for n in nodes}
            if home is not None:  # of all listed the home's, each by the draw that it always has
                names = home.parents if nodes is self.parents else home.caches
                nodes = [n for n in nodes if n.machine.cache in names]
            draws = {n: -math.log((mix(key, n.machine.cache) + 1) / 2**64) / parts[n] for n in nodes}
            self.ranks[at] = sorted(nodes, key=draws.__getitem__)  # each first for a part by its size
        return self.ranks[at]

    def reweigh(self) -> None:  # a slow one keeps its part by the square of its pace
        for group in (self.edges, self.parents):
            easy = PACE_EASY * min(paces := [n.pace.times(self.now) for n in group], default=1.0)
            for node, pace in zip(group, paces, strict=True):
                if (step := int(4 * math.log2(max(pace / easy, 1.0)))) != node.step:
                    node.step, self.ranks = step, {}

    def usable(self, node: Node, req: Request) -> bool:
        ready = (
            node.machine.state is io.EndpointState.READY
            and node not in req.avoid
            and self.now >= node.leaving
        )
        return ready and (not node.suspect or self.now >= node.trial_at) and self.room(node)

    def place(self, req: Request) -> Node | None:  # the first by hash; for a hot object the idler of two
        good = list(islice((n for n in self.rank(self.edges, req.key, req.home) if self.usable(n, req)), 2))
        hot = len(good) > 1 and good[0].recent.count(req.e.object) > HOT_SHARE * HOT_OF
        return min(good, key=lambda n: len(n.out)) if hot else good[0] if good else None

    def source(self, req: Request) -> Node | None:  # by hash over all listed, else the origin
        ranked = self.rank(self.parents, mix(req.e.object), req.home) + self.origins
        return next((n for n in ranked if self.usable(n, req)), None)

    def crowded(self, node: Node, req: Request) -> bool:  # whether one more of this class would come late
        n, work, aim, pace = self.sharers(node), self.work_of(req), self.aim(req), node.pace.times(self.now)
        count = sum(FILL_PART if a.fill and pace < PACE_EASY else 1 for a in node.out.values()) + 1
        listed = self.s.sizes_compare and node.machine.size > 0  # what a kind was seen to bear is no limit
        late = pace * work > (CROWD + (1 - CROWD) / n) * aim  # more fronts leave more room
        return late or (listed and count > max(CROWD * aim / work * node.machine.size / n, 2))

    def known(self, node: Node, req: Request) -> bool:
        return self.now - self.hits.get((node.machine.cache, req.key), self.now - HIT_MEMORY) < HIT_MEMORY
