"""The registry of clients' connections: whom to admit, and who goes where there is no room.

A connection is new (it has not asked yet), busy (it is owed something) or at rest. For a new one at the limit
there go, in this order: of the network that holds most connections, who came and never asked within its time;
then who has rested for longest; then the newest that never asked. So one large network makes room for itself,
and the few connections of a small one stay. Without networks all are one, and the order is by age alone.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Hashable
from dataclasses import dataclass
from enum import Enum
from typing import Generic, TypeVar

K = TypeVar("K", bound=Hashable)


class AdmissionResult(Enum):
    ADMITTED = "stays"
    LIMIT_REACHED = "no room"  # nobody can go for it
    NETWORK_LIMIT_REACHED = "its network is at its cap"


@dataclass(slots=True, frozen=True)
class ConnectionLimits:
    """Counts and nanoseconds. The defaults are those without an operators' file."""

    max_connections: int  # connections in all
    max_per_network: int = 0  # of one network; 0: no cap of its own
    first_request_grace: int = 500_000_000  # in which one that has not asked is the last to go
    min_idle_time: int = (
        0  # who has rested for less is not sent away for a new one: it would come back at once
    )
    max_idle_time: int = 0  # who has rested for longer goes; 0: as long as it likes
    max_closed_at_once: int = 1  # so many go at once when there is no room, so that the next few find some


class _Network(Generic[K]):
    __slots__ = ("cap", "idle_since_by_connection", "new_since_by_connection", "size")

    def __init__(self, cap: int) -> None:
        self.cap, self.size = cap, 0
        self.new_since_by_connection: OrderedDict[K, int] = OrderedDict()  # since when
        self.idle_since_by_connection: OrderedDict[K, int] = OrderedDict()


class ConnectionRegistry(Generic[K]):
    """All changes take constant time, apart from finding who goes, which looks at one network."""

    def __init__(self, caps: ConnectionLimits) -> None:
        self.limits = caps
        self.network_by_name: dict[Hashable, _Network[K]] = {}
        self.network_name_by_connection: dict[K, Hashable] = {}
        self.network_names_by_size: dict[
            int, OrderedDict[Hashable, None]
        ] = {}  # networks by how many they hold
        self.largest = 0

    def __len__(self) -> int:
        return len(self.network_name_by_connection)

    # What happens

    def admit(self, who: K, network: Hashable, now: int, cap: int = 0) -> tuple[AdmissionResult, list[K]]:
        """Whether a new connection stays, and who goes for it. `cap` goes before that of all networks."""
        found = self.network_by_name.get(network)
        most = cap or self.limits.max_per_network
        gone: list[K] = []
        if most and found is not None and found.size >= most:
            if (one := self._find_evictable_of(found, now)) is None:
                return AdmissionResult.NETWORK_LIMIT_REACHED, []
            gone = [one]
        elif len(self.network_name_by_connection) >= self.limits.max_connections:
            gone = self._select_evicted(now)
            if not gone:
                return AdmissionResult.LIMIT_REACHED, []
        for one in gone:
            self.remove(one)
        if network not in self.network_by_name:
            self.network_by_name[network] = _Network(most)
        self.network_name_by_connection[who] = network
        self.network_by_name[network].new_since_by_connection[who] = now
        self._resize(network, 1)
        return AdmissionResult.ADMITTED, gone

    def on_request(self, who: K) -> None:
        """It is busy from now on."""
        if (network := self._network_of(who)) is not None:
            network.new_since_by_connection.pop(who, None)
            network.idle_since_by_connection.pop(who, None)

    def on_idle(self, who: K, now: int) -> None:
        """It is owed nothing from now on."""
        if (network := self._network_of(who)) is not None and who not in network.new_since_by_connection:
            network.idle_since_by_connection[who] = now

    def remove(self, who: K) -> None:
        if (network := self._network_of(who)) is not None:
            network.new_since_by_connection.pop(who, None)
            network.idle_since_by_connection.pop(who, None)
            self._resize(self.network_name_by_connection.pop(who), -1)

    def idle_deadline(self, who: K) -> int | None:
        """When it will have rested for too long; None where it is not at rest, or may rest for ever."""
        network = self._network_of(who)
        since = network.idle_since_by_connection.get(who) if network is not None else None
        return None if since is None or not self.limits.max_idle_time else since + self.limits.max_idle_time

    # Who goes

    def find_evictable(self, now: int) -> K | None:
        """Who would go now for a new connection; None where nobody can."""
        for size in sorted(self.network_names_by_size, reverse=True):
            for name in self.network_names_by_size[size]:
                if (one := self._find_evictable_of(self.network_by_name[name], now)) is not None:
                    return one
        return None

    def _find_evictable_of(self, network: _Network[K], now: int) -> K | None:
        new = next(iter(network.new_since_by_connection.items()), None)
        if new is not None and new[1] <= now - self.limits.first_request_grace:
            return new[0]
        rested = next(iter(network.idle_since_by_connection.items()), None)
        if rested is not None and rested[1] <= now - self.limits.min_idle_time:
            return rested[0]
        return new[0] if new is not None else None

    def _select_evicted(self, now: int) -> list[K]:
        """Those who go, the first of them before all; further ones only of those at rest for long enough."""
        one = self.find_evictable(now)
        if one is None:
            return []
        gone, network = [one], self.network_by_name[self.network_name_by_connection[one]]
        for other, since in network.idle_since_by_connection.items():
            if len(gone) >= self.limits.max_closed_at_once or since > now - self.limits.min_idle_time:
                break
            if other != one:
                gone.append(other)
        return gone

    def _network_of(self, who: K) -> _Network[K] | None:
        return (
            self.network_by_name.get(self.network_name_by_connection[who])
            if who in self.network_name_by_connection
            else None
        )

    def _resize(self, name: Hashable, by: int) -> None:
        network = self.network_by_name[name]
        if network.size:
            peers = self.network_names_by_size[network.size]
            del peers[name]
            if not peers:
                del self.network_names_by_size[network.size]
        network.size += by
        if network.size:
            self.network_names_by_size.setdefault(network.size, OrderedDict())[name] = None
        else:
            del self.network_by_name[name]
