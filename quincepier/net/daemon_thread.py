"""Runs one blocking call in a daemon thread of its own, so that a call which hangs holds up nothing."""

from __future__ import annotations

import asyncio
import threading
from collections.abc import Callable
from typing import TypeVar

T = TypeVar("T")


def run_in_daemon_thread(work: Callable[[], T], name: str) -> asyncio.Future[T | Exception]:
    """Start a blocking call; to be called in a running event loop.

    The thread ends with the process, whether the call is done or not.

    Args:
        work: The blocking call.
        name: Name of the thread.

    Returns:
        A future of the call's result, or of the exception it raised as a value.
    """
    loop = asyncio.get_running_loop()
    future: asyncio.Future[T | Exception] = loop.create_future()

    def set_outcome(outcome: T | Exception) -> None:
        if not future.done():
            future.set_result(outcome)

    def run() -> None:
        outcome: T | Exception
        try:
            outcome = work()
        except Exception as error:  # noqa: BLE001 - the owner of the future gets it as the outcome
            outcome = error
        try:
            loop.call_soon_threadsafe(set_outcome, outcome)
        except RuntimeError:  # the loop has been closed meanwhile
            return

    threading.Thread(target=run, daemon=True, name=name).start()
    return future
