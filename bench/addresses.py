"""Measures the time that a fallback to another address adds, in ms, by kind of failure.

Run by hand with `.venv/bin/python bench/addresses.py`; loopback only, not part of CI.

Usage:
  addresses.py [--samples N] [--burst N]

Options:
  --samples N  Fallbacks of each kind [default: 1000].
  --burst N    Connections at once in the bursts; requests ten at most [default: 50].

The failing address is preferred, and its failure is forgotten before each sample, so that every
attempt fails on it first. 'connect' rows time a connection, 'request' rows a whole read through the
decision module. Added is the time above the median of the same operation without a failure.
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
GATE = 10  # concurrent requests; below the module's limit on fills, so that none is held or rejected
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


class AddressBench:
    """A front in this process and one cache whose preferred address fails as scripted; times operations."""

    def __init__(self, folder: Path, kind: str) -> None:
        self.machine = Machine(folder)
        self.kind = kind
        machines = {"s-1": self.machine, "p-1": Machine(folder), "o-1": Machine(folder)}
        self.harness = AddressHarness(folder, machines, **{"prefer": (parse_term(kind),)})
        self.part = 0

    def forget(self) -> None:
        """Forget the failures of all addresses and close the idle connections."""
        route = self.harness.route("s-1")
        for entry in route.book.state_by_address.values():
            entry.backoff_until = entry.failures = entry.trial_dial = 0
        for connection in list(self.harness.cache("s-1").connections):
            if connection.is_idle:
                connection.close()

    async def connect(self) -> float:
        route, began = self.harness.route("s-1"), time.perf_counter()
        sock, _ = await route.connect()
        took = time.perf_counter() - began
        sock.close()
        return took

    async def request(self) -> float:
        self.part += 1
        self.harness.module.router.retries.budget.tokens = 40.0  # the retry budget is not measured here
        finished: asyncio.Future[tuple[float, Any]] = asyncio.get_running_loop().create_future()
        began = time.perf_counter()
        _, inbox, _ = self.harness.submit(SAFE, self.part % 60_000)
        inbox.push = lambda answer: finished.set_result((time.perf_counter(), answer))  # type: ignore[method-assign]
        at, answer = await finished
        if answer.status != 200:
            raise RuntimeError(f"response status {answer.status}")
        answer.body.release()
        return at - began


async def sample(
    bench: AddressBench, operation: Callable[[], Awaitable[float]], count: int, burst: int
) -> list[float]:
    times: list[float] = []
    while len(times) < count:
        bench.forget()
        await asyncio.sleep(0)
        times += await asyncio.gather(*(operation() for _ in range(burst)))
    return times


async def measure_row(label: str, kind: str, script: Script, mode: str, count: int, burst: int) -> str:
    with tempfile.TemporaryDirectory() as folder:
        bench = AddressBench(Path(folder), kind)
        await bench.harness.start()
        operation = bench.connect if mode == "connect" else bench.request
        await sample(bench, operation, 50, 1)  # warm-up: the stagger is learned
        baseline_s = statistics.median(await sample(bench, operation, 200, burst))
        bench.machine.set(kind, Script(script.moment, script.rst, script.bytes))
        counts = bench.harness.checks.counts
        before = counts["dials"]
        times = await sample(bench, operation, count, burst)
        histogram = HdrHistogram(1, HIGHEST, 3)
        for took in times:
            histogram.record_value(max(int((took - baseline_s) * 1e6), 1))
        quantiles = [histogram.get_value_at_percentile(q) / 1000 for q in (50, 90, 99, 100)]
        ran = script.moment in (Moment.WHOLE, Moment.ANSWER)  # then a read may be retried
        repeated_commands = 0 if ran else sum(n > 1 for n in bench.machine.received_count_by_id.values())
        dials = (counts["dials"] - before) / len(times)
        await bench.harness.close()
    if repeated_commands:
        raise RuntimeError("a command was received whole twice although its connection failed before its end")
    shown = " | ".join(f"{q:.1f}" for q in quantiles)
    usual_ms = f"{baseline_s * 1000:.2f}"
    return f"| {mode}, {burst} at once | {label} | {len(times)} | {usual_ms} | {shown} | {dials:.2f} |"


async def print_row(*operation: Any) -> None:
    print(await measure_row(*operation), flush=True)


def main() -> None:
    logger.remove()
    options = docopt(__doc__ or "")
    count, burst = int(options["--samples"]), int(options["--burst"])
    print("| what | failure | samples | usual ms | added: median | 90th | 99th | most | dials each |")
    print("| --- | --- | --- | --- | --- | --- | --- | --- | --- |")
    rows = [("connect", *item) for item in CONNECT.items()] + [("request", *item) for item in REQUEST.items()]
    for mode, label, (kind, script) in rows:
        for at_once in (1, burst if mode == "connect" else min(burst, GATE)):
            run_on_uvloop(partial(print_row, label, kind, script, mode, count, at_once))


if __name__ == "__main__":
    main()
