"""Intervals, timeouts and limits of the failure detector; docs/membership.md gives the reasons."""

from __future__ import annotations

from dataclasses import dataclass

MS = 1_000_000  # nanoseconds
SECOND = 1000 * MS


@dataclass(slots=True, frozen=True)
class ProbeIntervals:
    """Intervals and timeouts in nanoseconds, and limits as counts.

    Attributes:
        probe_interval_ns: Interval between the direct probes that one member sends.
        probe_timeout_ns: Timeout of a direct probe; after it, other members are asked to probe.
        indirect_probes: Number of members asked to probe on behalf of this one.
        min_suspicion_timeout_ns: Time from the first suspicion until a member may be declared dead, given
            `required_suspicions` independent suspicions. Longer than a process pause of 2 s.
        max_suspicion_timeout_ns: Upper bound of that time; each independent suspicion shortens it.
        required_suspicions: Number of members that must suspect a member independently; fewer where fewer
            live members are left.
        view_change_delay_ns: Delay of a view change; changes due within it are announced together.
        max_view_change_delay_ns: Maximum total delay of a view change that waits for further changes.
        isolation_timeout_ns: A member that received no message, or was paused, for this long regards
            itself as isolated: its view contains itself only.
        pause_threshold_ns: A tick late by more than this indicates a pause of this process.
        max_local_health: Maximum local health score; timeouts are multiplied by up to this score plus 1.
        full_sync_interval_ns: Interval between exchanges of the full state.
        full_sync_scale_threshold: Above this number of members the interval grows in proportion.
        reconnect_interval_ns: Interval between pings of a dead member or a seed.
        tombstone_timeout_ns: Time after which the record of a dead or departed member is removed.
        max_members: Maximum number of records in the member table.
        retransmit_multiplier: An update is sent this many times log2 of the number of members.
    """

    probe_interval_ns: int = 200 * MS
    probe_timeout_ns: int = 80 * MS
    indirect_probes: int = 3
    min_suspicion_timeout_ns: int = 2150 * MS
    max_suspicion_timeout_ns: int = 6 * SECOND
    required_suspicions: int = 3
    view_change_delay_ns: int = 300 * MS
    max_view_change_delay_ns: int = 4 * SECOND
    isolation_timeout_ns: int = 2500 * MS
    pause_threshold_ns: int = 100 * MS
    max_local_health: int = 8
    full_sync_interval_ns: int = 10 * SECOND
    full_sync_scale_threshold: int = 32
    reconnect_interval_ns: int = 5 * SECOND
    tombstone_timeout_ns: int = 600 * SECOND
    max_members: int = 4096
    retransmit_multiplier: float = 3.0
