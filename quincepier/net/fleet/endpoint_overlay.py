"""What the module is told of the list: as the change log tells it, but machines under orders drain. Pure.

Rule: a machine under an order is READY to the module never, whatever the log says of it meanwhile, and is as
the log says once the order has ended. The failure guarded against: a restarted machine is listed as ready
before the fleet has called it back.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import replace

from quincepier.interface import Endpoint, EndpointState, EndpointUpdate, UpdateScope


class EndpointOverlay:
    """`hosts`: host ids by the module's numbers, as the directory keeps them."""

    def __init__(self, hosts: Mapping[int, str]) -> None:
        self.host_by_number = hosts
        self.cordoned: frozenset[str] = frozenset()

    def _overlaid(self, machine: Endpoint) -> Endpoint:
        under = (
            machine.state is EndpointState.READY
            and self.host_by_number.get(machine.cache, "") in self.cordoned
        )
        return replace(machine, state=EndpointState.DRAINING) if under else machine

    def overlay(self, news: EndpointUpdate) -> EndpointUpdate:
        """News of the list on its way to the module."""
        if not self.cordoned:
            return news
        return EndpointUpdate(news.scope, tuple(map(self._overlaid, news.machines)))

    def set_cordoned(self, leaving: frozenset[str], listed: Iterable[Endpoint]) -> EndpointUpdate | None:
        """Other machines are under orders from now on: what the module is to hear at once, None for nothing.

        `listed` are all machines as the log told them last; those given back are told so.
        """
        differ = self.cordoned ^ leaving
        self.cordoned = leaving
        if not differ:
            return None
        touched = tuple(self._overlaid(m) for m in listed if self.host_by_number.get(m.cache, "") in differ)
        return EndpointUpdate(UpdateScope.CHANGES, touched) if touched else None
