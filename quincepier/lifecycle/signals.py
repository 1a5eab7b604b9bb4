"""Handlers of SIGTERM, SIGINT and SIGHUP from the start of the process to its end.

At any time, a signal to stop ends the process with an exit code, and SIGHUP does not end it. The handlers
are installed in the process, not in the event loop, which removes its own as it closes. A handler runs
between any two bytecodes, where a reload could interrupt another reload or the decision module; so it only
notes the signal, and the front acts on it in an iteration of its loop.
"""

from __future__ import annotations

import os
import signal
from collections.abc import Callable
from types import FrameType

STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)
_received: set[int] = set()  # received since the last `take_received`
_listener: Callable[[], object] | None = None


def _on_signal(number: int, frame: FrameType | None) -> None:
    if _listener is None and number in STOP_SIGNALS:
        os._exit(
            0
        )  # no request was accepted yet; an exception raised here could be swallowed by the interrupted code
    _received.add(number)
    if _listener is not None:
        _listener()


def install_handlers(serves: bool) -> None:
    """Note SIGHUP from now on; in a process that serves, handle SIGTERM and SIGINT too.

    Args:
        serves: The process is to serve: until `set_listener`, signals to stop end it with exit code 0.
    """
    for number in (signal.SIGHUP, *(STOP_SIGNALS if serves else ())):
        signal.signal(number, _on_signal)


def set_listener(listener: Callable[[], object]) -> None:
    """Call `listener` on each signal from now on, and at once if one was received before."""
    global _listener
    _listener = listener
    if _received:
        listener()


def take_received() -> set[int]:
    """Return the signals received since the last call, each once."""
    received = set(_received)
    _received.difference_update(received)
    return received


def ignore_signals() -> None:
    """Ignore SIGHUP, SIGTERM and SIGINT until the process has ended."""
    for number in (signal.SIGHUP, *STOP_SIGNALS):
        # the interpreter resets Python handlers to the default as it finalizes, but not SIG_IGN
        signal.signal(number, signal.SIG_IGN)
    _received.clear()
