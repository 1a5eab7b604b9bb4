"""What fronts report to the voter that leads, and what it sees of all: plain facts, ages, no decision."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Annotated

import msgspec


class ServiceStatistics(msgspec.Struct, frozen=True, array_like=True):
    """Counts of one span of a front, of one tenant ("" for all) at one shard ("" for all)."""

    tenant: str
    shard: str
    responses: int = 0  # final answers given
    requested_weight: float = 0.0  # of what was asked
    on_time_weight: float = 0.0  # worth answered in time
    rejected: int = 0
    hits: int = 0
    origin_fetches: int = 0


class FrontReport(msgspec.Struct, frozen=True, array_like=True):
    """What one front says of itself, every report period."""

    front: str
    incarnation: int  # its incarnation
    version_number: int  # of the rule version by which it decides
    digest: str
    is_cautious: bool
    window_ms: Annotated[int, msgspec.Meta(ge=0)]  # that the counts are of
    open_attempts: tuple[tuple[str, int], ...] = ()  # host id and attempts of this front that are open there
    open_unsafe_requests: tuple[
        tuple[str, str, int], ...
    ] = ()  # tenant, shard, open requests that may not be repeated
    last_unsafe_request_ages: tuple[
        tuple[str, str, int], ...
    ] = ()  # tenant, shard, ms since such a one was sent on
    ejected_hosts: tuple[str, ...] = ()  # machines that it set aside
    sent_commands: tuple[tuple[str, int], ...] = ()  # host id and commands sent there in the span: the load
    service_statistics: tuple[ServiceStatistics, ...] = ()
    change_log_sequence: int = 0  # the number in the change log up to which it has heard


@dataclass(slots=True, frozen=True)
class MachineObservation:
    """One line of the change log's list, as the leading voter has it."""

    host: str
    kind: str  # cache, parent, origin
    zone: str
    is_ready: bool
    uptime_ms: int  # since its last start, as listed
    warm_up_ms: int  # that it takes to be warm after a start


@dataclass(slots=True, frozen=True)
class Observations:
    """All that a step may be decided by; the same value gives the same steps."""

    now_ns: int  # monotonic nanoseconds of the voter that leads
    members: tuple[str, ...]  # fronts that are members
    report_by_front: dict[str, FrontReport]  # the last one of each front that has a lease
    unleased_fronts_idle: (
        bool  # every front without a report here has surely lost its lease and ended what it had open
    )
    active_number: int  # highest number that every front with a lease decides by (none holds an older one)
    active_for_ns: int  # nanoseconds since that number came into force
    machine_by_host: dict[str, MachineObservation]
    voters: tuple[str, ...]
    leader: str
    is_consistent: bool | None = (
        None  # whether all fronts were found to decide alike by `in_force`; None: not known
    )
    baseline_on_time_ratio_by_tenant: dict[str, float] = field(
        default_factory=dict
    )  # tenant to worth in time over worth, before orders
    # nanoseconds for which a number is surely in force, for such as `since` of moves; may lack any
    active_ns_by_number: dict[int, int] = field(default_factory=dict)
    committed_for_ns: int = (
        0  # ns since the newest version was agreed; if it was found agreed: since the election
    )
    # highest number that every front was told of, with a lease or without; None: taken to be `in_force`
    acknowledged_number: int | None = None
