"""The section `members` of the operators' file: which fleet, where this front listens, where others are."""

from __future__ import annotations

import ipaddress
from collections.abc import Callable
from dataclasses import dataclass
from typing import Annotated, ClassVar

import msgspec

FRONTS_MOST, SEEDS_MOST, NAME_MOST = 4096, 64, 64


@dataclass(slots=True, frozen=True)
class Endpoint:
    """An IP address and a port, for datagrams and streams alike."""

    host: str
    port: int

    @property
    def address(self) -> tuple[str, int]:
        return self.host, self.port

    @property
    def everywhere(self) -> bool:
        return ipaddress.ip_address(self.host).is_unspecified


def parse_endpoint(value: object) -> Endpoint:
    """From a text such as 10.0.0.1:7400 or [::1]:7400; ValueError with what to write instead."""
    host, _, port = str(value).rpartition(":")
    host = host[1:-1] if host.startswith("[") and host.endswith("]") else host
    try:
        if not isinstance(value, str) or not (port.isascii() and port.isdigit() and 0 < int(port) < 65_536):
            raise ValueError
        return Endpoint(str(ipaddress.ip_address(host)), int(port))
    except ValueError:
        raise ValueError(
            f"{str(value)[:60]!r} is no place: write an IP address and a port, as 10.0.0.1:7400 or [::1]:7400"
        ) from None


class MembersSection(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Either `listen` with `seeds`, or `fronts`: one book by the names of the fronts, the same file for all.

    `announce` tells others where to find this front, where that is not `listen` or its line in the book.
    """

    fleet: Annotated[str, msgspec.Meta(min_length=1, max_length=NAME_MOST)]
    listen: Endpoint | None = None
    announce: Endpoint | None = None
    fronts: Annotated[dict[str, Endpoint], msgspec.Meta(max_length=FRONTS_MOST)] = {}
    seeds: Annotated[tuple[Endpoint, ...], msgspec.Meta(max_length=SEEDS_MOST)] = ()

    MADE: ClassVar[dict[object, Callable[[object], object]]] = {
        Endpoint: parse_endpoint,
        Endpoint | None: parse_endpoint,
    }

    def __post_init__(self) -> None:
        if bad := [name for name in self.fronts if not 0 < len(name) <= NAME_MOST]:
            raise ValueError(f"fronts has a name of {len(bad[0])} characters; 1 to {NAME_MOST} are taken")
        places = list(self.fronts.values())
        if len(set(places)) < len(places):
            twice = next(place for place in places if places.count(place) > 1)
            raise ValueError(f"fronts names {twice.host}:{twice.port} twice; each has a place of its own")
        if self.listen is None and not self.fronts:
            raise ValueError("nowhere to listen: give `listen`, or `fronts` with a line for each front")
        if self.listen is not None and not (self.fronts or self.seeds):
            raise ValueError("nobody to find: give `seeds` (one or two other fronts), or `fronts`")
        told = self.announce or self.listen
        if not self.fronts and told is not None and told.everywhere:
            raise ValueError("listen is every address: give `announce`, where others find this front")
        if any(place.everywhere for place in (*places, *self.seeds)) or (
            self.announce is not None and self.announce.everywhere
        ):
            raise ValueError("0.0.0.0 and [::] are places to listen at, none where a front is found")

    def listens_at(self, name: str) -> Endpoint | None:
        """Where the front of that name listens; None where the book lacks it and there is no `listen`."""
        return self.listen or self.fronts.get(name)

    def announces(self, name: str) -> Endpoint | None:
        """Where others find it."""
        listen = self.listen if self.listen is not None and not self.listen.everywhere else None
        return self.announce or self.fronts.get(name) or listen
