"""The web server's side of FastCGI for the tests, written from the specification alone."""

from __future__ import annotations

import struct
from dataclasses import dataclass, field

BEGIN, ABORT, END, PARAMS, STDIN, STDOUT = 1, 2, 3, 4, 5, 6


def encode_record(kind: int, request: int, content: bytes = b"", padding: int = 0) -> bytes:
    return struct.pack(">BBHHBB", 1, kind, request, len(content), padding, 0) + content + bytes(padding)


def encode_begin(request: int, role: int = 1, keep: bool = True) -> bytes:
    return encode_record(BEGIN, request, struct.pack(">HB5x", role, keep))


def encode_pairs(values: dict[str, str], long: bool = False) -> bytes:
    out = b""
    for name, value in values.items():
        for text in (name, value):
            out += struct.pack(">I", len(text) | 1 << 31) if long or len(text) > 127 else bytes([len(text)])
        out += name.encode() + value.encode()
    return out


def params(job: str, cls: str = "lot-image", **changes: str | None) -> dict[str, str]:
    values: dict[str, str | None] = {
        "SCRIPT_NAME": f"/call/{cls}",
        "HTTP_X_JOB_ID": job,
        "HTTP_X_ALLOW_MS": "3000",
        "HTTP_X_ITEM": "7f3a9c21e0b4d655",
        "HTTP_X_N": "0",
        "HTTP_X_SHARD": "17",
    }
    values |= changes
    return {name: value for name, value in values.items() if value is not None}


def encode_request(
    request: int, values: dict[str, str], body: bytes = b"", keep: bool = True, padding: int = 0
) -> bytes:
    raw = encode_pairs(values)
    out = (
        encode_begin(request, keep=keep)
        + encode_record(PARAMS, request, raw, padding)
        + encode_record(PARAMS, request)
    )
    for start in range(0, len(body), 60_000):
        out += encode_record(STDIN, request, body[start : start + 60_000], padding)
    return out + encode_record(STDIN, request)


@dataclass
class ReceivedResponse:
    """The response to one request, as far as it has arrived.

    Attributes:
        output: Content of its STDOUT records.
        protocol_status: The protocol status of END_REQUEST; None before it has arrived.
    """

    output: bytes = b""
    protocol_status: int | None = None

    @property
    def headers(self) -> dict[str, str]:
        head = self.output.partition(b"\r\n\r\n")[0].decode()
        return dict(line.split(": ", 1) for line in head.split("\r\n"))

    @property
    def status(self) -> int:
        return int(self.headers["Status"].split()[0])

    @property
    def body(self) -> bytes:
        return self.output.partition(b"\r\n\r\n")[2]


@dataclass
class ResponseReader:
    """Decodes records from the front by request; a record after a request's END_REQUEST fails the test."""

    buffer: bytes = b""
    response_by_request: dict[int, ReceivedResponse] = field(default_factory=dict)
    management_records: list[tuple[int, bytes]] = field(default_factory=list)
    completed_requests: list[int] = field(default_factory=list)

    def feed(self, data: bytes) -> None:
        self.buffer += data
        while len(self.buffer) >= 8:
            version, kind, request, size, padding = struct.unpack_from(">BBHHB", self.buffer)
            assert version == 1
            if len(self.buffer) < 8 + size + padding:
                return
            content = self.buffer[8 : 8 + size]
            self.buffer = self.buffer[8 + size + padding :]
            if request == 0:
                self.management_records.append((kind, content))
                continue
            response = self.response_by_request.setdefault(request, ReceivedResponse())
            assert response.protocol_status is None, f"request {request} has a record after END_REQUEST"
            if kind == STDOUT:
                response.output += content
            else:
                assert kind == END
                response.protocol_status = content[4]
                self.completed_requests.append(request)
