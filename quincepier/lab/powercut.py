"""A disk in memory whose power fails at a chosen system call of a store, and what may be found then."""

from __future__ import annotations

import itertools
import random
from collections.abc import Iterator
from pathlib import Path

from quincepier.state import FileSystem


class PowerCutError(Exception):
    """The power is gone."""


class PowerDisk(FileSystem):
    """A disk of which only what was synced is sure, and whose power fails at one system call."""

    def __init__(self, folder: Path) -> None:
        super().__init__(folder)
        self.left: int | None = None  # system calls until the power is gone; None: it stays
        self.sure: dict[int, bytes] = {}  # by inode, as synced
        self.since: dict[int, list[bytes]] = {}  # writes after that
        self.names: dict[str, int] = {}  # as synced
        self.renames: list[tuple[str, int, str]] = []  # after that: a name given up, the inode, its new name
        self.inodes = itertools.count(1)
        self.now: dict[str, int] = {}

    def step(self) -> None:
        if self.left is not None:
            self.left -= 1
            if self.left < 0:
                raise PowerCutError

    def take_lock(self) -> None:
        return

    def read(self, name: str, most: int) -> bytes | None:
        inode = self.now.get(name)
        return None if inode is None else (self.sure.get(inode, b"") + b"".join(self.since.get(inode, [])))

    def create(self, name: str) -> int:
        self.step()
        inode = next(self.inodes)
        self.now[name], self.sure[inode], self.since[inode] = inode, b"", []
        self.renames.append(("", inode, name))
        return inode

    def write(self, fd: int, data: bytes) -> int:
        self.step()
        part = data[:60]  # few bytes a call, so that a record takes many
        self.since[fd].append(part)
        return len(part)

    def sync(self, fd: int) -> None:
        self.step()
        self.sure[fd] += b"".join(self.since[fd])
        self.since[fd] = []

    def close(self, fd: int) -> None:
        return

    def rename(self, name: str, to: str) -> None:
        self.step()
        inode = self.now.pop(name)
        self.now[to] = inode
        self.renames.append((name, inode, to))

    def sync_folder(self) -> None:
        self.step()
        self.names, self.renames = dict(self.now), []

    def afterwards(self, chance: random.Random) -> Iterator[PowerDisk]:
        """What may be found: each unsynced change of a name there or not, unsynced writes gone, whole, torn,
        or with a hole where one of them is missing.
        """
        for count in range(len(self.renames) + 1):
            for kept_names in itertools.combinations(self.renames, count):
                names = dict(self.names)
                for old, inode, new in kept_names:
                    names = {n: i for n, i in names.items() if n != old}
                    names[new] = inode
                for style in ("none", "all", "torn", "hole"):
                    after = PowerDisk(self.folder)
                    for name, inode in names.items():
                        after.now[name], after.sure[inode] = inode, self._content(inode, style, chance)
                    yield after

    def _content(self, inode: int, style: str, chance: random.Random) -> bytes:
        late = self.since[inode]
        if style == "torn" and late:
            cut = chance.randrange(len(late))
            late = [*late[:cut], late[cut][: chance.randrange(len(late[cut]) + 1)]]
        elif style == "hole" and late:
            gone = chance.randrange(len(late))
            late = [bytes(len(part)) if n == gone else part for n, part in enumerate(late)]
        return self.sure[inode] + (b"" if style == "none" else b"".join(late))
