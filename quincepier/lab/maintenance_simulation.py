"""Simulation of machine maintenance in virtual time: fronts with leases, successive leaders, machines.

Lease holders, lease table and maintenance steps are the real ones. Messages between them are delayed, lost
and cut off by partitions, processes pause, clocks run up to 1 % fast or slow, and the leader is killed.
Agreement is modelled as a fixed delay. The same seed gives the same run. Checked are the commands that reach
a machine under maintenance and the number of machines that are unavailable at once. Worth is not modelled.
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
AGREEMENT_TIME, LEADER_INTERVAL, ONE_WAY_DELAY = 20 * MS, 100 * MS, 2 * MS
ELECTION_TIME = 1500 * MS  # from a leader's death until the next one leads
WORK_DELAY, WORK_TIME, WARM_UP_TIME = (
    500 * MS,
    2 * SECOND,
    4 * SECOND,
)  # from drained to the start of work; work; warm-up after it
BASELINE_GRACE = 2 * SECOND  # of the baseline: from announcing a drain until it counts as drained
INITIAL_UPTIME = 1000 * SECOND  # uptime of all machines at the start


@dataclass(slots=True, frozen=True)
class Faults:
    """Faults of a run; times are in nanoseconds."""

    max_delay: int = 0  # added to the delay of each message, at most
    loss_rate: float = 0.0  # share of messages that are lost
    partitioned_share: float = 0.0  # fronts that are cut off from 3 s to 15 s and keep serving
    paused_share: float = 0.0  # fronts that are paused for 3 s, each at a random time
    kill_leader_at: MaintenanceStep | None = None  # kill the leader when a task first enters this step
    crashing_fronts: int = 0  # fronts that restart every 2 s without stored state


@dataclass(slots=True)
class SimulatedMachine:
    """A cache under maintenance."""

    host: str
    zone: str
    up_since: int = -INITIAL_UPTIME
    is_up: bool = True
    maintenance_periods: list[tuple[int, int]] = field(default_factory=list)  # (drained, restored)
    drained_since: int = -1  # -1: not drained


@dataclass(slots=True)
class SimulatedFront:
    """A front with its lease holder and the attempts under way."""

    name: str
    clock_rate: float  # of its clock, 1 for exact
    holder: LeaseHolder
    is_alive: bool = True
    paused_until: int = 0
    is_partitioned: bool = False
    active_attempts: list[tuple[str, int]] = field(default_factory=list)  # host and end of each attempt
    baseline_cordoned: frozenset[str] = frozenset()  # hosts that it no longer uses, in the baseline


@dataclass(slots=True, frozen=True)
class Outcome:
    """Figures of one run."""

    fronts: int
    duration_s: float  # until all tasks are completed; -1: not within the time
    commands_in_maintenance: int  # received by a machine between drained and restored
    max_unavailable: int
    commands_sent: int
    versions: int
    message_count: int  # lease requests and grants
    message_bytes: int


class MaintenanceSimulation:
    """A fleet whose caches are all maintained once, by the real steps or by the baseline."""

    def __init__(
        self,
        count: int,
        seed: int,
        faults: Faults | None = None,
        machines: int = 20,
        zones: int = 4,
        unavailable_limits: UnavailableLimits | None = None,
        rate: float = 4.0,  # commands per second of each front
        agreed: bool = True,  # False: the baseline, a tenth of the machines at once after a fixed time
    ) -> None:
        self.now, self.random, self.agreed, self.rate = 0, random.Random(seed), agreed, rate
        self.faults, self.event_queue = faults or Faults(), list[tuple[int, int, Callable[[], None]]]()
        self.scheduled_count = 0
        self.timings = LeaseTimings(max_attempt_ns=2 * SECOND)
        self.section = MaintenanceSection(
            (MaintenanceRequest("all", kind="cache"),),
            unavailable_limits=UnavailableByKind(
                unavailable_limits or UnavailableLimits(1, max(machines // 10, 1))
            ),
        )
        self.machines = {f"c{n}": SimulatedMachine(f"c{n}", f"z{n % zones}") for n in range(machines)}
        self.versions = [RuleVersion(0, 0), RuleVersion(1, 1)]
        self.fronts = [
            SimulatedFront(f"f{n}", self.random.uniform(0.99, 1.01), LeaseHolder(1, 0, self.timings))
            for n in range(count)
        ]
        self.leader: SimulatedFront | None = None
        self.lease_table: LeaseTable | None = None
        self.is_agreeing, self.was_leader_killed, self.max_unavailable, self.completed_at = (
            False,
            False,
            0,
            -1,
        )
        self.commands_sent = self.message_count = self.message_bytes = 0
        self.received_commands = list[tuple[int, str]]()  # time and host
        self.baseline_batch = frozenset[str]()  # of the baseline
        self.start_leader(self.fronts[0])
        for front in self.fronts:
            self.schedule(self.random.randrange(250 * MS), self.request_lease, front, 1)
            self.schedule(self.random.randrange(SECOND), self.send_command, front, 1)
        if agreed:
            self.schedule(LEADER_INTERVAL, self.run_leader_turn)
        else:
            self.schedule(2 * SECOND, self.drain_baseline_batch, 0)
        self.schedule_faults()

    def schedule(self, wait: int, callback: Callable[..., None], *arguments: object) -> None:
        """Call `callback` in `wait` ns."""
        self.scheduled_count += 1
        heapq.heappush(
            self.event_queue, (self.now + wait, self.scheduled_count, lambda: callback(*arguments))
        )

    def run(self, until: int) -> Outcome:
        """Run until all tasks are completed, at most until the time `until`, ns."""
        while self.event_queue and self.event_queue[0][0] <= until and self.completed_at < 0:
            self.now, _, callback = heapq.heappop(self.event_queue)
            callback()
        commands_in_maintenance = sum(
            (self.machines[host].drained_since <= at and self.machines[host].drained_since >= 0)
            or any(started_at <= at < back for started_at, back in self.machines[host].maintenance_periods)
            for at, host in self.received_commands
        )
        done = self.completed_at / SECOND if self.completed_at >= 0 else -1.0
        number = self.versions[-1].number
        return Outcome(
            len(self.fronts),
            done,
            commands_in_maintenance,
            self.max_unavailable,
            self.commands_sent,
            number,
            self.message_count,
            self.message_bytes,
        )

    def schedule_faults(self) -> None:
        """Schedule partitions, pauses and restarts of random fronts other than the first leader."""

        def set_partitioned(on: bool, partitioned: Iterable[SimulatedFront]) -> None:
            for front in partitioned:
                front.is_partitioned = on

        def pause(front: SimulatedFront) -> None:
            front.paused_until = self.now + 3 * SECOND

        others, faults = self.fronts[1:], self.faults
        partitioned = self.random.sample(others, int(len(others) * faults.partitioned_share))
        self.schedule(3 * SECOND, set_partitioned, True, partitioned)
        self.schedule(15 * SECOND, set_partitioned, False, partitioned)
        for front in self.random.sample(others, int(len(others) * faults.paused_share)):
            self.schedule(self.random.randrange(20 * SECOND), pause, front)
        for front in self.random.sample(others, faults.crashing_fronts):
            for at in range(2, 120, 2):
                self.schedule(at * SECOND, self.restart_front, front)

    # Fronts

    def clock(self, front: SimulatedFront) -> int:
        """Return the time on a front's own clock, ns."""
        return int(self.now * front.clock_rate)

    def restart_front(self, front: SimulatedFront) -> None:
        """Restart a front without stored state."""
        start = front.holder.incarnation + 1
        front.holder, front.active_attempts, front.is_alive = (
            LeaseHolder(start, self.clock(front), self.timings),
            [],
            True,
        )
        front.baseline_cordoned = frozenset()
        self.schedule(100 * MS, self.request_lease, front, start)
        self.schedule(150 * MS, self.send_command, front, start)

    def can_act(
        self, front: SimulatedFront, start: int, callback: Callable[[SimulatedFront, int], None]
    ) -> bool:
        """Return whether a front can act now; a paused one calls `callback` when it resumes."""
        if not front.is_alive or front.holder.incarnation != start:
            return False
        if front.paused_until > self.now:
            self.schedule(front.paused_until - self.now, callback, front, start)
            return False
        return True

    def request_lease(self, front: SimulatedFront, start: int) -> None:
        """Send a report with a lease request, and schedule the next."""
        if not self.can_act(front, start, self.request_lease):
            return
        holder, clock = front.holder, self.clock(front)
        front.active_attempts = [(host, end) for host, end in front.active_attempts if end > self.now]
        hosts = {host for host, _ in front.active_attempts}
        report = FrontReport(
            front.name,
            start,
            holder.version.number,
            holder.version.digest,
            holder.is_cautious(clock),
            250,
            tuple(
                HostCount(host, sum(h == host for h, _ in front.active_attempts)) for host in sorted(hosts)
            ),
        )
        self.send_message(
            front, self.on_lease_request, front, LeaseRequest(holder.begin_request(clock), report)
        )
        self.schedule(250 * MS, self.request_lease, front, start)

    def send_message(self, front: SimulatedFront, callback: Callable[..., None], *arguments: object) -> None:
        """Deliver a message after its delay, unless it is lost or the front is cut off."""
        self.message_count += 1
        if front.is_partitioned or self.random.random() < self.faults.loss_rate:
            return
        self.schedule(ONE_WAY_DELAY + self.random.randrange(self.faults.max_delay + 1), callback, *arguments)

    def on_lease_request(self, front: SimulatedFront, lease_request: LeaseRequest) -> None:
        """Let the leader answer a lease request."""
        leader, lease_table = self.leader, self.lease_table
        if leader is None or lease_table is None:
            return
        self.message_bytes += len(encode_message(lease_request))
        grant = lease_table.on_request(self.clock(leader), lease_request, 1 << 62)
        if grant is not None:
            version = (
                self.versions[grant.version_number]
                if grant.version_number > lease_request.report.version_number
                else None
            )
            self.send_message(front, self.on_lease_granted, front, grant, version)

    def on_lease_granted(self, front: SimulatedFront, grant: object, version: RuleVersion | None) -> None:
        """Hand a grant to the front, after its pause if it is paused."""
        if front.paused_until > self.now:
            self.schedule(front.paused_until - self.now, self.on_lease_granted, front, grant, version)
        elif front.is_alive:
            front.baseline_cordoned = self.baseline_batch
            if front.holder.on_grant(self.clock(front), grant, version):  # type: ignore[arg-type]
                self.report_adoption(front)

    def report_adoption(self, front: SimulatedFront) -> None:
        """Report an adopted version at once, with another lease request."""
        holder, clock = front.holder, self.clock(front)
        hosts = sorted({host for host, end in front.active_attempts if end > self.now})
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
        self.send_message(
            front, self.on_lease_request, front, LeaseRequest(holder.begin_request(clock), report)
        )

    def send_command(self, front: SimulatedFront, start: int) -> None:
        """Send a command to a random machine that the front may use, and schedule the next."""
        if not self.can_act(front, start, self.send_command):
            return
        self.schedule(int(self.random.expovariate(self.rate) * SECOND), self.send_command, front, start)
        holder = front.holder
        if self.agreed:
            if holder.is_awaiting_first_answer():
                return
            cordoned = cordoned_hosts(holder.version, holder.is_cautious(self.clock(front)), front.name)
        else:
            cordoned = front.baseline_cordoned
        host = self.random.choice([host for host in self.machines if host not in cordoned])
        duration = self.random.choice((10, 15, 20, 30)) * MS
        if self.random.random() < 0.02:
            duration = self.random.randrange(self.timings.max_attempt_ns)
        front.active_attempts.append((host, self.now + ONE_WAY_DELAY + duration))
        self.commands_sent += 1
        self.received_commands.append((self.now + self.random.randrange(ONE_WAY_DELAY), host))

    # Leader and machines

    def start_leader(self, front: SimulatedFront) -> None:
        """Make a front the leader, with a new lease table."""
        self.leader, self.is_agreeing = front, False
        self.lease_table = LeaseTable(self.clock(front), self.timings, self.versions[-1])

    def run_leader_turn(self) -> None:
        """Let the leader plan the next change and start its agreement."""
        self.schedule(LEADER_INTERVAL, self.run_leader_turn)
        leader, lease_table, version = self.leader, self.lease_table, self.versions[-1]
        if leader is None or lease_table is None or self.is_agreeing:
            return
        view = tuple(f.name for f in self.fronts if f.is_alive)
        fleet = FleetView(
            view,
            {
                m.host: MachineObservation(
                    m.host, "cache", m.zone, True, (self.now - m.up_since) // MS, WARM_UP_TIME // MS
                )
                for m in self.machines.values()
                if m.is_up
            },
            ("f0", "f1", "f2"),
            leader.name,
            recently_dead=[f.name for f in self.fronts if not f.is_alive],
        )
        observations = lease_table.observe(self.clock(leader), fleet)
        change = plan(version, self.section, observations).change
        if change is not None:
            self.is_agreeing = True
            self.schedule(AGREEMENT_TIME, self.commit_version, leader, apply_changes(version, 1, (change,)))

    def commit_version(self, leader: SimulatedFront, version: RuleVersion) -> None:
        """Commit a version, follow its new steps, and kill the leader where the faults say so."""
        if self.leader is not leader or self.lease_table is None:
            return  # the leader was killed during the agreement
        previous = self.versions[-1]
        self.is_agreeing = False
        self.versions.append(version)
        self.lease_table.on_version_committed(version)
        for task in version.maintenance_tasks:
            before = previous.task_for(task.target)
            if before is not None and before.step == task.step:
                continue
            self.on_step_entered(task.target, task.step)
            if task.step is self.faults.kill_leader_at and not self.was_leader_killed:
                self.was_leader_killed, self.leader, self.lease_table, leader.is_alive = (
                    True,
                    None,
                    None,
                    False,
                )
                self.schedule(ELECTION_TIME, self.start_leader, self.fronts[1])
                self.schedule(3 * SECOND, self.restart_front, leader)
        self.max_unavailable = max(
            self.max_unavailable, sum(task.is_unavailable for task in version.maintenance_tasks)
        )
        done = {o.target for o in version.maintenance_tasks if o.step is MaintenanceStep.COMPLETED}
        if len(done) == len(self.machines):
            self.completed_at = self.now

    def on_step_entered(self, host: str, step: MaintenanceStep) -> None:
        """Start work on a drained machine; end the maintenance period of a restored one."""
        machine = self.machines[host]
        if step is MaintenanceStep.DRAINED:
            machine.drained_since = self.now
            self.schedule(WORK_DELAY, self.start_work, machine)
        elif step is MaintenanceStep.RESTORED:
            machine.maintenance_periods.append((machine.drained_since, self.now))
            machine.drained_since = -1

    def start_work(self, machine: SimulatedMachine) -> None:
        """Take a drained machine down for its work."""
        machine.is_up = False
        self.schedule(WORK_TIME, self.finish_work, machine)

    def finish_work(self, machine: SimulatedMachine) -> None:
        """Bring a machine up after its work."""
        machine.is_up, machine.up_since = True, self.now
        if not self.agreed:
            machine.maintenance_periods.append((machine.drained_since, self.now))
            machine.drained_since = -1

    # Baseline

    def drain_baseline_batch(self, at: int) -> None:
        """Drain a tenth of the machines: fronts learn it with their next grant."""
        hosts = list(self.machines)[at : at + max(len(self.machines) // 10, 1)]
        if not hosts:
            self.completed_at = self.now
            return
        self.baseline_batch = frozenset(hosts)
        self.max_unavailable = max(self.max_unavailable, len(hosts))
        for host in hosts:
            self.schedule(BASELINE_GRACE, self.on_step_entered, host, MaintenanceStep.DRAINED)
        self.schedule(
            BASELINE_GRACE + WORK_DELAY + WORK_TIME + WARM_UP_TIME, self.drain_baseline_batch, at + len(hosts)
        )


if __name__ == "__main__":
    import sys
    import time

    SCENARIOS = {
        "calm": Faults(),
        "20% lost, 0.5 s late": Faults(max_delay=500 * MS, loss_rate=0.2),
        "a tenth cut off 12 s": Faults(partitioned_share=0.1),
        "a fifth stands still 3 s": Faults(paused_share=0.2),
        "two crash every 2 s": Faults(crashing_fronts=2),
        **{f"leader killed at {s.name.lower()}": Faults(kill_leader_at=s) for s in list(MaintenanceStep)[:7]},
    }
    size, seeds, *names = sys.argv[1:]  # scenarios by number; none: all
    for name in [list(SCENARIOS)[int(n)] for n in names] or SCENARIOS:
        faults = SCENARIOS[name]
        for agreed in (True, False) if faults.kill_leader_at is None else (True,):
            started_at = time.process_time()
            outcomes = [
                MaintenanceSimulation(int(size), seed, faults, agreed=agreed).run(400 * SECOND)
                for seed in range(1, int(seeds) + 1)
            ]
            print(
                size,
                name,
                "orders" if agreed else "a tenth at once",
                "done", [round(o.duration_s, 1) for o in outcomes],
                "between", [o.commands_in_maintenance for o in outcomes],
                "out", max(o.max_unavailable for o in outcomes),
                "sent", sum(o.commands_sent for o in outcomes),
                "versions", outcomes[0].versions,
                "words", outcomes[0].message_count, "bytes", outcomes[0].message_bytes,
                "cpu", round(time.process_time() - started_at, 1),
                flush=True,
            )  # fmt: skip
