"""Frames on a stream between two fronts: two bytes of length, a head in msgpack, then the data. No I/O."""

from __future__ import annotations

from typing import Annotated

import msgspec

from quincepier.errors import QuincepierError

VERSION = 1
FRAME_MOST = 2 * 1024 * 1024  # bytes of data in one frame
HEAD_MOST = 400  # bytes of a head: two names of 64 characters and numbers are less
CHANNELS = 256
Name = Annotated[str, msgspec.Meta(min_length=1, max_length=64)]


class PeersError(QuincepierError):
    """A stream that is none of ours, or a setting by which no front can be found."""

    code = "QP-PEERS"
    remedy = "check `fleet`, `fronts` and `listen` of the section `members`, and that all run the same build"


class Head(msgspec.Struct, frozen=True, array_like=True):
    version: int
    fleet: Name
    name: Name  # the sender
    channel: Annotated[int, msgspec.Meta(ge=0, lt=CHANNELS)]
    size: Annotated[int, msgspec.Meta(ge=0, le=FRAME_MOST)]


_decode = msgspec.msgpack.Decoder(Head).decode
_encode = msgspec.msgpack.Encoder().encode


def frame(fleet: str, name: str, channel: int, data: bytes) -> bytes:
    head = _encode(Head(VERSION, fleet, name, channel, len(data)))
    return len(head).to_bytes(2, "big") + head + data


class Splitter:
    """Bytes of a stream in, whole frames out. Holds one frame at most, and what came with its last bytes."""

    def __init__(self, fleet: str) -> None:
        self.fleet, self.held = fleet, bytearray()
        self.head: Head | None = None

    def feed(self, data: bytes) -> list[tuple[Head, bytes]]:
        """Raises PeersError for bytes that are no frame of this fleet and version: the stream must end."""
        self.held += data
        held, at, out = self.held, 0, list[tuple[Head, bytes]]()
        while True:
            if self.head is None:
                if len(held) - at < 2:
                    break
                size = held[at] << 8 | held[at + 1]
                if not 0 < size <= HEAD_MOST:
                    raise PeersError(f"a frame's head of {size} bytes")
                if len(held) - at < 2 + size:
                    break
                self.head = self._head(bytes(held[at + 2 : at + 2 + size]))
                at += 2 + size
            if len(held) - at < self.head.size:
                break
            out.append((self.head, bytes(held[at : at + self.head.size])))
            at, self.head = at + self.head.size, None
        del held[:at]
        return out

    def _head(self, raw: bytes) -> Head:
        try:
            head = _decode(raw)
        except (msgspec.DecodeError, RecursionError, ValueError) as error:
            raise PeersError(f"a frame's head is malformed: {str(error)[:100]}") from None
        if head.version != VERSION or head.fleet != self.fleet:
            raise PeersError(f"a frame of fleet {head.fleet!r}, version {head.version}")
        return head
