"""Ages of change-log events, safe against steps of the wall clock.

Events are dated by the Unix clock. The Unix clock of this machine may be stepped while the front runs, by
seconds or by an hour; its monotonic clock is not affected. An age that is too low is safe: a purge then
forbids more copies, and a server stays in slow start for longer. An age that is too high is not: a copy from
before a purge might be served, or a server in slow start overloaded.

The clock of this machine may also be permanently wrong. The dates in the change log come from one clock, so
an event is at least as old as its distance from the newest date in the log.
"""

from quincepier.records import MS

# Starts of servers are computed again whenever the newest date has advanced by this; a small part of a slow
# start.
DATE_STEP_MS = 1000


class EventAges:
    """Computes ages of dated events; a step of the wall clock since the start never makes an age too high.

    The offset between the Unix clock and the monotonic clock changes only by steps. The lowest offset that
    was observed gives the lowest age.

    Args:
        unix_ns: The Unix clock now.
        now_ns: The monotonic clock now.
    """

    def __init__(self, unix_ns: int, now_ns: int) -> None:
        self._lowest_offset_ns = unix_ns - now_ns
        self._newest_ms = 0  # the newest date in the change log
        self._dated_by_ms = 0  # the newest date when starts were last computed

    def observe_log_date(self, unix_ms: int) -> None:
        """Note a date from the change log: its clock has reached that time."""
        self._newest_ms = max(self._newest_ms, unix_ms)

    def observe_clocks(self, unix_ns: int, now_ns: int) -> None:
        """Note the present values of both clocks."""
        self._lowest_offset_ns = min(self._lowest_offset_ns, unix_ns - now_ns)

    def age_of(self, unix_ms: int, now_ns: int) -> int:
        """Return the age of a Unix time in ns, 0 or more.

        The time may have been rounded down to whole milliseconds, so the end of the millisecond counts.
        """
        return max(now_ns + self._lowest_offset_ns - (unix_ms + 1) * MS, 0)

    def age_of_initial_event(self, unix_ms: int, now_ns: int) -> int:
        """Return the age of an event that is read at the start, ns: the lower of the ages by both clocks."""
        return min(self.age_of(unix_ms, now_ns), self._age_by_log(unix_ms))

    def _age_by_log(self, unix_ms: int) -> int:
        """Return how long before the newest date in the log an event was, ns."""
        return max(self._newest_ms - unix_ms, 0) * MS

    def age_of_new_event(self, unix_ms: int, now_ns: int, unread_before_ns: int) -> int:
        """Return the age of an event that was not in the log's response at `unread_before_ns`, in ns.

        An event with an earlier date was dated by a clock that differs from this machine's: its age is 0.
        """
        age = self.age_of(unix_ms, now_ns)
        return age if not unread_before_ns or age <= now_ns - unread_before_ns else 0

    def start_of(self, unix_ms: int, now_ns: int) -> int:
        """Convert a server's start time to a time of the monotonic clock, ns.

        The result is 1 or more, except that 0 (started long ago) stays 0.
        """
        if unix_ms <= 0:
            return 0
        age = max(now_ns + self._lowest_offset_ns - unix_ms * MS, 0)
        return max(now_ns - age, 1)

    def latest_start_of(self, unix_ms: int, now_ns: int) -> int:
        """Convert a server's start time to a time of the monotonic clock, ns.

        The result is the later of `start_of` and the time that follows from the distance of the start to the
        newest date in the log; 0 (started long ago) stays 0.
        """
        start = self.start_of(unix_ms, now_ns)
        return start and max(start, now_ns - self._age_by_log(unix_ms))

    def is_start_final(self, unix_ms: int, now_ns: int, warm_after_ns: int) -> bool:
        """Whether no later date in the log can change the result of `latest_start_of` in a way that matters.

        Args:
            unix_ms: The server's start, Unix time in ms.
            now_ns: The monotonic clock now.
            warm_after_ns: Age from which a server is no longer in slow start.
        """
        is_old = self._age_by_log(unix_ms) >= warm_after_ns
        return is_old or self.latest_start_of(unix_ms, now_ns) == self.start_of(unix_ms, now_ns)

    def consume_date_step(self) -> bool:
        """Return whether the newest date has advanced by `DATE_STEP_MS` since this last returned True.

        If so, the next step is counted from the present newest date.
        """
        has_advanced = self._newest_ms - self._dated_by_ms >= DATE_STEP_MS
        if has_advanced:
            self._dated_by_ms = self._newest_ms
        return has_advanced
