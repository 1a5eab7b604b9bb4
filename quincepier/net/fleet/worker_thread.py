"""Work that blocks on a disk, in a thread of its own: in order, bounded, its outcome told in the loop."""

from __future__ import annotations

import asyncio
import queue
import threading
from collections.abc import Callable
from typing import Any

WORK_MOST = 64


class WorkerThread:
    """A disk that hangs holds up what waits here and nothing else; the thread ends with the process."""

    def __init__(self, name: str) -> None:
        self.queue: queue.Queue[tuple[Callable[[], Any], Callable[[Any], None]]] = queue.Queue(WORK_MOST)
        self.loop = asyncio.get_running_loop()
        threading.Thread(target=self._body, daemon=True, name=name).start()

    def do(self, work: Callable[[], Any], told: Callable[[Any], None]) -> bool:
        """`told` gets the outcome, an exception as it is; False where too much waits already."""
        try:
            self.queue.put_nowait((work, told))
        except queue.Full:
            return False
        return True

    def _body(self) -> None:
        while True:
            work, told = self.queue.get()
            try:
                outcome = work()
            except Exception as error:
                outcome = error
            try:
                self.loop.call_soon_threadsafe(told, outcome)
            except RuntimeError:  # the loop has ended meanwhile
                return

    async def done(self, work: Callable[[], Any]) -> Any:
        """The outcome, an exception as a result."""
        future: asyncio.Future[Any] = self.loop.create_future()

        def told(outcome: Any) -> None:
            if not future.done():
                future.set_result(outcome)

        return await future if self.do(work, told) else OSError("the disk is behind")
