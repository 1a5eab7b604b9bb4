"""The actor that follows the change log by long polls. The front keeps serving if the log is unreachable.

A stopped log whose connection stays open and a slow log look alike. So an overdue poll is not cancelled:
another poll starts in parallel over a new connection, and the first response counts.
"""

from __future__ import annotations

import asyncio
import contextlib
import random
import socket
from typing import Any

from quincepier import clock
from quincepier.net.actor import Actor
from quincepier.net.actor_dependencies import ActorDependencies
from quincepier.net.messages import ChangeLogEvent
from quincepier.net.sockets import resolve
from quincepier.net.watch_poll import ChangeLogPoll
from quincepier.recovery import draw_first_poll_wait_ms
from quincepier.wire.changelog import ChangeEvent, InvalidRecord, decode_changes
from quincepier.wire.errors import ProtocolError

# The timeout requested of the log for one long poll in ms, and the seconds beyond it until the response is
# overdue. A stopped log whose connection stays open is detected after both; other parts of the
# system assume that a front has received an event no later than 2 s after the poll's timeout.
POLL_TIMEOUT_MS, POLL_GRACE_S = 1000, 0.75
CONNECT_TIMEOUT_S = 0.5  # until a connect is overdue and another poll starts
MAX_POLLS = 4  # in parallel; the oldest is closed for a further one
# Backoff between failed polls: none after the first failure, then doubled at each failure in a row.
MIN_BACKOFF_S, MAX_BACKOFF_S = 0.05, 0.75
# Longest wait after a refused connect, which costs a log that is down nothing. It does not grow, since the
# time by which the drains of an outage must be known passes during it.
REFUSED_RETRY_S = 0.02
# A front starts serving once it has received the events that the log had at its start: after a response, or
# after QUIET_PERIOD_S without one, as the log responds at once if it has events. If the log can't be
# reached, the front serves after MAX_START_WAIT_S.
QUIET_PERIOD_S, MAX_START_WAIT_S = 0.06, 0.25
MAX_RECORD_TRIES = 3  # polls for an invalid record or a gap before it is skipped
SETTLE_ITERATIONS = 4  # loop iterations to read an arrived response before its poll is overdue


class ChangeLogWatcher(Actor[None]):
    """Polls the change log and passes its events to the decision module's actor, each once and in order.

    Args:
        dependencies: Configuration and resources shared by all actors.

    Attributes:
        last_sequence: Number of the last event that was delivered or skipped.
        failures: Failed polls in a row.
        record_tries: Polls so far for the next record, which is missing or invalid.
        buffers: One read buffer, never released, so that purges arrive even if the pool is used up.
        polls: The polls in progress, the oldest first.
        idle_socket: Connection kept for the next poll.
        address_changes: How often a reload has changed the log's address.
        sequence_at_poll_start: `last_sequence` when the newest poll started.
        stale_before_s: Polls that started before this time of the loop's clock don't prove that the front
            has caught up.
        wakeup: Ends the wait for a poll to finish.
        next_poll_at_s: When the next poll is due, by the loop's clock; 0 for at once.
        caught_up: Set once the front has received the events that the log had at its start.
        poll_timeout_ms: Timeout that the next poll requests of the log.
        last_response_at_ns: When the log last responded; events that it returns later were not in it then.
    """

    name = "change_log"

    def __init__(self, dependencies: ActorDependencies) -> None:
        super().__init__(dependencies.checks, 1)
        self.dependencies, self.descriptors = dependencies, dependencies.descriptors
        self.module_mailbox = dependencies.module_mailbox
        self.last_sequence, self.failures, self.record_tries = dependencies.config.known_seq, 0, 0
        self.random = random.Random(dependencies.config.seed)
        self.buffers = dependencies.buffer_pool.acquire() or []
        self.polls: list[ChangeLogPoll] = []
        self.idle_socket: socket.socket | None = None
        self.address_changes = 0
        self.sequence_at_poll_start = self.last_sequence
        self.stale_before_s = 0.0
        self.wakeup: asyncio.Future[None] | None = None
        self.next_poll_at_s = 0.0
        self.caught_up = asyncio.Event()
        self.poll_timeout_ms = draw_first_poll_wait_ms(self.random, POLL_TIMEOUT_MS)
        self.last_response_at_ns = 0

    @property
    def newest_task(self) -> asyncio.Task[bytes] | None:
        """The task of the newest poll; None if there is none."""
        return self.polls[-1].task if self.polls else None

    def on_address_changed(self) -> None:
        """Poll the new address at once, from the last sequence number on; called after a reload changed it.

        It may run between any two steps of this actor; a complete response of the old address is still used.
        """
        self.failures, self.next_poll_at_s, self.address_changes = 0, 0.0, self.address_changes + 1
        self._close_idle_socket()
        for poll in self.polls:
            if not poll.task.cancel():
                poll.can_reuse_connection = False

    async def wait_until_caught_up(self) -> None:
        """Wait until the events since the configuration's endpoint list are delivered, if the log responds.

        Otherwise requests would be routed without events that all other fronts have, such as a purge.
        """
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(MAX_START_WAIT_S):
                await self.caught_up.wait()

    async def catch_up(self) -> None:
        """After a long process pause, start another poll and wait as at a start.

        A poll that finished during the pause does not contain the events after it.
        """
        self.stale_before_s = asyncio.get_running_loop().time()
        self.caught_up.clear()
        self.next_poll_at_s = 0.0
        self._start_additional_poll()
        resolve(self.wakeup)
        await self.wait_until_caught_up()

    async def run(self) -> None:
        """Poll until cancelled."""
        try:
            while True:
                if not self.polls:
                    self._start_poll()
                finished = await self._wait_for_polls()
                if not finished:
                    self._on_overdue()
                for poll in finished:
                    self.polls.remove(poll)
                    self._on_poll_finished(poll)
        finally:
            for poll in self.polls:
                poll.close()
            self._close_idle_socket()

    def _start_poll(self) -> None:
        """Start a poll; it sends its request once it is due."""
        idle_socket, self.idle_socket = self.idle_socket, None
        self.sequence_at_poll_start = self.last_sequence
        self.polls.append(
            ChangeLogPoll(
                self.dependencies,
                memoryview(self.buffers[0]),
                idle_socket,
                self.next_poll_at_s,
                self._make_target,
            )
        )
        self.next_poll_at_s = 0.0

    def _make_target(self) -> str:
        """Return the request target of the newest poll, and watch for its quiet period."""
        asyncio.get_running_loop().call_later(QUIET_PERIOD_S, self._on_quiet_period, self.polls[-1])
        return f"/changes?since={self.last_sequence}&timeout={self.poll_timeout_ms}"

    def _on_quiet_period(self, poll: ChangeLogPoll) -> None:
        """Count as caught up if no byte of the response has arrived; otherwise the response is awaited."""
        if not poll.has_received_data and not poll.task.done():
            self._mark_caught_up(poll)

    def _mark_caught_up(self, poll: ChangeLogPoll) -> None:
        if poll.started_at_s >= self.stale_before_s:
            self.caught_up.set()

    def _overdue_at_s(self) -> float:
        newest = self.polls[-1]
        if newest.requested_at_s is not None:
            return newest.requested_at_s + POLL_TIMEOUT_MS / 1000 + POLL_GRACE_S
        return newest.started_at_s + CONNECT_TIMEOUT_S

    async def _wait_for_polls(self) -> list[ChangeLogPoll]:
        """Wait until a poll finishes; return the finished ones, or none once the newest one is overdue."""
        loop, iterations = asyncio.get_running_loop(), 0
        while True:
            finished = [poll for poll in self.polls if poll.task.done()]
            remaining_s = self._overdue_at_s() - loop.time()
            if finished or (remaining_s <= 0 and iterations >= SETTLE_ITERATIONS):
                return finished
            if remaining_s > 0:
                self.wakeup = loop.create_future()
                awaited: list[asyncio.Future[Any]] = [poll.task for poll in self.polls]
                awaited.append(self.wakeup)
                await asyncio.wait(awaited, timeout=remaining_s, return_when=asyncio.FIRST_COMPLETED)
            else:  # after a process pause the response may be in the socket already
                iterations += 1
                await asyncio.sleep(0)

    def _on_overdue(self) -> None:
        """Start another poll beside the overdue ones."""
        reason = (
            "connection not established in time"
            if self.polls[-1].requested_at_s is None
            else "no response in time"
        )
        self._on_poll_failed(self.polls[-1].started_at_s, f"TimeoutError: {reason}, polling again")
        self._start_additional_poll()

    def _start_additional_poll(self) -> None:
        """Start a poll in parallel; at the limit, close the oldest one first."""
        if len(self.polls) >= MAX_POLLS:
            self.polls.pop(0).close()
        self._start_poll()

    def _on_poll_finished(self, poll: ChangeLogPoll) -> None:
        if poll.task.cancelled():  # by a change of the address
            poll.close()
            return
        address_changes = self.address_changes
        try:
            self._deliver_events(*decode_changes(poll.task.result(), self.dependencies.parse_address))
            self._mark_caught_up(poll)
            self.poll_timeout_ms, self.failures = POLL_TIMEOUT_MS, 0
            if self.last_sequence == self.sequence_at_poll_start and address_changes == self.address_changes:
                # a log that responds at once without new events must not be polled in a busy loop
                self.next_poll_at_s = poll.started_at_s + MIN_BACKOFF_S
        except Exception as error:  # whatever the error, poll again
            poll.close()
            # the log may close an idle connection at the moment at which it is used again
            if poll.is_unconfirmed_reuse and isinstance(error, ConnectionError):
                self.checks.count("change_log_connections_closed_idle")
            else:
                self._on_poll_failed(poll.started_at_s, f"{type(error).__name__}: {error}", error)
            return
        if poll.can_reuse_connection and not self.polls and address_changes == self.address_changes:
            self.idle_socket = poll.take_connection()
        else:
            poll.close()

    def _on_poll_failed(self, started_at_s: float, reason: str, error: Exception | None = None) -> None:
        """Count a failed poll: the next one is due at once after the first failure, then with backoff.

        Refused connects don't count towards the backoff, which is for a log that can be reached.

        Args:
            started_at_s: When the poll was due, by the loop's clock.
            reason: Why it failed, for the log event.
            error: The error that ended it; None if it is only overdue.
        """
        self.checks.event("change_log_poll_failed", reason)
        now_s = asyncio.get_running_loop().time()
        if isinstance(error, ConnectionRefusedError):
            if self.failures:
                self.next_poll_at_s = now_s + REFUSED_RETRY_S * self.random.uniform(0.5, 1)
            self.failures = max(self.failures, 1)
            return
        self.failures += 1
        if self.failures > 1:
            backoff_s = min(MIN_BACKOFF_S * 2 ** min(self.failures - 2, 10), MAX_BACKOFF_S)
            # counted from the poll's start, since the poll itself may have taken that long
            due_s = started_at_s + backoff_s * self.random.uniform(0.5, 1)
            self.next_poll_at_s = max(due_s, now_s + MIN_BACKOFF_S)

    def _close_idle_socket(self) -> None:
        sock, self.idle_socket = self.idle_socket, None
        if sock is not None:
            sock.close()
            self.descriptors.add_outbound(-1)

    def _deliver_events(self, last: int, events: tuple[ChangeEvent, ...]) -> None:
        """Pass new events on, each once and in order; ProtocolError at a gap or invalid record, a few times.

        Args:
            last: Number of the last event in the log.
            events: Events of the response.
        """
        for event in events:
            if event.seq <= self.last_sequence:
                continue
            if event.seq != self.last_sequence + 1:
                self._retry_or_skip(f"events {self.last_sequence + 1} to {event.seq - 1} are missing")
                self.last_sequence = event.seq - 1  # the record after the gap has retries of its own
            if isinstance(event, InvalidRecord):
                self._retry_or_skip(f"event {event.seq}: {event.reason}")
            else:
                self.module_mailbox.push_urgent(ChangeLogEvent(event, self.last_response_at_ns))
            self.last_sequence, self.record_tries = event.seq, 0
        if last > self.last_sequence and not events:
            self._retry_or_skip(f"events {self.last_sequence + 1} to {last} are missing")
            self.last_sequence, self.record_tries = last, 0
        self.last_response_at_ns = clock.now()

    def _retry_or_skip(self, reason: str) -> None:
        """Raise ProtocolError, so that the record is polled for again; after the last try skip it."""
        self.record_tries += 1
        if self.record_tries < MAX_RECORD_TRIES:
            raise ProtocolError(reason)
        self.checks.event("change_log_record_skipped", reason)
        self.record_tries = 0
