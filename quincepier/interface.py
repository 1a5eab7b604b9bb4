"""What the decision module hears and says: settings, events and actions.

Times are integer nanoseconds of one clock. Nothing here decides, reads or writes anything.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, IntEnum


class Idempotency(Enum):
    SAFE = "safe"
    KEYED = "keyed"
    UNSAFE = "unsafe"


class DeduplicationScope(Enum):
    """The caches that drop the repeats of a keyed request."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class AttemptOutcome(Enum):
    """How an attempt ended."""

    OK = "ok"
    ERROR = "error"
    OVERLOADED = "full"
    TIMEOUT = "timeout"
    CONNECT_FAILED = "connect failed"
    RESET = "reset"
    CANCELLED = "cancelled"
    NOT_PROCESSED = "moot"
    MISS = "miss"


class CacheStatus(IntEnum):
    """What an ending told of the copy or of the fill."""

    NONE = 0
    HIT = 1
    FILLED = 2
    FROM_ORIGIN = 3
    COLLAPSED = 4
    STALE = 5
    SOURCE_REFUSED = 6
    SOURCE_BROKEN = 7
    SOURCE_MISS = 8
    NO_FETCH_SLOT = 9
    ORIGIN_FAILED = 10


class EndpointState(Enum):
    READY = 0
    DRAINING = 1
    GONE = 2


class UpdateScope(Enum):
    CHANGES = 0
    FAILED = 1
    FULL = 2
    RESTORED = 3


@dataclass(slots=True, frozen=True)
class RequestClass:
    effect: Idempotency
    group: DeduplicationScope
    window: int
    on_time: int
    stretch: float
    deadline: int
    worth: float
    stream: bool
    fresh: int
    grace: int
    never_kept: bool


@dataclass(slots=True, frozen=True)
class Settings:
    zone: int
    fronts: int
    fronts_by_zone: tuple[int, ...]
    classes: tuple[RequestClass, ...]
    parent_kind: int
    origin_kind: int
    direct: bool
    joins: bool
    siblings: bool
    reports: tuple[str, ...]  # what the values of a load report are, such as "in flight", in their order
    client_kb_per_s: float
    sizes_compare: bool
    purge_settles: int
    cold_from: float
    cold_multiple: float
    cold_window: int
    cold_time: int
    parent_cold_from: float
    parent_cold_multiple: float
    parent_cold_time: int
    list_on_request: bool
    must_ask_in: int
    cancel: bool
    second_copies: bool
    attempts: int
    retry_after: bool
    max_retry_after: int
    step: int


@dataclass(slots=True, frozen=True)
class Endpoint:
    """One line of the list of caches, parents and the origin."""

    number: int
    kind: int
    zone: int
    cell: int
    size: float
    started_at: int
    state: EndpointState


@dataclass(slots=True, frozen=True)
class EndpointUpdate:
    scope: UpdateScope
    endpoints: tuple[Endpoint, ...]


@dataclass(slots=True)
class RequestReceived:
    request: int
    class_index: int
    size_kb: float
    tenant: int
    group: int
    object: int
    part: int
    is_repeat: bool
    time_left: int
    waited: int = 0  # for its turn at this front: more than a little says that the front is behind


@dataclass(slots=True, frozen=True)
class HomeShard:
    """Where a key of a tenant is at home under one rule version; what is not in the sets is not used for it.

    `name` tells homes apart. `closed`: what may not simply be repeated is refused for now, with advice.
    """

    number: int
    caches: frozenset[int]
    parents: frozenset[int]
    is_write_paused: bool = False


@dataclass(slots=True)
class TimerFired:
    token: int


@dataclass(slots=True, frozen=True)
class ResponseStarted:
    request: int
    attempt: int
    cache: int


@dataclass(slots=True)
class AttemptCompleted:
    request: int
    attempt: int
    cache: int
    outcome: AttemptOutcome
    elapsed: int
    last: bool
    cache_status: CacheStatus
    waited: int
    report: tuple[float, ...]
    has_other_address: bool = False  # a reset over one address of a machine that has others


@dataclass(slots=True, frozen=True)
class ClientDisconnected:
    request: int


@dataclass(slots=True, frozen=True)
class HealthCheckCompleted:
    cache: int
    outcome: AttemptOutcome
    elapsed: int
    report: tuple[float, ...]


@dataclass(slots=True, frozen=True)
class PeerMessage:
    peer: int
    text: bytes


@dataclass(slots=True, frozen=True)
class ObjectPurged:
    """A purge made `ago` earlier; with object 0 it is of all the group."""

    group: int
    object: int
    age: int


# What a module has learned, as it tells it and is told it again after a start (docs/state.md).
# `ago`: nanoseconds since it was so, when it was told.


@dataclass(slots=True, frozen=True)
class LearnedTransferTime:
    """The mean sending time of a class, over so many answers."""

    class_index: int
    mean: float
    sample_count: int
    age: int


@dataclass(slots=True, frozen=True)
class LearnedLatency:
    """How long answers of a class usually take: logarithms of nanoseconds, or of the told sending time."""

    class_index: int
    is_hit: bool
    is_relative: bool
    mean_log: float
    sample_count: int
    min_log: float
    age: int


@dataclass(slots=True, frozen=True)
class LearnedFetchLimit:
    limit: int
    age: int


@dataclass(slots=True, frozen=True)
class LearnedServedWork:
    """Sending time that machines of a kind bore, fading, over `span` nanoseconds."""

    kind: int
    work: float
    span: int
    age: int


@dataclass(slots=True, frozen=True)
class LearnedEndpoint:
    """Signs of how slow it is; when it was found to have started anew; set aside; told to leave.

    -1 for a time that there is none of.
    """

    number: int
    slowness: float
    slowness_weight: float
    age: int
    cold_start_age: int
    ejection_age: int
    drain_age: int


@dataclass(slots=True, frozen=True)
class LearnedPurge:
    """Of a group (object 0) or an object, made `ago` before."""

    group: int
    object: int
    age: int


Learned = (
    LearnedTransferTime
    | LearnedLatency
    | LearnedFetchLimit
    | LearnedServedWork
    | LearnedEndpoint
    | LearnedPurge
)

Event = (
    EndpointUpdate
    | RequestReceived
    | TimerFired
    | ResponseStarted
    | AttemptCompleted
    | ClientDisconnected
    | HealthCheckCompleted
    | PeerMessage
    | ObjectPurged
)


@dataclass(slots=True)
class ForwardRequest:
    """An attempt that fills nothing: the origin's answer, or a fresh copy held at the cache."""

    request: int
    cache: int
    timeout: int
    first_byte_within: int = (
        0  # how long it is a harmless repeat: its first byte goes out by then or never; 0: always
    )


@dataclass(slots=True)
class FetchThrough:
    """An attempt that names a fill's source (the cache itself: none) and the oldest copy that will do."""

    request: int
    cache: int
    timeout: int
    source: int
    tier: int
    max_copy_age: int
    join: bool
    renew: bool
    held_only: bool
    first_byte_within: int = 0  # as for Ask


@dataclass(slots=True)
class CancelAttempt:
    request: int
    attempt: int


@dataclass(slots=True)
class RejectRequest:
    request: int
    retry_after: int


@dataclass(slots=True, frozen=True)
class FailRequest:
    request: int


@dataclass(slots=True)
class SetTimer:
    wait: int
    token: int
    request: int = -1  # the one it is about: of no use once that is over, and then it need not come


@dataclass(slots=True, frozen=True)
class SendHealthCheck:
    cache: int


@dataclass(slots=True, frozen=True)
class WatchEndpoints:
    """Ask for the list's changes from now on."""


@dataclass(slots=True, frozen=True)
class WriteLog:
    text: str


Action = (
    ForwardRequest
    | FetchThrough
    | CancelAttempt
    | RejectRequest
    | FailRequest
    | SetTimer
    | SendHealthCheck
    | WatchEndpoints
    | WriteLog
)
