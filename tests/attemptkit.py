"""Harness for tests of attempts: a front's actors against stand-in machines over real sockets."""

from __future__ import annotations

import asyncio
import copy
import socket
import struct
import time
from collections.abc import Awaitable, Callable
from typing import Any

import pytest
import uvloop

from quincepier import clock
from quincepier import interface as io
from quincepier.checks import Checks
from quincepier.config import FrontConfig
from quincepier.memory.buffer_pool import BufferPool
from quincepier.memory.memory_budget import MemoryBudget
from quincepier.memory.open_requests import OpenRequest
from quincepier.net import sockets
from quincepier.net.cache import CacheActor
from quincepier.net.connection import Connection
from quincepier.net.messages import ClientDisconnected, RequestArrived
from quincepier.net.module import ModuleActor
from quincepier.wire.changelog import read_changes
from tests.frontkit import SETTINGS, Inbox, host, make_config, open_request
from tests.standins import until

# Request classes of the configuration; a bid must not be retried and goes to the origin.
VIDEO, IMAGE, BID = range(3)
KINDS = {"p": "parent", "o": "origin"}
LARGE = b"b" * 48_000


def run_on_uvloop(scenario: Callable[[], Awaitable[None]]) -> None:
    """Run a scenario on uvloop, as in production."""

    async def run() -> None:
        await scenario()

    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(run())


class Wire:
    """A stand-in's end of one connection, read only by `poll`, and not while reading is paused."""

    def __init__(self, sock: socket.socket) -> None:
        self.sock, self.received, self.is_reading_paused, self.is_closed = sock, b"", False, False
        sock.setblocking(False)

    def poll(self) -> None:
        while not (self.is_reading_paused or self.is_closed):
            try:
                data = self.sock.recv(65536)
            except BlockingIOError:
                return
            except OSError:
                data = b""
            self.received += data
            self.is_closed = not data

    def send(self, text: bytes) -> None:
        assert self.sock.send(text) == len(text)

    def respond(self, job: str, body: bytes = b"bytes", word: str = "data") -> None:
        self.send(encode_response(job, body, word))

    def reset(self) -> None:
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        self.close()

    def close(self) -> None:
        self.is_closed = True
        self.sock.close()


def encode_response(job: str, body: bytes = b"bytes", word: str = "data") -> bytes:
    fields = "tag=4be0c1927d55a6f3,minted=1764576000123,how=local" if word == "data" else "-"
    return f"{job} {word} {fields} {len(body)}\r\n".encode() + body + b"\r\n"


class Machine:
    """A stand-in machine that accepts connections in `poll`; `slim`: their receive buffers are small."""

    def __init__(self, slim: bool = False) -> None:
        self.sock = socket.socket()
        if slim:
            self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        self.sock.bind(("127.0.0.1", 0))
        self.sock.listen(64)
        self.sock.setblocking(False)
        self.wires: list[Wire] = []
        self.is_reading_paused = False  # for connections accepted from now on

    @property
    def address(self) -> str:
        return "{}:{}".format(*self.sock.getsockname())

    def poll(self) -> None:
        while True:
            try:
                self.wires.append(Wire(self.sock.accept()[0]))
                self.wires[-1].is_reading_paused = self.is_reading_paused
            except BlockingIOError:
                break
        for wire in self.wires:
            wire.poll()


class FrontHarness:
    """A front's actors with stand-in machines; each client is an inbox."""

    def __init__(
        self,
        names: tuple[str, ...],
        classes: dict[int, dict[str, Any]] | None = None,
        limits: dict[str, Any] | None = None,
        purged_ms: tuple[int, ...] = (),
        born_ms: int = 0,
    ) -> None:
        """Start the actors.

        Args:
            names: Host ids of the machines.
            classes: Changes to the settings of classes.
            limits: Changes to the limits.
            purged_ms: Times of purges of group 17 in the change log at the start, Unix ms.
            born_ms: Start time of the last machine in the list, Unix ms.
        """
        self.machines = {name: Machine(slim=name == "o-1") for name in names}
        settings: dict[str, Any] = copy.deepcopy(SETTINGS)
        settings["limits"] |= limits or {}
        for cls, changes in (classes or {}).items():
            settings["services"][cls] |= changes
        hosts = [self.host(name) for name in names]
        hosts[-1]["born_ms"] = born_ms
        results: list[Any] = [{"seq": 1, "fleet": {"seq": 0, "whole": True, "hosts": hosts}}]
        for seq, at in enumerate(purged_ms, 2):
            results.append({"seq": seq, "invalidate": {"bucket": 17, "time": at}})
        known = {"seq": len(results), "results": results}
        self.config: FrontConfig = make_config(settings=settings, known=known)
        self.checks, self.pool, self.seq, self.request_count = Checks(), BufferPool(100), len(results), 0
        budget = MemoryBudget(max_buffers=100, max_body_bytes=1 << 20, max_open_requests=4096)
        self.descriptors = sockets.Descriptors(1024)
        self.module = ModuleActor(self.config, self.checks, self.pool, self.descriptors, budget)
        self.events: list[io.Event] = []
        self.wires_by_job: dict[str, list[Wire]] = {}
        handle_plainly = self.module.router.handle

        def handle(now: int, event: io.Event) -> list[io.Action]:
            self.events.append(event)
            return handle_plainly(now, event)

        self.module.router.handle = handle  # type: ignore[method-assign]
        self.module.start_with_known_events()

    def host(self, name: str, **changes: Any) -> dict[str, Any]:
        return host(name, self.machines[name].address, KINDS.get(name[0], "std"), **changes)

    def apply_hosts(self, *hosts: dict[str, Any]) -> None:
        """Apply a change of the endpoint list at once."""
        self.seq += 1
        record = {"seq": self.seq, "fleet": {"seq": self.seq, "whole": False, "hosts": list(hosts)}}
        (event,) = read_changes({"seq": self.seq, "results": [record]})[1]
        self.module.change_log.apply(event, io.UpdateScope.CHANGES)

    def submit(self, cls: int = IMAGE, **changes: Any) -> OpenRequest:
        """Queue a request for the router's actor; its receiver is an inbox that keeps the responses."""
        self.request_count += 1
        job, now = f"{self.request_count:016x}", clock.now()
        values: dict[str, Any] = {"received_at_ns": now, "allowed_ns": 30 * clock.SECOND} | changes
        request = open_request(Inbox(), cls, job, **values)
        assert self.module.mailbox.try_push_new_work(RequestArrived(request))
        return request

    def handle_next(self, name: str) -> None:
        """Let the router's actor and this machine's actor handle their next message at once."""
        message = self.module.mailbox.take()
        assert message is not None
        self.module.handle_safely(message)
        command = self.cache(name).mailbox.take()
        assert command is not None
        self.cache(name).handle_safely(command)

    def disconnect_client(self, request: OpenRequest) -> None:
        """Cancel a request as its client's connection does: mark it, then queue the message."""
        request.cancel(clock.now())
        self.module.mailbox.push(ClientDisconnected(request))

    def poll(self) -> None:
        for machine in self.machines.values():
            machine.poll()

    def received(self, wire: Wire) -> bytes:
        """Return the bytes received up to now."""
        self.poll()
        return wire.received

    def serve_wires(self, request: OpenRequest) -> list[Wire]:
        """Return the connections over which the request arrived, one for each `serve` line with its id."""
        self.poll()
        line = f"serve {request.job_id} ".encode()
        wires = [wire for machine in self.machines.values() for wire in machine.wires]
        return [wire for wire in wires for _ in range(wire.received.count(line))]

    def count_cancels(self, request: OpenRequest) -> int:
        self.poll()
        line = f"cancel {request.job_id}\r\n".encode()
        return sum(wire.received.count(line) for machine in self.machines.values() for wire in machine.wires)

    async def wait_for_command(self, request: OpenRequest, times: int = 1) -> Wire:
        """Wait until the request has arrived `times` times; return the connection of the last one."""
        await until(lambda: len(self.serve_wires(request)) >= times, "the command arrives")
        found = self.serve_wires(request)
        assert len(found) == times, "the command arrived too often"
        known = self.wires_by_job.setdefault(request.job_id, [])
        (new,) = [wire for wire in found if not any(wire is each for each in known)]
        known.append(new)
        return new

    async def wait_for_status(self, request: OpenRequest) -> int:
        responses: list[Any] = request.receiver.responses  # type: ignore[attr-defined]
        await until(lambda: bool(responses), "the request is answered")
        assert len(responses) == 1, "one final answer"
        if responses[0].body is not None:
            responses[0].body.release()
            responses[0].body = None
        return int(responses[0].status)

    async def serve_one(self, cls: int = IMAGE) -> Wire:
        """Serve one more request: whatever was to be sent before it has been sent by then."""
        request = self.submit(cls)
        wire = await self.wait_for_command(request)
        wire.respond(request.job_id)
        assert await self.wait_for_status(request) == 200
        return wire

    def outcomes(self, request: OpenRequest) -> list[io.AttemptOutcome]:
        return [
            e.outcome
            for e in self.events
            if isinstance(e, io.AttemptCompleted) and e.request == request.number
        ]

    def cache(self, name: str) -> CacheActor:
        return self.module.caches[self.module.directory.assign_number(name)]

    def connections(self) -> list[Connection]:
        return [c for cache in self.module.caches.values() for c in cache.connections]

    def sweep(self) -> None:
        self.module.sweep(clock.now(), late=False)

    async def assert_settled(self) -> None:
        """Check that no attempt, descriptor or buffer is left and no error was counted; then close all."""
        await until(
            lambda: not self.module.requests.request_by_number,
            "all requests and their attempts have ended",
        )
        for connection in self.connections():
            connection.close()
        await until(lambda: not self.connections(), "the connections are closed")
        assert (self.descriptors.outbound, self.pool.used) == (0, 0)
        assert not [c for cache in self.module.caches.values() for c in (cache.in_flight or cache.timers)]
        assert not [
            kind
            for kind in self.checks.counts
            if "exception" in kind or "invariant" in kind or kind == "client_connections_reset"
        ]
        self.module.cancel()
        for cache in self.module.caches.values():
            cache.cancel()
        for machine in self.machines.values():
            machine.sock.close()
            for wire in machine.wires:
                wire.close()


class HeldDials:
    """Connects that succeed at once but are returned to the front only when the test releases them."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        self.gates: list[asyncio.Future[None]] = []
        self.connect_plainly, self.is_holding = sockets.connect, True
        monkeypatch.setattr("quincepier.net.connection.connect", self.connect)

    async def connect(self, address: tuple[str, int], timeout: float, checks: Checks) -> socket.socket:
        sock = await self.connect_plainly(address, timeout, checks)
        gate = asyncio.get_running_loop().create_future()
        try:
            if self.is_holding:
                self.gates.append(gate)
                await gate
        except BaseException:
            sock.close()
            raise
        return sock

    async def wait_for_dials(self, count: int = 1) -> None:
        await until(lambda: len(self.gates) >= count, "the front dials")

    def release(self, error: Exception | None = None) -> None:
        """Let all held connects succeed, or fail with `error`; later ones are not held."""
        self.is_holding = False
        for gate in self.gates:
            if not gate.done():
                gate.set_result(None) if error is None else gate.set_exception(error)
        self.gates.clear()


class AdjustableClock:
    """The front's clock, which a test can advance."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        self.offset_ns = 0
        monkeypatch.setattr(clock, "now", lambda: time.monotonic_ns() + self.offset_ns)

    def advance(self, span: int) -> None:
        self.offset_ns += span
