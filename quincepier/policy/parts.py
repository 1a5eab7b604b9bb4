"""What a front keeps of machines, requests, attempts and itself. It never chooses, sends or refuses."""

import math
import random
from collections import Counter, OrderedDict, deque
from collections.abc import Callable

from quincepier import interface as io
from quincepier.fading import Pace
from quincepier.records import Attempt, Node, Request
from quincepier.recovery import RecoveryTracker

__all__ = ["Attempt", "Node", "Request"]
MS, SECOND = 1_000_000, 1_000_000_000  # times are in nanoseconds
PACE = 4 * SECOND, 1.5  # signs of how slow one is count half after; beside so many of it as usual
PACE_EASY, BORNE_FADE = 1.3, 15 * SECOND  # times the best's, to keep its keys; served work counts half in
HOT_SHARE, HOT_OF = 0.25, 32  # widening (design), of so many requests; a share of very few says nothing
BOUND_START, BOUND_LEAST, BOUND_EACH = 16, 12, 4  # fills in flight (design); at least a zone's, and each's
STOOD, EXTRA_FIRST = 2 * SECOND, 8.0  # own standstill after which all is found anew; all may start at once
DEADLINE, HOLD, ROUND, RELIST, WATCH = range(5)  # kinds of timer, in the lowest bits of a token


class State:  # a front's own; each mechanism is one more layer over it, in its own file
    pace_easy, borne_fade = PACE_EASY, BORNE_FADE  # for who keeps it over a start

    def __init__(self, settings: io.Settings, seed: int, now: int) -> None:
        self.s, self.now, self.random = settings, now, random.Random(seed)
        worths = sorted({c.worth for c in settings.classes if not c.never_kept}, reverse=True)
        place = {worth: math.ceil(2 * n / max(len(worths) - 1, 1)) for n, worth in enumerate(worths)}
        self.tiers = [place.get(c.worth, 0) for c in settings.classes]
        # a shell's: asked once each, told of attempts
        self.homes: Callable[[io.RequestReceived], io.HomeShard | None] | None = None
        self.witness: Callable[[io.RequestReceived, Node, Node | None], None] | None = None
        self.nodes, self.ranks = dict[int, Node](), dict[int | tuple[int, int], list[Node]]()
        self.edges, self.parents, self.origins = list[Node](), list[Node](), list[Node]()
        self.requests, self.attempts = dict[int, Request](), dict[tuple[int, int], Attempt]()
        self.hits, self.purges = OrderedDict[tuple[int, int], int](), OrderedDict[tuple[int, int], int]()
        self.unseen = [min(c.on_time or c.deadline, c.deadline / 2) for c in settings.classes]
        self.work = [*self.unseen]  # mean sending time; until it is seen high, yet another attempt fits in
        self.samples, self.fetch = Counter[int](), Pace(*PACE)  # answers of a class; all fills, by the link
        self.usual = dict[tuple[int, bool, bool], tuple[float, int, float, int]]()  # see compare
        self.began = self.born = now  # this front, and the work that its memory is of; see weigh
        self.sizes, self.borne = dict[int, float](), dict[int, tuple[float, int]]()  # by kind
        self.held: list[OrderedDict[int, deque[Request]]] = [OrderedDict() for _ in range(3)]
        self.depth, self.credit, self.released = [0] * 3, [0.0] * 3, [now] * 3
        self.mates = max(*settings.fronts_by_zone[settings.zone :][:1], 0, 1)  # fronts of this zone, with us
        self.least = max(BOUND_LEAST // self.mates, BOUND_EACH)
        self.bound, self.fills, self.good, self.bad = BOUND_START, 0, 0, 0
        self.rest, self.fill_at, self.link, self.link_at = 0.0, now, 0.0, 0  # what fills wait for; see full
        self.link_no = [*settings.reports, "link"].index("link")  # which value of a load report tells of it
        self.asked, self.heard, self.met = set[int](), Counter[int](), False  # classes; see ended
        self.extra, self.logs, self.awake, self.watching, self.watched = EXTRA_FIRST, 0, False, False, now
        self.back, self.out = RecoveryTracker(now), list[io.Action]()
        self.lapses = list[tuple[int, Callable[[], None]]]()  # of what was recalled

    def timer_in(self, wait: float, kind: int, about: int = 0) -> None:
        self.out.append(io.SetTimer(int(wait), about << 3 | kind, about if kind <= HOLD else -1))
