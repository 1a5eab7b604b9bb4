"""A simulated disk whose power fails at a chosen system call, and its possible contents afterwards."""

from __future__ import annotations

import itertools
import random
from collections.abc import Iterator
from dataclasses import dataclass
from enum import Enum
from pathlib import Path

from quincepier.state import FileSystem

MAX_WRITE_BYTES = 60  # small, so that one record takes many calls


class PowerCutError(Exception):
    """The power has failed."""


class UnsyncedWrites(Enum):
    """Possible outcomes of a power cut for unsynced writes."""

    LOST = "none"
    COMPLETE = "all"
    TORN = "torn"  # a prefix
    HOLE = "hole"  # one of them reads as zeros


@dataclass(slots=True, frozen=True)
class NameChange:
    """An unsynced change of the folder; `old_name` is empty for a new file."""

    old_name: str
    inode: int
    new_name: str


class PowerCutDisk(FileSystem):
    """A disk on which only synced data is durable.

    Attributes:
        calls_left: System calls until the power fails; None for never.
        synced_content: Durable content by inode.
        unsynced_writes: Later writes by inode.
        synced_names: Durable names, with their inodes.
        unsynced_changes: Later changes of names.
        inode_by_name: Names as the running process sees them.
    """

    def __init__(self, folder: Path) -> None:
        super().__init__(folder)
        self.calls_left: int | None = None
        self.synced_content: dict[int, bytes] = {}
        self.unsynced_writes: dict[int, list[bytes]] = {}
        self.synced_names: dict[str, int] = {}
        self.unsynced_changes: list[NameChange] = []
        self.inode_by_name: dict[str, int] = {}
        self._inodes = itertools.count(1)

    def _count_call(self) -> None:
        if self.calls_left is not None:
            self.calls_left -= 1
            if self.calls_left < 0:
                raise PowerCutError

    def acquire_lock(self) -> None:
        """Do nothing: one process uses the disk."""

    def read(self, name: str, max_bytes: int) -> bytes | None:
        """Return the content of a file as the running process sees it."""
        inode = self.inode_by_name.get(name)
        if inode is None:
            return None
        content = self.synced_content.get(inode, b"") + b"".join(self.unsynced_writes.get(inode, []))
        return content[: max_bytes + 1]

    def create(self, name: str) -> int:
        """Create a file; its descriptor is its inode."""
        self._count_call()
        inode = next(self._inodes)
        self.inode_by_name[name] = inode
        self.synced_content[inode] = b""
        self.unsynced_writes[inode] = []
        self.unsynced_changes.append(NameChange("", inode, name))
        return inode

    def write(self, fd: int, data: bytes) -> int:
        """Write a few bytes."""
        self._count_call()
        written = data[:MAX_WRITE_BYTES]
        self.unsynced_writes[fd].append(written)
        return len(written)

    def sync(self, fd: int) -> None:
        """Make the content durable."""
        self._count_call()
        self.synced_content[fd] += b"".join(self.unsynced_writes[fd])
        self.unsynced_writes[fd] = []

    def close(self, fd: int) -> None:
        """Do nothing."""

    def rename(self, name: str, new_name: str) -> None:
        """Rename a file; not durable before `sync_folder`."""
        self._count_call()
        inode = self.inode_by_name.pop(name)
        self.inode_by_name[new_name] = inode
        self.unsynced_changes.append(NameChange(name, inode, new_name))

    def sync_folder(self) -> None:
        """Make all names durable."""
        self._count_call()
        self.synced_names = dict(self.inode_by_name)
        self.unsynced_changes = []

    def states_after_cut(self, chance: random.Random) -> Iterator[PowerCutDisk]:
        """Yield the possible disks: each subset of the unsynced changes with each outcome of the writes."""
        for count in range(len(self.unsynced_changes) + 1):
            for changes in itertools.combinations(self.unsynced_changes, count):
                names = self._names_with(changes)
                for outcome in UnsyncedWrites:
                    found = PowerCutDisk(self.folder)
                    for name, inode in names.items():
                        found.inode_by_name[name] = inode
                        found.synced_content[inode] = self._content_after_cut(inode, outcome, chance)
                    yield found

    def _names_with(self, changes: tuple[NameChange, ...]) -> dict[str, int]:
        names = dict(self.synced_names)
        for change in changes:
            names.pop(change.old_name, None)
            names[change.new_name] = change.inode
        return names

    def _content_after_cut(self, inode: int, outcome: UnsyncedWrites, chance: random.Random) -> bytes:
        writes = self.unsynced_writes[inode]
        if outcome is UnsyncedWrites.LOST:
            writes = []
        elif outcome is UnsyncedWrites.TORN and writes:
            cut = chance.randrange(len(writes))
            writes = [*writes[:cut], writes[cut][: chance.randrange(len(writes[cut]) + 1)]]
        elif outcome is UnsyncedWrites.HOLE and writes:
            hole = chance.randrange(len(writes))
            writes = [bytes(len(data)) if index == hole else data for index, data in enumerate(writes)]
        return self.synced_content[inode] + b"".join(writes)
