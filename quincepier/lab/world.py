"""A whole deployment in virtual time: many decision modules, machines, clients, faults; one heap of events.

The same experiment, variant and seed give the same run to the byte. Nothing here decides for a front: each
Router hears what a real one would hear, and its actions are carried out as a real front does.
"""

from __future__ import annotations

import hashlib
import heapq
import random
from bisect import bisect
from collections.abc import Callable
from itertools import accumulate
from typing import Any

from quincepier import interface as io
from quincepier.interface import CacheState, Effect, Ending, ListScope, Note
from quincepier.lab.experiment import (
    EDGE,
    MS,
    ORIGIN,
    PARENT,
    SECOND,
    Class,
    Experiment,
    Fault,
    Kind,
    Variant,
)
from quincepier.lab.judge import Judge
from quincepier.lab.model import Cold, Sharing, Store
from quincepier.lab.tally import Tally
from quincepier.policy import Router

START = 1000 * SECOND  # so that nothing is near the clock's zero
FILL_PACE, FILL_WITHIN = 0.4, 2 * SECOND  # a fill's sending time over a client's; when one is given up
DRAINS_FOR, SETTLES = 3 * SECOND, 6 * SECOND  # from a drain's notice to its end; until a purge is carried out
AFTER = 6 * SECOND  # played after the last arrival, so that all is answered


class Machine:
    """One cache, parent or the origin. What it is asked takes its continuations along."""

    def __init__(self, number: int, kind: int, zone: int, born: int, experiment: Experiment) -> None:
        fleet = experiment.fleet
        sends = (fleet.cache_sends, fleet.parent_sends, fleet.origin_runs)[kind]
        keeps = (fleet.cache_keeps, fleet.parent_keeps, 1)[kind]
        self.number, self.kind, self.zone, self.born = number, kind, zone, born
        self.state, self.listed = "up", CacheState.READY
        self.sends, self.keeps, self.experiment = sends, keeps, experiment
        self.share, self.store = Sharing(sends), Store(keeps)
        self.cold = self._cold()
        self.filling: dict[tuple[int, int], list[Callable[[int | None], None]]] = {}
        self.out: dict[Attempt, int] = {}  # attempts here, and their transfer (0: none yet)
        self.looks = 0  # the next look at the share that counts

    def _cold(self) -> Cold:
        f = self.experiment.fleet
        born = 0 if self.kind == ORIGIN else self.born
        return Cold(born, f.cold_from, f.cold_s, f.fall_multiple, int(f.fall_s * SECOND), self.sends)

    def empty(self, now: int) -> None:
        """It starts anew."""
        self.born, self.state = now, "up"
        self.share.clear(now)
        self.share.move(now)
        self.store, self.cold = Store(self.keeps), self._cold()
        self.filling.clear()
        self.out.clear()

    def member(self) -> io.Member:
        born = self.born if self.born > START else 0
        zone = self.zone if self.kind == EDGE else 0
        return io.Member(self.number, self.kind, zone, self.zone, self.sends, born, self.listed)


class Attempt:
    __slots__ = ("action", "at", "ended", "front", "machine", "no", "request", "source")

    def __init__(self, front: Front, request: Request, no: int, action: io.Ask | io.Fetch, at: int) -> None:
        self.front, self.request, self.no, self.action, self.at = front, request, no, action, at
        self.machine = action.cache
        fills = isinstance(action, io.Fetch) and action.source != action.cache
        self.source = action.source if fills and isinstance(action, io.Fetch) else None
        self.ended = False


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
    def __init__(self, world: World, number: int, zone: int, variant: Variant, seed: int) -> None:
        self.world, self.number, self.zone = world, number, zone
        self.router = Router(world.experiment.settings(zone, variant), seed, world.now)
        self.requests: dict[int, Request] = {}

    def tell(self, event: io.Event) -> None:
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
                world.after(max(wait, 0), self._timer, token, about)
            case io.Follow():
                world.after(0, self.tell, io.ListNews(ListScope.FULL, world.members()))
            case io.Probe(machine):
                ended = io.ProbeEnded(machine, Ending.OK, 0, ())
                world.after(world.way(self.zone, machine), self.tell, ended)

    def _timer(self, token: int, about: int) -> None:
        request = self.requests.get(about)
        if about < 0 or (request is not None and not request.over):
            self.tell(io.TimerDue(token))

    def _send(self, action: io.Ask | io.Fetch) -> None:
        request = self.requests[action.request]
        attempt = Attempt(self, request, len(request.attempts), action, self.world.now)
        request.attempts.append(attempt)
        self.world.send(attempt)

    def _answer(self, number: int, status: str, wait: int) -> None:
        request = self.requests.get(number)
        if request is not None and not request.over:
            request.over = True
            self.world.answered(self, request, status, None, 0, wait)
            self.settle(request)

    def ended(self, attempt: Attempt, ending: Ending, note: Note, waited: int, minted: int | None) -> None:
        request = attempt.request
        if ending is Ending.OK and not request.over:
            request.over = True
            self.world.answered(self, request, "served", minted, attempt.at, 0)
        last = request.over
        elapsed = self.world.now - attempt.at
        event = io.AttemptEnded(
            request.number, attempt.no, attempt.machine, ending, elapsed, last, note, waited, ()
        )
        self.settle(request)
        self.tell(event)

    def settle(self, request: Request) -> None:
        if request.over and all(attempt.ended for attempt in request.attempts):
            self.requests.pop(request.number, None)


class World:
    def __init__(self, experiment: Experiment, variant: Variant, seed: int) -> None:
        self.experiment, self.variant, self.seed = experiment, variant, seed
        self.random = random.Random(f"{seed} {experiment.name}")
        self.now, self.order, self.events_run = START, 0, 0
        self.heap: list[tuple[int, int, Callable[..., None], tuple[Any, ...]]] = []
        self.judge, self.tally = Judge(), Tally(experiment)
        self.machines: dict[int, Machine] = {}
        self.numbers = self.requests = 0
        self.lag, self.rush = 0, 1.0
        self.digest = hashlib.blake2b(digest_size=16)
        self.zipf = [self._weights(c) for c in experiment.classes]
        fleet = experiment.fleet
        for n in range(fleet.caches):
            self._machine(EDGE, 1 + n % fleet.zones, 0)
        for n in range(fleet.parents):
            self._machine(PARENT, 1 + n % fleet.zones, 0)
        self._machine(ORIGIN, 0, 0)
        self.fronts = [
            Front(self, n, n % fleet.zones, variant, seed * 1000 + n) for n in range(fleet.fronts)
        ]

    def _weights(self, cls: Class) -> list[float]:
        return list(accumulate(1 / (n + 1) ** cls.zipf for n in range(cls.objects)))

    def _machine(self, kind: int, zone: int, born: int) -> Machine:
        self.numbers += 1
        number = int.from_bytes(hashlib.blake2b(b"%d" % self.numbers, digest_size=4).digest(), "little") or 1
        machine = self.machines[number] = Machine(number, kind, zone, born, self.experiment)
        return machine

    # Time

    def after(self, wait: int, what: Callable[..., None], *about: Any) -> None:
        self.order += 1
        heapq.heappush(self.heap, (self.now + wait, self.order, what, about))

    def play(self) -> Tally:
        """From the first arrival until all is answered."""
        for front in self.fronts:
            front.tell(io.ListNews(ListScope.REMEMBERED, self.members()))
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
        self.tally.finish(self.judge, self.digest.hexdigest(), self.events_run)
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
        group = obj * 0x9E3779B1 % experiment.load.groups
        front = self.fronts[self.random.randrange(len(self.fronts))]
        self.tally.asked(self.now, cls)
        self._ask(front, cls, obj, part, group, self.now, 0)

    def _ask(self, front: Front, cls: int, obj: int, part: int, group: int, first: int, tries: int) -> None:
        self.requests += 1
        c = self.experiment.classes[cls]
        request = Request(self.requests, cls, obj, part, group, first, tries)
        front.requests[request.number] = request
        left = int(c.deadline_ms * MS)
        self.judge.asked(self.now, request.number, front.number, c.effect.value, self.now + left)
        front.tell(io.RequestCame(request.number, cls, 0.0, 0, group, obj, part, tries > 0, left))

    def answered(
        self, front: Front, request: Request, status: str, minted: int | None, sent: int, wait: int
    ) -> None:
        c, load = self.experiment.classes[request.cls], self.experiment.load
        self.judge.answered(self.now, request.number, status, minted, sent, request.group)
        self.digest.update(b"%d %d %s\n" % (self.now, request.number, status.encode()))
        again = request.tries < load.retries and (status == "refused" or c.effect is Effect.SAFE)
        if status != "served" and again:
            pause = wait or int(load.back_off_ms * MS * self.random.uniform(0.5, 1.5))
            self.after(pause, self._again, front, request)
            self.tally.turned(self.now, request.cls, status)
        else:
            stale = minted is not None and c.fresh_s > 0 and sent - minted > c.fresh_s * SECOND
            self.tally.over(self.now, request.cls, status, self.now - request.first, stale)

    def _again(self, front: Front, request: Request) -> None:
        r = request
        self._ask(front, r.cls, r.object, r.part, r.group, r.first, r.tries + 1)

    # Between fronts and machines

    def way(self, zone: int, number: int) -> int:
        """One way, in nanoseconds."""
        machine, fleet = self.machines.get(number), self.experiment.fleet
        near = machine is not None and machine.kind == EDGE
        return int((fleet.near_ms if near else fleet.far_ms) * MS)

    def send(self, attempt: Attempt) -> None:
        number, front = attempt.request.number, attempt.front.number
        self.judge.sent(self.now, number, front, attempt.machine, attempt.source)
        self.after(self.way(attempt.front.zone, attempt.machine), self._reach, attempt)
        if attempt.action.timeout:
            self.after(attempt.action.timeout, self._timeout, attempt)

    def _timeout(self, attempt: Attempt) -> None:
        if not attempt.ended:
            self._stop(attempt)
            attempt.ended = True
            attempt.front.ended(attempt, Ending.TIMEOUT, Note.NONE, 0, None)

    def call_off(self, attempt: Attempt) -> None:
        if not attempt.ended:
            attempt.ended = True
            self.after(self.way(attempt.front.zone, attempt.machine), self._stop, attempt)
            self.after(0, attempt.front.ended, attempt, Ending.CANCELLED, Note.NONE, 0, None)

    def _stop(self, attempt: Attempt) -> None:
        machine = self.machines.get(attempt.machine)
        if machine is not None:
            transfer = machine.out.pop(attempt, None)
            if transfer:
                machine.share.stop(self.now, transfer)
                self._look(machine)

    def reply(
        self,
        attempt: Attempt,
        ending: Ending,
        note: Note = Note.NONE,
        waited: int = 0,
        minted: int | None = None,
    ) -> None:
        machine = self.machines.get(attempt.machine)
        if machine is not None:
            machine.out.pop(attempt, None)
        way = self.way(attempt.front.zone, attempt.machine)
        self.after(way, self._hear, attempt, ending, note, waited, minted)

    def _hear(self, attempt: Attempt, ending: Ending, note: Note, waited: int, minted: int | None) -> None:
        if not attempt.ended:
            attempt.ended = True
            attempt.front.ended(attempt, ending, note, waited, minted)

    # At the machines

    def _transfer(self, machine: Machine, work: float, then: Callable[[], None]) -> int:
        number = machine.share.begin(self.now, work, then)
        self._look(machine)
        return number

    def _look(self, machine: Machine) -> None:
        """Look again when the next transfer ends; an earlier look that was planned is void."""
        machine.looks += 1
        due = machine.share.next()
        if due is not None:
            self.after(max(due - self.now, 0), self._looked, machine, machine.looks)

    def _looked(self, machine: Machine, look: int) -> None:
        if look == machine.looks and machine.state == "up":
            for then in machine.share.done(self.now):
                then()
            self._look(machine)

    def _reach(self, attempt: Attempt) -> None:
        machine = self.machines.get(attempt.machine)
        if attempt.ended or machine is None or machine.state != "up":
            silent = machine is not None and machine.state == "silent"
            if not attempt.ended and not silent:
                self.reply(attempt, Ending.CONNECT_FAILED)
            return
        c = self.experiment.classes[attempt.request.cls]
        work = c.send_ms * MS
        if not self._asked(machine, work, attempt.request.number):
            self.reply(attempt, Ending.RESET)
            return
        machine.out[attempt] = 0
        if machine.kind == ORIGIN:
            self._from_origin(
                machine, attempt, lambda minted: self._deliver(attempt, machine, work, Note.NONE, 0, minted)
            )
            return
        key, limit = (attempt.request.object, attempt.request.part), self._limit(attempt, c)
        minted = machine.store.get(key)
        if minted is not None and (limit == 0 or self.now - minted <= limit):
            stale = c.fresh_s > 0 and self.now - minted > c.fresh_s * SECOND
            self._deliver(attempt, machine, work, Note.STALE if stale else Note.HIT, 0, minted)
        elif attempt.source is None:
            self.reply(attempt, Ending.MISS)
        else:
            self._fill(attempt, machine, key, work, limit, c)

    def _limit(self, attempt: Attempt, c: Class) -> int:
        age = attempt.action.age if isinstance(attempt.action, io.Fetch) else 0
        return age or int(c.fresh_s * SECOND)

    def _asked(self, machine: Machine, work: float, request: int) -> bool:
        """Whether it stands so much more; else it has fallen over."""
        if machine.kind == ORIGIN or not machine.cold.born:
            return True
        self.judge.looked_cold()
        if not machine.cold.ask(self.now, work):
            return True
        self.judge.fell(self.now, machine.number, request)
        self._down(machine, "dead")
        return False

    def _deliver(
        self, attempt: Attempt, machine: Machine, work: float, note: Note, waited: int, minted: int | None
    ) -> None:
        """The transfer to the front, and its answer at the end."""
        if attempt not in machine.out:  # called off, or the machine went down
            return

        def sent() -> None:
            self.reply(attempt, Ending.OK, note, waited, minted)

        machine.out[attempt] = self._transfer(machine, work / machine.cold.share(self.now), sent)

    def _from_origin(self, origin: Machine, attempt: Attempt, then: Callable[[int], None]) -> None:
        """One fetch at the origin: work there, then the copy it gives out. A write runs there."""
        self.tally.fetched(self.now)
        if self.experiment.classes[attempt.request.cls].never_kept:
            self.judge.ran(self.now, attempt.request.number, origin.number)
        work = self.experiment.fleet.origin_ms * MS
        self._transfer(origin, work, lambda: then(self.now))

    def _fill(
        self, attempt: Attempt, machine: Machine, key: tuple[int, int], work: float, limit: int, c: Class
    ) -> None:
        began = self.now
        waiting = machine.filling.get(key)
        join = isinstance(attempt.action, io.Fetch) and attempt.action.join and not c.never_kept

        def filled(note: Note) -> Callable[[int | None], None]:
            def come(minted: int | None) -> None:
                if minted is None:  # a write that may have run is an error
                    self.reply(attempt, Ending.ERROR if c.never_kept else Ending.FULL, Note.SOURCE_BROKEN)
                elif limit and self.now - minted > limit:
                    self.reply(attempt, Ending.MISS)
                else:
                    self._deliver(attempt, machine, work, note, self.now - began, minted)

            return come

        if join and waiting is not None:
            waiting.append(filled(Note.JOINED))
            return
        source = self.machines.get(attempt.source or 0)
        mine: list[Callable[[int | None], None]] = [
            filled(Note.FROM_ORIGIN if source is not None and source.kind == ORIGIN else Note.FILLED)
        ]
        machine.filling[key] = mine
        self.tally.filled(self.now)

        def done(minted: int | None) -> None:
            if machine.filling.get(key) is mine:
                del machine.filling[key]
            if minted is not None and machine.state == "up" and not c.never_kept:
                machine.store.put(key, minted)
            waiters, mine[:] = list(mine), []
            for one in waiters:
                one(minted)

        self.after(FILL_WITHIN, lambda: done(None) if mine else None)
        way = int(self.experiment.fleet.far_ms * MS)
        self.after(way, self._source, attempt, source, key, work, limit, done, way)

    def _source(
        self,
        attempt: Attempt,
        source: Machine | None,
        key: tuple[int, int],
        work: float,
        limit: int,
        done: Callable[[int | None], None],
        way: int,
    ) -> None:
        """At the source of a fill: what it holds, or what it fetches from the origin."""
        if source is None or source.state != "up":
            if source is None or source.state != "silent":
                self.after(way, done, None)
            return
        if not self._asked(source, work, attempt.request.number):
            self.after(way, done, None)
            return

        def pass_on(minted: int | None) -> None:
            if minted is not None:
                sending = FILL_PACE * work / source.cold.share(self.now)
                self._transfer(source, sending, lambda: self.after(way, done, minted))

        def straight(minted: int) -> None:
            self.after(way, done, minted)

        if source.kind == ORIGIN:
            self._from_origin(source, attempt, straight)
            return
        origin = next(m for m in self.machines.values() if m.kind == ORIGIN)
        if self.experiment.classes[attempt.request.cls].never_kept:
            self._from_origin(origin, attempt, straight)
            return
        minted = source.store.get(key)
        if minted is not None and (limit == 0 or self.now - minted <= limit):
            pass_on(minted)
            return
        waiting = source.filling.get(key)
        if waiting is not None:
            waiting.append(pass_on)
            return
        mine: list[Callable[[int | None], None]] = [pass_on]
        source.filling[key] = mine

        def fetched(minted: int) -> None:
            if source.filling.get(key) is mine:
                del source.filling[key]
                source.store.put(key, minted)
                for one in mine:
                    one(minted)

        self._from_origin(origin, attempt, fetched)

    # Faults

    def members(self) -> tuple[io.Member, ...]:
        return tuple(m.member() for m in self.machines.values() if m.listed is not CacheState.GONE)

    def _tell_list(self, members: tuple[io.Member, ...]) -> None:
        delay = int(self.experiment.fleet.told_ms * MS) + self.lag
        for front in self.fronts:
            self.after(int(delay * self.random.uniform(0.5, 1)), self._told, front, members)

    def _told(self, front: Front, members: tuple[io.Member, ...]) -> None:
        for m in members:
            if m.state is CacheState.READY:
                self.judge.told_back(front.number, m.cache)
            else:
                self.judge.told_leaving(self.now, front.number, m.cache)
        front.tell(io.ListNews(ListScope.CHANGES, members))

    def _down(self, machine: Machine, state: str) -> None:
        machine.state = state
        machine.looks += 1
        machine.share.clear(self.now)
        machine.filling.clear()
        out, machine.out = list(machine.out), {}
        if state != "silent":
            for attempt in out:
                self.reply(attempt, Ending.RESET)

    def _back(self, machine: Machine) -> None:
        if machine.listed is not CacheState.GONE:
            machine.empty(self.now)
            self._tell_list((machine.member(),))

    def _strike(self, fault: Fault) -> None:
        struck = [m for m in self.machines.values() if m.kind == fault.tier and m.state == "up"]
        struck = self.random.sample(struck, min(max(round(fault.part * len(struck)), 1), len(struck)))
        lasts = int(fault.lasts * SECOND)
        self.tally.mark(self.now, fault.kind.value)
        match fault.kind:
            case Kind.CRASH | Kind.LOST:
                for machine in struck:
                    self._down(machine, "dead" if fault.kind is Kind.CRASH else "silent")
                    self.after(lasts, self._back, machine)
            case Kind.SLOW:
                for machine in struck:
                    self._pace(machine, fault.size)
                    self.after(lasts, self._pace, machine, 1.0)
            case Kind.DRAIN:
                for n, machine in enumerate(struck):
                    self.after(int(lasts * n / len(struck)), self._drain, machine)
            case Kind.LAG:
                self.lag = int(fault.size * SECOND)
                self.after(lasts, self._lag_over)
            case Kind.PURGE:
                self._purge(fault.part)
            case Kind.RUSH:
                self.rush = fault.size
                self.after(lasts, self._rush_over)

    def _lag_over(self) -> None:
        self.lag = 0

    def _rush_over(self) -> None:
        self.rush = 1.0

    def _pace(self, machine: Machine, slower: float) -> None:
        machine.share.move(self.now)
        machine.share.slower = max(slower, 0.01)
        self._look(machine)

    def _drain(self, machine: Machine) -> None:
        machine.listed = CacheState.DRAINING
        self._tell_list((machine.member(),))
        self.after(DRAINS_FOR, self._replace, machine)

    def _replace(self, machine: Machine) -> None:
        self._down(machine, "dead")
        machine.listed = CacheState.GONE
        new = self._machine(machine.kind, machine.zone, self.now)
        self._tell_list((machine.member(), new.member()))

    def _purge(self, part: float) -> None:
        groups = self.experiment.load.groups
        chosen = self.random.sample(range(groups), max(round(part * groups), 1))
        delay = int(self.experiment.fleet.told_ms * MS) + self.lag
        for group in chosen:
            told = {f.number: self.now + int(delay * self.random.uniform(0.5, 1)) for f in self.fronts}
            self.judge.purged(self.now, group, told)
            for front in self.fronts:
                self.after(told[front.number] - self.now, self._tell_purge, front, group, self.now)
        for machine in self.machines.values():
            wait = int(self.random.uniform(0, 1) * SETTLES)
            self.after(wait, self._sweep, machine, frozenset(chosen), self.now)

    def _tell_purge(self, front: Front, group: int, at: int) -> None:
        front.tell(io.Purged(group, 0, self.now - at))

    def _sweep(self, machine: Machine, groups: frozenset[int], before: int) -> None:
        """A machine drops what is older than the purge."""
        count = self.experiment.load.groups
        for key, minted in list(machine.store.copies.items()):
            if minted < before and isinstance(key, tuple) and key[0] * 0x9E3779B1 % count in groups:
                del machine.store.copies[key]
