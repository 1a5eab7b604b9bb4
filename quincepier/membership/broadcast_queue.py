"""Queue of membership updates to be piggybacked on datagrams (SWIM, section 4.1)."""

from __future__ import annotations

import heapq
import math
from dataclasses import dataclass, replace
from typing import NamedTuple

import msgspec

from quincepier.membership.member_table import MemberState
from quincepier.membership.messages import MembershipUpdate, encoded_size
from quincepier.membership.probe_intervals import MS

MAX_QUEUED_UPDATES = 8192
MAX_PIGGYBACKED_UPDATES = 40  # in one datagram


class UpdateKey(NamedTuple):
    """The member that an update concerns and, for a suspicion, the suspecting member.

    A newer update replaces a queued update with the same key.
    """

    member: str
    suspected_by: str = ""


@dataclass(slots=True, frozen=True)
class QueuedUpdate:
    """An update with the time when it was queued and the number of times it was sent."""

    update: MembershipUpdate
    queued_at_ns: int
    transmit_count: int = 0

    def to_update(self, now_ns: int) -> MembershipUpdate:
        """Returns the update; the age of a suspicion is advanced by the time spent in the queue."""
        if self.update.state != MemberState.SUSPECT:
            return self.update
        waited_ms = (now_ns - self.queued_at_ns) // MS
        age_ms = self.update.suspected_for_ms + waited_ms
        return msgspec.structs.replace(self.update, suspected_for_ms=age_ms)


class BroadcastQueue:
    """Updates to send, each a limited number of times; the least often sent goes first."""

    def __init__(self, retransmit_multiplier: float) -> None:
        self._retransmit_multiplier = retransmit_multiplier
        self._queued_by_key: dict[UpdateKey, QueuedUpdate] = {}

    def __len__(self) -> int:
        return len(self._queued_by_key)

    def add(self, now_ns: int, update: MembershipUpdate) -> None:
        """Queues an update; if it is not a suspicion, it replaces all queued updates about the member."""
        is_suspicion = update.state == MemberState.SUSPECT
        if not is_suspicion:
            self._discard(update.name)
        if len(self._queued_by_key) < MAX_QUEUED_UPDATES:
            key = UpdateKey(update.name, update.suspected_by if is_suspicion else "")
            self._queued_by_key[key] = QueuedUpdate(update, now_ns)

    def take(self, now_ns: int, member_count: int, max_bytes: int) -> list[MembershipUpdate]:
        """Returns updates for one datagram and counts them as sent.

        Args:
            now_ns: The current time in nanoseconds.
            member_count: The number of known members; the transmit limit grows with its base-2 logarithm.
            max_bytes: The free space in the datagram.
        """
        transmit_limit = math.ceil(self._retransmit_multiplier * math.log2(member_count + 2))
        selected = []
        for key, queued in self._by_transmit_count():
            update = queued.to_update(now_ns)
            size = encoded_size(update)
            if size > max_bytes:
                break
            selected.append(update)
            max_bytes -= size
            if queued.transmit_count + 1 >= transmit_limit:
                del self._queued_by_key[key]
            else:
                self._queued_by_key[key] = replace(queued, transmit_count=queued.transmit_count + 1)
        return selected

    def _by_transmit_count(self) -> list[tuple[UpdateKey, QueuedUpdate]]:
        items = self._queued_by_key.items()
        return heapq.nsmallest(MAX_PIGGYBACKED_UPDATES, items, key=lambda item: item[1].transmit_count)

    def _discard(self, name: str) -> None:
        for key in [key for key in self._queued_by_key if key.member == name]:
            del self._queued_by_key[key]
