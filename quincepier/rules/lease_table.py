"""The leader's side of leases: the last report of each front, and until when it may decide by its version.

A new leader does not know the leases that its predecessor granted. It waits for the duration of a lease,
counted from its election, before it considers a front without a report to have no lease, and for the longest
attempt in addition before it considers that front's attempts to have ended. It grants leases only while no
other voter can have been elected (during its own leader lease); otherwise the next leader's wait would not
cover them.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

import msgspec

from quincepier.rules.lease_messages import LeaseGrant, LeaseRequest
from quincepier.rules.lease_timings import NS_PER_MS, LeaseTimings
from quincepier.rules.reports import FleetView, FrontReport, HostCount, Observations, TenantCount
from quincepier.rules.version import RuleVersion

MAX_FRONTS = 4096
MAX_ACTIVE_TIMES = 1024  # version numbers whose activation time is kept


@dataclass(slots=True)
class _FrontLease:
    """The leader's knowledge of one front; times are nanoseconds of the leader's clock.

    An earlier incarnation under the same name counts until its lease has expired and its attempts have ended.
    It may still be running: the front may have been started elsewhere while it was cut off.
    """

    report: FrontReport
    last_token: int
    version_number: int  # of the version by which it decides, by its last request
    lease_until_ns: int  # from this time on it certainly has no lease
    idle_at_ns: int  # from this time on it has nothing open, unless it sends another request
    earlier_report: FrontReport | None = None
    earlier_lease_until_ns: int = 0
    earlier_idle_at_ns: int = 0

    def begin_incarnation(self, now_ns: int, max_attempt_ns: int) -> None:
        """Start a new incarnation; the lease and open attempts of the current one count as earlier ones."""
        earlier = self.earlier_report if now_ns < self.earlier_idle_at_ns else None
        last = msgspec.structs.replace(self.report, version_number=self.version_number)
        self.earlier_report = _merge_reports(last, earlier)
        self.earlier_lease_until_ns = max(self.earlier_lease_until_ns, self.lease_until_ns)
        self.earlier_idle_at_ns = max(self.earlier_lease_until_ns, now_ns) + max_attempt_ns
        self.last_token = 0
        self.lease_until_ns = now_ns


def _merge_reports(last: FrontReport, earlier: FrontReport | None) -> FrontReport:
    """Return one report for all earlier incarnations of a front that may have something open."""
    if earlier is None:
        return last
    attempts_by_host = dict(earlier.open_attempts)
    for host, count in last.open_attempts:
        attempts_by_host[host] = max(count, attempts_by_host.get(host, 0))
    unsafe_by_tenant = {
        (tenant, shard): count
        for tenant, shard, count in (*earlier.open_unsafe_requests, *last.open_unsafe_requests)
    }
    return msgspec.structs.replace(
        last,
        version_number=min(last.version_number, earlier.version_number),
        open_attempts=tuple(HostCount(host, count) for host, count in sorted(attempts_by_host.items())),
        open_unsafe_requests=tuple(
            TenantCount(tenant, shard, count) for (tenant, shard), count in sorted(unsafe_by_tenant.items())
        ),
    )


class LeaseTable:
    """Leases that one leader has granted; a new table is created at each election.

    Attributes:
        timings: Durations of leases and attempts.
        elected_at_ns: When this front was elected.
        newest_number: Number of the newest committed version; leases are granted for it only.
        newest_digest: Digest of that version.
        lease_by_front: Known fronts by name.
        active_since_number: The number that was active at the last observation.
        active_since_ns: When that number became active.
        active_since_ns_by_number: When each number was first certain to be active.
        decommissioned: Fronts that operators have declared removed for good.
        committed_at_ns: When the newest version was committed, or found committed at the election.
        rejected_requests: Number of requests rejected because `MAX_FRONTS` fronts are known.
    """

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
    )

    def __init__(self, elected_at_ns: int, timings: LeaseTimings, newest: RuleVersion) -> None:
        self.timings = timings
        self.elected_at_ns = elected_at_ns
        self.newest_number = newest.number
        self.newest_digest = newest.digest
        self.lease_by_front = dict[str, _FrontLease]()
        self.active_since_number = 0
        self.active_since_ns = elected_at_ns
        self.active_since_ns_by_number = dict[int, int]()
        self.decommissioned = frozenset[str]()
        self.committed_at_ns = elected_at_ns
        self.rejected_requests = 0

    def on_version_committed(self, version: RuleVersion, now_ns: int = 0) -> None:
        """Grant leases only to fronts that decide by `version` from now on, if it is newer."""
        if version.number > self.newest_number:
            self.newest_number = version.number
            self.newest_digest = version.digest
            self.committed_at_ns = now_ns

    def on_request(self, now_ns: int, request: LeaseRequest, leader_until_ns: int) -> LeaseGrant | None:
        """Answer a request for a lease.

        Args:
            now_ns: Time, read after the request was received.
            request: The request.
            leader_until_ns: Time before which no other voter can be elected. After it requests are not
                answered at all, since the newest version is not known either.

        Returns:
            The grant; None if the request is late or repeated, or if another front may lead by now.
        """
        if now_ns >= leader_until_ns:
            return None
        lease = self._find_lease(now_ns, request)
        if lease is None:
            return None
        report = request.report
        is_same_version = report.version_number != self.newest_number or report.digest == self.newest_digest
        lease.report = report
        lease.last_token = request.token
        lease.version_number = report.version_number if is_same_version else max(report.version_number - 1, 0)
        lease_ms = 0
        if is_same_version and report.version_number >= self.newest_number:
            lease_ms = self.timings.lease_ns // NS_PER_MS
            ends_at_ns = now_ns + self.timings.with_drift_margin(lease_ms * NS_PER_MS)
            lease.lease_until_ns = max(lease.lease_until_ns, ends_at_ns)
        lease.idle_at_ns = max(lease.idle_at_ns, lease.lease_until_ns + self._max_attempt_ns)
        return LeaseGrant(report.incarnation, request.token, self.newest_number, lease_ms)

    def _find_lease(self, now_ns: int, request: LeaseRequest) -> _FrontLease | None:
        """Return the front's entry, created if missing; None if the request must not be answered."""
        report = request.report
        lease = self.lease_by_front.get(report.front)
        if lease is None:
            return self._add_front(now_ns, report)
        if report.incarnation < lease.report.incarnation and now_ns < lease.idle_at_ns:
            return None  # late, or started after a backward wall clock step while an earlier lease may run
        if report.incarnation != lease.report.incarnation:
            lease.begin_incarnation(now_ns, self._max_attempt_ns)
        elif request.token <= lease.last_token:
            return None
        return lease

    def _add_front(self, now_ns: int, report: FrontReport) -> _FrontLease | None:
        if len(self.lease_by_front) >= MAX_FRONTS:
            self.rejected_requests += 1
            return None  # a front that is not in the table must have no lease
        lease = _FrontLease(report, 0, 0, now_ns, now_ns + self._max_attempt_ns)
        self.lease_by_front[report.front] = lease
        return lease

    @property
    def _max_attempt_ns(self) -> int:
        return self.timings.with_drift_margin(self.timings.max_attempt_ns)

    @property
    def _earlier_leases_until_ns(self) -> int:
        """Time at which the leases of earlier leaders have expired."""
        return self.elected_at_ns + self.timings.with_drift_margin(self.timings.lease_ns)

    def set_decommissioned(self, names: Iterable[str]) -> None:
        """Set the fronts that operators have removed for good; nothing waits for them unless they report."""
        self.decommissioned = frozenset(names)

    def active_number(self, now_ns: int) -> int:
        """Return the highest number that no leased front is below; 0 while earlier leases may run."""
        if now_ns < self._earlier_leases_until_ns:
            return 0
        numbers = [self.newest_number]
        for lease in self.lease_by_front.values():
            if lease.lease_until_ns > now_ns:
                numbers.append(lease.version_number)
            if lease.earlier_report is not None and lease.earlier_lease_until_ns > now_ns:
                numbers.append(lease.earlier_report.version_number)
        return min(numbers)

    def acknowledged_number(self, now_ns: int, names: Iterable[str]) -> int:
        """Return the highest number that every front has acknowledged, including fronts without a lease.

        A front that missed the version in which a task first appears does not know which machine to avoid.

        Args:
            now_ns: Current time.
            names: Fronts that must have sent a request.
        """
        if now_ns < self._earlier_leases_until_ns:
            return 0
        if any(name not in self.lease_by_front and name not in self.decommissioned for name in names):
            return 0
        numbers = [self.newest_number]
        for name, lease in self.lease_by_front.items():
            if lease.lease_until_ns <= now_ns and name in self.decommissioned:
                continue
            numbers.append(lease.version_number)
            if lease.earlier_report is not None and lease.earlier_lease_until_ns > now_ns:
                numbers.append(lease.earlier_report.version_number)
        return min(numbers)

    def are_unleased_fronts_idle(self, now_ns: int) -> bool:
        """Whether every front without a lease has certainly lost it and has nothing open."""
        if now_ns < self._earlier_leases_until_ns + self._max_attempt_ns:
            return False
        leases = self.lease_by_front.values()
        return all(lease.lease_until_ns > now_ns or now_ns >= lease.idle_at_ns for lease in leases)

    def observe(self, now_ns: int, view: FleetView) -> Observations:
        """Return the observations by which planners decide.

        A front that is neither a member nor recently dead is forgotten `unreachable_front_timeout_ns` after
        its lease.
        """
        names = {*view.members, *view.recently_dead}
        self._forget_unreachable_fronts(now_ns, names)
        active = self._update_active(now_ns)
        return Observations(
            now_ns=now_ns,
            members=view.members,
            report_by_front=self._reports(now_ns),
            unleased_fronts_idle=self.are_unleased_fronts_idle(now_ns),
            active_number=active,
            active_for_ns=now_ns - self.active_since_ns,
            machine_by_host=dict(view.machine_by_host),
            voters=view.voters,
            leader=view.leader,
            is_consistent=view.is_consistent,
            baseline_on_time_ratio_by_tenant=dict(view.baseline_on_time_ratio_by_tenant),
            active_ns_by_number=self._active_durations(now_ns, active),
            committed_for_ns=now_ns - self.committed_at_ns,
            acknowledged_number=self.acknowledged_number(now_ns, names),
        )

    def _active_durations(self, now_ns: int, active: int) -> dict[int, int]:
        return {
            number: now_ns - since_ns
            for number, since_ns in self.active_since_ns_by_number.items()
            if number <= active
        }

    def _forget_unreachable_fronts(self, now_ns: int, names: set[str]) -> None:
        unreachable = [
            name
            for name, lease in self.lease_by_front.items()
            if name not in names
            and now_ns >= lease.lease_until_ns + self.timings.unreachable_front_timeout_ns
        ]
        for name in unreachable:
            del self.lease_by_front[name]

    def _update_active(self, now_ns: int) -> int:
        """Record when numbers became active; return the active number."""
        active = self.active_number(now_ns)
        if active == self.active_since_number:
            return active
        first_number = max(self.active_since_number, active - MAX_ACTIVE_TIMES) + 1
        for number in range(first_number, active + 1):
            self.active_since_ns_by_number[number] = now_ns
        while len(self.active_since_ns_by_number) > MAX_ACTIVE_TIMES:
            del self.active_since_ns_by_number[min(self.active_since_ns_by_number)]
        self.active_since_number = active
        self.active_since_ns = now_ns
        return active

    def _reports(self, now_ns: int) -> dict[str, FrontReport]:
        reports = {
            name: lease.report for name, lease in self.lease_by_front.items() if lease.lease_until_ns > now_ns
        }
        for name, lease in self.lease_by_front.items():
            earlier = lease.earlier_report
            if earlier is not None and now_ns < lease.earlier_idle_at_ns:
                reports[f"{name}@{earlier.incarnation}"] = earlier
        return reports
