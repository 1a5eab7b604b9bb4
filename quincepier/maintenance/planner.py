"""Planning of maintenance tasks for the next rule version: tasks advance, and requests get new tasks.

A pure function computes the next change, if any, from rule version, requests and observations. In addition to
the invariants of `task_progress.py`, these hold:

1. A parent and its caches are never unavailable together. At most one voter is unavailable at a time, and the
   leader is last.
2. A task is added only while the service level is close to its baseline and the budget allows it. After one
   of its tasks was cancelled, a request gets no more tasks.
3. No task advances without reports, or before a new leader has waited for the leases of its predecessor.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass

import msgspec

from quincepier.maintenance.candidates import Candidate, find_targets, ranked_candidates
from quincepier.maintenance.disruption_budget import DisruptionBudget, is_recently_started
from quincepier.maintenance.section import TARGET_KINDS, MaintenanceRequest, MaintenanceSection
from quincepier.maintenance.service_level import service_level
from quincepier.maintenance.task_progress import Enter, TaskContext, Wait, next_progress
from quincepier.rules.reports import Observations
from quincepier.rules.version import (
    MAX_MAINTENANCE_TASKS,
    DisruptionLimit,
    MaintenanceStep,
    MaintenanceTask,
    RuleVersion,
    VersionChange,
)

MAX_MESSAGES = 32
MAX_REASON_CHARS = 200
MAX_CHANGE_REASON_CHARS = 2000
MAX_TASKS_BEFORE_PRUNING = MAX_MAINTENANCE_TASKS // 2


@dataclass(slots=True, frozen=True)
class Plan:
    """The outcome of a planning round: the change, if any, and log messages about waiting tasks."""

    change: VersionChange | None
    messages: tuple[str, ...]


def advance(
    version: RuleVersion, section: MaintenanceSection, observations: Observations
) -> VersionChange | None:
    """Return the next change of the tasks, if any.

    Equal arguments give the same change, so a change that is lost is planned again in the next round.
    """
    return plan(version, section, observations).change


def plan(version: RuleVersion, section: MaintenanceSection, observations: Observations) -> Plan:
    """Return the next change of the tasks, if any, and why tasks and requests wait."""
    missing = _missing_observations(observations)
    if not missing:
        return _PlanningRound(version, section, observations).plan()
    if section.requests or any(task.is_active for task in version.maintenance_tasks):
        return Plan(None, (f"nothing advances without {missing}",))
    return Plan(None, ())


def _missing_observations(observations: Observations) -> str:
    if not observations.machine_by_host:
        return "the list of machines"
    if not observations.report_by_front or not observations.active_number:
        return "reports of fronts that hold a lease"
    return ""


class _PlanningRound:
    """One planning round; each task is planned with the new steps of the tasks before it."""

    def __init__(self, version: RuleVersion, section: MaintenanceSection, observations: Observations) -> None:
        self.version = version
        self.section = section
        self.observations = observations
        self.tasks = list(version.maintenance_tasks)
        self.budget = DisruptionBudget(version, self.tasks, section.unavailable_limits, observations)
        self.service = service_level(section, observations)
        self.reasons = list[str]()
        self.messages = list[str]()

    def plan(self) -> Plan:
        """Advance each active task by at most one step, then add tasks for each request."""
        for index, task in enumerate(tuple(self.tasks)):
            if task.is_active:
                self._advance_task(index, task)
        for request in self.section.requests:
            self._add_tasks(request)
        return Plan(self._to_change(), tuple(self.messages[:MAX_MESSAGES]))

    def _context(self, request: MaintenanceRequest | None) -> TaskContext:
        return TaskContext(request, self.observations, self.budget, self.service)

    def _advance_task(self, index: int, task: MaintenanceTask) -> None:
        request = self.section.find_request(task.request_id)
        match next_progress(task, self._context(request)):
            case Wait(reason):
                self.messages.append(f"{task.target} stays {task.step.name.lower()}: {reason}")
            case Enter(step, reason, replacement):
                self.tasks[index] = msgspec.structs.replace(task, step=step, reason=reason[:MAX_REASON_CHARS])
                self.reasons.append(f"{task.target} {step.name.lower()}: {reason}")
                if replacement and self.version.task_for(replacement) is None:
                    self._continue_with_replacement(task, replacement)

    def _continue_with_replacement(self, task: MaintenanceTask, host: str) -> None:
        reason = f"in place of {task.target}"
        self.tasks.append(
            MaintenanceTask(task.request_id, host, task.kind, task.zone, MaintenanceStep.WARMING, 0, reason)
        )
        self.reasons.append(f"{host} warming: {reason}")

    def _add_tasks(self, request: MaintenanceRequest) -> None:
        """Add pending tasks for a request, as many as the budget allows to be unavailable.

        A front without a lease cordons the targets of pending tasks, so the request's other targets get their
        tasks later.
        """
        groups = find_targets(request, self.observations)
        started = {task.target for task in self.tasks if task.request_id == request.id}
        started |= set(request.replacement_by_host.values())
        remaining = [target for target in groups if target not in started]
        if not remaining:
            return
        if reason := self._request_obstacle(request):
            self.messages.append(f"request {request.id} starts nothing: {reason}")
            return
        for target in remaining:
            if groups[target] is None:
                self.messages.append(f"request {request.id} waits for {target}: it is not known")
        for candidate in ranked_candidates(request, self.budget):
            if candidate.target not in started and len(self.tasks) < MAX_MAINTENANCE_TASKS:
                self._add_task(request, candidate, is_last=len(remaining) == 1)

    def _add_task(self, request: MaintenanceRequest, candidate: Candidate, is_last: bool) -> None:
        target = candidate.target
        reason = self._candidate_obstacle(target, is_last) or self.budget.denial_reason(
            target, candidate.kind, candidate.zone, include_pending=True
        )
        if reason:
            self.messages.append(f"request {request.id} waits for {target}: {reason}")
            return
        self.tasks.append(
            MaintenanceTask(
                request.id,
                target,
                candidate.kind,
                candidate.zone,
                MaintenanceStep.PENDING,
                since_version=0,
                reason=candidate.reason,
            )
        )
        self.reasons.append(f"{target} pending: {candidate.reason}")

    def _request_obstacle(self, request: MaintenanceRequest) -> str:
        """Return why the request gets no more tasks for now; empty if it may get some."""
        if len(self.tasks) >= MAX_MAINTENANCE_TASKS:
            return "the limit of tasks is reached; remove old requests from the file"
        for task in self.tasks:
            if task.request_id == request.id and task.step is MaintenanceStep.CANCELLED:
                return f"{task.target} was cancelled ({task.reason}); request it again under another id"
        if request.stop:
            return "stopped"
        if request.pause:
            return "paused"
        return self._context(request).start_denial_reason

    def _candidate_obstacle(self, target: str, is_last: bool) -> str:
        """Return why this target gets no task yet, apart from the budget; empty if it may get one."""
        for task in self.tasks:
            if task.target == target and task.is_active:
                return f"it has a task of request {task.request_id}"
        machine = self.observations.machine_by_host.get(target)
        if machine is not None and machine.is_ready and is_recently_started(machine):
            return "it started recently"
        has_others = not is_last or any(task.is_active for task in self.tasks)
        if target == self.observations.leader and has_others:
            return "it is the leader, which is last"
        return ""

    def _to_change(self) -> VersionChange | None:
        if tuple(self.tasks) == self.version.maintenance_tasks:
            return None
        limits = tuple(self._disruption_limits())
        return VersionChange(
            "; ".join(self.reasons)[:MAX_CHANGE_REASON_CHARS],
            maintenance_tasks=tuple(self._retained_tasks()),
            disruption_limits=limits if limits != self.version.disruption_limits else None,
        )

    def _retained_tasks(self) -> list[MaintenanceTask]:
        if len(self.tasks) <= MAX_TASKS_BEFORE_PRUNING:
            return self.tasks
        return [
            task
            for task in self.tasks
            if task.is_active or self.section.find_request(task.request_id) is not None
        ]

    def _disruption_limits(self) -> Iterator[DisruptionLimit]:
        for kind in TARGET_KINDS:
            limits = self.section.unavailable_limits.for_kind(kind)
            yield DisruptionLimit(kind, limits.max_per_zone, limits.max_total)
