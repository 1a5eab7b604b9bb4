"""Recorded streams of a Router: writing, reading and replaying them against the present policy.

A stream is a xz-compressed file of JSON lines; each line is a list that begins with the kind of the step.
Objects are stored as a tag of the table below and the values of their fields in order, enums as a tag and
their value. Classes and fields may thus be renamed: only this table changes, and the stored streams stay
valid.
"""

from __future__ import annotations

import json
import lzma
from collections.abc import Iterator
from dataclasses import dataclass, fields
from enum import Enum
from pathlib import Path
from typing import Any

from quincepier import interface as io
from quincepier.policy import Router
from quincepier.records import Upstream
from quincepier.recovery.learned_facts import export_facts, restore_facts

FOLDER = Path(__file__).parent / "data" / "policy"

CLASS_BY_TAG: dict[str, Any] = {
    # events
    "list": io.EndpointUpdate,
    "request": io.RequestReceived,
    "timer": io.TimerFired,
    "started": io.ResponseStarted,
    "ended": io.AttemptCompleted,
    "left": io.ClientDisconnected,
    "probed": io.HealthCheckCompleted,
    "peer": io.PeerMessage,
    "purged": io.ObjectPurged,
    # actions
    "ask": io.ForwardRequest,
    "fetch": io.FetchThrough,
    "cancel": io.CancelAttempt,
    "refuse": io.RejectRequest,
    "fail": io.FailRequest,
    "set timer": io.SetTimer,
    "probe": io.SendHealthCheck,
    "follow": io.WatchEndpoints,
    "log": io.WriteLog,
    # values in events and actions
    "settings": io.Settings,
    "class": io.RequestClass,
    "machine": io.Endpoint,
    "home": io.HomeShard,
    "effect": io.Idempotency,
    "group": io.DeduplicationScope,
    "outcome": io.AttemptOutcome,
    "note": io.CacheStatus,
    "state": io.EndpointState,
    "scope": io.UpdateScope,
    # learned facts
    "learned class": io.LearnedTransferTime,
    "learned latency": io.LearnedLatency,
    "learned limit": io.LearnedFetchLimit,
    "learned work": io.LearnedServedWork,
    "learned machine": io.LearnedEndpoint,
    "learned purge": io.LearnedPurge,
    # plain values that JSON has no form for
    "tuple": lambda *items: items,
    "set": lambda *items: frozenset(items),
    "bytes": bytes.fromhex,
}
TAG_BY_CLASS: dict[Any, str] = {cls: tag for tag, cls in CLASS_BY_TAG.items()}


def encode(value: Any) -> Any:
    """Convert a value to JSON types; `decode` is the inverse."""
    if isinstance(value, Enum):
        return [TAG_BY_CLASS[type(value)], value.value]
    if isinstance(value, tuple):
        return ["tuple", *map(encode, value)]
    if isinstance(value, frozenset):
        return ["set", *map(encode, sorted(value))]
    if isinstance(value, bytes):
        return ["bytes", value.hex()]
    if type(value) in TAG_BY_CLASS:
        return [TAG_BY_CLASS[type(value)], *(encode(getattr(value, field.name)) for field in fields(value))]
    assert value is None or isinstance(value, int | float | str), value
    return value


def decode(value: Any) -> Any:
    if not isinstance(value, list):
        return value
    return CLASS_BY_TAG[value[0]](*map(decode, value[1:]))


def to_text(value: Any) -> str:
    """JSON text that distinguishes 1 from 1.0 and true, with floats in full precision."""
    return json.dumps(value, separators=(",", ":"))


class HookRecorder:
    """Replaces the hooks of a Router while it handles one event.

    Home lookups return `homes` in turn; observed attempts are recorded in `attempts`.
    """

    def __init__(self, router: Router, homes: list[io.HomeShard | None] | None, has_observer: bool) -> None:
        self.homes, self.attempts = list(homes or ()), list[list[int | None]]()
        router.find_home = self.find_home if homes is not None else None
        router.sender.observer = self.on_attempt if has_observer else None

    def find_home(self, request: io.RequestReceived) -> io.HomeShard | None:
        assert self.homes, "a home lookup that is not in the recorded stream"
        return self.homes.pop(0)

    def on_attempt(self, request: io.RequestReceived, upstream: Upstream, source: Upstream | None) -> None:
        self.attempts.append(describe_attempt(request, upstream, source))


def describe_attempt(
    request: io.RequestReceived, upstream: Upstream, source: Upstream | None
) -> list[int | None]:
    return [request.request, upstream.endpoint.number, None if source is None else source.endpoint.number]


class RecordingRouter(Router):
    """A Router that records its stream."""

    def __init__(self, settings: io.Settings, seed: int, now: int) -> None:
        super().__init__(settings, seed, now)
        self.lines: list[str] = [to_text(["start", encode(settings), seed, now])]
        self.seed, self.last_event_at = seed, now

    def handle(self, now: int, event: io.Event) -> list[io.Action]:
        encoded_event, find_home, observer = encode(event), self.find_home, self.sender.observer
        homes, attempts = list[io.HomeShard | None](), list[list[int | None]]()

        def record_home(request: io.RequestReceived) -> io.HomeShard | None:
            assert find_home is not None
            homes.append(find_home(request))
            return homes[-1]

        def record_attempt(request: io.RequestReceived, upstream: Upstream, source: Upstream | None) -> None:
            assert observer is not None
            attempts.append(describe_attempt(request, upstream, source))
            observer(request, upstream, source)

        self.find_home = record_home if find_home else None
        self.sender.observer = record_attempt if observer else None
        actions = super().handle(now, event)
        self.find_home, self.sender.observer = find_home, observer
        hooks = [encode(tuple(homes)) if find_home else None, attempts if observer else None]
        line = [
            "event",
            now - self.last_event_at,
            encoded_event,
            [encode(action) for action in actions],
            *hooks,
        ]
        self.lines.append(to_text(line))
        self.last_event_at = now
        return actions

    def export_learned(self) -> list[io.Learned]:
        facts = list(export_facts(self))
        self.lines.append(to_text(["learned", [encode(fact) for fact in facts]]))
        return facts

    def restore_learned(self, facts: list[io.Learned], age: int | None) -> int:
        count = restore_facts(self, facts, age)
        self.lines.append(to_text(["recall", [encode(fact) for fact in facts], age, count]))
        return count

    def change_settings(self, settings: io.Settings) -> None:
        self.settings = settings
        self.lines.append(to_text(["settings", encode(settings)]))


def write(name: str, lines: list[str]) -> None:
    data = "".join(f"{line}\n" for line in lines).encode()
    (FOLDER / f"{name}.jsonl.xz").write_bytes(lzma.compress(data, preset=9))


def names() -> list[str]:
    return sorted(path.name.removesuffix(".jsonl.xz") for path in FOLDER.glob("*.jsonl.xz"))


def read(name: str) -> Iterator[list[Any]]:
    text = lzma.decompress((FOLDER / f"{name}.jsonl.xz").read_bytes()).decode()
    return (json.loads(line) for line in text.splitlines())


@dataclass(slots=True)
class Difference:
    """The first step at which a replay differs from its stream."""

    line: int
    now: int
    event: str
    expected: str
    actual: str

    def __str__(self) -> str:
        head = f"line {self.line}, at {self.now} ns: {self.event}"
        return f"{head}\nrecorded: {self.expected}\nactual:   {self.actual}"


def replay(name: str) -> Difference | None:
    """Replay a stream; return the first difference between the present Router and the stream, or None."""
    lines = read(name)
    _, settings, seed, now = next(lines)
    router = Router(decode(settings), seed, now)
    for number, (kind, *values) in enumerate(lines, 2):
        expected: Any
        actual: Any
        if kind == "event":
            wait, event, actions, homes, attempts = values
            now += wait
            hooks = HookRecorder(router, None if homes is None else decode(homes), attempts is not None)
            new_actions = [encode(action) for action in router.handle(now, decode(event))]
            expected, actual = [actions, attempts or [], []], [new_actions, hooks.attempts, hooks.homes]
        elif kind == "settings":
            router.settings, expected, actual = decode(values[0]), None, None
        elif kind == "learned":
            expected, actual = values[0], [encode(fact) for fact in export_facts(router)]
        else:
            facts, age, expected = values
            actual = restore_facts(router, map(decode, facts), age)
        if to_text(expected) != to_text(actual):
            return Difference(number, now, to_text([kind, *values[:2]]), to_text(expected), to_text(actual))
    return None
