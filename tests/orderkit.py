"""Leases and orders explored whole at small size: every order of words, ticks and faults up to a depth.

`python -m tests.orderkit DEPTH FRONTS` prints how many states there are. A state is one leader's ledger, each
front's holder with what it has open, the words under way, and the machines; agreement itself is taken as one
step. A tick is a quarter of a lease; clocks run 1 in 100 fast or slow. A front that does nothing is one that
stands still. Own faults are drawn from small budgets, so that the states are finite.
"""

from __future__ import annotations

import copy
import random
import sys
import types
from collections.abc import Iterator
from dataclasses import dataclass, field
from itertools import count
from typing import Any

from quincepier.maintenance import (
    MaintenanceRequest,
    MaintenanceSection,
    UnavailableByKind,
    UnavailableLimits,
)
from quincepier.maintenance import cordoned_hosts as plain_leaving
from quincepier.maintenance import plan as plain_plan
from quincepier.rules import (
    FrontReport,
    HostCount,
    LeaseGrant,
    LeaseRequest,
    MachineObservation,
    MaintenanceStep,
    RuleVersion,
    apply_changes,
)
from quincepier.rules import LeaseHolder as PlainHolder
from quincepier.rules import LeaseTable as PlainLedger
from quincepier.rules.lease_timings import NS_PER_MS as MS
from quincepier.rules.lease_timings import LeaseTimings

PACE = LeaseTimings(
    lease_ns=400 * MS,
    request_interval_ns=100 * MS,
    max_attempt_ns=200 * MS,
    unreachable_front_timeout_ns=10**15,
)
ATTEMPT_TICKS, FAR, WARM = 2, 1 << 60, 60_000
HOSTS = ("m0", "m1")
MADE = count()


@dataclass(slots=True, frozen=True)
class Parts:
    """What is explored; a mutant has one of them changed."""

    Holder: Any = PlainHolder
    Ledger: Any = PlainLedger
    plan: Any = plain_plan
    leaving: Any = plain_leaving
    pace: LeaseTimings = PACE
    blank_waits: bool = True


def changed(module: types.ModuleType, pieces: dict[str, str], **inside: Any) -> types.ModuleType:
    """A copy of a module with pieces of its text changed, and some of its names."""
    file = module.__file__
    assert file is not None
    with open(file) as source:
        text = source.read()
    for old, new in pieces.items():
        assert old in text, f"{old!r} stands no more in {file}"
        text = text.replace(old, new)
    made = types.ModuleType(f"{module.__name__}_{next(MADE)}")
    sys.modules[made.__name__] = made  # dataclasses look their module up
    exec(compile(text, file, "exec"), made.__dict__)
    made.__dict__.update(inside)
    return made


Move = tuple[Any, ...]  # the name of a method of World, and what it is given


class RuleBrokenError(AssertionError):
    pass


@dataclass(slots=True)
class Front:
    name: str
    holder: Any
    rate: int  # of 100
    clock: int = 0
    open: dict[str, int] = field(default_factory=dict)  # host to ticks that an attempt is open there


class World:
    def __init__(self, parts: Parts, fronts: int, faults: int = 2, orders: bool = True) -> None:
        self.orders = orders  # without: versions change at any time, and only leases are looked at
        self.parts, self.faults, self.leaders, self.clock, self.rate = parts, faults, 1, 0, 101
        self.versions = [RuleVersion(n, 1) for n in range(2)]
        self.wishes = MaintenanceSection(
            (MaintenanceRequest("w", HOSTS),), unavailable_limits=UnavailableByKind(UnavailableLimits(1, 1))
        )
        self.machines = dict.fromkeys(HOSTS, 10 * WARM)  # milliseconds up; -1: off the list
        self.fronts = [
            Front(f"f{n}", parts.Holder(1, 0, parts.pace, self.versions[1]), 99 if n == fronts - 1 else 101)
            for n in range(fronts)
        ]
        self.words: tuple[LeaseRequest | LeaseGrant, ...] = ()  # under way
        self.owners: tuple[int, ...] = ()  # of which front each is
        self.ledger = parts.Ledger(-(10**12), parts.pace, self.versions[1])
        for at in range(fronts):
            self.exchange(at)

    @property
    def version(self) -> RuleVersion:
        return self.versions[-1]

    def copied(self) -> World:
        new = copy.copy(self)
        new.versions, new.machines = list(self.versions), dict(self.machines)
        new.fronts = [Front(f.name, copy.copy(f.holder), f.rate, f.clock, dict(f.open)) for f in self.fronts]
        for front in new.fronts:
            front.holder.request_time_by_token = dict(front.holder.request_time_by_token)
        new.ledger = copy.copy(self.ledger)
        new.ledger.lease_by_front = {name: copy.copy(k) for name, k in self.ledger.lease_by_front.items()}
        return new

    def key(self) -> tuple[Any, ...]:
        """What tells states apart: times from now on, tokens as they follow each other."""
        ledger, now, pace = self.ledger, self.clock, self.parts.pace
        fronts = tuple(
            (
                f.holder.incarnation,
                f.holder.version.number,
                f.holder.has_first_answer,
                max(f.holder.lease_until_ns - f.clock, 0),
                tuple(sorted(f.open.items())),
            )
            for f in self.fronts
        )
        known = tuple(
            (
                name,
                k.report.incarnation,
                k.version_number,
                k.report.open_attempts,
                max(k.lease_until_ns - now, 0),
                max(k.idle_at_ns - now, 0),
                (
                    k.earlier_report.version_number,
                    k.earlier_report.open_attempts,
                    max(k.earlier_lease_until_ns - now, 0),
                    k.earlier_idle_at_ns - now,
                )
                if k.earlier_report and k.earlier_idle_at_ns > now
                else (),
            )
            for name, k in sorted(ledger.lease_by_front.items())
        )
        wait = max(
            ledger.elected_at_ns
            + pace.with_drift_margin(pace.lease_ns)
            + pace.with_drift_margin(pace.max_attempt_ns)
            - now,
            0,
        )
        orders = tuple((o.target, o.step, o.since_version) for o in self.version.maintenance_tasks)
        words = tuple(sorted(map(self.word_key, self.words, self.owners)))
        held = (self.rate, self.ledger.newest_number, wait)
        return fronts, known, held, orders, words, tuple(self.machines.values()), self.faults, self.leaders

    def word_key(self, word: LeaseRequest | LeaseGrant, owner: int) -> tuple[Any, ...]:
        front = self.fronts[owner]
        if isinstance(word, LeaseRequest):
            known = self.ledger.lease_by_front.get(word.report.front)
            later = (
                known is None
                or known.report.incarnation != word.report.incarnation
                or word.token > known.last_token
            )
            age = front.clock - front.holder.request_time_by_token.get(word.token, -(10**15))
            return (
                0,
                owner,
                word.report.incarnation,
                word.report.version_number,
                word.report.open_attempts,
                later,
                age,
            )
        age = front.clock - front.holder.request_time_by_token.get(word.token, -(10**15))
        return 1, owner, word.incarnation, word.version_number, (), word.lease_ms > 0, age

    # what may happen next

    def moves(self) -> Iterator[Move]:
        yield ("tick",)
        if self.orders:
            yield ("plan",)
        elif len(self.versions) < 4:
            yield ("agree",)
        if self.leaders:
            yield ("lead",)
        for at, front in enumerate(self.fronts):
            yield "exchange", at
            if front.holder.version.number < self.version.number:
                yield "tell", at
            for host in HOSTS if self.orders else ():
                if host in front.open:
                    yield "end", at, host
                elif self.sends(front, host):
                    yield "send", at, host
            if self.faults:
                yield "restart", at
                yield "ask", at
        for at in range(len(self.words)):
            yield "word", at, False
            if self.faults:
                yield "word", at, True
        for host in HOSTS if self.orders else ():
            order = self.version.task_for(host)
            if order is not None and order.step in (
                MaintenanceStep.DRAINED,
                MaintenanceStep.IN_MAINTENANCE,
                MaintenanceStep.WARMING,
            ):
                up = self.machines[host]
                if up < WARM or order.step is MaintenanceStep.DRAINED:
                    yield "work", host

    def make(self, move: Move) -> None:
        getattr(self, move[0])(*move[1:])
        self.check()

    def work(self, host: str) -> None:
        """Off the list, then started anew, then warm."""
        up = self.machines[host]
        self.machines[host] = 10 if up < 0 else 10 * WARM if up < WARM else -1

    def tell(self, at: int) -> None:
        self.fronts[at].holder.adopt(self.version)

    def end(self, at: int, host: str) -> None:
        del self.fronts[at].open[host]

    def sends(self, front: Front, host: str) -> bool:
        holder, parts = front.holder, self.parts
        if parts.blank_waits and holder.is_awaiting_first_answer():
            return False
        return host not in parts.leaving(holder.version, holder.is_cautious(front.clock), front.name)

    def send(self, at: int, host: str) -> None:
        front = self.fronts[at]
        order = self.version.task_for(host)
        if order is not None and MaintenanceStep.DRAINED <= order.step <= MaintenanceStep.RESTORED:
            raise RuleBrokenError(f"{front.name} sends to {host}, which is {order.step.name}")
        front.open[host] = 0

    def tick(self) -> None:
        self.clock += self.rate * MS
        for front in self.fronts:
            front.clock += front.rate * MS
            front.open = {h: t + 1 for h, t in front.open.items() if t + 1 < ATTEMPT_TICKS}

    def report(self, front: Front) -> FrontReport:
        holder = front.holder
        version, cautious = holder.version, holder.is_cautious(front.clock)
        opened = tuple(HostCount(host, 1) for host in sorted(front.open))
        return FrontReport(
            front.name, holder.incarnation, version.number, version.digest, cautious, 100, opened
        )

    def exchange(self, at: int) -> None:
        front = self.fronts[at]
        ask = LeaseRequest(front.holder.begin_request(front.clock), self.report(front))
        grant = self.ledger.on_request(self.clock, ask, FAR)
        if grant is not None:
            front.holder.on_grant(front.clock, grant, self.versions[grant.version_number])

    def ask(self, at: int) -> None:
        front = self.fronts[at]
        self.faults -= 1
        self.words += (LeaseRequest(front.holder.begin_request(front.clock), self.report(front)),)
        self.owners += (at,)

    def word(self, at: int, again: bool) -> None:
        word, owner = self.words[at], self.owners[at]
        front = self.fronts[owner]
        if again:
            self.faults -= 1
        else:
            self.words = self.words[:at] + self.words[at + 1 :]
            self.owners = self.owners[:at] + self.owners[at + 1 :]
        if isinstance(word, LeaseRequest):
            grant = self.ledger.on_request(self.clock, word, FAR)
            if grant is not None:
                self.words, self.owners = (*self.words, grant), (*self.owners, owner)
        else:
            front.holder.on_grant(front.clock, word, self.versions[word.version_number])

    def restart(self, at: int) -> None:
        self.faults -= 1
        front = self.fronts[at]
        start = front.holder.incarnation + 1
        front.holder = self.parts.Holder(start, front.clock, self.parts.pace, self.versions[1])
        front.open.clear()

    def lead(self) -> None:
        self.leaders -= 1
        self.rate = 200 - self.rate
        self.ledger = self.parts.Ledger(self.clock, self.parts.pace, self.version)

    def agree(self) -> None:
        self.versions.append(apply_changes(self.version, 1, ()))
        self.ledger.on_version_committed(self.version)

    def plan(self) -> None:
        machines = {
            host: MachineObservation(host, "cache", "a", True, up, WARM)
            for host, up in self.machines.items()
            if up >= 0
        }
        seen = self.ledger.observe(self.clock, tuple(f.name for f in self.fronts), machines, (), "f0")
        change = self.parts.plan(self.version, self.wishes, seen).change
        if change is None:
            return
        before = self.version
        self.versions.append(apply_changes(before, 1, (change,)))
        self.ledger.on_version_committed(self.version)
        for order in self.version.maintenance_tasks:
            was = before.task_for(order.target)
            if order.step is MaintenanceStep.DRAINED and (
                was is None or was.step is not MaintenanceStep.DRAINED
            ):
                for front in self.fronts:
                    if order.target in front.open:
                        raise RuleBrokenError(
                            f"{order.target} is empty and {front.name} has something open there"
                        )

    def check(self) -> None:
        force = self.ledger.active_number(self.clock)
        for front in self.fronts:
            if not front.holder.is_cautious(front.clock) and front.holder.version.number < force:
                raise RuleBrokenError(
                    f"{front.name} is sure of {front.holder.version.number}, in force is {force}"
                )
        if sum(order.is_unavailable for order in self.version.maintenance_tasks) > 1:
            raise RuleBrokenError(
                f"out at once: {[o.target for o in self.version.maintenance_tasks if o.is_unavailable]}"
            )


def stages(parts: Parts, fronts: int, faults: int) -> list[World]:
    """A pass in which nothing goes wrong, as it stands at each new version: both machines go out and back."""
    world, found = World(parts, fronts, faults), list[World]()
    while True:
        found.append(world.copied())
        for at in range(fronts):
            world.exchange(at)
            world.exchange(at)  # the first brings the version, the second the lease
        before = world.version.number
        world.plan()
        works = [move for move in world.moves() if move[0] == "work"]
        if world.version.number == before and works:
            world.make(works[0])
            world.plan()
        if world.version.number == before:
            return found


def cut(world: World) -> Iterator[World]:
    """From there on the last front is heard by nobody, and sends whatever it may; the others go on."""
    alone = len(world.fronts) - 1
    for _ in range(14):
        for host in HOSTS:
            if host not in world.fronts[alone].open and world.sends(world.fronts[alone], host):
                world.make(("send", alone, host))
        yield world.copied()
        for at in range(alone):
            world.exchange(at)
            world.exchange(at)
        world.make(("plan",))
        world.make(("tick",))


def explore(parts: Parts, fronts: int, depth: int, faults: int = 1, orders: bool = True) -> int:
    """How many states there are within so many moves; RuleBrokenError with the way to one that breaks a rule.

    With orders: from each stage of a pass, and from each moment of a cut that begins at such a stage.
    """
    starts = [World(parts, fronts, faults, orders)]
    if orders:
        starts = stages(parts, fronts, faults)
        starts += [world for stage in starts if fronts > 1 for world in cut(stage.copied())]
    seen, edge = {world.key() for world in starts}, [(world, ()) for world in starts]
    for _ in range(depth):
        after = list[Any]()
        for world, way in edge:
            for move in world.moves():
                new = world.copied()
                try:
                    new.make(move)
                except RuleBrokenError as breach:
                    raise RuleBrokenError(f"{breach} after {(*way, move)}") from None
                key = new.key()
                if key not in seen:
                    seen.add(key)
                    after.append((new, (*way, move)))
        edge = after
    return len(seen)


# how often each is drawn in a walk; the rest once
LIKELY = {"exchange": 8, "plan": 5, "tell": 3, "send": 3, "end": 4, "tick": 2, "work": 5, "lead": 0.2}


def walk(parts: Parts, fronts: int, walks: int, steps: int, seed: int, faults: int = 4) -> dict[str, int]:
    """Seeded walks, deeper than what can be explored whole. How many came to each step of an order."""
    chance, reached = random.Random(seed), dict[str, int]()
    for _ in range(walks):
        world, way, came = World(parts, fronts, faults), list[Move](), set[str]()
        for _ in range(steps):
            moves = list(world.moves())
            move = chance.choices(moves, [LIKELY.get(move[0], 0.5) for move in moves])[0]
            way.append(move)
            try:
                world.make(move)
            except RuleBrokenError as breach:
                raise RuleBrokenError(f"{breach} after {way}") from None
            if move[0] == "plan":
                came |= {order.step.name for order in world.version.maintenance_tasks}
        for name in came:
            reached[name] = reached.get(name, 0) + 1
    return reached


if __name__ == "__main__":
    depth, fronts, walks = map(int, sys.argv[1:4])
    print("leases", explore(Parts(), fronts, depth + 4, faults=2, orders=False))
    print("orders", explore(Parts(), fronts, depth))
    print("walks", walk(Parts(), fronts, walks, 150, 1))
