"""Invalid configurations: exit code 2 and one line at a start, no change at SIGHUP, never a traceback."""

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
from quincepier.config import FrontConfig, SettingsError, apply_reload, load_front
from quincepier.lifecycle.front import Front as WholeFront
from tests.frontkit import make_config, raw_config
from tests.standins import TEST_TIMEOUT_S, Front, ReceivedCommand, play, until

WIDE = "9" * 400  # digits of an integer that is too large for a float
JUNK: list[Any] = [
    None, True, False, 0, -1, 1.5, -(2**70), 2**64, 10**400, 1e308, float("nan"), float("inf"), float("-inf"),
    "", "x", "NaN", "1e999", WIDE, "a,b", "a b", "ä", "\n", "\ud800", "\0", [], [[]], [None], [float("nan")],
    [10**400], ["a", 1, {}], {}, {"": ""}, {"count": 3}, {"a.b": {"": [{}]}},
]  # fmt: skip


def list_paths(value: Any, path: tuple[str | int, ...] = ()) -> list[tuple[str | int, ...]]:
    """Return the paths of all values of a configuration, the root first."""
    found = [path]
    pairs = value.items() if isinstance(value, dict) else enumerate(value) if isinstance(value, list) else ()
    for key, item in pairs:
        found += list_paths(item, (*path, key))
    return found


GOOD = raw_config()
PATHS = list_paths(GOOD)
TEMPORARY_FOLDER = tempfile.TemporaryDirectory()  # for the invalid files of all examples
FOLDER = Path(TEMPORARY_FOLDER.name)


def replace_value(raw: Any, path: tuple[str | int, ...], junk: Any, is_removed: bool = False) -> Any:
    """Return a copy with the value at a path replaced or removed; unchanged if the path does not exist."""
    if not path:
        return junk
    raw = copy.deepcopy(raw)
    parent = raw
    try:
        for key in path[:-1]:
            parent = parent[key]
        if is_removed:
            del parent[path[-1]]
        else:
            parent[path[-1]] = junk
    except (KeyError, IndexError, TypeError):
        pass
    return raw


def load(folder: Path, content: bytes) -> FrontConfig | None:
    """Return the configuration in a file; None if it is rejected with one well-formed line."""
    path = folder / "config.json"
    path.write_bytes(content)
    try:
        return load_front({}, str(path))
    except SettingsError as error:
        line = error.line()
        assert str(path) in line and error.advice in line and len(line.splitlines()) == 1 and len(line) < 600
        return None


def check_usable(config: FrontConfig) -> None:
    """Check that an accepted configuration can be printed, compared with another, and used by a front."""
    summary(config).encode()
    apply_reload(make_config(), config)
    WholeFront(config)


CHANGES = st.tuples(st.sampled_from(PATHS), st.sampled_from(JUNK), st.booleans())


@examples(max_examples=200)
@given(st.lists(CHANGES, min_size=1, max_size=3))
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
def test_any_content_is_accepted_or_rejected_in_one_line(changes: list[tuple[Any, Any, bool]]) -> None:
    raw: Any = GOOD
    for path, junk, is_removed in changes:
        raw = replace_value(raw, path, junk, is_removed)
    config = load(FOLDER, json.dumps(raw).encode())
    if config is not None:
        check_usable(config)


@examples(max_examples=100)
@given(st.integers(0, len(json.dumps(GOOD)) - 1), st.binary(max_size=3))
def test_a_truncated_file_is_rejected_and_an_overwritten_one_rejected_or_accepted(
    at: int, noise: bytes
) -> None:
    content = json.dumps(GOOD).encode()
    assert load(FOLDER, content[:at]) is None
    config = load(FOLDER, content[:at] + noise + content[at + len(noise) :])
    if config is not None:
        check_usable(config)


def nested(depth: int) -> bytes:
    plain = json.dumps(GOOD)
    return plain.replace('"skus":', '"deep": ' + '{"a": [' * depth + "]}" * depth + ', "skus":').encode()


def test_deep_nesting_is_rejected_at_any_depth(tmp_path: Path) -> None:
    assert load(tmp_path, nested(8)) is not None
    assert [load(tmp_path, nested(depth)) for depth in (20, 200, 400, 2_000, 50_000)] == [None] * 5


def writing(content: bytes) -> Callable[[Path], None]:
    def write(path: Path) -> None:
        path.write_bytes(content)

    return write


def without(*keys: str | int) -> Callable[[Path], None]:
    return writing(json.dumps(replace_value(GOOD, keys, None, is_removed=True)).encode())


def with_value(junk: Any, *keys: str | int) -> Callable[[Path], None]:
    return writing(json.dumps(replace_value(GOOD, keys, junk)).encode())


# How the file is made invalid, and what the line must name besides the file.
CASES: list[tuple[Callable[[Path], None], str]] = [
    (lambda path: path.unlink(missing_ok=True), "No such file"),
    (lambda path: path.mkdir(), "directory"),
    (writing(b""), "line 1"),
    (writing(json.dumps(GOOD).encode()[:700]), "line 1"),
    (writing(b'{"name": "\xff\xfe"}'), "not JSON"),
    (writing(b"listen: 127.0.0.1:5050\n"), "line 1"),
    (writing(b"[" * 100_000), "not JSON"),
    (writing(nested(300)), "deep"),
    (writing(b"[]"), "not a JSON object"),
    (without("settings", "rules", "tip_after"), "rules.tip_after"),
    (with_value("much", "settings", "services", 0, "worth"), "services.0.worth"),
    (with_value(-5, "limits", "sockets"), "limits.sockets"),
    (with_value(10**400, "settings", "limits", "conn_idle"), "settings.limits.conn_idle"),
    (with_value([float("nan")] * 3, "settings", "family_info", "class_fresh"), "class_fresh"),
    (with_value([], "settings", "services"), "services"),
    (with_value("bid", "settings", "services", 0, "name"), "settings.services.2.name"),
    (with_value("often", "settings", "services", 2, "effect"), "services.2.effect"),
    (with_value(10**400, "known", "results", 0, "fleet", "hosts", 0, "share"), "known"),
]  # fmt: skip


def remove(path: Path) -> None:
    if path.is_dir():
        path.rmdir()
    else:
        path.unlink(missing_ok=True)


def test_a_start_with_an_invalid_file_exits_with_2_and_one_line(tmp_path: Path) -> None:
    """A front process prints the file, the line or key, and the remedy, and nothing else."""
    environment = {k: v for k, v in os.environ.items() if not k.startswith("ROUTER_")}

    async def run() -> list[tuple[int | None, str]]:
        process_limit = asyncio.Semaphore(4)

        async def start(n: int, make_invalid: Callable[[Path], None]) -> tuple[int | None, str]:
            path = tmp_path / f"{n}.json"
            make_invalid(path)
            async with process_limit, asyncio.timeout(TEST_TIMEOUT_S):
                process = await asyncio.create_subprocess_exec(
                    sys.executable, "-m", "quincepier", "serve",
                    env=environment | {"ROUTER_CONFIG": str(path)}, stderr=asyncio.subprocess.PIPE,
                )  # fmt: skip
                errors = (await process.communicate())[1].decode()
            return process.returncode, errors

        return await asyncio.gather(*(start(n, make_invalid) for n, (make_invalid, _) in enumerate(CASES)))

    for n, ((code, errors), (_, named)) in enumerate(zip(asyncio.run(run()), CASES, strict=True)):
        assert code == 2 and len(errors.splitlines()) == 1, (n, code, errors)
        assert f"{n}.json" in errors and named in errors and SettingsError.remedy in errors, (n, errors)


def data(asked: ReceivedCommand) -> None:
    asked.respond_with_data()


def test_at_sighup_the_old_settings_stay_and_the_front_serves(tmp_path: Path) -> None:
    async def scenario(front: Front) -> None:
        client, path = await front.connect_client(), front.folder / "config.json"
        for n, (make_invalid, named) in enumerate(CASES, 1):
            remove(path)
            make_invalid(path)
            front.send_signal(signal.SIGHUP)
            await until(lambda n=n: len(list_rejections(front)) == n, "it logs why")  # type: ignore[misc]
            assert named in list_rejections(front)[-1] and "config.json" in list_rejections(front)[-1]
            client.send_request(n)
            assert (await client.wait_for_response(n)).status == 200
        path.write_text(json.dumps(front.config))
        front.send_signal(signal.SIGHUP)
        await until(lambda: front.has_logged("configuration reloaded: nothing"), "a valid one is applied")
        front.send_signal(signal.SIGTERM)
        assert await front.wait_for_exit() == 0 and not front.has_logged("Traceback")

    play(tmp_path, {"s-1": data, "p-1": data, "o-1": data}, scenario)


def list_rejections(front: Front) -> list[str]:
    return [line for line in front.log_lines if "configuration_rejected" in line]
