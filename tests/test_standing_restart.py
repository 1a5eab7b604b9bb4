"""Planned restart: clients keep sending on every open connection while a second front takes over."""

from __future__ import annotations

import asyncio
import contextlib
import signal
from functools import partial
from pathlib import Path

import pytest

from tests.fcgikit import encode_request, params
from tests.loopback import allocate_address
from tests.standins import ChangeLog, Client, Front, ReceivedCommand, play, until

BATCH_SIZE = 4  # requests written at once on a connection; the next batch follows the last response
SLOW_PART = "9"  # the part of an object for which a cache takes 0.6 s
CLASSES = ("lot-image", "lot-video", "bid", "lot-image")


def respond_later(command: ReceivedCommand) -> None:
    after = 0.6 if command.fields["part"] == SLOW_PART else 0.05
    asyncio.get_running_loop().call_later(after, command.respond_with_data)


class Sender:
    """A client connection that sends requests one after another until the front closes it."""

    def __init__(self, number: int, client: Client, part: str = "0", row: int = BATCH_SIZE) -> None:
        self.number, self.client, self.part, self.batch_size = number, client, part, row
        self.sent_count = 0
        self.task = asyncio.create_task(self._run())

    def job(self, n: int) -> str:
        return f"{self.number:08x}{n:08x}"

    async def _run(self) -> None:
        """Write batches of requests; a batch of one does not wait for the responses before it."""
        while not self.client.is_closed:
            row = range(self.sent_count + 1, self.sent_count + 1 + self.batch_size)
            calls = [
                encode_request(n, params(self.job(n), CLASSES[n % BATCH_SIZE], HTTP_X_N=self.part))
                for n in row
            ]
            self.client.send(b"".join(calls))
            self.sent_count += self.batch_size
            if self.batch_size == 1:
                await asyncio.sleep(0.02)
            else:
                await until(partial(self.is_batch_done, row), "all requests of the batch have a response")

    def is_batch_done(self, row: range) -> bool:
        return self.client.is_closed or self.completed() >= {*row}

    def completed(self) -> set[int]:
        return {
            n
            for n, got in self.client.response_reader.response_by_request.items()
            if got.protocol_status is not None
        }

    def find_unanswered(self, jobs: set[str]) -> tuple[list[str], list[str]]:
        """Return the jobs without a response on a closed connection: received and maybe not received ones.

        The front reads a connection in order, and a batch at once: requests up to the batch of one that has a
        response or reached a cache were received.
        """
        seen = self.completed() | {n for n in range(1, self.sent_count + 1) if self.job(n) in jobs}
        taken = -(-max(seen, default=0) // self.batch_size) * self.batch_size
        open_now = [n for n in range(1, self.sent_count + 1) if n not in self.completed()]
        return [self.job(n) for n in open_now if n <= taken], [self.job(n) for n in open_now if n > taken]


async def restart(front: Front, second: Front) -> tuple[list[str], list[int]]:
    """Restart the front; return the received requests without a response, and the statuses of all others."""
    senders = [Sender(n, await front.connect_client()) for n in range(3)]
    senders += [
        Sender(3, await front.connect_client(), part=SLOW_PART),
        Sender(4, await front.connect_client(), row=1),
    ]
    await until(
        lambda: all(s.sent_count > 2 * s.batch_size or s.part == SLOW_PART for s in senders),
        "all clients are served",
    )
    front.send_signal(signal.SIGTERM)
    await until(lambda: front.has_logged("drain:"), "the first front drains")
    with contextlib.suppress(ConnectionRefusedError):
        senders.append(Sender(5, await front.connect_client()))  # clients may still connect during the drain
    await second.start(listen="{}:{}".format(*second.address))
    await until(lambda: all(s.client.is_closed for s in senders), "every connection ends")
    await asyncio.gather(*(s.task for s in senders))
    assert await front.wait_for_exit() == 0
    jobs = {command.id for cache in front.caches.values() for command in cache.commands}
    unanswered, maybe_not_received = zip(*(s.find_unanswered(jobs) for s in senders), strict=True)
    second_client = await second.connect_client()
    for n, job in enumerate(sum(maybe_not_received, []), 1):  # sent to the other front, once
        second_client.send(encode_request(n, params(job)))
        assert (await second_client.wait_for_response(n)).status == 200
    got = [s.client.response_reader.response_by_request[n].status for s in senders for n in s.completed()]
    return sum(unanswered, []), got


@pytest.mark.parametrize(
    "fault", ["", "restart: ends at once", "restart: keeps its clients", "restart: takes on to the end"]
)
def test_clients_that_keep_sending_lose_no_received_request(tmp_path: Path, fault: str) -> None:
    """Batches on each connection; one connection always has an open request, another has slow requests."""

    async def scenario(front: Front) -> None:
        (tmp_path / "second").mkdir()
        second = Front(tmp_path / "second", front.caches, front.change_log, front.config | {"name": "n1"})
        second.address = allocate_address()
        try:
            unanswered, statuses = await restart(front, second)
        finally:
            second.caches, second.change_log = (
                {},
                ChangeLog(),
            )  # they belong to the first front, which stops them
            await second.stop()
        refused = statuses.count(503)
        kept = not unanswered and set(statuses) <= {200, 503} and refused < 0.2 * len(statuses)
        assert kept is not bool(fault), (unanswered, refused, len(statuses), front.log_lines)

    play(tmp_path, {"s-1": respond_later, "p-1": respond_later, "o-1": respond_later}, scenario, fault)
