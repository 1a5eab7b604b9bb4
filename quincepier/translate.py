"""Converts between the wire formats and the decision module's interface, one to one; it decides nothing."""

from __future__ import annotations

import re
from collections.abc import Iterable, Mapping
from typing import Protocol

from quincepier import clock
from quincepier import interface as io
from quincepier.config import WIRE_FIELD_BY_SETTING, FrontConfig
from quincepier.errors import PeerInputError
from quincepier.interface import AttemptOutcome, CacheStatus
from quincepier.memory.machine_directory import MachineDirectory
from quincepier.memory.open_requests import OpenAttempt, OpenRequest, ResponseReceiver
from quincepier.wire.changelog import PurgeRecord
from quincepier.wire.fastcgi import FastCgiRequest
from quincepier.wire.lines import ResponseHead

PATH = "/call/"  # followed by the class name
PING = "/ping"
HEX_16 = re.compile(r"[0-9a-f]{16}")
INTEGER = re.compile(r"[0-9]{1,10}")
MAX_PART, MAX_GROUP = 0xFFFF, 255
MAX_ALLOWED_DEADLINES = 2  # maximum of HTTP_X_ALLOW_MS, as a multiple of the class's deadline
OUTCOME_BY_WORD = {
    "data": AttemptOutcome.OK,
    "unchanged": AttemptOutcome.OK,
    "absent": AttemptOutcome.MISS,
    "full": AttemptOutcome.OVERLOADED,
    "failed": AttemptOutcome.ERROR,
    "moot": AttemptOutcome.NOT_PROCESSED,
}
CACHE_STATUS_BY_WORD = {
    "local": CacheStatus.HIT,
    "pulled": CacheStatus.FILLED,
    "pulled_far": CacheStatus.FROM_ORIGIN,
    "rode": CacheStatus.COLLAPSED,
    "expired": CacheStatus.STALE,
    "turned_away": CacheStatus.SOURCE_REFUSED,
    "cut_off": CacheStatus.SOURCE_BROKEN,
    "not_there": CacheStatus.SOURCE_MISS,
    "no_place": CacheStatus.NO_FETCH_SLOT,
    "far_fault": CacheStatus.ORIGIN_FAILED,
}


class BadRequestError(PeerInputError):
    """A request that is not well-formed.

    Attributes:
        status: HTTP status of the response.
    """

    code = "QP-REQUEST"
    remedy = "check the web server that sends it: the parameter is named"

    def __init__(self, status: int, message: str) -> None:
        super().__init__(message)
        self.status = status


# Request parameters and their patterns. All are matched at once; only if that fails, each is matched alone to
# name the invalid one.
FIELDS = (
    ("HTTP_X_JOB_ID", HEX_16.pattern),
    ("HTTP_X_ITEM", HEX_16.pattern),
    ("HTTP_X_N", INTEGER.pattern),
    ("HTTP_X_SHARD", INTEGER.pattern),
    ("HTTP_X_ALLOW_MS", INTEGER.pattern),
    ("HTTP_X_AGAIN", "1?"),
    ("HTTP_X_MINE", f"({HEX_16.pattern})?"),
    ("HTTP_X_UNIQUE", "[0-9A-Za-z_-]{0,64}"),
)
# Parameters of a request that are read; web servers send many more.
PARAM_NAMES = frozenset(name for name, _ in FIELDS) | {"SCRIPT_NAME", "PATH_INFO", "CONTENT_LENGTH"}
ALL_FIELDS = re.compile("\n".join(pattern for _, pattern in FIELDS))


def _make_field_error(params: Mapping[str, str]) -> BadRequestError:
    """Return the error that names the first invalid field."""
    for name, pattern in FIELDS:
        if not re.fullmatch(pattern, params.get(name, "")):
            return BadRequestError(400, f"{name} is {'invalid' if name in params else 'missing'}")
    return BadRequestError(400, "a field holds a line break")


def _parse_integer(name: str, text: str, minimum: int, maximum: int) -> int:
    value = int(text)
    if not minimum <= value <= maximum:
        raise BadRequestError(400, f"{name} is not between {minimum} and {maximum}")
    return value


def open_request(
    fastcgi_request: FastCgiRequest,
    classes: Mapping[str, tuple[int, int]],
    receiver: ResponseReceiver,
    received_at: int,
    earliest: int = 0,
) -> OpenRequest:
    """Return the open request for a FastCGI request.

    Args:
        fastcgi_request: The FastCGI request.
        classes: Index and deadline of each class, by name.
        receiver: Where the response goes.
        received_at: When the request was read, ns.
        earliest: When it may have arrived at the earliest, ns; 0: as it was read.

    Raises:
        BadRequestError: The request is not well-formed.
    """
    if fastcgi_request.error:
        raise BadRequestError(413 if "body" in fastcgi_request.error else 400, fastcgi_request.error)
    params, get = fastcgi_request.params, fastcgi_request.params.get
    path = get("SCRIPT_NAME", "") + get("PATH_INFO", "")
    name = path.removeprefix(PATH)
    if not name.isascii():  # parameters are decoded as Latin-1, class names are UTF-8
        name = name.encode("latin-1", "replace").decode("utf-8", "replace")
    if not path.startswith(PATH) or name not in classes:
        raise BadRequestError(404, "the path does not name a known request class")
    class_index, deadline = classes[name]
    length = get("CONTENT_LENGTH") or str(len(fastcgi_request.body))
    if not INTEGER.fullmatch(length) or int(length) != len(fastcgi_request.body):
        raise BadRequestError(400, "CONTENT_LENGTH is not the length of the body")
    values = [get(field, "") for field, _ in FIELDS]
    if not ALL_FIELDS.fullmatch("\n".join(values)):
        raise _make_field_error(params)
    job_id, item, part, group, allowed_ms, again, known_version, idempotency_key = values
    return OpenRequest(
        receiver=receiver,
        stream_id=fastcgi_request.id,
        job_id=job_id,
        class_index=class_index,
        class_name=name,
        object_key=item,
        object_id=int(item, 16),
        part=_parse_integer("HTTP_X_N", part, 0, MAX_PART),
        group=_parse_integer("HTTP_X_SHARD", group, 0, MAX_GROUP),
        is_repeat=again == "1",
        known_version=known_version,
        allowed_ns=_parse_integer(
            "HTTP_X_ALLOW_MS", allowed_ms, 1, MAX_ALLOWED_DEADLINES * deadline // clock.MS
        )
        * clock.MS,
        received_at_ns=received_at,
        body=fastcgi_request.body,
        idempotency_key=idempotency_key,
        earliest_arrival_ns=earliest,
    )


def make_request_received(request: OpenRequest, now: int) -> io.RequestReceived:
    """Return the event for a request; its time left counts from its arrival, not from when it is handled."""
    r, waited, time_left = request, max(now - request.received_at_ns, 0), request.time_left(now)
    return io.RequestReceived(
        r.number, r.class_index, 0.0, 0, r.group, r.object_id, r.part, r.is_repeat, time_left, waited
    )


def make_object_purged(record: PurgeRecord, age: int) -> io.ObjectPurged:
    """Return the event for a purge that was made `age` ns ago."""
    return io.ObjectPurged(record.group, record.object or 0, age)


class AttemptResult(Protocol):
    """How and when (ns) an attempt ended, as reported by the actor of its cache.

    The other fields are those of `io.AttemptCompleted`.
    """

    outcome: AttemptOutcome
    finished_at_ns: int
    cache_status: CacheStatus
    queue_time_ns: int
    load_report: tuple[float, ...]
    has_alternative_address: bool


def make_attempt_completed(attempt: OpenAttempt, end: AttemptResult) -> io.AttemptCompleted:
    """Return the event for an attempt that has ended; a successful one finishes its request.

    The time in which this front had no buffers for the response does not count as latency of its cache.
    """
    r, is_request_finished = attempt.request, attempt.request.is_finished or end.outcome is AttemptOutcome.OK
    return io.AttemptCompleted(
        request=r.number,
        attempt=attempt.number,
        cache=attempt.cache,
        outcome=end.outcome,
        elapsed=max(end.finished_at_ns - attempt.started_at_ns - attempt.paused_ns, 0),
        is_request_finished=is_request_finished,
        cache_status=end.cache_status,
        waited=end.queue_time_ns,
        report=end.load_report,
        has_alternative_address=end.has_alternative_address,
    )


def read_number(text: str | None) -> float:
    """Return a number from a field; 0 if it is missing, not a number, negative or too large."""
    try:
        value = float(text or 0)
    except ValueError:
        return 0.0
    return value if 0 <= value < 1e12 else 0.0


def read_cache_status(head: ResponseHead) -> CacheStatus:
    """Return how the cache obtained its copy, from the field `how`."""
    return CACHE_STATUS_BY_WORD.get(head.fields.get("how", ""), CacheStatus.NONE)


def read_wait_time(head: ResponseHead) -> int:
    """Return how long the request waited at the cache for a fetch, from the field `lag`, in ns."""
    return int(read_number(head.fields.get("lag")) * clock.MS)


def read_load_report(head: ResponseHead, names: Iterable[str]) -> tuple[float, ...]:
    """Return the load report, its values in the order of `names`; empty if there is none."""
    text = head.fields.get("stats")
    if not text:
        return ()
    values = dict(item.split(":", 1) for item in text.split(";") if ":" in item)
    return tuple(
        read_number(values.get(name, values.get(WIRE_FIELD_BY_SETTING.get(name, "")))) for name in names
    )


def make_serve_fields(
    action: io.ForwardRequest | io.FetchThrough,
    request: OpenRequest,
    directory: MachineDirectory,
    timeout: int,
) -> list[tuple[str, str]]:
    """Return the fields of the `serve` command for an attempt; `via` only if the source is not the target."""
    fields = [("class", request.class_name), ("key", request.object_key), ("part", str(request.part))]
    fields.append(("wait", str(max(timeout // clock.MS, 1))))
    if isinstance(action, io.FetchThrough):
        if action.source != action.cache:
            fields.append(("via", directory.host_by_number[action.source]))
        if action.tier:
            fields.append(("tier", str(action.tier)))
        if action.max_copy_age:  # rounded down to milliseconds, but not to 0, which would mean no limit
            fields.append(("fresh", str(max(action.max_copy_age // clock.MS, 1))))
        options = (("join", action.join), ("held", action.held_only), ("renew", action.renew))
        if opts := "+".join(word for word, is_set in options if is_set):
            fields.append(("opts", opts))
    if request.known_version:
        fields.append(("known", request.known_version))
    if request.idempotency_key:
        fields.append(("once", request.idempotency_key))
    return fields


def make_class_table(config: FrontConfig) -> dict[str, tuple[int, int]]:
    """Return the index and the deadline in ns of each class, by name."""
    return {name: (n, config.settings.classes[n].deadline) for n, name in enumerate(config.classes)}
