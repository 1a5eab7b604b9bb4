"""Frames of a stream between two fronts: header length (two bytes), msgpack header, data. No I/O."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Annotated

import msgspec

from quincepier.errors import QuincepierError

VERSION = 1
MAX_FRAME_BYTES = 2 * 1024 * 1024  # maximum data in one frame
MAX_HEADER_BYTES = 400  # more than two names of 64 characters and the numbers take
LENGTH_BYTES = 2
CHANNEL_COUNT = 256
MAX_REASON_LENGTH = 100  # characters of the decoder's error text that are kept

Name = Annotated[str, msgspec.Meta(min_length=1, max_length=64)]


class PeersError(QuincepierError):
    """A stream violates the protocol, or a setting makes fronts unreachable."""

    code = "QP-PEERS"
    remedy = "check `fleet`, `fronts` and `listen` of the section `members`, and that all run the same build"


class FrameHeader(msgspec.Struct, frozen=True, array_like=True):
    """The header of a frame.

    Attributes:
        version: The protocol version.
        fleet: The fleet's name.
        sender: The sending front's name.
        channel: The channel's number.
        size: The number of data bytes that follow the header.
    """

    version: int
    fleet: Name
    sender: Name
    channel: Annotated[int, msgspec.Meta(ge=0, lt=CHANNEL_COUNT)]
    size: Annotated[int, msgspec.Meta(ge=0, le=MAX_FRAME_BYTES)]


@dataclass(slots=True, frozen=True)
class Frame:
    """A received frame."""

    header: FrameHeader
    data: bytes


_header_decoder = msgspec.msgpack.Decoder(FrameHeader)
_header_encoder = msgspec.msgpack.Encoder()


def encode_frame(fleet: str, sender: str, channel: int, data: bytes) -> bytes:
    """Returns an encoded frame: length, header and data."""
    header = _header_encoder.encode(FrameHeader(VERSION, fleet, sender, channel, len(data)))
    return len(header).to_bytes(LENGTH_BYTES, "big") + header + data


class FrameDecoder:
    """Splits a byte stream into frames; buffers the bytes of one incomplete frame."""

    def __init__(self, fleet: str) -> None:
        self._fleet = fleet
        self._buffer = bytearray()
        self._header: FrameHeader | None = None

    @property
    def buffered_bytes(self) -> int:
        """The number of buffered bytes of an incomplete frame."""
        return len(self._buffer)

    @property
    def has_partial_frame(self) -> bool:
        """Whether part of a frame was received."""
        return self._header is not None or bool(self._buffer)

    def feed(self, data: bytes) -> list[Frame]:
        """Adds received bytes and returns the frames that are now complete.

        Raises:
            PeersError: The bytes are not a frame of this fleet and version; the stream must be closed.
        """
        self._buffer += data
        frames = []
        offset = 0
        while True:
            if self._header is None:
                header_size = self._header_size(offset)
                if header_size is None:
                    break
                start = offset + LENGTH_BYTES
                self._header = self._decode_header(bytes(self._buffer[start : start + header_size]))
                offset = start + header_size
            end = offset + self._header.size
            if len(self._buffer) < end:
                break
            frames.append(Frame(self._header, bytes(self._buffer[offset:end])))
            offset = end
            self._header = None
        del self._buffer[:offset]
        return frames

    def _header_size(self, offset: int) -> int | None:
        """Returns the size of the header at an offset; None until the whole header was received."""
        available = len(self._buffer) - offset
        if available < LENGTH_BYTES:
            return None
        size = int.from_bytes(self._buffer[offset : offset + LENGTH_BYTES], "big")
        if not 0 < size <= MAX_HEADER_BYTES:
            raise PeersError(f"invalid frame header size: {size} bytes")
        return size if available >= LENGTH_BYTES + size else None

    def _decode_header(self, data: bytes) -> FrameHeader:
        try:
            header = _header_decoder.decode(data)
        except (msgspec.DecodeError, RecursionError, ValueError) as error:
            reason = str(error)[:MAX_REASON_LENGTH]
            raise PeersError(f"malformed frame header: {reason}") from None
        if header.version != VERSION or header.fleet != self._fleet:
            raise PeersError(f"a frame with fleet {header.fleet!r}, version {header.version}")
        return header
