"""A front of the laboratory: a process with its decision module, its clients' tries and their attempts."""

from __future__ import annotations

import random
from collections import Counter
from typing import TYPE_CHECKING

from quincepier import interface as io
from quincepier.interface import AttemptOutcome, CacheStatus, UpdateScope
from quincepier.lab.experiment import MS, SECOND, Disk, Variant
from quincepier.policy import Router
from quincepier.recovery import draw_first_poll_wait_ms
from quincepier.recovery.learned_facts import export_facts, restore_facts

if TYPE_CHECKING:  # the world makes the fronts
    from quincepier.lab.world import World

POLL = SECOND  # a front's call to the change log ends after this at the latest


class Attempt:
    """One attempt; a machine sees it as an order."""

    __slots__ = ("age", "at", "cls", "ended", "front", "held", "join", "key", "machine", "no", "number",
                 "request", "source", "timeout")  # fmt: skip

    def __init__(
        self, front: Front, request: Request, no: int, action: io.ForwardRequest | io.FetchThrough, at: int
    ) -> None:
        self.front, self.request, self.no, self.at = front, request, no, at
        self.number, self.cls, self.key = request.number, request.cls, (request.object, request.part)
        self.machine, self.timeout, self.ended = action.cache, action.timeout, False
        fetch = action if isinstance(action, io.FetchThrough) else None
        self.source = fetch.source if fetch and fetch.source != fetch.cache else None
        self.age = fetch.max_copy_age if fetch else 0
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
        self.tell(io.EndpointUpdate(UpdateScope.RESTORED, world.machines.listed()))
        for group, at in world.purged:
            self.tell(io.ObjectPurged(group, 0, world.now - at))
        if self.kept:
            self.recall(*self.kept[-1])
        chance = random.Random((world.seed * 1000 + self.number) * 100 + self.starts)
        if self.every:
            world.after(self.every * (self.number + 1) // (len(world.fronts) + 1), self.keep, self.starts)
        self.poll(self.starts, draw_first_poll_wait_ms(chance, POLL // MS) * MS)

    def recall(self, at: int, facts: list[io.Learned]) -> None:
        """Of machines that are still the same; the list was told before."""
        listed = self.world.machines.all
        same = (f for f in facts if not isinstance(f, io.LearnedEndpoint) or f.number in listed)
        restore_facts(self.router, same, self.world.now - at)

    def keep(self, start: int) -> None:
        if self.alive and start == self.starts:
            if not self.stopped:
                written = self.world.now, list(export_facts(self.router))
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
                if isinstance(event, io.RequestReceived):  # its time goes while it lies unread
                    event.time_left -= self.world.now - at
                self.tell(event)

    def tell(self, event: io.Event) -> None:
        if not self.alive:
            return
        if self.stopped:
            self.waiting.append((self.world.now, event))
            return
        if isinstance(event, io.AttemptCompleted) and event.request not in self.requests:
            return
        for action in self.router.handle(self.world.now, event):
            self._perform(action)

    def _perform(self, action: io.Action) -> None:
        world = self.world
        match action:
            case io.ForwardRequest() | io.FetchThrough():
                self._send(action)
            case io.CancelAttempt(number, no):
                request = self.requests.get(number)
                if request is not None and no < len(request.attempts):
                    world.call_off(request.attempts[no])
            case io.RejectRequest(number, wait):
                self._answer(number, "refused", wait)
            case io.FailRequest(number):
                self._answer(number, "failed", 0)
            case io.SetTimer(wait, token, about):
                world.after(max(wait, 0), self._timer, token, about, self.starts)
            case io.WatchEndpoints():
                world.after(0, self.tell, io.EndpointUpdate(UpdateScope.FULL, world.machines.listed()))
            case io.SendHealthCheck(machine):
                ended = io.HealthCheckCompleted(machine, AttemptOutcome.OK, 0, ())
                world.after(world.way(self.zone, machine), self.tell, ended)

    def _timer(self, token: int, about: int, start: int) -> None:
        request = self.requests.get(about)
        if start == self.starts and (about < 0 or (request is not None and not request.over)):
            self.tell(io.TimerFired(token))

    def _send(self, action: io.ForwardRequest | io.FetchThrough) -> None:
        request = self.requests[action.request]
        attempt = Attempt(self, request, len(request.attempts), action, self.world.now)
        request.attempts.append(attempt)
        machine = attempt.machine
        self.busy[machine] += 1
        if self.busy[machine] > self.connections[machine]:
            self.connections[machine] += 1
            self.world.tally.returns.count("dials", self.world.now, machine, self.number)
        self.world.send(attempt)

    def _answer(self, number: int, status: str, wait: int) -> None:
        request = self.requests.get(number)
        if request is not None and not request.over:
            request.over = True
            self.world.answered(self, request, status, None, 0, wait)
            self.settle(request)

    def ended(
        self, attempt: Attempt, ending: AttemptOutcome, note: CacheStatus, waited: int, minted: int | None
    ) -> None:
        if not self.alive or self.requests.get(attempt.number) is not attempt.request:
            return
        if self.stopped:
            self.world.after(MS, self.ended, attempt, ending, note, waited, minted)
            return
        request = attempt.request
        self.busy[attempt.machine] -= 1
        if ending is AttemptOutcome.OK and not request.over:
            request.over = True
            self.world.answered(self, request, "served", minted, attempt.at, 0)
        event = io.AttemptCompleted(
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
            self.tell(io.ClientDisconnected(request.number))
            self.settle(request)
            self.world.turned_away(self, request, "failed", 0)

    def settle(self, request: Request) -> None:
        if request.over and all(attempt.ended for attempt in request.attempts):
            self.requests.pop(request.number, None)
