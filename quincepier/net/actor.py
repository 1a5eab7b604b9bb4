"""Mailboxes and actors.

An actor is one task that handles the messages of its bounded mailbox one at a time, without locks or threads.
"""

from __future__ import annotations

import asyncio
from collections import OrderedDict, deque
from collections.abc import Awaitable
from typing import Generic, TypeVar

from quincepier.checks import Checks

M = TypeVar("M")


class Mailbox(Generic[M]):
    """Three queues, emptied in this order: urgent messages, messages about work in progress, new work.

    Args:
        max_messages: Limit on queued messages for `try_push` and on new work for `try_push_new_work`.

    Attributes:
        queue: Messages about work in progress.
        urgent: Messages taken before all others.
        new_work: Messages taken after all others, by arrival; hashable, so that each can be removed.
        waiter: Set while the actor waits for a message.
    """

    def __init__(self, max_messages: int) -> None:
        self.max_messages = max_messages
        self.queue: deque[M] = deque()
        self.urgent: deque[M] = deque()
        self.new_work: OrderedDict[M, None] = OrderedDict()
        self.waiter: asyncio.Future[None] | None = None

    def __len__(self) -> int:
        return len(self.queue) + len(self.urgent) + len(self.new_work)

    def try_push(self, message: M) -> bool:
        """Queue a message; return False if the mailbox is full."""
        if len(self) >= self.max_messages:
            return False
        self.queue.append(message)
        self.wake()
        return True

    def push_urgent(self, message: M) -> None:
        """Queue a message ahead of all others. There is no limit on these."""
        self.urgent.append(message)
        self.wake()

    def try_push_new_work(self, message: M) -> bool:
        """Queue new work behind all other messages; return False if too much new work is queued."""
        if len(self.new_work) >= self.max_messages:
            return False
        self.new_work[message] = None
        self.wake()
        return True

    def remove_new_work(self, message: M) -> bool:
        """Remove queued new work that nobody needs any more; return whether it was still queued."""
        if message not in self.new_work:
            return False
        del self.new_work[message]
        return True

    def push(self, message: M) -> None:
        """Queue a message without a limit: for messages bounded in number by open requests and attempts."""
        self.queue.append(message)
        self.wake()

    def wake(self) -> None:
        """Wake the waiting actor, even without a message."""
        if self.waiter is not None and not self.waiter.done():
            self.waiter.set_result(None)

    def take(self) -> M | None:
        """Remove and return the next message; None if there is none."""
        next_queue = self.urgent or self.queue
        if next_queue:
            return next_queue.popleft()
        return self.new_work.popitem(last=False)[0] if self.new_work else None

    async def wait(self) -> None:
        """Wait for a message or a call of `wake`."""
        if not len(self):
            self.waiter = asyncio.get_running_loop().create_future()
            try:
                await self.waiter
            finally:
                self.waiter = None


class Actor(Generic[M]):
    """One task that owns its state and handles the messages of its mailbox.

    An exception ends the handling of one message, or one task; it is counted and logged.

    Args:
        checks: Counters and event log.
        max_mailbox_size: Limit of the mailbox.

    Attributes:
        name: Name of the actor in log events.
        tasks: The tasks that are running.
    """

    name = "actor"

    def __init__(self, checks: Checks, max_mailbox_size: int) -> None:
        self.checks = checks
        self.mailbox: Mailbox[M] = Mailbox(max_mailbox_size)
        self.tasks: set[asyncio.Task[None]] = set()

    def start(self) -> None:
        """Start handling messages."""
        self.spawn(self.run())

    def spawn(self, work: Awaitable[None]) -> asyncio.Task[None]:
        """Start a task of this actor; an exception in it is logged and counted."""
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
        """Handle messages until cancelled."""
        while True:
            while (message := self.mailbox.take()) is not None:
                self.handle_safely(message)
            await self.mailbox.wait()

    def handle_safely(self, message: M) -> None:
        """Handle one message; an exception ends only the request or attempt that the message is about."""
        try:
            self.handle(message)
        except Exception as error:
            self.checks.exception(f"exception_in_{self.name}_actor", error, about=type(message).__name__)
            self.on_handling_failed(message)

    def handle(self, message: M) -> None:
        """Handle one message."""
        raise NotImplementedError

    def on_handling_failed(self, message: M) -> None:
        """Fail the request or attempt of a message whose handling raised an exception."""

    def cancel(self) -> None:
        """Cancel all tasks of this actor."""
        for task in list(self.tasks):
            task.cancel()
