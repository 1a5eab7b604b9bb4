"""Usual clients that send the requests that a connection may hold at once, and read what they are sent."""

from __future__ import annotations

import asyncio
import json
import os
import random
import struct
import sys
import tempfile
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
sys.dont_write_bytecode = True

from kit import ROOT, SLACK_S, ChangeLog, Front, Record, front_config, has_trouble, lotmedia_settings
from kit import pairs_of, record_of, run_case

CONNECTIONS, AT_ONCE = 8, 32  # PROTOCOL.md: up to 32 requests may be open on one connection
BURSTS, FIRST_S, EVERY_S = 4, 3.0, 2.0
BYTES, WORK_MS = 120_000, 20  # of an object; PROTOCOL.md: 240,000 at most
MEMORY_MB, SOCKETS = 96, 640
ALLOW_MS = 5000  # lot-video
LATE_S = 0.5
MOST_LAG_S = 0.2  # of the clients; beyond it they can't be said to have read at once
RECORD = Path(__file__).resolve().parent / "record.txt"  # what was sent, answered and run


class Request:
    def __init__(self, job: str, sent_at: float) -> None:
        self.job, self.sent_at, self.bytes, self.kind, self.at = job, sent_at, 0, "", 0.0
        self.head = b""


class Connection(asyncio.Protocol):
    """One connection of a web server; the loop hands over what arrives at once, and nothing is held back."""

    def __init__(self, record: Record, all_requests: list[Request]) -> None:
        self.record, self.all, self.buffer = record, all_requests, bytearray()
        self.open: dict[int, Request] = {}
        self.next_id, self.is_closed, self.is_cut = 1, False, False

    def connection_made(self, transport: asyncio.Transport) -> None:  # type: ignore[override]
        self.transport = transport

    def send(self, item: str) -> bytes:
        """Return the bytes of one request."""
        job, number = os.urandom(8).hex(), self.next_id
        self.next_id = self.next_id % 60_000 + 1
        values = {
            "SCRIPT_NAME": "/call/lot-video", "REQUEST_METHOD": "GET", "CONTENT_LENGTH": "0", "HTTP_X_JOB_ID": job,
            "HTTP_X_ALLOW_MS": str(ALLOW_MS), "HTTP_X_ITEM": item, "HTTP_X_N": "0", "HTTP_X_SHARD": "17",
        }  # fmt: skip
        request = self.open[number] = Request(job, self.record.now())
        self.all.append(request)
        self.record.note("request", id=job, cls="lot-video", item=item, allow_ms=ALLOW_MS)
        data = record_of(1, number, struct.pack(">HB5x", 1, 1)) + record_of(4, number, pairs_of(values))
        return data + record_of(4, number) + record_of(5, number)

    def data_received(self, data: bytes) -> None:
        buffer, at = self.buffer, 0
        buffer += data
        while len(buffer) - at >= 8:
            _, kind, number, size, padding, _ = struct.unpack_from(">BBHHBB", buffer, at)
            if len(buffer) - at < 8 + size + padding:
                break
            request = self.open.get(number)
            if request is not None and kind == 6:
                request.bytes += size
                if len(request.head) < 200:
                    request.head += bytes(buffer[at + 8 : at + 8 + min(size, 200)])
            elif request is not None and kind == 3:
                del self.open[number]
                status = int(request.head.split(b"\r\n")[0].split()[1])
                refused = status in (429, 503) or buffer[at + 12] == 2
                request.kind = "refused" if refused else "served" if status == 200 else "failed"
                request.at = self.record.now()
                self.record.note("final", id=request.job, kind=request.kind, status=status, bytes=request.bytes,
                                 after_ms=round(1000 * (request.at - request.sent_at)))  # fmt: skip
            at += 8 + size + padding
        del buffer[:at]

    def connection_lost(self, error: Exception | None) -> None:
        self.is_closed = True
        for request in self.open.values():
            request.kind = "cut off" if request.bytes else "lost"
            self.record.note("connection_ended_under", id=request.job, kind=request.kind.replace(" ", "_"),
                             bytes=request.bytes, after_ms=round(1000 * (self.record.now() - request.sent_at)))  # fmt: skip
        self.open.clear()


async def play(record: Record) -> int:
    log = ChangeLog(record)
    front: Front | None = None
    machines: asyncio.subprocess.Process | None = None
    requests: list[Request] = []
    connections: list[Connection] = []
    loop = asyncio.get_running_loop()
    with tempfile.TemporaryDirectory(prefix="review-") as folder:
        try:
            machines = await asyncio.create_subprocess_exec(
                sys.executable, str(ROOT / "review/machines.py"), folder, str(BYTES), str(WORK_MS),
                stdin=asyncio.subprocess.PIPE, stdout=asyncio.subprocess.PIPE,
            )  # fmt: skip
            assert machines.stdout is not None
            hosts = json.loads(await asyncio.wait_for(machines.stdout.readline(), 20))
            await log.start()
            log.add_hosts(True, hosts)
            config = front_config(log, lotmedia_settings())
            config["limits"] |= {"memory_mb": MEMORY_MB, "sockets": SOCKETS}
            front = Front(record, "n0", config)
            await front.start()

            async def connect() -> Connection:
                assert front is not None
                _, made = await loop.create_connection(lambda: Connection(record, requests), *front.address)
                return made

            connections = [await connect() for _ in range(CONNECTIONS)]
            chance = random.Random(5)
            items = [f"{chance.getrandbits(52):016x}" for _ in range(40)]
            bursts = [FIRST_S + EVERY_S * n for n in range(BURSTS)]
            start, due, lag = record.now(), 0.0, 0.0
            ends = FIRST_S + EVERY_S * BURSTS
            while (elapsed := record.now() - start) < ends:
                for n, connection in enumerate(connections):
                    if connection.is_closed:
                        connections[n] = await connect()
                if has_trouble() and bursts and elapsed >= bursts[0]:
                    bursts.pop(0)
                    record.note("burst", connections=CONNECTIONS, open_at_once=AT_ONCE)
                    for connection in connections:
                        count = AT_ONCE - len(connection.open)
                        connection.transport.write(b"".join(connection.send(chance.choice(items)) for _ in range(count)))
                # without trouble the same requests come one by one, spread over the whole time
                spread = 0 if has_trouble() or elapsed < FIRST_S else CONNECTIONS * AT_ONCE / EVERY_S
                while due <= elapsed:
                    due += 1 / (40 + spread)
                    connection = chance.choice(connections)
                    if not connection.is_closed and len(connection.open) < AT_ONCE:
                        connection.transport.write(connection.send(chance.choice(items)))
                before = record.now()
                await asyncio.sleep(0.004)
                lag = max(lag, record.now() - before - 0.004)
            await asyncio.sleep(ALLOW_MS / 1000 + LATE_S + SLACK_S + 0.2)
            late = [r for r in requests if r.at - r.sent_at > ALLOW_MS / 1000 + LATE_S + SLACK_S or not r.kind]
            kinds = {k: sum(r.kind == k for r in requests) for k in ("served", "refused", "failed", "cut off", "lost")}
            record.note("judged", requests=len(requests), late=len(late), lag_s=round(lag, 3), kinds=kinds)
            print(f"{len(requests)} requests, {kinds}, {len(late)} later than {LATE_S + SLACK_S:.2f} s after their time; "
                  f"greatest lag of the clients {1000 * lag:.0f} ms")  # fmt: skip
            if lag > MOST_LAG_S:
                raise RuntimeError("the clients themselves were too late to judge")
            if front.ended_at is not None:
                return 1
            if not kinds["served"]:
                raise RuntimeError("nothing was served")
            return 1 if kinds["lost"] or late else 0
        finally:
            for connection in connections:
                connection.transport.abort()
            if front is not None:
                await front.stop()
            if machines is not None and machines.returncode is None:
                assert machines.stdin is not None
                machines.stdin.close()
                try:
                    await asyncio.wait_for(machines.wait(), 5)
                except TimeoutError:
                    machines.kill()
                    await machines.wait()
            told = Path(folder) / "machines.txt"
            if told.exists():
                record.file.write("\nThe machines, with seconds since their own start:\n" + told.read_text())


if __name__ == "__main__":
    sys.exit(run_case(RECORD, play))
