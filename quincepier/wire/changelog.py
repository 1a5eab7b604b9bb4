"""The change log's JSON: numbered events as typed records."""

from __future__ import annotations

import json
import re
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from quincepier.interface import EndpointState
from quincepier.wire.errors import ProtocolError

STATES = {"SERVING": EndpointState.READY, "DRAINING": EndpointState.DRAINING, "DELETED": EndpointState.GONE}
NUMBER_MOST = 2.0**64  # in size
DIALS_MOST = 16  # addresses listed beside a host's first
Judge = Callable[[str], object]
ADDRESS = re.compile(r"([0-9]{1,3}(?:\.[0-9]{1,3}){3}):([0-9]{1,5})")


@dataclass(slots=True, frozen=True)
class HostRecord:
    host: str
    address: tuple[str, int] | None  # None where several are taken and `dial` is of another form
    zone: str
    kind: str
    cell: int
    state: EndpointState
    size: float
    started_at_ms: int
    addresses: tuple[str, ...] = ()  # all addresses that can be used, where several a machine are taken
    address_errors: tuple[str, ...] = ()  # why others can't


@dataclass(slots=True, frozen=True)
class FleetChange:
    seq: int
    is_full_list: bool
    hosts: tuple[HostRecord, ...]


@dataclass(slots=True, frozen=True)
class PurgeRecord:
    """A purge of an object, or of a group where object is None."""

    seq: int
    object: int | None
    group: int
    time_ms: int


@dataclass(slots=True, frozen=True)
class InvalidRecord:
    """An event whose number can be read and the rest can't."""

    seq: int
    reason: str


ChangeEvent = FleetChange | PurgeRecord | InvalidRecord


def read_address(text: object) -> tuple[str, int]:
    found = ADDRESS.fullmatch(text) if isinstance(text, str) else None
    if not found or not 0 < int(found[2]) < 65536 or any(int(n) > 255 for n in found[1].split(".")):
        raise ProtocolError(f"{str(text)[:60]!r} is no address of the form 127.0.0.1:5050")
    return found[1], int(found[2])


def _take(record: Any, key: str, *kinds: type) -> Any:
    value = record.get(key) if isinstance(record, dict) else None
    if not isinstance(value, kinds) or (isinstance(value, bool) and bool not in kinds):
        raise ProtocolError(f"{key} is missing or of a wrong type")
    if isinstance(value, int | float) and not abs(value) <= NUMBER_MOST:  # also NaN, or too long for a float
        raise ProtocolError(f"{key} is out of range")
    return value


def _dials(record: Any, judge: Judge) -> tuple[tuple[str, ...], tuple[str, ...]]:
    """The addresses of `dial` and the list `dials` beside it, and what is wrong with the others.

    One that can't be used costs the machine no other: a drain told with it would be lost as well.
    """
    listed, faults = [_take(record, "dial", str)], list[str]()
    more = record.get("dials", [])
    if isinstance(more, list) and len(more) <= DIALS_MOST:
        listed += more
    else:
        faults.append(f"dials is no list of at most {DIALS_MOST}")
    good = []
    for text in listed:
        try:
            judge(text)
            good.append(text)
        except ValueError as error:
            faults.append(str(error))
    if not good:
        raise ProtocolError(f"no address that can be used: {faults[0]}")
    return tuple(good), tuple(faults)


def _host(record: Any, judge: Judge | None) -> HostRecord:
    state = _take(record, "health", str)
    if state not in STATES:
        raise ProtocolError(f"the unknown state {state[:30]!r}")
    dials, faults = _dials(record, judge) if judge is not None else ((), ())
    return HostRecord(
        host=_take(record, "host", str),
        address=read_address(_take(record, "dial", str)) if judge is None else None,
        zone=_take(record, "site", str),
        kind=_take(record, "class", str),
        cell=_take(record, "block", int),
        state=STATES[state],
        size=float(_take({"share": 0} | record, "share", int, float)),  # a list need not tell sizes
        started_at_ms=_take(record, "born_ms", int),
        addresses=dials,
        address_errors=faults,
    )


def _event(record: Any, judge: Judge | None) -> ChangeEvent:
    seq = _take(record, "seq", int)
    try:
        if "fleet" in record:
            fleet = _take(record, "fleet", dict)
            hosts = tuple(_host(host, judge) for host in _take(fleet, "hosts", list))
            return FleetChange(seq, _take(fleet, "whole", bool), hosts)
        purge = _take(record, "invalidate", dict)
        at = _take(purge, "time", int)
        if "object" in purge:
            name = _take(purge, "object", str)
            if not re.fullmatch(r"[0-9a-fA-F]{1,16}", name):
                raise ProtocolError(f"object {name[:30]!r} is not of hex digits")
            return PurgeRecord(seq, int(name, 16), 0, at)
        return PurgeRecord(seq, None, _take(purge, "bucket", int), at)
    except ProtocolError as error:
        return InvalidRecord(seq, str(error))


def read_changes(value: Any, judge: Judge | None = None) -> tuple[int, tuple[ChangeEvent, ...]]:
    """An answer of the change log, or `known` of the configuration: (last number, events).

    With a judge, which raises ValueError for a text that is no address, a host may have several of any form
    it takes.
    """
    if not isinstance(value, dict):
        raise ProtocolError("the changes are not a JSON object")
    last = _take(value, "seq", int)
    events = tuple(_event(record, judge) for record in _take(value, "results", list))
    if any(a.seq >= b.seq for a, b in zip(events, events[1:], strict=False)):
        raise ProtocolError("the changes' numbers do not rise")
    if events and events[-1].seq > last:
        raise ProtocolError("a change's number is past the last one")
    return last, events


def decode_changes(raw: bytes, judge: Judge | None = None) -> tuple[int, tuple[ChangeEvent, ...]]:
    try:
        return read_changes(json.loads(raw), judge)
    except (ValueError, RecursionError) as error:
        raise ProtocolError(f"the changes are not JSON: {error}") from None
