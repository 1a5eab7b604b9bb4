"""Intervals, timeouts and limits of the failure detector; docs/membership.md gives the reasons."""

from __future__ import annotations

from dataclasses import dataclass

MS = 1_000_000  # nanoseconds
SECOND = 1000 * MS


@dataclass(slots=True, frozen=True)
class ProbeIntervals:
    """Intervals and timeouts in nanoseconds, and limits as counts.

    Attributes:
        probe_interval_ns: Between the direct probes that one member starts.
        probe_timeout_ns: For the answer to a direct probe; then other members are asked to probe.
        indirect_probes: Members asked to probe on this one's behalf.
        min_suspicion_timeout_ns: From the first suspicion until a member may be declared dead, with
            `required_suspicions` independent ones. Longer than a process pause of 2 s.
        max_suspicion_timeout_ns: The same with a single independent suspicion.
        required_suspicions: Members that must suspect independently, of those that are there.
        view_change_delay_ns: Changes due within this time of each other are one change of the view.
        max_view_change_delay_ns: The longest that a change of the view may be delayed to join others.
        isolation_timeout_ns: A member that heard nobody, or was paused, for this long knows nothing
            about the others.
        pause_threshold_ns: A tick that is late by more than this was a pause of this process.
        max_local_health: The highest local health score; timeouts are multiplied by up to one more.
        full_sync_interval_ns: Between exchanges of the full state.
        full_sync_scale_threshold: With more members than this the interval grows in proportion.
        reconnect_interval_ns: Between probes of a dead member, or of a seed.
        tombstone_timeout_ns: After which a member that is dead or has left is forgotten.
        max_members: Members kept in the table.
        retransmit_multiplier: Times the logarithm of the members: how often one update is sent.
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
