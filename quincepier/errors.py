"""The base of all errors of this project: a code, what happened, where, and what an operator can do.

Each package has one type of its own under it; docs/oncall.md has a row for each code.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, ClassVar


class QuincepierError(Exception):
    """Raised where an input is judged, told once. `where` is a key, a file or a byte offset; may be empty."""

    code: ClassVar[str] = "QP-000"
    remedy: ClassVar[str] = "report it with the log lines before it"  # what an operator can do, as a rule
    where: str = ""
    own: str = ""  # the remedy of this one case

    def __init__(self, what: str, where: str = "", remedy: str = "") -> None:
        super().__init__(f"{where}: {what}" if where else what)
        self.where, self.own = where, remedy

    @property
    def do(self) -> str:
        return self.own or self.remedy

    def line(self) -> str:
        """One line for a log or a terminal."""
        return f"{self.code} {self}; {self.do}"


class Inflicted(QuincepierError):
    """What a peer can cause at will: made by Exception alone, so that a flood of them stays cheap."""

    if not TYPE_CHECKING:
        __init__ = Exception.__init__
