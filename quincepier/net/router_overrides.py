"""How agreement between fronts overrides what the router hears; `net/fleet/` does so, where it is on."""

from __future__ import annotations

from typing import Protocol

from quincepier.interface import CacheStatus, EndpointUpdate, RequestReceived
from quincepier.memory.open_requests import OpenAttempt, OpenRequest


class RouterOverrides(Protocol):
    """What the module's actor calls.

    Every method runs inside a turn of the actor, and takes no longer than a few lookups in maps.
    """

    def before_event(self, now_ns: int) -> None:
        """Called before each event of the router: a front without a lease decides in cautious mode."""

    def override_list(self, update: EndpointUpdate) -> EndpointUpdate:
        """Return an update of the endpoint list as the router is to hear it."""

    def on_change_log_read(self, sequence: int, is_list_change: bool) -> None:
        """The change log was read up to a number; `is_list_change`: that entry changes the endpoint list."""

    def on_request(self, event: RequestReceived, request: OpenRequest) -> None:
        """A request was received: set its tenant."""

    def on_command_sent(self, attempt: OpenAttempt, now_ns: int) -> None:
        """A command is sent to a cache."""

    def on_attempt_completed(self, attempt: OpenAttempt, cache_status: CacheStatus) -> None:
        """An attempt was completed."""

    def on_response(self, request: OpenRequest, status: int) -> None:
        """A request was answered with its final HTTP status."""
