"""The format of one stored record: a fixed header with a checksum, then msgpack, compressed where it pays.

The header is little-endian: magic `qpst`, version of the content, flags, sequence number, length as stored,
length of the content; then the xxh3-128 digest of the header and all that follows. Nothing here does I/O.
"""

from __future__ import annotations

import struct
from enum import Enum
from typing import NamedTuple

import xxhash
import zstandard

from quincepier.errors import QuincepierError

MAGIC = b"qpst"
HEADER = struct.Struct("<4sHHQII")
FLAGS_OFFSET = 6
STORED_LENGTH_OFFSET = HEADER.size - 8
DIGEST_BYTES = 16
CONTENT_OFFSET = HEADER.size + DIGEST_BYTES
FLAG_ZSTD = 1  # the content is compressed
ZSTD_LEVEL = 1
MIN_COMPRESSED_BYTES = 4096  # compressing less costs more than it saves
MAX_RECORD_BYTES = 16 * 1024 * 1024  # of the content, stored and decompressed
MAX_FILE_BYTES = CONTENT_OFFSET + MAX_RECORD_BYTES


class RecordFault(Enum):
    """Why a record, or its folder, can't be used; the value is the text that operators read."""

    TRUNCATED = "cut short"
    UNKNOWN_FORMAT = "no record of quincepier"
    DAMAGED = "damaged"
    TOO_LARGE = "too large"
    NEWER_VERSION = "of a newer version"
    INVALID_CONTENT = "content that can't be read"
    LOCKED = "in use by another front"
    UNUSABLE_FOLDER = "the folder can't be used"


class StateError(QuincepierError):
    """The error of this package.

    Attributes:
        fault: What is wrong.
        offset: The byte at which it is wrong, -1 where unknown.
    """

    code = "QP-STATE"
    remedy = "see `quincepier state check FOLDER`; `state prune` takes away what is damaged"

    def __init__(self, fault: RecordFault, detail: str = "", offset: int = -1) -> None:
        position = f" at byte {offset}" if offset >= 0 else ""
        super().__init__(f"{fault.value}{position}{': ' if detail else ''}{detail}")
        self.fault = fault
        self.offset = offset


class UnpackedRecord(NamedTuple):
    """A record as read.

    Attributes:
        version: Version of the content.
        sequence: Grows by one with each write.
        content: The content, decompressed.
    """

    version: int
    sequence: int
    content: bytes


def pack_record(version: int, sequence: int, content: bytes) -> bytes:
    """Return the bytes of a record.

    Raises:
        StateError: The content is too large.
    """
    if len(content) > MAX_RECORD_BYTES:
        raise StateError(RecordFault.TOO_LARGE, f"{len(content)} bytes")
    stored = content
    flags = 0
    if len(content) >= MIN_COMPRESSED_BYTES:
        stored = zstandard.ZstdCompressor(level=ZSTD_LEVEL).compress(content)
        flags = FLAG_ZSTD
    header = HEADER.pack(MAGIC, version, flags, sequence, len(stored), len(content))
    return header + xxhash.xxh3_128_digest(header + stored) + stored


def unpack_record(raw: bytes) -> UnpackedRecord:
    """Read the bytes of one whole record.

    Raises:
        StateError: For any other bytes.
    """
    if len(raw) < CONTENT_OFFSET:
        raise StateError(RecordFault.TRUNCATED, f"{len(raw)} bytes", len(raw))
    magic, version, flags, sequence, stored_length, content_length = HEADER.unpack_from(raw)
    if magic != MAGIC:
        raise StateError(RecordFault.UNKNOWN_FORMAT, repr(raw[:4]), 0)
    stored = _checked_body(raw, stored_length, content_length)
    if flags & ~FLAG_ZSTD:
        raise StateError(RecordFault.NEWER_VERSION, f"flags {flags:#x}", FLAGS_OFFSET)
    content = _decompress(stored, content_length) if flags & FLAG_ZSTD else stored
    if len(content) != content_length:
        raise StateError(RecordFault.DAMAGED, f"{len(content)} bytes in place of {content_length}")
    return UnpackedRecord(version, sequence, content)


def _checked_body(raw: bytes, stored_length: int, content_length: int) -> bytes:
    """Return what follows the header, once its lengths and the digest have been verified."""
    claimed = max(stored_length, content_length)
    if claimed > MAX_RECORD_BYTES:
        raise StateError(RecordFault.TOO_LARGE, f"{claimed} bytes", STORED_LENGTH_OFFSET)
    stored = raw[CONTENT_OFFSET:]
    if len(stored) < stored_length:
        raise StateError(RecordFault.TRUNCATED, f"{len(stored)} of {stored_length} bytes", len(raw))
    if len(stored) > stored_length:
        raise StateError(RecordFault.DAMAGED, "bytes after its end", CONTENT_OFFSET + stored_length)
    if xxhash.xxh3_128_digest(raw[: HEADER.size] + stored) != raw[HEADER.size : CONTENT_OFFSET]:
        raise StateError(RecordFault.DAMAGED, "the checksum differs")
    return stored


def _decompress(stored: bytes, content_length: int) -> bytes:
    """Decompress at most one byte more than the header claims, whatever the frame says of its size."""
    try:
        with zstandard.ZstdDecompressor(max_window_size=MAX_RECORD_BYTES).stream_reader(stored) as reader:
            return reader.read(content_length + 1)
    except (zstandard.ZstdError, MemoryError) as error:
        raise StateError(RecordFault.DAMAGED, str(error)) from None
