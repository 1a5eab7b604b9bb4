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


class Node(Protocol):
    """What is read of a machine as the module has it."""

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
    """What is read of the module."""

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

    def cold(self, node: Any) -> tuple[float, float]: ...

    def crowded(self, node: Any, req: Any) -> bool: ...

    def full(self, req: Any) -> bool: ...

    def rank(self, nodes: Any, key: int) -> Any: ...


Before = tuple[int, int]  # machine and source (-1: none) of the request's attempt before


def order(
    nodes: Iterable[Node], key: int, by_size: bool, paced: bool, how: Arithmetic = STANDARD_ARITHMETIC
) -> list[int]:
    """Machines by the rule's hash; with `paced` a slow one has a smaller part, as the module gives it."""
    listed = list(nodes)
    weigh = by_size and all(n.machine.size > 0 for n in listed)
    scored = []
    for n in listed:
        part = (n.machine.size if weigh else 1.0) / (2 ** (n.step / 2) if paced else 1.0)
        scored.append((how.score(how.hash(key, n.machine.cache), part), n.machine.cache))
    return [number for _, number in sorted(scored)]


def why_not(router: Router, node: Node, avoided: Collection[int]) -> Reason | None:
    """Why the module may not use a machine now; None where it may."""
    if node.machine.state is not EndpointState.READY:
        return Reason.OFF
    if node.machine.cache in avoided:
        return Reason.AVOIDED
    if router.now < node.leaving:
        return Reason.LEAVING
    if node.suspect and router.now < node.trial_at:
        return Reason.ASIDE
    if router.cold(node)[1] < math.inf and node.paid == router.now and node.credit < 0:
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
    req, nodes = router.requests.get(event.request), router.nodes
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
        self.avoided = frozenset(n.machine.cache for n in req.avoid)
        s, mixed = router.s, how.hash
        self.origins: list[int] = [n.machine.cache for n in router.origins]
        key, obj, sized = mixed(event.object, event.part), mixed(event.object), s.sizes_compare
        caches = [order(router.edges, key, sized, paced, how) for paced in (False, True)]
        parents = [order(router.parents, obj, sized, paced, how) for paced in (False, True)]
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
        made = self.router.nodes[node].out.get((self.event.request, self.req.sent - 1))
        if made is not None and made.at == self.router.now:
            self.booked, self.work = frozenset((node, source)) - {-1}, made.work
        return node if source < 0 and not self.never_kept else source

    def why_not(self, number: int) -> Reason | None:
        node, now = self.router.nodes[number], self.router.now
        reason = why_not(self.router, node, self.avoided)
        if number in self.booked and reason is Reason.ASIDE and node.trial_at == now + node.wait:
            reason = None  # this is its trial
        if number in self.booked and reason is Reason.COLD and node.credit + self.work >= 0:
            reason = None  # it had the budget
        return reason

    def usable(self, *numbers: int) -> bool:
        """Of machines that were chosen; a cold one's budget must have been looked at in this very turn."""
        return not any(self.why_not(n) or self._unlooked(n) for n in numbers if n >= 0)

    def _unlooked(self, number: int) -> bool:
        node = self.router.nodes[number]
        return self.router.cold(node)[1] < math.inf and node.paid != self.router.now

    def straight(self, node: int, source: int) -> Reason:
        first = next(n for n in self.origins if self.why_not(n) is None)
        return Reason.RULE if node == first and source < 0 else BREACH

    def where(self, node: int, source: int) -> Reason:
        if node not in self.caches[0]:
            left = [self.why_not(n) for n in self.caches[0]]
            at = Reason.NONE_USABLE if all(left) and self.router.s.direct and node == source else BREACH
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
        nodes, paced = self.router.nodes, self.caches[1]
        good = [n for n in paced if self.why_not(n) is None][:2]
        if chosen in good[1:]:
            first = nodes[good[0]]
            hot = list(first.recent).count(self.event.object) > HOT_SHARE * HOT_OF
            if hot and len(nodes[chosen].out) - (chosen in self.booked) < len(first.out):
                return Reason.WIDENED
        if chosen in paced[1:2] and self.router.crowded(nodes[paced[0]], self.req):
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
        if all(router.crowded(router.nodes[n], self.req) for n in two):
            return Reason.CROWDED
        return BREACH
