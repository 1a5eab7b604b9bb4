"""What a record holds: the module's facts, with names in place of numbers, and when it was written.

Machines are named by host id and the time they say they started, classes and kinds by name; all else is ages
at the time of writing. What is out of bounds is no content of ours.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from typing import Annotated

import msgspec

from quincepier import interface as io
from quincepier.state.record_format import RecordFault, StateError
from quincepier.state.schema_upgrades import CURRENT, upgrade

MS = 1_000_000
DAY = 86_400 * 1000 * MS
Age = Annotated[int, msgspec.Meta(ge=-1, le=400 * DAY)]  # ns; -1: there is none
Count = Annotated[int, msgspec.Meta(ge=0, le=1 << 40)]
Name = Annotated[str, msgspec.Meta(max_length=200)]
Number = Annotated[int, msgspec.Meta(ge=0)]  # of 64 bits, as msgpack has them
MACHINES_MOST, PURGES_MOST, CLASSES_MOST = 100_000, 8192, 1000


def _finite(*numbers: float) -> None:
    if not all(math.isfinite(n) and abs(n) < 1e18 for n in numbers):
        raise ValueError("a number that is none")


class Timestamp(msgspec.Struct, frozen=True, array_like=True):
    """When: Unix time, and this machine's boot with the time since it, which no setting of a clock moves."""

    unix_ms: Annotated[int, msgspec.Meta(ge=0, lt=1 << 50)]
    boot: Name
    boot_ns: Number


def age_of(written: Timestamp, now: Timestamp) -> int | None:
    """Nanoseconds between; None where the clocks contradict each other, so that nobody knows."""
    if written.boot and written.boot == now.boot:
        return now.boot_ns - written.boot_ns if now.boot_ns >= written.boot_ns else None
    return (now.unix_ms - written.unix_ms) * MS if now.unix_ms >= written.unix_ms else None


class ServiceTimeRecord(msgspec.Struct, frozen=True, array_like=True):
    name: Name
    mean: float
    seen: Count
    ago: Age

    def __post_init__(self) -> None:
        _finite(self.mean)
        if self.mean < 0:
            raise ValueError("a mean below 0")


class BaselineLatencyRecord(msgspec.Struct, frozen=True, array_like=True):
    name: Name
    held: bool
    told: bool
    mean: float
    seen: Count
    least: float
    ago: Age

    def __post_init__(self) -> None:
        _finite(self.mean, self.least)
        if max(abs(self.mean), abs(self.least)) > 60:  # logarithms of nanoseconds
            raise ValueError("a time that is none")


class FetchLimitRecord(msgspec.Struct, frozen=True, array_like=True):
    bound: Annotated[int, msgspec.Meta(ge=1, le=1 << 20)]
    ago: Age


class CapacityRecord(msgspec.Struct, frozen=True, array_like=True):
    kind: Name
    work: float
    span: Age
    ago: Age

    def __post_init__(self) -> None:
        _finite(self.work)
        if self.work < 0 or self.span < 0:
            raise ValueError("work below 0")


class MachineRecord(msgspec.Struct, frozen=True, array_like=True):
    host: Name
    born_ms: Annotated[int, msgspec.Meta(ge=-(1 << 53), le=1 << 53)]
    slowed: float
    signs: float
    ago: Age
    cold_ago: Age
    aside_ago: Age
    leaving_ago: Age

    def __post_init__(self) -> None:
        _finite(self.slowed, self.signs)
        if not (0 <= self.signs < 1e6 and abs(self.slowed) < 1e6):
            raise ValueError("signs that are none")


class PurgeRecord(msgspec.Struct, frozen=True, array_like=True):
    group: Number
    object: Number
    ago: Age


class AddressBackoffRecord(msgspec.Struct, frozen=True, array_like=True):
    """An address of a machine that is set aside, and for how much longer."""

    host: Name
    address: Name
    failures: Annotated[int, msgspec.Meta(ge=0, le=1 << 20)]
    left: Annotated[int, msgspec.Meta(ge=0, le=DAY)]


class LearnedState(msgspec.Struct, frozen=True):
    """The content of a record, version 2."""

    writer: Name
    stamp: Timestamp
    classes: Annotated[tuple[ServiceTimeRecord, ...], msgspec.Meta(max_length=CLASSES_MOST)] = ()
    usual: Annotated[tuple[BaselineLatencyRecord, ...], msgspec.Meta(max_length=4 * CLASSES_MOST)] = ()
    bound: FetchLimitRecord | None = None
    works: Annotated[tuple[CapacityRecord, ...], msgspec.Meta(max_length=CLASSES_MOST)] = ()
    machines: Annotated[tuple[MachineRecord, ...], msgspec.Meta(max_length=MACHINES_MOST)] = ()
    purges: Annotated[tuple[PurgeRecord, ...], msgspec.Meta(max_length=PURGES_MOST)] = ()
    aside: Annotated[tuple[AddressBackoffRecord, ...], msgspec.Meta(max_length=MACHINES_MOST)] = ()


_encode = msgspec.msgpack.Encoder().encode


def encode(kept: LearnedState) -> bytes:
    return _encode(kept)


def decode(version: int, content: bytes) -> LearnedState:
    """A record's content of any version up to ours; StateError for a newer one and for what is none."""
    if version > CURRENT or version < 1:
        fault = RecordFault.NEWER if version > CURRENT else RecordFault.CONTENT
        raise StateError(fault, f"version {version}, this program reads up to {CURRENT}", 4)
    try:
        return msgspec.convert(upgrade(version, msgspec.msgpack.decode(content)), LearnedState, strict=True)
    except (msgspec.DecodeError, ValueError, TypeError, KeyError, RecursionError) as error:
        raise StateError(RecordFault.CONTENT, str(error)[:200]) from None


@dataclass(slots=True, frozen=True)
class NameMapping:
    """What the numbers of this process stand for."""

    classes: tuple[str, ...]
    kinds: tuple[str, ...]
    machine: Callable[[int], tuple[str, int] | None]  # host id and start of a number
    number: Callable[[str, int], int | None]  # number of a machine that is listed with this start


class LearnedStateBuilder:
    """Facts by kind as they are told, in slices."""

    def __init__(self, names: NameMapping) -> None:
        self.names = names
        self.classes, self.usual = list[ServiceTimeRecord](), list[BaselineLatencyRecord]()
        self.bound: FetchLimitRecord | None = None
        self.works, self.machines, self.purges = (
            list[CapacityRecord](),
            list[MachineRecord](),
            list[PurgeRecord](),
        )
        self.aside = list[AddressBackoffRecord]()

    def add(self, fact: io.Learned) -> None:
        names = self.names
        match fact:
            case io.LearnedTransferTime(cls, mean, seen, ago) if cls < len(names.classes):
                self.classes.append(ServiceTimeRecord(names.classes[cls], mean, seen, ago))
            case io.LearnedLatency(cls, held, told, mean, seen, least, ago) if cls < len(names.classes):
                self.usual.append(
                    BaselineLatencyRecord(names.classes[cls], held, told, mean, seen, least, ago)
                )
            case io.LearnedFetchLimit(bound, ago):
                self.bound = FetchLimitRecord(bound, ago)
            case io.LearnedServedWork(kind, work, span, ago) if kind < len(names.kinds):
                self.works.append(CapacityRecord(names.kinds[kind], work, span, ago))
            case io.LearnedEndpoint(cache) if at := names.machine(cache):
                ages = fact.cold_ago, fact.aside_ago, fact.leaving_ago
                self.machines.append(MachineRecord(*at, fact.slowed, fact.signs, fact.ago, *ages))
            case io.LearnedPurge(group, obj, ago) if len(self.purges) < PURGES_MOST:
                self.purges.append(PurgeRecord(group, obj, ago))

    def kept(self, writer: str, stamp: Timestamp) -> LearnedState:
        return LearnedState(
            writer=writer[:200],
            stamp=stamp,
            classes=tuple(self.classes),
            usual=tuple(self.usual),
            bound=self.bound,
            works=tuple(self.works),
            machines=tuple(self.machines[:MACHINES_MOST]),
            purges=tuple(self.purges),
            aside=tuple(self.aside[:MACHINES_MOST]),
        )


def facts_from_state(kept: LearnedState, names: NameMapping) -> Iterator[io.Learned]:
    """What still has a meaning here: classes and kinds of these names, machines of the same start."""
    classes = {name: n for n, name in enumerate(names.classes)}
    kinds = {name: n for n, name in enumerate(names.kinds)}
    if kept.bound is not None:
        yield io.LearnedFetchLimit(kept.bound.bound, kept.bound.ago)
    for c in (c for c in kept.classes if c.name in classes):
        yield io.LearnedTransferTime(classes[c.name], c.mean, c.seen, c.ago)
    for u in (u for u in kept.usual if u.name in classes):
        yield io.LearnedLatency(classes[u.name], u.held, u.told, u.mean, u.seen, u.least, u.ago)
    for w in (w for w in kept.works if w.kind in kinds):
        yield io.LearnedServedWork(kinds[w.kind], w.work, w.span, w.ago)
    for m in kept.machines:
        if (number := names.number(m.host, m.born_ms)) is not None:
            ages = m.cold_ago, m.aside_ago, m.leaving_ago
            yield io.LearnedEndpoint(number, m.slowed, m.signs, m.ago, *ages)
    for p in kept.purges:
        yield io.LearnedPurge(p.group, p.object, p.ago)
