"""Actions that the failure detector asks its owner to perform."""

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
    """The view changed.

    Attributes:
        members: Names of all members after the change, sorted.
        joined: Names that this change added, sorted.
        removed: Names that this change removed, sorted.
    """

    members: tuple[str, ...]
    joined: tuple[str, ...]
    removed: tuple[str, ...]


@dataclass(slots=True, frozen=True)
class DuplicateMember:
    """Another live process uses this front's name."""

    address: Address


Action = SendDatagram | StartStateSync | ViewChanged | DuplicateMember
