"""Decodes the JSON of the change log into typed records of its numbered events."""

from __future__ import annotations

import json
import re
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from quincepier.interface import EndpointState
from quincepier.wire.errors import ProtocolError

STATES = {"SERVING": EndpointState.READY, "DRAINING": EndpointState.DRAINING, "DELETED": EndpointState.GONE}
MAX_MAGNITUDE = 2.0**64  # of numbers
MAX_FURTHER_ADDRESSES = 16  # of a host, besides its first
AddressParser = Callable[[str], object]  # validates an address: raises ValueError for a text that is none
ADDRESS = re.compile(r"([0-9]{1,3}(?:\.[0-9]{1,3}){3}):([0-9]{1,5})")


@dataclass(slots=True, frozen=True)
class HostRecord:
    """A machine in the endpoint list.

    Attributes:
        host: Its host id.
        address: Its IPv4 address and port; None where addresses are read by an `AddressParser`.
        zone: Name of its zone.
        kind: Name of its kind.
        cell: Number of its cell within the zone.
        state: Whether it accepts requests.
        size: Its capacity; 0: not stated.
        started_at_ms: When its process started, Unix time in ms; 0: not stated.
        addresses: The valid addresses, where addresses are read by an `AddressParser`.
        address_errors: Why other addresses are not valid.
    """

    host: str
    address: tuple[str, int] | None
    zone: str
    kind: str
    cell: int
    state: EndpointState
    size: float
    started_at_ms: int
    addresses: tuple[str, ...] = ()
    address_errors: tuple[str, ...] = ()


@dataclass(slots=True, frozen=True)
class FleetChange:
    """A change of the endpoint list.

    Attributes:
        seq: Sequence number of the event.
        is_full_list: Whether `hosts` is the full list, not only the changed machines.
        hosts: The machines.
    """

    seq: int
    is_full_list: bool
    hosts: tuple[HostRecord, ...]


@dataclass(slots=True, frozen=True)
class PurgeRecord:
    """A purge of an object, or of a whole group.

    Attributes:
        seq: Sequence number of the event.
        object: Number of the object; None: the whole group is purged.
        group: Number of the group; 0 where an object is purged.
        time_ms: When the purge was made, Unix time in ms.
    """

    seq: int
    object: int | None
    group: int
    time_ms: int


@dataclass(slots=True, frozen=True)
class InvalidRecord:
    """An event of which only the sequence number can be read; `reason` says why."""

    seq: int
    reason: str


ChangeEvent = FleetChange | PurgeRecord | InvalidRecord


def read_address(text: object) -> tuple[str, int]:
    """Return the IPv4 address and port of a text such as 127.0.0.1:5050.

    Raises:
        ProtocolError: It is not of that form.
    """
    found = ADDRESS.fullmatch(text) if isinstance(text, str) else None
    if not found or not 0 < int(found[2]) < 65536 or any(int(n) > 255 for n in found[1].split(".")):
        raise ProtocolError(f"{str(text)[:60]!r} is not an address of the form 127.0.0.1:5050")
    return found[1], int(found[2])


def _get(record: Any, key: str, *types: type) -> Any:
    value = record.get(key) if isinstance(record, dict) else None
    if not isinstance(value, types) or (isinstance(value, bool) and bool not in types):
        raise ProtocolError(f"{key} is missing or of a wrong type")
    # The negated comparison also rejects NaN; an integer may be too large for a float.
    if isinstance(value, int | float) and not abs(value) <= MAX_MAGNITUDE:
        raise ProtocolError(f"{key} is out of range")
    return value


def _read_addresses(record: Any, parse_address: AddressParser) -> tuple[tuple[str, ...], tuple[str, ...]]:
    """Return the valid addresses of `dial` and `dials`, and why the others are not valid.

    An invalid address does not make the record invalid: a drain that the record announces would be lost.
    """
    listed, errors = [_get(record, "dial", str)], list[str]()
    further = record.get("dials", [])
    if isinstance(further, list) and len(further) <= MAX_FURTHER_ADDRESSES:
        listed += further
    else:
        errors.append(f"dials is not a list of at most {MAX_FURTHER_ADDRESSES}")
    valid = []
    for text in listed:
        try:
            parse_address(text)
            valid.append(text)
        except ValueError as error:
            errors.append(str(error))
    if not valid:
        raise ProtocolError(f"no valid address: {errors[0]}")
    return tuple(valid), tuple(errors)


def _read_host(record: Any, parse_address: AddressParser | None) -> HostRecord:
    state = _get(record, "health", str)
    if state not in STATES:
        raise ProtocolError(f"the unknown state {state[:30]!r}")
    addresses, address_errors = (
        _read_addresses(record, parse_address) if parse_address is not None else ((), ())
    )
    return HostRecord(
        host=_get(record, "host", str),
        address=read_address(_get(record, "dial", str)) if parse_address is None else None,
        zone=_get(record, "site", str),
        kind=_get(record, "class", str),
        cell=_get(record, "block", int),
        state=STATES[state],
        size=float(_get({"share": 0} | record, "share", int, float)),  # sizes are optional
        started_at_ms=_get(record, "born_ms", int),
        addresses=addresses,
        address_errors=address_errors,
    )


def _read_event(record: Any, parse_address: AddressParser | None) -> ChangeEvent:
    seq = _get(record, "seq", int)
    try:
        if "fleet" in record:
            fleet = _get(record, "fleet", dict)
            hosts = tuple(_read_host(host, parse_address) for host in _get(fleet, "hosts", list))
            return FleetChange(seq, _get(fleet, "whole", bool), hosts)
        purge = _get(record, "invalidate", dict)
        time_ms = _get(purge, "time", int)
        if "object" in purge:
            name = _get(purge, "object", str)
            if not re.fullmatch(r"[0-9a-fA-F]{1,16}", name):
                raise ProtocolError(f"object {name[:30]!r} is not hexadecimal")
            return PurgeRecord(seq, int(name, 16), 0, time_ms)
        return PurgeRecord(seq, None, _get(purge, "bucket", int), time_ms)
    except ProtocolError as error:
        return InvalidRecord(seq, str(error))


def read_changes(
    value: Any, parse_address: AddressParser | None = None
) -> tuple[int, tuple[ChangeEvent, ...]]:
    """Read a response of the change log, or `known` of the configuration.

    Args:
        value: The decoded JSON.
        parse_address: Validates addresses, raising ValueError. With it a host may have several addresses, of
            any form that it accepts; without it one IPv4 address and port.

    Returns:
        The last sequence number of the log and the events.

    Raises:
        ProtocolError: The value is not a list of numbered events in ascending order.
    """
    if not isinstance(value, dict):
        raise ProtocolError("the changes are not a JSON object")
    last_seq = _get(value, "seq", int)
    events = tuple(_read_event(record, parse_address) for record in _get(value, "results", list))
    if any(a.seq >= b.seq for a, b in zip(events, events[1:], strict=False)):
        raise ProtocolError("the changes' sequence numbers do not increase")
    if events and events[-1].seq > last_seq:
        raise ProtocolError("a change's sequence number exceeds the last one")
    return last_seq, events


def decode_changes(
    raw: bytes, parse_address: AddressParser | None = None
) -> tuple[int, tuple[ChangeEvent, ...]]:
    """Decode a response of the change log; see `read_changes`."""
    try:
        return read_changes(json.loads(raw), parse_address)
    except (ValueError, RecursionError) as error:
        raise ProtocolError(f"the changes are not JSON: {error}") from None
