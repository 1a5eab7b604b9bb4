"""Orders of maintenance in virtual time: many fronts with leases, leaders one after the other, machines.

The fronts' holders, the leader's ledger and the steps are those of the product; words between them are late,
lost, cut off and met by standstills, clocks run 1 in 100 fast or slow, and the leader is killed. Agreement
itself is taken as one step of `AGREE`. The same seed gives the same run. Judged from outside: commands that
come to a machine between empty and back, and how many are out at once. Worth is not modelled.
"""

from __future__ import annotations

import heapq
import random
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from quincepier.maintenance import (
    MaintenanceRequest,
    MaintenanceSection,
    UnavailableByKind,
    UnavailableLimits,
    cordoned_hosts,
    plan,
)
from quincepier.rules import (
    FleetView,
    FrontReport,
    HostCount,
    LeaseHolder,
    LeaseRequest,
    LeaseTable,
    LeaseTimings,
    MachineObservation,
    MaintenanceStep,
    RuleVersion,
    apply_changes,
    encode_message,
)

MS = 1_000_000
SECOND = 1000 * MS
AGREE, TURN, WAY = 20 * MS, 100 * MS, 2 * MS
ELECTED = 1500 * MS  # from the end of a leader until the next one leads
BEGINS, WORK, WARM = 500 * MS, 2 * SECOND, 4 * SECOND  # operators begin so long after empty; work; then warm
GRACE = 2 * SECOND  # that the baseline waits from telling to beginning
START = 1000 * SECOND  # all machines are up for so long at the start


@dataclass(slots=True, frozen=True)
class Faults:
    max_delay: int = 0  # at most, of words between fronts, each way
    loss_rate: float = 0.0  # of those words
    partitioned_share: float = 0.0  # part of the fronts that nobody hears from 3 s to 15 s, and that serve on
    paused_share: float = 0.0  # part of the fronts that stand still for 3 s, one after the other
    kill_leader_at: MaintenanceStep | None = None  # the leader, as an order first comes to this step
    crashing_fronts: int = 0  # fronts that are killed and started anew every 2 s, without anything kept


@dataclass(slots=True)
class Machine:
    host: str
    zone: str
    up_since: int = -START
    up: bool = True
    closed: list[tuple[int, int]] = field(default_factory=list)  # from empty to back
    since: int = -1  # empty since


@dataclass(slots=True)
class Front:
    name: str
    rate: float  # of its clock
    holder: LeaseHolder
    alive: bool = True
    still: int = 0  # stands still until then
    cut: bool = False
    open: list[tuple[str, int]] = field(default_factory=list)  # host and when the attempt ends
    keeps_from: frozenset[str] = frozenset()  # of the baseline


@dataclass(slots=True, frozen=True)
class Outcome:
    fronts: int
    duration_s: float  # from the wish to the last machine warm again; -1: not within the time
    commands_in_maintenance: int  # commands at a machine between empty and back
    max_unavailable: int
    commands_sent: int
    versions: int
    message_count: int  # asks and grants
    message_bytes: int


class Fleet:
    def __init__(
        self,
        count: int,
        seed: int,
        faults: Faults | None = None,
        machines: int = 20,
        zones: int = 4,
        unavailable_limits: UnavailableLimits | None = None,
        rate: float = 4.0,  # commands a second of each front
        agreed: bool = True,  # without: a tenth at once, told and begun after GRACE
    ) -> None:
        self.now, self.random, self.agreed, self.rate = 0, random.Random(seed), agreed, rate
        self.faults, self.turns = faults or Faults(), list[tuple[int, int, Callable[[], None]]]()
        self.count = 0
        self.pace = LeaseTimings(max_attempt_ns=2 * SECOND)
        self.section = MaintenanceSection(
            (MaintenanceRequest("all", kind="cache"),),
            unavailable_limits=UnavailableByKind(
                unavailable_limits or UnavailableLimits(1, max(machines // 10, 1))
            ),
        )
        self.machines = {f"c{n}": Machine(f"c{n}", f"z{n % zones}") for n in range(machines)}
        self.versions = [RuleVersion(0, 0), RuleVersion(1, 1)]
        self.fronts = [
            Front(f"f{n}", self.random.uniform(0.99, 1.01), LeaseHolder(1, 0, self.pace))
            for n in range(count)
        ]
        self.leader: Front | None = None
        self.ledger: LeaseTable | None = None
        self.agreeing, self.killed, self.out_most, self.done = False, False, 0, -1
        self.sent = self.words = self.word_bytes = 0
        self.came = list[tuple[int, str]]()  # commands at machines
        self.batch = frozenset[str]()  # of the baseline
        self.lead(self.fronts[0])
        for front in self.fronts:
            self.after(self.random.randrange(250 * MS), self.asks, front, 1)
            self.after(self.random.randrange(SECOND), self.sends, front, 1)
        if agreed:
            self.after(TURN, self.turn)
        else:
            self.after(2 * SECOND, self.tenth, 0)
        self.strike()

    def after(self, wait: int, call: Callable[..., None], *given: object) -> None:
        self.count += 1
        heapq.heappush(self.turns, (self.now + wait, self.count, lambda: call(*given)))

    def run(self, most: int) -> Outcome:
        while self.turns and self.turns[0][0] <= most and self.done < 0:
            self.now, _, call = heapq.heappop(self.turns)
            call()
        between = sum(
            (self.machines[host].since <= at and self.machines[host].since >= 0)
            or any(begun <= at < back for begun, back in self.machines[host].closed)
            for at, host in self.came
        )
        done = self.done / SECOND if self.done >= 0 else -1.0
        number = self.versions[-1].number
        return Outcome(
            len(self.fronts), done, between, self.out_most, self.sent, number, self.words, self.word_bytes
        )

    def strike(self) -> None:
        def cut(on: bool, chosen: Iterable[Front]) -> None:
            for front in chosen:
                front.cut = on

        def pause(front: Front) -> None:
            front.still = self.now + 3 * SECOND

        others, faults = self.fronts[1:], self.faults
        chosen = self.random.sample(others, int(len(others) * faults.partitioned_share))
        self.after(3 * SECOND, cut, True, chosen)
        self.after(15 * SECOND, cut, False, chosen)
        for front in self.random.sample(others, int(len(others) * faults.paused_share)):
            self.after(self.random.randrange(20 * SECOND), pause, front)
        for front in self.random.sample(others, faults.crashing_fronts):
            for at in range(2, 120, 2):
                self.after(at * SECOND, self.crash, front)

    # fronts

    def clock(self, front: Front) -> int:
        return int(self.now * front.rate)

    def crash(self, front: Front) -> None:
        start = front.holder.incarnation + 1
        front.holder, front.open, front.alive = LeaseHolder(start, self.clock(front), self.pace), [], True
        front.keeps_from = frozenset()
        self.after(100 * MS, self.asks, front, start)
        self.after(150 * MS, self.sends, front, start)

    def here(self, front: Front, start: int, call: Callable[[Front, int], None]) -> bool:
        """Whether it can act; one that stands still does so afterwards."""
        if not front.alive or front.holder.incarnation != start:
            return False
        if front.still > self.now:
            self.after(front.still - self.now, call, front, start)
            return False
        return True

    def asks(self, front: Front, start: int) -> None:
        if not self.here(front, start, self.asks):
            return
        holder, clock = front.holder, self.clock(front)
        front.open = [(host, end) for host, end in front.open if end > self.now]
        hosts = {host for host, _ in front.open}
        report = FrontReport(
            front.name,
            start,
            holder.version.number,
            holder.version.digest,
            holder.is_cautious(clock),
            250,
            tuple(HostCount(host, sum(h == host for h, _ in front.open)) for host in sorted(hosts)),
        )
        self.carry(front, self.heard, front, LeaseRequest(holder.begin_request(clock), report))
        self.after(250 * MS, self.asks, front, start)

    def carry(self, front: Front, call: Callable[..., None], *given: object) -> None:
        self.words += 1
        if front.cut or self.random.random() < self.faults.loss_rate:
            return
        self.after(WAY + self.random.randrange(self.faults.max_delay + 1), call, *given)

    def heard(self, front: Front, ask: LeaseRequest) -> None:
        leader, ledger = self.leader, self.ledger
        if leader is None or ledger is None:
            return
        self.word_bytes += len(encode_message(ask))
        grant = ledger.on_request(self.clock(leader), ask, 1 << 62)
        if grant is not None:
            version = (
                self.versions[grant.version_number]
                if grant.version_number > ask.report.version_number
                else None
            )
            self.carry(front, self.granted, front, grant, version)

    def granted(self, front: Front, grant: object, version: RuleVersion | None) -> None:
        if front.still > self.now:
            self.after(front.still - self.now, self.granted, front, grant, version)
        elif front.alive:
            front.keeps_from = self.batch
            if front.holder.on_grant(self.clock(front), grant, version):  # type: ignore[arg-type]
                self.again(front)

    def again(self, front: Front) -> None:
        """A version was adopted: it is told at once, as another ask."""
        holder, clock = front.holder, self.clock(front)
        hosts = sorted({host for host, end in front.open if end > self.now})
        version = holder.version
        report = FrontReport(
            front.name,
            holder.incarnation,
            version.number,
            version.digest,
            holder.is_cautious(clock),
            250,
            tuple(HostCount(host, 1) for host in hosts),
        )
        self.carry(front, self.heard, front, LeaseRequest(holder.begin_request(clock), report))

    def sends(self, front: Front, start: int) -> None:
        if not self.here(front, start, self.sends):
            return
        self.after(int(self.random.expovariate(self.rate) * SECOND), self.sends, front, start)
        holder = front.holder
        if self.agreed:
            if holder.is_awaiting_first_answer():
                return
            kept = cordoned_hosts(holder.version, holder.is_cautious(self.clock(front)), front.name)
        else:
            kept = front.keeps_from
        host = self.random.choice([host for host in self.machines if host not in kept])
        lasts = self.random.choice((10, 15, 20, 30)) * MS
        if self.random.random() < 0.02:
            lasts = self.random.randrange(self.pace.max_attempt_ns)
        front.open.append((host, self.now + WAY + lasts))
        self.sent += 1
        self.came.append((self.now + self.random.randrange(WAY), host))

    # the leader, and the machines

    def lead(self, front: Front) -> None:
        self.leader, self.agreeing = front, False
        self.ledger = LeaseTable(self.clock(front), self.pace, self.versions[-1])

    def turn(self) -> None:
        self.after(TURN, self.turn)
        leader, ledger, version = self.leader, self.ledger, self.versions[-1]
        if leader is None or ledger is None or self.agreeing:
            return
        view = tuple(f.name for f in self.fronts if f.alive)
        fleet = FleetView(
            view,
            {
                m.host: MachineObservation(
                    m.host, "cache", m.zone, True, (self.now - m.up_since) // MS, WARM // MS
                )
                for m in self.machines.values()
                if m.up
            },
            ("f0", "f1", "f2"),
            leader.name,
            recently_dead=[f.name for f in self.fronts if not f.alive],
        )
        seen = ledger.observe(self.clock(leader), fleet)
        found = plan(version, self.section, seen).change
        if found is not None:
            self.agreeing = True
            self.after(AGREE, self.commit, leader, apply_changes(version, 1, (found,)))

    def commit(self, leader: Front, version: RuleVersion) -> None:
        if self.leader is not leader or self.ledger is None:
            return  # killed while it was agreed
        was = self.versions[-1]
        self.agreeing = False
        self.versions.append(version)
        self.ledger.on_version_committed(version)
        for order in version.maintenance_tasks:
            before = was.task_for(order.target)
            if before is not None and before.step == order.step:
                continue
            self.entered(order.target, order.step)
            if order.step is self.faults.kill_leader_at and not self.killed:
                self.killed, self.leader, self.ledger, leader.alive = True, None, None, False
                self.after(ELECTED, self.lead, self.fronts[1])
                self.after(3 * SECOND, self.crash, leader)
        self.out_most = max(self.out_most, sum(order.is_unavailable for order in version.maintenance_tasks))
        done = {o.target for o in version.maintenance_tasks if o.step is MaintenanceStep.COMPLETED}
        if len(done) == len(self.machines):
            self.done = self.now

    def entered(self, host: str, step: MaintenanceStep) -> None:
        machine = self.machines[host]
        if step is MaintenanceStep.DRAINED:
            machine.since = self.now
            self.after(BEGINS, self.work, machine)
        elif step is MaintenanceStep.RESTORED:
            machine.closed.append((machine.since, self.now))
            machine.since = -1

    def work(self, machine: Machine) -> None:
        machine.up = False
        self.after(WORK, self.over, machine)

    def over(self, machine: Machine) -> None:
        machine.up, machine.up_since = True, self.now
        if not self.agreed:
            machine.closed.append((machine.since, self.now))
            machine.since = -1

    # the baseline

    def tenth(self, at: int) -> None:
        """A tenth of the machines at once: told with the next answer to each, begun after a fixed time."""
        hosts = list(self.machines)[at : at + max(len(self.machines) // 10, 1)]
        if not hosts:
            self.done = self.now
            return
        self.batch = frozenset(hosts)
        self.out_most = max(self.out_most, len(hosts))
        for host in hosts:
            self.after(GRACE, self.entered, host, MaintenanceStep.DRAINED)
        self.after(GRACE + BEGINS + WORK + WARM, self.tenth, at + len(hosts))


if __name__ == "__main__":
    import sys
    import time

    STORIES = {
        "calm": Faults(),
        "20% lost, 0.5 s late": Faults(max_delay=500 * MS, loss_rate=0.2),
        "a tenth cut off 12 s": Faults(partitioned_share=0.1),
        "a fifth stands still 3 s": Faults(paused_share=0.2),
        "two crash every 2 s": Faults(crashing_fronts=2),
        **{f"leader killed at {s.name.lower()}": Faults(kill_leader_at=s) for s in list(MaintenanceStep)[:7]},
    }
    size, seeds, *names = sys.argv[1:]  # stories by number; none: all
    for name in [list(STORIES)[int(n)] for n in names] or STORIES:
        faults = STORIES[name]
        for agreed in (True, False) if faults.kill_leader_at is None else (True,):
            begun = time.process_time()
            found = [
                Fleet(int(size), seed, faults, agreed=agreed).run(400 * SECOND)
                for seed in range(1, int(seeds) + 1)
            ]
            print(
                size,
                name,
                "orders" if agreed else "a tenth at once",
                "done", [round(o.duration_s, 1) for o in found],
                "between", [o.commands_in_maintenance for o in found],
                "out", max(o.max_unavailable for o in found),
                "sent", sum(o.commands_sent for o in found),
                "versions", found[0].versions,
                "words", found[0].message_count, "bytes", found[0].message_bytes,
                "cpu", round(time.process_time() - begun, 1),
                flush=True,
            )  # fmt: skip
