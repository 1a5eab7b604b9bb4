"""What every process of the rig shares: words from the rig, words to it, notes for the judge, and its end.

The rig speaks in lines of JSON on the standard input. When that ends the rig is gone, however it went, and so
is the process.
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
TICK, LATE = 0.05, 0.02  # seconds between looks at the loop; lag beyond this is noted
NOTES_HELD = 512


def dies_with_parent() -> None:
    """Of a process about to be run: SIGKILL as its parent ends (prctl(2), PR_SET_PDEATHSIG)."""
    ctypes.CDLL(None).prctl(PR_SET_PDEATHSIG, signal.SIGKILL, 0, 0, 0)
    if os.getppid() == 1:
        os._exit(1)


class Notes:
    """What the process saw, a line of JSON each, with the system's monotonic time in nanoseconds."""

    def __init__(self, path: Path) -> None:
        self.file, self.held = path.open("ab"), list[bytes]()
        self.encode = msgspec.json.Encoder().encode

    def note(self, what: str, *about: Any) -> None:
        self.held.append(self.encode((time.monotonic_ns(), what, *about)))
        if len(self.held) >= NOTES_HELD:
            self.flush()

    def flush(self) -> None:
        if self.held:
            self.file.write(b"\n".join(self.held) + b"\n")
            self.file.flush()
            self.held.clear()


def tell(**words: Any) -> None:
    """To the rig."""
    sys.stdout.buffer.write(msgspec.json.encode(words) + b"\n")
    sys.stdout.buffer.flush()


async def obey(heard: Callable[[dict[str, Any]], None], notes: Notes) -> bool:
    """Until the rig says `end` (true) or is gone (false)."""
    loop = asyncio.get_running_loop()
    reader = asyncio.StreamReader(limit=1 << 24)
    await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)
    lag = loop.create_task(_watch(notes))
    ended = False
    while not ended and (line := await reader.readline()):
        words = msgspec.json.decode(line)
        ended = "end" in words
        if not ended:
            heard(words)
    lag.cancel()
    notes.flush()
    return ended


async def _watch(notes: Notes) -> None:
    """A process that stood still says so: what came late in that time is not a front's fault."""
    while True:
        before = time.monotonic()
        await asyncio.sleep(TICK)
        late = time.monotonic() - before - TICK
        if late > LATE:
            notes.note("stall", int(late * 1e9))
        notes.flush()
