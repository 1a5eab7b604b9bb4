"""Runs the front as a process with few descriptors; RLIMIT_NOFILE has the same value as its setting."""

from __future__ import annotations

import asyncio
import os
import re
import resource
import signal
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

from tests.fcgikit import BEGIN, encode_pairs, encode_record, encode_request, params
from tests.frontkit import host
from tests.standins import Behaviour, Cache, Client, Front, until

KEEP = 1


def ping_request(request: int) -> bytes:
    """Return an encoded request for /ping."""
    return encode_request(request, {"SCRIPT_NAME": "/ping"})


def partial_request(request: int) -> bytes:
    """Return the first records of a request, without its last ones."""
    return encode_record(BEGIN, request, bytes([0, 1, KEEP, 0, 0, 0, 0, 0])) + encode_record(
        4, request, encode_pairs(params("0" * 16))
    )


def object_id(n: int) -> str:
    """Return the id of one of many objects."""
    return f"{n * 0x9E3779B97F4A7C15 % 2**64:016x}"


def peak_resident_bytes(front: Front) -> int:
    """Return the peak resident memory of the process, bytes."""
    assert front.process is not None
    status = Path(f"/proc/{front.process.pid}/status").read_text()
    found = re.search(r"VmHWM:\s+(\d+) kB", status)
    assert found is not None
    return int(found[1]) * 1024


def count_open_descriptors(front: Front) -> int:
    assert front.process is not None
    return len(os.listdir(f"/proc/{front.process.pid}/fd"))


def read_final_counters(front: Front) -> dict[str, int]:
    """Return the counters that the front logs at its end."""
    line = next(line for line in front.log_lines if "counters: " in line and " stopped: " in line)
    text = line.partition("counters: ")[2]
    return {m[1]: int(m[2]) for m in re.finditer(r"(?:^|, )([^,]+?) (\d+)(?=, |$)", text)}


async def add_machines(front: Front, count: int) -> None:
    """Add `count` caches to the endpoint list, all at the address of the first one."""
    known, address = len(front.change_log.poll_positions), front.caches["s-1"].address
    seq = front.change_log.add_event(
        fleet={"seq": 1, "whole": False, "hosts": [host(f"s-{n + 2}", address) for n in range(count)]}
    )
    await until(
        lambda: any(since >= seq for since in front.change_log.poll_positions[known:]),
        "the endpoint list is read",
    )


async def stop_and_read_counters(front: Front) -> dict[str, int]:
    """Stop the front by SIGTERM and return its counters."""
    front.send_signal(signal.SIGTERM)
    assert await front.wait_for_exit() == 0, front.log_lines
    return read_final_counters(front)


async def connect_idle_clients(front: Front, count: int) -> list[Client]:
    """Return `count` idle clients that have each had one response."""
    clients = []
    for _ in range(count):
        clients.append(await front.connect_client())
        clients[-1].send(ping_request(1))
    for client in clients:
        await until(
            lambda c=client: 1 in c.response_reader.completed_requests or c.is_closed,  # type: ignore[misc]
            "the ping has a response",
        )
    return clients


def play_with_descriptors(
    folder: Path,
    caches: dict[str, Behaviour],
    scenario: Callable[[Front], Awaitable[None]],
    sockets: int,
    memory_mb: int = 64,
    **changes: Any,
) -> None:
    """Run a scenario with a front whose own limit and RLIMIT_NOFILE are `sockets` descriptors."""

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
            print(*front.log_lines[-25:], sep="\n")  # shown if the test fails
            await front.stop()

    asyncio.run(run())
