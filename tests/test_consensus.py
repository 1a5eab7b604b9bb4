"""Raft voters in virtual time: election, commitment, and what must hold under faults."""

from __future__ import annotations

import random
from typing import Any

import pytest

from quincepier.consensus import (
    ConsensusError,
    PersistRecords,
    RaftConfig,
    RaftLimits,
    SendMessage,
    cluster_configuration,
    election,
    replication,
)
from quincepier.consensus.raft_state import DropReason, RaftState
from quincepier.lab.raft_simulation import (
    MS,
    SECOND,
    SafetyViolationError,
    SimulatedCluster,
    SimulatedVoter,
)
from quincepier.state.voter_records import LogEntry


def start_and_elect(count: int = 3, seed: int = 1) -> tuple[SimulatedCluster, SimulatedVoter]:
    cluster = SimulatedCluster(count, seed)
    cluster.start()
    cluster.run_until(lambda: cluster.leader is not None)
    return cluster, leader(cluster)


def leader(cluster: SimulatedCluster) -> SimulatedVoter:
    assert cluster.leader is not None
    return cluster.leader


def others(cluster: SimulatedCluster, voter: SimulatedVoter) -> list[SimulatedVoter]:
    return [other for other in cluster.voters.values() if other is not voter]


def commit(cluster: SimulatedCluster, data: bytes, voters: list[SimulatedVoter] | None = None) -> None:
    cluster.run_until(lambda: cluster.leader is not None)
    leader(cluster).propose(data)
    cluster.run_until(lambda: all(voter.has_committed(data) for voter in voters or cluster.voters.values()))


# Elections


@pytest.mark.parametrize("seed", range(6))
def test_a_killed_leader_is_replaced_and_committed_entries_stay(seed: int) -> None:
    cluster, first = start_and_elect(seed=seed)
    commit(cluster, b"one")
    first.kill()
    assert cluster.run_until(lambda: cluster.leader is not None and cluster.leader is not first) < 4 * SECOND
    commit(cluster, b"two", others(cluster, first))
    first.start()
    cluster.run_until(lambda: first.has_committed(b"two"))


def test_a_delay_of_half_a_second_deposes_no_leader() -> None:
    cluster, first = start_and_elect()
    cluster.delay_range_ns = (500 * MS, 500 * MS)
    cluster.run(5 * SECOND)
    term = first.raft.term
    cluster.run(30 * SECOND)
    assert cluster.leader is first and first.raft.term == term
    commit(cluster, b"slowly")


def test_a_voter_that_receives_nothing_deposes_no_leader() -> None:
    cluster, first = start_and_elect()
    cut_off_voter = others(cluster, first)[0]
    cluster.blocked_links = {(voter.name, cut_off_voter.name) for voter in others(cluster, cut_off_voter)}
    term = first.raft.term
    cluster.run(20 * SECOND)
    assert cluster.leader is first and first.raft.term == term
    cluster.blocked_links = set()
    cluster.run(5 * SECOND)
    assert cluster.leader is first and first.raft.term == term


def test_a_leader_that_receives_nothing_steps_down_before_another_leads() -> None:
    cluster, first = start_and_elect()
    cluster.blocked_links = {(voter.name, first.name) for voter in others(cluster, first)}
    cluster.run_until(lambda: cluster.leader is not None and cluster.leader is not first)
    assert not first.raft.has_committed_in_term or first.raft.lease_until_ns < cluster.now_ns
    commit(cluster, b"on", others(cluster, first))


def test_a_leader_paused_for_five_seconds_commits_nothing_afterwards() -> None:
    cluster, first = start_and_elect()
    first.pause(5 * SECOND)
    cluster.run_until(lambda: cluster.leader is not None and cluster.leader is not first)
    commit(cluster, b"without it", others(cluster, first))
    cluster.run(6 * SECOND)
    newest = first.newest_committed
    assert newest is not None and newest.data == b"without it" and not first.raft.has_committed_in_term


def test_a_leader_appends_nothing_after_a_pause_before_a_quorum_answers() -> None:
    cluster, first = start_and_elect()
    later = cluster.now_ns + 5 * SECOND
    actions = first.raft.propose(later, b"late")
    assert not any(
        isinstance(action, PersistRecords) and any(isinstance(one, LogEntry) for one in action.records)
        for action in actions
    )
    assert not first.raft.has_committed_in_term


def test_nothing_is_committed_without_a_quorum() -> None:
    cluster, first = start_and_elect()
    commit(cluster, b"before")
    for other in others(cluster, first):
        other.kill()
    first.propose(b"alone")
    cluster.run(20 * SECOND)
    assert first.has_committed(b"before") and not first.raft.has_committed_in_term
    others(cluster, first)[0].start()
    cluster.run_until(lambda: cluster.leader is not None)
    commit(cluster, b"after", [voter for voter in cluster.voters.values() if voter.is_alive])


def test_a_leader_whose_disk_hangs_steps_down_and_its_disk_is_not_counted() -> None:
    cluster, first = start_and_elect()
    first.is_disk_stalled = True
    first.propose(b"two disks")
    cluster.run_until(lambda: all(voter.has_committed(b"two disks") for voter in others(cluster, first)))
    cluster.run_until(lambda: cluster.leader is not None and cluster.leader is not first)


# Storage and configuration


def test_a_voter_that_lost_its_storage_does_not_vote_until_it_is_added_again() -> None:
    cluster, first = start_and_elect()
    commit(cluster, b"kept by two")
    lost, third = others(cluster, first)
    lost.kill()
    lost.disk = None
    first.kill()  # the third and the one without memory could be a quorum, and must not
    lost.start()
    cluster.run(20 * SECOND)
    assert cluster.leader is None and not lost.raft.is_member
    first.start()
    cluster.run_until(lambda: lost.raft.is_member)
    commit(cluster, b"by three")
    third.kill()
    cluster.run_until(lambda: cluster.leader is not None and cluster.leader is not third)
    commit(cluster, b"by the two", [first, lost])


def test_a_rolled_back_storage_is_detected_and_its_voter_added_under_another_identity() -> None:
    cluster, first = start_and_elect()
    old = others(cluster, first)[0]
    copy, identity = old.disk, old.raft.identity
    old.kill()
    cluster.run(SECOND)
    old.start()
    commit(cluster, b"one")
    old.kill()
    old.disk = copy
    old.start()
    cluster.run_until(lambda: old.raft.storage_rollbacks == 1 and old.raft.is_member)
    assert old.raft.identity != identity
    commit(cluster, b"two")


def test_voters_all_killed_at_once_recover_from_their_storage() -> None:
    cluster, _ = start_and_elect()
    commit(cluster, b"kept")
    for voter in cluster.voters.values():
        voter.kill()
        voter.newest_committed = None
    for voter in cluster.voters.values():
        voter.start()
    cluster.run_until(lambda: all(voter.has_committed(b"kept") for voter in cluster.voters.values()))


def test_voters_are_added_and_removed_one_at_a_time() -> None:
    cluster, _ = start_and_elect()
    commit(cluster, b"one")
    cluster.names = ("v0", "v1", "v3")
    cluster.voters["v3"] = SimulatedVoter(cluster, "v3")
    for name in cluster.names:  # each is started again with the new file
        cluster.voters[name].kill()
        cluster.voters[name].start()
        cluster.run_until(lambda: cluster.leader is not None)
    cluster.voters["v2"].kill()  # it still has the old file, and would keep to it where it leads
    named = [cluster.voters[name] for name in cluster.names]
    cluster.run_until(
        lambda: all(tuple(m.name for m in voter.raft.configuration) == cluster.names for voter in named)
    )
    commit(cluster, b"two", named)
    cluster.voters["v0"].kill()
    cluster.run_until(lambda: cluster.leader is not None and cluster.leader.is_alive)
    commit(cluster, b"three", named[1:])


def test_bootstrap_waits_for_every_named_voter() -> None:
    cluster = SimulatedCluster(3, 1)
    for name in cluster.names[:2]:
        cluster.voters[name].start()
    cluster.run(20 * SECOND)
    assert cluster.leader is None and not any(
        voter.raft.is_member for voter in cluster.voters.values() if voter.is_alive
    )
    cluster.voters[cluster.names[2]].start()
    cluster.run_until(lambda: cluster.leader is not None)


def test_a_long_log_is_compacted_and_a_late_voter_gets_the_snapshot() -> None:
    cluster, first = start_and_elect()
    late = others(cluster, first)[0]
    late.kill()
    for n in range(60):
        leader(cluster).propose(b"%d" % n)
        cluster.run(20 * MS)
    late.start()
    cluster.run_until(lambda: late.has_committed(b"59"))
    max_entries = 2 * RaftLimits().max_committed_entries
    assert all(
        voter.disk is not None and len(voter.disk.entries) <= max_entries for voter in cluster.voters.values()
    )


# Messages


def test_an_invalid_message_or_one_of_an_unknown_sender_is_dropped_and_counted() -> None:
    cluster, first = start_and_elect()
    rng, voter = random.Random(3), others(cluster, first)[0]
    raw = next(
        action.data
        for action in first.raft.tick(cluster.now_ns + SECOND // 2)
        if isinstance(action, SendMessage) and action.to == voter.name
    )
    before = voter.raft.term, voter.raft.commit_index
    for _ in range(300):
        corrupted = bytearray(raw[: rng.randrange(len(raw) + 1)])
        if corrupted:
            corrupted[rng.randrange(len(corrupted))] ^= 1 << rng.randrange(8)
        voter.raft.step(cluster.now_ns, others(cluster, first)[1].name, bytes(corrupted))
    voter.raft.step(cluster.now_ns, "stranger", raw)
    assert voter.raft.dropped[DropReason.INVALID] >= 300
    assert (voter.raft.term, voter.raft.commit_index) == before


def test_invalid_voter_names_are_rejected() -> None:
    for names in (("a", "b"), ("a", "a", "b"), tuple("abcdefgh"), ("b", "c", "d")):
        with pytest.raises(ConsensusError) as raised:
            RaftConfig("a", names)
        assert raised.value.code == "QP-CONSENSUS" and raised.value.remedy


# All faults at once


def run_with_random_faults(seed: int, spans: int = 30) -> SimulatedCluster:
    """Loss, duplicates, delays, one-way partitions, pauses, crashes, and one lost storage at a time."""
    cluster, rng = SimulatedCluster((3, 3, 5)[seed % 3], seed), random.Random(seed)
    cluster.start()
    cluster.run(3 * SECOND)
    for n in range(spans):
        cluster.loss_rate, cluster.duplicate_rate = rng.choice((0.0, 0.0, 0.2, 0.4)), rng.choice((0.0, 0.3))
        cluster.delay_range_ns = rng.choice(((MS // 2, MS), (0, 300 * MS)))
        cluster.blocked_links = {tuple(rng.sample(cluster.names, 2)) for _ in range(rng.choice((0, 0, 1, 2)))}  # type: ignore[misc]
        target = cluster.voters[rng.choice(cluster.names)]
        up = [voter for voter in cluster.voters.values() if voter.is_alive]
        match rng.randrange(5):
            case 0 if target.is_alive:
                target.kill()
            case 1 if target.is_alive:
                target.pause(rng.randrange(6 * SECOND))
            case 2 if target.is_alive and len(up) == len(cluster.names) and all(
                voter.raft.is_member for voter in up
            ):
                target.kill()
                target.disk = None
        for voter in up:
            voter.propose(b"%d.%s" % (n, voter.name.encode()))
        cluster.run(rng.randrange(2 * SECOND))
        for voter in cluster.voters.values():
            if not voter.is_alive and rng.random() < 0.6:
                voter.start()
    cluster.heal_network()
    for voter in cluster.voters.values():
        if not voter.is_alive:
            voter.start()
    cluster.run(15 * SECOND)
    commit(cluster, b"the end")
    assert all(voter.raft.is_member for voter in cluster.voters.values())
    return cluster


@pytest.mark.parametrize("seed", range(12))
def test_voters_agree_under_all_faults_at_once_and_recover(seed: int) -> None:
    cluster = run_with_random_faults(seed)
    assert len(cluster.committed_by_index) > 3


def test_voting_while_a_leader_is_in_contact_leads_to_two_leases(monkeypatch: pytest.MonkeyPatch) -> None:
    """One voter hears the leader no more, the third hears both, and just then the leader hears nobody."""

    def cut_off_leader() -> SimulatedCluster:
        cluster, first = start_and_elect()
        cut_off_voter = others(cluster, first)[0]
        cluster.delay_range_ns, cluster.blocked_links = (50 * MS, 50 * MS), {(first.name, cut_off_voter.name)}
        cluster.run(SECOND)
        for _ in range(1000):
            cluster.run(10 * MS)
            if cut_off_voter.raft.term > first.raft.term:
                cluster.blocked_links |= {(voter.name, first.name) for voter in others(cluster, first)}
        assert cluster.leader is first
        return cluster

    cut_off_leader()
    unchanged = election.on_request_vote

    def on_request_vote(state: RaftState, message: Any, request: Any) -> None:
        state.leader_contact_ns -= state.config.timeouts.min_election_timeout_ns
        unchanged(state, message, request)

    monkeypatch.setattr(election, "on_request_vote", on_request_vote)
    with pytest.raises(SafetyViolationError, match="lease at once"):
        cut_off_leader()


def test_a_rolled_back_storage_that_is_not_detected_loses_committed_entries(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """With process starts compared the copy is detected; without that a committed entry is lost."""

    def run_rolled_back_copy() -> SimulatedCluster:
        cluster, first = start_and_elect(seed=2)
        old, third = others(cluster, first)
        copy = old.disk
        cluster.blocked_links = {(voter.name, third.name) for voter in others(cluster, third)}
        commit(cluster, b"by two", [first, old])
        old.kill()
        old.disk = copy
        cluster.run(100 * MS)
        old.start()
        cluster.run(SECOND // 2)
        first.kill()
        cluster.blocked_links = set()
        cluster.run(10 * SECOND)
        if (new_leader := cluster.leader) is not None:
            new_leader.propose(b"another")
        cluster.run(SECOND)
        return cluster

    cluster = run_rolled_back_copy()
    assert cluster.leader is None
    monkeypatch.setattr(cluster_configuration, "accept_start", lambda state, message: True)
    monkeypatch.setattr(replication, "on_append_entries_response", lambda state, message, response: None)
    with pytest.raises(SafetyViolationError):
        run_rolled_back_copy()
