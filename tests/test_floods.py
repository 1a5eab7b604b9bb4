"""Clients that are no use to anyone, beside such as are: memory, descriptors and answers stay bounded."""

from __future__ import annotations

import asyncio
import socket
from pathlib import Path

import pytest

from tests.fcgikit import call, params, rec
from tests.limitkit import descriptors, half, item, ping, play_at, resident
from tests.standins import TEST_TIMEOUT_S, Behaviour, Client, Front, ReceivedCommand, until

MB = 1024 * 1024
LARGE = b"x" * 240_000


def hit(asked: ReceivedCommand) -> None:
    asked.respond_with_data()


def fleet(edge: Behaviour = hit, origin: Behaviour = hit) -> dict[str, Behaviour]:
    return {"s-1": edge, "p-1": hit, "o-1": origin}


def asked_in_all(front: Front) -> int:
    return sum(len(cache.commands) for cache in front.caches.values())


def never_reads(front: Front, number: int, asks: int) -> socket.socket:
    """A client that asks for large objects, with next to no room for what comes, and reads nothing."""
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    sock.connect(front.address)
    sock.send(b"".join(call(n, params(f"{number:08x}{n:08x}", "bid")) for n in range(1, asks + 1)))
    return sock


async def usual(client: Client, first: int, count: int) -> int:
    """How many of so many requests, one after the other, are served."""
    served = 0
    for n in range(first, first + count):
        client.send_request(n, HTTP_X_ITEM=item(n))
        got = await client.wait_for_response(n)
        served += got.ended == 0 and got.status == 200
    return served


def test_a_client_comes_in_though_all_that_are_there_read_nothing(tmp_path: Path) -> None:
    """Twelve descriptors for clients, each held by one whose window is closed; buffers are left."""

    async def scenario(front: Front) -> None:
        stalled = [never_reads(front, n, 20) for n in range(12)]
        origin = front.caches["o-1"]
        await until(lambda: len({a.id[:8] for a in origin.commands}) == 12, "each is owed an answer")
        async with asyncio.timeout(
            TEST_TIMEOUT_S
        ):  # by the front's own time it takes two seconds of its sweeps
            while True:
                client = await front.connect_client()
                client.send(ping(1))
                await until(lambda c=client: c.is_closed or 1 in c.response_reader.order, "it is heard")  # type: ignore[misc]
                if 1 in client.response_reader.order:
                    break
                await asyncio.sleep(0.1)  # as clients do that were turned away
        await until(lambda: front.has_logged("slow_client_closed_descriptor_limit"), "its line is read")
        assert descriptors(front) <= 48
        assert not client.is_closed and sum("slow_client_closed" in line for line in front.log_lines) == 1
        for sock in stalled:
            sock.close()

    play_at(tmp_path, fleet(origin=lambda asked: asked.respond_with_data(LARGE)), scenario, 48, memory_mb=192)


def test_who_is_half_way_while_whole_bodies_use_the_room_up_loses_nothing(tmp_path: Path) -> None:
    """One client's writes fill the room and wait; four others have one open and send more in two parts."""
    held: list[ReceivedCommand] = []

    async def scenario(front: Front) -> None:
        filling, others = await front.connect_client(), [await front.connect_client() for _ in range(4)]
        for at, client in enumerate(others, 1):
            client.send_request(at, "bid", HTTP_X_ALLOW_MS="6000")
        await until(lambda: len(held) == 4, "four are open")
        for n in range(11, 41):
            filling.send_request(n, "bid", b"x" * 48_000, HTTP_X_ALLOW_MS="6000")
        await until(lambda: len(held) + len(filling.response_reader.order) >= 34, "all came")
        rests = []
        for at, client in enumerate(others, 1):
            sent = call(100 + at, params(f"{100 + at:016x}", "bid"), b"y" * 47_000)
            client.send(sent[:44_000])
            rests.append(sent[44_000:])
        probe = await front.connect_client()
        probe.send(ping(1))
        await probe.wait_for_response(1)
        await until(
            lambda: front.has_logged("client_closed_partial_request_limit")
            or len(probe.response_reader.order) == 1,
            "parts are read",
        )
        for client, rest in zip(others, rests, strict=True):
            client.send(rest)
        for at, client in enumerate(others, 1):  # whatever the answer: it is one, and the connection lives
            assert (await client.wait_for_response(100 + at)).status == 503
        for asked in held:
            asked.respond_with_data()
        for at, client in enumerate(others, 1):
            assert (await client.wait_for_response(at)).status == 200
        assert not front.has_logged("client_closed_partial_request_limit") and resident(front) < 32 * MB

    play_at(tmp_path, fleet(origin=held.append), scenario, 64, memory_mb=32)


def test_half_sent_bodies_end_with_who_sent_most_of_them(tmp_path: Path) -> None:
    """One connection holds thirty bodies that lack their end; another is half way with its first."""
    whole = params("00000000000000aa", "bid")

    async def scenario(front: Front) -> None:
        flood, decent = await front.connect_client(), await front.connect_client()
        first, rest = (sent := call(1, whole, b"y" * 40_000))[:20_000], sent[20_000:]
        decent.send(first)
        for n in range(1, 31):
            flood.send(call(n, params(f"{n:016x}", "bid"), b"x" * 47_000)[:-8])
        await until(lambda: flood.is_closed, "who holds most is closed")
        assert not decent.is_closed
        decent.send(rest)
        assert (await decent.wait_for_response(1)).status == 200 and asked_in_all(front) == 1

    play_at(tmp_path, fleet(), scenario, 64, memory_mb=32)


@pytest.mark.parametrize("memory_mb", [32, 64])
def test_hundreds_that_say_nothing_are_closed_and_leave_nothing(tmp_path: Path, memory_mb: int) -> None:
    async def scenario(front: Front) -> None:
        quiet = [await asyncio.open_connection(*front.address) for _ in range(300)]
        client = await front.connect_client()
        assert await usual(client, 1, 30) == 30
        for reader, writer in quiet:
            async with asyncio.timeout(10):
                assert await reader.read(1) == b""
            writer.close()
        assert resident(front) < memory_mb * MB and asked_in_all(front) == 30
        assert await usual(client, 100, 5) == 5

    play_at(tmp_path, fleet(), scenario, 256, memory_mb=memory_mb)


def test_many_that_read_nothing_stay_within_the_memory(tmp_path: Path) -> None:
    async def scenario(front: Front) -> None:
        stalled = [never_reads(front, n, 16) for n in range(80)]
        client, origin = await front.connect_client(), front.caches["o-1"]
        await until(lambda: len(origin.commands) >= 80, "answers are under way")
        for first in range(1, 6001, 30):  # refused ones come again at once
            if await usual(client, first, 30) >= 20:
                break
        else:
            raise AssertionError("usual requests are not served")
        assert resident(front) < 64 * MB
        for sock in stalled:
            sock.close()

    play_at(tmp_path, fleet(origin=lambda asked: asked.respond_with_data(LARGE)), scenario, 256, memory_mb=64)


@pytest.mark.parametrize("flood", ["pings", "requests past the thirty-second", "values"])
def test_who_asks_without_end_and_reads_nothing_is_closed(tmp_path: Path, flood: str) -> None:
    """Each is answered at once; what its socket does not take must not pile up."""
    kinds = {
        "pings": b"".join(ping(n) for n in range(100, 10_000)),
        "requests past the thirty-second": rec(1, 40, bytes([0, 1, 1, 0, 0, 0, 0, 0])) * 10_000,
        "values": (rec(9, 0) * 500 + rec(4, 31, b"\x00\x00")) * 10,
    }

    async def scenario(front: Front) -> None:
        loop, sock = asyncio.get_running_loop(), socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        sock.connect(front.address)
        sock.setblocking(False)
        await loop.sock_sendall(sock, ping(99))
        await loop.sock_recv(sock, 1000)
        if flood != "pings":
            await loop.sock_sendall(sock, b"".join(half(n) for n in range(1, 33)))
        before = resident(front)

        async def send() -> None:
            while True:
                await loop.sock_sendall(sock, kinds[flood])

        sending = asyncio.create_task(send())
        await until(lambda: front.has_logged("client_closed_short_responses_unread"), "it is closed")
        with pytest.raises(ConnectionError):
            async with asyncio.timeout(10):
                await sending
        client = await front.connect_client()
        assert await usual(client, 1000, 5) == 5
        assert resident(front) - before < 8 * MB
        sock.close()

    play_at(tmp_path, fleet(), scenario, 64, memory_mb=64)
