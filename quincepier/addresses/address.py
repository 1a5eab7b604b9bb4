"""Addresses of machines: a socket family and the target that a socket of that family connects to."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

MAX_ADDRESSES = 16  # of one machine; further listed addresses are ignored and logged


class Family(Enum):
    """Socket families. The value is the word used in the operators' file."""

    UNIX = "unix"
    IP6 = "ipv6"
    IP4 = "ipv4"


@dataclass(slots=True, frozen=True)
class Address:
    """An address at which a machine listens.

    Attributes:
        family: The socket family.
        host: IP address in canonical form; '' for a Unix socket.
        port: 1 to 65535; 0 for a Unix socket.
        path: Path of a Unix socket, or '@' and a name in the abstract namespace; '' for IP.
    """

    family: Family
    host: str = ""
    port: int = 0
    path: str = ""

    def __str__(self) -> str:
        match self.family:
            case Family.UNIX:
                return f"unix:{self.path}"
            case Family.IP6:
                return f"[{self.host}]:{self.port}"
            case Family.IP4:
                return f"{self.host}:{self.port}"

    @property
    def target(self) -> tuple[str, int] | str | bytes:
        """The argument of `socket.connect`."""
        if self.family is not Family.UNIX:
            return self.host, self.port
        return b"\0" + self.path[1:].encode() if self.path.startswith("@") else self.path
