"""The interface of the decision module: its settings, the events it receives and the actions it returns.

Times, durations and ages are integer nanoseconds; times are readings of one monotonic clock. A machine is a
cache, a parent or the origin; events and actions refer to it by its number in the endpoint list. This module
only defines types.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, IntEnum


class Idempotency(Enum):
    """Whether a request may run more than once.

    Attributes:
        SAFE: It has no side effects and may run any number of times.
        KEYED: It carries an idempotency key, by which caches drop repeats for a limited time.
        UNSAFE: It must not run twice.
    """

    SAFE = "safe"
    KEYED = "keyed"
    UNSAFE = "unsafe"


class DeduplicationScope(Enum):
    """The caches that drop a repeat of a keyed request which one of them has run.

    Attributes:
        ALL: All caches.
        ZONE: The caches of the zone of the one that ran it.
        CELL: The caches of the cell of the one that ran it.
    """

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class AttemptOutcome(Enum):
    """How an attempt or a health check ended.

    Attributes:
        OK: A response was received; for a health check, the machine is healthy.
        ERROR: The machine answered that it failed.
        OVERLOADED: The machine or the source of its fetch refused for overload; nothing ran.
        TIMEOUT: No response before the deadline.
        CONNECT_FAILED: No connection was established; nothing was sent.
        RESET: The connection was lost after the command had been sent.
        CANCELLED: The attempt was cancelled.
        NOT_PROCESSED: The command was not sent, or the machine did not process it.
        MISS: The object does not exist, or no copy was held where only held copies were asked for.
    """

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
    """How a cache obtained its copy, or why its fetch from the source failed.

    Attributes:
        NONE: Not reported.
        HIT: The cache held a fresh copy.
        FILLED: The cache fetched the object from a parent or another cache.
        FROM_ORIGIN: The object was fetched from the origin.
        COLLAPSED: The request joined a fetch that was already under way.
        STALE: The cache served a copy that had expired.
        SOURCE_REFUSED: The source refused the fetch.
        SOURCE_BROKEN: The fetch from the source broke off.
        SOURCE_MISS: The source does not have the object.
        NO_FETCH_SLOT: The cache had no free slot for a fetch.
        ORIGIN_FAILED: The origin failed.
    """

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
    """The state of a machine in the endpoint list.

    Attributes:
        READY: It accepts requests.
        DRAINING: It finishes the requests that it has and is sent no new ones.
        GONE: It has left the list.
    """

    READY = 0
    DRAINING = 1
    GONE = 2


class UpdateScope(Enum):
    """Which endpoints an update names.

    Attributes:
        CHANGES: Those that changed.
        FAILED: None; the list could not be read.
        FULL: All; an endpoint that is not named has left the list.
        RESTORED: All, as known when the front started.
    """

    CHANGES = 0
    FAILED = 1
    FULL = 2
    RESTORED = 3


@dataclass(slots=True, frozen=True)
class RequestClass:
    """The settings of one class of requests.

    Attributes:
        effect: Whether requests of the class may run more than once.
        group: The caches that drop repeats of a keyed request.
        window: How long after the first run they drop repeats, ns.
        on_time: The latency aimed for without the transfer, ns.
        stretch: Transfer times that are added to `on_time`.
        deadline: The longest that a client waits for a response, ns.
        worth: The value of a response that is on time, relative to other classes.
        stream: Whether the response reaches the client while it is still being received.
        fresh: The age up to which a copy is fresh, ns; 0: without limit.
        grace: How much older than `fresh` a copy may be while requests are shed, ns.
        never_kept: Whether caches never keep copies, so that each request goes to the origin.
    """

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
    """The settings of the decision module.

    A machine that started a short time ago is cold: its capacity rises linearly from a share to all of it.
    Load beyond a multiple of that capacity within `cold_window` overloads the machine.

    Attributes:
        zone: Index of this front's zone.
        fronts: Number of fronts.
        fronts_by_zone: Number of fronts in each zone, by zone index; empty where it is not known.
        classes: The request classes; events name them by index.
        parent_kind: Kind of the machines that are parents; -1: there are none.
        origin_kind: Kind of the machines that are origins; -1: there are none.
        direct: Whether requests may be sent straight to a parent or the origin.
        joins: Whether caches can let a request join a fetch of the same object (single-flight).
        siblings: Whether caches can fetch from other caches.
        reports: Names of the values of a load report, such as "in flight", in their order.
        client_kb_per_s: Transfer rate to one client in kB/s; 0: not known.
        sizes_compare: Whether the sizes in the endpoint list are comparable between machines.
        purge_settles: Time after which a purge has reached all caches, ns.
        cold_from: Capacity of a cache that has just started, as a share of its full capacity.
        cold_multiple: The load that a cold cache withstands, as a multiple of its present capacity.
        cold_window: Time over which that load is counted, ns.
        cold_time: Time until a cache has its full capacity, ns.
        parent_cold_from: As `cold_from`, for parents.
        parent_cold_multiple: As `cold_multiple`, for parents.
        parent_cold_time: As `cold_time`, for parents.
        list_on_request: Whether changes of the endpoint list are sent only after `WatchEndpoints`.
        must_ask_in: Time after the start within which they must be requested, ns.
        cancel: Whether attempts can be cancelled.
        second_copies: Whether two attempts of one safe request may run at the same time.
        attempts: Limit on the attempts of one request.
        retry_after: Whether clients honour the retry delay of a rejection.
        max_retry_after: The longest retry delay, ns.
        step: Granularity of the host's timers, ns; a request with no more time left than that is rejected.
    """

    zone: int
    fronts: int
    fronts_by_zone: tuple[int, ...]
    classes: tuple[RequestClass, ...]
    parent_kind: int
    origin_kind: int
    direct: bool
    joins: bool
    siblings: bool
    reports: tuple[str, ...]
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
    """An entry of the endpoint list: a cache, a parent or the origin.

    Attributes:
        number: The machine's number.
        kind: Index of its kind; see `Settings.parent_kind` and `Settings.origin_kind`.
        zone: Index of its zone.
        cell: Number of its cell within the zone.
        size: Its capacity, in transfers to clients at `Settings.client_kb_per_s`; 0: not known.
        started_at: When its process started, ns; 0: not known, or long ago.
        state: Whether it accepts requests.
    """

    number: int
    kind: int
    zone: int
    cell: int
    size: float
    started_at: int
    state: EndpointState


@dataclass(slots=True, frozen=True)
class EndpointUpdate:
    """The endpoint list was read, changed, or could not be read."""

    scope: UpdateScope
    endpoints: tuple[Endpoint, ...]


@dataclass(slots=True)
class RequestReceived:
    """A client's request.

    Attributes:
        request: The request's number; not reused while the request is open.
        class_index: Index of its class in `Settings.classes`.
        size_kb: Size of the response in kB; 0: not known.
        tenant: Number of its tenant.
        group: Group of the object; a whole group can be purged at once.
        object: Number of the object.
        part: Which part of the object is requested.
        is_repeat: Whether the client has sent the request before.
        time_left: How long the client still waits, ns.
        waited: How long the request waited at this front for its turn, ns; a long wait means that the front
            is overloaded.
    """

    request: int
    class_index: int
    size_kb: float
    tenant: int
    group: int
    object: int
    part: int
    is_repeat: bool
    time_left: int
    waited: int = 0


@dataclass(slots=True, frozen=True)
class HomeShard:
    """The home shard of a tenant's key under one rule version; no other caches and parents serve the key.

    Attributes:
        number: Distinguishes home shards from each other.
        caches: Numbers of its caches.
        parents: Numbers of its parents.
        is_write_paused: Whether new requests of all classes whose effect is not `Idempotency.SAFE` are
            rejected, with a retry delay, while the tenant is being migrated.
    """

    number: int
    caches: frozenset[int]
    parents: frozenset[int]
    is_write_paused: bool = False


@dataclass(slots=True)
class TimerFired:
    """A timer set by `SetTimer` has expired."""

    token: int


@dataclass(slots=True, frozen=True)
class ResponseStarted:
    """The response of an attempt has begun to reach the client.

    Attributes:
        request: The request's number.
        attempt: Index of the attempt among the request's attempts.
        cache: Number of the machine that it was sent to.
    """

    request: int
    attempt: int
    cache: int


@dataclass(slots=True, frozen=True)
class ResponseDelayed:
    """The response of an attempt has begun to arrive, but this front has no buffers for the rest of it yet.

    Attributes:
        request: The request's number.
        attempt: Index of the attempt among the request's attempts.
    """

    request: int
    attempt: int


@dataclass(slots=True)
class AttemptCompleted:
    """An attempt has completed.

    Attributes:
        request: The request's number.
        attempt: Index of the attempt among the request's attempts.
        cache: Number of the machine that it was sent to.
        outcome: How it ended.
        elapsed: Time since it was sent, ns.
        is_request_finished: Whether the request has its final response, from this attempt or an earlier one.
        cache_status: What the cache reported about its copy or its fetch.
        waited: How long the request waited at the cache for a fetch, ns.
        report: The machine's load report, values in the order of `Settings.reports`; empty: none.
        has_alternative_address: Whether the connection to one address failed and the machine has others.
    """

    request: int
    attempt: int
    cache: int
    outcome: AttemptOutcome
    elapsed: int
    is_request_finished: bool
    cache_status: CacheStatus
    waited: int
    report: tuple[float, ...]
    has_alternative_address: bool = False


@dataclass(slots=True, frozen=True)
class ClientDisconnected:
    """The client of an open request has closed its connection or aborted the request."""

    request: int


@dataclass(slots=True, frozen=True)
class HealthCheckCompleted:
    """A health check has completed; the present router ignores this event.

    Attributes:
        cache: Number of the machine.
        outcome: How the check ended.
        elapsed: Time since it was sent, ns.
        report: The machine's load report, values in the order of `Settings.reports`; empty: none.
    """

    cache: int
    outcome: AttemptOutcome
    elapsed: int
    report: tuple[float, ...]


@dataclass(slots=True, frozen=True)
class PeerMessage:
    """A message from another front; only the simulator sends it, and the present router ignores it."""

    peer: int
    text: bytes


@dataclass(slots=True, frozen=True)
class ObjectPurged:
    """An object was purged, or all objects of a group.

    Attributes:
        group: The purged group; of no meaning where an object is purged.
        object: The purged object; 0: the whole group.
        age: Time since the purge, ns.
    """

    group: int
    object: int
    age: int


# Learned facts: exported by the decision module, stored, and restored after a restart (docs/state.md).


@dataclass(slots=True, frozen=True)
class LearnedTransferTime:
    """The mean transfer time of a class.

    Attributes:
        class_index: Index of the class.
        mean: The mean, ns.
        sample_count: Number of responses that it is taken over.
        age: Time since the last of them, ns, at the time of export.
    """

    class_index: int
    mean: float
    sample_count: int
    age: int


@dataclass(slots=True, frozen=True)
class LearnedLatency:
    """The baseline latency of a class, as natural logarithms.

    Attributes:
        class_index: Index of the class.
        is_hit: Whether it is of responses from a cache's own copies, not of fetches.
        is_relative: Whether latencies are relative to the transfer time given by the size, not in ms.
        mean_log: Running mean of the logarithms.
        sample_count: Number of responses.
        min_log: Minimum that the running mean of the logarithms has had; it rises slowly over time
            (`Baseline.minimum`).
        age: Time since the last response, ns, at the time of export.
    """

    class_index: int
    is_hit: bool
    is_relative: bool
    mean_log: float
    sample_count: int
    min_log: float
    age: int


@dataclass(slots=True, frozen=True)
class LearnedFetchLimit:
    """The limit on fetches in flight; `age` is the time since it was learned, ns.

    It is exported but not restored.
    """

    limit: int
    age: int


@dataclass(slots=True, frozen=True)
class LearnedServedWork:
    """The work that the machines of a kind have served, as an exponentially decaying sum.

    Attributes:
        kind: Index of the kind.
        work: Sum of transfer times, ns.
        span: Time over which it was counted, ns.
        age: Time since it was last added to, ns, at the time of export.
    """

    kind: int
    work: float
    span: int
    age: int


@dataclass(slots=True, frozen=True)
class LearnedEndpoint:
    """What was learned about one machine. Ages are ns at the time of export; -1: it does not apply.

    Attributes:
        number: The machine's number.
        slowness: Weighted sum of logarithms of its latency relative to the baseline.
        slowness_weight: Sum of the weights.
        age: Time since the slowness was last updated; 0 where it never was.
        cold_start_age: Time since a restart that was inferred from failed attempts.
        ejection_age: Time since it was last seen ejected as an outlier.
        drain_age: Time since it was last seen draining.
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
    """A purge of an object, or of a whole group where `object` is 0; `age` is the time since it, ns."""

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
    | ResponseDelayed
    | AttemptCompleted
    | ClientDisconnected
    | HealthCheckCompleted
    | PeerMessage
    | ObjectPurged
)


@dataclass(slots=True)
class ForwardRequest:
    """Send an attempt directly to an origin, for a request class that caches never keep.

    Attributes:
        request: The request's number.
        cache: Number of the machine.
        timeout: Time after which no response is waited for, ns; 0: the request's deadline.
        first_byte_within: Time within which its first byte must be sent, ns; later, caches would no longer
            recognise it as a repeat. 0: without limit.
    """

    request: int
    cache: int
    timeout: int
    first_byte_within: int = 0


@dataclass(slots=True)
class FetchThrough:
    """Send an attempt to a cache, or directly to its source if no cache is usable.

    The target fetches the object from `source` if it has no usable copy.

    Attributes:
        request: The request's number.
        cache: Number of the target: a cache, a parent or an origin.
        timeout: Time after which no response is waited for, ns; 0: the request's deadline.
        source: Number of the machine that the target fetches from; the target itself: it uses no source.
        tier: Value of the command's `tier` field; 0: without the field.
        max_copy_age: The greatest age of a copy that may be served, ns; 0: that of the class.
        join: Whether the request may join a fetch of the same object that is under way (single-flight).
        renew: Whether an expired copy may be revalidated at the source.
        held_only: Whether the source must serve only copies that it holds and not fetch itself.
        first_byte_within: As for `ForwardRequest`.
    """

    request: int
    cache: int
    timeout: int
    source: int
    tier: int
    max_copy_age: int
    join: bool
    renew: bool
    held_only: bool
    first_byte_within: int = 0


@dataclass(slots=True)
class CancelAttempt:
    """Cancel an attempt; `attempt` is its index among the request's attempts."""

    request: int
    attempt: int


@dataclass(slots=True)
class RejectRequest:
    """Final response: the request was rejected and may be repeated after `retry_after` ns; 0: no advice."""

    request: int
    retry_after: int


@dataclass(slots=True, frozen=True)
class FailRequest:
    """Final response: the request failed and may have run."""

    request: int


@dataclass(slots=True)
class SetTimer:
    """Set a timer.

    Attributes:
        wait: Time until it fires, ns.
        token: Returned in `TimerFired`.
        request: Number of the request that the timer belongs to; it need not fire once that request is
            finished. -1: it belongs to none.
    """

    wait: int
    token: int
    request: int = -1


@dataclass(slots=True, frozen=True)
class SendHealthCheck:
    """Send a health check to a machine; `cache` is its number."""

    cache: int


@dataclass(slots=True, frozen=True)
class WatchEndpoints:
    """Request the endpoint list and all later changes to it."""


@dataclass(slots=True, frozen=True)
class WriteLog:
    """Write a line to the log."""

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
