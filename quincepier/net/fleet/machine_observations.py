"""Converts the endpoint list of this front to the machine observations that planners use."""

from __future__ import annotations

from quincepier import clock
from quincepier.interface import Endpoint, EndpointState, Settings
from quincepier.net.module import ModuleActor
from quincepier.rules import MachineObservation

UNKNOWN_UPTIME_NS = 1 << 61  # for a machine without a start time: as if started long ago


def observe_machines(module: ModuleActor) -> dict[str, MachineObservation]:
    """Return observations of all listed machines by host id."""
    settings = module.config.settings
    now_ns = clock.now()
    return {
        host: _observe_machine(host, entry.record.zone, entry.machine, settings, now_ns)
        for host, entry in module.directory.entry_by_host.items()
    }


def _observe_machine(
    host: str, zone: str, machine: Endpoint, settings: Settings, now_ns: int
) -> MachineObservation:
    kind = _kind_name(machine, settings)
    cold_ns = settings.parent_cold_time if kind == "parent" else settings.cold_time
    uptime_ns = now_ns - machine.started_at if machine.started_at else UNKNOWN_UPTIME_NS
    return MachineObservation(
        host=host,
        kind=kind,
        zone=zone,
        is_ready=machine.state is EndpointState.READY,
        uptime_ms=uptime_ns // clock.MS,
        warm_up_ms=(cold_ns + settings.cold_window) // clock.MS,
    )


def _kind_name(machine: Endpoint, settings: Settings) -> str:
    if machine.kind == settings.parent_kind:
        return "parent"
    return "origin" if machine.kind == settings.origin_kind else "cache"
