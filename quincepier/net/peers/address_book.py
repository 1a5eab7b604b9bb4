"""Where this front reaches the others: by addresses of its own, or else by those that they announce.

The announced address of a front is the same for all. Where this front reaches another by a path of its own,
the address is exchanged for that one as a datagram goes out or a stream is dialled, and nowhere else.
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
    """Whether a text is an IP address; a host name would be resolved, which blocks the event loop."""
    try:
        ipaddress.ip_address(host)
    except ValueError:
        return False
    return True


class MemberRecords(Protocol):
    """What is known of the other members."""

    def record_of(self, name: str) -> MemberRecord | None:
        """Returns the record of a member, if it is known."""

    def records(self) -> Collection[MemberRecord]:
        """Returns all records."""


class AddressBook:
    """The addresses of the other fronts by their names."""

    def __init__(self, own_name: str, addresses: Mapping[str, Address], members: MemberRecords) -> None:
        """Takes the addresses by which this front reaches others; its own entry is left out."""
        self._own_name = own_name
        self._address_by_name = {name: at for name, at in addresses.items() if name != own_name}
        self._name_by_address = {address: name for name, address in self._address_by_name.items()}
        self._members = members
        self._announcer_by_address: dict[Address, str] = {}

    def addresses(self) -> list[Address]:
        """Returns the addresses that were given, in their order."""
        return list(self._address_by_name.values())

    def add(self, name: str, address: Address) -> None:
        """Adds a front that need not be in the view; one that is known keeps its address."""
        is_new = name != self._own_name and name not in self._address_by_name
        if is_new and len(self._address_by_name) < MAX_ADDRESSES:
            self._address_by_name[name] = address
            self._name_by_address[address] = name

    def address_of(self, name: str) -> Address | None:
        """Returns where this front reaches another, None where it never heard of it."""
        address = self._address_by_name.get(name)
        if address is not None:
            return address
        record = self._members.record_of(name)
        return record.address if record is not None and is_ip_address(record.address[0]) else None

    def name_at(self, address: Address) -> str | None:
        """Returns who announces an address, or is reached at it."""
        return self._announcer_of(address) or self._name_by_address.get(address)

    def route_to(self, announced: Address) -> Address:
        """Returns where this front reaches whoever announces an address."""
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
