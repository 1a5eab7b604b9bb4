"""The objects that all actors of one front share."""

from __future__ import annotations

from dataclasses import dataclass, field

from quincepier.checks import Checks
from quincepier.config import FrontConfig
from quincepier.memory.buffer_pool import BufferPool
from quincepier.memory.memory_budget import MemoryBudget
from quincepier.net.actor import Mailbox
from quincepier.net.body_allocator import BodyAllocator
from quincepier.net.messages import ToModule
from quincepier.net.process_pause import PauseDetector
from quincepier.net.sockets import Descriptors
from quincepier.wire.changelog import AddressParser


@dataclass(slots=True)
class ActorDependencies:
    """Configuration and shared resources, passed to every actor of a front.

    Attributes:
        config: The configuration; a reload replaces the whole object.
        checks: Counters, event log and invariant checks.
        buffer_pool: The buffers for reads and response bodies.
        descriptors: Counts the front's sockets and holds the limits on them.
        module_mailbox: Mailbox of the decision module's actor.
        memory_budget: Limits that follow from the memory limit.
        parse_address: Parses an address in a change-log record; None unless the operator's file has the
            section `addresses`, by which a machine may have several addresses.
        pause_detector: Detects that the process did not run for a while.
        body_allocator: Allocates response bodies from the buffer pool.
    """

    config: FrontConfig
    checks: Checks
    buffer_pool: BufferPool
    descriptors: Descriptors
    module_mailbox: Mailbox[ToModule]
    memory_budget: MemoryBudget
    parse_address: AddressParser | None = None
    pause_detector: PauseDetector = field(init=False)
    body_allocator: BodyAllocator = field(init=False)

    def __post_init__(self) -> None:
        """Create the pause detector and the allocator of bodies, which report to the same checks."""
        self.pause_detector = PauseDetector(self.checks)
        self.body_allocator = BodyAllocator(self.buffer_pool, self.checks)
