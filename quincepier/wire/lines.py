"""The caches' protocol: commands out, answers in; lines of words ending in CR LF, then counted bytes."""

from __future__ import annotations

import re
from collections.abc import Iterable
from dataclasses import dataclass

from quincepier.wire.errors import ProtocolError

LINE_MOST, LENGTH_MOST = 1024, 240_000
WORDS = frozenset(("data", "unchanged", "absent", "full", "failed", "moot", "well", "ill"))
TAG = re.compile(r"[\x21-\x7e]{1,128}")


@dataclass(slots=True, frozen=True)
class ResponseHead:
    """An answer's line; `length` bytes follow as Piece, then Whole."""

    id: str
    word: str
    fields: dict[str, str]
    length: int


@dataclass(slots=True, frozen=True)
class ResponseData:
    data: bytes | memoryview


@dataclass(slots=True, frozen=True)
class ResponseEnd:
    """The answer begun last is there to its last byte."""


def serve(id: str, fields: Iterable[tuple[str, str]], body: bytes) -> bytes:
    listed = ",".join(f"{name}={value}" for name, value in fields) or "-"
    return b"serve %b %b %d\r\n%b\r\n" % (id.encode(), listed.encode(), len(body), body)


@dataclass(slots=True, frozen=True)
class ServeCommand:
    """A `serve` command but for its deadline, which belongs to the moment of its first byte."""

    id: str
    fields: tuple[tuple[str, str], ...]
    body: bytes

    def encode(self, wait_ms: int) -> bytes:
        """Return the command with this deadline in its field `wait`, milliseconds."""
        return serve(self.id, ((n, str(wait_ms) if n == "wait" else v) for n, v in self.fields), self.body)


def cancel(id: str) -> bytes:
    return b"cancel %b\r\n" % id.encode()


def health(tag: str) -> bytes:
    return b"health %b\r\n" % tag.encode()


def gauges(tag: str) -> bytes:
    return b"gauges %b\r\n" % tag.encode()


def read_fields(text: str) -> dict[str, str]:
    if text == "-":
        return {}
    fields = {}
    for item in text.split(","):
        name, sign, value = item.partition("=")
        if not sign or not name or name in fields:
            raise ProtocolError(f"a field that can't be read: {item[:60]!r}")
        fields[name] = value
    return fields


def read_line(raw: bytes) -> ResponseHead:
    try:
        words = raw.decode("ascii").split(" ")
    except UnicodeDecodeError:
        raise ProtocolError("an answer's line with other than ASCII bytes") from None
    if len(words) != 4 or not TAG.fullmatch(words[0]):
        raise ProtocolError(f"an answer's line that can't be read: {raw[:60]!r}")
    id, word, fields, length = words
    if word not in WORDS:
        raise ProtocolError(f"the unknown answer {word[:30]!r}")
    if not length.isdecimal() or len(length) > 9 or int(length) > LENGTH_MOST:
        raise ProtocolError(f"an answer's length of {length[:30]!r}, not 0 to {LENGTH_MOST}")
    return ResponseHead(id, word, read_fields(fields), int(length))


class Decoder:
    """Answers of one connection, fed in any split; bytes of objects pass through and are not kept."""

    def __init__(self) -> None:
        self.line_buffer = bytearray()
        self.bytes_left = 0  # bytes of the object still to come
        self.expected_trailer = b""  # what must follow next, behind the object

    @property
    def is_between_responses(self) -> bool:
        """Whether no answer is half read."""
        return not (self.line_buffer or self.bytes_left or self.expected_trailer)

    def feed(self, data: memoryview) -> Iterable[ResponseHead | ResponseData | ResponseEnd]:
        """The answers in the data, as it goes: a piece is valid until the next one is asked for."""
        at, size = 0, len(data)
        while at < size:
            if self.bytes_left:
                piece = data[at : at + self.bytes_left]
                self.bytes_left -= len(piece)
                at += len(piece)
                yield ResponseData(piece)
            elif self.expected_trailer:
                if data[at] != self.expected_trailer[0]:
                    raise ProtocolError("an object longer than its length says")
                self.expected_trailer, at = self.expected_trailer[1:], at + 1
                if not self.expected_trailer:
                    yield ResponseEnd()
            else:
                rest = bytes(data[at : at + LINE_MOST + 2])
                stop = rest.find(b"\n")
                taken = rest if stop < 0 else rest[: stop + 1]
                self.line_buffer += taken
                at += len(taken)
                if len(self.line_buffer) > LINE_MOST:
                    raise ProtocolError(f"an answer's line over {LINE_MOST} bytes")
                if stop >= 0:
                    if self.line_buffer[-2:] != b"\r\n":
                        raise ProtocolError("an answer's line that ends without CR LF")
                    head = read_line(bytes(self.line_buffer[:-2]))
                    self.line_buffer.clear()
                    self.bytes_left, self.expected_trailer = head.length, b"\r\n"
                    yield head
