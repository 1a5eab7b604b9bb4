"""How fast a tenant's keys may go to the new home: fills stay under the bound, machines there are warm."""

from __future__ import annotations

from quincepier.rules import Migration, Observations, RuleVersion
from quincepier.rules.version import HASH_SLOTS
from quincepier.tenancy.verification import in_same_seconds, total

STEPS = (32, 16, 8, 4, 2, 1)  # parts, of 256, that go at once: the largest that fills allow
WARM_PART = HASH_SLOTS // 2  # both homes are compared at halves, where the difference is told best
FILLS_PART = 0.2  # of all usual fills: what one step may add at first; they are to stay under 1.3 of usual
SETTLED_PART = 0.1  # of all usual fills: what may be left of the last step's before the next
TELLS = 50  # answers at the old home, to know its rate of fills


def ready_hosts(seen: Observations, version: RuleVersion, shard: str) -> list[str]:
    """Caches of a home that are listed and ready; of the common one all outside of shards."""
    line = version.find_shard(shard)
    own = {host for s in version.shards for host in s.caches}
    return [
        host
        for host, m in seen.machine_by_host.items()
        if m.kind == "cache"
        and m.is_ready
        and (host in line.caches if line else not shard and host not in own)
    ]


def cold_host(seen: Observations, version: RuleVersion, shard: str) -> str:
    """One of the home's machines that is not warm yet, "" for none."""
    for host in ready_hosts(seen, version, shard):
        if seen.machine_by_host[host].uptime_ms < seen.machine_by_host[host].warm_up_ms:
            return host
    return ""


def under_work(version: RuleVersion, shard: str) -> str:
    """A machine of the home that an open order has begun with, "" for none."""
    line = version.find_shard(shard)
    own = {host for s in version.shards for host in (*s.caches, *s.parents)}
    mine = {*line.caches, *line.parents} if line else set[str]()
    for o in version.maintenance_tasks:
        if (
            o.is_unavailable
            and o.kind != "front"
            and (o.target in mine or (not line and o.target not in own))
        ):
            return o.target
    return ""


def grown(seen: Observations, move: Migration, most: int) -> tuple[int, str]:
    """The next part, at most `most`, and why not more; the same part where it has to wait."""
    part = move.moved_slots
    if not in_same_seconds(seen):
        return part, "counts are not all of this version yet"
    here, there = total(seen, move.tenant, move.target_shard), total(seen, move.tenant, move.source_shard)
    asked, every = here.responses + there.responses, total(seen, "").origin_fetches
    if not asked:
        return min(part + STEPS[0], most), "nobody asks"
    if there.responses < TELLS and part < HASH_SLOTS:
        return min(part + STEPS[3], most), "too few answers to tell fills by: small steps"
    rate = there.origin_fetches / there.responses if there.responses else 0.0
    extra = max(here.origin_fetches - here.responses * rate, 0.0)
    usual = max(every - extra, 1.0)
    if part and extra > SETTLED_PART * usual:
        return part, f"{extra:.0f} fills above {usual:.0f} usual ones"
    # At first as if nothing of it were asked twice; later an eighth more than what was borne before.
    room = max(FILLS_PART * usual * HASH_SLOTS / (asked * max(1 - rate, 0.01)), part / 8)
    step = next((s for s in STEPS if s <= room), STEPS[-1])
    return min(part + step, most), f"room for {room:.1f} parts"
