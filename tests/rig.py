"""Settings, endpoints and a router with a virtual clock, for the tests of the routing policy."""

from __future__ import annotations

from dataclasses import replace
from typing import Any

from quincepier import interface as io
from quincepier.interface import (
    AttemptOutcome,
    CacheStatus,
    DeduplicationScope,
    EndpointState,
    Idempotency,
    UpdateScope,
)
from quincepier.policy import Router

MS = 1_000_000
SECOND = 1000 * MS
CACHE_KIND, PARENT, ORIGIN = 0, 1, 2
PARENT_ZONE, HOME_ZONE = 0, 1
CACHES = (101, 102, 103)
PARENTS = (201, 202)
ORIGIN_ID = 301


def make_class(**changes: Any) -> io.RequestClass:
    base = io.RequestClass(
        effect=Idempotency.SAFE,
        group=DeduplicationScope.ALL,
        window=5 * SECOND,
        on_time=500 * MS,
        stretch=2.0,
        deadline=5 * SECOND,
        worth=1.0,
        stream=False,
        fresh=0,
        grace=0,
        never_kept=False,
    )
    return replace(base, **changes)


def make_settings(**changes: Any) -> io.Settings:
    base = io.Settings(
        zone=HOME_ZONE,
        fronts=2,
        fronts_by_zone=(0, 2),
        classes=(make_class(worth=2.0), make_class(on_time=250 * MS, fresh=12 * SECOND, grace=10 * SECOND)),
        parent_kind=PARENT,
        origin_kind=ORIGIN,
        direct=True,
        joins=True,
        siblings=False,
        reports=(),
        client_kb_per_s=4000.0,
        sizes_compare=True,
        purge_settles=6 * SECOND,
        cold_from=0.2,
        cold_multiple=2.5,
        cold_window=1500 * MS,
        cold_time=13 * SECOND,
        parent_cold_from=0.1,
        parent_cold_multiple=2.0,
        parent_cold_time=20 * SECOND,
        list_on_request=False,
        must_ask_in=10 * SECOND,
        cancel=True,
        second_copies=True,
        attempts=8,
        retry_after=True,
        max_retry_after=500 * MS,
        step=2 * MS,
    )
    return replace(base, **changes)


def machine(
    cache: int, kind: int = CACHE_KIND, up_since: int = 0, state: EndpointState = EndpointState.READY
) -> io.Endpoint:
    zone = HOME_ZONE if kind == CACHE_KIND else PARENT_ZONE
    return io.Endpoint(cache, kind, zone, cache, 30.0, up_since, state)


def fleet() -> tuple[io.Endpoint, ...]:
    edges = tuple(machine(c) for c in CACHES)
    return edges + tuple(machine(p, PARENT) for p in PARENTS) + (machine(ORIGIN_ID, ORIGIN),)


class RouterBench:
    """A router with a virtual clock; fires the router's timers and numbers its attempts.

    Attributes:
        now: The virtual clock, ns.
        action_log: All actions of the router, each with its time.
        timers: Timers that are set, as pairs of time and token.
        attempt_counts: Number of attempts that were sent, by request.
    """

    def __init__(
        self,
        settings: io.Settings | None = None,
        machines: tuple[io.Endpoint, ...] | None = None,
        seed: int = 7,
    ) -> None:
        self.now = 100 * SECOND
        self.settings = settings or make_settings()
        self.router = Router(self.settings, seed, self.now)
        self.action_log: list[tuple[int, io.Action]] = []
        self.timers: list[tuple[int, int]] = []
        self.attempt_counts: dict[int, int] = {}
        self.handle(io.EndpointUpdate(UpdateScope.RESTORED, fleet() if machines is None else machines))

    def handle(self, event: io.Event) -> list[io.Action]:
        actions = self.router.handle(self.now, event)
        for action in actions:
            self.action_log.append((self.now, action))
            if isinstance(action, io.SetTimer):
                self.timers.append((self.now + action.wait, action.token))
            elif isinstance(action, io.ForwardRequest | io.FetchThrough):
                self.attempt_counts[action.request] = self.attempt_counts.get(action.request, 0) + 1
        return actions

    def advance(self, span: int) -> list[io.Action]:
        """Advance the clock by `span` ns, firing due timers in order; return the resulting actions."""
        until, actions = self.now + span, []
        while self.timers and min(self.timers)[0] <= until:
            due = min(self.timers)
            self.timers.remove(due)
            self.now = max(self.now, due[0])
            actions += self.handle(io.TimerFired(due[1]))
        self.now = until
        return actions

    def send_request(
        self, request: int, cls: int = 0, obj: int = 5, part: int = 0, **more: Any
    ) -> list[io.Action]:
        event = io.RequestReceived(
            request, cls, 0.0, 0, 3, obj, part, False, self.settings.classes[cls].deadline
        )
        return self.handle(replace(event, **more))

    def complete_attempt(
        self,
        sent: io.ForwardRequest | io.FetchThrough,
        outcome: AttemptOutcome,
        status: CacheStatus = CacheStatus.NONE,
        **more: Any,
    ) -> list[io.Action]:
        number, last = self.attempt_counts[sent.request] - 1, outcome is AttemptOutcome.OK
        event = io.AttemptCompleted(sent.request, number, sent.cache, outcome, 50 * MS, last, status, 0, ())
        return self.handle(replace(event, **more))


def attempts(actions: list[io.Action]) -> list[io.ForwardRequest | io.FetchThrough]:
    return [a for a in actions if isinstance(a, io.ForwardRequest | io.FetchThrough)]


def final_responses(actions: list[io.Action]) -> list[io.RejectRequest | io.FailRequest]:
    return [a for a in actions if isinstance(a, io.RejectRequest | io.FailRequest)]


def rejected_requests(actions: list[io.Action]) -> list[int]:
    """The ids of rejected requests whose rejection has a retry time."""
    return [
        a.request for a in final_responses(actions) if isinstance(a, io.RejectRequest) and a.retry_after > 0
    ]
