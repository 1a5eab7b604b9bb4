"""Bad clients send messages whose length is wrong and which never end, while usual clients send bids of 48,000 bytes.

The front keeps the bytes of unfinished messages within a limit by ending the connection that holds most of them. That
is the one of a bid which it has just begun to read.
"""

import asyncio
import struct
import sys
from collections import Counter
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from standins_2 import (  # noqa: E402
    BEGIN, BROKEN, HELD, PARAMS, STDIN, VOID, Clients, Connection, Request, Stage, answer_after, disrupted,
    encode_pairs, encode_record, make_settings, play, split,
)  # fmt: skip

MEMORY_MB, DESCRIPTORS = 96, 1024  # service/LATER.md: 32 to 192 MB, 256 to 1,024 descriptors
BODY = 48_000  # real/PROTOCOL.md: a single write carries up to 48,000
BAD, STATED, SENT = 300, 40_000, 30_000  # bad clients; the length that a record states, and what is sent of it
PAUSE_S = 0.5  # from the end of a bad client's connection to its next one
CROSSING_S = 0.05  # real/PROTOCOL.md: a request that crosses a close within 50 ms is sent again, once
SECONDS, INTERVAL_S = 10.0, 0.03


def bad_message() -> bytes:
    values = {"SCRIPT_NAME": "/call/bid", "HTTP_X_JOB_ID": "9b1f03aa5c7e2d41", "HTTP_X_ALLOW_MS": "3000",
              "HTTP_X_ITEM": "7f3a9c21e0b4d655", "HTTP_X_N": "0", "HTTP_X_SHARD": "3"}  # fmt: skip
    out = encode_record(BEGIN, 1, struct.pack(">HB5x", 1, 1))
    out += encode_record(PARAMS, 1, encode_pairs(values)) + encode_record(PARAMS, 1)
    return out + struct.pack(">BBHHBB", 1, STDIN, 1, STATED, 0, 0) + bytes(SENT)


async def scenario(stage: Stage) -> int:
    record = stage.record
    answers = {f"s-{n}": answer_after(0.03) for n in range(1, 5)}
    await stage.lay(answers | {"p-1": answer_after(0.03), "o-1": answer_after(0.03)})
    limits = {"cores": 1.0, "memory_mb": MEMORY_MB, "sockets": DESCRIPTORS}
    front = await stage.front(make_settings(), limits=limits)
    clients = Clients(record, front.address, connections=20)
    end = record.now() + SECONDS
    message, bad = bad_message(), Counter[str]()

    async def bad_client() -> None:
        await asyncio.sleep(clients.random.random())
        while record.now() < end:
            try:
                reader, writer = await asyncio.open_connection(*split(front.address))
                writer.write(message)
                while await reader.read(65536):
                    pass
                writer.close()
            except OSError:
                pass
            bad["connections"] += 1
            await asyncio.sleep(PAUSE_S)

    lost, again = list[Request](), list[Request]()

    async def ask(request: Request, body: bytes) -> None:
        await clients.send(request, body)
        await request.done.wait()
        if not request.answers and request.closed_at - request.sent_at <= CROSSING_S:
            again.append(request)  # the close may have been under way: sent again, once, on a new connection
            request.closed_at = 0.0
            request.done.clear()
            connection = await Connection.connect(record, front.address)
            connection.send(request, body)
            await request.done.wait()
            connection.close()
        if not request.answers and request.is_written:
            record.write("lost", request.job, f"{request.closed_at - request.sent_at:.4f} s after it was written")
            lost.append(request)

    tasks = [asyncio.create_task(bad_client()) for _ in range(BAD)] if disrupted() else []
    await asyncio.sleep(1.0)
    asked = list[asyncio.Task[None]]()
    while record.now() < end:
        chance = clients.random.random()
        cls = "bid" if chance < 0.2 else "lot-image" if chance < 0.6 else "lot-video"
        request = clients.make(cls, 5000 if cls == "lot-video" else 3000)
        asked.append(asyncio.create_task(ask(request, bytes(BODY) if cls == "bid" else b"")))
        await asyncio.sleep(INTERVAL_S)
    await asyncio.wait(asked, timeout=6)
    for task in tasks:
        task.cancel()
    verdicts = dict(sorted(Counter(f"{r.cls} {r.verdict}" for r in clients.requests).items()))
    unanswered = [r for r in clients.requests if not r.closed_at and not r.answers]
    record.say(f"{len(asked)} requests: {verdicts}; {len(again)} sent again; {len(lost)} of those were written whole and ended without an answer,"
               f" {len(unanswered)} have none yet; {bad['connections']} connections of bad clients")  # fmt: skip
    if front.has_ended or len(asked) < 100:
        return VOID
    return BROKEN if lost or unanswered else HELD


play(__file__, scenario)
