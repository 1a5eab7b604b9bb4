"""Discrete-event simulation of a whole deployment: decision modules, machines, clients and faults.

A run is deterministic: the same experiment, variant and seed give identical bytes. Nothing here makes
decisions for a front: each Router receives the events that a real one would receive, and its actions are
carried out as a real front would. Times are nanoseconds of virtual time.
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
    Experiment,
    Fault,
    FaultKind,
    StorageDamage,
    Variant,
)
from quincepier.lab.front import Attempt, Front, Request
from quincepier.lab.machines import ON_MACHINES, Machine, Machines
from quincepier.lab.rule_checker import RuleChecker
from quincepier.lab.tally import START, Tally

SETTLING_TIME = 6 * SECOND  # simulated after the last arrival, so that every request gets its response
TERM_DRAIN_TIME = 750 * MS  # a front keeps serving for this long after SIGTERM
MIN_START_FACTOR = 0.8  # start-up times are spread between 0.8 and 1.2 times `start_s`


class UnplayableExperimentError(QuincepierError, ValueError):
    """The experiment needs real processes and sockets."""

    code = "QP-LAB"
    remedy = "play it by `lab fleet`"


class World:
    """One run: virtual clock, event queue, network and client model, and the fault schedule.

    Attributes:
        now: Virtual time, ns.
        scheduled_count: Events scheduled so far; orders events that are due at the same time.
        event_queue: Heap of (due time, sequence number, callback, arguments).
        extra_list_delay: Additional delay of endpoint updates and purges by a fault, ns.
        load_factor: Factor on the request rate by a fault.
        purges: Purged groups and when they were purged, ns.
        digest: Hash over the time and outcome of every request.
        fronts_in_rotation: Fronts that the clients use.
        has_front_pauses: Whether a fault pauses fronts; clients then enforce their own deadlines.
    """

    def __init__(self, experiment: Experiment, variant: Variant, seed: int) -> None:
        if paths := sorted({f.kind.value for f in experiment.faults if f.kind in ON_PATHS}):
            raise UnplayableExperimentError(
                f"faults on paths ({', '.join(paths)}) are for processes: lab fleet"
            )
        self.experiment, self.variant, self.seed = experiment, variant, seed
        self.random = random.Random(f"{seed} {experiment.name}")
        self.now, self.scheduled_count, self.events_run = START, 0, 0
        self.event_queue: list[tuple[int, int, Callable[..., None], tuple[Any, ...]]] = []
        self.rule_checker, self.tally = RuleChecker(), Tally(experiment)
        self.request_count = 0
        self.extra_list_delay, self.load_factor = 0, 1.0
        self.purges: list[tuple[int, int]] = []
        self.digest = hashlib.blake2b(digest_size=16)
        self.cumulative_weights_by_class = [
            self._cumulative_weights(request_class) for request_class in experiment.classes
        ]
        self.machines = Machines(self, experiment, self.random)
        fleet = experiment.fleet
        self.fronts = [Front(self, n, n % fleet.zones, variant) for n in range(fleet.fronts)]
        self.fronts_in_rotation = list(self.fronts)
        self.has_front_pauses = any(f.kind in (FaultKind.PAUSE, FaultKind.STARVE) for f in experiment.faults)

    def _cumulative_weights(self, cls: Class) -> list[float]:
        return list(accumulate(1 / (n + 1) ** cls.zipf for n in range(cls.objects)))

    # Clock and event queue

    def schedule(self, wait: int, callback: Callable[..., None], *arguments: Any) -> None:
        """Call `callback` in `wait` ns; events due at the same time run in the order of scheduling."""
        self.scheduled_count += 1
        heapq.heappush(self.event_queue, (self.now + wait, self.scheduled_count, callback, arguments))

    def run(self) -> Tally:
        """Run the experiment from the first arrival until every request has its response."""
        for front in self.fronts:
            front.start()
        self._on_arrival()
        for fault in self.experiment.faults:
            self.schedule(int(fault.at * SECOND), self._inject_fault, fault)
        end = START + int(self.experiment.seconds * SECOND) + SETTLING_TIME
        while self.event_queue and self.event_queue[0][0] <= end:
            self.now, _, callback, arguments = heapq.heappop(self.event_queue)
            self.events_run += 1
            callback(*arguments)
        self.now = end
        self.rule_checker.finish(end)
        strain = max(
            (machine.cold.strain for machine in self.machines.machine_by_number.values()), default=0.0
        )
        self.tally.finish(self.rule_checker, self.digest.hexdigest(), self.events_run, strain)
        return self.tally

    # Clients

    def _on_arrival(self) -> None:
        experiment = self.experiment
        if self.now - START > experiment.seconds * SECOND:
            return
        self.schedule(
            int(self.random.expovariate(experiment.load.rate * self.load_factor) * SECOND), self._on_arrival
        )
        shares = [request_class.share for request_class in experiment.classes]
        cls = self.random.choices(range(len(shares)), shares)[0]
        weights = self.cumulative_weights_by_class[cls]
        rank = bisect(weights, self.random.random() * weights[-1])
        obj = (cls + 1) << 32 | rank + 1
        part = self.random.randrange(experiment.classes[cls].parts)
        self.tally.on_request(self.now, cls)
        self._send_request(cls, obj, part, experiment.group_of_object(obj), self.now, 0)

    def _send_request(self, cls: int, obj: int, part: int, group: int, first: int, tries: int) -> None:
        self.request_count += 1
        request_class = self.experiment.classes[cls]
        front = self.random.choice(self.fronts_in_rotation or self.fronts)
        request = Request(self.request_count, cls, obj, part, group, first, tries)
        if not front.is_alive:  # the connection is refused
            self.on_request_not_served(front, request, "failed", 0, True)
            return
        front.requests[request.number] = request
        left = int(request_class.deadline_ms * MS)
        self.rule_checker.on_request(
            self.now, request.number, front.number, request_class.effect.value, self.now + left
        )
        if self.has_front_pauses:
            self.schedule(left, front.on_client_disconnected, request)
        # 0: the size is not sent
        size = self.experiment.send_time_ns(cls, obj) / SECOND * front.router.settings.client_kb_per_s
        front.deliver(io.RequestReceived(request.number, cls, size, 0, group, obj, part, tries > 0, left))

    def answered(
        self, front: Front, request: Request, status: str, minted: int | None, sent: int, wait: int
    ) -> None:
        """Handle a front's final response to a client.

        Args:
            front: The front that responds.
            request: The client's request.
            status: "served", "refused" or "failed".
            minted: When the origin produced the served copy, ns; None if unknown.
            sent: When the attempt that was served was sent, ns.
            wait: Retry delay given to the client, ns; 0 for none.
        """
        request_class = self.experiment.classes[request.cls]
        self.rule_checker.on_response(self.now, request.number, status, minted, sent, request.group)
        if status != "served":
            self.on_request_not_served(front, request, status, wait)
            return
        self.digest.update(b"%d %d served\n" % (self.now, request.number))
        stale = (
            minted is not None
            and request_class.fresh_s > 0
            and sent - minted > request_class.fresh_s * SECOND
        )
        self.tally.on_request_finished(self.now, request.cls, status, self.now - request.first_sent_at, stale)

    def on_request_not_served(
        self, front: Front, request: Request, status: str, wait: int, never_accepted: bool = False
    ) -> None:
        """Retry a request that was not served if that can't repeat an effect; else count the failure."""
        request_class, load = self.experiment.classes[request.cls], self.experiment.load
        self.digest.update(b"%d %d %s\n" % (self.now, request.number, status.encode()))
        harmless = status == "refused" or never_accepted or request_class.effect is Idempotency.SAFE
        if request.previous_tries < load.retries and harmless:
            pause = wait or int(load.back_off_ms * MS * self.random.uniform(0.5, 1.5))
            self.schedule(pause, self._retry, request)
            self.tally.on_retry(self.now, request.cls, status)
        else:
            self.tally.on_request_finished(
                self.now, request.cls, status, self.now - request.first_sent_at, False
            )

    def _retry(self, r: Request) -> None:
        self._send_request(r.cls, r.object, r.part, r.group, r.first_sent_at, r.previous_tries + 1)

    # Between fronts and machines

    def one_way_delay(self, zone: int, number: int) -> int:
        """Return the one-way network delay between a front and a machine, ns."""
        machine, fleet = self.machines.machine_by_number.get(number), self.experiment.fleet
        near = machine is not None and machine.kind == EDGE
        return int((fleet.near_ms if near else fleet.far_ms) * MS)

    def send_attempt(self, attempt: Attempt) -> None:
        """Send an attempt to its machine and start its timeout."""
        self.rule_checker.on_attempt_sent(
            self.now, attempt.number, attempt.front.number, attempt.machine, attempt.source
        )
        self.schedule(self.one_way_delay(attempt.front.zone, attempt.machine), self._deliver_attempt, attempt)
        if attempt.timeout:
            self.schedule(attempt.timeout, self._on_attempt_timeout, attempt)

    def _deliver_attempt(self, attempt: Attempt) -> None:
        if not attempt.is_completed:
            self.machines.on_attempt(attempt)

    def _on_attempt_timeout(self, attempt: Attempt) -> None:
        if not attempt.is_completed:
            self.machines.cancel(attempt)
            attempt.is_completed = True
            attempt.front.on_attempt_ended(attempt, AttemptOutcome.TIMEOUT, CacheStatus.NONE, 0, None)

    def cancel_attempt(self, attempt: Attempt) -> None:
        """Cancel an attempt: the machine is notified, and the front learns of the end at once."""
        if not attempt.is_completed:
            attempt.is_completed = True
            self.schedule(
                self.one_way_delay(attempt.front.zone, attempt.machine), self.machines.cancel, attempt
            )
            self.schedule(
                0,
                attempt.front.on_attempt_ended,
                attempt,
                AttemptOutcome.CANCELLED,
                CacheStatus.NONE,
                0,
                None,
            )

    def reply(
        self,
        attempt: Attempt,
        outcome: AttemptOutcome,
        cache_status: CacheStatus,
        waited: int,
        minted: int | None,
    ) -> None:
        """Deliver a machine's reply to the front after the network delay."""
        if not attempt.is_completed:
            delay = self.one_way_delay(attempt.front.zone, attempt.machine)
            self.schedule(delay, self._deliver_reply, attempt, outcome, cache_status, waited, minted)

    def _deliver_reply(
        self,
        attempt: Attempt,
        outcome: AttemptOutcome,
        cache_status: CacheStatus,
        waited: int,
        minted: int | None,
    ) -> None:
        if not attempt.is_completed:
            attempt.is_completed = True
            attempt.front.on_attempt_ended(attempt, outcome, cache_status, waited, minted)

    # Reports of the machines (see MachineHost)

    def on_effect_run(self, request: int, machine: int) -> None:
        """See MachineHost."""
        self.rule_checker.on_effect_run(self.now, request, machine)

    def on_cold_request(self, machine: int, work: float) -> None:
        """See MachineHost."""
        self.rule_checker.count_cold_check()

    def on_cold_machine_overloaded(self, machine: int, request: int) -> None:
        """See MachineHost."""
        self.rule_checker.on_cold_machine_overloaded(self.now, machine, request)

    def on_fetch_started(self, machine: int, source: int) -> None:
        """See MachineHost."""
        source_machine = self.machines.machine_by_number.get(source)
        self.tally.on_fetch_started(
            self.now, source_machine is not None and source_machine.kind == ORIGIN, source
        )

    def on_origin_fetch(self, by: int) -> None:
        """See MachineHost."""
        self.tally.on_origin_fetch(self.now)

    def on_endpoints_changed(self, machines: Sequence[Machine]) -> None:
        """Deliver the changed endpoints to each front after a random share of the delay."""
        listed = tuple(machine.to_endpoint() for machine in machines)
        delay = int(self.experiment.fleet.told_ms * MS) + self.extra_list_delay
        for front in self.fronts:
            self.schedule(
                int(delay * self.random.uniform(0.5, 1)),
                self._deliver_endpoint_update,
                front,
                listed,
                front.start_count,
            )

    def _deliver_endpoint_update(self, front: Front, listed: tuple[io.Endpoint, ...], start: int) -> None:
        if start != front.start_count or not front.is_alive:
            return  # after a restart its endpoint list already includes this change
        for machine in listed:
            self.record_endpoint_state(front, machine)
        self.tally.recovery.count("calls for the list", self.now)
        front.deliver(io.EndpointUpdate(UpdateScope.CHANGES, listed))

    def record_endpoint_state(self, front: Front, machine: io.Endpoint) -> None:
        """Tell the rule checker which endpoint state a front now knows."""
        if machine.state is EndpointState.READY:
            self.rule_checker.on_return_reported(front.number, machine.number)
        else:
            self.rule_checker.on_leaving_reported(self.now, front.number, machine.number)

    # Faults

    def _inject_fault(self, fault: Fault) -> None:
        self.tally.mark(self.now, fault.kind.value)
        self.tally.recovery.on_fault(self.now, fault.kind in ON_FRONTS)
        lasts = int(fault.lasts * SECOND)
        if fault.kind in ON_MACHINES:
            self.machines.inject_fault(fault)
        elif fault.kind in ON_FRONTS:
            self._inject_front_fault(fault, lasts)
        elif fault.kind is FaultKind.LAG:
            self.extra_list_delay = int(fault.size * SECOND)
            self.schedule(lasts, self._end_list_delay)
        elif fault.kind is FaultKind.PURGE:
            self._purge(fault.part)
        elif fault.kind is FaultKind.RUSH:
            self.load_factor = fault.size
            self.schedule(lasts, self._end_rush)

    def _inject_front_fault(self, fault: Fault, lasts: int) -> None:
        count = min(max(round(fault.part * len(self.fronts)), 1), len(self.fronts))
        affected = sorted(self.random.sample(self.fronts, count), key=lambda f: f.number)
        for n, front in enumerate(affected):
            if fault.kind is FaultKind.KILL:
                self._stop_front(front, lasts, front.start_count, fault.state)
            elif fault.kind is FaultKind.TERM:
                self.schedule(TERM_DRAIN_TIME, self._stop_front, front, lasts, front.start_count, fault.state)
            elif fault.kind is FaultKind.ROLL:
                self.schedule(
                    lasts * n // count + TERM_DRAIN_TIME,
                    self._stop_front,
                    front,
                    0,
                    front.start_count,
                    fault.state,
                )
            elif fault.kind is FaultKind.PAUSE:
                self._set_front_paused(front, True, front.start_count)
                self.schedule(lasts, self._set_front_paused, front, False, front.start_count)
            elif fault.kind is FaultKind.STARVE:
                self._alternate_front_pause(
                    front, True, int(fault.size * MS), self.now + lasts, front.start_count
                )

    def _stop_front(self, front: Front, lasts: int, start: int, damage: StorageDamage) -> None:
        if not front.is_alive or front.start_count != start:
            return
        front.kill()
        front.damage_storage(damage)
        spread = self.random.uniform(MIN_START_FACTOR, 2 - MIN_START_FACTOR)
        self.schedule(
            lasts + int(self.experiment.fleet.start_s * spread * SECOND), self._restart_front, front
        )
        self.schedule(int(self.experiment.fleet.noticed_s * SECOND), self._remove_dead_front, front)

    def _remove_dead_front(self, front: Front) -> None:
        if not front.is_alive and front in self.fronts_in_rotation:
            self.fronts_in_rotation.remove(front)

    def _restart_front(self, front: Front) -> None:
        if not front.is_alive:
            front.start()
            self.tally.recovery.on_front_returned(self.now)
            self.tally.recovery.on_front_restarted(self.now, front.number)
            if front not in self.fronts_in_rotation:
                self.fronts_in_rotation.append(front)

    def _set_front_paused(self, front: Front, stop: bool, start: int) -> None:
        if front.is_alive and front.start_count == start:
            front.pause(stop)
            if not stop:
                self.tally.recovery.on_front_returned(self.now)

    def _alternate_front_pause(self, front: Front, stop: bool, turn: int, until: int, start: int) -> None:
        self._set_front_paused(front, stop, start)
        if stop or self.now < until:
            self.schedule(turn, self._alternate_front_pause, front, not stop, turn, until, start)

    def _end_list_delay(self) -> None:
        self.extra_list_delay = 0

    def _end_rush(self) -> None:
        self.load_factor = 1.0

    def _purge(self, part: float) -> None:
        delay = int(self.experiment.fleet.told_ms * MS) + self.extra_list_delay
        for group in self.machines.purge(part):
            reported_at_by_front = {
                f.number: self.now + int(delay * self.random.uniform(0.5, 1)) for f in self.fronts
            }
            self.rule_checker.on_purge(self.now, group, reported_at_by_front)
            self.purges.append((group, self.now))
            for front in self.fronts:
                delay_to_front = reported_at_by_front[front.number] - self.now
                self.schedule(delay_to_front, self._deliver_purge, front, group, self.now)

    def _deliver_purge(self, front: Front, group: int, purged_at: int) -> None:
        front.deliver(io.ObjectPurged(group, 0, self.now - purged_at))
