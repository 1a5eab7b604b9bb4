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
from quincepier.net.connection import Connection
from quincepier.net.messages import CallOff, Check, Checked, Ended, Recall, Send, ToCache
from quincepier.net.probe import PROBE_WORDS, Probe
from quincepier.net.shared import Shared
from quincepier.policy.send_permission import find_denial
from quincepier.recovery import Ramp
from quincepier.translate import OUTCOME_BY_WORD, read_cache_status, read_load_report, read_wait_time
from quincepier.wire import lines
from quincepier.wire.lines import ServeCommand

if TYPE_CHECKING:  # imported only where machines have several addresses
    from quincepier.net.dialer import Way

MAILBOX_MOST = 4096


class CacheActor(Actor[ToCache]):
    name = "cache"

    def __init__(
        self, shared: Shared, number: int, host: str, address: tuple[str, int] | None, fronts: int = 1
    ) -> None:
        """`fronts` are those that may ask this machine."""
        super().__init__(shared.checks, MAILBOX_MOST)
        self.ramp = Ramp(fronts)
        self.shared, self.number, self.host, self.address = shared, number, host, address
        self.way: Way | None = None if shared.dialer is None else shared.dialer.way(number, host)
        self.moves: dict[OpenAttempt | Probe, int] = {}
        self.connections: list[Connection] = []
        self.out: dict[OpenAttempt | Probe, tuple[str, Connection]] = {}
        self.timers: dict[OpenAttempt | Probe, asyncio.TimerHandle] = {}
        self.leaving, self.probes = False, 0

    def handle(self, message: ToCache) -> None:
        match message:
            case Send(attempt, command):
                self._send(attempt.request.job_id, attempt, command, attempt.deadline_ns)
            case CallOff(attempt):
                self._give_up(attempt, AttemptOutcome.CANCELLED)
            case Recall(attempt):
                if attempt in self.out and attempt not in self.out[attempt][1].started:
                    self._give_up(attempt, AttemptOutcome.NOT_PROCESSED)
            case Check(gauges):
                self.probes += 1
                tag = f"probe{self.probes}"
                probe = lines.gauges(tag) if gauges else lines.health(tag)
                now = clock.now()
                self._send(tag, Probe(tag, now), probe, now + self.shared.config.dial_timeout)

    def spoiled(self, message: ToCache) -> None:
        """An exception left an attempt half handled."""
        if isinstance(message, Send | CallOff):
            self._abandon(message.attempt)

    def _abandon(self, attempt: OpenAttempt) -> None:
        """It may have run or not: its connection is closed, and its outcome is told once that is done."""
        if attempt.is_ended:
            return
        if attempt in self.out:
            _, connection = self.out[attempt]
            self._over(attempt)
            connection.abandon(attempt, AttemptOutcome.RESET)
        else:
            self.ended(attempt, AttemptOutcome.RESET, clock.now())

    def _send(self, id: str, what: OpenAttempt | Probe, command: ServeCommand | bytes, deadline: int) -> None:
        now = clock.now()
        if (
            isinstance(what, OpenAttempt) and find_denial(what, now) is not None
        ):  # as it waited in the mailbox
            self.ended(what, AttemptOutcome.NOT_PROCESSED, now)
            return
        connection = self._connection(id)
        if connection is None:
            self.checks.event("cache_connection_no_descriptor", self.host)
            self.ended(what, AttemptOutcome.NOT_PROCESSED, clock.now())
            return
        self.out[what] = id, connection
        loop = asyncio.get_running_loop()
        wait = max(deadline - now, 0) / clock.SECOND
        self.timers[what] = loop.call_later(wait, self._timed_out, what)
        connection.send(id, what, command)

    def broken(
        self,
        id: str,
        what: OpenAttempt | Probe,
        begun: bool,
        absent: bool,
        command: ServeCommand | bytes | None,
        other: bool,
    ) -> None:
        """Its connection ended, one of several addresses: on over another, or told as it is."""
        assert self.way is not None
        denied = isinstance(what, OpenAttempt) and find_denial(what, clock.now()) is not None
        recalled = self.leaving or denied
        most = len(self.way.book.entries) if command is not None else 0
        ending = self.way.fate(begun, absent, recalled, self.moves.get(what, 0), most)
        connection = self._connection(id) if ending is None else None
        if ending is not None or connection is None or command is None:
            self.ended(what, ending or AttemptOutcome.NOT_PROCESSED, clock.now(), other)
            return
        self.moves[what] = self.moves.get(what, 0) + 1
        self.checks.count("attempts_moved_to_other_connection")
        self.out[what] = id, connection
        connection.send(id, what, command)

    def _connection(self, id: str) -> Connection | None:
        """One for each while descriptors allow, since a spoilt answer ends all that is out with it.

        The idle one used last; else one that is coming up, where no more may be dialled at once yet; else a
        new one, within this machine's share; else the one with least on it.
        """
        for c in reversed(self.connections):  # those used last are at the end
            if c.idle and not c.doubtful and id not in c.ghosts and not self._rests(c):
                return c
        now, streams = clock.now(), self.shared.config.streams
        able = [c for c in self.connections if not (c.lost or c.doubtful or id in c.ghosts or c.stalled(now))]
        able = [c for c in able if not c.unheeded]
        coming = [c for c in able if c.sock is None]
        if len(coming) >= self.ramp.most:
            ride = min(coming, key=lambda c: len(c.open))
            if len(ride.open) < streams and id not in ride.open:
                return ride
        if len(self.connections) >= self.shared.share() or not self.shared.descriptor():
            busy = [c for c in able if len(c.open) < streams and id not in c.open]
            if busy:
                return min(busy, key=lambda c: (len(c.open), c.sock is None))
            if not self.shared.descriptor():
                return None
        self.shared.descriptors.cache(1)
        connection = Connection(self)
        self.connections.append(connection)
        self.shared.connected.add(self)
        self.shared.by_use[connection] = None
        connection.task = self.spawn(connection.run())
        return connection

    def _rests(self, connection: Connection) -> bool:
        """Whether its address is set aside while another is not."""
        address, way = connection.address, self.way
        return address is not None and way is not None and way.resting(address)

    def dropped(self, connection: Connection) -> None:
        """It has ended."""
        self.shared.by_use.pop(connection, None)
        if connection in self.connections:
            self.connections.remove(connection)
        if not self.connections:
            self.shared.connected.discard(self)

    def freed(self, connection: Connection) -> None:
        """It has nothing out: what waits for a dial goes over it; else the next attempt takes it first, and

        those left over grow old and close.
        """
        self.connections.remove(connection)
        self.connections.append(connection)
        if not connection.idle or connection.doubtful or self._rests(connection):
            return
        dials = [c for c in self.connections if c.sock is None and not c.lost]
        waits = next((w for c in dials if (w := c.take_waiting(connection)) is not None), None)
        if waits is not None:
            id, what, command = waits
            self.out[what] = id, connection
            connection.send(id, what, command)

    def _timed_out(self, what: OpenAttempt | Probe) -> None:
        """In the next turn of the loop, behind one more read.

        After a standstill of the front time is up before the loop has looked at the sockets.
        """
        self.out[what][1].read_on()
        asyncio.get_running_loop().call_soon(self._time_out, what)

    def _time_out(self, what: OpenAttempt | Probe) -> None:
        try:
            self._give_up(what, AttemptOutcome.TIMEOUT)
        except Exception as error:
            self.checks.exception(f"exception_in_{self.name}_actor", error, about="a time-out")
            if isinstance(what, OpenAttempt):
                self._abandon(what)

    def _give_up(self, what: OpenAttempt | Probe, ending: AttemptOutcome) -> None:
        """Nobody waits for it any more; an attempt has ended once it is closed, see Connection.cancel."""
        if what in self.out:
            id, connection = self.out[what]
            if isinstance(what, OpenAttempt):
                connection.cancel(id, what, ending)
                self._over(what)
            else:
                self._over(what)
                connection.open.pop(id, None)
                connection.past(id)
                self.ended(what, ending, clock.now())
        elif isinstance(what, OpenAttempt) and what.request.is_finished and not what.is_ended:
            self.ended(what, ending, clock.now())  # its cancel waits, and now nothing may begin in its place

    def _over(self, what: OpenAttempt | Probe) -> None:
        self.out.pop(what, None)
        self.moves.pop(what, None)
        if (timer := self.timers.pop(what, None)) is not None:
            timer.cancel()

    def ended(
        self, what: OpenAttempt | Probe, ending: AttemptOutcome, at: int, another_way: bool = False
    ) -> None:
        """Without an answer."""
        self._over(what)
        if isinstance(what, Probe):
            self.shared.module.push(Checked(self.number, ending, at - what.at, ()))
        elif self.checks.must(not what.is_ended, "attempt_completes_once"):
            what.is_ended = True
            self.shared.module.push(Ended(what, ending, at, another_way=another_way))

    def answered(
        self, what: OpenAttempt | Probe, head: lines.ResponseHead, body: PooledBody | None, at: int
    ) -> None:
        self._over(what)
        report = read_load_report(head, self.shared.config.report_fields)
        if isinstance(what, Probe):
            self.shared.module.push(Checked(self.number, PROBE_WORDS[head.word], at - what.at, report))
        elif self.checks.must(not what.is_ended, "attempt_completes_once"):
            what.is_ended = True
            still = head.word == "unchanged"
            end = Ended(
                what,
                OUTCOME_BY_WORD[head.word],
                at,
                read_cache_status(head),
                read_wait_time(head),
                report,
                body,
                still,
            )
            self.shared.module.push(end)

    def cancel(self) -> None:
        self.leaving = True  # nothing goes on elsewhere
        super().cancel()

    def sweep(self, now: int, late: bool) -> None:
        """Close what has been idle for as long as the settings say, less a second to be the first."""
        idle = max(self.shared.config.idle - clock.SECOND, self.shared.config.idle // 2)
        used_before = now + 1 if self.leaving else now - idle
        for connection in self.connections:  # a close takes effect in a later turn
            is_done = (connection.used < used_before or connection.doubtful) and connection.unused
            if is_done or (connection.may_stall and not late and connection.stalled(now)):
                if not connection.between and now - connection.heard > self.shared.config.dial_timeout:
                    connection.against("half an answer, then nothing")
                    self.checks.event("cache_response_stalled", self.host)
                connection.close()

    def move(self, address: tuple[str, int] | None, dials: tuple[str, ...], anew: bool = False) -> None:
        """The list tells the host's addresses: new connections go there, those to others end once idle."""
        if self.way is not None:
            if anew or dials != self.way.dials:
                left = self.way.replace(dials)
                for connection in self.connections:
                    connection.doubtful = connection.doubtful or connection.address in left
        elif address is not None and address != self.address:
            self.address = address
            for connection in self.connections:
                connection.doubtful = True
                if connection.sock is None:  # what waits for it is for the machine, not for who is there now
                    connection.close()
