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

from quincepier.rules.lease_holder import MAX_FRONTS, MS, LeaseGrant, LeaseRequest, LeaseTimings
from quincepier.rules.reports import FrontReport, MachineObservation, Observations
from quincepier.rules.version import RuleVersion

MAX_ACTIVE_TIMES = 1024  # numbers of which is kept since when they are in force


@dataclass(slots=True)
class _FrontLease:
    report: FrontReport
    last_token: int
    version_number: int  # by which it decides, or did when it was last heard
    lease_until_ns: int  # our clock: from then on it has no lease for certain
    idle_at_ns: int  # from then on nothing that it opened before is open, unless it is heard again
    earlier_report: FrontReport | None = None  # the last word of an earlier start under its name,
    earlier_lease_until_ns: int = 0  # which may still decide until then
    earlier_idle_at_ns: int = 0  # and have attempts open until then


def _merge_reports(last: FrontReport, earlier: FrontReport | None) -> FrontReport:
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
        "active_since_ns",
        "active_since_ns_by_number",
        "active_since_number",
        "committed_at_ns",
        "decommissioned",
        "elected_at_ns",
        "lease_by_front",
        "newest_digest",
        "newest_number",
        "rejected_requests",
        "timings",
    )  # fmt: skip

    def __init__(self, now: int, pace: LeaseTimings, newest: RuleVersion) -> None:
        self.timings, self.elected_at_ns = pace, now
        self.newest_number, self.newest_digest = newest.number, newest.digest
        self.lease_by_front = dict[str, _FrontLease]()
        self.active_since_number, self.active_since_ns = 0, now
        self.decommissioned = frozenset[str]()
        self.active_since_ns_by_number = dict[int, int]()  # when a number was first surely in force
        self.committed_at_ns = now  # when the newest was agreed, or found agreed
        self.rejected_requests = 0  # asks of fronts beyond the most that are kept

    def on_version_committed(self, version: RuleVersion, now: int = 0) -> None:
        """A newer version was committed: leases are granted to who decides by it alone."""
        if version.number > self.newest_number:
            self.newest_number, self.newest_digest = version.number, version.digest
            self.committed_at_ns = now

    def on_request(self, now: int, ask: LeaseRequest, sure_until: int) -> LeaseGrant | None:
        """The answer to an ask; None to one that is late or repeated, and where another may lead by now: then
        nobody is told what is newest either. `now` is read after the ask came in.
        """
        pace, report = self.timings, ask.report
        if now >= sure_until:
            return None
        known = self.lease_by_front.get(report.front)
        if known is None:
            if len(self.lease_by_front) >= MAX_FRONTS:
                self.rejected_requests += 1
                return None  # what is not kept in the ledger must have no lease
            known = _FrontLease(report, 0, 0, now, now + pace.with_drift_margin(pace.max_attempt_ns))
            self.lease_by_front[report.front] = known
        elif report.incarnation < known.report.incarnation:
            return None
        elif report.incarnation > known.report.incarnation:
            # One start follows the other, but not where somebody started it elsewhere while it was cut off:
            # what the earlier one holds, and has open, counts until it has run out.
            earlier = known.earlier_report if now < known.earlier_idle_at_ns else None
            known.earlier_report = _merge_reports(
                msgspec.structs.replace(known.report, version_number=known.version_number), earlier
            )
            known.earlier_lease_until_ns = max(known.earlier_lease_until_ns, known.lease_until_ns)
            known.earlier_idle_at_ns = max(known.earlier_lease_until_ns, now) + pace.with_drift_margin(
                pace.max_attempt_ns
            )
            known.last_token, known.lease_until_ns = 0, now
        elif ask.token <= known.last_token:
            return None
        same = report.version_number != self.newest_number or report.digest == self.newest_digest
        known.report, known.last_token = report, ask.token
        known.version_number = report.version_number if same else max(report.version_number - 1, 0)
        lease = 0
        if same and report.version_number >= self.newest_number:
            lease = pace.lease_ns // MS
            known.lease_until_ns = max(known.lease_until_ns, now + pace.with_drift_margin(lease * MS))
        known.idle_at_ns = max(
            known.idle_at_ns, known.lease_until_ns + pace.with_drift_margin(pace.max_attempt_ns)
        )
        return LeaseGrant(report.incarnation, ask.token, self.newest_number, lease)

    def set_decommissioned(self, names: Iterable[str]) -> None:
        """Operators say that these fronts are no more: they hold nothing up until they are heard again."""
        self.decommissioned = frozenset(names)

    def active_number(self, now: int) -> int:
        """The highest number that no front with a lease is below; 0 while an earlier leader's may run."""
        if now < self.elected_at_ns + self.timings.with_drift_margin(self.timings.lease_ns):
            return 0
        numbers = [self.newest_number]
        for known in self.lease_by_front.values():
            if known.lease_until_ns > now:
                numbers.append(known.version_number)
            if known.earlier_report is not None and known.earlier_lease_until_ns > now:
                numbers.append(known.earlier_report.version_number)
        return min(numbers)

    def acknowledged_number(self, now: int, names: Iterable[str]) -> int:
        """The highest number that every front was told of, those without a lease too: a front that missed the
        version in which an order is first named does not know what it has to keep from.
        """
        if now < self.elected_at_ns + self.timings.with_drift_margin(self.timings.lease_ns):
            return 0
        if any(name not in self.lease_by_front and name not in self.decommissioned for name in names):
            return 0
        waited = [
            k
            for n, k in self.lease_by_front.items()
            if k.lease_until_ns > now or n not in self.decommissioned
        ]
        befores = [
            k.earlier_report.version_number
            for k in waited
            if k.earlier_report is not None and k.earlier_lease_until_ns > now
        ]
        return min([self.newest_number, *befores, *(k.version_number for k in waited)])

    def are_unleased_fronts_idle(self, now: int) -> bool:
        """Whether every front without a lease has lost it for certain and ended what it had open."""
        pace = self.timings
        if now < self.elected_at_ns + pace.with_drift_margin(pace.lease_ns) + pace.with_drift_margin(
            pace.max_attempt_ns
        ):
            return False
        return all(k.lease_until_ns > now or now >= k.idle_at_ns for k in self.lease_by_front.values())

    def observe(
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
        for name in [
            n
            for n, k in self.lease_by_front.items()
            if n not in names and now >= k.lease_until_ns + self.timings.silent_front_timeout_ns
        ]:
            del self.lease_by_front[name]
        force = self.active_number(now)
        if force != self.active_since_number:
            for number in range(max(self.active_since_number, force - MAX_ACTIVE_TIMES) + 1, force + 1):
                self.active_since_ns_by_number[number] = now
            while len(self.active_since_ns_by_number) > MAX_ACTIVE_TIMES:
                del self.active_since_ns_by_number[min(self.active_since_ns_by_number)]
            self.active_since_number, self.active_since_ns = force, now
        reports = {
            name: known.report for name, known in self.lease_by_front.items() if known.lease_until_ns > now
        }
        for name, known in self.lease_by_front.items():
            if known.earlier_report is not None and now < known.earlier_idle_at_ns:
                reports[f"{name}@{known.earlier_report.incarnation}"] = known.earlier_report
        return Observations(
            now,
            view,
            reports,
            self.are_unleased_fronts_idle(now),
            force,
            now - self.active_since_ns,
            dict(machines),
            voters,
            leader,
            alike,
            dict(usual or {}),
            {number: now - at for number, at in self.active_since_ns_by_number.items() if number <= force},
            now - self.committed_at_ns,
            self.acknowledged_number(now, names),
        )
