"""What caches, parents and the origin do with an order, in anybody's time: the virtual one's or the loop's.

The host owns the clock and the net and hears what is worth a note; here are stores, fills that are joined,
shared sending, cold starts and what befalls a machine.
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

FETCH_TIME_FACTOR, FETCH_TIMEOUT = (
    0.4,
    2 * SECOND,
)  # a fill's sending time over a client's; when one is given up
DRAIN_DURATION, PURGE_SETTLE_TIME = (
    3 * SECOND,
    6 * SECOND,
)  # from a drain's notice to its end; until a purge is carried out
ON_MACHINES = frozenset((FaultKind.CRASH, FaultKind.LOST, FaultKind.SLOW, FaultKind.DRAIN))
Key = tuple[int, int]  # object and part
Waiter = Callable[[int | None], None]  # hears when the copy was minted, or that none came


class MachineAttempt(Protocol):
    """An attempt as a machine sees it. Equal only to itself."""

    @property
    def number(self) -> int: ...  # the request's
    @property
    def cls(self) -> int: ...
    @property
    def key(self) -> Key: ...
    @property
    def machine(self) -> int: ...
    @property
    def source(self) -> int | None: ...
    @property
    def max_copy_age(self) -> int: ...  # ns; 0: the class's own
    @property
    def join(self) -> bool: ...
    @property
    def held_only(self) -> bool: ...  # the source gives only what it holds


class MachineHost(Protocol):
    @property
    def now(self) -> int: ...  # ns
    def schedule(self, wait: int, what: Callable[..., None], *about: Any) -> None: ...
    def reply(
        self,
        attempt: Any,
        outcome: AttemptOutcome,
        cache_status: CacheStatus,
        waited: int,
        minted: int | None,
    ) -> None: ...
    def on_endpoints_changed(self, machines: Sequence[Machine]) -> None:
        """The list says something else of these now."""

    def on_effect_run(self, request: int, machine: int) -> None: ...
    def on_cold_request(self, machine: int, work: float) -> None: ...
    def on_cold_machine_overloaded(self, machine: int, request: int) -> None: ...
    def on_fetch_started(self, machine: int, source: int) -> None: ...
    def on_origin_fetch(self, by: int) -> None: ...


class Machine:
    """One cache, parent or the origin. What it is asked takes its continuations along."""

    def __init__(self, number: int, index: int, kind: int, zone: int, born: int, plan: Experiment) -> None:
        fleet = plan.fleet
        self.send_capacity: float = (fleet.cache_sends, fleet.parent_sends, fleet.origin_runs)[kind]
        self.max_copies = (fleet.cache_keeps, fleet.parent_keeps, 1)[kind]
        self.number, self.index, self.kind, self.zone, self.started_at = number, index, kind, zone, born
        self.state, self.endpoint_state, self.experiment = "up", EndpointState.READY, plan
        self.sending, self.store = ProcessorSharing(self.send_capacity), CopyStore(self.max_copies)
        self.cold = self._cold_start()
        self.fetch_waiters: dict[Key, list[Waiter]] = {}
        self.active_attempts: dict[Any, int] = {}  # orders here, and their transfer (0: none yet)
        self.completion_check = 0  # the next look at the share that counts

    def _cold_start(self) -> ColdStart:
        f = self.experiment.fleet
        born = 0 if self.kind == ORIGIN else self.started_at
        return ColdStart(
            born, f.cold_from, f.cold_s, f.fall_multiple, int(f.fall_s * SECOND), self.send_capacity
        )

    def cold_restart(self, now: int) -> None:
        """It starts anew."""
        self.started_at, self.state = now, "up"
        self.sending.clear(now)
        self.sending.advance(now)
        self.store, self.cold = CopyStore(self.max_copies), self._cold_start()
        self.fetch_waiters.clear()
        self.active_attempts.clear()

    def to_endpoint(self) -> io.Endpoint:
        zone = self.zone if self.kind == EDGE else 0
        return io.Endpoint(
            self.number, self.kind, zone, self.zone, self.send_capacity, self.started_at, self.endpoint_state
        )


class Machines:
    def __init__(self, host: MachineHost, plan: Experiment, chance: random.Random) -> None:
        self.host, self.experiment, self.random = host, plan, chance
        self.machine_by_number: dict[int, Machine] = {}
        self.purged_before: dict[int, int] = {}  # by group: when it was purged, once that has settled
        self.machine_count = 0
        fleet = plan.fleet
        for n in range(fleet.caches):
            self.add_machine(EDGE, 1 + n % fleet.zones, 0)
        for n in range(fleet.parents):
            self.add_machine(PARENT, 1 + n % fleet.zones, 0)
        self.origin = self.add_machine(ORIGIN, 0, 0)

    def add_machine(self, kind: int, zone: int, born: int) -> Machine:
        self.machine_count += 1
        digest = hashlib.blake2b(b"%d" % self.machine_count, digest_size=4).digest()
        number = int.from_bytes(digest, "little") or 1
        machine = self.machine_by_number[number] = Machine(
            number, self.machine_count, kind, zone, born, self.experiment
        )
        return machine

    def endpoints(self) -> tuple[io.Endpoint, ...]:
        return tuple(
            m.to_endpoint()
            for m in self.machine_by_number.values()
            if m.endpoint_state is not EndpointState.GONE
        )

    # Orders

    def on_attempt(self, attempt: MachineAttempt) -> None:
        """An order has come to its machine."""
        machine, now = self.machine_by_number.get(attempt.machine), self.host.now
        if machine is None or machine.state != "up":
            if machine is None or machine.state != "silent":
                self.host.reply(attempt, AttemptOutcome.CONNECT_FAILED, CacheStatus.NONE, 0, None)
            return
        c = self.experiment.classes[attempt.cls]
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
        limit = attempt.max_copy_age or int(c.fresh_s * SECOND)
        minted = machine.store.get(attempt.key)
        if minted is not None and (limit == 0 or now - minted <= limit):
            stale = c.fresh_s > 0 and now - minted > c.fresh_s * SECOND
            self._send_copy(
                attempt, machine, work, CacheStatus.STALE if stale else CacheStatus.HIT, 0, minted
            )
        elif attempt.source is None:
            self._reply(attempt, AttemptOutcome.MISS)
        else:
            self._fetch(attempt, attempt.source, machine, work, limit)

    def cancel(self, attempt: MachineAttempt) -> None:
        """Nobody waits for it any more."""
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
        """Look again when the next transfer ends; an earlier look that was planned is void."""
        machine.completion_check += 1
        due = machine.sending.next_completion()
        if due is not None:
            self.host.schedule(
                max(due - self.host.now, 0), self._check_completions, machine, machine.completion_check
            )

    def _check_completions(self, machine: Machine, look: int) -> None:
        if look == machine.completion_check and machine.state == "up":
            for then in machine.sending.pop_completed(self.host.now):
                then()
            self._schedule_completion_check(machine)

    def _accept_work(self, machine: Machine, work: float, request: int) -> bool:
        """Whether it stands so much more; else it has fallen over."""
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
        """The transfer to the front, and its answer at the end."""
        if attempt not in machine.active_attempts:  # called off, or the machine went down
            return

        def sent() -> None:
            self._reply(attempt, AttemptOutcome.OK, cache_status, waited, minted)

        machine.active_attempts[attempt] = self._start_transfer(
            machine, work / machine.cold.capacity_share(self.host.now), sent
        )

    def _fetch_from_origin(self, attempt: MachineAttempt, then: Callable[[int], None]) -> None:
        """One fetch at the origin: work there, then the copy it gives out. A write runs there."""
        self.host.on_origin_fetch(attempt.machine)
        if self.experiment.classes[attempt.cls].never_kept:
            self.host.on_effect_run(attempt.number, self.origin.number)
        work = self.experiment.fleet.origin_ms * MS
        self._start_transfer(self.origin, work, lambda: then(self.host.now))

    def _fetch(self, attempt: MachineAttempt, source: int, machine: Machine, work: float, limit: int) -> None:
        began, key, kept = self.host.now, attempt.key, not self.experiment.classes[attempt.cls].never_kept
        waiting = machine.fetch_waiters.get(key)

        def filled(cache_status: CacheStatus) -> Waiter:
            def come(minted: int | None) -> None:
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

            return come

        if attempt.join and kept and waiting is not None:
            waiting.append(filled(CacheStatus.COLLAPSED))
            return
        at = self.machine_by_number.get(source)
        far = at is not None and at.kind == ORIGIN
        mine: list[Waiter] = [filled(CacheStatus.FROM_ORIGIN if far else CacheStatus.FILLED)]
        if not attempt.held_only:  # nobody waits for what may be a miss
            machine.fetch_waiters[key] = mine
        self.host.on_fetch_started(machine.number, source)

        def done(minted: int | None) -> None:
            if machine.fetch_waiters.get(key) is mine:
                del machine.fetch_waiters[key]
            if minted is not None and minted >= 0 and machine.state == "up" and kept:
                self._store_copy(machine, key, minted)
            waiters, mine[:] = list(mine), []
            for one in waiters:
                one(minted)

        self.host.schedule(FETCH_TIMEOUT, lambda: done(None) if mine else None)
        way = int(self.experiment.fleet.far_ms * MS)
        self.host.schedule(way, self._serve_fetch, attempt, at, work, limit, done, way)

    def _serve_fetch(
        self, attempt: MachineAttempt, source: Machine | None, work: float, limit: int, done: Waiter, way: int
    ) -> None:
        """At the source of a fill: what it holds, or what it fetches from the origin."""
        host, key = self.host, attempt.key
        if source is None or source.state != "up":
            if source is None or source.state != "silent":
                host.schedule(way, done, None)
            return
        if not self._accept_work(source, work, attempt.number):
            host.schedule(way, done, None)
            return

        def pass_on(minted: int | None) -> None:
            if minted is not None:
                sending = FETCH_TIME_FACTOR * work / source.cold.capacity_share(host.now)
                self._start_transfer(source, sending, lambda: host.schedule(way, done, minted))

        def straight(minted: int) -> None:
            host.schedule(way, done, minted)

        if source.kind == ORIGIN or self.experiment.classes[attempt.cls].never_kept:
            self._fetch_from_origin(attempt, straight)
            return
        minted = source.store.get(key)
        if minted is not None and (limit == 0 or host.now - minted <= limit):
            pass_on(minted)
            return
        if attempt.held_only:  # it gives nothing that it does not hold: a miss
            host.schedule(way, done, -1)
            return
        waiting = source.fetch_waiters.get(key)
        if waiting is not None:
            waiting.append(pass_on)
            return
        mine: list[Waiter] = [pass_on]
        source.fetch_waiters[key] = mine

        def fetched(minted: int) -> None:
            if source.fetch_waiters.get(key) is mine:
                del source.fetch_waiters[key]
                self._store_copy(source, key, minted)
                for one in mine:
                    one(minted)

        self._fetch_from_origin(attempt, fetched)

    # What befalls them

    def stop_machine(self, machine: Machine, state: str) -> None:
        machine.state = state
        machine.completion_check += 1
        machine.sending.clear(self.host.now)
        machine.fetch_waiters.clear()
        out, machine.active_attempts = list(machine.active_attempts), {}
        if state != "silent":
            for attempt in out:
                self.host.reply(attempt, AttemptOutcome.RESET, CacheStatus.NONE, 0, None)

    def restart_machine(self, machine: Machine) -> None:
        if machine.endpoint_state is not EndpointState.GONE:
            machine.cold_restart(self.host.now)
            self.host.on_endpoints_changed((machine,))

    def inject_fault(self, fault: Fault) -> None:
        """A fault of one tier (ON_MACHINES)."""
        struck = [m for m in self.machine_by_number.values() if m.kind == fault.tier and m.state == "up"]
        struck = self.random.sample(struck, min(max(round(fault.part * len(struck)), 1), len(struck)))
        lasts = int(fault.lasts * SECOND)
        for n, machine in enumerate(struck):
            match fault.kind:
                case FaultKind.CRASH | FaultKind.LOST:
                    self.stop_machine(machine, "dead" if fault.kind is FaultKind.CRASH else "silent")
                    self.host.schedule(lasts, self.restart_machine, machine)
                case FaultKind.SLOW:
                    self._set_slowdown(machine, fault.size)
                    self.host.schedule(lasts, self._set_slowdown, machine, 1.0)
                case FaultKind.DRAIN:
                    self.host.schedule(int(lasts * n / len(struck)), self._start_drain, machine)

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
        """The groups, drawn by chance; each machine drops what is older within the time a purge settles."""
        groups = self.experiment.load.groups
        chosen = self.random.sample(range(groups), max(round(part * groups), 1))
        for machine in self.machine_by_number.values():
            wait = int(self.random.uniform(0, 1) * PURGE_SETTLE_TIME)
            self.host.schedule(wait, self._drop_purged_copies, machine, frozenset(chosen), self.host.now)
        self.host.schedule(PURGE_SETTLE_TIME, self._complete_purge, frozenset(chosen), self.host.now)
        return chosen

    def _complete_purge(self, groups: frozenset[int], before: int) -> None:
        """From now on no machine has an older copy or keeps one that comes later.

        One that had dropped its own may have been filled with another's meanwhile.
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
