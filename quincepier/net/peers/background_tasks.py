"""Background tasks of the peer network that no caller awaits."""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine

from quincepier.checks import Checks


class BackgroundTasks:
    """Keeps references to tasks until they end; an exception that ends a task is logged as a defect."""

    def __init__(self, checks: Checks, defect_event: str) -> None:
        self._checks = checks
        self._defect_event = defect_event
        self._tasks: set[asyncio.Task[None]] = set()

    def __len__(self) -> int:
        return len(self._tasks)

    def start(self, coroutine: Coroutine[object, object, None]) -> asyncio.Task[None]:
        """Starts a task that runs the coroutine."""
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._on_done)
        return task

    def cancel_all(self) -> None:
        """Cancels the tasks that have not ended."""
        for task in list(self._tasks):
            task.cancel()

    def _on_done(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        if task.cancelled():
            return
        error = task.exception()
        if error is not None:
            self._checks.exception(self._defect_event, error)
