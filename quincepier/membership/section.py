"""The section `members` of the operators' file: the fleet's name and the addresses of its fronts."""

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
MAX_QUOTED_LENGTH = 60  # characters of an invalid value that are quoted in an error message


@dataclass(slots=True, frozen=True)
class Endpoint:
    """An IP address and a port, used for both datagrams and streams."""

    host: str
    port: int

    @property
    def address(self) -> tuple[str, int]:
        """The endpoint as a socket address."""
        return self.host, self.port

    @property
    def is_unspecified(self) -> bool:
        """Whether the host is the wildcard address (0.0.0.0 or ::)."""
        return ipaddress.ip_address(self.host).is_unspecified


def parse_endpoint(value: object) -> Endpoint:
    """Parses an endpoint such as 10.0.0.1:7400 or [::1]:7400.

    Raises:
        ValueError: The value is not an endpoint; the message gives the expected format.
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
            f"{str(value)[:MAX_QUOTED_LENGTH]!r} is not an endpoint: "
            "write an IP address and a port, such as 10.0.0.1:7400 or [::1]:7400"
        ) from None


def _is_port(text: str) -> bool:
    return text.isascii() and text.isdigit() and 0 < int(text) <= MAX_PORT


class MembersSection(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The parsed section; the field names are its keys.

    Attributes:
        fleet: The fleet's name.
        listen: The endpoint on which this front listens; by default its entry in `fronts`.
        announce: The endpoint at which others reach this front, if it is neither `listen` nor the entry in
            `fronts`.
        fronts: The endpoints of all fronts by name; the same in every front's file.
        seeds: Endpoints of fronts that are contacted to join the fleet, where `fronts` does not list all.
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
        """Returns the endpoint on which the named front listens; None if the section has none."""
        return self.listen or self.fronts.get(name)

    def announced_endpoint(self, name: str) -> Endpoint | None:
        """Returns the endpoint at which others reach the named front; None if the section has none."""
        is_reachable = self.listen is not None and not self.listen.is_unspecified
        return self.announce or self.fronts.get(name) or (self.listen if is_reachable else None)

    def _check_fronts(self) -> None:
        for name in self.fronts:
            if not 0 < len(name) <= MAX_NAME_LENGTH:
                raise ValueError(
                    f"fronts has a name of {len(name)} characters; 1 to {MAX_NAME_LENGTH} are allowed"
                )
        endpoints = list(self.fronts.values())
        if len(set(endpoints)) < len(endpoints):
            duplicate = next(endpoint for endpoint in endpoints if endpoints.count(endpoint) > 1)
            raise ValueError(
                f"fronts lists {duplicate.host}:{duplicate.port} twice; give each front its own endpoint"
            )

    def _check_endpoints_given(self) -> None:
        if self.listen is None and not self.fronts:
            raise ValueError(
                "no endpoint to listen on: give `listen`, or `fronts` with an entry for each front"
            )
        if self.listen is not None and not (self.fronts or self.seeds):
            raise ValueError("no other front is known: give `seeds` (one or two other fronts), or `fronts`")

    def _check_endpoints_reachable(self) -> None:
        announced = self.announce or self.listen
        if not self.fronts and announced is not None and announced.is_unspecified:
            raise ValueError("listen is a wildcard address: give `announce`, where others reach this front")
        endpoints = [*self.fronts.values(), *self.seeds]
        if self.announce is not None:
            endpoints.append(self.announce)
        if any(endpoint.is_unspecified for endpoint in endpoints):
            raise ValueError("0.0.0.0 and [::] are addresses to listen on; no front can be reached at them")
