"""The section `clients` of the operators' file: how many connections each network may have."""

from __future__ import annotations

from collections.abc import Callable
from functools import lru_cache
from typing import Annotated, ClassVar

import msgspec
import netaddr

from quincepier.clients.registry import ConnectionLimits

MS = 1_000_000
Count = Annotated[int, msgspec.Meta(ge=0, le=1_000_000)]
NETWORKS_MOST, HOSTS_KEPT = 10_000, 4096


def network_of(value: object) -> netaddr.IPNetwork:
    """A network from its text; ValueError where it is none."""
    if not isinstance(value, str):
        raise ValueError(f"{value!r} is no text of a network such as 10.0.0.0/8")
    try:
        return netaddr.IPNetwork(value).cidr
    except (netaddr.AddrFormatError, ValueError):
        raise ValueError(f"{value[:60]!r} is no network such as 10.0.0.0/8") from None


class NetworkCap(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    network: netaddr.IPNetwork
    connections: Annotated[int, msgspec.Meta(ge=1, le=1_000_000)]


class ClientsSection(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Caps of connections by network. One that is not listed is told by the first bits of its address."""

    networks: Annotated[tuple[NetworkCap, ...], msgspec.Meta(max_length=NETWORKS_MOST)] = ()
    each: Count = 0
    prefix_ipv4: Annotated[int, msgspec.Meta(ge=0, le=32)] = 24
    prefix_ipv6: Annotated[int, msgspec.Meta(ge=0, le=128)] = 56
    rest_least_ms: Annotated[float, msgspec.Meta(ge=0, le=3_600_000)] = 1000
    rest_most_s: Annotated[float, msgspec.Meta(ge=0, le=86_400)] = 0
    slack: Annotated[int, msgspec.Meta(ge=1, le=1_000)] = 8

    MADE: ClassVar[dict[type, Callable[[object], object]]] = {netaddr.IPNetwork: network_of}

    def __post_init__(self) -> None:
        listed = [item.network for item in self.networks]
        twice = next((str(n) for n in listed if listed.count(n) > 1), None) if len(listed) < 1000 else None
        if twice is not None:
            raise ValueError(f"networks lists {twice} twice")


class ClientNetworks:
    """Which network a client's address is of, and its cap. The longest prefix listed goes first."""

    def __init__(self, section: ClientsSection) -> None:
        self.section = section
        self.cap_by_network = {item.network: item.connections for item in section.networks}
        self.prefix_lengths_by_version = {
            version: sorted({n.prefixlen for n in self.cap_by_network if n.version == version}, reverse=True)
            for version in (4, 6)
        }
        self.find_network = lru_cache(HOSTS_KEPT)(self._find_network)

    def make_limits(self, most: int) -> ConnectionLimits:
        section = self.section
        return ConnectionLimits(
            most,
            max_per_network=section.each,
            min_idle_time=int(section.rest_least_ms * MS),
            max_idle_time=int(section.rest_most_s * 1000 * MS),
            max_closed_at_once=section.slack,
        )

    def _find_network(self, host: str) -> tuple[str, int]:
        """Its name, and its cap (0: that of all)."""
        try:
            address = netaddr.IPAddress(host)
        except (netaddr.AddrFormatError, ValueError):
            return "", 0  # of a Unix socket, or not told
        for length in self.prefix_lengths_by_version[address.version]:
            network = netaddr.IPNetwork((address.value, length), version=address.version).cidr
            if network in self.cap_by_network:
                return str(network), self.cap_by_network[network]
        length = self.section.prefix_ipv4 if address.version == 4 else self.section.prefix_ipv6
        return str(netaddr.IPNetwork((address.value, length), version=address.version).cidr), 0
