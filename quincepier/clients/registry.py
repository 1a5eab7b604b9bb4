"""The registry of client connections: which are admitted, and which are closed for new ones.

A connection is new (no request yet), busy (owed a response) or idle. At the limit, the first of these is
closed for a new connection, in the network that holds most connections: a new one whose time for a first
request has passed; the one that has been idle longest; the one that has been new or idle longest, for a short
time at least, even if it has just begun a request, which is spared before. So clients that begin requests
without end do not keep all others out, a large network makes room for itself, and the few connections of a
small one stay. Without networks all connections are in one. The owner has the last word on each, as a request
may have arrived that it has not read yet.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable, Hashable
from dataclasses import dataclass
from enum import Enum
from itertools import takewhile
from typing import Generic, TypeVar

K = TypeVar("K", bound=Hashable)


class AdmissionResult(Enum):
    """Whether a new connection is admitted."""

    ADMITTED = "stays"
    LIMIT_REACHED = "no room"  # and no connection can be closed for it
    NETWORK_LIMIT_REACHED = "its network is at its cap"


@dataclass(slots=True, frozen=True)
class ConnectionLimits:
    """Limits on connections. The defaults apply without the section `clients` of the operators' file.

    Attributes:
        max_connections: Limit on all connections.
        max_per_network: Limit on the connections of one network without a cap of its own; 0: none.
        first_request_grace: Time in which a connection without a request is the last to be closed, ns.
        min_new_time: A connection without a request is not closed for a new one before this time has passed,
            since its request may be on its way; ns.
        min_idle_time: A connection idle for less is not closed for a new one, since its client would
            reconnect at once; ns.
        max_idle_time: A connection idle for longer is closed, ns; 0: idle time is not limited.
        max_closed_at_once: Connections closed at once for a new one at the limit, so that the next new ones
            find room.
    """

    max_connections: int
    max_per_network: int = 0
    first_request_grace: int = 500_000_000
    min_new_time: int = 50_000_000
    min_idle_time: int = 0
    max_idle_time: int = 0
    max_closed_at_once: int = 1


class _Network(Generic[K]):
    __slots__ = ("cap", "idle_since_by_connection", "new_since_by_connection", "size")

    def __init__(self, cap: int) -> None:
        self.cap, self.size = cap, 0
        self.new_since_by_connection: OrderedDict[K, int] = OrderedDict()
        self.idle_since_by_connection: OrderedDict[K, int] = OrderedDict()


def _list_until(since_by_connection: OrderedDict[K, int], latest: int) -> list[K]:
    """Return the connections whose time is `latest` at most; they are in the order of their times."""
    return [
        connection for connection, _ in takewhile(lambda item: item[1] <= latest, since_by_connection.items())
    ]


class ConnectionRegistry(Generic[K]):
    """The admitted connections by network. Times are nanoseconds of one clock.

    All changes take constant time, except the search for a connection to close, which looks at one network
    and asks `is_evictable` about its connections until one can be closed.

    Args:
        limits: The limits in force.
        is_evictable: Returns whether a connection may be closed for a new one, or is closed by now; its
            second argument tells whether one in the midst of a request is spared. It may find a request or a
            close that has arrived, and report it. By default all may be closed.

    Attributes:
        limits: The limits in force.
        network_by_name: The networks that hold connections.
        network_name_by_connection: The network of each connection.
        network_names_by_size: Names of networks by their number of connections.
    """

    def __init__(
        self,
        limits: ConnectionLimits,
        is_evictable: Callable[[K, bool], bool] = lambda connection, spares_partial: True,
    ) -> None:
        self.limits = limits
        self._is_evictable = is_evictable
        self.network_by_name: dict[Hashable, _Network[K]] = {}
        self.network_name_by_connection: dict[K, Hashable] = {}
        self.network_names_by_size: dict[int, OrderedDict[Hashable, None]] = {}
        self.largest = 0

    def __len__(self) -> int:
        return len(self.network_name_by_connection)

    # Events

    def admit(
        self, connection: K, network_name: Hashable, now: int, cap: int = 0
    ) -> tuple[AdmissionResult, list[K]]:
        """Return whether a new connection is admitted, and the connections to close for it.

        These are removed from the registry.

        Args:
            connection: The new connection.
            network_name: The network of its client.
            now: The time.
            cap: Limit on the network's connections; 0: `max_per_network` applies.
        """
        network = self.network_by_name.get(network_name)
        limit = cap or self.limits.max_per_network
        evicted: list[K] = []
        if limit and network is not None and network.size >= limit:
            if (evictable := self._find_evictable_of(network, now)) is None:
                return AdmissionResult.NETWORK_LIMIT_REACHED, []
            evicted = [evictable]
        elif len(self.network_name_by_connection) >= self.limits.max_connections:
            evicted = self._select_evicted(now)
            if not evicted:
                return AdmissionResult.LIMIT_REACHED, []
        for evictable in evicted:
            self.remove(evictable)
        if network_name not in self.network_by_name:
            self.network_by_name[network_name] = _Network(limit)
        self.network_name_by_connection[connection] = network_name
        self.network_by_name[network_name].new_since_by_connection[connection] = now
        self._resize(network_name, 1)
        return AdmissionResult.ADMITTED, evicted

    def on_request(self, connection: K) -> None:
        """Note that a connection is busy from now on."""
        if (network := self._network_of(connection)) is not None:
            network.new_since_by_connection.pop(connection, None)
            network.idle_since_by_connection.pop(connection, None)

    def on_idle(self, connection: K, now: int) -> None:
        """Note that a connection is owed nothing from now on."""
        if (
            network := self._network_of(connection)
        ) is not None and connection not in network.new_since_by_connection:
            network.idle_since_by_connection[connection] = now
            network.idle_since_by_connection.move_to_end(connection)

    def remove(self, connection: K) -> None:
        """Remove a closed connection; one that is not in the registry is ignored."""
        if (network := self._network_of(connection)) is not None:
            network.new_since_by_connection.pop(connection, None)
            network.idle_since_by_connection.pop(connection, None)
            self._resize(self.network_name_by_connection.pop(connection), -1)

    def idle_deadline(self, connection: K) -> int | None:
        """Return when an idle connection reaches `max_idle_time`; None if it is busy, new or has no limit."""
        network = self._network_of(connection)
        since = network.idle_since_by_connection.get(connection) if network is not None else None
        return None if since is None or not self.limits.max_idle_time else since + self.limits.max_idle_time

    # Connections to close

    def count_closable(self) -> int:
        """Return how many connections are new or idle, so that they can be closed now or soon."""
        networks = self.network_by_name.values()
        return sum(len(n.new_since_by_connection) + len(n.idle_since_by_connection) for n in networks)

    def find_evictable(self, now: int) -> K | None:
        """Return the connection that would be closed now for a new one, or None if none can be."""
        names = [
            name
            for size in sorted(self.network_names_by_size, reverse=True)
            for name in self.network_names_by_size[size]
        ]
        for name in names:
            network = self.network_by_name.get(name)  # None if its connections were closed by their clients
            if network is not None and (evictable := self._find_evictable_of(network, now)) is not None:
                return evictable
        return None

    def _find_evictable_of(self, network: _Network[K], now: int) -> K | None:
        """Return the first connection of a network that can be closed; they may change during the search."""
        latest_overdue = now - self.limits.first_request_grace
        overdue = _list_until(network.new_since_by_connection, latest_overdue)
        idle = _list_until(network.idle_since_by_connection, now - self.limits.min_idle_time)
        for connection in overdue + idle:
            if self._is_evictable(connection, True):
                return connection
        since_by_connection = {c: network.idle_since_by_connection.get(c, now) for c in idle}
        since_by_connection |= network.new_since_by_connection
        latest_new = now - self.limits.min_new_time
        oldest_first = sorted(since_by_connection, key=lambda connection: since_by_connection[connection])
        candidates = takewhile(lambda connection: since_by_connection[connection] <= latest_new, oldest_first)
        return next((c for c in candidates if self._is_evictable(c, False)), None)

    def _select_evicted(self, now: int) -> list[K]:
        """Return the connections to close; all but the first have been idle for `min_idle_time`."""
        first = self.find_evictable(now)
        if first is None:
            return []
        evicted, network = [first], self._network_of(first)
        if network is None:  # its client has closed it: there is room
            return evicted
        for connection in _list_until(network.idle_since_by_connection, now - self.limits.min_idle_time):
            if len(evicted) >= self.limits.max_closed_at_once:
                break
            if connection != first and self._is_evictable(connection, True):
                evicted.append(connection)
        return evicted

    def _network_of(self, connection: K) -> _Network[K] | None:
        return (
            self.network_by_name.get(self.network_name_by_connection[connection])
            if connection in self.network_name_by_connection
            else None
        )

    def _resize(self, name: Hashable, change: int) -> None:
        network = self.network_by_name[name]
        if network.size:
            names = self.network_names_by_size[network.size]
            del names[name]
            if not names:
                del self.network_names_by_size[network.size]
        network.size += change
        if network.size:
            self.network_names_by_size.setdefault(network.size, OrderedDict())[name] = None
        else:
            del self.network_by_name[name]
