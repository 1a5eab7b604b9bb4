"""A scripted cache: one machine that listens over TCP4, TCP6 and Unix at once and drops at chosen moments.

Written from the protocol page. Whole commands are counted by id over all its addresses, so a test can say how
often a request was received. Loopback only; every wait ends with the connection or with `close`.
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
PORTS = itertools.count(0)


class Moment(Enum):
    """When an address drops what comes to it."""

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
    moment: Moment = Moment.NEVER
    rst: bool = False  # by RST, else by FIN
    bytes: int = 0
    wait: float = 0.0
    times: int = 1 << 30  # so many connections are dropped, then it serves


@dataclass
class ScriptedEndpoint:
    """One address of the machine."""

    kind: str  # "ipv4", "ipv6" or "unix"
    address: str  # the address as it is told
    script: Script = field(default_factory=Script)
    listener: socket.socket | None = None
    fillers: list[socket.socket] = field(default_factory=list)
    accepted = 0


class Machine:
    """Doors, what came through them, and how often each id was received whole."""

    def __init__(self, folder: Path, kinds: tuple[str, ...] = ("ipv4", "ipv6", "unix")) -> None:
        self.folder, self.kinds = folder, kinds
        self.endpoint_by_kind: dict[str, ScriptedEndpoint] = {}
        self.received_count_by_id: Counter[str] = Counter()
        self.started_count_by_id: Counter[str] = Counter()  # commands of which at least a line was read
        self.cancelled: list[str] = []
        self.received_commands: list[tuple[str, str]] = []  # (kind, id) of whole commands, in order
        self.tasks: set[asyncio.Task[None]] = set()
        self.open_sockets: set[socket.socket] = set()

    async def start(self) -> None:
        for kind in self.kinds:
            sock, text = self._listen(kind)
            self.endpoint_by_kind[kind] = ScriptedEndpoint(kind, text, listener=sock)
            self._spawn(self._accept(self.endpoint_by_kind[kind], sock))

    def _listen(self, kind: str, text: str | None = None, backlog: int = 512) -> tuple[socket.socket, str]:
        if kind == "unix":
            path = text.removeprefix("unix:") if text else str(self.folder / f"s{next(PORTS)}")
            sock = socket.socket(socket.AF_UNIX)
            sock.bind(path)
            text = f"unix:{path}"
        else:
            six = kind == "ipv6"
            sock = socket.socket(socket.AF_INET6 if six else socket.AF_INET)
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            port = int(text.rpartition(":")[2]) if text else 0
            sock.bind(("::1" if six else "127.0.0.1", port))
            text = f"{'[::1]' if six else '127.0.0.1'}:{sock.getsockname()[1]}"
        sock.listen(backlog)
        sock.setblocking(False)
        return sock, text

    def set(self, kind: str, script: Script) -> None:
        """From now on that door does so."""
        door = self.endpoint_by_kind[kind]
        door.script = script
        if script.moment is Moment.REFUSE:
            self._close_listener(door)
        elif script.moment is Moment.FULL:
            self._close_listener(door)
            door.listener, _ = self._listen(kind, door.address, 0)
            self._fill_backlog(door)
        elif door.listener is None:
            door.listener, _ = self._listen(kind, door.address)
            self._spawn(self._accept(door, door.listener))

    def _close_listener(self, door: ScriptedEndpoint) -> None:
        if door.listener is not None:
            asyncio.get_running_loop().remove_reader(door.listener)
            door.listener.close()
            door.listener = None
        if door.kind == "unix":
            with contextlib.suppress(OSError):
                os.unlink(door.address.removeprefix("unix:"))
        for filler in door.fillers:
            filler.close()
        door.fillers.clear()

    def _fill_backlog(self, door: ScriptedEndpoint) -> None:
        """Take the places of the backlog: whoever comes then is neither accepted nor refused."""
        assert door.listener is not None
        for _ in range(4):
            filler = socket.socket(door.listener.family)
            filler.setblocking(False)
            with contextlib.suppress(BlockingIOError):
                filler.connect(door.listener.getsockname())
            door.fillers.append(filler)

    def _spawn(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _accept(self, door: ScriptedEndpoint, sock: socket.socket) -> None:
        loop = asyncio.get_running_loop()
        while door.listener is sock:
            ready = loop.create_future()
            loop.add_reader(sock, lambda f=ready: f.done() or f.set_result(None))  # type: ignore[misc]
            try:
                await ready
            except asyncio.CancelledError:
                return
            if door.listener is not sock:
                return
            loop.remove_reader(sock)
            script = door.script
            if script.moment is Moment.BEFORE and script.times > 0:
                script.times -= 1
                self._close_listener(door)
                return
            if script.moment is Moment.LATE:
                await asyncio.sleep(script.wait)
            with contextlib.suppress(OSError):
                peer, _ = sock.accept()
                peer.setblocking(False)
                door.accepted += 1
                self.open_sockets.add(peer)
                self._spawn(self._serve(door, peer, script))

    def _drop(self, peer: socket.socket, rst: bool) -> None:
        if rst:
            with contextlib.suppress(OSError):
                peer.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_0)
        self.open_sockets.discard(peer)
        peer.close()

    async def _serve(self, door: ScriptedEndpoint, peer: socket.socket, script: Script) -> None:
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
                words = line.decode().split(" ")
                if words[0] == "cancel":
                    self.cancelled.append(words[1])
                    continue
                if words[0] in ("health", "gauges"):
                    await loop.sock_sendall(peer, f"{words[1]} well - 0\r\n\r\n".encode())
                    continue
                self.started_count_by_id[words[1]] += 1
                size = int(words[3]) + 2
                while len(buffer) < size:
                    data = await loop.sock_recv(peer, 65536)
                    if not data:
                        return
                    buffer += data
                buffer = buffer[size:]
                self.received_count_by_id[words[1]] += 1
                self.received_commands.append((door.kind, words[1]))
                if drops is Moment.WHOLE:
                    script.times -= 1
                    return
                if drops is Moment.SILENT:
                    continue
                minted = time.time_ns() // 1_000_000
                head = f"{words[1]} data tag=4be0c1927d55a6f3,minted={minted},how=local,lag=1 5\r\n".encode()
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
        return [self.endpoint_by_kind[kind].address for kind in order or self.kinds]

    async def close(self) -> None:
        for door in self.endpoint_by_kind.values():
            self._close_listener(door)
        for task in list(self.tasks):
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        for peer in list(self.open_sockets):
            self._drop(peer, False)
