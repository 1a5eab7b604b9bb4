"""What one front has to keep from under the version that it decides by."""

from __future__ import annotations

from quincepier.maintenance.section import MaintenanceSection
from quincepier.rules.version import RuleVersion


def cordoned_hosts(
    version: RuleVersion, cautious: bool, me: str, wished: frozenset[str] = frozenset()
) -> frozenset[str]:
    """Host ids that this front treats as leaving; `me` is among them where it is itself to drain.

    A front without a lease cannot know how far an order went on without it. It keeps from every machine with
    an open order, waiting ones too: each order is first told to all as waiting, for this alone. One that
    started and had no answer yet (`Holder.blank`) is given what its own file names, as `wished`.
    """
    found = {
        order.target
        for order in version.maintenance_tasks
        if (order.is_cordoned and (order.kind != "front" or order.target == me))
        or (cautious and order.is_active and order.kind != "front")
    }
    return frozenset(found | wished) if cautious else frozenset(found)


def requested_hosts(section: MaintenanceSection | None) -> frozenset[str]:
    """Machines that a file wishes out by host id; those of a whole kind or zone are too many to keep from."""
    wishes = section.requests if section is not None else ()
    return frozenset(host for wish in wishes if not wish.stop for host in wish.machines)
