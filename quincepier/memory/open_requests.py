"""The table of open requests and their attempts; the number of an open request is not reused."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum
from typing import Any, Protocol

REQUEST_NUMBER_LIMIT = 1 << 32  # request numbers are below this


class AttemptState(Enum):
    """State of an attempt at its server; TRANSITIONS has the allowed changes, docs/design.md a diagram.

    It does not say whether the outcome was reported to the router: that is `OpenAttempt.is_completed`.
    """

    QUEUED = "queued"  # no byte of its command was sent
    SENT = "sent"  # its first byte was sent: the server may run it
    CANCELLED = "cancelled"  # nobody waits for it any more, but its server was not notified: it may still run
    CLOSED = "closed"  # never sent, response complete, cancel command sent completely, or connection closed


TRANSITIONS = {
    AttemptState.QUEUED: frozenset((AttemptState.SENT, AttemptState.CLOSED)),
    AttemptState.SENT: frozenset((AttemptState.CANCELLED, AttemptState.CLOSED)),
    AttemptState.CANCELLED: frozenset((AttemptState.CLOSED,)),
    AttemptState.CLOSED: frozenset[AttemptState](),
}


class ResponseReceiver(Protocol):
    """The client connection that sent a request and takes its response."""

    def push(self, response: Any) -> None:
        """Queue a response for the client."""

    def check_client(self, now_ns: int) -> bool:
        """Read from the client's connection, to detect an abort or a close, unless that was done recently.

        Return whether everything that the client sent up to a short time ago has been read.
        """


@dataclass(slots=True, eq=False)
class OpenRequest:
    """A client's request as read from its connection, until it has a response and no attempt is under way.

    Attributes:
        receiver: Where the response goes.
        stream_id: The request's number on that connection.
        job_id: The client's id of the request; it identifies the request on the wire to caches too.
        class_index: Index of its class in the settings.
        class_name: Name of that class.
        object_key: The object's id as text, 16 hexadecimal digits.
        object_id: The same as a number.
        part: Number of the requested part of the object.
        group: The object's group; all objects of a group may be purged together.
        is_repeat: Whether the client sent the same request before.
        known_version: Version of the object that the client holds; empty if it holds none.
        allowed_ns: How long the client waits for a response.
        received_at_ns: When its last byte was read, or its connection was queued to be read.
        earliest_arrival_ns: Start of `allowed_ns`; before `received_at_ns` if the request may have been in
            the socket during a process pause.
        body: The request's body.
        idempotency_key: Key by which caches deduplicate a write; passed on unchanged.
        number: Its number in the table; -1 before it is added.
        is_finished: It has its final response, or the client has disconnected.
        is_cancelled: The client aborted it or disconnected; set before the router is notified.
        disconnected_at_ns: When `is_cancelled` was set; 0 if it is not.
        tenant: Its tenant, if tenants are placed on shards.
        shard: The shard at which the tenant was placed.
        allows_concurrent_attempts: Whether an attempt may begin while another attempt is not closed.
        attempts: All attempts, in their order.
    """

    receiver: ResponseReceiver
    stream_id: int
    job_id: str
    class_index: int
    class_name: str
    object_key: str
    object_id: int
    part: int
    group: int
    is_repeat: bool
    known_version: str
    allowed_ns: int
    received_at_ns: int
    body: bytes
    idempotency_key: str = ""
    earliest_arrival_ns: int = 0
    number: int = -1
    is_finished: bool = False
    is_cancelled: bool = False
    disconnected_at_ns: int = 0
    tenant: str = ""
    shard: str = ""
    allows_concurrent_attempts: bool = True
    attempts: list[OpenAttempt] = field(default_factory=list)

    def __post_init__(self) -> None:
        """Let its time start when it was read, unless an earlier arrival is known."""
        self.earliest_arrival_ns = self.earliest_arrival_ns or self.received_at_ns

    def cancel(self, now_ns: int) -> None:
        """Note that the client aborted it or disconnected: no attempt starts for it from now on."""
        if not self.is_cancelled:
            self.is_cancelled, self.disconnected_at_ns = True, now_ns

    def time_left(self, now_ns: int) -> int:
        """Return how long its client still waits, in ns; 0 if the time is over."""
        return max(self.allowed_ns - (now_ns - self.earliest_arrival_ns), 0)


@dataclass(slots=True, eq=False)
class OpenAttempt:
    """One attempt to get the response to a request from a cache.

    Attributes:
        request: The request it belongs to.
        number: Its index among the request's attempts.
        cache: Number of the machine it is sent to.
        started_at_ns: When it was started.
        source: Number of the machine that the cache fetches from; -1 for none.
        is_completed: Its outcome was reported to the router. Its server may still run it; see `state`.
        state: Its state at its server.
        is_revoked: Its first byte must not be sent any more, after a purge or as its cache or source leaves.
        first_byte_deadline_ns: Latest time to send its first byte, since caches deduplicate a retried request
            only for a limited time; 0: no limit.
        deadline_ns: When it times out.
        revoked_at_ns: When it was revoked; 0 if it was not.
        first_byte_at_ns: When its first byte was sent; 0 if it was not.
        closed_at_ns: When it was closed; 0 if it was not.
        paused_ns: How long this front did not read its connection, for want of buffers.
    """

    request: OpenRequest
    number: int
    cache: int
    started_at_ns: int
    source: int = -1
    is_completed: bool = False
    is_revoked: bool = False
    first_byte_deadline_ns: int = 0
    deadline_ns: int = 0
    revoked_at_ns: int = 0
    first_byte_at_ns: int = 0
    closed_at_ns: int = 0
    paused_ns: int = 0
    state: AttemptState = AttemptState.QUEUED

    @property
    def may_run(self) -> bool:
        """Whether its server may run it now: it was sent, and it is not closed."""
        return self.state in (AttemptState.SENT, AttemptState.CANCELLED)

    def on_first_byte(self, now_ns: int) -> None:
        """Note that the first byte of its command was sent."""
        self._enter(AttemptState.SENT)
        self.first_byte_at_ns = now_ns

    def on_cancelled(self) -> None:
        """Note that nobody waits for it any more, while its server is not notified yet."""
        self._enter(AttemptState.CANCELLED)

    def on_closed(self, now_ns: int) -> None:
        """Note that its server can't run it any more, or never ran it."""
        self._enter(AttemptState.CLOSED)
        self.closed_at_ns = now_ns

    def _enter(self, state: AttemptState) -> None:
        if state not in TRANSITIONS[self.state]:
            raise AssertionError(f"invalid transition of an attempt from {self.state.value} to {state.value}")
        self.state = state

    def revoke(self, now_ns: int) -> None:
        """Note that its first byte must not be sent from now on; no effect if it was sent before."""
        if not self.is_revoked:
            self.is_revoked, self.revoked_at_ns = True, now_ns


class OpenRequestTable:
    """Open requests by number, kept until they are finished and all their attempts have ended.

    Args:
        max_requests: Limit on open requests; the caller checks `is_full` before it adds one.

    Attributes:
        request_by_number: The open requests.
        job_ids: Clients' ids of the open requests; each identifies one request on the wire.
        next_number: The next number to assign, if it is free.
        unanswered: Requests without a final response.
        accepted: Requests added so far.
    """

    def __init__(self, max_requests: int) -> None:
        self.max_requests = max_requests
        self.request_by_number: dict[int, OpenRequest] = {}
        self.job_ids: set[str] = set()
        self.next_number = 1
        self.unanswered = 0
        self.accepted = 0

    @property
    def is_full(self) -> bool:
        """Whether the limit is reached."""
        return len(self.request_by_number) >= self.max_requests

    def add(self, request: OpenRequest) -> None:
        """Add a request under the next free number."""
        while self.next_number in self.request_by_number:
            self._advance_number()
        request.number = self.next_number
        self._advance_number()
        self.request_by_number[request.number] = request
        self.job_ids.add(request.job_id)
        self.unanswered += 1
        self.accepted += 1

    def _advance_number(self) -> None:
        self.next_number = self.next_number % (REQUEST_NUMBER_LIMIT - 1) + 1

    def start_attempt(self, request: OpenRequest, cache: int, now_ns: int, source: int = -1) -> OpenAttempt:
        """Add an attempt to a request."""
        attempt = OpenAttempt(request, len(request.attempts), cache, now_ns, source)
        request.attempts.append(attempt)
        return attempt

    def find_open_attempt(self, number: int, attempt_number: int) -> OpenAttempt | None:
        """Return an attempt by its request's number and its own; None if it is unknown or completed."""
        request = self.request_by_number.get(number)
        if request is None or attempt_number >= len(request.attempts):
            return None
        attempt = request.attempts[attempt_number]
        return None if attempt.is_completed else attempt

    def finish(self, request: OpenRequest) -> None:
        """Note that a request has its final response or needs none."""
        if not request.is_finished:
            request.is_finished = True
            self.unanswered -= 1
        self.remove_if_done(request)

    def remove_if_done(self, request: OpenRequest) -> None:
        """Remove a request that is finished and whose attempts have all ended."""
        is_done = request.is_finished and all(attempt.is_completed for attempt in request.attempts)
        if is_done and self.request_by_number.pop(request.number, None) is not None:
            self.job_ids.discard(request.job_id)
            request.attempts = []  # breaks the reference cycle, so that they are freed at once
