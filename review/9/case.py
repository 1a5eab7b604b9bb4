"""Discovery is down for 8 s; a cache begins to drain as the outage begins; the drain grace is 1 s."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from standins_2 import BROKEN, HELD, VOID, Stage, answer_after, disrupted, make_settings, play  # noqa: E402

OUTAGE_S = 8.0  # STANDING.md, herd+mass
TOLD_S = 7.0  # real/PROTOCOL.md: told 7 s later at the latest
GRACE_S = 1.0 + 0.05  # tunisia-branches.toml: drain_grace_ms = 1000; on sockets 50 ms longer
INTERVAL_S = 1 / 120  # between requests


async def scenario(stage: Stage) -> int:
    from standins_2 import Clients

    record = stage.record
    answers = {f"s-{n}": answer_after(0.03) for n in range(1, 5)}
    await stage.lay(answers | {"p-1": answer_after(0.03), "o-1": answer_after(0.03)})
    rules = {"drain_grace": 1_000_000_000}
    front = await stage.front(make_settings(rules=rules))
    clients = Clients(record, front.address)

    async def load(until: float) -> None:
        while record.now() < until:
            await clients.send(clients.make("lot-image", 3000))
            await asyncio.sleep(INTERVAL_S)

    await load(record.now() + 3)
    began = record.now()
    if disrupted():
        stage.log.stop()
        record.say("discovery is down")
    drained = "s-1"
    stage.change(drained, health="DRAINING")
    in_log = record.now()
    limit = in_log + (TOLD_S if disrupted() else 0.0) + GRACE_S
    await load(began + OUTAGE_S)
    if disrupted():
        await stage.log.start()
        record.say("discovery is back", f"{record.now() - began:.3f} s after it went down")
    await load(record.now() + 3)
    await asyncio.sleep(0.5)
    late = [c for c in stage.machines[drained].commands if c.first_at > limit]
    served = sum(r.verdict == "served" for r in clients.requests)
    record.say(f"{len(clients.requests)} requests, {served} served; {drained} got"
               f" {len(stage.machines[drained].commands)} commands, {len(late)} of them later than told + grace"
               f" ({limit:.3f})", *(f"{c.id} at {c.first_at:.3f}" for c in late[:5]))  # fmt: skip
    if not stage.machines[drained].commands or served < 0.5 * len(clients.requests):
        return VOID
    return BROKEN if late else HELD


play(__file__, scenario)
