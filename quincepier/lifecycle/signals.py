"""SIGHUP from the first moment: noted until someone reads the configuration anew, never the process's end."""

from __future__ import annotations

import signal
from collections.abc import Callable
from types import FrameType

_pending = False
_reload: Callable[[], None] | None = None


def _noted(number: int, frame: FrameType | None) -> None:
    global _pending
    if _reload is not None:
        _reload()
    else:
        _pending = True


def catch() -> None:
    """From here on SIGHUP is noted; before a front stands, and once it is gone, nothing else comes of it."""
    signal.signal(signal.SIGHUP, _noted)


def on_reload(reload: Callable[[], None] | None) -> None:
    """Who is called at SIGHUP, at once for one that came before; None: no one any more, for good."""
    global _pending, _reload
    _reload = reload
    if reload is None:  # the interpreter puts handlers of ours back to the default as it stops
        signal.signal(signal.SIGHUP, signal.SIG_IGN)
    if reload is not None and _pending:
        _pending = False
        reload()
