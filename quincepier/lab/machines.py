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
from quincepier.lab.experiment import EDGE, MS, ORIGIN, PARENT, SECOND, Experiment, Fault, Kind
from quincepier.lab.model import Cold, Sharing, Store

FILL_PACE, FILL_WITHIN = 0.4, 2 * SECOND  # a fill's sending time over a client's; when one is given up
DRAINS_FOR, SETTLES = 3 * SECOND, 6 * SECOND  # from a drain's notice to its end; until a purge is carried out
ON_MACHINES = frozenset((Kind.CRASH, Kind.LOST, Kind.SLOW, Kind.DRAIN))
Key = tuple[int, int]  # object and part
Waiter = Callable[[int | None], None]  # hears when the copy was minted, or that none came


class Order(Protocol):
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
    def age(self) -> int: ...  # ns; 0: the class's own
    @property
    def join(self) -> bool: ...
    @property
    def held(self) -> bool: ...  # the source gives only what it holds


class Host(Protocol):
    @property
    def now(self) -> int: ...  # ns
    def after(self, wait: int, what: Callable[..., None], *about: Any) -> None: ...
    def reply(
        self, order: Any, ending: AttemptOutcome, note: CacheStatus, waited: int, minted: int | None
    ) -> None: ...
    def listed(self, machines: Sequence[Machine]) -> None:
        """The list says something else of these now."""

    def ran(self, request: int, machine: int) -> None: ...
    def asked_cold(self, machine: int, work: float) -> None: ...
    def fell(self, machine: int, request: int) -> None: ...
    def filled(self, machine: int, source: int) -> None: ...
    def fetched(self, by: int) -> None: ...


class Machine:
    """One cache, parent or the origin. What it is asked takes its continuations along."""

    def __init__(self, number: int, index: int, kind: int, zone: int, born: int, plan: Experiment) -> None:
        fleet = plan.fleet
        self.sends: float = (fleet.cache_sends, fleet.parent_sends, fleet.origin_runs)[kind]
        self.keeps = (fleet.cache_keeps, fleet.parent_keeps, 1)[kind]
        self.number, self.index, self.kind, self.zone, self.born = number, index, kind, zone, born
        self.state, self.standing, self.plan = "up", EndpointState.READY, plan
        self.share, self.store = Sharing(self.sends), Store(self.keeps)
        self.cold = self._cold()
        self.filling: dict[Key, list[Waiter]] = {}
        self.out: dict[Any, int] = {}  # orders here, and their transfer (0: none yet)
        self.looks = 0  # the next look at the share that counts

    def _cold(self) -> Cold:
        f = self.plan.fleet
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

    def as_listed(self) -> io.Endpoint:
        zone = self.zone if self.kind == EDGE else 0
        return io.Endpoint(self.number, self.kind, zone, self.zone, self.sends, self.born, self.standing)


class Machines:
    def __init__(self, host: Host, plan: Experiment, chance: random.Random) -> None:
        self.host, self.plan, self.chance = host, plan, chance
        self.all: dict[int, Machine] = {}
        self.purged_before: dict[int, int] = {}  # by group: when it was purged, once that has settled
        self.made = 0
        fleet = plan.fleet
        for n in range(fleet.caches):
            self.make(EDGE, 1 + n % fleet.zones, 0)
        for n in range(fleet.parents):
            self.make(PARENT, 1 + n % fleet.zones, 0)
        self.origin = self.make(ORIGIN, 0, 0)

    def make(self, kind: int, zone: int, born: int) -> Machine:
        self.made += 1
        digest = hashlib.blake2b(b"%d" % self.made, digest_size=4).digest()
        number = int.from_bytes(digest, "little") or 1
        machine = self.all[number] = Machine(number, self.made, kind, zone, born, self.plan)
        return machine

    def listed(self) -> tuple[io.Endpoint, ...]:
        return tuple(m.as_listed() for m in self.all.values() if m.standing is not EndpointState.GONE)

    # Orders

    def reach(self, order: Order) -> None:
        """An order has come to its machine."""
        machine, now = self.all.get(order.machine), self.host.now
        if machine is None or machine.state != "up":
            if machine is None or machine.state != "silent":
                self.host.reply(order, AttemptOutcome.CONNECT_FAILED, CacheStatus.NONE, 0, None)
            return
        c = self.plan.classes[order.cls]
        work = self.plan.sending(order.cls, order.key[0])
        if not self._asked(machine, work, order.number):
            self.host.reply(order, AttemptOutcome.RESET, CacheStatus.NONE, 0, None)
            return
        machine.out[order] = 0
        if machine.kind == ORIGIN:
            self._from_origin(
                order, lambda minted: self._deliver(order, machine, work, CacheStatus.NONE, 0, minted)
            )
            return
        limit = order.age or int(c.fresh_s * SECOND)
        minted = machine.store.get(order.key)
        if minted is not None and (limit == 0 or now - minted <= limit):
            stale = c.fresh_s > 0 and now - minted > c.fresh_s * SECOND
            self._deliver(order, machine, work, CacheStatus.STALE if stale else CacheStatus.HIT, 0, minted)
        elif order.source is None:
            self._reply(order, AttemptOutcome.MISS)
        else:
            self._fill(order, order.source, machine, work, limit)

    def stop(self, order: Order) -> None:
        """Nobody waits for it any more."""
        machine = self.all.get(order.machine)
        if machine is not None:
            transfer = machine.out.pop(order, None)
            if transfer:
                machine.share.stop(self.host.now, transfer)
                self._look(machine)

    def _reply(
        self,
        order: Order,
        ending: AttemptOutcome,
        note: CacheStatus = CacheStatus.NONE,
        waited: int = 0,
        minted: int | None = None,
    ) -> None:
        machine = self.all.get(order.machine)
        if machine is not None:
            machine.out.pop(order, None)
        self.host.reply(order, ending, note, waited, minted)

    def _transfer(self, machine: Machine, work: float, then: Callable[[], None]) -> int:
        number = machine.share.begin(self.host.now, work, then)
        self._look(machine)
        return number

    def _look(self, machine: Machine) -> None:
        """Look again when the next transfer ends; an earlier look that was planned is void."""
        machine.looks += 1
        due = machine.share.next()
        if due is not None:
            self.host.after(max(due - self.host.now, 0), self._looked, machine, machine.looks)

    def _looked(self, machine: Machine, look: int) -> None:
        if look == machine.looks and machine.state == "up":
            for then in machine.share.done(self.host.now):
                then()
            self._look(machine)

    def _asked(self, machine: Machine, work: float, request: int) -> bool:
        """Whether it stands so much more; else it has fallen over."""
        if machine.kind == ORIGIN or not machine.cold.born:
            return True
        self.host.asked_cold(machine.number, work)
        if not machine.cold.ask(self.host.now, work):
            return True
        self.host.fell(machine.number, request)
        self.down(machine, "dead")
        return False

    def _deliver(
        self, order: Order, machine: Machine, work: float, note: CacheStatus, waited: int, minted: int | None
    ) -> None:
        """The transfer to the front, and its answer at the end."""
        if order not in machine.out:  # called off, or the machine went down
            return

        def sent() -> None:
            self._reply(order, AttemptOutcome.OK, note, waited, minted)

        machine.out[order] = self._transfer(machine, work / machine.cold.share(self.host.now), sent)

    def _from_origin(self, order: Order, then: Callable[[int], None]) -> None:
        """One fetch at the origin: work there, then the copy it gives out. A write runs there."""
        self.host.fetched(order.machine)
        if self.plan.classes[order.cls].never_kept:
            self.host.ran(order.number, self.origin.number)
        work = self.plan.fleet.origin_ms * MS
        self._transfer(self.origin, work, lambda: then(self.host.now))

    def _fill(self, order: Order, source: int, machine: Machine, work: float, limit: int) -> None:
        began, key, kept = self.host.now, order.key, not self.plan.classes[order.cls].never_kept
        waiting = machine.filling.get(key)

        def filled(note: CacheStatus) -> Waiter:
            def come(minted: int | None) -> None:
                if minted is None:  # a write that may have run is an error
                    self._reply(
                        order,
                        AttemptOutcome.OVERLOADED if kept else AttemptOutcome.ERROR,
                        CacheStatus.SOURCE_BROKEN,
                    )
                elif minted < 0 or (limit and self.host.now - minted > limit):
                    self._reply(order, AttemptOutcome.MISS)
                else:
                    self._deliver(order, machine, work, note, self.host.now - began, minted)

            return come

        if order.join and kept and waiting is not None:
            waiting.append(filled(CacheStatus.COLLAPSED))
            return
        at = self.all.get(source)
        far = at is not None and at.kind == ORIGIN
        mine: list[Waiter] = [filled(CacheStatus.FROM_ORIGIN if far else CacheStatus.FILLED)]
        if not order.held:  # nobody waits for what may be a miss
            machine.filling[key] = mine
        self.host.filled(machine.number, source)

        def done(minted: int | None) -> None:
            if machine.filling.get(key) is mine:
                del machine.filling[key]
            if minted is not None and minted >= 0 and machine.state == "up" and kept:
                self._keep(machine, key, minted)
            waiters, mine[:] = list(mine), []
            for one in waiters:
                one(minted)

        self.host.after(FILL_WITHIN, lambda: done(None) if mine else None)
        way = int(self.plan.fleet.far_ms * MS)
        self.host.after(way, self._source, order, at, work, limit, done, way)

    def _source(
        self, order: Order, source: Machine | None, work: float, limit: int, done: Waiter, way: int
    ) -> None:
        """At the source of a fill: what it holds, or what it fetches from the origin."""
        host, key = self.host, order.key
        if source is None or source.state != "up":
            if source is None or source.state != "silent":
                host.after(way, done, None)
            return
        if not self._asked(source, work, order.number):
            host.after(way, done, None)
            return

        def pass_on(minted: int | None) -> None:
            if minted is not None:
                sending = FILL_PACE * work / source.cold.share(host.now)
                self._transfer(source, sending, lambda: host.after(way, done, minted))

        def straight(minted: int) -> None:
            host.after(way, done, minted)

        if source.kind == ORIGIN or self.plan.classes[order.cls].never_kept:
            self._from_origin(order, straight)
            return
        minted = source.store.get(key)
        if minted is not None and (limit == 0 or host.now - minted <= limit):
            pass_on(minted)
            return
        if order.held:  # it gives nothing that it does not hold: a miss
            host.after(way, done, -1)
            return
        waiting = source.filling.get(key)
        if waiting is not None:
            waiting.append(pass_on)
            return
        mine: list[Waiter] = [pass_on]
        source.filling[key] = mine

        def fetched(minted: int) -> None:
            if source.filling.get(key) is mine:
                del source.filling[key]
                self._keep(source, key, minted)
                for one in mine:
                    one(minted)

        self._from_origin(order, fetched)

    # What befalls them

    def down(self, machine: Machine, state: str) -> None:
        machine.state = state
        machine.looks += 1
        machine.share.clear(self.host.now)
        machine.filling.clear()
        out, machine.out = list(machine.out), {}
        if state != "silent":
            for order in out:
                self.host.reply(order, AttemptOutcome.RESET, CacheStatus.NONE, 0, None)

    def back(self, machine: Machine) -> None:
        if machine.standing is not EndpointState.GONE:
            machine.empty(self.host.now)
            self.host.listed((machine,))

    def strike(self, fault: Fault) -> None:
        """A fault of one tier (ON_MACHINES)."""
        struck = [m for m in self.all.values() if m.kind == fault.tier and m.state == "up"]
        struck = self.chance.sample(struck, min(max(round(fault.part * len(struck)), 1), len(struck)))
        lasts = int(fault.lasts * SECOND)
        for n, machine in enumerate(struck):
            match fault.kind:
                case Kind.CRASH | Kind.LOST:
                    self.down(machine, "dead" if fault.kind is Kind.CRASH else "silent")
                    self.host.after(lasts, self.back, machine)
                case Kind.SLOW:
                    self._pace(machine, fault.size)
                    self.host.after(lasts, self._pace, machine, 1.0)
                case Kind.DRAIN:
                    self.host.after(int(lasts * n / len(struck)), self._drain, machine)

    def _pace(self, machine: Machine, slower: float) -> None:
        machine.share.move(self.host.now)
        machine.share.slower = max(slower, 0.01)
        self._look(machine)

    def _drain(self, machine: Machine) -> None:
        machine.standing = EndpointState.DRAINING
        self.host.listed((machine,))
        self.host.after(DRAINS_FOR, self._replace, machine)

    def _replace(self, machine: Machine) -> None:
        self.down(machine, "dead")
        machine.standing = EndpointState.GONE
        new = self.make(machine.kind, machine.zone, self.host.now)
        self.host.listed((machine, new))

    def purge(self, part: float) -> list[int]:
        """The groups, drawn by chance; each machine drops what is older within the time a purge settles."""
        groups = self.plan.load.groups
        chosen = self.chance.sample(range(groups), max(round(part * groups), 1))
        for machine in self.all.values():
            wait = int(self.chance.uniform(0, 1) * SETTLES)
            self.host.after(wait, self._sweep, machine, frozenset(chosen), self.host.now)
        self.host.after(SETTLES, self._settle, frozenset(chosen), self.host.now)
        return chosen

    def _settle(self, groups: frozenset[int], before: int) -> None:
        """From now on no machine has an older copy or keeps one that comes later.

        One that had dropped its own may have been filled with another's meanwhile.
        """
        self.purged_before.update(dict.fromkeys(groups, before))
        for machine in self.all.values():
            self._sweep(machine, groups, before)

    def _keep(self, machine: Machine, key: Key, minted: int) -> None:
        if minted >= self.purged_before.get(self.plan.group(key[0]), 0):
            machine.store.put(key, minted)

    def _sweep(self, machine: Machine, groups: frozenset[int], before: int) -> None:
        for key, minted in list(machine.store.copies.items()):
            if minted < before and isinstance(key, tuple) and self.plan.group(key[0]) in groups:
                del machine.store.copies[key]
