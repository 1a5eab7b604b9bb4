"""Bytes, closes and aborts of clients that cross an action of the front, such as a close of the connection.

The connections are TCP on loopback within the test's process. So a test can send bytes between the last read
of a connection and its close, and sees at the client's end what the system does with them.
"""

from __future__ import annotations

import asyncio
import os
import select
import socket
import struct
from collections.abc import Callable

import pytest

from quincepier import clock
from quincepier.clients.section import ClientNetworks, ClientsSection
from quincepier.memory.buffer_pool import PooledBody
from quincepier.net import body_memory, lingering_sockets
from quincepier.net.client_connection import OVER_LIMIT_TIMEOUT_S, ClientConnection
from quincepier.net.connection_manager import MAX_OVER_LIMIT, ConnectionManager
from quincepier.net.messages import ClientDisconnected, RequestArrived, Response
from quincepier.net.read_scheduler import MAX_ACTIVE_READS
from quincepier.net.sockets import set_no_delay
from tests.fcgikit import ABORT, ResponseReader, encode_begin, encode_record, encode_request, params
from tests.standins import until
from tests.test_idle import PING, make_manager, on_loop

SECOND_REQUEST = encode_request(2, params("2" * 16))  # a complete request
LINGER = struct.pack("ii", 1, 0)  # makes a close reset the connection


class Peer:
    """A client and its connection at the front."""

    def __init__(self, manager: ConnectionManager, first: bytes = b"") -> None:
        with socket.create_server(("127.0.0.1", 0)) as server:
            self.sock = socket.create_connection(server.getsockname())
            self.ours, _ = server.accept()
        self.ours.setblocking(False)
        set_no_delay(self.ours)
        self.sock.settimeout(20)
        self.manager, self.reader = manager, ResponseReader()
        if first:
            self.send(first)
        self.connection = manager.admit(self.ours)

    @property
    def at_front(self) -> ClientConnection:
        assert self.connection is not None
        return self.connection

    def send(self, data: bytes) -> None:
        """Send bytes and wait until they are in the front's socket."""
        self.sock.sendall(data)
        assert select.select([self.ours], [], [], 20)[0]

    async def read_to_end(self) -> None:
        """Read until the front closes the connection; raises ConnectionResetError if it resets it."""
        self.sock.setblocking(False)
        loop = asyncio.get_running_loop()
        async with asyncio.timeout(20):
            while data := await loop.sock_recv(self.sock, 65_536):
                self.reader.feed(data)
        self.sock.close()

    async def complete_request(self, data: bytes = PING) -> None:
        """Send a request and wait until its response is written; the client does not read it yet."""
        self.send(data)
        await until(
            lambda: self.at_front.has_requested and not self.at_front.owes_responses,
            "the response is written",
        )


def call_after_last_read(manager: ConnectionManager, action: Callable[[], None]) -> None:
    """Call `action` once, after the last read of a connection that is being closed."""
    plain = manager.unwatch

    def unwatch(connection: ClientConnection) -> None:
        manager.unwatch = plain  # type: ignore[method-assign]
        plain(connection)
        action()

    manager.unwatch = unwatch  # type: ignore[method-assign]


def received_job_ids(manager: ConnectionManager) -> list[str]:
    return [
        message.request.job_id for message in manager.module.new_work if isinstance(message, RequestArrived)
    ]


def push_response(manager: ConnectionManager, request: object, body: bytes) -> None:
    """Push the module's response to a request."""
    manager.pool.max_buffers = 1000
    pooled = PooledBody.allocate(manager.pool, len(body))
    assert pooled is not None
    pooled.append(body)
    request.receiver.push(Response(request, 200, pooled))  # type: ignore[attr-defined, arg-type]


async def close_by_drain(manager: ConnectionManager, peer: Peer) -> None:
    manager.drain()


async def close_by_end(manager: ConnectionManager, peer: Peer) -> None:
    await manager.close_all()


async def close_by_idle_timeout(manager: ConnectionManager, peer: Peer) -> None:
    now = clock.now()
    while peer.at_front in manager.connections:
        now += clock.SECOND // 5
        manager.sweep(now)


async def close_by_eviction(manager: ConnectionManager, peer: Peer) -> None:
    others = list[Peer]()  # kept: a client that has gone makes room by itself
    while peer.at_front in manager.connections:
        others.append(Peer(manager))
        manager.registry.on_request(others[-1].at_front)


@pytest.mark.parametrize("close", [close_by_drain, close_by_end, close_by_idle_timeout, close_by_eviction])
def test_a_request_that_crosses_a_close_causes_no_reset_and_is_not_taken(
    close: Callable[[ConnectionManager, Peer], asyncio.Future[None]],
) -> None:
    async def scenario() -> None:
        manager = make_manager(64, ClientNetworks(ClientsSection(rest_least_ms=0, rest_most_s=0.5, slack=1)))
        peer = Peer(manager)
        await peer.complete_request()
        call_after_last_read(manager, lambda: peer.send(SECOND_REQUEST))
        await asyncio.gather(close(manager, peer), peer.read_to_end())
        assert (
            peer.reader.response_by_request[1].status == 200
            and not peer.reader.buffer
            and not received_job_ids(manager)
        )

    on_loop(scenario)


def test_a_request_after_the_last_one_of_a_connection_does_not_destroy_its_response() -> None:
    """Without KEEP_CONN the front closes after the response; another request arrives before it is read."""

    async def scenario() -> None:
        manager, large = make_manager(), os.urandom(40_000) * 6
        peer = Peer(manager)
        peer.ours.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 1 << 20)
        peer.send(encode_request(1, params("1" * 16), keep=False))
        await until(lambda: bool(received_job_ids(manager)), "the request is read")
        call_after_last_read(manager, lambda: peer.send(SECOND_REQUEST))
        message = manager.module.take()
        assert isinstance(message, RequestArrived)
        push_response(manager, message.request, large)
        await until(lambda: not manager.connections, "the front has closed its side")
        await peer.read_to_end()
        assert peer.reader.response_by_request[1].body == large and not received_job_ids(manager)

    on_loop(scenario)


def test_a_client_that_is_not_admitted_sees_a_close_and_no_reset() -> None:
    async def scenario() -> None:
        manager = make_manager(64, ClientNetworks(ClientsSection(each=1)))
        Peer(manager)
        manager.registry.find_evictable = lambda now: None  # type: ignore[method-assign]
        manager.registry._find_evictable_of = lambda network, now: None  # type: ignore[method-assign]
        peer = Peer(manager, first=SECOND_REQUEST)
        assert peer.connection is None
        await peer.read_to_end()
        assert not peer.reader.response_by_request and not received_job_ids(manager)

    on_loop(scenario)


def test_lingering_sockets_are_bounded_in_number_and_close_before_descriptors_run_out() -> None:
    async def scenario() -> None:
        manager = make_manager(64)
        limit, spare = manager.descriptors.max_clients, lingering_sockets.SPARE_DESCRIPTORS
        peers = [Peer(manager) for _ in range(limit)]
        for peer in peers:
            await peer.complete_request()
        for peer in peers:
            peer.at_front.close_gracefully()
        assert len(manager.lingering.open) == limit and not manager.connections
        for held in range(1, limit + 1):
            Peer(manager)
            open_now = len(manager.lingering.open)
            assert open_now == manager.descriptors.lingering == min(limit, limit - held + spare)
        assert (
            manager.descriptors.peak <= limit + spare + 1
        )  # a new connection is open before another is closed
        assert manager.checks.counts["lingering_clients_closed_descriptor_limit"] == limit - spare
        for peer in peers[: limit - spare]:  # the oldest are closed on both sides
            assert peer.ours.fileno() == -1
        for connection in list(manager.connections):
            connection.close()

    on_loop(scenario)


def test_lingering_sockets_are_bounded_in_time_and_close_with_their_client(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def scenario() -> None:
        manager = make_manager()
        quick, slow = Peer(manager), Peer(manager)
        for peer in (quick, slow):
            await peer.complete_request()
        manager.drain()
        quick.sock.close()
        await until(lambda: quick.ours.fileno() == -1, "its close is noticed")
        assert slow.ours.fileno() != -1 and manager.descriptors.lingering == 1
        monkeypatch.setattr(lingering_sockets, "LINGER_TIMEOUT_S", 0.02)
        slowest = Peer(manager)
        await slowest.complete_request()
        manager.drain()
        await until(lambda: slowest.ours.fileno() == -1, "the linger time-out has passed")
        await manager.lingering.wait_until_closed(0)
        assert slow.ours.fileno() == -1 and manager.descriptors.lingering == 0

    on_loop(scenario)


def test_a_request_completed_after_the_last_read_is_not_forwarded() -> None:
    """Half of it is read, the rest arrives before the close; the connection ends without a reset."""

    async def scenario() -> None:
        manager = make_manager()
        peer = Peer(manager)
        await peer.complete_request()
        peer.send(SECOND_REQUEST[:-11])
        await until(lambda: peer.at_front.session is not None, "half of it is read")
        call_after_last_read(manager, lambda: peer.send(SECOND_REQUEST[-11:]))
        manager.drain()
        await peer.read_to_end()
        assert set(peer.reader.response_by_request) == {1} and not received_job_ids(manager)

    on_loop(scenario)


def test_a_request_completed_by_the_last_read_is_taken_and_answered() -> None:
    async def scenario() -> None:
        manager = make_manager()
        peer = Peer(manager)
        await peer.complete_request()
        peer.send(SECOND_REQUEST[:-11])
        await until(lambda: peer.at_front.session is not None, "half of it is read")
        peer.send(SECOND_REQUEST[-11:])
        manager.drain()  # in the same turn
        assert received_job_ids(manager) == ["2" * 16] and not peer.at_front.is_closed
        message = manager.module.take()
        assert isinstance(message, RequestArrived)
        push_response(manager, message.request, b"bytes")
        await peer.read_to_end()
        assert peer.reader.response_by_request[2].body == b"bytes"

    on_loop(scenario)


def abort(peer: Peer) -> None:
    peer.send(encode_record(ABORT, 1))


def close(peer: Peer) -> None:
    peer.sock.close()


def reset(peer: Peer) -> None:
    peer.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER)
    peer.sock.close()


class EpollWithoutDisconnects:
    """An epoll that does not report disconnects."""

    def __init__(self, plain: select.epoll) -> None:
        self.plain, self.unregister = plain, plain.unregister

    def register(self, sock: socket.socket, mask: int) -> None:
        self.plain.register(sock, mask & ~select.EPOLLRDHUP)

    def poll(self, timeout: float, max_events: int) -> list[tuple[int, int]]:
        return [(fd, select.EPOLLIN) for fd, _ in self.plain.poll(timeout, max_events)]


FAULTY = encode_request(3, params("3" * 16, "no-such-class"))
# parameters over the limit: the front takes no further request
TOO_LARGE = encode_begin(3) + encode_record(4, 3, bytes(60_000))


@pytest.mark.parametrize("disconnect", [abort, close, reset])
@pytest.mark.parametrize("paused_by", [FAULTY, TOO_LARGE], ids=["a bad request", "a protocol error"])
def test_a_disconnect_or_abort_is_noticed_while_reading_is_paused(
    paused_by: bytes, disconnect: Callable[[Peer], None]
) -> None:
    """The pause after bad requests is up to a second, and after a protocol error reading would not resume.

    No timer of the connections fires here, so the disconnect must be noticed without them.
    """

    async def scenario() -> None:
        manager = make_manager()
        peer = Peer(manager)
        assert manager.epoll is not None
        manager.unwatch(peer.at_front)
        manager.epoll = EpollWithoutDisconnects(manager.epoll)  # type: ignore[assignment]
        peer.at_front.start()
        peer.at_front.bad_request_count = 10
        peer.send(encode_request(1, params("1" * 16)) + paused_by)
        await until(lambda: bool(received_job_ids(manager)), "the request is read")
        message = manager.module.take()
        assert isinstance(message, RequestArrived) and not peer.at_front.is_reading
        disconnect(peer)
        async with asyncio.timeout(5):
            while not message.request.is_cancelled:
                await asyncio.sleep(0.005)
        assert [m.request for m in manager.module.queue if isinstance(m, ClientDisconnected)] == [
            message.request
        ]

    on_loop(scenario)


@pytest.mark.parametrize("is_read_closed", [False, True], ids=["bad requests", "read side closed"])
def test_an_abort_behind_a_flood_denies_new_attempts_until_it_is_read(is_read_closed: bool) -> None:
    """The connection is read 64 KiB at a time, every 50 ms: an abort behind ten such reads is 0.5 s late.

    An attempt that begins 0.1 s after the abort was sent counts as a lost request. So `check_client` must
    return False while data that arrived 0.1 s ago has not been read.
    """

    async def scenario() -> None:
        manager = make_manager()
        peer = Peer(manager)
        peer.sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 1 << 21)
        bad_requests = [
            encode_request(n, params("3" * 16, "no-such-class"), bytes(40_000)) for n in range(3, 18)
        ]
        peer.send(
            encode_request(1, params("1" * 16), keep=not is_read_closed)
            + b"".join(bad_requests)
            + encode_record(ABORT, 1)
        )
        aborted_at = clock.now()
        await until(lambda: bool(received_job_ids(manager)), "the request is read")
        message = manager.module.take()
        assert isinstance(message, RequestArrived)
        request, denials = message.request, list[bool]()
        while not request.is_cancelled:
            now = clock.now()
            may_start = request.receiver.check_client(now)
            if not request.is_cancelled and now - aborted_at > 100 * clock.MS:
                denials.append(may_start is False)
            await asyncio.sleep(0.04)
            assert now - aborted_at < 5 * clock.SECOND, "the abort is read in the end"
        assert denials and all(denials)
        peer.sock.close()

    on_loop(scenario)


def test_a_close_behind_unread_data_is_noticed(monkeypatch: pytest.MonkeyPatch) -> None:
    """The system reports the disconnect, so it is noticed before the connection's pause ends."""

    async def scenario() -> None:
        manager = make_manager()
        peer = Peer(manager)
        peer.at_front.bad_request_count = 10
        monkeypatch.setattr(ClientConnection, "resume_reading", lambda self: None)
        peer.send(encode_request(1, params("1" * 16)) + FAULTY)
        await until(lambda: bool(received_job_ids(manager)), "the request is read")
        message = manager.module.take()
        assert isinstance(message, RequestArrived) and not peer.at_front.is_reading
        peer.sock.close()
        async with asyncio.timeout(5):
            while not message.request.is_cancelled:
                await asyncio.sleep(0.005)
        assert peer.at_front.is_closed

    on_loop(scenario)


def test_a_disconnect_is_noticed_in_a_few_turns_while_the_connection_waits_to_be_read() -> None:
    async def scenario() -> None:
        manager = make_manager()
        peer, crowd = Peer(manager), [Peer(manager) for _ in range(3 * MAX_ACTIVE_READS)]
        peer.send(encode_request(1, params("1" * 16)))
        await until(lambda: bool(received_job_ids(manager)), "the request is read")
        message = manager.module.take()
        assert isinstance(message, RequestArrived)
        for other in crowd:
            other.send(PING)
        manager.reads.active.remaining = 0  # no reads are left in this turn
        peer.sock.close()
        turns = 0
        while not message.request.is_cancelled and turns <= 3 * len(crowd) // MAX_ACTIVE_READS:
            await asyncio.sleep(0)
            turns += 1
        assert message.request.is_cancelled and manager.reads.active.max_length > MAX_ACTIVE_READS

    on_loop(scenario)


def test_a_disconnect_cancels_open_requests_at_once() -> None:
    """The request is marked as cancelled by the read, before the module handles the message."""

    async def scenario() -> None:
        manager = make_manager()
        peer = Peer(manager)
        peer.send(encode_request(1, params("1" * 16)) + SECOND_REQUEST)
        await until(lambda: len(received_job_ids(manager)) == 2, "both requests are read")
        first, second = (m.request for m in manager.module.new_work if isinstance(m, RequestArrived))
        assert not first.is_cancelled and not second.is_cancelled
        peer.send(encode_record(ABORT, 1))
        peer.at_front.receive()
        assert first.is_cancelled and not second.is_cancelled
        peer.sock.close()
        await until(lambda: peer.at_front.is_closed, "the disconnect is noticed")
        assert second.is_cancelled

    on_loop(scenario)


GARBAGE = b"\xff" * 64


async def answered_and_closed(manager: ConnectionManager, peer: Peer, job: str) -> None:
    """Check that the request has a response, no other is forwarded, and the connection is not reset."""
    (message,) = manager.module.new_work
    assert isinstance(message, RequestArrived) and message.request.job_id == job
    message.request.number = 1  # taken by the module
    assert not message.request.is_cancelled
    push_response(manager, message.request, b"bytes")
    await peer.read_to_end()
    assert (
        peer.reader.response_by_request[2].body == b"bytes"
        and peer.reader.response_by_request[2].protocol_status == 0
    )
    assert (not manager.connections and not manager.lingering.open) or not peer.at_front.has_open_requests


@pytest.mark.parametrize("in_later_read", [False, True])
def test_a_complete_request_is_answered_though_invalid_data_follows(in_later_read: bool) -> None:
    """The invalid data is in the same read, or in a later one while the request is open."""

    async def scenario() -> None:
        manager = make_manager()
        peer = Peer(manager)
        peer.send(SECOND_REQUEST if in_later_read else SECOND_REQUEST + GARBAGE)
        await until(lambda: bool(received_job_ids(manager)), "the request is read")
        if in_later_read:
            peer.send(GARBAGE)
            await asyncio.sleep(0.05)
        await answered_and_closed(manager, peer, "2" * 16)
        assert manager.checks.counts["client_protocol_error"] == 1

    on_loop(scenario)


def test_a_client_stopped_for_partial_bodies_gets_responses_to_its_complete_requests() -> None:
    """It has the most partial bytes, and one of its requests is open."""

    async def scenario() -> None:
        manager = make_manager()
        peer = Peer(manager)
        peer.send(SECOND_REQUEST)
        await until(lambda: bool(received_job_ids(manager)), "the request is read")
        manager.bodies.max_bytes = 20_000
        half = encode_request(3, params("3" * 16, "bid"), b"x" * 40_000)[:-100]
        peer.send(half)
        await until(
            lambda: manager.checks.counts["client_closed_partial_request_limit"] > 0, "the client is stopped"
        )
        assert manager.bodies.used_bytes <= 20_000
        await answered_and_closed(manager, peer, "2" * 16)

    on_loop(scenario)


def admit_silent(manager: ConnectionManager, monkeypatch: pytest.MonkeyPatch, count: int) -> list[Peer]:
    """Admit clients that say nothing, each so late that the one before has had its time to begin."""
    peers = list[Peer]()
    for _ in range(count):
        now = clock.now() + manager.registry.limits.min_new_time
        monkeypatch.setattr(clock, "now", lambda now=now: now)
        peers.append(Peer(manager))
    return peers


@pytest.mark.parametrize("is_noticed", [False, True])
@pytest.mark.parametrize("length", [120, 48_000])
def test_no_resting_connection_with_a_request_in_it_is_closed_for_new_clients(
    monkeypatch: pytest.MonkeyPatch, is_noticed: bool, length: int
) -> None:
    """Guards against: at the limit the longest idle one is closed though a whole request lies in it."""

    async def scenario() -> None:
        manager = make_manager(64)
        manager.reads.may_read_now = lambda connection: False  # type: ignore[method-assign]
        resting = [Peer(manager, first=PING) for _ in range(manager.registry.limits.max_connections)]
        for peer in resting:
            peer.at_front.receive()
        await until(lambda: not any(p.at_front.owes_responses for p in resting), "all rest")
        manager.reads.enqueue = lambda connection: None  # type: ignore[method-assign]
        asking = resting[: len(resting) - 2]
        for number, peer in enumerate(asking):
            body = b"y" * (length - 120)
            peer.send(encode_request(2, params(f"{number:016x}", "bid"), body))
            if is_noticed:
                peer.at_front.on_readable()
        silent = admit_silent(manager, monkeypatch, 40)
        assert not any(peer.at_front.is_closed for peer in asking)
        assert manager.checks.counts["idle_client_closed_descriptor_limit"] == 40
        for peer in asking:
            peer.at_front.read_until_empty()
        assert len(received_job_ids(manager)) == len(asking)
        more = admit_silent(manager, monkeypatch, 3)
        assert all(peer.connection is not None for peer in more), "a new one that says nothing goes for it"
        for connection in list(manager.connections):
            connection.close()
        del silent

    on_loop(scenario)


@pytest.mark.parametrize("has_asked", [False, True])
def test_clients_that_begin_requests_and_stop_keep_no_new_client_out(
    monkeypatch: pytest.MonkeyPatch, has_asked: bool
) -> None:
    """Guards against: at the limit all have begun a request, and who comes with a whole one is closed."""

    async def scenario() -> None:
        manager = make_manager(64)
        begun = [Peer(manager) for _ in range(manager.registry.limits.max_connections)]
        if has_asked:
            for peer in begun:
                await peer.complete_request()
        for peer in begun:
            peer.send(encode_request(2, params("5" * 16, "bid"), b"y" * 2000)[:-1000])
            peer.at_front.receive()
        now = clock.now() + manager.registry.limits.min_new_time
        monkeypatch.setattr(clock, "now", lambda: now)
        asking = [Peer(manager, encode_request(2, params(f"{n:016x}"))) for n in range(5)]
        late = Peer(manager)  # its request is still on its way
        assert not any(peer.at_front.is_over_limit for peer in (*asking, late))
        assert [peer.at_front.is_closed for peer in begun] == [n < 6 for n in range(len(begun))]
        for peer in asking:
            peer.at_front.receive()
        more = [Peer(manager) for _ in begun[6:]]
        assert not any(peer.at_front.is_over_limit for peer in more)
        assert all(peer.at_front.is_closed for peer in begun)
        assert Peer(manager).at_front.is_over_limit
        assert not late.at_front.is_closed and len(received_job_ids(manager)) == len(asking)
        for connection in list(manager.connections):
            connection.close()

    on_loop(scenario)


def test_a_connection_whose_client_has_gone_makes_room_and_no_other_is_closed() -> None:
    """Guards against: those that have gone count until they are read, and others are closed for them."""

    async def scenario() -> None:
        manager = make_manager(64)
        resting = [Peer(manager) for _ in range(manager.registry.limits.max_connections - 20)]
        for peer in resting:
            await peer.complete_request()
        gone = [Peer(manager) for _ in range(20)]
        for peer in gone:
            peer.send(SECOND_REQUEST)
            peer.sock.close()
        new = [Peer(manager) for _ in range(20)]
        assert all(peer.connection is not None for peer in new) and not received_job_ids(manager)
        assert not any(peer.at_front.is_closed for peer in resting)
        assert not manager.checks.counts["idle_client_closed_descriptor_limit"]
        for connection in list(manager.connections):
            connection.close()

    on_loop(scenario)


def fill_with_open_requests(manager: ConnectionManager) -> list[Peer]:
    """Take all client connections by clients that wait for an answer."""
    others = [Peer(manager) for _ in range(manager.registry.limits.max_connections)]
    for number, peer in enumerate(others):
        peer.send(encode_request(2, params(f"{number:016x}")))
        peer.at_front.receive()
    return others


def test_a_new_client_is_refused_with_an_answer_where_all_others_have_sent_a_request() -> None:
    """Guards against: with no connection to close, one of a client that waits for its answer goes, or the new
    one is closed unread.
    """

    async def scenario() -> None:
        manager = make_manager(64)
        others = fill_with_open_requests(manager)
        requests = [encode_request(n, params(f"{n:016x}", "bid"), b"y" * 40_000) for n in (1, 2, 3)]
        refused = Peer(manager, requests[0][:1000])
        await until(lambda: refused.at_front.session is not None, "a part is read")
        refused.sock.setblocking(False)
        remaining = b"".join(requests)[1000:]
        await asyncio.get_running_loop().sock_sendall(refused.sock, remaining)
        await refused.read_to_end()
        responses = refused.reader.response_by_request
        assert {number: responses[number].status for number in responses} == {1: 503, 2: 503, 3: 503}
        assert not any(peer.at_front.is_closed for peer in others) and not manager.over_limit
        assert len(received_job_ids(manager)) == len(others)
        for peer in others:
            peer.at_front.close()

    on_loop(scenario)


def test_a_new_client_gets_a_place_where_all_others_came_a_moment_ago_and_say_nothing() -> None:
    """Guards against: it is refused though one that has had its time to begin can be closed for it soon."""

    async def scenario() -> None:
        manager = make_manager(64)
        silent = [Peer(manager) for _ in range(manager.registry.limits.max_connections)]
        asking = [Peer(manager, encode_request(2, params(f"{n:016x}"))) for n in range(MAX_OVER_LIMIT)]
        assert all(peer.at_front in manager.awaiting_place for peer in asking)
        assert not any(peer.at_front.is_closed for peer in silent)
        await until(lambda: len(received_job_ids(manager)) == len(asking), "the requests are taken")
        assert not manager.over_limit and not manager.awaiting_place
        assert sum(peer.at_front.is_closed for peer in silent) == len(asking)
        assert len(manager.registry) == manager.registry.limits.max_connections
        for connection in list(manager.connections):
            connection.close()

    on_loop(scenario)


def test_no_idle_connection_goes_for_one_that_waited_for_its_place_and_said_nothing() -> None:
    """Guards against: a silent client that came before a usual one displaces it after its wait."""

    async def scenario() -> None:
        manager = make_manager(64)
        silent = [Peer(manager) for _ in range(manager.registry.limits.max_connections - 1)]
        usual = Peer(manager)
        waiting = [Peer(manager) for _ in range(MAX_OVER_LIMIT)]
        await usual.complete_request()
        await until(lambda: not manager.awaiting_place, "their wait is over")
        assert not usual.at_front.is_closed and not any(peer.at_front.is_closed for peer in silent)
        assert all(peer.at_front.is_closed for peer in waiting)
        for connection in list(manager.connections):
            connection.close()

    on_loop(scenario)


def test_clients_beyond_the_limit_that_say_nothing_give_their_places_up_soon() -> None:
    """Guards against: silent clients hold the places in which new clients are refused with an answer."""

    async def scenario() -> None:
        manager = make_manager(64)
        others = fill_with_open_requests(manager)
        silent = [Peer(manager) for _ in range(MAX_OVER_LIMIT)]
        assert manager.is_full() and Peer(manager).connection is None
        manager.sweep(clock.now() + int(OVER_LIMIT_TIMEOUT_S * clock.SECOND) // 2)
        assert not any(peer.at_front.is_closed for peer in silent)
        manager.sweep(clock.now() + 2 * int(OVER_LIMIT_TIMEOUT_S * clock.SECOND))
        assert all(peer.at_front.is_closed for peer in silent) and not manager.is_full()
        for peer in others:
            peer.at_front.close()

    on_loop(scenario)


BID = encode_request(2, params("2" * 16, "bid"), b"y" * 48_000)  # longer than three reads


@pytest.mark.parametrize("held_bytes", [12_000, 30_000, 47_000])
@pytest.mark.parametrize("came_first", [False, True])
def test_a_whole_bid_is_not_lost_beside_clients_that_stop_within_their_requests(
    held_bytes: int, came_first: bool
) -> None:
    """Guards against: over the limit the bid that is just being read is the largest request and is ended."""

    async def scenario() -> None:
        manager = make_manager()
        usual = Peer(manager)
        if came_first:
            usual.send(BID[:10_000])
            await until(lambda: usual.at_front in manager.bodies.partial_by_connection, "a part is read")
        stopped = [Peer(manager) for _ in range(20)]
        for peer in stopped:
            peer.send(encode_request(1, params("1" * 16, "bid"), b"x" * 48_000)[:held_bytes])
        await until(lambda: manager.bodies.partial_bytes > 20 * held_bytes - 1_000, "all of it is read")
        manager.bodies.max_bytes = manager.bodies.used_bytes + 1_000
        usual.send(BID[10_000 * came_first :])
        await until(lambda: bool(received_job_ids(manager)), "the bid is read")
        assert received_job_ids(manager) == ["2" * 16] and not usual.at_front.is_closed
        assert manager.checks.counts["client_closed_partial_request_limit"] in range(1, 5)
        assert manager.bodies.used_bytes <= manager.bodies.max_bytes
        for peer in (usual, *stopped):
            peer.at_front.close()
        assert not manager.bodies.used_bytes

    on_loop(scenario)


def test_a_request_of_several_reads_in_the_socket_is_read_before_a_close() -> None:
    """Guards against: one read before a close takes the first part of a bid, and its rest is discarded."""

    async def scenario() -> None:
        manager = make_manager()
        peer = Peer(manager)
        await peer.complete_request()
        peer.sock.sendall(BID)
        peer.at_front.close_gracefully()
        assert received_job_ids(manager) == ["2" * 16] and not peer.at_front.is_closed
        peer.at_front.close()

    on_loop(scenario)


def test_a_read_over_the_limit_on_bodies_reads_few_other_connections(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against: each read over the limit reads all unfinished connections, and turns take seconds."""

    async def scenario() -> None:
        manager = make_manager()
        manager.reads.enqueue = lambda connection: None  # type: ignore[method-assign]
        manager.reads.may_read_now = lambda connection: False  # type: ignore[method-assign]
        peers = [Peer(manager) for _ in range(60)]
        for peer in peers:
            for number in range(3):
                peer.sock.sendall(encode_request(number + 1, params(f"{number:016x}", "bid"), b"x" * 12_000))
            peer.at_front.receive()
        assert len(manager.bodies.partial_by_connection) == 60
        manager.bodies.max_bytes = 1
        monkeypatch.setattr(body_memory, "MAX_ENFORCEMENT_NS", 0)
        reads, plain = list[int](), ClientConnection._on_received

        def on_received(self: ClientConnection, size: int) -> None:
            reads.append(size)
            plain(self, size)

        monkeypatch.setattr(ClientConnection, "_on_received", on_received)
        peers[-1].at_front.receive()
        assert len(reads) == 3, "its own, one to make room for its complete request, one for the limit"
        for peer in peers:
            peer.at_front.close()

    on_loop(scenario)


def test_a_close_behind_many_reads_is_noticed_before_an_attempt_begins() -> None:
    """Guards against: a client closes with much unread, and what was read of it is sent on 0.2 s later."""

    async def scenario() -> None:
        manager = make_manager()
        manager.reads.may_read_now = lambda connection: False  # type: ignore[method-assign]
        manager.reads.enqueue = lambda connection: None  # type: ignore[method-assign]
        peer = Peer(manager)
        bids = (encode_request(n, params(f"{n:016x}", "bid"), b"x" * 5_000) for n in range(1, 11))
        peer.send(b"".join(bids))
        peer.sock.close()
        peer.at_front.receive()
        read = [message.request for message in manager.module.new_work]  # type: ignore[union-attr]
        assert len(read) in range(1, 4) and not peer.at_front.is_closed
        peer.at_front.check_client(clock.now())
        assert peer.at_front.is_closed and all(request.is_cancelled for request in read)

    on_loop(scenario)


def test_a_disconnect_after_invalid_data_is_noticed() -> None:
    async def scenario() -> None:
        manager = make_manager()
        peer = Peer(manager)
        peer.send(SECOND_REQUEST + GARBAGE)
        await until(lambda: bool(received_job_ids(manager)), "the request is read")
        (message,) = manager.module.new_work
        assert isinstance(message, RequestArrived)
        peer.sock.close()
        await until(lambda: message.request.is_cancelled, "the disconnect is noticed")
        assert not manager.connections

    on_loop(scenario)


def test_requests_read_before_a_socket_is_empty_count_from_the_earliest_arrival(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """After a process pause a request is read byte by byte, in many turns of the event loop."""

    async def scenario() -> None:
        manager = make_manager()
        before, arrivals = clock.now(), [clock.now()]
        monkeypatch.setattr(
            manager.pauses, "earliest_arrival", lambda now: arrivals.pop() if arrivals else now
        )
        manager.read_buffer = manager.read_buffer[:1]
        peer = Peer(manager)
        peer.send(SECOND_REQUEST)
        await until(lambda: bool(received_job_ids(manager)), "the request is read")
        (message,) = manager.module.new_work
        assert isinstance(message, RequestArrived) and message.request.earliest_arrival_ns <= clock.now()
        assert before <= message.request.earliest_arrival_ns < message.request.received_at_ns
        assert not arrivals
        peer.send(encode_request(3, params("3" * 16)))
        await until(lambda: len(received_job_ids(manager)) == 2, "the second is read")
        _, later = manager.module.new_work
        assert isinstance(later, RequestArrived)
        assert (
            later.request.earliest_arrival_ns > message.request.received_at_ns
        ), "the socket was empty in between"

    on_loop(scenario)
