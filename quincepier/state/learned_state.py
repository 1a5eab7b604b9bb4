"""The content of a learned-state record: the facts that a front has learned, in a form that outlives it.

Machines are identified by host id and start time, classes and kinds by name. All times are ages at the time
of writing. The field order of the structs encoded as arrays and the map keys of `LearnedState` are the
stored format.
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
"""Nanoseconds since an event; -1 if there was none."""
Count = Annotated[int, msgspec.Meta(ge=0, le=1 << 40)]
Name = Annotated[str, msgspec.Meta(max_length=MAX_NAME_LENGTH)]
UnsignedInt = Annotated[int, msgspec.Meta(ge=0)]
"""Up to 64 bits, the limit of msgpack."""


def _check_finite(*numbers: float) -> None:
    if not all(math.isfinite(number) and abs(number) < MAX_MAGNITUDE for number in numbers):
        raise ValueError("number not finite or too large")


class ServiceTimeRecord(msgspec.Struct, frozen=True, array_like=True):
    """The mean transfer time of a request class, in nanoseconds."""

    class_name: Name
    mean_ns: float
    sample_count: Count
    age_ns: AgeNs

    def __post_init__(self) -> None:
        _check_finite(self.mean_ns)
        if self.mean_ns < 0:
            raise ValueError("mean must not be negative")


class BaselineLatencyRecord(msgspec.Struct, frozen=True, array_like=True):
    """The baseline latency of a class's responses, as natural logarithms.

    Attributes:
        class_name: The request class.
        is_hit: Whether it covers responses from copies that the cache held, or the others.
        is_relative: Whether latencies are relative to the transfer time that the request states, or else in
            milliseconds.
        mean_log: Mean of the logarithms.
        sample_count: Number of responses in the mean.
        min_log: Minimum of the logarithms.
        age_ns: Time since the last response.
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
            raise ValueError("latency out of range")


class FetchLimitRecord(msgspec.Struct, frozen=True, array_like=True):
    """The concurrency limit of fetches."""

    limit: Annotated[int, msgspec.Meta(ge=1, le=1 << 20)]
    age_ns: AgeNs


class CapacityRecord(msgspec.Struct, frozen=True, array_like=True):
    """The work served by the machines of a kind.

    Attributes:
        kind: Name of the kind of machine.
        work: Transfer time served, a decaying sum in nanoseconds.
        span_ns: Time over which it was served.
        age_ns: Time since it was last updated.
    """

    kind: Name
    work: float
    span_ns: AgeNs
    age_ns: AgeNs

    def __post_init__(self) -> None:
        _check_finite(self.work)
        if self.work < 0 or self.span_ns < 0:
            raise ValueError("work and span must not be negative")


class MachineRecord(msgspec.Struct, frozen=True, array_like=True):
    """The learned state of one machine.

    Attributes:
        host: Host id.
        started_at_ms: Its start by the endpoint list, Unix time in milliseconds.
        slowness: Weighted sum of the logarithms of its latencies relative to the baseline.
        slowness_weight: Sum of the weights.
        age_ns: Time since the slowness was last updated.
        cold_start_age_ns: Time since a restart that was inferred from failures; -1 for none.
        ejection_age_ns: Time since it was last known to be ejected as an outlier; -1 if not ejected.
        drain_age_ns: Time since its drain was announced; -1 if it is not draining.
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
            raise ValueError("slowness out of range")


class PurgeRecord(msgspec.Struct, frozen=True, array_like=True):
    """A purge of an object, or of a whole group if `object_id` is 0."""

    group: UnsignedInt
    object_id: UnsignedInt
    age_ns: AgeNs


class AddressBackoffRecord(msgspec.Struct, frozen=True, array_like=True):
    """The backoff of a machine's address, which is not dialled until it is over.

    Attributes:
        host: The machine's host id.
        address: The address, as in the endpoint list.
        failure_count: Number of consecutive failed dials.
        remaining_ns: Remaining time of the backoff.
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
        baseline_latencies: Baseline latencies by class (`usual`).
        fetch_limit: The concurrency limit of fetches (`bound`).
        capacities: Work served by kind of machine (`works`).
        machines: Learned state of single machines.
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
        detail = f"version {version}, this program supports up to {CURRENT_VERSION}"
        raise StateError(fault, detail, VERSION_OFFSET)
    try:
        upgraded = upgrade(version, msgspec.msgpack.decode(content))
        return msgspec.convert(upgraded, LearnedState, strict=True)
    except (msgspec.DecodeError, ValueError, TypeError, KeyError, RecursionError) as error:
        raise StateError(RecordFault.INVALID_CONTENT, str(error)[:MAX_DETAIL_LENGTH]) from None
