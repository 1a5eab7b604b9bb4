"""How long ago an event of the change log was, by clocks of which one may be stepped.

Events are dated by the Unix clock. That of this machine may be stepped under the front, by seconds or by an
hour; its monotonic clock runs on. An age that is too low is safe (a purge forbids more copies, a server is
held to its slow start for longer), one that is too high breaks rule four or five.

This machine's clock may also be wrong all the time. The dates of the log are those of one clock: an event is
sure to be as old as it lies before the newest date that the log has told.
"""

from quincepier.records import MS

DATE_STEP_MS = (
    1000  # the newest date moves on by so much before starts are dated again: a small part of a slow start
)


class EventAges:
    """Ages of dated events, never above the true one because the wall clock was stepped since the start.

    The offset between the two clocks changes by steps alone. The lowest one seen gives the lowest age.
    """

    def __init__(self, unix_ns: int, now_ns: int) -> None:
        self._lowest_offset_ns = unix_ns - now_ns
        self._newest_ms = 0  # the newest date that the log has told
        self._dated_by_ms = 0  # the newest date as starts were dated last

    def observe_log_date(self, unix_ms: int) -> None:
        """Take a date that the log tells: by its own clock it is that late."""
        self._newest_ms = max(self._newest_ms, unix_ms)

    def observe_clocks(self, unix_ns: int, now_ns: int) -> None:
        """Take both clocks as they are now."""
        self._lowest_offset_ns = min(self._lowest_offset_ns, unix_ns - now_ns)

    def age_of(self, unix_ms: int, now_ns: int) -> int:
        """Return the age of a Unix millisecond in ns, 0 at least.

        A time in whole milliseconds may have been cut; its end is the safe reading.
        """
        return max(now_ns + self._lowest_offset_ns - (unix_ms + 1) * MS, 0)

    def age_of_initial_event(self, unix_ms: int, now_ns: int) -> int:
        """Return the age of an event that the log told at the start, ns: by both clocks, the lower one."""
        return min(self.age_of(unix_ms, now_ns), self._age_by_log(unix_ms))

    def _age_by_log(self, unix_ms: int) -> int:
        """Return how long before the newest date of the log an event was, ns."""
        return max(self._newest_ms - unix_ms, 0) * MS

    def age_of_new_event(self, unix_ms: int, now_ns: int, unread_before_ns: int) -> int:
        """Return the age of an event that the log did not tell yet as it answered at `unread_before_ns`.

        One that claims to be older than that was dated by another clock than ours: it counts from now.
        """
        age = self.age_of(unix_ms, now_ns)
        return age if not unread_before_ns or age <= now_ns - unread_before_ns else 0

    def start_of(self, unix_ms: int, now_ns: int) -> int:
        """Return a server's start by this machine's clock, a time of the monotonic clock, ns.

        1 at least; 0 (long ago) stays 0.
        """
        if unix_ms <= 0:
            return 0
        age = max(now_ns + self._lowest_offset_ns - unix_ms * MS, 0)
        return max(now_ns - age, 1)

    def latest_start_of(self, unix_ms: int, now_ns: int) -> int:
        """Return a server's start as `start_of` does, or later: no earlier than the log's own dates show."""
        start = self.start_of(unix_ms, now_ns)
        return start and max(start, now_ns - self._age_by_log(unix_ms))

    def is_start_final(self, unix_ms: int, now_ns: int, warm_after_ns: int) -> bool:
        """Whether no later date of the log can change what a server's start means.

        Args:
            unix_ms: Its start, Unix milliseconds.
            now_ns: The monotonic clock.
            warm_after_ns: Age from which a server is no longer in slow start.
        """
        is_old = self._age_by_log(unix_ms) >= warm_after_ns
        return is_old or self.latest_start_of(unix_ms, now_ns) == self.start_of(unix_ms, now_ns)

    def consume_date_step(self) -> bool:
        """Whether the newest date has moved on by `DATE_STEP_MS` since this was last true."""
        has_advanced = self._newest_ms - self._dated_by_ms >= DATE_STEP_MS
        if has_advanced:
            self._dated_by_ms = self._newest_ms
        return has_advanced
