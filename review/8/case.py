"""Silent clients connect by hundreds while the usual clients, who rest, all ask at once.

The front closes resting connections to make room for the silent ones, without a look at what has arrived on them.
"""

import asyncio
import socket
import sys
from collections import Counter
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from standins_2 import (  # noqa: E402
    BROKEN, HELD, VOID, Clients, Connection, Request, Stage, answer_after, disrupted, make_settings, play, split,
)  # fmt: skip

DESCRIPTORS = 1024  # real/DEPLOY.md: 1,024 on scored days at most
USUAL = DESCRIPTORS // 3  # real/PROTOCOL.md: clients hold at most a third of the descriptor limit
REST_S = 6.0  # more/mass/STANDING.md: some clients rest until the front ends them
SILENT, PER_STEP, STEP_S = 400, 10, 0.015  # silent clients (service/LATER.md: "by hundreds")
LEAD_S = 0.25  # from the first silent client until the usual ones ask
CROSSING_S = 0.05  # real/PROTOCOL.md: a request that crosses a close within 50 ms is sent again
READING_S = 0.02  # allowed for this process to see the close


async def connect_silently(address: str, sockets: list[socket.socket]) -> None:
    for n in range(SILENT):
        sock = socket.socket()
        sock.setblocking(False)
        sock.connect_ex(split(address))
        sockets.append(sock)
        if n % PER_STEP == PER_STEP - 1:
            await asyncio.sleep(STEP_S)


async def scenario(stage: Stage) -> int:
    record = stage.record
    answers = {f"s-{n}": answer_after(0.03, 20_000) for n in range(1, 9)}
    await stage.lay(answers | {"p-1": answer_after(0.03, 20_000), "o-1": answer_after(0.03, 20_000)})
    limits = {"cores": 1.0, "memory_mb": 192, "sockets": DESCRIPTORS}
    front = await stage.front(make_settings(), limits=limits)
    clients, lost, silent = Clients(record, front.address), list[Request](), list[socket.socket]()
    asked = list[Request]()
    for round_number in range(1, 3):
        connections = list[Connection]()
        for _ in range(USUAL):
            connections.append(await Connection.connect(record, front.address))
            connections[-1].send(clients.make("lot-image", 3000))
            await asyncio.sleep(0.002)
        await asyncio.sleep(REST_S)
        flood = None
        if disrupted():
            record.write("silent clients begin to connect")
            flood = asyncio.create_task(connect_silently(front.address, silent))
            await asyncio.sleep(LEAD_S)
        requests = list[Request]()
        for connection in connections:
            if not connection.is_closed:  # otherwise a sound client connects anew
                requests.append(clients.make("lot-image", 3000))
                connection.send(requests[-1])
        await asyncio.sleep(4)
        if flood is not None:
            await flood
        broken = [r for r in requests if not r.answers and r.closed_at - r.sent_at > CROSSING_S + READING_S]
        late = sorted(round(r.closed_at - r.sent_at, 3) for r in broken)
        verdicts = dict(Counter(r.verdict for r in requests))
        record.say(f"round {round_number}: {len(requests)} requests on resting connections: {verdicts};"
                   f" {len(broken)} had been written over {CROSSING_S + READING_S:.2f} s before their connection ended"
                   f" without an answer: {late[:8]}")  # fmt: skip
        asked += requests
        lost += broken
        for sock in silent:
            sock.close()
        silent.clear()
        for connection in connections:
            connection.close()
        await asyncio.sleep(1)
    if front.has_ended or len(asked) < USUAL:
        return VOID
    return BROKEN if lost else HELD


play(__file__, scenario)
