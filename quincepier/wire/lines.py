"""Codec of the caches' protocol: commands are sent, responses received.

Both are a line of words that ends in CR LF, followed by the bytes of a body whose length the line states.
"""

from __future__ import annotations

import re
from collections.abc import Iterable
from dataclasses import dataclass

from quincepier.wire.errors import ProtocolError

MAX_LINE, MAX_LENGTH = 1024, 240_000  # bytes
# Words of responses: of commands, then of health checks.
WORDS = frozenset(("data", "unchanged", "absent", "full", "failed", "moot", "well", "ill"))
TAG = re.compile(r"[\x21-\x7e]{1,128}")


@dataclass(slots=True, frozen=True)
class ResponseHead:
    """The line of a response; `length` bytes follow as `ResponseData`, then `ResponseEnd`.

    Attributes:
        id: The id of the command that it answers.
        word: The outcome, one of `WORDS`.
        fields: The line's fields, by name.
        length: Length of the body, bytes.
    """

    id: str
    word: str
    fields: dict[str, str]
    length: int


@dataclass(slots=True, frozen=True)
class ResponseData:
    """Bytes of a response's body; valid until the decoder is advanced."""

    data: bytes | memoryview


@dataclass(slots=True, frozen=True)
class ResponseEnd:
    """The response that began last is complete."""


def serve(id: str, fields: Iterable[tuple[str, str]], body: bytes) -> bytes:
    """Encode a `serve` command."""
    listed = ",".join(f"{name}={value}" for name, value in fields) or "-"
    return b"serve %b %b %d\r\n%b\r\n" % (id.encode(), listed.encode(), len(body), body)


@dataclass(slots=True, frozen=True)
class ServeCommand:
    """A `serve` command whose deadline is filled in when its first byte is sent."""

    id: str
    fields: tuple[tuple[str, str], ...]
    body: bytes

    def encode(self, wait_ms: int) -> bytes:
        """Encode the command with a deadline of `wait_ms` milliseconds."""
        return serve(self.id, ((n, str(wait_ms) if n == "wait" else v) for n, v in self.fields), self.body)


def cancel(id: str) -> bytes:
    """Encode a command that cancels the `serve` command of that id."""
    return b"cancel %b\r\n" % id.encode()


def health(tag: str) -> bytes:
    """Encode a health check; the tag is the id of its response."""
    return b"health %b\r\n" % tag.encode()


def gauges(tag: str) -> bytes:
    """Encode a health check whose response has a load report; the tag is the id of its response."""
    return b"gauges %b\r\n" % tag.encode()


def read_fields(text: str) -> dict[str, str]:
    """Decode the fields of a line, `name=value` separated by commas, or `-` for none.

    Raises:
        ProtocolError: A field is malformed or repeated.
    """
    if text == "-":
        return {}
    fields = {}
    for item in text.split(","):
        name, sign, value = item.partition("=")
        if not sign or not name or name in fields:
            raise ProtocolError(f"a malformed or repeated field: {item[:60]!r}")
        fields[name] = value
    return fields


def read_line(raw: bytes) -> ResponseHead:
    """Decode the line of a response, without its CR LF.

    Raises:
        ProtocolError: The line is malformed.
    """
    try:
        words = raw.decode("ascii").split(" ")
    except UnicodeDecodeError:
        raise ProtocolError("a response line with bytes that are not ASCII") from None
    if len(words) != 4 or not TAG.fullmatch(words[0]):
        raise ProtocolError(f"a malformed response line: {raw[:60]!r}")
    id, word, fields, length = words
    if word not in WORDS:
        raise ProtocolError(f"the unknown response word {word[:30]!r}")
    if not length.isdecimal() or len(length) > 9 or int(length) > MAX_LENGTH:
        raise ProtocolError(f"a response length of {length[:30]!r}, not 0 to {MAX_LENGTH}")
    return ResponseHead(id, word, read_fields(fields), int(length))


class Decoder:
    """Decodes the responses of one connection; bytes of bodies are passed on and not buffered.

    Attributes:
        line_buffer: The bytes received of an incomplete line.
        bytes_left: Bytes of the body still to be received.
        expected_trailer: Bytes that must follow the body.
        undecoded: The data behind a `ResponseHead` that was yielded; valid until the decoder is advanced.
    """

    def __init__(self) -> None:
        self.line_buffer = bytearray()
        self.bytes_left = 0
        self.expected_trailer = b""
        self.undecoded: memoryview = memoryview(b"")

    @property
    def is_between_responses(self) -> bool:
        """Whether no response has been received in part."""
        return not (self.line_buffer or self.bytes_left or self.expected_trailer)

    def feed(self, data: memoryview) -> Iterable[ResponseHead | ResponseData | ResponseEnd]:
        """Decode received data, split in any way, and yield what it contains.

        The caller may stop at a `ResponseHead` and feed `undecoded`, or a copy of it, later.

        Raises:
            ProtocolError: The data violates the protocol.
        """
        at, size = 0, len(data)
        while at < size:
            if self.bytes_left:
                piece = data[at : at + self.bytes_left]
                self.bytes_left -= len(piece)
                at += len(piece)
                yield ResponseData(piece)
            elif self.expected_trailer:
                if data[at] != self.expected_trailer[0]:
                    raise ProtocolError("a body longer than its stated length")
                self.expected_trailer, at = self.expected_trailer[1:], at + 1
                if not self.expected_trailer:
                    yield ResponseEnd()
            else:
                rest = bytes(data[at : at + MAX_LINE + 2])
                line_end = rest.find(b"\n")
                taken = rest if line_end < 0 else rest[: line_end + 1]
                self.line_buffer += taken
                at += len(taken)
                if len(self.line_buffer) > MAX_LINE:
                    raise ProtocolError(f"a response line over {MAX_LINE} bytes")
                if line_end >= 0:
                    if self.line_buffer[-2:] != b"\r\n":
                        raise ProtocolError("a response line that does not end in CR LF")
                    head = read_line(bytes(self.line_buffer[:-2]))
                    self.line_buffer.clear()
                    self.bytes_left, self.expected_trailer = head.length, b"\r\n"
                    self.undecoded = data[at:]
                    yield head
