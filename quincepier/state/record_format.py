"""One record: a fixed head, then msgpack, compressed where that is worth it. Bytes in, bytes out; no I/O.

Head, little-endian: magic `qpst`, version of the content, flags, sequence, length as stored and as taken
apart; then xxh3-128 over the head and all that follows. What is not whole, or not ours, is one StateError.
"""

from __future__ import annotations

import struct
from enum import Enum

import xxhash
import zstandard

from quincepier.errors import QuincepierError

MAGIC = b"qpst"
HEAD = struct.Struct("<4sHHQII")
DIGEST = 16
ZSTD = 1  # flag: the content is compressed
COMPRESS_FROM = 4096  # bytes; below it compressing costs more than it saves
RECORD_MOST = 16 * 1024 * 1024  # bytes of a record, and of its content as it is taken apart


class RecordFault(Enum):
    """Why a record, or the folder, can't be used."""

    SHORT = "cut short"
    FOREIGN = "no record of quincepier"
    DAMAGED = "damaged"
    LARGE = "too large"
    NEWER = "of a newer version"
    CONTENT = "content that can't be read"
    LOCKED = "in use by another front"
    FOLDER = "the folder can't be used"


class StateError(QuincepierError):
    """The one error of this package: what is wrong, and at which byte where that can be told (else -1)."""

    code = "QP-STATE"
    remedy = "see `quincepier state check FOLDER`; `state prune` takes away what is damaged"

    def __init__(self, fault: RecordFault, detail: str = "", offset: int = -1) -> None:
        at = f" at byte {offset}" if offset >= 0 else ""
        super().__init__(f"{fault.value}{at}{': ' if detail else ''}{detail}")
        self.fault, self.offset = fault, offset


def pack_record(version: int, sequence: int, content: bytes) -> bytes:
    """A record of this content; StateError where it is too large."""
    if len(content) > RECORD_MOST:
        raise StateError(RecordFault.LARGE, f"{len(content)} bytes")
    stored, flags = content, 0
    if len(content) >= COMPRESS_FROM:
        stored, flags = zstandard.ZstdCompressor(level=1).compress(content), ZSTD
    head = HEAD.pack(MAGIC, version, flags, sequence, len(stored), len(content))
    return head + xxhash.xxh3_128_digest(head + stored) + stored


def unpack_record(raw: bytes) -> tuple[int, int, bytes]:
    """(version, sequence, content) of a whole record; StateError for any other bytes."""
    if len(raw) < HEAD.size + DIGEST:
        raise StateError(RecordFault.SHORT, f"{len(raw)} bytes", len(raw))
    magic, version, flags, sequence, stored, whole = HEAD.unpack_from(raw)
    if magic != MAGIC:
        raise StateError(RecordFault.FOREIGN, repr(raw[:4]), 0)
    if max(stored, whole) > RECORD_MOST:
        raise StateError(RecordFault.LARGE, f"{max(stored, whole)} bytes", HEAD.size - 8)
    body = raw[HEAD.size + DIGEST :]
    if len(body) < stored:
        raise StateError(RecordFault.SHORT, f"{len(body)} of {stored} bytes", len(raw))
    if len(body) > stored:
        raise StateError(RecordFault.DAMAGED, "bytes after its end", HEAD.size + DIGEST + stored)
    if xxhash.xxh3_128_digest(raw[: HEAD.size] + body) != raw[HEAD.size : HEAD.size + DIGEST]:
        raise StateError(RecordFault.DAMAGED, "the checksum differs")
    if flags & ~ZSTD:
        raise StateError(RecordFault.NEWER, f"flags {flags:#x}", 6)
    content = _inflate(body, whole) if flags & ZSTD else body
    if len(content) != whole:
        raise StateError(RecordFault.DAMAGED, f"{len(content)} bytes in place of {whole}")
    return version, sequence, content


def _inflate(body: bytes, whole: int) -> bytes:
    """At most one byte more than was told, whatever the frame says of itself."""
    try:
        with zstandard.ZstdDecompressor(max_window_size=RECORD_MOST).stream_reader(body) as reader:
            return reader.read(whole + 1)
    except (zstandard.ZstdError, MemoryError) as error:
        raise StateError(RecordFault.DAMAGED, str(error)) from None
