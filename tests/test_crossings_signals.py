"""Signals between any two lines of a front's start, service, drain and end: it ends with 0, or serves on."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import sys
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import pytest

from tests.frontkit import raw_config
from tests.loopback import allocate_address
from tests.standins import TEST_TIMEOUT_S, ChangeLog, Front, ReceivedCommand, play, until

FRONT, NET = "quincepier.lifecycle.front", "quincepier.net"
# In the order in which a start comes by; up to here nobody was told that the front serves.
BEFORE = (
    "import:docopt",
    "import:quincepier.config",
    "quincepier.config:load_front",
    "import:quincepier.lifecycle.front",
    "import:loguru",
    "quincepier.lifecycle.logs:set_up",
    f"{FRONT}:run",
    "import:uvloop",
    f"{FRONT}:Front.__init__",
    f"{FRONT}:Front.serve",
    f"{NET}.sockets:listen",
    f"{NET}.module:ModuleActor.begin",
    f"{NET}.watch:Watch.start",
    f"{NET}.watch:Watch.up_to_date",
)
SERVES = f"{NET}.listener:Listener.start"
# And those of the end, from the first line of the drain to the interpreter's.
AFTER = (
    f"{FRONT}:Front._drain",
    f"{NET}.clients:ConnectionManager.drain",
    f"{NET}.clients:ConnectionManager.close_all",
    f"{NET}.module:ModuleActor.cancel",
    f"{FRONT}:Front._log_stopped",
    "asyncio:Runner.close",
    "exit",
    "teardown",
)
TOLD = AFTER[:3]  # where a reload still counts: up to the last read of the last client


async def ends(folder: Path, *points: str) -> tuple[int, str]:
    """The exit code and the log of a front with such signals, one after the other until it has ended."""
    folder.mkdir()
    listen, gone = ("{}:{}".format(*allocate_address()) for _ in range(2))
    (folder / "config.json").write_text(json.dumps(raw_config(listen=listen, changelog=gone)))
    environment = {k: v for k, v in os.environ.items() if not k.startswith("ROUTER_")}
    process = await asyncio.create_subprocess_exec(
        sys.executable, "-m", "tests.signalkit", *points, "serve",
        env=environment | {"ROUTER_CONFIG": str(folder / "config.json")}, stderr=asyncio.subprocess.PIPE,
    )  # fmt: skip
    try:
        async with asyncio.timeout(TEST_TIMEOUT_S):
            told = (await process.communicate())[1].decode()
    finally:
        if process.returncode is None:
            process.kill()
    assert process.returncode is not None
    return process.returncode, told


def all_end(folder: Path, *cases: tuple[str, ...]) -> dict[tuple[str, ...], tuple[int, str]]:
    """Each case's outcome; a few at a time."""

    async def run() -> list[tuple[int, str]]:
        turn = asyncio.Semaphore(6)

        async def one(n: int, case: tuple[str, ...]) -> tuple[int, str]:
            async with turn:
                return await ends(folder / str(n), *case)

        return await asyncio.gather(*(one(n, case) for n, case in enumerate(cases)))

    return dict(zip(cases, asyncio.run(run()), strict=True))


def faults(found: dict[tuple[str, ...], tuple[int, str]], *without: str) -> list[tuple[Any, ...]]:
    """Who did not end in order, or said what it must not."""
    return [
        (case, code, told)
        for case, (code, told) in found.items()
        if code != 0 or any(word in told for word in ("Traceback", "exception", *without))
    ]


def in_turn(points: tuple[str, ...]) -> list[str]:
    """SIGTERM and SIGINT by turns: one handler has both."""
    return [f"{point}={('TERM', 'INT')[n % 2]}" for n, point in enumerate(points)]


def test_an_end_before_it_serves_is_an_end_in_order_and_at_once(tmp_path: Path) -> None:
    """Nothing is taken yet: no drain is waited for. Without its own signal it would serve, and not end."""
    found = all_end(tmp_path, *((point,) for point in in_turn(BEFORE)))
    assert faults(found, "drain", "serves") == []


def test_a_further_signal_in_the_end_neither_kills_nor_cuts_it_short(tmp_path: Path) -> None:
    found = all_end(tmp_path, *((f"{SERVES}=TERM", point) for point in in_turn(AFTER)))
    assert faults(found) == []
    assert all("stopped" in told and told.count("drain:") == 1 for _, told in found.values())


def test_a_reload_at_any_point_ends_nothing_and_counts_while_the_front_serves(tmp_path: Path) -> None:
    before = tuple((f"{point}=HUP", f"{SERVES}=TERM") for point in BEFORE[::3])
    after = tuple((f"{SERVES}=TERM", f"{point}=HUP") for point in AFTER)
    found = all_end(tmp_path, *before, *after)
    assert faults(found) == []
    assert all("stopped" in told for _, told in found.values())
    counted = {case for case, (_, told) in found.items() if told.count("configuration reloaded:") == 1}
    assert counted == {*before, *(case for case in after if case[1].startswith(TOLD))}


def test_a_reload_and_an_end_in_the_same_moment_are_both_done(tmp_path: Path) -> None:
    start, drain, orders = BEFORE[-1], AFTER[0], ("HUP,TERM", "TERM,HUP")
    cases: list[tuple[str, ...]] = [(f"{point}={order}",) for point in (start, SERVES) for order in orders]
    cases += [(f"{SERVES}=TERM", f"{drain}={order}") for order in orders]
    found = all_end(tmp_path, *cases)
    assert faults(found) == []
    assert all(told.count("configuration reloaded:") == 1 for _, told in found.values())
    assert all(("drain:" in told) is (start not in case[0]) for case, (_, told) in found.items())


def data(asked: ReceivedCommand) -> None:
    asked.respond_with_data()


@dataclass
class Signalled(Front):
    """A front with signals at points of its start and service."""

    points: tuple[str, ...] = ()

    @property
    def program(self) -> tuple[str, ...]:
        return ("tests.signalkit", *self.points, "serve")


@pytest.mark.parametrize(
    "points",
    [
        (f"{NET}.watch:Watch.up_to_date=SWAP,HUP",),
        # the file is read and not yet in force as it is replaced again: what is read later holds
        (f"{SERVES}=HUP", f"{FRONT}:reloaded=SWAP,HUP"),
    ],
    ids=["while it waits for its first changes", "in the middle of another reload"],
)
def test_the_file_that_was_last_in_place_holds(tmp_path: Path, points: tuple[str, ...]) -> None:
    async def scenario(first: Front) -> None:
        first.send_signal(signal.SIGTERM)
        assert await first.wait_for_exit() == 0
        moved = ChangeLog()
        moved.events = list(first.change_log.events)
        await moved.start()
        (tmp_path / "config.json.next").write_text(json.dumps(first.config | {"changelog": moved.address}))
        front = Signalled(tmp_path, first.caches, first.change_log, first.config, points=points)
        front.address = first.address
        try:
            await front.start()
            await until(lambda: bool(moved.poll_positions), "the log of the last file is asked")
            assert moved.poll_positions[0] == len(front.change_log.events)
            client = await front.connect_client()
            client.send_request(1)
            assert (await client.wait_for_response(1)).status == 200
            asked = len(front.change_log.poll_positions)
            moved.add_event(invalidate={"bucket": 17, "time": 1})
            await until(lambda: moved.poll_positions[-1] == len(moved.events), "and followed")
            assert len(front.change_log.poll_positions) == asked and not front.has_exited
        finally:
            await front.stop()
            assert moved.server is not None
            moved.server.close()

    play(tmp_path, {"s-1": data, "p-1": data, "o-1": data}, scenario)
