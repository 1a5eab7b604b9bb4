"""Scales the router's settings to this front's quota of the limits that all fronts share."""

from __future__ import annotations

import math
from dataclasses import replace
from fractions import Fraction

from quincepier import clock
from quincepier.interface import Settings
from quincepier.membership import ViewChanged
from quincepier.membership.quotas import LiveMemberCount, QuotaHolder
from quincepier.net.module import ModuleActor
from quincepier.net.peers.peer_network import PeerNetwork


def scale_settings(settings: Settings, front_count: int) -> Settings:
    """Returns the settings for a number of fronts; the counts per zone are scaled and rounded up."""
    configured = max(settings.fronts, 1)
    by_zone = tuple(-(-count * front_count // configured) for count in settings.fronts_by_zone)
    return replace(settings, fronts=front_count, fronts_by_zone=by_zone)


class QuotaAllocator:
    """Updates the router's settings after changes of the view or the quota lease.

    A change applies from the next decision on.
    """

    def __init__(self, module: ModuleActor, peers: PeerNetwork) -> None:
        self._module = module
        self._peers = peers
        self._settings = module.router.settings
        self._live_count = LiveMemberCount(
            peers.name, self._settings.fronts, peers.intervals.tombstone_timeout_ns
        )
        self._holder: QuotaHolder | None = None
        self._front_count = max(self._settings.fronts, 1)
        peers.add_view_listener(self.on_view_changed)

    def use_leases(self, holder: QuotaHolder) -> None:
        """Takes the quota from a lease holder from now on; call `update` when a lease starts or ends."""
        self._holder = holder
        self.update()

    def on_view_changed(self, change: ViewChanged) -> None:
        """Updates the number of members."""
        self._live_count.on_view_changed(clock.now(), change.members, self._peers.departed_members())
        self.update()

    def update(self) -> None:
        """Applies the current quota to the router's settings."""
        front_count = math.ceil(1 / self._current_quota())
        if front_count != self._front_count:
            self._front_count = front_count
            self._module.router.settings = scale_settings(self._settings, front_count)
            self._module.checks.count("quota_changes")

    def _current_quota(self) -> Fraction:
        now_ns = clock.now()
        if self._holder is not None:
            return self._holder.quota(now_ns)
        return Fraction(1, self._live_count.divisor(now_ns))
