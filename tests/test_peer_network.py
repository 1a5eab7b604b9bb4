"""The network between the fronts, in one process on loopback: section, datagrams, streams, quotas."""

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
from tests.loopback import allocate_address
from tests.standins import until


def read_section(text: str) -> MembersSection:
    section = read(f"members: {text}", "op.yaml").get(MembersSection)
    assert section is not None
    return section


def make_networks(count: int) -> list[PeerNetwork]:
    addresses = {f"n{n}": allocate_address() for n in range(count)}
    return [
        PeerNetwork("f", name, address, Checks(), Descriptors(1024), n, addresses=addresses)
        for n, (name, address) in enumerate(addresses.items())
    ]


def run_scenario(networks: list[PeerNetwork], scenario: Callable[[], Awaitable[None]]) -> None:
    async def run() -> None:
        try:
            async with asyncio.timeout(30):
                for network in networks:
                    await network.start()
                await scenario()
        finally:
            for network in networks:
                await network.leave()

    asyncio.run(run())


def test_one_list_of_fronts_serves_all_fronts() -> None:
    listed = read_section("{fleet: web, fronts: {a: '10.0.0.1:7400', b: '[fd00::2]:7400'}}")
    assert (
        listed.listen_endpoint("a") == listed.announced_endpoint("a") and listed.listen_endpoint("c") is None
    )
    assert listed.fronts["b"].address == ("fd00::2", 7400)
    overridden = read_section("{fleet: web, listen: '0.0.0.0:7400', fronts: {a: '10.0.0.1:7400'}}")
    assert (
        overridden.listen_endpoint("a") != overridden.announced_endpoint("a") == listed.fronts["a"]
        and overridden.announced_endpoint("c") is None
    )


@pytest.mark.parametrize(
    ("text", "message"),
    [
        ("{}", "members.fleet"),
        ("{fleet: web}", "give `listen`"),
        ("{fleet: web, listen: '10.0.0.1:7400'}", "give `seeds`"),
        ("{fleet: web, listen: '0.0.0.0:7400', seeds: ['10.0.0.2:7400']}", "give `announce`"),
        ("{fleet: web, fronts: {a: '10.0.0.1:7400', b: '10.0.0.1:7400'}}", "10.0.0.1:7400 twice"),
        ("{fleet: web, fronts: {a: 'host:7400'}}", "write an IP address and a port"),
        ("{fleet: web, fronts: {a: '10.0.0.1:0'}}", "write an IP address and a port"),
        ("{fleet: web, fronts: {a: '0.0.0.0:7400'}}", "no front can be reached at them"),
        ("{fleet: web, port: 1, fronts: {a: '10.0.0.1:7400'}}", "no such key"),
    ],
)
def test_the_error_for_an_invalid_section_says_what_to_write(text: str, message: str) -> None:
    with pytest.raises(OperatorError, match=message):
        read_section(text)


@given(st.lists(st.binary(max_size=60), max_size=6), st.lists(st.integers(1, 40), max_size=30))
def test_frames_are_decoded_however_the_bytes_are_split(payloads: list[bytes], sizes: list[int]) -> None:
    raw = b"".join(encode_frame("f", "n1", 7, payload) for payload in payloads)
    decoder, decoded, offset = FrameDecoder("f"), list[bytes](), 0
    for size in (*sizes, len(raw)):
        decoded += [frame.data for frame in decoder.feed(raw[offset : offset + size])]
        offset += size
    assert decoded == payloads and not decoder.has_partial_frame


@given(st.binary(min_size=3, max_size=80))
def test_invalid_bytes_are_rejected(raw: bytes) -> None:
    decoder = FrameDecoder("f")
    try:
        assert decoder.feed(raw) == []
    except PeersError as error:
        assert error.code == "QP-PEERS" and error.advice
    assert decoder.buffered_bytes <= len(raw)
    for wrong in (encode_frame("g", "n1", 7, b""), b"\xff\xff", b"\0\0"):
        with pytest.raises(PeersError):
            FrameDecoder("f").feed(wrong)


def test_all_join_and_frames_keep_their_order_on_one_stream_a_pair() -> None:
    networks, received = make_networks(4), dict[tuple[str, str], list[bytes]]()

    def receive(receiver: str, sender: str, data: bytes) -> None:
        received.setdefault((receiver, sender), []).append(data)

    async def scenario() -> None:
        for network in networks:
            network.register_channel(5, partial(receive, network.name))
        await until(lambda: all(len(network.view) == 4 for network in networks), "all views are complete")
        for n in range(200):
            for network in networks:
                for other in networks:
                    assert network is other or network.send(other.name, 5, b"%d" % n)
        await until(lambda: sum(map(len, received.values())) == 12 * 200, "all frames are received")
        assert len(received) == 12 and all(
            data == [b"%d" % n for n in range(200)] for data in received.values()
        )
        await until(
            lambda: all(network.streams.stream_count == 3 for network in networks),
            "one stream per pair is left",
        )
        assert networks[0].send("n1", 5, bytes(MAX_FRAME_BYTES))
        await until(lambda: len(received["n1", "n0"][-1]) == MAX_FRAME_BYTES, "the largest frame is received")
        assert not networks[0].send("n1", 5, bytes(MAX_FRAME_BYTES + 1))
        assert not networks[0].send("n0", 5, b"")
        await networks[3].leave()
        assert not networks[3].send("n0", 5, b"late")
        await until(
            lambda: all(network.view == ("n0", "n1", "n2") for network in networks[:3]),
            "the network that left is removed",
        )

    run_scenario(networks, scenario)


def test_frames_to_an_unreachable_or_stalled_peer_are_dropped_and_memory_is_bounded() -> None:
    network = make_networks(2)[0]
    stalled = socket.socket()

    async def scenario() -> None:
        stalled.bind(("127.0.0.1", 0))
        assert not network.send("nobody", 5, b"x")
        assert network.send("n1", 5, b"x")  # queued until the dial ends
        counter = "peer_frames_dropped_peer_unreachable"
        await until(lambda: network.checks.counts[counter] >= 2, "the dial has failed")
        stalled.listen(1)
        network.add_address("stalled", stalled.getsockname())
        sent = sum(network.send("stalled", 5, bytes(MAX_FRAME_BYTES)) for _ in range(50))
        assert 0 < sent < 4 and network.checks.counts["peer_frames_dropped_queue_full"] == 50 - sent
        assert network.streams.queued_bytes <= 4 << 20

    run_scenario([network], scenario)
    stalled.close()


def test_handlers_that_raise_and_hostile_bytes_do_not_stop_the_network() -> None:
    networks, received = make_networks(2), list[str]()

    def on_frame(sender: str, data: bytes) -> None:
        received.append(sender)
        raise RuntimeError("planted")

    async def scenario() -> None:
        networks[1].register_channel(9, on_frame)
        networks[1].add_view_listener(lambda change: on_frame("view", b""))
        await until(lambda: len(networks[1].view) == 2, "the view has both fronts")
        with pytest.raises(PeersError):
            networks[1].register_channel(9, on_frame)
        reader, writer = await asyncio.open_connection(*networks[1].listen_address)
        writer.write(b"GET / HTTP/1.1\r\n\r\n")
        assert await reader.read() == b""
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as foreign_socket:
            foreign_socket.sendto(b"\xc1" * 50, networks[1].listen_address)
        networks[0]._socket.send(b"\xc1" * 50, networks[1].listen_address)  # from the address of a member
        for _ in range(2):
            assert networks[0].send("n1", 9, b"x")
        await until(lambda: received.count("n0") == 2, "frames are still received")
        counts = networks[1].checks.counts
        await until(lambda: counts["peer_datagrams_rejected"] == 2, "the datagrams are dropped")
        assert counts["peer_network_exception"] == len(received) and counts["peer_stream_rejected"] == 1

    run_scenario(networks, scenario)


def test_the_quota_divides_by_the_view_where_it_exceeds_the_settings() -> None:
    networks, base = make_networks(4), read_front(raw_config(), {}).settings
    configured = replace(base, fronts=2, fronts_by_zone=(0, 2))

    def make_module(settings: Any) -> Any:
        return SimpleNamespace(router=SimpleNamespace(settings=settings), checks=Checks())

    with_two, with_six = (
        make_module(configured),
        make_module(replace(configured, fronts=6, fronts_by_zone=(1, 5))),
    )
    QuotaAllocator(with_two, networks[0])
    allocator = QuotaAllocator(with_six, networks[1])

    async def scenario() -> None:
        await until(
            lambda: with_two.router.settings.fronts == 4, "four fronts are in the view, two are configured"
        )
        assert with_two.router.settings.fronts_by_zone == (0, 4)
        await until(lambda: len(networks[1].view) == 4, "four fronts are in the view, six are configured")
        assert with_six.router.settings.fronts == 6
        await networks[3].leave()
        await until(
            lambda: with_two.router.settings.fronts == 3,
            "the front that announced its leave no longer counts",
        )
        holder = QuotaHolder(6, 10 * clock.SECOND, 0)
        allocator.use_leases(holder)
        assert with_six.router.settings.fronts == 24, "without a lease a quarter of a fraction"
        holder.on_grant(clock.now(), clock.now(), QuotaGrant(GrantNumber(1, 1), 2))
        allocator.update()
        assert with_six.router.settings.fronts == 3  # two holders share 5/6 of the whole

    run_scenario(networks, scenario)
    assert (
        scale_settings(configured, 3).fronts_by_zone == (0, 3)
        and scale_settings(replace(configured, fronts=3), 4).fronts_by_zone[1] == 3
    )
