"""The simulator's codec: byte examples of the wire format, unusual but valid input, malformed input."""

from __future__ import annotations

import struct

import pytest

from quincepier import interface as io
from quincepier.config import SettingsError
from quincepier.interface import AttemptOutcome, CacheStatus, EndpointState, Idempotency, UpdateScope
from quincepier.simwire import (
    Started,
    WireError,
    decode_batch,
    decode_settings,
    encode_action,
    encode_broken,
    encode_reply,
)
from tests.wirekit import CONF, frame, record, start


def decode_single(hex_text: str) -> object:
    _, _, ((_, event),) = decode_batch(frame(bytes.fromhex(hex_text.replace(" ", ""))))
    return event


def test_empty_batch_and_its_reply() -> None:
    assert decode_batch(bytes.fromhex("1000000090bf68f50100000001000000")) == (8412250000, 1, [])
    assert encode_reply(1, []).hex() == "000000000c00000001000000"


def test_batch_for_two_instances() -> None:
    data = bytes.fromhex(
        "5e00000090bf68f5010000000c000000"
        "fc032800000003000000c4913a5d0000002044000000003041640ad2557c3bf0910000404001001c4e0e00000000"
        "24040c000000030000004d00000000000000"
        "1a040800000005000000192b6f0e"
    )
    now, batch, events = decode_batch(data)
    assert (now, batch) == (8412250000, 12)
    assert events == [
        (3, io.RequestReceived(1564119492, 0, 640.0, 0, 11, 0x91F03B7C55D20A64, 3, False, 240000000)),
        (3, io.TimerFired(77)),
        (5, io.ClientDisconnected(242166553)),
    ]


EVENTS = [
    (
        "1004 22000000 03000000 c4913a5d 0000 074a1203 00 a0491a0100000000 01 02 c06e8f0000000000 00",
        io.AttemptCompleted(
            0x5D3A91C4, 0, 0x03124A07, AttemptOutcome.OK, 18500000, True, CacheStatus.FILLED, 9400000, ()
        ),
    ),
    (
        "4c04 16000000 03000000 0b00 010ad2557c000000 40ff100500000000",
        io.ObjectPurged(11, 0x7C55D20A01, 85000000),
    ),
    (
        "0604 16000000 03000000 c4913a5d 0000 074a1203 d0248d0000000000",
        io.ResponseStarted(0x5D3A91C4, 0, 0x03124A07),
    ),
    ("3804 0e000000 03000000 02000000 0400 68692037", io.PeerMessage(2, b"hi 7")),
    (
        "2e04 1a000000 03000000 c05c150000000000 f211902c 00 02 0000003f 0000803e",
        io.HealthCheckCompleted(0x2C9011F2, AttemptOutcome.OK, 1400000, (0.5, 0.25)),
    ),
    (
        "f203 39000000 03000000 03 29000000 02000000"
        "0000 0000803f 074a1203 0000000000000000 00 0000 00"
        "0000 0000c03f f211902c 009d966b01000000 00 0100 00",
        io.EndpointUpdate(
            UpdateScope.RESTORED,
            (
                io.Endpoint(0x03124A07, 0, 0, 0, 1.0, 0, EndpointState.READY),
                io.Endpoint(0x2C9011F2, 0, 1, 0, 1.5, 6100000000, EndpointState.READY),
            ),
        ),
    ),
]


@pytest.mark.parametrize(("text", "event"), EVENTS)
def test_event_bytes(text: str, event: io.Event) -> None:
    assert decode_single(text) == event


ACTIONS = [
    (
        io.ForwardRequest(0x5D3A91C4, 0x03124A07, 80000000),
        "2404 14000000 03000000 c4913a5d 074a1203 00b4c40400000000",
    ),
    (io.WatchEndpoints(), "fc03 05000000 03000000 01"),
    (io.CancelAttempt(0x5D3A91C4, 0), "e803 0a000000 03000000 c4913a5d 0000"),
    (io.FailRequest(0x0E6F2B19), "1a04 08000000 03000000 192b6f0e"),
    (io.SetTimer(500000000, 77), "1004 14000000 03000000 0065cd1d00000000 4d00000000000000"),
    (io.WriteLog("two servers known"), "3804 17000000 03000000 1100 74776f2073657276657273206b6e6f776e"),
    (io.RejectRequest(0x0E6F2B19, 250000000), "f203 10000000 03000000 192b6f0e 80b2e60e00000000"),
    (io.SendHealthCheck(0x2C9011F2), "2e04 08000000 03000000 f211902c"),
    (
        io.FetchThrough(0x5D3A91C4, 0x03124A07, 900000000, 0x2C9011F2, 2, 1500000000, True, True, False),
        "4204 22000000 03000000 c4913a5d 074a1203 00e9a43500000000 f211902c 02 002f685900000000 09",
    ),
]


@pytest.mark.parametrize(("action", "text"), ACTIONS)
def test_action_bytes(action: io.Action, text: str) -> None:
    assert encode_action(3, action) == bytes.fromhex(text.replace(" ", ""))


def test_broken_bytes() -> None:
    expected = "4c04 18000000 03000000 1200 696e646578206f7574206f662072616e6765"
    assert encode_broken(3, "index out of range") == bytes.fromhex(expected.replace(" ", ""))


def test_short_optional_fields_read_as_zero() -> None:
    short = record(1020, struct.pack("<IIB", 3, 8, 1))
    assert decode_batch(frame(short))[2] == [(3, io.RequestReceived(8, 1, 0.0, 0, 0, 0, 0, False, 0))]
    bare = record(1040, struct.pack("<IIHIBQB", 3, 8, 0, 101, 110, 5, 1))
    expected = io.AttemptCompleted(8, 0, 101, AttemptOutcome.TIMEOUT, 5, True, CacheStatus.NONE, 0, ())
    assert decode_batch(frame(bare))[2] == [(3, expected)]
    group_only = record(1100, struct.pack("<IH", 3, 11))
    assert decode_batch(frame(group_only))[2] == [(3, io.ObjectPurged(11, 0, 0))]


def test_unknown_codes_and_further_fields_are_skipped() -> None:
    longer = record(1050, struct.pack("<II", 3, 8) + b"more")
    assert decode_batch(frame(record(9999, b"abc"), longer))[2] == [(3, io.ClientDisconnected(8))]


@pytest.mark.parametrize(
    "data",
    [
        b"\x10\0\0\0",
        frame()[:-1],
        frame() + b"\0",
        frame(b"\xfc\x03\x28"),
        frame(struct.pack("<HI", 1020, 40) + b"short"),
        frame(record(1050, b"\x03\0\0\0")),
        frame(record(1010, struct.pack("<IBII", 3, 3, 1, 2) + b"\0" * 22)),
        frame(record(1040, struct.pack("<IIHIBQB", 3, 8, 0, 101, 77, 5, 1))),
        frame(record(1010, struct.pack("<IBII", 3, 9, 1, 0))),
    ],
)
def test_malformed_frames_raise(data: bytes) -> None:
    with pytest.raises(WireError):
        decode_batch(data)


def test_settings_are_read_and_unknown_keys_ignored() -> None:
    _, _, ((instance, started),) = decode_batch(frame(start()))
    assert instance == 3 and isinstance(started, Started) and started.seed == 9
    settings = decode_settings(started.conf)
    assert (
        settings.zone,
        settings.fronts,
        settings.fronts_by_zone,
        settings.parent_kind,
        settings.origin_kind,
    ) == (1, 2, (0, 2), 1, 2)
    assert (settings.purge_settles, settings.cold_window, settings.parent_cold_from) == (
        6 * 10**9,
        1500 * 10**6,
        0.1,
    )
    assert [c.effect for c in settings.classes] == [Idempotency.SAFE, Idempotency.UNSAFE]
    assert [(c.fresh, c.grace, c.stretch) for c in settings.classes] == [
        (0, 0, 2.0),
        (12 * 10**9, 10 * 10**9, 0.0),
    ]
    assert settings.sizes_compare and not settings.list_on_request


@pytest.mark.parametrize("key", ["services.0.worth", "rules.cold_from", "zone", "services.count"])
def test_missing_settings_are_named(key: str) -> None:
    conf = "\n".join(line for line in CONF.splitlines() if not line.startswith(key + "="))
    with pytest.raises(SettingsError, match=key):
        decode_settings(conf.encode())


def test_invalid_settings_are_named() -> None:
    with pytest.raises(SettingsError, match="rules.cold_from"):
        decode_settings(CONF.replace("rules.cold_from=0.2", "rules.cold_from=much").encode())
    with pytest.raises(SettingsError, match="services.1.effect"):
        decode_settings(CONF.replace("single_shot", "sometimes").encode())


def test_report_fields_are_translated_and_zero_fronts_are_an_error() -> None:
    more = "\nreport.fields=concurrent,x1,new_value"
    assert decode_settings((CONF + more).encode()).reports == ("in flight", "link", "new_value")
    none = "\n".join(
        "replicas_of_me=0" if line.startswith("replicas_of_me=") else line for line in CONF.splitlines()
    )
    with pytest.raises(SettingsError, match="replicas_of_me"):
        decode_settings(none.encode())
