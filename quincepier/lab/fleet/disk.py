"""Disk faults: damage to the state folder of a front while the front is down."""

from __future__ import annotations

import random
import shutil
from pathlib import Path

from quincepier.lab.experiment import StorageDamage


def read_files(folder: Path) -> dict[str, bytes]:
    """Return the contents of all files below a folder, by path relative to it."""
    return {str(p.relative_to(folder)): p.read_bytes() for p in sorted(folder.rglob("*")) if p.is_file()}


def apply_fault(folder: Path, how: StorageDamage, older: dict[str, bytes], chance: random.Random) -> None:
    """Apply a disk fault to a state folder; `older`: its files as the run began."""
    files = [p for p in sorted(folder.rglob("*")) if p.is_file()]
    if how in (StorageDamage.EMPTY, StorageDamage.OLDER):
        shutil.rmtree(folder)
        folder.mkdir(parents=True)
        for name, content in older.items() if how is StorageDamage.OLDER else ():
            (folder / name).parent.mkdir(parents=True, exist_ok=True)
            (folder / name).write_bytes(content)
    elif how is StorageDamage.READ_ONLY:
        folder.chmod(0o500)
    for path in files if how in (StorageDamage.CUT, StorageDamage.FLIP) else ():
        content = bytearray(path.read_bytes())
        if how is StorageDamage.CUT:
            del content[len(content) // 2 :]
        elif content:
            content[chance.randrange(len(content))] ^= 1 << chance.randrange(8)
        path.write_bytes(content)
