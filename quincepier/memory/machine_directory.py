"""The machine directory: machine numbers by host id and back, and the newest list record of each machine.

A number follows from the host id alone, so that all fronts hash an object to the same machine.
"""

from __future__ import annotations

import hashlib
from collections.abc import Callable, Collection, Iterable, Mapping
from dataclasses import dataclass, replace

from quincepier.clock import MS
from quincepier.interface import Endpoint, EndpointState, EndpointUpdate, UpdateScope
from quincepier.wire.changelog import FleetChange, HostRecord
from quincepier.wire.errors import ProtocolError

MAX_MACHINE_NUMBER = 0xFFFFFFFF
CELL_MASK = 0xFFFF


def _unix_ms_to_ns(started_at_ms: int) -> int:
    return started_at_ms * MS


@dataclass(slots=True)
class MachineEntry:
    """A listed machine: its record as received, and the endpoint that the router gets for it."""

    record: HostRecord
    machine: Endpoint


def _latest_start_by_address(records: Iterable[HostRecord]) -> dict[str, int]:
    """Return the latest stated start of a machine at each address, Unix milliseconds."""
    latest = dict[str, int]()
    for record in records:
        for address in record.addresses:
            latest[address] = max(latest.get(address, 0), record.started_at_ms)
    return latest


def _addresses_left(record: HostRecord, latest_start: Mapping[str, int]) -> tuple[str, ...]:
    """Return the addresses at which no machine has started since this one; all if its start is not stated."""
    since = record.started_at_ms
    return tuple(a for a in record.addresses if not since or latest_start.get(a, 0) <= since)


def _drop_superseded(entry_by_host: dict[str, MachineEntry]) -> dict[str, MachineEntry]:
    """Return a full list without the machines at whose address another started later.

    Where two starts are the same, or neither is stated, the list does not tell which one is gone: both stay.
    """
    latest_start = dict[tuple[str, int] | None, int]()
    for entry in entry_by_host.values():
        if entry.machine.state is EndpointState.READY and entry.record.address is not None:
            address, start = entry.record.address, entry.record.started_at_ms
            latest_start[address] = max(latest_start.get(address, 0), start)
    return {
        host: entry
        for host, entry in entry_by_host.items()
        if entry.record.started_at_ms >= latest_start.get(entry.record.address, 0)
    }


class MachineDirectory:
    """All listed machines, and the numbers of unlisted ones that are still in use.

    Args:
        zones: Names of the zones, in the order of their numbers.
        kinds: Names of the kinds of machine, in the order of their numbers.
        convert_start: Converts a start, Unix milliseconds, to ns of the monotonic clock; 0 stays 0.

    Attributes:
        entry_by_host: The listed machines, by host id.
        host_by_number: Host ids of machines that are listed or still in use.
    """

    def __init__(
        self,
        zones: tuple[str, ...],
        kinds: tuple[str, ...],
        convert_start: Callable[[int], int] = _unix_ms_to_ns,
    ) -> None:
        self._convert_start = convert_start
        self.zone_by_name = {name: zone for zone, name in enumerate(zones)}
        self.kind_by_name = {name: kind for kind, name in enumerate(kinds)}
        self.entry_by_host: dict[str, MachineEntry] = {}
        self.number_by_host: dict[str, int] = {}
        self.host_by_number: dict[int, str] = {}

    def assign_number(self, host: str) -> int:
        """Return the number of a host id; a first use assigns it."""
        if host not in self.number_by_host:
            digest = hashlib.blake2b(host.encode(), digest_size=4).digest()
            number = int.from_bytes(digest, "little") or 1
            while number in self.host_by_number:
                number = number % MAX_MACHINE_NUMBER + 1
            self.number_by_host[host] = number
            self.host_by_number[number] = host
        return self.number_by_host[host]

    def find_entry(self, number: int) -> MachineEntry | None:
        """Return the listed machine of this number, or None."""
        return self.entry_by_host.get(self.host_by_number.get(number, ""))

    def _to_machine(self, record: HostRecord) -> Endpoint:
        if record.zone not in self.zone_by_name or record.kind not in self.kind_by_name:
            raise ProtocolError(f"host {record.host[:40]} has an unknown zone or kind")
        return Endpoint(
            self.assign_number(record.host),
            self.kind_by_name[record.kind],
            self.zone_by_name[record.zone],
            record.cell & CELL_MASK,
            record.size,
            self._up_since(record),
            record.state,
        )

    def _up_since(self, record: HostRecord) -> int:
        """Convert the start time; the same start keeps its first conversion, as the clocks may drift."""
        previous = self.entry_by_host.get(record.host)
        if previous is not None and previous.record.started_at_ms == record.started_at_ms:
            return previous.machine.started_at
        return self._convert_start(record.started_at_ms)

    def redate_starts(self, starts_ms: Collection[int]) -> tuple[Endpoint, ...]:
        """Convert these starts again; return the machines that started earlier than assumed.

        Args:
            starts_ms: Starts as listed, Unix milliseconds.
        """
        changed = list[Endpoint]()
        if not starts_ms:
            return ()
        for entry in self.entry_by_host.values():
            if entry.record.started_at_ms not in starts_ms:
                continue
            up_since = self._convert_start(entry.record.started_at_ms)
            if up_since < entry.machine.started_at:
                entry.machine = replace(entry.machine, started_at=up_since)
                changed.append(entry.machine)
        return tuple(changed)

    def apply(self, change: FleetChange, scope: UpdateScope = UpdateScope.CHANGES) -> EndpointUpdate:
        """Apply a change completely or, if one of its records can't be used, not at all.

        The last record of a host counts. A machine that is new at the address of a listed one implies that
        the listed one is gone, even if the log does not say so: requests for it would reach the new one. So
        does a later start in a full list.

        Args:
            change: Records of hosts, all or those that changed.
            scope: Scope of the returned update.

        Returns:
            The update for the router: all changed machines.

        Raises:
            ProtocolError: A record names a zone or kind that the settings don't have.
        """
        changed = {record.host: MachineEntry(record, self._to_machine(record)) for record in change.hosts}
        if change.is_full_list:
            changed = _drop_superseded(changed)
            self.entry_by_host.clear()
        else:
            changed |= self._replaced_entries(changed)
        for host, entry in changed.items():
            if entry.machine.state is EndpointState.GONE:
                self.entry_by_host.pop(host, None)
            else:
                self.entry_by_host[host] = entry
        return EndpointUpdate(scope, tuple(entry.machine for entry in changed.values()))

    def _replaced_entries(self, changed: dict[str, MachineEntry]) -> dict[str, MachineEntry]:
        """Return entries of listed machines of which a new or moved machine has taken an address.

        Their state is GONE, unless they have further addresses: these stay. Where machines have several
        addresses, two of them may share one; a machine that started later than another has taken it.
        """
        new = [entry for host, entry in changed.items() if self._is_new_at_address(host, entry.record)]
        freed = {e.record.address for e in changed.values() if e.machine.state is EndpointState.GONE}
        ready = [e.record for e in new if e.machine.state is EndpointState.READY]
        occupied = {record.address for record in ready} - freed - {None}
        latest_start = _latest_start_by_address(ready)
        replaced = dict[str, MachineEntry]()
        for host, entry in self.entry_by_host.items():
            if host in changed:
                continue
            left = _addresses_left(entry.record, latest_start)
            if entry.record.address in occupied or (entry.record.addresses and not left):
                replaced[host] = MachineEntry(entry.record, replace(entry.machine, state=EndpointState.GONE))
            elif left != entry.record.addresses:
                replaced[host] = MachineEntry(replace(entry.record, addresses=left), entry.machine)
        return replaced

    def _is_new_at_address(self, host: str, record: HostRecord) -> bool:
        """Whether a record names a machine that is not listed, or is listed at another address."""
        previous = self.entry_by_host.get(host)
        return previous is None or previous.record.address != record.address

    def replace_numbers(self, text: str) -> str:
        """Return a log line of the router with host ids in place of machine numbers."""
        return " ".join(
            self.host_by_number.get(int(word), word) if word.isdecimal() else word for word in text.split(" ")
        )

    def full_list(self) -> EndpointUpdate:
        """Return all listed machines as an update for the router."""
        return EndpointUpdate(UpdateScope.FULL, tuple(entry.machine for entry in self.entry_by_host.values()))

    @property
    def has_unlisted(self) -> bool:
        """Whether hosts that are not listed still have numbers."""
        return len(self.host_by_number) > len(self.entry_by_host)

    def forget_unlisted(self, used: Collection[int]) -> None:
        """Drop the numbers of hosts that are neither listed nor among the `used` numbers."""
        for number, host in list(self.host_by_number.items()):
            if host not in self.entry_by_host and number not in used:
                del self.host_by_number[number]
                del self.number_by_host[host]

    def listed_hosts(self) -> Iterable[tuple[int, HostRecord]]:
        """Yield the number and the record of each listed machine."""
        return ((entry.machine.number, entry.record) for entry in self.entry_by_host.values())
