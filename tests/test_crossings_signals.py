"""Signals at any point of a front's start, service, drain and end: it exits with 0, or continues to serve."""

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
# In the order in which a start reaches them; after the last one the front announces that it serves.
START_POINTS = (
    "import:docopt",
    "import:quincepier.config",
    "quincepier.config:load_front",
    "import:quincepier.lifecycle.front",
    "import:loguru",
    "quincepier.lifecycle.logs:configure_logging",
    f"{FRONT}:run",
    "import:uvloop",
    f"{FRONT}:Front.__init__",
    f"{FRONT}:Front.serve",
    f"{NET}.sockets:listen",
    f"{NET}.module:ModuleActor.start_with_known_events",
    f"{NET}.watch:ChangeLogWatcher.start",
    f"{NET}.watch:ChangeLogWatcher.wait_until_caught_up",
)
SERVING_POINT = f"{NET}.listener:Listener.start"
# In the order in which a stop reaches them, from the start of the drain to the teardown of the interpreter.
END_POINTS = (
    f"{FRONT}:Front._drain",
    f"{NET}.connection_manager:ConnectionManager.drain",
    f"{NET}.connection_manager:ConnectionManager.close_all",
    f"{NET}.module:ModuleActor.cancel",
    f"{FRONT}:Front._log_stopped",
    "asyncio:Runner.close",
    "exit",
    "teardown",
)
RELOADABLE_END_POINTS = END_POINTS[:3]  # a reload still works up to the last read from a client


async def run_front(folder: Path, *points: str) -> tuple[int, str]:
    """Run a front with signals at these points; return its exit code and its log."""
    folder.mkdir()
    listen, closed_address = ("{}:{}".format(*allocate_address()) for _ in range(2))
    (folder / "config.json").write_text(json.dumps(raw_config(listen=listen, changelog=closed_address)))
    environment = {k: v for k, v in os.environ.items() if not k.startswith("ROUTER_")}
    process = await asyncio.create_subprocess_exec(
        sys.executable, "-m", "tests.signalkit", *points, "serve",
        env=environment | {"ROUTER_CONFIG": str(folder / "config.json")}, stderr=asyncio.subprocess.PIPE,
    )  # fmt: skip
    try:
        async with asyncio.timeout(TEST_TIMEOUT_S):
            log = (await process.communicate())[1].decode()
    finally:
        if process.returncode is None:
            process.kill()
    assert process.returncode is not None
    return process.returncode, log


def run_cases(folder: Path, *cases: tuple[str, ...]) -> dict[tuple[str, ...], tuple[int, str]]:
    """Run all cases, six at a time; return exit code and log by case."""

    async def run() -> list[tuple[int, str]]:
        semaphore = asyncio.Semaphore(6)

        async def run_case(n: int, case: tuple[str, ...]) -> tuple[int, str]:
            async with semaphore:
                return await run_front(folder / str(n), *case)

        return await asyncio.gather(*(run_case(n, case) for n, case in enumerate(cases)))

    return dict(zip(cases, asyncio.run(run()), strict=True))


def faults(outcomes: dict[tuple[str, ...], tuple[int, str]], *forbidden: str) -> list[tuple[Any, ...]]:
    """Return the cases with another exit code than 0, or with a forbidden word in the log."""
    return [
        (case, code, log)
        for case, (code, log) in outcomes.items()
        if code != 0 or any(word in log for word in ("Traceback", "exception", *forbidden))
    ]


def alternate_signals(points: tuple[str, ...]) -> list[str]:
    """Send SIGTERM and SIGINT alternately, as one handler serves both."""
    return [f"{point}={('TERM', 'INT')[n % 2]}" for n, point in enumerate(points)]


def test_a_stop_signal_before_serving_ends_the_front_at_once_without_drain(tmp_path: Path) -> None:
    """No request was accepted yet, so there is no drain. Without the signal the front would not stop."""
    outcomes = run_cases(tmp_path, *((point,) for point in alternate_signals(START_POINTS)))
    assert faults(outcomes, "drain", "serves") == []


def test_a_further_signal_while_stopping_neither_kills_nor_shortens_the_stop(tmp_path: Path) -> None:
    outcomes = run_cases(
        tmp_path, *((f"{SERVING_POINT}=TERM", point) for point in alternate_signals(END_POINTS))
    )
    assert faults(outcomes) == []
    assert all("stopped" in log and log.count("drain:") == 1 for _, log in outcomes.values())


def test_a_reload_at_any_point_ends_nothing_and_works_while_the_front_serves(tmp_path: Path) -> None:
    before = tuple((f"{point}=HUP", f"{SERVING_POINT}=TERM") for point in START_POINTS[::3])
    after = tuple((f"{SERVING_POINT}=TERM", f"{point}=HUP") for point in END_POINTS)
    outcomes = run_cases(tmp_path, *before, *after)
    assert faults(outcomes) == []
    assert all("stopped" in log for _, log in outcomes.values())
    counted = {case for case, (_, log) in outcomes.items() if log.count("configuration reloaded:") == 1}
    assert counted == {*before, *(case for case in after if case[1].startswith(RELOADABLE_END_POINTS))}


def test_a_simultaneous_reload_and_stop_are_both_done(tmp_path: Path) -> None:
    start, drain, orders = START_POINTS[-1], END_POINTS[0], ("HUP,TERM", "TERM,HUP")
    cases: list[tuple[str, ...]] = [
        (f"{point}={order}",) for point in (start, SERVING_POINT) for order in orders
    ]
    cases += [(f"{SERVING_POINT}=TERM", f"{drain}={order}") for order in orders]
    outcomes = run_cases(tmp_path, *cases)
    assert faults(outcomes) == []
    assert all(log.count("configuration reloaded:") == 1 for _, log in outcomes.values())
    assert all(("drain:" in log) is (start not in case[0]) for case, (_, log) in outcomes.items())


def data(command: ReceivedCommand) -> None:
    command.respond_with_data()


@dataclass
class FrontWithSignals(Front):
    """A front with signals at points of its start and service."""

    points: tuple[str, ...] = ()

    @property
    def program(self) -> tuple[str, ...]:
        return ("tests.signalkit", *self.points, "serve")


@pytest.mark.parametrize(
    "points",
    [
        (f"{NET}.watch:ChangeLogWatcher.wait_until_caught_up=SWAP,HUP",),
        # the file is replaced again between its reading and its use: the newest file must be in force
        (f"{SERVING_POINT}=HUP", f"{FRONT}:apply_reload=SWAP,HUP"),
    ],
    ids=["while it waits for its first changes", "in the middle of another reload"],
)
def test_the_newest_configuration_file_is_in_force(tmp_path: Path, points: tuple[str, ...]) -> None:
    async def scenario(first: Front) -> None:
        first.send_signal(signal.SIGTERM)
        assert await first.wait_for_exit() == 0
        moved = ChangeLog()
        moved.events = list(first.change_log.events)
        await moved.start()
        (tmp_path / "config.json.next").write_text(json.dumps(first.config | {"changelog": moved.address}))
        front = FrontWithSignals(tmp_path, first.caches, first.change_log, first.config, points=points)
        front.address = first.address
        try:
            await front.start()
            await until(lambda: bool(moved.poll_positions), "the log of the newest file is polled")
            assert moved.poll_positions[0] == len(front.change_log.events)
            client = await front.connect_client()
            client.send_request(1)
            assert (await client.wait_for_response(1)).status == 200
            poll_count = len(front.change_log.poll_positions)
            moved.add_event(invalidate={"bucket": 17, "time": 1})
            await until(lambda: moved.poll_positions[-1] == len(moved.events), "and its events are received")
            assert len(front.change_log.poll_positions) == poll_count and not front.has_exited
        finally:
            await front.stop()
            assert moved.server is not None
            moved.server.close()

    play(tmp_path, {"s-1": data, "p-1": data, "o-1": data}, scenario)
