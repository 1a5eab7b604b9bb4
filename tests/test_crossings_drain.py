"""The end of a drain: clients that come, ask or take their answers in the moment in which the front ends."""

from __future__ import annotations

import asyncio
import os
import signal
import socket
from pathlib import Path

import pytest

from quincepier.net import clients
from quincepier.net.clients import ConnectionManager
from quincepier.net.listener import Listener
from quincepier.net.messages import Came
from quincepier.net.sockets import listen
from tests.fcgikit import Reader, begin, call, params
from tests.loopback import allocate_address
from tests.standins import Front, ReceivedCommand, play, until
from tests.test_crossings_client import LATE, Peer, between, give, taken
from tests.test_front import fleet
from tests.test_idle import PING, make_manager, on_loop


class Comer:
    """A client whom the system has let in; the front has not taken it yet."""

    def __init__(self, address: tuple[str, int], first: bytes) -> None:
        self.sock, self.reader = socket.create_connection(address), Reader()
        self.sock.sendall(first)
        self.sock.setblocking(False)

    async def to_the_end(self) -> None:
        loop = asyncio.get_running_loop()
        async with asyncio.timeout(20):
            while data := await loop.sock_recv(self.sock, 65_536):
                self.reader.feed(data)
        self.sock.close()


def listening(manager: ConnectionManager) -> tuple[Listener, tuple[str, int]]:
    sock = listen(allocate_address())
    return Listener(manager, sock), sock.getsockname()


def test_clients_let_in_by_the_system_as_the_listener_stops_are_taken() -> None:
    """More of them than are taken in a row; what they asked before goes to the module, none is reset."""

    async def scenario() -> None:
        manager = make_manager()
        listener, address = listening(manager)
        listener.start()
        await asyncio.sleep(0)
        jobs = [f"{n:016x}" for n in range(1, 21)]
        comers = [Comer(address, call(1, params(job))) for job in jobs]
        listener.stop()  # in the same turn
        assert sorted(taken(manager)) == jobs
        with pytest.raises(ConnectionRefusedError):
            socket.create_connection(address)
        while (message := manager.module.take()) is not None:
            assert isinstance(message, Came)
            message.request.number = 1  # the module has it
            give(manager, message.request, b"bytes")
        await asyncio.gather(manager.close_all(), *(comer.to_the_end() for comer in comers))
        assert [comer.reader.got[1].body for comer in comers] == [b"bytes"] * len(comers)

    on_loop(scenario)


def test_all_that_come_hold_no_small_write_back(monkeypatch: pytest.MonkeyPatch) -> None:
    """It is set before anything else is done with them, so also for one that is closed at once."""

    async def scenario() -> None:
        manager, seen = make_manager(), list[int]()
        listener, address = listening(manager)

        def admit(sock: socket.socket, host: str = "") -> None:
            seen.append(sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY))
            sock.close()

        monkeypatch.setattr(manager, "admit", admit)
        listener.start()
        comers = [Comer(address, PING) for _ in range(3)]
        await until(lambda: len(seen) == len(comers), "all have come")
        assert all(seen)
        listener.stop()

    on_loop(scenario)


@pytest.mark.parametrize("before", [b"", PING, begin(2)], ids=["new", "at rest", "half through"])
def test_what_the_last_read_brings_is_refused_and_not_sent_on(before: bytes) -> None:
    """Of a client that has asked for nothing yet, of one at rest, and of one that is half through another."""

    async def scenario() -> None:
        manager = make_manager()
        peer = Peer(manager)
        if before:
            peer.send(before)
            await until(lambda: peer.at_front.asked or peer.at_front.session is not None, "it is read")
        late = call(3, params("3" * 16))

        async def end() -> None:
            peer.send(late)
            await manager.close_all()  # in the same turn

        await asyncio.gather(end(), peer.to_the_end())
        assert peer.reader.got[3].status == 503 and not taken(manager)
        assert not manager.connections and not manager.lingering.open

    on_loop(scenario)


def test_what_waits_for_the_module_at_the_end_is_refused_and_not_sent_on() -> None:
    """The front stood still over its last moments: what was read just before has not had its turn."""

    async def scenario() -> None:
        manager = make_manager()
        peer = Peer(manager)
        peer.send(LATE)
        peer.at_front.receive()
        (message,) = manager.module.last
        assert isinstance(message, Came) and not message.request.is_finished
        await asyncio.gather(manager.close_all(), peer.to_the_end())
        assert message.request.is_finished and peer.reader.got[2].status == 503

    on_loop(scenario)


@pytest.mark.parametrize("end", [False, True])
def test_an_answer_half_out_goes_out_whole(end: bool, monkeypatch: pytest.MonkeyPatch) -> None:
    """A writer is at work on it as the drain begins, or the front's end; the client reads on only then."""

    async def scenario() -> None:
        monkeypatch.setattr(clients, "FLUSH", 20.0)  # however busy the machine is
        manager, large = make_manager(), os.urandom(40_000) * 100
        peer = Peer(manager)
        peer.ours.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 1 << 16)
        peer.send(LATE)
        await until(lambda: bool(taken(manager)), "it is asked")
        message = manager.module.take()
        assert isinstance(message, Came)
        message.request.number = 1
        give(manager, message.request, large)
        await until(lambda: peer.at_front.writer is not None, "the socket is full")
        between(manager, lambda: peer.send(call(4, params("4" * 16))))
        if end:
            await asyncio.gather(manager.close_all(), peer.to_the_end())
        else:
            manager.drain()
            assert not peer.at_front.closed
            await peer.to_the_end()
        assert peer.reader.got[2].body == large and set(peer.reader.got) == {2}
        assert not manager.connections and not taken(manager)

    on_loop(scenario)


def test_nothing_lingers_past_the_end() -> None:
    """A client that never closes its side, and one that never reads: both sockets are let go of."""

    async def scenario() -> None:
        manager, large = make_manager(), os.urandom(40_000) * 6
        rests, never = Peer(manager), Peer(manager)
        await rests.asked()
        never.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        never.ours.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
        never.send(LATE)
        await until(lambda: bool(taken(manager)), "it is asked")
        message = manager.module.take()
        assert isinstance(message, Came)
        give(manager, message.request, large)
        await until(lambda: never.at_front.writer is not None, "the socket is full")
        async with asyncio.timeout(20):
            await manager.close_all()
        assert not manager.connections and not manager.lingering.open
        await until(lambda: rests.ours.fileno() == never.ours.fileno() == -1, "both are let go of")
        assert manager.descriptors.clients == manager.descriptors.lingering == 0

    on_loop(scenario)


def test_a_front_that_drains_stops_accepting_and_finishes_what_is_open(tmp_path: Path) -> None:
    """Clients come on for a part of a second; later ones find nobody there, and go elsewhere at once."""
    held: list[ReceivedCommand] = []

    async def scenario(front: Front) -> None:
        first = await front.connect_client()
        first.send_request(1)
        await until(lambda: len(held) == 1, "it is out")
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
