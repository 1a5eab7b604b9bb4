"""Twenty bad clients send hundreds of requests at once, go, and come again at once, beside usual clients."""

import asyncio
import sys
from collections import Counter
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from standins_2 import (  # noqa: E402
    BROKEN, HELD, VOID, Clients, Connection, Request, Stage, answer_after, disrupted, make_settings, play,
)  # fmt: skip

FOLDER = Path(__file__).resolve().parent
CONNECTIONS, RATE, ALLOW_MS = 8, 150, 3000  # of the usual clients
PROCESSES, BAD_EACH, REQUESTS = 4, 5, 200  # of the bad clients
QUIET_S, FLOOD_S, AFTER_S = 2.0, 5.0, 2.0
CROSSING_S = 0.05  # real/PROTOCOL.md: a request that crosses a close within 50 ms is sent again, once
LATE_S = 0.55  # more/mass/STANDING.md: half a second after its time; on sockets 50 ms longer
MAX_LAG_S = 0.3  # of this process; above it the case says nothing


async def scenario(stage: Stage) -> int:
    record = stage.record
    answers = {f"s-{n}": answer_after(0.02) for n in range(1, 5)}
    await stage.lay(answers | {"p-1": answer_after(0.02), "o-1": answer_after(0.02)})
    front = await stage.front(make_settings())
    clients = Clients(record, front.address, connections=CONNECTIONS)
    again, closed, lag = list[Request](), list[Request](), 0.0

    async def watch_lag() -> None:
        nonlocal lag
        while True:
            at = record.now()
            await asyncio.sleep(0.01)
            lag = max(lag, record.now() - at - 0.01)

    async def ask(request: Request) -> None:
        await clients.send(request)
        await request.done.wait()
        if not request.answers and request.closed_at - request.sent_at <= CROSSING_S:
            again.append(request)
            request.closed_at = 0.0
            request.done.clear()
            connection = await Connection.connect(record, front.address)
            connection.send(request)
            await request.done.wait()
            connection.close()
        if not request.answers and request.is_written:
            record.write("lost", request.job, f"{request.closed_at - request.sent_at:.3f} s after it was written")
            closed.append(request)

    lag_task = asyncio.create_task(watch_lag())
    asked, bad = list[asyncio.Task[None]](), stage.processes
    began = record.now()
    while (elapsed := record.now() - began) < QUIET_S + FLOOD_S + AFTER_S:
        if disrupted() and not bad and elapsed >= QUIET_S:
            record.say("the bad clients begin")
            arguments = front.address, str(BAD_EACH), str(FLOOD_S), str(REQUESTS)
            for _ in range(PROCESSES):
                bad.append(
                    await asyncio.create_subprocess_exec(sys.executable, "-B", FOLDER / "bad.py", *arguments)
                )
        cls = "lot-image" if clients.random.random() < 0.5 else "lot-video"
        asked.append(asyncio.create_task(ask(clients.make(cls, ALLOW_MS))))
        await asyncio.sleep(1 / RATE)
    await asyncio.wait(asked, timeout=ALLOW_MS / 1000 + 3)
    lag_task.cancel()
    for process in bad:
        await process.wait()
    allowed = ALLOW_MS / 1000 + LATE_S + lag
    late = [r for r in clients.requests if r.answers and r.answered_at - r.sent_at > allowed]
    unanswered = [r for r in clients.requests if not r.answers and not r.closed_at]
    verdicts = dict(sorted(Counter(r.verdict for r in clients.requests).items()))
    latest = max((r.answered_at - r.sent_at for r in clients.requests if r.answers), default=0.0)
    waits = sorted(round(r.closed_at - r.sent_at, 2) for r in closed)
    record.say(f"{len(asked)} requests: {verdicts}; {len(again)} sent again; {len(closed)} ended without an answer"
               f" (after {waits[:1]} to {waits[-1:]} s); {len(late)} answered over {LATE_S} s past their time (the last"
               f" {latest:.2f} s after it was sent); {len(unanswered)} have none; lag {lag:.2f} s")  # fmt: skip
    if front.has_ended or len(asked) < 500 or lag > MAX_LAG_S:
        return VOID
    return BROKEN if closed or late or unanswered else HELD


play(__file__, scenario)
