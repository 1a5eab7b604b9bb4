"""A front of the laboratory: a process with its decision module, its clients' tries and their attempts."""

from __future__ import annotations

import random
from collections import Counter
from typing import TYPE_CHECKING

from quincepier import interface as io
from quincepier.interface import AttemptOutcome, CacheStatus, UpdateScope
from quincepier.lab.experiment import MS, SECOND, StorageDamage, Variant
from quincepier.policy import Router
from quincepier.recovery import first_poll
from quincepier.recovery.learned_facts import export_facts, restore_facts

if TYPE_CHECKING:  # the world makes the fronts
    from quincepier.lab.world import World

POLL = SECOND  # a front's call to the change log ends after this at the latest


class Attempt:
    """One attempt; a machine sees it as an order."""

    __slots__ = (
        "attempt_number",
        "cls",
        "front",
        "held_only",
        "is_ended",
        "join",
        "key",
        "machine",
        "max_copy_age",
        "number",
        "request",
        "sent_at",
        "source",
        "timeout",
    )  # fmt: skip

    def __init__(
        self, front: Front, request: Request, no: int, action: io.ForwardRequest | io.FetchThrough, at: int
    ) -> None:
        self.front, self.request, self.attempt_number, self.sent_at = front, request, no, at
        self.number, self.cls, self.key = request.number, request.cls, (request.object, request.part)
        self.machine, self.timeout, self.is_ended = action.cache, action.timeout, False
        fetch = action if isinstance(action, io.FetchThrough) else None
        self.source = fetch.source if fetch and fetch.source != fetch.cache else None
        self.max_copy_age = fetch.age if fetch else 0
        self.join, self.held_only = (fetch.join, fetch.held_only) if fetch else (False, False)


class Request:
    """One try of a client."""

    __slots__ = (
        "attempts",
        "cls",
        "first_sent_at",
        "group",
        "is_finished",
        "number",
        "object",
        "part",
        "previous_tries",
    )

    def __init__(
        self, number: int, cls: int, obj: int, part: int, group: int, first: int, tries: int
    ) -> None:
        self.number, self.cls, self.object, self.part, self.group = number, cls, obj, part, group
        self.first_sent_at, self.previous_tries, self.is_finished = first, tries, False
        self.attempts: list[Attempt] = []


class Front:
    """A process: what it knows goes with it. While it is stopped, what comes waits."""

    def __init__(self, world: World, number: int, zone: int, variant: Variant) -> None:
        self.world, self.number, self.zone, self.variant = world, number, zone, variant
        self.start_count, self.is_alive, self.pause_count = 0, False, 0
        self.pending_events: list[tuple[int, io.Event]] = []
        self.requests: dict[int, Request] = {}
        self.connections, self.active_attempts = Counter[int](), Counter[int]()  # by machine
        self.state_write_interval = int(world.experiment.state_write_interval_s(variant, number) * SECOND)
        self.stored_states: list[
            tuple[int, list[io.Learned]]
        ] = []  # what it wrote: the first, and the last two

    def start(self) -> None:
        world = self.world
        self.start_count, self.is_alive, self.pause_count = self.start_count + 1, True, 0
        self.connections.clear()
        self.active_attempts.clear()
        settings = world.experiment.settings(self.zone, self.variant)
        self.router = Router(
            settings, (world.seed * 1000 + self.number) * 100 + self.start_count - 1, world.now
        )
        for m in world.machines.machine_by_number.values():  # a list that a front starts with counts as told
            world.record_endpoint_state(self, m.to_endpoint())
        self.deliver(io.EndpointUpdate(UpdateScope.RESTORED, world.machines.endpoints()))
        for group, at in world.purges:
            self.deliver(io.ObjectPurged(group, 0, world.now - at))
        if self.stored_states:
            self.restore_state(*self.stored_states[-1])
        chance = random.Random((world.seed * 1000 + self.number) * 100 + self.start_count)
        if self.state_write_interval:
            world.schedule(
                self.state_write_interval * (self.number + 1) // (len(world.fronts) + 1),
                self.write_state,
                self.start_count,
            )
        self.poll_change_log(self.start_count, first_poll(chance, POLL // MS) * MS)

    def restore_state(self, at: int, facts: list[io.Learned]) -> None:
        """Of machines that are still the same; the list was told before."""
        listed = self.world.machines.machine_by_number
        same = (f for f in facts if not isinstance(f, io.LearnedEndpoint) or f.cache in listed)
        restore_facts(self.router, same, self.world.now - at)

    def write_state(self, start: int) -> None:
        if self.is_alive and start == self.start_count:
            if not self.pause_count:
                written = self.world.now, list(export_facts(self.router))
                self.stored_states = [*self.stored_states[:1], *self.stored_states[1:][-1:], written]
            self.world.schedule(self.state_write_interval, self.write_state, start)

    def damage_storage(self, how: StorageDamage) -> None:
        """What befalls its folder while it is down: a record that is damaged leaves the one before."""
        if how is StorageDamage.OLDER:
            self.stored_states = self.stored_states[:1]
        elif how in (
            StorageDamage.EMPTY,
            StorageDamage.CUT,
            StorageDamage.FLIP,
        ):  # those two damage both generations
            self.stored_states = []
        elif how is StorageDamage.READ_ONLY:
            self.state_write_interval = 0

    def poll_change_log(self, start: int, wait: int = POLL) -> None:
        if self.is_alive and start == self.start_count:
            self.world.tally.recovery.count("calls for the list", self.world.now)
            self.world.schedule(wait, self.poll_change_log, start)

    def kill(self) -> None:
        """Its clients' connections are reset, its attempts are off."""
        self.is_alive, self.pending_events = False, []
        open_now, self.requests = list(self.requests.values()), {}
        for request in open_now:
            for attempt in request.attempts:
                if not attempt.is_ended:
                    attempt.is_ended = True
                    self.world.machines.cancel(attempt)
            if not request.is_finished:
                self.world.rule_checker.on_abandoned(request.number)
                request.is_finished = True
                self.world.on_request_not_served(self, request, "failed", 0)

    def pause(self, stop: bool) -> None:
        self.pause_count += 1 if stop else -1
        if self.pause_count <= 0:
            self.pause_count, waiting, self.pending_events = 0, self.pending_events, []
            for at, event in waiting:
                if isinstance(event, io.RequestReceived):  # its time goes while it lies unread
                    event.time_left -= self.world.now - at
                self.deliver(event)

    def deliver(self, event: io.Event) -> None:
        if not self.is_alive:
            return
        if self.pause_count:
            self.pending_events.append((self.world.now, event))
            return
        if isinstance(event, io.AttemptCompleted) and event.request not in self.requests:
            return
        for action in self.router.handle(self.world.now, event):
            self._perform(action)

    def _perform(self, action: io.Action) -> None:
        world = self.world
        match action:
            case io.ForwardRequest() | io.FetchThrough():
                self._send_attempt(action)
            case io.CancelAttempt(number, no):
                request = self.requests.get(number)
                if request is not None and no < len(request.attempts):
                    world.cancel_attempt(request.attempts[no])
            case io.RejectRequest(number, wait):
                self._respond(number, "refused", wait)
            case io.FailRequest(number):
                self._respond(number, "failed", 0)
            case io.SetTimer(wait, token, about):
                world.schedule(max(wait, 0), self._on_timer, token, about, self.start_count)
            case io.WatchEndpoints():
                world.schedule(
                    0, self.deliver, io.EndpointUpdate(UpdateScope.FULL, world.machines.endpoints())
                )
            case io.SendHealthCheck(machine):
                ended = io.HealthCheckCompleted(machine, AttemptOutcome.OK, 0, ())
                world.schedule(world.one_way_delay(self.zone, machine), self.deliver, ended)

    def _on_timer(self, token: int, about: int, start: int) -> None:
        request = self.requests.get(about)
        if start == self.start_count and (about < 0 or (request is not None and not request.is_finished)):
            self.deliver(io.TimerFired(token))

    def _send_attempt(self, action: io.ForwardRequest | io.FetchThrough) -> None:
        request = self.requests[action.request]
        attempt = Attempt(self, request, len(request.attempts), action, self.world.now)
        request.attempts.append(attempt)
        machine = attempt.machine
        self.active_attempts[machine] += 1
        if self.active_attempts[machine] > self.connections[machine]:
            self.connections[machine] += 1
            self.world.tally.recovery.count("dials", self.world.now, machine, self.number)
        self.world.send_attempt(attempt)

    def _respond(self, number: int, status: str, wait: int) -> None:
        request = self.requests.get(number)
        if request is not None and not request.is_finished:
            request.is_finished = True
            self.world.answered(self, request, status, None, 0, wait)
            self.remove_if_finished(request)

    def on_attempt_ended(
        self, attempt: Attempt, ending: AttemptOutcome, note: CacheStatus, waited: int, minted: int | None
    ) -> None:
        if not self.is_alive or self.requests.get(attempt.number) is not attempt.request:
            return
        if self.pause_count:
            self.world.schedule(MS, self.on_attempt_ended, attempt, ending, note, waited, minted)
            return
        request = attempt.request
        self.active_attempts[attempt.machine] -= 1
        if ending is AttemptOutcome.OK and not request.is_finished:
            request.is_finished = True
            self.world.answered(self, request, "served", minted, attempt.sent_at, 0)
        event = io.AttemptCompleted(
            request.number, attempt.attempt_number, attempt.machine, ending,
            self.world.now - attempt.sent_at, request.is_finished, note, waited, (),
        )  # fmt: skip
        for action in self.router.handle(self.world.now, event):
            self._perform(action)
        self.remove_if_finished(request)

    def on_client_disconnected(self, request: Request) -> None:
        """The client has stopped waiting: no answer is owed."""
        if not request.is_finished and self.requests.get(request.number) is request:
            request.is_finished = True
            self.world.rule_checker.on_abandoned(request.number)
            self.deliver(io.ClientDisconnected(request.number))
            self.remove_if_finished(request)
            self.world.on_request_not_served(self, request, "failed", 0)

    def remove_if_finished(self, request: Request) -> None:
        if request.is_finished and all(attempt.is_ended for attempt in request.attempts):
            self.requests.pop(request.number, None)
