"""Mailboxes and actors: one task, one bounded queue, messages in order. No locks, no threads."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Awaitable
from typing import Generic, TypeVar

from quincepier.checks import Checks

M = TypeVar("M")


class Mailbox(Generic[M]):
    """Three bounded queues, taken in order: what must not wait, what is under way, and new work."""

    def __init__(self, most: int) -> None:
        self.most = most
        self.queue: deque[M] = deque()
        self.first: deque[M] = deque()  # taken before all others, and after all others
        self.last: deque[M] = deque()
        self.reader: asyncio.Future[None] | None = None

    def __len__(self) -> int:
        return len(self.queue) + len(self.first) + len(self.last)

    def offer(self, message: M) -> bool:
        """Whether there was room for the message."""
        if len(self) >= self.most:
            return False
        self.queue.append(message)
        self.wake()
        return True

    def urge(self, message: M) -> None:
        """For what must not wait behind anything else."""
        self.first.append(message)
        self.wake()

    def add(self, message: M) -> bool:
        """For new work, which waits for all that is under way; whether there was room for it."""
        if len(self.last) >= self.most:
            return False
        self.last.append(message)
        self.wake()
        return True

    def push(self, message: M) -> None:
        """Take a message whatever is queued: for those whose number is bounded by what is open."""
        self.queue.append(message)
        self.wake()

    def wake(self) -> None:
        """Let the reader look up, message or not."""
        if self.reader is not None and not self.reader.done():
            self.reader.set_result(None)

    def take(self) -> M | None:
        lane = self.first or self.queue or self.last
        if not lane:
            return None
        return lane.popleft()

    async def wait(self) -> None:
        """Until there is a message or a wake."""
        if not len(self):
            self.reader = asyncio.get_running_loop().create_future()
            try:
                await self.reader
            finally:
                self.reader = None


class Actor(Generic[M]):
    """Owns its state and a mailbox. An exception ends one message or task; it is counted and logged."""

    name = "actor"

    def __init__(self, checks: Checks, mailbox_most: int) -> None:
        self.checks = checks
        self.mailbox: Mailbox[M] = Mailbox(mailbox_most)
        self.tasks: set[asyncio.Task[None]] = set()

    def start(self) -> None:
        self.spawn(self.run())

    def spawn(self, work: Awaitable[None]) -> asyncio.Task[None]:
        task: asyncio.Task[None] = asyncio.get_running_loop().create_task(self._guard(work))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task

    async def _guard(self, work: Awaitable[None]) -> None:
        try:
            await work
        except asyncio.CancelledError:
            raise
        except Exception as error:
            self.checks.exception(f"exception_in_{self.name}_actor", error)

    async def run(self) -> None:
        while True:
            while (message := self.mailbox.take()) is not None:
                self.safely(message)
            await self.mailbox.wait()

    def safely(self, message: M) -> None:
        """One message; what goes wrong with it ends nothing but what it was about."""
        try:
            self.handle(message)
        except Exception as error:
            self.checks.exception(f"exception_in_{self.name}_actor", error, about=type(message).__name__)
            self.spoiled(message)

    def handle(self, message: M) -> None:
        raise NotImplementedError

    def spoiled(self, message: M) -> None:
        """End what a message was about whose handling broke."""

    def cancel(self) -> None:
        for task in list(self.tasks):
            task.cancel()
