"""What an address is: a family and what a socket of that family is connected to."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

MAX_ADDRESSES = 16  # of one machine; what is listed past it is passed over and told


class Family(Enum):
    """The kinds of socket. The value is the word that operators write."""

    UNIX = "unix"
    IP6 = "ipv6"
    IP4 = "ipv4"


@dataclass(slots=True, frozen=True)
class Address:
    """One place where a machine listens.

    `host` is an IP address in its canonical form, '' for a Unix socket; `port` is 1 to 65535, 0 for a Unix
    socket; `path` is a path, or a name with '@' before it in the abstract space, '' for IP.
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
        """What the socket's connect call takes."""
        if self.family is not Family.UNIX:
            return self.host, self.port
        return b"\0" + self.path[1:].encode() if self.path.startswith("@") else self.path
