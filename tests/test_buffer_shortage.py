"""Large responses to clients that read, while the pool has buffers for a few of them at a time."""

from __future__ import annotations

import asyncio
import os
import socket
from pathlib import Path

import pytest

from quincepier import clock
from quincepier import interface as io
from quincepier.checks import Checks
from quincepier.memory.buffer_pool import BUFFER_SIZE, BufferPool, PooledBody
from quincepier.net.body_allocator import BodyAllocator
from quincepier.net.connection_manager import MIN_BUFFER_STALL_S, MIN_STALL_S, ConnectionManager
from quincepier.net.messages import RequestArrived, Response
from tests.attemptkit import VIDEO, AdjustableClock, FrontHarness, run_on_uvloop
from tests.fcgikit import encode_request, params
from tests.limitkit import object_id, play_with_descriptors
from tests.rig import MS, SECOND, RouterBench, attempts
from tests.standins import Behaviour, Front, ReceivedCommand, until
from tests.test_idle import PING, Peer, make_manager, on_loop

CLIENTS, REQUESTS_EACH = 4, 32
LARGE = os.urandom(40_000) * 6
TICK_NS = clock.SECOND // 10


def answer_large(command: ReceivedCommand) -> None:
    command.respond_with_data(LARGE)


def test_clients_that_read_get_all_responses_though_buffers_hold_a_few(tmp_path: Path) -> None:
    """Guards against the close of connections whose clients read, while the front is behind in writing.

    Each client has 32 requests open at once for objects of 240,000 bytes; buffers hold some tenth of them.
    """

    async def scenario(front: Front) -> None:
        clients = [await front.connect_client() for _ in range(CLIENTS)]
        for c, client in enumerate(clients):
            requests = [
                encode_request(
                    n, params(f"{c:08x}{n:08x}", "bid", HTTP_X_ITEM=object_id(n), HTTP_X_ALLOW_MS="6000")
                )
                for n in range(1, REQUESTS_EACH + 1)
            ]
            client.send(b"".join(requests))
        for client in clients:
            responses = [await client.wait_for_response(n) for n in range(1, REQUESTS_EACH + 1)]
            assert not client.is_closed
            assert all(r.status == 200 and r.body == LARGE for r in responses)
        assert not front.has_logged("buffer_limit")

    fleet: dict[str, Behaviour] = dict.fromkeys(("s-1", "p-1", "o-1"), answer_large)
    play_with_descriptors(tmp_path, fleet, scenario, 64, memory_mb=44)


# Clients, while responses of caches wait for buffers


class Shortage:
    """A manager whose pool is used up, and a response that waits for a buffer."""

    def __init__(self, manager: ConnectionManager) -> None:
        self.manager, self.allocator = manager, manager.dependencies.body_allocator
        free = manager.pool.max_buffers - manager.pool.used
        self.held = manager.pool.acquire(free)
        self.waiter = self.allocator.enqueue(BUFFER_SIZE)
        self.now = clock.now()

    def sweep_for(self, seconds: float) -> None:
        """Sweep and free buffers as the front does, every 0.1 s, with the given time passing."""
        for _ in range(round(seconds * clock.SECOND / TICK_NS)):
            self.now += TICK_NS
            self.manager.free_buffers(self.now)
            self.manager.sweep(self.now)

    def count(self, event: str) -> int:
        return self.manager.checks.counts[event]


def take_requests(manager: ConnectionManager) -> list[RequestArrived]:
    messages = list[RequestArrived]()
    while (message := manager.module.take()) is not None:
        assert isinstance(message, RequestArrived)
        messages.append(message)
    return messages


async def receive_requests(manager: ConnectionManager, peer: Peer, count: int) -> list[RequestArrived]:
    """Let a client send requests; return them as the module takes them."""
    peer.sock.send(b"".join(encode_request(n, params(f"{n:016x}")) for n in range(1, count + 1)))
    await until(lambda: len(manager.module.new_work) == count, "all requests are read")
    return take_requests(manager)


def respond(manager: ConnectionManager, message: RequestArrived) -> None:
    manager.pool.max_buffers += -(-len(LARGE) // BUFFER_SIZE)
    body = PooledBody.allocate(manager.pool, len(LARGE))
    assert body is not None
    body.append(LARGE)
    message.request.is_finished = True
    message.request.receiver.push(Response(message.request, 200, body))


def test_a_client_that_waits_for_the_fronts_own_turn_is_no_stalled_one() -> None:
    """The event loop does not run between the responses and the sweeps, so nothing of them is written."""

    async def scenario() -> None:
        manager, peer = make_manager(), None
        peer = Peer(manager)
        messages = await receive_requests(manager, peer, 4)
        for message in messages[:3]:
            respond(manager, message)
        shortage = Shortage(manager)
        shortage.sweep_for(MIN_STALL_S + 1)
        assert not peer.connection.is_closed and not shortage.waiter.done()
        await until(lambda: all(peer.answered(n) for n in (1, 2, 3)), "the responses arrive whole")
        assert all(peer.reader.response_by_request[n].body == LARGE for n in (1, 2, 3))
        assert (await shortage.waiter) is not None  # buffers that were written are handed on
        assert not [kind for kind in manager.checks.counts if "buffer_limit" in kind]
        peer.connection.close()

    on_loop(scenario)


async def stall(manager: ConnectionManager, peer: Peer, requests: int) -> list[RequestArrived]:
    """Let a client that reads nothing have large responses to all its requests but the last two."""
    peer.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    messages = await receive_requests(manager, peer, requests)
    for message in messages[:-2]:
        respond(manager, message)
    await until(lambda: peer.connection.write_task is not None, "the socket takes no more")
    respond(manager, messages[-2])  # nothing of this one is written
    return messages


@pytest.mark.parametrize("sends_on", [False, True])
def test_a_client_that_reads_nothing_gives_its_buffers_up_in_two_steps(sends_on: bool) -> None:
    """What is not begun fails; its connection is closed once no request is open there."""

    async def scenario() -> None:
        manager = make_manager()
        peer = Peer(manager)
        messages = await stall(manager, peer, 8)
        shortage = Shortage(manager)
        if sends_on:  # what it sends is no sign that it reads
            peer.sock.send(PING)
            await asyncio.sleep(0.01)
        shortage.sweep_for(MIN_BUFFER_STALL_S - 0.1)
        assert not shortage.waiter.done() and not shortage.count("responses_failed_buffer_limit")
        shortage.sweep_for(0.3)
        assert shortage.waiter.done() and shortage.count("responses_failed_buffer_limit") == 1
        shortage.allocator.enqueue(1000 * BUFFER_SIZE)  # more than this client could release
        shortage.sweep_for(2 * MIN_STALL_S)
        assert not peer.connection.is_closed  # a request is open there
        messages[-1].request.is_finished = True
        shortage.sweep_for(0.2)
        assert peer.connection.is_closed and shortage.count("slow_client_closed_buffer_limit") == 1

    on_loop(scenario)


@pytest.mark.parametrize("reads", [False, True])
def test_a_front_that_is_late_asks_the_system_whether_its_client_has_read(reads: bool) -> None:
    """Its turns are 0.6 s apart: who reads nothing is found within three of them, and no one else is."""

    async def scenario() -> None:
        manager = make_manager()
        peer = Peer(manager)
        await stall(manager, peer, 8)
        shortage = Shortage(manager)
        for _ in range(3):
            shortage.now += 600 * clock.MS
            if reads:
                peer.read()  # the event loop does not run, so nothing more is written
            manager.free_buffers(shortage.now)
        assert shortage.waiter.done() is not reads
        assert shortage.count("responses_failed_buffer_limit") == (0 if reads else 1)
        peer.connection.close()

    on_loop(scenario)


# The order of those who wait


def make_allocator(buffers: int) -> BodyAllocator:
    return BodyAllocator(BufferPool(buffers), Checks())


def test_bodies_are_given_out_in_order_and_none_is_overtaken() -> None:
    async def scenario() -> None:
        allocator = make_allocator(4)
        first, second = allocator.try_allocate(3 * BUFFER_SIZE), allocator.try_allocate(BUFFER_SIZE)
        assert first is not None and second is not None
        large, small = allocator.enqueue(4 * BUFFER_SIZE), allocator.enqueue(BUFFER_SIZE)
        first.release()
        assert not large.done() and not small.done() and allocator.try_allocate(BUFFER_SIZE) is None
        second.release()
        body = await allocator.wait(large)
        assert body is not None and not small.done()
        body.release()
        assert (await allocator.wait(small)) is not None and not allocator.is_short

    on_loop(scenario)


def test_a_wait_that_is_withdrawn_or_cancelled_leaves_no_buffer_behind() -> None:
    async def scenario() -> None:
        allocator = make_allocator(2)
        held = allocator.try_allocate(2 * BUFFER_SIZE)
        assert held is not None
        withdrawn, next_one = allocator.enqueue(2 * BUFFER_SIZE), allocator.enqueue(BUFFER_SIZE)
        cancelled = asyncio.ensure_future(allocator.wait(allocator.enqueue(BUFFER_SIZE)))
        await asyncio.sleep(0)
        allocator.withdraw(withdrawn)
        assert await allocator.wait(withdrawn) is None
        held.release()  # both get their buffers; the task is cancelled before it has run again
        cancelled.cancel()
        with pytest.raises(asyncio.CancelledError):
            await cancelled
        body = await allocator.wait(next_one)
        assert body is not None and allocator.pool.used == 1 and not allocator.is_short
        body.release()
        assert allocator.pool.used == 0

    on_loop(scenario)


# Caches, while their responses wait


def test_a_response_that_waits_for_buffers_is_no_latency_of_its_cache(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def scenario() -> None:
        adjustable = AdjustableClock(monkeypatch)
        front = FrontHarness(("s-1", "p-1", "o-1"))
        held = front.pool.acquire(front.pool.max_buffers - 2)
        assert held is not None
        request = front.submit(VIDEO)
        wire = await front.wait_for_command(request)
        wire.respond(request.job_id, LARGE[:60_000])
        allocator = front.module.dependencies.body_allocator
        await until(lambda: allocator.is_short, "the response waits")
        adjustable.advance(2 * clock.SECOND)
        other = front.submit(VIDEO, object_id=9)
        await front.wait_for_command(other)  # other connections go on
        front.sweep()
        front.pool.release(held)
        assert await front.wait_for_status(request) == 200
        (ended,) = [e for e in front.events if isinstance(e, io.AttemptCompleted)]
        assert ended.outcome is io.AttemptOutcome.OK and ended.elapsed < clock.SECOND
        assert any(isinstance(e, io.ResponseDelayed) for e in front.events)
        front.disconnect_client(other)
        await front.assert_settled()

    run_on_uvloop(scenario)


def test_a_response_that_waits_is_dropped_once_its_client_has_left() -> None:
    """Its connection goes on to be read, so it neither holds others up nor counts as silent."""

    async def scenario() -> None:
        front = FrontHarness(("s-1", "p-1", "o-1"))
        held = front.pool.acquire(front.pool.max_buffers - 2)
        assert held is not None
        request = front.submit(VIDEO)
        wire = await front.wait_for_command(request)
        wire.respond(request.job_id, LARGE[:60_000])
        allocator = front.module.dependencies.body_allocator
        await until(lambda: allocator.is_short, "the response waits")
        front.disconnect_client(request)
        await until(lambda: not allocator.is_short, "nobody waits any more")
        (connection,) = front.connections()
        await until(lambda: connection.is_idle, "the response is read to its end")
        assert not connection.is_retired
        assert await front.serve_one(VIDEO) is wire
        front.pool.release(held)
        await front.assert_settled()

    run_on_uvloop(scenario)


@pytest.mark.parametrize("responds", [False, True])
def test_machines_whose_responses_wait_for_buffers_are_not_ejected_as_silent(responds: bool) -> None:
    bench = RouterBench()
    sent = [attempt for n in (1, 2) for attempt in attempts(bench.send_request(n))]
    assert len({attempt.cache for attempt in sent}) == 1
    bench.advance(300 * MS)
    if responds:
        for n in (1, 2):
            bench.handle(io.ResponseDelayed(n, 0))
    bench.advance(3 * SECOND)
    upstream = bench.router.placement.table.by_id[sent[0].cache]
    assert upstream.is_ejected is not responds
