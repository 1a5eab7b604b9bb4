"""Where the copies of an object lie, by hash. It never names a machine that may not be asked."""

import math
from collections import OrderedDict
from itertools import islice

from quincepier import interface as io
from quincepier.interface import CacheState, ListScope
from quincepier.policy.parts import HOT_OF, MEMORY_MOST, SECOND, Node, Request, mix
from quincepier.policy.trust import Trust

CROWD = 0.6  # part of the slowing a class stands that a full cache link may use before its requests are held
PACE_EASY = 1.3  # times as slow as the best of its kind at which a machine keeps its part of the keys
HIT_MEMORY = 5 * SECOND  # how long a seen hit keeps an attempt from counting as a fill (design)
HOT_SHARE = 0.25  # widening (design)


class Placement(Trust):
    pace_easy = PACE_EASY  # for what is kept of it over a start

    def __init__(self, settings: io.Settings, seed: int, now: int) -> None:
        super().__init__(settings, seed, now)
        self.ranks: dict[int, list[Node]] = {}
        self.hits = OrderedDict[tuple[int, int], int]()

    def news(self, news: io.ListNews) -> None:
        """The list of machines, as far as it is told: caches of other zones are of no use here, and many."""
        gone = {m.cache for m in news.machines if m.state is CacheState.GONE}
        if news.scope in (ListScope.FULL, ListScope.REMEMBERED):
            gone |= self.nodes.keys() - {m.cache for m in news.machines}
        s, upper, moved = self.s, (self.s.parent_kind, self.s.origin_kind), bool(gone & self.nodes.keys())
        for cache in sorted(gone & self.nodes.keys()):
            self.rescue(self.nodes.pop(cache))
        for m in news.machines:
            node = self.nodes.get(m.cache)
            if node is None and m.cache not in gone and (m.kind in upper or m.zone == s.zone):
                self.nodes[m.cache], moved = Node(m), True
            elif node is not None:
                if m.up_since > node.machine.up_since:
                    node.cold_at = max(node.cold_at, m.up_since)
                    node.suspect = False
                moved = moved or m.size != node.machine.size
                node.machine, node.leaving = m, 0
        if moved:
            self.ranks, nodes = {}, self.nodes.values()
            self.parents = [n for n in nodes if n.machine.kind == s.parent_kind]
            self.origins = [n for n in nodes if n.machine.kind == s.origin_kind]
            self.edges = [n for n in nodes if n.machine.kind not in upper]

    def rank(self, nodes: list[Node], key: int) -> list[Node]:
        """The nodes by a hash of the key, each first for a part of the keys that follows its size."""
        if key not in self.ranks:  # kept until the list changes: a held request is looked at often
            self.ranks = self.ranks if len(self.ranks) < MEMORY_MOST else {}
            weigh = self.s.sizes_compare and all(n.machine.size > 0 for n in nodes)
            draws = {n: -math.log((mix(key, n.machine.cache) + 1) / 2**64) for n in nodes}
            parts = {n: (n.machine.size if weigh else 1.0) / 2 ** (n.step / 2) for n in nodes}
            self.ranks[key] = sorted(nodes, key=lambda n: draws[n] / parts[n])
        return self.ranks[key]

    def reweigh(self) -> None:
        """A slow machine keeps its part of the keys by the square of its pace, in steps orders outlast."""
        for group in (self.edges, self.parents):
            paces = [n.pace.times(self.now) for n in group]
            easy = PACE_EASY * min(paces, default=1.0)
            for node, pace in zip(group, paces, strict=True):
                if (step := int(4 * math.log2(max(pace / easy, 1.0)))) != node.step:
                    node.step, self.ranks = step, {}

    def usable(self, node: Node, req: Request) -> bool:
        ready = node.machine.state is CacheState.READY and node not in req.avoid and self.now >= node.leaving
        return ready and (not node.suspect or self.now >= node.trial_at) and self.room(node)

    def place(self, req: Request) -> Node | None:
        """The edge cache by hash of object and part; of the first two the idler for a hot object."""
        good = list(islice((n for n in self.rank(self.edges, req.key) if self.usable(n, req)), 2))
        if len(good) > 1 and good[0].recent.count(req.e.object) > HOT_SHARE * HOT_OF:
            return min(good, key=lambda n: len(n.out))
        return good[0] if good else None

    def source(self, req: Request) -> Node | None:
        """An object's parent by hash over all listed; the next by hash where one is down or cold."""
        ranked = self.rank(self.parents, mix(req.e.object)) + self.origins
        return next((n for n in ranked if self.usable(n, req)), None)

    def crowded(self, node: Node, req: Request) -> bool:
        """Whether so much of ours is in flight at a cache that one more of this class would come late."""
        n, work, aim = self.sharers(node), self.work_of(req), self.aim(req)
        # the more fronts act on the same signs, the more room is left
        late = node.pace.times(self.now) * work > (CROWD + (1 - CROWD) / n) * aim
        listed = self.s.sizes_compare and node.machine.size > 0  # what a kind was seen to bear is no limit
        return late or listed and len(node.out) + 1 > max(CROWD * aim / work * node.machine.size / n, 2)

    def known(self, node: Node, req: Request) -> bool:
        return self.now - self.hits.get((node.machine.cache, req.key), self.now - HIT_MEMORY) < HIT_MEMORY
