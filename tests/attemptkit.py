"""The module's actor and its caches' actors over real sockets, with machines that move as a test says."""

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
from quincepier.net.messages import Came, Left
from quincepier.net.module import ModuleActor
from quincepier.wire.changelog import read_changes
from tests.frontkit import SETTINGS, Inbox, host, make_config, open_request
from tests.standins import until

VIDEO, IMAGE, BID = range(
    3
)  # the classes of the configuration; a bid may not be repeated, its place the origin
KINDS = {"p": "parent", "o": "origin"}
LARGE = b"b" * 48_000


def on_loop(scenario: Callable[[], Awaitable[None]]) -> None:
    """On the loop of the service."""

    async def run() -> None:
        await scenario()

    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(run())


class Wire:
    """One connection as a machine holds it: read as the test looks, unless it is held."""

    def __init__(self, sock: socket.socket) -> None:
        self.sock, self.text, self.held, self.ended = sock, b"", False, False
        sock.setblocking(False)

    def look(self) -> None:
        while not (self.held or self.ended):
            try:
                data = self.sock.recv(65536)
            except BlockingIOError:
                return
            except OSError:
                data = b""
            self.text += data
            self.ended = not data

    def say(self, text: bytes) -> None:
        assert self.sock.send(text) == len(text)

    def answer(self, job: str, body: bytes = b"bytes", word: str = "data") -> None:
        self.say(answer(job, body, word))

    def reset(self) -> None:
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        self.close()

    def close(self) -> None:
        self.ended = True
        self.sock.close()


def answer(job: str, body: bytes = b"bytes", word: str = "data") -> bytes:
    fields = "tag=4be0c1927d55a6f3,minted=1764576000123,how=local" if word == "data" else "-"
    return f"{job} {word} {fields} {len(body)}\r\n".encode() + body + b"\r\n"


class Machine:
    """A listener whose connections are taken as the test looks; `slim`: their receive buffers are small."""

    def __init__(self, slim: bool = False) -> None:
        self.sock = socket.socket()
        if slim:
            self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        self.sock.bind(("127.0.0.1", 0))
        self.sock.listen(64)
        self.sock.setblocking(False)
        self.wires: list[Wire] = []
        self.held = False  # so are connections that come from now on

    @property
    def address(self) -> str:
        return "{}:{}".format(*self.sock.getsockname())

    def look(self) -> None:
        while True:
            try:
                self.wires.append(Wire(self.sock.accept()[0]))
                self.wires[-1].held = self.held
            except BlockingIOError:
                break
        for wire in self.wires:
            wire.look()


class Inside:
    """The actors, as a front has them, between clients that are an inbox each and these machines."""

    def __init__(
        self,
        names: tuple[str, ...],
        classes: dict[int, dict[str, Any]] | None = None,
        limits: dict[str, Any] | None = None,
        purged_ms: tuple[int, ...] = (),
        born_ms: int = 0,
    ) -> None:
        """`purged_ms`: Unix milliseconds of purges of group 17 that the log tells at the start.

        `born_ms`: when it says that the last of the machines started.
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
        self.checks, self.pool, self.seq, self.asked = Checks(), BufferPool(100), len(results), 0
        budget = MemoryBudget(max_buffers=100, max_body_bytes=1 << 20, max_open_requests=4096)
        self.descriptors = sockets.Descriptors(1024)
        self.module = ModuleActor(self.config, self.checks, self.pool, self.descriptors, lambda: None, budget)
        self.events: list[io.Event] = []
        self.told: dict[str, list[Wire]] = {}  # over which connections a request went, as the test was told
        plain = self.module.router.handle

        def handle(now: int, event: io.Event) -> list[io.Action]:
            self.events.append(event)
            return plain(now, event)

        self.module.router.handle = handle  # type: ignore[method-assign]
        self.module.begin()

    def host(self, name: str, **changes: Any) -> dict[str, Any]:
        return host(name, self.machines[name].address, KINDS.get(name[0], "std"), **changes)

    def listed(self, *hosts: dict[str, Any]) -> None:
        """News of the list, taken in this turn."""
        self.seq += 1
        record = {"seq": self.seq, "fleet": {"seq": self.seq, "whole": False, "hosts": list(hosts)}}
        (event,) = read_changes({"seq": self.seq, "results": [record]})[1]
        self.module._news(event, io.UpdateScope.CHANGES)

    def ask(self, cls: int = IMAGE, **changes: Any) -> OpenRequest:
        """Into the module's mailbox; its owner keeps what it is answered."""
        self.asked += 1
        job, now = f"{self.asked:016x}", clock.now()
        values: dict[str, Any] = {"received_at_ns": now, "allowed_ns": 30 * clock.SECOND} | changes
        request = open_request(Inbox(), cls, job, **values)
        assert self.module.mailbox.add(Came(request))
        return request

    def taken(self, name: str) -> None:
        """The module and this machine's actor get to what came last, in this turn."""
        came = self.module.mailbox.take()
        assert came is not None
        self.module.safely(came)
        sent = self.cache(name).mailbox.take()
        assert sent is not None
        self.cache(name).safely(sent)

    def left(self, request: OpenRequest) -> None:
        """As its client's connection does, the mark first and the message when the module gets to it."""
        request.cancel(clock.now())
        self.module.mailbox.push(Left(request))

    def look(self) -> None:
        for machine in self.machines.values():
            machine.look()

    def read(self, wire: Wire) -> bytes:
        """What has come over it up to now."""
        self.look()
        return wire.text

    def serves(self, request: OpenRequest) -> list[Wire]:
        """The connections over which it came, one for each `serve` line with its id."""
        self.look()
        line = f"serve {request.job_id} ".encode()
        wires = [wire for machine in self.machines.values() for wire in machine.wires]
        return [wire for wire in wires for _ in range(wire.text.count(line))]

    def cancels(self, request: OpenRequest) -> int:
        self.look()
        line = f"cancel {request.job_id}\r\n".encode()
        return sum(wire.text.count(line) for machine in self.machines.values() for wire in machine.wires)

    async def out(self, request: OpenRequest, times: int = 1) -> Wire:
        """The connection over which it came now, once it has come so often; each time over another."""
        await until(lambda: len(self.serves(request)) >= times, "it goes out")
        found = self.serves(request)
        assert len(found) == times, "it went out too often"
        known = self.told.setdefault(request.job_id, [])
        (new,) = [wire for wire in found if not any(wire is each for each in known)]
        known.append(new)
        return new

    async def status(self, request: OpenRequest) -> int:
        responses: list[Any] = request.receiver.responses  # type: ignore[attr-defined]
        await until(lambda: bool(responses), "it is answered")
        assert len(responses) == 1, "one final answer"
        if responses[0].body is not None:
            responses[0].body.release()
            responses[0].body = None
        return int(responses[0].status)

    async def served(self, cls: int = IMAGE) -> Wire:
        """One more request, answered as it should: whatever was to go out before it has by then."""
        request = self.ask(cls)
        wire = await self.out(request)
        wire.answer(request.job_id)
        assert await self.status(request) == 200
        return wire

    def endings(self, request: OpenRequest) -> list[io.AttemptOutcome]:
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

    async def settled(self) -> None:
        """Nothing is open and nothing is left: no attempt, no descriptor, no buffer; nothing went wrong."""
        await until(
            lambda: not self.module.requests.request_by_number,
            "all requests are over and their attempts ended",
        )
        for connection in self.connections():
            connection.close()
        await until(lambda: not self.connections(), "the connections are gone")
        assert (self.descriptors.caches, self.pool.used) == (0, 0)
        assert not [c for cache in self.module.caches.values() for c in (cache.out or cache.timers)]
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


class Dials:
    """Connections that are up for the system and let through to the front as the test says."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        self.waiting: list[asyncio.Future[None]] = []
        self.plain, self.held = sockets.connect, True
        monkeypatch.setattr("quincepier.net.connection.connect", self.connect)

    async def connect(self, address: tuple[str, int], timeout: float, checks: Checks) -> socket.socket:
        sock = await self.plain(address, timeout, checks)
        gate = asyncio.get_running_loop().create_future()
        try:
            if self.held:
                self.waiting.append(gate)
                await gate
        except BaseException:
            sock.close()
            raise
        return sock

    async def begun(self, count: int = 1) -> None:
        await until(lambda: len(self.waiting) >= count, "it is dialled")

    def let(self, error: Exception | None = None) -> None:
        """All of them through, or to this end; what comes later is not held."""
        self.held = False
        for gate in self.waiting:
            if not gate.done():
                gate.set_result(None) if error is None else gate.set_exception(error)
        self.waiting.clear()


class Clock:
    """The front's clock, which goes on as the test says beside its own pace."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        self.ahead = 0
        monkeypatch.setattr(clock, "now", lambda: time.monotonic_ns() + self.ahead)

    def on(self, span: int) -> None:
        self.ahead += span
