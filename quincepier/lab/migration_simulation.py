"""A tenant's migration in virtual time: the real `advance` and `place_request`, two shards, a leader.

Fronts are told versions, report and are granted leases; requests come by a heavy-tailed choice of objects, a
copy lasts its time, and fills of all share one link that queues. Caches are one memory a home, agreement is a
delay. The same seed gives the same run.
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
LEASE, MARGIN, REPORT, TURN, WAY, AGREE = SECOND, 100 * MS, 250 * MS, 250 * MS, 20 * MS, 15 * MS
ELECTION = (300 * MS, 600 * MS)  # without a leader
SPAN = 10  # seconds of counts that a report holds
LASTS, ON_TIME, FILL = 120 * SECOND, 400 * MS, 40 * MS
LINK = 1.4  # fills a second that the link bears, of the usual ones
KEYED_PART = 0.05  # of a tenant's requests may not simply be repeated
OBJECTS = 800  # of the tenant, and as many of all others


@dataclass(slots=True)
class Front:
    move: Migration | None = None
    number: int = 1
    until: int = 0  # its lease
    refused_from: int = -1  # a first of the tenant was refused, and none taken since


@dataclass(slots=True)
class Outcome:
    """Of one run, from the wish to its end; the gap is how long a front refused firsts, in milliseconds."""

    worth: float  # of the tenant: in time over asked
    others: float
    fills: float  # the most in any span over the usual in one
    took: float  # seconds from wish to done, or -1
    step: str
    gaps: list[float] = field(default_factory=list)
    refused_repeats: int = 0
    why: str = ""


class Fleet:
    """`way`: "none", "steps" (a requested migration), or "at once" (all keys with one version)."""

    def __init__(self, fronts: int, seed: int, way: str, kill_at: MigrationStep | None = None) -> None:
        self.random, self.way, self.kill_at = random.Random(seed), way, kill_at
        self.fronts = [Front() for _ in range(fronts)]
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
        self.now, self.leads_from, self.agreed_at = 0, 0, 0
        self.known: dict[int, tuple[int, int]] = {}  # front: its number and the end of its lease there
        self.force: dict[int, int] = {}
        chance = self.random  # copies last for different times, so that they are not filled again all at once
        old = {k + at: chance.randrange(LASTS) for k in range(OBJECTS) for at in (0, 10_000)}
        self.copies: tuple[dict[int, int], dict[int, int]] = (old, {})
        self.busy_until, self.link = 0.0, 0.0
        self.counts: deque[Counter[tuple[str, str, str]]] = deque([Counter()], maxlen=SPAN + 1)
        self.sums: Counter[str] = Counter()
        self.fills_by_second: list[int] = [0]
        self.gaps: list[float] = []
        self.repeats = 0
        self.weights = list(accumulate(1 / (n + 1) ** 0.9 for n in range(OBJECTS)))
        self.done_at = -1
        self.begun = False

    def run(self, rate: int = 600, warm: int = 120, lasts: int = 600) -> Outcome:
        events: list[tuple[int, int, int]] = []
        for n in range(len(self.fronts)):
            events.append((self.random.randrange(REPORT), 1, n))
        events += [(0, 0, 0), (SECOND, 2, 0), (REPORT, 3, 0)]
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
                after = REPORT
            elif kind == 2:
                self.counts.append(Counter())
                self.fills_by_second.append(0)
                if self.now == (warm - 50) * SECOND:
                    self.link = LINK * sum(self.fills_by_second[-30:]) / 30
                if self.now == begin:
                    self.begun, self.sums = True, Counter()
                    self.begin()
                after = SECOND
            else:
                self.turn()
                after = TURN
            heapq.heappush(events, (self.now + after, kind, n))
        fills, s = self.fills_by_second, self.sums
        usual = sum(fills[warm - 50 : warm]) / 50
        most = max(sum(fills[at : at + SPAN]) / SPAN for at in range(warm, len(fills) - SPAN))
        move = self.version.migrations[-1] if self.version.migrations else None
        took = (self.done_at - begin) / SECOND if self.done_at >= 0 else -1.0
        worth, others = (s[f"{who} in time"] / max(s[who], 1) for who in ("acme", "other"))
        return Outcome(
            worth, others, most / usual, took, move.step.name if move else "",
            self.gaps, self.repeats, move.reason if move else "",
        )  # fmt: skip

    def begin(self) -> None:
        if self.way == "at once":
            done = Migration("m", "acme", "", "north", MigrationStep.COMPLETED, 2, 256)
            homes = (TenantPlacement("acme", "north"),)
            self.agree(RuleVersion(2, 1, (), (), self.version.shards, homes, (done,)))

    def agree(self, version: RuleVersion) -> None:
        self.version, self.agreed_at = version, self.now + AGREE

    def report(self, n: int) -> None:
        """A front hears of the newest version with the answer to its report; that grants its lease too."""
        if self.now < self.leads_from:
            return
        front, way = self.fronts[n], self.random.randrange(WAY // 2, WAY)
        if self.now >= self.agreed_at:
            front.number = self.version.number
            front.move = self.version.migrations[-1] if self.version.migrations else None
        front.until = self.now + LEASE
        self.known[n] = (front.number, self.now + way + LEASE + MARGIN)

    def turn(self) -> None:
        if self.now < self.leads_from or self.now < self.agreed_at:
            return
        known = {n: k for n, k in self.known.items() if k[1] > self.now}
        whole = len(known) == len(self.fronts) or self.now >= self.leads_from + LEASE + MARGIN
        number = min((k[0] for k in known.values()), default=0) if whole else 0
        for reached in range(max(self.force, default=0) + 1, number + 1):
            self.force[reached] = self.now
        if self.way != "steps" or not self.begun:
            return
        rows = self.rows()
        reports = {
            self.names[n]: FrontReport(
                self.names[n], 1, k[0], "", False, SPAN * 1000, service_statistics=() if i else rows
            )
            for i, (n, k) in enumerate(known.items())
        }
        ages = {n: self.now - at for n, at in self.force.items() if n <= number}
        seen = Observations(
            self.now, tuple(self.names), reports, whole, number, self.now - self.force.get(number, self.now),
            self.machines, (), "", True, {}, ages,
            self.now - max(self.agreed_at, self.leads_from),
        )  # fmt: skip
        change = advance(self.version, self.policy, seen)
        if change is None:
            return
        before = self.version.migrations[-1].step if self.version.migrations else None
        self.agree(apply_changes(self.version, 1, (change,)))
        step = self.version.migrations[-1].step
        if step is MigrationStep.COMPLETED:
            self.done_at = self.now
        if step is self.kill_at and step is not before:  # agreed, told to nobody yet
            self.leads_from, self.kill_at = self.now + self.random.randrange(*ELECTION), None
            self.known, self.force = {}, {}

    def rows(self) -> tuple[ServiceStatistics, ...]:
        total: Counter[tuple[str, str, str]] = Counter()
        for counts in list(self.counts)[:-1]:
            total.update(counts)
        return tuple(
            ServiceStatistics(t, s, total[t, s, "asked"], total[t, s, "asked"], total[t, s, "in time"],
                    total[t, s, "refused"], total[t, s, "hits"], total[t, s, "fills"])
            for t, s in {(t, s) for t, s, _ in total}
        )  # fmt: skip

    def request(self) -> None:
        chance, n = self.random, self.random.randrange(len(self.fronts))
        front, moved = self.fronts[n], self.random.random() < 0.25
        key = bisect(self.weights, chance.random() * self.weights[-1]) + 10_000 * moved
        is_unsafe = chance.random() < KEYED_PART
        repeat = is_unsafe and chance.random() < 0.05
        home, closed = (
            "north" if moved and front.move and front.move.step is MigrationStep.COMPLETED else "",
            False,
        )
        if moved and front.move is not None and front.move.is_active:
            home, closed = place_request(
                front.move, slot_of_key(key), not is_unsafe, repeat, self.now >= front.until
            )
        in_time = hit = fill = False
        if closed:
            self.repeats += repeat
            if not repeat and front.refused_from < 0:
                front.refused_from = self.now
        else:
            if moved and is_unsafe and front.refused_from >= 0:
                self.gaps.append((self.now - front.refused_from) / MS)
                front.refused_from = -1
            hit = is_unsafe or self.copies[home == "north"].get(key, 0) > self.now
            fill = not hit
            in_time = hit or self.fill(home, key)
        self.sums["acme" if moved else "other"] += 1
        self.sums["acme in time" if moved else "other in time"] += in_time
        counts = self.counts[-1]
        told = (("asked", 1), ("in time", in_time), ("refused", closed), ("hits", hit), ("fills", fill))
        for what, value in told:
            counts["", "", what] += value
            if moved:
                counts["acme", home or DEFAULT_SHARD_NAME, what] += value

    def fill(self, home: str, key: int) -> bool:
        """Whether it comes in time through the link that all fills share; a fill past it is given up."""
        self.fills_by_second[-1] += 1
        start = max(self.busy_until, float(self.now))
        each = SECOND / self.link if self.link else 0.0
        if start - self.now > 2 * ON_TIME:
            return False
        self.busy_until = start + each
        self.copies[home == "north"][key] = self.now + self.random.randrange(LASTS // 2, 3 * LASTS // 2)
        return start + each + FILL - self.now <= ON_TIME
