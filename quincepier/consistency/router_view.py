"""What the comparison reads of the policy's router: the one place that knows its attributes.

Nothing here changes the router's state. Times are those of the router's clock, in nanoseconds.
"""

from __future__ import annotations

import math
from collections.abc import Iterator, Sequence
from dataclasses import dataclass
from typing import Any, Protocol

from quincepier import interface as io
from quincepier.interface import EndpointState


class RouterNode(Protocol):
    """The router's record of an endpoint."""

    machine: io.Endpoint
    suspect: bool
    trial_at: int
    wait: int
    leaving: int
    credit: float
    paid: int
    step: int
    recent: Any
    out: Any


class Router(Protocol):
    """The router's state, as far as it is read."""

    s: io.Settings
    now: int
    nodes: Any
    edges: Any
    parents: Any
    origins: Any
    requests: Any
    ranks: Any
    fills: int
    bound: int

    def cold(self, node: Any) -> tuple[float, float]:
        """Share of its size that a node surely does, and the load multiple it stands; infinite once warm."""

    def crowded(self, node: Any, req: Any) -> bool:
        """Whether one more request of that class would be late at a node."""

    def full(self, req: Any) -> bool:
        """Whether no origin fetch may begin for a request."""

    def rank(self, nodes: Any, key: int) -> Any:
        """Nodes in order for a key."""


def node_number(node: RouterNode) -> int:
    """The number of an endpoint that the router names by its own record."""
    return node.machine.cache


class EndpointView:
    """An endpoint, as the router has it now."""

    def __init__(self, router: Router, node: RouterNode) -> None:
        self._router = router
        self._node = node

    @property
    def number(self) -> int:
        """The endpoint's number."""
        return self._node.machine.cache

    @property
    def size(self) -> float:
        """Its size in the endpoint list; 0 where the list has none."""
        return self._node.machine.size

    @property
    def latency_divisor(self) -> float:
        """By what the router divides its weight, as it is slower than its like; 1 for a quick one."""
        divisor: float = 2 ** (self._node.step / 2)
        return divisor

    @property
    def is_ready(self) -> bool:
        """Whether the endpoint list has it as ready."""
        return self._node.machine.state is EndpointState.READY

    @property
    def is_shutting_down(self) -> bool:
        """Whether an earlier start of this front heard that it leaves, and that still holds."""
        return self._router.now < self._node.leaving

    @property
    def is_ejected(self) -> bool:
        """Whether outlier detection has it ejected, and its next trial is not due."""
        return self._node.suspect and self._router.now < self._node.trial_at

    @property
    def is_on_trial(self) -> bool:
        """Whether its trial was begun in this turn of the router."""
        return self._node.trial_at == self._router.now + self._node.wait

    @property
    def is_warming_up(self) -> bool:
        """Whether it started lately and so has a warm-up budget."""
        _, load_multiple = self._router.cold(self._node)
        return load_multiple < math.inf

    @property
    def is_budget_checked(self) -> bool:
        """Whether the router checked its warm-up budget in this turn."""
        return self._node.paid == self._router.now

    @property
    def budget(self) -> float:
        """What is left of its warm-up budget; below 0: it may not be used."""
        return self._node.credit

    @property
    def requests_in_flight(self) -> int:
        """Attempts that are open there."""
        return len(self._node.out)

    def count_recent(self, object_hash: int) -> int:
        """How many of its last requests were for an object."""
        return list(self._node.recent).count(object_hash)

    def work_of_new_attempt(self, request: RequestView) -> float | None:
        """Work of the request's last attempt there if it was begun in this turn; else None."""
        attempt = self._node.out.get((request.id, request.attempts - 1))
        if attempt is None or attempt.at != self._router.now:
            return None
        work: float = attempt.work
        return work

    def is_overloaded(self, request: RequestView) -> bool:
        """Whether one more request of that class would be late there."""
        return self._router.crowded(self._node, request.record)


@dataclass(slots=True, frozen=True)
class RequestView:
    """A request, as the router has it now; `record` is the router's own."""

    record: Any
    id: int
    attempts: int
    tier: int
    avoided: frozenset[int]
    home: io.HomeShard | None


@dataclass(slots=True, frozen=True)
class CachedRanking:
    """An order of endpoints that the router holds for a key; of one home shard or of all."""

    key_hash: int
    is_of_home_shard: bool
    endpoints: Sequence[int]


class RouterView:
    """Reads one router."""

    def __init__(self, router: Router) -> None:
        self._router = router

    @property
    def settings(self) -> io.Settings:
        """The router's settings."""
        return self._router.s

    @property
    def caches(self) -> list[EndpointView]:
        """The caches of the front's zone."""
        return self._views(self._router.edges)

    @property
    def parents(self) -> list[EndpointView]:
        """The parents of all zones."""
        return self._views(self._router.parents)

    @property
    def origins(self) -> list[EndpointView]:
        """The origins, in the order in which they are tried."""
        return self._views(self._router.origins)

    @property
    def fetches_in_flight(self) -> int:
        """Origin fetches in flight."""
        return self._router.fills

    @property
    def fetch_limit(self) -> int:
        """The concurrency limit of origin fetches."""
        return self._router.bound

    def has_endpoint(self, number: int) -> bool:
        """Whether the router knows an endpoint."""
        return number in self._router.nodes

    def endpoint(self, number: int) -> EndpointView:
        """An endpoint by its number."""
        return EndpointView(self._router, self._router.nodes[number])

    def find_request(self, request_id: int) -> RequestView | None:
        """An open request by its id."""
        record = self._router.requests.get(request_id)
        if record is None:
            return None
        avoided = frozenset(node.machine.cache for node in record.avoid)
        return RequestView(record, request_id, record.sent, record.tier, avoided, record.home)

    def is_at_fetch_limit(self, request: RequestView) -> bool:
        """Whether no origin fetch may begin for a request, by the limit or the zone's link."""
        return self._router.full(request.record)

    def rank_caches(self, key_hash: int) -> Sequence[int]:
        """The router's own order of its caches for a key."""
        return [node.machine.cache for node in self._router.rank(self._router.edges, key_hash)]

    def rank_parents(self, key_hash: int) -> Sequence[int]:
        """The router's own order of the parents for a key."""
        return [node.machine.cache for node in self._router.rank(self._router.parents, key_hash)]

    def cached_rankings(self, limit: int) -> Iterator[CachedRanking]:
        """The last rankings that the router holds, `limit` at most."""
        for key, ranked in list(self._router.ranks.items())[-limit:]:
            is_of_home_shard = not isinstance(key, int)
            key_hash = key[0] if is_of_home_shard else key
            yield CachedRanking(key_hash, is_of_home_shard, [node.machine.cache for node in ranked])

    def _views(self, nodes: Any) -> list[EndpointView]:
        return [EndpointView(self._router, node) for node in nodes]
