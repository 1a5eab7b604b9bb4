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


class Verdict(Enum):
    STAYS = "stays"
    FULL = "no room"  # nobody can go for it
    CAPPED = "its network is at its cap"


@dataclass(slots=True, frozen=True)
class Caps:
    """Counts and nanoseconds. The defaults are those without an operators' file."""

    most: int  # connections in all
    each: int = 0  # of one network; 0: no cap of its own
    new_for: int = 500_000_000  # in which one that has not asked is the last to go
    rest_least: int = 0  # who has rested for less is not sent away for a new one: it would come back at once
    rest_most: int = 0  # who has rested for longer goes; 0: as long as it likes
    slack: int = 1  # so many go at once when there is no room, so that the next few find some


class _Network(Generic[K]):
    __slots__ = ("cap", "new", "resting", "size")

    def __init__(self, cap: int) -> None:
        self.cap, self.size = cap, 0
        self.new: OrderedDict[K, int] = OrderedDict()  # since when
        self.resting: OrderedDict[K, int] = OrderedDict()


class ConnectionRegistry(Generic[K]):
    """All changes take constant time, apart from finding who goes, which looks at one network."""

    def __init__(self, caps: Caps) -> None:
        self.caps = caps
        self.networks: dict[Hashable, _Network[K]] = {}
        self.of: dict[K, Hashable] = {}
        self.by_size: dict[int, OrderedDict[Hashable, None]] = {}  # networks by how many they hold
        self.largest = 0

    def __len__(self) -> int:
        return len(self.of)

    # What happens

    def came(self, who: K, network: Hashable, now: int, cap: int = 0) -> tuple[Verdict, list[K]]:
        """Whether a new connection stays, and who goes for it. `cap` goes before that of all networks."""
        found = self.networks.get(network)
        most = cap or self.caps.each
        gone: list[K] = []
        if most and found is not None and found.size >= most:
            if (one := self._first(found, now)) is None:
                return Verdict.CAPPED, []
            gone = [one]
        elif len(self.of) >= self.caps.most:
            gone = self._room(now)
            if not gone:
                return Verdict.FULL, []
        for one in gone:
            self.left(one)
        if network not in self.networks:
            self.networks[network] = _Network(most)
        self.of[who] = network
        self.networks[network].new[who] = now
        self._resize(network, 1)
        return Verdict.STAYS, gone

    def asked(self, who: K) -> None:
        """It is busy from now on."""
        if (network := self._network(who)) is not None:
            network.new.pop(who, None)
            network.resting.pop(who, None)

    def rests(self, who: K, now: int) -> None:
        """It is owed nothing from now on."""
        if (network := self._network(who)) is not None and who not in network.new:
            network.resting[who] = now

    def left(self, who: K) -> None:
        if (network := self._network(who)) is not None:
            network.new.pop(who, None)
            network.resting.pop(who, None)
            self._resize(self.of.pop(who), -1)

    def rests_until(self, who: K) -> int | None:
        """When it will have rested for too long; None where it is not at rest, or may rest for ever."""
        network = self._network(who)
        since = network.resting.get(who) if network is not None else None
        return None if since is None or not self.caps.rest_most else since + self.caps.rest_most

    # Who goes

    def first(self, now: int) -> K | None:
        """Who would go now for a new connection; None where nobody can."""
        for size in sorted(self.by_size, reverse=True):
            for name in self.by_size[size]:
                if (one := self._first(self.networks[name], now)) is not None:
                    return one
        return None

    def _first(self, network: _Network[K], now: int) -> K | None:
        new = next(iter(network.new.items()), None)
        if new is not None and new[1] <= now - self.caps.new_for:
            return new[0]
        rested = next(iter(network.resting.items()), None)
        if rested is not None and rested[1] <= now - self.caps.rest_least:
            return rested[0]
        return new[0] if new is not None else None

    def _room(self, now: int) -> list[K]:
        """Those who go, the first of them before all; further ones only of those at rest for long enough."""
        one = self.first(now)
        if one is None:
            return []
        gone, network = [one], self.networks[self.of[one]]
        for other, since in network.resting.items():
            if len(gone) >= self.caps.slack or since > now - self.caps.rest_least:
                break
            if other != one:
                gone.append(other)
        return gone

    def _network(self, who: K) -> _Network[K] | None:
        return self.networks.get(self.of[who]) if who in self.of else None

    def _resize(self, name: Hashable, by: int) -> None:
        network = self.networks[name]
        if network.size:
            peers = self.by_size[network.size]
            del peers[name]
            if not peers:
                del self.by_size[network.size]
        network.size += by
        if network.size:
            self.by_size.setdefault(network.size, OrderedDict())[name] = None
        else:
            del self.networks[name]
