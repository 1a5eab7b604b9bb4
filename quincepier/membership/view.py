"""The view: the set of live members as it is announced to the rest of the program.

Related changes are announced as one, after Rapid (Suresh and others, USENIX ATC 2018): a change is delayed,
and delayed further while suspicions are about to time out.
"""

from __future__ import annotations

from quincepier.membership.actions import ViewChanged
from quincepier.membership.member_table import MemberTable
from quincepier.membership.probe_intervals import ProbeIntervals
from quincepier.membership.suspicion import SuspicionTimeouts


class MembershipView:
    """The names of the members, including this front's own, and the pending change.

    Attributes:
        members: The names in the view announced last.
    """

    def __init__(
        self, own_name: str, intervals: ProbeIntervals, table: MemberTable, suspicion: SuspicionTimeouts
    ) -> None:
        self._own_name = own_name
        self._intervals = intervals
        self._table = table
        self._suspicion = suspicion
        self._last_live_set_version: int | None = None  # at the last update; None forces the next one
        self._is_isolated = False
        self._pending_since_ns = 0
        self._pending_until_ns: int | None = None
        self.members = {own_name}

    @property
    def pending_until_ns(self) -> int | None:
        """When the pending change is to be announced; None without a pending change."""
        return self._pending_until_ns

    def on_contact(self) -> None:
        """Ends the isolation after a message of another member: the view follows the member table again."""
        if self._is_isolated:
            self._is_isolated = False
            self._last_live_set_version = None

    def isolate(self) -> ViewChanged | None:
        """Reduces the view to this front only, at once, until a message of another member is received."""
        self._is_isolated = True
        self._pending_until_ns = None
        if self.members == {self._own_name}:
            return None
        return self._announce({self._own_name})

    def update(self, now_ns: int) -> ViewChanged | None:
        """Returns the view change that is due now; None if no change is due."""
        is_unchanged = self._table.live_set_version == self._last_live_set_version
        if is_unchanged and self._pending_until_ns is None:
            return None
        self._last_live_set_version = self._table.live_set_version
        live = self._live_members()
        if live == self.members:
            self._pending_until_ns = None
            return None
        deadline_ns = self._postpone(now_ns)
        is_first_contact = self.members == {self._own_name}
        return self._announce(live) if now_ns >= deadline_ns or is_first_contact else None

    def _live_members(self) -> set[str]:
        if self._is_isolated:
            return {self._own_name}
        return {self._own_name, *(record.name for record in self._table.live_records())}

    def _postpone(self, now_ns: int) -> int:
        """Delays the pending change to include suspicions about to time out; returns its new time."""
        delay_ns = self._intervals.view_change_delay_ns
        if self._pending_until_ns is None:
            self._pending_since_ns = now_ns
            self._pending_until_ns = now_ns + delay_ns
        if now_ns - self._pending_since_ns < self._intervals.max_view_change_delay_ns:
            deadlines = self._suspicion.deadlines_until(now_ns + delay_ns)
            self._pending_until_ns = max([self._pending_until_ns, *deadlines])
        return self._pending_until_ns

    def _announce(self, members: set[str]) -> ViewChanged:
        joined = tuple(sorted(members - self.members))
        removed = tuple(sorted(self.members - members))
        self.members = members
        self._pending_until_ns = None
        return ViewChanged(tuple(sorted(members)), joined, removed)
