"""Codec of the simulator's wire format: frames to events, actions to records of a reply frame.

A frame holds records; a record has a code, a size and fields, the first of which is the instance of the
decision module that it is for.
"""

from __future__ import annotations

import struct
from collections.abc import Iterator
from dataclasses import dataclass

from quincepier.config import read_settings
from quincepier.errors import QuincepierError
from quincepier.interface import (
    Action,
    AttemptCompleted,
    AttemptOutcome,
    CacheStatus,
    CancelAttempt,
    ClientDisconnected,
    Endpoint,
    EndpointState,
    EndpointUpdate,
    Event,
    FailRequest,
    FetchThrough,
    ForwardRequest,
    HealthCheckCompleted,
    ObjectPurged,
    PeerMessage,
    RejectRequest,
    RequestReceived,
    ResponseStarted,
    SendHealthCheck,
    SetTimer,
    Settings,
    TimerFired,
    UpdateScope,
    WatchEndpoints,
    WriteLog,
)

HEADER = struct.Struct("<IQI")  # of a frame: length, clock in ns, batch number
REPLY = struct.Struct("<III")  # header of a reply frame: number of records, length, batch number
RECORD = struct.Struct("<HI")  # header of a record: code, size of its fields
U32 = struct.Struct("<I")
ENTRY = struct.Struct("<HfIQBHB")  # of the endpoint list: cell, size, number, start, kind, zone, state
# Codes of received records.
START, ENDPOINT_UPDATE, REQUEST_RECEIVED, RESPONSE_STARTED, ATTEMPT_COMPLETED = 1000, 1010, 1020, 1030, 1040
CLIENT_DISCONNECTED, TIMER_FIRED, HEALTH_CHECK_COMPLETED, PEER_MESSAGE, CRASH, OBJECT_PURGED = (
    1050,
    1060,
    1070,
    1080,
    1090,
    1100,
)
BROKEN = 1100  # code of a sent record
# The fixed-size fields of each record and how many of their bytes are required; missing bytes read as 0.
FIELDS: dict[int, tuple[struct.Struct, int]] = {
    ENDPOINT_UPDATE: (struct.Struct("<IBII"), 13),
    REQUEST_RECEIVED: (struct.Struct("<IIBfHfQfBQ"), 9),
    RESPONSE_STARTED: (struct.Struct("<IIHIQ"), 14),
    ATTEMPT_COMPLETED: (struct.Struct("<IIHIBQBBQB"), 24),
    CLIENT_DISCONNECTED: (struct.Struct("<II"), 8),
    TIMER_FIRED: (struct.Struct("<IQ"), 12),
    HEALTH_CHECK_COMPLETED: (struct.Struct("<IQIBB"), 17),
    PEER_MESSAGE: (struct.Struct("<IIH"), 10),
    CRASH: (struct.Struct("<I"), 4),
    OBJECT_PURGED: (struct.Struct("<IHQQ"), 6),
    START: (struct.Struct("<IQI"), 16),
}
OUTCOME_BY_CODE = {
    0: AttemptOutcome.OK,
    5: AttemptOutcome.ERROR,
    11: AttemptOutcome.OVERLOADED,
    110: AttemptOutcome.TIMEOUT,
    111: AttemptOutcome.CONNECT_FAILED,
    104: AttemptOutcome.RESET,
    125: AttemptOutcome.CANCELLED,
    114: AttemptOutcome.NOT_PROCESSED,
    2: AttemptOutcome.MISS,
}


class WireError(QuincepierError):
    """A frame is malformed; the text describes the violation."""

    code = "QP-SIM"
    remedy = "check that the simulator speaks this version of its wire"


@dataclass(slots=True, frozen=True)
class Started:
    """An instance starts.

    Attributes:
        seed: Seed of its random numbers.
        conf: Its settings, as lines of `key=value`.
    """

    seed: int
    conf: bytes


@dataclass(slots=True, frozen=True)
class Crashed:
    """An instance crashes: its state is lost."""


def decode_batch(frame: bytes) -> tuple[int, int, list[tuple[int, Event | Started | Crashed]]]:
    """Decode a frame into the clock in ns, the batch number and the events with their instances.

    Records with unknown codes are skipped.

    Raises:
        WireError: The frame is malformed.
    """
    if len(frame) < HEADER.size:
        raise WireError("frame shorter than its header")
    length, now, batch = HEADER.unpack_from(frame)
    if length != len(frame):
        raise WireError(f"frame of {len(frame)} bytes states a length of {length}")
    events = []
    offset = HEADER.size
    while offset < length:
        if offset + RECORD.size > length:
            raise WireError(f"record header cut short at byte {offset}")
        code, size = RECORD.unpack_from(frame, offset)
        offset += RECORD.size
        if offset + size > length:
            raise WireError(f"record {code} at byte {offset - RECORD.size} exceeds the frame")
        if code in FIELDS:
            events.append(_decode_event(code, frame[offset : offset + size]))
        offset += size
    return now, batch, events


def _read_content(data: bytes, offset: int, size: int, code: int) -> bytes:
    """Return the variable-size content of a record, behind its fields."""
    if size and offset + size > len(data):
        raise WireError(f"record {code} has less content than its count states")
    return data[offset : offset + size]


def _floats(data: bytes, offset: int, count: int, code: int) -> tuple[float, ...]:
    return struct.unpack(f"<{count}f", _read_content(data, offset, 4 * count, code))


def _decode_event(code: int, data: bytes) -> tuple[int, Event | Started | Crashed]:
    layout, needed = FIELDS[code]
    if len(data) < needed:
        raise WireError(f"record {code} has {len(data)} bytes of fields, {needed} needed")
    f = layout.unpack_from(data if len(data) >= layout.size else data.ljust(layout.size, b"\0"))
    instance = f[0]
    event: Event | Started | Crashed
    if code == REQUEST_RECEIVED:
        event = RequestReceived(f[1], f[2], f[3], f[4], int(f[5]), f[6], int(f[7]), bool(f[8] & 2), f[9])
    elif code == ATTEMPT_COMPLETED:
        if f[4] not in OUTCOME_BY_CODE:
            raise WireError(f"record {code} has the unknown outcome {f[4]}")
        cache_status = CacheStatus(f[7]) if f[7] <= CacheStatus.ORIGIN_FAILED else CacheStatus.NONE
        report = _floats(data, layout.size, f[9], code)
        event = AttemptCompleted(
            f[1], f[2], f[3], OUTCOME_BY_CODE[f[4]], f[5], bool(f[6]), cache_status, f[8], report
        )
    elif code == TIMER_FIRED:
        event = TimerFired(f[1])
    elif code == ENDPOINT_UPDATE:
        if f[1] > 3:
            raise WireError(f"record {code} has the unknown scope {f[1]}")
        event = EndpointUpdate(
            UpdateScope(f[1]),
            tuple(_decode_endpoints(_read_content(data, layout.size, ENTRY.size * f[3], code))),
        )
    elif code == CLIENT_DISCONNECTED:
        event = ClientDisconnected(f[1])
    elif code == OBJECT_PURGED:
        event = ObjectPurged(f[1], f[2], f[3])
    elif code == RESPONSE_STARTED:
        event = ResponseStarted(f[1], f[2], f[3])
    elif code == HEALTH_CHECK_COMPLETED:
        if f[3] not in OUTCOME_BY_CODE:
            raise WireError(f"record {code} has the unknown outcome {f[3]}")
        event = HealthCheckCompleted(
            f[2], OUTCOME_BY_CODE[f[3]], f[1], _floats(data, layout.size, f[4], code)
        )
    elif code == PEER_MESSAGE:
        event = PeerMessage(f[1], _read_content(data, layout.size, f[2], code))
    elif code == START:
        event = Started(f[1], _read_content(data, layout.size, f[2], code))
    else:
        event = Crashed()
    return instance, event


def _decode_endpoints(data: bytes) -> Iterator[Endpoint]:
    for cell, size, number, started_at, kind, zone, state in ENTRY.iter_unpack(data):
        if state > 2:
            raise WireError(f"list entry has the unknown state {state}")
        yield Endpoint(number, kind, zone, cell, size, started_at, EndpointState(state))


def _encode_record(code: int, fields: bytes) -> bytes:
    return RECORD.pack(code, len(fields)) + fields


def encode_broken(instance: int, text: str) -> bytes:
    """Encode the record that an instance has failed, and why."""
    raw = text.encode("utf-8", "replace")[:1000]
    return _encode_record(BROKEN, struct.pack("<IH", instance, len(raw)) + raw)


def encode_action(instance: int, action: Action) -> bytes:
    """Encode the record of an instance's action."""
    match action:
        case ForwardRequest(request, cache, timeout):
            return _encode_record(1060, struct.pack("<IIIQ", instance, request, cache, timeout))
        case FetchThrough():
            a = action
            opts = a.join + 2 * a.held_only + 8 * a.renew
            head = struct.pack("<IIIQI", instance, a.request, a.cache, a.timeout, a.source)
            return _encode_record(1090, head + struct.pack("<BQB", a.tier, a.max_copy_age, opts))
        case CancelAttempt(request, attempt):
            return _encode_record(1000, struct.pack("<IIH", instance, request, attempt))
        case RejectRequest(request, retry_after):
            return _encode_record(1010, struct.pack("<IIQ", instance, request, retry_after))
        case FailRequest(request):
            return _encode_record(1050, struct.pack("<II", instance, request))
        case SetTimer(wait, token):
            return _encode_record(1040, struct.pack("<IQQ", instance, wait, token))
        case SendHealthCheck(cache):
            return _encode_record(1070, struct.pack("<II", instance, cache))
        case WatchEndpoints():
            return _encode_record(1020, struct.pack("<IB", instance, 1))
        case WriteLog(text):
            raw = text.encode("utf-8", "replace")[:200]
            return _encode_record(1080, struct.pack("<IH", instance, len(raw)) + raw)


def encode_reply(batch: int, records: list[bytes]) -> bytes:
    """Encode the reply frame to a batch."""
    body = b"".join(records)
    return REPLY.pack(len(records), REPLY.size + len(body), batch) + body


def decode_settings(conf: bytes) -> Settings:
    """Return the settings that an instance starts with; unknown keys are ignored.

    Raises:
        SettingsError: A key is missing or its value is invalid.
    """
    lines = conf.decode("utf-8", "replace").splitlines()
    return read_settings(dict(line.split("=", 1) for line in lines if "=" in line))
