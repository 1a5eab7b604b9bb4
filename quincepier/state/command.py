"""The sub-commands `state show`, `state check` and `state prune`.

Exit codes: 0 all is well, 1 a record can't be used, 2 the folder or the command line is at fault, 3 a record
is of a newer version, 4 a front has the folder in use (`prune` alone; the others only read).
"""

from __future__ import annotations

import os
import sys
from collections.abc import Mapping
from pathlib import Path
from typing import Any

import msgspec

from quincepier.state.learned_state import LearnedState, Timestamp, age_of, decode
from quincepier.state.record_format import RecordFault, StateError, unpack_record
from quincepier.state.snapshot_store import (
    FILE_MOST,
    GENERATIONS,
    NEW,
    FileSystem,
    LoadedSnapshot,
    SnapshotStore,
)

WELL, DAMAGED, FOLDER, NEWER, LOCKED = range(5)


def _code(found: LoadedSnapshot) -> int:
    faults = {error.fault for _, error in found.faults}
    return NEWER if RecordFault.NEWER in faults else DAMAGED if faults else WELL


def _age(kept: LearnedState, now: Timestamp) -> str:
    age = age_of(kept.stamp, now)
    return "of unknown age" if age is None else f"{age / 1e9:.1f} s old"


def _read(folder: Path) -> tuple[LoadedSnapshot, FileSystem]:
    if not folder.is_dir():
        raise StateError(RecordFault.FOLDER, f"{folder} is no folder")
    files = FileSystem(folder)
    return SnapshotStore(files).load(), files


def show(folder: Path, now: Timestamp) -> int:
    """The newest whole record, as JSON on the standard output."""
    found, _ = _read(folder)
    for name, error in found.faults:
        print(f"quincepier: {name}: {error}", file=sys.stderr)
    if found.kept is None:
        print(f"quincepier: {folder} holds no record that can be read", file=sys.stderr)
        return _code(found) or DAMAGED
    about = {"version": found.version, "sequence": found.sequence, "bytes": found.size}
    whole = about | {"age": _age(found.kept, now), "content": msgspec.to_builtins(found.kept)}
    sys.stdout.buffer.write(msgspec.json.format(msgspec.json.encode(whole), indent=1) + b"\n")
    return _code(found)


def check(folder: Path, now: Timestamp) -> int:
    """A line for each generation."""
    found, files = _read(folder)
    for name in GENERATIONS:
        fault = next((error for at, error in found.faults if at == name), None)
        raw = files.read(name, FILE_MOST) if fault is None else None
        if fault is not None:
            print(f"{name}: {fault}")
        elif raw is None:
            print(f"{name}: not there")
        else:
            version, sequence, content = unpack_record(raw)
            kept = decode(version, content)
            print(
                f"{name}: whole, version {version}, sequence {sequence}, {len(raw)} bytes, {_age(kept, now)}"
            )
    return _code(found)


def prune(folder: Path, now: Timestamp) -> int:
    """Take away what can't be used and what was left half written; newer versions stay."""
    found, files = _read(folder)
    store = SnapshotStore(files)
    store.open()
    try:
        for name, error in found.faults:
            if error.fault is not RecordFault.NEWER:
                files.remove(name)
                print(f"{name}: taken away: {error}")
        if (folder / NEW).exists():
            files.remove(NEW)
            print(f"{NEW}: taken away: half written")
        files.sync_folder()
    except OSError as error:
        raise StateError(RecordFault.FOLDER, os.strerror(error.errno or 0)) from None
    finally:
        store.close()
    return NEWER if _code(found) == NEWER else WELL


def run(chosen: Mapping[str, Any], now: Timestamp) -> int:
    what = next(work for name, work in (("show", show), ("check", check), ("prune", prune)) if chosen[name])
    try:
        return what(Path(chosen["FOLDER"]), now)
    except StateError as error:
        print(f"quincepier: {error}", file=sys.stderr)
        return LOCKED if error.fault is RecordFault.LOCKED else FOLDER
