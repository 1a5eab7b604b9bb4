"""A voter's folder: one file that holds all it promised and took, replaced whole. Blocking: for a thread.

A write goes to a file beside, is synced, takes the place of the old one, and the folder is synced: a cut of
power at any call leaves the old whole or the new whole. So a file that is not whole was never left by a cut
of power: it is refused and the voter does not vote. No older generation is kept, as one would forget a
vote. The log in it is short (the newest committed version and what is open): writing it whole is cheap.
"""

from __future__ import annotations

import errno
import os

import msgspec

from quincepier.state.record_format import (
    DIGEST,
    HEAD,
    RECORD_MOST,
    RecordFault,
    StateError,
    pack_record,
    unpack_record,
)
from quincepier.state.snapshot_store import FileSystem
from quincepier.state.voter_records import Record, Snapshot, VoterState, merged

FILE, BESIDE = "voter", "voter.new"
FILE_MOST = HEAD.size + DIGEST + RECORD_MOST
VERSION = 1
REMEDY = "put this voter's folder aside and start it with an empty one: the other voters take it in anew"

_encode = msgspec.msgpack.Encoder().encode
_decode = msgspec.msgpack.Decoder(VoterState).decode


class VoterStore:
    """One folder of one voter, its own: the folder of `state` has another lock. What it can't do is
    a StateError with file, byte and remedy.

    `save` is called with the records of each Store of one voter in their order, one call at a time. A save
    that failed may be tried again with the same records; until then nothing that waits for it is to be sent.
    """

    def __init__(self, files: FileSystem) -> None:
        self.files = files
        self.saved: VoterState | None = None
        self.sequence = 0
        self.ready = False  # the file was read: what is in it would not be written over unseen

    def open(self) -> None:
        """Take the folder for this process; StateError where another has it, or it can't be written."""
        try:
            self.files.folder.mkdir(parents=True, exist_ok=True)
            self.files.take_lock()
        except BlockingIOError:
            where = str(self.files.folder)
            raise StateError(RecordFault.LOCKED, f"{where}; give each voter a folder of its own") from None
        except OSError as error:
            raise self._unusable(error) from None

    def load(self) -> VoterState | None:
        """What is kept, None for a new folder; StateError for what is not whole."""
        try:
            raw = self.files.read(FILE, FILE_MOST)
        except OSError as error:
            raise self._unusable(error) from None
        if raw is not None:
            try:
                self.saved, self.sequence = _whole(raw)
            except StateError as error:
                detail = f"{self.files.folder / FILE}: {error}; {REMEDY}"
                raise StateError(error.fault, detail, error.offset) from None
        self.ready = True
        return self.saved

    def save(self, records: tuple[Record, ...]) -> int:
        """On disk once this returns its bytes. After a StateError the file is as before or as asked."""
        if not self.ready:
            raise StateError(RecordFault.FOLDER, f"{self.files.folder / FILE} was not read")
        saved = merged(self.saved, records)
        if saved is None:
            raise StateError(RecordFault.CONTENT, "records without a mark")
        record = pack_record(VERSION, self.sequence + 1, _encode(saved))
        try:
            fd = self.files.create(BESIDE)
            try:
                rest = memoryview(record)
                while rest:
                    rest = rest[self.files.write(fd, bytes(rest[: 1 << 20])) :]
                self.files.sync(fd)
            finally:
                self.files.close(fd)
            self.files.rename(BESIDE, FILE)
            self.files.sync_folder()
        except OSError as error:
            raise self._unusable(error) from None
        self.saved, self.sequence = saved, self.sequence + 1
        return len(record)

    def close(self) -> None:
        self.files.let_go()

    def _unusable(self, error: OSError) -> StateError:
        full = error.errno in (errno.ENOSPC, errno.EDQUOT)
        remedy = "make room; it votes again then" if full else "see to the disk; it does not vote until then"
        reason = os.strerror(error.errno or 0)
        return StateError(RecordFault.FOLDER, f"{self.files.folder / FILE}: {reason}; {remedy}")


def _whole(raw: bytes) -> tuple[VoterState, int]:
    """Content and sequence of a file; StateError for any other bytes."""
    if len(raw) > FILE_MOST:
        raise StateError(RecordFault.LARGE, f"over {FILE_MOST} bytes", FILE_MOST)
    version, sequence, content = unpack_record(raw)
    if version != VERSION:
        raise StateError(RecordFault.NEWER, f"version {version}", 4)
    try:
        saved = _decode(content)
    except (msgspec.DecodeError, ValueError, RecursionError) as error:
        raise StateError(RecordFault.CONTENT, str(error)[:100], HEAD.size + DIGEST) from None
    base = saved.base or Snapshot(0, 0, ())
    index, term = base.index, base.term
    for line in saved.lines:
        index += 1
        if line.index != index or line.term < term or line.term > saved.mark.term:
            raise StateError(RecordFault.CONTENT, f"entry {line.index} is out of order", HEAD.size + DIGEST)
        term = line.term
    return saved, sequence
