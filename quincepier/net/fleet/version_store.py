"""Stores the version that a front adopted last, across its restarts.

Without it, a front that restarts during a maintenance task would send requests to a machine under maintenance
until it receives the version with the task. The stored version is used only in cautious mode, never to hold a
lease.
"""

from __future__ import annotations

import os
from collections.abc import Callable
from pathlib import Path

from quincepier.checks import Checks
from quincepier.net.fleet.worker_thread import WorkerThread
from quincepier.rules import RuleVersion, decode_version, encode_version
from quincepier.rules.version import MAX_VERSION_BYTES

FILE_NAME = "adopted"
NEW_FILE_NAME = "adopted.new"


class VersionStore:
    """The stored version of one front, in its own folder. Its methods block; call them in a thread."""

    def __init__(self, folder: str) -> None:
        self.folder = Path(folder)

    def load(self) -> RuleVersion | None:
        """Return the stored version; None if there is none.

        Raises:
            OSError: The file can't be read.
            RulesError: The file is damaged.
        """
        try:
            with (self.folder / FILE_NAME).open("rb") as file:
                return decode_version(file.read(MAX_VERSION_BYTES + 1))
        except FileNotFoundError:
            return None

    def save(self, version: RuleVersion) -> None:
        """Replace the stored version atomically.

        Raises:
            OSError: The file can't be written.
        """
        self.folder.mkdir(parents=True, exist_ok=True)
        new_path = self.folder / NEW_FILE_NAME
        fd = os.open(new_path, os.O_WRONLY | os.O_CREAT | os.O_TRUNC | os.O_CLOEXEC, 0o600)
        with os.fdopen(fd, "wb") as file:
            file.write(encode_version(version))
            file.flush()
            os.fsync(file.fileno())
        os.replace(new_path, self.folder / FILE_NAME)


class VersionWriter:
    """Stores each newer version that the front adopts; there is at most one write at a time.

    Args:
        store: The store.
        thread: Runs the writes.
        current_version: Returns the version that the front has adopted.
        checks: Counters and log events.
    """

    def __init__(
        self,
        store: VersionStore,
        thread: WorkerThread,
        current_version: Callable[[], RuleVersion],
        checks: Checks,
    ) -> None:
        self._store = store
        self._thread = thread
        self._current_version = current_version
        self._checks = checks
        self._number_to_store = 0
        self._is_writing = False

    def on_version_applied(self) -> None:
        """Store the adopted version if it is newer than all versions stored so far."""
        number = self._current_version().number
        if number > self._number_to_store:
            self._number_to_store = number
            self._write()

    def _write(self) -> None:
        if self._is_writing:
            return
        version = self._current_version()
        self._is_writing = self._thread.submit(
            lambda: self._store.save(version), lambda outcome: self._on_written(version, outcome)
        )

    def _on_written(self, version: RuleVersion, outcome: object) -> None:
        self._is_writing = False
        if isinstance(outcome, Exception):
            self._checks.event("version_not_stored", str(outcome))
        elif self._number_to_store > version.number:
            self._write()
