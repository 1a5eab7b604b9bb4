"""SIGTERM, SIGINT and SIGHUP from the first moment to the last: an end with an exit code, or service goes on.

Handlers are the process's own, not the event loop's, whose are undone as it closes. What came is told to the
front in a turn of its loop: a handler runs between any two lines, and would read a configuration anew inside
another reading, or in the middle of the module's work.
"""

from __future__ import annotations

import os
import signal
from collections.abc import Callable
from types import FrameType

ENDING = (signal.SIGTERM, signal.SIGINT)
_noted: set[int] = set()  # came and not taken yet
_told: Callable[[], object] | None = None


def _came(number: int, frame: FrameType | None) -> None:
    if _told is None and number in ENDING:
        os._exit(0)  # nothing is taken yet; an exception could be lost in whatever line this is
    _noted.add(number)
    if _told is not None:
        _told()


def catch(serves: bool) -> None:
    """From here on SIGHUP is noted, and of a program that `serves` SIGTERM and SIGINT are an end with 0."""
    for number in (signal.SIGHUP, *(ENDING if serves else ())):
        signal.signal(number, _came)


def tell(told: Callable[[], object]) -> None:
    """Who is told from now on that something was noted, at once for what came before."""
    global _told
    _told = told
    if _noted:
        told()


def take() -> set[int]:
    """What came since it was taken last, each once."""
    taken = set(_noted)
    _noted.difference_update(taken)
    return taken


def ignore() -> None:
    """The end has come: no signal has anything more to say, up to the process's last moment."""
    for number in (signal.SIGHUP, *ENDING):
        # the interpreter puts handlers of ours back to the default as it stops
        signal.signal(number, signal.SIG_IGN)
    _noted.clear()
