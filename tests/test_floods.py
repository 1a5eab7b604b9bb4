"""Abusive clients beside ordinary ones: memory, descriptors and unsent responses stay bounded."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import time
from itertools import count
from pathlib import Path

import pytest

from tests.fcgikit import encode_record, encode_request, params
from tests.limitkit import (
    count_open_descriptors,
    object_id,
    partial_request,
    peak_resident_bytes,
    ping_request,
    play_with_descriptors,
)
from tests.standins import TEST_TIMEOUT_S, Behaviour, Client, Front, ReceivedCommand, until

MB = 1024 * 1024
LARGE = b"x" * 240_000


def answer_hit(command: ReceivedCommand) -> None:
    command.respond_with_data()


def fleet(edge: Behaviour = answer_hit, origin: Behaviour = answer_hit) -> dict[str, Behaviour]:
    return {"s-1": edge, "p-1": answer_hit, "o-1": origin}


def count_commands(front: Front) -> int:
    return sum(len(cache.commands) for cache in front.caches.values())


def open_unread_client(front: Front, number: int, asks: int) -> socket.socket:
    """Return the socket of a client that requests large objects, has a small window and reads nothing."""
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    sock.connect(front.address)
    sock.send(b"".join(encode_request(n, params(f"{number:08x}{n:08x}", "bid")) for n in range(1, asks + 1)))
    return sock


async def count_served(client: Client, first: int, count: int) -> int:
    """Send `count` requests one after the other and return how many are served."""
    served = 0
    for n in range(first, first + count):
        client.send_request(n, HTTP_X_ITEM=object_id(n))
        got = await client.wait_for_response(n)
        served += got.protocol_status == 0 and got.status == 200
    return served


def test_a_client_is_admitted_though_all_others_read_nothing(tmp_path: Path) -> None:
    """Each of the twelve descriptors for clients is held by one with a closed window; buffers are free."""

    async def scenario(front: Front) -> None:
        stalled = [open_unread_client(front, n, 20) for n in range(12)]
        origin = front.caches["o-1"]
        await until(
            lambda: len({a.id[:8] for a in origin.commands}) == 12, "each client has a request at the origin"
        )
        async with asyncio.timeout(TEST_TIMEOUT_S):  # takes two seconds of the active clock
            for number in count(1):
                client = await front.connect_client()
                client.send_request(1, HTTP_X_JOB_ID=f"ad{number:014x}", HTTP_X_ALLOW_MS="5000")
                await until(
                    lambda c=client: c.is_closed or 1 in c.response_reader.completed_requests,  # type: ignore[misc]
                    "the client has a response or is closed",
                )
                completed = client.response_reader.completed_requests
                if 1 in completed and client.response_reader.response_by_request[1].status == 200:
                    break
                await asyncio.sleep(0.1)  # a rejected client waits before it reconnects
        await until(lambda: front.has_logged("slow_client_closed_descriptor_limit"), "the event is logged")
        assert count_open_descriptors(front) <= 48
        assert not client.is_closed and sum("slow_client_closed" in line for line in front.log_lines) == 1
        for sock in stalled:
            sock.close()

    play_with_descriptors(
        tmp_path, fleet(origin=lambda command: command.respond_with_data(LARGE)), scenario, 48, memory_mb=192
    )


def test_partial_requests_survive_while_complete_bodies_exhaust_the_limit(tmp_path: Path) -> None:
    """One client's open writes use up the body limit; four others each send a request in two parts."""
    held: list[ReceivedCommand] = []

    async def scenario(front: Front) -> None:
        filling, others = await front.connect_client(), [await front.connect_client() for _ in range(4)]
        for at, client in enumerate(others, 1):
            client.send_request(at, "bid", HTTP_X_ALLOW_MS="6000")
        await until(lambda: len(held) == 4, "four requests are open")
        for n in range(11, 41):
            filling.send_request(n, "bid", b"x" * 48_000, HTTP_X_ALLOW_MS="6000")
        await until(
            lambda: len(held) + len(filling.response_reader.completed_requests) >= 34, "all requests are read"
        )
        rests = []
        for at, client in enumerate(others, 1):
            sent = encode_request(100 + at, params(f"{100 + at:016x}", "bid"), b"y" * 47_000)
            client.send(sent[:44_000])
            rests.append(sent[44_000:])
        probe = await front.connect_client()
        probe.send(ping_request(1))
        await probe.wait_for_response(1)
        await until(
            lambda: front.has_logged("client_closed_partial_request_limit")
            or len(probe.response_reader.completed_requests) == 1,
            "the first parts are read",
        )
        for client, rest in zip(others, rests, strict=True):
            client.send(rest)
        for at, client in enumerate(others, 1):  # rejected, and the connection stays open
            assert (await client.wait_for_response(100 + at)).status == 503
        for command in held:
            command.respond_with_data()
        for at, client in enumerate(others, 1):
            assert (await client.wait_for_response(at)).status == 200
        assert (
            not front.has_logged("client_closed_partial_request_limit")
            and peak_resident_bytes(front) < 32 * MB
        )

    play_with_descriptors(tmp_path, fleet(origin=held.append), scenario, 64, memory_mb=32)


def test_partial_bodies_over_the_limit_close_the_largest_sender(tmp_path: Path) -> None:
    """One connection has sent thirty incomplete bodies; another has sent half of its first."""
    whole = params("00000000000000aa", "bid")

    async def scenario(front: Front) -> None:
        flood, decent = await front.connect_client(), await front.connect_client()
        first, rest = (sent := encode_request(1, whole, b"y" * 40_000))[:20_000], sent[20_000:]
        decent.send(first)
        for n in range(1, 31):
            flood.send(encode_request(n, params(f"{n:016x}", "bid"), b"x" * 47_000)[:-8])
        await until(lambda: flood.is_closed, "the one with most partial bytes is closed")
        assert not decent.is_closed
        decent.send(rest)
        assert (await decent.wait_for_response(1)).status == 200 and count_commands(front) == 1

    play_with_descriptors(tmp_path, fleet(), scenario, 64, memory_mb=32)


@pytest.mark.parametrize("memory_mb", [32, 64])
def test_hundreds_of_silent_clients_are_closed_and_leave_no_memory_in_use(
    tmp_path: Path, memory_mb: int
) -> None:
    async def scenario(front: Front) -> None:
        quiet = [await asyncio.open_connection(*front.address) for _ in range(300)]
        client = await front.connect_client()
        assert await count_served(client, 1, 30) == 30
        for reader, writer in quiet:
            async with asyncio.timeout(10):
                assert await reader.read(1) == b""
            writer.close()
        assert peak_resident_bytes(front) < memory_mb * MB and count_commands(front) == 30
        assert await count_served(client, 100, 5) == 5

    play_with_descriptors(tmp_path, fleet(), scenario, 256, memory_mb=memory_mb)


def test_many_clients_that_read_nothing_stay_within_the_memory_limit(tmp_path: Path) -> None:
    async def scenario(front: Front) -> None:
        stalled = [open_unread_client(front, n, 16) for n in range(80)]
        client, origin = await front.connect_client(), front.caches["o-1"]
        await until(lambda: len(origin.commands) >= 80, "requests are at the origin")
        for first in range(1, 6001, 30):  # rejected requests are repeated at once
            if await count_served(client, first, 30) >= 20:
                break
        else:
            raise AssertionError("ordinary requests are not served")
        assert peak_resident_bytes(front) < 64 * MB
        for sock in stalled:
            sock.close()

    play_with_descriptors(
        tmp_path, fleet(origin=lambda command: command.respond_with_data(LARGE)), scenario, 256, memory_mb=64
    )


@pytest.mark.parametrize("memory_mb", [32, 64])
@pytest.mark.parametrize("field_count", [400, 3_100])
def test_heads_of_very_many_short_fields_delay_no_one_and_stay_within_the_memory_limit(
    tmp_path: Path, memory_mb: int, field_count: int
) -> None:
    """Guards against: a process over its memory limit, and usual answers that come seconds late."""
    fields = {f"{n:x}": "" for n in range(field_count)}
    requests = b"".join(encode_request(n, params(f"{n:016x}") | fields) for n in range(1, 33))

    async def send_and_read(front: Front) -> None:
        reader, writer = await asyncio.open_connection(*front.address)
        writer.write(requests)
        with contextlib.suppress(TimeoutError, ConnectionError):
            async with asyncio.timeout(3):
                while await reader.read(65_536):
                    pass
        writer.close()

    async def scenario(front: Front) -> None:
        flood = [asyncio.create_task(send_and_read(front)) for _ in range(200)]
        client, longest_s = await front.connect_client(), 0.0
        for n in range(100, 140):
            began = time.monotonic()
            client.send_request(n, HTTP_X_ITEM=object_id(n), HTTP_X_ALLOW_MS="1000")
            await client.wait_for_response(n)
            longest_s = max(longest_s, time.monotonic() - began)
        await asyncio.gather(*flood)
        assert longest_s < 1.55
        assert peak_resident_bytes(front) < memory_mb * MB

    play_with_descriptors(tmp_path, fleet(), scenario, 1024, memory_mb=memory_mb)


@pytest.mark.parametrize("flood", ["pings", "requests past the thirty-second", "values"])
def test_a_client_that_sends_without_end_and_reads_nothing_is_closed(tmp_path: Path, flood: str) -> None:
    """Each request has a short response at once; what the socket does not take must not accumulate."""
    kinds = {
        "pings": b"".join(ping_request(n) for n in range(100, 10_000)),
        "requests past the thirty-second": encode_record(1, 40, bytes([0, 1, 1, 0, 0, 0, 0, 0])) * 10_000,
        "values": (encode_record(9, 0) * 500 + encode_record(4, 31, b"\x00\x00")) * 10,
    }

    async def scenario(front: Front) -> None:
        loop, sock = asyncio.get_running_loop(), socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        sock.connect(front.address)
        sock.setblocking(False)
        await loop.sock_sendall(sock, ping_request(99))
        await loop.sock_recv(sock, 1000)
        if flood != "pings":
            await loop.sock_sendall(sock, b"".join(partial_request(n) for n in range(1, 33)))
        before = peak_resident_bytes(front)

        async def send() -> None:
            while True:
                await loop.sock_sendall(sock, kinds[flood])

        sending = asyncio.create_task(send())
        await until(
            lambda: front.has_logged("client_closed_short_responses_unread"), "the connection is closed"
        )
        with pytest.raises(ConnectionError):
            async with asyncio.timeout(10):
                await sending
        client = await front.connect_client()
        assert await count_served(client, 1000, 5) == 5
        assert peak_resident_bytes(front) - before < 8 * MB
        sock.close()

    play_with_descriptors(tmp_path, fleet(), scenario, 64, memory_mb=64)
