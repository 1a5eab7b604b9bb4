"""The endpoint list as the router hears it: as the change log says, but cordoned machines drain. Pure.

A cordoned machine is never READY to the router, whatever the change log says of it meanwhile, and is as the
log says once it is cordoned no more. This guards against a restarted machine that is listed as ready before
its maintenance task has ended.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import replace

from quincepier.interface import Endpoint, EndpointState, EndpointUpdate, UpdateScope


class EndpointOverlay:
    """Puts the state of cordoned machines over the endpoint list.

    Args:
        host_by_number: Host ids by the router's numbers, as the machine directory has them.
    """

    def __init__(self, host_by_number: Mapping[int, str]) -> None:
        self.host_by_number = host_by_number
        self.cordoned: frozenset[str] = frozenset()

    def overlay(self, update: EndpointUpdate) -> EndpointUpdate:
        """Return an update of the change log as the router is to hear it."""
        if not self.cordoned:
            return update
        return EndpointUpdate(update.scope, tuple(map(self._overlaid, update.endpoints)))

    def set_cordoned(self, cordoned: frozenset[str], listed: Iterable[Endpoint]) -> EndpointUpdate | None:
        """Cordon other machines from now on.

        Args:
            cordoned: Host ids.
            listed: All machines, as the change log listed them last.

        Returns:
            What the router must hear at once, machines that are released among it; None for nothing.
        """
        changed = self.cordoned ^ cordoned
        self.cordoned = cordoned
        if not changed:
            return None
        machines = tuple(
            self._overlaid(machine)
            for machine in listed
            if self.host_by_number.get(machine.number, "") in changed
        )
        return EndpointUpdate(UpdateScope.CHANGES, machines) if machines else None

    def _overlaid(self, machine: Endpoint) -> Endpoint:
        is_cordoned = self.host_by_number.get(machine.number, "") in self.cordoned
        if machine.state is EndpointState.READY and is_cordoned:
            return replace(machine, state=EndpointState.DRAINING)
        return machine
