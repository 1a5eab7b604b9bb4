"""What differs between two versions, as log lines: each step of an order or a move with its reason."""

from __future__ import annotations

from collections.abc import Iterator

from loguru import logger

from quincepier.rules import MaintenanceTask, Migration, RuleVersion

LINES_MOST = 50  # of one version


def log_version_change(before: RuleVersion, after: RuleVersion, why: str, took_ms: float) -> None:
    """By whoever leads, once for a version; `took_ms` since it was proposed."""
    told = logger.bind(
        event="version agreed", number=after.number, term=after.term, why=why, took_ms=round(took_ms, 1)
    )
    told.info("version {} agreed in term {}: {}", after.number, after.term, why or "nothing told")
    for n, (kind, entry, name) in enumerate(_differ(before, after)):
        if n >= LINES_MOST:
            return
        step = entry.step.name.lower()
        fields: dict[str, object] = {"wish": entry.request_id, kind: name, "step": step, "why": entry.reason}
        if isinstance(entry, Migration):
            fields["part"] = entry.moved_slots
        what = "order step" if kind == "machine" else "move step"
        line = logger.bind(event=what, number=after.number, **fields)
        line.info(
            "{}: {} {} {}{}{}", what, entry.request_id, name, step, ": " if entry.reason else "", entry.reason
        )


def _differ(
    before: RuleVersion, after: RuleVersion
) -> Iterator[tuple[str, MaintenanceTask | Migration, str]]:
    orders = {(o.request_id, o.target): o.step for o in before.maintenance_tasks}
    for order in after.maintenance_tasks:
        if orders.get((order.request_id, order.target)) != order.step:
            yield "machine", order, order.target
    moves = {m.request_id: (m.step, m.moved_slots) for m in before.migrations}
    for move in after.migrations:
        if moves.get(move.request_id) != (move.step, move.moved_slots):
            yield "tenant", move, move.tenant
