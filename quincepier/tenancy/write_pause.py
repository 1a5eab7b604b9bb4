"""The times for which retries are rejected so that no request runs at two shards (docs/tenants.md)."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from quincepier.interface import Idempotency, RequestClass
from quincepier.tenancy.section import SECOND, TenantsSection

MAX_WAIT_DEADLINES = 2  # a client waits at most so many of its class's deadlines (translate.py)
MAX_DELIVERY_DELAY_NS = SECOND  # a command that its front gave up may still start so long after


def write_pause_ns(classes: Iterable[RequestClass]) -> int:
    """Return for how long retries of unsafe requests are rejected, in nanoseconds.

    A request accepted before the pause may still start after the longest wait of a client and the delivery
    delay, and its cache recognizes a retry for the deduplication window after that. Once the pause is over
    no cache could have recognized the retry either. The longest over all unsafe classes holds.
    """
    pauses = [
        c.window + MAX_WAIT_DEADLINES * c.deadline + MAX_DELIVERY_DELAY_NS
        for c in classes
        if c.effect is not Idempotency.SAFE
    ]
    return max(pauses, default=0)


@dataclass(slots=True, frozen=True)
class MigrationPolicy:
    """The leader's section, and the times in nanoseconds that follow from it and from the settings."""

    section: TenantsSection
    write_pause_ns: int
    grace_period_ns: int

    @classmethod
    def from_section(cls, section: TenantsSection, classes: Iterable[RequestClass]) -> MigrationPolicy:
        """Derive the times from the section and the request classes of the settings."""
        return cls(section, write_pause_ns(classes), int(section.grace_period_s * SECOND))
