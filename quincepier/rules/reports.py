"""What fronts report to the leader, and what the leader observes of all: plain facts, no decision."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from typing import Annotated, NamedTuple

import msgspec


class HostCount(NamedTuple):
    """A count of one machine."""

    host: str
    total: int


class TenantCount(NamedTuple):
    """A count of one tenant at one shard."""

    tenant: str
    shard: str
    total: int


class TenantAge(NamedTuple):
    """Milliseconds since something happened for one tenant at one shard."""

    tenant: str
    shard: str
    age_ms: int


class ServiceStatistics(msgspec.Struct, frozen=True, array_like=True):
    """Counts of a front over its window, for one tenant ("": all) at one shard ("": all).

    Attributes:
        tenant: Name of the tenant.
        shard: Name of the shard.
        responses: Final responses.
        requested_weight: Priority weight of the requests that were answered.
        on_time_weight: Priority weight of those answered within their latency objective.
        rejected: Responses with status 503.
        hits: Attempts that a cache answered from its store.
        origin_fetches: Attempts for which a cache fetched from the origin.
    """

    tenant: str
    shard: str
    responses: int = 0
    requested_weight: float = 0.0
    on_time_weight: float = 0.0
    rejected: int = 0
    hits: int = 0
    origin_fetches: int = 0


class FrontReport(msgspec.Struct, frozen=True, array_like=True):
    """What a front reports of itself at each lease request.

    Attributes:
        front: Its name.
        incarnation: Higher at each start.
        version_number: Of the rule version by which it decides.
        digest: Of that version.
        is_cautious: Whether it is in cautious mode.
        window_ms: Duration that the counts cover.
        open_attempts: Attempts of this front that are open at each machine.
        open_unsafe_requests: Open requests that may not simply be repeated.
        last_unsafe_request_ages: Since such a request was last sent.
        ejected_hosts: Machines that its outlier detection has ejected.
        sent_commands: Commands sent to each machine in the window, a measure of its load.
        service_statistics: Service in the window.
        change_log_sequence: Number in the change log up to which it has read.
    """

    front: str
    incarnation: int
    version_number: int
    digest: str
    is_cautious: bool
    window_ms: Annotated[int, msgspec.Meta(ge=0)]
    open_attempts: tuple[HostCount, ...] = ()
    open_unsafe_requests: tuple[TenantCount, ...] = ()
    last_unsafe_request_ages: tuple[TenantAge, ...] = ()
    ejected_hosts: tuple[str, ...] = ()
    sent_commands: tuple[HostCount, ...] = ()
    service_statistics: tuple[ServiceStatistics, ...] = ()
    change_log_sequence: int = 0


@dataclass(slots=True, frozen=True)
class MachineObservation:
    """One machine of the endpoint list, as the leader has it.

    Attributes:
        host: Host id.
        kind: "cache", "parent" or "origin".
        zone: Its zone.
        is_ready: Whether the list says that it is ready.
        uptime_ms: Since its last start.
        warm_up_ms: That it takes to be warm after a start.
    """

    host: str
    kind: str
    zone: str
    is_ready: bool
    uptime_ms: int
    warm_up_ms: int


@dataclass(slots=True, frozen=True)
class FleetView:
    """What the leader sees of the fleet beside the leases that it granted.

    Attributes:
        members: Fronts in the membership view.
        machine_by_host: Machines of the endpoint list.
        voters: Names of the voters.
        leader: Name of the leader.
        is_consistent: As in `Observations`.
        baseline_on_time_ratio_by_tenant: As in `Observations`.
        recently_dead: Fronts that membership has removed and still remembers.
    """

    members: tuple[str, ...]
    machine_by_host: Mapping[str, MachineObservation]
    voters: tuple[str, ...]
    leader: str
    is_consistent: bool | None = None
    baseline_on_time_ratio_by_tenant: Mapping[str, float] = field(default_factory=dict)
    recently_dead: Iterable[str] = ()


@dataclass(slots=True, frozen=True)
class Observations:
    """All that a planner decides by, besides the rule version; equal values give equal plans.

    Attributes:
        now_ns: Monotonic time of the leader.
        members: Fronts in the membership view.
        report_by_front: The last report of each front that holds a lease, and under `NAME@INCARNATION` that
            of an earlier incarnation which may still have something open.
        unleased_fronts_idle: Whether every front without a report here has surely lost its lease and ended
            what it had open.
        active_number: The highest number such that no front with a lease decides by an older version.
        active_for_ns: Since that number became active.
        machine_by_host: Machines of the endpoint list.
        voters: Names of the voters.
        leader: Name of the leader.
        is_consistent: Whether all fronts were found to decide alike by the newest version; None: not known.
        baseline_on_time_ratio_by_tenant: On-time weight over requested weight before any disruption.
        active_ns_by_number: For how long a number has surely been active; may lack any.
        committed_for_ns: Since the newest version was committed, or found committed at the election.
        acknowledged_number: The highest number that every front was told of, with a lease or without;
            None: taken to be `active_number`.
    """

    now_ns: int
    members: tuple[str, ...]
    report_by_front: dict[str, FrontReport]
    unleased_fronts_idle: bool
    active_number: int
    active_for_ns: int
    machine_by_host: dict[str, MachineObservation]
    voters: tuple[str, ...]
    leader: str
    is_consistent: bool | None = None
    baseline_on_time_ratio_by_tenant: dict[str, float] = field(default_factory=dict)
    active_ns_by_number: dict[int, int] = field(default_factory=dict)
    committed_for_ns: int = 0
    acknowledged_number: int | None = None
