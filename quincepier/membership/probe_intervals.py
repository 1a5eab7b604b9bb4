"""The times and counts of the failure detector; docs/membership.md has the reasons."""

from __future__ import annotations

from dataclasses import dataclass

MS = 1_000_000
SECOND = 1000 * MS


@dataclass(slots=True, frozen=True)
class ProbeIntervals:
    """Nanoseconds and counts."""

    period: int = 200 * MS  # between probes of one front
    answer: int = 80 * MS  # that a direct probe is waited for; then others are asked to probe
    helpers: int = 3  # that are asked
    # from the first accusation on, until one may be put out: longer than a pause of 2 s
    suspicion: int = 2150 * MS
    suspicion_most: int = 6 * SECOND  # with a single accuser
    accusers: int = 3  # that have to agree, of those that there are
    gather: int = 300 * MS  # changes due within this of each other are one change of the view
    gather_most: int = 4 * SECOND
    # a front that heard nobody, or stood still, for so long knows nothing of the others
    lease: int = 2500 * MS
    late: int = 100 * MS  # a turn that comes so late was a standstill of the front's own
    health_most: int = 8  # a front that is ill waits up to so many times as long
    whole_every: int = 10 * SECOND  # between exchanges of whole views, among so many members:
    whole_for: int = 32
    lost_every: int = 5 * SECOND  # between probes of one that was put out, or of a seed
    forget: int = 600 * SECOND  # after which one that is gone is forgotten
    members_most: int = 4096
    repeats: float = 3.0  # times the logarithm of the members: how often one piece of news is told
