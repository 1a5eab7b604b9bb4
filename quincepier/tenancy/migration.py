"""The steps of moves: what the next version says, from the last one, the wishes and what is seen.

Held here, each with a mutant in the tests: what may not be repeated goes to the other home only when a
version that refuses its repeats is in force at all fronts; its repeats only when the longest hold has passed
since; repeats are not refused for longer than `CLOSING_MOST` for a front or a leader that is away.
"""

from __future__ import annotations

from msgspec.structs import replace

from quincepier.rules import (
    Migration,
    MigrationStep,
    Observations,
    RuleVersion,
    Shard,
    TenantPlacement,
    VersionChange,
)
from quincepier.rules.version import HASH_SLOTS, MAX_MIGRATIONS
from quincepier.tenancy.ramp_up import WARM_PART, cold_host, grown, ready_hosts, under_work
from quincepier.tenancy.section import DEFAULT_SHARD_NAME, SECOND, MigrationRequest
from quincepier.tenancy.verification import Verdict, compare, in_same_seconds, judge, unharmed
from quincepier.tenancy.write_pause import MigrationPolicy

CLOSING_MOST = 10 * SECOND  # agreed for so long and not in force: repeats run at the old home again
CLOSED_MOST = 32  # moves that are over and that no wish names, kept
VERIFY_LEAST = 10 * SECOND  # also the rest between two tries of closing
Step = MigrationStep


def advance(version: RuleVersion, wishes: MigrationPolicy, seen: Observations) -> VersionChange | None:
    """What tenants want changed by now, or None. Called by the leader, each turn, with its own file."""
    lines = {line.id: line for line in wishes.section.migrations}
    homes, moves, why = list(version.placements), list[Migration](), list[str]()
    # Kept though the wish is gone: another leader's file may still have it, and it is not to begin again.
    gone = [m.request_id for m in version.migrations if not m.is_active and m.request_id not in lines][
        :-CLOSED_MOST
    ]
    for move in version.migrations:
        if not move.is_active:
            if move.request_id not in gone:
                moves.append(move)
            continue
        line = lines.get(move.request_id)
        after = _next(version, move, line if line and line.matches(move) else None, wishes, seen)
        moves.append(after)
        if after != move:
            why.append(f"{move.request_id}: {move.tenant} {_told(after)}")
        if after.step is Step.COMPLETED:
            homes = [h for h in homes if h.tenant != move.tenant] + [
                TenantPlacement(move.tenant, move.target_shard)
            ]
    for line in wishes.section.migrations:
        if (begun := _begun(version, moves, homes, line)) is not None:
            moves.append(begun)
            why.append(
                f"{line.id}: {line.tenant} planned "
                f"from {begun.source_shard or DEFAULT_SHARD_NAME} to {line.target}"
            )
    shards = wishes.section.to_shards()
    used = {h.shard for h in homes} | {
        s for m in moves if m.is_active for s in (m.source_shard, m.target_shard)
    }
    names = {s.name for s in shards}
    shards += tuple(s for s in version.shards if s.name in used and s.name not in names)
    caches = [host for s in shards for host in s.caches]
    shared = len(caches) > len(set(caches))  # a shard was renamed while it is the home of tenants
    if (shared or any(m.is_active for m in moves + list(version.migrations))) and version.shards:
        shards = _grown_only(version, shards)  # machines of a home do not change under a move
    if shards != version.shards:
        why.append("shards as in the file")
    for name, tenant in sorted(wishes.section.tenant_by_name.items()):
        if all(h.tenant != name for h in homes):
            homes.append(
                TenantPlacement(name, "" if tenant.home_shard == DEFAULT_SHARD_NAME else tenant.home_shard)
            )
            why.append(f"{name} at home in {tenant.home_shard}")
    new_homes, new_moves = tuple(homes), tuple(moves)
    if (shards, new_homes, new_moves) == (version.shards, version.placements, version.migrations):
        return None
    return VersionChange(
        "; ".join(why) or "moves that nobody names any more are dropped",
        shards=None if shards == version.shards else shards,
        placements=None if new_homes == version.placements else new_homes,
        migrations=None if new_moves == version.migrations else new_moves,
    )


def held_back(version: RuleVersion) -> frozenset[str]:
    """Host ids of machines that an order is not to begin with: of the shards of moves that have begun. The
    common home is not in it: its machines are too many to be of one move.
    """
    return frozenset(
        host
        for m in version.migrations
        if m.is_active and m.step > Step.PLANNED
        for s in version.shards
        if s.name in (m.source_shard, m.target_shard)
        for host in (*s.caches, *s.parents)
    )


def _grown_only(version: RuleVersion, wanted: tuple[Shard, ...]) -> tuple[Shard, ...]:
    kept = {s.name: s for s in version.shards}
    taken = {host for s in version.shards for host in s.caches}
    fresh = (s for s in wanted if s.name not in kept and not taken & set(s.caches))
    return tuple(sorted((*kept.values(), *fresh), key=lambda s: s.name))


def _begun(
    version: RuleVersion, moves: list[Migration], homes: list[TenantPlacement], line: MigrationRequest
) -> Migration | None:
    """A wish that begins: not known yet, its tenant under no other move, and not at home there already."""
    old = next((h.shard for h in homes if h.tenant == line.tenant), None)
    known = any(m.request_id == line.id or (m.is_active and m.tenant == line.tenant) for m in moves)
    if known or line.rollback or old is None or old == line.target_shard or len(moves) >= MAX_MIGRATIONS:
        return None
    if (
        line.target_shard and version.find_shard(line.target_shard) is None
    ):  # its shard comes with this change: the next turn
        return None
    return Migration(line.id, line.tenant, old, line.target_shard, Step.PLANNED, 0)


def _told(move: Migration) -> str:
    part = f" {move.moved_slots}/{HASH_SLOTS}" if move.step in (Step.RAMPING_UP, Step.CUT_OVER) else ""
    return f"{move.step.name.lower()}{part}{' (' + move.reason + ')' if move.reason else ''}"


def _to(move: Migration, step: MigrationStep, why: str = "", part: int | None = None) -> Migration:
    return replace(move, step=step, reason=why[:200], moved_slots=move.moved_slots if part is None else part)


def _next(
    version: RuleVersion,
    m: Migration,
    line: MigrationRequest | None,
    wishes: MigrationPolicy,
    seen: Observations,
) -> Migration:
    """The move after this turn. A wish that is gone, or says something else now, counts as a pause."""
    goes = line is not None and not line.pause and m.step < line.last_step
    if m.step in (Step.PLANNED, Step.RAMPING_UP, Step.VERIFYING, Step.PAUSING_WRITES):
        if line is not None and line.rollback:
            return _to(m, Step.ROLLED_BACK, "by wish", 0)
        if m.step > Step.PLANNED and not ready_hosts(seen, version, m.target_shard):
            return _to(m, Step.ROLLED_BACK, "the new home has no machine left", 0)
    if m.step is Step.PLANNED:
        return _planned(version, m, wishes, seen) if goes else m
    if m.step is Step.RAMPING_UP:
        return _warming(version, m, line, goes, seen)
    if m.step is Step.VERIFYING:
        return _verified(version, m, goes, seen)
    if m.step is Step.PAUSING_WRITES:
        return _closing(m, line is None or line.pause or line.last_step <= Step.VERIFYING, seen)
    if m.step is Step.ROLLING_BACK:
        still = (line is not None and line.pause) or age(m, seen) < wishes.write_pause_ns
        return m if still else _to(m, Step.ROLLED_BACK, m.reason)
    return _cut_over(version, m, line, goes, wishes, seen)


def in_force(m: Migration, seen: Observations) -> bool:
    """Whether no front decides by a version before this step, and none will."""
    return seen.active_number >= m.since_version and seen.unleased_fronts_idle


def age(m: Migration, seen: Observations) -> int:
    """Nanoseconds for which the step is surely in force."""
    return seen.active_ns_by_number.get(m.since_version, seen.active_for_ns) if in_force(m, seen) else 0


def all_here(version: RuleVersion, seen: Observations) -> bool:
    """Whether closing would be short: every member reports and decides by the newest version."""
    whole = set(seen.members) <= set(seen.report_by_front) and seen.is_consistent is not False
    return whole and seen.unleased_fronts_idle and seen.active_number >= version.number


def _planned(version: RuleVersion, m: Migration, wishes: MigrationPolicy, seen: Observations) -> Migration:
    # A front without a lease may not know of the move. It takes what may not be repeated for the notice only.
    if age(m, seen) < wishes.grace_period_ns or not all_here(version, seen):
        return m
    if (
        not ready_hosts(seen, version, m.target_shard)
        or cold_host(seen, version, m.target_shard)
        or under_work(version, m.target_shard)
    ):
        return m
    shared = {m.source_shard, m.target_shard}
    if any(
        o.is_active and o.step > Step.PLANNED and shared & {o.source_shard, o.target_shard}
        for o in version.migrations
        if o is not m
    ):
        return m  # one at a time at each home: fills are judged by their sum
    part, why = grown(seen, m, WARM_PART)
    return _to(m, Step.RAMPING_UP, why, part) if part else m


def _warming(
    version: RuleVersion, m: Migration, line: MigrationRequest | None, goes: bool, seen: Observations
) -> Migration:
    if in_same_seconds(seen):
        found = compare(seen, m.tenant, m.source_shard, m.target_shard, False)
        if found.verdict is Verdict.FAIL:
            return _to(m, Step.ROLLED_BACK, found.line, 0)
        if (
            found := unharmed(seen, sorted({*seen.baseline_on_time_ratio_by_tenant, ""} - {m.tenant}))
        ).verdict is Verdict.FAIL:
            return _to(m, Step.ROLLED_BACK, f"others: {found.line}", 0)
    if line is None or line.pause or not all_here(version, seen):
        return m
    if cold_host(seen, version, m.target_shard) or under_work(version, m.target_shard):
        return m
    if m.moved_slots >= WARM_PART:
        return _to(m, Step.VERIFYING) if goes else m
    part, why = grown(seen, m, WARM_PART)
    return _to(m, Step.RAMPING_UP, why, part) if part != m.moved_slots else m


def _verified(version: RuleVersion, m: Migration, goes: bool, seen: Observations) -> Migration:
    gone = not ready_hosts(seen, version, m.source_shard)
    found = judge(seen, m.tenant, m.source_shard, m.target_shard)
    if found.verdict is Verdict.FAIL:
        return _to(m, Step.ROLLED_BACK, found.line, 0)
    if (
        not goes
        or not all_here(version, seen)
        or age(m, seen) < VERIFY_LEAST
        or under_work(version, m.target_shard)
    ):
        return m
    if gone:
        return _to(m, Step.PAUSING_WRITES, "the old home has no machine left to compare with")
    return _to(m, Step.PAUSING_WRITES, found.line) if found.verdict is Verdict.PASS else m


def _closing(m: Migration, pause: bool, seen: Observations) -> Migration:
    if pause or seen.is_consistent is False:
        return _to(m, Step.VERIFYING, "paused" if pause else "fronts do not all decide alike")
    if in_force(m, seen):
        return _to(m, Step.CUT_OVER)
    if seen.committed_for_ns >= CLOSING_MOST:  # a front or the leader is away: nobody is kept waiting for it
        return _to(m, Step.VERIFYING, "not all fronts followed in time: tried again later")
    return m


def _cut_over(
    version: RuleVersion,
    m: Migration,
    line: MigrationRequest | None,
    goes: bool,
    wishes: MigrationPolicy,
    seen: Observations,
) -> Migration:
    """CUT_OVER and DRAINING. A `part` of 0 is a move on its way back: firsts still at the new home."""
    if m.moved_slots == 0:
        return (
            _to(m, Step.ROLLING_BACK, m.reason)
            if seen.active_number >= version.number and seen.unleased_fronts_idle
            else m
        )
    if line is not None and line.rollback:
        return _to(m, Step.CUT_OVER, "by wish", 0)
    if not ready_hosts(seen, version, m.target_shard) and ready_hosts(seen, version, m.source_shard):
        return _to(m, Step.CUT_OVER, "the new home has no machine left", 0)
    if (
        in_same_seconds(seen)
        and (found := unharmed(seen, sorted({*seen.baseline_on_time_ratio_by_tenant, ""}))).verdict
        is Verdict.FAIL
    ):
        return _to(m, Step.CUT_OVER, found.line, 0)
    if m.step is Step.CUT_OVER and m.moved_slots < HASH_SLOTS:
        still = (
            line is None
            or line.pause
            or cold_host(seen, version, m.target_shard)
            or under_work(version, m.target_shard)
        )
        if still or not all_here(version, seen):
            return m
        part, why = grown(seen, m, HASH_SLOTS)
        return _to(m, Step.CUT_OVER, why, part) if part != m.moved_slots else m
    if not goes or not in_force(m, seen):
        return m
    if m.step is Step.CUT_OVER:
        return _to(m, Step.DRAINING) if age(m, seen) >= wishes.write_pause_ns else m
    left = any(
        (tenant, shard) == (m.tenant, m.source_shard or DEFAULT_SHARD_NAME) and open_
        for r in seen.report_by_front.values()
        for tenant, shard, open_ in r.open_unsafe_requests
    )
    return m if left else _to(m, Step.COMPLETED)
