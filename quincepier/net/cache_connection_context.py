"""State that the actors of all caches share: connections, descriptors and buffers."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable
from typing import TYPE_CHECKING

from quincepier.config import FrontConfig
from quincepier.net.actor_dependencies import ActorDependencies
from quincepier.net.sockets import close_at_once

if TYPE_CHECKING:
    from quincepier.net.cache import CacheActor
    from quincepier.net.connection import Connection
    from quincepier.net.dialer import Dialer  # imported only where machines have several addresses


class CacheConnectionContext:
    """What the actors of all caches share.

    Args:
        dependencies: What all actors of the front share.

    Attributes:
        module_mailbox: Mailbox of the router's actor.
        body_allocator: Allocates the bodies of responses.
        actor_by_number: The actors, by machine number.
        connected_actors: Actors that have a connection. Thousands of machines may be listed, few are in use.
        connections_by_last_use: All connections, the least recently used first.
        dialer: Dials machines that have several addresses; None unless the operators' file configures that.
        are_decisions_stale: Returns whether the front's lease has ended since the router's last event, so
            that queued attempts may no longer be permitted; None without agreement between fronts.
    """

    def __init__(self, dependencies: ActorDependencies) -> None:
        self.dependencies, self.checks, self.pool = (
            dependencies,
            dependencies.checks,
            dependencies.buffer_pool,
        )
        self.descriptors, self.module_mailbox = dependencies.descriptors, dependencies.module_mailbox
        self.body_allocator = dependencies.body_allocator
        self.actor_by_number: dict[int, CacheActor] = {}
        self.connected_actors: set[CacheActor] = set()
        self.connections_by_last_use: OrderedDict[Connection, None] = OrderedDict()
        self.dialer: Dialer | None = None
        self.are_decisions_stale: Callable[[], bool] | None = None

    @property
    def config(self) -> FrontConfig:
        """The current configuration."""
        return self.dependencies.config

    def connection_limit(self) -> int:
        """Return how many connections one machine may have, as a fair share of the descriptors."""
        return max(self.descriptors.max_outbound // (len(self.connected_actors) + 1), 1)

    def ensure_descriptor(self) -> bool:
        """Return whether a connection may be opened; closes the least recently used one if necessary.

        Only a connection on which no exchange waits is closed.
        """
        if self.descriptors.outbound < self.descriptors.max_outbound:
            return True
        oldest = next(
            (connection for connection in self.connections_by_last_use if connection.is_unused), None
        )
        if oldest is None:
            return False
        is_idle = oldest.is_idle  # otherwise its writer waits for the socket
        oldest.close()
        if is_idle and oldest.sock is not None:  # its task ends only after the new connection is dialled
            oldest.has_reader = False
            close_at_once(oldest.sock)
        return True
