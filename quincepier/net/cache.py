"""The actor of one cache, parent or the origin: attempts out, endings in, over few connections.

It opens a connection where none has a free stream, and says how each attempt ended; where to ask and
whether to ask again is the module's.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from quincepier import clock
from quincepier.interface import AttemptOutcome
from quincepier.memory.buffer_pool import PooledBody
from quincepier.memory.open_requests import OpenAttempt
from quincepier.net.actor import Actor
from quincepier.net.cache_connection_context import CacheConnectionContext
from quincepier.net.connection import Connection
from quincepier.net.messages import CallOff, Check, Checked, Ended, Recall, Send, ToCache
from quincepier.net.probe import OUTCOME_BY_PROBE_RESPONSE, Probe
from quincepier.policy.send_permission import find_denial
from quincepier.recovery import Ramp
from quincepier.translate import ENDINGS, note_of, report_of, waited_of
from quincepier.wire import lines
from quincepier.wire.lines import ServeCommand

if TYPE_CHECKING:  # imported only where machines have several addresses
    from quincepier.net.dialer import Route

MAX_MAILBOX_LENGTH = 4096


class CacheActor(Actor[ToCache]):
    name = "cache"

    def __init__(
        self,
        context: CacheConnectionContext,
        number: int,
        host: str,
        address: tuple[str, int] | None,
        fronts: int = 1,
    ) -> None:
        """`fronts` are those that may ask this machine."""
        super().__init__(context.checks, MAX_MAILBOX_LENGTH)
        self.ramp = Ramp(fronts)
        self.context, self.number, self.host, self.address = context, number, host, address
        self.route: Route | None = None if context.dialer is None else context.dialer.get_route(number, host)
        self.move_counts: dict[OpenAttempt | Probe, int] = {}
        self.connections: list[Connection] = []
        self.in_flight: dict[OpenAttempt | Probe, tuple[str, Connection]] = {}
        self.timers: dict[OpenAttempt | Probe, asyncio.TimerHandle] = {}
        self.is_leaving, self.probe_count = False, 0

    def handle(self, message: ToCache) -> None:
        match message:
            case Send(attempt, command):
                self._send(attempt.request.job_id, attempt, command, attempt.deadline_ns)
            case CallOff(attempt):
                self._cancel_exchange(attempt, AttemptOutcome.CANCELLED)
            case Recall(attempt):
                if attempt in self.in_flight and attempt not in self.in_flight[attempt][1].started:
                    self._cancel_exchange(attempt, AttemptOutcome.NOT_PROCESSED)
            case Check(gauges):
                self.probe_count += 1
                tag = f"probe{self.probe_count}"
                probe = lines.gauges(tag) if gauges else lines.health(tag)
                now = clock.now()
                self._send(tag, Probe(tag, now), probe, now + self.context.config.dial_timeout)

    def spoiled(self, message: ToCache) -> None:
        """An exception left an attempt half handled."""
        if isinstance(message, Send | CallOff):
            self._abandon(message.attempt)

    def _abandon(self, attempt: OpenAttempt) -> None:
        """It may have run or not: its connection is closed, and its outcome is told once that is done."""
        if attempt.is_ended:
            return
        if attempt in self.in_flight:
            _, connection = self.in_flight[attempt]
            self._remove_in_flight(attempt)
            connection.abandon(attempt, AttemptOutcome.RESET)
        else:
            self.complete_without_response(attempt, AttemptOutcome.RESET, clock.now())

    def _send(self, id: str, what: OpenAttempt | Probe, command: ServeCommand | bytes, deadline: int) -> None:
        now = clock.now()
        if (
            isinstance(what, OpenAttempt) and find_denial(what, now) is not None
        ):  # as it waited in the mailbox
            self.complete_without_response(what, AttemptOutcome.NOT_PROCESSED, now)
            return
        connection = self._choose_connection(id)
        if connection is None:
            self.checks.event("cache_connection_no_descriptor", self.host)
            self.complete_without_response(what, AttemptOutcome.NOT_PROCESSED, clock.now())
            return
        self.in_flight[what] = id, connection
        loop = asyncio.get_running_loop()
        wait = max(deadline - now, 0) / clock.SECOND
        self.timers[what] = loop.call_later(wait, self._on_deadline, what)
        connection.send(id, what, command)

    def move_or_complete(
        self,
        id: str,
        what: OpenAttempt | Probe,
        begun: bool,
        absent: bool,
        command: ServeCommand | bytes | None,
        other: bool,
    ) -> None:
        """Its connection ended, one of several addresses: on over another, or told as it is."""
        assert self.route is not None
        denied = isinstance(what, OpenAttempt) and find_denial(what, clock.now()) is not None
        recalled = self.is_leaving or denied
        most = len(self.route.book.state_by_address) if command is not None else 0
        ending = self.route.outcome_after_break(begun, absent, recalled, self.move_counts.get(what, 0), most)
        connection = self._choose_connection(id) if ending is None else None
        if ending is not None or connection is None or command is None:
            self.complete_without_response(what, ending or AttemptOutcome.NOT_PROCESSED, clock.now(), other)
            return
        self.move_counts[what] = self.move_counts.get(what, 0) + 1
        self.checks.count("attempts_moved_to_other_connection")
        self.in_flight[what] = id, connection
        connection.send(id, what, command)

    def _choose_connection(self, id: str) -> Connection | None:
        """One for each while descriptors allow, since a spoilt answer ends all that is out with it.

        The idle one used last; else one that is coming up, where no more may be dialled at once yet; else a
        new one, within this machine's share; else the one with least on it.
        """
        for c in reversed(self.connections):  # those used last are at the end
            if c.is_idle and not c.is_retired and id not in c.used_ids and not self._is_backing_off(c):
                return c
        now, streams = clock.now(), self.context.config.streams
        able = [
            c
            for c in self.connections
            if not (c.is_closing or c.is_retired or id in c.used_ids or c.is_stalled(now))
        ]
        able = [c for c in able if not c.has_unwanted_response]
        coming = [c for c in able if c.sock is None]
        if len(coming) >= self.ramp.most:
            ride = min(coming, key=lambda c: len(c.awaited_by_id))
            if len(ride.awaited_by_id) < streams and id not in ride.awaited_by_id:
                return ride
        if len(self.connections) >= self.context.connection_limit() or not self.context.ensure_descriptor():
            busy = [c for c in able if len(c.awaited_by_id) < streams and id not in c.awaited_by_id]
            if busy:
                return min(busy, key=lambda c: (len(c.awaited_by_id), c.sock is None))
            if not self.context.ensure_descriptor():
                return None
        self.context.descriptors.add_caches(1)
        connection = Connection(self)
        self.connections.append(connection)
        self.context.connected_actors.add(self)
        self.context.connections_by_last_use[connection] = None
        connection.task = self.spawn(connection.run())
        return connection

    def _is_backing_off(self, connection: Connection) -> bool:
        """Whether its address is set aside while another is not."""
        address, way = connection.address, self.route
        return address is not None and way is not None and way.is_backing_off(address)

    def on_connection_closed(self, connection: Connection) -> None:
        """It has ended."""
        self.context.connections_by_last_use.pop(connection, None)
        if connection in self.connections:
            self.connections.remove(connection)
        if not self.connections:
            self.context.connected_actors.discard(self)

    def on_connection_unused(self, connection: Connection) -> None:
        """It has nothing out: what waits for a dial goes over it; else the next attempt takes it first, and

        those left over grow old and close.
        """
        self.connections.remove(connection)
        self.connections.append(connection)
        if not connection.is_idle or connection.is_retired or self._is_backing_off(connection):
            return
        dials = [c for c in self.connections if c.sock is None and not c.is_closing]
        waits = next((w for c in dials if (w := c.take_queued(connection)) is not None), None)
        if waits is not None:
            id, what, command = waits
            self.in_flight[what] = id, connection
            connection.send(id, what, command)

    def _on_deadline(self, what: OpenAttempt | Probe) -> None:
        """In the next turn of the loop, behind one more read.

        After a standstill of the front time is up before the loop has looked at the sockets.
        """
        self.in_flight[what][1].force_read()
        asyncio.get_running_loop().call_soon(self._complete_by_timeout, what)

    def _complete_by_timeout(self, what: OpenAttempt | Probe) -> None:
        try:
            self._cancel_exchange(what, AttemptOutcome.TIMEOUT)
        except Exception as error:
            self.checks.exception(f"exception_in_{self.name}_actor", error, about="a time-out")
            if isinstance(what, OpenAttempt):
                self._abandon(what)

    def _cancel_exchange(self, what: OpenAttempt | Probe, ending: AttemptOutcome) -> None:
        """Nobody waits for it any more; an attempt has ended once it is closed, see Connection.cancel."""
        if what in self.in_flight:
            id, connection = self.in_flight[what]
            if isinstance(what, OpenAttempt):
                connection.cancel(id, what, ending)
                self._remove_in_flight(what)
            else:
                self._remove_in_flight(what)
                connection.awaited_by_id.pop(id, None)
                connection.remember_used_id(id)
                self.complete_without_response(what, ending, clock.now())
        elif isinstance(what, OpenAttempt) and what.request.is_finished and not what.is_ended:
            self.complete_without_response(
                what, ending, clock.now()
            )  # its cancel waits, and now nothing may begin in its place

    def _remove_in_flight(self, what: OpenAttempt | Probe) -> None:
        self.in_flight.pop(what, None)
        self.move_counts.pop(what, None)
        if (timer := self.timers.pop(what, None)) is not None:
            timer.cancel()

    def complete_without_response(
        self, what: OpenAttempt | Probe, ending: AttemptOutcome, at: int, another_way: bool = False
    ) -> None:
        """Without an answer."""
        self._remove_in_flight(what)
        if isinstance(what, Probe):
            self.context.module_mailbox.push(Checked(self.number, ending, at - what.started_at, ()))
        elif self.checks.must(not what.is_ended, "attempt_completes_once"):
            what.is_ended = True
            self.context.module_mailbox.push(Ended(what, ending, at, another_way=another_way))

    def complete_with_response(
        self, what: OpenAttempt | Probe, head: lines.Head, body: PooledBody | None, at: int
    ) -> None:
        self._remove_in_flight(what)
        report = report_of(head, self.context.config.report_fields)
        if isinstance(what, Probe):
            self.context.module_mailbox.push(
                Checked(self.number, OUTCOME_BY_PROBE_RESPONSE[head.word], at - what.started_at, report)
            )
        elif self.checks.must(not what.is_ended, "attempt_completes_once"):
            what.is_ended = True
            still = head.word == "unchanged"
            end = Ended(what, ENDINGS[head.word], at, note_of(head), waited_of(head), report, body, still)
            self.context.module_mailbox.push(end)

    def cancel(self) -> None:
        self.is_leaving = True  # nothing goes on elsewhere
        super().cancel()

    def sweep(self, now: int, late: bool) -> None:
        """Close what has been idle for as long as the settings say, less a second to be the first."""
        idle = max(self.context.config.idle - clock.SECOND, self.context.config.idle // 2)
        used_before = now + 1 if self.is_leaving else now - idle
        for connection in self.connections:  # a close takes effect in a later turn
            is_done = (
                connection.last_used_at < used_before or connection.is_retired
            ) and connection.is_unused
            if is_done or (connection.can_stall and not late and connection.is_stalled(now)):
                if (
                    not connection.is_between_responses
                    and now - connection.last_read_at > self.context.config.dial_timeout
                ):
                    connection.report_address_failure("half an answer, then nothing")
                    self.checks.event("cache_response_stalled", self.host)
                connection.close()

    def set_addresses(
        self, address: tuple[str, int] | None, dials: tuple[str, ...], force: bool = False
    ) -> None:
        """The list tells the host's addresses: new connections go there, those to others end once idle."""
        if self.route is not None:
            if force or dials != self.route.listed_addresses:
                left = self.route.replace_addresses(dials)
                for connection in self.connections:
                    connection.is_retired = connection.is_retired or connection.address in left
        elif address is not None and address != self.address:
            self.address = address
            for connection in self.connections:
                connection.is_retired = True
                if connection.sock is None:  # what waits for it is for the machine, not for who is there now
                    connection.close()
