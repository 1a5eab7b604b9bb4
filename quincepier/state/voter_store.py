"""The storage folder of one Raft voter: a single file that holds its whole durable state.

Each write replaces the file: a temporary file is written and synced, renamed over the old one, and the
folder is synced. A power cut at any system call therefore leaves the old file or the new one, both whole. A
file that is not whole was not left by a power cut: it is refused, and the voter does not vote. No older
generation is kept, as going back to one would forget a vote. The log is short (compacted after a few
entries), so writing all of it is cheap.

All calls block; they belong in a worker thread.
"""

from __future__ import annotations

import errno
import os
from pathlib import Path

import msgspec

from quincepier.state.file_system import FileSystem
from quincepier.state.record_format import (
    CONTENT_OFFSET,
    MAX_FILE_BYTES,
    RecordFault,
    StateError,
    pack_record,
    unpack_record,
)
from quincepier.state.voter_records import Record, Snapshot, VoterState, apply_records

FILE_NAME = "voter"
TEMPORARY_FILE_NAME = "voter.new"
VERSION = 1
REMEDY = "put this voter's folder aside and start it with an empty one: the other voters take it in anew"

_encode = msgspec.msgpack.Encoder().encode
_decode = msgspec.msgpack.Decoder(VoterState).decode


class VoterStore:
    """The durable state of one voter, in a folder of its own.

    `save` takes the records of each `PersistRecords` of one voter in their order, one call at a time. A save
    that failed may be retried with the same records; until one succeeds, no message that depends on it may
    be sent. Every failure is a StateError that names the file, the byte where known, and the remedy.
    """

    def __init__(self, files: FileSystem) -> None:
        self.files = files
        self.saved: VoterState | None = None
        self.sequence = 0
        self.is_loaded = False  # an unread file must not be overwritten

    def open(self) -> None:
        """Create the folder where missing and lock it for this process.

        Raises:
            StateError: If another process holds the folder, or it can't be written.
        """
        try:
            self.files.folder.mkdir(parents=True, exist_ok=True)
            self.files.acquire_lock()
        except BlockingIOError:
            detail = f"{self.files.folder}; give each voter a folder of its own"
            raise StateError(RecordFault.LOCKED, detail) from None
        except OSError as error:
            raise self._unusable_folder(error) from None

    def load(self) -> VoterState | None:
        """Read the stored state; None for a new folder.

        Raises:
            StateError: If the file can't be read or is not whole.
        """
        try:
            raw = self.files.read(FILE_NAME, MAX_FILE_BYTES)
        except OSError as error:
            raise self._unusable_folder(error) from None
        if raw is not None:
            try:
                self.saved, self.sequence = _decode_file(raw)
            except StateError as error:
                detail = f"{self._path}: {error}; {REMEDY}"
                raise StateError(error.fault, detail, error.offset) from None
        self.is_loaded = True
        return self.saved

    def save(self, records: tuple[Record, ...]) -> int:
        """Write the records; they are durable on return.

        Returns:
            The size of the file in bytes.

        Raises:
            StateError: If the write failed; the file is then as before or as asked.
        """
        if not self.is_loaded:
            raise StateError(RecordFault.UNUSABLE_FOLDER, f"{self._path} was not read")
        saved = apply_records(self.saved, records)
        if saved is None:
            raise StateError(RecordFault.INVALID_CONTENT, "records without a hard state")
        content = pack_record(VERSION, self.sequence + 1, _encode(saved))
        try:
            self.files.replace_file(FILE_NAME, TEMPORARY_FILE_NAME, content)
        except OSError as error:
            raise self._unusable_folder(error) from None
        self.saved = saved
        self.sequence += 1
        return len(content)

    def close(self) -> None:
        """Unlock the folder."""
        self.files.release_lock()

    @property
    def _path(self) -> Path:
        return self.files.folder / FILE_NAME

    def _unusable_folder(self, error: OSError) -> StateError:
        is_full = error.errno in (errno.ENOSPC, errno.EDQUOT)
        remedy = (
            "make room; it votes again then" if is_full else "see to the disk; it does not vote until then"
        )
        reason = os.strerror(error.errno or 0)
        return StateError(RecordFault.UNUSABLE_FOLDER, f"{self._path}: {reason}; {remedy}")


def _decode_file(raw: bytes) -> tuple[VoterState, int]:
    """Return the state and the sequence number of a file; StateError for bytes that are not a whole file."""
    if len(raw) > MAX_FILE_BYTES:
        raise StateError(RecordFault.TOO_LARGE, f"over {MAX_FILE_BYTES} bytes", MAX_FILE_BYTES)
    version, sequence, content = unpack_record(raw)
    if version != VERSION:
        raise StateError(RecordFault.NEWER_VERSION, f"version {version}", 4)
    try:
        saved = _decode(content)
    except (msgspec.DecodeError, ValueError, RecursionError) as error:
        raise StateError(RecordFault.INVALID_CONTENT, str(error)[:100], CONTENT_OFFSET) from None
    _check_entry_order(saved)
    return saved, sequence


def _check_entry_order(saved: VoterState) -> None:
    """Indexes follow one another from the snapshot on; terms never fall nor exceed the current term."""
    snapshot = saved.snapshot or Snapshot(0, 0, ())
    term = snapshot.term
    for index, entry in enumerate(saved.entries, snapshot.index + 1):
        if entry.index != index or entry.term < term or entry.term > saved.hard_state.term:
            detail = f"entry {entry.index} is out of order"
            raise StateError(RecordFault.INVALID_CONTENT, detail, CONTENT_OFFSET)
        term = entry.term
