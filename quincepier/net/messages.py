"""The messages that actors send to each other's mailboxes."""

from __future__ import annotations

from dataclasses import dataclass

from quincepier.interface import AttemptOutcome, CacheStatus
from quincepier.memory.buffer_pool import PooledBody
from quincepier.memory.open_requests import OpenAttempt, OpenRequest
from quincepier.wire.changelog import FleetChange, PurgeRecord
from quincepier.wire.lines import ServeCommand


@dataclass(slots=True, frozen=True)
class RequestArrived:
    """Client to module: a complete request was received.

    It equals another message about the same request.
    """

    request: OpenRequest


@dataclass(slots=True)
class ClientDisconnected:
    """Client to module: the client aborted the request or disconnected; it takes no response any more."""

    request: OpenRequest


@dataclass(slots=True)
class Response:
    """Module to client: the one final response of a request.

    Attributes:
        request: The request.
        status: HTTP status.
        body: The object's bytes; None for a response without a body. The receiver releases its buffers.
        is_unchanged: The version that the client holds is still current, so no body is sent.
        retry_after_ms: Milliseconds after which a rejected client may retry; None to name no time.
    """

    request: OpenRequest
    status: int
    body: PooledBody | None = None
    is_unchanged: bool = False
    retry_after_ms: int | None = None

    def fail(self) -> None:
        """Make it a 502 without a body and release its buffers."""
        if self.body is not None:
            self.body.release()
        self.status, self.body = 502, None


@dataclass(slots=True)
class SendCommand:
    """Module to cache: send the command of a new attempt."""

    attempt: OpenAttempt
    command: ServeCommand


@dataclass(slots=True)
class CancelCommand:
    """Module to cache: cancel an attempt that nobody waits for any more."""

    attempt: OpenAttempt


@dataclass(slots=True, frozen=True)
class RevokeCommand:
    """Module to cache: the attempt was revoked; if its command has not been sent, it must not be sent."""

    attempt: OpenAttempt


@dataclass(slots=True, frozen=True)
class RunHealthCheck:
    """Module to cache: send a health check.

    Attributes:
        includes_load_report: The check also asks for the cache's load report.
    """

    includes_load_report: bool


@dataclass(slots=True, frozen=True)
class ResponseDelayed:
    """Cache to module: the attempt's response has begun to arrive and waits for buffers of this front."""

    attempt: OpenAttempt


@dataclass(slots=True)
class AttemptFinished:
    """Cache to module: the outcome of an attempt.

    Attributes:
        attempt: The attempt.
        outcome: Its outcome.
        finished_at_ns: When it finished.
        cache_status: How the cache obtained the object, as the response reports it.
        queue_time_ns: How long the cache kept the request queued, as the response reports it.
        load_report: The cache's load report, in the order of the settings' fields; empty if there is none.
        body: The object's bytes; None if the response has none.
        is_unchanged: The version that the client holds is still current.
        has_alternative_address: The connection broke, and the machine has another address to try.
    """

    attempt: OpenAttempt
    outcome: AttemptOutcome
    finished_at_ns: int
    cache_status: CacheStatus = CacheStatus.NONE
    queue_time_ns: int = 0
    load_report: tuple[float, ...] = ()
    body: PooledBody | None = None
    is_unchanged: bool = False
    has_alternative_address: bool = False


@dataclass(slots=True, frozen=True)
class HealthCheckFinished:
    """Cache to module: the outcome of a health check.

    Attributes:
        cache: Number of the machine.
        outcome: Outcome of the check.
        elapsed_ns: Time from the check to its outcome.
        load_report: The cache's load report, in the order of the settings' fields; empty if there is none.
    """

    cache: int
    outcome: AttemptOutcome
    elapsed_ns: int
    load_report: tuple[float, ...]


@dataclass(slots=True, frozen=True)
class ChangeLogEvent:
    """Change-log watcher to module: one numbered event of the change log.

    Attributes:
        event: The event.
        absent_at_ns: Time of the last response of the log that did not contain the event yet; 0: unknown.
    """

    event: FleetChange | PurgeRecord
    absent_at_ns: int = 0


FromClient = RequestArrived | ClientDisconnected
ToCache = SendCommand | CancelCommand | RevokeCommand | RunHealthCheck
ToModule = (
    RequestArrived
    | ClientDisconnected
    | ResponseDelayed
    | AttemptFinished
    | HealthCheckFinished
    | ChangeLogEvent
)
