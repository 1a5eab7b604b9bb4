"""Simulated caches, parents and origin, for virtual time or an event loop.

The host provides the clock and the network and is notified of notable events. This module holds the copies,
joined fetches, shared sending capacity, cold starts and faults of the machines. `minted` is the time at which
the origin produced a copy. Times are nanoseconds of the host's clock.
"""

from __future__ import annotations

import hashlib
import random
from collections.abc import Callable, Sequence
from typing import Any, Protocol

from quincepier import interface as io
from quincepier.interface import AttemptOutcome, CacheStatus, EndpointState
from quincepier.lab.experiment import EDGE, MS, ORIGIN, PARENT, SECOND, Experiment, Fault, FaultKind
from quincepier.lab.machine_model import ColdStart, CopyStore, ProcessorSharing

# transfer time to another machine over that to a client; when a fetch is given up
FETCH_TIME_FACTOR, FETCH_TIMEOUT = 0.4, 2 * SECOND
# from the start of a drain to its end; until a purge is complete
DRAIN_DURATION, PURGE_SETTLE_TIME = 3 * SECOND, 6 * SECOND
ON_MACHINES = frozenset((FaultKind.CRASH, FaultKind.LOST, FaultKind.SLOW, FaultKind.DRAIN))
Key = tuple[int, int]  # object and part
Waiter = Callable[[int | None], None]  # called with `minted`; None: the fetch failed, negative: a miss


class MachineAttempt(Protocol):
    """An attempt as a machine sees it. Compared by identity."""

    @property
    def number(self) -> int: ...  # of the request
    @property
    def cls(self) -> int: ...
    @property
    def key(self) -> Key: ...
    @property
    def machine(self) -> int: ...
    @property
    def source(self) -> int | None: ...
    @property
    def max_copy_age(self) -> int: ...  # ns; 0: the class's limit
    @property
    def join(self) -> bool: ...
    @property
    def held_only(self) -> bool: ...  # the source may only use a copy that it holds


class MachineHost(Protocol):
    """The clock and network of the machines, and the observer of their events."""

    @property
    def now(self) -> int: ...  # ns
    def schedule(self, wait: int, callback: Callable[..., None], *arguments: Any) -> None:
        """Call `callback` in `wait` ns."""

    def reply(
        self,
        attempt: Any,
        outcome: AttemptOutcome,
        cache_status: CacheStatus,
        waited: int,
        minted: int | None,
    ) -> None:
        """Send the result of an attempt to its front."""

    def on_endpoints_changed(self, machines: Sequence[Machine]) -> None:
        """The endpoint list has changed for these machines."""

    def on_effect_run(self, request: int, machine: int) -> None:
        """A request that is never cached takes effect at a machine."""

    def on_cold_request(self, machine: int, work: float) -> None:
        """A cold machine receives work (ns at full speed)."""

    def on_cold_machine_overloaded(self, machine: int, request: int) -> None:
        """A request overloads a cold machine, which crashes."""

    def on_fetch_started(self, machine: int, source: int) -> None:
        """A machine starts a fetch from a source."""

    def on_origin_fetch(self, by: int) -> None:
        """The origin starts a fetch for machine `by`."""


class Machine:
    """One cache, parent or the origin.

    Attributes:
        number: Id in the endpoint list.
        index: Serial number, from 1.
        state: "up", "dead" (refuses connections) or "silent" (answers nothing).
        endpoint_state: State in the endpoint list.
        send_capacity: Concurrent transfers at full speed.
        fetch_waiters: Callbacks that wait for a fetch, by key.
        active_attempts: Attempts under way with their transfer number; 0 before the transfer starts.
        completion_check: Number of the latest scheduled completion check; earlier ones are void.
    """

    def __init__(
        self, number: int, index: int, kind: int, zone: int, born: int, experiment: Experiment
    ) -> None:
        fleet = experiment.fleet
        self.send_capacity: float = (fleet.cache_sends, fleet.parent_sends, fleet.origin_runs)[kind]
        self.max_copies = (fleet.cache_keeps, fleet.parent_keeps, 1)[kind]
        self.number, self.index, self.kind, self.zone, self.started_at = number, index, kind, zone, born
        self.state, self.endpoint_state, self.experiment = "up", EndpointState.READY, experiment
        self.sending, self.store = ProcessorSharing(self.send_capacity), CopyStore(self.max_copies)
        self.cold = self._cold_start()
        self.fetch_waiters: dict[Key, list[Waiter]] = {}
        self.active_attempts: dict[Any, int] = {}
        self.completion_check = 0

    def _cold_start(self) -> ColdStart:
        f = self.experiment.fleet
        born = 0 if self.kind == ORIGIN else self.started_at
        return ColdStart(
            born, f.cold_from, f.cold_s, f.fall_multiple, int(f.fall_s * SECOND), self.send_capacity
        )

    def cold_restart(self, now: int) -> None:
        """Restart with an empty store."""
        self.started_at, self.state = now, "up"
        self.sending.clear(now)
        self.sending.advance(now)
        self.store, self.cold = CopyStore(self.max_copies), self._cold_start()
        self.fetch_waiters.clear()
        self.active_attempts.clear()

    def to_endpoint(self) -> io.Endpoint:
        """Return the machine's entry of the endpoint list."""
        zone = self.zone if self.kind == EDGE else 0
        return io.Endpoint(
            self.number, self.kind, zone, self.zone, self.send_capacity, self.started_at, self.endpoint_state
        )


class Machines:
    """All machines of a deployment.

    Attributes:
        purged_before: Time of the last completed purge by group; older copies are no longer stored.
        machine_count: Machines created so far.
    """

    def __init__(self, host: MachineHost, experiment: Experiment, rng: random.Random) -> None:
        self.host, self.experiment, self.random = host, experiment, rng
        self.machine_by_number: dict[int, Machine] = {}
        self.purged_before: dict[int, int] = {}
        self.machine_count = 0
        fleet = experiment.fleet
        for n in range(fleet.caches):
            self.add_machine(EDGE, 1 + n % fleet.zones, 0)
        for n in range(fleet.parents):
            self.add_machine(PARENT, 1 + n % fleet.zones, 0)
        self.origin = self.add_machine(ORIGIN, 0, 0)

    def add_machine(self, kind: int, zone: int, born: int) -> Machine:
        """Add a machine that started at `born`, ns; 0: long ago, so it is warm."""
        self.machine_count += 1
        digest = hashlib.blake2b(b"%d" % self.machine_count, digest_size=4).digest()
        number = int.from_bytes(digest, "little") or 1
        machine = self.machine_by_number[number] = Machine(
            number, self.machine_count, kind, zone, born, self.experiment
        )
        return machine

    def endpoints(self) -> tuple[io.Endpoint, ...]:
        """Return the endpoint list."""
        return tuple(
            m.to_endpoint()
            for m in self.machine_by_number.values()
            if m.endpoint_state is not EndpointState.GONE
        )

    # Attempts

    def on_attempt(self, attempt: MachineAttempt) -> None:
        """Handle an attempt that arrived at its machine."""
        machine, now = self.machine_by_number.get(attempt.machine), self.host.now
        if machine is None or machine.state != "up":
            if machine is None or machine.state != "silent":
                self.host.reply(attempt, AttemptOutcome.CONNECT_FAILED, CacheStatus.NONE, 0, None)
            return
        request_class = self.experiment.classes[attempt.cls]
        work = self.experiment.send_time_ns(attempt.cls, attempt.key[0])
        if not self._accept_work(machine, work, attempt.number):
            self.host.reply(attempt, AttemptOutcome.RESET, CacheStatus.NONE, 0, None)
            return
        machine.active_attempts[attempt] = 0
        if machine.kind == ORIGIN:
            self._fetch_from_origin(
                attempt, lambda minted: self._send_copy(attempt, machine, work, CacheStatus.NONE, 0, minted)
            )
            return
        limit = attempt.max_copy_age or int(request_class.fresh_s * SECOND)
        minted = machine.store.get(attempt.key)
        if minted is not None and (limit == 0 or now - minted <= limit):
            stale = request_class.fresh_s > 0 and now - minted > request_class.fresh_s * SECOND
            self._send_copy(
                attempt, machine, work, CacheStatus.STALE if stale else CacheStatus.HIT, 0, minted
            )
        elif attempt.source is None:
            self._reply(attempt, AttemptOutcome.MISS)
        else:
            self._fetch(attempt, attempt.source, machine, work, limit)

    def cancel(self, attempt: MachineAttempt) -> None:
        """Cancel an attempt: its transfer stops, and no reply is sent."""
        machine = self.machine_by_number.get(attempt.machine)
        if machine is not None:
            transfer = machine.active_attempts.pop(attempt, None)
            if transfer:
                machine.sending.cancel(self.host.now, transfer)
                self._schedule_completion_check(machine)

    def _reply(
        self,
        attempt: MachineAttempt,
        outcome: AttemptOutcome,
        cache_status: CacheStatus = CacheStatus.NONE,
        waited: int = 0,
        minted: int | None = None,
    ) -> None:
        machine = self.machine_by_number.get(attempt.machine)
        if machine is not None:
            machine.active_attempts.pop(attempt, None)
        self.host.reply(attempt, outcome, cache_status, waited, minted)

    def _start_transfer(self, machine: Machine, work: float, then: Callable[[], None]) -> int:
        number = machine.sending.start(self.host.now, work, then)
        self._schedule_completion_check(machine)
        return number

    def _schedule_completion_check(self, machine: Machine) -> None:
        """Schedule a check for the end of the next transfer; checks scheduled before are void."""
        machine.completion_check += 1
        due = machine.sending.next_completion()
        if due is not None:
            self.host.schedule(
                max(due - self.host.now, 0), self._check_completions, machine, machine.completion_check
            )

    def _check_completions(self, machine: Machine, check: int) -> None:
        if check == machine.completion_check and machine.state == "up":
            for then in machine.sending.pop_completed(self.host.now):
                then()
            self._schedule_completion_check(machine)

    def _accept_work(self, machine: Machine, work: float, request: int) -> bool:
        """Add work to a cold machine; return False if that overloads it, and it crashes."""
        if machine.kind == ORIGIN or not machine.cold.started_at:
            return True
        self.host.on_cold_request(machine.number, work)
        if not machine.cold.add_request(self.host.now, work):
            return True
        self.host.on_cold_machine_overloaded(machine.number, request)
        self.stop_machine(machine, "dead")
        return False

    def _send_copy(
        self,
        attempt: MachineAttempt,
        machine: Machine,
        work: float,
        cache_status: CacheStatus,
        waited: int,
        minted: int | None,
    ) -> None:
        """Transfer a copy to the front and reply when the transfer is complete."""
        if attempt not in machine.active_attempts:  # cancelled, or the machine stopped
            return

        def sent() -> None:
            self._reply(attempt, AttemptOutcome.OK, cache_status, waited, minted)

        machine.active_attempts[attempt] = self._start_transfer(
            machine, work / machine.cold.capacity_share(self.host.now), sent
        )

    def _fetch_from_origin(self, attempt: MachineAttempt, then: Callable[[int], None]) -> None:
        """Do a fetch's work at the origin, then call `then` with the copy's time. Writes take effect here."""
        self.host.on_origin_fetch(attempt.machine)
        if self.experiment.classes[attempt.cls].never_kept:
            self.host.on_effect_run(attempt.number, self.origin.number)
        work = self.experiment.fleet.origin_ms * MS
        self._start_transfer(self.origin, work, lambda: then(self.host.now))

    def _fetch(self, attempt: MachineAttempt, source: int, machine: Machine, work: float, limit: int) -> None:
        began, key, kept = self.host.now, attempt.key, not self.experiment.classes[attempt.cls].never_kept
        waiting = machine.fetch_waiters.get(key)

        def make_waiter(cache_status: CacheStatus) -> Waiter:
            def on_fetched(minted: int | None) -> None:
                if minted is None:  # a write that may have run is an error
                    self._reply(
                        attempt,
                        AttemptOutcome.OVERLOADED if kept else AttemptOutcome.ERROR,
                        CacheStatus.SOURCE_BROKEN,
                    )
                elif minted < 0 or (limit and self.host.now - minted > limit):
                    self._reply(attempt, AttemptOutcome.MISS)
                else:
                    self._send_copy(attempt, machine, work, cache_status, self.host.now - began, minted)

            return on_fetched

        if attempt.join and kept and waiting is not None:
            waiting.append(make_waiter(CacheStatus.COLLAPSED))
            return
        source_machine = self.machine_by_number.get(source)
        far = source_machine is not None and source_machine.kind == ORIGIN
        waiters: list[Waiter] = [make_waiter(CacheStatus.FROM_ORIGIN if far else CacheStatus.FILLED)]
        if not attempt.held_only:  # such a fetch may be a miss, so no other attempt joins it
            machine.fetch_waiters[key] = waiters
        self.host.on_fetch_started(machine.number, source)

        def done(minted: int | None) -> None:
            if machine.fetch_waiters.get(key) is waiters:
                del machine.fetch_waiters[key]
            if minted is not None and minted >= 0 and machine.state == "up" and kept:
                self._store_copy(machine, key, minted)
            to_notify, waiters[:] = list(waiters), []
            for waiter in to_notify:
                waiter(minted)

        self.host.schedule(FETCH_TIMEOUT, lambda: done(None) if waiters else None)
        delay = int(self.experiment.fleet.far_ms * MS)
        self.host.schedule(delay, self._serve_fetch, attempt, source_machine, work, limit, done, delay)

    def _serve_fetch(
        self,
        attempt: MachineAttempt,
        source: Machine | None,
        work: float,
        limit: int,
        done: Waiter,
        delay: int,
    ) -> None:
        """Serve a fetch at its source: from its store, or else from the origin."""
        host, key = self.host, attempt.key
        if source is None or source.state != "up":
            if source is None or source.state != "silent":
                host.schedule(delay, done, None)
            return
        if not self._accept_work(source, work, attempt.number):
            host.schedule(delay, done, None)
            return

        def send_to_cache(minted: int | None) -> None:
            if minted is not None:
                sending = FETCH_TIME_FACTOR * work / source.cold.capacity_share(host.now)
                self._start_transfer(source, sending, lambda: host.schedule(delay, done, minted))

        def send_without_storing(minted: int) -> None:
            host.schedule(delay, done, minted)

        if source.kind == ORIGIN or self.experiment.classes[attempt.cls].never_kept:
            self._fetch_from_origin(attempt, send_without_storing)
            return
        minted = source.store.get(key)
        if minted is not None and (limit == 0 or host.now - minted <= limit):
            send_to_cache(minted)
            return
        if attempt.held_only:  # it must not fetch: a miss
            host.schedule(delay, done, -1)
            return
        waiting = source.fetch_waiters.get(key)
        if waiting is not None:
            waiting.append(send_to_cache)
            return
        waiters: list[Waiter] = [send_to_cache]
        source.fetch_waiters[key] = waiters

        def fetched(minted: int) -> None:
            if source.fetch_waiters.get(key) is waiters:
                del source.fetch_waiters[key]
                self._store_copy(source, key, minted)
                for waiter in waiters:
                    waiter(minted)

        self._fetch_from_origin(attempt, fetched)

    # Faults and purges

    def stop_machine(self, machine: Machine, state: str) -> None:
        """Stop a machine; unless it becomes "silent", its attempts are reset."""
        machine.state = state
        machine.completion_check += 1
        machine.sending.clear(self.host.now)
        machine.fetch_waiters.clear()
        attempts, machine.active_attempts = list(machine.active_attempts), {}
        if state != "silent":
            for attempt in attempts:
                self.host.reply(attempt, AttemptOutcome.RESET, CacheStatus.NONE, 0, None)

    def restart_machine(self, machine: Machine) -> None:
        """Restart a machine empty and cold, unless it was removed from the endpoint list."""
        if machine.endpoint_state is not EndpointState.GONE:
            machine.cold_restart(self.host.now)
            self.host.on_endpoints_changed((machine,))

    def inject_fault(self, fault: Fault) -> None:
        """Start a fault of kind ON_MACHINES on a random part of its tier."""
        affected = [m for m in self.machine_by_number.values() if m.kind == fault.tier and m.state == "up"]
        affected = self.random.sample(affected, min(max(round(fault.part * len(affected)), 1), len(affected)))
        lasts = int(fault.lasts * SECOND)
        for n, machine in enumerate(affected):
            match fault.kind:
                case FaultKind.CRASH | FaultKind.LOST:
                    self.stop_machine(machine, "dead" if fault.kind is FaultKind.CRASH else "silent")
                    self.host.schedule(lasts, self.restart_machine, machine)
                case FaultKind.SLOW:
                    self._set_slowdown(machine, fault.size)
                    self.host.schedule(lasts, self._set_slowdown, machine, 1.0)
                case FaultKind.DRAIN:
                    self.host.schedule(int(lasts * n / len(affected)), self._start_drain, machine)

    def _set_slowdown(self, machine: Machine, slower: float) -> None:
        machine.sending.advance(self.host.now)
        machine.sending.slowdown = max(slower, 0.01)
        self._schedule_completion_check(machine)

    def _start_drain(self, machine: Machine) -> None:
        machine.endpoint_state = EndpointState.DRAINING
        self.host.on_endpoints_changed((machine,))
        self.host.schedule(DRAIN_DURATION, self._replace_drained, machine)

    def _replace_drained(self, machine: Machine) -> None:
        self.stop_machine(machine, "dead")
        machine.endpoint_state = EndpointState.GONE
        new = self.add_machine(machine.kind, machine.zone, self.host.now)
        self.host.on_endpoints_changed((machine, new))

    def purge(self, part: float) -> list[int]:
        """Purge and return a random share of the groups; each machine drops its copies at a random time."""
        groups = self.experiment.load.groups
        chosen = self.random.sample(range(groups), max(round(part * groups), 1))
        for machine in self.machine_by_number.values():
            wait = int(self.random.uniform(0, 1) * PURGE_SETTLE_TIME)
            self.host.schedule(wait, self._drop_purged_copies, machine, frozenset(chosen), self.host.now)
        self.host.schedule(PURGE_SETTLE_TIME, self._complete_purge, frozenset(chosen), self.host.now)
        return chosen

    def _complete_purge(self, groups: frozenset[int], before: int) -> None:
        """Drop the remaining copies from before the purge, and store no such copy from now on.

        A machine that had dropped its copy may since have fetched an old one from another machine.
        """
        self.purged_before.update(dict.fromkeys(groups, before))
        for machine in self.machine_by_number.values():
            self._drop_purged_copies(machine, groups, before)

    def _store_copy(self, machine: Machine, key: Key, minted: int) -> None:
        if minted >= self.purged_before.get(self.experiment.group_of_object(key[0]), 0):
            machine.store.put(key, minted)

    def _drop_purged_copies(self, machine: Machine, groups: frozenset[int], before: int) -> None:
        for key, minted in list(machine.store.copies.items()):
            if (
                minted < before
                and isinstance(key, tuple)
                and self.experiment.group_of_object(key[0]) in groups
            ):
                del machine.store.copies[key]
