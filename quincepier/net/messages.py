"""What the actors tell each other."""

from __future__ import annotations

from dataclasses import dataclass

from quincepier.interface import AttemptOutcome, CacheStatus
from quincepier.memory.buffer_pool import PooledBody
from quincepier.memory.open_requests import OpenAttempt, OpenRequest
from quincepier.wire.changelog import FleetChange, PurgeRecord
from quincepier.wire.lines import ServeCommand


@dataclass(slots=True)
class RequestArrived:
    """Client to module: a request is there."""

    request: OpenRequest


@dataclass(slots=True)
class ClientDisconnected:
    """Client to module: no answer is owed any more."""

    request: OpenRequest


@dataclass(slots=True)
class Response:
    """Module to client: the one final answer."""

    request: OpenRequest
    status: int
    body: PooledBody | None = None
    still: bool = False
    wait_ms: int | None = None


@dataclass(slots=True)
class SendCommand:
    """Module to cache: an attempt and its command."""

    attempt: OpenAttempt
    command: ServeCommand


@dataclass(slots=True)
class CancelCommand:
    """Module to cache."""

    attempt: OpenAttempt


@dataclass(slots=True, frozen=True)
class RevokeCommand:
    """Module to cache: a command not written yet is not to be written as it stands."""

    attempt: OpenAttempt


@dataclass(slots=True, frozen=True)
class RunHealthCheck:
    """Module to cache: a probe, of its load or of its life alone."""

    gauges: bool


@dataclass(slots=True)
class AttemptFinished:
    """Cache to module: how an attempt ended, when, and what came with it."""

    attempt: OpenAttempt
    ending: AttemptOutcome
    at: int
    note: CacheStatus = CacheStatus.NONE
    waited: int = 0
    report: tuple[float, ...] = ()
    body: PooledBody | None = None
    still: bool = False
    another_way: bool = False  # the machine has an address beside the one that broke


@dataclass(slots=True, frozen=True)
class HealthCheckFinished:
    """Cache to module: how a probe ended."""

    cache: int
    ending: AttemptOutcome
    elapsed: int
    report: tuple[float, ...]


@dataclass(slots=True, frozen=True)
class ChangeLogEvent:
    """List to module: one numbered event.

    The log did not tell it yet as it answered at `unread_before_ns`; 0 where that is not known.
    """

    event: FleetChange | PurgeRecord
    unread_before_ns: int = 0


FromClient = RequestArrived | ClientDisconnected
ToCache = SendCommand | CancelCommand | RevokeCommand | RunHealthCheck
ToModule = RequestArrived | ClientDisconnected | AttemptFinished | HealthCheckFinished | ChangeLogEvent
