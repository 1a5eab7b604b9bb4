"""The order in which the targets of a request get maintenance, with the reason for each target.

The order is total and starts with the least costly targets: machines that are unavailable already, then the
machines of a zone in which the request has started maintenance, then those of the zone with the least load.
Within a zone, targets are ordered by load, then by name. Fronts are ordered by load too; voters follow the
other fronts, and the leader is last.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum

from quincepier.maintenance.disruption_budget import DisruptionBudget, TargetGroup, group_of_machine
from quincepier.maintenance.section import MaintenanceRequest, TargetKind
from quincepier.rules.reports import Observations


@dataclass(slots=True, frozen=True)
class Candidate:
    """A target that may get a maintenance task, and the reason for its position in the order."""

    target: str
    kind: TargetKind
    zone: str
    reason: str


class _ConsensusRole(IntEnum):
    NONE = 0
    VOTER = 1
    LEADER = 2


def find_targets(request: MaintenanceRequest, observations: Observations) -> dict[str, TargetGroup | None]:
    """Return the targets that a request names or selects now, each with its group.

    A named target that is not listed has the group None.
    """
    if request.kind == "front":
        return {name: TargetGroup("front") for name in observations.members}
    if request.kind is not None:
        return {
            host: TargetGroup(request.kind, machine.zone)
            for host, machine in observations.machine_by_host.items()
            if machine.kind == request.kind and request.zone in ("", machine.zone)
        }
    group_by_target: dict[str, TargetGroup | None] = {
        name: TargetGroup("front") if name in observations.members else None for name in request.fronts
    }
    for host in request.machines:
        machine = observations.machine_by_host.get(host)
        group_by_target[host] = group_of_machine(machine) if machine is not None else None
    return group_by_target


def commands_per_second(observations: Observations) -> dict[str, float]:
    """Return the commands per second by target: those sent to a machine, or sent by a front."""
    rate_by_target = dict[str, float]()
    for name, report in observations.report_by_front.items():
        if name != report.front:  # the report of an earlier start of the front
            continue
        for host, count in report.sent_commands:
            rate = count * 1000 / max(report.window_ms, 1)
            rate_by_target[host] = rate_by_target.get(host, 0.0) + rate
            rate_by_target[name] = rate_by_target.get(name, 0.0) + rate
    return rate_by_target


def ranked_candidates(request: MaintenanceRequest, budget: DisruptionBudget) -> list[Candidate]:
    """Return the listed targets of a request in the order in which they get maintenance."""
    return _Ranking(request, budget).ranked()


class _Ranking:
    """The order of one request's candidates, with the loads and groups that it depends on."""

    def __init__(self, request: MaintenanceRequest, budget: DisruptionBudget) -> None:
        self.observations = budget.observations
        self.failed_targets = budget.failed_group_by_target.keys()
        self.load_by_target = commands_per_second(self.observations)
        self.group_by_target = find_targets(request, self.observations)
        self.started_groups = {
            TargetGroup(task.kind, task.zone) for task in budget.tasks if task.request_id == request.id
        }
        self.load_by_group = dict[TargetGroup, float]()
        for target, group in self.group_by_target.items():
            if group is not None:
                load = self.load_by_target.get(target, 0.0)
                self.load_by_group[group] = self.load_by_group.get(group, 0.0) + load

    def ranked(self) -> list[Candidate]:
        """Return the candidates, the least costly first."""
        keyed = [
            (self._sort_key(target, group), self._candidate(target, group))
            for target, group in self.group_by_target.items()
            if group is not None
        ]
        return [candidate for _, candidate in sorted(keyed, key=lambda item: item[0])]

    def _sort_key(self, target: str, group: TargetGroup) -> tuple[object, ...]:
        return (
            self._role(target, group),
            target not in self.failed_targets,
            group not in self.started_groups,
            round(self.load_by_group[group], 1),
            group.zone,
            group.kind,
            round(self.load_by_target.get(target, 0.0), 1),
            target,
        )

    def _role(self, target: str, group: TargetGroup) -> _ConsensusRole:
        if group.kind != "front":
            return _ConsensusRole.NONE
        return _ConsensusRole((target == self.observations.leader) + (target in self.observations.voters))

    def _candidate(self, target: str, group: TargetGroup) -> Candidate:
        return Candidate(target, group.kind, group.zone, self._reason(target, group))

    def _reason(self, target: str, group: TargetGroup) -> str:
        if target in self.failed_targets:
            return "unavailable already"
        match self._role(target, group):
            case _ConsensusRole.LEADER:
                return "the leader, last"
            case _ConsensusRole.VOTER:
                return "a voter, after the others"
        reason = f"least load of those left, {self.load_by_target.get(target, 0.0):.1f}/s"
        if not group.zone:
            return reason
        if group in self.started_groups:
            return f"zone {group.zone} started and {reason}"
        return f"zone {group.zone} of least load, {self.load_by_group[group]:.1f}/s, and {reason}"
