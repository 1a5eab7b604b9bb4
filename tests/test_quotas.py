"""Quotas of shared limits: their sum never exceeds the whole, despite loss, delay, partitions and kills."""

from __future__ import annotations

import inspect
import itertools
import random
import textwrap
from collections.abc import Callable
from fractions import Fraction
from typing import Any, NamedTuple

import pytest

from quincepier.lab.membership_simulation import SimulatedPeerNetwork
from quincepier.membership import quotas
from quincepier.membership.probe_intervals import SECOND
from quincepier.membership.quotas import (
    UNLEASED_FRACTION,
    LiveMemberCount,
    QuotaGrant,
    QuotaHolder,
    QuotaTable,
    quota_fraction,
)

LEASE, MAX_ATTEMPT = 4, 2  # steps of simulated time
MAX_MESSAGES_IN_FLIGHT = 3  # of requests, and the same of responses
MUTANT_SEEDS = 40  # seeds with which each mutant is run


class Request(NamedTuple):
    """A front's request for renewal, with the grant that it reports."""

    front: int
    sent_at: int
    reported: QuotaGrant


class Response(NamedTuple):
    """The response to a request that was sent at `requested_at`."""

    front: int
    requested_at: int
    grant: QuotaGrant


class Use(NamedTuple):
    """The quota that a front used from a time on."""

    since: int
    quota: Fraction


Event = tuple[Any, ...]  # the name, and the index of the front or message, or a number of steps


class QuotaSimulation:
    """Holders, the leader's table and messages in flight; any of `events` may happen next."""

    def __init__(self, front_count: int) -> None:
        self.now, self.front_count, self.term = 100, front_count, 1
        self.holders = [QuotaHolder(front_count, LEASE, MAX_ATTEMPT) for _ in range(front_count)]
        self.down_until = [0] * front_count  # by front; it is down until then after a kill
        self.uses = [[Use(self.now, holder.quota(self.now))] for holder in self.holders]
        self.table = QuotaTable(1, LEASE, MAX_ATTEMPT, self.now - 100)
        self.requests: list[Request] = []
        self.responses: list[Response] = []

    def events(self) -> list[Event]:
        events: list[Event] = [("time", steps) for steps in (1, 3)] + [("leader",)]
        events += [(name, front) for name in ("request", "kill") for front in range(self.front_count)]
        events += [("request arrives", index) for index in range(len(self.requests))]
        return events + [("response arrives", index) for index in range(len(self.responses))]

    def apply_event(self, name: str, index: int = 0) -> None:
        match name:
            case "time":
                for _ in range(index):
                    self.now += 1
                    self.record_uses()
            case "leader":
                self.term += 1
                self.table = QuotaTable(self.term, LEASE, MAX_ATTEMPT, self.now)
            case "request":
                self.send_request(index)
            case "kill":
                self.down_until[index] = self.now + MAX_ATTEMPT
                self.holders[index] = QuotaHolder(self.front_count, LEASE, MAX_ATTEMPT)
                self.requests = [request for request in self.requests if request.front != index]
            case "request arrives":
                self.deliver_request(self.requests.pop(index))
            case "response arrives":
                self.deliver_response(self.responses.pop(index))
        self.record_uses()

    def send_request(self, front: int) -> None:
        if len(self.requests) < MAX_MESSAGES_IN_FLIGHT and self.now >= self.down_until[front]:
            self.requests.append(Request(front, self.now, self.holders[front].reported_grant(self.now)))

    def deliver_request(self, request: Request) -> None:
        grant = self.table.on_request(self.now, str(request.front), request.reported)
        if grant is not None and len(self.responses) < MAX_MESSAGES_IN_FLIGHT:
            self.responses.append(Response(request.front, request.sent_at, grant))

    def deliver_response(self, response: Response) -> None:
        if response.requested_at >= self.down_until[response.front]:  # not requested by an earlier process
            self.holders[response.front].on_grant(self.now, response.requested_at, response.grant)

    def record_uses(self) -> None:
        for front, holder in enumerate(self.holders):
            quota = holder.quota(self.now) if self.now >= self.down_until[front] else Fraction(0)
            recent = [use for use in self.uses[front] if self.now - use.since < MAX_ATTEMPT]
            self.uses[front] = [*recent, Use(self.now, quota)]

    @property
    def total_use(self) -> Fraction:
        """The sum over all fronts of the largest quota under which attempts may still be open."""
        return sum((max(use.quota for use in uses) for uses in self.uses), Fraction(0))

    def state(self) -> Any:
        """The state that determines all further behaviour, with times relative to now."""
        now, table = self.now, self.table
        return (
            tuple(
                (
                    holder.reported_grant(now),
                    holder._grant,
                    max(holder._expires_ns - now, 0),
                    max(holder._larger_until_ns - now, 0),
                )
                for holder in self.holders
            ),
            tuple(tuple((now - use.since, use.quota) for use in uses) for uses in self.uses),
            tuple(max(until - now, 0) for until in self.down_until),
            tuple(sorted((n, e.grant, max(e.expires_ns - now, 0)) for n, e in table._entries.items())),
            tuple(sorted((n, max(until - now, 0)) for n, until in table._joining_until_ns.items())),
            tuple((front, now - sent_at, grant) for front, sent_at, grant in self.requests),
            tuple((front, now - requested_at, grant) for front, requested_at, grant in self.responses),
            table._sequence,
            table._holder_count,
            max(table._ready_ns - now, 0),
        )


def highest_use_of_random_run(seed: int, steps: int, front_count: int) -> Fraction:
    """Returns the highest total use in a random run."""
    rng, simulation, highest = random.Random(seed), QuotaSimulation(front_count), Fraction(0)
    weights = {
        "time": 3,
        "request": 6,
        "request arrives": 12,
        "response arrives": 12,
        "kill": 0.4,
        "leader": 0.15,
    }
    for _ in range(steps):
        events = simulation.events()
        simulation.apply_event(*rng.choices(events, [weights[event[0]] for event in events])[0])
        highest = max(highest, simulation.total_use)
    return highest


@pytest.fixture(autouse=True)
def _drift_margin_of_one_step(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(quotas, "CLOCK_DRIFT_MARGIN_NS", 1)


def test_holders_and_fronts_without_a_lease_use_exactly_the_whole() -> None:
    for configured_fronts, holder_count in itertools.product(range(1, 40), repeat=2):
        unleased = max(configured_fronts - holder_count, 0) * UNLEASED_FRACTION / configured_fronts
        assert holder_count * quota_fraction(configured_fronts, holder_count) + unleased == 1


def test_every_short_run_stays_within_the_whole() -> None:
    """Two fronts: all sequences of up to six events (messages, losses, kills, new leaders, time)."""

    def replay(run: tuple[Event, ...]) -> QuotaSimulation:
        simulation = QuotaSimulation(2)
        for event in run:
            simulation.apply_event(*event)
        return simulation

    seen_states, enlarged_count, frontier = set[Any](), 0, list[tuple[Event, ...]]([()])
    for _ in range(6):
        next_frontier = list[tuple[Event, ...]]()
        for run in frontier:
            for event in replay(run).events():
                simulation = replay((*run, event))
                state = simulation.state()
                if state in seen_states:
                    continue
                seen_states.add(state)
                assert simulation.total_use <= 1, (*run, event)
                enlarged_count += any(
                    holder.quota(simulation.now) > Fraction(1, 2) for holder in simulation.holders
                )
                next_frontier.append((*run, event))
        frontier = next_frontier
    assert enlarged_count and len(seen_states) > 2000


@pytest.mark.parametrize("front_count", [2, 3, 7])
def test_long_random_runs_stay_within_the_whole_and_approach_it(front_count: int) -> None:
    highest = max(highest_use_of_random_run(seed, 1500, front_count) for seed in range(5))
    assert Fraction(9, 10) < highest <= 1


class Mutant(NamedTuple):
    """A fault in a method of the quotas: a piece of its source and the replacement."""

    method: Callable[..., Any]
    text: str
    replacement: str


MUTANTS = [
    # a lease ends in the table before it ends at its holder
    Mutant(QuotaTable.__init__, "lease_ns + CLOCK_DRIFT_MARGIN_NS + max_attempt_ns", "lease_ns - 1"),
    # a new leader enlarges quotas immediately
    Mutant(QuotaTable.__init__, "now_ns + self._expiry_ns  #", "now_ns  #"),
    # a front joins before the others reported smaller quotas
    Mutant(QuotaTable.on_request, "return None  # the others", "pass  # the others"),
    # a lease never ends
    Mutant(QuotaHolder.current_grant, "now_ns < self._expires_ns", "self._expires_ns"),
    # an older grant is accepted
    Mutant(QuotaHolder.on_grant, "grant.number >= self._grant.number and ", ""),
    # a front without a lease does not reduce its quota
    Mutant(
        QuotaHolder.quota,
        "UNLEASED_FRACTION / self._configured_fronts",
        "Fraction(1, self._configured_fronts)",
    ),
    # a lease is counted from the response
    Mutant(
        QuotaHolder.on_grant,
        "max(requested_at_ns + self._lease_ns, self._expires_ns)",
        "now_ns + 2 * self._lease_ns",
    ),
    # a front reports the smaller quota while attempts under the larger one are open
    Mutant(QuotaHolder.reported_grant, "now_ns < self._larger_until_ns", "False"),
]


@pytest.mark.parametrize("mutant", MUTANTS, ids=lambda mutant: mutant.replacement[:30])
def test_each_mutant_of_the_rules_is_detected(mutant: Mutant, monkeypatch: pytest.MonkeyPatch) -> None:
    source, namespace = textwrap.dedent(inspect.getsource(mutant.method)), dict[str, Any]()
    assert source.count(mutant.text) == 1
    changed = source.replace(mutant.text, mutant.replacement)
    exec("from __future__ import annotations\n" + changed, vars(quotas), namespace)
    owner = getattr(quotas, mutant.method.__qualname__.split(".")[0])
    monkeypatch.setattr(owner, mutant.method.__name__, namespace[mutant.method.__name__])
    assert any(
        highest_use_of_random_run(seed, 1500, front_count) > 1
        for seed in range(MUTANT_SEEDS)
        for front_count in (2, 3)
    )


@pytest.mark.parametrize("seed", range(3))
def test_views_of_a_fleet_with_faults_never_enlarge_a_quota_beyond_the_settings(seed: int) -> None:
    """Twelve fronts with a partition, pauses, kills and restarts; twelve or ten fronts are configured."""
    net, rng = SimulatedPeerNetwork(12, seed), random.Random(seed)
    counts = [LiveMemberCount(peer.name, 12, 600 * SECOND) for peer in net.peers]
    counts_of_ten = [LiveMemberCount(peer.name, 10, 600 * SECOND) for peer in net.peers]
    net.start()
    net.run(5 * SECOND)
    first_half = {peer.name for peer in net.peers[:6]}
    paths_between_halves = {
        (a.name, b.name)
        for a in net.peers
        for b in net.peers
        if (a.name in first_half) != (b.name in first_half)
    }
    for step in range(40):
        if step == 10:
            net.blocked_links = paths_between_halves
        elif step == 25:
            net.blocked_links = set()
        if step % 7 == 3:
            net.peers[rng.randrange(12)].pause(2 * SECOND)
        if step in (12, 30):
            net.peers[0].kill()
        elif step in (15, 33):
            net.peers[0].start()
        net.run(SECOND // 2)
        used_fractions = [
            Fraction(1, count.on_view_changed(net.now, peer.members))
            for count, peer in zip(counts, net.peers, strict=True)
            if peer.is_alive
        ]
        assert sum(used_fractions) <= 1
        used_fractions = [
            Fraction(1, count.on_view_changed(net.now, peer.members))
            for count, peer in zip(counts_of_ten, net.peers, strict=True)
        ]
        assert sum(used_fractions) <= 1, "a front that was seen once still counts"


def test_a_front_that_announced_its_leave_counts_no_longer_and_one_that_vanished_until_forgotten() -> None:
    count = LiveMemberCount("a", 2, 100)
    assert count.on_view_changed(0, ("a", "b", "c", "d")) == 4
    assert count.on_view_changed(1, ("a", "b"), departed=("d",)) == 3
    assert count.divisor(101) == 3
    assert count.divisor(102) == 2
    assert count.on_view_changed(103, ("a",)) == 2
