"""Codec of the simulator's wire: frames to typed events, typed actions to frames. It decides nothing."""

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

HEADER = struct.Struct("<IQI")
REPLY = struct.Struct("<III")
RECORD = struct.Struct("<HI")
U32 = struct.Struct("<I")
ENTRY = struct.Struct("<HfIQBHB")
START, VIEW, INCOMING, ESTABLISHED, OUTCOME = 1000, 1010, 1020, 1030, 1040
CLIENT_GONE, BELL, CHECKED, INBOX, CRASH_NOW, INVALIDATED = 1050, 1060, 1070, 1080, 1090, 1100
BROKEN = 1100
# Fields of fixed size, and how many of their bytes must be there; what lacks at a record's end reads as 0.
FIELDS: dict[int, tuple[struct.Struct, int]] = {
    VIEW: (struct.Struct("<IBII"), 13),
    INCOMING: (struct.Struct("<IIBfHfQfBQ"), 9),
    ESTABLISHED: (struct.Struct("<IIHIQ"), 14),
    OUTCOME: (struct.Struct("<IIHIBQBBQB"), 24),
    CLIENT_GONE: (struct.Struct("<II"), 8),
    BELL: (struct.Struct("<IQ"), 12),
    CHECKED: (struct.Struct("<IQIBB"), 17),
    INBOX: (struct.Struct("<IIH"), 10),
    CRASH_NOW: (struct.Struct("<I"), 4),
    INVALIDATED: (struct.Struct("<IHQQ"), 6),
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
    """A frame that is malformed; the text says how."""

    code = "QP-SIM"
    remedy = "check that the simulator speaks this version of its wire"


@dataclass(slots=True, frozen=True)
class Started:
    seed: int
    conf: bytes


@dataclass(slots=True, frozen=True)
class Crashed:
    pass


def decode_batch(frame: bytes) -> tuple[int, int, list[tuple[int, Event | Started | Crashed]]]:
    """A whole frame as (clock, batch number, [(instance, event)])."""
    if len(frame) < HEADER.size:
        raise WireError("frame shorter than its header")
    length, now, batch = HEADER.unpack_from(frame)
    if length != len(frame):
        raise WireError(f"frame of {len(frame)} bytes says it has {length}")
    found = []
    at = HEADER.size
    while at < length:
        if at + RECORD.size > length:
            raise WireError(f"record header cut short at byte {at}")
        code, size = RECORD.unpack_from(frame, at)
        at += RECORD.size
        if at + size > length:
            raise WireError(f"record {code} at byte {at - RECORD.size} runs past the frame")
        if code in FIELDS:
            found.append(_event(code, frame[at : at + size]))
        at += size
    return now, batch, found


def _tail(data: bytes, at: int, size: int, code: int) -> bytes:
    if size and at + size > len(data):
        raise WireError(f"record {code} lacks content that its count names")
    return data[at : at + size]


def _floats(data: bytes, at: int, count: int, code: int) -> tuple[float, ...]:
    return struct.unpack(f"<{count}f", _tail(data, at, 4 * count, code))


def _event(code: int, data: bytes) -> tuple[int, Event | Started | Crashed]:
    layout, needed = FIELDS[code]
    if len(data) < needed:
        raise WireError(f"record {code} has {len(data)} bytes of fields, {needed} needed")
    f = layout.unpack_from(data if len(data) >= layout.size else data.ljust(layout.size, b"\0"))
    i = f[0]
    event: Event | Started | Crashed
    if code == INCOMING:
        event = RequestReceived(f[1], f[2], f[3], f[4], int(f[5]), f[6], int(f[7]), bool(f[8] & 2), f[9])
    elif code == OUTCOME:
        if f[4] not in OUTCOME_BY_CODE:
            raise WireError(f"record {code} has the unknown outcome {f[4]}")
        note = CacheStatus(f[7]) if f[7] <= CacheStatus.ORIGIN_FAILED else CacheStatus.NONE
        report = _floats(data, layout.size, f[9], code)
        event = AttemptCompleted(
            f[1], f[2], f[3], OUTCOME_BY_CODE[f[4]], f[5], bool(f[6]), note, f[8], report
        )
    elif code == BELL:
        event = TimerFired(f[1])
    elif code == VIEW:
        if f[1] > 3:
            raise WireError(f"record {code} has the unknown scope {f[1]}")
        event = EndpointUpdate(
            UpdateScope(f[1]), tuple(_machines(_tail(data, layout.size, ENTRY.size * f[3], code)))
        )
    elif code == CLIENT_GONE:
        event = ClientDisconnected(f[1])
    elif code == INVALIDATED:
        event = ObjectPurged(f[1], f[2], f[3])
    elif code == ESTABLISHED:
        event = ResponseStarted(f[1], f[2], f[3])
    elif code == CHECKED:
        if f[3] not in OUTCOME_BY_CODE:
            raise WireError(f"record {code} has the unknown outcome {f[3]}")
        event = HealthCheckCompleted(
            f[2], OUTCOME_BY_CODE[f[3]], f[1], _floats(data, layout.size, f[4], code)
        )
    elif code == INBOX:
        event = PeerMessage(f[1], _tail(data, layout.size, f[2], code))
    elif code == START:
        event = Started(f[1], _tail(data, layout.size, f[2], code))
    else:
        event = Crashed()
    return i, event


def _machines(data: bytes) -> Iterator[Endpoint]:
    for cell, size, cache, up_since, kind, zone, state in ENTRY.iter_unpack(data):
        if state > 2:
            raise WireError(f"list entry has the unknown state {state}")
        yield Endpoint(cache, kind, zone, cell, size, up_since, EndpointState(state))


def _record(code: int, fields: bytes) -> bytes:
    return RECORD.pack(code, len(fields)) + fields


def encode_broken(instance: int, text: str) -> bytes:
    raw = text.encode("utf-8", "replace")[:1000]
    return _record(BROKEN, struct.pack("<IH", instance, len(raw)) + raw)


def encode_action(i: int, action: Action) -> bytes:
    match action:
        case ForwardRequest(request, cache, timeout):
            return _record(1060, struct.pack("<IIIQ", i, request, cache, timeout))
        case FetchThrough():
            a = action
            opts = a.join + 2 * a.held_only + 8 * a.renew
            head = struct.pack("<IIIQI", i, a.request, a.cache, a.timeout, a.source)
            return _record(1090, head + struct.pack("<BQB", a.tier, a.max_copy_age, opts))
        case CancelAttempt(request, attempt):
            return _record(1000, struct.pack("<IIH", i, request, attempt))
        case RejectRequest(request, retry_after):
            return _record(1010, struct.pack("<IIQ", i, request, retry_after))
        case FailRequest(request):
            return _record(1050, struct.pack("<II", i, request))
        case SetTimer(wait, token):
            return _record(1040, struct.pack("<IQQ", i, wait, token))
        case SendHealthCheck(cache):
            return _record(1070, struct.pack("<II", i, cache))
        case WatchEndpoints():
            return _record(1020, struct.pack("<IB", i, 1))
        case WriteLog(text):
            raw = text.encode("utf-8", "replace")[:200]
            return _record(1080, struct.pack("<IH", i, len(raw)) + raw)


def encode_reply(batch: int, records: list[bytes]) -> bytes:
    body = b"".join(records)
    return REPLY.pack(len(records), REPLY.size + len(body), batch) + body


def decode_settings(conf: bytes) -> Settings:
    """The start settings as typed values; keys not known are passed over."""
    lines = conf.decode("utf-8", "replace").splitlines()
    return read_settings(dict(line.split("=", 1) for line in lines if "=" in line))
