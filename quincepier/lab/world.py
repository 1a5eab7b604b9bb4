"""A whole deployment in virtual time: many decision modules, machines, clients, faults; one heap of events.

The same experiment, variant and seed give the same run to the byte. Nothing here decides for a front: each
Router hears what a real one would hear, and its actions are carried out as a real front does.
"""

from __future__ import annotations

import hashlib
import heapq
import random
from bisect import bisect
from collections import Counter
from collections.abc import Callable, Sequence
from itertools import accumulate
from typing import Any

from quincepier import interface as io
from quincepier.errors import QuincepierError
from quincepier.interface import CacheState, Effect, Ending, ListScope, Note
from quincepier.lab.experiment import (
    EDGE,
    MS,
    ON_FRONTS,
    ON_PATHS,
    ORIGIN,
    SECOND,
    Class,
    Disk,
    Experiment,
    Fault,
    Kind,
    Variant,
)
from quincepier.lab.judge import Judge
from quincepier.lab.machines import ON_MACHINES, Machine, Machines
from quincepier.lab.tally import START, Tally
from quincepier.policy import Router
from quincepier.recovery import first_poll
from quincepier.recovery.memory import learned, recall

AFTER = 6 * SECOND  # played after the last arrival, so that all is answered
DRAIN = 750 * MS  # a front that is told to end serves on for so long
POLL = SECOND  # a front's call to the change log ends after this at the latest
LEAST_PART = 0.8  # of `start_s`: starts are spread from there to 1.2 times


class CannotPlay(QuincepierError, ValueError):
    """An experiment that needs processes and sockets."""

    code = "QP-LAB"
    remedy = "play it by `lab fleet`"


class Attempt:
    """One attempt; a machine sees it as an order."""

    __slots__ = ("age", "at", "cls", "ended", "front", "held", "join", "key", "machine", "no", "number",
                 "request", "source", "timeout")  # fmt: skip

    def __init__(self, front: Front, request: Request, no: int, action: io.Ask | io.Fetch, at: int) -> None:
        self.front, self.request, self.no, self.at = front, request, no, at
        self.number, self.cls, self.key = request.number, request.cls, (request.object, request.part)
        self.machine, self.timeout, self.ended = action.cache, action.timeout, False
        fetch = action if isinstance(action, io.Fetch) else None
        self.source = fetch.source if fetch and fetch.source != fetch.cache else None
        self.age = fetch.age if fetch else 0
        self.join, self.held = (fetch.join, fetch.held_only) if fetch else (False, False)


class Request:
    """One try of a client."""

    __slots__ = ("attempts", "cls", "first", "group", "number", "object", "over", "part", "tries")

    def __init__(
        self, number: int, cls: int, obj: int, part: int, group: int, first: int, tries: int
    ) -> None:
        self.number, self.cls, self.object, self.part, self.group = number, cls, obj, part, group
        self.first, self.tries, self.over = first, tries, False
        self.attempts: list[Attempt] = []


class Front:
    """A process: what it knows goes with it. While it is stopped, what comes waits."""

    def __init__(self, world: World, number: int, zone: int, variant: Variant) -> None:
        self.world, self.number, self.zone, self.variant = world, number, zone, variant
        self.starts, self.alive, self.stopped = 0, False, 0
        self.waiting: list[tuple[int, io.Event]] = []
        self.requests: dict[int, Request] = {}
        self.connections, self.busy = Counter[int](), Counter[int]()  # by machine
        self.every = int(world.experiment.keeps(variant, number) * SECOND)
        self.kept: list[tuple[int, list[io.Learned]]] = []  # what it wrote: the first, and the last two

    def start(self) -> None:
        world = self.world
        self.starts, self.alive, self.stopped = self.starts + 1, True, 0
        self.connections.clear()
        self.busy.clear()
        settings = world.experiment.settings(self.zone, self.variant)
        self.router = Router(settings, (world.seed * 1000 + self.number) * 100 + self.starts - 1, world.now)
        for m in world.machines.all.values():  # a list that a front starts with counts as told
            world.told(self, m.as_listed())
        self.tell(io.ListNews(ListScope.REMEMBERED, world.machines.listed()))
        for group, at in world.purged:
            self.tell(io.Purged(group, 0, world.now - at))
        if self.kept:
            self.recall(*self.kept[-1])
        chance = random.Random((world.seed * 1000 + self.number) * 100 + self.starts)
        if self.every:
            world.after(self.every * (self.number + 1) // (len(world.fronts) + 1), self.keep, self.starts)
        self.poll(self.starts, first_poll(chance, POLL // MS) * MS)

    def recall(self, at: int, facts: list[io.Learned]) -> None:
        """Of machines that are still the same; the list was told before."""
        listed = self.world.machines.all
        same = (f for f in facts if not isinstance(f, io.LearnedMachine) or f.cache in listed)
        recall(self.router, same, self.world.now - at)

    def keep(self, start: int) -> None:
        if self.alive and start == self.starts:
            if not self.stopped:
                written = self.world.now, list(learned(self.router))
                self.kept = [*self.kept[:1], *self.kept[1:][-1:], written]
            self.world.after(self.every, self.keep, start)

    def struck(self, how: Disk) -> None:
        """What befalls its folder while it is down: a record that is damaged leaves the one before."""
        if how is Disk.OLDER:
            self.kept = self.kept[:1]
        elif how in (Disk.EMPTY, Disk.CUT, Disk.FLIP):  # those two damage both generations
            self.kept = []
        elif how is Disk.READ_ONLY:
            self.every = 0

    def poll(self, start: int, wait: int = POLL) -> None:
        if self.alive and start == self.starts:
            self.world.tally.returns.count("calls for the list", self.world.now)
            self.world.after(wait, self.poll, start)

    def kill(self) -> None:
        """Its clients' connections are reset, its attempts are off."""
        self.alive, self.waiting = False, []
        open_now, self.requests = list(self.requests.values()), {}
        for request in open_now:
            for attempt in request.attempts:
                if not attempt.ended:
                    attempt.ended = True
                    self.world.machines.stop(attempt)
            if not request.over:
                self.world.judge.abandoned(request.number)
                request.over = True
                self.world.turned_away(self, request, "failed", 0)

    def pause(self, stop: bool) -> None:
        self.stopped += 1 if stop else -1
        if self.stopped <= 0:
            self.stopped, waiting, self.waiting = 0, self.waiting, []
            for at, event in waiting:
                if isinstance(event, io.RequestCame):  # its time goes while it lies unread
                    event.time_left -= self.world.now - at
                self.tell(event)

    def tell(self, event: io.Event) -> None:
        if not self.alive:
            return
        if self.stopped:
            self.waiting.append((self.world.now, event))
            return
        if isinstance(event, io.AttemptEnded) and event.request not in self.requests:
            return
        for action in self.router.handle(self.world.now, event):
            self._perform(action)

    def _perform(self, action: io.Action) -> None:
        world = self.world
        match action:
            case io.Ask() | io.Fetch():
                self._send(action)
            case io.Cancel(number, no):
                request = self.requests.get(number)
                if request is not None and no < len(request.attempts):
                    world.call_off(request.attempts[no])
            case io.Refuse(number, wait):
                self._answer(number, "refused", wait)
            case io.Fail(number):
                self._answer(number, "failed", 0)
            case io.SetTimer(wait, token, about):
                world.after(max(wait, 0), self._timer, token, about, self.starts)
            case io.Follow():
                world.after(0, self.tell, io.ListNews(ListScope.FULL, world.machines.listed()))
            case io.Probe(machine):
                ended = io.ProbeEnded(machine, Ending.OK, 0, ())
                world.after(world.way(self.zone, machine), self.tell, ended)

    def _timer(self, token: int, about: int, start: int) -> None:
        request = self.requests.get(about)
        if start == self.starts and (about < 0 or (request is not None and not request.over)):
            self.tell(io.TimerDue(token))

    def _send(self, action: io.Ask | io.Fetch) -> None:
        request = self.requests[action.request]
        attempt = Attempt(self, request, len(request.attempts), action, self.world.now)
        request.attempts.append(attempt)
        machine = attempt.machine
        self.busy[machine] += 1
        if self.busy[machine] > self.connections[machine]:
            self.connections[machine] += 1
            self.world.tally.returns.count("dials", self.world.now, machine)
        self.world.send(attempt)

    def _answer(self, number: int, status: str, wait: int) -> None:
        request = self.requests.get(number)
        if request is not None and not request.over:
            request.over = True
            self.world.answered(self, request, status, None, 0, wait)
            self.settle(request)

    def ended(self, attempt: Attempt, ending: Ending, note: Note, waited: int, minted: int | None) -> None:
        if not self.alive or self.requests.get(attempt.number) is not attempt.request:
            return
        if self.stopped:
            self.world.after(MS, self.ended, attempt, ending, note, waited, minted)
            return
        request = attempt.request
        self.busy[attempt.machine] -= 1
        if ending is Ending.OK and not request.over:
            request.over = True
            self.world.answered(self, request, "served", minted, attempt.at, 0)
        event = io.AttemptEnded(
            request.number, attempt.no, attempt.machine, ending, self.world.now - attempt.at, request.over,
            note, waited, (),
        )  # fmt: skip
        for action in self.router.handle(self.world.now, event):
            self._perform(action)
        self.settle(request)

    def left(self, request: Request) -> None:
        """The client has stopped waiting: no answer is owed."""
        if not request.over and self.requests.get(request.number) is request:
            request.over = True
            self.world.judge.abandoned(request.number)
            self.tell(io.ClientLeft(request.number))
            self.settle(request)
            self.world.turned_away(self, request, "failed", 0)

    def settle(self, request: Request) -> None:
        if request.over and all(attempt.ended for attempt in request.attempts):
            self.requests.pop(request.number, None)


class World:
    def __init__(self, experiment: Experiment, variant: Variant, seed: int) -> None:
        if paths := sorted({f.kind.value for f in experiment.faults if f.kind in ON_PATHS}):
            raise CannotPlay(f"faults on paths ({', '.join(paths)}) are for processes: lab fleet")
        self.experiment, self.variant, self.seed = experiment, variant, seed
        self.random = random.Random(f"{seed} {experiment.name}")
        self.now, self.order, self.events_run = START, 0, 0
        self.heap: list[tuple[int, int, Callable[..., None], tuple[Any, ...]]] = []
        self.judge, self.tally = Judge(), Tally(experiment)
        self.requests = 0
        self.lag, self.rush = 0, 1.0
        self.purged: list[tuple[int, int]] = []
        self.digest = hashlib.blake2b(digest_size=16)
        self.zipf = [self._weights(c) for c in experiment.classes]
        self.machines = Machines(self, experiment, self.random)
        fleet = experiment.fleet
        self.fronts = [Front(self, n, n % fleet.zones, variant) for n in range(fleet.fronts)]
        self.shown = list(self.fronts)  # those that the clients' side takes to be well
        self.stalls = any(f.kind in (Kind.PAUSE, Kind.STARVE) for f in experiment.faults)

    def _weights(self, cls: Class) -> list[float]:
        return list(accumulate(1 / (n + 1) ** cls.zipf for n in range(cls.objects)))

    # Time

    def after(self, wait: int, what: Callable[..., None], *about: Any) -> None:
        self.order += 1
        heapq.heappush(self.heap, (self.now + wait, self.order, what, about))

    def play(self) -> Tally:
        """From the first arrival until all is answered."""
        for front in self.fronts:
            front.start()
        self._arrive()
        for fault in self.experiment.faults:
            self.after(int(fault.at * SECOND), self._strike, fault)
        end = START + int(self.experiment.seconds * SECOND) + AFTER
        while self.heap and self.heap[0][0] <= end:
            self.now, _, what, about = heapq.heappop(self.heap)
            self.events_run += 1
            what(*about)
        self.now = end
        self.judge.end(end)
        strain = max((m.cold.strain for m in self.machines.all.values()), default=0.0)
        self.tally.finish(self.judge, self.digest.hexdigest(), self.events_run, strain)
        return self.tally

    # Clients

    def _arrive(self) -> None:
        experiment = self.experiment
        if self.now - START > experiment.seconds * SECOND:
            return
        self.after(int(self.random.expovariate(experiment.load.rate * self.rush) * SECOND), self._arrive)
        shares = [c.share for c in experiment.classes]
        cls = self.random.choices(range(len(shares)), shares)[0]
        weights = self.zipf[cls]
        rank = bisect(weights, self.random.random() * weights[-1])
        obj = (cls + 1) << 32 | rank + 1
        part = self.random.randrange(experiment.classes[cls].parts)
        self.tally.asked(self.now, cls)
        self._ask(cls, obj, part, experiment.group(obj), self.now, 0)

    def _ask(self, cls: int, obj: int, part: int, group: int, first: int, tries: int) -> None:
        self.requests += 1
        c = self.experiment.classes[cls]
        front = self.random.choice(self.shown or self.fronts)
        request = Request(self.requests, cls, obj, part, group, first, tries)
        if not front.alive:  # the connection is refused
            self.turned_away(front, request, "failed", 0, True)
            return
        front.requests[request.number] = request
        left = int(c.deadline_ms * MS)
        self.judge.asked(self.now, request.number, front.number, c.effect.value, self.now + left)
        if self.stalls:
            self.after(left, front.left, request)
        size = self.experiment.sending(cls, obj) / SECOND * front.router.s.client_kb_per_s  # 0: not told
        front.tell(io.RequestCame(request.number, cls, size, 0, group, obj, part, tries > 0, left))

    def answered(
        self, front: Front, request: Request, status: str, minted: int | None, sent: int, wait: int
    ) -> None:
        c = self.experiment.classes[request.cls]
        self.judge.answered(self.now, request.number, status, minted, sent, request.group)
        if status != "served":
            self.turned_away(front, request, status, wait)
            return
        self.digest.update(b"%d %d served\n" % (self.now, request.number))
        stale = minted is not None and c.fresh_s > 0 and sent - minted > c.fresh_s * SECOND
        self.tally.over(self.now, request.cls, status, self.now - request.first, stale)

    def turned_away(
        self, front: Front, request: Request, status: str, wait: int, never_took: bool = False
    ) -> None:
        """A client that was not served comes again where that is harmless."""
        c, load = self.experiment.classes[request.cls], self.experiment.load
        self.digest.update(b"%d %d %s\n" % (self.now, request.number, status.encode()))
        harmless = status == "refused" or never_took or c.effect is Effect.SAFE
        if request.tries < load.retries and harmless:
            pause = wait or int(load.back_off_ms * MS * self.random.uniform(0.5, 1.5))
            self.after(pause, self._again, request)
            self.tally.turned(self.now, request.cls, status)
        else:
            self.tally.over(self.now, request.cls, status, self.now - request.first, False)

    def _again(self, r: Request) -> None:
        self._ask(r.cls, r.object, r.part, r.group, r.first, r.tries + 1)

    # Between fronts and machines

    def way(self, zone: int, number: int) -> int:
        """One way, in nanoseconds."""
        machine, fleet = self.machines.all.get(number), self.experiment.fleet
        near = machine is not None and machine.kind == EDGE
        return int((fleet.near_ms if near else fleet.far_ms) * MS)

    def send(self, attempt: Attempt) -> None:
        self.judge.sent(self.now, attempt.number, attempt.front.number, attempt.machine, attempt.source)
        self.after(self.way(attempt.front.zone, attempt.machine), self._reach, attempt)
        if attempt.timeout:
            self.after(attempt.timeout, self._timeout, attempt)

    def _reach(self, attempt: Attempt) -> None:
        if not attempt.ended:
            self.machines.reach(attempt)

    def _timeout(self, attempt: Attempt) -> None:
        if not attempt.ended:
            self.machines.stop(attempt)
            attempt.ended = True
            attempt.front.ended(attempt, Ending.TIMEOUT, Note.NONE, 0, None)

    def call_off(self, attempt: Attempt) -> None:
        if not attempt.ended:
            attempt.ended = True
            self.after(self.way(attempt.front.zone, attempt.machine), self.machines.stop, attempt)
            self.after(0, attempt.front.ended, attempt, Ending.CANCELLED, Note.NONE, 0, None)

    def reply(self, order: Attempt, ending: Ending, note: Note, waited: int, minted: int | None) -> None:
        if not order.ended:
            way = self.way(order.front.zone, order.machine)
            self.after(way, self._hear, order, ending, note, waited, minted)

    def _hear(self, attempt: Attempt, ending: Ending, note: Note, waited: int, minted: int | None) -> None:
        if not attempt.ended:
            attempt.ended = True
            attempt.front.ended(attempt, ending, note, waited, minted)

    # What the machines tell

    def ran(self, request: int, machine: int) -> None:
        self.judge.ran(self.now, request, machine)

    def asked_cold(self, machine: int, work: float) -> None:
        self.judge.looked_cold()

    def fell(self, machine: int, request: int) -> None:
        self.judge.fell(self.now, machine, request)

    def filled(self, machine: int, source: int) -> None:
        at = self.machines.all.get(source)
        self.tally.filled(self.now, at is not None and at.kind == ORIGIN, source)

    def fetched(self, by: int) -> None:
        self.tally.fetched(self.now)

    def listed(self, machines: Sequence[Machine]) -> None:
        listed = tuple(m.as_listed() for m in machines)
        delay = int(self.experiment.fleet.told_ms * MS) + self.lag
        for front in self.fronts:
            self.after(int(delay * self.random.uniform(0.5, 1)), self._told, front, listed, front.starts)

    def _told(self, front: Front, listed: tuple[io.Machine, ...], start: int) -> None:
        if start != front.starts or not front.alive:  # the list that it starts with has told it
            return
        for m in listed:
            self.told(front, m)
        self.tally.returns.count("calls for the list", self.now)
        front.tell(io.ListNews(ListScope.CHANGES, listed))

    def told(self, front: Front, m: io.Machine) -> None:
        if m.state is CacheState.READY:
            self.judge.told_back(front.number, m.cache)
        else:
            self.judge.told_leaving(self.now, front.number, m.cache)

    # Faults

    def _strike(self, fault: Fault) -> None:
        self.tally.mark(self.now, fault.kind.value)
        self.tally.returns.struck(self.now, fault.kind in ON_FRONTS)
        lasts = int(fault.lasts * SECOND)
        if fault.kind in ON_MACHINES:
            self.machines.strike(fault)
        elif fault.kind in ON_FRONTS:
            self._strike_fronts(fault, lasts)
        elif fault.kind is Kind.LAG:
            self.lag = int(fault.size * SECOND)
            self.after(lasts, self._lag_over)
        elif fault.kind is Kind.PURGE:
            self._purge(fault.part)
        elif fault.kind is Kind.RUSH:
            self.rush = fault.size
            self.after(lasts, self._rush_over)

    def _strike_fronts(self, fault: Fault, lasts: int) -> None:
        count = min(max(round(fault.part * len(self.fronts)), 1), len(self.fronts))
        struck = sorted(self.random.sample(self.fronts, count), key=lambda f: f.number)
        for n, front in enumerate(struck):
            if fault.kind is Kind.KILL:
                self._down(front, lasts, front.starts, fault.state)
            elif fault.kind is Kind.TERM:
                self.after(DRAIN, self._down, front, lasts, front.starts, fault.state)
            elif fault.kind is Kind.ROLL:
                self.after(lasts * n // count + DRAIN, self._down, front, 0, front.starts, fault.state)
            elif fault.kind is Kind.PAUSE:
                self._pause(front, True, front.starts)
                self.after(lasts, self._pause, front, False, front.starts)
            else:
                self._starve(front, True, int(fault.size * MS), self.now + lasts, front.starts)

    def _down(self, front: Front, lasts: int, start: int, disk: Disk) -> None:
        if not front.alive or front.starts != start:
            return
        front.kill()
        front.struck(disk)
        spread = self.random.uniform(LEAST_PART, 2 - LEAST_PART)
        self.after(lasts + int(self.experiment.fleet.start_s * spread * SECOND), self._up, front)
        self.after(int(self.experiment.fleet.noticed_s * SECOND), self._notice, front)

    def _notice(self, front: Front) -> None:
        if not front.alive and front in self.shown:
            self.shown.remove(front)

    def _up(self, front: Front) -> None:
        if not front.alive:
            front.start()
            self.tally.returns.returned(self.now)
            if front not in self.shown:
                self.shown.append(front)

    def _pause(self, front: Front, stop: bool, start: int) -> None:
        if front.alive and front.starts == start:
            front.pause(stop)
            if not stop:
                self.tally.returns.returned(self.now)

    def _starve(self, front: Front, stop: bool, turn: int, until: int, start: int) -> None:
        self._pause(front, stop, start)
        if stop or self.now < until:
            self.after(turn, self._starve, front, not stop, turn, until, start)

    def _lag_over(self) -> None:
        self.lag = 0

    def _rush_over(self) -> None:
        self.rush = 1.0

    def _purge(self, part: float) -> None:
        delay = int(self.experiment.fleet.told_ms * MS) + self.lag
        for group in self.machines.purge(part):
            told = {f.number: self.now + int(delay * self.random.uniform(0.5, 1)) for f in self.fronts}
            self.judge.purged(self.now, group, told)
            self.purged.append((group, self.now))
            for front in self.fronts:
                at = told[front.number] - self.now
                self.after(at, self._tell_purge, front, group, self.now)

    def _tell_purge(self, front: Front, group: int, at: int) -> None:
        front.tell(io.Purged(group, 0, self.now - at))
