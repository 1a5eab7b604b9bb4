"""The endpoint list as the router receives it: as in the change log, but cordoned machines drain. No I/O.

The router never receives a cordoned machine as READY, whatever state the change log reports for it. Once the
machine is no longer cordoned, it has the state of the change log again. This guards against a restarted
machine that is listed as ready before its maintenance task has ended.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import replace

from quincepier.interface import Endpoint, EndpointState, EndpointUpdate, UpdateScope


class EndpointOverlay:
    """Overrides the state of cordoned machines in the endpoint list.

    Args:
        host_by_number: Host ids by the router's numbers, from the machine directory.

    Attributes:
        cordoned: Host ids of the cordoned machines.
    """

    def __init__(self, host_by_number: Mapping[int, str]) -> None:
        self.host_by_number = host_by_number
        self.cordoned: frozenset[str] = frozenset()

    def overlay(self, update: EndpointUpdate) -> EndpointUpdate:
        """Return an update from the change log with the states that the router must receive."""
        if not self.cordoned:
            return update
        return EndpointUpdate(update.scope, tuple(map(self._overlay_machine, update.endpoints)))

    def set_cordoned(self, cordoned: frozenset[str], listed: Iterable[Endpoint]) -> EndpointUpdate | None:
        """Replace the set of cordoned machines.

        Args:
            cordoned: Host ids of the cordoned machines.
            listed: All machines, as last listed by the change log.

        Returns:
            The update that the router must receive at once, including machines that are no longer cordoned;
            None if no listed machine changes.
        """
        changed = self.cordoned ^ cordoned
        self.cordoned = cordoned
        if not changed:
            return None
        machines = tuple(
            self._overlay_machine(machine)
            for machine in listed
            if self.host_by_number.get(machine.number, "") in changed
        )
        return EndpointUpdate(UpdateScope.CHANGES, machines) if machines else None

    def _overlay_machine(self, machine: Endpoint) -> Endpoint:
        is_cordoned = self.host_by_number.get(machine.number, "") in self.cordoned
        if machine.state is EndpointState.READY and is_cordoned:
            return replace(machine, state=EndpointState.DRAINING)
        return machine
