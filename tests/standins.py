"""Small stand-ins written from the protocol page, and the front as a process between them."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import sys
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any, Self
from urllib.parse import parse_qs, urlsplit

from tests.fcgikit import ReceivedResponse, ResponseReader, encode_request, params
from tests.frontkit import host, raw_config
from tests.loopback import own_address

PATIENCE = 30.0  # seconds after which a test gives up; nothing is measured by it


async def until(holds: Callable[[], bool], what: str) -> None:
    async with asyncio.timeout(PATIENCE):
        while not holds():
            await asyncio.sleep(0.005)
    assert holds(), what


@dataclass
class Asked:
    """One `serve` command as a cache got it."""

    id: str
    fields: dict[str, str]
    body: bytes
    writer: asyncio.StreamWriter

    def answer(self, word: str, body: bytes = b"", fields: str = "-") -> None:
        self.writer.write(f"{self.id} {word} {fields} {len(body)}\r\n".encode() + body + b"\r\n")

    def data(self, body: bytes = b"bytes", how: str = "local") -> None:
        minted = time.time_ns() // 1_000_000
        self.answer("data", body, f"tag=4be0c1927d55a6f3,minted={minted},how={how},lag=1")

    def reset(self) -> None:
        self.writer.transport.abort()


Behaviour = Callable[[Asked], None]


class Cache:
    def __init__(self, behaviour: Behaviour) -> None:
        self.behaviour = behaviour
        self.asked: list[Asked] = []
        self.cancelled: list[str] = []
        self.probed: list[str] = []
        self.health = "well"
        self.connections = self.open = 0
        self.reset_new = 0  # so many connections are reset as they come
        self.server: asyncio.Server | None = None

    async def start(self) -> None:
        self.server = await asyncio.start_server(self._serve, *own_address())

    @property
    def address(self) -> str:
        assert self.server is not None
        return "{}:{}".format(*self.server.sockets[0].getsockname())

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections += 1
        if self.reset_new:
            self.reset_new -= 1
            writer.transport.abort()
            return
        self.open += 1
        try:
            while line := await reader.readline():
                words = line.decode().rstrip("\r\n").split(" ")
                if words[0] == "cancel":
                    self.cancelled.append(words[1])
                elif words[0] in ("health", "gauges"):
                    self.probed.append(words[0])
                    stats = "stats=util:0.61;x0:0.4" if words[0] == "gauges" else "-"
                    writer.write(f"{words[1]} {self.health} {stats} 0\r\n\r\n".encode())
                elif words[0] == "serve":
                    body = (await reader.readexactly(int(words[3]) + 2))[:-2]
                    fields = dict(item.split("=", 1) for item in words[2].split(","))
                    asked = Asked(words[1], fields, body, writer)
                    self.asked.append(asked)
                    self.behaviour(asked)
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self.open -= 1
            writer.close()


class ChangeLog:
    """Answers long polls; `broken` gives raw answers to send instead, one a poll."""

    def __init__(self) -> None:
        self.events: list[dict[str, Any]] = []
        self.since: list[int] = []
        self.broken: list[bytes] = []
        self.changed, self.stalled = asyncio.Event(), asyncio.Event()
        self.stopped = False  # a poll that comes while this is set is never answered
        self.late = 0.0  # seconds that each answer takes
        self.server: asyncio.Server | None = None

    async def start(self) -> None:
        self.server = await asyncio.start_server(self._serve, *own_address())

    @property
    def address(self) -> str:
        assert self.server is not None
        return "{}:{}".format(*self.server.sockets[0].getsockname())

    def add(self, **event: Any) -> int:
        self.events.append({"seq": len(self.events) + 1} | event)
        self.changed.set()
        return len(self.events)

    def known(self) -> dict[str, Any]:
        return {"seq": len(self.events), "results": list(self.events)}

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while line := await reader.readline():
                while (await reader.readline()).strip():
                    pass
                asked = parse_qs(urlsplit(line.decode().split(" ")[1]).query)
                since = int(asked["since"][0])
                self.since.append(since)
                if self.stopped:
                    self.stalled.set()
                    await reader.read()
                    return
                if self.broken:
                    writer.write(self.broken.pop(0))
                    writer.close()
                    return
                if len(self.events) <= since:
                    self.changed.clear()
                    try:
                        async with asyncio.timeout(int(asked["timeout"][0]) / 1000):
                            await self.changed.wait()
                    except TimeoutError:
                        pass
                await asyncio.sleep(self.late)
                later = [event for event in self.events if event["seq"] > since]
                body = json.dumps({"seq": len(self.events), "results": later}).encode()
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body))
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()


class Client:
    """One FastCGI connection to the front."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader, self.writer, self.records, self.closed = reader, writer, ResponseReader(), False
        self.task = asyncio.create_task(self._read())

    @classmethod
    async def to(cls, address: tuple[str, int], limit: int = 1 << 16) -> Self:
        return cls(*await asyncio.open_connection(*address, limit=limit))

    async def _read(self) -> None:
        try:
            while data := await self.reader.read(65536):
                self.records.feed(data)
        except ConnectionError:
            pass
        self.closed = True

    def send(self, data: bytes) -> None:
        self.writer.write(data)

    def ask(self, request: int, cls: str = "lot-image", body: bytes = b"", **changes: str | None) -> None:
        self.send(encode_request(request, params(f"{request:016x}", cls, **changes), body))

    async def ended(self, request: int) -> ReceivedResponse:
        got = self.records.response_by_request.setdefault(request, ReceivedResponse())
        await until(lambda: got.protocol_status is not None or self.closed, f"request {request} ends")
        assert got.protocol_status is not None, "the connection ended first"
        return got

    async def close(self) -> None:
        self.task.cancel()
        self.writer.close()


@dataclass
class Front:
    """The front as a process, with a cache, a parent, an origin and a change log of stand-ins."""

    folder: Path
    caches: dict[str, Cache]
    log: ChangeLog = field(default_factory=ChangeLog)
    config: dict[str, Any] = field(default_factory=dict)
    process: asyncio.subprocess.Process | None = None
    address: tuple[str, int] = ("127.0.0.1", 0)
    lines: list[str] = field(default_factory=list)
    clients: list[Client] = field(default_factory=list)
    operator: Path | None = None  # an operators' file
    root: Path | None = None  # of the checkout that is run, where not this one
    optimized: bool = False  # as it is run in service
    fault: str = ""  # of tests/mutants.py, with which it is run
    plan: str = ""  # of tests/faulty_front.py: what fails around it
    reading: asyncio.Task[None] | None = None

    async def start(self, wait: bool = True, **changes: Any) -> None:
        if not self.config:
            for cache in self.caches.values():
                await cache.start()
            await self.log.start()
            kinds = {"p": "parent", "o": "origin"}
            hosts = [host(n, c.address, kinds.get(n[0], "std")) for n, c in self.caches.items()]
            self.log.add(fleet={"seq": 0, "whole": True, "hosts": hosts})
            self.address = own_address()
            self.config = raw_config(
                listen="{}:{}".format(*self.address), changelog=self.log.address, known=self.log.known()
            )
        path = self.folder / "config.json"
        path.write_text(json.dumps(self.config | changes))
        environment = {k: v for k, v in os.environ.items() if not k.startswith("ROUTER_")}
        named = ["--operator", str(self.operator)] if self.operator else []
        python = [sys.executable, *(["-O"] if self.optimized else [])]
        self.process = await asyncio.create_subprocess_exec(
            *python, "-m", *self.program, *named, cwd=self.root,
            env=environment | {"ROUTER_CONFIG": str(path)}, stderr=asyncio.subprocess.PIPE,
        )  # fmt: skip
        self.reading = asyncio.create_task(self._log(self.process))
        if wait:
            await until(
                lambda: any("serves" in line or "front_serving" in line for line in self.lines) or self.ended,
                "the front serves",
            )
            assert not self.ended, self.lines

    @property
    def program(self) -> tuple[str, ...]:
        if self.plan:
            return ("tests.faulty_front", self.plan, "serve")
        return ("tests.mutants", self.fault) if self.fault else ("quincepier", "serve")

    @property
    def ended(self) -> bool:
        return self.process is None or self.process.returncode is not None

    async def _log(self, process: asyncio.subprocess.Process) -> None:
        assert process.stderr is not None
        while line := await process.stderr.readline():
            self.lines.append(line.decode().rstrip())

    def logged(self, text: str) -> bool:
        return any(text in line for line in self.lines)

    async def client(self) -> Client:
        client = await Client.to(self.address)
        self.clients.append(client)
        return client

    def signal(self, number: int) -> None:
        assert self.process is not None
        self.process.send_signal(number)

    async def code(self) -> int:
        assert self.process is not None and self.reading is not None
        async with asyncio.timeout(PATIENCE):
            code = await self.process.wait()
            await self.reading
        return code

    async def stop(self) -> None:
        for client in self.clients:
            await client.close()
        if not self.ended:
            self.signal(signal.SIGKILL)
            await self.code()
        for server in (*(cache.server for cache in self.caches.values()), self.log.server):
            if server is not None:
                server.close()


def play(
    folder: Path,
    caches: dict[str, Behaviour],
    scenario: Callable[[Front], Awaitable[None]],
    fault: str = "",
    plan: str = "",
) -> None:
    """Start the front over such caches, play the scenario, end what was started."""

    async def run() -> None:
        front = Front(folder, {name: Cache(behaviour) for name, behaviour in caches.items()}, fault=fault)
        front.plan = plan
        try:
            await front.start()
            await scenario(front)
        finally:
            await front.stop()

    asyncio.run(run())
