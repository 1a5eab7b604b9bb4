"""What the failure detector asks its owner to do."""

from __future__ import annotations

from dataclasses import dataclass

from quincepier.membership.messages import Address


@dataclass(slots=True, frozen=True)
class SendDatagram:
    """Send a datagram to the address that a member announced, or to a seed."""

    address: Address
    data: bytes


@dataclass(slots=True, frozen=True)
class StartStateSync:
    """Exchange the full state with a member over a stream (push/pull)."""

    address: Address


@dataclass(slots=True, frozen=True)
class ViewChanged:
    """The view changed: all members in order of name, and whom this one change added and removed."""

    members: tuple[str, ...]
    joined: tuple[str, ...]
    removed: tuple[str, ...]


@dataclass(slots=True, frozen=True)
class DuplicateMember:
    """Another live process uses this front's name."""

    address: Address


Action = SendDatagram | StartStateSync | ViewChanged | DuplicateMember
