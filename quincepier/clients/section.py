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
MAX_NETWORKS = 10_000
MAX_CACHED_HOSTS = 4096  # addresses whose network is remembered


def parse_network(value: object) -> netaddr.IPNetwork:
    """Return the network that a text such as 10.0.0.0/8 names; raises ValueError if it names none."""
    if not isinstance(value, str):
        raise ValueError(f"{value!r} is not text that names a network such as 10.0.0.0/8")
    try:
        return netaddr.IPNetwork(value).cidr
    except (netaddr.AddrFormatError, ValueError):
        raise ValueError(f"{value[:60]!r} is not a network such as 10.0.0.0/8") from None


class NetworkCap(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The cap of one network."""

    network: netaddr.IPNetwork
    connections: Annotated[int, msgspec.Meta(ge=1, le=1_000_000)]


class ClientsSection(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Caps on client connections by network.

    Attributes:
        networks: Networks with a cap of their own. An address in none of them belongs to the network of its
            first `prefix_ipv4` or `prefix_ipv6` bits.
        each: Cap of a network that is not listed; 0: none.
        prefix_ipv4: Length of such a network's prefix, bits.
        prefix_ipv6: The same for IPv6.
        rest_least_ms: A connection idle for less is not closed for a new one.
        rest_most_s: A connection idle for longer is closed; 0: idle time is not limited.
        slack: Connections closed at once for a new one at the limit.
        MADE: Parser for each field type that msgspec does not decode itself.
    """

    networks: Annotated[tuple[NetworkCap, ...], msgspec.Meta(max_length=MAX_NETWORKS)] = ()
    each: Count = 0
    prefix_ipv4: Annotated[int, msgspec.Meta(ge=0, le=32)] = 24
    prefix_ipv6: Annotated[int, msgspec.Meta(ge=0, le=128)] = 56
    rest_least_ms: Annotated[float, msgspec.Meta(ge=0, le=3_600_000)] = 1000
    rest_most_s: Annotated[float, msgspec.Meta(ge=0, le=86_400)] = 0
    slack: Annotated[int, msgspec.Meta(ge=1, le=1_000)] = 8

    MADE: ClassVar[dict[type, Callable[[object], object]]] = {netaddr.IPNetwork: parse_network}

    def __post_init__(self) -> None:
        listed = [item.network for item in self.networks]
        repeated = next((str(n) for n in listed if listed.count(n) > 1), None) if len(listed) < 1000 else None
        if repeated is not None:
            raise ValueError(f"networks lists {repeated} twice")


class ClientNetworks:
    """Finds the network of a client's address and its cap; the longest listed prefix wins.

    Attributes:
        section: The operators' section.
        cap_by_network: Caps of the listed networks.
        prefix_lengths_by_version: Lengths of the listed prefixes by IP version, the longest first.
        find_network: `_find_network` with a cache.
    """

    def __init__(self, section: ClientsSection) -> None:
        self.section = section
        self.cap_by_network = {item.network: item.connections for item in section.networks}
        self.prefix_lengths_by_version = {
            version: sorted({n.prefixlen for n in self.cap_by_network if n.version == version}, reverse=True)
            for version in (4, 6)
        }
        self.find_network = lru_cache(MAX_CACHED_HOSTS)(self._find_network)

    def make_limits(self, max_connections: int) -> ConnectionLimits:
        """Return the registry's limits by this section and the limit on all connections."""
        section = self.section
        return ConnectionLimits(
            max_connections,
            max_per_network=section.each,
            min_idle_time=int(section.rest_least_ms * MS),
            max_idle_time=int(section.rest_most_s * 1000 * MS),
            max_closed_at_once=section.slack,
        )

    def _find_network(self, host: str) -> tuple[str, int]:
        """Return the name and the cap of an address's network; 0: the cap that applies to all networks."""
        try:
            address = netaddr.IPAddress(host)
        except (netaddr.AddrFormatError, ValueError):
            return "", 0  # a Unix socket, or no address
        for length in self.prefix_lengths_by_version[address.version]:
            network = netaddr.IPNetwork((address.value, length), version=address.version).cidr
            if network in self.cap_by_network:
                return str(network), self.cap_by_network[network]
        length = self.section.prefix_ipv4 if address.version == 4 else self.section.prefix_ipv6
        return str(netaddr.IPNetwork((address.value, length), version=address.version).cidr), 0
