"""The times that keep a request from running at both homes (docs/tenants.md)."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from quincepier.interface import Idempotency, RequestClass
from quincepier.tenancy.section import SECOND, TenantsSection

ALLOW_TIMES = 2  # of its class's deadline: what a client may say at most that it waits (translate.py)
DELIVERY = SECOND  # latest delivery: a command that its front gave up may begin so long after


def hold(classes: Iterable[RequestClass]) -> int:
    """Nanoseconds after which nothing that was taken before can still be told apart by a cache's memory of
    repeats: it may have run as late as the longest wait and the latest delivery, and a repeat counts as one
    for its window after that. Of all classes that may not simply be repeated, the longest.
    """
    times = [
        c.window + ALLOW_TIMES * c.deadline + DELIVERY for c in classes if c.effect is not Idempotency.SAFE
    ]
    return max(times, default=0)


@dataclass(slots=True, frozen=True)
class MigrationPolicy:
    """What the leader's file says, and the times that follow from the settings; all in nanoseconds."""

    section: TenantsSection
    hold: int
    notice: int

    @classmethod
    def of(cls, section: TenantsSection, classes: Iterable[RequestClass]) -> MigrationPolicy:
        return cls(section, hold(classes), int(section.notice_s * SECOND))
