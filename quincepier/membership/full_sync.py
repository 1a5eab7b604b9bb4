"""Schedules exchanges of the full state over a stream (push/pull, after hashicorp/memberlist)."""

from __future__ import annotations

import random
from collections.abc import Callable

from quincepier.membership.actions import Action, StartStateSync
from quincepier.membership.member_table import MemberTable
from quincepier.membership.probe_intervals import ProbeIntervals


class FullSyncSchedule:
    """Exchanges the full state with a random member; the interval grows with the number of members."""

    def __init__(
        self,
        now_ns: int,
        intervals: ProbeIntervals,
        table: MemberTable,
        rng: random.Random,
        emit: Callable[[Action], None],
    ) -> None:
        self._intervals = intervals
        self._table = table
        self._rng = rng
        self._emit = emit
        self._next_sync_ns = now_ns + rng.randrange(max(intervals.full_sync_interval_ns, 1))

    def on_tick(self, now_ns: int) -> None:
        """Starts an exchange if one is due."""
        if now_ns < self._next_sync_ns:
            return
        # The size of the full state, and so the cost of sending it, grows with the number of members.
        scale = max(1.0, self._table.live_count / self._intervals.full_sync_scale_threshold)
        interval_ns = self._intervals.full_sync_interval_ns * scale
        self._next_sync_ns = now_ns + int(interval_ns * self._rng.uniform(0.5, 1.5))
        live = self._table.live_records()
        if live:
            self._emit(StartStateSync(self._rng.choice(live).address))
