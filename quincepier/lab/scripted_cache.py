"""A scripted cache that listens on TCP over IPv4 and IPv6 and on a Unix socket, and drops connections on cue.

Implements the protocol page. Complete commands are counted by id over all addresses, so that a test can check
how often a request was received. Loopback only; every wait ends with the connection or with `close`.
"""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import os
import socket
import struct
import time
from collections import Counter
from collections.abc import Coroutine
from dataclasses import dataclass, field
from enum import Enum
from pathlib import Path
from typing import Any

LINGER_0 = struct.pack("ii", 1, 0)
SOCKET_NUMBERS = itertools.count(0)


class Moment(Enum):
    """When an address drops a connection. The values describe each moment."""

    NEVER = "it serves"
    REFUSE = "nobody listens"
    BEFORE = "before accept: the listener goes with what waits in its backlog"
    FULL = "a full backlog that never accepts"
    ACCEPT = "after accept"
    INSIDE = "inside the command, after `bytes` of it"
    WHOLE = "after the whole command"
    ANSWER = "inside the answer"
    AFTER = "after the answer"
    SILENT = "it reads and never answers"
    LATE = "it accepts only after `wait` seconds, then serves"


@dataclass(slots=True)
class Script:
    """How an address misbehaves."""

    moment: Moment = Moment.NEVER
    rst: bool = False  # drop with RST instead of FIN
    bytes: int = 0  # of the command that are read before an INSIDE drop
    wait: float = 0.0  # seconds before a LATE accept
    times: int = 1 << 30  # number of connections to drop before it serves normally


@dataclass
class ScriptedEndpoint:
    """One address of the machine, with its listener."""

    kind: str  # "ipv4", "ipv6" or "unix"
    address: str  # as in the endpoint list
    script: Script = field(default_factory=Script)
    listener: socket.socket | None = None
    fillers: list[socket.socket] = field(default_factory=list)
    accepted = 0


class Machine:
    """The scripted cache.

    Attributes:
        endpoint_by_kind: Its addresses.
        received_count_by_id: How often each command was received completely.
        started_count_by_id: How often at least the first line of each command was received.
        cancelled: Ids of received cancel commands.
        received_commands: Address kind and id of each complete command, in order.
    """

    def __init__(self, folder: Path, kinds: tuple[str, ...] = ("ipv4", "ipv6", "unix")) -> None:
        self.folder, self.kinds = folder, kinds
        self.endpoint_by_kind: dict[str, ScriptedEndpoint] = {}
        self.received_count_by_id: Counter[str] = Counter()
        self.started_count_by_id: Counter[str] = Counter()
        self.cancelled: list[str] = []
        self.received_commands: list[tuple[str, str]] = []
        self.tasks: set[asyncio.Task[None]] = set()
        self.open_sockets: set[socket.socket] = set()

    async def start(self) -> None:
        """Listen on all addresses."""
        for kind in self.kinds:
            sock, address = self._listen(kind)
            self.endpoint_by_kind[kind] = ScriptedEndpoint(kind, address, listener=sock)
            self._spawn(self._accept(self.endpoint_by_kind[kind], sock))

    def _listen(self, kind: str, address: str | None = None, backlog: int = 512) -> tuple[socket.socket, str]:
        if kind == "unix":
            path = address.removeprefix("unix:") if address else str(self.folder / f"s{next(SOCKET_NUMBERS)}")
            sock = socket.socket(socket.AF_UNIX)
            sock.bind(path)
            address = f"unix:{path}"
        else:
            six = kind == "ipv6"
            sock = socket.socket(socket.AF_INET6 if six else socket.AF_INET)
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            port = int(address.rpartition(":")[2]) if address else 0
            sock.bind(("::1" if six else "127.0.0.1", port))
            address = f"{'[::1]' if six else '127.0.0.1'}:{sock.getsockname()[1]}"
        sock.listen(backlog)
        sock.setblocking(False)
        return sock, address

    def set(self, kind: str, script: Script) -> None:
        """Apply a script to an address from now on."""
        endpoint = self.endpoint_by_kind[kind]
        endpoint.script = script
        if script.moment is Moment.REFUSE:
            self._close_listener(endpoint)
        elif script.moment is Moment.FULL:
            self._close_listener(endpoint)
            endpoint.listener, _ = self._listen(kind, endpoint.address, 0)
            self._fill_backlog(endpoint)
        elif endpoint.listener is None:
            endpoint.listener, _ = self._listen(kind, endpoint.address)
            self._spawn(self._accept(endpoint, endpoint.listener))

    def _close_listener(self, endpoint: ScriptedEndpoint) -> None:
        if endpoint.listener is not None:
            asyncio.get_running_loop().remove_reader(endpoint.listener)
            endpoint.listener.close()
            endpoint.listener = None
        if endpoint.kind == "unix":
            with contextlib.suppress(OSError):
                os.unlink(endpoint.address.removeprefix("unix:"))
        for filler in endpoint.fillers:
            filler.close()
        endpoint.fillers.clear()

    def _fill_backlog(self, endpoint: ScriptedEndpoint) -> None:
        """Fill the accept backlog, so that further connections are neither accepted nor refused."""
        assert endpoint.listener is not None
        for _ in range(4):
            filler = socket.socket(endpoint.listener.family)
            filler.setblocking(False)
            with contextlib.suppress(BlockingIOError):
                filler.connect(endpoint.listener.getsockname())
            endpoint.fillers.append(filler)

    def _spawn(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _accept(self, endpoint: ScriptedEndpoint, sock: socket.socket) -> None:
        loop = asyncio.get_running_loop()
        while endpoint.listener is sock:
            ready = loop.create_future()
            loop.add_reader(sock, lambda f=ready: f.done() or f.set_result(None))  # type: ignore[misc]
            try:
                await ready
            except asyncio.CancelledError:
                return
            if endpoint.listener is not sock:
                return
            loop.remove_reader(sock)
            script = endpoint.script
            if script.moment is Moment.BEFORE and script.times > 0:
                script.times -= 1
                self._close_listener(endpoint)
                return
            if script.moment is Moment.LATE:
                await asyncio.sleep(script.wait)
            with contextlib.suppress(OSError):
                peer, _ = sock.accept()
                peer.setblocking(False)
                endpoint.accepted += 1
                self.open_sockets.add(peer)
                self._spawn(self._serve(endpoint, peer, script))

    def _drop(self, peer: socket.socket, rst: bool) -> None:
        if rst:
            with contextlib.suppress(OSError):
                peer.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_0)
        self.open_sockets.discard(peer)
        peer.close()

    async def _serve(self, endpoint: ScriptedEndpoint, peer: socket.socket, script: Script) -> None:
        loop, rst = asyncio.get_running_loop(), script.rst
        drops = script.moment if script.times > 0 else Moment.NEVER
        buffer = b""
        try:
            if drops is Moment.ACCEPT:
                script.times -= 1
                return
            while True:
                if drops is Moment.INSIDE:
                    while len(buffer) < script.bytes:
                        data = await loop.sock_recv(peer, script.bytes - len(buffer))
                        if not data:
                            return
                        buffer += data
                    script.times -= 1
                    return
                while b"\r\n" not in buffer:
                    data = await loop.sock_recv(peer, 65536)
                    if not data:
                        return
                    buffer += data
                line, _, buffer = buffer.partition(b"\r\n")
                fields = line.decode().split(" ")
                if fields[0] == "cancel":
                    self.cancelled.append(fields[1])
                    continue
                if fields[0] in ("health", "gauges"):
                    await loop.sock_sendall(peer, f"{fields[1]} well - 0\r\n\r\n".encode())
                    continue
                self.started_count_by_id[fields[1]] += 1
                size = int(fields[3]) + 2
                while len(buffer) < size:
                    data = await loop.sock_recv(peer, 65536)
                    if not data:
                        return
                    buffer += data
                buffer = buffer[size:]
                self.received_count_by_id[fields[1]] += 1
                self.received_commands.append((endpoint.kind, fields[1]))
                if drops is Moment.WHOLE:
                    script.times -= 1
                    return
                if drops is Moment.SILENT:
                    continue
                now_ms = time.time_ns() // 1_000_000
                head = f"{fields[1]} data tag=4be0c1927d55a6f3,minted={now_ms},how=local,lag=1 5\r\n".encode()
                if drops is Moment.ANSWER:
                    script.times -= 1
                    await loop.sock_sendall(peer, head + b"by")
                    return
                await loop.sock_sendall(peer, head + b"bytes\r\n")
                if drops is Moment.AFTER:
                    script.times -= 1
                    return
        except OSError:
            pass
        finally:
            self._drop(peer, rst)

    def addresses(self, order: tuple[str, ...] | None = None) -> list[str]:
        """Return the addresses, by default in the order of `kinds`."""
        return [self.endpoint_by_kind[kind].address for kind in order or self.kinds]

    async def close(self) -> None:
        """Close all listeners and connections."""
        for endpoint in self.endpoint_by_kind.values():
            self._close_listener(endpoint)
        for task in list(self.tasks):
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        for peer in list(self.open_sockets):
            self._drop(peer, False)
