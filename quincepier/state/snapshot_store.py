"""The snapshot store: two generations of one record in a folder, of which the newest valid one is loaded.

A write replaces the older generation atomically, so one valid generation exists at any time, whatever a power
cut leaves of the other one. All calls block and belong in a worker thread.
"""

from __future__ import annotations

import errno
import os
from dataclasses import dataclass, field

from quincepier.state.file_system import FileSystem
from quincepier.state.learned_state import LearnedState, decode
from quincepier.state.record_format import (
    MAX_FILE_BYTES,
    RecordFault,
    StateError,
    pack_record,
    unpack_record,
)
from quincepier.state.schema_upgrades import CURRENT_VERSION

GENERATION_NAMES = ("learned.0", "learned.1")
TEMPORARY_NAME = "learned.new"
READ_ONLY_ERRORS = (errno.EACCES, errno.EPERM, errno.EROFS)


@dataclass(slots=True, frozen=True)
class Generation:
    """One valid generation.

    Attributes:
        name: Name of its file.
        state: Its learned state, upgraded to the current schema.
        version: The schema version that was stored.
        sequence: Sequence number of the write.
        size_bytes: Size of the file.
    """

    name: str
    state: LearnedState
    version: int
    sequence: int
    size_bytes: int


@dataclass(slots=True, frozen=True)
class GenerationFault:
    """A generation that can't be used: the name of its file and the error."""

    name: str
    error: StateError


@dataclass(slots=True)
class LoadedSnapshot:
    """The generations found in a folder.

    Attributes:
        newest: The newest valid generation, if any.
        faults: Generations that can't be used.
    """

    newest: Generation | None = None
    faults: list[GenerationFault] = field(default_factory=list)

    @property
    def state(self) -> LearnedState | None:
        """The learned state of the newest valid generation, if any."""
        return None if self.newest is None else self.newest.state


def read_generation(files: FileSystem, name: str) -> Generation | None:
    """Read one generation; None if there is no such file.

    Raises:
        StateError: The file can't be read or is not a valid record of a known version.
    """
    try:
        raw = files.read(name, MAX_FILE_BYTES)
    except OSError as error:
        raise StateError(RecordFault.UNUSABLE_FOLDER, os.strerror(error.errno or 0)) from None
    if raw is None:
        return None
    if len(raw) > MAX_FILE_BYTES:
        raise StateError(RecordFault.TOO_LARGE, f"over {MAX_FILE_BYTES} bytes")
    record = unpack_record(raw)
    state = decode(record.version, record.content)
    return Generation(name, state, record.version, record.sequence, len(raw))


class SnapshotStore:
    """The snapshots of one front, in a folder of its own. Every failure is raised as a StateError.

    Attributes:
        files: The files of the folder.
        sequence: Sequence number of the newest valid generation, 0 for none.
        next_generation: Index of the generation that the next write replaces.
        read_only_reason: Why nothing may be written; empty if writing is allowed.
    """

    def __init__(self, files: FileSystem) -> None:
        self.files = files
        self.sequence = 0
        self.next_generation = 0
        self.read_only_reason = ""

    def open(self) -> None:
        """Create the folder if missing and lock it for this process; a read-only folder is accepted.

        Raises:
            StateError: Another process holds the folder, or it can't be used.
        """
        folder = self.files.folder
        try:
            folder.mkdir(parents=True, exist_ok=True)
            self.files.acquire_lock()
        except BlockingIOError:
            raise StateError(RecordFault.LOCKED, str(folder)) from None
        except OSError as error:
            if error.errno in READ_ONLY_ERRORS and folder.is_dir():
                self.read_only_reason = "the folder is read-only"
                return
            reason = os.strerror(error.errno or 0)
            raise StateError(RecordFault.UNUSABLE_FOLDER, f"{folder}: {reason}") from None

    def load(self) -> LoadedSnapshot:
        """Read both generations. Faults are returned; a record of a newer version is never overwritten."""
        loaded = LoadedSnapshot()
        for index, name in enumerate(GENERATION_NAMES):
            try:
                generation = read_generation(self.files, name)
            except StateError as error:
                loaded.faults.append(GenerationFault(name, error))
                if error.fault is RecordFault.NEWER_VERSION:
                    self.read_only_reason = f"{name} is {error}"
                continue
            if generation is None:
                continue
            if loaded.newest is None or generation.sequence > loaded.newest.sequence:
                loaded.newest = generation
                self.next_generation = 1 - index
        self.sequence = loaded.newest.sequence if loaded.newest is not None else 0
        return loaded

    def save(self, content: bytes, version: int = CURRENT_VERSION) -> int:
        """Write the next generation; it is durable on return.

        Args:
            content: The encoded state.
            version: Its schema version.

        Returns:
            The size of the file in bytes.

        Raises:
            StateError: The write failed or is not allowed; the newest generation is unchanged.
        """
        if self.read_only_reason:
            raise StateError(RecordFault.UNUSABLE_FOLDER, self.read_only_reason)
        record = pack_record(version, self.sequence + 1, content)
        try:
            self.files.replace_file(GENERATION_NAMES[self.next_generation], TEMPORARY_NAME, record)
        except OSError as error:
            raise StateError(RecordFault.UNUSABLE_FOLDER, os.strerror(error.errno or 0)) from None
        self.sequence += 1
        self.next_generation = 1 - self.next_generation
        return len(record)

    def close(self) -> None:
        """Unlock the folder."""
        self.files.release_lock()
