"""Which machine goes next: one pure order, with its reasons.

What costs least goes first: who is already set aside; then zone after zone, the zone that was begun before
any other and then the one with the least load; within a zone by load; then by name. Fronts go by load too,
voters after the others, and the leader last of all.
"""

from __future__ import annotations

from dataclasses import dataclass

from quincepier.maintenance.disruption_budget import DisruptionBudget
from quincepier.maintenance.section import MaintenanceRequest
from quincepier.rules.reports import Observations


@dataclass(slots=True, frozen=True)
class Candidate:
    target: str
    kind: str
    zone: str
    why: str


def targets(wish: MaintenanceRequest, seen: Observations) -> dict[str, tuple[str, str]]:
    """What a wish means as the list is now: host id or name to kind and zone (kind "": not listed)."""
    if wish.kind == "front":
        return {name: ("front", "") for name in seen.members}
    if wish.kind:
        return {
            host: (m.kind, m.zone)
            for host, m in seen.machine_by_host.items()
            if m.kind == wish.kind and wish.zone in ("", m.zone)
        }
    found = {name: ("front" if name in seen.members else "", "") for name in wish.fronts}
    for host in wish.machines:
        machine = seen.machine_by_host.get(host)
        known = machine is not None and machine.kind in ("cache", "parent")
        found[host] = (machine.kind, machine.zone) if machine is not None and known else ("", "")
    return found


def loads(seen: Observations) -> dict[str, float]:
    """Commands a second at each machine, and sent by each front."""
    found = dict[str, float]()
    for name, report in seen.report_by_front.items():
        if name == report.front:
            for host, count in report.sent_commands:
                rate = count * 1000 / max(report.window_ms, 1)
                found[host] = found.get(host, 0.0) + rate
                found[name] = found.get(name, 0.0) + rate
    return found


def ranked_candidates(wish: MaintenanceRequest, room: DisruptionBudget) -> list[Candidate]:
    """All known ones that a wish means, in the order in which they go."""
    seen = room.seen
    load, meant = loads(seen), targets(wish, seen)
    begun = {(o.kind, o.zone) for o in room.orders if o.request_id == wish.id}
    zones = dict[tuple[str, str], float]()
    for target, place in meant.items():
        zones[place] = zones.get(place, 0.0) + load.get(target, 0.0)
    keyed = list[tuple[tuple[object, ...], Candidate]]()
    for target, (kind, zone) in meant.items():
        if not kind:
            continue
        aside, place, rate = target in room.broken, (kind, zone), load.get(target, 0.0)
        late = (target == seen.leader) + (target in seen.voters) if kind == "front" else 0
        if aside:
            why = "set aside already"
        elif late:
            why = "the leader, last" if late == 2 else "a voter, after the others"
        else:
            first = "begun" if place in begun else f"of least load, {zones[place]:.1f}/s,"
            why = f"{f'zone {zone} {first} and ' if zone else ''}least load of those left, {rate:.1f}/s"
        of_zone = (place not in begun, round(zones[place], 1), zone, kind)
        key = (late, not aside, *of_zone, round(rate, 1), target)
        keyed.append((key, Candidate(target, kind, zone, why)))
    return [choice for _, choice in sorted(keyed, key=lambda item: item[0])]
