"""How many targets are unavailable, and whether one more may become so (a disruption budget).

Unavailable is a target under a task from its drain until it is warm again, and one that failed by itself:
listed and not ready, started and not warm, or ejected by more than half of the fronts. A pending task keeps
its place in the budget. A machine that neither the list nor a task names is not counted;
`min_available_per_zone` guards against many such.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass

from quincepier.maintenance.section import TARGET_KINDS, TargetKind, UnavailableByKind, UnavailableLimits
from quincepier.rules.reports import MachineObservation, Observations
from quincepier.rules.version import MaintenanceTask, RuleVersion

MIN_START_WINDOW_MS = (
    30_000  # a machine counts as recently started for so long, also where it is warm at once
)
MAX_NAMED_TARGETS = 4  # in a reason
RELATED_KIND = {"cache": "parent", "parent": "cache"}


@dataclass(slots=True, frozen=True)
class TargetGroup:
    """The targets of one kind in one zone; fronts have no zone."""

    kind: TargetKind
    zone: str = ""


def group_of_machine(machine: MachineObservation) -> TargetGroup | None:
    """Return the group of a machine, None where its kind gets no maintenance tasks."""
    kind = next((kind for kind in TARGET_KINDS if kind == machine.kind), None)
    return TargetGroup(kind, machine.zone) if kind is not None else None


def is_recently_started(machine: MachineObservation) -> bool:
    """Whether the machine's last start is so young that it can be told from an earlier one."""
    return machine.uptime_ms < max(machine.warm_up_ms, MIN_START_WINDOW_MS)


class DisruptionBudget:
    """The budget of one planning round.

    Args:
        version: The rule version that is in force.
        tasks: The tasks as far as the round has worked them out; the planner goes on changing this list.
        limits: What the operators allow.
        observations: What the leader observes of fronts and machines.
    """

    def __init__(
        self,
        version: RuleVersion,
        tasks: list[MaintenanceTask],
        limits: UnavailableByKind,
        observations: Observations,
    ) -> None:
        self.version = version
        self.tasks = tasks
        self.limits = limits
        self.observations = observations
        self.failed_group_by_target = _failed_machines(observations) | {
            name: TargetGroup("front")
            for name in observations.members
            if name not in observations.report_by_front
        }

    def zone_by_unavailable_target(self, kind: str, include_pending: bool) -> dict[str, str]:
        """Return the unavailable targets of a kind with their zones, those of pending tasks as asked."""
        found = {
            target: group.zone for target, group in self.failed_group_by_target.items() if group.kind == kind
        }
        for task in self.tasks:
            if task.kind == kind and (task.is_unavailable or (include_pending and task.is_active)):
                found[task.target] = task.zone
        return found

    def excess_reason(self, kind: str, zone: str) -> str:
        """Return why too many are unavailable as it is; empty where they are not."""
        return self._limit_reason(kind, zone, self.zone_by_unavailable_target(kind, include_pending=False))

    def denial_reason(self, target: str, kind: str, zone: str, include_pending: bool) -> str:
        """Return why the target may not become unavailable now; empty where it may."""
        unavailable = self.zone_by_unavailable_target(kind, include_pending)
        unavailable[target] = zone
        return (
            self._limit_reason(kind, zone, unavailable)
            or self._related_reason(target, kind, zone)
            or self._quorum_reason(target, kind)
        )

    def _limit_reason(self, kind: str, zone: str, zone_by_target: dict[str, str]) -> str:
        limits = self.limits.for_kind(kind)
        return _maximum_reason(limits, zone, zone_by_target) or self._minimum_reason(
            limits, kind, zone, zone_by_target
        )

    def _minimum_reason(
        self, limits: UnavailableLimits, kind: str, zone: str, zone_by_target: dict[str, str]
    ) -> str:
        if not limits.min_available_per_zone:
            return ""
        available = sum(
            machine.kind == kind and machine.zone == zone and host not in zone_by_target
            for host, machine in self.observations.machine_by_host.items()
        )
        if available >= limits.min_available_per_zone:
            return ""
        return f"{available} would be available in zone {zone}, under {limits.min_available_per_zone}"

    def _related_reason(self, target: str, kind: str, zone: str) -> str:
        # What an unavailable cache lost would have to be fetched past its unavailable parent.
        related_kind = RELATED_KIND.get(kind)
        if related_kind is None:
            return ""
        unavailable = self.zone_by_unavailable_target(related_kind, include_pending=True)
        for host, host_zone in sorted(unavailable.items()):
            if host_zone == zone:
                return f"{related_kind} {host} of the same zone is unavailable"
            if self._are_in_one_shard(target, host):
                return f"{related_kind} {host} of the same shard is unavailable"
        return ""

    def _are_in_one_shard(self, target: str, other: str) -> bool:
        return any({target, other} <= {*shard.caches, *shard.parents} for shard in self.version.shards)

    def _quorum_reason(self, target: str, kind: str) -> str:
        # One voter at most, whatever the limits are: two of three are needed for a quorum.
        observed = self.observations
        if kind != "front" or target not in observed.voters:
            return ""
        unavailable = self.zone_by_unavailable_target("front", include_pending=True)
        for voter in observed.voters:
            is_absent = voter not in observed.members or voter not in observed.report_by_front
            if voter != target and (voter in unavailable or is_absent):
                return f"voter {voter} is unavailable"
        return ""


def _failed_machines(observations: Observations) -> dict[str, TargetGroup]:
    """Return the machines that are unavailable by themselves."""
    reports = [report for name, report in observations.report_by_front.items() if name == report.front]
    ejections = Counter(host for report in reports for host in set(report.ejected_hosts))
    found = dict[str, TargetGroup]()
    for host, machine in observations.machine_by_host.items():
        is_warming = machine.uptime_ms < machine.warm_up_ms
        is_ejected = 2 * ejections[host] > len(reports)
        group = group_of_machine(machine)
        if group is not None and (not machine.is_ready or is_warming or is_ejected):
            found[host] = group
    return found


def _maximum_reason(limits: UnavailableLimits, zone: str, zone_by_target: dict[str, str]) -> str:
    in_zone = sorted(target for target, target_zone in zone_by_target.items() if target_zone == zone)
    exceeds_zone = len(in_zone) > limits.max_per_zone
    if not exceeds_zone and len(zone_by_target) <= limits.max_total:
        return ""
    named = (in_zone if exceeds_zone else sorted(zone_by_target))[:MAX_NAMED_TARGETS]
    limit = f"over {limits.max_per_zone} in a zone or {limits.max_total} in all"
    return f"{', '.join(named)} would be unavailable at once, {limit}"
