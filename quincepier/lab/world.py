"""A whole deployment in virtual time: many decision modules, machines, clients, faults; one heap of events.

The same experiment, variant and seed give the same run to the byte. Nothing here decides for a front: each
Router hears what a real one would hear, and its actions are carried out as a real front does.
"""

from __future__ import annotations

import hashlib
import heapq
import random
from bisect import bisect
from collections.abc import Callable, Sequence
from itertools import accumulate
from typing import Any

from quincepier import interface as io
from quincepier.errors import QuincepierError
from quincepier.interface import AttemptOutcome, CacheStatus, EndpointState, Idempotency, UpdateScope
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
from quincepier.lab.front import Attempt, Front, Request
from quincepier.lab.judge import Judge
from quincepier.lab.machines import ON_MACHINES, Machine, Machines
from quincepier.lab.tally import START, Tally

AFTER = 6 * SECOND  # played after the last arrival, so that all is answered
DRAIN = 750 * MS  # a front that is told to end serves on for so long
LEAST_PART = 0.8  # of `start_s`: starts are spread from there to 1.2 times


class UnplayableExperimentError(QuincepierError, ValueError):
    """An experiment that needs processes and sockets."""

    code = "QP-LAB"
    remedy = "play it by `lab fleet`"


class World:
    def __init__(self, experiment: Experiment, variant: Variant, seed: int) -> None:
        if paths := sorted({f.kind.value for f in experiment.faults if f.kind in ON_PATHS}):
            raise UnplayableExperimentError(
                f"faults on paths ({', '.join(paths)}) are for processes: lab fleet"
            )
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
        size = (
            self.experiment.sending(cls, obj) / SECOND * front.router.settings.client_kb_per_s
        )  # 0: not told
        front.tell(io.RequestReceived(request.number, cls, size, 0, group, obj, part, tries > 0, left))

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
        harmless = status == "refused" or never_took or c.effect is Idempotency.SAFE
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
            attempt.front.ended(attempt, AttemptOutcome.TIMEOUT, CacheStatus.NONE, 0, None)

    def call_off(self, attempt: Attempt) -> None:
        if not attempt.ended:
            attempt.ended = True
            self.after(self.way(attempt.front.zone, attempt.machine), self.machines.stop, attempt)
            self.after(0, attempt.front.ended, attempt, AttemptOutcome.CANCELLED, CacheStatus.NONE, 0, None)

    def reply(
        self, order: Attempt, ending: AttemptOutcome, note: CacheStatus, waited: int, minted: int | None
    ) -> None:
        if not order.ended:
            way = self.way(order.front.zone, order.machine)
            self.after(way, self._hear, order, ending, note, waited, minted)

    def _hear(
        self, attempt: Attempt, ending: AttemptOutcome, note: CacheStatus, waited: int, minted: int | None
    ) -> None:
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

    def _told(self, front: Front, listed: tuple[io.Endpoint, ...], start: int) -> None:
        if start != front.starts or not front.alive:  # the list that it starts with has told it
            return
        for m in listed:
            self.told(front, m)
        self.tally.returns.count("calls for the list", self.now)
        front.tell(io.EndpointUpdate(UpdateScope.CHANGES, listed))

    def told(self, front: Front, m: io.Endpoint) -> None:
        if m.state is EndpointState.READY:
            self.judge.told_back(front.number, m.number)
        else:
            self.judge.told_leaving(self.now, front.number, m.number)

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
            elif fault.kind is Kind.STARVE:
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
            self.tally.returns.restarted(self.now, front.number)
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
        front.tell(io.ObjectPurged(group, 0, self.now - at))
