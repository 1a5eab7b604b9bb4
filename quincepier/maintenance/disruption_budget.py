"""What counts as out, and whether one more may go.

Out is: under an order from its drain until it is warm again; or broken by itself, which is listed and not
ready, started and not warm, or set aside by more than half of the fronts. An order that waits holds its
place. A machine that neither the list nor an order names is not known of; `least` guards against many such.
"""

from __future__ import annotations

from quincepier.maintenance.section import UnavailableByKind
from quincepier.rules.reports import MachineObservation, Observations
from quincepier.rules.version import MaintenanceTask, RuleVersion

FRESH_MS = 30_000  # a start that is so young counts as one, also where machines are warm at once


def is_recently_started(machine: MachineObservation) -> bool:
    return machine.uptime_ms < max(machine.warm_up_ms, FRESH_MS)


class DisruptionBudget:
    """Of one turn; `orders` are those that the turn has come to so far."""

    def __init__(
        self,
        version: RuleVersion,
        orders: list[MaintenanceTask],
        allowed: UnavailableByKind,
        seen: Observations,
    ) -> None:
        self.version, self.orders, self.allowed, self.seen = version, orders, allowed, seen
        reports = [r for name, r in seen.report_by_front.items() if name == r.front]
        aside = dict[str, int]()
        for report in reports:
            for host in set(report.ejected_hosts):
                aside[host] = aside.get(host, 0) + 1
        self.broken = {
            host: (m.kind, m.zone)
            for host, m in seen.machine_by_host.items()
            if not m.is_ready or m.uptime_ms < m.warm_up_ms or 2 * aside.get(host, 0) > len(reports)
        }
        self.broken |= {name: ("front", "") for name in seen.members if name not in seen.report_by_front}

    def out(self, kind: str, waiting: bool) -> dict[str, str]:
        """Those of a kind that count as out, and their zones; with those that wait for their turn."""
        found = {host: zone for host, (k, zone) in self.broken.items() if k == kind}
        for order in self.orders:
            if order.kind == kind and (order.is_unavailable or (waiting and order.is_active)):
                found[order.target] = order.zone
        return found

    def over(self, kind: str, zone: str) -> str:
        """Why too many are out as it is; empty where they are not."""
        most, out = self.allowed.for_kind(kind), self.out(kind, waiting=False)
        return self._judged(kind, zone, out, most.max_per_zone, most.max_total)

    def hindrance(self, target: str, kind: str, zone: str, waiting: bool) -> str:
        """Why that one may not go out now; empty where it may. `waiting`: those that wait count too."""
        most, out = self.allowed.for_kind(kind), self.out(kind, waiting)
        out[target] = zone
        why = self._judged(kind, zone, out, most.max_per_zone, most.max_total)
        return why or self._relative(kind, zone, target) or self._voters(kind, target)

    def _judged(self, kind: str, zone: str, out: dict[str, str], zone_most: int, most: int) -> str:
        there = sorted(host for host, z in out.items() if z == zone)
        if len(there) > zone_most or len(out) > most:
            listed = there if len(there) > zone_most else sorted(out)
            bound = f"over {zone_most} in a zone or {most} in all"
            return f"{', '.join(listed[:4])} would be out at once, {bound}"
        least = self.allowed.for_kind(kind).min_available_per_zone
        if least:
            left = sum(
                m.kind == kind and m.zone == zone and host not in out
                for host, m in self.seen.machine_by_host.items()
            )
            if left < least:
                return f"{left} would be in service in zone {zone}, under {least}"
        return ""

    def _relative(self, kind: str, zone: str, target: str) -> str:
        """A parent and its caches, of one zone or one shard, are never out together: what the cache lost
        would have to be filled past the parent.
        """
        other = {"cache": "parent", "parent": "cache"}.get(kind)
        if other is None:
            return ""
        for host, where in sorted(self.out(other, waiting=True).items()):
            shared = any({target, host} <= {*shard.caches, *shard.parents} for shard in self.version.shards)
            if where == zone or shared:
                return f"{other} {host} of the same {'shard' if where != zone else 'zone'} is out"
        return ""

    def _voters(self, kind: str, target: str) -> str:
        """One voter at most is out, whatever is allowed: without two of three nothing is agreed any more."""
        seen = self.seen
        if kind != "front" or target not in seen.voters:
            return ""
        out = self.out("front", waiting=True)
        for voter in seen.voters:
            if voter != target and (
                voter in out or voter not in seen.members or voter not in seen.report_by_front
            ):
                return f"voter {voter} is out"
        return ""
