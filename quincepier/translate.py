"""Between the words of the wire and those of the interface, one to one. Nothing is decided here."""

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
from quincepier.wire.fastcgi import Call
from quincepier.wire.lines import ResponseHead

PATH = "/call/"
PING = "/ping"
HEX_16 = re.compile(r"[0-9a-f]{16}")
WHOLE = re.compile(r"[0-9]{1,10}")
PART_MOST, GROUP_MOST = 0xFFFF, 255
ALLOW_TIMES = 2  # of its class's deadline: what a client may say at most that it waits
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
    """A request that can't be used: the status of its answer, and why."""

    code = "QP-REQUEST"
    remedy = "check the web server that sends it: the parameter is named"

    def __init__(self, status: int, why: str) -> None:
        super().__init__(why)
        self.status = status


# All fields of the usual form at once; what does not match is looked at one by one, to name the field.
FIELDS = (
    ("HTTP_X_JOB_ID", HEX_16.pattern),
    ("HTTP_X_ITEM", HEX_16.pattern),
    ("HTTP_X_N", WHOLE.pattern),
    ("HTTP_X_SHARD", WHOLE.pattern),
    ("HTTP_X_ALLOW_MS", WHOLE.pattern),
    ("HTTP_X_AGAIN", "1?"),
    ("HTTP_X_MINE", f"({HEX_16.pattern})?"),
    ("HTTP_X_UNIQUE", "[0-9A-Za-z_-]{0,64}"),
)
USUAL = re.compile("\n".join(pattern for _, pattern in FIELDS))


def _at_fault(params: Mapping[str, str]) -> BadRequestError:
    """Which field is not of the stated form."""
    for name, pattern in FIELDS:
        if not re.fullmatch(pattern, params.get(name, "")):
            return BadRequestError(
                400, f"{name} is {'not of the stated form' if name in params else 'missing'}"
            )
    return BadRequestError(400, "a field holds a line break")


def _whole(name: str, text: str, least: int, most: int) -> int:
    value = int(text)
    if not least <= value <= most:
        raise BadRequestError(400, f"{name} is not between {least} and {most}")
    return value


def open_request(
    call: Call, classes: Mapping[str, tuple[int, int]], owner: ResponseReceiver, came: int, earliest: int = 0
) -> OpenRequest:
    """A call as taken; raises BadRequestError where it is not of the stated form.

    It was read at `came`, and may have been there since `earliest` (0: it was not).
    """
    if call.error:
        raise BadRequestError(413 if "body" in call.error else 400, call.error)
    params, get = call.params, call.params.get
    path = get("SCRIPT_NAME", "") + get("PATH_INFO", "")
    name = path.removeprefix(PATH)
    if not name.isascii():  # parameters are read byte by byte; names of classes are texts
        name = name.encode("latin-1", "replace").decode("utf-8", "replace")
    if not path.startswith(PATH) or name not in classes:
        raise BadRequestError(404, "the path names no class")
    number, deadline = classes[name]
    length = get("CONTENT_LENGTH") or str(len(call.body))
    if not WHOLE.fullmatch(length) or int(length) != len(call.body):
        raise BadRequestError(400, "CONTENT_LENGTH is not the length of the body")
    values = [get(field, "") for field, _ in FIELDS]
    if not USUAL.fullmatch("\n".join(values)):
        raise _at_fault(params)
    job, item, part, group, allow, again, known, idempotency_key = values
    return OpenRequest(
        receiver=owner,
        stream_id=call.id,
        job_id=job,
        class_index=number,
        class_name=name,
        object_key=item,
        object_id=int(item, 16),
        part=_whole("HTTP_X_N", part, 0, PART_MOST),
        group=_whole("HTTP_X_SHARD", group, 0, GROUP_MOST),
        is_repeat=again == "1",
        known_version=known,
        allowed_ns=_whole("HTTP_X_ALLOW_MS", allow, 1, ALLOW_TIMES * deadline // clock.MS) * clock.MS,
        received_at_ns=came,
        body=call.body,
        idempotency_key=idempotency_key,
        earliest_arrival_ns=earliest,
    )


def make_request_received(request: OpenRequest, now: int) -> io.RequestReceived:
    """The time left counts from when the request was there, not from when its turn came."""
    r, waited, left = request, max(now - request.received_at_ns, 0), request.time_left(now)
    return io.RequestReceived(
        r.number, r.class_index, 0.0, 0, r.group, r.object_id, r.part, r.is_repeat, left, waited
    )


def make_object_purged(record: PurgeRecord, age: int) -> io.ObjectPurged:
    """A purge of so many ns ago."""
    return io.ObjectPurged(record.group, record.object or 0, age)


class End(Protocol):
    """How an attempt ended, as the cache's actor tells it: at which nanosecond, and what came with it."""

    ending: AttemptOutcome
    at: int
    note: CacheStatus
    waited: int
    report: tuple[float, ...]
    another_way: bool


def make_attempt_completed(attempt: OpenAttempt, end: End) -> io.AttemptCompleted:
    """`last` says that the request is over, by this ending or earlier."""
    r, last = attempt.request, attempt.request.is_finished or end.ending is AttemptOutcome.OK
    return io.AttemptCompleted(
        request=r.number,
        attempt=attempt.number,
        cache=attempt.cache,
        outcome=end.ending,
        elapsed=max(end.at - attempt.started_at_ns, 0),
        last=last,
        cache_status=end.note,
        waited=end.waited,
        report=end.report,
        has_other_address=end.another_way,
    )


def read_number(text: str | None) -> float:
    try:
        value = float(text or 0)
    except ValueError:
        return 0.0
    return value if 0 <= value < 1e12 else 0.0


def read_cache_status(head: ResponseHead) -> CacheStatus:
    return CACHE_STATUS_BY_WORD.get(head.fields.get("how", ""), CacheStatus.NONE)


def read_wait_time(head: ResponseHead) -> int:
    return int(read_number(head.fields.get("lag")) * clock.MS)


def read_load_report(head: ResponseHead, names: Iterable[str]) -> tuple[float, ...]:
    """The load report, in the order of the settings' fields; () where there is none."""
    text = head.fields.get("stats")
    if not text:
        return ()
    told = dict(item.split(":", 1) for item in text.split(";") if ":" in item)
    return tuple(read_number(told.get(name, told.get(WIRE_FIELD_BY_SETTING.get(name, "")))) for name in names)


def make_serve_fields(
    action: io.ForwardRequest | io.FetchThrough,
    request: OpenRequest,
    directory: MachineDirectory,
    timeout: int,
) -> list[tuple[str, str]]:
    """The fields of the command for an attempt. A source that is the machine itself is no source."""
    fields = [("class", request.class_name), ("key", request.object_key), ("part", str(request.part))]
    fields.append(("wait", str(max(timeout // clock.MS, 1))))
    if isinstance(action, io.FetchThrough):
        if action.source != action.cache:
            fields.append(("via", directory.host_by_number[action.source]))
        if action.tier:
            fields.append(("tier", str(action.tier)))
        if action.max_copy_age:  # whole milliseconds, never older than decided; 0 would say something else
            fields.append(("fresh", str(max(action.max_copy_age // clock.MS, 1))))
        chosen = (("join", action.join), ("held", action.held_only), ("renew", action.renew))
        if opts := "+".join(word for word, on in chosen if on):
            fields.append(("opts", opts))
    if request.known_version:
        fields.append(("known", request.known_version))
    if request.idempotency_key:
        fields.append(("once", request.idempotency_key))
    return fields


def make_class_table(config: FrontConfig) -> dict[str, tuple[int, int]]:
    """By name: the number and the deadline of a class."""
    return {name: (n, config.settings.classes[n].deadline) for n, name in enumerate(config.classes)}
