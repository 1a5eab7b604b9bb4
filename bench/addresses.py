"""What a fallback to another address costs, by kind of failure. Run by hand, loopback only; not part of CI.

Usage:
  addresses.py [--samples N] [--burst N]

Options:
  --samples N  Fallbacks of each kind [default: 1000].
  --burst N    Connections at once in the bursts; requests ten at most [default: 50].

The address that fails is preferred, and its failure is forgotten before each sample, so that each
attempt meets it anew. 'connect' rows time a connection, 'request' rows a whole read through the
decision module and back. Added is the time over the median of the same with nothing failing.
Quantiles by hdrhistogram, in milliseconds.
"""

from __future__ import annotations

import asyncio
import statistics
import sys
import tempfile
import time
from collections.abc import Awaitable, Callable
from functools import partial
from pathlib import Path
from typing import Any

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from docopt import docopt
from hdrh.histogram import HdrHistogram
from loguru import logger

from quincepier.addresses import parse_term
from quincepier.lab.scripted_cache import Moment, Script
from tests.addresskit import SAFE, AddressHarness, Machine, run_on_uvloop

HIGHEST = 10_000_000  # microseconds
GATE = 10  # requests at once: below the module's gate on fills, so that none is held or refused
CONNECT: dict[str, tuple[str, Script]] = {
    "TCP4 refused": ("ipv4", Script(Moment.REFUSE)),
    "TCP6 refused": ("ipv6", Script(Moment.REFUSE)),
    "TCP4 full backlog, never accepts": ("ipv4", Script(Moment.FULL)),
    "Unix socket missing": ("unix", Script(Moment.REFUSE)),
    "Unix full backlog, never accepts": ("unix", Script(Moment.FULL)),
}
REQUEST: dict[str, tuple[str, Script]] = {
    "TCP4 refused": ("ipv4", Script(Moment.REFUSE)),
    "TCP4 full backlog, never accepts": ("ipv4", Script(Moment.FULL)),
    "reset as accepted": ("ipv4", Script(Moment.ACCEPT, True)),
    "closed as accepted": ("ipv4", Script(Moment.ACCEPT)),
    "reset inside the command": ("ipv4", Script(Moment.INSIDE, True, bytes=7)),
    "reset after the whole command": ("ipv4", Script(Moment.WHOLE, True)),
    "closed inside the answer": ("ipv4", Script(Moment.ANSWER)),
}


class Rig:
    """A front inside, one cache whose first address is scripted, and how long things took."""

    def __init__(self, folder: Path, kind: str) -> None:
        self.machine = Machine(folder)
        self.kind = kind
        machines = {"s-1": self.machine, "p-1": Machine(folder), "o-1": Machine(folder)}
        self.harness = AddressHarness(folder, machines, **{"prefer": (parse_term(kind),)})
        self.part = 0

    def forget(self) -> None:
        """As though the address had never failed, and no connection were up."""
        way = self.harness.route("s-1")
        for entry in way.book.state_by_address.values():
            entry.backoff_until = entry.failures = entry.trial_dial = 0
        for connection in list(self.harness.cache("s-1").connections):
            if connection.is_idle:
                connection.close()

    async def connect(self) -> float:
        way, began = self.harness.route("s-1"), time.perf_counter()
        sock, _ = await way.connect()
        took = time.perf_counter() - began
        sock.close()
        return took

    async def request(self) -> float:
        self.part += 1
        self.harness.module.router.retries.budget.tokens = (
            40.0  # the budget of further attempts is not what is measured
        )
        came: asyncio.Future[tuple[float, Any]] = asyncio.get_running_loop().create_future()
        began = time.perf_counter()
        _, inbox, _ = self.harness.submit(SAFE, self.part % 60_000)
        inbox.push = lambda answer: came.set_result((time.perf_counter(), answer))  # type: ignore[method-assign]
        at, answer = await came
        if answer.status != 200:
            raise RuntimeError(f"an answer of {answer.status}")
        answer.body.release()
        return at - began


async def sample(rig: Rig, what: Callable[[], Awaitable[float]], count: int, burst: int) -> list[float]:
    times: list[float] = []
    while len(times) < count:
        rig.forget()
        await asyncio.sleep(0)
        times += await asyncio.gather(*(what() for _ in range(burst)))
    return times


async def row(label: str, kind: str, script: Script, mode: str, count: int, burst: int) -> str:
    with tempfile.TemporaryDirectory() as folder:
        rig = Rig(Path(folder), kind)
        await rig.harness.start()
        what = rig.connect if mode == "connect" else rig.request
        await sample(rig, what, 50, 1)  # warm: the stagger is learnt
        usual = statistics.median(await sample(rig, what, 200, burst))
        rig.machine.set(kind, Script(script.moment, script.rst, script.bytes))
        counts = rig.harness.checks.counts
        before = counts["dials"]
        times = await sample(rig, what, count, burst)
        histogram = HdrHistogram(1, HIGHEST, 3)
        for took in times:
            histogram.record_value(max(int((took - usual) * 1e6), 1))
        quantiles = [histogram.get_value_at_percentile(q) / 1000 for q in (50, 90, 99, 100)]
        ran = script.moment in (Moment.WHOLE, Moment.ANSWER)  # then a read may be asked again
        twice = 0 if ran else sum(n > 1 for n in rig.machine.received_count_by_id.values())
        dials = (counts["dials"] - before) / len(times)
        await rig.harness.close()
    if twice:
        raise RuntimeError("a command was received whole twice though it was dropped before")
    shown = " | ".join(f"{q:.1f}" for q in quantiles)
    usual_ms = f"{usual * 1000:.2f}"
    return f"| {mode}, {burst} at once | {label} | {len(times)} | {usual_ms} | {shown} | {dials:.2f} |"


async def show(*what: Any) -> None:
    print(await row(*what), flush=True)


def main() -> None:
    logger.remove()
    chosen = docopt(__doc__ or "")
    count, burst = int(chosen["--samples"]), int(chosen["--burst"])
    print("| what | failure | samples | usual ms | added: median | 90th | 99th | most | dials each |")
    print("| --- | --- | --- | --- | --- | --- | --- | --- | --- |")
    rows = [("connect", *item) for item in CONNECT.items()] + [("request", *item) for item in REQUEST.items()]
    for mode, label, (kind, script) in rows:
        for at_once in (1, burst if mode == "connect" else min(burst, GATE)):
            run_on_uvloop(partial(show, label, kind, script, mode, count, at_once))


if __name__ == "__main__":
    main()
