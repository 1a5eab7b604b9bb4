"""The state machine of one maintenance task: whether it may enter its next step, or why it waits.

These invariants hold across changes of leader, since they depend only on the rule version and on
observations:

1. A task advances only after its step is in force: no front with a lease has an older version.
2. A task does not drain before every front, with or without a lease, knows it as pending
   (`Observations.acknowledged_number`).
3. No more targets are unavailable than allowed; targets that are pending, warming or failed count too
   (`disruption_budget.py`).
4. A target is drained only when no front may send to it or has a request open there: the drain is in force,
   every report is of that version or a later one and shows no open requests, and fronts without a report hold
   no lease.
5. If service falls below the floor, tasks that are not drained yet are cancelled. The others continue, since
   work on their targets may be in progress.
6. The start and the end of the work are taken from the machine list: the target is missing, not ready or
   restarted, and later ready after a new start. Reading the list again does not count as a start. If the work
   needs no restart, operators name the target in `finished`.
"""

from __future__ import annotations

from dataclasses import dataclass

from quincepier.maintenance.disruption_budget import DisruptionBudget, is_recently_started
from quincepier.maintenance.errors import TransitionError
from quincepier.maintenance.section import MaintenanceRequest
from quincepier.maintenance.service_level import ServiceLevel
from quincepier.rules.reports import FrontReport, MachineObservation, Observations
from quincepier.rules.version import MaintenanceStep, MaintenanceTask

TRANSITIONS: dict[MaintenanceStep, frozenset[MaintenanceStep]] = {
    MaintenanceStep.PENDING: frozenset({MaintenanceStep.DRAINING, MaintenanceStep.CANCELLED}),
    MaintenanceStep.DRAINING: frozenset({MaintenanceStep.DRAINED, MaintenanceStep.CANCELLED}),
    MaintenanceStep.DRAINED: frozenset(
        {MaintenanceStep.IN_MAINTENANCE, MaintenanceStep.RESTORED, MaintenanceStep.COMPLETED}
    ),
    MaintenanceStep.IN_MAINTENANCE: frozenset({MaintenanceStep.RESTORED, MaintenanceStep.COMPLETED}),
    MaintenanceStep.RESTORED: frozenset(
        {MaintenanceStep.WARMING, MaintenanceStep.IN_MAINTENANCE, MaintenanceStep.COMPLETED}
    ),
    MaintenanceStep.WARMING: frozenset({MaintenanceStep.COMPLETED}),
    MaintenanceStep.COMPLETED: frozenset(),
    MaintenanceStep.CANCELLED: frozenset(),
}


@dataclass(slots=True, frozen=True)
class Enter:
    """The task enters a step; `replacement` is the host that continues in place of the target, if any."""

    step: MaintenanceStep
    reason: str
    replacement: str = ""


@dataclass(slots=True, frozen=True)
class Wait:
    """The task stays at its step."""

    reason: str


Progress = Enter | Wait


@dataclass(slots=True, frozen=True)
class TaskContext:
    """The inputs of a task's next step; `request` is None if it was removed from the file."""

    request: MaintenanceRequest | None
    observations: Observations
    budget: DisruptionBudget
    service: ServiceLevel

    @property
    def is_paused(self) -> bool:
        """Whether operators have paused the request."""
        return self.request is not None and self.request.pause

    @property
    def acknowledged_number(self) -> int:
        """The highest version number that every front has received, with or without a lease."""
        acknowledged = self.observations.acknowledged_number
        return self.observations.active_number if acknowledged is None else acknowledged

    @property
    def start_denial_reason(self) -> str:
        """Why no task at all may start now; empty if tasks may start."""
        if not self.observations.unleased_fronts_idle:
            return "a front without a lease may have requests open"
        return self.service.wait_reason

    def is_finished(self, target: str) -> bool:
        """Whether operators say that work at the target is over."""
        return self.request is not None and target in self.request.finished_targets

    def replacement_of(self, target: str) -> str:
        """Return the host id that operators name as the target's replacement, or "" for none."""
        return self.request.replacement_by_host.get(target, "") if self.request is not None else ""


def next_progress(task: MaintenanceTask, context: TaskContext) -> Progress:
    """Return the next step of an active task, or the reason why it waits.

    Raises:
        TransitionError: `TRANSITIONS` does not allow the step.
    """
    progress = _next_progress(task, context)
    if isinstance(progress, Enter) and progress.step not in TRANSITIONS[task.step]:
        raise TransitionError(
            f"a task can't go from {task.step.name} to {progress.step.name}", f"task of {task.target}"
        )
    return progress


def _next_progress(task: MaintenanceTask, context: TaskContext) -> Progress:
    if reason := _cancel_reason(task, context):
        return Enter(MaintenanceStep.CANCELLED, reason)
    if context.observations.active_number < task.since_version:
        return Wait(f"version {task.since_version} is not in force everywhere")
    match task.step:
        case MaintenanceStep.PENDING:
            return _start_drain(task, context)
        case MaintenanceStep.DRAINING:
            return _finish_drain(task, context)
    if task.kind == "front":
        return _follow_front(task, context)
    return _follow_machine(task, context)


def _cancel_reason(task: MaintenanceTask, context: TaskContext) -> str:
    # Before a target is drained, fronts may safely use it again at any time, without an agreement.
    if task.step > MaintenanceStep.DRAINING:
        return ""
    if context.request is None:
        return "its request is not in the file of the leader"
    if context.request.stop:
        return "operators stopped it"
    return context.service.cancel_reason


def _start_drain(task: MaintenanceTask, context: TaskContext) -> Progress:
    if context.is_paused:
        return Wait("paused")
    if context.acknowledged_number < task.since_version:
        return Wait("a front that no longer reports has not acknowledged it")
    if task.kind != "front" and task.target not in context.observations.machine_by_host:
        return Wait("it is not listed")
    if reason := context.start_denial_reason:
        return Wait(reason)
    if denial := context.budget.denial_reason(task.target, task.kind, task.zone, include_pending=False):
        return Wait(denial)
    return Enter(MaintenanceStep.DRAINING, task.reason)


def _finish_drain(task: MaintenanceTask, context: TaskContext) -> Progress:
    observations = context.observations
    if context.is_paused:
        return Wait("paused")
    if not observations.unleased_fronts_idle:
        return Wait("a front without a lease may have requests open")
    if excess := context.budget.excess_reason(task.kind, task.zone):
        return Wait(excess)
    for name, report in sorted(observations.report_by_front.items()):
        if reason := _open_request_reason(task, name, report):
            return Wait(reason)
    machine = observations.machine_by_host.get(task.target)
    if machine is not None and machine.is_ready and is_recently_started(machine):
        return Wait("it restarted by itself a short time ago; its next restart would not be recognized")
    return Enter(MaintenanceStep.DRAINED, "no requests are open there and no front may send to it")


def _open_request_reason(task: MaintenanceTask, name: str, report: FrontReport) -> str:
    """Return why the front's report does not show the target as drained; empty if it does."""
    if report.version_number < task.since_version:
        return f"{name} still reports version {report.version_number}"
    if task.kind != "front":
        has_open_attempts = any(host == task.target and count for host, count in report.open_attempts)
        return f"{name} has requests open there" if has_open_attempts else ""
    if report.front != task.target:
        return ""
    if name != task.target:
        return "the process before its restart may have requests open"
    has_open_attempts = any(count for _, count in report.open_attempts)
    if has_open_attempts or any(count for _, _, count in report.open_unsafe_requests):
        return "it has requests open"
    return ""


def _follow_machine(task: MaintenanceTask, context: TaskContext) -> Progress:
    """Return the progress of a drained machine by its state in the machine list, until it is warm again."""
    machine = context.observations.machine_by_host.get(task.target)
    is_ready = machine is not None and machine.is_ready
    replacement = context.replacement_of(task.target)
    if replacement and not is_ready and task.step < MaintenanceStep.WARMING:
        return _replace(task, context, replacement)
    match task.step:
        case MaintenanceStep.DRAINED:
            return _await_work(machine, context.is_finished(task.target))
        case MaintenanceStep.IN_MAINTENANCE:
            return _await_return(machine, context.is_finished(task.target))
        case MaintenanceStep.RESTORED if is_ready:
            return Enter(MaintenanceStep.WARMING, "used within its warm-up budget")
        case MaintenanceStep.RESTORED:
            return Enter(MaintenanceStep.IN_MAINTENANCE, "away again")
    if machine is None or not is_ready:
        return Wait("it failed during its warm-up")
    if machine.uptime_ms < machine.warm_up_ms:
        return Wait("not warm yet")
    return Enter(MaintenanceStep.COMPLETED, "warm")


def _await_work(machine: MachineObservation | None, is_finished: bool) -> Progress:
    if machine is None:
        return Enter(MaintenanceStep.IN_MAINTENANCE, "off the list")
    if not machine.is_ready:
        return Enter(MaintenanceStep.IN_MAINTENANCE, "not ready")
    if is_recently_started(machine):
        return Enter(MaintenanceStep.IN_MAINTENANCE, "restarted")
    if is_finished:
        return Enter(MaintenanceStep.RESTORED, "operators say that work is over")
    return Wait("work may begin")


def _await_return(machine: MachineObservation | None, is_finished: bool) -> Progress:
    if machine is None or not machine.is_ready:
        return Wait("not listed or not ready; if it returned under another id, name it in `replaced`")
    if is_recently_started(machine):
        return Enter(MaintenanceStep.RESTORED, "ready after a restart")
    if is_finished:
        return Enter(MaintenanceStep.RESTORED, "operators say that work is over")
    return Wait("listed again without a restart; if the work needs none, name it in `finished`")


def _replace(task: MaintenanceTask, context: TaskContext, replacement: str) -> Progress:
    machine = context.observations.machine_by_host.get(replacement)
    if machine is None or not machine.is_ready or (machine.kind, machine.zone) != (task.kind, task.zone):
        return Wait(f"{replacement} is not ready, or is of another kind or zone")
    return Enter(MaintenanceStep.COMPLETED, f"replaced by {replacement}", replacement)


def _follow_front(task: MaintenanceTask, context: TaskContext) -> Progress:
    """Return the progress of a drained front.

    It is in maintenance while it holds no lease. After a restart there is a second report for its earlier
    process.
    """
    report_by_front = context.observations.report_by_front
    report = report_by_front.get(task.target)
    has_restarted = any(
        other.front == task.target and name != task.target for name, other in report_by_front.items()
    )
    match task.step:
        case MaintenanceStep.DRAINED if report is None:
            return Enter(MaintenanceStep.IN_MAINTENANCE, "it holds no lease")
        case MaintenanceStep.DRAINED if has_restarted:
            return Enter(MaintenanceStep.IN_MAINTENANCE, "restarted")
        case MaintenanceStep.DRAINED if not context.is_finished(task.target):
            return Wait("work may begin")
        case MaintenanceStep.DRAINED | MaintenanceStep.IN_MAINTENANCE if report is not None:
            return Enter(MaintenanceStep.RESTORED, "it reports")
        case MaintenanceStep.RESTORED if report is not None:
            return Enter(MaintenanceStep.WARMING, "it serves")
        case MaintenanceStep.WARMING if report is not None and not report.is_cautious:
            return Enter(MaintenanceStep.COMPLETED, "it holds a lease")
    return Wait("it does not report")
