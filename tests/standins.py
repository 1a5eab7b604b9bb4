"""Stand-ins for caches, the change log and clients, by the protocol page; and a front run as a process."""

from __future__ import annotations

import asyncio
import contextlib
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
from tests.loopback import allocate_address

TEST_TIMEOUT_S = 30.0  # ends a test that hangs; no test measures time by it


async def until(holds: Callable[[], bool], what: str) -> None:
    """Poll a condition, described by `what`, until it holds; raise TimeoutError after TEST_TIMEOUT_S."""
    async with asyncio.timeout(TEST_TIMEOUT_S):
        while not holds():
            await asyncio.sleep(0.005)
    assert holds(), what


@dataclass
class ReceivedCommand:
    """A `serve` command that a stand-in cache received, and the responses to it."""

    id: str
    fields: dict[str, str]
    body: bytes
    writer: asyncio.StreamWriter

    def respond(self, word: str, body: bytes = b"", fields: str = "-") -> None:
        """Send a response line of the cache protocol: status word, fields and body."""
        self.writer.write(f"{self.id} {word} {fields} {len(body)}\r\n".encode() + body + b"\r\n")

    def respond_with_data(self, body: bytes = b"bytes", how: str = "local") -> None:
        """Send a `data` response dated now; `how` says whether the copy was cached or fetched."""
        minted_ms = time.time_ns() // 1_000_000
        self.respond("data", body, f"tag=4be0c1927d55a6f3,minted={minted_ms},how={how},lag=1")

    def abort_connection(self) -> None:
        """Close the front's connection at once, without a response."""
        self.writer.transport.abort()


Behaviour = Callable[[ReceivedCommand], None]


class Cache:
    """A stand-in cache, parent or origin that calls `behaviour` for each `serve` command.

    Attributes:
        commands: All `serve` commands received.
        cancelled_ids: Ids of `cancel` commands received.
        probe_commands: `health` and `gauges` commands received.
        health_response: The status word of responses to probes.
        accepted_count: Connections accepted since the start.
        open_count: Connections that are established now.
        connections_to_reset: The next so many connections are reset as they are accepted.
    """

    def __init__(self, behaviour: Behaviour) -> None:
        self.behaviour = behaviour
        self.commands: list[ReceivedCommand] = []
        self.cancelled_ids: list[str] = []
        self.probe_commands: list[str] = []
        self.health_response = "well"
        self.accepted_count = self.open_count = 0
        self.connections_to_reset = 0
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
                    command = ReceivedCommand(words[1], fields, body, writer)
                    self.commands.append(command)
                    self.behaviour(command)
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self.open_count -= 1
            writer.close()


class ChangeLog:
    """A stand-in change log that answers long polls over HTTP.

    Attributes:
        events: All change-log events, with sequence numbers from 1.
        poll_positions: The `since` of each poll received.
        raw_responses: Bytes to send instead of a response, one entry for each poll.
        event_added: Set when an event is added.
        poll_stalled: Set when a poll arrives while the change log is stopped.
        is_stopped: Polls that arrive while this is set are never answered.
        response_delay_s: Delay of each response in seconds.
    """

    def __init__(self) -> None:
        self.events: list[dict[str, Any]] = []
        self.poll_positions: list[int] = []
        self.raw_responses: list[bytes] = []
        self.event_added, self.poll_stalled = asyncio.Event(), asyncio.Event()
        self.is_stopped = False
        self.response_delay_s = 0.0
        self.server: asyncio.Server | None = None

    async def start(self) -> None:
        self.server = await asyncio.start_server(self._serve, *allocate_address())

    @property
    def address(self) -> str:
        assert self.server is not None
        return "{}:{}".format(*self.server.sockets[0].getsockname())

    def add_event(self, **event: Any) -> int:
        """Add an event and wake waiting polls; return its sequence number."""
        self.events.append({"seq": len(self.events) + 1} | event)
        self.event_added.set()
        return len(self.events)

    def make_snapshot(self) -> dict[str, Any]:
        """All events so far, in the form of the `known` setting of a front."""
        return {"seq": len(self.events), "results": list(self.events)}

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while line := await reader.readline():
                while (await reader.readline()).strip():
                    pass
                query = parse_qs(urlsplit(line.decode().split(" ")[1]).query)
                since = int(query["since"][0])
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
                        async with asyncio.timeout(int(query["timeout"][0]) / 1000):
                            await self.event_added.wait()
                    except TimeoutError:
                        pass
                await asyncio.sleep(self.response_delay_s)
                new_events = [event for event in self.events if event["seq"] > since]
                body = json.dumps({"seq": len(self.events), "results": new_events}).encode()
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body))
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()


class Client:
    """A client's FastCGI connection to the front; a task reads the responses."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader, self.writer, self.response_reader, self.is_closed = (
            reader,
            writer,
            ResponseReader(),
            False,
        )
        self.read_task = asyncio.create_task(self._read())

    @classmethod
    async def connect(cls, address: tuple[str, int], limit: int = 1 << 16) -> Self:
        """Connect to a front; `limit` is the size of the read buffer in bytes."""
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
        """Send a request of class `cls`; `changes` replace FastCGI parameters, None removes one."""
        self.send(encode_request(request, params(f"{request:016x}", cls, **changes), body))

    async def wait_for_response(self, request: int) -> ReceivedResponse:
        """Wait until the response to a request is complete; fail if the connection closes first."""
        response = self.response_reader.response_by_request.setdefault(request, ReceivedResponse())
        await until(
            lambda: response.protocol_status is not None or self.is_closed, f"request {request} is completed"
        )
        assert (
            response.protocol_status is not None
        ), "the connection was closed before the response was complete"
        return response

    async def close(self) -> None:
        self.read_task.cancel()
        self.writer.close()


def send_signal(process: asyncio.subprocess.Process, number: int) -> None:
    """Send a signal to a process that may be about to end.

    `Process.send_signal` looks for the exit status first, and takes it from asyncio's child watcher, which
    then reports 255.
    """
    with contextlib.suppress(ProcessLookupError):
        os.kill(process.pid, number)


@dataclass
class Front:
    """A front run as a process between stand-in caches, parents and origins and a stand-in change log.

    Attributes:
        folder: Where the configuration file is written.
        caches: Stand-ins by host id; ids of parents begin with "p", those of origins with "o".
        config: The configuration; made at the first start.
        log_lines: Lines that the front has written to stderr.
        operator_file: The operators' file, if any.
        checkout: Root of the checkout whose front is run; None: this one.
        is_optimized: Run with `python -O`, as in production.
        fault: Name of a fault of tests/mutants.py with which the front is run.
        plan: Plan of tests/faulty_front.py: the system calls that fail.
    """

    folder: Path
    caches: dict[str, Cache]
    change_log: ChangeLog = field(default_factory=ChangeLog)
    config: dict[str, Any] = field(default_factory=dict)
    process: asyncio.subprocess.Process | None = None
    address: tuple[str, int] = ("127.0.0.1", 0)
    log_lines: list[str] = field(default_factory=list)
    clients: list[Client] = field(default_factory=list)
    operator_file: Path | None = None
    checkout: Path | None = None
    is_optimized: bool = False
    fault: str = ""
    plan: str = ""
    log_task: asyncio.Task[None] | None = None

    async def start(self, wait: bool = True, **changes: Any) -> None:
        """Start the stand-ins at the first start, then the front; `changes` replace configuration values."""
        if not self.config:
            for cache in self.caches.values():
                await cache.start()
            await self.change_log.start()
            kind_by_letter = {"p": "parent", "o": "origin"}
            hosts = [host(n, c.address, kind_by_letter.get(n[0], "std")) for n, c in self.caches.items()]
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
        options = ["--operator", str(self.operator_file)] if self.operator_file else []
        python = [sys.executable, *(["-O"] if self.is_optimized else [])]
        self.process = await asyncio.create_subprocess_exec(
            *python, "-m", *self.program, *options, cwd=self.checkout,
            env=environment | {"ROUTER_CONFIG": str(path)}, stderr=asyncio.subprocess.PIPE,
        )  # fmt: skip
        self.log_task = asyncio.create_task(self._read_log(self.process))
        if wait:
            await until(
                lambda: any("serves" in line or "front_serving" in line for line in self.log_lines)
                or self.has_exited,
                "the front serves",
            )
            assert not self.has_exited, self.log_lines

    @property
    def program(self) -> tuple[str, ...]:
        """The module that is run with `python -m`, and its arguments."""
        if self.plan:
            return ("tests.faulty_front", self.plan, "serve")
        return ("tests.mutants", self.fault) if self.fault else ("quincepier", "serve")

    @property
    def has_exited(self) -> bool:
        return self.process is None or self.process.returncode is not None

    async def _read_log(self, process: asyncio.subprocess.Process) -> None:
        assert process.stderr is not None
        while line := await process.stderr.readline():
            self.log_lines.append(line.decode().rstrip())

    def has_logged(self, text: str) -> bool:
        """Whether a line on stderr contains a text."""
        return any(text in line for line in self.log_lines)

    async def connect_client(self) -> Client:
        """Connect a client, which `stop` closes."""
        client = await Client.connect(self.address)
        self.clients.append(client)
        return client

    def send_signal(self, number: int) -> None:
        assert self.process is not None
        send_signal(self.process, number)

    async def wait_for_exit(self) -> int:
        """Wait until the process has ended and its stderr is read; return the exit code."""
        assert self.process is not None and self.log_task is not None
        async with asyncio.timeout(TEST_TIMEOUT_S):
            code = await self.process.wait()
            await self.log_task
        return code

    async def stop(self) -> None:
        """Close the clients, kill the front and close the stand-ins."""
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
    """Start a front with a stand-in for each entry of `caches`, run the scenario, stop them all."""

    async def run() -> None:
        front = Front(folder, {name: Cache(behaviour) for name, behaviour in caches.items()}, fault=fault)
        front.plan = plan
        try:
            await front.start()
            await scenario(front)
        finally:
            await front.stop()

    asyncio.run(run())
