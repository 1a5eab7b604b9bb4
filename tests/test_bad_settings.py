"""Spoilt settings: at a start exit code 2 and one line, at SIGHUP the old ones stay; never a traceback."""

from __future__ import annotations

import asyncio
import copy
import json
import os
import signal
import sys
import tempfile
from collections.abc import Callable
from pathlib import Path
from typing import Any

from hypothesis import example, given
from hypothesis import settings as examples
from hypothesis import strategies as st

from quincepier.__main__ import summary
from quincepier.config import FrontConfig, SettingsError, load_front, reloaded
from quincepier.lifecycle.front import Front as WholeFront
from tests.frontkit import make_config, raw_config
from tests.standins import TEST_TIMEOUT_S, Front, ReceivedCommand, play, until

WIDE = "9" * 400  # digits: an integer that no float can hold
JUNK: list[Any] = [
    None, True, False, 0, -1, 1.5, -(2**70), 2**64, 10**400, 1e308, float("nan"), float("inf"), float("-inf"),
    "", "x", "NaN", "1e999", WIDE, "a,b", "a b", "ä", "\n", "\ud800", "\0", [], [[]], [None], [float("nan")],
    [10**400], ["a", 1, {}], {}, {"": ""}, {"count": 3}, {"a.b": {"": [{}]}},
]  # fmt: skip


def places(value: Any, way: tuple[str | int, ...] = ()) -> list[tuple[str | int, ...]]:
    """The ways to all that a configuration holds, the whole of it first."""
    found = [way]
    pairs = value.items() if isinstance(value, dict) else enumerate(value) if isinstance(value, list) else ()
    for key, item in pairs:
        found += places(item, (*way, key))
    return found


GOOD = raw_config()
PLACES = places(GOOD)
HELD = tempfile.TemporaryDirectory()  # for the spoilt files of all examples
FOLDER = Path(HELD.name)


def spoilt(raw: Any, way: tuple[str | int, ...], junk: Any, gone: bool = False) -> Any:
    """With junk, or nothing, in a place; where that is no longer there, as it was."""
    if not way:
        return junk
    raw = copy.deepcopy(raw)
    at = raw
    try:
        for key in way[:-1]:
            at = at[key]
        if gone:
            del at[way[-1]]
        else:
            at[way[-1]] = junk
    except (KeyError, IndexError, TypeError):
        pass
    return raw


def judged(folder: Path, content: bytes) -> FrontConfig | None:
    """The configuration that a file is, or None where it is refused in order."""
    path = folder / "config.json"
    path.write_bytes(content)
    try:
        return load_front({}, str(path))
    except SettingsError as error:
        line = error.line()
        assert str(path) in line and error.advice in line and len(line.splitlines()) == 1 and len(line) < 600
        return None


def serves_with(config: FrontConfig) -> None:
    """What is taken can be shown, put beside another, and a front be made of it."""
    summary(config).encode()
    reloaded(make_config(), config)
    WholeFront(config)


PAIRS = st.tuples(st.sampled_from(PLACES), st.sampled_from(JUNK), st.booleans())


@examples(max_examples=200)
@given(st.lists(PAIRS, min_size=1, max_size=3))
@example([(("settings", "family_info", "class_fresh"), [float("nan")], False)])
@example([(("settings", "family_info", "seats_by_zone", 0), float("inf"), False)])
@example([(("limits", "memory_mb"), 10**400, False)])
@example([(("limits", "sockets"), 2**64, False)])
@example([(("known", "results", 0, "fleet", "hosts", 0, "share"), 10**400, False)])
@example([(("known", "results", 0, "fleet", "hosts", 0, "born_ms"), 10**400, False)])
@example([(("settings", "services"), [], False)])
@example([(("settings", "services", 1, "name"), "bid", False)])
@example([(("settings", "services", 1, "name"), "a,tier=0", False)])
@example([(("name",), "\ud800", False)])
def test_whatever_a_file_holds_is_taken_or_refused_by_name(changes: list[tuple[Any, Any, bool]]) -> None:
    raw: Any = GOOD
    for way, junk, gone in changes:
        raw = spoilt(raw, way, junk, gone)
    config = judged(FOLDER, json.dumps(raw).encode())
    if config is not None:
        serves_with(config)


@examples(max_examples=100)
@given(st.integers(0, len(json.dumps(GOOD)) - 1), st.binary(max_size=3))
def test_a_file_cut_off_or_overwritten_is_refused_or_taken(at: int, noise: bytes) -> None:
    whole = json.dumps(GOOD).encode()
    assert judged(FOLDER, whole[:at]) is None
    config = judged(FOLDER, whole[:at] + noise + whole[at + len(noise) :])
    if config is not None:
        serves_with(config)


def nested(depth: int) -> bytes:
    plain = json.dumps(GOOD)
    return plain.replace('"skus":', '"deep": ' + '{"a": [' * depth + "]}" * depth + ', "skus":').encode()


def test_what_is_nested_deep_is_refused_at_any_depth(tmp_path: Path) -> None:
    assert judged(tmp_path, nested(8)) is not None
    assert [judged(tmp_path, nested(depth)) for depth in (20, 200, 400, 2_000, 50_000)] == [None] * 5


def put(content: bytes) -> Callable[[Path], None]:
    def spoil(path: Path) -> None:
        path.write_bytes(content)

    return spoil


def without(*way: str | int) -> Callable[[Path], None]:
    return put(json.dumps(spoilt(GOOD, way, None, gone=True)).encode())


def holding(junk: Any, *way: str | int) -> Callable[[Path], None]:
    return put(json.dumps(spoilt(GOOD, way, junk)).encode())


# What is wrong with the file, and what the line must name beside it.
CASES: list[tuple[Callable[[Path], None], str]] = [
    (lambda path: path.unlink(missing_ok=True), "No such file"),
    (lambda path: path.mkdir(), "directory"),
    (put(b""), "line 1"),
    (put(json.dumps(GOOD).encode()[:700]), "line 1"),
    (put(b'{"name": "\xff\xfe"}'), "not JSON"),
    (put(b"listen: 127.0.0.1:5050\n"), "line 1"),
    (put(b"[" * 100_000), "not JSON"),
    (put(nested(300)), "deep"),
    (put(b"[]"), "not a JSON object"),
    (without("settings", "rules", "tip_after"), "rules.tip_after"),
    (holding("much", "settings", "services", 0, "worth"), "services.0.worth"),
    (holding(-5, "limits", "sockets"), "limits.sockets"),
    (holding(10**400, "settings", "limits", "conn_idle"), "settings.limits.conn_idle"),
    (holding([float("nan")] * 3, "settings", "family_info", "class_fresh"), "class_fresh"),
    (holding([], "settings", "services"), "services"),
    (holding("bid", "settings", "services", 0, "name"), "settings.services.2.name"),
    (holding("often", "settings", "services", 2, "effect"), "services.2.effect"),
    (holding(10**400, "known", "results", 0, "fleet", "hosts", 0, "share"), "known"),
]  # fmt: skip


def clear(path: Path) -> None:
    if path.is_dir():
        path.rmdir()
    else:
        path.unlink(missing_ok=True)


def test_a_start_with_a_spoilt_file_ends_with_2_and_one_line(tmp_path: Path) -> None:
    """The file, the line or key, and what to do; nothing else, from a whole process."""
    environment = {k: v for k, v in os.environ.items() if not k.startswith("ROUTER_")}

    async def run() -> list[tuple[int | None, str]]:
        turn = asyncio.Semaphore(4)

        async def one(n: int, spoil: Callable[[Path], None]) -> tuple[int | None, str]:
            path = tmp_path / f"{n}.json"
            spoil(path)
            async with turn, asyncio.timeout(TEST_TIMEOUT_S):
                process = await asyncio.create_subprocess_exec(
                    sys.executable, "-m", "quincepier", "serve",
                    env=environment | {"ROUTER_CONFIG": str(path)}, stderr=asyncio.subprocess.PIPE,
                )  # fmt: skip
                told = (await process.communicate())[1].decode()
            return process.returncode, told

        return await asyncio.gather(*(one(n, spoil) for n, (spoil, _) in enumerate(CASES)))

    for n, ((code, told), (_, named)) in enumerate(zip(asyncio.run(run()), CASES, strict=True)):
        assert code == 2 and len(told.splitlines()) == 1, (n, code, told)
        assert f"{n}.json" in told and named in told and SettingsError.remedy in told, (n, told)


def data(asked: ReceivedCommand) -> None:
    asked.respond_with_data()


def test_at_sighup_the_old_settings_stay_and_the_front_serves(tmp_path: Path) -> None:
    async def scenario(front: Front) -> None:
        client, path = await front.connect_client(), front.folder / "config.json"
        for n, (spoil, named) in enumerate(CASES, 1):
            clear(path)
            spoil(path)
            front.send_signal(signal.SIGHUP)
            await until(lambda n=n: len(refusals(front)) == n, "it says why")  # type: ignore[misc]
            assert named in refusals(front)[-1] and "config.json" in refusals(front)[-1]
            client.send_request(n)
            assert (await client.wait_for_response(n)).status == 200
        path.write_text(json.dumps(front.config))
        front.send_signal(signal.SIGHUP)
        await until(lambda: front.has_logged("configuration reloaded: nothing"), "a good one is taken")
        front.send_signal(signal.SIGTERM)
        assert await front.wait_for_exit() == 0 and not front.has_logged("Traceback")

    play(tmp_path, {"s-1": data, "p-1": data, "o-1": data}, scenario)


def refusals(front: Front) -> list[str]:
    return [line for line in front.log_lines if "configuration_rejected" in line]
