"""Requests that were read and that the module has not taken yet: taken back, waiting, out of time."""

from __future__ import annotations

import asyncio
import os
import socket
from pathlib import Path

import pytest

from quincepier import clock
from quincepier import interface as io
from quincepier.net.client_connection import ClientConnection
from quincepier.net.messages import RequestArrived
from quincepier.net.module import MAX_SLICE_NS, MIN_MESSAGES_PER_SLICE
from quincepier.net.read_scheduler import MAX_BULK_READS, MAX_TURN_NS, MIN_ACTIVE_READS
from tests.attemptkit import AdjustableClock
from tests.fcgikit import ABORT, encode_record, encode_request, params
from tests.frontkit import Inbox, open_request
from tests.limitkit import object_id, play_with_descriptors, stop_and_read_counters
from tests.standins import Behaviour, Front, ReceivedCommand, until
from tests.test_actors import make_module
from tests.test_crossings_client import push_response
from tests.test_idle import PING, Peer, make_manager, on_loop

FLOODERS, FLOOD_REQUESTS = 12, 200
USUAL_REQUESTS = 60


def flood(first: int, count: int = FLOOD_REQUESTS) -> bytes:
    """Whole requests, each with its abort right behind it."""
    pairs = [
        encode_request(n % 30 + 1, params(object_id(first + n), HTTP_X_ITEM=object_id(first + n)))
        + encode_record(ABORT, n % 30 + 1)
        for n in range(count)
    ]
    return b"".join(pairs)


def answer_hit(command: ReceivedCommand) -> None:
    command.respond_with_data()


# Taken back


def test_requests_taken_back_while_they_wait_leave_nothing_to_the_module() -> None:
    """Guards against a queue full of requests that nobody waits for, each with a message ahead of others."""

    async def scenario() -> None:
        manager = make_manager()
        peer = Peer(manager)
        peer.sock.send(flood(1, 60))
        await until(
            lambda: peer.connection.has_requested and peer.connection.socket_empty_at_ns > 0, "all is read"
        )
        assert (
            not len(manager.module)
            and not manager.bodies.used_bytes
            and not peer.connection.has_open_requests
        )
        peer.connection.close()

    on_loop(scenario)


def test_a_client_that_leaves_takes_its_waiting_requests_with_it() -> None:
    async def scenario() -> None:
        manager = make_manager()
        peer = Peer(manager)
        peer.sock.send(b"".join(encode_request(n, params(f"{n:016x}"), b"offer") for n in (1, 2, 3)))
        await until(lambda: len(manager.module.new_work) == 3, "the requests are read")
        taken = manager.module.take()
        assert isinstance(taken, RequestArrived)
        taken.request.number = 1
        waiting = [m.request for m in manager.module.new_work if isinstance(m, RequestArrived)]
        peer.sock.close()
        await until(lambda: peer.connection.is_closed, "the disconnect is noticed")
        assert not manager.module.new_work and not manager.bodies.used_bytes
        assert all(request.is_cancelled and request.is_finished for request in waiting)
        assert len(manager.module.queue) == 1 and taken.request.is_cancelled  # it is told of the taken one

    on_loop(scenario)


def test_nothing_more_is_read_from_a_client_that_has_left(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against turns spent on megabytes of requests whose client has closed its connection."""

    async def scenario() -> None:
        manager = make_manager()
        peer = Peer(manager)
        peer.sock.send(PING)
        await until(lambda: peer.answered(1), "the connection is up")
        reads = list[ClientConnection]()
        monkeypatch.setattr(ClientConnection, "receive", reads.append)
        peer.sock.send(flood(1, 60))
        peer.sock.close()
        await until(lambda: peer.connection.is_closed, "the disconnect is noticed")
        assert not len(manager.module) and not reads

    on_loop(scenario)


def test_a_client_that_half_closes_after_invalid_data_gets_what_it_is_owed() -> None:
    """Its connection is paused and has no open request: the response under way is written to its end."""

    async def scenario() -> None:
        manager, large = make_manager(), os.urandom(40_000) * 6
        peer = Peer(manager)
        peer.sock.send(encode_request(1, params("1" * 16)) + b"\xff" * 64)
        await until(lambda: bool(manager.module.new_work), "the request is read")
        message = manager.module.take()
        assert isinstance(message, RequestArrived)
        push_response(manager, message.request, large)
        await until(lambda: peer.connection.write_task is not None, "the socket is full")
        peer.sock.shutdown(socket.SHUT_WR)
        await asyncio.sleep(0.05)  # the front is told of it
        await until(lambda: peer.answered(1), "the response arrives")
        assert peer.reader.response_by_request[1].body == large

    on_loop(scenario)


def test_usual_requests_are_taken_beside_a_flood_of_requests_taken_back(tmp_path: Path) -> None:
    """The flood fills no queue: no usual request is turned away for it, and each has its final answer."""

    async def scenario(front: Front) -> None:
        loop, client = asyncio.get_running_loop(), await front.connect_client()
        socks = [socket.create_connection(front.address) for _ in range(FLOODERS)]

        async def send_flood(sock: socket.socket, first: int) -> None:
            data = flood(first)
            sock.setblocking(False)
            while True:
                await loop.sock_sendall(sock, data)

        tasks = [asyncio.create_task(send_flood(s, FLOOD_REQUESTS * n)) for n, s in enumerate(socks, 1)]
        for n in range(1, USUAL_REQUESTS + 1):
            client.send_request(n, "bid", HTTP_X_ITEM=object_id(n))
            assert (await client.wait_for_response(n)).protocol_status is not None
        for task, sock in zip(tasks, socks, strict=True):
            task.cancel()
            sock.close()
        counters = await stop_and_read_counters(front)
        assert "request_rejected_queue_full" not in counters, counters

    fleet: dict[str, Behaviour] = dict.fromkeys(("s-1", "p-1", "o-1"), answer_hit)
    play_with_descriptors(tmp_path, fleet, scenario, 128)


# Waiting for their turn


def test_the_module_handles_a_slice_of_time_and_not_of_messages(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a queue that grows because each long turn of other tasks buys a few messages only."""

    async def scenario() -> None:
        adjustable = AdjustableClock(monkeypatch)
        monkeypatch.setattr(clock, "now", lambda: adjustable.offset_ns)
        cost_ns, handled_by_turn = clock.MS // 20, list[int]()

        def script(event: io.Event) -> list[io.Action]:
            adjustable.advance(cost_ns)
            return [io.RejectRequest(event.request, 0)] if isinstance(event, io.RequestReceived) else []

        actor, router = make_module(script)
        for n in range(1000):
            assert actor.mailbox.try_push_new_work(RequestArrived(open_request(Inbox(), 1, f"{n:016x}")))
        actor.start()
        while len(router.events) < 1000:
            handled_by_turn.append(len(router.events))
            await asyncio.sleep(0)
        steps = [b - a for a, b in zip(handled_by_turn, handled_by_turn[1:], strict=False) if b > a]
        assert max(steps) <= MAX_SLICE_NS // cost_ns + 1 and len(steps) <= 1000 * cost_ns // MAX_SLICE_NS + 2
        cost_ns = MAX_SLICE_NS  # a slow router still gets through some messages each turn
        for n in range(2 * MIN_MESSAGES_PER_SLICE):
            assert actor.mailbox.try_push_new_work(RequestArrived(open_request(Inbox(), 1, f"{n:016x}")))
        actor.mailbox.wake()
        before = len(router.events)
        while len(router.events) == before:
            await asyncio.sleep(0)
        assert len(router.events) == before + MIN_MESSAGES_PER_SLICE
        actor.cancel()

    on_loop(scenario)


def test_connections_with_a_backlog_delay_others_by_few_reads(monkeypatch: pytest.MonkeyPatch) -> None:
    async def scenario() -> None:
        manager = make_manager()
        flooders, usual = [Peer(manager) for _ in range(20)], Peer(manager)
        for n, peer in enumerate(flooders):
            peer.sock.send(flood(n * 200, 150))
        await until(lambda: all(p.connection.has_requested for p in flooders), "each was read once")
        reads = list[ClientConnection]()
        receive = ClientConnection.receive

        def note_and_receive(connection: ClientConnection) -> None:
            reads.append(connection)
            receive(connection)

        monkeypatch.setattr(ClientConnection, "receive", note_and_receive)
        usual.sock.send(PING)
        await until(lambda: usual.connection in reads, "the usual client is read")
        assert reads.index(usual.connection) <= 2 * MAX_BULK_READS
        await until(lambda: not manager.reads.count_waiting(), "all is read in the end")
        for peer in (*flooders, usual):
            peer.connection.close()

    on_loop(scenario)


def test_a_turn_of_reads_ends_after_its_time_and_goes_on_in_order(monkeypatch: pytest.MonkeyPatch) -> None:
    async def scenario() -> None:
        adjustable = AdjustableClock(monkeypatch)
        monkeypatch.setattr(clock, "now", lambda: adjustable.offset_ns)
        manager, turns, cost_ns = make_manager(), list[list[int]](), MAX_TURN_NS // (2 * MIN_ACTIVE_READS)
        peers = [Peer(manager) for _ in range(4 * MIN_ACTIVE_READS)]
        number_by_connection = {peer.connection: n for n, peer in enumerate(peers)}

        def read_slowly(connection: ClientConnection) -> None:
            turns[-1].append(number_by_connection[connection])
            adjustable.advance(cost_ns)

        monkeypatch.setattr(ClientConnection, "receive", read_slowly)
        for peer in peers:
            manager.reads.enqueue(peer.connection)
        while manager.reads.count_waiting():
            turns.append([])
            await asyncio.sleep(0)
        assert [n for turn in turns for n in turn] == list(range(len(peers)))
        assert max(len(turn) for turn in turns) == 2 * MIN_ACTIVE_READS
        turns.clear()
        cost_ns = MAX_TURN_NS  # as if the process were not scheduled: some are read in each turn all the same
        for peer in peers:
            manager.reads.enqueue(peer.connection)
        while manager.reads.count_waiting():
            turns.append([])
            await asyncio.sleep(0)
        assert [len(turn) for turn in turns] == [MIN_ACTIVE_READS] * 4
        for peer in peers:
            peer.connection.close()

    on_loop(scenario)


# Out of time


def test_a_request_whose_time_ends_in_the_queue_is_answered_then(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against requests that are answered seconds late, when their turn comes behind a long queue."""

    async def scenario() -> None:
        adjustable = AdjustableClock(monkeypatch)
        monkeypatch.setattr(clock, "now", lambda: adjustable.offset_ns)
        answered_at = dict[int, int]()
        impatient = Inbox()

        def script(event: io.Event) -> list[io.Action]:
            adjustable.advance(5 * clock.MS)
            if not isinstance(event, io.RequestReceived):
                return []
            answered_at[event.request] = clock.now()
            return [io.RejectRequest(event.request, 0)]

        actor, _ = make_module(script)
        for n in range(900):
            patient = open_request(Inbox(), 1, f"{n:016x}", allowed_ns=30 * clock.SECOND)
            assert actor.mailbox.try_push_new_work(RequestArrived(patient))
        request = open_request(impatient, 1, "f" * 16, allowed_ns=300 * clock.MS)
        assert actor.mailbox.try_push_new_work(RequestArrived(request))
        actor.start()
        await until(lambda: len(answered_at) == 901, "all are answered")
        assert len(impatient.responses) == 1
        assert answered_at[request.number] <= 300 * clock.MS + 500 * clock.MS
        actor.cancel()

    on_loop(scenario)
