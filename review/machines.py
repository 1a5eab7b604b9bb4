"""Caches, parents and an origin in a process of their own, so that they delay no client.

Usage: machines.py FOLDER BYTES WORK_MS. What they are sent and answer goes to machines.txt in FOLDER. It prints one line of JSON with the list entry of each machine and ends with
its standard input. Each object has BYTES bytes, and each `serve` is answered WORK_MS milliseconds after it came.
"""

from __future__ import annotations

import asyncio
import json
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent))
sys.dont_write_bytecode = True

from kit import Cache, Record, Serve


async def main() -> None:
    record, size, work_s = Record(Path(sys.argv[1]) / "machines.txt"), int(sys.argv[2]), float(sys.argv[3]) / 1000
    machines = [Cache(record, f"s-{n}", "small-box", "edge-1") for n in range(1, 5)]
    machines += [Cache(record, f"p-{n}", "parent", "north") for n in (1, 2)] + [Cache(record, "o-1", "origin", "north")]
    loop = asyncio.get_running_loop()

    def answer(serve: Serve) -> None:
        text = f"{serve.fields['key']}.{serve.fields['part']}.".encode()
        body = (text * (size // len(text) + 1))[:size]
        minted = time.time_ns() // 1_000_000
        serve.answer("data", body, f"tag=4be0c1927d55a6f3,minted={minted},how=local,lag=0")

    for machine in machines:
        machine.behaviour = lambda serve: loop.call_later(work_s, answer, serve) and None
        await machine.start()
    print(json.dumps([machine.listed() for machine in machines]), flush=True)
    await loop.run_in_executor(None, sys.stdin.read)
    record.close()


if __name__ == "__main__":
    asyncio.run(main())
