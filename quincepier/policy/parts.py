"""What a front keeps of machines, requests, attempts and itself. It never chooses, sends or refuses."""

import math
import random
from collections import OrderedDict, deque
from collections.abc import Callable

from quincepier import interface as io
from quincepier.recovery import Return

MS = 1_000_000
SECOND = 1000 * MS
PACE_FADE, PACE_PRIOR = 4 * SECOND, 1.5  # signs of how slow a machine is count half after; of it as usual
HOT_OF = 32  # requests of which a hot object has its share; a share of very few says nothing
MEMORY_MOST = 4096  # entries of any memory that requests fill; the oldest go first


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

    fade = PACE_FADE  # for what is kept of it over a start

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


class Request:
    def __init__(self, e: io.RequestCame, cls: io.RequestClass, tier: int, now: int) -> None:
        self.e, self.cls, self.tier, self.came = e, cls, tier, now
        self.deadline = now + e.time_left
        self.open: dict[int, Attempt] = {}
        self.sent, self.held, self.begun = 0, False, False
        self.first_ran: tuple[int, io.Machine] | None = None  # when and where one first may have run
        self.avoid: list[Node] = []
        self.key, self.told = mix(e.object, e.part), 0.0  # its sending time, where sizes are told


class Attempt:
    def __init__(self, req: Request, no: int, at: int, node: Node, source: Node | None) -> None:
        self.req, self.no, self.at, self.node, self.source = req, no, at, node, source
        self.fill, self.look, self.held = False, False, False
        self.work = 0.0  # as booked to cold machines


class State:
    """A front's own; what each mechanism adds to it stands in that one's file, each over the one before."""

    def __init__(self, settings: io.Settings, seed: int, now: int) -> None:
        self.s, self.now, self.random = settings, now, random.Random(seed)
        worths = sorted({c.worth for c in settings.classes if not c.never_kept}, reverse=True)
        place = {worth: math.ceil(2 * n / max(len(worths) - 1, 1)) for n, worth in enumerate(worths)}
        self.tiers = [place.get(c.worth, 0) for c in settings.classes]
        self.nodes: dict[int, Node] = {}
        self.edges, self.parents, self.origins = list[Node](), list[Node](), list[Node]()
        self.requests: dict[int, Request] = {}
        self.attempts: dict[tuple[int, int], Attempt] = {}
        self.held: list[OrderedDict[int, deque[Request]]] = [OrderedDict() for _ in range(3)]
        self.depth, self.fills = [0] * 3, 0
        self.back, self.lapses = Return(now), list[tuple[int, Callable[[], None]]]()  # see recovery's recall
        self.out: list[io.Action] = []
