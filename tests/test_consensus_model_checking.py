"""Model checking of three voters: small state spaces are safe, and a removed rule leads to a violation."""

from __future__ import annotations

import dataclasses
from collections.abc import Callable
from typing import Any

import pytest

from quincepier.consensus import SendMessage, election, replication
from quincepier.consensus.raft_role import RaftRole
from quincepier.consensus.raft_state import RaftState
from quincepier.lab import raft_model_checker, voter_process
from quincepier.lab.model_events import Budget
from quincepier.lab.raft_model_checker import ModelChecker
from quincepier.lab.raft_simulation import SafetyViolationError
from quincepier.state.voter_records import HardState, Member, Snapshot, VoterState

Patch = pytest.MonkeyPatch
FIGURE_8 = {"a": (2,), "b": (3,), "c": ()}  # terms of the log entries of each voter, as in figure 8 of Raft


def vote_is_not_persisted(patch: Patch) -> None:
    without_vote = property(lambda state: HardState(state.identity, state.start_count, state.term, ""))
    patch.setattr(RaftState, "hard_state", without_vote)


def messages_do_not_wait_for_writes(patch: Patch) -> None:
    take_actions = RaftState.take_actions

    def take_actions_without_waiting(self: RaftState) -> list[Any]:
        return [SendMessage(a.to, a.data, 0) if isinstance(a, SendMessage) else a for a in take_actions(self)]

    patch.setattr(RaftState, "take_actions", take_actions_without_waiting)


def own_entries_count_before_they_are_durable(patch: Patch) -> None:
    original = replication.advance_commit_index

    def advance_commit_index(state: RaftState) -> None:
        state.persistence.durable_index = state.log.last_index
        original(state)

    patch.setattr(replication, "advance_commit_index", advance_commit_index)


def candidate_with_outdated_log_gets_votes(patch: Patch) -> None:
    patch.setattr(election, "is_log_up_to_date", lambda state, request: True)


def two_votes_in_a_term(patch: Patch) -> None:
    original = election.on_request_vote

    def on_request_vote(state: RaftState, message: Any, request: Any) -> None:
        state.voted_for = state.voted_for if state.role is not RaftRole.FOLLOWER else ""
        original(state, message, request)

    patch.setattr(election, "on_request_vote", on_request_vote)


def one_voter_is_a_quorum(patch: Patch) -> None:
    patch.setattr(RaftState, "quorum_size", property(lambda state: 1))


def previous_term_is_not_compared(patch: Patch) -> None:
    original = replication.on_append_entries

    def on_append_entries(state: RaftState, message: Any, request: Any) -> None:
        term = state.log.term_at(request.prev_log_index)
        original(state, message, request if term is None else replace_fields(request, prev_log_term=term))

    patch.setattr(replication, "on_append_entries", on_append_entries)


def replace_fields(message: Any, **fields: Any) -> Any:
    return type(message)(**{name: getattr(message, name) for name in message.__struct_fields__} | fields)


def entries_of_earlier_terms_are_committed_by_count(patch: Patch) -> None:
    def advance_commit_index(state: RaftState) -> None:
        if state.leader_state is not None:
            progress_by_identity = state.leader_state.progress_by_identity
            matches = [progress.match_index for progress in progress_by_identity.values()]
            matches = sorted([state.persistence.durable_index, *matches], reverse=True)
            index = max(state.commit_index, matches[state.quorum_size - 1])
            replication.commit_up_to(state, index)

    patch.setattr(replication, "advance_commit_index", advance_commit_index)
    patch.setattr(replication, "MAX_ENTRIES_PER_MESSAGE", 1)


def voter_without_storage_keeps_its_identity(patch: Patch) -> None:
    """A voter that lost its storage keeps its identity, and therefore votes."""
    original = voter_process.start_process

    def start_process(name: str, disk: Any, storage_losses: int) -> Any:
        configuration = tuple(Member(n, n + "0") for n in voter_process.NAMES)
        initial = VoterState(HardState(name + "0", 9, 0), Snapshot(0, 0, configuration))
        process = original(name, disk or initial, 0)
        return dataclasses.replace(process, storage_losses=storage_losses)

    patch.setattr(raft_model_checker, "start_process", start_process)


MUTANTS: list[tuple[Callable[[Patch], None], Budget, Any]] = [
    (vote_is_not_persisted, Budget(timeouts=2, heartbeats=0, proposals=0, crashes=1), None),
    (messages_do_not_wait_for_writes, Budget(timeouts=2, heartbeats=0, proposals=0, crashes=1), None),
    (
        own_entries_count_before_they_are_durable,
        Budget(timeouts=1, heartbeats=0, proposals=0, crashes=0),
        None,
    ),
    (candidate_with_outdated_log_gets_votes, Budget(timeouts=2, heartbeats=0, proposals=0, crashes=0), None),
    (two_votes_in_a_term, Budget(timeouts=2, heartbeats=0, proposals=0, crashes=0), None),
    (one_voter_is_a_quorum, Budget(timeouts=1, heartbeats=0, proposals=0, crashes=0), None),
    (previous_term_is_not_compared, Budget(timeouts=1, heartbeats=0, proposals=0, crashes=0), FIGURE_8),
    (
        entries_of_earlier_terms_are_committed_by_count,
        Budget(timeouts=2, heartbeats=0, proposals=0, crashes=0),
        FIGURE_8,
    ),
    (
        voter_without_storage_keeps_its_identity,
        Budget(timeouts=2, heartbeats=0, proposals=0, crashes=0, storage_losses=1),
        None,
    ),
]


@pytest.mark.parametrize(
    ("mutant", "budget", "terms_by_name"), MUTANTS, ids=lambda v: getattr(v, "__name__", "")
)
def test_exploration_finds_a_violation_with_one_rule_removed(
    mutant: Callable[[Patch], None], budget: Budget, terms_by_name: Any, monkeypatch: Patch
) -> None:
    ModelChecker(budget, terms_by_name, 3 if terms_by_name else 0).walk_randomly(1, 100)
    mutant(monkeypatch)
    with pytest.raises(SafetyViolationError):
        ModelChecker(budget, terms_by_name, 3 if terms_by_name else 0).walk_randomly(1, 4000)


def test_all_states_of_one_timeout_and_one_duplicate_message_are_safe() -> None:
    result = ModelChecker(
        Budget(timeouts=1, heartbeats=0, proposals=0, crashes=0, storage_losses=0, duplicates=1)
    ).explore()
    assert result.is_complete and result.states > 10_000


def test_first_states_of_two_timeouts_are_safe() -> None:
    for terms_by_name in (None, FIGURE_8):
        checker = ModelChecker(
            Budget(timeouts=2, heartbeats=0, proposals=0, crashes=1), terms_by_name, 3 if terms_by_name else 0
        )
        assert checker.explore(20_000).states == 20_000
