"""The section `members` of the operators' file: the fleet, where this front listens, where others are."""

from __future__ import annotations

import ipaddress
from collections.abc import Callable
from dataclasses import dataclass
from typing import Annotated, ClassVar

import msgspec

MAX_FRONTS = 4096
MAX_SEEDS = 64
MAX_NAME_LENGTH = 64
MAX_PORT = 65_535
MAX_QUOTED_LENGTH = 60  # characters of a wrong value that a message repeats


@dataclass(slots=True, frozen=True)
class Endpoint:
    """An IP address and a port, for datagrams and streams alike."""

    host: str
    port: int

    @property
    def address(self) -> tuple[str, int]:
        """The endpoint as sockets take it."""
        return self.host, self.port

    @property
    def is_unspecified(self) -> bool:
        """Whether it stands for every address of the machine."""
        return ipaddress.ip_address(self.host).is_unspecified


def parse_endpoint(value: object) -> Endpoint:
    """Parses an endpoint such as 10.0.0.1:7400 or [::1]:7400.

    Raises:
        ValueError: It is none; the message says what to write instead.
    """
    host, _, port = str(value).rpartition(":")
    if host.startswith("[") and host.endswith("]"):
        host = host[1:-1]
    try:
        if not isinstance(value, str) or not _is_port(port):
            raise ValueError
        return Endpoint(str(ipaddress.ip_address(host)), int(port))
    except ValueError:
        raise ValueError(
            f"{str(value)[:MAX_QUOTED_LENGTH]!r} is no place: "
            "write an IP address and a port, as 10.0.0.1:7400 or [::1]:7400"
        ) from None


def _is_port(text: str) -> bool:
    return text.isascii() and text.isdigit() and 0 < int(text) <= MAX_PORT


class MembersSection(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The section as it was read; the names of the fields are its keys.

    Attributes:
        fleet: The fleet's name.
        listen: Where this front listens, if not at its entry in `fronts`.
        announce: Where others reach this front, where that is neither of the two.
        fronts: The endpoints of all fronts by name, the same in all files.
        seeds: Endpoints to find the fleet by, where there is no entry for each front.
    """

    fleet: Annotated[str, msgspec.Meta(min_length=1, max_length=MAX_NAME_LENGTH)]
    listen: Endpoint | None = None
    announce: Endpoint | None = None
    fronts: Annotated[dict[str, Endpoint], msgspec.Meta(max_length=MAX_FRONTS)] = {}
    seeds: Annotated[tuple[Endpoint, ...], msgspec.Meta(max_length=MAX_SEEDS)] = ()

    MADE: ClassVar[dict[object, Callable[[object], object]]] = {
        Endpoint: parse_endpoint,
        Endpoint | None: parse_endpoint,
    }

    def __post_init__(self) -> None:
        self._check_fronts()
        self._check_endpoints_given()
        self._check_endpoints_reachable()

    def listen_endpoint(self, name: str) -> Endpoint | None:
        """Returns where the front of that name listens, None where the section does not say."""
        return self.listen or self.fronts.get(name)

    def announced_endpoint(self, name: str) -> Endpoint | None:
        """Returns where others reach the front of that name, None where the section does not say."""
        is_reachable = self.listen is not None and not self.listen.is_unspecified
        return self.announce or self.fronts.get(name) or (self.listen if is_reachable else None)

    def _check_fronts(self) -> None:
        for name in self.fronts:
            if not 0 < len(name) <= MAX_NAME_LENGTH:
                raise ValueError(
                    f"fronts has a name of {len(name)} characters; 1 to {MAX_NAME_LENGTH} are taken"
                )
        endpoints = list(self.fronts.values())
        if len(set(endpoints)) < len(endpoints):
            duplicate = next(endpoint for endpoint in endpoints if endpoints.count(endpoint) > 1)
            raise ValueError(
                f"fronts names {duplicate.host}:{duplicate.port} twice; each has a place of its own"
            )

    def _check_endpoints_given(self) -> None:
        if self.listen is None and not self.fronts:
            raise ValueError("nowhere to listen: give `listen`, or `fronts` with a line for each front")
        if self.listen is not None and not (self.fronts or self.seeds):
            raise ValueError("nobody to find: give `seeds` (one or two other fronts), or `fronts`")

    def _check_endpoints_reachable(self) -> None:
        announced = self.announce or self.listen
        if not self.fronts and announced is not None and announced.is_unspecified:
            raise ValueError("listen is every address: give `announce`, where others find this front")
        endpoints = [*self.fronts.values(), *self.seeds]
        if self.announce is not None:
            endpoints.append(self.announce)
        if any(endpoint.is_unspecified for endpoint in endpoints):
            raise ValueError("0.0.0.0 and [::] are places to listen at, none where a front is found")
