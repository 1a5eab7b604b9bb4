"""Why a real decision went where it went: by the rule, or by the front's own reason; else a breach.

It reads the module's state as it is when an attempt is made and changes nothing of it. Each machine that the
rule has before the chosen one needs a reason of its own. Pure.
"""

from __future__ import annotations

import math
from collections.abc import Collection, Iterable, Sequence
from enum import Enum
from typing import Any, Protocol

import msgspec

from quincepier import interface as io
from quincepier.consistency.arithmetic import STANDARD_ARITHMETIC, Arithmetic
from quincepier.interface import EndpointState
from quincepier.records import Upstream

# As in the design; the module has its own, so that one that was changed there alone shows as breaches
HOT_SHARE, HOT_OF = 0.25, 32  # widening
GATE, SPARE = 0.85, 0.5  # parts of the bound: from which the lowest tier is shed, that a second copy needs
LOWEST = 2  # tier


class Reason(Enum):
    """Why an attempt is not where the rule alone would have it; of several the first met."""

    RULE = "as the rule has it"
    OFF = "leaving"  # listed as draining, by the list or by an order
    LEAVING = "leaving, as an earlier start heard"
    AVOIDED = "avoided"  # it failed this request before
    ASIDE = "set aside"
    COLD = "cold"
    WIDENED = "widened"  # of the first two for a hot object the idler
    PACE = "pace"  # slower than its like, so it has a smaller part of the keys
    CROWDED = "crowded"
    BOUND = "bound"  # no fill now: asked for what it holds
    HELD = "held"  # a fill that its source could not give as a copy, asked for again at the same machines
    NONE_USABLE = "no cache usable"  # straight to the source
    BREACH = "a breach"


BREACH = Reason.BREACH


class Router(Protocol):
    """What is read of the module."""

    placement: Any
    slow_start: Any
    requests: Any
    fills: int
    bound: int

    @property
    def now(self) -> int: ...
    @property
    def settings(self) -> io.Settings: ...

    def full(self, req: Any) -> bool: ...


Before = tuple[int, int]  # machine and source (-1: none) of the request's attempt before


def order(
    nodes: Iterable[Upstream], key: int, by_size: bool, paced: bool, how: Arithmetic = STANDARD_ARITHMETIC
) -> list[int]:
    """Machines by the rule's hash; with `paced` a slow one has a smaller part, as the module gives it."""
    listed = list(nodes)
    weigh = by_size and all(n.endpoint.size > 0 for n in listed)
    scored = []
    for n in listed:
        part = (n.endpoint.size if weigh else 1.0) / (2 ** (n.weight_step / 2) if paced else 1.0)
        scored.append((how.score(how.hash(key, n.endpoint.cache), part), n.endpoint.cache))
    return [number for _, number in sorted(scored)]


def why_not(router: Router, node: Upstream, avoided: Collection[int]) -> Reason | None:
    """Why the module may not use a machine now; None where it may."""
    if node.endpoint.state is not EndpointState.READY:
        return Reason.OFF
    if node.endpoint.cache in avoided:
        return Reason.AVOIDED
    if router.now < node.draining_until:
        return Reason.LEAVING
    if node.is_ejected and router.now < node.trial_at:
        return Reason.ASIDE
    if (
        router.slow_start.warmth(node).multiple < math.inf
        and node.credited_at == router.now
        and node.credit < 0
    ):
        return Reason.COLD  # its credit was looked at in this turn; here it is not touched
    return None


class DecisionRecord(msgspec.Struct, frozen=True):
    """Of one attempt: where the rule alone has the key (-1: nowhere), where it went, and why."""

    reason: Reason
    request: int
    node: int
    source: int
    rule: int = -1
    rule_source: int = -1


def explain(
    router: Router, event: io.RequestReceived, node: int, source: int, before: Before | None = None,
    home: io.HomeShard | None = None, how: Arithmetic = STANDARD_ARITHMETIC,
) -> Reason:  # fmt: skip
    """Of an attempt at machine `node` with `source` (-1: none), as it is made, before or after it is booked.

    `before`: the same request's attempt before this one. `home`: what `Router.homes` gives for the event.
    BREACH where neither the rule nor a reason of this front's own leads there.
    """
    return decision_record(router, event, node, source, before, home, how).reason


def decision_record(
    router: Router, event: io.RequestReceived, node: int, source: int, before: Before | None = None,
    home: io.HomeShard | None = None, how: Arithmetic = STANDARD_ARITHMETIC,
) -> DecisionRecord:  # fmt: skip
    """The same with what the rule has."""
    req, nodes = router.requests.get(event.request), router.placement.table.by_id
    if req is None or node not in nodes or (source >= 0 and source not in nodes):
        return DecisionRecord(BREACH, event.request, node, source)  # nobody asked, or at what is not listed
    trial = DecisionReplay(router, req, event, home, how)
    source = trial.book(node, source)
    if trial.never_kept:
        here = trial.straight(node, source)
    elif before == (node, source) and source >= 0 and trial.usable(node, source):
        here = trial.where(node, source)
        here = Reason.HELD if here is BREACH else here
    else:
        here = trial.where(node, source) if trial.usable(node, source) else BREACH
    rule, by = next(iter(trial.caches[0]), -1), next(iter(trial.sources[0]), -1)
    return DecisionRecord(here, event.request, node, source, rule, by)


class DecisionReplay:
    """One request before the rules, by the module's state now."""

    def __init__(
        self, router: Router, req: Any, event: io.RequestReceived, home: io.HomeShard | None, how: Arithmetic
    ) -> None:
        self.router, self.req, self.event = router, req, event
        self.booked, self.work = frozenset[int](), 0.0
        self.avoided = frozenset(n.endpoint.cache for n in req.excluded)
        s, mixed = router.settings, how.hash
        self.origins: list[int] = [n.endpoint.cache for n in router.placement.table.origins]
        key, obj, sized = mixed(event.object, event.part), mixed(event.object), s.sizes_compare
        caches = [order(router.placement.table.caches, key, sized, paced, how) for paced in (False, True)]
        parents = [order(router.placement.table.parents, obj, sized, paced, how) for paced in (False, True)]
        if home is not None:  # of all listed the home's, each by the draw that it always has
            caches = [[n for n in ranked if n in home.caches] for ranked in caches]
            parents = [[n for n in ranked if n in home.parents] for ranked in parents]
        self.caches, self.sources = caches, [ranked + self.origins for ranked in parents]
        straight = s.classes[event.cls].never_kept and s.direct
        self.never_kept = straight and any(self.why_not(n) is None for n in self.origins)

    def book(self, node: int, source: int) -> int:
        """The attempt may be booked already: then its own marks at its machines are no reason against them.
        The source as it was: what is told without one is asked of the machine itself.
        """
        made = self.router.placement.table.by_id[node].in_flight.get(
            (self.event.request, self.req.attempts_sent - 1)
        )
        if made is not None and made.sent_at == self.router.now:
            self.booked, self.work = frozenset((node, source)) - {-1}, made.booked_work
        return node if source < 0 and not self.never_kept else source

    def why_not(self, number: int) -> Reason | None:
        node, now = self.router.placement.table.by_id[number], self.router.now
        reason = why_not(self.router, node, self.avoided)
        if number in self.booked and reason is Reason.ASIDE and node.trial_at == now + node.ejection_time:
            reason = None  # this is its trial
        if number in self.booked and reason is Reason.COLD and node.credit + self.work >= 0:
            reason = None  # it had the budget
        return reason

    def usable(self, *numbers: int) -> bool:
        """Of machines that were chosen; a cold one's budget must have been looked at in this very turn."""
        return not any(self.why_not(n) or self._unlooked(n) for n in numbers if n >= 0)

    def _unlooked(self, number: int) -> bool:
        node = self.router.placement.table.by_id[number]
        is_cold = bool(self.router.slow_start.warmth(node).multiple < math.inf)
        return is_cold and node.credited_at != self.router.now

    def straight(self, node: int, source: int) -> Reason:
        first = next(n for n in self.origins if self.why_not(n) is None)
        return Reason.RULE if node == first and source < 0 else BREACH

    def where(self, node: int, source: int) -> Reason:
        if node not in self.caches[0]:
            left = [self.why_not(n) for n in self.caches[0]]
            at = (
                Reason.NONE_USABLE if all(left) and self.router.settings.direct and node == source else BREACH
            )
        else:
            at = self._placed(node)
        if at is BREACH:
            return BREACH
        by = (
            self._look(node)
            if source == node and node in self.caches[0]
            else self._walk(self.sources, source)
        )
        return by if by is BREACH or at is Reason.RULE else at

    def _walk(self, orders: Sequence[list[int]], chosen: int) -> Reason:
        """It must be the first usable by the module's own order; what the rule has first needs a reason."""
        plain, paced = orders
        if chosen != next((n for n in paced if self.why_not(n) is None), None):
            return BREACH
        first = plain[0]
        if first == chosen:
            return Reason.RULE
        return self.why_not(first) or Reason.PACE  # usable, and yet later by the module's order: its step

    def _placed(self, chosen: int) -> Reason:
        walked = self._walk(self.caches, chosen)
        if walked is not BREACH:
            return walked
        nodes, paced = self.router.placement.table.by_id, self.caches[1]
        good = [n for n in paced if self.why_not(n) is None][:2]
        if chosen in good[1:]:
            first = nodes[good[0]]
            hot = list(first.recent_objects).count(self.event.object) > HOT_SHARE * HOT_OF
            if hot and len(nodes[chosen].in_flight) - (chosen in self.booked) < len(first.in_flight):
                return Reason.WIDENED
        if chosen in paced[1:2] and self.router.placement.is_crowded(nodes[paced[0]], self.req):
            return Reason.CROWDED  # after a hold the second by hash
        return BREACH

    def _look(self, node: int) -> Reason:
        """A cache as its own source: no source may be asked, or no fill may begin now."""
        router = self.router
        left = [self.why_not(n) for n in self.sources[0]]
        if all(left):
            return left[0] or Reason.RULE
        gated = self.req.tier == LOWEST and router.fills >= GATE * router.bound
        if gated or router.fills >= SPARE * router.bound or router.full(self.req):
            return Reason.BOUND
        two = [n for n in self.caches[1][:2] if self.why_not(n) is None]
        if all(router.placement.is_crowded(router.placement.table.by_id[n], self.req) for n in two):
            return Reason.CROWDED
        return BREACH
