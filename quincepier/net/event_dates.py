"""Dates of the change log as times of the front's clocks: how old a purge is, when a server started."""

from __future__ import annotations

from quincepier import clock
from quincepier.config import FrontConfig
from quincepier.policy.event_age import EventAges
from quincepier.policy.slow_start import longest_slow_start
from quincepier.wire.changelog import ChangeEvent, FleetChange, PurgeRecord


class EventDates:
    """Reads both clocks for `EventAges`, and keeps the starts that a later date of the log may settle."""

    def __init__(self, config: FrontConfig) -> None:
        self._known_seq = config.known_seq
        self._warm_after_ns = longest_slow_start(config.settings)
        self._ages = EventAges(clock.unix(), clock.now())
        self._unsettled_starts_ms: set[int] = set()  # few: within a slow start of the newest date

    def observe(self, event: ChangeEvent) -> None:
        """Take the dates that an event of the log tells."""
        if isinstance(event, PurgeRecord):
            self._ages.observe_log(event.time_ms)
        elif isinstance(event, FleetChange):
            for host in event.hosts:
                self._ages.observe_log(host.started_at_ms)

    def age_of(self, purge: PurgeRecord, unread_before_ns: int) -> int:
        """Return the age of a purge that is told now, ns.

        Args:
            purge: The purge.
            unread_before_ns: When the log last answered without it; 0: not known.
        """
        now = clock.now()
        self._ages.observe(clock.unix(), now)
        if purge.seq <= self._known_seq:
            return self._ages.age_at_start(purge.time_ms, now)
        return self._ages.age_of_news(purge.time_ms, now, unread_before_ns)

    def start_of(self, born_ms: int) -> int:
        """Return a server's start, Unix milliseconds, as a time of the monotonic clock, ns; 0 stays 0."""
        now = clock.now()
        self._ages.observe(clock.unix(), now)
        if not self._ages.is_settled(born_ms, now, self._warm_after_ns):
            self._unsettled_starts_ms.add(born_ms)
        return self._ages.sure_start_of(born_ms, now)

    def take_unsettled_starts(self) -> frozenset[int]:
        """Return the starts to be dated again by `start_of`, Unix milliseconds: none without a later date."""
        if not self._ages.take_date_step():
            return frozenset()
        starts = frozenset(self._unsettled_starts_ms)
        self._unsettled_starts_ms.clear()
        return starts
