"""Records the streams of tests/data/policy from the present logic: `python -m tests.policy_recording`.

Run only for a deliberate change of behaviour, with the reason in the commit: the streams are what a change
that should change nothing is compared with. Two sources: fronts of the laboratory in virtual time, and a site
of random requests, machines and faults that gives every event a Router may hear. The same streams each time.
"""

from __future__ import annotations

import heapq
import random
from collections.abc import Callable, Iterable
from dataclasses import dataclass, replace
from pathlib import Path
from typing import Any
from unittest import mock

from quincepier import interface as io
from quincepier.config import load_front
from quincepier.interface import (
    AttemptOutcome,
    CacheStatus,
    DeduplicationScope,
    EndpointState,
    Idempotency,
    UpdateScope,
)
from quincepier.lab import front as lab_front
from quincepier.lab.experiment import load
from quincepier.lab.world import World
from tests.policy_stream import RecordingRouter, write
from tests.rig import CACHES, MS, PARENTS, ROOT, SECOND, make_class, make_settings

TOP = Path(__file__).parent.parent
FIRST = 100 * SECOND
OUTCOMES = (
    AttemptOutcome.ERROR,
    AttemptOutcome.OVERLOADED,
    AttemptOutcome.RESET,
    AttemptOutcome.NOT_PROCESSED,
    AttemptOutcome.MISS,
    AttemptOutcome.CONNECT_FAILED,
)
FILL_NOTES = (CacheStatus.FILLED, CacheStatus.FROM_ORIGIN, CacheStatus.COLLAPSED)
FAULT_NOTES = (
    CacheStatus.SOURCE_REFUSED,
    CacheStatus.SOURCE_BROKEN,
    CacheStatus.SOURCE_MISS,
    CacheStatus.NO_FETCH_SLOT,
    CacheStatus.ORIGIN_FAILED,
    CacheStatus.NONE,
)


@dataclass(frozen=True)
class Plan:
    """One random site. `rate`: requests a second; `quick`: how fast its machines are, 1 as usual."""

    seed: int
    settings: io.Settings
    machines: tuple[io.Endpoint, ...]
    seconds: float = 30.0
    rate: float = 14.0
    quick: float = 1.0
    objects: int = 60
    faults: float = 0.25  # a second
    news: float = 0.2  # changes of the list a second
    odd: float = 0.04  # of the answers: those with an outcome by chance
    homes: bool = False
    stalls: tuple[tuple[float, float], ...] = ()  # when the process stands still, and how long, in seconds
    begin: tuple[tuple[int, str, float], ...] = ()  # machines that begin with a fault, and for how long
    strain: float = 12.0  # requests in flight that double the time an answer takes
    cycle: tuple[float, ...] = ()  # at which what was learned is told, and recalled by a new Router
    sized: bool = False  # requests tell their size


class Site:
    """Plays a plan: each action of the Router is answered by events, as machines and clients would."""

    def __init__(self, plan: Plan) -> None:
        self.plan, self.now, self.random = plan, FIRST, random.Random(plan.seed)
        self.router = RecordingRouter(plan.settings, plan.seed, FIRST)
        self.streams: list[list[str]] = []
        self.heap: list[tuple[int, int, Callable[..., None], tuple[Any, ...]]] = []
        self.order = self.requests = 0
        self.open: dict[int, tuple[io.RequestReceived, list[bool]]] = {}  # whether each attempt has ended
        self.held: dict[int, set[tuple[int, int]]] = {}  # by machine
        self.fault = {machine: fault for machine, fault, _ in plan.begin}
        self.listed = {m.cache: m for m in plan.machines}
        self.busy = 0
        self.sent: dict[tuple[int, int], tuple[int, int]] = {}  # to which machine, and when
        self.late: set[tuple[int, int]] = set()  # attempts whose end was told
        self.set_hooks()

    def set_hooks(self) -> None:
        if self.plan.homes:
            self.router.find_home = self.home
            self.router.sender.observer = lambda request, node, source: None

    def home(self, request: io.RequestReceived) -> io.HomeShard | None:
        if request.tenant == 0:
            return None
        parents = frozenset(PARENTS[: request.tenant])
        return io.HomeShard(request.tenant, frozenset(CACHES[:2]), parents, closed=request.tenant == 2)

    def play(self) -> list[list[str]]:
        plan = self.plan
        end = FIRST + int((plan.seconds + sum(span for _, span in plan.stalls)) * SECOND)
        self.give(io.EndpointUpdate(UpdateScope.RESTORED, plan.machines))
        self.after(0, self.arrive)
        for each, rate in ((self.break_one, plan.faults), (self.change_list, plan.news)):
            if rate:
                self.after(int(SECOND / rate), self.by_chance, each, rate)
        for at, span in plan.stalls:
            self.after(int(at * SECOND), self.stall, int(span * SECOND))
        for machine, _, span in plan.begin:
            self.after(int(span * SECOND), self.mend, machine)
        for at in plan.cycle:
            self.after(int(at * SECOND), self.start_anew)
        while self.heap and self.heap[0][0] <= end:
            at, _, step, about = heapq.heappop(self.heap)
            self.now = max(self.now, at)
            step(*about)
        self.router.tell_learned()
        return [*self.streams, self.router.lines]

    def after(self, wait: int, step: Callable[..., None], *about: Any) -> None:
        self.order += 1
        heapq.heappush(self.heap, (self.now + max(wait, 0), self.order, step, about))

    def by_chance(self, step: Callable[[], None], rate: float) -> None:
        step()
        self.after(int(self.random.expovariate(rate) * SECOND), self.by_chance, step, rate)

    # Clients

    def arrive(self) -> None:
        plan, chance = self.plan, self.random
        since = (self.now - FIRST) / SECOND
        rush = 6.0 if since % 10 > 7 else 1.0
        self.after(int(chance.expovariate(plan.rate * rush) * SECOND), self.arrive)
        self.requests += 1
        cls = chance.randrange(len(plan.settings.classes))
        deadline = plan.settings.classes[cls].deadline
        waits = 1.0 if since % 10 > 9 else 0.05  # a second in ten the queue for turns stands
        waited = int(chance.expovariate(20) * SECOND) if chance.random() < waits else 0
        left = int(chance.uniform(0.5, 1) * deadline) if chance.random() < 0.97 else chance.randrange(3 * MS)
        request = io.RequestReceived(
            self.requests,
            cls,
            round(chance.lognormvariate(5, 1), 3) if plan.sized else 0.0,
            chance.randrange(4) if plan.homes else 0,
            chance.randrange(4),
            1 + min(int(chance.expovariate(6 / plan.objects)), plan.objects),
            chance.randrange(3),
            chance.random() < 0.1,
            left,
            waited,
        )
        self.open[request.request] = request, []
        if chance.random() < 0.03:
            self.after(chance.randrange(SECOND), self.leave, request.request)
        if chance.random() < 0.02:
            self.give(io.HealthCheckCompleted(CACHES[0], AttemptOutcome.OK, MS, (1.0,)))
            self.give(io.PeerMessage(1, b"\x00peer"))
        self.give(request)

    def leave(self, number: int) -> None:
        if number in self.open:
            self.over(number)
            self.give(io.ClientDisconnected(number))

    def over(self, number: int) -> None:
        self.open.pop(number, None)

    # What the Router says

    def give(self, event: io.Event) -> None:
        for action in self.router.handle(self.now, event):
            match action:
                case io.ForwardRequest() | io.FetchThrough():
                    self.send(action)
                case io.CancelAttempt(number, attempt):
                    self.after(MS, self.end, number, attempt, AttemptOutcome.CANCELLED, CacheStatus.NONE)
                case io.RejectRequest(number) | io.FailRequest(number):
                    self.over(number)
                case io.SetTimer(wait, token, about):
                    self.after(wait, self.ring, token, about, len(self.streams))
                case io.WatchEndpoints():
                    failed = self.random.random() < 0.3
                    news = io.EndpointUpdate(UpdateScope.FAILED if failed else UpdateScope.FULL, ())
                    self.after(50 * MS, self.tell_list, news)

    def ring(self, token: int, about: int, start: int) -> None:
        if start == len(self.streams) and (about < 0 or about in self.open):
            self.give(io.TimerFired(token))

    def tell_list(self, news: io.EndpointUpdate) -> None:
        whole = news.scope is UpdateScope.FULL
        self.give(replace(news, machines=tuple(self.listed.values())) if whole else news)

    def send(self, action: io.ForwardRequest | io.FetchThrough) -> None:
        number, chance = action.request, self.random
        if number not in self.open:  # its client left while it was handled
            return
        request, ended = self.open[number]
        attempt = len(ended)
        ended.append(False)
        self.sent[number, attempt] = action.cache, self.now
        self.busy += 1
        outcome, note, took = self.answer(action, request)
        took = min(took, action.timeout) if took else action.timeout
        outcome = AttemptOutcome.TIMEOUT if took == action.timeout else outcome
        cls = self.plan.settings.classes[request.cls]
        if cls.stream and outcome is AttemptOutcome.OK and chance.random() < 0.7:
            self.after(took // 3, self.begin, number, attempt, action.cache)
            took *= 3
        self.after(took, self.end, number, attempt, outcome, note)

    def answer(
        self, action: io.ForwardRequest | io.FetchThrough, request: io.RequestReceived
    ) -> tuple[AttemptOutcome, CacheStatus, int]:
        """How the attempt ends, and after how long; 0: not by itself."""
        chance, key = self.random, (request.object, request.part)
        held = self.held.setdefault(action.cache, set())
        source = action.source if isinstance(action, io.FetchThrough) else action.cache
        took = int(
            chance.lognormvariate(0, 0.4) * 90 * MS * (1 + self.busy / self.plan.strain) / self.plan.quick
        )
        fault = self.fault.get(action.cache)
        if fault == "dead":
            return AttemptOutcome.CONNECT_FAILED, CacheStatus.NONE, MS
        if fault == "silent":
            return AttemptOutcome.TIMEOUT, CacheStatus.NONE, 0
        if fault == "reset":
            return AttemptOutcome.RESET, CacheStatus.NONE, took // 4 + 1
        if fault == "full":
            return AttemptOutcome.OVERLOADED, chance.choice(FAULT_NOTES), MS
        took = 8 * took if fault == "slow" else took
        if chance.random() < self.plan.odd:
            return chance.choice(OUTCOMES), chance.choice(FAULT_NOTES), took
        if isinstance(action, io.ForwardRequest):
            return AttemptOutcome.OK, chance.choice((CacheStatus.NONE, CacheStatus.FROM_ORIGIN)), took
        if key in held:
            return AttemptOutcome.OK, CacheStatus.STALE if chance.random() < 0.1 else CacheStatus.HIT, took
        if source == action.cache and source != ROOT:
            return AttemptOutcome.MISS, CacheStatus.NONE, MS
        behind = self.held.setdefault(source, set())
        if action.held_only and key not in behind:
            return (
                (AttemptOutcome.MISS, CacheStatus.NONE, 2 * MS)
                if chance.random() < 0.7
                else (AttemptOutcome.OVERLOADED, CacheStatus.NONE, MS)
            )
        if at_source := self.fault.get(source):
            if at_source == "refuses":
                return AttemptOutcome.OVERLOADED, CacheStatus.NONE, 20 * MS
            if at_source == "silent":
                return AttemptOutcome.TIMEOUT, CacheStatus.NONE, 0
            notes = {
                "dead": CacheStatus.SOURCE_REFUSED,
                "reset": CacheStatus.SOURCE_BROKEN,
                "full": CacheStatus.SOURCE_MISS,
            }
            if at_source in notes:
                told = notes[at_source] if chance.random() < 0.7 else CacheStatus.NONE
                return chance.choice((AttemptOutcome.OVERLOADED, AttemptOutcome.ERROR)), told, 5 * MS
            took *= 6
        held.add(key)
        behind.add(key)
        if len(held) > self.plan.objects:
            held.clear()
        return AttemptOutcome.OK, chance.choice(FILL_NOTES), took + 60 * MS

    def begin(self, number: int, attempt: int, cache: int) -> None:
        if number in self.open and not self.open[number][1][attempt]:
            self.give(io.ResponseStarted(number, attempt, cache))

    def end(self, number: int, attempt: int, outcome: AttemptOutcome, note: CacheStatus) -> None:
        chance = self.random
        if number not in self.open:
            if (number, attempt) not in self.late:
                self.late.add((number, attempt))
                self.busy -= 1
                self.give(self.ended(number, attempt, outcome, note, True))
            return
        ended = self.open[number][1]
        if ended[attempt]:
            return
        ended[attempt] = True
        self.late.add((number, attempt))
        self.busy -= 1
        last = chance.random() < (0.995 if outcome is AttemptOutcome.OK else 0.01)
        if last:
            self.over(number)
        self.give(self.ended(number, attempt, outcome, note, last))

    def ended(
        self, number: int, attempt: int, outcome: AttemptOutcome, note: CacheStatus, last: bool
    ) -> io.AttemptCompleted:
        chance, reports = self.random, self.plan.settings.reports
        cache, sent = self.sent[number, attempt]
        told = chance.random() < 0.8 and outcome is AttemptOutcome.OK
        report = tuple(round(chance.expovariate(0.6), 2) for _ in reports) if told else ()
        waited = chance.randrange(300 * MS) if chance.random() < 0.1 else 0
        other = outcome in (AttemptOutcome.RESET, AttemptOutcome.CONNECT_FAILED) and chance.random() < 0.2
        elapsed = max(self.now - sent, 0)
        return io.AttemptCompleted(
            number, attempt, cache, outcome, elapsed, last, note, waited, report, other
        )

    # What befalls machines and the front

    def break_one(self) -> None:
        chance = self.random
        fault = chance.choice(("dead", "silent", "reset", "full", "slow", "slow"))
        struck = chance.choice([*CACHES, *CACHES, *PARENTS, *PARENTS, ROOT])
        self.fault[struck] = fault
        self.after(int(chance.uniform(1, 6) * SECOND), self.mend, struck)
        if chance.random() < 0.3:
            obj = chance.randrange(2) and 1 + chance.randrange(self.plan.objects)
            self.give(io.ObjectPurged(chance.randrange(4), obj, chance.randrange(2 * SECOND)))

    def mend(self, struck: int) -> None:
        self.fault.pop(struck, None)

    def change_list(self) -> None:
        chance, known = self.random, list(self.listed.values())
        if not known:
            return
        one = chance.choice(known)
        match chance.choice(
            ("drain", "ready", "gone", "cold", "cold", "size", "new", "whole", "failed", "far")
        ):
            case "drain":
                one = replace(one, state=EndpointState.DRAINING)
            case "ready":
                one = replace(one, state=EndpointState.READY)
            case "gone":
                one = replace(one, state=EndpointState.GONE)
            case "cold":
                one = replace(one, state=EndpointState.READY, up_since=self.now - chance.randrange(SECOND))
                self.held.pop(one.cache, None)
            case "size":
                one = replace(one, size=round(chance.uniform(5, 60), 1))
            case "new":
                gone = [m for m in self.plan.machines if m.cache not in self.listed]
                one = replace(chance.choice(gone or [replace(known[0], cache=104)]), up_since=self.now)
            case "whole":
                self.give(io.EndpointUpdate(UpdateScope.FULL, tuple(known)))
                return
            case "failed":
                self.give(io.EndpointUpdate(UpdateScope.FAILED, ()))
                return
            case "far":
                one = replace(known[0], cache=900 + chance.randrange(4), zone=7)
        if one.state is EndpointState.GONE:
            self.listed.pop(one.cache, None)
        else:
            self.listed[one.cache] = one
        self.give(io.EndpointUpdate(UpdateScope.CHANGES, (one,)))

    def stall(self, span: int) -> None:
        """Nothing is handled for a while; what came meanwhile is handled late."""
        self.now += span

    def start_anew(self) -> None:
        """A new process recalls what the old one told; its clients are gone."""
        facts = self.router.tell_learned()
        self.streams.append(self.router.lines)
        self.open.clear()
        self.busy = 0
        self.now += int(self.random.uniform(0.3, 3) * SECOND)
        seed = self.plan.seed + len(self.streams)
        self.router = RecordingRouter(self.plan.settings, seed, self.now)
        self.set_hooks()
        self.give(io.EndpointUpdate(UpdateScope.RESTORED, tuple(self.listed.values())))
        age = None if len(self.streams) % 2 else self.random.randrange(5 * SECOND)
        self.router.take_learned(facts, age)
        fronts = self.plan.settings.fronts + len(self.streams)
        self.router.take_settings(replace(self.plan.settings, fronts=fronts, attempts=4))


def machines(settings: io.Settings, size: float = 30.0) -> tuple[io.Endpoint, ...]:
    """Three caches of the zone, two parents, the origin; kinds as the settings number them."""
    edge = next(kind for kind in range(3) if kind not in (settings.parent_kind, settings.origin_kind))
    edges = tuple(io.Endpoint(c, edge, settings.zone, c % 2, size, 0, EndpointState.READY) for c in CACHES)
    parents = tuple(
        io.Endpoint(p, settings.parent_kind, 0, p, 2 * size, 0, EndpointState.READY)
        for p in PARENTS
        if settings.parent_kind >= 0
    )
    return (*edges, *parents, io.Endpoint(ROOT, settings.origin_kind, 0, 0, size, 0, EndpointState.READY))


MANY = tuple(
    make_class(worth=worth, on_time=on_time * MS, **more)
    for worth, on_time, more in (
        (4.0, 700, {"effect": Idempotency.UNSAFE, "never_kept": True}),
        (3.0, 500, {"effect": Idempotency.KEYED, "group": DeduplicationScope.ZONE, "window": 2 * SECOND}),
        (3.0, 600, {"effect": Idempotency.KEYED, "group": DeduplicationScope.ALL}),
        (2.0, 500, {"effect": Idempotency.KEYED, "group": DeduplicationScope.CELL}),
        (2.0, 500, {"effect": Idempotency.UNSAFE}),
        (2.0, 900, {"stream": True}),
        (1.0, 250, {"fresh": 12 * SECOND, "grace": 10 * SECOND}),
        (0.5, 400, {"fresh": 4 * SECOND, "deadline": 2 * SECOND}),
    )
)  # fmt: skip
THREE = (
    make_class(worth=2.0),
    make_class(on_time=250 * MS, fresh=12 * SECOND, grace=10 * SECOND),
    make_class(worth=0.3, on_time=400 * MS),
)


def plans() -> dict[str, Plan]:
    example = load_front({}, str(TOP / "deploy" / "example.json")).settings
    every = make_settings(classes=MANY, reports=("load", "link"), client_kb_per_s=0.0)
    unsized = make_settings(
        classes=MANY[1:], sizes_compare=False, list_on_request=True, second_copies=False, cancel=False,
        joins=False, fronts=1, fronts_by_zone=(), client_kb_per_s=0.0,
    )  # fmt: skip
    alone = make_settings(fronts=1, fronts_by_zone=(0, 1), classes=THREE)
    crowd = make_settings(fronts=400, fronts_by_zone=(0, 200), classes=MANY)
    few = make_settings(fronts=6, fronts_by_zone=(0, 3), classes=THREE)
    bare = make_settings(parent_kind=-1, direct=False, retry_after=False, classes=MANY[1:])
    plain = replace(unsized, classes=(make_class(on_time=100 * MS, stretch=0.3), *MANY[5:]))
    long = tuple(replace(cls, on_time=60 * SECOND, deadline=90 * SECOND) for cls in THREE)
    wide = replace(alone, classes=long)
    silent = tuple((cache, "silent", 4.0) for cache in CACHES)
    refused = (*((source, "refuses", 10.0) for source in (*PARENTS, ROOT)), (CACHES[0], "dead", 34.0))
    return {
        "classes": Plan(11, every, machines(every), homes=True, seconds=22),
        "example": Plan(12, example, machines(example), rate=9, stalls=((9, 2.5), (20, 4)), seconds=27),
        "unsized": Plan(13, unsized, machines(unsized, 1.0), seconds=11, rate=24, objects=20),
        "alone": Plan(14, alone, machines(alone, 9.0), seconds=14, rate=16, objects=400, sized=True),
        "crowd": Plan(15, crowd, machines(crowd), seconds=28, rate=4, news=1.0, objects=10),
        "bare": Plan(16, bare, machines(bare), seconds=14, rate=12, begin=silent),
        "restart": Plan(
            17, every, machines(every), seconds=30, rate=9, cycle=(9, 18), stalls=((25, 58), (85, 700))
        ),
        "calm": Plan(18, alone, machines(alone), seconds=10, rate=24, objects=5, faults=0, news=0, odd=0.0),
        "wide": Plan(
            19, wide, machines(wide, 400.0), seconds=10, rate=50, objects=4000, faults=0, news=0, odd=0.07,
            quick=0.1, strain=1e9,
        ),
        "refused": Plan(
            20, few, machines(few), rate=7, objects=300, faults=0, news=0, begin=refused, seconds=38
        ),
        "churn": Plan(21, few, machines(few), seconds=44, rate=3.5, faults=1.2, news=0.3, odd=0.3, objects=9),
        "plain": Plan(22, plain, machines(plain, 1.0), seconds=16, rate=10, faults=0, news=0.12, odd=0.01),
        "hot": Plan(
            23, wide, machines(wide, 400.0), seconds=2.5, rate=180, objects=12, faults=0, news=0, odd=0.02,
            quick=0.1, strain=1e9,
        ),
    }  # fmt: skip


def record_lab(name: str, variant: str, seed: int, front: int) -> list[list[str]]:
    """The streams of one front of an experiment, one for each of its starts."""
    experiment = load(str(TOP / "experiments" / f"{name}.yaml"))
    chosen = next(v for v in experiment.variants if v.name == variant)
    made = list[RecordingRouter]()

    def make(settings: io.Settings, number: int, now: int) -> RecordingRouter:
        made.append(RecordingRouter(settings, number, now))
        return made[-1]

    def take(router: RecordingRouter, facts: Iterable[io.Learned], age: int | None) -> int:
        return router.take_learned(list(facts), age)

    hooks: dict[str, Any] = {
        "Router": make,
        "export_facts": RecordingRouter.tell_learned,
        "restore_facts": take,
    }
    with mock.patch.multiple(lab_front, **hooks):
        World(experiment, chosen, seed).run()
    first = (seed * 1000 + front) * 100  # seeds of the starts of this front
    return [router.lines for router in made if first <= router.seed < first + 100]


def record_killed_cold() -> list[list[str]]:
    return record_lab("killed-cold", "state kept", seed=2, front=2)


def record_bad_day() -> list[list[str]]:
    return record_lab("bad-day", "no second copies", seed=1, front=1)


def main() -> None:
    for name, plan in plans().items():
        for start, lines in enumerate(Site(plan).play()):
            write(f"site-{name}-{start}", lines)
    for name, streams, most in (
        ("bad-day", record_bad_day(), 1200),
        ("killed-cold", record_killed_cold(), 1000),
    ):
        for start, lines in enumerate(streams):
            write(f"lab-{name}-{start}", lines[:most])


if __name__ == "__main__":
    main()
