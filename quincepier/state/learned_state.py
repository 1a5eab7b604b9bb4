"""The content of a learned-state record: what a front has learned, in terms that outlive its process.

Machines are named by host id and start time, classes and kinds by name; all times are ages at the time of
writing. Structs written as arrays keep the order of their fields; `LearnedState` keeps the keys of its map.
"""

from __future__ import annotations

import math
from typing import Annotated

import msgspec

from quincepier.clock import MS
from quincepier.state.record_format import RecordFault, StateError
from quincepier.state.schema_upgrades import CURRENT_VERSION, upgrade
from quincepier.state.timestamps import Timestamp

DAY_NS = 86_400 * 1000 * MS
MAX_NAME_LENGTH = 200
MAX_MACHINES = 100_000
MAX_PURGES = 8192
MAX_CLASSES = 1000
MAX_MAGNITUDE = 1e18
MAX_LOG_LATENCY = 60
MAX_SLOWNESS = 1e6
MAX_UNIX_MS = 1 << 53
VERSION_OFFSET = 4
MAX_DETAIL_LENGTH = 200

AgeNs = Annotated[int, msgspec.Meta(ge=-1, le=400 * DAY_NS)]
"""Nanoseconds since something happened; -1 if it did not."""
Count = Annotated[int, msgspec.Meta(ge=0, le=1 << 40)]
Name = Annotated[str, msgspec.Meta(max_length=MAX_NAME_LENGTH)]
UnsignedInt = Annotated[int, msgspec.Meta(ge=0)]
"""Of 64 bits, as msgpack has them."""


def _check_finite(*numbers: float) -> None:
    if not all(math.isfinite(number) and abs(number) < MAX_MAGNITUDE for number in numbers):
        raise ValueError("a number that is none")


class ServiceTimeRecord(msgspec.Struct, frozen=True, array_like=True):
    """The mean transfer time of a request class, in nanoseconds."""

    class_name: Name
    mean_ns: float
    sample_count: Count
    age_ns: AgeNs

    def __post_init__(self) -> None:
        _check_finite(self.mean_ns)
        if self.mean_ns < 0:
            raise ValueError("a mean below 0")


class BaselineLatencyRecord(msgspec.Struct, frozen=True, array_like=True):
    """The usual latency of a class's responses, as natural logarithms.

    Attributes:
        class_name: The request class.
        is_hit: Of responses from copies that the cache held.
        is_relative: Relative to the transfer time that the request states; else of milliseconds.
        mean_log: Mean of the logarithms.
        sample_count: Responses in the mean.
        min_log: Least of the logarithms.
        age_ns: Since the last response.
    """

    class_name: Name
    is_hit: bool
    is_relative: bool
    mean_log: float
    sample_count: Count
    min_log: float
    age_ns: AgeNs

    def __post_init__(self) -> None:
        _check_finite(self.mean_log, self.min_log)
        if max(abs(self.mean_log), abs(self.min_log)) > MAX_LOG_LATENCY:
            raise ValueError("a time that is none")


class FetchLimitRecord(msgspec.Struct, frozen=True, array_like=True):
    """The concurrency limit of fetches."""

    limit: Annotated[int, msgspec.Meta(ge=1, le=1 << 20)]
    age_ns: AgeNs


class CapacityRecord(msgspec.Struct, frozen=True, array_like=True):
    """The work that machines of a kind have served.

    Attributes:
        kind: Name of the kind of machine.
        work: Transfer time served, a decaying sum in nanoseconds.
        span_ns: Time over which it was served.
        age_ns: Since it was last updated.
    """

    kind: Name
    work: float
    span_ns: AgeNs
    age_ns: AgeNs

    def __post_init__(self) -> None:
        _check_finite(self.work)
        if self.work < 0 or self.span_ns < 0:
            raise ValueError("work below 0")


class MachineRecord(msgspec.Struct, frozen=True, array_like=True):
    """What is known of one machine.

    Attributes:
        host: Its host id.
        started_at_ms: Its start by the endpoint list, Unix time in milliseconds.
        slowness: Weighted sum of logarithms of its latency relative to the baseline.
        slowness_weight: The sum of their weights.
        age_ns: Since the slowness was last updated.
        cold_start_age_ns: Since a restart that was found by its failing; -1 for none.
        ejection_age_ns: Since it was seen ejected as an outlier; -1 for not ejected.
        drain_age_ns: Since it was told to drain; -1 for not draining.
    """

    host: Name
    started_at_ms: Annotated[int, msgspec.Meta(ge=-MAX_UNIX_MS, le=MAX_UNIX_MS)]
    slowness: float
    slowness_weight: float
    age_ns: AgeNs
    cold_start_age_ns: AgeNs
    ejection_age_ns: AgeNs
    drain_age_ns: AgeNs

    def __post_init__(self) -> None:
        _check_finite(self.slowness, self.slowness_weight)
        if not (0 <= self.slowness_weight < MAX_SLOWNESS and abs(self.slowness) < MAX_SLOWNESS):
            raise ValueError("signs that are none")


class PurgeRecord(msgspec.Struct, frozen=True, array_like=True):
    """A purge of an object, or of a whole group where the object is 0."""

    group: UnsignedInt
    object_id: UnsignedInt
    age_ns: AgeNs


class AddressBackoffRecord(msgspec.Struct, frozen=True, array_like=True):
    """An address of a machine that is not dialled for a while.

    Attributes:
        host: The machine's host id.
        address: The address, as in the endpoint list.
        failure_count: Failed dials in a row.
        remaining_ns: Time left of the backoff.
    """

    host: Name
    address: Name
    failure_count: Annotated[int, msgspec.Meta(ge=0, le=1 << 20)]
    remaining_ns: Annotated[int, msgspec.Meta(ge=0, le=DAY_NS)]


class LearnedState(
    msgspec.Struct,
    frozen=True,
    rename={
        "written_at": "stamp",
        "service_times": "classes",
        "baseline_latencies": "usual",
        "fetch_limit": "bound",
        "capacities": "works",
        "address_backoffs": "aside",
    },
):
    """The content of a record, schema version 2.

    Attributes:
        writer: Name of the front that wrote it.
        written_at: When it was written (`stamp`).
        service_times: Mean transfer times by class (`classes`).
        baseline_latencies: Usual latencies by class (`usual`).
        fetch_limit: The concurrency limit of fetches (`bound`).
        capacities: Work served by kind of machine (`works`).
        machines: What is known of single machines.
        purges: Recent purges.
        address_backoffs: Addresses in backoff (`aside`).
    """

    writer: Name
    written_at: Timestamp
    service_times: Annotated[tuple[ServiceTimeRecord, ...], msgspec.Meta(max_length=MAX_CLASSES)] = ()
    baseline_latencies: Annotated[
        tuple[BaselineLatencyRecord, ...], msgspec.Meta(max_length=4 * MAX_CLASSES)
    ] = ()
    fetch_limit: FetchLimitRecord | None = None
    capacities: Annotated[tuple[CapacityRecord, ...], msgspec.Meta(max_length=MAX_CLASSES)] = ()
    machines: Annotated[tuple[MachineRecord, ...], msgspec.Meta(max_length=MAX_MACHINES)] = ()
    purges: Annotated[tuple[PurgeRecord, ...], msgspec.Meta(max_length=MAX_PURGES)] = ()
    address_backoffs: Annotated[tuple[AddressBackoffRecord, ...], msgspec.Meta(max_length=MAX_MACHINES)] = ()


_encode = msgspec.msgpack.Encoder().encode


def encode(state: LearnedState) -> bytes:
    """Encode a state as the content of a record of the current version."""
    return _encode(state)


def decode(version: int, content: bytes) -> LearnedState:
    """Decode the content of a record, upgraded to the current schema.

    Raises:
        StateError: The version is newer than this program, or the content is out of bounds.
    """
    if version > CURRENT_VERSION or version < 1:
        is_newer = version > CURRENT_VERSION
        fault = RecordFault.NEWER_VERSION if is_newer else RecordFault.INVALID_CONTENT
        detail = f"version {version}, this program reads up to {CURRENT_VERSION}"
        raise StateError(fault, detail, VERSION_OFFSET)
    try:
        upgraded = upgrade(version, msgspec.msgpack.decode(content))
        return msgspec.convert(upgraded, LearnedState, strict=True)
    except (msgspec.DecodeError, ValueError, TypeError, KeyError, RecursionError) as error:
        raise StateError(RecordFault.INVALID_CONTENT, str(error)[:MAX_DETAIL_LENGTH]) from None
