"""Logs the changes of a new version: each step of a maintenance task or a migration with its reason."""

from __future__ import annotations

from collections.abc import Iterator

from loguru import logger

from quincepier.rules import MaintenanceTask, Migration, RuleVersion

MAX_LINES_PER_VERSION = 50


def log_version_change(before: RuleVersion, after: RuleVersion, reason: str, took_ms: float) -> None:
    """Log a committed version and its changes; called by the leader, once per version.

    Args:
        before: The previous version.
        after: The committed version.
        reason: Why it was proposed.
        took_ms: Time from its proposal to its commit, in milliseconds.
    """
    log = logger.bind(
        event="version_committed",
        number=after.number,
        term=after.term,
        reason=reason,
        took_ms=round(took_ms, 1),
    )
    log.info("version {} committed in term {}: {}", after.number, after.term, reason or "no reason given")
    for count, entry in enumerate(_changed_entries(before, after)):
        if count >= MAX_LINES_PER_VERSION:
            return
        if isinstance(entry, MaintenanceTask):
            _log_maintenance_step(after.number, entry)
        else:
            _log_migration_step(after.number, entry)


def _changed_entries(before: RuleVersion, after: RuleVersion) -> Iterator[MaintenanceTask | Migration]:
    step_by_task = {(task.request_id, task.target): task.step for task in before.maintenance_tasks}
    for task in after.maintenance_tasks:
        if step_by_task.get((task.request_id, task.target)) != task.step:
            yield task
    progress_by_request = {
        migration.request_id: (migration.step, migration.moved_slots) for migration in before.migrations
    }
    for migration in after.migrations:
        if progress_by_request.get(migration.request_id) != (migration.step, migration.moved_slots):
            yield migration


def _log_maintenance_step(number: int, task: MaintenanceTask) -> None:
    step = task.step.name.lower()
    log = logger.bind(
        event="maintenance_step",
        number=number,
        request_id=task.request_id,
        machine=task.target,
        step=step,
        reason=task.reason,
    )
    log.info("maintenance {}: {} {}{}", task.request_id, task.target, step, _reason_suffix(task.reason))


def _log_migration_step(number: int, migration: Migration) -> None:
    step = migration.step.name.lower()
    log = logger.bind(
        event="migration_step",
        number=number,
        request_id=migration.request_id,
        tenant=migration.tenant,
        step=step,
        moved_slots=migration.moved_slots,
        reason=migration.reason,
    )
    suffix = _reason_suffix(migration.reason)
    log.info("migration {}: {} {}{}", migration.request_id, migration.tenant, step, suffix)


def _reason_suffix(reason: str) -> str:
    return f": {reason}" if reason else ""
