"""What the front costs with a feature off: CPU a request and memory, beside another version of itself.

Usage:
  off.py [--before DIR] [--rounds N] [--requests N]

Options:
  --before DIR  Another checkout of this repository; without it this one is measured twice (the noise).
  --rounds N    Pairs of runs, in turn, the first of each pair alternating [default: 6].
  --requests N  Requests of a run, over 16 connections [default: 6000].

Each run is a front as a process before stand-in caches, answered from the cache. CPU is the front's
own, from its first request to its last; memory is resident after the start and after the run.
Loopback only, bounded; by hand.
"""

from __future__ import annotations

import asyncio
import os
import statistics
import sys
import tempfile
from pathlib import Path

HERE = Path(__file__).resolve().parent.parent
sys.path.insert(0, str(HERE))

from docopt import docopt  # noqa: E402

from bench.measure import cpu_of, resident_of  # noqa: E402
from tests.standins import Cache, Client, Front, ReceivedCommand  # noqa: E402

CONNECTIONS, OPEN_EACH = 16, 8
CORE = 0  # the front's; everything else is kept off it


def ok(asked: ReceivedCommand) -> None:
    asked.respond_with_data(b"x" * 2000)


async def ask(client: Client, first: int, count: int) -> None:
    for at in range(first, first + count, OPEN_EACH):
        batch = range(at, min(at + OPEN_EACH, first + count))
        for n in batch:
            client.send_request(n % 60_000 + 1, HTTP_X_N=str(n % 50), HTTP_X_JOB_ID=f"{n:016x}")
        for n in batch:
            got = await client.wait_for_response(n % 60_000 + 1)
            assert got.ended is not None
            del client.response_reader.got[n % 60_000 + 1]


async def run(root: Path, requests: int) -> tuple[float, int, int]:
    """CPU in microseconds a request, KiB at the start and at the end."""
    with tempfile.TemporaryDirectory() as folder:
        front = Front(Path(folder), {name: Cache(ok) for name in ("s-1", "s-2", "p-1", "o-1")})
        front.checkout, front.is_optimized = root, True
        try:
            await front.start()
            assert front.process is not None
            pid = front.process.pid
            os.sched_setaffinity(pid, {CORE})
            os.sched_setaffinity(0, set(range(os.cpu_count() or 1)) - {CORE} or {CORE})
            await asyncio.sleep(0.3)
            start, memory = cpu_of(pid), resident_of(pid) // 1024
            clients = [await front.connect_client() for _ in range(CONNECTIONS)]
            each = requests // CONNECTIONS
            await asyncio.gather(*(ask(c, n * each, each) for n, c in enumerate(clients)))
            return (cpu_of(pid) - start) / (each * CONNECTIONS) * 1e6, memory, resident_of(pid) // 1024
        finally:
            await front.stop()


def main() -> None:
    chosen = docopt(__doc__ or "")
    before = Path(chosen["--before"] or HERE).resolve()
    found: dict[str, list[tuple[float, int, int]]] = {"before": [], "now": []}
    ratios = []
    for n in range(int(chosen["--rounds"])):
        pair = [("before", before), ("now", HERE)]
        for name, root in pair if n % 2 else pair[::-1]:
            found[name].append(asyncio.run(run(root, int(chosen["--requests"]))))
        ratios.append(found["now"][-1][0] / found["before"][-1][0])
        print(f"pair {n + 1}: {found['before'][-1]} {found['now'][-1]} ratio {ratios[-1]:.3f}", flush=True)
    print("| | CPU us a request, median | KiB at the start | KiB at the end |\n| --- | --- | --- | --- |")
    for name, runs in found.items():
        columns = [statistics.median(values) for values in zip(*runs, strict=True)]
        print(f"| {name} | {columns[0]:.0f} | {columns[1]:.0f} | {columns[2]:.0f} |")
    print(f"ratio of CPU: median {statistics.median(ratios):.3f}, {min(ratios):.3f} to {max(ratios):.3f}")


if __name__ == "__main__":
    main()
