"""Reports of fronts to the leader, and the leader's observations of the fleet: plain data, no decisions."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from typing import Annotated, NamedTuple

import msgspec


class HostCount(NamedTuple):
    """A count for one machine, named by its host id."""

    host: str
    total: int


class TenantCount(NamedTuple):
    """A count for one tenant at one shard."""

    tenant: str
    shard: str
    total: int


class TenantAge(NamedTuple):
    """Milliseconds since an event of one tenant at one shard."""

    tenant: str
    shard: str
    age_ms: int


class ServiceStatistics(msgspec.Struct, frozen=True, array_like=True):
    """Counts of a front over its statistics window, for one tenant at one shard ("" stands for all).

    Attributes:
        tenant: Name of the tenant.
        shard: Name of the shard.
        responses: Number of final responses.
        requested_weight: Sum of the priority weights of the answered requests.
        on_time_weight: Sum of the priority weights of those answered within their latency objective.
        rejected: Number of responses with status 503.
        hits: Number of attempts that a cache answered from its store.
        origin_fetches: Number of attempts for which a cache fetched from the origin.
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
    """The state that a front reports with each lease request.

    Attributes:
        front: Name of the front.
        incarnation: Incarnation number of the front; higher at each start.
        version_number: Number of the rule version by which it decides.
        digest: Digest of that version.
        is_cautious: Whether it is in cautious mode.
        window_ms: Length of the statistics window.
        open_attempts: Number of open attempts at each machine.
        open_unsafe_requests: Number of open requests that are not safe to repeat, by tenant and shard.
        last_unsafe_request_ages: Time since such a request was last sent, by tenant and shard.
        ejected_hosts: Machines that its outlier detection has ejected.
        sent_commands: Number of commands sent to each machine in the window, a measure of its load.
        service_statistics: Service statistics of the window.
        change_log_sequence: Sequence number up to which it has read the change log.
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
    """One machine of the leader's endpoint list.

    Attributes:
        host: Host id.
        kind: "cache", "parent" or "origin".
        zone: Zone of the machine.
        is_ready: Whether it is ready by the endpoint list.
        uptime_ms: Time since its last start.
        warm_up_ms: Time from a start until its cache is warm.
    """

    host: str
    kind: str
    zone: str
    is_ready: bool
    uptime_ms: int
    warm_up_ms: int


@dataclass(slots=True, frozen=True)
class FleetView:
    """The leader's view of the fleet, apart from the leases that it granted.

    Attributes:
        members: Fronts in the membership view.
        machine_by_host: Machines of the endpoint list by host id.
        voters: Names of the voters.
        leader: Name of the leader.
        is_consistent: As in `Observations`.
        baseline_on_time_ratio_by_tenant: As in `Observations`.
        recently_dead: Fronts that membership has removed from its view and still remembers.
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
    """All input of a planner besides the rule version; equal values give equal plans.

    Attributes:
        now_ns: Monotonic time of the leader.
        members: Fronts in the membership view.
        report_by_front: The last report of each front that holds a lease, and under `NAME@INCARNATION` the
            report of an earlier incarnation that may still have something open.
        unleased_fronts_idle: Whether every front without a report here has certainly lost its lease and has
            nothing open.
        active_number: The highest number such that no front with a lease decides by an older version.
        active_for_ns: Time since that number became active.
        machine_by_host: Machines of the endpoint list by host id.
        voters: Names of the voters.
        leader: Name of the leader.
        is_consistent: Whether all fronts were found to make the same decisions by the newest version; None if
            that is not known.
        baseline_on_time_ratio_by_tenant: On-time weight divided by requested weight before any disruption.
        active_ns_by_number: How long each number has certainly been active; any number may be missing.
        committed_for_ns: Time since the newest version was committed, or found committed at the election.
        acknowledged_number: The highest number that every front has acknowledged, with or without a lease;
            None means `active_number`.
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
