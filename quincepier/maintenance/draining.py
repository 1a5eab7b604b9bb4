"""Which hosts one front cordons under the version that it decides by."""

from __future__ import annotations

from quincepier.maintenance.section import MaintenanceSection
from quincepier.rules.version import RuleVersion


def cordoned_hosts(
    version: RuleVersion, is_cautious: bool, front: str, requested: frozenset[str] = frozenset()
) -> frozenset[str]:
    """Return the host ids that a front sends nothing new to; its own name is among them where it drains.

    A front without a lease can't know how far a task went on without it. It keeps away from every machine
    with an active task, pending ones too: for its sake each task is made known as pending first.

    Args:
        version: The version that the front decides by.
        is_cautious: Whether the front has no lease.
        front: The front's own name.
        requested: The hosts of the front's own file, for one that has started and had no version yet.
    """
    cordoned = {
        task.target
        for task in version.maintenance_tasks
        if (task.is_cordoned and (task.kind != "front" or task.target == front))
        or (is_cautious and task.is_active and task.kind != "front")
    }
    return frozenset(cordoned | requested) if is_cautious else frozenset(cordoned)


def requested_hosts(section: MaintenanceSection | None) -> frozenset[str]:
    """Return the host ids that a file requests maintenance for.

    Requests for a whole kind or zone are left out: those machines are too many to keep away from.
    """
    requests = section.requests if section is not None else ()
    return frozenset(host for request in requests if not request.stop for host in request.machines)
