"""A front among the fronts, in one process on loopback: the section, datagrams, streams, frames."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Awaitable, Callable
from dataclasses import replace
from functools import partial
from types import SimpleNamespace
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from quincepier import clock
from quincepier.checks import Checks
from quincepier.config import read_front
from quincepier.membership.quotas import GrantNumber, QuotaGrant, QuotaHolder
from quincepier.membership.section import MembersSection
from quincepier.net.peers import MAX_FRAME_BYTES, PeerNetwork, PeersError
from quincepier.net.peers.frames import FrameDecoder, encode_frame
from quincepier.net.peers.quota_allocator import QuotaAllocator, scale_settings
from quincepier.net.sockets import Descriptors
from quincepier.operator import OperatorError, read
from tests.frontkit import raw_config
from tests.loopback import own_address
from tests.standins import until


def section(text: str) -> MembersSection:
    found = read(f"members: {text}", "op.yaml").get(MembersSection)
    assert found is not None
    return found


def fleet(count: int) -> list[PeerNetwork]:
    book = {f"n{n}": own_address() for n in range(count)}
    return [
        PeerNetwork("f", name, place, Checks(), Descriptors(1024), n, addresses=book)
        for n, (name, place) in enumerate(book.items())
    ]


def played(peers: list[PeerNetwork], story: Callable[[], Awaitable[None]]) -> None:
    async def whole() -> None:
        try:
            async with asyncio.timeout(30):
                for one in peers:
                    await one.start()
                await story()
        finally:
            for one in peers:
                await one.leave()

    asyncio.run(whole())


def test_one_book_serves_all_fronts() -> None:
    book = section("{fleet: web, fronts: {a: '10.0.0.1:7400', b: '[fd00::2]:7400'}}")
    assert book.listen_endpoint("a") == book.announced_endpoint("a") and book.listen_endpoint("c") is None
    assert book.fronts["b"].address == ("fd00::2", 7400)
    beside = section("{fleet: web, listen: '0.0.0.0:7400', fronts: {a: '10.0.0.1:7400'}}")
    assert (
        beside.listen_endpoint("a") != beside.announced_endpoint("a") == book.fronts["a"]
        and beside.announced_endpoint("c") is None
    )


@pytest.mark.parametrize(
    ("text", "says"),
    [
        ("{}", "members.fleet"),
        ("{fleet: web}", "give `listen`"),
        ("{fleet: web, listen: '10.0.0.1:7400'}", "give `seeds`"),
        ("{fleet: web, listen: '0.0.0.0:7400', seeds: ['10.0.0.2:7400']}", "give `announce`"),
        ("{fleet: web, fronts: {a: '10.0.0.1:7400', b: '10.0.0.1:7400'}}", "10.0.0.1:7400 twice"),
        ("{fleet: web, fronts: {a: 'host:7400'}}", "write an IP address and a port"),
        ("{fleet: web, fronts: {a: '10.0.0.1:0'}}", "write an IP address and a port"),
        ("{fleet: web, fronts: {a: '0.0.0.0:7400'}}", "none where a front is found"),
        ("{fleet: web, port: 1, fronts: {a: '10.0.0.1:7400'}}", "no such key"),
    ],
)
def test_a_section_that_can_not_serve_says_what_to_write(text: str, says: str) -> None:
    with pytest.raises(OperatorError, match=says):
        section(text)


@given(st.lists(st.binary(max_size=60), max_size=6), st.lists(st.integers(1, 40), max_size=30))
def test_frames_come_out_whole_however_the_bytes_come(datas: list[bytes], cuts: list[int]) -> None:
    raw, splitter, got, at = (
        b"".join(encode_frame("f", "n1", 7, d) for d in datas),
        FrameDecoder("f"),
        list[bytes](),
        0,
    )
    for size in (*cuts, len(raw)):
        got += [frame.data for frame in splitter.feed(raw[at : at + size])]
        at += size
    assert got == datas and not splitter.has_partial_frame


@given(st.binary(min_size=3, max_size=80))
def test_bytes_that_are_no_frame_end_the_stream(raw: bytes) -> None:
    splitter = FrameDecoder("f")
    try:
        assert splitter.feed(raw) == []
    except PeersError as error:
        assert error.code == "QP-PEERS" and error.do
    assert splitter.buffered_bytes <= len(raw)
    for wrong in (encode_frame("g", "n1", 7, b""), b"\xff\xff", b"\0\0"):
        with pytest.raises(PeersError):
            FrameDecoder("f").feed(wrong)


def test_all_find_each_other_and_frames_keep_their_order_on_one_stream_a_pair() -> None:
    peers, got = fleet(4), dict[tuple[str, str], list[bytes]]()

    def receive(receiver: str, sender: str, data: bytes) -> None:
        got.setdefault((receiver, sender), []).append(data)

    async def story() -> None:
        for one in peers:
            one.register_channel(5, partial(receive, one.name))
        await until(lambda: all(len(one.view) == 4 for one in peers), "all see all")
        for n in range(200):
            for one in peers:
                for other in peers:
                    assert one is other or one.send(other.name, 5, b"%d" % n)
        await until(lambda: sum(map(len, got.values())) == 12 * 200, "all frames are there")
        assert len(got) == 12 and all(data == [b"%d" % n for n in range(200)] for data in got.values())
        await until(lambda: all(one.streams.stream_count == 3 for one in peers), "one stream a pair is left")
        assert peers[0].send("n1", 5, bytes(MAX_FRAME_BYTES))
        await until(lambda: len(got["n1", "n0"][-1]) == MAX_FRAME_BYTES, "the greatest frame is there")
        assert not peers[0].send("n1", 5, bytes(MAX_FRAME_BYTES + 1)) and not peers[0].send("n0", 5, b"")
        await peers[3].leave()
        assert not peers[3].send("n0", 5, b"late")
        await until(lambda: all(one.view == ("n0", "n1", "n2") for one in peers[:3]), "who left is out")

    played(peers, story)


def test_who_can_not_be_reached_or_does_not_read_costs_frames_and_never_more() -> None:
    one = fleet(2)[0]
    silent = socket.socket()

    async def story() -> None:
        silent.bind(("127.0.0.1", 0))
        assert not one.send("nobody", 5, b"x")
        assert one.send("n1", 5, b"x")  # it waits for the dial
        refused = "peer_frames_dropped_peer_unreachable"
        await until(lambda: one.checks.counts[refused] >= 2, "the dial is refused")
        silent.listen(1)
        one.add_address("silent", silent.getsockname())
        sent = sum(one.send("silent", 5, bytes(MAX_FRAME_BYTES)) for _ in range(50))
        assert 0 < sent < 4 and one.checks.counts["peer_frames_dropped_queue_full"] == 50 - sent
        assert one.streams.queued_bytes <= 4 << 20

    played([one], story)
    silent.close()


def test_a_call_that_raises_and_hostile_bytes_end_nothing() -> None:
    peers, heard = fleet(2), list[str]()

    def hear(sender: str, data: bytes) -> None:
        heard.append(sender)
        raise RuntimeError("planted")

    async def story() -> None:
        peers[1].register_channel(9, hear)
        peers[1].add_view_listener(lambda viewed: hear("view", b""))
        await until(lambda: len(peers[1].view) == 2, "they see each other")
        with pytest.raises(PeersError):
            peers[1].register_channel(9, hear)
        reader, writer = await asyncio.open_connection(*peers[1].listen_address)
        writer.write(b"GET / HTTP/1.1\r\n\r\n")
        assert await reader.read() == b""
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as stranger:
            stranger.sendto(b"\xc1" * 50, peers[1].listen_address)
        for _ in range(2):
            assert peers[0].send("n1", 9, b"x")
        await until(lambda: heard.count("n0") == 2, "frames still come")
        counts = peers[1].checks.counts
        await until(lambda: counts["peer_datagrams_rejected"] == 1, "the datagram is dropped")
        assert counts["peer_network_exception"] == len(heard) and counts["peer_stream_rejected"] == 1

    played(peers, story)


def test_more_fronts_than_the_settings_say_divide_by_those_they_see_and_fewer_by_the_settings() -> None:
    peers, plain = fleet(4), read_front(raw_config(), {}).settings
    told = replace(plain, fronts=2, fronts_by_zone=(0, 2))

    def module(settings: Any) -> Any:
        return SimpleNamespace(router=SimpleNamespace(s=settings), checks=Checks())

    few, enough = module(told), module(replace(told, fronts=6, fronts_by_zone=(1, 5)))
    QuotaAllocator(few, peers[0])
    agreeing = QuotaAllocator(enough, peers[1])

    async def story() -> None:
        await until(lambda: few.router.settings.fronts == 4, "four are seen where two were told")
        assert few.router.settings.fronts_by_zone == (0, 4)
        await until(lambda: len(peers[1].view) == 4, "four are seen where six were told")
        assert enough.router.settings.fronts == 6
        await peers[3].leave()
        await until(lambda: few.router.settings.fronts == 3, "who said that it leaves gave its claim up")
        holder = QuotaHolder(6, 10 * clock.SECOND, 0)
        agreeing.use_leases(holder)
        assert enough.router.settings.fronts == 24, "without a lease a quarter of a part"
        holder.on_grant(clock.now(), clock.now(), QuotaGrant(GrantNumber(1, 1), 2))
        agreeing.update()
        assert enough.router.settings.fronts == 3  # two share 5 in 6 of the whole

    played(peers, story)
    assert (
        scale_settings(told, 3).fronts_by_zone == (0, 3)
        and scale_settings(replace(told, fronts=3), 4).fronts_by_zone[1] == 3
    )
