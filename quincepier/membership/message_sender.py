"""Builds this front's datagrams and piggybacks membership updates on them."""

from __future__ import annotations

from collections.abc import Callable

from quincepier.membership.actions import Action, SendDatagram
from quincepier.membership.broadcast_queue import BroadcastQueue
from quincepier.membership.local_member import LocalMember
from quincepier.membership.member_table import MemberState, MemberTable
from quincepier.membership.messages import (
    MAX_DATAGRAM_BYTES,
    VERSION,
    Address,
    MembershipUpdate,
    Message,
    MessageKind,
    encode,
    encoded_size,
)

MAX_HEADER_BYTES = 320  # reserved for the fields of a datagram; updates fill the rest


class MessageSender:
    """Sends the datagrams of this front."""

    def __init__(
        self,
        local: LocalMember,
        table: MemberTable,
        broadcasts: BroadcastQueue,
        emit: Callable[[Action], None],
    ) -> None:
        self._local = local
        self._table = table
        self._broadcasts = broadcasts
        self._emit = emit

    def send(
        self,
        now_ns: int,
        kind: MessageKind,
        address: Address,
        sequence_number: int = 0,
        *,
        recipient: str = "",
        target: str = "",
    ) -> None:
        """Sends one datagram.

        Args:
            now_ns: The current time in nanoseconds.
            kind: The kind of message.
            address: The receiver's address.
            sequence_number: The sequence number of the probe.
            recipient: The receiver's name if known; a suspect is sent the suspicion about it as the first
                update.
            target: The member to be probed, for a ping request or the answer to it.
        """
        message = Message(
            VERSION,
            self._local.fleet,
            kind,
            sequence_number,
            self._local.name,
            self._local.address,
            self._local.incarnation,
            target,
            tuple(self._piggyback(now_ns, recipient)),
        )
        self._emit(SendDatagram(address, encode(message)))

    def _piggyback(self, now_ns: int, recipient: str) -> list[MembershipUpdate]:
        max_bytes = MAX_DATAGRAM_BYTES - MAX_HEADER_BYTES
        updates = []
        record = self._table.get(recipient)
        if record is not None and record.state is not MemberState.ALIVE:
            about_recipient = record.to_update(now_ns)
            updates.append(about_recipient)
            max_bytes -= encoded_size(about_recipient)
        return updates + self._broadcasts.take(now_ns, len(self._table), max_bytes)
