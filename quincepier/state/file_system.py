"""The system calls of a store, in one folder; simulated disks and tests override them one by one.

All calls block and belong in a worker thread. They raise OSError as the operating system does.
"""

from __future__ import annotations

import contextlib
import fcntl
import os
from pathlib import Path

LOCK_NAME = "lock"
CHUNK_BYTES = 1 << 20  # of one read or write
FILE_MODE = 0o600


class FileSystem:
    """The files of one folder, and its lock.

    Args:
        folder: The folder; it need not exist yet.
    """

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self._lock_fd: int | None = None

    def read(self, name: str, max_bytes: int) -> bytes | None:
        """Return the first `max_bytes + 1` bytes of a file at most; None if there is no such file."""
        try:
            with (self.folder / name).open("rb", buffering=0) as file:
                chunks = list[bytes]()
                remaining = max_bytes + 1
                while remaining > 0 and (chunk := file.read(min(remaining, CHUNK_BYTES))):
                    chunks.append(chunk)
                    remaining -= len(chunk)
                return b"".join(chunks)
        except FileNotFoundError:
            return None

    def create(self, name: str) -> int:
        """Create or truncate a file for writing and return its descriptor."""
        flags = os.O_WRONLY | os.O_CREAT | os.O_TRUNC | os.O_CLOEXEC
        return os.open(self.folder / name, flags, FILE_MODE)

    def write(self, fd: int, data: bytes) -> int:
        """Write as much of `data` as one system call does and return the number of bytes written."""
        return os.write(fd, data)

    def sync(self, fd: int) -> None:
        """Make the content of a file durable."""
        os.fsync(fd)

    def close(self, fd: int) -> None:
        """Close a descriptor."""
        os.close(fd)

    def rename(self, name: str, new_name: str) -> None:
        """Rename a file, atomically replacing an existing file of the new name."""
        os.rename(self.folder / name, self.folder / new_name)

    def sync_folder(self) -> None:
        """Make the file names in the folder durable."""
        fd = os.open(self.folder, os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)
        try:
            os.fsync(fd)
        finally:
            os.close(fd)

    def replace_file(self, name: str, temporary_name: str, data: bytes) -> None:
        """Replace a file atomically and durably: a power cut leaves the old content or the new one."""
        fd = self.create(temporary_name)
        try:
            remaining = memoryview(data)
            while remaining:
                written = self.write(fd, bytes(remaining[:CHUNK_BYTES]))
                remaining = remaining[written:]
            self.sync(fd)
        finally:
            self.close(fd)
        self.rename(temporary_name, name)
        self.sync_folder()

    def remove(self, name: str) -> None:
        """Remove a file if it exists."""
        with contextlib.suppress(FileNotFoundError):
            os.unlink(self.folder / name)

    def acquire_lock(self) -> None:
        """Lock the folder until `release_lock` or the end of the process.

        Raises:
            BlockingIOError: Another process holds the lock.
        """
        self._lock_fd = os.open(self.folder / LOCK_NAME, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, FILE_MODE)
        try:
            fcntl.flock(self._lock_fd, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError:
            self.release_lock()
            raise

    def release_lock(self) -> None:
        """Release the lock, if it is held."""
        if self._lock_fd is not None:
            os.close(self._lock_fd)
            self._lock_fd = None
