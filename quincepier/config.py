"""The one place where configuration is read, checked and given defaults; its errors name the key.

The module's settings come as pairs of a dotted path and a text: from the simulator's first message, or
from the front's JSON file, whose nested object is laid out as the same pairs.
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
from quincepier.wire.changelog import ChangeEvent, FleetChange, Judge, read_address, read_changes
from quincepier.wire.errors import ProtocolError

IDEMPOTENCY_BY_WORD = {
    "free": Idempotency.SAFE,
    "guarded": Idempotency.KEYED,
    "single_shot": Idempotency.UNSAFE,
}
GROUPS = {group.value: group for group in DeduplicationScope}
REPORTS = {"concurrent": "in flight", "depth": "queued", "load_share": "load", "x0": "hits", "x1": "link"}
# The names of load reports on the caches' lines, where they are other than the settings'.
WIRE_FIELD_BY_SETTING = {
    "concurrent": "inflight",
    "depth": "queue",
    "load_share": "util",
    "mean_ms": "latency_ms",
    "tps": "qps",
    "err_ps": "eps",
}
FILE_MOST = 16 * 1024 * 1024  # bytes of a configuration file
DEPTH_MOST = 32  # of objects and lists in one another
NUMBER_MOST = 2.0**64  # in size; a front that is told "never" may be told it by the largest such word
NAME = re.compile(r"[^\s,\x00-\x1f\x7f]{1,100}")  # of a class: it becomes a value in the caches' lines
MEMORY_LEAST, SOCKETS_LEAST = 16, 32  # below it nothing can be served; above it a tight front serves fewer
Word = TypeVar("Word", bound=Enum)


class SettingsError(QuincepierError):
    """Settings that lack a key or hold one that cannot be read; the text names the key."""

    code = "QP-SETTINGS"
    remedy = "correct the key that it names; check-config tells before a start"


class _Conf:
    def __init__(self, pairs: Mapping[str, str]) -> None:
        self.pairs = pairs

    def text(self, key: str, absent: str | None = None) -> str:
        value = self.pairs.get(key, absent)
        if value is None:
            raise SettingsError(f"settings lack {key}")
        return value

    def number(self, key: str, absent: str | None = None) -> float:
        text = self.text(key, absent)
        try:
            value = float(text)
        except ValueError:
            value = math.nan
        if math.isnan(value) or abs(value) > NUMBER_MOST:
            raise SettingsError(f"settings hold {key}={text[:30]}, not a number of {NUMBER_MOST:g} at most")
        return value

    def whole(self, key: str, absent: str | None = None, least: int | None = None) -> int:
        value = int(self.number(key, absent))
        if least is not None and value < least:
            raise SettingsError(f"settings hold {key}={value}, less than {least}")
        return value

    def share(self, key: str, absent: str | None = None) -> float:
        value = self.number(key, absent)
        if not 0 <= value <= 1:
            raise SettingsError(f"settings hold {key}={value:g}, not a share of 0 to 1")
        return value

    def flag(self, key: str, absent: str | None = None) -> bool:
        text = self.text(key, absent)
        if text not in ("true", "false"):
            raise SettingsError(f"settings hold {key}={text}, not true or false")
        return text == "true"

    def items(self, key: str) -> list[str]:
        text = self.pairs.get(key, "")
        return text.split(",") if text else []

    def numbers(self, key: str) -> list[float]:
        return [_Conf({key: item}).number(key) for item in self.items(key)]


def _nth(values: list[float], n: int) -> int:
    return int(values[n]) if n < len(values) else 0


def _word(table: Mapping[str, Word], key: str, text: str) -> Word:
    if text not in table:
        raise SettingsError(f"settings hold {key}={text}, not one of {', '.join(table)}")
    return table[text]


def read_settings(pairs: Mapping[str, str]) -> Settings:
    """The module's settings as typed values; keys not known are passed over."""
    c = _Conf(pairs)
    info = "family_info."
    fresh, grace = c.numbers(info + "class_fresh"), c.numbers(info + "usable_after")
    never = c.items(info + "never_kept")
    classes = []
    for n in range(c.whole("services.count", least=1)):
        at = f"services.{n}."
        classes.append(
            RequestClass(
                effect=_word(IDEMPOTENCY_BY_WORD, at + "effect", c.text(at + "effect")),
                group=_word(GROUPS, at + "group", c.text(at + "group", "all")),
                window=c.whole(at + "window", "0", 0),
                on_time=c.whole(at + "on_time", least=0),
                stretch=c.number(at + "aim_stretch", "0"),
                deadline=c.whole(at + "hard_limit", least=1),
                worth=c.number(at + "worth"),
                stream=c.flag(at + "stream", "false"),
                fresh=_nth(fresh, n),
                grace=_nth(grace, n),
                never_kept=n < len(never) and never[n] == "true",
            )
        )
    fronts = c.whole("replicas_of_me", least=1)
    return Settings(
        zone=c.whole("zone", least=0),
        fronts=fronts,
        fronts_by_zone=tuple(int(n) for n in c.numbers(info + "seats_by_zone")),
        classes=tuple(classes),
        parent_kind=c.whole(info + "second_tier_kind", "-1"),
        origin_kind=c.whole(info + "root_kind", "-1"),
        direct=c.flag(info + "pass_through_ok", "false"),
        joins=c.flag(info + "collapses", "false"),
        siblings=c.text(info + "peers_fill", "off") != "off",
        reports=tuple(REPORTS.get(name, name) for name in c.items("report.fields")),
        client_kb_per_s=c.number(info + "client_kb_per_s", "0"),
        sizes_compare=c.text("weights", "off") in ("nominal", "rough"),
        purge_settles=c.whole(info + "purge_settles", "0"),
        cold_from=c.share("rules.cold_from"),
        cold_multiple=c.number("rules.fall_multiple"),
        cold_window=c.whole("rules.tip_after"),
        cold_time=c.whole("rules.warm_within"),
        parent_cold_from=c.share(info + "upper_cold_from", "1"),
        parent_cold_multiple=c.number(info + "upper_fall_multiple", "1"),
        parent_cold_time=c.whole(info + "upper_cold", "0"),
        list_on_request=c.text("registry_mode", "pushed") == "on_request",
        must_ask_in=c.whole("rules.must_ask_in", "0"),
        cancel=c.flag("limits.cancel", "false"),
        second_copies=c.flag("limits.may_duplicate", "false"),
        attempts=c.whole("limits.try_limit", "1"),
        retry_after=c.flag("limits.retry_after", "false"),
        max_retry_after=c.whole("limits.max_retry_after", "0"),
        step=c.whole("step", "0"),
    )


def lay_out(value: Any, at: str = "", depth: int = 0) -> Iterator[tuple[str, str]]:
    """A nested object as the pairs of the simulator's first message."""
    if depth > DEPTH_MOST:
        raise SettingsError(f"settings hold {at[:60]} nested over {DEPTH_MOST} deep")
    if isinstance(value, dict):
        for key, item in value.items():
            yield from lay_out(item, f"{at}.{key}" if at else str(key), depth + 1)
    elif isinstance(value, list) and any(isinstance(item, dict | list) for item in value):
        yield f"{at}.count", str(len(value))
        for n, item in enumerate(value):
            yield from lay_out(item, f"{at}.{n}", depth + 1)
    elif isinstance(value, list):
        if not value:
            yield f"{at}.count", "0"
        yield at, ",".join(_plain(item) for item in value)
    elif value is not None:
        yield at, _plain(value)


def _plain(value: Any) -> str:
    return ("true" if value else "false") if isinstance(value, bool) else str(value)


@dataclass(slots=True, frozen=True)
class FrontConfig:
    """What one real front is told: its place and limits, the module's settings, the names behind numbers."""

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
        """What a client is told that the front itself refuses: the longest wait it honours, where it does."""
        most = self.settings.max_retry_after // 1_000_000 if self.settings.retry_after else 0
        return most or None


class _Keys:
    """The JSON object of the front, each key taken with its type."""

    def __init__(self, value: dict[str, Any], at: str = "") -> None:
        self.value, self.at = value, at

    def take(self, key: str, wanted: str, *kinds: type) -> Any:
        found = self.value.get(key)
        if found is None:
            raise SettingsError(f"configuration lacks {self.at}{key} ({wanted})")
        if not isinstance(found, kinds) or (isinstance(found, bool) and bool not in kinds):
            raise SettingsError(f"configuration holds {self.at}{key} of a wrong type: {wanted} is wanted")
        return found

    def table(self, key: str) -> _Keys:
        return _Keys(self.take(key, "an object", dict), f"{self.at}{key}.")

    def text(self, key: str) -> str:
        found: str = self.take(key, "a text", str)
        return self._shown(key, found)

    def _shown(self, key: str, text: str) -> str:
        if not text.isprintable():  # it stands in log lines and on the terminal
            raise SettingsError(f"configuration holds {self.at}{key}={text[:30]!a}, which can't be printed")
        return text

    def number(self, key: str, least: float) -> float:
        found = self.take(key, f"a number of {least:g} at least", int, float)
        if not least <= found <= NUMBER_MOST:  # also where it is NaN, or too long for a float
            wanted = f"a number of {least:g} to {NUMBER_MOST:g}"
            raise SettingsError(f"configuration holds {self.at}{key}={str(found)[:30]}, not {wanted}")
        return float(found)

    def address(self, key: str) -> tuple[str, int]:
        try:
            return read_address(self.take(key, "an address such as 127.0.0.1:5050", str))
        except ProtocolError as error:
            raise SettingsError(f"configuration holds {self.at}{key}: {error}") from None

    def names(self, key: str) -> tuple[str, ...]:
        found = self.take(key, "a list of texts", list)
        if not all(isinstance(item, str) for item in found):
            raise SettingsError(f"configuration holds {self.at}{key} with an item that is not a text")
        return tuple(self._shown(key, item) for item in found)


def _classes(services: list[Any]) -> tuple[str, ...]:
    names = tuple(_Keys(item, f"settings.services.{n}.").text("name") for n, item in enumerate(services))
    for n, name in enumerate(names):
        if not NAME.fullmatch(name) or name in names[:n]:
            raise SettingsError(
                f"configuration holds settings.services.{n}.name={name[:30]!r}, not a word of its own"
            )
    return names


def _seed(keys: _Keys) -> int:
    found = keys.take("seed", "16 hex digits", str, int)
    try:
        return found if isinstance(found, int) else int(found, 16)
    except ValueError:
        raise SettingsError(f"configuration holds seed={found[:30]!r}, not hex digits") from None


def _known(keys: _Keys, judge: Judge | None) -> tuple[int, tuple[ChangeEvent, ...]]:
    try:
        last, events = read_changes(keys.take("known", "the events up to now", dict), judge)
    except ProtocolError as error:
        raise SettingsError(f"configuration holds known: {error}") from None
    if not any(isinstance(event, FleetChange) and event.is_full_list for event in events):
        raise SettingsError("configuration holds known without a whole list of caches that can be read")
    return last, events


def read_front(value: Any, environment: Mapping[str, str], judge: Judge | None = None) -> FrontConfig:
    """The front's configuration, checked; the environment's name and address go before the file's.

    `judge` is of the change log's reader: with it machines may have several addresses of any form it takes.
    """
    if not isinstance(value, dict):
        raise SettingsError("configuration is not a JSON object")
    overrides = {"name": environment.get("ROUTER_NAME"), "listen": environment.get("ROUTER_LISTEN")}
    keys = _Keys(value | {key: text for key, text in overrides.items() if text})
    raw = keys.table("settings")
    settings = read_settings(dict(lay_out(raw.value)))
    limits, site, report = keys.table("limits"), raw.table("limits"), raw.table("report")
    services = raw.take("services", "a list of classes", list)
    on_probe = report.text("how") == "on_probe"
    if on_probe and site.value.get("probes", True) is False:
        raise SettingsError("configuration holds settings.report.how=on_probe, but probes are not allowed")
    last, events = _known(keys, judge)
    zones = raw.names("zones")
    if settings.zone >= len(zones):
        raise SettingsError(f"configuration holds settings.zone={settings.zone}, past the list of zones")
    return FrontConfig(
        name=keys.text("name"),
        listen=keys.address("listen"),
        changelog=keys.address("changelog"),
        seed=_seed(keys),
        memory_mb=int(limits.number("memory_mb", MEMORY_LEAST)),
        sockets=int(limits.number("sockets", SOCKETS_LEAST)),
        settings=settings,
        classes=_classes(services),
        zones=zones,
        kinds=raw.names("skus"),
        report_fields=report.names("fields"),
        report_on_probe=on_probe,
        streams=int(site.number("multiplex", 1)),
        idle=int(site.number("conn_idle", 1)),
        dial_timeout=int(site.number("dial_timeout", 1)),
        max_open=int(site.number("max_open", 1)),
        known_seq=last,
        known=events,
    )


def load_front(
    environment: Mapping[str, str] = os.environ, path: str | None = None, judge: Judge | None = None
) -> FrontConfig:
    """The configuration from the file at the path, or else at ROUTER_CONFIG."""
    place = path or environment.get("ROUTER_CONFIG")
    if not place:
        raise SettingsError("ROUTER_CONFIG is not set: the path of the configuration file is wanted")
    try:
        with Path(place).open("rb") as file:
            raw = file.read(FILE_MOST + 1)
    except OSError as error:
        raise SettingsError(f"ROUTER_CONFIG={place} can't be read: {error.strerror}") from None
    if len(raw) > FILE_MOST:
        raise SettingsError(f"ROUTER_CONFIG={place} is over {FILE_MOST} bytes")
    try:
        value = json.loads(raw)
    except (ValueError, RecursionError) as error:
        raise SettingsError(f"ROUTER_CONFIG={place} is not JSON: {error}") from None
    try:
        return read_front(value, environment, judge)
    except SettingsError as error:
        line = "".join(c if c.isprintable() else "?" for c in str(error))  # a value may hold anything
        raise SettingsError(line, where=place) from None


# What a new configuration changes while the front serves; the rest counts from the next start.
RELOADED = ("changelog", "streams", "idle", "dial_timeout")
NOT_COMPARED = ("seed", "known_seq", "known")  # new with every file, of use at a start alone


def reloaded(old: FrontConfig, new: FrontConfig) -> tuple[FrontConfig, list[str], list[str]]:
    """The configuration to go on with, the keys that changed in it, and those left for the next start."""
    differ = [f.name for f in fields(old) if getattr(old, f.name) != getattr(new, f.name)]
    now = [name for name in differ if name in RELOADED]
    later = [name for name in differ if name not in RELOADED + NOT_COMPARED]
    return replace(old, **{name: getattr(new, name) for name in now}), now, later
