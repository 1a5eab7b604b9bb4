"""Ten fronts restarted in turn under load: no received request is lost, and each is ready soon."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import time
from pathlib import Path
from signal import SIGTERM
from typing import Any

import pytest

from tests.fcgikit import encode_request, params
from tests.loopback import allocate_address
from tests.standins import Cache, ChangeLog, Client, Front, ReceivedCommand, until
from tests.test_standing_restart import Sender

FRONTS, RESTARTS_AT_ONCE = 10, 2
MAX_READY_TIME_S, MIN_READY_RATIO = 10.0, 0.9  # ratio of the fronts that must be ready within that time


def respond_later(command: ReceivedCommand) -> None:
    asyncio.get_running_loop().call_later(0.2, command.respond_with_data)


async def start_until_ready(front: Front) -> float:
    """Start a front; return the seconds until it responds to /ping with 200."""
    began = time.monotonic()
    await front.start(wait=False)
    while True:
        with contextlib.suppress(ConnectionError, AssertionError):
            client = await Client.connect(front.address)
            client.send(encode_request(1, {"SCRIPT_NAME": "/ping"}))
            try:
                if (await client.wait_for_response(1)).status == 200:
                    return time.monotonic() - began
            finally:
                await client.close()
        assert not front.has_exited, front.log_lines
        await asyncio.sleep(0.02)


class Fleet:
    """Fronts that share caches and a change log, each with a client that sends batches of requests."""

    def __init__(self, folder: Path) -> None:
        self.folder, self.log = folder, ChangeLog()
        self.caches = {name: Cache(respond_later) for name in ("s-1", "p-1", "o-1")}
        self.fronts: list[Front] = []
        self.senders: list[Sender] = []

    async def start(self) -> None:
        first = Front(self.folder, self.caches, self.log)
        await first.start()
        self.fronts.append(first)
        for n in range(1, FRONTS):
            (self.folder / str(n)).mkdir()
            address = allocate_address()
            overrides = {"name": f"n{n}", "listen": "{}:{}".format(*address)}
            self.fronts.append(Front(self.folder / str(n), self.caches, self.log, first.config | overrides))
            self.fronts[-1].address = address
        for n in range(1, FRONTS, 3):
            await asyncio.gather(*(front.start() for front in self.fronts[n : n + 3]))
        for front in self.fronts:
            await self.add_sender(front)

    async def add_sender(self, front: Front) -> Sender:
        sender = Sender(len(self.senders), await front.connect_client())
        self.senders.append(sender)
        return sender

    async def restart(self, front: Front, sender: Sender) -> float:
        """Restart a front and put load on it again; return the seconds until it is ready."""
        front.send_signal(SIGTERM)
        await until(lambda: sender.client.is_closed, "its client connections are closed")
        await sender.task
        assert await front.wait_for_exit() == 0, front.log_lines
        start_times_s = await start_until_ready(front)
        await self.add_sender(front)
        return start_times_s

    def find_unanswered(self) -> tuple[list[str], list[str]]:
        """Return the jobs without a response: received by a front, and maybe not received."""
        jobs = {command.id for cache in self.caches.values() for command in cache.commands}
        unanswered, maybe_not_received = zip(
            *(sender.find_unanswered(jobs) for sender in self.senders), strict=True
        )
        return sum(unanswered, []), sum(maybe_not_received, [])

    async def stop(self) -> None:
        for front in self.fronts:
            await front.stop()
        for sender in self.senders:
            sender.task.cancel()


@pytest.mark.fleet(10)
def test_fronts_restarted_in_turn_lose_nothing_and_are_ready_in_time(tmp_path: Path) -> None:
    """Each is stopped under load, with a batch of requests open on its connection, and restarted."""

    async def scenario() -> None:
        fleet = Fleet(tmp_path)
        try:
            await fleet.start()
            await until(
                lambda: all(s.sent_count > s.batch_size for s in fleet.senders), "all clients are served"
            )
            start_times_s = list[float]()
            for n in range(0, FRONTS, RESTARTS_AT_ONCE):
                pairs = zip(
                    fleet.fronts[n : n + RESTARTS_AT_ONCE],
                    fleet.senders[n : n + RESTARTS_AT_ONCE],
                    strict=True,
                )
                start_times_s += await asyncio.gather(*(fleet.restart(*pair) for pair in pairs))
            new_senders = fleet.senders[FRONTS:]
            await until(
                lambda: all(s.sent_count > s.batch_size for s in new_senders), "the restarted fronts serve"
            )
            for front in fleet.fronts:
                front.send_signal(SIGTERM)
            await until(lambda: all(s.client.is_closed for s in fleet.senders), "every connection ends")
            assert [await front.wait_for_exit() for front in fleet.fronts] == [0] * FRONTS
            in_time = sum(seconds <= MAX_READY_TIME_S for seconds in start_times_s)
            assert in_time >= MIN_READY_RATIO * FRONTS, sorted(start_times_s)
            unanswered, maybe_not_received = fleet.find_unanswered()
            assert unanswered == [], [front.log_lines for front in fleet.fronts]
            sent = {command.id for cache in fleet.caches.values() for command in cache.commands}
            assert sent.isdisjoint(
                maybe_not_received
            )  # a client may send these again: none was forwarded to a cache
            statuses = [
                s.client.response_reader.response_by_request[n].status
                for s in fleet.senders
                for n in s.completed()
            ]
            assert set(statuses) <= {200, 503} and statuses.count(503) < 0.2 * len(statuses)
            print(f"ready in {min(start_times_s):.2f} to {max(start_times_s):.2f} s, {len(statuses)} answers")
        finally:
            await fleet.stop()

    asyncio.run(scenario())


@pytest.mark.parametrize("log", ["down", "silent", "not up"])
def test_an_unreachable_change_log_delays_no_start(tmp_path: Path, log: str) -> None:
    """A change log that refuses connections, never responds, or whose connections are never established."""

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
        if log == "not up":  # its accept queue is full and never emptied
            full.listen(0)
            changes = {"changelog": "{}:{}".format(*full.getsockname())}
            for _ in range(4):
                others.append(socket.socket())
                others[-1].setblocking(False)
                others[-1].connect_ex(full.getsockname())
        try:
            await front.start(**changes)
            client = await front.connect_client()
            client.send(encode_request(1, {"SCRIPT_NAME": "/ping"}) + encode_request(2, params(f"{2:016x}")))
            assert [(await client.wait_for_response(n)).status for n in (1, 2)] == [200, 200]
            if log == "silent":
                assert front.change_log.poll_positions, "the log was polled"
        finally:
            await front.stop()
            for sock in (full, *others):
                sock.close()

    asyncio.run(scenario())
