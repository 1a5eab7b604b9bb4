"""The version that this front adopted last, kept over its starts.

A front that starts anew in the middle of an order would else send to a machine that is being worked on until
it hears of the order. What is kept counts for the cautious set alone, never as a version to decide by.
"""

from __future__ import annotations

import os
from pathlib import Path

from quincepier.rules import RuleVersion, decode_version, encode_version
from quincepier.rules.version import MAX_VERSION_BYTES

NAME, NEW = "adopted", "adopted.new"


class VersionStore:
    """In a folder of this front alone. Blocking: for a thread."""

    def __init__(self, folder: str) -> None:
        self.folder = Path(folder)

    def load(self) -> RuleVersion | None:
        """None where there is none; OSError, or RulesError for one that is spoilt."""
        try:
            with (self.folder / NAME).open("rb") as file:
                return decode_version(file.read(MAX_VERSION_BYTES + 1))
        except FileNotFoundError:
            return None

    def save(self, version: RuleVersion) -> None:
        """Whole or not at all; OSError."""
        self.folder.mkdir(parents=True, exist_ok=True)
        fd = os.open(self.folder / NEW, os.O_WRONLY | os.O_CREAT | os.O_TRUNC | os.O_CLOEXEC, 0o600)
        with os.fdopen(fd, "wb") as file:
            file.write(encode_version(version))
            file.flush()
            os.fsync(file.fileno())
        os.replace(self.folder / NEW, self.folder / NAME)
