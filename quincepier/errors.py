"""The base of all errors of this project: a code, what happened, where, and what an operator can do.

Each package has one type of its own below it; docs/oncall.md has a row for each code.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, ClassVar


class QuincepierError(Exception):
    """The base of all errors; raised where an input is judged, and reported once.

    Attributes:
        code: a stable code of the type, `QP-...`.
        remedy: what an operator can do, for the type as a whole.
        where: a key, a file or a byte offset; may be empty.
    """

    code: ClassVar[str] = "QP-000"
    remedy: ClassVar[str] = "report it with the log lines before it"
    where: str = ""
    _instance_remedy: str = ""

    def __init__(self, what: str, where: str = "", remedy: str = "") -> None:
        """Make an error of what happened, where, and a remedy that goes before the type's own."""
        super().__init__(f"{where}: {what}" if where else what)
        self.where = where
        self._instance_remedy = remedy

    @property
    def advice(self) -> str:
        """What an operator can do about this instance."""
        return self._instance_remedy or self.remedy

    def line(self) -> str:
        """Return one line for a log or a terminal: code, text and advice."""
        return f"{self.code} {self}; {self.advice}"


class PeerInputError(QuincepierError):
    """An error that a peer can cause at will; made by Exception alone, so that a flood stays cheap."""

    if not TYPE_CHECKING:
        __init__ = Exception.__init__
