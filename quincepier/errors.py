"""The base class of the project's errors: a code, a message, a location and a remedy for the operator.

Each package derives its own error class; docs/oncall.md lists all codes.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, ClassVar


class QuincepierError(Exception):
    """The base class of all errors; raised where input is validated, and reported once.

    Attributes:
        code: The stable code of the class, `QP-...`.
        remedy: What an operator can do about errors of this class.
        where: The key, file or byte offset at fault; may be empty.
    """

    code: ClassVar[str] = "QP-000"
    remedy: ClassVar[str] = "report it with the log lines before it"
    where: str = ""
    _instance_remedy: str = ""

    def __init__(self, message: str, where: str = "", remedy: str = "") -> None:
        """Create an error.

        Args:
            message: What happened.
            where: The key, file or byte offset at fault.
            remedy: What an operator can do about it; replaces the remedy of the class.
        """
        super().__init__(f"{where}: {message}" if where else message)
        self.where = where
        self._instance_remedy = remedy

    @property
    def advice(self) -> str:
        """What an operator can do about this error."""
        return self._instance_remedy or self.remedy

    def line(self) -> str:
        """Return the error as one line for a log or a terminal: code, message and advice."""
        return f"{self.code} {self}; {self.advice}"


class PeerInputError(QuincepierError):
    """An error that a peer can cause at will.

    It is created by `Exception.__init__` alone, so that a flood of invalid input stays cheap.
    """

    if not TYPE_CHECKING:
        __init__ = Exception.__init__
