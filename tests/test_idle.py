"""Idle connections: at rest next to nothing; storms of wakes and closes, limits, standstill, signals."""

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
from quincepier.clients.section import ClientsSection, Places
from quincepier.memory.buffer_pool import BufferPool, PooledBody
from quincepier.memory.memory_budget import MemoryBudget
from quincepier.net.actor import Mailbox
from quincepier.net.client import ClientConnection
from quincepier.net.clients import READS, WAKES, ConnectionManager
from quincepier.net.means import Means
from quincepier.net.messages import Answer, Came, ToModule
from quincepier.net.sockets import Descriptors
from tests.fcgikit import Reader, begin, call, params, rec
from tests.frontkit import make_config
from tests.standins import Cache, Client, Front, play, until
from tests.test_front import fleet

PING = call(1, {"SCRIPT_NAME": "/ping"})


def make_manager(sockets: int = 1024, places: Places | None = None) -> ConnectionManager:
    checks, pool = Checks(), BufferPool(8)
    module: Mailbox[ToModule] = Mailbox(4096)
    budget = MemoryBudget(max_buffers=8, max_body_bytes=1 << 20, max_open_requests=4096)
    means = Means(make_config(), checks, pool, Descriptors(sockets), module, budget)
    return ConnectionManager(means, lambda: True, places)


class Peer:
    """The other end of a connection of the manager."""

    def __init__(self, manager: ConnectionManager) -> None:
        ours, self.sock = socket.socketpair()
        ours.setblocking(False)
        self.sock.setblocking(False)
        self.reader = Reader()
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
        return request in self.reader.got and self.reader.got[request].ended is not None


def on_loop(scenario: object) -> None:
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(scenario())  # type: ignore[operator]


def test_at_rest_a_connection_holds_neither_task_nor_buffer_nor_decoder() -> None:
    async def scenario() -> None:
        manager = make_manager()
        peers = [Peer(manager) for _ in range(200)]
        for peer in peers:
            peer.sock.send(PING)
        await until(lambda: all(peer.answered(1) for peer in peers), "all are answered")
        assert not manager.in_session and all(peer.connection.session is None for peer in peers)
        assert len(asyncio.all_tasks()) == 1 and manager.pool.used == 1  # the buffer all are read into
        manager.sweep(clock.now())
        for step in range(1, 40):  # the first deadlines pass and none is set again
            manager.sweep(clock.now() + step * clock.SECOND // 10)
        assert len(manager.wheel) == 0 and len(manager.connections) == 200
        for peer in peers:
            peer.connection.close()
        assert not manager.connections and manager.descriptors.clients == 0 and len(manager.registry) == 0

    on_loop(scenario)


@pytest.mark.parametrize(("rested", "slice"), [(False, READS), (True, WAKES)])
def test_a_storm_is_read_in_slices_and_what_else_the_loop_has_comes_between(rested: bool, slice: int) -> None:
    async def scenario() -> None:
        manager = make_manager()
        peers = [Peer(manager) for _ in range(400)]
        for peer in peers:
            peer.connection.moved -= rested * 60 * clock.SECOND
        await asyncio.sleep(0)
        for peer in peers:
            peer.sock.send(PING)
        seen, loop = list[int](), asyncio.get_running_loop()

        def look() -> None:
            seen.append(sum(peer.connection.asked for peer in peers))
            if seen[-1] < len(peers):
                loop.call_soon(look)

        look()
        await until(lambda: all(peer.answered(1) for peer in peers), "all are answered")
        steps = [b - a for a, b in zip(seen, seen[1:], strict=False)]
        assert max(steps) <= 2 * slice and sum(step > 0 for step in steps) >= len(peers) // (2 * slice)
        assert (manager.waking if rested else manager.active).longest > 0
        assert not manager.waking.line and not manager.active.line
        for peer in peers:
            peer.connection.close()

    on_loop(scenario)


def test_who_sends_row_after_row_gets_few_buffers_of_it_read_before_others_have_their_turn() -> None:
    """Else a few that flood keep usual requests waiting for longer than these can wait."""

    async def scenario() -> None:
        manager = make_manager()
        floods, usual = [Peer(manager) for _ in range(4)], Peer(manager)
        rows = b"".join(call(n, params(f"{n:016x}")) for n in range(1, 300))  # no more than 32 may be open
        for flood in floods:
            flood.sock.send(rows)
        usual.sock.send(PING)
        read, before, plain = dict.fromkeys(floods, 0), list[int](), ClientConnection._received

        def received(self: ClientConnection, size: int) -> None:
            for flood in floods:
                read[flood] += size * (flood.connection is self)
            if self is usual.connection:
                before.append(max(read.values()))
            plain(self, size)

        with pytest.MonkeyPatch.context() as patch:
            patch.setattr(ClientConnection, "_received", received)
            await until(lambda: usual.connection.asked, "the usual one is read")
        # who came first in this turn stands before the others in the next
        assert before[0] <= 2 * len(manager.scratch) < len(rows)
        for peer in (*floods, usual):
            peer.connection.close()

    on_loop(scenario)


def test_who_is_at_work_is_served_before_a_crowd_that_wakes() -> None:
    async def scenario() -> None:
        manager = make_manager()
        crowd, few = [Peer(manager) for _ in range(400)], [Peer(manager) for _ in range(3)]
        for peer in crowd:
            peer.connection.moved -= 60 * clock.SECOND
            peer.sock.send(PING)
        for peer in few:
            peer.sock.send(PING)
        while not all(peer.connection.asked for peer in few):
            await asyncio.sleep(0)  # turn by turn: in the pauses of `until` a quick machine reads the crowd
        assert sum(peer.connection.asked for peer in crowd) < 40
        await until(lambda: all(peer.answered(1) for peer in crowd), "the crowd is served as well")
        for peer in (*crowd, *few):
            peer.connection.close()

    on_loop(scenario)


def test_the_time_that_a_request_stood_in_line_counts() -> None:
    async def scenario() -> None:
        manager = make_manager()
        peers = [Peer(manager) for _ in range(3 * READS)]
        await asyncio.sleep(0)
        for peer in peers:
            peer.sock.send(call(1, params("1" * 16)))
        await until(lambda: len(manager.module.last) == len(peers), "all are read")
        came = [
            message.request.received_at_ns for message in manager.module.last if isinstance(message, Came)
        ]
        assert max(came) - min(came) < clock.now() - min(came)  # those read last were there before
        first, last = came[READS - 1], came[READS:]
        assert sum(at < first + (clock.now() - first) // 2 for at in last) > READS
        for peer in peers:
            peer.connection.close()

    on_loop(scenario)


def test_wake_and_close_in_one_turn_and_half_of_all_closing_at_once() -> None:
    async def scenario() -> None:
        manager = make_manager()
        peers = [Peer(manager) for _ in range(300)]
        for peer in peers[::2]:
            peer.sock.send(call(1, params("1" * 16)))
            peer.sock.close()
        for peer in peers[1::2]:
            peer.sock.send(PING)
        await until(lambda: len(manager.connections) == 150, "half are gone")
        await until(lambda: all(peer.answered(1) for peer in peers[1::2]), "the others are answered")
        assert manager.descriptors.clients == len(manager.registry) == 150 and not manager.bodies
        assert "exception_in_client_actor" not in manager.checks.counts
        for peer in peers[1::2]:
            peer.connection.close()

    on_loop(scenario)


def test_a_client_that_asks_and_resets_is_gone() -> None:
    """The reset comes with bytes unread: the loop tells of it once, and then no more."""

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
                peer.send(call(1, params("1" * 16)))
                peer.close()
        await until(lambda: not manager.connections, "all are gone")
        assert manager.descriptors.clients == 0

    on_loop(scenario)


def test_a_pool_used_up_keeps_nobody_from_asking() -> None:
    async def scenario() -> None:
        manager = make_manager()
        assert (
            manager.pool.acquire(manager.pool.max_buffers - manager.pool.used) is not None
            and manager.pool.acquire() is None
        )
        peer = Peer(manager)
        peer.sock.send(PING)
        await until(lambda: peer.answered(1), "it is answered")
        peer.connection.close()

    on_loop(scenario)


def test_half_a_record_then_silence_is_closed_by_time_and_standstill_counts_for_nobody() -> None:
    async def scenario() -> None:
        manager = make_manager()
        half, silent, usual = Peer(manager), Peer(manager), Peer(manager)
        half.sock.send(begin(1) + rec(4, 1)[:5])
        usual.sock.send(PING)
        await until(lambda: usual.answered(1) and half.connection.session is not None, "they are read")
        now = clock.now()
        for _ in range(5):  # the front stood still five times for a minute
            now += 60 * clock.SECOND
            manager.sweep(now)
        assert {half.connection, silent.connection, usual.connection} == manager.connections
        for _ in range(12):
            now += clock.SECOND // 5
            manager.sweep(now)
        assert manager.connections == {usual.connection}
        assert manager.checks.counts["client_closed_partial_request"] == 0  # it never asked whole
        assert manager.checks.counts["client_closed_no_request"] == 2
        usual.sock.send(begin(2) + rec(4, 2)[:5])
        await until(lambda: usual.connection.session is not None, "it is read")
        for _ in range(14):
            now += clock.SECOND // 5
            manager.sweep(now)
        assert not manager.connections and manager.checks.counts["client_closed_partial_request"] == 1

    on_loop(scenario)


def test_answers_that_the_socket_does_not_take_go_on_later_and_an_untaken_last_one_is_cut() -> None:
    async def scenario() -> None:
        manager = make_manager()
        peer, large = Peer(manager), os.urandom(40_000) * 6
        peer.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        peer.sock.send(b"".join(call(n, params(f"{n:016x}")) for n in range(1, 33)))
        await until(lambda: len(manager.module.last) == 32, "all are asked")
        manager.pool.max_buffers = 1000
        while (message := manager.module.take()) is not None:
            assert isinstance(message, Came)
            body = PooledBody.allocate(manager.pool, len(large))
            assert body is not None
            body.append(large)
            message.request.receiver.push(Answer(message.request, 200, body))
        await until(lambda: peer.connection.writer is not None, "the socket is full")
        assert peer.connection.owed
        await until(lambda: all(peer.answered(n) for n in range(1, 33)), "all are taken in the end")
        assert all(got.body == large for got in peer.reader.got.values()) and manager.pool.used == 1
        await until(lambda: peer.connection.session is None, "it rests")
        peer.sock.send(call(40, params("f" * 16), keep=False))
        await until(lambda: bool(manager.module.last), "the last is asked")
        message = manager.module.take()
        assert isinstance(message, Came)
        body = PooledBody.allocate(manager.pool, len(large))
        assert body is not None
        body.append(large)
        message.request.receiver.push(Answer(message.request, 200, body))
        await until(lambda: peer.connection.writer is not None, "the socket is full")
        now = clock.now()
        while not peer.connection.closed:
            now += clock.SECOND // 5
            manager.sweep(now)
        await until(lambda: not manager.connections, "its socket is closed behind its writer")
        assert manager.pool.used == 1 and manager.descriptors.clients == 0

    on_loop(scenario)


def test_a_large_answer_that_is_there_first_takes_turns_with_small_ones() -> None:
    async def scenario() -> None:
        manager = make_manager()
        manager.pool.max_buffers = 1000
        peer, sizes = Peer(manager), {1: 240_000, 2: 5, 3: 70_000, 4: 5}
        peer.sock.send(b"".join(call(n, params(f"{n:016x}")) for n in sizes))
        await until(lambda: len(manager.module.last) == 4, "all are asked")
        while (message := manager.module.take()) is not None:  # all in one turn, the largest first
            assert isinstance(message, Came)
            size = sizes[message.request.stream_id]
            body = PooledBody.allocate(manager.pool, size)
            assert body is not None
            body.append(bytes(size))
            message.request.receiver.push(Answer(message.request, 200, body))
        await until(lambda: all(peer.answered(n) for n in sizes), "all are answered")
        assert peer.reader.order == [2, 4, 3, 1]
        assert [len(peer.reader.got[n].body) for n in sizes] == [*sizes.values()]
        peer.connection.close()

    on_loop(scenario)


def test_at_the_limit_a_crowd_of_one_network_does_not_push_out_another() -> None:
    async def scenario() -> None:
        section = ClientsSection(each=0, rest_least_ms=0, slack=1)
        manager = make_manager(64, Places(section))
        most, few = manager.descriptors.clients_most, list[ClientConnection]()

        def come(host: str) -> ClientConnection | None:
            ours, theirs = socket.socketpair()
            ours.setblocking(False)
            kept.append(theirs)
            return manager.admit(ours, host)

        kept: list[socket.socket] = []
        for n in range(4):
            connection = come(f"192.0.2.{n}")
            assert connection is not None
            few.append(connection)
            manager.registry.asked(connection)
            manager.registry.rests(connection, 0)
        for n in range(5 * most):
            connection = come(f"198.51.100.{n % 200}")
            if connection is not None:
                manager.registry.asked(connection)
                manager.registry.rests(connection, n)
        assert len(manager.connections) == most == manager.descriptors.clients
        assert not any(connection.closed for connection in few)
        for connection in list(manager.connections):
            connection.close()

    on_loop(scenario)


def test_what_the_front_itself_refuses_is_told_different_times_to_come_back() -> None:
    manager = make_manager()
    told = {manager.wait_ms() for _ in range(50)}
    assert len(told) > 20 and all(w is not None and 0.6 * 500 <= w <= 500 for w in told)
    assert {make_manager().wait_ms() for _ in range(3)} == {make_manager().wait_ms()}  # from the front's seed


async def idle(front: Front, count: int) -> list[Client]:
    clients = [await front.connect_client() for _ in range(count)]
    for client in clients:
        client.send(PING)
    for client in clients:
        assert (await client.wait_for_response(1)).status == 200
    return clients


def test_all_of_them_wake_while_the_active_few_are_served(tmp_path: Path) -> None:
    async def scenario() -> None:
        front = Front(tmp_path, {name: Cache(behaviour) for name, behaviour in fleet().items()})
        try:
            await front.start(limits={"cores": 1.0, "memory_mb": 32, "sockets": 256})
            clients = await idle(front, 100)
            few = await front.connect_client()
            front.send_signal(signal.SIGHUP)
            await until(lambda: front.has_logged("configuration reloaded"), "SIGHUP with all of them idle")
            for n, client in enumerate(clients):
                client.send(call(2, params(f"{n + 100:016x}", HTTP_X_N=str(n % 5))))
            for n in range(2, 12):
                few.send_request(
                    n, "bid", b"offer", HTTP_X_JOB_ID=f"{n + 900:016x}"
                )  # the highest tier goes on
                assert (await few.wait_for_response(n)).status == 200
            statuses = [(await client.wait_for_response(2)).status for client in clients]
            assert set(statuses) <= {200, 503} and not any(client.is_closed for client in clients)
            front.send_signal(signal.SIGTERM)
            assert await front.wait_for_exit() == 0
            assert not any("exception" in line for line in front.log_lines)
        finally:
            await front.stop()

    asyncio.run(scenario())


@pytest.mark.parametrize("stand", [0.0, 2.2])
def test_a_standstill_of_the_process_ends_nobody(tmp_path: Path, stand: float) -> None:
    async def scenario(front: Front) -> None:
        rested = await idle(front, 30)
        half = await front.connect_client()
        half.send(begin(1) + rec(4, 1, b"")[:5])
        new = await front.connect_client()
        if stand:
            front.send_signal(signal.SIGSTOP)
            await asyncio.sleep(stand)
            front.send_signal(signal.SIGCONT)
        new.send(PING)
        assert (await new.wait_for_response(1)).status == 200
        assert not half.is_closed and not any(client.is_closed for client in rested)
        rested[0].send_request(2)
        assert (await rested[0].wait_for_response(2)).status == 200

    play(tmp_path, fleet(), scenario)


def test_a_close_for_long_rest_that_crosses_a_request_costs_one_new_connection(tmp_path: Path) -> None:
    async def over() -> None:
        operator = tmp_path / "operator.yaml"
        operator.write_text("clients: {rest_most_s: 0.4}\n")
        front = Front(tmp_path, {name: Cache(behaviour) for name, behaviour in fleet().items()})
        front.operator_file = operator
        try:
            await front.start()
            client = (await idle(front, 1))[0]
            await until(lambda: client.is_closed, "it rested for too long")
            client.send(PING)  # crosses the close
            again = (await idle(front, 1))[0]
            again.send_request(2)
            assert (await again.wait_for_response(2)).status == 200
            operator.write_text("clients: {rest_most_s: 0}\n")
            front.send_signal(signal.SIGHUP)
            await until(lambda: front.has_logged("clients changed"), "the new bound holds")
            last = (await idle(front, 1))[0]
            await asyncio.sleep(0.8)
            assert not last.is_closed
        finally:
            await front.stop()

    asyncio.run(over())
