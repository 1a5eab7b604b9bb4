"""A model of a fleet under maintenance: its states, the events between them, and its invariants.

A state consists of the leader's lease table, each front's lease holder and open attempts, the messages in
flight, and the machines; committing a version is one step. A tick is a quarter of a lease; clocks run 1 %
fast or slow. A front without events models a paused process. The number of faults is limited, so the number
of states is finite.
"""

from __future__ import annotations

import copy
from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import Any

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
    LeaseGrant,
    LeaseHolder,
    LeaseRequest,
    LeaseTable,
    MachineObservation,
    MaintenanceStep,
    RuleVersion,
    apply_changes,
)
from quincepier.rules.lease_timings import NS_PER_MS as MS
from quincepier.rules.lease_timings import LeaseTimings

TIMINGS = LeaseTimings(
    lease_ns=400 * MS,
    request_interval_ns=100 * MS,
    max_attempt_ns=200 * MS,
    unreachable_front_timeout_ns=10**15,
)
ATTEMPT_TICKS = 2
NO_OTHER_LEADER_NS = 1 << 60
WARM_UP_MS = 60_000
LONG_UPTIME_MS = 10 * WARM_UP_MS
OFF_THE_LIST = -1  # uptime value of a machine that is not listed
MAX_VERSIONS = 4  # limit for models without tasks, in which versions change at any time
HOSTS = ("m0", "m1")

Event = tuple[Any, ...]  # name of a method of ClusterModel, and its arguments


@dataclass(slots=True, frozen=True)
class Components:
    """The components under test; a mutant replaces one of them."""

    lease_holder: Any = LeaseHolder
    lease_table: Any = LeaseTable
    plan: Any = plan
    cordoned_hosts: Any = cordoned_hosts
    timings: LeaseTimings = TIMINGS
    waits_for_first_answer: bool = True


class InvariantViolatedError(AssertionError):
    """A state violates an invariant; the text has the path to it."""


@dataclass(slots=True)
class Front:
    name: str
    lease_holder: Any
    clock_rate: int  # in percent of real time
    clock_ns: int = 0
    attempt_ticks: dict[str, int] = field(default_factory=dict)  # age in ticks of the open attempt, by host

    def copy(self) -> Front:
        holder = copy.copy(self.lease_holder)
        holder.request_time_by_token = dict(holder.request_time_by_token)
        return Front(self.name, holder, self.clock_rate, self.clock_ns, dict(self.attempt_ticks))


class ClusterModel:
    """One state of the model; without tasks, versions change at any time and only leases are checked."""

    def __init__(
        self, components: Components, front_count: int, faults: int = 2, with_tasks: bool = True
    ) -> None:
        self.components = components
        self.with_tasks = with_tasks
        self.remaining_faults = faults
        self.remaining_elections = 1
        self.clock_ns = 0
        self.clock_rate = 101
        self.versions = [RuleVersion(number, 1) for number in range(2)]
        self.section = MaintenanceSection(
            (MaintenanceRequest("w", HOSTS),), unavailable_limits=UnavailableByKind(UnavailableLimits(1, 1))
        )
        self.uptime_ms_by_host = dict.fromkeys(HOSTS, LONG_UPTIME_MS)
        self.fronts = [
            Front(
                f"f{n}",
                components.lease_holder(1, 0, components.timings, self.versions[1]),
                99 if n == front_count - 1 else 101,
            )
            for n in range(front_count)
        ]
        self.messages: tuple[LeaseRequest | LeaseGrant, ...] = ()  # in flight
        self.message_fronts: tuple[int, ...] = ()  # index of the front of each message
        self.lease_table = components.lease_table(-(10**12), components.timings, self.versions[1])
        for index in range(front_count):
            self.exchange_lease(index)

    @property
    def version(self) -> RuleVersion:
        return self.versions[-1]

    def copy(self) -> ClusterModel:
        new = copy.copy(self)
        new.versions = list(self.versions)
        new.uptime_ms_by_host = dict(self.uptime_ms_by_host)
        new.fronts = [front.copy() for front in self.fronts]
        new.lease_table = copy.copy(self.lease_table)
        new.lease_table.lease_by_front = {
            name: copy.copy(lease) for name, lease in self.lease_table.lease_by_front.items()
        }
        return new

    # Fingerprints of states: times are relative to now, and tokens count only by their order.

    def fingerprint(self) -> tuple[Any, ...]:
        messages = tuple(sorted(map(self.message_fingerprint, self.messages, self.message_fronts)))
        tasks = tuple((t.target, t.step, t.since_version) for t in self.version.maintenance_tasks)
        leader = (self.clock_rate, self.lease_table.newest_number, self.leader_wait_ns())
        uptimes = tuple(self.uptime_ms_by_host.values())
        return (
            tuple(map(self.front_fingerprint, self.fronts)),
            self.lease_table_fingerprint(),
            leader,
            tasks,
            messages,
            uptimes,
            self.remaining_faults,
            self.remaining_elections,
        )

    def front_fingerprint(self, front: Front) -> tuple[Any, ...]:
        holder = front.lease_holder
        return (
            holder.incarnation,
            holder.version.number,
            holder.has_first_answer,
            max(holder.lease_until_ns - front.clock_ns, 0),
            tuple(sorted(front.attempt_ticks.items())),
        )

    def lease_table_fingerprint(self) -> tuple[Any, ...]:
        now = self.clock_ns
        return tuple(
            (
                name,
                lease.report.incarnation,
                lease.version_number,
                lease.report.open_attempts,
                max(lease.lease_until_ns - now, 0),
                max(lease.idle_at_ns - now, 0),
                (
                    lease.earlier_report.version_number,
                    lease.earlier_report.open_attempts,
                    max(lease.earlier_lease_until_ns - now, 0),
                    lease.earlier_idle_at_ns - now,
                )
                if lease.earlier_report and lease.earlier_idle_at_ns > now
                else (),
            )
            for name, lease in sorted(self.lease_table.lease_by_front.items())
        )

    def leader_wait_ns(self) -> int:
        timings = self.components.timings
        wait = timings.with_drift_margin(timings.lease_ns) + timings.with_drift_margin(timings.max_attempt_ns)
        until: int = self.lease_table.elected_at_ns + wait
        return max(until - self.clock_ns, 0)

    def message_fingerprint(self, message: LeaseRequest | LeaseGrant, index: int) -> tuple[Any, ...]:
        front = self.fronts[index]
        requested_at = front.lease_holder.request_time_by_token.get(message.token, -(10**15))
        age = front.clock_ns - requested_at
        if isinstance(message, LeaseGrant):
            is_granted = message.lease_ms > 0
            return 1, index, message.incarnation, message.version_number, (), is_granted, age
        report = message.report
        lease = self.lease_table.lease_by_front.get(report.front)
        is_new = (
            lease is None
            or lease.report.incarnation != report.incarnation
            or message.token > lease.last_token
        )
        return 0, index, report.incarnation, report.version_number, report.open_attempts, is_new, age

    # Events that may happen next.

    def enabled_events(self) -> Iterator[Event]:
        yield ("tick",)
        if self.with_tasks:
            yield ("plan_tasks",)
        elif len(self.versions) < MAX_VERSIONS:
            yield ("commit_version",)
        if self.remaining_elections:
            yield ("elect_leader",)
        for index, front in enumerate(self.fronts):
            yield from self.events_of_front(index, front)
        for index in range(len(self.messages)):
            yield "deliver", index, False
            if self.remaining_faults:
                yield "deliver", index, True
        for host in HOSTS if self.with_tasks else ():
            if self.may_work(host):
                yield "work", host

    def events_of_front(self, index: int, front: Front) -> Iterator[Event]:
        yield "exchange_lease", index
        if front.lease_holder.version.number < self.version.number:
            yield "adopt_version", index
        for host in HOSTS if self.with_tasks else ():
            if host in front.attempt_ticks:
                yield "end_attempt", index, host
            elif self.may_send(front, host):
                yield "send_command", index, host
        if self.remaining_faults:
            yield "restart", index
            yield "request_lease", index

    def may_work(self, host: str) -> bool:
        task = self.version.task_for(host)
        if task is None:
            return False
        if task.step is MaintenanceStep.DRAINED:
            return True
        is_away = self.uptime_ms_by_host[host] < WARM_UP_MS
        return is_away and task.step in (MaintenanceStep.IN_MAINTENANCE, MaintenanceStep.WARMING)

    def may_send(self, front: Front, host: str) -> bool:
        holder, components = front.lease_holder, self.components
        if components.waits_for_first_answer and holder.is_awaiting_first_answer():
            return False
        is_cautious = holder.is_cautious(front.clock_ns)
        return host not in components.cordoned_hosts(holder.version, is_cautious, front.name)

    # Events.

    def apply(self, event: Event) -> None:
        getattr(self, event[0])(*event[1:])
        self.check_invariants()

    def tick(self) -> None:
        self.clock_ns += self.clock_rate * MS
        for front in self.fronts:
            front.clock_ns += front.clock_rate * MS
            front.attempt_ticks = {
                host: ticks + 1 for host, ticks in front.attempt_ticks.items() if ticks + 1 < ATTEMPT_TICKS
            }

    def work(self, host: str) -> None:
        """Advance the maintenance work of a machine: off the list, then restarted, then warm."""
        uptime = self.uptime_ms_by_host[host]
        if uptime == OFF_THE_LIST:
            self.uptime_ms_by_host[host] = 10
        else:
            self.uptime_ms_by_host[host] = LONG_UPTIME_MS if uptime < WARM_UP_MS else OFF_THE_LIST

    def adopt_version(self, index: int) -> None:
        self.fronts[index].lease_holder.adopt(self.version)

    def send_command(self, index: int, host: str) -> None:
        front = self.fronts[index]
        task = self.version.task_for(host)
        if task is not None and MaintenanceStep.DRAINED <= task.step <= MaintenanceStep.RESTORED:
            raise InvariantViolatedError(f"{front.name} sends to {host}, which is {task.step.name}")
        front.attempt_ticks[host] = 0

    def end_attempt(self, index: int, host: str) -> None:
        del self.fronts[index].attempt_ticks[host]

    def new_request(self, front: Front) -> LeaseRequest:
        holder = front.lease_holder
        token = holder.begin_request(front.clock_ns)
        report = FrontReport(
            front.name,
            holder.incarnation,
            holder.version.number,
            holder.version.digest,
            holder.is_cautious(front.clock_ns),
            100,
            tuple(HostCount(host, 1) for host in sorted(front.attempt_ticks)),
        )
        return LeaseRequest(token, report)

    def exchange_lease(self, index: int) -> None:
        """Exchange a lease request and its grant without delay."""
        front = self.fronts[index]
        grant = self.lease_table.on_request(self.clock_ns, self.new_request(front), NO_OTHER_LEADER_NS)
        if grant is not None:
            front.lease_holder.on_grant(front.clock_ns, grant, self.versions[grant.version_number])

    def request_lease(self, index: int) -> None:
        """Send a lease request that stays in flight until it is delivered."""
        self.remaining_faults -= 1
        self.messages += (self.new_request(self.fronts[index]),)
        self.message_fronts += (index,)

    def deliver(self, position: int, stays_in_flight: bool) -> None:
        """Deliver the message at a position; if it stays in flight, it may be delivered again."""
        message, index = self.messages[position], self.message_fronts[position]
        front = self.fronts[index]
        if stays_in_flight:
            self.remaining_faults -= 1
        else:
            self.messages = self.messages[:position] + self.messages[position + 1 :]
            self.message_fronts = self.message_fronts[:position] + self.message_fronts[position + 1 :]
        if isinstance(message, LeaseGrant):
            front.lease_holder.on_grant(front.clock_ns, message, self.versions[message.version_number])
            return
        grant = self.lease_table.on_request(self.clock_ns, message, NO_OTHER_LEADER_NS)
        if grant is not None:
            self.messages = (*self.messages, grant)
            self.message_fronts = (*self.message_fronts, index)

    def restart(self, index: int) -> None:
        self.remaining_faults -= 1
        front, components = self.fronts[index], self.components
        incarnation = front.lease_holder.incarnation + 1
        front.lease_holder = components.lease_holder(
            incarnation, front.clock_ns, components.timings, self.versions[1]
        )
        front.attempt_ticks.clear()

    def elect_leader(self) -> None:
        self.remaining_elections -= 1
        self.clock_rate = 200 - self.clock_rate
        self.lease_table = self.components.lease_table(self.clock_ns, self.components.timings, self.version)

    def commit_version(self) -> None:
        self.commit(apply_changes(self.version, 1, ()))

    def commit(self, version: RuleVersion) -> None:
        self.versions.append(version)
        self.lease_table.on_version_committed(version)

    def plan_tasks(self) -> None:
        machines = {
            host: MachineObservation(host, "cache", "a", True, uptime, WARM_UP_MS)
            for host, uptime in self.uptime_ms_by_host.items()
            if uptime != OFF_THE_LIST
        }
        members = tuple(front.name for front in self.fronts)
        observations = self.lease_table.observe(self.clock_ns, FleetView(members, machines, (), "f0"))
        change = self.components.plan(self.version, self.section, observations).change
        if change is None:
            return
        before = self.version
        self.commit(apply_changes(before, 1, (change,)))
        for task in self.version.maintenance_tasks:
            earlier = before.task_for(task.target)
            if earlier is None or earlier.step is not MaintenanceStep.DRAINED:
                self.check_drained(task.target, task.step)

    # Invariants.

    def check_drained(self, host: str, step: MaintenanceStep) -> None:
        for front in self.fronts:
            if step is MaintenanceStep.DRAINED and host in front.attempt_ticks:
                raise InvariantViolatedError(f"{host} is drained, but {front.name} has an open attempt there")

    def check_invariants(self) -> None:
        active_number = self.lease_table.active_number(self.clock_ns)
        for front in self.fronts:
            holder = front.lease_holder
            if not holder.is_cautious(front.clock_ns) and holder.version.number < active_number:
                raise InvariantViolatedError(
                    f"{front.name} holds a lease at {holder.version.number}, active is {active_number}"
                )
        unavailable = [task.target for task in self.version.maintenance_tasks if task.is_unavailable]
        if len(unavailable) > 1:
            raise InvariantViolatedError(f"unavailable at once: {unavailable}")
