"""The section `agreement` of the operators' file: the voters, the folder of their logs, lease durations."""

from __future__ import annotations

from typing import Annotated

import msgspec

MIN_VOTERS = 3
MAX_VOTERS = 7
MAX_NAME_LENGTH = 64
MAX_PORT = 65_535
MAX_QUOTED_LENGTH = 60  # characters of an invalid value that are quoted in an error message
MIN_REPORTS_PER_LEASE = 3  # so that one lost report does not end a lease
Address = Annotated[str, msgspec.Meta(min_length=3, max_length=300)]


class AgreementSection(
    msgspec.Struct,
    frozen=True,
    forbid_unknown_fields=True,
    rename={
        "lease_duration_ms": "lease_ms",
        "report_interval_ms": "report_ms",
        "statistics_window_s": "span_s",
        "startup_timeout_ms": "first_ms",
    },
):
    """The parsed section. It requires the section `members`.

    Attributes:
        voters: Address of each voter by its name, for messages between fronts.
        folder: The folder of the front's log and version; `{name}` stands for the front's name.
        lease_duration_ms: Duration of a lease.
        report_interval_ms: Interval between the reports of a front.
        statistics_window_s: Maximum time that the counts of a report cover.
        startup_timeout_ms: Maximum time that a start waits for a version.
    """

    voters: dict[str, Address]
    folder: Annotated[str, msgspec.Meta(min_length=1, max_length=4000)]
    lease_duration_ms: Annotated[int, msgspec.Meta(ge=300, le=60_000)] = 1500
    report_interval_ms: Annotated[int, msgspec.Meta(ge=50, le=20_000)] = 250
    statistics_window_s: Annotated[int, msgspec.Meta(ge=1, le=60)] = 10
    startup_timeout_ms: Annotated[int, msgspec.Meta(ge=0, le=60_000)] = 3000

    def __post_init__(self) -> None:
        if not MIN_VOTERS <= len(self.voters) <= MAX_VOTERS or len(self.voters) % 2 == 0:
            raise ValueError(f"voters names {len(self.voters)} fronts: list 3, 5 or 7")
        for name, address in self.voters.items():
            _check_voter(name, address)
        if len(set(self.voters.values())) < len(self.voters):
            raise ValueError("voters holds one address twice: give each voter its own")
        if not self.folder.startswith("/"):
            raise ValueError(f"folder is {self.folder[:MAX_QUOTED_LENGTH]!r}: an absolute path is required")
        if self.lease_duration_ms < MIN_REPORTS_PER_LEASE * self.report_interval_ms:
            raise ValueError(
                f"lease_ms is under {MIN_REPORTS_PER_LEASE} times report_ms: a lost report ends it"
            )

    def folder_of(self, name: str) -> str:
        """Return the folder of the front with a name."""
        return self.folder.replace("{name}", name)


def _check_voter(name: str, address: str) -> None:
    host, colon, port = address.rpartition(":")
    if not 1 <= len(name) <= MAX_NAME_LENGTH:
        raise ValueError("voters holds a name that is empty or longer than 64 characters")
    is_port = port.isascii() and port.isdigit() and 0 < int(port) <= MAX_PORT
    if not (host and colon and is_port):
        raise ValueError(f"voters.{name} holds {address[:MAX_QUOTED_LENGTH]!r}, not host:port")
