"""Idle connections: what they hold, bursts of wakes and closes, limits, process pauses, signals."""

from __future__ import annotations

import asyncio
import os
import signal
import socket
import struct
from pathlib import Path

import pytest
import uvloop

from quincepier import clock
from quincepier.checks import Checks
from quincepier.clients.section import ClientNetworks, ClientsSection
from quincepier.memory.buffer_pool import BufferPool, PooledBody
from quincepier.memory.memory_budget import MemoryBudget
from quincepier.net.actor import Mailbox
from quincepier.net.actor_dependencies import ActorDependencies
from quincepier.net.client_connection import ClientConnection
from quincepier.net.connection_manager import ConnectionManager
from quincepier.net.messages import RequestArrived, Response, ToModule
from quincepier.net.read_scheduler import MAX_ACTIVE_READS, MAX_WAKING_READS
from quincepier.net.sockets import Descriptors
from tests.fcgikit import ResponseReader, encode_begin, encode_record, encode_request, params
from tests.frontkit import make_config
from tests.standins import Cache, Client, Front, play, until
from tests.test_front import fleet

PING = encode_request(1, {"SCRIPT_NAME": "/ping"})


def make_manager(sockets: int = 1024, networks: ClientNetworks | None = None) -> ConnectionManager:
    checks, pool = Checks(), BufferPool(8)
    module: Mailbox[ToModule] = Mailbox(4096)
    budget = MemoryBudget(max_buffers=8, max_body_bytes=1 << 20, max_open_requests=4096)
    dependencies = ActorDependencies(make_config(), checks, pool, Descriptors(sockets), module, budget)
    return ConnectionManager(dependencies, lambda: True, networks)


class Peer:
    """The client's end of a connection of the manager."""

    def __init__(self, manager: ConnectionManager) -> None:
        ours, self.sock = socket.socketpair()
        ours.setblocking(False)
        self.sock.setblocking(False)
        self.reader = ResponseReader()
        connection = manager.admit(ours)
        assert connection is not None
        self.connection: ClientConnection = connection

    def read(self) -> None:
        try:
            while data := self.sock.recv(65536):
                self.reader.feed(data)
        except BlockingIOError:
            pass

    def answered(self, request: int) -> bool:
        self.read()
        return (
            request in self.reader.response_by_request
            and self.reader.response_by_request[request].protocol_status is not None
        )


def on_loop(scenario: object) -> None:
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(scenario())  # type: ignore[operator]


def test_an_idle_connection_holds_neither_task_nor_buffer_nor_decoder() -> None:
    async def scenario() -> None:
        manager = make_manager()
        peers = [Peer(manager) for _ in range(200)]
        for peer in peers:
            peer.sock.send(PING)
        await until(lambda: all(peer.answered(1) for peer in peers), "all have a response")
        assert not manager.busy_connections and all(peer.connection.session is None for peer in peers)
        assert len(asyncio.all_tasks()) == 1 and manager.pool.used == 1  # the read buffer
        manager.sweep(clock.now())
        for step in range(1, 40):  # the first deadlines pass, and no timer is scheduled again
            manager.sweep(clock.now() + step * clock.SECOND // 10)
        assert len(manager.timers) == 0 and len(manager.connections) == 200
        for peer in peers:
            peer.connection.close()
        assert not manager.connections and manager.descriptors.clients == 0 and len(manager.registry) == 0

    on_loop(scenario)


@pytest.mark.parametrize(("was_idle", "max_per_turn"), [(False, MAX_ACTIVE_READS), (True, MAX_WAKING_READS)])
def test_a_burst_is_read_in_bounded_numbers_per_turn_of_the_loop(was_idle: bool, max_per_turn: int) -> None:
    async def scenario() -> None:
        manager = make_manager()
        peers = [Peer(manager) for _ in range(400)]
        for peer in peers:
            peer.connection.last_activity_ns -= was_idle * 60 * clock.SECOND
        await asyncio.sleep(0)
        for peer in peers:
            peer.sock.send(PING)
        seen, loop = list[int](), asyncio.get_running_loop()

        def sample() -> None:
            seen.append(sum(peer.connection.has_requested for peer in peers))
            if seen[-1] < len(peers):
                loop.call_soon(sample)

        sample()
        await until(lambda: all(peer.answered(1) for peer in peers), "all have a response")
        steps = [b - a for a, b in zip(seen, seen[1:], strict=False)]
        assert max(steps) <= 2 * max_per_turn and sum(step > 0 for step in steps) >= len(peers) // (
            2 * max_per_turn
        )
        assert (manager.reads.waking if was_idle else manager.reads.active).max_length > 0
        assert not manager.reads.count_waiting()
        for peer in peers:
            peer.connection.close()

    on_loop(scenario)


def test_a_client_that_floods_has_few_buffers_read_before_others_are_served() -> None:
    """Otherwise a few clients that flood delay ordinary requests for longer than these can wait."""

    async def scenario() -> None:
        manager = make_manager()
        flooding, ordinary = [Peer(manager) for _ in range(4)], Peer(manager)
        # at most 32 of them may be open
        requests = b"".join(encode_request(n, params(f"{n:016x}")) for n in range(1, 300))
        for flood in flooding:
            flood.sock.send(requests)
        ordinary.sock.send(PING)
        read, before, plain = dict.fromkeys(flooding, 0), list[int](), ClientConnection._on_received

        def on_received(self: ClientConnection, size: int) -> None:
            for flood in flooding:
                read[flood] += size * (flood.connection is self)
            if self is ordinary.connection:
                before.append(max(read.values()))
            plain(self, size)

        with pytest.MonkeyPatch.context() as patch:
            patch.setattr(ClientConnection, "_on_received", on_received)
            await until(lambda: ordinary.connection.has_requested, "the ordinary client is read")
        # the connections read first in this turn are also the first ones queued for the next
        assert before[0] <= 2 * len(manager.read_buffer) < len(requests)
        for peer in (*flooding, ordinary):
            peer.connection.close()

    on_loop(scenario)


def test_active_connections_are_served_before_a_crowd_that_wakes() -> None:
    async def scenario() -> None:
        manager = make_manager()
        crowd, few = [Peer(manager) for _ in range(400)], [Peer(manager) for _ in range(3)]
        for peer in crowd:
            peer.connection.last_activity_ns -= 60 * clock.SECOND
            peer.sock.send(PING)
        for peer in few:
            peer.sock.send(PING)
        while not all(peer.connection.has_requested for peer in few):
            # turn by turn: in the pauses of `until` a fast machine would read the crowd
            await asyncio.sleep(0)
        assert sum(peer.connection.has_requested for peer in crowd) < 40
        await until(lambda: all(peer.answered(1) for peer in crowd), "the crowd is served too")
        for peer in (*crowd, *few):
            peer.connection.close()

    on_loop(scenario)


def test_the_time_that_a_request_waits_to_be_read_counts() -> None:
    async def scenario() -> None:
        manager = make_manager()
        peers = [Peer(manager) for _ in range(3 * MAX_ACTIVE_READS)]
        await asyncio.sleep(0)
        for peer in peers:
            peer.sock.send(encode_request(1, params("1" * 16)))
        await until(lambda: len(manager.module.new_work) == len(peers), "all are read")
        received_at = [
            message.request.received_at_ns
            for message in manager.module.new_work
            if isinstance(message, RequestArrived)
        ]
        # the ones read last count from an earlier time
        assert max(received_at) - min(received_at) < clock.now() - min(received_at)
        first, last = received_at[MAX_ACTIVE_READS - 1], received_at[MAX_ACTIVE_READS:]
        assert sum(at < first + (clock.now() - first) // 2 for at in last) > MAX_ACTIVE_READS
        for peer in peers:
            peer.connection.close()

    on_loop(scenario)


def test_wake_and_close_in_one_turn_and_half_of_all_closing_at_once() -> None:
    async def scenario() -> None:
        manager = make_manager()
        peers = [Peer(manager) for _ in range(300)]
        for peer in peers[::2]:
            peer.sock.send(encode_request(1, params("1" * 16)))
            peer.sock.close()
        for peer in peers[1::2]:
            peer.sock.send(PING)
        await until(lambda: len(manager.connections) == 150, "half of the connections are closed")
        await until(lambda: all(peer.answered(1) for peer in peers[1::2]), "the others are answered")
        assert manager.descriptors.clients == len(manager.registry) == 150 and not manager.bodies.used_bytes
        assert "exception_in_client_actor" not in manager.checks.counts
        for peer in peers[1::2]:
            peer.connection.close()

    on_loop(scenario)


def test_a_client_that_sends_a_request_and_resets_is_removed() -> None:
    """The reset arrives with unread bytes: the event loop reports it once only."""

    async def scenario() -> None:
        manager = make_manager()
        with socket.create_server(("127.0.0.1", 0)) as server:
            for _ in range(20):
                peer = socket.create_connection(server.getsockname())
                ours, _ = server.accept()
                ours.setblocking(False)
                manager.admit(ours)
                await asyncio.sleep(0)
                peer.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
                peer.send(encode_request(1, params("1" * 16)))
                peer.close()
        await until(lambda: not manager.connections, "all connections are closed")
        assert manager.descriptors.clients == 0

    on_loop(scenario)


def test_an_exhausted_pool_does_not_prevent_requests() -> None:
    async def scenario() -> None:
        manager = make_manager()
        assert (
            manager.pool.acquire(manager.pool.max_buffers - manager.pool.used) is not None
            and manager.pool.acquire() is None
        )
        peer = Peer(manager)
        peer.sock.send(PING)
        await until(lambda: peer.answered(1), "the ping has a response")
        peer.connection.close()

    on_loop(scenario)


def test_a_partial_record_times_out_and_process_pauses_do_not_count() -> None:
    async def scenario() -> None:
        manager = make_manager()
        partial, silent, ordinary = Peer(manager), Peer(manager), Peer(manager)
        partial.sock.send(encode_begin(1) + encode_record(4, 1)[:5])
        ordinary.sock.send(PING)
        await until(lambda: ordinary.answered(1) and partial.connection.session is not None, "both are read")
        now = clock.now()
        for _ in range(5):  # five process pauses of a minute
            now += 60 * clock.SECOND
            manager.sweep(now)
        assert {partial.connection, silent.connection, ordinary.connection} == manager.connections
        for _ in range(12):
            now += clock.SECOND // 5
            manager.sweep(now)
        assert manager.connections == {ordinary.connection}
        assert manager.checks.counts["client_closed_partial_request"] == 0  # it never sent a complete request
        assert manager.checks.counts["client_closed_no_request"] == 2
        ordinary.sock.send(encode_begin(2) + encode_record(4, 2)[:5])
        await until(lambda: ordinary.connection.session is not None, "the partial record is read")
        for _ in range(14):
            now += clock.SECOND // 5
            manager.sweep(now)
        assert not manager.connections and manager.checks.counts["client_closed_partial_request"] == 1

    on_loop(scenario)


def test_responses_continue_when_the_socket_takes_bytes_and_an_unread_last_one_is_cut_off() -> None:
    async def scenario() -> None:
        manager = make_manager()
        peer, large = Peer(manager), os.urandom(40_000) * 6
        peer.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        peer.sock.send(b"".join(encode_request(n, params(f"{n:016x}")) for n in range(1, 33)))
        await until(lambda: len(manager.module.new_work) == 32, "all requests are read")
        manager.pool.max_buffers = 1000
        while (message := manager.module.take()) is not None:
            assert isinstance(message, RequestArrived)
            body = PooledBody.allocate(manager.pool, len(large))
            assert body is not None
            body.append(large)
            message.request.receiver.push(Response(message.request, 200, body))
        await until(lambda: peer.connection.write_task is not None, "the socket is full")
        assert peer.connection.owes_responses
        await until(lambda: all(peer.answered(n) for n in range(1, 33)), "all responses arrive")
        assert (
            all(got.body == large for got in peer.reader.response_by_request.values())
            and manager.pool.used == 1
        )
        await until(lambda: peer.connection.session is None, "the connection is idle")
        peer.sock.send(encode_request(40, params("f" * 16), keep=False))
        await until(lambda: bool(manager.module.new_work), "the last request is read")
        message = manager.module.take()
        assert isinstance(message, RequestArrived)
        body = PooledBody.allocate(manager.pool, len(large))
        assert body is not None
        body.append(large)
        message.request.receiver.push(Response(message.request, 200, body))
        await until(lambda: peer.connection.write_task is not None, "the socket is full")
        now = clock.now()
        while not peer.connection.is_closed:
            now += clock.SECOND // 5
            manager.sweep(now)
        await until(lambda: not manager.connections, "the socket is closed after the write task")
        assert manager.pool.used == 1 and manager.descriptors.clients == 0

    on_loop(scenario)


def test_a_large_response_takes_turns_with_small_ones() -> None:
    async def scenario() -> None:
        manager = make_manager()
        manager.pool.max_buffers = 1000
        peer, sizes = Peer(manager), {1: 240_000, 2: 5, 3: 70_000, 4: 5}
        peer.sock.send(b"".join(encode_request(n, params(f"{n:016x}")) for n in sizes))
        await until(lambda: len(manager.module.new_work) == 4, "all requests are read")
        while (message := manager.module.take()) is not None:  # all responses in one turn, the largest first
            assert isinstance(message, RequestArrived)
            size = sizes[message.request.stream_id]
            body = PooledBody.allocate(manager.pool, size)
            assert body is not None
            body.append(bytes(size))
            message.request.receiver.push(Response(message.request, 200, body))
        await until(lambda: all(peer.answered(n) for n in sizes), "all have a response")
        assert peer.reader.completed_requests == [2, 4, 3, 1]
        assert [len(peer.reader.response_by_request[n].body) for n in sizes] == [*sizes.values()]
        peer.connection.close()

    on_loop(scenario)


def test_at_the_limit_a_crowd_of_one_network_does_not_evict_another() -> None:
    async def scenario() -> None:
        section = ClientsSection(each=0, rest_least_ms=0, slack=1)
        manager = make_manager(64, ClientNetworks(section))
        limit, few = manager.descriptors.max_clients, list[ClientConnection]()

        def connect(host: str) -> ClientConnection | None:
            ours, theirs = socket.socketpair()
            ours.setblocking(False)
            client_sockets.append(theirs)
            return manager.admit(ours, host)

        client_sockets: list[socket.socket] = []
        for n in range(4):
            connection = connect(f"192.0.2.{n}")
            assert connection is not None
            few.append(connection)
            manager.registry.on_request(connection)
            manager.registry.on_idle(connection, 0)
        for n in range(5 * limit):
            connection = connect(f"198.51.100.{n % 200}")
            if connection is not None:
                manager.registry.on_request(connection)
                manager.registry.on_idle(connection, n)
        assert len(manager.connections) == limit == manager.descriptors.clients
        assert not any(connection.is_closed for connection in few)
        for connection in list(manager.connections):
            connection.close()

    on_loop(scenario)


def test_clients_rejected_by_the_front_get_different_retry_times() -> None:
    manager = make_manager()
    retry_times = {manager.draw_retry_after_ms() for _ in range(50)}
    assert len(retry_times) > 20 and all(w is not None and 0.6 * 500 <= w <= 500 for w in retry_times)
    # drawn from the seed of the configuration
    assert {make_manager().draw_retry_after_ms() for _ in range(3)} == {make_manager().draw_retry_after_ms()}


async def connect_idle_clients(front: Front, count: int) -> list[Client]:
    clients = [await front.connect_client() for _ in range(count)]
    for client in clients:
        client.send(PING)
    for client in clients:
        assert (await client.wait_for_response(1)).status == 200
    return clients


def test_all_idle_clients_wake_while_an_active_one_is_served(tmp_path: Path) -> None:
    async def scenario() -> None:
        front = Front(tmp_path, {name: Cache(behaviour) for name, behaviour in fleet().items()})
        try:
            await front.start(limits={"cores": 1.0, "memory_mb": 32, "sockets": 256})
            clients = await connect_idle_clients(front, 100)
            few = await front.connect_client()
            front.send_signal(signal.SIGHUP)
            await until(
                lambda: front.has_logged("configuration reloaded"),
                "SIGHUP is handled while all clients are idle",
            )
            for n, client in enumerate(clients):
                client.send(encode_request(2, params(f"{n + 100:016x}", HTTP_X_N=str(n % 5))))
            for n in range(2, 12):
                # the most important class is served
                few.send_request(n, "bid", b"offer", HTTP_X_JOB_ID=f"{n + 900:016x}")
                assert (await few.wait_for_response(n)).status == 200
            statuses = [(await client.wait_for_response(2)).status for client in clients]
            assert set(statuses) <= {200, 503} and not any(client.is_closed for client in clients)
            front.send_signal(signal.SIGTERM)
            assert await front.wait_for_exit() == 0
            assert not any("exception" in line for line in front.log_lines)
        finally:
            await front.stop()

    asyncio.run(scenario())


@pytest.mark.parametrize("pause_s", [0.0, 2.2])
def test_a_process_pause_closes_no_connection(tmp_path: Path, pause_s: float) -> None:
    async def scenario(front: Front) -> None:
        clients = await connect_idle_clients(front, 30)
        partial = await front.connect_client()
        partial.send(encode_begin(1) + encode_record(4, 1, b"")[:5])
        new = await front.connect_client()
        if pause_s:
            front.send_signal(signal.SIGSTOP)
            await asyncio.sleep(pause_s)
            front.send_signal(signal.SIGCONT)
        new.send(PING)
        assert (await new.wait_for_response(1)).status == 200
        assert not partial.is_closed and not any(client.is_closed for client in clients)
        clients[0].send_request(2)
        assert (await clients[0].wait_for_response(2)).status == 200

    play(tmp_path, fleet(), scenario)


def test_an_idle_close_that_crosses_a_request_costs_one_new_connection(tmp_path: Path) -> None:
    async def over() -> None:
        operator = tmp_path / "operator.yaml"
        operator.write_text("clients: {rest_most_s: 0.4}\n")
        front = Front(tmp_path, {name: Cache(behaviour) for name, behaviour in fleet().items()})
        front.operator_file = operator
        try:
            await front.start()
            client = (await connect_idle_clients(front, 1))[0]
            await until(lambda: client.is_closed, "the idle time is over")
            client.send(PING)  # crosses the close
            again = (await connect_idle_clients(front, 1))[0]
            again.send_request(2)
            assert (await again.wait_for_response(2)).status == 200
            operator.write_text("clients: {rest_most_s: 0}\n")
            front.send_signal(signal.SIGHUP)
            await until(lambda: front.has_logged("clients changed"), "the new limit is in force")
            last = (await connect_idle_clients(front, 1))[0]
            await asyncio.sleep(0.8)
            assert not last.is_closed
        finally:
            await front.stop()

    asyncio.run(over())
