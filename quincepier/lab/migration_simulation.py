"""Simulation of a tenant's migration in virtual time: the real `advance` and `place_request`, two shards.

Fronts receive versions, report and get leases. Requests choose objects by a heavy-tailed distribution, copies
expire, and all fetches queue for one link. The caches of a shard are one store, agreement is a fixed delay.
The same seed gives the same run.
"""

from __future__ import annotations

import heapq
import random
from bisect import bisect
from collections import Counter, deque
from dataclasses import dataclass, field
from itertools import accumulate

from quincepier import clock
from quincepier.rules import (
    FrontReport,
    MachineObservation,
    Migration,
    MigrationStep,
    Observations,
    RuleVersion,
    ServiceStatistics,
    Shard,
    TenantPlacement,
    apply_changes,
)
from quincepier.tenancy import (
    DEFAULT_SHARD_NAME,
    MigrationPolicy,
    TenantsSection,
    advance,
    place_request,
    slot_of_key,
)
from quincepier.tenancy.section import MigrationRequest, ShardSettings, TenantSettings

SECOND, MS = clock.SECOND, clock.MS
LEASE_TIME, LEASE_MARGIN, REPORT_INTERVAL, LEADER_INTERVAL, ONE_WAY_DELAY, AGREEMENT_TIME = (
    SECOND,
    100 * MS,
    250 * MS,
    250 * MS,
    20 * MS,
    15 * MS,
)
ELECTION_TIME_RANGE = (300 * MS, 600 * MS)  # time without a leader
REPORT_SPAN_S = 10  # seconds of counts in a report
COPY_LIFETIME, MAX_LATENCY, FETCH_TIME = 120 * SECOND, 400 * MS, 40 * MS
LINK_CAPACITY_FACTOR = 1.4  # the link's capacity over the usual rate of fetches
UNSAFE_SHARE = 0.05  # share of requests that can't simply be retried
OBJECTS = 800  # of the tenant, and as many of all other tenants


@dataclass(slots=True)
class SimulatedFront:
    """A front's version of the rules and its lease."""

    migration: Migration | None = None
    version_number: int = 1
    lease_until: int = 0
    refused_since: int = -1  # since when it refuses the tenant's first attempts; -1: it accepts them


@dataclass(slots=True)
class Outcome:
    """Figures of one run, from the migration request to its end."""

    worth: float  # share of the tenant's requests that were served in time
    others_worth: float  # the same for all other tenants
    peak_fetch_factor: float  # greatest fetch rate of any 10 s over the usual rate
    duration_s: float  # until the migration is completed; -1: it is not
    step: str
    gaps_ms: list[float] = field(default_factory=list)  # how long a front refused first attempts
    refused_retries: int = 0
    reason: str = ""


class MigrationSimulation:
    """Fronts, two shards and a leader that migrates the tenant "acme".

    Args:
        fronts: Number of fronts.
        seed: Seed of all random choices.
        mode: "none", "steps" (a requested migration) or "at once" (all keys with one version).
        kill_leader_at: Kill the leader once it has committed this step.
    """

    def __init__(
        self, fronts: int, seed: int, mode: str, kill_leader_at: MigrationStep | None = None
    ) -> None:
        self.random, self.mode, self.kill_leader_at = random.Random(seed), mode, kill_leader_at
        self.fronts = [SimulatedFront() for _ in range(fronts)]
        self.names = [f"f{n}" for n in range(fronts)]
        request = MigrationRequest("m", "acme", "north")
        section = TenantsSection(
            {"north": ShardSettings(("n-1", "n-2"))},
            {"acme": TenantSettings(("00",))},
            (request,),
            grace_period_s=5,
        )
        self.policy = MigrationPolicy(section, 20 * SECOND, 5 * SECOND)
        shards = (Shard("north", ("n-1", "n-2")),)
        self.version = RuleVersion(1, 1, (), (), shards, (TenantPlacement("acme", ""),))
        hosts = ("n-1", "n-2", "c-1", "c-2")
        self.machines = {h: MachineObservation(h, "cache", "a", True, 10**6, 1) for h in hosts}
        self.now, self.leader_ready_at, self.version_agreed_at = 0, 0, 0
        # as the leader sees it: version number and end of the lease
        self.lease_by_front: dict[int, tuple[int, int]] = {}
        self.in_force_since: dict[int, int] = {}
        rng = (
            self.random
        )  # initial copies expire at different times, so that they are not all fetched at once
        old = {key + at: rng.randrange(COPY_LIFETIME) for key in range(OBJECTS) for at in (0, 10_000)}
        self.expiry_by_key: tuple[dict[int, int], dict[int, int]] = (old, {})
        self.link_busy_until, self.link_rate = 0.0, 0.0
        self.counts_by_second: deque[Counter[tuple[str, str, str]]] = deque(
            [Counter()], maxlen=REPORT_SPAN_S + 1
        )
        self.totals: Counter[str] = Counter()
        self.fetches_by_second: list[int] = [0]
        self.gaps: list[float] = []
        self.refused_retries = 0
        self.weights = list(accumulate(1 / (n + 1) ** 0.9 for n in range(OBJECTS)))
        self.completed_at = -1
        self.is_started = False

    def run(self, rate: int = 600, warm: int = 120, lasts: int = 600) -> Outcome:
        """Run `warm` seconds before the request and `lasts` after it, at `rate` requests per second."""
        events: list[tuple[int, int, int]] = []
        for n in range(len(self.fronts)):
            events.append((self.random.randrange(REPORT_INTERVAL), 1, n))
        events += [(0, 0, 0), (SECOND, 2, 0), (REPORT_INTERVAL, 3, 0)]
        heapq.heapify(events)
        begin, end = warm * SECOND, (warm + lasts) * SECOND
        while events:
            self.now, kind, n = heapq.heappop(events)
            if self.now >= end:
                break
            if kind == 0:
                self.request()
                after = max(int(self.random.expovariate(rate) * SECOND), 1)
            elif kind == 1:
                self.report(n)
                after = REPORT_INTERVAL
            elif kind == 2:
                self.counts_by_second.append(Counter())
                self.fetches_by_second.append(0)
                if self.now == (warm - 50) * SECOND:
                    self.link_rate = LINK_CAPACITY_FACTOR * sum(self.fetches_by_second[-30:]) / 30
                if self.now == begin:
                    self.is_started, self.totals = True, Counter()
                    self.start_migration()
                after = SECOND
            else:
                self.run_leader_turn()
                after = LEADER_INTERVAL
            heapq.heappush(events, (self.now + after, kind, n))
        fetches, totals = self.fetches_by_second, self.totals
        usual = sum(fetches[warm - 50 : warm]) / 50
        peak_rate = max(
            sum(fetches[at : at + REPORT_SPAN_S]) / REPORT_SPAN_S
            for at in range(warm, len(fetches) - REPORT_SPAN_S)
        )
        migration = self.version.migrations[-1] if self.version.migrations else None
        duration_s = (self.completed_at - begin) / SECOND if self.completed_at >= 0 else -1.0
        worth, others = (totals[f"{who} in time"] / max(totals[who], 1) for who in ("acme", "other"))
        return Outcome(
            worth, others, peak_rate / usual, duration_s, migration.step.name if migration else "",
            self.gaps, self.refused_retries, migration.reason if migration else "",
        )  # fmt: skip

    def start_migration(self) -> None:
        """In mode "at once", commit a version that moves all keys; other modes need nothing here."""
        if self.mode == "at once":
            done = Migration("m", "acme", "", "north", MigrationStep.COMPLETED, 2, 256)
            homes = (TenantPlacement("acme", "north"),)
            self.commit_version(RuleVersion(2, 1, (), (), self.version.shards, homes, (done,)))

    def commit_version(self, version: RuleVersion) -> None:
        """Make a version the newest; fronts learn of it once it is agreed."""
        self.version, self.version_agreed_at = version, self.now + AGREEMENT_TIME

    def report(self, n: int) -> None:
        """Handle a front's report: the response carries the newest version and renews its lease."""
        if self.now < self.leader_ready_at:
            return
        front, way = self.fronts[n], self.random.randrange(ONE_WAY_DELAY // 2, ONE_WAY_DELAY)
        if self.now >= self.version_agreed_at:
            front.version_number = self.version.number
            front.migration = self.version.migrations[-1] if self.version.migrations else None
        front.lease_until = self.now + LEASE_TIME
        self.lease_by_front[n] = (front.version_number, self.now + way + LEASE_TIME + LEASE_MARGIN)

    def run_leader_turn(self) -> None:
        """Update which version is in force, then let the leader take the next step of the migration."""
        if self.now < self.leader_ready_at or self.now < self.version_agreed_at:
            return
        known = {n: lease for n, lease in self.lease_by_front.items() if lease[1] > self.now}
        is_view_complete = (
            len(known) == len(self.fronts) or self.now >= self.leader_ready_at + LEASE_TIME + LEASE_MARGIN
        )
        number = min((lease[0] for lease in known.values()), default=0) if is_view_complete else 0
        for reached in range(max(self.in_force_since, default=0) + 1, number + 1):
            self.in_force_since[reached] = self.now
        if self.mode != "steps" or not self.is_started:
            return
        statistics = self.service_statistics()
        reports = {
            self.names[n]: FrontReport(
                self.names[n],
                1,
                lease[0],
                "",
                False,
                REPORT_SPAN_S * 1000,
                service_statistics=() if i else statistics,
            )
            for i, (n, lease) in enumerate(known.items())
        }
        ages = {n: self.now - at for n, at in self.in_force_since.items() if n <= number}
        observations = Observations(
            self.now, tuple(self.names), reports, is_view_complete, number,
            self.now - self.in_force_since.get(number, self.now), self.machines, (), "", True, {}, ages,
            self.now - max(self.version_agreed_at, self.leader_ready_at),
        )  # fmt: skip
        change = advance(self.version, self.policy, observations)
        if change is None:
            return
        before = self.version.migrations[-1].step if self.version.migrations else None
        self.commit_version(apply_changes(self.version, 1, (change,)))
        step = self.version.migrations[-1].step
        if step is MigrationStep.COMPLETED:
            self.completed_at = self.now
        if step is self.kill_leader_at and step is not before:  # committed, but not yet sent to any front
            self.leader_ready_at, self.kill_leader_at = (
                self.now + self.random.randrange(*ELECTION_TIME_RANGE),
                None,
            )
            self.lease_by_front, self.in_force_since = {}, {}

    def service_statistics(self) -> tuple[ServiceStatistics, ...]:
        """Return the counts of the complete seconds by tenant and shard."""
        total: Counter[tuple[str, str, str]] = Counter()
        for counts in list(self.counts_by_second)[:-1]:
            total.update(counts)
        return tuple(
            ServiceStatistics(
                tenant,
                shard,
                total[tenant, shard, "asked"],
                total[tenant, shard, "asked"],
                total[tenant, shard, "in time"],
                total[tenant, shard, "refused"],
                total[tenant, shard, "hits"],
                total[tenant, shard, "fills"],
            )
            for tenant, shard in {(tenant, shard) for tenant, shard, _ in total}
        )

    def request(self) -> None:
        """Simulate one client request at a random front."""
        rng, n = self.random, self.random.randrange(len(self.fronts))
        front, is_tenant = self.fronts[n], self.random.random() < 0.25
        key = bisect(self.weights, rng.random() * self.weights[-1]) + 10_000 * is_tenant
        is_unsafe = rng.random() < UNSAFE_SHARE
        is_retry = is_unsafe and rng.random() < 0.05
        home, is_refused = (
            "north"
            if is_tenant and front.migration and front.migration.step is MigrationStep.COMPLETED
            else "",
            False,
        )
        if is_tenant and front.migration is not None and front.migration.is_active:
            home, is_refused = place_request(
                front.migration, slot_of_key(key), not is_unsafe, is_retry, self.now >= front.lease_until
            )
        in_time = is_hit = is_fetched = False
        if is_refused:
            self.refused_retries += is_retry
            if not is_retry and front.refused_since < 0:
                front.refused_since = self.now
        else:
            if is_tenant and is_unsafe and front.refused_since >= 0:
                self.gaps.append((self.now - front.refused_since) / MS)
                front.refused_since = -1
            is_hit = is_unsafe or self.expiry_by_key[home == "north"].get(key, 0) > self.now
            is_fetched = not is_hit
            in_time = is_hit or self.fetch_copy(home, key)
        self.totals["acme" if is_tenant else "other"] += 1
        self.totals["acme in time" if is_tenant else "other in time"] += in_time
        counts = self.counts_by_second[-1]
        increments = (
            ("asked", 1),
            ("in time", in_time),
            ("refused", is_refused),
            ("hits", is_hit),
            ("fills", is_fetched),
        )
        for name, value in increments:
            counts["", "", name] += value
            if is_tenant:
                counts["acme", home or DEFAULT_SHARD_NAME, name] += value

    def fetch_copy(self, home: str, key: int) -> bool:
        """Queue a fetch on the shared link; return whether it is in time. Far too late, it is dropped."""
        self.fetches_by_second[-1] += 1
        start = max(self.link_busy_until, float(self.now))
        each = SECOND / self.link_rate if self.link_rate else 0.0
        if start - self.now > 2 * MAX_LATENCY:
            return False
        self.link_busy_until = start + each
        self.expiry_by_key[home == "north"][key] = self.now + self.random.randrange(
            COPY_LIFETIME // 2, 3 * COPY_LIFETIME // 2
        )
        return start + each + FETCH_TIME - self.now <= MAX_LATENCY
