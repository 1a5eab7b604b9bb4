"""Shared by all processes of the rig: commands from the rig, messages to it, notes as evidence, and exit.

The rig sends JSON lines to the standard input. The process ends when that input is closed, so that it never
outlives the rig, however the rig ended.
"""

from __future__ import annotations

import asyncio
import ctypes
import os
import signal
import sys
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

import msgspec

PR_SET_PDEATHSIG = 1
STALL_CHECK_INTERVAL_S, STALL_THRESHOLD_S = 0.05, 0.02  # a longer lag of the event loop is noted
MAX_BUFFERED_NOTES = 512


def dies_with_parent() -> None:
    """Have this process killed when its parent ends (prctl(2), PR_SET_PDEATHSIG); called before exec."""
    ctypes.CDLL(None).prctl(PR_SET_PDEATHSIG, signal.SIGKILL, 0, 0, 0)
    if os.getppid() == 1:
        os._exit(1)


class Notes:
    """Evidence log of a process: one JSON line per event, with the system's monotonic time in ns."""

    def __init__(self, path: Path) -> None:
        self.file, self.buffered = path.open("ab"), list[bytes]()
        self.encode = msgspec.json.Encoder().encode

    def note(self, event: str, *fields: Any) -> None:
        self.buffered.append(self.encode((time.monotonic_ns(), event, *fields)))
        if len(self.buffered) >= MAX_BUFFERED_NOTES:
            self.flush()

    def flush(self) -> None:
        if self.buffered:
            self.file.write(b"\n".join(self.buffered) + b"\n")
            self.file.flush()
            self.buffered.clear()


def report_to_rig(**message: Any) -> None:
    """Send a message to the rig, one JSON line on the standard output."""
    sys.stdout.buffer.write(msgspec.json.encode(message) + b"\n")
    sys.stdout.buffer.flush()


async def run_commands(on_command: Callable[[dict[str, Any]], None], notes: Notes) -> bool:
    """Pass the rig's commands to `on_command` until `end` (return True) or the end of the rig (False)."""
    loop = asyncio.get_running_loop()
    reader = asyncio.StreamReader(limit=1 << 24)
    await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)
    lag = loop.create_task(_record_stalls(notes))
    ended = False
    while not ended and (line := await reader.readline()):
        message = msgspec.json.decode(line)
        ended = "end" in message
        if not ended:
            on_command(message)
    lag.cancel()
    notes.flush()
    return ended


async def _record_stalls(notes: Notes) -> None:
    """Note each pause of this process: lateness during a pause is not a fault of the fronts."""
    while True:
        before = time.monotonic()
        await asyncio.sleep(STALL_CHECK_INTERVAL_S)
        late = time.monotonic() - before - STALL_CHECK_INTERVAL_S
        if late > STALL_THRESHOLD_S:
            notes.note("stall", int(late * 1e9))
        notes.flush()
