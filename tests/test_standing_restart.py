"""A planned restart: clients go on sending on every open connection, and a second front takes over."""

from __future__ import annotations

import asyncio
import contextlib
import signal
from functools import partial
from pathlib import Path

import pytest

from tests.fcgikit import call, params
from tests.loopback import allocate_address
from tests.standins import ChangeLog, Client, Front, ReceivedCommand, play, until

ROW = 4  # requests sent at once on a connection; the next row follows the last answer
SLOW = "9"  # the part that a cache takes long for
CLASSES = ("lot-image", "lot-video", "bid", "lot-image")


def later(asked: ReceivedCommand) -> None:
    after = 0.6 if asked.fields["part"] == SLOW else 0.05
    asyncio.get_running_loop().call_later(after, asked.respond_with_data)


class Sender:
    """One client connection on which request follows request until the front ends it."""

    def __init__(self, number: int, client: Client, part: str = "0", row: int = ROW) -> None:
        self.number, self.client, self.part, self.row = number, client, part, row
        self.sent = 0
        self.task = asyncio.create_task(self._run())

    def job(self, n: int) -> str:
        return f"{self.number:08x}{n:08x}"

    async def _run(self) -> None:
        """Rows of requests, each written at once; with row 1 without waiting for what is open."""
        while not self.client.is_closed:
            row = range(self.sent + 1, self.sent + 1 + self.row)
            calls = [call(n, params(self.job(n), CLASSES[n % ROW], HTTP_X_N=self.part)) for n in row]
            self.client.send(b"".join(calls))
            self.sent += self.row
            if self.row == 1:
                await asyncio.sleep(0.02)
            else:
                await until(partial(self.over, row), "the row ends")

    def over(self, row: range) -> bool:
        return self.client.is_closed or self.got() >= {*row}

    def got(self) -> set[int]:
        return {n for n, got in self.client.response_reader.got.items() if got.ended is not None}

    def left(self, jobs: set[str]) -> tuple[list[str], list[str]]:
        """What has no answer as the connection has ended: what the front had taken, and what crossed the end.

        A connection is read in order, and a row at once: what came before something that was answered or
        seen at a cache was taken.
        """
        seen = self.got() | {n for n in range(1, self.sent + 1) if self.job(n) in jobs}
        taken = -(-max(seen, default=0) // self.row) * self.row
        open_now = [n for n in range(1, self.sent + 1) if n not in self.got()]
        return [self.job(n) for n in open_now if n <= taken], [self.job(n) for n in open_now if n > taken]


async def restart(front: Front, second: Front) -> tuple[list[str], list[int]]:
    """The requests that were taken and not answered, and the statuses of all others."""
    senders = [Sender(n, await front.connect_client()) for n in range(3)]
    senders += [
        Sender(3, await front.connect_client(), part=SLOW),
        Sender(4, await front.connect_client(), row=1),
    ]
    await until(lambda: all(s.sent > 2 * s.row or s.part == SLOW for s in senders), "they are served")
    front.send_signal(signal.SIGTERM)
    await until(lambda: front.has_logged("drain:"), "the first drains")
    with contextlib.suppress(ConnectionRefusedError):
        senders.append(Sender(5, await front.connect_client()))  # some still come
    await second.start(listen="{}:{}".format(*second.address))
    await until(lambda: all(s.client.is_closed for s in senders), "every connection ends")
    await asyncio.gather(*(s.task for s in senders))
    assert await front.wait_for_exit() == 0
    jobs = {asked.id for cache in front.caches.values() for asked in cache.commands}
    lost, crossed = zip(*(s.left(jobs) for s in senders), strict=True)
    anew = await second.connect_client()
    for n, job in enumerate(sum(crossed, []), 1):  # what crossed a close goes to the other front, once
        anew.send(call(n, params(job)))
        assert (await anew.wait_for_response(n)).status == 200
    got = [s.client.response_reader.got[n].status for s in senders for n in s.got()]
    return sum(lost, []), got


@pytest.mark.parametrize(
    "fault", ["", "restart: ends at once", "restart: keeps its clients", "restart: takes on to the end"]
)
def test_clients_that_go_on_sending_lose_nothing_that_was_taken(tmp_path: Path, fault: str) -> None:
    """Several requests in a row on each connection, one never without an open request, one with slow ones."""

    async def scenario(front: Front) -> None:
        (tmp_path / "second").mkdir()
        second = Front(tmp_path / "second", front.caches, front.change_log, front.config | {"name": "n1"})
        second.address = allocate_address()
        try:
            lost, statuses = await restart(front, second)
        finally:
            second.caches, second.change_log = {}, ChangeLog()  # the first one's, and ended with it
            await second.stop()
        refused = statuses.count(503)
        kept = not lost and set(statuses) <= {200, 503} and refused < 0.2 * len(statuses)
        assert kept is not bool(fault), (lost, refused, len(statuses), front.log_lines)

    play(tmp_path, {"s-1": later, "p-1": later, "o-1": later}, scenario, fault)
