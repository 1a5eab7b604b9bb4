"""Probes of the other members, direct and indirect, in shuffled rounds (SWIM, sections 3.1 and 4.3)."""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass

from quincepier.membership.local_health import LocalHealth
from quincepier.membership.member_table import MemberRecord, MemberTable
from quincepier.membership.message_sender import MessageSender
from quincepier.membership.messages import Address, Message, MessageKind
from quincepier.membership.probe_intervals import ProbeIntervals

MAX_OPEN_PROBES = 256  # including those on behalf of other members
SEQUENCE_NUMBER_BITS = 40  # random bits of the first sequence number


@dataclass(slots=True, frozen=True)
class ProbeRequester:
    """The member that requested an indirect probe.

    Attributes:
        address: Its address.
        sequence_number: The sequence number of the requester's own probe.
    """

    address: Address
    sequence_number: int


@dataclass(slots=True)
class Probe:
    """An unanswered probe.

    Attributes:
        target: The name of the probed member.
        started_ns: When it was sent.
        requester: The member that requested this probe; None for this front's own probes.
        is_indirect: Whether other members (helpers) were asked to probe the target too.
        helper_count: The number of helpers that were asked.
        nack_count: The number of helpers that reported no answer from the target.
    """

    target: str
    started_ns: int
    requester: ProbeRequester | None = None
    is_indirect: bool = False
    helper_count: int = 0
    nack_count: int = 0


class Prober:
    """Probes one member per interval and reports members that answer neither direct nor indirect probes."""

    def __init__(
        self,
        intervals: ProbeIntervals,
        table: MemberTable,
        health: LocalHealth,
        sender: MessageSender,
        rng: random.Random,
        on_probe_failed: Callable[[int, MemberRecord], None],
    ) -> None:
        """Takes its dependencies.

        Args:
            intervals: Timeouts and limits.
            table: The members to probe.
            health: The local health score, which multiplies timeouts.
            sender: Sends the datagrams.
            rng: The random number generator.
            on_probe_failed: Called with the time in nanoseconds and the member that did not answer.
        """
        self._intervals = intervals
        self._table = table
        self._health = health
        self._sender = sender
        self._rng = rng
        self._on_probe_failed = on_probe_failed
        self._last_sequence_number = rng.getrandbits(SEQUENCE_NUMBER_BITS)
        self._round: list[str] = []  # members still to be probed in this round
        self._open_probes: dict[int, Probe] = {}  # by sequence number

    @property
    def open_probe_count(self) -> int:
        """The number of unanswered probes."""
        return len(self._open_probes)

    def deadlines_ns(self) -> list[int]:
        """Returns the times when the open probes time out."""
        return [self._deadline_ns(probe) for probe in self._open_probes.values()]

    def probe_next_member(self, now_ns: int) -> None:
        """Probes the next member of the round; a new round visits the live members in random order."""
        self._round = [name for name in self._round if self._is_live(name)]
        if not self._round:
            self._round = [record.name for record in self._table.live_records()]
            self._rng.shuffle(self._round)
        if self._round:
            target = self._table.get(self._round.pop())
            if target is not None:
                self._ping(now_ns, target)

    def on_ping_request(self, now_ns: int, message: Message) -> None:
        """Probes a member on behalf of the sender."""
        target = self._table.get(message.target)
        if target is not None:
            self._ping(now_ns, target, ProbeRequester(message.address, message.sequence_number))

    def on_ack(self, now_ns: int, message: Message) -> None:
        """Ends the probe that was answered by its target, or by a helper on the target's behalf."""
        probe = self._matching_probe(message)
        if probe is None or probe.target not in (message.sender, message.target):
            return
        del self._open_probes[message.sequence_number]
        self._health.record_success()
        if probe.requester is not None:
            self._answer_requester(now_ns, MessageKind.ACK, probe.requester, probe.target)

    def on_nack(self, message: Message) -> None:
        """Counts a helper that did not reach the target either."""
        probe = self._matching_probe(message)
        if probe is not None:
            probe.nack_count += 1

    def check_overdue(self, now_ns: int) -> None:
        """Handles the probes that timed out: asks others to probe, or reports the failure."""
        for sequence_number, probe in list(self._open_probes.items()):
            if now_ns >= self._deadline_ns(probe):
                self._on_timeout(now_ns, sequence_number, probe)

    def cancel_all(self) -> None:
        """Drops the open probes; after a pause of this process a missing answer proves nothing."""
        self._open_probes.clear()

    def _on_timeout(self, now_ns: int, sequence_number: int, probe: Probe) -> None:
        target = self._table.get(probe.target)
        if target is None or not target.is_live:
            del self._open_probes[sequence_number]
        elif probe.requester is not None:
            del self._open_probes[sequence_number]
            self._answer_requester(now_ns, MessageKind.NACK, probe.requester, probe.target)
        elif not probe.is_indirect:
            self._probe_indirectly(now_ns, sequence_number, probe)
        else:
            del self._open_probes[sequence_number]
            if probe.helper_count and not probe.nack_count:
                self._health.record_failure()  # no helper answered: this front itself may be unreachable
            self._on_probe_failed(now_ns, target)

    def _probe_indirectly(self, now_ns: int, sequence_number: int, probe: Probe) -> None:
        candidates = [record for record in self._table.live_records() if record.name != probe.target]
        helpers = self._rng.sample(candidates, min(len(candidates), self._intervals.indirect_probes))
        probe.is_indirect = True
        probe.helper_count = len(helpers)
        for helper in helpers:
            self._sender.send(
                now_ns, MessageKind.PING_REQUEST, helper.address, sequence_number, target=probe.target
            )

    def _ping(self, now_ns: int, target: MemberRecord, requester: ProbeRequester | None = None) -> None:
        if len(self._open_probes) >= MAX_OPEN_PROBES:
            return
        self._last_sequence_number += 1
        self._open_probes[self._last_sequence_number] = Probe(target.name, now_ns, requester)
        self._sender.send(
            now_ns, MessageKind.PING, target.address, self._last_sequence_number, recipient=target.name
        )

    def _answer_requester(
        self, now_ns: int, kind: MessageKind, requester: ProbeRequester, target: str
    ) -> None:
        self._sender.send(now_ns, kind, requester.address, requester.sequence_number, target=target)

    def _matching_probe(self, message: Message) -> Probe | None:
        probe = self._open_probes.get(message.sequence_number)
        return probe if probe is not None and message.target in ("", probe.target) else None

    def _deadline_ns(self, probe: Probe) -> int:
        timeout_ns = self._intervals.probe_timeout_ns
        if probe.is_indirect:
            timeout_ns += self._intervals.probe_interval_ns
        return probe.started_ns + timeout_ns * self._health.probe_timeout_multiplier

    def _is_live(self, name: str) -> bool:
        record = self._table.get(name)
        return record is not None and record.is_live
