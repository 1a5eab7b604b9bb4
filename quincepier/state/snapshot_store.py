"""The folder: two generations of one record, a lock, and the steps of a write that a cut of power may stop.

A write goes to a file beside, is synced, takes the place of the older generation, and the folder is synced.
So one whole generation is there at each moment, and the newest whole one counts. Blocking: for a thread.
"""

from __future__ import annotations

import contextlib
import errno
import fcntl
import os
from dataclasses import dataclass, field
from pathlib import Path

from quincepier.state.learned_state import LearnedState, decode
from quincepier.state.record_format import (
    DIGEST,
    HEAD,
    RECORD_MOST,
    RecordFault,
    StateError,
    pack_record,
    unpack_record,
)
from quincepier.state.schema_upgrades import CURRENT

GENERATIONS = ("learned.0", "learned.1")
NEW, LOCK = "learned.new", "lock"
FILE_MOST = HEAD.size + DIGEST + RECORD_MOST


class FileSystem:
    """The system calls that a store makes, in one folder. OSError as they raise it."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.lock: int | None = None

    def read(self, name: str, most: int) -> bytes | None:
        """At most so many bytes and one; None where there is no such file."""
        try:
            with (self.folder / name).open("rb", buffering=0) as file:
                parts, left = list[bytes](), most + 1
                while left > 0 and (part := file.read(min(left, 1 << 20))):
                    parts.append(part)
                    left -= len(part)
                return b"".join(parts)
        except FileNotFoundError:
            return None

    def create(self, name: str) -> int:
        return os.open(self.folder / name, os.O_WRONLY | os.O_CREAT | os.O_TRUNC | os.O_CLOEXEC, 0o600)

    def write(self, fd: int, data: bytes) -> int:
        return os.write(fd, data)

    def sync(self, fd: int) -> None:
        os.fsync(fd)

    def close(self, fd: int) -> None:
        os.close(fd)

    def rename(self, name: str, to: str) -> None:
        os.rename(self.folder / name, self.folder / to)

    def sync_folder(self) -> None:
        fd = os.open(self.folder, os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)
        try:
            os.fsync(fd)
        finally:
            os.close(fd)

    def remove(self, name: str) -> None:
        with contextlib.suppress(FileNotFoundError):
            os.unlink(self.folder / name)

    def take_lock(self) -> None:
        """Held until the process ends; BlockingIOError where another has it."""
        self.lock = os.open(self.folder / LOCK, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
        try:
            fcntl.flock(self.lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError:
            self.let_go()
            raise

    def let_go(self) -> None:
        if self.lock is not None:
            os.close(self.lock)
            self.lock = None


@dataclass(slots=True)
class LoadedSnapshot:
    """The newest whole record, if any, and what was wrong with others, by file."""

    kept: LearnedState | None = None
    sequence: int = 0
    version: int = 0
    size: int = 0
    faults: list[tuple[str, StateError]] = field(default_factory=list)


class SnapshotStore:
    """One folder in use by one front. What it can't do is a StateError; nothing else is raised."""

    def __init__(self, files: FileSystem) -> None:
        self.files = files
        self.sequence = 0
        self.place = 0  # of the generation to be written next
        self.kept_out = ""  # why nothing may be written

    def open(self) -> None:
        """Take the folder for this process; StateError where another has it, or there is none."""
        try:
            self.files.folder.mkdir(parents=True, exist_ok=True)
            self.files.take_lock()
        except BlockingIOError:
            raise StateError(RecordFault.LOCKED, str(self.files.folder)) from None
        except OSError as error:
            if error.errno in (errno.EACCES, errno.EPERM, errno.EROFS) and self.files.folder.is_dir():
                self.kept_out = "the folder is read-only"  # it can still be read
                return
            raise StateError(
                RecordFault.FOLDER, f"{self.files.folder}: {os.strerror(error.errno or 0)}"
            ) from None

    def load(self) -> LoadedSnapshot:
        """Never raises: what can't be used is told, and left alone where it is of a newer version."""
        found, newest = LoadedSnapshot(), -1
        for place, name in enumerate(GENERATIONS):
            try:
                raw = self.files.read(name, FILE_MOST)
                if raw is None:
                    continue
                if len(raw) > FILE_MOST:
                    raise StateError(RecordFault.LARGE, f"over {FILE_MOST} bytes")
                version, sequence, content = unpack_record(raw)
                kept = decode(version, content)
            except StateError as error:
                found.faults.append((name, error))
                if error.fault is RecordFault.NEWER:
                    self.kept_out = f"{name} is {error}"
                continue
            except OSError as error:
                found.faults.append((name, StateError(RecordFault.FOLDER, os.strerror(error.errno or 0))))
                continue
            if sequence > newest:
                newest, self.place = sequence, 1 - place
                found.kept, found.sequence, found.version, found.size = kept, sequence, version, len(raw)
        self.sequence = max(newest, 0)
        return found

    def save(self, content: bytes, version: int = CURRENT) -> int:
        """Write the next generation; its bytes. StateError where it can't be done: the older one stays."""
        if self.kept_out:
            raise StateError(RecordFault.FOLDER, self.kept_out)
        record = pack_record(version, self.sequence + 1, content)
        try:
            fd = self.files.create(NEW)
            try:
                rest = memoryview(record)
                while rest:
                    rest = rest[self.files.write(fd, bytes(rest[: 1 << 20])) :]
                self.files.sync(fd)
            finally:
                self.files.close(fd)
            self.files.rename(NEW, GENERATIONS[self.place])
            self.files.sync_folder()
        except OSError as error:
            raise StateError(RecordFault.FOLDER, os.strerror(error.errno or 0)) from None
        self.sequence, self.place = self.sequence + 1, 1 - self.place
        return len(record)

    def close(self) -> None:
        self.files.let_go()
