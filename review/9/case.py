"""The change log ends the body of each answer with the connection, as HTTP/1.1 allows; a cache begins to drain."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from standins_2 import (  # noqa: E402
    BROKEN, HELD, VOID, Clients, Stage, answer_after, disrupted, make_settings, play,
)  # fmt: skip

TOLD_S = 7.0  # real/PROTOCOL.md: told 7 s later at the latest
GRACE_S = 2.0 + 0.05  # lotmedia-branches.toml: drain_grace_ms = 2000; on sockets 50 ms longer
INTERVAL_S = 1 / 80  # between requests


async def scenario(stage: Stage) -> int:
    record = stage.record
    answers = {f"s-{n}": answer_after(0.03) for n in range(1, 5)}
    await stage.lay(answers | {"p-1": answer_after(0.03), "o-1": answer_after(0.03)})
    stage.log.closes_after_answer = disrupted()
    front = await stage.front(make_settings())
    clients = Clients(record, front.address)

    async def load(until: float) -> None:
        while record.now() < until:
            await clients.send(clients.make("lot-image", 3000))
            await asyncio.sleep(INTERVAL_S)

    await load(record.now() + 3)
    drained = "s-1"
    number = stage.change(drained, health="DRAINING")
    in_log = record.now()
    limit = in_log + TOLD_S + GRACE_S
    await load(limit + 4)
    await asyncio.sleep(0.5)
    late = [c for c in stage.machines[drained].commands if c.first_at > limit]
    served = sum(r.verdict == "served" for r in clients.requests)
    told = stage.log.told.get(number)
    record.say(f"{len(clients.requests)} requests, {served} served; the drain was answered to the front"
               f" {'never' if told is None else f'{told - in_log:.3f} s after it was entered'};"
               f" {drained} got {len(stage.machines[drained].commands)} commands, {len(late)} of them later than"
               f" {TOLD_S + GRACE_S:.2f} s after it was entered")  # fmt: skip
    if not stage.machines[drained].commands or served < 0.5 * len(clients.requests) or told is None:
        return VOID
    return BROKEN if late else HELD


play(__file__, scenario)
