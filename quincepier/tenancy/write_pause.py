"""The write pause: how long retries are rejected, so that no request runs at two shards (docs/tenants.md)."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from quincepier.interface import Idempotency, RequestClass
from quincepier.tenancy.section import SECOND, TenantsSection

MAX_WAIT_DEADLINES = 2  # the longest wait of a client, in deadlines of its class (translate.py)
MAX_DELIVERY_DELAY_NS = SECOND  # a command may still start this long after its front has abandoned it


def write_pause_ns(classes: Iterable[RequestClass]) -> int:
    """Return the time in nanoseconds for which retries of unsafe requests are rejected.

    A request accepted before the pause may start as late as a client's longest wait plus the delivery delay
    after its acceptance. Its cache recognizes a retry for the deduplication window after that start. When the
    pause is over, no cache would recognize the retry any more, at either shard. The pause is the longest such
    time over all unsafe classes.
    """
    pauses = [
        c.window + MAX_WAIT_DEADLINES * c.deadline + MAX_DELIVERY_DELAY_NS
        for c in classes
        if c.effect is not Idempotency.SAFE
    ]
    return max(pauses, default=0)


@dataclass(slots=True, frozen=True)
class MigrationPolicy:
    """The leader's section, and the times in nanoseconds derived from it and from the settings."""

    section: TenantsSection
    write_pause_ns: int
    grace_period_ns: int

    @classmethod
    def from_section(cls, section: TenantsSection, classes: Iterable[RequestClass]) -> MigrationPolicy:
        """Derive the times from the section and the request classes of the settings."""
        return cls(section, write_pause_ns(classes), int(section.grace_period_s * SECOND))
