"""Stand-ins of the review: caches, a change log and FastCGI clients by PROTOCOL.md, and a front as a process.

Only the standard library is used. Every address is 127.0.0.1. Each case writes what happens to its record.txt.
"""

from __future__ import annotations

import asyncio
import json
import os
import shutil
import signal
import socket
import struct
import tempfile
import time
import tomllib
from collections.abc import Callable
from pathlib import Path
from typing import Any
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parent.parent
NS = 1_000_000_000
SLACK_S = 0.05  # PROTOCOL.md, "The rules on sockets": each time limit is 50 ms longer


def lotmedia_settings(fronts: int = 1) -> dict[str, Any]:
    """The settings of `lotmedia-branches`, with the figures that the wire's page and the site file give."""
    ms = 1_000_000
    free = {"effect": "free", "group": "all", "stream": False, "window": 5000 * ms, "aim_stretch": 2.0}
    return {
        "callers": {"marks_retry": True}, "family": "edge",
        "family_info": {
            "aged_worth": [0.7, 0.5, 0.7], "class_fresh": [0, 12000 * ms, 0], "client_kb_per_s": 9900.0,
            "collapses": True, "detail": "all", "home_hub": [0, 0], "in_parts": [True, False, False],
            "never_kept": [False, False, True], "origin_fall_multiple": 0.0, "origin_over_for": 3000 * ms,
            "pass_through_ok": True, "peers_fill": "location", "price_of_link": 0.04, "purge_settles": 6000 * ms,
            "purge_slack": 500 * ms, "root_kind": 2, "seats_by_zone": [0, fronts], "second_tier_kind": 1,
            "upper_cold": 21000 * ms, "upper_cold_from": 0.076, "upper_fall_multiple": 2.0,
            "usable_after": [0, 10000 * ms, 0], "zone_link_kb_per_s": [0.0, 0.0],
        },
        "goal": {"whole": 0.6, "worst_class": 0.3, "worst_tenant": 0.0, "worst_window": 0.1},
        "limits": {
            "cancel": True, "conn_idle": 30000 * ms, "cpu_us_per_request": 0.0, "cpu_us_per_s": 400000,
            "dial_timeout": 400 * ms, "max_open": 20000, "max_retry_after": 500 * ms, "may_duplicate": True,
            "multiplex": 100, "peers": False, "probes": True, "retry_after": True, "try_limit": 8,
        },
        "me": 0, "over_share_worth": 0.1, "parties": [], "registry_mode": "pushed", "replicas_of_me": fronts,
        "report": {"fields": ["load_share", "x0"], "how": "on_probe"},
        "rules": {
            "answer_slack": 8 * ms, "cold_from": 0.2, "drain_grace": 2000 * ms, "fall_multiple": 2.5,
            "must_ask_in": 10000 * ms, "tip_after": 1500 * ms, "warm_within": 13000 * ms,
        },
        "services": [
            free | {"name": "lot-video", "on_time": 600 * ms, "hard_limit": 5000 * ms, "worth": 2.0,
                    "late_worth": 0.15},
            free | {"name": "lot-image", "on_time": 250 * ms, "hard_limit": 3000 * ms, "worth": 1.0,
                    "late_worth": 0.2},
            free | {"name": "bid", "on_time": 700 * ms, "hard_limit": 3000 * ms, "worth": 3.0,
                    "late_worth": 0.0, "effect": "single_shot", "aim_stretch": 0.0},
        ],
        "skus": ["small-box", "parent", "origin"], "stages": ["branch-cache"], "step": 2 * ms, "tier": 0,
        "value_by": "request", "weights": "rough", "zone": 1, "zones": ["north", "edge-1"],
    }  # fmt: skip


def gym_settings(fronts: int = 1) -> dict[str, Any]:
    """The settings of `gym-media-net`: two classes that may be repeated; no size in the list, no probes."""
    ms = 1_000_000
    settings = lotmedia_settings(fronts)
    free = {"effect": "free", "group": "all", "stream": False, "window": 5000 * ms}
    settings["services"] = [
        free | {"name": "class-video", "on_time": 600 * ms, "aim_stretch": 1.6, "hard_limit": 6000 * ms,
                "worth": 2.0, "late_worth": 0.15},
        free | {"name": "page-asset", "on_time": 250 * ms, "aim_stretch": 2.0, "hard_limit": 2500 * ms,
                "worth": 1.0, "late_worth": 0.2},
    ]  # fmt: skip
    settings["family_info"] |= {
        "aged_worth": [0.7, 0.7], "class_fresh": [0, 0], "in_parts": [True, False], "never_kept": [False, False],
        "usable_after": [0, 0], "pass_through_ok": False, "collapses": False, "purge_slack": 300 * ms,
        "upper_cold": 19000 * ms, "upper_cold_from": 0.061, "client_kb_per_s": 5000.0,
    }  # fmt: skip
    settings["limits"] |= {"probes": False, "retry_after": False, "try_limit": 6, "conn_idle": 15000 * ms}
    settings["report"] = {"fields": [], "how": "off"}
    settings["weights"] = "off"
    settings["rules"] |= {"drain_grace": 500 * ms, "fall_multiple": 3.0, "tip_after": 1000 * ms, "cold_from": 0.16,
                          "warm_within": 15000 * ms}  # fmt: skip
    return settings


def front_config(log: ChangeLog, settings: dict[str, Any]) -> dict[str, Any]:
    return {
        "name": "n0", "listen": "127.0.0.1:5050", "seed": os.urandom(8).hex(),
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024}, "changelog": log.address,
        "flow_bytes_per_s": 9_900_000, "link_bytes_per_s": 39_600_000, "known": log.known(), "settings": settings,
    }  # fmt: skip


def has_trouble() -> bool:
    """Whether the disruption is played; TROUBLE=0 leaves it out."""
    return os.environ.get("TROUBLE", "1") != "0"


class Record:
    """The record of a case: one line for each thing sent, answered or run, with seconds since the start."""

    def __init__(self, path: Path) -> None:
        self.file = path.open("w", encoding="utf-8")
        self.started = time.monotonic()
        self.note("case", folder=path.parent.name, trouble=has_trouble())

    def now(self) -> float:
        return time.monotonic() - self.started

    def note(self, what: str, **facts: Any) -> None:
        if self.file.closed:  # a stand-in that ends after the case
            return
        text = " ".join(f"{name}={value}" for name, value in facts.items())
        self.file.write(f"{self.now():9.4f} {what} {text}\n")

    def close(self) -> None:
        self.file.close()


class Serve:
    """A `serve` command that a stand-in received whole."""

    def __init__(self, cache: Cache, writer: asyncio.StreamWriter, id: str, fields: dict[str, str], body: bytes):
        self.cache, self.writer, self.id, self.fields, self.body = cache, writer, id, fields, body
        self.at = cache.record.now()
        self.is_cancelled = False

    def answer(self, word: str, body: bytes = b"", fields: str = "-") -> None:
        if self.is_cancelled or self.writer.is_closing():
            return
        self.cache.record.note("answer", host=self.cache.host, id=self.id, word=word, bytes=len(body))
        self.writer.write(f"{self.id} {word} {fields} {len(body)}\r\n".encode() + body + b"\r\n")

    def answer_with_data(self) -> None:
        """Give the bytes of the part; the copy was given out by the origin long after any purge."""
        body = f"{self.fields['key']}.{self.fields['part']}.".encode() * 40
        minted = time.time_ns() // 1_000_000
        self.answer("data", body, f"tag=4be0c1927d55a6f3,minted={minted},how=local,lag=0")


class Cache:
    """A cache, parent or origin that works at each command for a few milliseconds and then gives the bytes."""

    def __init__(self, record: Record, host: str, kind: str, site: str, work_s: float = 0.01) -> None:
        self.record, self.host, self.kind, self.site, self.work_s = record, host, kind, site, work_s
        self.serves: list[Serve] = []
        self.behaviour: Callable[[Serve], None] = self.work
        self.server: asyncio.Server | None = None

    async def start(self) -> None:
        self.server = await asyncio.start_server(self._talk, "127.0.0.1", 0)

    @property
    def address(self) -> str:
        assert self.server is not None
        return "127.0.0.1:{}".format(self.server.sockets[0].getsockname()[1])

    def listed(self, **changes: Any) -> dict[str, Any]:
        """The entry of this machine in the change log."""
        size = {"small-box": 30.0, "parent": 60.0, "origin": 200.0}[self.kind]
        entry = {"host": self.host, "dial": self.address, "site": self.site, "class": self.kind, "block": 1,
                 "health": "SERVING", "share": size, "born_ms": 0}  # fmt: skip
        return entry | changes

    def work(self, serve: Serve) -> None:
        asyncio.get_running_loop().call_later(self.work_s, serve.answer_with_data)

    async def _talk(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        open_here: list[Serve] = []
        try:
            while line := await reader.readline():
                words = line.decode("ascii").rstrip("\r\n").split(" ")
                if words[0] == "serve":
                    body = (await reader.readexactly(int(words[3]) + 2))[:-2]
                    fields = dict(item.split("=", 1) for item in words[2].split(",")) if words[2] != "-" else {}
                    serve = Serve(self, writer, words[1], fields, body)
                    self.record.note("serve", host=self.host, id=serve.id, fields=words[2], body=len(body))
                    self.serves.append(serve)
                    open_here.append(serve)
                    self.behaviour(serve)
                elif words[0] == "cancel":
                    self.record.note("cancel", host=self.host, id=words[1])
                    for serve in open_here:
                        serve.is_cancelled = serve.is_cancelled or serve.id == words[1]
                elif words[0] in ("health", "gauges"):
                    writer.write(f"{words[1]} well - 0\r\n\r\n".encode())
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            for serve in open_here:
                serve.is_cancelled = True
            writer.close()


class ChangeLog:
    """The change log of one front: numbered events over HTTP/1.1 long polls.

    Attributes:
        delay_s: An answer leaves so many seconds after it was ready.
        close_delimited: An answer has no Content-Length and ends with its connection (RFC 9112, 6.3).
    """

    def __init__(self, record: Record) -> None:
        self.record = record
        self.events: list[dict[str, Any]] = []
        self.changed = asyncio.Event()
        self.delay_s = 0.0
        self.close_delimited = False
        self.polls = 0
        self.last_answer: tuple[float, int] = (0.0, 0)  # when an answer was last written, and up to which event
        self.server: asyncio.Server | None = None
        self.port = 0
        self.writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        self.server = await asyncio.start_server(self._talk, "127.0.0.1", self.port, reuse_address=True)
        self.port = self.server.sockets[0].getsockname()[1]

    def stop(self) -> None:
        """The log is down: it takes no connection, and those that are open end."""
        assert self.server is not None
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()
        self.record.note("log_down")

    @property
    def address(self) -> str:
        return f"127.0.0.1:{self.port}"

    def add(self, **event: Any) -> float:
        """Enter an event; return when it was entered."""
        self.events.append({"seq": len(self.events) + 1} | event)
        changed, self.changed = self.changed, asyncio.Event()
        changed.set()
        self.record.note("event", **{k: json.dumps(v, separators=(",", ":")) for k, v in self.events[-1].items()})
        return self.record.now()

    def add_hosts(self, whole: bool, hosts: list[dict[str, Any]]) -> float:
        return self.add(fleet={"seq": len(self.events), "whole": whole, "hosts": hosts})

    def known(self) -> dict[str, Any]:
        return {"seq": len(self.events), "results": list(self.events)}

    async def _talk(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.add(writer)
        try:
            while line := await reader.readline():
                while (await reader.readline()).strip():
                    pass
                query = parse_qs(urlsplit(line.decode().split(" ")[1]).query)
                since, timeout = int(query["since"][0]), min(int(query["timeout"][0]), 5000)
                self.polls += 1
                number = self.polls
                self.record.note("poll", number=number, since=since, timeout=timeout)
                if len(self.events) <= since:
                    try:
                        await asyncio.wait_for(self.changed.wait(), timeout / 1000)
                    except TimeoutError:
                        pass
                results = [event for event in self.events if event["seq"] > since]
                last = len(self.events)
                if self.delay_s:
                    await asyncio.sleep(self.delay_s)
                body = json.dumps({"seq": last, "results": results}).encode()
                self.record.note("poll_answer", number=number, seq=last, events=len(results),
                                 client_left=reader.at_eof())  # fmt: skip
                if self.close_delimited:
                    writer.write(b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nConnection: close\r\n\r\n" + body)
                    await writer.drain()
                    return
                head = f"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {len(body)}\r\n\r\n"
                writer.write(head.encode() + body)
                self.last_answer = self.record.now(), last
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()


def record_of(kind: int, request: int, content: bytes = b"") -> bytes:
    return struct.pack(">BBHHBB", 1, kind, request, len(content), 0, 0) + content


def pairs_of(values: dict[str, str]) -> bytes:
    out = b""
    for pair in values.items():
        for text in pair:
            out += bytes([len(text)]) if len(text) < 128 else struct.pack(">I", len(text) | 1 << 31)
        out += "".join(pair).encode()
    return out


class Answer:
    """What a client got for one request: `kind` is served, refused, failed or lost."""

    def __init__(self, job: str, cls: str, sent_at: float, allow_s: float) -> None:
        self.job, self.cls, self.sent_at, self.allow_s = job, cls, sent_at, allow_s
        self.output, self.kind, self.at, self.status = b"", "", 0.0, 0
        self.done = asyncio.Event()

    def end(self, at: float, protocol_status: int) -> None:
        head, _, self.body = self.output.partition(b"\r\n\r\n")
        fields = dict(line.split(": ", 1) for line in head.decode().split("\r\n") if ": " in line)
        self.status = int(fields.get("Status", "0").split()[0])
        self.wait_ms = int(fields.get("X-Wait-Ms", "0"))
        refused = self.status in (429, 503) or protocol_status == 2
        self.kind = "refused" if refused else "served" if self.status == 200 else "failed"
        self.at = at
        self.done.set()


class Client:
    """One FastCGI connection of a web server, with KEEP_CONN; up to 32 requests are open on it."""

    def __init__(self, record: Record, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.record, self.reader, self.writer = record, reader, writer
        self.open: dict[int, Answer] = {}
        self.next_id = 1
        self.is_closed = False
        self.task = asyncio.create_task(self._read())

    @classmethod
    async def connect(cls, record: Record, address: tuple[str, int]) -> Client:
        return cls(record, *await asyncio.open_connection(*address))

    def send(self, cls: str, item: str, part: int, group: int, allow_ms: int, body: bytes = b"",
             **more: str) -> Answer:  # fmt: skip
        """Write one request and return where its answer will be."""
        job = os.urandom(8).hex()
        number, self.next_id = self.next_id, self.next_id % 60_000 + 1
        values = {
            "SCRIPT_NAME": f"/call/{cls}", "REQUEST_METHOD": "POST" if body else "GET",
            "CONTENT_LENGTH": str(len(body)), "HTTP_X_JOB_ID": job, "HTTP_X_ALLOW_MS": str(allow_ms),
            "HTTP_X_ITEM": item, "HTTP_X_N": str(part), "HTTP_X_SHARD": str(group),
        } | more  # fmt: skip
        data = record_of(1, number, struct.pack(">HB5x", 1, 1))
        data += record_of(4, number, pairs_of(values)) + record_of(4, number)
        data += (record_of(5, number, body) if body else b"") + record_of(5, number)
        answer = Answer(job, cls, self.record.now(), allow_ms / 1000)
        self.open[number] = answer
        self.record.note("request", id=job, cls=cls, item=item, part=part, group=group, allow_ms=allow_ms, **more)
        self.writer.write(data)
        return answer

    def take_back(self, answer: Answer) -> None:
        """The client stops waiting: ABORT_REQUEST."""
        number = next((n for n, a in self.open.items() if a is answer), None)
        if number is not None:
            del self.open[number]
            self.record.note("abort", id=answer.job)
            self.writer.write(record_of(2, number))

    async def _read(self) -> None:
        try:
            while True:
                head = await self.reader.readexactly(8)
                _, kind, number, size, padding, _ = struct.unpack(">BBHHBB", head)
                content = (await self.reader.readexactly(size + padding))[:size]
                answer = self.open.get(number)
                if answer is None:
                    self.record.note("stray_record", kind=kind, number=number)
                elif kind == 6:
                    answer.output += content
                elif kind == 3:
                    del self.open[number]
                    answer.end(self.record.now(), content[4])
                    self.record.note("final", id=answer.job, kind=answer.kind, status=answer.status,
                                     after_ms=round(1000 * (answer.at - answer.sent_at)))  # fmt: skip
        except (asyncio.IncompleteReadError, ConnectionError):
            self.is_closed = True
            for answer in self.open.values():
                self.record.note("connection_ended_under", id=answer.job)

    async def close(self) -> None:
        self.task.cancel()
        self.writer.close()


def free_address() -> tuple[str, int]:
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        address: tuple[str, int] = sock.getsockname()
        return address


class Front:
    """One front, started by the command of deploy/balancer.toml as the platform does it."""

    def __init__(self, record: Record, name: str, config: dict[str, Any]) -> None:
        self.record, self.name = record, name
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.address = free_address()
        self.config = config
        self.process: asyncio.subprocess.Process | None = None
        self.log_task: asyncio.Task[None] | None = None
        self.serves = asyncio.Event()
        self.ended_at: float | None = None

    def write_config(self) -> None:
        path = self.folder / "config.new"
        path.write_text(json.dumps(self.config))
        path.replace(self.folder / "config.json")

    async def start(self) -> None:
        run = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())["run"]
        self.write_config()
        scratch = self.folder / "tmp"
        scratch.mkdir(exist_ok=True)
        environment = {k: v for k, v in os.environ.items() if not k.startswith("ROUTER_")} | {
            "ROUTER_CONFIG": str(self.folder / "config.json"), "ROUTER_NAME": self.name,
            "ROUTER_LISTEN": "{}:{}".format(*self.address), "TMPDIR": str(scratch),
        }  # fmt: skip
        self.process = await asyncio.create_subprocess_exec(
            "/bin/sh", "-c", run, cwd=ROOT, env=environment,
            stdout=asyncio.subprocess.DEVNULL, stderr=asyncio.subprocess.PIPE,
        )  # fmt: skip
        self.log_task = asyncio.create_task(self._read_log())
        await asyncio.wait_for(self.serves.wait(), 30)
        self.record.note("front_serves", name=self.name, pid=self.process.pid)

    async def _read_log(self) -> None:
        assert self.process is not None and self.process.stderr is not None
        while line := await self.process.stderr.readline():
            text = line.decode(errors="replace").rstrip()
            self.record.note("front_log", text=text)
            if " serves on " in text:
                self.serves.set()
        code = await self.process.wait()
        self.ended_at = self.record.now()
        self.record.note("front_ended", name=self.name, code=code)

    def signal(self, number: int) -> None:
        assert self.process is not None
        self.record.note("signal", name=self.name, number=signal.Signals(number).name)
        self.process.send_signal(number)

    async def stop(self) -> None:
        if self.process is not None and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()
        if self.log_task is not None:
            self.log_task.cancel()
        shutil.rmtree(self.folder, ignore_errors=True)


def run_case(path: Path, play: Callable[[Record], Any], limit_s: float = 115.0) -> int:
    """Play a case and write its record to `path`; return 1 if it broke the rule, 0 if it held, 2 if it could not run."""

    async def main() -> int:
        record = Record(path)
        try:
            return int(await asyncio.wait_for(play(record), limit_s))
        except Exception as error:  # the case could not run
            record.note("could_not_run", error=repr(error))
            print(f"could not run: {error!r}")
            return 2
        finally:
            record.close()

    def end(*_: object) -> None:
        raise KeyboardInterrupt

    signal.signal(signal.SIGTERM, end)
    try:
        return asyncio.run(main())
    except KeyboardInterrupt:
        return 2
