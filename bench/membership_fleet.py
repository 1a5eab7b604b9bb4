"""Measures membership with front processes on loopback under one network or process fault after another.

    .venv/bin/python bench/membership_fleet.py [MEMBERS ...]

Prints for each fault: members wrongly removed (sum over all views), seconds until a faulty one is removed
(median, worst), view changes at a front without the fault (median, maximum), and seconds from the end of the
fault until all fronts see all members. CPU is that of idle fronts, in ms per second.
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

from bench.measure import cpu_seconds_of
from tests.membershipkit import Fleet, median

IDLE_S = 10.0


async def idle_cpu(fleet: Fleet) -> float:
    """Return the median CPU usage of idle fronts, in ms per second."""
    pids = [f.process.pid for f in fleet.fronts if f.process is not None]
    before, began = [cpu_seconds_of(pid) for pid in pids], time.monotonic()
    await asyncio.sleep(IDLE_S)
    spent = [cpu_seconds_of(pid) - b for pid, b in zip(pids, before, strict=True)]
    return median(spent) / (time.monotonic() - began) * 1000


async def run(count: int) -> None:
    everyone, tenth = range(count), range(max(count // 10, 1))
    half, other = range(count // 2), range(count // 2, count)
    seven = range(count - int(0.7 * count), count)
    with tempfile.TemporaryDirectory() as folder:
        began = time.monotonic()
        async with Fleet(Path(folder), count) as fleet:
            print(f"{count} processes, all serve after {time.monotonic() - began:.1f} s", flush=True)
            print(f"all see all {await fleet.wait_for_views(count, 120):.1f} s later", flush=True)
            print(f"idle: CPU {await idle_cpu(fleet):.1f} ms a second of each", flush=True)
            some = list(tenth)
            faults: list[tuple[str, Sequence[int], Callable[[], Any]]] = [
                ("pause of 0.5 s, a tenth", (), lambda: fleet.pause(some, 0.5)),
                ("pause of 2 s, a tenth", (), lambda: fleet.pause(some, 2)),
                ("pause of 5 s, a tenth", some, lambda: fleet.pause(some, 5)),
                ("pause of 10 s, a tenth", some, lambda: fleet.pause(some, 10)),
                ("5% lost, 15 s", (), lambda: fleet.inject_path_fault("loss", everyone, 15, size=0.05)),
                ("20% lost, 15 s", (), lambda: fleet.inject_path_fault("loss", everyone, 15, size=0.2)),
                ("40% lost, 15 s", (), lambda: fleet.inject_path_fault("loss", everyone, 15, size=0.4)),
                ("one-way partition, a tenth to half, 10 s", (),
                 lambda: fleet.inject_path_fault("silent", some, 10, way="out", apart=list(other))),
                ("one killed for 8 s", [count - 1], lambda: fleet.kill([count - 1], 8)),
                ("seven in ten killed for 12 s", list(seven), lambda: fleet.kill(list(seven), 12)),
                ("partition in halves, 10 s", everyone,
                 lambda: fleet.inject_path_fault("cut", half, 10, apart=list(other))),
            ]  # fmt: skip
            for name, faulty, inject in faults:
                try:
                    effect = await fleet.measure_effect(inject, faulty, timeout_s=90)
                except TimeoutError as error:
                    print(f"{name}: NOT recovered: {error}", flush=True)
                    continue
                removed = (
                    f"removed after {median(effect.detection_s):.1f}, {max(effect.detection_s):.1f} s"
                    if effect.detection_s
                    else "none removed"
                )
                changes = f"{median(effect.changes):.0f}, {max(effect.changes, default=0)} changes"
                print(
                    f"{name}: {effect.wrong_removals} wrong; {removed}; {changes}; "
                    f"recovered after {effect.recovery_s:.1f} s",
                    flush=True,
                )


if __name__ == "__main__":
    for fronts in [int(n) for n in sys.argv[1:]] or [20, 60]:
        asyncio.run(run(fronts))
