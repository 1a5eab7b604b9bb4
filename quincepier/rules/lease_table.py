"""The leader's side of leases: what each front last said, until when it may still decide by it.

A new leader knows of no grant of the one before. It waits a whole lease, counted from when it was elected,
before it takes any front that it has not heard to be without one, and the longest attempt besides before it
takes what such a front had open to have ended. It grants only while no other voter can have been elected
(`sure_until`, the voter's own lease), or the wait of the next leader would not cover what it grants.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass

import msgspec

from quincepier.rules.lease_holder import FRONTS_MOST, MS, LeaseGrant, LeaseRequest, LeaseTimings
from quincepier.rules.reports import FrontReport, MachineObservation, Observations
from quincepier.rules.version import RuleVersion

REACHED_MOST = 1024  # numbers of which is kept since when they are in force


@dataclass(slots=True)
class _Front:
    report: FrontReport
    token: int
    number: int  # by which it decides, or did when it was last heard
    until: int  # our clock: from then on it has no lease for certain
    ended: int  # from then on nothing that it opened before is open, unless it is heard again
    before: FrontReport | None = None  # the last word of an earlier start under its name,
    before_until: int = 0  # which may still decide until then
    before_ended: int = 0  # and have attempts open until then


def _both(last: FrontReport, earlier: FrontReport | None) -> FrontReport:
    """One line for all earlier starts of a front that may have something open."""
    if earlier is None:
        return last
    open_at = dict(earlier.open_attempts)
    for host, count in last.open_attempts:
        open_at[host] = max(count, open_at.get(host, 0))
    keyed = {
        (tenant, shard): count
        for tenant, shard, count in (*earlier.open_unsafe_requests, *last.open_unsafe_requests)
    }
    return msgspec.structs.replace(
        last,
        version_number=min(last.version_number, earlier.version_number),
        open_attempts=tuple(sorted(open_at.items())),
        open_unsafe_requests=tuple(
            (tenant, shard, count) for (tenant, shard), count in sorted(keyed.items())
        ),
    )


class LeaseTable:
    """Made anew by each front that comes to lead, with the moment of its election."""

    __slots__ = (
        "agreed_at",
        "away",
        "began",
        "digest",
        "force",
        "force_since",
        "fronts",
        "newest",
        "no_more",
        "pace",
        "reached",
    )  # fmt: skip

    def __init__(self, now: int, pace: LeaseTimings, newest: RuleVersion) -> None:
        self.pace, self.began = pace, now
        self.newest, self.digest = newest.number, newest.digest
        self.fronts = dict[str, _Front]()
        self.force, self.force_since = 0, now
        self.no_more = frozenset[str]()
        self.reached = dict[int, int]()  # when a number was first surely in force
        self.agreed_at = now  # when the newest was agreed, or found agreed
        self.away = 0  # asks of fronts beyond the most that are kept

    def agreed(self, version: RuleVersion, now: int = 0) -> None:
        """A newer version was committed: leases are granted to who decides by it alone."""
        if version.number > self.newest:
            self.newest, self.digest = version.number, version.digest
            self.agreed_at = now

    def heard(self, now: int, ask: LeaseRequest, sure_until: int) -> LeaseGrant | None:
        """The answer to an ask; None to one that is late or repeated, and where another may lead by now: then
        nobody is told what is newest either. `now` is read after the ask came in.
        """
        pace, report = self.pace, ask.report
        if now >= sure_until:
            return None
        known = self.fronts.get(report.front)
        if known is None:
            if len(self.fronts) >= FRONTS_MOST:
                self.away += 1
                return None  # what is not kept in the ledger must have no lease
            known = _Front(report, 0, 0, now, now + pace.longer(pace.attempt))
            self.fronts[report.front] = known
        elif report.incarnation < known.report.incarnation:
            return None
        elif report.incarnation > known.report.incarnation:
            # One start follows the other, but not where somebody started it elsewhere while it was cut off:
            # what the earlier one holds, and has open, counts until it has run out.
            earlier = known.before if now < known.before_ended else None
            known.before = _both(msgspec.structs.replace(known.report, version_number=known.number), earlier)
            known.before_until = max(known.before_until, known.until)
            known.before_ended = max(known.before_until, now) + pace.longer(pace.attempt)
            known.token, known.until = 0, now
        elif ask.token <= known.token:
            return None
        same = report.version_number != self.newest or report.digest == self.digest
        known.report, known.token = report, ask.token
        known.number = report.version_number if same else max(report.version_number - 1, 0)
        lease = 0
        if same and report.version_number >= self.newest:
            lease = pace.lease // MS
            known.until = max(known.until, now + pace.longer(lease * MS))
        known.ended = max(known.ended, known.until + pace.longer(pace.attempt))
        return LeaseGrant(report.incarnation, ask.token, self.newest, lease)

    def dropped(self, names: Iterable[str]) -> None:
        """Operators say that these fronts are no more: they hold nothing up until they are heard again."""
        self.no_more = frozenset(names)

    def in_force(self, now: int) -> int:
        """The highest number that no front with a lease is below; 0 while an earlier leader's may run."""
        if now < self.began + self.pace.longer(self.pace.lease):
            return 0
        numbers = [self.newest]
        for known in self.fronts.values():
            if known.until > now:
                numbers.append(known.number)
            if known.before is not None and known.before_until > now:
                numbers.append(known.before.version_number)
        return min(numbers)

    def told(self, now: int, names: Iterable[str]) -> int:
        """The highest number that every front was told of, those without a lease too: a front that missed the
        version in which an order is first named does not know what it has to keep from.
        """
        if now < self.began + self.pace.longer(self.pace.lease):
            return 0
        if any(name not in self.fronts and name not in self.no_more for name in names):
            return 0
        waited = [k for n, k in self.fronts.items() if k.until > now or n not in self.no_more]
        befores = [k.before.version_number for k in waited if k.before is not None and k.before_until > now]
        return min([self.newest, *befores, *(k.number for k in waited)])

    def lapsed(self, now: int) -> bool:
        """Whether every front without a lease has lost it for certain and ended what it had open."""
        pace = self.pace
        if now < self.began + pace.longer(pace.lease) + pace.longer(pace.attempt):
            return False
        return all(k.until > now or now >= k.ended for k in self.fronts.values())

    def seen(
        self,
        now: int,
        view: tuple[str, ...],
        machines: Mapping[str, MachineObservation],
        voters: tuple[str, ...],
        leader: str,
        alike: bool | None = None,
        usual: Mapping[str, float] | None = None,
        silent: Iterable[str] = (),
    ) -> Observations:
        """All that a step is decided by. `view`: the members; `silent`: those that membership remembers
        though it put them out. A front that is in neither, and lapsed for `Pace.gone`, is forgotten.

        The reports hold a second line, `NAME@START`, of a front that started anew, for as long as its earlier
        start may have something open.
        """
        names = {*view, *silent}
        for name in [n for n, k in self.fronts.items() if n not in names and now >= k.until + self.pace.gone]:
            del self.fronts[name]
        force = self.in_force(now)
        if force != self.force:
            for number in range(max(self.force, force - REACHED_MOST) + 1, force + 1):
                self.reached[number] = now
            while len(self.reached) > REACHED_MOST:
                del self.reached[min(self.reached)]
            self.force, self.force_since = force, now
        reports = {name: known.report for name, known in self.fronts.items() if known.until > now}
        for name, known in self.fronts.items():
            if known.before is not None and now < known.before_ended:
                reports[f"{name}@{known.before.incarnation}"] = known.before
        return Observations(
            now,
            view,
            reports,
            self.lapsed(now),
            force,
            now - self.force_since,
            dict(machines),
            voters,
            leader,
            alike,
            dict(usual or {}),
            {number: now - at for number, at in self.reached.items() if number <= force},
            now - self.agreed_at,
            self.told(now, names),
        )
