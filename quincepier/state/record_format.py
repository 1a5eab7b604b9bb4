"""The format of one stored record: a fixed header with a checksum, then msgpack, compressed if it is large.

The header is little-endian: magic `qpst`, version of the content, flags, sequence number, stored length,
content length; then the xxh3-128 digest of the header and the stored content. This module does no I/O.
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
MIN_COMPRESSED_BYTES = 4096  # smaller contents are not worth compressing
MAX_RECORD_BYTES = 16 * 1024 * 1024  # of the content, stored and decompressed
MAX_FILE_BYTES = CONTENT_OFFSET + MAX_RECORD_BYTES


class RecordFault(Enum):
    """Why a record or its folder can't be used; the value is the text in messages to operators."""

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
        fault: Kind of the fault.
        offset: Offset of the faulty byte, -1 if unknown.
    """

    code = "QP-STATE"
    remedy = "see `quincepier state check FOLDER`; `state prune` takes away what is damaged"

    def __init__(self, fault: RecordFault, detail: str = "", offset: int = -1) -> None:
        position = f" at byte {offset}" if offset >= 0 else ""
        super().__init__(f"{fault.value}{position}{': ' if detail else ''}{detail}")
        self.fault = fault
        self.offset = offset


class UnpackedRecord(NamedTuple):
    """A verified record.

    Attributes:
        version: Version of the content.
        sequence: Sequence number, increased by one at each write.
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
    """Verify and unpack the bytes of one record.

    Raises:
        StateError: The bytes are not exactly one valid record.
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
        raise StateError(RecordFault.DAMAGED, f"{len(content)} bytes instead of {content_length}")
    return UnpackedRecord(version, sequence, content)


def _checked_body(raw: bytes, stored_length: int, content_length: int) -> bytes:
    """Return the stored content after the header and the digest, with lengths and digest verified."""
    claimed = max(stored_length, content_length)
    if claimed > MAX_RECORD_BYTES:
        raise StateError(RecordFault.TOO_LARGE, f"{claimed} bytes", STORED_LENGTH_OFFSET)
    stored = raw[CONTENT_OFFSET:]
    if len(stored) < stored_length:
        raise StateError(RecordFault.TRUNCATED, f"{len(stored)} of {stored_length} bytes", len(raw))
    if len(stored) > stored_length:
        raise StateError(RecordFault.DAMAGED, "extra bytes after the record", CONTENT_OFFSET + stored_length)
    if xxhash.xxh3_128_digest(raw[: HEADER.size] + stored) != raw[HEADER.size : CONTENT_OFFSET]:
        raise StateError(RecordFault.DAMAGED, "checksum mismatch")
    return stored


def _decompress(stored: bytes, content_length: int) -> bytes:
    """Decompress at most one byte more than the header claims, whatever size the frame declares."""
    try:
        with zstandard.ZstdDecompressor(max_window_size=MAX_RECORD_BYTES).stream_reader(stored) as reader:
            return reader.read(content_length + 1)
    except (zstandard.ZstdError, MemoryError) as error:
        raise StateError(RecordFault.DAMAGED, str(error)) from None
