"""Measures CPU per request (us) and resident memory (KiB) of a front, compared to another version of it.

Run by hand with `.venv/bin/python bench/off.py`; loopback only, bounded.

Usage:
  off.py [--before DIR] [--rounds N] [--requests N]

Options:
  --before DIR  Another checkout of this repository; default: this one, which shows the noise.
  --rounds N    Pairs of runs; the versions take turns in going first [default: 6].
  --requests N  Requests per run, over 16 connections [default: 6000].

Each run has one front process with stand-in caches, which hold all objects. CPU is the front's own from
the first request to the last; memory is measured after the start and after the run.
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

from bench.measure import cpu_seconds_of, resident_bytes_of  # noqa: E402
from tests.standins import Cache, Client, Front, ReceivedCommand  # noqa: E402

CONNECTIONS, REQUESTS_PER_BATCH = 16, 8
FRONT_CORE = 0  # reserved for the front


def respond(asked: ReceivedCommand) -> None:
    asked.respond_with_data(b"x" * 2000)


async def ask(client: Client, first: int, count: int) -> None:
    for at in range(first, first + count, REQUESTS_PER_BATCH):
        batch = range(at, min(at + REQUESTS_PER_BATCH, first + count))
        for n in batch:
            client.send_request(n % 60_000 + 1, HTTP_X_N=str(n % 50), HTTP_X_JOB_ID=f"{n:016x}")
        for n in batch:
            got = await client.wait_for_response(n % 60_000 + 1)
            assert got.protocol_status is not None
            del client.response_reader.response_by_request[n % 60_000 + 1]


async def run(root: Path, requests: int) -> tuple[float, int, int]:
    """Return CPU microseconds per request, and KiB resident at the start and at the end."""
    with tempfile.TemporaryDirectory() as folder:
        front = Front(Path(folder), {name: Cache(respond) for name in ("s-1", "s-2", "p-1", "o-1")})
        front.checkout, front.is_optimized = root, True
        try:
            await front.start()
            assert front.process is not None
            pid = front.process.pid
            os.sched_setaffinity(pid, {FRONT_CORE})
            os.sched_setaffinity(0, set(range(os.cpu_count() or 1)) - {FRONT_CORE} or {FRONT_CORE})
            await asyncio.sleep(0.3)
            start, memory = cpu_seconds_of(pid), resident_bytes_of(pid) // 1024
            clients = [await front.connect_client() for _ in range(CONNECTIONS)]
            each = requests // CONNECTIONS
            await asyncio.gather(*(ask(c, n * each, each) for n, c in enumerate(clients)))
            return (
                (cpu_seconds_of(pid) - start) / (each * CONNECTIONS) * 1e6,
                memory,
                resident_bytes_of(pid) // 1024,
            )
        finally:
            await front.stop()


def main() -> None:
    options = docopt(__doc__ or "")
    before = Path(options["--before"] or HERE).resolve()
    found: dict[str, list[tuple[float, int, int]]] = {"before": [], "now": []}
    ratios = []
    for n in range(int(options["--rounds"])):
        pair = [("before", before), ("now", HERE)]
        for name, root in pair if n % 2 else pair[::-1]:
            found[name].append(asyncio.run(run(root, int(options["--requests"]))))
        ratios.append(found["now"][-1][0] / found["before"][-1][0])
        print(f"pair {n + 1}: {found['before'][-1]} {found['now'][-1]} ratio {ratios[-1]:.3f}", flush=True)
    print("| | CPU us a request, median | KiB at the start | KiB at the end |\n| --- | --- | --- | --- |")
    for name, runs in found.items():
        columns = [statistics.median(values) for values in zip(*runs, strict=True)]
        print(f"| {name} | {columns[0]:.0f} | {columns[1]:.0f} | {columns[2]:.0f} |")
    print(f"ratio of CPU: median {statistics.median(ratios):.3f}, {min(ratios):.3f} to {max(ratios):.3f}")


if __name__ == "__main__":
    main()
