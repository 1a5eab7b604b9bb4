"""The actor that follows the change log by long polls. Its loss never stops serving.

A log that stopped but whose connection stays open, and one that answers slowly, look alike. So a poll that is
overdue is not given up: another one begins over a new connection beside it, and whichever is answered counts.
"""

from __future__ import annotations

import asyncio
import contextlib
import random
import socket
from typing import Any

from quincepier import clock
from quincepier.net.actor import Actor
from quincepier.net.means import Means
from quincepier.net.messages import News
from quincepier.net.sockets import resolve
from quincepier.net.watch_poll import Poll
from quincepier.recovery import first_poll
from quincepier.wire.changelog import ChangeEvent, InvalidRecord, decode_changes
from quincepier.wire.errors import ProtocolError

# The longest wait asked for, and the seconds past it until an answer is overdue. A log that stopped but stays
# open is found out after both, and what it has to tell counts as told 2 s after the wait.
POLL_MS, POLL_GRACE = 1000, 0.75
CONNECT_WITHIN = 0.5  # seconds until a connection is overdue
MAX_POLLS = 4  # beside each other; the oldest goes for a further one
# Seconds from one try to the next: none at the first failure, then doubled at each in a row. After an outage
# of eight seconds, what came at its start has counted as told for one, and a drain's grace is two.
BACK_OFF, BACK_OFF_MOST = 0.05, 0.75
# A front serves once it has heard what the log had as it started: an answer, or so much silence after the
# call, as the log answers at once where there is news. Without the log it serves after the second of these.
QUIET, START_WAITS = 0.06, 0.25  # seconds
TRIES = 3  # of a record that can't be read, or of a gap, before it is passed over
SETTLE_TURNS = 4  # of the loop, in which an answer that is there is read before its poll counts as overdue


class Watch(Actor[None]):
    name = "change_log"

    def __init__(self, means: Means) -> None:
        super().__init__(means.checks, 1)
        self.means, self.descriptors = means, means.descriptors
        self.module = means.module
        self.last, self.failures, self.tries = means.config.known_seq, 0, 0
        self.random = random.Random(means.config.seed)
        self.buffers = means.pool.acquire() or []  # its own for good: purges come whatever else is short
        self.polls: list[Poll] = []  # the oldest first
        self.kept: socket.socket | None = None  # for the next poll
        self.moves = 0  # to another address
        self.reached = self.last  # as the newest poll began
        self.behind_since = 0.0  # only what was asked since, by the loop's clock, tells of what is current
        self.nudge: asyncio.Future[None] | None = None  # of the wait for a poll to end
        self.due = 0.0  # the next poll, by the loop's clock in seconds
        self.current = asyncio.Event()  # what the log had as this front started is told
        self.wait_ms = first_poll(self.random, POLL_MS)  # that the next poll asks for
        self.answered_at_ns = 0  # when the log answered last: what it tells later was not there by then

    @property
    def polling(self) -> asyncio.Task[bytes] | None:
        """The newest poll's task."""
        return self.polls[-1].task if self.polls else None

    def move(self) -> None:
        """The configuration names another address: ask there now, from the number reached.

        A signal calls it, between any two lines of this actor; what was answered whole is taken all the same.
        """
        self.failures, self.due, self.moves = 0, 0.0, self.moves + 1
        self._drop_kept()
        for poll in self.polls:
            if not poll.task.cancel():
                poll.keeps = False

    async def up_to_date(self) -> None:
        """Until what was missed between the list of the start and now is told, if the log can be asked.

        Else requests would go by a list without what the log had long told all others, such as a purge.
        """
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(START_WAITS):
                await self.current.wait()

    async def catch_up(self) -> None:
        """After a long pause of the process: ask anew, and wait as at a start.

        A poll that ended meanwhile has told nothing of what came after it.
        """
        self.behind_since = asyncio.get_running_loop().time()
        self.current.clear()
        self.due = 0.0
        self._one_more()
        resolve(self.nudge)
        await self.up_to_date()

    async def run(self) -> None:
        """Poll for good."""
        try:
            while True:
                if not self.polls:
                    self._begin()
                ended = await self._wait()
                if not ended:
                    self._overdue()
                for poll in ended:
                    self.polls.remove(poll)
                    self._on_ended(poll)
        finally:
            for poll in self.polls:
                poll.close()
            self._drop_kept()

    def _begin(self) -> None:
        """One more poll, once it is due."""
        kept, self.kept = self.kept, None
        self.reached = self.last
        self.polls.append(Poll(self.means, memoryview(self.buffers[0]), kept, self.due, self._target))
        self.due = 0.0

    def _target(self) -> str:
        asyncio.get_running_loop().call_later(QUIET, self._quiet, self.polls[-1])
        return f"/changes?since={self.last}&timeout={self.wait_ms}"

    def _quiet(self, poll: Poll) -> None:
        """So long after it was asked; what has begun, or has failed, is waited for."""
        if not poll.has_heard and not poll.task.done():
            self._is_current(poll)

    def _is_current(self, poll: Poll) -> None:
        if poll.began >= self.behind_since:
            self.current.set()

    def _overdue_at(self) -> float:
        newest = self.polls[-1]
        if newest.asked is not None:
            return newest.asked + POLL_MS / 1000 + POLL_GRACE
        return newest.began + CONNECT_WITHIN

    async def _wait(self) -> list[Poll]:
        """Those that ended, once one has; none once the newest one is overdue."""
        loop, turns = asyncio.get_running_loop(), 0
        while True:
            ended = [poll for poll in self.polls if poll.task.done()]
            left = self._overdue_at() - loop.time()
            if ended or (left <= 0 and turns >= SETTLE_TURNS):
                return ended
            if left > 0:
                self.nudge = loop.create_future()
                ends: list[asyncio.Future[Any]] = [poll.task for poll in self.polls]
                ends.append(self.nudge)
                await asyncio.wait(ends, timeout=left, return_when=asyncio.FIRST_COMPLETED)
            else:  # as a standstill of the process ends, its answer may lie in the socket
                turns += 1
                await asyncio.sleep(0)

    def _overdue(self) -> None:
        """Another poll beside those that nothing is heard of."""
        why = "not up in time" if self.polls[-1].asked is None else "no answer in time"
        self._failed(self.polls[-1].began, f"TimeoutError: {why}, asked once more")
        self._one_more()

    def _one_more(self) -> None:
        if len(self.polls) >= MAX_POLLS:
            self.polls.pop(0).close()
        self._begin()

    def _on_ended(self, poll: Poll) -> None:
        if poll.task.cancelled():  # the address is another one now
            poll.close()
            return
        moves = self.moves
        try:
            self._take(*decode_changes(poll.task.result(), self.means.judge))
            self._is_current(poll)
            self.wait_ms, self.failures = POLL_MS, 0
            if self.last == self.reached and moves == self.moves:
                self.due = poll.began + BACK_OFF  # a log that does not wait is not asked without a pause
        except Exception as error:  # whatever it is, it is tried again
            poll.close()
            if poll.was_kept and isinstance(error, ConnectionError):  # closed as it was asked
                self.checks.count("change_log_connections_closed_idle")
            else:
                self._failed(poll.began, f"{type(error).__name__}: {error}")
            return
        if poll.keeps and not self.polls and moves == self.moves:
            self.kept = poll.take_connection()
        else:
            poll.close()

    def _failed(self, began: float, why: str) -> None:
        """A try that brought nothing: the next one is due at once, later ones after a pause."""
        self.failures += 1
        self.checks.event("change_log_poll_failed", why)
        if self.failures > 1:
            loop = asyncio.get_running_loop()
            wait = min(BACK_OFF * 2 ** min(self.failures - 2, 10), BACK_OFF_MOST)
            due = began + wait * self.random.uniform(0.5, 1)  # a try may have taken that long
            self.due = max(due, loop.time() + BACK_OFF)

    def _drop_kept(self) -> None:
        sock, self.kept = self.kept, None
        if sock is not None:
            sock.close()
            self.descriptors.cache(-1)

    def _take(self, last: int, events: tuple[ChangeEvent, ...]) -> None:
        """Pass on what is new, once, in order; at a gap or a bad record ask again, a few times."""
        for event in events:
            if event.seq <= self.last:
                continue
            if event.seq != self.last + 1:
                self._again(f"events {self.last + 1} to {event.seq - 1} are missing")
                self.last = event.seq - 1  # the record itself has tries of its own
            if isinstance(event, InvalidRecord):
                self._again(f"event {event.seq}: {event.reason}")
            else:
                self.module.urge(News(event, self.answered_at_ns))
            self.last, self.tries = event.seq, 0
        if last > self.last and not events:
            self._again(f"events {self.last + 1} to {last} are missing")
            self.last, self.tries = last, 0
        self.answered_at_ns = clock.now()

    def _again(self, why: str) -> None:
        self.tries += 1
        if self.tries < TRIES:
            raise ProtocolError(why)
        self.checks.event("change_log_record_skipped", why)
        self.tries = 0
