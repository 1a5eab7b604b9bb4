"""The addresses at which this front reaches the others: configured ones, or else the announced ones.

A front announces the same address to all others. If this front is configured with another address for it,
the announced address is replaced when a datagram is sent or a stream is dialled, and nowhere else.
"""

from __future__ import annotations

import ipaddress
from collections.abc import Collection, Mapping
from functools import lru_cache
from typing import Protocol

from quincepier.membership import MemberRecord

Address = tuple[str, int]

MAX_ADDRESSES = 4096


@lru_cache(MAX_ADDRESSES)
def is_ip_address(host: str) -> bool:
    """Whether a text is an IP address; host names are refused, as resolving them blocks the event loop."""
    try:
        ipaddress.ip_address(host)
    except ValueError:
        return False
    return True


class MemberRecords(Protocol):
    """The records of the other members, as `DetectorActor` provides them."""

    def record_of(self, name: str) -> MemberRecord | None:
        """Returns the record of a member; None if the member is unknown."""

    def records(self) -> Collection[MemberRecord]:
        """Returns all records."""


class AddressBook:
    """The addresses of the other fronts by name."""

    def __init__(self, own_name: str, addresses: Mapping[str, Address], members: MemberRecords) -> None:
        """Starts with configured addresses by name; this front's own entry is ignored."""
        self._own_name = own_name
        self._address_by_name = {name: address for name, address in addresses.items() if name != own_name}
        self._name_by_address = {address: name for name, address in self._address_by_name.items()}
        self._members = members
        self._announcer_by_address: dict[Address, str] = {}

    def addresses(self) -> list[Address]:
        """Returns the configured and the added addresses, in order of insertion."""
        return list(self._address_by_name.values())

    def add(self, name: str, address: Address) -> None:
        """Adds the address of a front, which need not be in the view; an existing entry is kept."""
        is_new = name != self._own_name and name not in self._address_by_name
        if is_new and len(self._address_by_name) < MAX_ADDRESSES:
            self._address_by_name[name] = address
            self._name_by_address[address] = name

    def address_of(self, name: str) -> Address | None:
        """Returns the address at which this front reaches another; None if it is unknown."""
        address = self._address_by_name.get(name)
        if address is not None:
            return address
        record = self._members.record_of(name)
        return record.address if record is not None and is_ip_address(record.address[0]) else None

    def name_at(self, address: Address) -> str | None:
        """Returns the name of the front that announces, or is configured with, an address."""
        return self._announcer_of(address) or self._name_by_address.get(address)

    def route_to(self, announced: Address) -> Address:
        """Returns the address at which this front reaches the member that announces an address."""
        if not self._address_by_name:
            return announced
        name = self._announcer_of(announced)
        return self._address_by_name.get(name, announced) if name is not None else announced

    def _announcer_of(self, address: Address) -> str | None:
        name = self._announcer_by_address.get(address, "")
        record = self._members.record_of(name)
        if record is None or record.address != address:
            self._announcer_by_address = {r.address: r.name for r in self._members.records()}
            name = self._announcer_by_address.get(address, "")
        return name or None
