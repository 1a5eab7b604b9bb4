"""How agreement between fronts changes the events of the router; `net/fleet/` implements it."""

from __future__ import annotations

from typing import Protocol

from quincepier.interface import CacheStatus, EndpointUpdate, RequestReceived
from quincepier.memory.open_requests import OpenAttempt, OpenRequest


class RouterOverrides(Protocol):
    """Calls from the decision module's actor, made only if the operator's file has the section `agreement`.

    Every method runs while the actor handles a message, and takes no longer than a few dictionary lookups.
    """

    def before_event(self, now_ns: int) -> None:
        """Called before each event of the router; enters cautious mode if the front holds no valid lease."""

    def override_list(self, update: EndpointUpdate) -> EndpointUpdate:
        """Return the update of the endpoint list to pass to the router in place of `update`."""

    def on_change_log_read(self, sequence: int, is_list_change: bool) -> None:
        """The change log was read up to a sequence number; `is_list_change`: its entry changes the list."""

    def on_request(self, event: RequestReceived, request: OpenRequest) -> None:
        """Called when a request arrives, to set its tenant."""

    def on_command_queued(self, attempt: OpenAttempt, now_ns: int) -> None:
        """Called when the command of an attempt is about to be queued for a cache's actor."""

    def on_attempt_completed(self, attempt: OpenAttempt, cache_status: CacheStatus) -> None:
        """Called when an attempt is completed."""

    def on_response(self, request: OpenRequest, status: int) -> None:
        """Called with the final HTTP status of a request."""
