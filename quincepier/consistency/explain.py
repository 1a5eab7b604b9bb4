"""Explanation of an attempt's target: by the rules, by a reason local to the front, or unexplained.

The explanation uses the router's state at the time of the attempt. If the rules rank another endpoint before
the chosen one, that endpoint must have a reason for which it was not chosen. Nothing here changes state.
"""

from __future__ import annotations

from collections.abc import Collection, Iterable, Sequence
from dataclasses import dataclass
from enum import Enum

from quincepier import interface as io
from quincepier.consistency.arithmetic import STANDARD_ARITHMETIC, Arithmetic
from quincepier.consistency.router_view import EndpointView, RequestView, RouterView

# These repeat constants of the policy: if one is changed in the policy alone, decisions become unexplained.
HOT_OBJECT_SHARE = 0.25  # share of an endpoint's recent requests above which an object is hot
RECENT_REQUESTS = 32
LOAD_SHEDDING_SHARE = 0.85  # share of the fetch limit at and above which the lowest tier is shed
SECOND_COPY_SHARE = 0.5  # share of the fetch limit below which a second copy may be fetched
LOWEST_TIER = 2
# Endpoints among which a hot object is spread, and which are tried when the first one is overloaded.
CANDIDATE_ENDPOINTS = 2


class Reason(Enum):
    """The reason for an attempt's target; of several reasons, the first one that is found."""

    RULE = "first by the rules"
    DRAINING = "draining"  # by the endpoint list or by a maintenance task
    SHUTTING_DOWN = "shutting down"  # reported to an earlier start of this front
    AVOIDED = "avoided"  # an earlier attempt of the request failed there
    EJECTED = "ejected"
    WARM_UP_BUDGET = "warm-up budget spent"
    HOT_OBJECT = "hot object"  # the less loaded of the first two
    LATENCY_WEIGHT = "latency weight"  # slower than others of its kind, so it has a smaller share of the keys
    OVERLOADED = "overloaded"
    FETCH_LIMIT = "fetch limit"  # the cache may serve only copies that it has
    FETCH_REPEATED = "fetch repeated"  # at the same endpoints, since the source could not supply a copy
    NO_CACHE_USABLE = "no cache usable"  # the attempt goes directly to the source
    UNEXPLAINED = "unexplained"


@dataclass(slots=True, frozen=True)
class AttemptTarget:
    """The endpoint of an attempt and the source from which it may fetch; None without a fetch."""

    endpoint: int
    source: int | None


@dataclass(slots=True, frozen=True)
class DecisionRecord:
    """An explained attempt, with the endpoint and source that come first by the rules alone."""

    reason: Reason
    request: int
    target: AttemptTarget
    first_by_rules: AttemptTarget | None = None


def explain_attempt(
    router: RouterView,
    event: io.RequestReceived,
    target: AttemptTarget,
    previous: AttemptTarget | None = None,
    arithmetic: Arithmetic = STANDARD_ARITHMETIC,
) -> DecisionRecord:
    """Explain an attempt at the time it is made, before or after the router has registered it.

    Args:
        router: The router that made the decision.
        event: The request.
        target: Target of the attempt.
        previous: Target of the previous attempt of the same request, if any.
        arithmetic: The arithmetic that the rules use.

    Returns:
        The record; its reason is `UNEXPLAINED` if neither the rules nor a local reason lead to the target.
    """
    request = router.find_request(event.request)
    if request is None or not _is_listed(router, target):
        return DecisionRecord(Reason.UNEXPLAINED, event.request, target)
    replay = DecisionReplay(router, request, event, arithmetic)
    reason = replay.explain(target, previous)
    return DecisionRecord(reason, event.request, target, replay.first_by_rules)


def _is_listed(router: RouterView, target: AttemptTarget) -> bool:
    has_source = target.source is None or router.has_endpoint(target.source)
    return router.has_endpoint(target.endpoint) and has_source


def rank_views(
    endpoints: Iterable[EndpointView],
    key_hash: int,
    by_size: bool,
    by_latency: bool,
    arithmetic: Arithmetic = STANDARD_ARITHMETIC,
) -> list[int]:
    """Return endpoint numbers by rendezvous hash; `by_latency` adds the router's latency weights."""
    listed = list(endpoints)
    is_weighted = by_size and all(endpoint.size > 0 for endpoint in listed)
    scored = []
    for endpoint in listed:
        weight = endpoint.size if is_weighted else 1.0
        if by_latency:
            weight /= endpoint.latency_divisor
        number = endpoint.number
        scored.append((arithmetic.score(arithmetic.hash(key_hash, number), weight), number))
    return [number for _, number in sorted(scored)]


@dataclass(slots=True, frozen=True)
class Rankings:
    """Ranked endpoint numbers: by the rules alone, and with the router's latency weights."""

    by_rules: Sequence[int]
    by_router: Sequence[int]


def _rank(
    endpoints: Sequence[EndpointView],
    key_hash: int,
    by_size: bool,
    arithmetic: Arithmetic,
    allowed: Collection[int] | None,
) -> Rankings:
    """Rank all endpoints, then select the allowed ones; `None` allows all.

    The order of two endpoints therefore does not depend on the home shard.
    """
    by_rules = rank_views(endpoints, key_hash, by_size, False, arithmetic)
    if any(endpoint.latency_divisor != 1 for endpoint in endpoints):
        by_router = rank_views(endpoints, key_hash, by_size, True, arithmetic)
    else:
        by_router = by_rules
    return Rankings(_select(by_rules, allowed), _select(by_router, allowed))


def _select(numbers: list[int], allowed: Collection[int] | None) -> list[int]:
    return numbers if allowed is None else [number for number in numbers if number in allowed]


class DecisionReplay:
    """The decision of one request, recomputed by the rules from the router's current state."""

    def __init__(
        self,
        router: RouterView,
        request: RequestView,
        event: io.RequestReceived,
        arithmetic: Arithmetic,
    ) -> None:
        self._router = router
        self._request = request
        self._event = event
        self._registered = frozenset[int]()  # endpoints of the attempt, if the router has registered it
        self._registered_work = 0.0
        self._origins = [endpoint.number for endpoint in router.origins]
        self._caches, self._sources = self._rank_endpoints(arithmetic)
        settings = router.settings
        bypasses = settings.classes[event.class_index].never_kept and settings.direct
        self._bypasses_caches = bypasses and any(self._exclusion(n) is None for n in self._origins)

    @property
    def first_by_rules(self) -> AttemptTarget | None:
        """The first cache and source by the rules alone; None if there is no cache."""
        endpoint = next(iter(self._caches.by_rules), None)
        source = next(iter(self._sources.by_rules), None)
        return None if endpoint is None else AttemptTarget(endpoint, source)

    def explain(self, target: AttemptTarget, previous: AttemptTarget | None) -> Reason:
        """Return the reason for an attempt's target; `previous` is the target of the attempt before."""
        self._note_registered(target)
        if self._bypasses_caches:
            return self._explain_bypass(target)
        endpoint = target.endpoint
        source = endpoint if target.source is None else target.source  # a cache is its own source
        if not (self._is_usable(endpoint) and self._is_usable(source)):
            return Reason.UNEXPLAINED
        reason = self._explain_placement(endpoint, source)
        if reason is Reason.UNEXPLAINED and previous == AttemptTarget(endpoint, source):
            return Reason.FETCH_REPEATED
        return reason

    def _rank_endpoints(self, arithmetic: Arithmetic) -> tuple[Rankings, Rankings]:
        """Return the rankings of caches and of sources."""
        event = self._event
        home = self._request.home
        by_size = self._router.settings.sizes_compare
        key_hash = arithmetic.hash(event.object, event.part)
        object_hash = arithmetic.hash(event.object)
        home_caches = None if home is None else home.caches
        home_parents = None if home is None else home.parents
        caches = _rank(self._router.caches, key_hash, by_size, arithmetic, home_caches)
        parents = _rank(self._router.parents, object_hash, by_size, arithmetic, home_parents)
        sources = Rankings(
            [*parents.by_rules, *self._origins],
            [*parents.by_router, *self._origins],
        )
        return caches, sources

    def _note_registered(self, target: AttemptTarget) -> None:
        """Check whether the router has registered the attempt.

        If so, the attempt's own effects on the state of its endpoints do not exclude them.
        """
        work = self._router.endpoint(target.endpoint).work_of_new_attempt(self._request)
        if work is not None:
            self._registered = frozenset(
                number for number in (target.endpoint, target.source) if number is not None
            )
            self._registered_work = work

    def _exclusion(self, number: int) -> Reason | None:
        """Return why the router may not use an endpoint now; None if it may."""
        endpoint = self._router.endpoint(number)
        if not endpoint.is_ready:
            return Reason.DRAINING
        if number in self._request.avoided:
            return Reason.AVOIDED
        if endpoint.is_shutting_down:
            return Reason.SHUTTING_DOWN
        if endpoint.is_ejected:
            is_own_trial = number in self._registered and endpoint.is_on_trial
            return None if is_own_trial else Reason.EJECTED
        if self._is_budget_spent(endpoint):
            return Reason.WARM_UP_BUDGET
        return None

    def _is_budget_spent(self, endpoint: EndpointView) -> bool:
        """Whether the router found the warm-up budget spent in this turn."""
        if not (endpoint.is_warming_up and endpoint.is_budget_checked and endpoint.budget < 0):
            return False
        own_work = self._registered_work if endpoint.number in self._registered else None
        return own_work is None or endpoint.budget + own_work < 0

    def _is_usable(self, number: int) -> bool:
        """Whether an endpoint may be used; its warm-up budget, if any, was checked in this turn."""
        endpoint = self._router.endpoint(number)
        is_unchecked = endpoint.is_warming_up and not endpoint.is_budget_checked
        return self._exclusion(number) is None and not is_unchecked

    def _first_usable(self, numbers: Sequence[int]) -> int | None:
        return next((number for number in numbers if self._exclusion(number) is None), None)

    def _explain_bypass(self, target: AttemptTarget) -> Reason:
        is_first = target.endpoint == self._first_usable(self._origins)
        return Reason.RULE if is_first and target.source is None else Reason.UNEXPLAINED

    def _explain_placement(self, endpoint: int, source: int) -> Reason:
        """Return the reason for the endpoint, or for the source if the rules chose the endpoint."""
        is_cache = endpoint in self._caches.by_rules
        cache_reason = (
            self._explain_cache(endpoint) if is_cache else self._explain_without_cache(endpoint, source)
        )
        if cache_reason is Reason.UNEXPLAINED:
            return Reason.UNEXPLAINED
        if is_cache and source == endpoint:
            source_reason = self._explain_no_fetch()
        else:
            source_reason = self._explain_order(self._sources, source)
        return (
            source_reason
            if source_reason is Reason.UNEXPLAINED or cache_reason is Reason.RULE
            else cache_reason
        )

    def _explain_without_cache(self, endpoint: int, source: int) -> Reason:
        """Explain an attempt directly at a source, which is correct only if no cache is usable."""
        has_usable = self._first_usable(self._caches.by_rules) is not None
        is_allowed = not has_usable and self._router.settings.direct and endpoint == source
        return Reason.NO_CACHE_USABLE if is_allowed else Reason.UNEXPLAINED

    def _explain_order(self, rankings: Rankings, chosen: int) -> Reason:
        """Explain a choice by ranking: it must be the router's first usable endpoint."""
        if chosen != self._first_usable(rankings.by_router):
            return Reason.UNEXPLAINED
        first = rankings.by_rules[0]
        if first == chosen:
            return Reason.RULE
        return self._exclusion(first) or Reason.LATENCY_WEIGHT

    def _explain_cache(self, chosen: int) -> Reason:
        order_reason = self._explain_order(self._caches, chosen)
        if order_reason is not Reason.UNEXPLAINED:
            return order_reason
        if self._is_spread_for_hot_object(chosen):
            return Reason.HOT_OBJECT
        ranked = self._caches.by_router
        is_second = chosen in ranked[1:CANDIDATE_ENDPOINTS]
        if is_second and self._router.endpoint(ranked[0]).is_overloaded(self._request):
            return Reason.OVERLOADED
        return Reason.UNEXPLAINED

    def _is_spread_for_hot_object(self, chosen: int) -> bool:
        """Whether the object is hot and the chosen second usable cache is less loaded than the first."""
        usable = [n for n in self._caches.by_router if self._exclusion(n) is None][:CANDIDATE_ENDPOINTS]
        if chosen not in usable[1:]:
            return False
        first = self._router.endpoint(usable[0])
        is_hot = first.count_recent(self._event.object) > HOT_OBJECT_SHARE * RECENT_REQUESTS
        own_attempts = 1 if chosen in self._registered else 0
        return (
            is_hot
            and self._router.endpoint(chosen).requests_in_flight - own_attempts < first.requests_in_flight
        )

    def _explain_no_fetch(self) -> Reason:
        """Explain an attempt without a fetch: no source is usable, or no fetch may start now."""
        exclusions = [self._exclusion(number) for number in self._sources.by_rules]
        if all(exclusions):
            return next(filter(None, exclusions), Reason.RULE)
        if self._is_fetch_withheld():
            return Reason.FETCH_LIMIT
        candidates = [n for n in self._caches.by_router[:CANDIDATE_ENDPOINTS] if self._exclusion(n) is None]
        if all(self._router.endpoint(n).is_overloaded(self._request) for n in candidates):
            return Reason.OVERLOADED
        return Reason.UNEXPLAINED

    def _is_fetch_withheld(self) -> bool:
        fetches = self._router.fetches_in_flight
        limit = self._router.fetch_limit
        is_shed = self._request.tier == LOWEST_TIER and fetches >= LOAD_SHEDDING_SHARE * limit
        return (
            is_shed or fetches >= SECOND_COPY_SHARE * limit or self._router.is_at_fetch_limit(self._request)
        )
