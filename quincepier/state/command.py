"""The sub-commands `state show`, `state check` and `state prune`."""

from __future__ import annotations

import os
import sys
from collections.abc import Mapping
from enum import IntEnum
from pathlib import Path
from typing import Any

import msgspec

from quincepier.state.file_system import FileSystem
from quincepier.state.learned_state import LearnedState
from quincepier.state.record_format import RecordFault, StateError
from quincepier.state.snapshot_store import (
    GENERATION_NAMES,
    TEMPORARY_NAME,
    LoadedSnapshot,
    SnapshotStore,
    read_generation,
)
from quincepier.state.timestamps import Timestamp, age_of

NS_PER_S = 1e9


class ExitCode(IntEnum):
    """Exit codes of the sub-commands; only `prune` returns LOCKED, as the others take no lock."""

    OK = 0
    UNUSABLE_RECORD = 1
    UNUSABLE_FOLDER = 2
    NEWER_VERSION = 3
    LOCKED = 4


def _exit_code(loaded: LoadedSnapshot) -> ExitCode:
    faults = {fault.error.fault for fault in loaded.faults}
    if RecordFault.NEWER_VERSION in faults:
        return ExitCode.NEWER_VERSION
    return ExitCode.UNUSABLE_RECORD if faults else ExitCode.OK


def _describe_age(state: LearnedState, now: Timestamp) -> str:
    age_ns = age_of(state.written_at, now)
    return "of unknown age" if age_ns is None else f"{age_ns / NS_PER_S:.1f} s old"


def _open_files(folder: Path) -> FileSystem:
    if not folder.is_dir():
        raise StateError(RecordFault.UNUSABLE_FOLDER, f"{folder} is not a folder")
    return FileSystem(folder)


def show(folder: Path, now: Timestamp) -> ExitCode:
    """Print the newest valid generation as JSON to standard output, and faults to standard error."""
    loaded = SnapshotStore(_open_files(folder)).load()
    for fault in loaded.faults:
        print(f"quincepier: {fault.name}: {fault.error}", file=sys.stderr)
    newest = loaded.newest
    if newest is None:
        print(f"quincepier: {folder} holds no readable record", file=sys.stderr)
        return _exit_code(loaded) or ExitCode.UNUSABLE_RECORD
    shown = {
        "version": newest.version,
        "sequence": newest.sequence,
        "bytes": newest.size_bytes,
        "age": _describe_age(newest.state, now),
        "content": msgspec.to_builtins(newest.state),
    }
    sys.stdout.buffer.write(msgspec.json.format(msgspec.json.encode(shown), indent=1) + b"\n")
    return _exit_code(loaded)


def check(folder: Path, now: Timestamp) -> ExitCode:
    """Print one line about each generation."""
    files = _open_files(folder)
    loaded = SnapshotStore(files).load()
    error_by_name = {fault.name: fault.error for fault in loaded.faults}
    for name in GENERATION_NAMES:
        if (error := error_by_name.get(name)) is not None:
            print(f"{name}: {error}")
        elif (generation := read_generation(files, name)) is None:
            print(f"{name}: missing")
        else:
            numbers = f"version {generation.version}, sequence {generation.sequence}"
            age = _describe_age(generation.state, now)
            print(f"{name}: valid, {numbers}, {generation.size_bytes} bytes, {age}")
    return _exit_code(loaded)


def prune(folder: Path, now: Timestamp) -> ExitCode:  # noqa: ARG001, all sub-commands have one signature
    """Remove unusable generations and an incomplete temporary file; records of a newer version stay."""
    files = _open_files(folder)
    loaded = SnapshotStore(files).load()
    store = SnapshotStore(files)
    store.open()
    try:
        for fault in loaded.faults:
            if fault.error.fault is not RecordFault.NEWER_VERSION:
                files.remove(fault.name)
                print(f"{fault.name}: removed: {fault.error}")
        if (folder / TEMPORARY_NAME).exists():
            files.remove(TEMPORARY_NAME)
            print(f"{TEMPORARY_NAME}: removed: incomplete")
        files.sync_folder()
    except OSError as error:
        raise StateError(RecordFault.UNUSABLE_FOLDER, os.strerror(error.errno or 0)) from None
    finally:
        store.close()
    return ExitCode.NEWER_VERSION if _exit_code(loaded) is ExitCode.NEWER_VERSION else ExitCode.OK


SUB_COMMANDS = {"show": show, "check": check, "prune": prune}


def run(arguments: Mapping[str, Any], now: Timestamp) -> ExitCode:
    """Run the sub-command that the parsed command line names.

    Args:
        arguments: The parsed command line, by docopt's names.
        now: The current time.
    """
    sub_command = next(function for name, function in SUB_COMMANDS.items() if arguments[name])
    try:
        return sub_command(Path(arguments["FOLDER"]), now)
    except StateError as error:
        print(f"quincepier: {error}", file=sys.stderr)
        return ExitCode.LOCKED if error.fault is RecordFault.LOCKED else ExitCode.UNUSABLE_FOLDER
