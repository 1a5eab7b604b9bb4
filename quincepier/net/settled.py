"""What the module's actor asks and tells of what the fleet settles; `net/fleet/` is that, where it is on."""

from __future__ import annotations

from typing import Protocol

from quincepier.interface import CacheStatus, EndpointUpdate, RequestReceived
from quincepier.memory.open_requests import OpenAttempt, OpenRequest


class Settled(Protocol):
    """All of it runs inside a turn of the module's actor and takes no longer than a few looks into maps."""

    def before(self, now: int) -> None:
        """Before each event that the module hears: a front without a lease decides in cautious mode."""

    def listed(self, news: EndpointUpdate) -> EndpointUpdate:
        """News of the list as the module is to hear them."""

    def heard(self, seq: int, of_list: bool) -> None:
        """The change log is heard up to that number; `of_list`: it is a change of the list."""

    def came(self, event: RequestReceived, request: OpenRequest) -> None:
        """A request comes: its tenant is set."""

    def sent(self, attempt: OpenAttempt, now: int) -> None: ...

    def ended(self, attempt: OpenAttempt, note: CacheStatus) -> None: ...

    def answered(self, request: OpenRequest, status: int) -> None:
        """Its one final answer, as an HTTP status."""
