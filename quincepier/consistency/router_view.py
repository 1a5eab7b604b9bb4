"""Read access to the policy's router; no other module of this package uses the router's attributes.

The views never change the router's state. Times are those of the router's clock, in nanoseconds.
"""

from __future__ import annotations

import math
from collections.abc import Iterator, Sequence
from dataclasses import dataclass
from typing import Any

from quincepier import interface as io
from quincepier.interface import EndpointState
from quincepier.policy import Router
from quincepier.records import Upstream

RouterNode = Upstream  # the router's record of an endpoint


def node_number(node: RouterNode) -> int:
    """Return the number of the endpoint of a router's record."""
    return node.endpoint.number


class EndpointView:
    """The current state of an endpoint in the router."""

    def __init__(self, router: Router, node: RouterNode) -> None:
        self._router = router
        self._node = node

    @property
    def number(self) -> int:
        """The endpoint's number."""
        return self._node.endpoint.number

    @property
    def size(self) -> float:
        """Its size in the endpoint list; 0 if the list has no size."""
        return self._node.endpoint.size

    @property
    def latency_divisor(self) -> float:
        """Divisor of its weight: over 1 if the endpoint is slower than others of its kind, else 1."""
        divisor: float = 2 ** (self._node.weight_step / 2)
        return divisor

    @property
    def is_ready(self) -> bool:
        """Whether it is ready by the endpoint list."""
        return self._node.endpoint.state is EndpointState.READY

    @property
    def is_shutting_down(self) -> bool:
        """Whether a report of its shutdown, which an earlier start of this front received, is still valid."""
        return self._router.now < self._node.draining_until

    @property
    def is_ejected(self) -> bool:
        """Whether outlier detection has ejected it and its next trial is not due."""
        return self._node.is_ejected and self._router.now < self._node.trial_at

    @property
    def is_on_trial(self) -> bool:
        """Whether its trial started in this turn of the router."""
        return self._node.trial_at == self._router.now + self._node.trial_interval

    @property
    def is_warming_up(self) -> bool:
        """Whether it started recently and has a warm-up budget."""
        return self._router.slow_start.warm_up_state(self._node).overload_multiple < math.inf

    @property
    def is_budget_checked(self) -> bool:
        """Whether the router checked its warm-up budget in this turn."""
        return self._node.credited_at == self._router.now

    @property
    def budget(self) -> float:
        """The rest of its warm-up budget; below 0 it may not be used."""
        return self._node.credit

    @property
    def requests_in_flight(self) -> int:
        """Number of its open attempts."""
        return len(self._node.in_flight)

    def count_recent(self, object_hash: int) -> int:
        """Return how many of its recent requests were for an object."""
        return list(self._node.recent_objects).count(object_hash)

    def work_of_new_attempt(self, request: RequestView) -> float | None:
        """Return the work of the request's last attempt if it was made here in this turn, else None."""
        attempt = self._node.in_flight.get((request.id, request.attempts - 1))
        if attempt is None or attempt.sent_at != self._router.now:
            return None
        return attempt.charged_work

    def is_overloaded(self, request: RequestView) -> bool:
        """Whether it is too crowded to serve one more such request in time."""
        return self._router.placement.is_saturated(self._node, request.record)


@dataclass(slots=True, frozen=True)
class RequestView:
    """The current state of a request in the router; `record` is the router's own record."""

    record: Any
    id: int
    attempts: int
    tier: int
    avoided: frozenset[int]
    home: io.HomeShard | None


@dataclass(slots=True, frozen=True)
class CachedRanking:
    """A ranking of endpoints cached by the router for a key, either of one home shard or of all endpoints."""

    key_hash: int
    is_of_home_shard: bool
    endpoints: Sequence[int]


class RouterView:
    """Read access to one router."""

    def __init__(self, router: Router) -> None:
        self._router = router

    @property
    def settings(self) -> io.Settings:
        """The router's settings."""
        return self._router.settings

    @property
    def caches(self) -> list[EndpointView]:
        """The caches of the front's zone."""
        return self._views(self._router.placement.table.caches)

    @property
    def parents(self) -> list[EndpointView]:
        """The parents of all zones."""
        return self._views(self._router.placement.table.parents)

    @property
    def origins(self) -> list[EndpointView]:
        """The origins, in the order in which they are tried."""
        return self._views(self._router.placement.table.origins)

    @property
    def fetches_in_flight(self) -> int:
        """Number of origin fetches in flight."""
        return self._router.fetch_limit.in_flight

    @property
    def fetch_limit(self) -> int:
        """The concurrency limit of origin fetches."""
        return self._router.fetch_limit.limit

    def has_endpoint(self, number: int) -> bool:
        """Whether the router knows an endpoint."""
        return number in self._router.placement.table.by_id

    def endpoint(self, number: int) -> EndpointView:
        """Return the view of an endpoint by its number."""
        return EndpointView(self._router, self._router.placement.table.by_id[number])

    def find_request(self, request_id: int) -> RequestView | None:
        """Return an open request by its id, or None."""
        record = self._router.requests.get(request_id)
        if record is None:
            return None
        avoided = frozenset(node.endpoint.number for node in record.excluded)
        return RequestView(record, request_id, record.attempts_sent, record.tier, avoided, record.home)

    def is_at_fetch_limit(self, request: RequestView) -> bool:
        """Whether the fetch limit or the zone's link forbids another origin fetch for a request."""
        return self._router.fetch_limit.is_blocked(request.record)

    def rank_caches(self, key_hash: int) -> Sequence[int]:
        """Return the router's own ranking of its caches for a key hash."""
        return [
            node.endpoint.number
            for node in self._router.placement.rank_uncached(self._router.placement.table.caches, key_hash)
        ]

    def rank_parents(self, key_hash: int) -> Sequence[int]:
        """Return the router's own ranking of the parents for a key hash."""
        return [
            node.endpoint.number
            for node in self._router.placement.rank_uncached(self._router.placement.table.parents, key_hash)
        ]

    def cached_rankings(self, limit: int) -> Iterator[CachedRanking]:
        """Yield the most recent cached rankings of the router, at most `limit`."""
        for key, ranked in list(self._router.placement.rankings.items())[-limit:]:
            key_hash = key if isinstance(key, int) else key[0]
            yield CachedRanking(key_hash, not isinstance(key, int), [node.endpoint.number for node in ranked])

    def _views(self, nodes: list[Upstream]) -> list[EndpointView]:
        return [EndpointView(self._router, node) for node in nodes]
