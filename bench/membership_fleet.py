"""Membership by processes: fronts on loopback, all pairs through the relay, struck one fault after another.

    .venv/bin/python bench/membership_fleet.py [MEMBERS ...]

Told of each fault: members wrongly put out (sums over all views), how long until a death is known (median,
worst), changes of the view at a front that was not struck (median, most), and how long after the fault all
see all again. CPU is of the fronts themselves, at rest.
"""

from __future__ import annotations

import asyncio
import sys
import tempfile
import time
from collections.abc import Callable, Sequence
from pathlib import Path
from typing import Any

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from bench.measure import cpu_of
from tests.membershipkit import Fleet, middle

REST = 10.0  # seconds


async def rest(fleet: Fleet) -> float:
    """CPU of a front that serves nothing, in ms a second."""
    pids = [f.process.pid for f in fleet.fronts if f.process is not None]
    before, began = [cpu_of(pid) for pid in pids], time.monotonic()
    await asyncio.sleep(REST)
    spent = [cpu_of(pid) - b for pid, b in zip(pids, before, strict=True)]
    return middle(spent) / (time.monotonic() - began) * 1000


async def run(count: int) -> None:
    everyone, tenth = range(count), range(max(count // 10, 1))
    half, other = range(count // 2), range(count // 2, count)
    seven = range(count - int(0.7 * count), count)
    with tempfile.TemporaryDirectory() as folder:
        began = time.monotonic()
        async with Fleet(Path(folder), count) as fleet:
            print(f"{count} processes, all serve after {time.monotonic() - began:.1f} s", flush=True)
            print(f"one view {await fleet.see(count, 120):.1f} s later", flush=True)
            print(f"at rest: CPU {await rest(fleet):.1f} ms a second of each", flush=True)
            some = list(tenth)
            faults: list[tuple[str, Sequence[int], Callable[[], Any]]] = [
                ("pause of 0.5 s, a tenth", (), lambda: fleet.pause(some, 0.5)),
                ("pause of 2 s, a tenth", (), lambda: fleet.pause(some, 2)),
                ("pause of 5 s, a tenth", some, lambda: fleet.pause(some, 5)),
                ("pause of 10 s, a tenth", some, lambda: fleet.pause(some, 10)),
                ("5% lost, 15 s", (), lambda: fleet.path_for("loss", everyone, 15, size=0.05)),
                ("20% lost, 15 s", (), lambda: fleet.path_for("loss", everyone, 15, size=0.2)),
                ("40% lost, 15 s", (), lambda: fleet.path_for("loss", everyone, 15, size=0.4)),
                ("what a tenth say to half, cut 10 s", (),
                 lambda: fleet.path_for("silent", some, 10, way="out", apart=list(other))),
                ("one killed for 8 s", [count - 1], lambda: fleet.kill([count - 1], 8)),
                ("seven in ten killed for 12 s", list(seven), lambda: fleet.kill(list(seven), 12)),
                ("halves cut 10 s", everyone, lambda: fleet.path_for("cut", half, 10, apart=list(other))),
            ]  # fmt: skip
            for name, ill, work in faults:
                try:
                    got = await fleet.struck(ill, work, within=90)
                except TimeoutError as error:
                    print(f"{name}: NOT one view again: {error}", flush=True)
                    continue
                known = (
                    f"known {middle(got.known):.1f}, {max(got.known):.1f} s" if got.known else "none known"
                )
                turns = f"{middle(got.changes):.0f}, {max(got.changes, default=0)} changes"
                print(f"{name}: {got.wrong} wrong; {known}; {turns}; again {got.again:.1f} s", flush=True)


if __name__ == "__main__":
    for one in [int(n) for n in sys.argv[1:]] or [20, 60]:
        asyncio.run(run(one))
