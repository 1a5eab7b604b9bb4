"""The end of a drain: clients that connect, send requests or read responses while the front ends."""

from __future__ import annotations

import asyncio
import contextlib
import os
import signal
import socket
from pathlib import Path

import pytest

from quincepier import clock
from quincepier.net import connection_manager
from quincepier.net.client_connection import ClientConnection
from quincepier.net.connection_manager import MAX_OVER_LIMIT, ConnectionManager
from quincepier.net.listener import MAX_ACCEPTS, MAX_TURN_NS, Listener
from quincepier.net.messages import RequestArrived
from quincepier.net.read_scheduler import MAX_ACTIVE_READS
from quincepier.net.sockets import listen
from tests.fcgikit import ReceivedResponse, ResponseReader, encode_begin, encode_request, params
from tests.loopback import allocate_address
from tests.standins import Front, ReceivedCommand, play, until
from tests.test_crossings_client import (
    SECOND_REQUEST,
    Peer,
    call_after_last_read,
    fill_with_open_requests,
    push_response,
    received_job_ids,
)
from tests.test_front import fleet
from tests.test_idle import PING, make_manager, on_loop


class BacklogClient:
    """A client in the backlog, which the front has not accepted yet."""

    def __init__(self, address: tuple[str, int], first: bytes) -> None:
        self.sock, self.reader = socket.create_connection(address), ResponseReader()
        self.sock.sendall(first)
        self.sock.setblocking(False)

    def read_available(self) -> dict[int, ReceivedResponse]:
        """Read what has arrived; return the complete responses."""
        with contextlib.suppress(BlockingIOError):
            self.reader.feed(self.sock.recv(65_536))
        return self.reader.response_by_request

    async def read_to_end(self) -> None:
        loop = asyncio.get_running_loop()
        async with asyncio.timeout(20):
            while data := await loop.sock_recv(self.sock, 65_536):
                self.reader.feed(data)
        self.sock.close()


def make_listener(manager: ConnectionManager) -> tuple[Listener, tuple[str, int]]:
    sock = listen(allocate_address())
    return Listener(manager, sock), sock.getsockname()


def test_clients_in_the_backlog_as_the_listener_stops_are_accepted() -> None:
    """There are more than are accepted in one turn; their requests go to the module, and none is reset."""

    async def scenario() -> None:
        manager = make_manager()
        listener, address = make_listener(manager)
        listener.start()
        await asyncio.sleep(0)
        jobs = [f"{n:016x}" for n in range(1, 21)]
        waiting_clients = [BacklogClient(address, encode_request(1, params(job))) for job in jobs]
        listener.stop()  # in the same turn
        assert sorted(received_job_ids(manager)) == jobs
        with pytest.raises(ConnectionRefusedError):
            socket.create_connection(address)
        while (message := manager.module.take()) is not None:
            assert isinstance(message, RequestArrived)
            message.request.number = 1  # taken by the module
            push_response(manager, message.request, b"bytes")
        await asyncio.gather(manager.close_all(), *(client.read_to_end() for client in waiting_clients))
        assert [client.reader.response_by_request[1].body for client in waiting_clients] == [b"bytes"] * len(
            waiting_clients
        )

    on_loop(scenario)


@pytest.mark.parametrize("has_gone", [True, False])
def test_clients_that_waited_in_the_backlog_are_read_in_bounded_turns(
    monkeypatch: pytest.MonkeyPatch, has_gone: bool
) -> None:
    """Guards against: a turn reads all requests of 100 clients that waited, and all others stand still."""

    async def scenario() -> None:
        manager = make_manager()
        listener, address = make_listener(manager)
        reads, plain = list[ClientConnection](), ClientConnection._on_received

        def on_received(self: ClientConnection, size: int) -> None:
            reads.append(self)
            plain(self, size)

        monkeypatch.setattr(ClientConnection, "_on_received", on_received)
        requests = b"".join(encode_request(n, params(f"{n:016x}")) for n in range(1, 201))
        waiting = [BacklogClient(address, requests) for _ in range(100)]
        for client in waiting:
            if has_gone:
                client.sock.close()
        now = clock.now()
        listener.waiting_since_ns = now - clock.SECOND
        with monkeypatch.context() as patch:
            patch.setattr(clock, "now", lambda: now)  # the turn's bound in time is not met
            listener._on_readable()
        assert len(reads) <= (0 if has_gone else MAX_ACTIVE_READS)
        assert has_gone or len(manager.connections) == len(waiting)
        for connection in list(manager.connections):
            connection.close()
        listener.close()

    on_loop(scenario)


def test_a_slow_turn_of_accepts_ends_in_time_and_leaves_the_rest_of_the_backlog(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against: 100 clients that waited are accepted in one turn though each takes long."""

    async def scenario() -> None:
        manager = make_manager()
        listener, address = make_listener(manager)
        waiting = [BacklogClient(address, b"") for _ in range(100)]
        now, admit = clock.now(), manager.admit

        def admit_slowly(sock: socket.socket, host: str = "") -> ClientConnection | None:
            nonlocal now
            now += MAX_TURN_NS // 4
            return admit(sock, host)

        monkeypatch.setattr(manager, "admit", admit_slowly)
        listener.waiting_since_ns = now - clock.SECOND
        with monkeypatch.context() as patch:
            patch.setattr(clock, "now", lambda: now)
            listener._on_readable()
        assert len(manager.connections) == MAX_ACCEPTS
        listener.stop()
        assert len(manager.connections) == len(waiting)
        for connection in list(manager.connections):
            connection.close()

    on_loop(scenario)


def test_clients_wait_in_the_backlog_while_the_manager_can_take_none() -> None:
    """Guards against: at the limit clients are accepted and closed unread, though a place is free soon."""

    async def scenario() -> None:
        manager = make_manager(64)
        listener, address = make_listener(manager)
        others = fill_with_open_requests(manager)
        silent = [Peer(manager) for _ in range(MAX_OVER_LIMIT)]
        listener.start()
        waiting = [BacklogClient(address, PING) for _ in range(4)]
        counts = manager.checks.counts
        await until(lambda: counts["accepts_delayed_descriptor_limit"] > 2, "the listener waits in turns")
        assert len(manager.connections) == len(others) + len(silent)
        for peer in others[: len(waiting)]:
            peer.at_front.close()
        for client in waiting:
            await until(lambda client=client: bool(client.read_available()), "it has an answer")  # type: ignore[misc]
        assert [client.reader.response_by_request[1].status for client in waiting] == [200] * len(waiting)
        listener.stop()
        for connection in list(manager.connections):
            connection.close()

    on_loop(scenario)


def test_accepted_sockets_have_nagle_disabled(monkeypatch: pytest.MonkeyPatch) -> None:
    """TCP_NODELAY is set before admission, so also for a client that is closed at once."""

    async def scenario() -> None:
        manager, seen = make_manager(), list[int]()
        listener, address = make_listener(manager)

        def admit(sock: socket.socket, host: str = "") -> None:
            seen.append(sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY))
            sock.close()

        monkeypatch.setattr(manager, "admit", admit)
        listener.start()
        waiting_clients = [BacklogClient(address, PING) for _ in range(3)]
        await until(lambda: len(seen) == len(waiting_clients), "all clients are accepted")
        assert all(seen)
        listener.stop()

    on_loop(scenario)


@pytest.mark.parametrize("before", [b"", PING, encode_begin(2)], ids=["new", "idle", "partial request"])
def test_a_request_in_the_last_read_is_rejected_and_not_forwarded(before: bytes) -> None:
    """From a new client, from an idle one, and from one that has sent half of another request."""

    async def scenario() -> None:
        manager = make_manager()
        peer = Peer(manager)
        if before:
            peer.send(before)
            await until(
                lambda: peer.at_front.has_requested or peer.at_front.session is not None, "the data is read"
            )
        late = encode_request(3, params("3" * 16))

        async def close_all() -> None:
            peer.send(late)
            await manager.close_all()  # in the same turn

        await asyncio.gather(close_all(), peer.read_to_end())
        assert peer.reader.response_by_request[3].status == 503 and not received_job_ids(manager)
        assert not manager.connections and not manager.lingering.open

    on_loop(scenario)


def test_a_request_not_taken_by_the_module_at_the_end_is_rejected() -> None:
    """A request was read just before the end and is still in the module's mailbox."""

    async def scenario() -> None:
        manager = make_manager()
        peer = Peer(manager)
        peer.send(SECOND_REQUEST)
        peer.at_front.receive()
        (message,) = manager.module.new_work
        assert isinstance(message, RequestArrived) and not message.request.is_finished
        await asyncio.gather(manager.close_all(), peer.read_to_end())
        assert message.request.is_finished and peer.reader.response_by_request[2].status == 503

    on_loop(scenario)


@pytest.mark.parametrize("is_end", [False, True])
def test_a_partly_written_response_is_written_completely(
    is_end: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A write task is at work when the drain or the end begins; only then does the client read on."""

    async def scenario() -> None:
        monkeypatch.setattr(connection_manager, "FLUSH_TIMEOUT_S", 20.0)  # long enough on a busy machine
        manager, large = make_manager(), os.urandom(40_000) * 100
        peer = Peer(manager)
        peer.ours.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 1 << 16)
        peer.send(SECOND_REQUEST)
        await until(lambda: bool(received_job_ids(manager)), "the request is read")
        message = manager.module.take()
        assert isinstance(message, RequestArrived)
        message.request.number = 1
        push_response(manager, message.request, large)
        await until(lambda: peer.at_front.write_task is not None, "the socket is full")
        call_after_last_read(manager, lambda: peer.send(encode_request(4, params("4" * 16))))
        if is_end:
            await asyncio.gather(manager.close_all(), peer.read_to_end())
        else:
            manager.drain()
            assert not peer.at_front.is_closed
            await peer.read_to_end()
        assert peer.reader.response_by_request[2].body == large and set(peer.reader.response_by_request) == {
            2
        }
        assert not manager.connections and not received_job_ids(manager)

    on_loop(scenario)


def test_no_socket_lingers_after_the_end() -> None:
    """One client never closes its side and one never reads: both sockets are closed."""

    async def scenario() -> None:
        manager, large = make_manager(), os.urandom(40_000) * 6
        unclosed, unread = Peer(manager), Peer(manager)
        await unclosed.complete_request()
        unread.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        unread.ours.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
        unread.send(SECOND_REQUEST)
        await until(lambda: bool(received_job_ids(manager)), "the request is read")
        message = manager.module.take()
        assert isinstance(message, RequestArrived)
        push_response(manager, message.request, large)
        await until(lambda: unread.at_front.write_task is not None, "the socket is full")
        async with asyncio.timeout(20):
            await manager.close_all()
        assert not manager.connections and not manager.lingering.open
        await until(lambda: unclosed.ours.fileno() == unread.ours.fileno() == -1, "both sockets are closed")
        assert manager.descriptors.clients == manager.descriptors.lingering == 0

    on_loop(scenario)


def test_a_front_that_drains_stops_accepting_and_finishes_what_is_open(tmp_path: Path) -> None:
    """Clients are accepted for a part of a second; later ones are refused at once and go elsewhere."""
    held: list[ReceivedCommand] = []

    async def scenario(front: Front) -> None:
        first = await front.connect_client()
        first.send_request(1)
        await until(lambda: len(held) == 1, "the command is at the cache")
        front.send_signal(signal.SIGTERM)
        await until(lambda: front.has_logged("drain: 1 requests open"), "the front drains")
        async with asyncio.timeout(20):
            while True:
                try:
                    socket.create_connection(front.address).close()
                except ConnectionRefusedError:
                    break
                await asyncio.sleep(0.01)
        assert not front.has_exited and not first.is_closed
        held[0].respond_with_data(b"whole")
        assert (await first.wait_for_response(1)).body == b"whole"
        assert await front.wait_for_exit() == 0

    play(tmp_path, fleet(held.append), scenario)
