"""Accounts for the request bodies that clients send, and stops the clients that exceed the limit.

Above the limit a client with an incomplete request has to go. A client that has written its whole request is
not at fault: the request is incomplete only as long as this front has not read all of it. So the socket of a
client is read until it is empty before the client is stopped, and those of whom all was read and whose
requests have been incomplete for longest come first. A client that holds far less than the mean is spared.
"""

from __future__ import annotations

from quincepier import clock
from quincepier.checks import Checks
from quincepier.net.client_read_side import ClientReadSide
from quincepier.wire.errors import ProtocolError

# Share of the limit that incomplete requests may use once it is exceeded.
MAX_PARTIAL_SHARE = 0.5
MIN_SHARE_OF_MEAN = 0.5  # of the mean bytes of a client; stopping one that holds less would free little
MAX_ENFORCEMENT_NS = 2 * clock.MS  # after the first candidate; the next read continues


class BodyMemory:
    """The bytes of bodies of open requests and of incomplete requests.

    Args:
        max_bytes: Limit on all of them together.
        checks: Counters and log events.

    Attributes:
        max_bytes: Limit on `used_bytes`.
        used_bytes: Bytes in use by complete and incomplete requests.
        partial_bytes: Bytes of incomplete requests among them.
        partial_by_connection: Bytes of the incomplete requests of each connection that has any.
    """

    def __init__(self, max_bytes: int, checks: Checks) -> None:
        self.max_bytes = max_bytes
        self.used_bytes = self.partial_bytes = 0
        self.partial_by_connection: dict[ClientReadSide, int] = {}
        self._checks = checks
        self._is_enforcing = False

    def make_room(self, size: int, receiver: ClientReadSide) -> bool:
        """Return whether the body of a complete request fits, if need be by stopping other clients.

        Args:
            size: Length of the body, in bytes. A request without a body always fits.
            receiver: The connection of the request, which is not stopped.
        """
        if not size or self.used_bytes + size <= self.max_bytes:
            return True
        self._enforce(size, receiver)
        return self.used_bytes + size <= self.max_bytes

    def add(self, size: int) -> None:
        """Account for the body of a request that is open from now on."""
        self.used_bytes += size

    def release(self, size: int) -> None:
        """Account for the end of an open request with a body of `size` bytes."""
        self.used_bytes -= size

    def set_partial(self, connection: ClientReadSide, size: int) -> None:
        """Account for the incomplete requests of a connection; 0 if it has none."""
        change = size - self.partial_by_connection.pop(connection, 0)
        self.used_bytes += change
        self.partial_bytes += change
        if size:
            self.partial_by_connection[connection] = size

    def enforce(self) -> None:
        """Stop clients until the limit is kept; called after each read of a connection."""
        self._enforce(0)

    def _is_exceeded_with(self, size: int) -> bool:
        """Whether incomplete requests have to be stopped so that `size` further bytes fit.

        Within their share they are not stopped for complete ones, which are rejected instead.
        """
        is_over_share = self.partial_bytes > self.max_bytes * MAX_PARTIAL_SHARE
        return is_over_share and self.used_bytes + size > self.max_bytes

    def _enforce(self, size: int, receiver: ClientReadSide | None = None) -> None:
        if self._is_enforcing:
            return
        self._is_enforcing = True
        try:
            self._stop_oldest(size, receiver, clock.now() + MAX_ENFORCEMENT_NS)
        finally:
            self._is_enforcing = False

    def _stop_oldest(self, size: int, receiver: ClientReadSide | None, until_ns: int) -> None:
        """Stop clients in their order until `size` bytes fit or the time is over."""
        for connection in self._find_candidates() if self._is_exceeded_with(size) else ():
            if connection is receiver:
                continue
            if connection.is_partial_after_reading():
                held = self.partial_by_connection.get(connection, 0)
                self._checks.event("client_closed_partial_request_limit")
                connection.stop_reading(ProtocolError(f"{held} bytes of incomplete requests"))
            if not self._is_exceeded_with(size) or clock.now() >= until_ns:
                return

    def _find_candidates(self) -> list[ClientReadSide]:
        """Return the connections that hold a good part of the mean.

        Those of which all was read come first, then those that have been incomplete for longest.
        """
        least = MIN_SHARE_OF_MEAN * self.partial_bytes / len(self.partial_by_connection)
        large = [connection for connection, held in self.partial_by_connection.items() if held >= least]
        return sorted(large, key=lambda connection: (connection.has_backlog, connection.partial_since))
