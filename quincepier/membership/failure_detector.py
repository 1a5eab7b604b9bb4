"""The failure detector of one front: SWIM with Lifeguard, and batched changes of the view.

After Das, Gupta, Motivala, "SWIM" (DSN 2002); Dadgar, Phillips, Currey, "Lifeguard" (DSN-W 2018); Suresh and
others, "Stable and Consistent Membership at Scale with Rapid" (USENIX ATC 2018). Unlike these protocols, a
suspicion is sent with its age, so that all members declare a member dead at about the same time.

No I/O: the inputs are datagrams and times, the outputs are actions; the random number generator is seeded.
"""

from __future__ import annotations

import random
from collections.abc import Collection, Iterable

from quincepier.membership.actions import Action, DuplicateMember
from quincepier.membership.broadcast_queue import BroadcastQueue
from quincepier.membership.full_sync import FullSyncSchedule
from quincepier.membership.local_health import LocalHealth
from quincepier.membership.local_member import LocalMember
from quincepier.membership.member_table import MemberRecord, MemberState, MemberTable
from quincepier.membership.message_sender import MessageSender
from quincepier.membership.messages import (
    VERSION,
    Address,
    FullState,
    InvalidMessageError,
    MembershipUpdate,
    Message,
    MessageKind,
    decode,
    decode_full_state,
    encode,
)
from quincepier.membership.probe_intervals import ProbeIntervals
from quincepier.membership.probing import Prober
from quincepier.membership.reconnection import Reconnector
from quincepier.membership.suspicion import SuspicionTimeouts
from quincepier.membership.view import MembershipView


class FailureDetector:
    """Composes the components of the protocol; each `on_…` method returns the actions to perform, in order.

    The initial view contains this front only.

    Args:
        fleet: The fleet's name; messages from other fleets are rejected.
        name: This front's name.
        address: The address at which other fronts reach this front.
        incarnation: Normally higher at each start, such as Unix time with random low bits.
        now_ns: The current time in nanoseconds.
        seed: Seed of the random number generator.
        seeds: Addresses of members that are contacted to join the fleet.
        intervals: Timeouts and limits; the defaults if None.
    """

    def __init__(
        self,
        fleet: str,
        name: str,
        address: Address,
        incarnation: int,
        now_ns: int,
        seed: int,
        seeds: Iterable[Address] = (),
        intervals: ProbeIntervals | None = None,
    ) -> None:
        self._intervals = intervals or ProbeIntervals()
        self._rng = random.Random(seed)
        self._local = LocalMember(fleet, name, address, incarnation, self._intervals.isolation_timeout_ns)
        self._table = MemberTable(self._intervals)
        self._health = LocalHealth(self._intervals.max_local_health)
        self._broadcasts = BroadcastQueue(self._intervals.retransmit_multiplier)
        self._sender = MessageSender(self._local, self._table, self._broadcasts, self._emit)
        self._suspicion = SuspicionTimeouts(self._intervals, self._table, self._health)
        self._view = MembershipView(name, self._intervals, self._table, self._suspicion)
        self._prober = Prober(
            self._intervals, self._table, self._health, self._sender, self._rng, self._suspect
        )
        self._full_sync = FullSyncSchedule(now_ns, self._intervals, self._table, self._rng, self._emit)
        other_seeds = [seed_address for seed_address in seeds if seed_address != address]
        self._reconnector = Reconnector(
            self._intervals, self._table, self._sender, other_seeds, self._rng, self._emit
        )
        self._last_run_ns = now_ns
        self._last_contact_ns = now_ns
        self._next_probe_ns = now_ns
        self._next_reconnect_ns = now_ns
        self._has_left = False
        self._rejected_count = 0
        self._actions: list[Action] = []

    @property
    def members(self) -> set[str]:
        """The names in the view announced last, including this front's own."""
        return self._view.members

    @property
    def incarnation(self) -> int:
        """This front's own incarnation."""
        return self._local.incarnation

    @property
    def rejected_count(self) -> int:
        """The number of received messages that were rejected as invalid."""
        return self._rejected_count

    @property
    def open_probe_count(self) -> int:
        """The number of unanswered probes."""
        return self._prober.open_probe_count

    @property
    def queued_update_count(self) -> int:
        """The number of membership updates in the broadcast queue."""
        return len(self._broadcasts)

    @property
    def next_tick_ns(self) -> int:
        """The time by which `on_tick` must be called."""
        times = [self._next_probe_ns, *self._prober.deadlines_ns()]
        if self._view.pending_until_ns is not None:
            times.append(self._view.pending_until_ns)
        return min(times)

    def record_of(self, name: str) -> MemberRecord | None:
        """Returns the record of another member; None if the member is unknown."""
        return self._table.get(name)

    def records(self) -> Collection[MemberRecord]:
        """Returns the records of all other members, including dead ones."""
        return self._table.records()

    def on_datagram(self, now_ns: int, data: bytes) -> list[Action]:
        """Handles a datagram; an invalid datagram is counted in `rejected_count`."""
        self._begin(now_ns)
        try:
            message = decode(data, self._local.fleet)
        except InvalidMessageError:
            self._rejected_count += 1
            return self._actions
        if message.sender == self._local.name:
            if not self._local.is_same_process(message.incarnation, message.address):
                self._on_name_conflict(now_ns, message.incarnation, message.address)
        elif not self._has_left:
            self._on_message(now_ns, message)
        return self._actions

    def on_full_state(self, now_ns: int, data: bytes) -> list[Action]:
        """Merges another member's full state; an invalid state is counted in `rejected_count`."""
        self._begin(now_ns)
        try:
            state = decode_full_state(data, self._local.fleet)
        except InvalidMessageError:
            self._rejected_count += 1
            return self._actions
        self._on_contact(now_ns)
        for update in state.updates:
            self._on_update(now_ns, update)
        self._update_view(now_ns)
        return self._actions

    def encode_full_state(self, now_ns: int) -> bytes:
        """Returns this front's full state for an exchange."""
        others = [record.to_update(now_ns) for record in self._table.records()]
        return encode(FullState(VERSION, self._local.fleet, (self._local.to_update(), *others)))

    def on_tick(self, now_ns: int) -> list[Action]:
        """Performs the work that is due; must be called no later than at `next_tick_ns`."""
        self._begin(now_ns)
        if self._has_left:
            return self._actions
        self._prober.check_overdue(now_ns)
        if now_ns >= self._next_probe_ns:
            self._next_probe_ns = now_ns + self._intervals.probe_interval_ns
            self._prober.probe_next_member(now_ns)
        if now_ns >= self._next_reconnect_ns:
            self._next_reconnect_ns = now_ns + self._intervals.reconnect_interval_ns
            self._reconnector.reconnect(now_ns)
            self._table.remove_tombstones(now_ns)
        self._full_sync.on_tick(now_ns)
        self._update_view(now_ns)
        return self._actions

    def leave(self, now_ns: int) -> list[Action]:
        """Announces to a few random members, which forward it, that this front leaves."""
        self._actions = []
        self._has_left = True
        live = self._table.live_records()
        recipient_count = min(len(live), 2 * self._intervals.indirect_probes)
        for record in self._rng.sample(live, recipient_count):
            self._sender.send(now_ns, MessageKind.LEAVE, record.address)
        return self._actions

    def _begin(self, now_ns: int) -> None:
        """Resets the actions and detects a pause of this process; called before each event is handled."""
        self._actions = []
        elapsed_ns = now_ns - self._last_run_ns
        self._last_run_ns = max(now_ns, self._last_run_ns)
        if elapsed_ns > self._intervals.probe_interval_ns + self._intervals.pause_threshold_ns:
            self._on_process_pause(now_ns, elapsed_ns)

    def _on_process_pause(self, now_ns: int, elapsed_ns: int) -> None:
        """Discards probes and postpones suspicions: during a pause no response could be received."""
        self._health.record_failure()
        self._prober.cancel_all()
        self._table.postpone_suspicions(elapsed_ns)
        self._next_probe_ns = now_ns
        if elapsed_ns > self._intervals.isolation_timeout_ns:
            self._isolate()

    def _on_message(self, now_ns: int, message: Message) -> None:
        self._on_contact(now_ns)
        self._assert_state(now_ns, message, MemberState.ALIVE)
        for update in message.updates:
            self._on_update(now_ns, update)
        match message.kind:
            case MessageKind.PING:
                self._sender.send(
                    now_ns,
                    MessageKind.ACK,
                    message.address,
                    message.sequence_number,
                    recipient=message.sender,
                )
            case MessageKind.PING_REQUEST:
                self._prober.on_ping_request(now_ns, message)
            case MessageKind.ACK:
                self._prober.on_ack(now_ns, message)
            case MessageKind.NACK:
                self._prober.on_nack(message)
            case MessageKind.LEAVE:
                self._assert_state(now_ns, message, MemberState.LEFT)
        self._update_view(now_ns)

    def _assert_state(self, now_ns: int, message: Message, state: MemberState) -> None:
        update = MembershipUpdate(message.sender, message.address, message.incarnation, state, 0)
        self._apply(now_ns, update)

    def _on_contact(self, now_ns: int) -> None:
        self._last_contact_ns = now_ns
        self._view.on_contact()

    def _on_update(self, now_ns: int, update: MembershipUpdate) -> None:
        if update.name != self._local.name:
            self._apply(now_ns, update)
        elif self._local.is_conflicting(update.incarnation, update.address):
            self._on_name_conflict(now_ns, update.incarnation, update.address)
        elif self._must_refute(update):
            self._refute(now_ns, update.incarnation)

    def _must_refute(self, update: MembershipUpdate) -> bool:
        is_current = update.incarnation == self._local.incarnation
        return is_current and update.state != MemberState.ALIVE and not self._has_left

    def _apply(self, now_ns: int, update: MembershipUpdate) -> None:
        accepted = self._table.apply(now_ns, update)
        if accepted is not None:
            self._broadcasts.add(now_ns, accepted)

    def _refute(self, now_ns: int, incarnation: int) -> None:
        """Refutes a suspicion with a higher incarnation; a suspected front may itself be slow."""
        self._local.supersede(incarnation)
        self._health.record_failure()
        self._broadcasts.add(now_ns, self._local.to_update())

    def _on_name_conflict(self, now_ns: int, incarnation: int, address: Address) -> None:
        """Supersedes another process, or an earlier start of this front, that uses this front's name."""
        self._refute(now_ns, max(incarnation, self._local.incarnation))
        if self._local.record_conflict(now_ns):
            self._emit(DuplicateMember(address))

    def _suspect(self, now_ns: int, record: MemberRecord) -> None:
        suspicion = MembershipUpdate(
            record.name, record.address, record.incarnation, MemberState.SUSPECT, 0, self._local.name
        )
        self._apply(now_ns, suspicion)

    def _update_view(self, now_ns: int) -> None:
        if now_ns - self._last_contact_ns > self._intervals.isolation_timeout_ns:
            self._isolate()
            return
        for record in self._suspicion.declare_dead(now_ns):
            self._broadcasts.add(now_ns, record.to_update(now_ns))
        change = self._view.update(now_ns)
        if change is not None:
            self._emit(change)

    def _isolate(self) -> None:
        change = self._view.isolate()
        if change is not None:
            self._emit(change)

    def _emit(self, action: Action) -> None:
        self._actions.append(action)
