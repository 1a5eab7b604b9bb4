"""Stand-ins of the second review: caches, a change log, clients, and a front run by the deploy file's command.

All of them speak what the protocol page (real/PROTOCOL.md) says and nothing else. They run in the process of the
case; the front is a process of its own. Only the standard library is used. Every address is a loopback address.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import random
import signal
import socket
import struct
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
# Exit codes of a case's Python program. run.sh makes 1 of BROKEN, and 2 of all others but 0: an error of the case itself
# must not be taken for a broken rule.
HELD, BROKEN, VOID = 0, 10, 2


def disrupted() -> bool:
    """Whether the case plays its disruption; TROUBLE=0 plays the same without it."""
    return os.environ.get("TROUBLE", "1") != "0"


def free_address() -> str:
    """Return a free loopback address; the port is held by nobody afterwards, so it is used at once."""
    with socket.socket() as probe:
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        probe.bind(("127.0.0.1", 0))
        return f"127.0.0.1:{probe.getsockname()[1]}"


def split(address: str) -> tuple[str, int]:
    host, port = address.rsplit(":", 1)
    return host, int(port)


def unix_ms() -> int:
    return time.time_ns() // 1_000_000


class Record:
    """Writes what was sent, answered and run, with seconds since the start."""

    def __init__(self, folder: Path) -> None:
        self.file = (folder / "record.txt").open("w")
        self.start = time.monotonic()

    def now(self) -> float:
        return time.monotonic() - self.start

    def write(self, *words: object) -> None:
        self.file.write(f"{self.now():9.4f} {' '.join(map(str, words))}\n")

    def say(self, *words: object) -> None:
        """Write a line to the record and to standard output."""
        self.write(*words)
        print(*words, flush=True)


# Caches


@dataclass
class Command:
    """A `serve` command as a stand-in read it."""

    machine: Machine
    id: str
    fields: dict[str, str]
    body: bytes
    writer: asyncio.StreamWriter
    first_at: float
    whole_at: float

    def answer(self, word: str, fields: str = "-", body: bytes = b"") -> None:
        if not self.writer.is_closing():
            self.writer.write(f"{self.id} {word} {fields} {len(body)}\r\n".encode() + body + b"\r\n")
            self.machine.record.write("answer", self.machine.name, self.id, word, fields, len(body))

    def data(self, body: bytes, tag: str, minted: int, how: str, lag: int = 0) -> None:
        self.answer("data", f"tag={tag},minted={minted},how={how},lag={lag}", body)


Behaviour = Callable[[Command], Awaitable[None]]


class Machine:
    """A cache, a parent or the origin: reads commands, runs `behaviour` for each in a task of its own."""

    def __init__(self, name: str, record: Record, behaviour: Behaviour) -> None:
        self.name, self.record, self.behaviour = name, record, behaviour
        self.commands: list[Command] = []
        self.tasks: dict[tuple[int, str], asyncio.Task[None]] = {}
        self.writers: set[asyncio.StreamWriter] = set()
        self.server: asyncio.Server | None = None
        self.address = ""

    async def start(self, address: str = "") -> None:
        host, port = split(address) if address else ("127.0.0.1", 0)
        self.server = await asyncio.start_server(self._serve, host, port, limit=1 << 20, backlog=1024)
        self.address = "{}:{}".format(*self.server.sockets[0].getsockname()[:2])

    def stop(self) -> None:
        if self.server is not None:
            self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.add(writer)
        tasks: dict[str, asyncio.Task[None]] = {}
        try:
            while line := await reader.readline():
                first_at = self.record.now()
                words = line.decode().rstrip("\r\n").split(" ")
                if words[0] == "cancel":
                    self.record.write("cancel", self.name, words[1])
                    if (task := tasks.pop(words[1], None)) is not None:
                        task.cancel()
                elif words[0] in ("health", "gauges"):
                    writer.write(f"{words[1]} well - 0\r\n\r\n".encode())
                elif words[0] == "serve":
                    body = (await reader.readexactly(int(words[3]) + 2))[:-2]
                    fields = dict(item.split("=", 1) for item in words[2].split(","))
                    command = Command(self, words[1], fields, body, writer, first_at, self.record.now())
                    self.commands.append(command)
                    self.record.write("serve", self.name, words[1], words[2], len(body))
                    tasks[words[1]] = asyncio.create_task(self._run(command))
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            for task in tasks.values():
                task.cancel()
            self.writers.discard(writer)
            writer.close()

    async def _run(self, command: Command) -> None:
        with contextlib.suppress(asyncio.CancelledError, ConnectionError):
            await self.behaviour(command)


def answer_after(seconds: float, size: int = 2000, how: str = "local") -> Behaviour:
    """A machine that answers everything from a copy that the origin has just given out."""

    async def behaviour(command: Command) -> None:
        await asyncio.sleep(seconds)
        command.data(bytes(size), "4be0c1927d55a6f3", unix_ms(), how)

    return behaviour


# The change log


class ChangeLog:
    """The change log: numbered events, asked for by long polls over HTTP/1.1."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.events: list[dict[str, Any]] = []
        self.added = asyncio.Event()
        self.server: asyncio.Server | None = None
        self.writers: set[asyncio.StreamWriter] = set()
        self.address = ""
        self.closes_after_answer = False  # the answer's body ends with the connection (RFC 9112, 6.3)
        self.told: dict[int, float] = {}  # when the answer with an event was written first

    async def start(self, address: str = "") -> None:
        host, port = split(address or self.address or "127.0.0.1:0")
        self.server = await asyncio.start_server(self._serve, host, port, backlog=1024)
        self.address = "{}:{}".format(*self.server.sockets[0].getsockname()[:2])

    def stop(self) -> None:
        """Take no connection any more and reset the open ones; the events stay."""
        assert self.server is not None
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    def add(self, **event: Any) -> int:
        self.events.append({"seq": len(self.events) + 1} | event)
        self.record.write("event", json.dumps(self.events[-1], separators=(",", ":")))
        added, self.added = self.added, asyncio.Event()
        added.set()
        return len(self.events)

    def snapshot(self) -> dict[str, Any]:
        return {"seq": len(self.events), "results": list(self.events)}

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.add(writer)
        try:
            while line := await reader.readline():
                while (await reader.readline()).strip():
                    pass
                query = dict(p.split("=") for p in line.decode().split(" ")[1].partition("?")[2].split("&"))
                since, wait = int(query["since"]), min(int(query["timeout"]), 5000) / 1000
                if len(self.events) <= since:
                    with contextlib.suppress(TimeoutError):
                        async with asyncio.timeout(wait):
                            await self.added.wait()
                events = self.events[since:]
                body = json.dumps({"seq": len(self.events), "results": events}).encode()
                head = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
                if self.closes_after_answer:
                    writer.write(f"{head}Connection: close\r\n\r\n".encode() + body)
                else:
                    writer.write(f"{head}Content-Length: {len(body)}\r\n\r\n".encode() + body)
                self.record.write("told", since, "to", len(self.events))
                await writer.drain()
                for event in events:
                    self.told.setdefault(event["seq"], self.record.now())
                if self.closes_after_answer:
                    return
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()


# Clients

BEGIN, ABORT, END, PARAMS, STDIN, STDOUT = 1, 2, 3, 4, 5, 6


def encode_record(kind: int, id: int, content: bytes = b"") -> bytes:
    return struct.pack(">BBHHBB", 1, kind, id, len(content), 0, 0) + content


def encode_pairs(values: dict[str, str]) -> bytes:
    out = b""
    for pair in values.items():
        raw = [text.encode() for text in pair]
        for text in raw:
            out += struct.pack(">I", len(text) | 1 << 31) if len(text) > 127 else bytes([len(text)])
        out += raw[0] + raw[1]
    return out


def encode_request(id: int, values: dict[str, str], body: bytes = b"") -> bytes:
    out = encode_record(BEGIN, id, struct.pack(">HB5x", 1, 1))
    out += encode_record(PARAMS, id, encode_pairs(values)) + encode_record(PARAMS, id)
    for at in range(0, len(body), 32_000):
        out += encode_record(STDIN, id, body[at : at + 32_000])
    return out + encode_record(STDIN, id)


@dataclass
class Request:
    """A client's request and what became of it; times are of the record."""

    job: str
    cls: str
    item: str
    part: int
    group: int
    allow_ms: int
    sent_at: float = 0.0
    status: int = 0  # HTTP status; 0: none
    protocol_status: int = -1
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    answered_at: float = 0.0
    answers: int = 0
    closed_at: float = 0.0  # the connection ended without an answer
    is_written: bool = False  # the system has taken its last byte
    done: asyncio.Event = field(default_factory=asyncio.Event)

    @property
    def verdict(self) -> str:
        if not self.answers:
            return "none"
        if self.protocol_status == 3 - 1 or self.status in (429, 503):  # OVERLOADED is 2
            return "refused"
        return "served" if self.status == 200 else "failed"


class Connection:
    """A web server's FastCGI connection to a front."""

    def __init__(self, record: Record, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.record, self.reader, self.writer = record, reader, writer
        self.open: dict[int, Request] = {}
        self.output: dict[int, bytes] = {}
        self.next_id = 0
        self.is_closed = False
        self.faults: list[str] = []
        self.task = asyncio.create_task(self._read())

    @classmethod
    async def connect(cls, record: Record, address: str) -> Connection:
        reader, writer = await asyncio.open_connection(*split(address))
        sock = writer.get_extra_info("socket")
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        return cls(record, reader, writer)

    def send(self, request: Request, body: bytes = b"", script: str = "", **more: str) -> None:
        self.next_id = self.next_id % 30_000 + 1
        self.open[self.next_id] = request
        self.output[self.next_id] = b""
        values = {
            "SCRIPT_NAME": script or f"/call/{request.cls}", "HTTP_X_JOB_ID": request.job,
            "HTTP_X_ALLOW_MS": str(request.allow_ms), "HTTP_X_ITEM": request.item,
            "HTTP_X_N": str(request.part), "HTTP_X_SHARD": str(request.group),
        } | more  # fmt: skip
        if body:
            values["CONTENT_LENGTH"] = str(len(body))
        request.sent_at = self.record.now()
        self.record.write("request", request.job, request.cls, request.item, request.part, request.allow_ms)
        request.is_written = False
        self.writer.write(encode_request(self.next_id, values, body))
        self._note_written(request)

    def _note_written(self, request: Request) -> None:
        """Note whether the system has taken all that was written; else look again soon."""
        if self.writer.transport.get_write_buffer_size() == 0:
            request.is_written = not self.is_closed
        elif not self.writer.is_closing():
            asyncio.get_running_loop().call_later(0.0005, self._note_written, request)

    async def _read(self) -> None:
        try:
            while True:
                head = await self.reader.readexactly(8)
                version, kind, id, size, padding = struct.unpack(">BBHHBx", head)
                content = (await self.reader.readexactly(size + padding))[:size]
                if version != 1 or id not in self.open:
                    self.faults.append(f"a record of kind {kind} for request {id}, which is not open")
                    continue
                if kind == STDOUT:
                    self.output[id] += content
                elif kind == END:
                    self._finish(id, content)
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        self.is_closed = True
        for request in self.open.values():
            request.closed_at = self.record.now()
            self.record.write("closed", request.job)
            request.done.set()
        self.writer.close()

    def _finish(self, id: int, content: bytes) -> None:
        request = self.open.pop(id)
        head, _, body = self.output.pop(id).partition(b"\r\n\r\n")
        request.answered_at, request.answers = self.record.now(), request.answers + 1
        request.protocol_status = content[4]
        if head:
            request.headers = dict(line.split(": ", 1) for line in head.decode().split("\r\n"))
            request.status = int(request.headers["Status"].split()[0])
        request.body = body
        self.record.write("answered", request.job, request.status, request.protocol_status, len(body))
        request.done.set()

    def close(self) -> None:
        self.task.cancel()
        self.writer.close()


class Clients:
    """Web servers that keep some connections to one front and send requests over them."""

    def __init__(self, record: Record, address: str, connections: int = 4, seed: int = 1) -> None:
        self.record, self.address, self.count = record, address, connections
        self.random = random.Random(seed)
        self.connections: list[Connection] = []
        self.requests: list[Request] = []

    def make(self, cls: str, allow_ms: int, objects: int = 400, group: int | None = None) -> Request:
        number = self.random.randrange(objects)
        item = f"{(number + 1) * 0x9E3779B97F4A7 % (1 << 52):016x}"
        job = f"{self.random.getrandbits(64):016x}"
        return Request(job, cls, item, 0, number % 256 if group is None else group, allow_ms)

    async def send(self, request: Request, body: bytes = b"", **more: str) -> Request:
        self.connections = [c for c in self.connections if not c.is_closed]
        free = [c for c in self.connections if len(c.open) < 32]
        if len(self.connections) < self.count or not free:
            connection = await Connection.connect(self.record, self.address)
            self.connections.append(connection)
        else:
            connection = min(free, key=lambda c: len(c.open))
        self.requests.append(request)
        connection.send(request, body, **more)
        return request

    def close(self) -> None:
        for connection in self.connections:
            connection.close()


# The front


class Front:
    """A front as a process, started by the deploy file's `run` as the platform does it."""

    def __init__(self, folder: Path, record: Record, config: dict[str, Any]) -> None:
        self.folder, self.record, self.config = folder, record, config
        self.path = folder / f"{config['name']}.json"
        self.operator_file: Path | None = None  # the operators' file, if any
        self.process: asyncio.subprocess.Process | None = None
        self.log: list[str] = []
        self.log_task: asyncio.Task[None] | None = None

    @property
    def address(self) -> str:
        return str(self.config["listen"])

    def write_config(self, **changes: Any) -> None:
        """Replace the configuration file as a whole."""
        self.config = self.config | changes
        new = self.path.with_suffix(".new")
        new.write_text(json.dumps(self.config))
        new.replace(self.path)

    async def start(self) -> None:
        run = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
        self.write_config()
        environment = {k: v for k, v in os.environ.items() if not k.startswith("ROUTER_")}
        environment |= {
            "ROUTER_NAME": self.config["name"], "ROUTER_LISTEN": self.address,
            "ROUTER_CONFIG": str(self.path), "TMPDIR": str(self.folder),
        }  # fmt: skip
        if self.operator_file is not None:
            environment["ROUTER_OPERATOR"] = str(self.operator_file)
        self.process = await asyncio.create_subprocess_exec(
            "/bin/sh", "-c", run, cwd=ROOT, env=environment, stdin=asyncio.subprocess.DEVNULL,
            stdout=asyncio.subprocess.DEVNULL, stderr=asyncio.subprocess.PIPE,
        )  # fmt: skip
        self.log_task = asyncio.create_task(self._read_log())
        for _ in range(300):
            if self.process.returncode is not None:
                raise RuntimeError(f"the front has ended: {self.log[-3:]}")
            with contextlib.suppress(OSError):
                connection = await Connection.connect(self.record, self.address)
                ping = Request("ping", "", "", 0, 0, 1000)
                connection.send(ping, script="/ping")
                with contextlib.suppress(TimeoutError):
                    await asyncio.wait_for(ping.done.wait(), 1)
                connection.close()
                if ping.status == 200:
                    self.record.write("ready", self.config["name"])
                    return
            await asyncio.sleep(0.1)
        raise RuntimeError("the front did not answer /ping within 30 s")

    async def _read_log(self) -> None:
        assert self.process is not None and self.process.stderr is not None
        while line := await self.process.stderr.readline():
            self.log.append(line.decode(errors="replace").rstrip())
            self.record.write("log", self.config["name"], self.log[-1])

    def signal(self, number: int) -> None:
        assert self.process is not None
        self.record.write("signal", self.config["name"], signal.Signals(number).name)
        self.process.send_signal(number)

    @property
    def has_ended(self) -> bool:
        return self.process is None or self.process.returncode is not None

    async def kill(self) -> None:
        if self.process is not None and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()


def host(name: str, address: str, kind: str = "small-box", **changes: Any) -> dict[str, Any]:
    """An entry of the list; parents and the origin stand in the hub."""
    site = "edge-1" if kind == "small-box" else "north"
    block = 2 if kind == "small-box" else 1  # no two zones share a number
    base = {"host": name, "dial": address, "site": site, "class": kind, "block": block,
            "health": "SERVING", "share": 30, "born_ms": 0}  # fmt: skip
    return base | changes


def make_settings(**changes: Any) -> dict[str, Any]:
    """Settings of a small deployment, in the form of WIRE's page; `changes` replace whole sections."""
    second = 1_000_000_000
    base: dict[str, Any] = {
        "callers": {"marks_retry": True},
        "family": "edge",
        "family_info": {
            "aged_worth": [0.7, 0.5, 0.7], "class_fresh": [0, 12 * second, 0], "client_kb_per_s": 4000.0,
            "collapses": True, "detail": "all", "home_hub": [0, 0], "in_parts": [True, False, False],
            "never_kept": [False, False, True], "origin_fall_multiple": 0.0, "origin_over_for": 3 * second,
            "pass_through_ok": True, "peers_fill": "location", "price_of_link": 0.04,
            "purge_settles": 6 * second, "purge_slack": second // 2, "root_kind": 2,
            "report_x0": "share_of_hits__lately", "seats_by_zone": [0, 1], "second_tier_kind": 1,
            "upper_cold": 20 * second, "upper_cold_from": 0.1, "upper_fall_multiple": 2.0,
            "usable_after": [0, 10 * second, 0], "zone_link_kb_per_s": [0.0, 0.0],
        },
        "goal": {"whole": 0.6, "worst_class": 0.3, "worst_tenant": 0.0, "worst_window": 0.1},
        "limits": {
            "cancel": True, "conn_idle": 30 * second, "cpu_us_per_request": 0.0, "cpu_us_per_s": 400000,
            "dial_timeout": 400_000_000, "max_open": 20000, "max_retry_after": second // 2,
            "may_duplicate": True, "multiplex": 100, "peers": False, "probes": True, "retry_after": True,
            "try_limit": 8,
        },
        "me": 0, "over_share_worth": 0.1, "parties": [], "registry_mode": "pushed", "replicas_of_me": 1,
        "report": {"fields": ["load_share", "x0"], "how": "on_probe"},
        "rules": {
            "answer_slack": 8_000_000, "cold_from": 0.2, "drain_grace": 2 * second, "fall_multiple": 2.5,
            "must_ask_in": 10 * second, "tip_after": 1_500_000_000, "warm_within": 13 * second,
        },
        "services": [
            {"aim_stretch": 2.0, "effect": "free", "group": "all", "hard_limit": 5 * second,
             "late_worth": 0.15, "name": "lot-video", "on_time": 600_000_000, "stream": False,
             "window": 5 * second, "worth": 2.0},
            {"aim_stretch": 2.0, "effect": "free", "group": "all", "hard_limit": 3 * second,
             "late_worth": 0.2, "name": "lot-image", "on_time": 250_000_000, "stream": False,
             "window": 5 * second, "worth": 1.0},
            {"effect": "single_shot", "group": "all", "hard_limit": 3 * second, "late_worth": 0.0,
             "name": "bid", "on_time": 700_000_000, "stream": False, "window": 5 * second, "worth": 3.0},
        ],
        "skus": ["small-box", "parent", "origin"], "stages": ["branch-cache"], "step": 2_000_000, "tier": 0,
        "value_by": "request", "weights": "rough", "zone": 1, "zones": ["north", "edge-1"],
    }  # fmt: skip
    for key, value in changes.items():
        base[key] = base[key] | value if isinstance(value, dict) else value
    return base


def make_config(log: ChangeLog, settings: dict[str, Any], name: str = "n0", **changes: Any) -> dict[str, Any]:
    base = {
        "name": name, "listen": free_address(), "seed": f"{random.getrandbits(64):016x}",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024}, "changelog": log.address,
        "flow_bytes_per_s": 310000, "link_bytes_per_s": 1240000, "known": log.snapshot(),
        "settings": settings,
    }  # fmt: skip
    return base | changes


@dataclass
class Stage:
    """What a case plays on: its folder, record, machines, change log and fronts."""

    record: Record
    folder: Path
    machines: dict[str, Machine] = field(default_factory=dict)
    log: ChangeLog = None  # type: ignore[assignment]
    fronts: list[Front] = field(default_factory=list)
    processes: list[asyncio.subprocess.Process] = field(default_factory=list)  # further ones, ended with the case

    async def lay(self, machines: dict[str, Behaviour], **hosts: dict[str, Any]) -> None:
        """Start machines (names: s.. caches, p.. parents, o.. origin) and the log with their whole list."""
        self.log = ChangeLog(self.record)
        await self.log.start()
        kinds = {"s": "small-box", "p": "parent", "o": "origin"}
        listed = []
        for name, behaviour in machines.items():
            machine = self.machines[name] = Machine(name, self.record, behaviour)
            await machine.start()
            listed.append(host(name, machine.address, kinds[name[0]], **hosts.get(name.replace("-", ""), {})))
        self.log.add(fleet={"seq": 1, "whole": True, "hosts": listed})

    async def front(
        self, settings: dict[str, Any], operator_file: Path | None = None, **changes: Any
    ) -> Front:
        front = Front(self.folder, self.record, make_config(self.log, settings, **changes))
        front.operator_file = operator_file
        self.fronts.append(front)
        await front.start()
        return front

    def change(self, name: str, **changes: Any) -> int:
        """Tell a change of one machine."""
        kinds = {"s": "small-box", "p": "parent", "o": "origin"}
        entry = host(name, self.machines[name].address, kinds[name[0]], **changes)
        return self.log.add(fleet={"seq": len(self.log.events) + 1, "whole": False, "hosts": [entry]})


def play(case: str, scenario: Callable[[Stage], Awaitable[int]]) -> None:
    """Run a case and exit with its verdict; all that was started is ended."""
    folder = Path(case).resolve().parent

    async def run() -> int:
        record = Record(folder)
        with tempfile.TemporaryDirectory(prefix="review-") as temporary:
            stage = Stage(record, Path(temporary))
            try:
                async with asyncio.timeout(110):
                    return await scenario(stage)
            except Exception as error:  # noqa: BLE001 - whatever it is, it says nothing of the front
                record.say("the case could not run:", type(error).__name__, error)
                return VOID
            finally:
                for process in stage.processes:
                    if process.returncode is None:
                        process.kill()
                        await process.wait()
                for front in stage.fronts:
                    await front.kill()
                for machine in stage.machines.values():
                    machine.stop()
                record.file.flush()

    code = asyncio.run(run())
    sys.stdout.flush()
    os._exit(code)
