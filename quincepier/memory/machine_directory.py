"""The directory of machines: host id to the module's number and back, addresses, and what the list said last.

A number follows from the host id alone, so that all fronts hash an object to the same machine.
"""

from __future__ import annotations

import hashlib
from collections.abc import Collection, Iterable
from dataclasses import dataclass, replace

from quincepier import clock
from quincepier.interface import Endpoint, EndpointState, EndpointUpdate, UpdateScope
from quincepier.wire.changelog import FleetChange, HostRecord
from quincepier.wire.errors import ProtocolError


@dataclass(slots=True)
class MachineEntry:
    record: HostRecord
    machine: Endpoint


class MachineDirectory:
    def __init__(self, zones: tuple[str, ...], kinds: tuple[str, ...]) -> None:
        self.zones = {name: n for n, name in enumerate(zones)}
        self.kinds = {name: n for n, name in enumerate(kinds)}
        self.entries: dict[str, MachineEntry] = {}
        self.numbers: dict[str, int] = {}  # of the hosts listed, and of those that are still in use
        self.hosts: dict[int, str] = {}

    def number(self, host: str) -> int:
        if host not in self.numbers:
            number = int.from_bytes(hashlib.blake2b(host.encode(), digest_size=4).digest(), "little") or 1
            while number in self.hosts:
                number = number % 0xFFFFFFFF + 1
            self.numbers[host], self.hosts[number] = number, host
        return self.numbers[host]

    def entry(self, number: int) -> MachineEntry | None:
        return self.entries.get(self.hosts.get(number, ""))

    def _machine(self, record: HostRecord) -> Endpoint:
        if record.site not in self.zones or record.kind not in self.kinds:
            raise ProtocolError(f"host {record.host[:40]} has an unknown site or class")
        before = self.entries.get(record.host)
        # the same start stays the same time, though the clocks may drift apart
        known = before is not None and before.record.born_ms == record.born_ms
        up_since = before.machine.up_since if before and known else clock.since(record.born_ms)
        number, cell = self.number(record.host), record.cell & 0xFFFF
        kind, zone = self.kinds[record.kind], self.zones[record.site]
        return Endpoint(number, kind, zone, cell, record.size, up_since, record.state)

    def apply(self, change: FleetChange, scope: UpdateScope = UpdateScope.CHANGES) -> EndpointUpdate:
        """Take a change in whole or, where a record of it can't be used, not at all.

        Of a host named twice the last record counts. Where a machine comes at the address of another, that
        one has gone, told or not yet: what is meant for it would reach the new one.
        """
        entries = {record.host: MachineEntry(record, self._machine(record)) for record in change.hosts}
        new = [e for e in entries.values() if e.record.host not in self.entries]
        left = {e.record.address for e in entries.values() if e.machine.state is EndpointState.GONE}
        came = {e.record.address for e in new if e.machine.state is EndpointState.READY} - left - {None}
        for host, old in self.entries.items():
            if old.record.address in came and host not in entries and not change.whole:
                entries[host] = MachineEntry(old.record, replace(old.machine, state=EndpointState.GONE))
        if change.whole:
            self.entries.clear()
        for entry in entries.values():
            if entry.machine.state is EndpointState.GONE:
                self.entries.pop(entry.record.host, None)
            else:
                self.entries[entry.record.host] = entry
        return EndpointUpdate(scope, tuple(entry.machine for entry in entries.values()))

    def whole(self) -> EndpointUpdate:
        return EndpointUpdate(UpdateScope.FULL, tuple(entry.machine for entry in self.entries.values()))

    def forget(self, used: Collection[int]) -> None:
        """Let go of hosts that are off the list and that nothing open refers to."""
        for number, host in list(self.hosts.items()):
            if host not in self.entries and number not in used:
                del self.hosts[number], self.numbers[host]

    def listed(self) -> Iterable[tuple[int, HostRecord]]:
        return ((entry.machine.cache, entry.record) for entry in self.entries.values())
