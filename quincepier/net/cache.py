"""The actor of one machine (cache, parent or origin): sends attempts to it and reports their outcomes.

It chooses a connection for each attempt and opens new ones as needed. Which machine to use and whether to
retry is decided by the router.
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
from quincepier.net.messages import (
    AttemptFinished,
    CancelCommand,
    HealthCheckFinished,
    ResponseDelayed,
    RevokeCommand,
    RunHealthCheck,
    SendCommand,
    ToCache,
)
from quincepier.net.probe import OUTCOME_BY_PROBE_RESPONSE, Probe
from quincepier.policy.send_permission import find_denial
from quincepier.recovery import DialLimit
from quincepier.translate import OUTCOME_BY_WORD, read_cache_status, read_load_report, read_wait_time
from quincepier.wire import lines
from quincepier.wire.lines import ServeCommand

if TYPE_CHECKING:  # imported only where machines have several addresses
    from quincepier.net.dialer import Route

MAX_MAILBOX_LENGTH = 4096


class CacheActor(Actor[ToCache]):
    """Sends attempts and probes to one machine over a few connections.

    Args:
        context: What the actors of all machines share.
        number: The machine's number in the directory.
        host: Its id in the endpoint list.
        address: Its address; None where machines may have several addresses, see `route`.
        fronts: How many fronts send requests to this machine.

    Attributes:
        dial_limit: Limits how many connections may be connecting at once.
        route: The machine's addresses, where machines may have several.
        move_counts: How often an exchange has been moved to another connection.
        connections: The connections; the one that most recently became unused is last.
        in_flight: Exchanges without an outcome, with their id and connection.
        timers: Their deadlines.
        is_leaving: The machine has left the endpoint list, or the actor is being cancelled: exchanges are not
            moved to other connections, and unused connections are closed.
        probe_count: Probes sent so far.
    """

    name = "cache"

    def __init__(
        self,
        context: CacheConnectionContext,
        number: int,
        host: str,
        address: tuple[str, int] | None,
        fronts: int = 1,
    ) -> None:
        super().__init__(context.checks, MAX_MAILBOX_LENGTH)
        self.dial_limit = DialLimit(fronts)
        self.context, self.number, self.host, self.address = context, number, host, address
        self.route: Route | None = None if context.dialer is None else context.dialer.get_route(number, host)
        self.move_counts: dict[OpenAttempt | Probe, int] = {}
        self.connections: list[Connection] = []
        self.in_flight: dict[OpenAttempt | Probe, tuple[str, Connection]] = {}
        self.timers: dict[OpenAttempt | Probe, asyncio.TimerHandle] = {}
        self.is_leaving, self.probe_count = False, 0

    def handle(self, message: ToCache) -> None:
        """Handle a message of the router's actor."""
        match message:
            case SendCommand(attempt, command):
                self._send(attempt.request.job_id, attempt, command, attempt.deadline_ns)
            case CancelCommand(attempt):
                self._cancel_exchange(attempt, AttemptOutcome.CANCELLED)
            case RevokeCommand(attempt):
                if attempt in self.in_flight and attempt not in self.in_flight[attempt][1].started:
                    self._cancel_exchange(attempt, AttemptOutcome.NOT_PROCESSED)
            case RunHealthCheck(gauges):
                self.probe_count += 1
                tag = f"probe{self.probe_count}"
                probe = lines.gauges(tag) if gauges else lines.health(tag)
                now = clock.now()
                self._send(tag, Probe(tag, now), probe, now + self.context.config.dial_timeout)

    def on_handling_failed(self, message: ToCache) -> None:
        """Abandon the attempt whose message raised an exception while it was handled."""
        if isinstance(message, SendCommand | CancelCommand):
            self._abandon(message.attempt)

    def _abandon(self, attempt: OpenAttempt) -> None:
        """Close the attempt's connection, since it may or may not have run; then report its outcome."""
        if attempt.is_completed:
            return
        if attempt in self.in_flight:
            _, connection = self.in_flight[attempt]
            self._remove_in_flight(attempt)
            connection.abandon(attempt, AttemptOutcome.RESET)
        else:
            self.complete_without_response(attempt, AttemptOutcome.RESET, clock.now())

    def _send(
        self, id: str, exchange: OpenAttempt | Probe, command: ServeCommand | bytes, deadline: int
    ) -> None:
        now = clock.now()
        # It may have been revoked or cancelled while it waited in the mailbox.
        if isinstance(exchange, OpenAttempt) and find_denial(exchange, now) is not None:
            self.complete_without_response(exchange, AttemptOutcome.NOT_PROCESSED, now)
            return
        connection = self._choose_connection(id)
        if connection is None:
            self.checks.event("cache_connection_no_descriptor", self.host)
            self.complete_without_response(exchange, AttemptOutcome.NOT_PROCESSED, clock.now())
            return
        self.in_flight[exchange] = id, connection
        loop = asyncio.get_running_loop()
        wait = max(deadline - now, 0) / clock.SECOND
        self.timers[exchange] = loop.call_later(wait, self._on_deadline, exchange)
        connection.send(id, exchange, command)

    def move_or_complete(
        self,
        id: str,
        exchange: OpenAttempt | Probe,
        is_started: bool,
        is_absent: bool,
        command: ServeCommand | bytes | None,
        has_alternative: bool,
    ) -> None:
        """Move an exchange to another connection, or report its outcome, after its connection has closed.

        Used where the machine has several addresses.

        Args:
            id: The exchange's id.
            exchange: The exchange.
            is_started: The socket took a byte of its command.
            is_absent: The connect failed at every address and showed that the machine is not there.
            command: The command, if it was not written completely.
            has_alternative: Another address of the machine is usable; reported to the router.
        """
        assert self.route is not None
        denied = isinstance(exchange, OpenAttempt) and find_denial(exchange, clock.now()) is not None
        is_revoked = self.is_leaving or denied
        max_moves = len(self.route.book.state_by_address) if command is not None else 0
        outcome = self.route.outcome_after_break(
            is_started, is_absent, is_revoked, self.move_counts.get(exchange, 0), max_moves
        )
        connection = self._choose_connection(id) if outcome is None else None
        if outcome is not None or connection is None or command is None:
            self.complete_without_response(
                exchange, outcome or AttemptOutcome.NOT_PROCESSED, clock.now(), has_alternative
            )
            return
        self.move_counts[exchange] = self.move_counts.get(exchange, 0) + 1
        self.checks.count("attempts_moved_to_other_connection")
        self.in_flight[exchange] = id, connection
        connection.send(id, exchange, command)

    def _choose_connection(self, id: str) -> Connection | None:
        """Return the connection for the next exchange; None if no descriptor is available.

        While descriptors last, each exchange gets a connection of its own, since an invalid response ends
        all exchanges of its connection. In order: the idle connection that was used last; one that is still
        connecting, if no more may be dialled at once; a new one, within this machine's share of the
        descriptors; the one with the fewest exchanges.
        """
        for c in reversed(self.connections):  # the most recently used ones are at the end
            if c.is_idle and not c.is_retired and id not in c.used_ids and not self._is_backing_off(c):
                return c
        now, streams = clock.now(), self.context.config.streams
        usable = [
            c
            for c in self.connections
            if not (c.is_closing or c.is_retired or id in c.used_ids or c.is_stalled(now))
        ]
        usable = [c for c in usable if not c.has_unwanted_response]
        connecting = [c for c in usable if c.sock is None]
        if len(connecting) >= self.dial_limit.max_dials:
            least_loaded = min(connecting, key=lambda c: len(c.awaited_by_id))
            if len(least_loaded.awaited_by_id) < streams and id not in least_loaded.awaited_by_id:
                return least_loaded
        if len(self.connections) >= self.context.connection_limit() or not self.context.ensure_descriptor():
            busy = [c for c in usable if len(c.awaited_by_id) < streams and id not in c.awaited_by_id]
            if busy:
                return min(busy, key=lambda c: (len(c.awaited_by_id), c.sock is None))
            if not self.context.ensure_descriptor():
                return None
        self.context.descriptors.add_outbound(1)
        connection = Connection(self)
        self.connections.append(connection)
        self.context.connected_actors.add(self)
        self.context.connections_by_last_use[connection] = None
        connection.task = self.spawn(connection.run())
        return connection

    def _is_backing_off(self, connection: Connection) -> bool:
        """Whether the connection's address is in backoff and another address is not."""
        address, route = connection.address, self.route
        return address is not None and route is not None and route.is_backing_off(address)

    def on_connection_closed(self, connection: Connection) -> None:
        """Remove a closed connection."""
        self.context.connections_by_last_use.pop(connection, None)
        if connection in self.connections:
            self.connections.remove(connection)
        if not self.connections:
            self.context.connected_actors.discard(self)

    def on_connection_unused(self, connection: Connection) -> None:
        """Send over this connection the first command that is queued on one still being established.

        If no such command is queued, the connection becomes the first choice for the next attempt.
        Connections that are not chosen for long are closed by `sweep`.
        """
        self.connections.remove(connection)
        self.connections.append(connection)
        if not connection.is_idle or connection.is_retired or self._is_backing_off(connection):
            return
        connecting = [c for c in self.connections if c.sock is None and not c.is_closing]
        queued = next((taken for c in connecting if (taken := c.take_queued(connection)) is not None), None)
        if queued is not None:
            id, exchange, command = queued
            self.in_flight[exchange] = id, connection
            connection.send(id, exchange, command)

    def _on_deadline(self, exchange: OpenAttempt | Probe) -> None:
        """End an exchange by timeout in the next turn of the loop, after one more read of its connection.

        After a pause of this process, deadlines expire before the loop has looked at the sockets, where a
        response may be waiting.
        """
        self.in_flight[exchange][1].force_read()
        asyncio.get_running_loop().call_soon(self._complete_by_timeout, exchange)

    def _complete_by_timeout(self, exchange: OpenAttempt | Probe) -> None:
        try:
            self._cancel_exchange(exchange, AttemptOutcome.TIMEOUT)
        except Exception as error:
            self.checks.exception(f"exception_in_{self.name}_actor", error, about="a time-out")
            if isinstance(exchange, OpenAttempt):
                self._abandon(exchange)

    def _cancel_exchange(self, exchange: OpenAttempt | Probe, outcome: AttemptOutcome) -> None:
        """Stop waiting for an exchange.

        The outcome of an attempt is reported once it is closed, see `Connection.cancel`.
        """
        if exchange in self.in_flight:
            id, connection = self.in_flight[exchange]
            if isinstance(exchange, OpenAttempt):
                connection.cancel(id, exchange, outcome)
                self._remove_in_flight(exchange)
            else:
                self._remove_in_flight(exchange)
                connection.awaited_by_id.pop(id, None)
                connection.remember_used_id(id)
                self.complete_without_response(exchange, outcome, clock.now())
        elif isinstance(exchange, OpenAttempt) and exchange.request.is_finished and not exchange.is_completed:
            # Its cancel is not written yet, but no other attempt starts for a finished request.
            self.complete_without_response(exchange, outcome, clock.now())

    def _remove_in_flight(self, exchange: OpenAttempt | Probe) -> None:
        self.in_flight.pop(exchange, None)
        self.move_counts.pop(exchange, None)
        if (timer := self.timers.pop(exchange, None)) is not None:
            timer.cancel()

    def on_response_delayed(self, attempt: OpenAttempt) -> None:
        """Report that a response has begun to arrive and waits for buffers."""
        self.context.module_mailbox.push(ResponseDelayed(attempt))

    def complete_without_response(
        self,
        exchange: OpenAttempt | Probe,
        outcome: AttemptOutcome,
        completed_at: int,
        has_alternative: bool = False,
    ) -> None:
        """Report the outcome of an exchange that got no response.

        Args:
            exchange: The exchange.
            outcome: Its outcome.
            completed_at: When it ended, ns.
            has_alternative: The machine has a usable address besides the one that failed.
        """
        self._remove_in_flight(exchange)
        if isinstance(exchange, Probe):
            self.context.module_mailbox.push(
                HealthCheckFinished(self.number, outcome, completed_at - exchange.started_at, ())
            )
        elif self.checks.must(not exchange.is_completed, "attempt_completes_once"):
            exchange.is_completed = True
            self.context.module_mailbox.push(
                AttemptFinished(exchange, outcome, completed_at, has_alternative_address=has_alternative)
            )

    def complete_with_response(
        self,
        exchange: OpenAttempt | Probe,
        head: lines.ResponseHead,
        body: PooledBody | None,
        completed_at: int,
    ) -> None:
        """Report the outcome of an exchange whose whole response arrived at `completed_at`, ns."""
        self._remove_in_flight(exchange)
        report = read_load_report(head, self.context.config.report_fields)
        if isinstance(exchange, Probe):
            self.context.module_mailbox.push(
                HealthCheckFinished(
                    self.number,
                    OUTCOME_BY_PROBE_RESPONSE[head.word],
                    completed_at - exchange.started_at,
                    report,
                )
            )
        elif self.checks.must(not exchange.is_completed, "attempt_completes_once"):
            exchange.is_completed = True
            is_unchanged = head.word == "unchanged"
            result = AttemptFinished(
                exchange,
                OUTCOME_BY_WORD[head.word],
                completed_at,
                read_cache_status(head),
                read_wait_time(head),
                report,
                body,
                is_unchanged,
            )
            self.context.module_mailbox.push(result)

    def cancel(self) -> None:
        """Cancel the actor's tasks; exchanges are not moved to other connections."""
        self.is_leaving = True
        super().cancel()

    def sweep(self, now: int, after_pause: bool) -> None:
        """Close connections that are idle for too long, retired or stalled.

        The idle limit is a second less than the setting, so that this side closes first.

        Args:
            now: The time, ns.
            after_pause: This process was paused since the last sweep: no connection counts as stalled.
        """
        max_idle = max(self.context.config.idle - clock.SECOND, self.context.config.idle // 2)
        used_before = now + 1 if self.is_leaving else now - max_idle
        for connection in self.connections:  # `close` removes it from the list only in a later turn
            is_done = (
                connection.last_used_at < used_before or connection.is_retired
            ) and connection.is_unused
            if is_done or (connection.can_stall and not after_pause and connection.is_stalled(now)):
                if (
                    not connection.is_between_responses
                    and now - connection.last_read_at > self.context.config.dial_timeout
                ):
                    connection.report_address_failure("half an answer, then nothing")
                    self.checks.event("cache_response_stalled", self.host)
                connection.close()

    def set_addresses(
        self, address: tuple[str, int] | None, listed_addresses: tuple[str, ...], force: bool = False
    ) -> None:
        """Use these addresses for new connections; connections to other addresses are closed once unused.

        Args:
            address: The address from the endpoint list, where machines have one each.
            listed_addresses: All addresses from the endpoint list, where machines may have several.
            force: Apply `listed_addresses` even if they are unchanged, since limits or preferences changed.
        """
        if self.route is not None:
            if force or listed_addresses != self.route.listed_addresses:
                removed = self.route.replace_addresses(listed_addresses)
                for connection in self.connections:
                    connection.is_retired = connection.is_retired or connection.address in removed
        elif address is not None and address != self.address:
            self.address = address
            for connection in self.connections:
                connection.is_retired = True
                if connection.sock is None:  # its exchanges are not meant for a machine at the old address
                    connection.close()
