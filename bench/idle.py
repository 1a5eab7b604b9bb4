"""Measures the cost of many idle client connections, and the latency of a few active clients beside them.

Run by hand with `.venv/bin/python bench/idle.py`; loopback only. Memory is in KiB per idle connection, CPU
in cores, latency in ms.

Usage:
  idle.py [--counts LIST] [--fronts N] [--before DIR] [--seconds N]

Options:
  --counts LIST  Total numbers of idle connections, one run each [default: 0,10000,50000,100000].
  --fronts N     Fronts that share one core; 9,800 idle connections each at most [default: 12].
  --before DIR   Another checkout that is measured too; a run that it can't do is shown as failed.
  --seconds N    How long the active clients send requests while the others are idle [default: 10].

The fronts share core 0; the holders of idle connections and the active clients run on the other cores.
Each idle connection has sent one /ping. One active client per front requests a cached object 8 times
a second, at times fixed beforehand: latency counts from the intended time. In the storm every idle
connection sends /ping at once. Connections, requests and duration are bounded.
"""

from __future__ import annotations

import asyncio
import os
import resource
import socket
import sys
import tempfile
import time
from pathlib import Path
from typing import Any

HERE = Path(__file__).resolve().parent.parent
sys.path.insert(0, str(HERE))

import uvloop  # noqa: E402
from docopt import docopt  # noqa: E402
from hdrh.histogram import HdrHistogram  # noqa: E402

from bench.measure import cpu_seconds_of, resident_bytes_of  # noqa: E402
from tests.fcgikit import encode_request  # noqa: E402
from tests.standins import Cache, Client, Front, ReceivedCommand  # noqa: E402

MAX_IDLE_PER_FRONT, FRONT_CORE, REQUESTS_PER_S, DESCRIPTOR_LIMIT = 9800, 0, 8.0, 20_000
PING = encode_request(1, {"SCRIPT_NAME": "/ping"})
QUANTILES = (50, 90, 99, 100)
SOCKET_BUFFER_BYTES = 4096


def respond(asked: ReceivedCommand) -> None:
    asked.respond_with_data(b"x" * 2000)


def kernel_memory() -> int:
    """Return the bytes of kernel slab memory, which contains sockets and poll structures; 0 if unknown."""
    for line in Path("/proc/meminfo").read_text().splitlines():
        if line.startswith("Slab:"):
            return int(line.split()[1]) * 1024
    return 0


async def hold_connections(address: tuple[str, int], count: int, source: str, control: socket.socket) -> None:
    """Hold idle connections in this process; on a wake-up, send /ping on all, report the time, and end."""
    loop, peers = asyncio.get_running_loop(), list[socket.socket]()
    for n in range(count):
        peer = socket.socket()
        peer.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SOCKET_BUFFER_BYTES)
        peer.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SOCKET_BUFFER_BYTES)
        peer.bind((source, 0))
        peer.setblocking(False)
        await loop.sock_connect(peer, address)
        await loop.sock_sendall(peer, PING)
        peers.append(peer)
        if n % 50 == 49:  # wait for a response, so that the front never rejects connections
            await loop.sock_recv(peer, 4096)
    await asyncio.sleep(0.5)
    for peer in peers:
        try:
            while peer.recv(4096):
                pass
        except BlockingIOError:
            pass
    control.setblocking(False)
    await loop.sock_sendall(control, b"r")
    await loop.sock_recv(control, 1)
    began, answered, remaining = time.monotonic(), loop.create_future(), len(peers)

    def on_readable(peer: socket.socket) -> None:
        nonlocal remaining
        loop.remove_reader(peer)
        peer.recv(4096)
        remaining -= 1
        if not remaining and not answered.done():
            answered.set_result(None)

    for peer in peers:
        loop.add_reader(peer, on_readable, peer)
        peer.send(PING)
    if peers:
        async with asyncio.timeout(60):
            await answered
    await loop.sock_sendall(control, f"{time.monotonic() - began:.3f}".encode())
    await loop.sock_recv(control, 1)
    for peer in peers:
        peer.close()


def start_holder(address: tuple[str, int], count: int, source: str) -> tuple[int, socket.socket]:
    """Fork a process that holds connections; return its pid and its control socket."""
    ours, theirs = socket.socketpair()
    pid = os.fork()
    if pid == 0:
        code = 1
        try:
            ours.close()
            os.sched_setaffinity(0, set(range(os.cpu_count() or 1)) - {FRONT_CORE} or {FRONT_CORE})
            with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
                runner.run(hold_connections(address, count, source, theirs))
            code = 0
        finally:
            os._exit(code)
    theirs.close()
    ours.setblocking(False)
    return pid, ours


async def receive_report(sock: socket.socket) -> bytes:
    async with asyncio.timeout(120):
        data = await asyncio.get_running_loop().sock_recv(sock, 64)
    assert data, "a holder ended"
    return data


async def run_active_clients(clients: list[NotifyingClient], seconds: float, first: int) -> HdrHistogram:
    """Send requests in an open loop, REQUESTS_PER_S per client, over the clients in turn; latency in us."""
    histogram, loop = HdrHistogram(1, 60_000_000, 3), asyncio.get_running_loop()
    began = loop.time() + 0.05

    async def ask(n: int) -> None:
        due = began + n / REQUESTS_PER_S / len(clients)
        await asyncio.sleep(max(due - loop.time(), 0))
        client, id = clients[n % len(clients)], (first + n) % 60_000 + 2
        done = loop.create_future()
        client.waiting[id] = done
        client.send_request(id, HTTP_X_N=str(n % 20), HTTP_X_JOB_ID=f"{first + n:016x}")
        await done
        histogram.record_value(max(int((loop.time() - due) * 1e6), 1))

    async with asyncio.timeout(seconds + 60):
        await asyncio.gather(*(ask(n) for n in range(int(seconds * REQUESTS_PER_S * len(clients)))))
    return histogram


class NotifyingClient(Client):
    """A client that resolves a future as soon as a response has ended."""

    def __init__(self, *parts: Any) -> None:
        super().__init__(*parts)
        self.waiting: dict[int, asyncio.Future[None]] = {}

    async def _read(self) -> None:
        while data := await self.reader.read(65536):
            self.response_reader.feed(data)
            got = self.response_reader.response_by_request
            for id in [id for id in self.waiting if id in got and got[id].protocol_status is not None]:
                self.waiting.pop(id).set_result(None)
                del got[id]


def quantiles_ms(histogram: HdrHistogram) -> str:
    return " / ".join(f"{histogram.get_value_at_percentile(q) / 1000:.1f}" for q in QUANTILES)


async def run(root: Path, idle: int, fronts: int, seconds: float) -> str:
    started: list[Front] = []
    holders: list[tuple[int, socket.socket]] = []
    os.sched_setaffinity(0, set(range(os.cpu_count() or 1)) - {FRONT_CORE} or {FRONT_CORE})
    with tempfile.TemporaryDirectory() as folder:
        try:
            for n in range(fronts):
                place = Path(folder) / str(n)
                place.mkdir()
                front = Front(place, {name: Cache(respond) for name in ("s-1", "p-1", "o-1")})
                front.checkout, front.is_optimized = root, True
                await front.start(limits={"cores": 1.0, "memory_mb": 2000, "sockets": DESCRIPTOR_LIMIT - 10})
                assert front.process is not None
                os.sched_setaffinity(front.process.pid, {FRONT_CORE})
                started.append(front)
            pids = [front.process.pid for front in started if front.process is not None]
            clients = [await NotifyingClient.connect(front.address) for front in started]
            await run_active_clients(clients, 2, 0)  # warm-up: the objects are cached, and the fronts know it
            memory, slab = sum(map(resident_bytes_of, pids)), kernel_memory()
            for n, front in enumerate(started):
                count = idle // fronts + (n < idle % fronts)
                if count:
                    holders.append(start_holder(front.address, count, f"127.2.{n}.1"))
            for _, sock in holders:
                assert await receive_report(sock) == b"r"
            await asyncio.sleep(1.0)
            held, kernel = sum(map(resident_bytes_of, pids)) - memory, kernel_memory() - slab
            cpu = sum(map(cpu_seconds_of, pids))
            await asyncio.sleep(5.0)
            rest = (sum(map(cpu_seconds_of, pids)) - cpu) / 5
            few = await run_active_clients(clients, seconds, 10_000)
            storm = asyncio.create_task(run_active_clients(clients, 6, 30_000))
            await asyncio.sleep(1.0)
            loop = asyncio.get_running_loop()
            for _, sock in holders:
                await loop.sock_sendall(sock, b"w")
            took = [float(await receive_report(sock)) for _, sock in holders]
            stormed = await storm
            for _, sock in holders:
                await loop.sock_sendall(sock, b"e")
            for client in clients:
                await client.close()
            each = f"{held / idle / 1024:.2f} | {kernel / idle / 1024:.2f}" if idle else "- | -"
            storm_s = f"{max(took, default=0):.2f}"
            return f"{idle} | {each} | {rest:.3f} | {quantiles_ms(few)} | {storm_s} | {quantiles_ms(stormed)}"
        finally:
            for _, sock in holders:
                sock.close()
            for pid, _ in holders:
                os.waitpid(pid, 0)
            for front in started:
                await front.stop()


def main() -> None:
    options = docopt(__doc__ or "")
    hard = resource.getrlimit(resource.RLIMIT_NOFILE)[1]
    resource.setrlimit(resource.RLIMIT_NOFILE, (hard, hard))
    fronts, seconds = int(options["--fronts"]), float(options["--seconds"])
    columns = "version", "idle", "KiB each, fronts", "KiB each, slab", "cores at rest", "active ms"
    print(f"| {' | '.join(columns)} | storm s | active in the storm |\n|{' --- |' * 8}")
    roots = {"now": HERE} | ({"before": Path(options["--before"]).resolve()} if options["--before"] else {})
    for idle in map(int, options["--counts"].split(",")):
        if idle > fronts * MAX_IDLE_PER_FRONT:
            raise SystemExit(f"{idle} idle connections need {-(-idle // MAX_IDLE_PER_FRONT)} fronts")
        for name, root in roots.items():
            with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
                try:
                    row = runner.run(run(root, idle, fronts, seconds))
                except (AssertionError, OSError, TimeoutError) as error:
                    row = f"{idle} | failed: {type(error).__name__}: {error} | | | | |"
            print(f"| {name} | {row} |", flush=True)


if __name__ == "__main__":
    main()
