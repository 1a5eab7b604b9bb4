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

from tests.fcgikit import Got, Reader, call, params
from tests.frontkit import host, raw_config
from tests.loopback import allocate_address

TEST_TIMEOUT_S = 30.0  # seconds after which a test gives up; nothing is measured by it


async def until(holds: Callable[[], bool], what: str) -> None:
    async with asyncio.timeout(TEST_TIMEOUT_S):
        while not holds():
            await asyncio.sleep(0.005)
    assert holds(), what


@dataclass
class ReceivedCommand:
    """One `serve` command as a cache got it."""

    id: str
    fields: dict[str, str]
    body: bytes
    writer: asyncio.StreamWriter

    def respond(self, word: str, body: bytes = b"", fields: str = "-") -> None:
        self.writer.write(f"{self.id} {word} {fields} {len(body)}\r\n".encode() + body + b"\r\n")

    def respond_with_data(self, body: bytes = b"bytes", how: str = "local") -> None:
        minted = time.time_ns() // 1_000_000
        self.respond("data", body, f"tag=4be0c1927d55a6f3,minted={minted},how={how},lag=1")

    def abort_connection(self) -> None:
        self.writer.transport.abort()


Behaviour = Callable[[ReceivedCommand], None]


class Cache:
    def __init__(self, behaviour: Behaviour) -> None:
        self.behaviour = behaviour
        self.commands: list[ReceivedCommand] = []
        self.cancelled_ids: list[str] = []
        self.probe_commands: list[str] = []
        self.health_response = "well"
        self.accepted_count = self.open_count = 0
        self.connections_to_reset = 0  # so many connections are reset as they come
        self.server: asyncio.Server | None = None

    async def start(self) -> None:
        self.server = await asyncio.start_server(self._serve, *allocate_address())

    @property
    def address(self) -> str:
        assert self.server is not None
        return "{}:{}".format(*self.server.sockets[0].getsockname())

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.accepted_count += 1
        if self.connections_to_reset:
            self.connections_to_reset -= 1
            writer.transport.abort()
            return
        self.open_count += 1
        try:
            while line := await reader.readline():
                words = line.decode().rstrip("\r\n").split(" ")
                if words[0] == "cancel":
                    self.cancelled_ids.append(words[1])
                elif words[0] in ("health", "gauges"):
                    self.probe_commands.append(words[0])
                    stats = "stats=util:0.61;x0:0.4" if words[0] == "gauges" else "-"
                    writer.write(f"{words[1]} {self.health_response} {stats} 0\r\n\r\n".encode())
                elif words[0] == "serve":
                    body = (await reader.readexactly(int(words[3]) + 2))[:-2]
                    fields = dict(item.split("=", 1) for item in words[2].split(","))
                    asked = ReceivedCommand(words[1], fields, body, writer)
                    self.commands.append(asked)
                    self.behaviour(asked)
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self.open_count -= 1
            writer.close()


class ChangeLog:
    """Answers long polls; `broken` gives raw answers to send instead, one a poll."""

    def __init__(self) -> None:
        self.events: list[dict[str, Any]] = []
        self.poll_positions: list[int] = []
        self.raw_responses: list[bytes] = []
        self.event_added, self.poll_stalled = asyncio.Event(), asyncio.Event()
        self.is_stopped = False  # a poll that comes while this is set is never answered
        self.response_delay_s = 0.0  # seconds that each answer takes
        self.server: asyncio.Server | None = None

    async def start(self) -> None:
        self.server = await asyncio.start_server(self._serve, *allocate_address())

    @property
    def address(self) -> str:
        assert self.server is not None
        return "{}:{}".format(*self.server.sockets[0].getsockname())

    def add_event(self, **event: Any) -> int:
        self.events.append({"seq": len(self.events) + 1} | event)
        self.event_added.set()
        return len(self.events)

    def make_snapshot(self) -> dict[str, Any]:
        return {"seq": len(self.events), "results": list(self.events)}

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while line := await reader.readline():
                while (await reader.readline()).strip():
                    pass
                asked = parse_qs(urlsplit(line.decode().split(" ")[1]).query)
                since = int(asked["since"][0])
                self.poll_positions.append(since)
                if self.is_stopped:
                    self.poll_stalled.set()
                    await reader.read()
                    return
                if self.raw_responses:
                    writer.write(self.raw_responses.pop(0))
                    writer.close()
                    return
                if len(self.events) <= since:
                    self.event_added.clear()
                    try:
                        async with asyncio.timeout(int(asked["timeout"][0]) / 1000):
                            await self.event_added.wait()
                    except TimeoutError:
                        pass
                await asyncio.sleep(self.response_delay_s)
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
        self.reader, self.writer, self.response_reader, self.is_closed = reader, writer, Reader(), False
        self.read_task = asyncio.create_task(self._read())

    @classmethod
    async def connect(cls, address: tuple[str, int], limit: int = 1 << 16) -> Self:
        return cls(*await asyncio.open_connection(*address, limit=limit))

    async def _read(self) -> None:
        try:
            while data := await self.reader.read(65536):
                self.response_reader.feed(data)
        except ConnectionError:
            pass
        self.is_closed = True

    def send(self, data: bytes) -> None:
        self.writer.write(data)

    def send_request(
        self, request: int, cls: str = "lot-image", body: bytes = b"", **changes: str | None
    ) -> None:
        self.send(call(request, params(f"{request:016x}", cls, **changes), body))

    async def wait_for_response(self, request: int) -> Got:
        got = self.response_reader.got.setdefault(request, Got())
        await until(lambda: got.ended is not None or self.is_closed, f"request {request} ends")
        assert got.ended is not None, "the connection ended first"
        return got

    async def close(self) -> None:
        self.read_task.cancel()
        self.writer.close()


@dataclass
class Front:
    """The front as a process, with a cache, a parent, an origin and a change log of stand-ins."""

    folder: Path
    caches: dict[str, Cache]
    change_log: ChangeLog = field(default_factory=ChangeLog)
    config: dict[str, Any] = field(default_factory=dict)
    process: asyncio.subprocess.Process | None = None
    address: tuple[str, int] = ("127.0.0.1", 0)
    log_lines: list[str] = field(default_factory=list)
    clients: list[Client] = field(default_factory=list)
    operator_file: Path | None = None  # an operators' file
    checkout: Path | None = None  # of the checkout that is run, where not this one
    is_optimized: bool = False  # as it is run in service
    fault: str = ""  # of tests/mutants.py, with which it is run
    plan: str = ""  # of tests/faulty_front.py: what fails around it
    log_task: asyncio.Task[None] | None = None

    async def start(self, wait: bool = True, **changes: Any) -> None:
        if not self.config:
            for cache in self.caches.values():
                await cache.start()
            await self.change_log.start()
            kinds = {"p": "parent", "o": "origin"}
            hosts = [host(n, c.address, kinds.get(n[0], "std")) for n, c in self.caches.items()]
            self.change_log.add_event(fleet={"seq": 0, "whole": True, "hosts": hosts})
            self.address = allocate_address()
            self.config = raw_config(
                listen="{}:{}".format(*self.address),
                changelog=self.change_log.address,
                known=self.change_log.make_snapshot(),
            )
        path = self.folder / "config.json"
        path.write_text(json.dumps(self.config | changes))
        environment = {k: v for k, v in os.environ.items() if not k.startswith("ROUTER_")}
        named = ["--operator", str(self.operator_file)] if self.operator_file else []
        python = [sys.executable, *(["-O"] if self.is_optimized else [])]
        self.process = await asyncio.create_subprocess_exec(
            *python, "-m", *self.program, *named, cwd=self.checkout,
            env=environment | {"ROUTER_CONFIG": str(path)}, stderr=asyncio.subprocess.PIPE,
        )  # fmt: skip
        self.log_task = asyncio.create_task(self._log(self.process))
        if wait:
            await until(
                lambda: any("serves" in line or "front_serving" in line for line in self.log_lines)
                or self.has_exited,
                "the front serves",
            )
            assert not self.has_exited, self.log_lines

    @property
    def program(self) -> tuple[str, ...]:
        if self.plan:
            return ("tests.faulty_front", self.plan, "serve")
        return ("tests.mutants", self.fault) if self.fault else ("quincepier", "serve")

    @property
    def has_exited(self) -> bool:
        return self.process is None or self.process.returncode is not None

    async def _log(self, process: asyncio.subprocess.Process) -> None:
        assert process.stderr is not None
        while line := await process.stderr.readline():
            self.log_lines.append(line.decode().rstrip())

    def has_logged(self, text: str) -> bool:
        return any(text in line for line in self.log_lines)

    async def connect_client(self) -> Client:
        client = await Client.connect(self.address)
        self.clients.append(client)
        return client

    def send_signal(self, number: int) -> None:
        assert self.process is not None
        self.process.send_signal(number)

    async def wait_for_exit(self) -> int:
        assert self.process is not None and self.log_task is not None
        async with asyncio.timeout(TEST_TIMEOUT_S):
            code = await self.process.wait()
            await self.log_task
        return code

    async def stop(self) -> None:
        for client in self.clients:
            await client.close()
        if not self.has_exited:
            self.send_signal(signal.SIGKILL)
            await self.wait_for_exit()
        for server in (*(cache.server for cache in self.caches.values()), self.change_log.server):
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
