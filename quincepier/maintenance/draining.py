"""The hosts that a front cordons under its rule version."""

from __future__ import annotations

from quincepier.maintenance.section import MaintenanceSection
from quincepier.rules.version import RuleVersion


def cordoned_hosts(
    version: RuleVersion, is_cautious: bool, front: str, requested: frozenset[str] = frozenset()
) -> frozenset[str]:
    """Return the host ids that a front sends no new requests to; its own name is among them if it drains.

    A front without a lease can't know to which step a task has advanced meanwhile, so it cordons every
    machine with an active task. This includes pending tasks: each task is first committed as pending, so that
    such a front knows of it before the drain starts.

    Args:
        version: The front's rule version.
        is_cautious: Whether the front has no lease.
        front: The front's own name.
        requested: The hosts with maintenance requests in the front's own file, for a front that has started
            and received no version yet.
    """
    cordoned = {
        task.target
        for task in version.maintenance_tasks
        if (task.is_cordoned and (task.kind != "front" or task.target == front))
        or (is_cautious and task.is_active and task.kind != "front")
    }
    return frozenset(cordoned | requested) if is_cautious else frozenset(cordoned)


def requested_hosts(section: MaintenanceSection | None) -> frozenset[str]:
    """Return the host ids for which an operators' file requests maintenance.

    Requests for a whole kind or zone are left out: they name too many machines to cordon at once.
    """
    requests = section.requests if section is not None else ()
    return frozenset(host for request in requests if not request.stop for host in request.machines)
