"""The simulator's host: separate instances, starts and crashes, malformed input, exceptions in decisions."""

from __future__ import annotations

import io as stdio
import struct
import subprocess
import sys

import pytest

from quincepier import simhost
from quincepier.simwire import WireError
from tests.wirekit import CONF, FLEET, frame, incoming, read_reply, record, start, view


def run(data: bytes) -> subprocess.CompletedProcess[bytes]:
    return subprocess.run(
        [sys.executable, "-m", "quincepier.simhost"], input=data, capture_output=True, check=False
    )


def test_end_of_input_exits_well() -> None:
    completed = run(frame())
    assert (completed.returncode, completed.stderr) == (0, b"")
    assert read_reply(completed.stdout) == (1, [])


@pytest.mark.parametrize("data", [frame()[:9], b"\x05\0\0\0", frame(record(1050, b"")), frame() + b"\x01"])
def test_malformed_input_stops_with_one_plain_line(data: bytes) -> None:
    completed = run(data)
    assert completed.returncode != 0
    lines = completed.stderr.decode().splitlines()
    assert len(lines) == 1 and lines[0].startswith("quincepier: malformed input:")


class OneByteReads(stdio.RawIOBase):
    """Returns one byte for each read, as a slow pipe may."""

    def __init__(self, data: bytes) -> None:
        self.data = stdio.BytesIO(data)

    def read(self, size: int = -1) -> bytes:
        return self.data.read(min(size, 1))


def test_frame_is_read_in_partial_reads() -> None:
    data = frame(start(), view(entries=FLEET))
    stream = OneByteReads(data)
    assert simhost.read_frame(stream) == data  # type: ignore[arg-type]
    assert simhost.read_frame(stream) is None  # type: ignore[arg-type]
    with pytest.raises(WireError):
        simhost.read_frame(OneByteReads(data[:20]))  # type: ignore[arg-type]


def test_start_view_and_request_send_an_attempt() -> None:
    host = simhost.Host()
    _, records = read_reply(host.reply(frame(start(), view(entries=FLEET), incoming(8))))
    assert [code for code, _ in records if code not in (1040, 1080)] == [1090]  # besides timers and log lines


def test_crash_and_start_in_one_batch_begin_anew() -> None:
    host = simhost.Host()
    host.reply(frame(start(), view(entries=FLEET), incoming(8)))
    before = host.routers[3]
    crash = record(1090, struct.pack("<I", 3))
    host.reply(frame(crash, start(), view(entries=FLEET)))
    assert host.routers[3] is not before and host.routers[3].requests == {}


def test_events_for_a_crashed_instance_or_a_finished_request_do_nothing() -> None:
    host = simhost.Host()
    host.reply(frame(start(), view(entries=FLEET)))
    disconnected = record(1050, struct.pack("<II", 3, 8))
    late = record(1040, struct.pack("<IIHIBQB", 3, 8, 0, 101, 110, 5, 1))
    assert read_reply(host.reply(frame(disconnected, late)))[1] == []
    host.reply(frame(record(1090, struct.pack("<I", 3))))
    assert read_reply(host.reply(frame(incoming(9))))[1] == []


def test_missing_setting_is_reported_as_broken_with_its_key() -> None:
    host = simhost.Host()
    reply = host.reply(frame(start(conf=CONF.replace("rules.tip_after", "rules.other"))))
    ((code, fields),) = read_reply(reply)[1]
    assert code == 1100 and b"rules.tip_after" in fields


def test_exception_is_broken_for_its_instance_alone(monkeypatch: pytest.MonkeyPatch) -> None:
    host = simhost.Host()
    host.reply(frame(start(3), view(3, entries=FLEET), start(4), view(4, entries=FLEET)))

    def fail(now: int, event: object) -> list[object]:
        raise ValueError("no such thing")

    monkeypatch.setattr(host.routers[3], "handle", fail)
    records = read_reply(host.reply(frame(incoming(8, 3), incoming(9, 4))))[1]
    broken = [fields for code, fields in records if code == 1100]
    assert len(broken) == 1 and broken[0][:4] == struct.pack("<I", 3) and b"no such thing" in broken[0]
    assert any(code == 1090 and fields[:4] == struct.pack("<I", 4) for code, fields in records)


def test_instances_share_nothing() -> None:
    alone, both = simhost.Host(), simhost.Host()
    setup = (start(3), view(3, entries=FLEET))
    alone.reply(frame(*setup))
    both.reply(frame(*setup, start(4), view(4, entries=FLEET)))
    both.reply(frame(*(incoming(n, 4) for n in range(50, 90))))
    assert alone.reply(frame(incoming(8))) == both.reply(frame(incoming(8)))
