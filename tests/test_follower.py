"""The follower: the voter that it reports to, and the versions that it adopts."""

from __future__ import annotations

import pytest

from quincepier.net.fleet.follower import Follower
from quincepier.net.fleet.messages import LeaseGranted, NotLeader, ReportMessage, VersionCommitted
from quincepier.rules import LeaseGrant, RulesError, encode_version
from tests.fleetkit import TIMINGS, VOTERS, make_report, make_version


def test_a_follower_finds_the_leader_and_adopts_a_newer_version() -> None:
    follower = Follower("f", VOTERS, 1, 0, TIMINGS, 7)
    report = follower.on_tick(0, lambda: make_report("f", 0))
    assert report is not None and report.to in VOTERS and isinstance(report.message, ReportMessage)
    leader = next(voter for voter in VOTERS if voter != report.to)
    assert not follower.on_message(1, report.to, NotLeader(report.message.request.token, leader))
    assert follower.target == leader
    # It reports to the leader before the normal interval has passed.
    assert follower.on_tick(TIMINGS.request_interval_ns // 2, lambda: make_report("f", 0)) is not None
    grant = LeaseGrant(1, follower.lease.last_token, 3, 0)
    assert follower.on_message(2, leader, LeaseGranted(1, grant, encode_version(make_version(3))))
    assert follower.version.number == 3
    assert follower.is_cautious(3)  # the lease is granted only in response to the next request
    follower.on_tick(3 + TIMINGS.request_interval_ns, lambda: make_report("f", 3))
    grant = LeaseGrant(1, follower.lease.last_token, 3, 1000)
    follower.on_message(4 + TIMINGS.request_interval_ns, leader, LeaseGranted(1, grant))
    assert not follower.is_cautious(5 + TIMINGS.request_interval_ns)
    assert follower.is_cautious(3 + TIMINGS.request_interval_ns + TIMINGS.lease_ns)


def test_only_undamaged_versions_from_voters_are_adopted() -> None:
    follower = Follower("f", VOTERS, 1, 0, TIMINGS, 7)
    follower.on_message(2, "a", VersionCommitted(1, encode_version(make_version(3))))
    assert not follower.on_message(6, "x", VersionCommitted(1, encode_version(make_version(9))))
    assert follower.version.number == 3
    with pytest.raises(RulesError):
        follower.on_message(7, "a", VersionCommitted(1, encode_version(make_version(9))[:-1]))


def test_a_follower_without_responses_tries_all_voters() -> None:
    follower = Follower("f", VOTERS, 1, 0, TIMINGS, 7)
    targets = set[str]()
    for count in range(40):
        report = follower.on_tick(count * TIMINGS.request_interval_ns, lambda: make_report("f", 0))
        if report is not None:
            targets.add(report.to)
    assert targets == set(VOTERS)
