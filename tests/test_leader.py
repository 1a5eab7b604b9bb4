"""The leader: lease grants for reports, one proposal at a time, defective planners."""

from __future__ import annotations

from dataclasses import replace
from types import SimpleNamespace
from typing import Any

import msgspec
import pytest

from quincepier import clock
from quincepier.checks import Checks
from quincepier.net.fleet.leader import FleetSources, Leader
from quincepier.net.fleet.messages import LeaseGranted, NotLeader, ReportMessage
from quincepier.rules import (
    LeaseRequest,
    Migration,
    MigrationStep,
    RuleVersion,
    TenantPlacement,
    VersionChange,
    decode_version,
    encode_version,
    initial_version,
)
from tests.fleetkit import DRAINING_TASK, PENDING_TASK, TIMINGS, VOTERS, make_report, make_version


def make_leader(planner: Any, has_lease: bool = True) -> tuple[Leader, list[bytes], Any]:
    """Return a leader, the list of its proposals, and its Raft node."""
    proposed: list[bytes] = []
    raft = SimpleNamespace(term=1, lease_until_ns=1 << 60)
    node: Any = SimpleNamespace(raft=raft, has_leader_lease=has_lease, leader="b", propose=proposed.append)
    sources = FleetSources(lambda: [planner], dict, lambda: VOTERS)
    return Leader("a", VOTERS, node, TIMINGS, sources, Checks()), proposed, node


def request(token: int, front: str, number: int, digest: str = "") -> ReportMessage:
    return ReportMessage(LeaseRequest(token, make_report(front, number, digest)))


def test_one_proposal_at_a_time_and_numbers_above_all_that_fronts_decide_by() -> None:
    def planner(committed: RuleVersion, observations: Any) -> VersionChange:
        return VersionChange("again", maintenance_tasks=(*committed.maintenance_tasks, DRAINING_TASK))

    leader, proposed, node = make_leader(planner)
    leader.on_tick(0)
    leader.on_tick(clock.SECOND)
    # No second proposal until the first is committed or lost.
    assert [decode_version(raw).number for raw in proposed] == [1]
    assert leader.on_committed(decode_version(proposed[0]))
    assert not leader.on_committed(decode_version(proposed[0]))
    assert leader.on_report(2 * clock.SECOND, request(1, "f", 40)) is None  # no lease for an unknown version
    leader.on_tick(2 * clock.SECOND)
    assert decode_version(proposed[-1]).number == 41
    answer = leader.on_report(2 * clock.SECOND, request(2, "g", 0))
    assert isinstance(answer, LeaseGranted)
    assert answer.grant.lease_ms == 0 and answer.version_bytes == proposed[0]
    node.has_leader_lease = False
    leader.on_tick(3 * clock.SECOND)
    assert len(proposed) == 2 and leader.lease_table is None
    assert leader.on_report(3 * clock.SECOND, request(3, "g", 0)) == NotLeader(3, "b")


def test_an_overdue_proposal_is_repeated_unchanged_and_no_other_has_its_number() -> None:
    """The other voters' disks hang for seconds: the first and the repeated proposal are both committed."""
    leader, proposed, node = make_leader(
        lambda committed, observations: VersionChange(
            f"at {observations.now_ns}", maintenance_tasks=(DRAINING_TASK,) * observations.now_ns
        )
    )
    leader.on_tick(1)
    leader.on_tick(2 * clock.SECOND)
    leader.sources = replace(
        leader.sources,
        planners=lambda: [lambda committed, observations: VersionChange("other", maintenance_tasks=())],
    )
    leader.on_tick(4 * clock.SECOND)
    assert len(proposed) == 2 and proposed[0] == proposed[1]
    leader.on_committed(decode_version(proposed[0]))
    leader.on_tick(5 * clock.SECOND)
    assert decode_version(proposed[2]).number == 2
    node.raft.term = 2  # entries of the earlier term are by now committed or lost
    leader.on_tick(6 * clock.SECOND)
    assert decode_version(proposed[3]).number == 2 and decode_version(proposed[3]).term == 2


def test_a_version_that_no_front_could_decode_is_not_proposed() -> None:
    def planner(committed: RuleVersion, observations: Any) -> VersionChange:
        invalid = msgspec.structs.replace(DRAINING_TASK, request_id="")
        return VersionChange("a defect", maintenance_tasks=(invalid,))

    leader, proposed, _ = make_leader(planner)
    leader.on_tick(0)
    assert not proposed and leader.checks.counts["invalid_version_not_proposed"] == 1
    migration = Migration("m", "acme", "", "north", MigrationStep.PLANNED, 1)
    at_default_shard = msgspec.structs.replace(
        initial_version(), placements=(TenantPlacement("acme", ""),), migrations=(migration,)
    )
    assert decode_version(encode_version(at_default_shard)).home_shard_of("acme") == ""


def test_a_planner_that_raises_does_not_stop_the_leader() -> None:
    def planner(committed: RuleVersion, observations: Any) -> VersionChange:
        raise ValueError("a defect")

    leader, proposed, _ = make_leader(planner)
    leader.on_tick(0)
    assert len(proposed) == 1 and leader.checks.counts["exception_in_planner"] == 1


@pytest.mark.parametrize("decommissioned", [frozenset(), frozenset({"f"})])
def test_a_new_leader_waits_for_a_front_that_membership_removed_before_its_election(
    decommissioned: frozenset[str],
) -> None:
    """The unreachable front may still serve by an older version; the new leader has no report of it."""
    observed: list[Any] = []
    leader, _, _ = make_leader(lambda committed, observations: observed.append(observations))
    leader.sources = replace(
        leader.sources,
        recently_dead=lambda age_ns: (
            frozenset({"f"}) if age_ns >= TIMINGS.unreachable_front_timeout_ns else frozenset()
        ),
        decommissioned_fronts=lambda: decommissioned,
    )
    leader.on_tick(0)
    version = make_version(1, PENDING_TASK)
    leader.on_committed(version)
    now_ns = 2 * TIMINGS.lease_ns
    for name in VOTERS:
        leader.on_report(now_ns, request(1, name, 1, version.digest))
    leader.on_tick(now_ns)
    assert observed[-1].active_number == 1
    assert observed[-1].acknowledged_number == (1 if decommissioned else 0)
