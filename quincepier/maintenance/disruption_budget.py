"""The disruption budget: how many targets are unavailable, and whether one more may become unavailable.

A target is unavailable while it is under a maintenance task, from the start of its drain until it is warm
again. It is also unavailable when it has failed by itself: it is listed and not ready, it has started and is
not warm, or more than half of the fronts have ejected it. A pending task counts against the budget too. A
machine that is missing from both the machine list and the tasks is not counted; `min_available_per_zone`
guards against the loss of many such machines.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass

from quincepier.maintenance.section import TARGET_KINDS, TargetKind, UnavailableByKind, UnavailableLimits
from quincepier.rules.reports import MachineObservation, Observations
from quincepier.rules.version import MaintenanceTask, RuleVersion

# A machine counts as recently started for at least this time, even if it needs no warm-up.
MIN_START_WINDOW_MS = 30_000
MAX_NAMED_TARGETS = 4  # listed by name in a denial reason
RELATED_KIND = {"cache": "parent", "parent": "cache"}


@dataclass(slots=True, frozen=True)
class TargetGroup:
    """The targets of one kind in one zone; fronts have no zone."""

    kind: TargetKind
    zone: str = ""


def group_of_machine(machine: MachineObservation) -> TargetGroup | None:
    """Return the group of a machine, or None if machines of its kind get no maintenance tasks."""
    kind = next((kind for kind in TARGET_KINDS if kind == machine.kind), None)
    return TargetGroup(kind, machine.zone) if kind is not None else None


def is_recently_started(machine: MachineObservation) -> bool:
    """Whether the machine started so recently that this start can be distinguished from an earlier one."""
    return machine.uptime_ms < max(machine.warm_up_ms, MIN_START_WINDOW_MS)


class DisruptionBudget:
    """The budget of one planning round.

    Args:
        version: The newest rule version.
        tasks: The tasks as planned so far in this round; the planner changes this list during the round.
        limits: The operators' limits of unavailable targets.
        observations: The leader's observations of fronts and machines.
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
        """Return the zones of unavailable targets of a kind; `include_pending` adds pending tasks."""
        zone_by_target = {
            target: group.zone for target, group in self.failed_group_by_target.items() if group.kind == kind
        }
        for task in self.tasks:
            if task.kind == kind and (task.is_unavailable or (include_pending and task.is_active)):
                zone_by_target[task.target] = task.zone
        return zone_by_target

    def excess_reason(self, kind: str, zone: str) -> str:
        """Return which limit the unavailable targets exceed already; empty if they exceed none."""
        return self._limit_reason(kind, zone, self.zone_by_unavailable_target(kind, include_pending=False))

    def denial_reason(self, target: str, kind: str, zone: str, include_pending: bool) -> str:
        """Return why the target may not become unavailable now; empty if it may."""
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
        # While a cache and its parent are both unavailable, their objects must be fetched from the origin.
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

    def _are_in_one_shard(self, target: str, host: str) -> bool:
        return any({target, host} <= {*shard.caches, *shard.parents} for shard in self.version.shards)

    def _quorum_reason(self, target: str, kind: str) -> str:
        # At most one voter may be unavailable, whatever the limits are: two of three make a quorum.
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
    """Return the machines that are unavailable without a maintenance task, with their groups."""
    reports = [report for name, report in observations.report_by_front.items() if name == report.front]
    ejections = Counter(host for report in reports for host in set(report.ejected_hosts))
    group_by_host = dict[str, TargetGroup]()
    for host, machine in observations.machine_by_host.items():
        is_warming = machine.uptime_ms < machine.warm_up_ms
        is_ejected = 2 * ejections[host] > len(reports)
        group = group_of_machine(machine)
        if group is not None and (not machine.is_ready or is_warming or is_ejected):
            group_by_host[host] = group
    return group_by_host


def _maximum_reason(limits: UnavailableLimits, zone: str, zone_by_target: dict[str, str]) -> str:
    targets_in_zone = sorted(target for target, target_zone in zone_by_target.items() if target_zone == zone)
    exceeds_zone = len(targets_in_zone) > limits.max_per_zone
    if not exceeds_zone and len(zone_by_target) <= limits.max_total:
        return ""
    named_targets = (targets_in_zone if exceeds_zone else sorted(zone_by_target))[:MAX_NAMED_TARGETS]
    limit = f"over {limits.max_per_zone} in a zone or {limits.max_total} in all"
    return f"{', '.join(named_targets)} would be unavailable at once, {limit}"
