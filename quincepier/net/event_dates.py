"""Converts dates in the change log to the monotonic clock: ages of purges, start times of servers."""

from __future__ import annotations

from quincepier import clock
from quincepier.config import FrontConfig
from quincepier.policy.event_age import EventAges
from quincepier.policy.slow_start import longest_slow_start
from quincepier.wire.changelog import ChangeEvent, FleetChange, PurgeRecord


class EventDates:
    """Reads the Unix and the monotonic clock for `EventAges`.

    It also keeps the start times that a later date in the change log may correct.

    Args:
        config: The configuration that the front starts with.
    """

    def __init__(self, config: FrontConfig) -> None:
        self._known_seq = config.known_seq
        self._warm_after_ns = longest_slow_start(config.settings)
        self._ages = EventAges(clock.unix(), clock.now())
        # Start times that a later date may still correct. They are few: only those within one slow start of
        # the newest date.
        self._unsettled_starts_ms: set[int] = set()

    def observe(self, event: ChangeEvent) -> None:
        """Note the dates that an event of the log contains."""
        if isinstance(event, PurgeRecord):
            self._ages.observe_log_date(event.time_ms)
        elif isinstance(event, FleetChange):
            for host in event.hosts:
                self._ages.observe_log_date(host.started_at_ms)

    def purge_age(self, purge: PurgeRecord, absent_at_ns: int) -> int:
        """Return the age in ns of a purge that was received just now.

        Args:
            purge: The purge.
            absent_at_ns: Time of the last change-log response that did not contain the purge; 0: unknown.
        """
        now = clock.now()
        self._ages.observe_clocks(clock.unix(), now)
        if purge.seq <= self._known_seq:
            return self._ages.age_of_initial_event(purge.time_ms, now)
        return self._ages.age_of_new_event(purge.time_ms, now, absent_at_ns)

    def convert_start_time(self, started_at_ms: int) -> int:
        """Convert a server's start, Unix milliseconds, to ns of the monotonic clock; 0 (long ago) stays 0."""
        now = clock.now()
        self._ages.observe_clocks(clock.unix(), now)
        if not self._ages.is_start_final(started_at_ms, now, self._warm_after_ns):
            self._unsettled_starts_ms.add(started_at_ms)
        return self._ages.latest_start_of(started_at_ms, now)

    def take_unsettled_starts(self) -> frozenset[int]:
        """Return and forget the start times (Unix ms) that must be converted again.

        The result is empty while the newest date in the log has not advanced enough since the last result.
        """
        if not self._ages.consume_date_step():
            return frozenset()
        starts = frozenset(self._unsettled_starts_ms)
        self._unsettled_starts_ms.clear()
        return starts
