"""Ten fronts restarted in turn under load: nothing that was taken is lost, and they are ready soon."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import time
from pathlib import Path
from signal import SIGTERM
from typing import Any

import pytest

from tests.fcgikit import call, params
from tests.loopback import allocate_address
from tests.standins import Cache, ChangeLog, Client, Front, ReceivedCommand, until
from tests.test_standing_restart import Sender

FRONTS, AT_ONCE = 10, 2
READY_WITHIN, READY = 10.0, 0.9  # seconds, and the share of the fronts that are ready in them


def later(asked: ReceivedCommand) -> None:
    asyncio.get_running_loop().call_later(0.2, asked.respond_with_data)


async def ready(front: Front) -> float:
    """Seconds from the start of the process to the answer of 200 for /ping."""
    began = time.monotonic()
    await front.start(wait=False)
    while True:
        with contextlib.suppress(ConnectionError, AssertionError):
            client = await Client.connect(front.address)
            client.send(call(1, {"SCRIPT_NAME": "/ping"}))
            try:
                if (await client.wait_for_response(1)).status == 200:
                    return time.monotonic() - began
            finally:
                await client.close()
        assert not front.has_exited, front.log_lines
        await asyncio.sleep(0.02)


class Fleet:
    """Fronts that share caches and a change log, each with a client that sends rows of requests."""

    def __init__(self, folder: Path) -> None:
        self.folder, self.log = folder, ChangeLog()
        self.caches = {name: Cache(later) for name in ("s-1", "p-1", "o-1")}
        self.fronts: list[Front] = []
        self.senders: list[Sender] = []

    async def start(self) -> None:
        first = Front(self.folder, self.caches, self.log)
        await first.start()
        self.fronts.append(first)
        for n in range(1, FRONTS):
            (self.folder / str(n)).mkdir()
            address = allocate_address()
            named = {"name": f"n{n}", "listen": "{}:{}".format(*address)}
            self.fronts.append(Front(self.folder / str(n), self.caches, self.log, first.config | named))
            self.fronts[-1].address = address
        for n in range(1, FRONTS, 3):
            await asyncio.gather(*(front.start() for front in self.fronts[n : n + 3]))
        for front in self.fronts:
            await self.send(front)

    async def send(self, front: Front) -> Sender:
        sender = Sender(len(self.senders), await front.connect_client())
        self.senders.append(sender)
        return sender

    async def restart(self, front: Front, sender: Sender) -> float:
        """The time to be ready of the process that follows, and the load is on it again."""
        front.send_signal(SIGTERM)
        await until(lambda: sender.client.is_closed, "its clients are sent away")
        await sender.task
        assert await front.wait_for_exit() == 0, front.log_lines
        took = await ready(front)
        await self.send(front)
        return took

    def left(self) -> tuple[list[str], list[str]]:
        """What was taken and not answered, and what crossed a close."""
        jobs = {asked.id for cache in self.caches.values() for asked in cache.commands}
        lost, crossed = zip(*(sender.left(jobs) for sender in self.senders), strict=True)
        return sum(lost, []), sum(crossed, [])

    async def stop(self) -> None:
        for front in self.fronts:
            await front.stop()
        for sender in self.senders:
            sender.task.cancel()


@pytest.mark.fleet(10)
def test_fronts_restarted_in_turn_lose_nothing_and_are_ready_in_time(tmp_path: Path) -> None:
    """Each is told to end under load, with a row of requests open on its connection, and started anew."""

    async def scenario() -> None:
        fleet = Fleet(tmp_path)
        try:
            await fleet.start()
            await until(lambda: all(s.sent > s.row for s in fleet.senders), "all are served")
            took = list[float]()
            for n in range(0, FRONTS, AT_ONCE):
                pairs = zip(fleet.fronts[n : n + AT_ONCE], fleet.senders[n : n + AT_ONCE], strict=True)
                took += await asyncio.gather(*(fleet.restart(*pair) for pair in pairs))
            anew = fleet.senders[FRONTS:]
            await until(lambda: all(s.sent > s.row for s in anew), "the new ones serve")
            for front in fleet.fronts:
                front.send_signal(SIGTERM)
            await until(lambda: all(s.client.is_closed for s in fleet.senders), "every connection ends")
            assert [await front.wait_for_exit() for front in fleet.fronts] == [0] * FRONTS
            in_time = sum(seconds <= READY_WITHIN for seconds in took)
            assert in_time >= READY * FRONTS, sorted(took)
            lost, crossed = fleet.left()
            assert lost == [], [front.log_lines for front in fleet.fronts]
            sent = {asked.id for cache in fleet.caches.values() for asked in cache.commands}
            assert sent.isdisjoint(crossed)  # a client may send these again: nothing of them went on
            statuses = [s.client.response_reader.got[n].status for s in fleet.senders for n in s.got()]
            assert set(statuses) <= {200, 503} and statuses.count(503) < 0.2 * len(statuses)
            print(f"ready in {min(took):.2f} to {max(took):.2f} s, {len(statuses)} answers")
        finally:
            await fleet.stop()

    asyncio.run(scenario())


@pytest.mark.parametrize("log", ["down", "silent", "not up"])
def test_discovery_holds_no_start_up(tmp_path: Path, log: str) -> None:
    """A change log that refuses, takes the call and says nothing, or whose connections never come up."""

    async def scenario() -> None:
        front = Front(
            tmp_path, {name: Cache(ReceivedCommand.respond_with_data) for name in ("s-1", "p-1", "o-1")}
        )
        changes: dict[str, Any] = {}
        if log == "down":
            changes = {"changelog": "{}:{}".format(*allocate_address())}
        full, others = socket.socket(), list[socket.socket]()
        full.bind(("127.0.0.1", 0))
        if log == "silent":
            front.change_log.is_stopped = True
        if log == "not up":  # its queue of connections is full, and nobody takes any
            full.listen(0)
            changes = {"changelog": "{}:{}".format(*full.getsockname())}
            for _ in range(4):
                others.append(socket.socket())
                others[-1].setblocking(False)
                others[-1].connect_ex(full.getsockname())
        try:
            await front.start(**changes)
            client = await front.connect_client()
            client.send(call(1, {"SCRIPT_NAME": "/ping"}) + call(2, params(f"{2:016x}")))
            assert [(await client.wait_for_response(n)).status for n in (1, 2)] == [200, 200]
            if log == "silent":
                assert front.change_log.poll_positions, "it was asked"
        finally:
            await front.stop()
            for sock in (full, *others):
                sock.close()

    asyncio.run(scenario())
