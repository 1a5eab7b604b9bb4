"""The storage folder of one Raft voter: a single file that holds its whole durable state.

Each write replaces the file: a temporary file is written and synced, renamed over the old one, and the
folder is synced. A power cut at any system call therefore leaves the old file or the new one, both valid. An
invalid file is not the result of a power cut: it is rejected, and the voter does not vote. No older
generation is kept, as loading it would lose a vote. The log is short (compacted after a few entries), so
writing all of it is cheap.

All calls block and belong in a worker thread.
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
REMEDY = "move this voter's folder aside and start it with an empty one: the other voters add it again"

_encode = msgspec.msgpack.Encoder().encode
_decode = msgspec.msgpack.Decoder(VoterState).decode


class VoterStore:
    """The durable state of one voter, in a folder of its own.

    `save` takes the records of each `PersistRecords` of one voter in their order, one call at a time. A
    failed save may be retried with the same records; until one succeeds, no message that depends on it may
    be sent.
    Every failure is raised as a StateError that names the file, the byte offset if known, and the remedy.

    Attributes:
        files: The files of the folder.
        saved: The state in the file; None for a new folder.
        sequence: Sequence number of the last write.
        is_loaded: Whether the file was read, without which it must not be overwritten.
    """

    def __init__(self, files: FileSystem) -> None:
        self.files = files
        self.saved: VoterState | None = None
        self.sequence = 0
        self.is_loaded = False

    def open(self) -> None:
        """Create the folder if missing and lock it for this process.

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
            StateError: If the file can't be read or is invalid.
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
            StateError: If the write failed; the file then holds the old state or the new one.
        """
        if not self.is_loaded:
            raise StateError(RecordFault.UNUSABLE_FOLDER, f"{self._path} must be read before it is written")
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
            "make room on the disk; the voter does not vote until then"
            if is_full
            else "repair the disk; the voter does not vote until then"
        )
        reason = os.strerror(error.errno or 0)
        return StateError(RecordFault.UNUSABLE_FOLDER, f"{self._path}: {reason}; {remedy}")


def _decode_file(raw: bytes) -> tuple[VoterState, int]:
    """Return the state and the sequence number of a file; raise StateError if it is invalid."""
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
    """Check that indexes are consecutive after the snapshot.

    Terms must neither decrease nor exceed the current one.
    """
    snapshot = saved.snapshot or Snapshot(0, 0, ())
    term = snapshot.term
    for index, entry in enumerate(saved.entries, snapshot.index + 1):
        if entry.index != index or entry.term < term or entry.term > saved.hard_state.term:
            detail = f"entry {entry.index} is out of order"
            raise StateError(RecordFault.INVALID_CONTENT, detail, CONTENT_OFFSET)
        term = entry.term
