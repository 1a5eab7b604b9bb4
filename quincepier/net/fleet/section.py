"""The section `agreement` of the operators' file: who votes, where voters keep logs, how long leases are."""

from __future__ import annotations

from typing import Annotated

import msgspec

Address = Annotated[str, msgspec.Meta(min_length=3, max_length=300)]
VOTERS_LEAST, VOTERS_MOST = 3, 7
LEASE_OF_REPORTS = 3  # reports that may be lost before a lease lapses


class AgreementSection(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Needs the section `members`. `{name}` in `folder` stands for the front's own name."""

    voters: dict[str, Address]  # name of a front and where its words between fronts are taken
    folder: Annotated[str, msgspec.Meta(min_length=1, max_length=4000)]
    lease_ms: Annotated[int, msgspec.Meta(ge=300, le=60_000)] = 1500
    report_ms: Annotated[int, msgspec.Meta(ge=50, le=20_000)] = 250
    span_s: Annotated[int, msgspec.Meta(ge=1, le=60)] = 10  # that the counts of a report are of
    first_ms: Annotated[int, msgspec.Meta(ge=0, le=60_000)] = 3000  # a start waits so long for a version

    def __post_init__(self) -> None:
        if not VOTERS_LEAST <= len(self.voters) <= VOTERS_MOST or len(self.voters) % 2 == 0:
            raise ValueError(f"voters names {len(self.voters)} fronts: name 3, 5 or 7")
        for name, address in self.voters.items():
            host, colon, port = address.rpartition(":")
            if not 1 <= len(name) <= 64:
                raise ValueError("voters holds a name of 0 or over 64 characters")
            if not (host and colon and port.isascii() and port.isdigit() and 0 < int(port) < 65536):
                raise ValueError(f"voters.{name} holds {address[:60]!r}, not host:port")
        if len(set(self.voters.values())) < len(self.voters):
            raise ValueError("voters holds one address twice: each voter has its own")
        if not self.folder.startswith("/"):
            raise ValueError(f"folder is {self.folder[:60]!r}: an absolute path is wanted")
        if self.lease_ms < LEASE_OF_REPORTS * self.report_ms:
            raise ValueError(f"lease_ms is under {LEASE_OF_REPORTS} times report_ms: a lost report ends it")

    def folder_of(self, name: str) -> str:
        """The folder of the front of that name."""
        return self.folder.replace("{name}", name)
