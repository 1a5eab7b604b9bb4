"""What the actors of one front have in common."""

from __future__ import annotations

from dataclasses import dataclass, field

from quincepier.checks import Checks
from quincepier.config import FrontConfig
from quincepier.memory.buffer_pool import BufferPool
from quincepier.memory.memory_budget import MemoryBudget
from quincepier.net.actor import Mailbox
from quincepier.net.messages import ToModule
from quincepier.net.process_pause import PauseDetector
from quincepier.net.sockets import Descriptors
from quincepier.wire.changelog import AddressParser


@dataclass(slots=True)
class Means:
    config: FrontConfig  # replaced as a whole when a new one is read
    checks: Checks
    pool: BufferPool
    descriptors: Descriptors
    module: Mailbox[ToModule]
    budget: MemoryBudget
    judge: AddressParser | None = None  # of addresses, where machines may have several
    pauses: PauseDetector = field(init=False)

    def __post_init__(self) -> None:
        self.pauses = PauseDetector(self.checks)
