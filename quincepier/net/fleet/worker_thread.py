"""A thread for blocking disk work: a bounded queue of jobs whose outcomes are passed to the event loop."""

from __future__ import annotations

import asyncio
import queue
import threading
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

MAX_QUEUED_JOBS = 64


@dataclass(slots=True, frozen=True)
class Job:
    """A blocking call and the function that receives its outcome in the event loop."""

    work: Callable[[], Any]
    on_done: Callable[[Any], None]


class WorkerThread:
    """Runs blocking jobs in order; a disk that hangs delays only these jobs.

    It must be created in a running event loop. The thread ends with the process.

    Attributes:
        loop: The event loop that receives the outcomes.
    """

    def __init__(self, name: str) -> None:
        self._jobs: queue.Queue[Job] = queue.Queue(MAX_QUEUED_JOBS)
        self.loop = asyncio.get_running_loop()
        threading.Thread(target=self._run_jobs, daemon=True, name=name).start()

    def submit(self, work: Callable[[], Any], on_done: Callable[[Any], None]) -> bool:
        """Queue a job.

        Args:
            work: The blocking call.
            on_done: Called in the event loop with the result, or with the exception that `work` raised.

        Returns:
            False if the queue is full; `on_done` is not called then.
        """
        try:
            self._jobs.put_nowait(Job(work, on_done))
        except queue.Full:
            return False
        return True

    async def run(self, work: Callable[[], Any]) -> Any:
        """Run a job and return its result, or the exception that it raised, as a value."""
        future: asyncio.Future[Any] = self.loop.create_future()

        def on_done(outcome: Any) -> None:
            if not future.done():
                future.set_result(outcome)

        if not self.submit(work, on_done):
            return OSError("too many jobs are waiting for the disk")
        return await future

    def _run_jobs(self) -> None:
        while True:
            job = self._jobs.get()
            try:
                outcome = job.work()
            except Exception as error:  # noqa: BLE001 - it is passed on as the outcome
                outcome = error
            try:
                self.loop.call_soon_threadsafe(job.on_done, outcome)
            except RuntimeError:  # the loop was closed
                return
