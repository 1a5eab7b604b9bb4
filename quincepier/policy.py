"""All decisions of quincepier. Its events, actions and settings are in quincepier/interface.py.

Edge caches are hashed by object and part, parents by object; fills are held under a bound (docs/design.md).
"""

from __future__ import annotations

import math
import random
from collections import Counter, OrderedDict, deque
from collections.abc import Callable, Iterable, Iterator
from itertools import islice

from quincepier import interface as io
from quincepier.interface import CacheState, Effect, Ending, Group, ListScope, Note
from quincepier.recovery import Return, fronts_that_ask

MS = 1_000_000
SECOND = 1000 * MS
TIER_WEIGHTS = (80.0, 15.0, 5.0)  # the design's shares of releases, highest tier first
BOOST_EVERY = 10  # held requests for one object that add one to the weight (design)
RELEASE_EVERY, FLOOR_EVERY = 10 * MS, SECOND  # the design's release interval; each held tier's floor
BOUND_START, BOUND_MOST = 16, 256  # fills in flight: at the start (design), doubled
BOUND_LEAST, BOUND_EACH = 12, 4  # halved: of a zone's fronts together, but of each so many, which add up
BAD_SHARE = 0.25  # the bound steps after a bound's worth of fills: down if more than this part went badly
REST_LEAST, REST_MOST, REST_EASE = 100 * MS, 2 * SECOND, 0.3  # between fills, doubled by a refused one
GATE, GATE_HELD = 0.85, 2  # share of the bound from which the lowest tier is shed (design); so many are held
HIT_MEMORY = 5 * SECOND  # how long a seen hit keeps an attempt from counting as a fill (design)
CROWD = 0.6  # part of the slowing a class stands that a full cache link may use before its requests are held
PACE_FADE, PACE_PRIOR = 4 * SECOND, 1.5  # signs of how slow a machine is count half after; of it as usual
PACE_EASY = 1.3  # times as slow as the best of its kind at which a machine keeps its part of the keys
LINK_FADE = 2 * SECOND  # what was told of a link counts half after
LINK_PART = 0.35  # of the slowing a class stands, where only fills tell of the link to many fronts at once
USUAL_LEAST, USUAL_RISE = 20, 0.01 / SECOND  # answers before the least of their mean counts; how it forgets
HOLD_PART, HOLD_SCAN = 0.15, 16  # longest hold, as part of the wanted time; held objects looked through
TURN_PART = 0.2  # of the wanted time, over 1 + tier: how long a busy front may keep a request from its turn
SPARE = 0.5  # part of the bound that must be free for a fill at a second cache, as that is one more copy
HOT_SHARE, HOT_OF = 0.25, 32  # widening (design), of so many requests; a share of very few says nothing
WATCH_EVERY = 100 * MS  # between looks for overdue attempts; one this much late shows our own standstill
SUSPECT_FOR, SUSPECT_MOST = SECOND, 8 * SECOND  # wait before a trial, doubled at each failure
LOST_LEAST = 4  # attempts broken off in a row that make a loss; a faulty machine that serves most is of use
SILENT_LEAST = 2  # overdue attempts that make a silence: one alone may be a large object
COLD_SAFETY = 0.6  # part of a cold budget that is earned: sizes are rough, and each front may overdraw
COLD_BURST = 0.25  # part of a window's earnings that may be saved up
MORE_ATTEMPTS, EXTRA_SHARE, EXTRA_MOST = 3, 0.2, 40.0  # a request's further ones; earned by a first; saved up
EXTRA_FIRST = 8.0  # had at the start; where all fronts return at once, saved ones would come at once too
BORNE_FADE, BORNE_LEAST = 15 * SECOND, 3 * SECOND  # served work counts half in; a front's first signs
WORK_NEW = 0.02  # least weight of a new answer in the mean sending time of a class; first all count alike
MEMORY_MOST = 4096  # entries of any memory that requests fill; the oldest go first
LOGS_MOST = 40  # log lines of one run
RAN_NOT = frozenset((Ending.FULL, Ending.CONNECT_FAILED, Ending.MOOT, Ending.MISS))  # prove it never ran
SOURCE_FAULTS = (Note.SOURCE_REFUSED, Note.SOURCE_BROKEN, Note.SOURCE_LACKS, Note.ORIGIN_FAILED)
DEADLINE, HOLD, ROUND, RELIST, WATCH = range(5)  # kinds of timer, in the lowest bits of a token


def mix(*numbers: int) -> int:
    """A 64-bit hash of whole numbers, the same at every front and in every process."""
    h = 0x9E3779B97F4A7C15
    for n in numbers:
        h = (h ^ n) * 0xBF58476D1CE4E5B9 & 0xFFFFFFFFFFFFFFFF
        h = (h ^ h >> 29) * 0x94D049BB133111EB & 0xFFFFFFFFFFFFFFFF
        h ^= h >> 32
    return h


def remember(memory: OrderedDict[tuple[int, int], int], key: tuple[int, int], when: int, since: int) -> None:
    memory[key] = when
    memory.move_to_end(key)
    while memory and (len(memory) > MEMORY_MOST or next(iter(memory.values())) < since):
        memory.popitem(last=False)


class Pace:
    """How many times slower than usual something was lately; with no signs of it, as usual."""

    def __init__(self) -> None:
        self.slowed, self.signs, self.at = 0.0, 0.0, 0  # sum and number of signs, when they were up to date

    def sign(self, now: int, slowed: float) -> None:
        fade = math.exp2((self.at - now) / PACE_FADE)
        self.slowed, self.signs, self.at = self.slowed * fade + slowed, self.signs * fade + 1, now

    def times(self, now: int) -> float:
        fade = math.exp2((self.at - now) / PACE_FADE)
        return math.exp(max(self.slowed * fade / (self.signs * fade + PACE_PRIOR), 0.0))


class Node:
    def __init__(self, machine: io.Machine) -> None:
        self.machine = machine
        self.cold_at = machine.up_since  # when it last started, as told or as guessed from its failing
        self.heard, self.failed = 0, 0.0  # its last sign of work, and the attempts broken off since
        self.suspect, self.trial_at, self.wait = False, 0, 0
        self.denied: Node | None = None  # the cache by which it gave nothing last
        self.leaving = 0  # until when an earlier start's word that it leaves holds
        self.credit, self.paid = 0.0, -1  # for the cold budget: work that may be sent, and when last earned
        self.pace, self.step = Pace(), 0  # its part of the keys is halved by two steps
        self.out: dict[tuple[int, int], Attempt] = {}
        self.recent: deque[int] = deque(maxlen=HOT_OF)  # objects last asked for


class Attempt:
    def __init__(self, req: Request, no: int, at: int, node: Node, source: Node | None) -> None:
        self.req, self.no, self.at, self.node, self.source = req, no, at, node, source
        self.fill, self.look, self.held = False, False, False
        self.work = 0.0  # as booked to cold machines


class Request:
    def __init__(self, e: io.RequestCame, cls: io.RequestClass, tier: int, now: int) -> None:
        self.e, self.cls, self.tier, self.came = e, cls, tier, now
        self.deadline = now + e.time_left
        self.open: dict[int, Attempt] = {}
        self.sent, self.held, self.begun = 0, False, False
        self.first_ran: tuple[int, io.Machine] | None = None  # when and where one first may have run
        self.avoid: list[Node] = []
        self.key, self.told = mix(e.object, e.part), 0.0  # its sending time, where sizes are told


class Router:
    def __init__(self, settings: io.Settings, seed: int, now: int) -> None:
        self.s, self.now, self.random = settings, now, random.Random(seed)
        worths = sorted({c.worth for c in settings.classes if not c.never_kept}, reverse=True)
        place = {worth: math.ceil(2 * n / max(len(worths) - 1, 1)) for n, worth in enumerate(worths)}
        self.tiers = [place.get(c.worth, 0) for c in settings.classes]
        self.work = [float(c.on_time) for c in settings.classes]  # mean sending time; high until it is seen
        self.samples = Counter[int]()
        self.usual = dict[tuple[int, bool, bool], tuple[float, int, float, int]]()  # see compare
        self.nodes: dict[int, Node] = {}
        self.edges, self.parents, self.origins = list[Node](), list[Node](), list[Node]()
        self.ranks: dict[int, list[Node]] = {}
        self.requests: dict[int, Request] = {}
        self.attempts: dict[tuple[int, int], Attempt] = {}
        self.held: list[OrderedDict[int, deque[Request]]] = [OrderedDict() for _ in TIER_WEIGHTS]
        self.depth, self.credit, self.released = [0] * 3, [0.0] * 3, [now] * 3
        self.mates = max(*settings.fronts_by_zone[settings.zone :][:1], 0, 1)  # fronts of this zone, with us
        self.least = max(BOUND_LEAST // self.mates, BOUND_EACH)
        self.bound, self.fills, self.good, self.bad = BOUND_START, 0, 0, 0
        self.back, self.lapses = Return(now), list[tuple[int, Callable[[], None]]]()  # see recall
        self.fetch = Pace()  # of all fills, through the zone's link
        self.rest, self.fill_at, self.link, self.link_at = 0.0, now, 0.0, 0  # what fills wait for; see full
        self.began = self.born = now  # this front, and the work that its memory is of; see weigh
        self.sizes = dict[int, float]()  # by kind
        self.borne = dict[int, tuple[float, int]]()
        self.hits, self.purges = OrderedDict[tuple[int, int], int](), OrderedDict[tuple[int, int], int]()
        self.extra, self.logs, self.awake, self.watching, self.watched = EXTRA_FIRST, 0, False, False, now
        self.out: list[io.Action] = []

    def handle(self, now: int, event: io.Event) -> list[io.Action]:
        self.now, self.out = now, []
        while self.lapses and self.lapses[0][0] <= now:  # before anything rests on it
            self.lapses.pop(0)[1]()
        match event:
            case io.RequestCame():
                self.came(event)
            case io.AttemptEnded():
                self.ended(event)
            case io.TimerDue(token):
                self.timer(token & 7, token >> 3)
            case io.ListNews():
                self.listed(event)
            case io.Purged(group, obj, ago):
                self.purged(group, obj, ago)
            case io.StreamBegan(request, attempt) if request in self.requests:
                req = self.requests[request]
                self.call_off(a for a in req.open.values() if a.no != attempt)
                req.begun = True
            case io.ClientLeft(request) if request in self.requests:
                self.close(self.requests[request])
        return self.out

    def purged(self, group: int, obj: int, ago: int) -> None:
        key, since = (0, obj) if obj else (1, group), self.now - self.s.purge_settles - 2 * SECOND
        remember(self.purges, key, max(self.now - ago, self.purges.get(key, 0)), since)

    def learned(self) -> Iterator[io.Learned]:
        """What may be kept over a start (docs/state.md)."""
        from quincepier.recovery import memory

        return memory.learned(self)

    def recall(self, facts: Iterable[io.Learned], age: int | None) -> int:
        """What an earlier start kept `age` ns ago (None: not known), after the list. How many facts count."""
        from quincepier.recovery import memory

        return memory.recall(self, facts, age)

    def listed(self, news: io.ListNews) -> None:
        if news.scope is ListScope.FAILED:
            self.timer_in(SECOND, RELIST)
        if news.scope is ListScope.REMEMBERED and self.s.list_on_request:
            self.out.append(io.Follow())
        gone = {m.cache for m in news.machines if m.state is CacheState.GONE}
        if news.scope in (ListScope.FULL, ListScope.REMEMBERED):
            gone |= self.nodes.keys() - {m.cache for m in news.machines}
        s, upper, moved = self.s, (self.s.parent_kind, self.s.origin_kind), bool(gone & self.nodes.keys())
        for cache in sorted(gone & self.nodes.keys()):
            self.rescue(self.nodes.pop(cache))
        for m in news.machines:  # caches of other zones are of no use here, and there may be very many
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
        self.out += map(io.Log, self.back.listed(self.now))

    def came(self, e: io.RequestCame) -> None:
        tier = self.tiers[e.cls]
        cls = self.s.classes[e.cls]
        self.back.came(e.cls)
        behind = e.waited > TURN_PART * cls.on_time / (1 + tier) and not cls.never_kept
        if behind or e.time_left <= self.s.step:  # refused while that costs little, the lowest tier first
            self.out.append(io.Refuse(e.request, self.advice()))
            self.out += map(io.Log, self.back.over(self.now, cls.worth, False))
            return
        req = self.requests[e.request] = Request(e, cls, tier, self.now)
        req.told = e.size_kb / self.s.client_kb_per_s * SECOND if self.s.client_kb_per_s else 0.0
        self.extra = min(EXTRA_MOST, self.extra + EXTRA_SHARE)
        self.timer_in(e.time_left - self.s.step, DEADLINE, e.request)
        self.route(req)

    def close(self, req: Request, served: bool = False) -> None:
        """Forget a request that has its final answer; what is still out for it is called off."""
        del self.requests[req.e.request]
        in_time = served and self.now - req.came <= self.aim(req)
        self.out += map(io.Log, self.back.over(self.now, req.cls.worth, in_time))
        self.unhold(req)
        self.call_off(req.open.values())

    def call_off(self, attempts: Iterable[Attempt]) -> None:
        for a in attempts:
            if self.s.cancel and not a.req.begun:
                self.out.append(io.Cancel(a.req.e.request, a.no))

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

    def cold(self, node: Node) -> tuple[float, float]:
        """What a machine that started lately can surely do, as a part of its size, and what it stands."""
        s, upper = self.s, node.machine.kind == self.s.parent_kind
        least, warm = (s.parent_cold_from, s.parent_cold_time) if upper else (s.cold_from, s.cold_time)
        age = self.now - node.cold_at - s.cold_window  # a window has what it began with
        if node.cold_at == 0 or age >= warm or node.machine.kind == s.origin_kind:
            return 1.0, math.inf
        share = least + (1 - least) * max(age, 0) / max(warm, 1)
        return share, s.parent_cold_multiple if upper else s.cold_multiple

    def room(self, node: Node) -> bool:
        """Whether a machine that started lately may be asked (rule four): credit by time, by turns."""
        share, multiple = self.cold(node)
        if multiple == math.inf:  # it is warm
            return True
        rate = COLD_SAFETY * multiple * share * self.size(node) / self.sharers(node)
        if node.paid < node.cold_at:
            node.paid, node.credit = self.now, -self.random.random() * max(self.work)
        saved = node.credit + rate * (self.now - node.paid)
        node.paid, node.credit = self.now, min(saved, COLD_BURST * rate * self.s.cold_window)
        return node.credit >= 0

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

    def route(self, req: Request, leaving: bool = False) -> None:
        """Send a request, hold it, or answer it as past the gate. What leaves a hold is placed anew."""
        kept, node, source = not req.cls.never_kept, self.place(req), self.source(req)
        origin = next((n for n in self.origins if self.s.direct and self.usable(n, req)), None)
        waits, fill = kept and not leaving, node is None or not self.known(node, req)
        self.unhold(req)
        if origin is not None and not kept:  # classes never kept pass untouched
            self.send(req, origin, None)
        elif waits and fill and req.tier == 2 and self.fills >= GATE * self.bound:
            # a few wait with the others: what is never filled no cache holds, and all of it would starve
            self.hold(req) if any(self.depth) and self.depth[2] < GATE_HELD else self.shed(req)
        elif waits and (fill and (self.full(req) or any(self.depth)) or (node and self.crowded(node, req))):
            self.hold(req)
        elif target := node or (source if self.s.direct else None):  # no cache to ask: straight to the parent
            self.send(req, target, source or target)
        else:
            self.give_up(req)

    def size(self, node: Node) -> float:
        """A machine's link in transfers at a client's pace: as listed, else as its kind was seen to bear."""
        listed = self.s.sizes_compare and node.machine.size > 0
        return node.machine.size if listed else self.sizes.get(node.machine.kind, 1.0)

    def weigh(self) -> None:
        """Learn from work served by the machines of a kind while all of them are up and warm: no more than
        they can do, as one that is new may be asked for little by each of many fronts, and all add up."""
        for kind, (work, at) in self.borne.items():
            alike = [n for n in self.nodes.values() if n.machine.kind == kind]
            work *= math.exp2((at - self.now) / BORNE_FADE)
            span = BORNE_FADE / math.log(2) * (1 - math.exp2((self.born - self.now) / BORNE_FADE))
            self.borne[kind] = (work, self.now)
            if alike and not any(n.suspect or self.cold(n)[1] < math.inf for n in alike):
                whole = work / (span + BORNE_LEAST) * self.sharers(alike[0]) / len(alike)
                self.sizes[kind] = max(whole, 1.0)

    def crowded(self, node: Node, req: Request) -> bool:
        """Whether so much of ours is in flight at a cache that one more of this class would come late."""
        n = self.sharers(node)  # the more fronts act on the same signs, the more room is left
        late = node.pace.times(self.now) * self.work_of(req) > (CROWD + (1 - CROWD) / n) * self.aim(req)
        listed = self.s.sizes_compare and node.machine.size > 0  # what a kind was seen to bear is no limit
        return late or listed and len(node.out) + 1 > max(self.stands(req) * node.machine.size / n, 2)

    def stands(self, req: Request) -> float:
        return CROWD * self.aim(req) / self.work_of(req)

    def sharers(self, node: Node) -> int:
        return fronts_that_ask(self.s.fronts, self.s.fronts_by_zone, node.machine.zone)

    def hold(self, req: Request) -> None:
        self.held[req.tier].setdefault(req.key, deque()).append(req)
        self.depth[req.tier], req.held = self.depth[req.tier] + 1, True
        self.timer_in(HOLD_PART * self.aim(req), HOLD, req.e.request)
        self.wake()

    def full(self, req: Request) -> bool:
        """Whether a fill must wait: for the bound, or for the zone's link, as told or as fills show it."""
        link = self.link * math.exp2((self.link_at - self.now) / LINK_FADE)
        if self.now - self.link_at > 2 * LINK_FADE:
            link = self.fetch.times(self.now) / (LINK_PART + (1 - LINK_PART) / self.mates)  # all see it
        return self.fills >= self.bound or link * self.work_of(req) > self.aim(req)

    def known(self, node: Node, req: Request) -> bool:
        return self.now - self.hits.get((node.machine.cache, req.key), self.now - HIT_MEMORY) < HIT_MEMORY

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

    def oldest(self, req: Request, stale: bool) -> int:
        """The age limit (0: the class's own); never a copy from before a purge that may not have settled."""
        e, cls = req.e, req.cls
        age = cls.fresh + cls.grace if stale and cls.fresh else 0
        purged = max(self.purges.get((0, e.object), -1), self.purges.get((1, e.group), -1))
        if purged >= 0 and self.now - purged <= self.s.purge_settles + 2 * SECOND:
            since = max(self.now - purged, 1)
            age = min(age or cls.fresh or since, since)
        return age

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
            if one.suspect:  # its trial; the next one waits twice as long
                one.wait = min(2 * one.wait, SUSPECT_MOST)
                one.trial_at = now + one.wait
        if source is None:
            self.out.append(io.Ask(e.request, node.machine.cache, req.deadline - now))
        else:
            to, by, fills, age = node.machine.cache, source.machine.cache, not look, self.oldest(req, look)
            join, renew = self.s.joins and fills, req.cls.fresh > 0 and fills
            self.out.append(io.Fetch(e.request, to, req.deadline - now, by, 1, age, join, renew, only))
        self.wake()

    def harmless(self, req: Request, node: Node) -> bool:
        """Whether what an earlier attempt may have done allows another at this machine (rule two)."""
        if req.open and not self.s.second_copies:
            return False
        if req.cls.effect is Effect.SAFE or (req.first_ran is None and not req.open):
            return True
        if req.cls.effect is Effect.UNSAFE or req.first_ran is None or req.open:
            return False
        (sent, first), here, group = req.first_ran, node.machine, req.cls.group
        near = here.zone == first.zone if group is Group.ZONE else here.cell == first.cell
        return (near or group is Group.ALL) and self.now - sent < req.cls.window

    def aim(self, req: Request) -> float:
        return req.cls.on_time + req.cls.stretch * self.work_of(req)

    def work_of(self, req: Request) -> float:
        """Sending time of a request: its own where sizes are told, else the class's mean."""
        return max(req.told or self.work[req.e.cls], MS)

    def ended(self, e: io.AttemptEnded) -> None:
        if (attempt := self.attempts.pop((e.request, e.attempt), None)) is None:
            return
        (req := attempt.req).open.pop(e.attempt, None)
        for node in filter(None, (attempt.node, attempt.source)):
            node.out.pop((e.request, e.attempt), None)
        self.learn(attempt, e)
        if e.ending is Ending.OK:
            self.out += map(io.Log, self.back.answered(self.now, req.e.cls))
        if e.ending not in RAN_NOT and (req.first_ran is None or attempt.at < req.first_ran[0]):
            req.first_ran = (attempt.at, attempt.node.machine)
        if self.requests.get(e.request) is req:
            if e.last:
                self.close(req, e.ending is Ending.OK)
            elif e.ending is not Ending.OK and not req.open:
                self.again(req, attempt, e)
        self.release()

    def again(self, req: Request, attempt: Attempt, e: io.AttemptEnded) -> None:
        """After an attempt that served nothing: another one, while it can help and what ran allows it."""
        node, source = attempt.node, attempt.source
        if attempt.held and e.ending is Ending.MISS and source is not None:
            if self.now >= self.fill_at and self.usable(node, req) and self.usable(source, req):
                self.fill_at = self.now + int(self.rest)
                self.send(req, node, source, True)
            else:
                self.give_up(req)
            return
        blamed = e.ending is not Ending.MOOT and not e.another_way  # else the machine itself is not at fault
        req.avoid += [source or node] if e.note in SOURCE_FAULTS else [node] * blamed
        if source is not None and e.note is Note.NONE and e.ending in (Ending.FULL, Ending.TIMEOUT):
            req.avoid += [source]  # not told whose fault it was: change both
        useless = attempt.look and e.ending is Ending.MISS or req.deadline - self.now < self.work[req.e.cls]
        if useless or self.extra < 1 or req.sent > MORE_ATTEMPTS:
            self.give_up(req)
        else:
            self.extra -= 1
            self.route(req)

    def learn(self, attempt: Attempt, e: io.AttemptEnded) -> None:
        node, source = attempt.node, attempt.source
        from_cache = e.ending is Ending.OK and e.note in (Note.HIT, Note.STALE)
        if e.ending in (Ending.CONNECT_FAILED, Ending.RESET) and not e.another_way:
            self.distrust(node, "lost", 1 if e.ending is Ending.RESET else LOST_LEAST)
        elif e.ending in (Ending.OK, Ending.ERROR, Ending.FULL, Ending.MISS):
            self.trust(node)
        if source is not None:
            if e.note in (Note.SOURCE_BROKEN, Note.SOURCE_REFUSED):  # a dead process refuses, a full one too
                self.distrust(source, "broken as source", LOST_LEAST / (1 + (e.note == Note.SOURCE_REFUSED)))
            elif attempt.held and e.ending is Ending.FULL and e.note is Note.NONE:
                if source.denied is not node:  # one cache by itself may have no place for a fill
                    self.distrust(source, "gives nothing", LOST_LEAST / 2)  # asked for what it holds alone
                source.denied = node
            elif e.ending is (Ending.MISS if attempt.held else Ending.OK) and not from_cache:
                self.trust(source)
            source.credit += attempt.work * from_cache  # it was not asked
        for one in (node, source) if e.ending is Ending.OK else ():
            if one is not None and (one is node or not from_cache):
                work, at = self.borne.get(kind := one.machine.kind, (0.0, self.now))
                self.borne[kind] = (work * math.exp2((at - self.now) / BORNE_FADE) + attempt.work, self.now)
        reported = dict(zip(self.s.reports, e.report, strict=False))
        if node.machine.zone == self.s.zone and "link" in reported:
            self.link, self.link_at = reported["link"], self.now
        self.compare(attempt, e, from_cache)
        if from_cache:
            remember(self.hits, (node.machine.cache, attempt.req.key), self.now, self.now - HIT_MEMORY)
            # others like ours are on its link for each front, this one is there once
            slowed = (len(node.out) * self.sharers(node) + 1) / self.size(node)
            own = attempt.req.told or e.elapsed / max(slowed if self.s.sizes_compare else 1.0, 1.0)  # shared
            self.samples[n := attempt.req.e.cls] += 1
            self.work[n] += max(WORK_NEW, 1 / self.samples[n]) * (own - self.work[n])
        if attempt.fill:
            self.fills -= 1
            alone = attempt.held or e.note in (Note.SOURCE_BROKEN, Note.SOURCE_LACKS)  # not the origin's word
            if e.ending is Ending.FULL and not alone:  # at once
                self.rest = min(max(2 * self.rest, REST_LEAST), REST_MOST)
                self.fill_at = self.now + int(self.random.uniform(0.5, 1.5) * self.rest)
            elif e.ending is Ending.OK and not from_cache and not attempt.held:
                self.rest = self.rest * REST_EASE if self.rest > REST_LEAST / 2 else 0.0
            aim = self.aim(attempt.req) * node.pace.times(self.now)
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

    def compare(self, attempt: Attempt, e: io.AttemptEnded, from_cache: bool) -> None:
        """What the time of an answer says of who gave it, against the usual one of its class."""
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

    def trust(self, node: Node) -> None:
        node.heard, node.failed, node.denied = self.now, 0, None
        if node.suspect:
            node.suspect = False  # where a trial failed it was away and starts anew, told or not
            node.cold_at = self.now if node.wait > 2 * SUSPECT_FOR else node.cold_at
            self.log(f"machine {node.machine.cache} answers again")

    def distrust(self, node: Node, why: str, points: float = LOST_LEAST) -> None:
        """Set a machine aside; one real request tries it after a wait, so that it comes back by itself."""
        node.failed += points
        if node.failed < LOST_LEAST or node.machine.kind == self.s.origin_kind:
            return  # of the origin there is one
        if not node.suspect:
            self.log(f"machine {node.machine.cache} set aside: {why}")
            self.doubt(node, SUSPECT_FOR)
        self.rescue(node)

    def doubt(self, node: Node, first: int = 0) -> None:
        """It gets one request as a trial after `first`, and is trusted again by its answer."""
        node.suspect, node.wait, node.trial_at = True, SUSPECT_FOR, self.now + first

    def rescue(self, node: Node) -> None:
        """What waits on a lost machine gives its slot back and, where harmless, goes elsewhere."""
        for a in node.out.values():
            self.fills, a.fill = self.fills - a.fill, False
        self.call_off(a for a in list(node.out.values()) if a.req.cls.effect is Effect.SAFE)

    def watch(self) -> None:
        late, self.watching = Counter[Node](), False
        if anew := self.back.stood_still(self.now, self.now - self.watched):
            self.bound = min(self.bound, BOUND_START)
            self.out += map(io.Log, anew)
        if not any(self.depth):
            self.out += map(io.Log, self.back.unpressed(self.now))
        self.weigh()
        self.reweigh()
        slow = self.fetch.times(self.now)
        for a in self.attempts.values():  # the oldest first
            if a.at > self.now - SECOND or self.now - self.watched > WATCH_EVERY:  # answers are still to come
                break
            # while all fills are slow, one that is as slow says nothing against its source
            if a.at <= self.now - self.aim(a.req) * (slow if a.fill else 1) and not a.req.begun:
                # a source is silent only if its asker is not
                silent = a.node if a.node.heard <= a.at else a.source if a.fill else None
                if silent is not None and silent.heard <= a.at:
                    late[silent] += 1
        for node in (n for n, count in late.items() if count >= SILENT_LEAST or n.suspect):
            self.distrust(node, "silent")
        self.wake()

    def timer_in(self, wait: float, kind: int, about: int = 0) -> None:
        self.out.append(io.SetTimer(int(wait), about << 3 | kind, about if kind <= HOLD else -1))

    def timer(self, kind: int, about: int) -> None:
        if kind == DEADLINE and (req := self.requests.get(about)) and not req.begun:
            self.close(req)
            self.out.append(io.Fail(about))
        elif kind == HOLD and (req := self.requests.get(about)) and req.held:
            self.unhold(req)
            self.shed(req, True)
        elif kind == RELIST:
            self.out.append(io.Follow())
        elif kind == ROUND:
            self.awake = False
            self.release()
        elif kind == WATCH:
            self.watch()

    def wake(self) -> None:
        if not self.awake and any(self.depth):
            self.awake = True
            self.timer_in(RELEASE_EVERY, ROUND)
        if not self.watching and self.attempts:
            self.watching, self.watched = True, self.now + WATCH_EVERY
            self.timer_in(WATCH_EVERY, WATCH)

    def unhold(self, req: Request) -> None:
        if req.held:
            (queue := self.held[req.tier][req.key]).remove(req)
            if not queue:
                del self.held[req.tier][req.key]
            self.depth[req.tier], req.held = self.depth[req.tier] - 1, False

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

    def log(self, text: str) -> None:
        self.logs += 1
        if self.logs <= LOGS_MOST:
            self.out.append(io.Log(text))
