"""The number of independent suspicions and the time that are required to declare a member dead.

After Lifeguard (Dadgar, Phillips, Currey 2018, section IV-B): the timeout shrinks with each independent
suspicion. After Rapid (Suresh and others, USENIX ATC 2018): one suspicion never suffices while several
members remain.
"""

from __future__ import annotations

from quincepier.membership.local_health import LocalHealth
from quincepier.membership.member_table import MemberRecord, MemberTable
from quincepier.membership.probe_intervals import ProbeIntervals


class SuspicionTimeouts:
    """The suspicion timeouts of the suspects in the member table."""

    def __init__(self, intervals: ProbeIntervals, table: MemberTable, health: LocalHealth) -> None:
        self._intervals = intervals
        self._table = table
        self._health = health

    def required_suspicions(self) -> int:
        """Returns how many members must suspect a member; fewer where few unsuspected members remain."""
        unsuspected = self._table.live_count - self._table.suspect_count
        return max(min(self._intervals.required_suspicions, unsuspected + 1), 1)

    def deadline_ns(self, record: MemberRecord) -> int:
        """Returns the time from which a suspect may be declared dead; more suspicions make it earlier."""
        shortest = self._intervals.min_suspicion_timeout_ns
        longest = self._intervals.max_suspicion_timeout_ns
        confirmed = min(len(record.suspected_by) / self.required_suspicions(), 1.0)
        timeout_ns = int(longest - (longest - shortest) * confirmed)
        return record.since_ns + timeout_ns * self._health.suspicion_timeout_multiplier

    def declare_dead(self, now_ns: int) -> list[MemberRecord]:
        """Declares the suspects whose timeout has expired dead and returns them."""
        required = self.required_suspicions()  # computed once, as each death lowers the live count
        dead = []
        for record in self._table.suspects():
            if len(record.suspected_by) >= required and now_ns >= self.deadline_ns(record):
                self._table.declare_dead(now_ns, record)
                dead.append(record)
        return dead

    def deadlines_until(self, until_ns: int) -> list[int]:
        """Returns the deadlines of the suspects up to a time, inclusive."""
        deadlines = [self.deadline_ns(record) for record in self._table.suspects()]
        return [deadline for deadline in deadlines if deadline <= until_ns]
