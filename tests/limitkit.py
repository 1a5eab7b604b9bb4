"""The front as a process with few descriptors, the system's own limit set to the same figure."""

from __future__ import annotations

import asyncio
import os
import re
import resource
import signal
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

from tests.fcgikit import BEGIN, call, pairs, params, rec
from tests.frontkit import host
from tests.standins import Behaviour, Cache, Client, Front, until

KEEP = 1


def ping(request: int) -> bytes:
    """A whole request for /ping."""
    return call(request, {"SCRIPT_NAME": "/ping"})


def half(request: int) -> bytes:
    """A request that has begun and lacks its end."""
    return rec(BEGIN, request, bytes([0, 1, KEEP, 0, 0, 0, 0, 0])) + rec(4, request, pairs(params("0" * 16)))


def item(n: int) -> str:
    """One object of many."""
    return f"{n * 0x9E3779B97F4A7C15 % 2**64:016x}"


def resident(front: Front) -> int:
    """Bytes of memory that the process has resident at most so far."""
    assert front.process is not None
    status = Path(f"/proc/{front.process.pid}/status").read_text()
    found = re.search(r"VmHWM:\s+(\d+) kB", status)
    assert found is not None
    return int(found[1]) * 1024


def descriptors(front: Front) -> int:
    assert front.process is not None
    return len(os.listdir(f"/proc/{front.process.pid}/fd"))


def counters(front: Front) -> dict[str, int]:
    """As the front tells them at its end."""
    line = next(line for line in front.log_lines if "counters: " in line and " stopped: " in line)
    text = line.partition("counters: ")[2]
    return {m[1]: int(m[2]) for m in re.finditer(r"(?:^|, )([^,]+?) (\d+)(?=, |$)", text)}


async def more_machines(front: Front, count: int) -> None:
    """The list tells of so many caches more, all at the address of the first."""
    known, address = len(front.change_log.poll_positions), front.caches["s-1"].address
    seq = front.change_log.add_event(
        fleet={"seq": 1, "whole": False, "hosts": [host(f"s-{n + 2}", address) for n in range(count)]}
    )
    await until(
        lambda: any(since >= seq for since in front.change_log.poll_positions[known:]), "the list is heard"
    )


async def ended(front: Front) -> dict[str, int]:
    """End the front as a planned restart does; its counters."""
    front.send_signal(signal.SIGTERM)
    assert await front.wait_for_exit() == 0, front.log_lines
    return counters(front)


async def idle(front: Front, count: int) -> list[Client]:
    """So many clients that have asked once, were answered, and rest."""
    found = []
    for _ in range(count):
        found.append(await front.connect_client())
        found[-1].send(ping(1))
    for client in found:
        await until(lambda c=client: 1 in c.response_reader.order or c.is_closed, "a ping is answered")  # type: ignore[misc]
    return found


def play_at(
    folder: Path,
    caches: dict[str, Behaviour],
    scenario: Callable[[Front], Awaitable[None]],
    sockets: int,
    memory_mb: int = 64,
    **changes: Any,
) -> None:
    """Start the front with so many descriptors for its own account and for the system's, play, end it."""

    async def run() -> None:
        front = Front(
            folder, {name: Cache(behaviour) for name, behaviour in caches.items()}, is_optimized=True
        )
        try:
            limits = {"cores": 1.0, "memory_mb": memory_mb, "sockets": sockets}
            await front.start(wait=False, limits=limits, **changes)
            assert front.process is not None
            resource.prlimit(front.process.pid, resource.RLIMIT_NOFILE, (sockets, sockets))
            await until(lambda: front.has_logged(" serves on ") or front.has_exited, "the front serves")
            assert not front.has_exited, front.log_lines
            await scenario(front)
        finally:
            print(*front.log_lines[-25:], sep="\n")  # shown where the test fails
            await front.stop()

    asyncio.run(run())
