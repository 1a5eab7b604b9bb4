"""Reads and validates the configuration and applies defaults; errors name the key.

The decision module's settings are pairs of a dotted path and a text. They are received in the simulator's
first message, or read from the front's JSON file, whose nested object is flattened to the same pairs.
"""

from __future__ import annotations

import json
import math
import os
import re
from collections.abc import Iterator, Mapping
from dataclasses import dataclass, fields, replace
from enum import Enum
from pathlib import Path
from typing import Any, TypeVar

from quincepier.errors import QuincepierError
from quincepier.interface import DeduplicationScope, Idempotency, RequestClass, Settings
from quincepier.wire.changelog import AddressParser, ChangeEvent, FleetChange, read_address, read_changes
from quincepier.wire.errors import ProtocolError

IDEMPOTENCY_BY_WORD = {
    "free": Idempotency.SAFE,
    "guarded": Idempotency.KEYED,
    "single_shot": Idempotency.UNSAFE,
}
SCOPE_BY_WORD = {group.value: group for group in DeduplicationScope}
# Names of a load report's values in `Settings.reports`, by their names in the configuration.
REPORT_FIELD_BY_SETTING = {
    "concurrent": "in flight",
    "depth": "queued",
    "load_share": "load",
    "x0": "hits",
    "x1": "link",
}
# Names of the same values in the caches' responses, where they differ from those in the configuration.
WIRE_FIELD_BY_SETTING = {
    "concurrent": "inflight",
    "depth": "queue",
    "load_share": "util",
    "mean_ms": "latency_ms",
    "tps": "qps",
    "err_ps": "eps",
}
MAX_FILE_BYTES = 16 * 1024 * 1024
MAX_NESTING_DEPTH = 32  # of objects and lists
MAX_MAGNITUDE = 2.0**64  # of numbers; "never" may be written as the largest 64-bit integer
CLASS_NAME_PATTERN = re.compile(r"[^\s,\x00-\x1f\x7f]{1,100}")  # a class name is a value in commands
MIN_MEMORY_MB, MIN_SOCKETS = 16, 32  # with less a front can serve nothing, slightly above it serves little
Word = TypeVar("Word", bound=Enum)


class SettingsError(QuincepierError):
    """A key is missing from the configuration, or its value is invalid; the text names the key."""

    code = "QP-SETTINGS"
    remedy = "correct the key that it names; check-config checks the file before a start"


class _SettingsReader:
    """Typed values of settings given as pairs; a missing key has the default, or is an error without one."""

    def __init__(self, pairs: Mapping[str, str]) -> None:
        self.pairs = pairs

    def text(self, key: str, default: str | None = None) -> str:
        value = self.pairs.get(key, default)
        if value is None:
            raise SettingsError(f"settings lack {key}")
        return value

    def number(self, key: str, default: str | None = None) -> float:
        text = self.text(key, default)
        try:
            value = float(text)
        except ValueError:
            value = math.nan
        if math.isnan(value) or abs(value) > MAX_MAGNITUDE:
            raise SettingsError(f"settings hold {key}={text[:30]}, not a number of at most {MAX_MAGNITUDE:g}")
        return value

    def integer(self, key: str, default: str | None = None, minimum: int | None = None) -> int:
        value = int(self.number(key, default))
        if minimum is not None and value < minimum:
            raise SettingsError(f"settings hold {key}={value}, less than {minimum}")
        return value

    def fraction(self, key: str, default: str | None = None) -> float:
        value = self.number(key, default)
        if not 0 <= value <= 1:
            raise SettingsError(f"settings hold {key}={value:g}, not a number from 0 to 1")
        return value

    def flag(self, key: str, default: str | None = None) -> bool:
        text = self.text(key, default)
        if text not in ("true", "false"):
            raise SettingsError(f"settings hold {key}={text}, not true or false")
        return text == "true"

    def items(self, key: str) -> list[str]:
        text = self.pairs.get(key, "")
        return text.split(",") if text else []

    def numbers(self, key: str) -> list[float]:
        return [_SettingsReader({key: item}).number(key) for item in self.items(key)]


def _integer_at(values: list[float], index: int) -> int:
    return int(values[index]) if index < len(values) else 0


def _parse_word(member_by_word: Mapping[str, Word], key: str, text: str) -> Word:
    if text not in member_by_word:
        raise SettingsError(f"settings hold {key}={text}, not one of {', '.join(member_by_word)}")
    return member_by_word[text]


def read_settings(pairs: Mapping[str, str]) -> Settings:
    """Return the decision module's settings; unknown keys are ignored.

    Raises:
        SettingsError: A key is missing or its value is invalid.
    """
    reader = _SettingsReader(pairs)
    info = "family_info."
    fresh, grace = reader.numbers(info + "class_fresh"), reader.numbers(info + "usable_after")
    never_kept = reader.items(info + "never_kept")
    classes = []
    for n in range(reader.integer("services.count", minimum=1)):
        prefix = f"services.{n}."
        classes.append(
            RequestClass(
                effect=_parse_word(IDEMPOTENCY_BY_WORD, prefix + "effect", reader.text(prefix + "effect")),
                group=_parse_word(SCOPE_BY_WORD, prefix + "group", reader.text(prefix + "group", "all")),
                window=reader.integer(prefix + "window", "0", 0),
                on_time=reader.integer(prefix + "on_time", minimum=0),
                stretch=reader.number(prefix + "aim_stretch", "0"),
                deadline=reader.integer(prefix + "hard_limit", minimum=1),
                worth=reader.number(prefix + "worth"),
                stream=reader.flag(prefix + "stream", "false"),
                fresh=_integer_at(fresh, n),
                grace=_integer_at(grace, n),
                never_kept=n < len(never_kept) and never_kept[n] == "true",
            )
        )
    fronts = reader.integer("replicas_of_me", minimum=1)
    return Settings(
        zone=reader.integer("zone", minimum=0),
        fronts=fronts,
        fronts_by_zone=tuple(int(n) for n in reader.numbers(info + "seats_by_zone")),
        classes=tuple(classes),
        parent_kind=reader.integer(info + "second_tier_kind", "-1"),
        origin_kind=reader.integer(info + "root_kind", "-1"),
        direct=reader.flag(info + "pass_through_ok", "false"),
        joins=reader.flag(info + "collapses", "false"),
        siblings=reader.text(info + "peers_fill", "off") != "off",
        reports=tuple(REPORT_FIELD_BY_SETTING.get(name, name) for name in reader.items("report.fields")),
        client_kb_per_s=reader.number(info + "client_kb_per_s", "0"),
        sizes_compare=reader.text("weights", "off") in ("nominal", "rough"),
        purge_settles=reader.integer(info + "purge_settles", "0"),
        cold_from=reader.fraction("rules.cold_from"),
        cold_multiple=reader.number("rules.fall_multiple"),
        cold_window=reader.integer("rules.tip_after"),
        cold_time=reader.integer("rules.warm_within"),
        parent_cold_from=reader.fraction(info + "upper_cold_from", "1"),
        parent_cold_multiple=reader.number(info + "upper_fall_multiple", "1"),
        parent_cold_time=reader.integer(info + "upper_cold", "0"),
        list_on_request=reader.text("registry_mode", "pushed") == "on_request",
        must_ask_in=reader.integer("rules.must_ask_in", "0"),
        cancel=reader.flag("limits.cancel", "false"),
        second_copies=reader.flag("limits.may_duplicate", "false"),
        attempts=reader.integer("limits.try_limit", "1"),
        retry_after=reader.flag("limits.retry_after", "false"),
        max_retry_after=reader.integer("limits.max_retry_after", "0"),
        step=reader.integer("step", "0"),
    )


def flatten_settings(value: Any, path: str = "", depth: int = 0) -> Iterator[tuple[str, str]]:
    """Yield a nested JSON object as pairs of dotted path and text, as in the simulator's first message."""
    if depth > MAX_NESTING_DEPTH:
        raise SettingsError(f"settings hold {path[:60]} nested over {MAX_NESTING_DEPTH} deep")
    if isinstance(value, dict):
        for key, item in value.items():
            yield from flatten_settings(item, f"{path}.{key}" if path else str(key), depth + 1)
    elif isinstance(value, list) and any(isinstance(item, dict | list) for item in value):
        yield f"{path}.count", str(len(value))
        for n, item in enumerate(value):
            yield from flatten_settings(item, f"{path}.{n}", depth + 1)
    elif isinstance(value, list):
        if not value:
            yield f"{path}.count", "0"
        yield path, ",".join(_format_value(item) for item in value)
    elif value is not None:
        yield path, _format_value(value)


def _format_value(value: Any) -> str:
    return ("true" if value else "false") if isinstance(value, bool) else str(value)


@dataclass(slots=True, frozen=True)
class FrontConfig:
    """The configuration of one front process. Durations are in ns.

    Attributes:
        name: The front's name.
        listen: Host and port at which clients connect.
        changelog: Host and port of the change log.
        seed: Seed of the front's random numbers.
        memory_mb: Limit on the process's memory, MB.
        sockets: Limit on its descriptors.
        settings: The decision module's settings.
        classes: Names of the request classes, by index.
        zones: Names of the zones, by index.
        kinds: Names of the kinds of machines, by index.
        report_fields: Names of the values of a load report, as in the configuration.
        report_on_probe: Whether health checks request load reports.
        streams: Limit on the commands open at a time on one connection to a cache.
        idle: Time after which a cache closes an idle connection; the front closes it earlier.
        dial_timeout: Time limit on establishing a connection to a cache.
        max_open: Limit on the open requests.
        known_seq: Sequence number of the change log up to which `known` goes.
        known: Change-log events up to `known_seq`, among them a full endpoint list.
    """

    name: str
    listen: tuple[str, int]
    changelog: tuple[str, int]
    seed: int
    memory_mb: int
    sockets: int
    settings: Settings
    classes: tuple[str, ...]
    zones: tuple[str, ...]
    kinds: tuple[str, ...]
    report_fields: tuple[str, ...]
    report_on_probe: bool
    streams: int
    idle: int
    dial_timeout: int
    max_open: int
    known_seq: int
    known: tuple[ChangeEvent, ...]

    @property
    def retry_after_ms(self) -> int | None:
        """Retry delay in ms for requests that the front rejects without a decision; None: none is sent."""
        max_ms = self.settings.max_retry_after // 1_000_000 if self.settings.retry_after else 0
        return max_ms or None


class _JsonObject:
    """A JSON object of the front's configuration, whose values are read with their types."""

    def __init__(self, value: dict[str, Any], path: str = "") -> None:
        self.value, self.path = value, path

    def get(self, key: str, expected: str, *types: type) -> Any:
        """Return the value of a key if it has one of the types; `expected` describes them in the error."""
        value = self.value.get(key)
        if value is None:
            raise SettingsError(f"configuration lacks {self.path}{key} ({expected})")
        if not isinstance(value, types) or (isinstance(value, bool) and bool not in types):
            raise SettingsError(f"configuration holds {self.path}{key} of a wrong type: expected {expected}")
        return value

    def object(self, key: str) -> _JsonObject:
        return _JsonObject(self.get(key, "an object", dict), f"{self.path}{key}.")

    def text(self, key: str) -> str:
        value: str = self.get(key, "a string", str)
        return self._check_printable(key, value)

    def _check_printable(self, key: str, text: str) -> str:
        if not text.isprintable():  # it is written to log lines and to the terminal
            raise SettingsError(f"configuration holds {self.path}{key}={text[:30]!a}, which can't be printed")
        return text

    def number(self, key: str, minimum: float) -> float:
        value = self.get(key, f"a number of at least {minimum:g}", int, float)
        if not minimum <= value <= MAX_MAGNITUDE:  # also for NaN and integers too large for a float
            expected = f"a number from {minimum:g} to {MAX_MAGNITUDE:g}"
            raise SettingsError(f"configuration holds {self.path}{key}={str(value)[:30]}, not {expected}")
        return float(value)

    def address(self, key: str) -> tuple[str, int]:
        try:
            return read_address(self.get(key, "an address such as 127.0.0.1:5050", str))
        except ProtocolError as error:
            raise SettingsError(f"configuration holds {self.path}{key}: {error}") from None

    def names(self, key: str) -> tuple[str, ...]:
        value = self.get(key, "a list of strings", list)
        if not all(isinstance(item, str) for item in value):
            raise SettingsError(f"configuration holds {self.path}{key} with an item that is not a string")
        return tuple(self._check_printable(key, item) for item in value)


def _read_class_names(services: list[Any]) -> tuple[str, ...]:
    names = tuple(
        _JsonObject(item, f"settings.services.{n}.").text("name") for n, item in enumerate(services)
    )
    for n, name in enumerate(names):
        if not CLASS_NAME_PATTERN.fullmatch(name) or name in names[:n]:
            raise SettingsError(
                f"configuration holds settings.services.{n}.name={name[:30]!r}, "
                "not a unique name without spaces and commas"
            )
    return names


def _read_seed(root: _JsonObject) -> int:
    value = root.get("seed", "16 hexadecimal digits", str, int)
    try:
        return value if isinstance(value, int) else int(value, 16)
    except ValueError:
        raise SettingsError(f"configuration holds seed={value[:30]!r}, not hexadecimal digits") from None


def _read_known_events(
    root: _JsonObject, parse_address: AddressParser | None
) -> tuple[int, tuple[ChangeEvent, ...]]:
    try:
        last_seq, events = read_changes(
            root.get("known", "the change-log events so far", dict), parse_address
        )
    except ProtocolError as error:
        raise SettingsError(f"configuration key known is invalid: {error}") from None
    if not any(isinstance(event, FleetChange) and event.is_full_list for event in events):
        raise SettingsError("configuration key known has no readable full endpoint list")
    return last_seq, events


def read_front(
    value: Any, environment: Mapping[str, str], parse_address: AddressParser | None = None
) -> FrontConfig:
    """Return a front's validated configuration.

    Args:
        value: The decoded JSON of the configuration file.
        environment: ROUTER_NAME and ROUTER_LISTEN take precedence over the file's `name` and `listen`.
        parse_address: Validates machines' addresses; with it they may have several (see `read_changes`).

    Raises:
        SettingsError: A key is missing or its value is invalid.
    """
    if not isinstance(value, dict):
        raise SettingsError("configuration is not a JSON object")
    overrides = {"name": environment.get("ROUTER_NAME"), "listen": environment.get("ROUTER_LISTEN")}
    root = _JsonObject(value | {key: text for key, text in overrides.items() if text})
    raw = root.object("settings")
    settings = read_settings(dict(flatten_settings(raw.value)))
    limits, network_limits, report = root.object("limits"), raw.object("limits"), raw.object("report")
    services = raw.get("services", "a list of classes", list)
    on_probe = report.text("how") == "on_probe"
    if on_probe and network_limits.value.get("probes", True) is False:
        raise SettingsError("configuration holds settings.report.how=on_probe, but probes are not allowed")
    last_seq, events = _read_known_events(root, parse_address)
    zones = raw.names("zones")
    if settings.zone >= len(zones):
        raise SettingsError(f"configuration holds settings.zone={settings.zone}, beyond the list of zones")
    return FrontConfig(
        name=root.text("name"),
        listen=root.address("listen"),
        changelog=root.address("changelog"),
        seed=_read_seed(root),
        memory_mb=int(limits.number("memory_mb", MIN_MEMORY_MB)),
        sockets=int(limits.number("sockets", MIN_SOCKETS)),
        settings=settings,
        classes=_read_class_names(services),
        zones=zones,
        kinds=raw.names("skus"),
        report_fields=report.names("fields"),
        report_on_probe=on_probe,
        streams=int(network_limits.number("multiplex", 1)),
        idle=int(network_limits.number("conn_idle", 1)),
        dial_timeout=int(network_limits.number("dial_timeout", 1)),
        max_open=int(network_limits.number("max_open", 1)),
        known_seq=last_seq,
        known=events,
    )


def load_front(
    environment: Mapping[str, str] = os.environ,
    path: str | None = None,
    parse_address: AddressParser | None = None,
) -> FrontConfig:
    """Return the configuration in the file at `path`, or at ROUTER_CONFIG if no path is given.

    Raises:
        SettingsError: The file can't be read, or its content is invalid.
    """
    config_path = path or environment.get("ROUTER_CONFIG")
    if not config_path:
        raise SettingsError("ROUTER_CONFIG is not set: it must be the path of the configuration file")
    try:
        with Path(config_path).open("rb") as file:
            raw = file.read(MAX_FILE_BYTES + 1)
    except OSError as error:
        raise SettingsError(f"configuration file {config_path} can't be read: {error.strerror}") from None
    if len(raw) > MAX_FILE_BYTES:
        raise SettingsError(f"configuration file {config_path} is over {MAX_FILE_BYTES} bytes")
    try:
        value = json.loads(raw)
    except (ValueError, RecursionError) as error:
        raise SettingsError(f"configuration file {config_path} is not JSON: {error}") from None
    try:
        return read_front(value, environment, parse_address)
    except SettingsError as error:
        line = "".join(c if c.isprintable() else "?" for c in str(error))  # a value may hold anything
        raise SettingsError(line, where=config_path) from None


# Fields that a new configuration changes while the front serves; all others take effect at the next start.
RELOADABLE_FIELDS = ("changelog", "streams", "idle", "dial_timeout")
FIELDS_NOT_COMPARED = ("seed", "known_seq", "known")  # differ in every file and are used only at a start


def apply_reload(old: FrontConfig, new: FrontConfig) -> tuple[FrontConfig, list[str], list[str]]:
    """Apply a new configuration to that of a serving front.

    Returns:
        The resulting configuration, the names of the fields that changed in it, and the names of the changed
        fields that take effect at the next start.
    """
    changed = [f.name for f in fields(old) if getattr(old, f.name) != getattr(new, f.name)]
    applied = [name for name in changed if name in RELOADABLE_FIELDS]
    deferred = [name for name in changed if name not in RELOADABLE_FIELDS + FIELDS_NOT_COMPARED]
    return replace(old, **{name: getattr(new, name) for name in applied}), applied, deferred
