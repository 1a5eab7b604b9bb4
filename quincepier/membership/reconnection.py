"""Periodically pings a dead member or a seed, so that a fleet merges again after a partition."""

from __future__ import annotations

import random
from collections.abc import Callable, Sequence

from quincepier.membership.actions import Action, StartStateSync
from quincepier.membership.member_table import MemberState, MemberTable
from quincepier.membership.message_sender import MessageSender
from quincepier.membership.messages import Address, MessageKind
from quincepier.membership.probe_intervals import ProbeIntervals


class Reconnector:
    """Pings dead members and seeds that are not among the live members."""

    def __init__(
        self,
        intervals: ProbeIntervals,
        table: MemberTable,
        sender: MessageSender,
        seeds: Sequence[Address],
        rng: random.Random,
        emit: Callable[[Action], None],
    ) -> None:
        self._intervals = intervals
        self._table = table
        self._sender = sender
        self._seeds = seeds
        self._rng = rng
        self._emit = emit

    def reconnect(self, now_ns: int) -> None:
        """Pings one candidate; without a live member, pings several and requests the full state of each."""
        live = {record.address for record in self._table.live_records()}
        candidates = [r.address for r in self._table.records() if r.state is MemberState.DEAD]
        candidates += [seed for seed in self._seeds if seed not in live]
        if not live:
            count = min(len(candidates), self._intervals.indirect_probes)
            for address in self._rng.sample(candidates, count):
                self._sender.send(now_ns, MessageKind.PING, address)
                self._emit(StartStateSync(address))
        elif candidates:
            self._sender.send(now_ns, MessageKind.PING, self._rng.choice(candidates))
