"""A simulated front process: its decision module, the clients' requests and their attempts."""

from __future__ import annotations

import random
from collections import Counter
from typing import TYPE_CHECKING

from quincepier import interface as io
from quincepier.interface import AttemptOutcome, CacheStatus, UpdateScope
from quincepier.lab.experiment import MS, SECOND, StorageDamage, Variant
from quincepier.policy import Router
from quincepier.recovery import draw_first_poll_wait_ms
from quincepier.recovery.learned_facts import export_facts, restore_facts

if TYPE_CHECKING:  # world.py imports this module
    from quincepier.lab.world import World

MAX_POLL_TIME = SECOND  # longest long poll of the change log


class Attempt:
    """One attempt of a request; implements `machines.MachineAttempt`. Compared by identity.

    Attributes:
        number: The request's number.
        attempt_number: Index of the attempt within its request.
        sent_at: When it was sent, ns.
        timeout: ns; 0 for none.
        source: Number of the machine that the cache fetches from; None without a fetch.
        max_copy_age: Oldest acceptable copy, ns; 0 for the class's own limit.
        join: Whether it may join a fetch that is under way.
        held_only: Whether the source may only use a copy that it holds.
    """

    __slots__ = (
        "attempt_number",
        "cls",
        "front",
        "held_only",
        "is_completed",
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
        self,
        front: Front,
        request: Request,
        attempt_number: int,
        action: io.ForwardRequest | io.FetchThrough,
        sent_at: int,
    ) -> None:
        self.front, self.request, self.attempt_number, self.sent_at = front, request, attempt_number, sent_at
        self.number, self.cls, self.key = request.number, request.cls, (request.object, request.part)
        self.machine, self.timeout, self.is_completed = action.cache, action.timeout, False
        fetch = action if isinstance(action, io.FetchThrough) else None
        self.source = fetch.source if fetch and fetch.source != fetch.cache else None
        self.max_copy_age = fetch.max_copy_age if fetch else 0
        self.join, self.held_only = (fetch.join, fetch.held_only) if fetch else (False, False)


class Request:
    """One try of a client's request.

    Attributes:
        first_sent_at: When the client sent its first try, ns.
        previous_tries: Tries before this one.
        is_finished: Whether the client has its response or no longer waits.
    """

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
    """A front process. Its knowledge is lost when it ends; events queue up while it is paused.

    Attributes:
        start_count: Number of starts; callbacks of an earlier start are ignored.
        pause_count: Pauses in effect; 0 while it runs.
        pending_events: Events received while paused, with their arrival times.
        connections: Established connections by machine.
        active_attempts: Attempts under way by machine.
        state_write_interval: ns; 0 for never.
        stored_states: Learned facts written to disk, with the time: the first write and the last two.
    """

    def __init__(self, world: World, number: int, zone: int, variant: Variant) -> None:
        self.world, self.number, self.zone, self.variant = world, number, zone, variant
        self.start_count, self.is_alive, self.pause_count = 0, False, 0
        self.pending_events: list[tuple[int, io.Event]] = []
        self.requests: dict[int, Request] = {}
        self.connections, self.active_attempts = Counter[int](), Counter[int]()  # by machine
        self.state_write_interval = int(world.experiment.state_write_interval_s(variant, number) * SECOND)
        self.stored_states: list[tuple[int, list[io.Learned]]] = []

    def start(self) -> None:
        """Start the process with the current endpoint list, past purges and its stored state."""
        world = self.world
        self.start_count, self.is_alive, self.pause_count = self.start_count + 1, True, 0
        self.connections.clear()
        self.active_attempts.clear()
        settings = world.experiment.settings(self.zone, self.variant)
        self.router = Router(
            settings, (world.seed * 1000 + self.number) * 100 + self.start_count - 1, world.now
        )
        for m in world.machines.machine_by_number.values():
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
        self.poll_change_log(self.start_count, draw_first_poll_wait_ms(chance, MAX_POLL_TIME // MS) * MS)

    def restore_state(self, at: int, facts: list[io.Learned]) -> None:
        """Restore learned facts of machines that are still listed; the endpoint list was delivered before."""
        listed = self.world.machines.machine_by_number
        same = (f for f in facts if not isinstance(f, io.LearnedEndpoint) or f.number in listed)
        restore_facts(self.router, same, self.world.now - at)

    def write_state(self, start: int) -> None:
        """Write the learned facts and schedule the next write."""
        if self.is_alive and start == self.start_count:
            if not self.pause_count:
                written = self.world.now, list(export_facts(self.router))
                self.stored_states = [*self.stored_states[:1], *self.stored_states[1:][-1:], written]
            self.world.schedule(self.state_write_interval, self.write_state, start)

    def damage_storage(self, how: StorageDamage) -> None:
        """Damage the state folder while the front is down. A damaged record falls back to the one before."""
        if how is StorageDamage.OLDER:
            self.stored_states = self.stored_states[:1]
        elif how in (StorageDamage.EMPTY, StorageDamage.CUT, StorageDamage.FLIP):
            # CUT and FLIP damage both generations of the record
            self.stored_states = []
        elif how is StorageDamage.READ_ONLY:
            self.state_write_interval = 0

    def poll_change_log(self, start: int, wait: int = MAX_POLL_TIME) -> None:
        """Count a call to the change log and schedule the next after `wait` ns."""
        if self.is_alive and start == self.start_count:
            self.world.tally.recovery.count("calls for the list", self.world.now)
            self.world.schedule(wait, self.poll_change_log, start)

    def kill(self) -> None:
        """Kill the process: client connections are reset and its attempts cancelled."""
        self.is_alive, self.pending_events = False, []
        open_now, self.requests = list(self.requests.values()), {}
        for request in open_now:
            for attempt in request.attempts:
                if not attempt.is_completed:
                    attempt.is_completed = True
                    self.world.machines.cancel(attempt)
            if not request.is_finished:
                self.world.rule_checker.on_abandoned(request.number)
                request.is_finished = True
                self.world.on_request_not_served(self, request, "failed", 0)

    def pause(self, stop: bool) -> None:
        """Pause the process, or end one pause; after the last one, deliver the pending events."""
        self.pause_count += 1 if stop else -1
        if self.pause_count <= 0:
            self.pause_count, pending, self.pending_events = 0, self.pending_events, []
            for arrived_at, event in pending:
                if isinstance(event, io.RequestReceived):  # the deadline runs while the request is unread
                    event.time_left -= self.world.now - arrived_at
                self.deliver(event)

    def deliver(self, event: io.Event) -> None:
        """Pass an event to the decision module and carry out its actions."""
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
            case io.CancelAttempt(number, attempt_number):
                request = self.requests.get(number)
                if request is not None and attempt_number < len(request.attempts):
                    world.cancel_attempt(request.attempts[attempt_number])
            case io.RejectRequest(number, wait):
                self._respond(number, "refused", wait)
            case io.FailRequest(number):
                self._respond(number, "failed", 0)
            case io.SetTimer(wait, token, request_number):
                world.schedule(max(wait, 0), self._on_timer, token, request_number, self.start_count)
            case io.WatchEndpoints():
                world.schedule(
                    0, self.deliver, io.EndpointUpdate(UpdateScope.FULL, world.machines.endpoints())
                )
            case io.SendHealthCheck(machine):
                ended = io.HealthCheckCompleted(machine, AttemptOutcome.OK, 0, ())
                world.schedule(world.one_way_delay(self.zone, machine), self.deliver, ended)

    def _on_timer(self, token: int, request_number: int, start: int) -> None:
        request = self.requests.get(request_number)
        if start == self.start_count and (
            request_number < 0 or (request is not None and not request.is_finished)
        ):
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
        self,
        attempt: Attempt,
        outcome: AttemptOutcome,
        cache_status: CacheStatus,
        waited: int,
        minted: int | None,
    ) -> None:
        """Report the end of an attempt to the decision module and respond to the client.

        Args:
            attempt: The attempt.
            outcome: How it ended.
            cache_status: Where the copy came from.
            waited: Time that the machine waited for a fetch, ns.
            minted: When the origin produced the copy, ns; None without one.
        """
        if not self.is_alive or self.requests.get(attempt.number) is not attempt.request:
            return
        if self.pause_count:
            self.world.schedule(MS, self.on_attempt_ended, attempt, outcome, cache_status, waited, minted)
            return
        request = attempt.request
        self.active_attempts[attempt.machine] -= 1
        if outcome is AttemptOutcome.OK and not request.is_finished:
            request.is_finished = True
            self.world.answered(self, request, "served", minted, attempt.sent_at, 0)
        event = io.AttemptCompleted(
            request.number, attempt.attempt_number, attempt.machine, outcome,
            self.world.now - attempt.sent_at, request.is_finished, cache_status, waited, (),
        )  # fmt: skip
        for action in self.router.handle(self.world.now, event):
            self._perform(action)
        self.remove_if_finished(request)

    def on_client_disconnected(self, request: Request) -> None:
        """The client no longer waits, so no response is due."""
        if not request.is_finished and self.requests.get(request.number) is request:
            request.is_finished = True
            self.world.rule_checker.on_abandoned(request.number)
            self.deliver(io.ClientDisconnected(request.number))
            self.remove_if_finished(request)
            self.world.on_request_not_served(self, request, "failed", 0)

    def remove_if_finished(self, request: Request) -> None:
        """Forget a request once it is finished and all its attempts have ended."""
        if request.is_finished and all(attempt.is_completed for attempt in request.attempts):
            self.requests.pop(request.number, None)
